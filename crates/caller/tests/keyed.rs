//! Calls with an idempotency key: at most once, and the truth about it.

mod support;

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use bytes::Bytes;
use googletest::prelude::*;
use http::Response;
use http_body_util::{BodyExt, Full};
use model::{
    call::{OUTCOME_HEADER, OutcomeClass, RefusalReason},
    ledger::CallKey,
};
use standin::{
    call::{call, request},
    upstream::FaultPlan,
};
use support::{
    TestVm, key,
    ledger::{FakeLedger, KeyState},
    payment,
    slots::FakeSlots,
    spawn_standin, wait_until,
    wire::{LONG, nobody, spawn_upstream},
};
use tokio::net::TcpStream;

fn runs(upstreams: &[&standin::upstream::UpstreamStandin], key: CallKey) -> u32 {
    let count = |one: &&standin::upstream::UpstreamStandin| {
        one.runs_by_key().get(&key.to_string()).copied().unwrap_or(0)
    };
    upstreams.iter().map(count).sum()
}

// An entry takes a payment, sends it to the upstream, and dies before the answer. The caller sends
// the payment again through another VM. The claim is open, so the second VM must not run it; it
// says that the call is in progress, and runs nothing.
#[gtest]
#[tokio::test]
async fn row_1_resend_after_the_entry_died_runs_nothing() {
    let upstream = spawn_standin(0, LONG).await;
    let ledger = Arc::<FakeLedger>::default();
    let slots = FakeSlots::over(&[upstream.address()]);
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build().unwrap();
    let (first_slots, first_ledger) = (slots.clone(), ledger.clone());
    let dying = runtime.spawn(TestVm::spawn(first_slots, first_ledger)).await.unwrap();
    let address = dying.address();
    let lost = tokio::spawn(call(address, payment(key(1), b"fee")));
    wait_until("the payment runs", || upstream.ran() == 1).await;
    runtime.shutdown_background();
    let second = TestVm::spawn(slots, ledger).await;

    let answer = second.pay(key(1), b"fee").await;

    expect_that!(answer.header(OUTCOME_HEADER), eq("in-progress"));
    expect_that!(answer.header("retry-after"), eq("1"));
    expect_that!(runs(&[&upstream], key(1)), eq(1));
    expect_true!(lost.await.unwrap().is_err());
}

// A payment's answer is on its way when the caller's connection breaks. The caller sends the payment
// again, through another VM, and gets the answer of the first run, marked as recorded.
#[gtest]
#[tokio::test]
async fn row_1_resend_gets_the_recorded_answer() {
    let upstream = spawn_standin(0, Duration::ZERO).await;
    let ledger = Arc::<FakeLedger>::default();
    let slots = FakeSlots::over(&[upstream.address()]);
    let first = TestVm::spawn(slots.clone(), ledger.clone()).await;
    let second = TestVm::spawn(slots, ledger).await;

    let run = first.pay(key(1), b"fee").await;
    let again = second.pay(key(1), b"fee").await;

    expect_that!(run.header(OUTCOME_HEADER), eq(""));
    expect_that!(again.header(OUTCOME_HEADER), eq("recorded"));
    expect_that!(again.body, eq(&run.body));
    expect_that!(runs(&[&upstream], key(1)), eq(1));
}

// A ledger that cannot tell two calls with one key from one claim sent twice would let both run.
// So each call states a claimant of its own, also when the same entry takes both.
#[gtest]
#[tokio::test]
async fn row_2_each_call_has_a_claimant_of_its_own() {
    let upstream = spawn_standin(0, Duration::ZERO).await;
    let vm = TestVm::before(&[upstream.address()]).await;
    for _ in 0..20 {
        vm.pay(key(1), b"fee").await;
    }

    let mut claimants = vm.ledger.claimants.lock().unwrap().clone();
    claimants.sort_unstable();
    claimants.dedup();
    expect_that!(claimants, len(eq(20)));
}

