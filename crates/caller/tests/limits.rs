//! Callers that send too much, too slowly, or nonsense: a clear status, and nothing run.

mod support;

use std::{sync::Arc, time::Duration};

use caller::limits::CallLimits;
use googletest::prelude::*;
use model::call::OUTCOME_HEADER;
use standin::{
    call::{call, request},
    upstream::UpstreamStandin,
};
use support::{
    TestVm, key, payment,
    slots::FakeSlots,
    spawn_standin, wait_until,
    wire::{LONG, raw, read_to_close},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

const QUICK: Duration = Duration::from_millis(200);

fn tight() -> CallLimits {
    CallLimits {
        connections: 4,
        calls: 2,
        keyed_bytes: 1_000,
        large_bodies: 1,
        repeat_bytes: 500,
        stream_bytes: 5_000,
        head_timeout: QUICK,
        body_idle: QUICK,
        ..CallLimits::default()
    }
}

async fn tight_vm(takes: Duration) -> (TestVm, UpstreamStandin) {
    let upstream = spawn_standin(0, takes).await;
    let slots = FakeSlots::over(&[upstream.address()]);
    (TestVm::with_limits(slots, Arc::default(), tight()).await, upstream)
}

// Requests that break a rule, each in one line. Each gets the status that says what is wrong and,
// but where the HTTP library answers by itself, that nothing was run; and nothing is.
#[gtest]
#[tokio::test]
async fn row_27_nonsense_gets_a_clear_status_and_runs_nothing() {
    let (vm, upstream) = tight_vm(Duration::ZERO).await;
    let long_header = format!("GET /read HTTP/1.1\r\nhost: a\r\nx: {}\r\n\r\n", "y".repeat(90_000));
    let cases: [(&str, &str, &str); 11] = [
        ("GET /nowhere HTTP/1.1\r\nhost: a\r\n\r\n", "404", "not-run"),
        ("GET /read HTTP/1.1\r\n\r\n", "400", "not-run"),
        ("GET /read HTTP/1.1\r\nhost: a\r\nhost: b\r\n\r\n", "400", "not-run"),
        (
            "GET /read HTTP/1.1\r\nhost: a\r\ncoltsfootcrank-deadline-ms: soon\r\n\r\n",
            "400",
            "not-run",
        ),
        ("CONNECT a:443 HTTP/1.1\r\nhost: a\r\n\r\n", "501", "not-run"),
        (
            "GET /read HTTP/1.1\r\nhost: a\r\nconnection: upgrade\r\nupgrade: websocket\r\n\r\n",
            "501",
            "not-run",
        ),
        ("POST /pay HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n\r\n", "400", "key-missing"),
        ("POST /read HTTP/1.1\r\nhost: a\r\ncontent-length: 6000\r\n\r\n", "413", "not-run"),
        ("POST /read HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n", "400", ""),
        ("GET /\u{e4} HTTP/1.1 x\r\nhost: a\r\n\r\n", "400", ""),
        (&long_header, "431", ""),
    ];
    for (bytes, status, text) in cases {
        let answer = raw(vm.address(), bytes.as_bytes()).await;
        let start = format!("HTTP/1.1 {status}");
        expect_that!(answer, starts_with(start.as_str()).and(contains_substring(text)));
    }
    expect_that!(upstream.ran(), eq(0));
    expect_that!(vm.slots.busy(), eq(0));
}

// A keyed call's body is larger than what can be held for its digest. It is refused as not run, and
// its key is not claimed.
#[gtest]
#[tokio::test]
async fn row_27_a_keyed_body_over_the_bound_is_not_run() {
    let (vm, upstream) = tight_vm(Duration::ZERO).await;

    let answer = call(vm.address(), payment(key(1), &[7; 1_001])).await.unwrap();

    expect_that!(answer.status.as_u16(), eq(413));
    expect_that!(answer.header(OUTCOME_HEADER), eq("not-run"));
    expect_that!(vm.ledger.state(key(1)), none());
    expect_that!(upstream.ran(), eq(0));
}

// One payment with a large body is being read or run; the next finds no room for its body. It is
// refused as not run, with a time to come back, and a small payment goes on.
#[gtest]
#[tokio::test]
async fn row_27_large_bodies_are_bounded_in_number() {
    let (vm, upstream) = tight_vm(Duration::from_millis(300)).await;
    let large = tokio::spawn(call(vm.address(), payment(key(1), &[7; 900])));
    wait_until("the first runs", || upstream.ran() == 1).await;

    let refused = call(vm.address(), payment(key(2), &[7; 900])).await.unwrap();
    let small = call(vm.address(), payment(key(3), &[7; 90])).await.unwrap();

    expect_that!(refused.status.as_u16(), eq(429));
    expect_that!(refused.header(OUTCOME_HEADER), eq("not-run"));
    expect_that!(refused.header("retry-after"), eq("1"));
    expect_that!(small.status.as_u16(), eq(200));
    expect_that!(large.await.unwrap().unwrap().status.as_u16(), eq(200));
}

// A body without a stated length grows beyond the bound after its beginning has gone to the upstream.
// The upload is broken off there, and the caller is told that the call may have run.
#[gtest]
#[tokio::test]
async fn row_27_a_body_that_grows_beyond_the_bound_is_broken_off() {
    let (vm, upstream) = tight_vm(Duration::ZERO).await;
    let mut bytes =
        b"POST /read HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n".to_vec();
    for _ in 0..10 {
        bytes.extend_from_slice(b"3e8\r\n");
        bytes.extend_from_slice(&[b'x'; 1_000]);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes.extend_from_slice(b"0\r\n\r\n");

    let answer = raw(vm.address(), &bytes).await;

    expect_that!(answer, contains_substring("unknown"));
    expect_that!(answer, not(contains_substring("200 OK")));
    wait_until("the slot is free", || vm.slots.busy() == 0).await;
    expect_that!(upstream.runs_by_key().len(), eq(0));
}

// Callers connect and send nothing, half a head, or half a body. Each connection is closed within
// the bound, nothing is run, and the places are free for others.
#[gtest]
#[tokio::test]
async fn row_27_half_a_request_then_silence_is_ended() {
    let (vm, upstream) = tight_vm(Duration::ZERO).await;
    let halves: [&[u8]; 5] = [
        b"",
        b"P",
        b"PRI * HTTP/2.0\r\n",
        b"GET /read HTTP/1.1\r\nhost",
        b"POST /read HTTP/1.1\r\nhost: a\r\ncontent-length: 10\r\n\r\nhalf",
    ];
    for half in halves {
        let mut stream = TcpStream::connect(vm.address()).await.unwrap();
        stream.write_all(half).await.unwrap();
        let answer = read_to_close(&mut stream).await;
        expect_that!(answer, any![eq(""), contains_substring("408")]);
    }
    expect_that!(upstream.ran(), eq(0));
    expect_that!(vm.get("/read").await.status.as_u16(), eq(200));
}

// A caller that asks before it sends ("Expect: 100-continue") is told to go on when there is a route,
// and gets the refusal instead when there is none.
#[gtest]
#[tokio::test]
async fn expect_continue_is_answered() {
    let (vm, upstream) = tight_vm(Duration::ZERO).await;
    for (path, told) in [("/read", "HTTP/1.1 100"), ("/nowhere", "HTTP/1.1 404")] {
        let mut stream = TcpStream::connect(vm.address()).await.unwrap();
        let head = format!(
            "POST {path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\
             expect: 100-continue\r\ncontent-length: 2\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).await.unwrap();
        let mut first = [0; 12];
        stream.read_exact(&mut first).await.unwrap();
        expect_that!(String::from_utf8_lossy(&first), eq(told));
        if told.ends_with("100") {
            stream.write_all(b"ok").await.unwrap();
            let rest = read_to_close(&mut stream).await;
            expect_that!(rest, contains_substring("HTTP/1.1 200 OK"));
        }
    }
    expect_that!(upstream.ran(), eq(1));
}

// One connection more than the VM takes is answered with a refusal that says "not-run" and when to
// come back, and then closed.
#[gtest]
#[tokio::test]
async fn row_27_a_connection_too_many_is_refused_in_words() {
    let (vm, upstream) = tight_vm(LONG).await;
    let mut held = Vec::new();
    for _ in 0..4 {
        let mut stream = TcpStream::connect(vm.address()).await.unwrap();
        stream.write_all(b"GET /read HTTP/1.1\r\nhost: a\r\n\r\n").await.unwrap();
        held.push(stream);
    }
    wait_until("the calls run", || upstream.ran() == 2).await;

    let answer = raw(vm.address(), b"GET /read HTTP/1.1\r\nhost: a\r\n\r\n").await;

    expect_that!(answer, starts_with("HTTP/1.1 429").and(contains_substring("not-run")));
    expect_that!(answer.to_lowercase(), contains_substring("retry-after: 1"));
    expect_that!(upstream.ran(), eq(2));
}

// More calls at once than the VM takes: the surplus is refused at once, and says so.
#[gtest]
#[tokio::test]
async fn row_25_calls_beyond_the_vms_own_room_are_refused_at_once() {
    let (vm, upstream) = tight_vm(Duration::from_millis(300)).await;
    let get = || call(vm.address(), request("GET", "/read", &[], b""));

    let answers = futures::future::join_all([get(), get(), get()]).await;

    let refused = answers.iter().flatten().filter(|one| one.header(OUTCOME_HEADER) == "not-run");
    expect_that!(refused.count(), eq(1));
    expect_that!(upstream.ran(), eq(2));
}
