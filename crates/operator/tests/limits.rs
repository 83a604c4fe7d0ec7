//! What a peer that does not behave can do to the operators' port (FAILURES row 27).

use std::time::Duration;

use googletest::prelude::*;
use support::{FakePort, SECRET, proved, serve};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

mod support;

/// How long a test waits for what must come.
const PATIENCE: Duration = Duration::from_secs(20);

#[gtest]
#[tokio::test]
async fn half_a_request_then_silence_does_not_keep_other_operators_out() {
    // A peer opens connections, sends half a head on each and falls silent. Operators on other
    // connections are served meanwhile, since each connection waits for itself.
    let port = FakePort::open();
    let server = serve(&port).await;
    let mut silent = Vec::new();
    for _ in 0..operator::server::CONNECTIONS_LIMIT / 2 {
        let mut stream = TcpStream::connect(server.address()).await.unwrap();
        stream.write_all(b"POST /patches HTTP/1.1\r\nhost: o\r\nauthor").await.unwrap();
        silent.push(stream);
    }
    let status = tokio::time::timeout(PATIENCE, proved(server.address(), "GET", "/status", b""));
    expect_that!(status.await.unwrap().status.as_u16(), eq(200));
}

#[gtest]
#[tokio::test]
async fn connections_beyond_the_bound_wait_until_one_ends() {
    let port = FakePort::open();
    let server = serve(&port).await;
    let mut held = Vec::new();
    for _ in 0..operator::server::CONNECTIONS_LIMIT {
        held.push(TcpStream::connect(server.address()).await.unwrap());
    }
    let address = server.address();
    let mut beyond =
        tokio::spawn(async move { proved(address, "GET", "/status", b"").await.status });
    let early = tokio::time::timeout(Duration::from_millis(200), &mut beyond).await;
    expect_that!(early.is_err(), eq(true));
    held.truncate(1);
    let status = tokio::time::timeout(PATIENCE, beyond).await.unwrap().unwrap();
    expect_that!(status.as_u16(), eq(200));
}

#[gtest]
#[tokio::test]
async fn a_body_that_stops_in_the_middle_is_answered_and_changes_nothing() {
    // The head promises more bytes than come. The request is answered within the stated time with
    // a status that says that nothing changed, instead of holding its connection for good.
    let port = FakePort::open();
    let server = serve(&port).await;
    let mut stream = TcpStream::connect(server.address()).await.unwrap();
    let head = format!(
        "POST /patches HTTP/1.1\r\nhost: o\r\nauthorization: Bearer {SECRET}\r\n\
         content-length: 1000\r\n\r\n{{\"id\""
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    let mut answer = [0; 12];
    tokio::time::timeout(PATIENCE, stream.read_exact(&mut answer)).await.unwrap().unwrap();
    expect_that!(&answer[..], eq(b"HTTP/1.1 408"));
    expect_that!(port.number().0, eq(0));
}

#[gtest]
#[tokio::test]
async fn an_oversized_header_is_refused_and_the_port_lives_on() {
    let port = FakePort::open();
    let server = serve(&port).await;
    let mut stream = TcpStream::connect(server.address()).await.unwrap();
    let head = format!("GET /status HTTP/1.1\r\nx: {}\r\n", "y".repeat(1_000_000));
    // The server may close before all of it is written.
    let _ = stream.write_all(head.as_bytes()).await;
    let mut answer = Vec::new();
    let _ = tokio::time::timeout(PATIENCE, stream.read_to_end(&mut answer)).await.unwrap();
    expect_that!(String::from_utf8_lossy(&answer).starts_with("HTTP/1.1 200"), eq(false));
    let status = proved(server.address(), "GET", "/status", b"").await.status;
    expect_that!(status.as_u16(), eq(200));
}