// Two VMs take the same payment in the same moment. One runs it; the other says that it is in
// progress, at once and with a time to come back, and then gives the same answer.
#[gtest]
#[tokio::test]
async fn row_3_two_vms_claim_one_key() {
    let upstream = spawn_standin(0, Duration::from_millis(300)).await;
    let ledger = Arc::<FakeLedger>::default();
    let slots = FakeSlots::over(&[upstream.address()]);
    let first = TestVm::spawn(slots.clone(), ledger.clone()).await;
    let second = TestVm::spawn(slots.clone(), ledger).await;

    let (one, other) = tokio::join!(first.pay(key(1), b"fee"), second.pay(key(1), b"fee"));
    let again = second.pay(key(1), b"fee").await;

    let (run, told) =
        if one.header(OUTCOME_HEADER).is_empty() { (one, other) } else { (other, one) };
    expect_that!(run.status.as_u16(), eq(200));
    expect_that!(told.header(OUTCOME_HEADER), eq("in-progress"));
    expect_that!(again.body, eq(&run.body));
    expect_that!(runs(&[&upstream], key(1)), eq(1));
    wait_until("each slot is given back", || slots.busy() == 0).await;
}

// A caller uses one key for two different payments. The second is refused as not run, rather than
// answered with the first one's answer.
#[gtest]
#[tokio::test]
async fn row_4_same_key_with_another_body_is_refused() {
    let upstream = spawn_standin(0, Duration::ZERO).await;
    let vm = TestVm::before(&[upstream.address()]).await;
    vm.pay(key(1), b"fee of one team").await;

    let answer = vm.pay(key(1), b"fee of another").await;

    expect_that!(answer.status.as_u16(), eq(422));
    expect_that!(answer.header(OUTCOME_HEADER), eq("not-run"));
    expect_that!(upstream.ran(), eq(1));
}

// The key's ledger group has lost its majority. Payments are refused at once as not run, and nothing
// reaches an upstream; reads go on.
#[gtest]
#[tokio::test]
async fn row_5_without_the_ledger_payments_are_not_run_and_reads_go_on() {
    let upstream = spawn_standin(0, Duration::ZERO).await;
    let vm = TestVm::before(&[upstream.address()]).await;
    vm.ledger.cut_off.store(true, Ordering::SeqCst);

    let answer = vm.pay(key(1), b"fee").await;
    expect_that!(answer.status.as_u16(), eq(503));
    expect_that!(answer.header(OUTCOME_HEADER), eq("not-run"));
    expect_that!(answer.header("retry-after"), eq("1"));
    expect_that!(upstream.ran(), eq(0));
    expect_that!(vm.get("/read").await.status.as_u16(), eq(200));
    wait_until("each slot is given back", || vm.slots.busy() == 0).await;
}

// The ledger records a claim, but its acknowledgement does not come before the deadline. The caller
// is told at the deadline that nothing was run. When the acknowledgement comes after all, nothing is
// sent; the claim is closed as not run, so that the same key can be sent again.
#[gtest]
#[tokio::test]
async fn row_5_an_acknowledgement_after_the_deadline_runs_nothing() {
    let upstream = spawn_standin(0, Duration::ZERO).await;
    let vm = TestVm::before(&[upstream.address()]).await;
    vm.ledger.held.store(true, Ordering::SeqCst);
    let mut late = payment(key(1), b"fee");
    *late.uri_mut() = "/pay-brief".parse().unwrap();

    let answer = call(vm.address(), late).await.unwrap();
    expect_that!(answer.header(OUTCOME_HEADER), eq("not-run"));
    vm.ledger.held.store(false, Ordering::SeqCst);
    vm.ledger.released.notify_one();

    let not_run = || vm.ledger.state(key(1)) == Some(KeyState::NotRun);
    wait_until("the claim is closed as not run", not_run).await;
    expect_that!(upstream.ran(), eq(0));
    expect_that!(vm.slots.outcomes(), each(eq(&OutcomeClass::Unused)));
}

