//! A planned stop with a limit: each call that is held gets its end within it, and none goes to an upstream with too
//! little of it left.

mod support;

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use bytes::Bytes;
use caller::limits::CallLimits;
use googletest::prelude::*;
use http::{Request, StatusCode};
use http_body_util::Empty;
use hyper::client::conn::http2;
use hyper_util::rt::{TokioExecutor, TokioIo};
use model::{
    call::{OUTCOME_HEADER, RefusalReason},
    ledger::CallKey,
};
use standin::{
    call::{CallConnection, WholeAnswer, call, request},
    upstream::{FaultPlan, UpstreamStandin},
};
use support::{
    PATIENCE, TestVm, carriers::FakeCarriers, key, payment, slots::FakeSlots, spawn_standin,
    wait_until, wire::read_to_close,
};
use tokio::{
    io::AsyncWriteExt,
    net::TcpStream,
    task::JoinHandle,
    time::{Instant, sleep, timeout},
};
use upstream::pool::PathCut;

/// How long the stops of these tests last, up to the end of the calls.
const STOP: Duration = Duration::from_millis(1_200);

/// How long the calls of the upstream take.
const WORK: Duration = Duration::from_millis(100);

/// When a slot comes too late: a call takes at least [`WORK`].
const TOO_LATE: Duration = Duration::from_millis(1_150);

/// Stops a VM as planned, and fails if that takes much longer than it may.
async fn stop(vm: TestVm) {
    vm.server.begin_closing();
    vm.server.limit_calls(Instant::now() + STOP);
    sleep(STOP / 2).await;
    vm.server.begin_refusing();
    timeout(PATIENCE / 4, vm.server.drain()).await.expect("the stop ends");
}

/// A VM before one upstream whose times it knows, where the next call waits for a slot.
async fn waiting_vm() -> (TestVm, UpstreamStandin) {
    let upstream = spawn_standin(0, WORK).await;
    let vm = TestVm::before(&[upstream.address()]).await;
    for _ in 0..16 {
        vm.get("/read/7").await;
    }
    vm.slots.held.store(true, Ordering::SeqCst);
    (vm, upstream)
}

fn spawn_call(vm: &TestVm, path: &'static str) -> JoinHandle<WholeAnswer> {
    let address = vm.address();
    tokio::spawn(async move { call(address, request("GET", path, &[], b"")).await.unwrap() })
}

fn spawn_payment(vm: &TestVm, number: u8) -> JoinHandle<WholeAnswer> {
    let address = vm.address();
    tokio::spawn(async move { call(address, payment(key(number), b"fee")).await.unwrap() })
}

/// Gives a slot to whoever waits, some time after this.
fn release(slots: &Arc<FakeSlots>, after: Duration) {
    let slots = slots.clone();
    tokio::spawn(async move {
        sleep(after).await;
        slots.held.store(false, Ordering::SeqCst);
        slots.released.notify_waiters();
    });
}

fn is_refused(answer: &WholeAnswer) -> bool {
    let outcome = answer.header(OUTCOME_HEADER);
    (answer.status, outcome) == (StatusCode::SERVICE_UNAVAILABLE, "not-run")
}

// Calls that wait for a slot at a planned stop were cut without an answer by the end of the process.
#[gtest]
#[tokio::test]
async fn calls_that_wait_for_a_slot_are_refused_within_the_stop() {
    let (vm, upstream) = waiting_vm().await;
    let ran = upstream.ran();
    let calls = [spawn_call(&vm, "/read/7"), spawn_call(&vm, "/once"), spawn_payment(&vm, 1)];
    let slots = vm.slots.clone();
    wait_until("all wait", || slots.waiting.load(Ordering::SeqCst) == 3).await;
    stop(vm).await;
    for waiting in calls {
        let answer = waiting.await.unwrap();
        expect_true!(is_refused(&answer), "{answer:?}");
    }
    expect_that!(upstream.ran(), eq(ran));
    expect_that!(slots.waiting.load(Ordering::SeqCst), eq(0));
}

