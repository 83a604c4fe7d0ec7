//! What a proxy changes on the way, and a planned stop.

mod support;

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use googletest::prelude::*;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use standin::call::{CallConnection, call, request};
use support::{
    TestVm, spawn_standin, wait_until,
    wire::{TestBody, raw, spawn_upstream},
};

/// Answers with the head that it was sent, one header a line.
async fn echo_head(request: Request<Incoming>) -> Response<TestBody> {
    let mut text = format!("{} {}\n", request.method(), request.uri());
    for (name, value) in request.headers() {
        text.push_str(&format!("{name}: {}\n", value.to_str().unwrap_or("?")));
    }
    let body = Full::new(Bytes::from(text)).map_err(|never| match never {}).boxed_unsync();
    Response::builder()
        .header("coltsfootcrank-outcome", "not-run")
        .header("coltsfootcrank-upstream", "draining")
        .header("connection", "x-private")
        .header("x-private", "secret")
        .header("x-kept", "1")
        .body(body)
        .unwrap()
}

// What belongs to the caller's connection stays there; what tells who asked, and through whom, is
// added; the remaining deadline is stated anew.
#[gtest]
#[tokio::test]
async fn request_headers_are_those_of_a_well_behaved_proxy() {
    let vm = TestVm::before(&[spawn_upstream(echo_head).await]).await;

    let text = raw(
        vm.address(),
        b"GET http://hunt.example:80/read?q=1 HTTP/1.1\r\nhost: other\r\n\
          connection: close, x-mine\r\nx-mine: 1\r\nkeep-alive: 5\r\nproxy-connection: close\r\n\
          te: trailers, deflate\r\nx-kept: 1\r\nvia: 1.0 first\r\nx-forwarded-for: 9.9.9.9\r\n\
          forwarded: for=9.9.9.9\r\ncoltsfootcrank-deadline-ms: 5000\r\n\r\n",
    )
    .await;

    expect_that!(text, contains_substring("GET /read?q=1\n"));
    expect_that!(text, contains_substring("host: hunt.example:80\n"));
    expect_that!(text, contains_substring("x-kept: 1\n"));
    expect_that!(text, contains_substring("te: trailers\n"));
    expect_that!(text, contains_substring("via: 1.0 first\nvia: 1.1 coltsfootcrank\n"));
    let forwarded_for = "x-forwarded-for: 9.9.9.9\nx-forwarded-for: 127.0.0.1\n";
    expect_that!(text, contains_substring(forwarded_for));
    expect_that!(text, contains_substring("forwarded: for=9.9.9.9\nforwarded: for=127.0.0.1\n"));
    for gone in ["x-mine", "keep-alive", "proxy-connection", "deflate"] {
        expect_that!(text, not(contains_substring(gone)));
    }
    let stated = text.split("coltsfootcrank-deadline-ms: ").nth(1).unwrap();
    let left: u32 = stated.split('\n').next().unwrap().parse().unwrap();
    expect_that!(left, le(5_000));
}

// An upstream states an outcome that only the fleet may state, and headers of its own connection.
// None of them reaches the caller.
#[gtest]
#[tokio::test]
async fn an_upstream_cannot_speak_for_the_fleet() {
    let vm = TestVm::before(&[spawn_upstream(echo_head).await]).await;

    let answer = vm.get("/read").await;

    expect_that!(answer.header("coltsfootcrank-outcome"), eq(""));
    expect_that!(answer.header("coltsfootcrank-upstream"), eq(""));
    expect_that!(answer.header("x-private"), eq(""));
    expect_that!(answer.header("x-kept"), eq("1"));
    expect_that!(answer.header("via"), eq("1.1 coltsfootcrank"));
}

// A request that goes round in a circle of proxies is refused as not run instead of filling them.
#[gtest]
#[tokio::test]
async fn a_circle_of_proxies_is_broken() {
    let vm = TestVm::before(&[spawn_upstream(echo_head).await]).await;
    let via = "1.1 coltsfootcrank, 1.1 coltsfootcrank, 1.1 coltsfootcrank";

    let answer = call(vm.address(), request("GET", "/read", &[("via", via)], b"")).await.unwrap();

    expect_that!(answer.status.as_u16(), eq(508));
    expect_that!(answer.header("coltsfootcrank-outcome"), eq("not-run"));
}

// A VM stops as planned while calls run: an idempotent one, and a payment. Both get their whole
// answers, callers are asked to leave their connections first, and the stop ends.
#[gtest]
#[tokio::test]
async fn row_24_a_planned_stop_cuts_no_call() {
    let upstream = spawn_standin(0, Duration::from_millis(300)).await;
    let vm = Arc::new(TestVm::before(&[upstream.address()]).await);
    let mut reader = CallConnection::open(vm.address()).await.unwrap();
    let mut payer = CallConnection::open(vm.address()).await.unwrap();
    let paying = support::payment(support::key(1), b"fee");
    let calls = tokio::spawn(async move {
        let read = reader.send(request("GET", "/read", &[], b""));
        let (read, paid) = tokio::join!(read, payer.send(paying));
        (read.unwrap(), paid.unwrap(), reader.is_closing())
    });
    wait_until("both run", || upstream.ran() == 2).await;

    let vm = Arc::into_inner(vm).unwrap();
    vm.server.begin_closing();
    vm.server.drain().await;
    let (read, paid, told_to_leave) = calls.await.unwrap();

    expect_that!(read.status.as_u16(), eq(200));
    expect_that!(paid.status.as_u16(), eq(200));
    expect_true!(told_to_leave);
    expect_that!(vm.slots.busy(), eq(0));
}