// The ledger grants the claim but the placer refuses a slot. The caller is told so at once; the claim
// is closed as not run, and the same key runs when there is a slot again.
#[gtest]
#[tokio::test]
async fn row_6_slot_refused_after_the_claim() {
    let upstream = spawn_standin(0, Duration::ZERO).await;
    let vm = TestVm::before(&[upstream.address()]).await;
    vm.slots.refuse(Some(RefusalReason::Saturated));

    let answer = vm.pay(key(1), b"fee").await;
    expect_that!(answer.status.as_u16(), eq(429));
    expect_that!(answer.header(OUTCOME_HEADER), eq("not-run"));
    let not_run = || vm.ledger.state(key(1)) == Some(KeyState::NotRun);
    wait_until("the claim is closed as not run", not_run).await;
    vm.slots.refuse(None);

    expect_that!(vm.pay(key(1), b"fee").await.status.as_u16(), eq(200));
    expect_that!(runs(&[&upstream], key(1)), eq(1));
}

// A slot is granted and revoked before the first byte goes out, since its upstream began to leave.
// Nothing is sent, and the caller is told that the payment was not run.
#[gtest]
#[tokio::test]
async fn row_6_a_revoked_grant_is_never_used() {
    let upstream = spawn_standin(0, Duration::ZERO).await;
    let vm = TestVm::before(&[upstream.address()]).await;
    vm.slots.revoked.store(true, Ordering::SeqCst);

    let answer = vm.pay(key(1), b"fee").await;

    expect_that!(answer.header(OUTCOME_HEADER), eq("not-run"));
    expect_that!(upstream.ran(), eq(0));
    expect_that!(vm.slots.outcomes(), each(eq(&OutcomeClass::Unused)));
}

// A payment has run and its answer was lost. The service is now so full that a resend gets no slot.
// "Not run" would have the caller pay again under a new key, so the ledger's word goes first.
#[gtest]
#[tokio::test]
async fn resend_of_a_run_payment_without_a_slot_gets_its_answer() {
    let upstream = spawn_standin(0, Duration::ZERO).await;
    let vm = TestVm::before(&[upstream.address()]).await;
    vm.pay(key(1), b"fee").await;
    vm.slots.refuse(Some(RefusalReason::Saturated));

    let again = vm.pay(key(1), b"fee").await;

    expect_that!(again.header(OUTCOME_HEADER), eq("recorded"));
}

// An upstream refuses a payment because it drains, another because nobody listens there. Both prove
// that nothing was run, so the payment goes to a third under the same claim.
#[gtest]
#[tokio::test]
async fn a_payment_is_placed_again_on_proof_only() {
    let draining = spawn_standin(0, Duration::ZERO).await;
    draining.set_refusal(Some("draining"));
    let well = spawn_standin(2, Duration::ZERO).await;
    let vm = TestVm::before(&[draining.address(), nobody().await, well.address()]).await;
    // Reads earn the budget from which second tries are paid.
    for _ in 0..40 {
        vm.slots.targets.lock().unwrap().rotate_left(2);
        vm.get("/read").await;
        vm.slots.targets.lock().unwrap().rotate_right(2);
    }

    let answer = vm.pay(key(1), b"fee").await;

    expect_that!(answer.status.as_u16(), eq(200));
    expect_that!(runs(&[&draining, &well], key(1)), eq(1));
    expect_that!(vm.ledger.claims.load(Ordering::SeqCst), eq(1));
}

// An upstream takes a payment and breaks the connection, or falls silent until the deadline. The
// payment may have run: the caller is told "unknown" at once, no other upstream sees it, and a resend
// is told the same.
#[gtest]
#[tokio::test]
async fn a_payment_that_may_have_run_stays_unknown() {
    let plans = [
        FaultPlan { cuts: 1.0, ..FaultPlan::NONE },
        FaultPlan { chunked_cuts: 1.0, ..FaultPlan::NONE },
        FaultPlan { silence: 1.0, ..FaultPlan::NONE },
    ];
    for plan in plans {
        let failing = spawn_standin(0, Duration::ZERO).await;
        failing.set_fault(plan);
        let well = spawn_standin(1, Duration::ZERO).await;
        let vm = TestVm::before(&[failing.address(), well.address()]).await;
        let brief = || {
            let mut brief = payment(key(1), b"fee");
            *brief.uri_mut() = "/pay-brief".parse().unwrap();
            brief
        };

        let answer = call(vm.address(), brief()).await.unwrap();
        expect_that!(answer.header(OUTCOME_HEADER), eq("unknown"));
        let unknown = || vm.ledger.state(key(1)) == Some(KeyState::Unknown);
        wait_until("the claim is closed as unknown", unknown).await;
        let again = call(vm.address(), brief()).await.unwrap();

        expect_that!(again.header(OUTCOME_HEADER), eq("unknown"));
        expect_that!(runs(&[&failing, &well], key(1)), eq(1));
    }
}

