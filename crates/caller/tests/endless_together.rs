//! Many answers without end at once: what a VM holds for all of them together is bounded, and each call ends in time.

mod support;

use std::{
    alloc::System,
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures::future::join_all;
use googletest::prelude::*;
use http::Request;
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http2::{self, SendRequest};
use hyper_util::rt::{TokioExecutor, TokioIo};
use model::call::DEADLINE_HEADER;
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};
use support::{
    TestVm,
    carriers::FakeCarriers,
    endless::{BODIES, BytesPace, EndlessBytes, EndlessUpstream, HEADS, WRAPPINGS},
    wait_until,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::sleep,
};
use upstream::pool::PathCut;

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// How many calls each kind of caller makes at once, on each of two VMs.
const CALLS: usize = 24;

const UPSTREAMS: usize = 3;

const DEADLINE: Duration = Duration::from_millis(500);

/// By when each caller has seen the end of its call, on a busy machine.
const IN_TIME: Duration = Duration::from_secs(8);

/// The most that may be held for one call, in bytes, at both VMs, the caller and the upstream together: twice what may come
/// between two pieces of an answer.
const HELD_LIMIT: usize = 2 * 256 * 1_024;

const SAMPLE_PAUSE: Duration = Duration::from_millis(2);

/// Reads an answer over HTTP/1.1 and forgets it. Tells whether it looked whole.
async fn call_by_http1(vm: SocketAddr) -> bool {
    let left = DEADLINE.as_millis();
    let head = format!(
        "GET /read HTTP/1.1\r\nhost: a\r\nconnection: close\r\n{DEADLINE_HEADER}: {left}\r\n\r\n"
    );
    let mut stream = TcpStream::connect(vm).await.unwrap();
    stream.write_all(head.as_bytes()).await.unwrap();
    let (mut buffer, mut end, mut start) = (vec![0; 8 * 1_024], Vec::new(), Vec::new());
    while let Ok(read @ 1..) = stream.read(&mut buffer).await {
        if start.len() < 16 {
            start.extend_from_slice(&buffer[..read.min(16)]);
        }
        end.extend_from_slice(&buffer[..read]);
        end.drain(..end.len().saturating_sub(8));
    }
    start.starts_with(b"HTTP/1.1 200") && end.ends_with(b"\r\n0\r\n\r\n")
}

/// The same over HTTP/2.
async fn call_by_http2(mut sender: SendRequest<Empty<Bytes>>) -> bool {
    let left = DEADLINE.as_millis().to_string();
    let request = Request::get("http://a/read").header(DEADLINE_HEADER, left);
    let request = request.body(Empty::new()).unwrap();
    let Ok(answer) = sender.send_request(request).await else { return false };
    let succeeded = answer.status().is_success();
    let mut body = answer.into_body();
    while let Some(frame) = body.frame().await {
        if frame.is_err() {
            return false;
        }
    }
    succeeded
}

async fn open_http2(vm: SocketAddr) -> SendRequest<Empty<Bytes>> {
    let io = TokioIo::new(TcpStream::connect(vm).await.unwrap());
    let (sender, connection) = http2::handshake(TokioExecutor::new(), io).await.unwrap();
    tokio::spawn(connection);
    sender
}

/// How many bytes are allocated beyond those at the beginning.
fn held(region: &Region<'_, System>) -> usize {
    let change = region.change();
    change.bytes_allocated.saturating_sub(change.bytes_deallocated)
}

/// Has many callers call at once, itself and through a carrier, and returns the most that was held meanwhile.
async fn call_together(bytes: EndlessBytes) -> usize {
    let mut upstreams = Vec::new();
    for _ in 0..UPSTREAMS {
        upstreams.push(EndlessUpstream::spawn(bytes, BytesPace::Flood, 0).await);
    }
    let targets: Vec<_> = upstreams.iter().map(EndlessUpstream::address).collect();
    let carriers =
        [FakeCarriers::open("vm-0", "pettah").await, FakeCarriers::open("vm-1", "pettah").await];
    FakeCarriers::meet(&carriers);
    let [own, other] = carriers;
    let vm = TestVm::among(own, &targets).await;
    let carrier = TestVm::among(other, &targets).await;
    vm.pool.cut(Some(PathCut::Resets));

    let region = Region::new(ALLOCATOR);
    let mut most = 0;
    let started = Instant::now();
    let calls = async {
        let mut calls = Vec::new();
        for vm in [vm.address(), carrier.address()] {
            let sender = open_http2(vm).await;
            for _ in 0..CALLS {
                calls.push(tokio::spawn(call_by_http1(vm)));
                calls.push(tokio::spawn(call_by_http2(sender.clone())));
            }
        }
        join_all(calls).await
    };
    let watching = async {
        loop {
            most = most.max(held(&region));
            sleep(SAMPLE_PAUSE).await;
        }
    };
    let ended = tokio::select! {
        ended = calls => ended,
        () = watching => unreachable!("it goes on for as long as the calls"),
    };
    expect_that!(started.elapsed(), lt(IN_TIME), "{}", bytes.name);
    let whole = ended.into_iter().filter(|looked_whole| *looked_whole.as_ref().unwrap()).count();
    expect_that!(whole, eq(0), "{}", bytes.name);
    for (upstream, target) in upstreams.iter().zip(&targets) {
        wait_until("connections are closed", || upstream.connections() == 0).await;
        for vm in [&vm, &carrier] {
            wait_until("none is in use", || vm.pool.tally(*target).in_use == 0).await;
        }
    }
    wait_until("slots are free", || vm.slots.busy() + carrier.slots.busy() == 0).await;
    most
}

async fn expect_bounded(kinds: &[EndlessBytes]) {
    for &bytes in kinds {
        let most = call_together(bytes).await;
        let calls = CALLS * 4;
        expect_that!(most, lt(calls * HELD_LIMIT), "{}: {} a call", bytes.name, most / calls);
        println!("{}: {} KiB a call", bytes.name, most / calls / 1_024);
    }
}

// Heads without end fill a VM's memory, where each is bounded and all of them together are not.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn many_heads_without_end_hold_little_together() {
    expect_bounded(&HEADS).await;
}

// The same for what bodies are wrapped in.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn many_wrappings_without_end_hold_little_together() {
    expect_bounded(&WRAPPINGS).await;
}

// The same for bodies.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn many_bodies_without_end_hold_little_together() {
    expect_bounded(&BODIES).await;
}
