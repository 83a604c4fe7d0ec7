//! Idempotent calls: second tries and hedges within one deadline, and the truth about refusals.

mod support;

use std::{
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use googletest::prelude::*;
use model::call::{OUTCOME_HEADER, OutcomeClass, RefusalReason};
use standin::{
    call::{call, request},
    upstream::{FaultPlan, UpstreamStandin},
};
use support::{
    TestVm,
    slots::FakeSlots,
    spawn_standin, wait_until,
    wire::{LONG, nobody},
};

// One upstream answers 500. The call goes to another, and the caller never learns of it. When all
// answer 500, the caller gets the last upstream's own answer.
#[gtest]
#[tokio::test]
async fn an_error_answer_is_tried_elsewhere_and_the_last_passed_on() {
    let (failing, well) =
        (spawn_standin(0, Duration::ZERO).await, spawn_standin(1, Duration::ZERO).await);
    failing.set_fault(FaultPlan { errors: 1.0, ..FaultPlan::NONE });
    let vm = TestVm::with_budget(&[&failing, &well]).await;

    let mended = vm.get("/read").await;
    well.set_fault(FaultPlan { errors: 1.0, ..FaultPlan::NONE });
    let failed = vm.get("/read").await;

    expect_that!(mended.status.as_u16(), eq(200));
    expect_that!(failed.status.as_u16(), eq(500));
    expect_that!(failed.body.as_ref(), eq(b"failed"));
    expect_that!(failed.header(OUTCOME_HEADER), eq(""));
}

// All upstreams fail together. Second tries stay within the budget, however many calls fail.
#[gtest]
#[tokio::test]
async fn row_10_no_retry_storm() {
    let failing = spawn_standin(0, Duration::ZERO).await;
    failing.set_fault(FaultPlan { errors: 1.0, ..FaultPlan::NONE });
    let vm = TestVm::before(&[failing.address()]).await;
    for _ in 0..300 {
        vm.get("/read").await;
    }

    expect_that!(failing.ran(), le(330));
}

// Nobody listens at the only upstream's address: nothing was sent, and the caller is told so.
#[gtest]
#[tokio::test]
async fn a_connect_failure_is_not_run() {
    let vm = TestVm::before(&[nobody().await]).await;

    let answer = vm.get("/read").await;

    expect_that!(answer.status.as_u16(), eq(503));
    expect_that!(answer.header(OUTCOME_HEADER), eq("not-run"));
    expect_that!(vm.slots.outcomes(), each(eq(&OutcomeClass::ConnectFailure)));
}

// The first upstream is slow. After the grant's hedging time a second one is asked as well; its
// answer wins, and the slow try is cancelled and settled.
#[gtest]
#[tokio::test]
async fn a_slow_try_is_hedged() {
    let (slow, quick) = (spawn_standin(0, LONG).await, spawn_standin(1, Duration::ZERO).await);
    let vm = TestVm::with_budget(&[&slow, &quick]).await;
    vm.slots.hedge_after_us.store(20_000, Ordering::SeqCst);

    let started = Instant::now();
    let answer = vm.get("/read").await;

    expect_that!(String::from_utf8_lossy(&answer.body), starts_with("hunt-1"));
    expect_that!(started.elapsed(), lt(Duration::from_secs(5)));
    wait_until("both are settled", || vm.slots.outcomes().len() == 2).await;
    let outcomes = vm.slots.outcomes();
    expect_that!(outcomes, contains(eq(&OutcomeClass::Cancelled)));
    expect_that!(outcomes, contains(eq(&OutcomeClass::Success)));
}

// A caller states a deadline shorter than the route's. The upstream is told what is left of it, and
// the call ends at it, as unknown: it may have run.
#[gtest]
#[tokio::test]
async fn the_callers_deadline_holds() {
    let silent = spawn_standin(0, LONG).await;
    let vm = TestVm::before(&[silent.address()]).await;
    let headers = [("coltsfootcrank-deadline-ms", "400")];

    let started = Instant::now();
    let answer = call(vm.address(), request("GET", "/read", &headers, b"")).await.unwrap();

    expect_that!(answer.status.as_u16(), eq(504));
    expect_that!(answer.header(OUTCOME_HEADER), eq("unknown"));
    expect_that!(started.elapsed(), ge(Duration::from_millis(390)));
    expect_that!(started.elapsed(), lt(Duration::from_secs(5)));
    expect_that!(vm.slots.outcomes(), elements_are![eq(&OutcomeClass::Timeout)]);
}

// The placer's grant comes after the entry has given the call up. The caller has been told that the
// call was not run; the grant is never used.
#[gtest]
#[tokio::test]
async fn row_6_a_grant_after_the_deadline_is_not_used() {
    let upstream = spawn_standin(0, Duration::ZERO).await;
    let vm = TestVm::before(&[upstream.address()]).await;
    vm.slots.held.store(true, Ordering::SeqCst);
    let headers = [("coltsfootcrank-deadline-ms", "60")];

    let answer = call(vm.address(), request("GET", "/read", &headers, b"")).await.unwrap();
    vm.slots.released.notify_one();

    expect_that!(answer.header(OUTCOME_HEADER), eq("not-run"));
    expect_that!(upstream.ran(), eq(0));
    expect_that!(vm.slots.busy(), eq(0));
}

// One request crashes each upstream that runs it, and its caller sends it again through another VM.
// The crash is told to the placer with the request's fingerprint, which is the same on each VM; the
// placer refuses it after two, and the third upstream lives.
#[gtest]
#[tokio::test]
async fn row_23_a_deadly_request_takes_two_upstreams_at_most() {
    let mut upstreams = Vec::new();
    for number in 0..4 {
        let upstream = spawn_standin(number, Duration::ZERO).await;
        upstream.set_crash_on(Some(b"deadly"));
        upstreams.push(upstream);
    }
    let addresses: Vec<_> = upstreams.iter().map(UpstreamStandin::address).collect();
    let slots = FakeSlots::over(&addresses);
    let one = TestVm::spawn(slots.clone(), Arc::default()).await;
    let other = TestVm::spawn(slots, Arc::default()).await;

    for number in 0..8 {
        let vm = if number % 2 == 0 { &one } else { &other };
        let deadly = request("POST", "/read", &[], b"a deadly request");
        call(vm.address(), deadly).await.unwrap();
    }

    let crashed = upstreams.iter().filter(|upstream| upstream.ran() > 0).count();
    expect_that!(crashed, le(2));
}

// The service is saturated. The refusal says so, that nothing was run, and when to come back.
#[gtest]
#[tokio::test]
async fn row_25_an_early_refusal_says_not_run() {
    let upstream = spawn_standin(0, Duration::ZERO).await;
    let vm = TestVm::before(&[upstream.address()]).await;
    vm.slots.refuse(Some(RefusalReason::Saturated));

    let answer = vm.get("/read").await;

    expect_that!(answer.status.as_u16(), eq(429));
    expect_that!(answer.header(OUTCOME_HEADER), eq("not-run"));
    expect_that!(answer.header("retry-after"), eq("1"));
    expect_that!(upstream.ran(), eq(0));
}
