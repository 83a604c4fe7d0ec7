//! What callers of payments see: FAILURES.md rows 1 to 4, on replicas as values.

mod world;

use control::{
    group::GroupRequest,
    state::{
        command::{CloseAnswer, LedgerView, StateCommand},
        ledger::{FUTURE_LIMIT_MS, LedgerState, OPEN_GRACE_MS},
    },
};
use googletest::prelude::*;
use model::{
    ledger::{ANSWER_LIMIT, BodyDigest, ClaimAnswer, KeyClaim, KeyClose, RecordedAnswer, RunEnd},
    numbers::{AttemptNumber, GroupNumber},
};
use world::{
    World,
    asks::{WALL_MS, answer, ask_claim, ask_close, claim, claimed, closed, done, key, view},
};

const RUN: ClaimAnswer = ClaimAnswer::Run { attempt: AttemptNumber(1) };

fn ready() -> World {
    let mut world = World::open(3, GroupNumber::FIRST_LEDGER);
    world.crash_percent = 0;
    world.settle(3_000);
    world
}

fn late_claim(number: u8, claimant: u64, after_ms: u64) -> GroupRequest {
    let view = view(WALL_MS + after_ms);
    GroupRequest::Command(StateCommand::Claim { view, claim: claim(number, claimant) })
}

// The caller gets no answer and sends its payment again through another VM.
// The first entry died after its claim was durable; whether it sent the call is not known.
// The key stays "in progress" until the first call's deadline is well past, and "unknown" for good
// then: it may have run, so it never runs again.
#[gtest]
fn row_1_an_entry_lost_after_its_claim_leaves_the_key_unknown() {
    let mut world = ready();
    expect_that!(claimed(world.call_leader(&ask_claim(&claim(1, 11)))), eq(&RUN));
    let leader = world.leader().unwrap();
    world.crash(leader);
    let resend = claimed(world.call_leader(&ask_claim(&claim(1, 12))));
    expect_that!(resend, eq(&ClaimAnswer::InProgress));
    let past = 1_000 + OPEN_GRACE_MS + 1;
    let later = claimed(world.call_leader(&late_claim(1, 12, past)));
    expect_that!(later, eq(&ClaimAnswer::Unknown));
    // The first entry was only cut off, and closes late: nothing changes any more.
    expect_that!(closed(world.call_leader(&ask_close(&done(1, 1)))), eq(CloseAnswer::Refused));
    let last = claimed(world.call_leader(&late_claim(1, 13, past)));
    expect_that!(last, eq(&ClaimAnswer::Unknown));
}

// The caller gets no answer and sends its payment again through another VM.
// The first entry had the answer and closed the claim, then died, and the leader with it.
// The recorded answer is at a majority, so the next leader gives it.
#[gtest]
fn row_1_an_entry_lost_after_its_close_leaves_the_answer() {
    let mut world = ready();
    expect_that!(claimed(world.call_leader(&ask_claim(&claim(1, 11)))), eq(&RUN));
    expect_that!(closed(world.call_leader(&ask_close(&done(1, 1)))), eq(CloseAnswer::Closed));
    let leader = world.leader().unwrap();
    world.crash(leader);
    let resend = claimed(world.call_leader(&ask_claim(&claim(1, 12))));
    expect_that!(resend, eq(&ClaimAnswer::Done { answer: Some(answer()) }));
}

// The caller sees one answer, a little later than usual.
// The claim was durable, its acknowledgement was lost, and the entry claims again at the next leader.
// It is the same claim, so it gets the same attempt and may run it.
#[gtest]
fn row_2_a_claim_sent_again_gets_the_same_attempt() {
    let mut world = ready();
    let leader = world.leader().unwrap();
    let number = world.request(leader, ask_claim(&claim(1, 11)));
    world.flush(leader);
    world.settle(100);
    expect_that!(world.ends.remove(&number).is_some(), eq(true));
    world.crash(leader);
    expect_that!(claimed(world.call_leader(&ask_claim(&claim(1, 11)))), eq(&RUN));
}

// Two callers' VMs send one payment at the same moment; one is told that it is in progress.
// Both claims are in the leader's queue before either is durable; the log's order decides.
// Once the first has closed, the second gets the same answer.
#[gtest]
fn row_3_two_vms_that_claim_one_key_run_it_once() {
    let mut world = ready();
    let leader = world.leader().unwrap();
    let one = world.request(leader, ask_claim(&claim(1, 11)));
    let two = world.request(leader, ask_claim(&claim(1, 12)));
    world.flush(leader);
    world.settle(200);
    let first = claimed(world.ends.remove(&one).unwrap().unwrap());
    let second = claimed(world.ends.remove(&two).unwrap().unwrap());
    expect_that!((first, second), eq(&(RUN, ClaimAnswer::InProgress)));
    expect_that!(closed(world.call_leader(&ask_close(&done(1, 1)))), eq(CloseAnswer::Closed));
    let resend = claimed(world.call_leader(&ask_claim(&claim(1, 12))));
    expect_that!(resend, eq(&ClaimAnswer::Done { answer: Some(answer()) }));
}