// A call that could still be served at a planned stop was refused, or cut.
#[gtest]
#[tokio::test]
async fn a_call_that_gets_a_slot_in_time_is_served_within_the_stop() {
    let (vm, _upstream) = waiting_vm().await;
    let calls = [spawn_call(&vm, "/read/7"), spawn_call(&vm, "/once"), spawn_payment(&vm, 1)];
    let slots = vm.slots.clone();
    wait_until("all wait", || slots.waiting.load(Ordering::SeqCst) == 3).await;
    release(&slots, STOP / 2);
    stop(vm).await;
    for waiting in calls {
        expect_that!(waiting.await.unwrap().status, eq(StatusCode::OK));
    }
}

// A call that got its slot late in a planned stop was cut at its upstream by the end of the process.
#[gtest]
#[tokio::test]
async fn a_slot_that_comes_too_late_in_a_stop_is_given_back_unused() {
    let (vm, upstream) = waiting_vm().await;
    let ran = upstream.ran();
    let waiting = spawn_call(&vm, "/once");
    let slots = vm.slots.clone();
    wait_until("it waits", || slots.waiting.load(Ordering::SeqCst) == 1).await;
    release(&slots, TOO_LATE);
    stop(vm).await;
    expect_true!(is_refused(&waiting.await.unwrap()));
    expect_that!((upstream.ran(), slots.busy()), eq((ran, 0)));
}

// A call that waits for its second try at a planned stop was cut without an answer.
#[gtest]
#[tokio::test]
async fn a_call_between_two_tries_gets_its_end_within_the_stop() {
    for path in ["/read/7", "/once"] {
        let (vm, upstream) = waiting_vm().await;
        vm.slots.held.store(false, Ordering::SeqCst);
        upstream.set_refusal(Some("shed"));
        let slots = vm.slots.clone();
        slots.holds_retries.store(true, Ordering::SeqCst);
        let waiting = spawn_call(&vm, path);
        wait_until("its second try waits", || {
            slots.asks.lock().unwrap().last().unwrap().attempt == 2
                && slots.waiting.load(Ordering::SeqCst) == 1
        })
        .await;
        stop(vm).await;
        let answer = waiting.await.unwrap();
        expect_true!(is_refused(&answer), "{path}: {answer:?}");
        expect_that!(slots.busy(), eq(0));
    }
}

// An upstream that does not answer held up a planned stop, whose end cut the call without an answer.
#[gtest]
#[tokio::test]
async fn calls_at_work_at_the_end_of_a_stop_are_answered_as_unknown() {
    let (vm, upstream) = waiting_vm().await;
    vm.slots.held.store(false, Ordering::SeqCst);
    upstream.set_fault(FaultPlan { silence: 1.0, ..FaultPlan::NONE });
    let ran = upstream.ran();
    let calls = [spawn_call(&vm, "/read/7"), spawn_call(&vm, "/once"), spawn_payment(&vm, 1)];
    wait_until("all are sent", || upstream.ran() == ran + 3).await;
    stop(vm).await;
    for sent in calls {
        let answer = sent.await.unwrap();
        expect_true!(answer.status.is_server_error());
        expect_that!(answer.header(OUTCOME_HEADER), eq("unknown"));
    }
}

// A payment that waits for its ledger at a planned stop was cut without an answer.
#[gtest]
#[tokio::test]
async fn a_payment_that_waits_for_its_ledger_is_answered_within_the_stop() {
    let (vm, upstream) = waiting_vm().await;
    let ran = upstream.ran();
    vm.ledger.held.store(true, Ordering::SeqCst);
    let waiting = spawn_payment(&vm, 1);
    let ledger = vm.ledger.clone();
    wait_until("it is claimed", || ledger.claims.load(Ordering::SeqCst) == 1).await;
    stop(vm).await;
    let answer = waiting.await.unwrap();
    expect_that!(answer.header(OUTCOME_HEADER), eq("not-run"));
    expect_that!(upstream.ran(), eq(ran));
}

// A request whose body comes slowly at a planned stop was cut without an answer.
#[gtest]
#[tokio::test]
async fn a_request_whose_body_comes_slowly_is_refused_within_the_stop() {
    let (vm, upstream) = waiting_vm().await;
    let ran = upstream.ran();
    let mut caller = TcpStream::connect(vm.address()).await.unwrap();
    caller
        .write_all(b"POST /once HTTP/1.1\r\nhost: a\r\ncontent-length: 100\r\n\r\nbeginning")
        .await
        .unwrap();
    sleep(WORK).await;
    let (answer, ()) = tokio::join!(read_to_close(&mut caller), stop(vm));
    expect_that!(answer, starts_with("HTTP/1.1 503"));
    expect_that!(answer, contains_substring("not-run"));
    expect_that!(upstream.ran(), eq(ran));
}

