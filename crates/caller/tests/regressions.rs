//! Faults that were found, each with the test that showed it.

mod support;

use std::time::Duration;

use caller::request::RoutingRules;
use googletest::prelude::*;
use model::{
    call::{OUTCOME_HEADER, RefusalReason},
    numbers::CallNumber,
    route::PathMatch,
};
use standin::{
    call::{call, request},
    upstream::FaultPlan,
};
use support::{TestVm, spawn_standin, wait_until, wire::read_to_close};
use tokio::{io::AsyncWriteExt, net::TcpStream};

// Callers connect and send at the very moment in which a VM ends its stop: the system has accepted
// their connections, and the VM has not read a byte. Closing those would cut calls that were sent to
// a VM that took them; each is read and answered.
#[gtest]
#[tokio::test]
async fn row_24_a_call_that_is_not_read_yet_is_not_cut() {
    let upstream = spawn_standin(0, Duration::ZERO).await;
    let vm = TestVm::before(&[upstream.address()]).await;
    let mut callers = Vec::new();
    for _ in 0..30 {
        // Blocking calls, so that the VM's tasks do not run between these and the stop.
        let mut caller = std::net::TcpStream::connect(vm.address()).unwrap();
        std::io::Write::write_all(&mut caller, b"GET /read HTTP/1.1\r\nhost: a\r\n\r\n").unwrap();
        caller.set_nonblocking(true).unwrap();
        callers.push(caller);
    }

    vm.server.drain().await;

    for caller in callers {
        let mut caller = TcpStream::from_std(caller).unwrap();
        expect_that!(read_to_close(&mut caller).await, starts_with("HTTP/1.1 200"));
    }
}

// A call's first try runs at an upstream that breaks off; the second gets no slot. The call may have
// run, so the caller is not told "not-run", whatever the placer said last.
#[gtest]
#[tokio::test]
async fn a_call_that_may_have_run_is_not_called_not_run() {
    let cutting = spawn_standin(0, Duration::from_millis(100)).await;
    cutting.set_fault(FaultPlan { cuts: 1.0, ..FaultPlan::NONE });
    let vm = TestVm::with_budget(&[&cutting]).await;
    let (answer, ()) = tokio::join!(vm.get("/read"), async {
        wait_until("the first try runs", || cutting.ran() == 1).await;
        vm.slots.refuse(Some(RefusalReason::Saturated));
    });

    expect_that!(answer.header(OUTCOME_HEADER), eq("unknown"));
}

// A call that must not run twice gets a longer, repeatable route, whose last slash its path lacks.
#[gtest]
#[tokio::test]
async fn a_call_at_the_bare_path_of_a_repeatable_route_runs_once() {
    let upstreams =
        [spawn_standin(0, Duration::ZERO).await, spawn_standin(1, Duration::ZERO).await];
    let routing = RoutingRules { path_match: PathMatch::Prefixes, ..RoutingRules::default() };
    let vm = TestVm::with_routing(routing, &[]).await;
    vm.save_tries_for(&[&upstreams[0], &upstreams[1]]).await;
    for upstream in &upstreams {
        upstream.set_fault(FaultPlan { cuts: 1.0, ..FaultPlan::NONE });
    }
    let ran = || upstreams.iter().map(|upstream| upstream.ran()).sum::<u64>();
    for path in ["/once/read", "/once/read?page=/", "/once//read/", "/once/read%2F"] {
        let before = ran();
        let answer = call(vm.address(), request("PUT", path, &[], b"final")).await.unwrap();
        expect_that!(answer.status.as_u16(), eq(502), "{path}");
        expect_that!(ran() - before, eq(1), "{path}");
    }
    let before = ran();
    call(vm.address(), request("PUT", "/once/read/", &[], b"lookup")).await.unwrap();
    expect_that!(ran() - before, gt(1), "the repeatable route itself");
}

// One host chooses the route, and the upstream reads the other.
#[gtest]
#[tokio::test]
async fn a_request_that_names_two_hosts_runs_nothing() {
    let upstream = spawn_standin(0, Duration::ZERO).await;
    let routing = RoutingRules { refuse_two_hosts: true, ..RoutingRules::default() };
    let vm = TestVm::with_routing(routing, &[upstream.address()]).await;
    let heads = [
        ("http://one.example/read", "two.example", "HTTP/1.1 400"),
        ("http://one.example/read", "ONE.example:80", "HTTP/1.1 200"),
        ("/read", "one.ex\u{e4}mple", "HTTP/1.1 400"),
    ];
    for (target, host, status) in heads {
        let mut caller = TcpStream::connect(vm.address()).await.unwrap();
        let head = format!("GET {target} HTTP/1.1\r\nhost: {host}\r\nconnection: close\r\n\r\n");
        caller.write_all(head.as_bytes()).await.unwrap();
        expect_that!(read_to_close(&mut caller).await, starts_with(status), "{target} {host}");
    }
    expect_that!(upstream.ran(), eq(1));
}

// A process that starts again gives its calls the numbers of those still under way.
#[gtest]
#[tokio::test]
async fn calls_are_numbered_from_where_the_process_says() {
    let upstream = spawn_standin(0, Duration::ZERO).await;
    let vm = TestVm::numbering_after(CallNumber(9_000), &[upstream.address()]).await;
    vm.get("/read").await;
    let calls: Vec<_> = vm.slots.asks.lock().unwrap().iter().map(|ask| ask.call).collect();
    expect_that!(calls, eq(&[CallNumber(9_001)]));
}