// A caller uses a key again for another payment and is refused; nothing is run.
// The body's digest differs from the claimed one, also when the first run has ended.
// Giving the first answer would tell the caller that its second payment was made.
#[gtest]
fn row_4_a_key_with_another_body_or_service_is_refused() {
    let mut state = LedgerState::default();
    expect_that!(state.claim(view(WALL_MS), &claim(1, 11)), eq(&RUN));
    let body = KeyClaim { digest: BodyDigest([2; 32]), ..claim(1, 12) };
    let service = KeyClaim { service: "fuelledger".parse().unwrap(), ..claim(1, 12) };
    expect_that!(state.claim(view(WALL_MS), &body), eq(&ClaimAnswer::OtherRequest));
    expect_that!(state.claim(view(WALL_MS), &service), eq(&ClaimAnswer::OtherRequest));
    expect_that!(state.close(view(WALL_MS), done(1, 1)), eq(CloseAnswer::Closed));
    expect_that!(state.claim(view(WALL_MS), &body), eq(&ClaimAnswer::OtherRequest));
}

// The caller is refused as not run, sends again, and pays once.
// The first attempt found no slot and closed as not run; messages of it come late, out of order.
// They name the old attempt, or come from a call that has ended: neither touches the new attempt.
#[gtest]
fn a_late_message_of_an_old_attempt_is_refused() {
    let mut state = LedgerState::default();
    let now = view(WALL_MS);
    expect_that!(state.claim(now, &claim(1, 11)), eq(&RUN));
    let not_run = KeyClose { end: RunEnd::NotRun, ..done(1, 1) };
    expect_that!(state.close(now, not_run.clone()), eq(CloseAnswer::Closed));
    expect_that!(state.claim(now, &claim(1, 11)), eq(&ClaimAnswer::Late));
    let second = ClaimAnswer::Run { attempt: AttemptNumber(2) };
    expect_that!(state.claim(now, &claim(1, 12)), eq(&second));
    expect_that!(state.close(now, not_run), eq(CloseAnswer::Refused));
    expect_that!(state.close(now, done(1, 1)), eq(CloseAnswer::Refused));
    expect_that!(state.claim(now, &claim(1, 12)), eq(&second));
    expect_that!(state.close(now, done(1, 2)), eq(CloseAnswer::Closed));
    expect_that!(state.close(now, done(1, 2)), eq(CloseAnswer::Closed));
}

// A caller sends an old payment again and is refused instead of paying twice.
// The key was dropped after the time that keys are kept; then the operator keeps keys for longer, and
// a leader with a slow clock takes over. The floor goes back for neither.
#[gtest]
fn a_key_that_was_dropped_is_never_claimed_again() {
    let mut state = LedgerState::default();
    let hour = 3_600_000;
    expect_that!(state.claim(view(WALL_MS), &claim(1, 11)), eq(&RUN));
    let mut later = claim(2, 11);
    later.key = model::ledger::CallKey::from_parts(WALL_MS + hour + 1, [2; 10]);
    expect_that!(state.claim(view(WALL_MS + hour + 1), &later), eq(&RUN));
    expect_that!(state.len(), eq(1));
    let longer = LedgerView { keep_ms: 10 * hour, ..view(WALL_MS + hour + 1) };
    expect_that!(state.claim(longer, &claim(1, 12)), eq(&ClaimAnswer::OutOfTime));
    expect_that!(state.claim(view(WALL_MS), &claim(1, 12)), eq(&ClaimAnswer::OutOfTime));
}

#[gtest]
fn a_key_from_the_far_future_is_refused() {
    let mut state = LedgerState::default();
    let mut far = claim(1, 11);
    far.key = model::ledger::CallKey::from_parts(WALL_MS + FUTURE_LIMIT_MS + 1, [1; 10]);
    expect_that!(state.claim(view(WALL_MS), &far), eq(&ClaimAnswer::OutOfTime));
    expect_that!(state.claim(view(WALL_MS + 1), &far), eq(&RUN));
}

// The caller is refused as not run while the ledger is full, and gets through later.
// Forgetting a key early would let its resend run twice; so only keys past their time make room.
#[gtest]
fn a_full_ledger_refuses_and_forgets_nothing_early() {
    let mut state = LedgerState::default();
    let small = LedgerView { keys_limit: 2, ..view(WALL_MS) };
    expect_that!(state.claim(small, &claim(1, 11)), eq(&RUN));
    expect_that!(state.claim(small, &claim(2, 12)), eq(&RUN));
    expect_that!(state.claim(small, &claim(3, 13)), eq(&ClaimAnswer::Full));
    expect_that!(state.claim(small, &claim(1, 14)), eq(&ClaimAnswer::InProgress));
    let past = LedgerView { wall_ms: WALL_MS + small.keep_ms + 1, ..small };
    let mut fresh = claim(3, 13);
    fresh.key = model::ledger::CallKey::from_parts(past.wall_ms, [3; 10]);
    expect_that!(state.claim(past, &fresh), eq(&RUN));
}

#[gtest]
fn an_answer_too_large_to_keep_still_ends_the_run() {
    let mut state = LedgerState::default();
    expect_that!(state.claim(view(WALL_MS), &claim(1, 11)), eq(&RUN));
    let large = RecordedAnswer { body: vec![0; ANSWER_LIMIT + 1], ..answer() };
    let end = RunEnd::Done { answer: Some(large) };
    let close = KeyClose { key: key(1), attempt: AttemptNumber(1), end };
    expect_that!(state.close(view(WALL_MS), close), eq(CloseAnswer::Closed));
    expect_that!(
        state.claim(view(WALL_MS), &claim(1, 12)),
        eq(&ClaimAnswer::Done { answer: None })
    );
}

#[gtest]
fn a_snapshot_holds_the_whole_ledger() {
    let mut state = LedgerState::default();
    state.claim(view(WALL_MS), &claim(1, 11));
    state.close(view(WALL_MS), done(1, 1));
    state.claim(view(WALL_MS), &claim(2, 12));
    let read = LedgerState::decode(&state.encode()).unwrap();
    expect_that!(read, eq(&state));
}