// Calls on an HTTP/2 connection at a planned stop were cut without an answer.
#[gtest]
#[tokio::test]
async fn calls_on_http2_are_answered_within_the_stop() {
    let (vm, _upstream) = waiting_vm().await;
    let io = TokioIo::new(TcpStream::connect(vm.address()).await.unwrap());
    let (mut sender, connection) =
        http2::handshake::<_, _, Empty<Bytes>>(TokioExecutor::new(), io).await.unwrap();
    tokio::spawn(connection);
    let head = || Request::get("http://a/read/7").body(Empty::new()).unwrap();
    let calls = [sender.send_request(head()), sender.send_request(head())];
    let calls = tokio::spawn(futures::future::join_all(calls));
    let slots = vm.slots.clone();
    wait_until("both wait", || slots.waiting.load(Ordering::SeqCst) == 2).await;
    stop(vm).await;
    for answer in calls.await.unwrap() {
        expect_that!(answer.unwrap().status(), eq(StatusCode::SERVICE_UNAVAILABLE));
    }
}

// A call read in a planned stop waited for a slot of a service that answers too slowly for what was left of it.
#[gtest]
#[tokio::test]
async fn a_call_that_cannot_end_in_the_stop_is_refused_at_once() {
    let upstream = spawn_standin(0, STOP).await;
    let vm = TestVm::before(&[upstream.address()]).await;
    vm.get("/read/7").await;
    let ran = upstream.ran();
    vm.server.begin_closing();
    vm.server.limit_calls(Instant::now() + STOP);
    let asked = Instant::now();
    expect_true!(is_refused(&vm.get("/read/7").await));
    expect_that!(asked.elapsed(), lt(STOP / 2));
    expect_that!(upstream.ran(), eq(ran));
}

// An upstream was told that it has the whole time of a call whose VM is gone long before.
#[gtest]
#[tokio::test]
async fn upstreams_and_placers_are_told_what_a_stop_leaves_of_a_call() {
    let (vm, _upstream) = waiting_vm().await;
    vm.slots.held.store(false, Ordering::SeqCst);
    vm.server.limit_calls(Instant::now() + STOP);
    expect_that!(vm.get("/read/7").await.status, eq(StatusCode::OK));
    let within_ms = vm.slots.asks.lock().unwrap().last().unwrap().within_ms;
    expect_that!(Duration::from_millis(within_ms.into()), le(STOP));
}

// A placer refused a call for what little a stop leaves of it, and its caller was told to wait as for a full service.
#[gtest]
#[tokio::test]
async fn a_call_that_a_stop_cuts_short_is_sent_to_another_vm_at_once() {
    let (vm, _upstream) = waiting_vm().await;
    vm.slots.held.store(false, Ordering::SeqCst);
    vm.slots.refuse(Some(RefusalReason::DeadlineTooShort));
    let usual = vm.get("/read/7").await;
    expect_that!(usual.body, eq("refused, not run: deadline-too-short; come back in 1000 ms\n"));
    vm.server.limit_calls(Instant::now() + STOP);
    let stopping = vm.get("/read/7").await;
    expect_that!(stopping.body, eq("refused, not run: not-ready; come back in 50 ms\n"));
}

// A VM that stops cut the call that it carries for another, which blamed the upstream.
#[gtest]
#[tokio::test]
async fn a_carried_call_gets_its_end_within_the_stop_of_its_carrier() {
    let upstream = spawn_standin(0, WORK).await;
    let carriers =
        [FakeCarriers::open("vm-0", "fort-hall").await, FakeCarriers::open("vm-1", "pettah").await];
    FakeCarriers::meet(&carriers);
    let targets = [upstream.address()];
    let vm = TestVm::among(carriers[0].clone(), &targets).await;
    let carrier = TestVm::among(carriers[1].clone(), &targets).await;
    vm.pool.cut(Some(PathCut::Resets));
    upstream.set_fault(FaultPlan { silence: 1.0, ..FaultPlan::NONE });
    let carried = spawn_payment(&vm, 1);
    wait_until("it is carried", || upstream.ran() == 1).await;
    stop(carrier).await;
    let answer = timeout(PATIENCE / 4, carried).await.expect("it ends with the carrier").unwrap();
    expect_that!(answer.header(OUTCOME_HEADER), eq("unknown"));
    expect_that!(vm.slots.busy(), eq(0));
}