// The caller of a payment goes away while it runs. The run goes on, its claim is closed with the
// answer, and the caller's resend gets it.
#[gtest]
#[tokio::test]
async fn a_payment_outlives_its_callers_connection() {
    use tokio::io::AsyncWriteExt;
    let upstream = spawn_standin(0, Duration::from_millis(200)).await;
    let vm = TestVm::before(&[upstream.address()]).await;
    let mut stream = TcpStream::connect(vm.address()).await.unwrap();
    let head = format!(
        "POST /pay HTTP/1.1\r\nhost: a\r\nidempotency-key: {}\r\ncontent-length: 3\r\n\r\nfee",
        key(1)
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    wait_until("the payment runs", || upstream.ran() == 1).await;
    drop(stream);

    let done = || matches!(vm.ledger.state(key(1)), Some(KeyState::Done(Some(_))));
    wait_until("the claim is closed", done).await;
    expect_that!(vm.pay(key(1), b"fee").await.header(OUTCOME_HEADER), eq("recorded"));
    expect_that!(runs(&[&upstream], key(1)), eq(1));
}

// A payment's answer is larger than what the ledger keeps. Its own caller gets all of it; a resend
// is told that the payment has run, and nothing is run again.
#[gtest]
#[tokio::test]
async fn a_large_answer_reaches_its_caller_and_is_not_kept() {
    let ran = Arc::new(std::sync::atomic::AtomicU32::new(0));
    let counted = ran.clone();
    let upstream = spawn_upstream(move |_| {
        counted.fetch_add(1, Ordering::SeqCst);
        let body = Full::new(Bytes::from(vec![7; 1_000_000]));
        let body = body.map_err(|never| match never {}).boxed_unsync();
        async move { Response::new(body) }
    })
    .await;
    let vm = TestVm::before(&[upstream]).await;

    let answer = vm.pay(key(1), b"fee").await;
    let done = || vm.ledger.state(key(1)) == Some(KeyState::Done(None));
    wait_until("the claim is closed without the answer", done).await;
    let again = vm.pay(key(1), b"fee").await;

    expect_that!(answer.body.len(), eq(1_000_000));
    expect_that!(again.header(OUTCOME_HEADER), eq("run-answer-not-kept"));
    expect_that!(ran.load(Ordering::SeqCst), eq(1));
}

// A call without a key is not idempotent. After a cut it is not sent again, and called unknown; after
// an upstream's refusal it goes to another.
#[gtest]
#[tokio::test]
async fn an_unprotected_call_is_sent_again_on_proof_only() {
    let (failing, well) =
        (spawn_standin(0, Duration::ZERO).await, spawn_standin(1, Duration::ZERO).await);
    failing.set_fault(FaultPlan { cuts: 1.0, ..FaultPlan::NONE });
    let vm = TestVm::before(&[failing.address(), well.address()]).await;
    let post = || call(vm.address(), request("POST", "/once", &[], b"note"));

    let cut = post().await.unwrap();
    let ran_elsewhere = well.ran();
    failing.set_refusal(Some("draining"));
    let refused = post().await.unwrap();

    expect_that!(cut.header(OUTCOME_HEADER), eq("unknown"));
    expect_that!(ran_elsewhere, eq(0));
    expect_that!(refused.status.as_u16(), eq(200));
    expect_that!(well.ran(), eq(1));
}
