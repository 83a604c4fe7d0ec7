//! Announcements: only with the secret, only with sense, and within bounds.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use googletest::prelude::*;
use model::{announcement::UpstreamAnnouncement, ports::AnnouncementPort, secret::SharedSecret};
use serde_json::{Value, json};
use standin::call::{WholeAnswer, call, request};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};
use upstream::announce::AnnounceServer;

const SECRET: &str = "Bearer a secret for one machine only";

#[derive(Default)]
struct FakeDirectory(Mutex<Vec<UpstreamAnnouncement>>);

impl AnnouncementPort for FakeDirectory {
    fn announce(&self, announcement: UpstreamAnnouncement) {
        self.0.lock().unwrap().push(announcement);
    }
}

async fn spawn() -> (AnnounceServer, Arc<FakeDirectory>) {
    let directory = Arc::<FakeDirectory>::default();
    let secret = SharedSecret::from_bytes(&SECRET.as_bytes()[7..]).unwrap();
    let port = ([127, 0, 0, 1], 0).into();
    let server = AnnounceServer::bind(port, secret, directory.clone()).await.unwrap();
    (server, directory)
}

fn announcement() -> Value {
    json!({
        "service": "hunt", "upstream": "hunt-0", "address": "127.0.0.1:9", "domain": "pettah",
        "slots": 4, "connections": 400, "state": "serving", "incarnation": 1, "sequence": 1,
        "lease-ms": 2_000, "age-ms": 0,
    })
}

async fn post(server: &AnnounceServer, secret: &str, body: &[u8]) -> WholeAnswer {
    let post = request("POST", "/announce", &[("authorization", secret)], body);
    call(server.address(), post).await.unwrap()
}

// A forged announcement could draw payments to itself. Without the right secret nothing changes.
#[gtest]
#[tokio::test]
async fn a_wrong_secret_changes_nothing() {
    let (server, directory) = spawn().await;
    let body = announcement().to_string();
    for secret in ["", "Bearer", "Bearer a secret for one machine onlx", "a secret"] {
        let answer = post(&server, secret, body.as_bytes()).await;
        expect_that!(answer.status.as_u16(), eq(401));
    }
    expect_that!(directory.0.lock().unwrap().len(), eq(0));
    expect_that!(post(&server, SECRET, body.as_bytes()).await.status.as_u16(), eq(204));
    expect_that!(directory.0.lock().unwrap().len(), eq(1));
}

// What makes no sense is refused with the reason, and changes nothing.
#[gtest]
#[tokio::test]
async fn row_27_nonsense_is_refused_with_its_reason() {
    let (server, directory) = spawn().await;
    let with = |field: &str, value: Value| {
        let mut changed = announcement();
        changed[field] = value;
        changed.to_string().into_bytes()
    };
    let cases: [(Vec<u8>, u16, &str); 9] = [
        (with("slots", json!(0)), 422, "slots must be"),
        (with("connections", json!(0)), 422, "connections must be"),
        (with("lease-ms", json!(499)), 422, "lease-ms must be 500 to 60000"),
        (with("lease-ms", json!(60_001)), 422, "lease-ms must be 500 to 60000"),
        (with("address", json!("0.0.0.0:80")), 422, "address must be"),
        (with("upstream", json!("a b")), 400, "may not stand in a name"),
        (b"{\"service\": \"\xff\"}".to_vec(), 400, "not an announcement"),
        (b"{".to_vec(), 400, "not an announcement"),
        (vec![b' '; 5_000], 413, "at most 4 KiB"),
    ];
    for (body, status, reason) in cases {
        let answer = post(&server, SECRET, &body).await;
        expect_that!(answer.status.as_u16(), eq(status));
        expect_that!(String::from_utf8_lossy(&answer.body), contains_substring(reason));
    }
    expect_that!(directory.0.lock().unwrap().len(), eq(0));
}

// An upstream connects and falls silent in the middle of its announcement. Its connection is ended,
// and others announce themselves meanwhile.
#[gtest]
#[tokio::test]
async fn row_27_a_silent_upstream_is_ended() {
    let (server, directory) = spawn().await;
    let mut silent = TcpStream::connect(server.address()).await.unwrap();
    let head = format!(
        "POST /announce HTTP/1.1\r\nhost: a\r\nauthorization: {SECRET}\r\ncontent-length: 99\r\n\r\n{{"
    );
    silent.write_all(head.as_bytes()).await.unwrap();
    post(&server, SECRET, announcement().to_string().as_bytes()).await;

    let mut answer = Vec::new();
    let ended = timeout(Duration::from_secs(15), silent.read_to_end(&mut answer)).await;

    expect_that!(ended.is_ok(), eq(true));
    expect_that!(String::from_utf8_lossy(&answer), starts_with("HTTP/1.1 408"));
    expect_that!(directory.0.lock().unwrap().len(), eq(1));
}