// A caller that reads nothing of its answer held up a planned stop until its limit, which was called a failure.
#[gtest]
#[tokio::test]
async fn a_caller_that_reads_nothing_does_not_hold_up_the_stop() {
    let large = support::wire::spawn_upstream(|_| async {
        let body = Bytes::from(vec![7; 32 * 1_024 * 1_024]);
        let body = http_body_util::Full::new(body);
        let body = http_body_util::BodyExt::map_err(body, |never| match never {});
        http::Response::new(http_body_util::BodyExt::boxed_unsync(body))
    })
    .await;
    let slots = FakeSlots::over(&[large]);
    let vm = TestVm::with_limits(slots, Arc::default(), CallLimits::default()).await;
    let mut caller = TcpStream::connect(vm.address()).await.unwrap();
    caller.write_all(b"GET /read/7 HTTP/1.1\r\nhost: a\r\n\r\n").await.unwrap();
    let slots = vm.slots.clone();
    wait_until("it is sent", || slots.busy() == 1).await;
    stop(vm).await;
    expect_that!(slots.busy(), eq(0));
}

/// How soon a connection is closed on which a request crosses the close.
const CROSSING: Duration = Duration::from_millis(400);

/// Sends one call after the other on connections that are kept, until nobody listens any more. Returns how many were served;
/// the others were refused as not run, or crossed the close of their connection.
async fn call_until_the_end(address: SocketAddr, number: u8) -> u32 {
    let mut served = 0;
    let mut connection = CallConnection::open(address).await.unwrap();
    for sent in 0_u32.. {
        let call = match (sent + u32::from(number)) % 3 {
            0 => request("GET", "/read/7", &[], b""),
            1 => request("POST", "/once", &[], b""),
            _ => payment(CallKey::from_parts(u64::from(sent), [number; 10]), b"fee"),
        };
        let began = Instant::now();
        let answer = connection.send(call).await;
        match &answer {
            Ok(answer) if answer.status == StatusCode::OK => served += 1,
            Ok(answer) => assert!(is_refused(answer), "{answer:?}"),
            Err(_) => assert!(began.elapsed() < CROSSING, "cut after {:?}", began.elapsed()),
        }
        sleep(Duration::from_millis(u64::from(number % 7) * 5)).await;
        if connection.is_closing() || answer.is_err() {
            let Ok(opened) = CallConnection::open(address).await else { return served };
            connection = opened;
        }
    }
    served
}

// A call that came late in a planned stop was passed on, and cut at its upstream by the end of the process.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn calls_that_come_at_any_moment_of_a_stop_are_served_or_refused() {
    for (work, carried) in [(WORK, false), (STOP / 3, false), (WORK, true)] {
        let upstream = spawn_standin(0, work).await;
        let carriers = [
            FakeCarriers::open("vm-0", "fort-hall").await,
            FakeCarriers::open("vm-1", "pettah").await,
        ];
        FakeCarriers::meet(&carriers);
        let [own, other] = carriers;
        let vm = TestVm::among(own, &[upstream.address()]).await;
        let _carrier = TestVm::among(other, &[upstream.address()]).await;
        vm.pool.cut(carried.then_some(PathCut::Resets));
        let callers: Vec<_> =
            (0..24).map(|number| tokio::spawn(call_until_the_end(vm.address(), number))).collect();
        sleep(STOP).await;
        let slots = vm.slots.clone();
        stop(vm).await;
        let mut served = 0;
        for caller in callers {
            served += caller.await.unwrap();
        }
        let what = format!("work {work:?}, carried {carried}");
        expect_that!(upstream.ran(), eq(u64::from(served)), "{what}: none ran for nobody");
        expect_that!(served, gt(0), "{what}");
        expect_that!(slots.busy(), eq(0), "{what}");
    }
}
