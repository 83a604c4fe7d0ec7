//! The placer, event by event.

mod support;

use decide::placer::{HeldGrant, PlacerAction, RECOUNT_LIMIT};
use googletest::prelude::*;
use model::{
    announcement::UpstreamState,
    call::{OutcomeClass, RefusalReason},
    config::ServiceRule,
    numbers::{GrantNumber, IncarnationNumber, PlacerEpoch},
    report::UpstreamHealth,
    slot::{GrantId, RequestFingerprint, SlotGrant},
};
use std::time::Duration;
use support::{
    build,
    direct::{Answer, Direct, ejected, returned},
};

fn held(number: u64, upstream: usize) -> HeldGrant {
    let id =
        GrantId { granter: build::entry(9), epoch: PlacerEpoch(6), number: GrantNumber(number) };
    HeldGrant { id, upstream: build::upstream(upstream), left_ms: 5_000 }
}

fn grants(actions: &[PlacerAction]) -> usize {
    actions.iter().filter(|action| matches!(action, PlacerAction::Grant { .. })).count()
}

#[gtest]
fn a_new_placer_fills_no_slot_that_may_be_held_already() {
    let mut direct = Direct::unready(ServiceRule::default(), 2, 2);
    for _ in 0..4 {
        expect_that!(direct.ask().is_queued(), eq(true));
    }
    let (now, mut actions) = (direct.now, Vec::new());
    direct.placer.recount(
        &build::entry(1),
        &[held(1, 0), held(2, 0), held(3, 1)],
        now,
        &mut actions,
    );
    expect_that!(grants(&actions), eq(0));
    direct.placer.finish_recount(now, &mut actions);
    expect_that!(grants(&actions), eq(1));
    expect_that!(direct.placer.row().busy, eq(4));
}

#[gtest]
fn a_settle_of_an_earlier_epoch_frees_its_slot_once() {
    let mut direct = Direct::unready(ServiceRule::default(), 1, 1);
    let (now, mut actions) = (direct.now, Vec::new());
    let earlier = held(1, 0);
    direct.placer.recount(&build::entry(1), std::slice::from_ref(&earlier), now, &mut actions);
    direct.placer.finish_recount(now, &mut actions);
    expect_that!(direct.ask().is_queued(), eq(true));
    let grant = earlier_grant(&earlier);
    expect_that!(grants(&direct.settle(&grant, OutcomeClass::Success)), eq(1));
    expect_that!(grants(&direct.settle(&grant, OutcomeClass::Success)), eq(0));
    expect_that!(direct.placer.row().busy, eq(1));
}

fn earlier_grant(held: &HeldGrant) -> SlotGrant {
    SlotGrant {
        id: held.id.clone(),
        upstream: held.upstream.clone(),
        address: "127.0.0.1:9".parse().unwrap(),
        connections: 1,
        waited_us: 0,
        trial: false,
        hedge_after_us: 0,
    }
}

// The settle overtakes the count that an entry sent before it: the count must not bring it back.
#[gtest]
fn a_count_that_was_overtaken_by_its_settle_holds_nothing() {
    let mut direct = Direct::unready(ServiceRule::default(), 1, 1);
    let earlier = held(1, 0);
    direct.settle(&earlier_grant(&earlier), OutcomeClass::Success);
    let (now, mut actions) = (direct.now, Vec::new());
    direct.placer.recount(&build::entry(1), &[earlier], now, &mut actions);
    direct.placer.finish_recount(now, &mut actions);
    expect_that!(direct.placer.row().busy, eq(0));
}

#[gtest]
fn a_recount_that_nobody_ends_is_over_after_its_limit() {
    let mut direct = Direct::unready(ServiceRule::default(), 2, 2);
    expect_that!(direct.ask().is_queued(), eq(true));
    let actions = direct.pass(RECOUNT_LIMIT.as_millis() as u64);
    expect_that!(grants(&actions), eq(1));
}

#[gtest]
fn an_upstream_younger_than_the_placer_is_filled_before_the_counts_are_in() {
    let mut direct = Direct::unready(ServiceRule::default(), 1, 1);
    direct.pass(100);
    let mut young = build::announcement(7, 0, 1);
    young.age_ms = 50;
    let mut actions = Vec::new();
    direct.placer.announce(&young, direct.now, &mut actions);
    expect_that!(direct.ask().grant().upstream, eq(&build::upstream(7)));
}

#[gtest]
fn a_lost_entry_leaves_the_queue_and_its_grants_are_freed_in_time() {
    let mut direct = Direct::open(ServiceRule::default(), 1, 1);
    direct.ask_from(3, |ask| ask.within_ms = 60_000).grant();
    expect_that!(direct.ask_from(3, |_| ()).is_queued(), eq(true));
    expect_that!(direct.ask_from(4, |ask| ask.within_ms = 30_000).is_queued(), eq(true));
    let (now, mut actions) = (direct.now, Vec::new());
    direct.placer.lose_entry(&build::entry(3), now, &mut actions);
    expect_that!(grants(&actions), eq(0), "its call may still run");
    expect_that!(direct.placer.row().queued, eq(1));
    direct.renew([0], 1);
    let mut actions = direct.pass(1_000);
    for _ in 0..5 {
        direct.renew([0], 1);
        actions.extend(direct.pass(1_000));
    }
    expect_that!(grants(&actions), eq(1));
}

#[gtest]
fn a_leaving_upstream_gets_nothing_and_its_unused_grants_are_taken_back() {
    let mut direct = Direct::open(ServiceRule::default(), 2, 1);
    let first = direct.ask().grant();
    direct.ask().grant();
    let leaving = build::upstream_number(&first.upstream);
    let mut announcement = build::announcement(leaving, leaving, 1);
    announcement.state = UpstreamState::Leaving;
    let mut actions = Vec::new();
    direct.placer.announce(&announcement, direct.now, &mut actions);
    let revoked = actions
        .iter()
        .any(|action| matches!(action, PlacerAction::Revoke { id, .. } if *id == first.id));
    expect_that!(revoked, eq(true));
    direct.settle(&first, OutcomeClass::Unused);
    expect_that!(direct.ask().is_queued(), eq(true));
    // A renewal that was sent before "leaving" comes after it.
    let mut late = build::announcement(leaving, leaving, 1);
    late.sequence = 50;
    direct.placer.announce(&late, direct.now, &mut actions);
    expect_that!(direct.placer.row().queued, eq(1));
}

#[gtest]
fn a_call_that_cannot_be_in_time_is_refused_at_once_with_a_time_that_holds() {
    let mut direct = Direct::open(ServiceRule::default(), 2, 1);
    direct.run_calls(100, |_, _| OutcomeClass::Success);
    let running = [direct.ask().grant(), direct.ask().grant()];
    // Slots come free each 1 ms: 2 ms a call at two slots. Each call itself needs 20 ms.
    for _ in 0..20 {
        let answer = direct.ask_from(1, |ask| ask.within_ms = 100);
        expect_that!(answer.is_queued(), eq(true));
    }
    let refusal = direct.ask_from(1, |ask| ask.within_ms = 25).refusal();
    expect_that!(refusal.reason, eq(RefusalReason::DeadlineTooShort));
    expect_that!(refusal.retry_after_ms, all![gt(0), le(60)]);
    drop(running);
}

#[gtest]
fn a_call_shorter_than_its_route_ever_takes_is_refused_for_good() {
    let mut direct = Direct::open(ServiceRule::default(), 2, 1);
    direct.run_calls(100, |_, _| OutcomeClass::Success);
    let refusal = direct.ask_from(1, |ask| ask.within_ms = 5).refusal();
    expect_that!(refusal.reason, eq(RefusalReason::DeadlineTooShort));
    expect_that!(refusal.retry_after_ms, eq(0));
}

// Calls wait; then most of the capacity goes. Those that have become hopeless are told so now, with
// most of their time left, and not when it is over.
#[gtest]
fn calls_that_become_hopeless_in_the_queue_are_refused_then() {
    let mut direct = Direct::open(ServiceRule::default(), 8, 1);
    for _ in 0..100 {
        let grant = direct.ask().grant();
        direct.pass(20);
        direct.settle(&grant, OutcomeClass::Success);
        direct.renew(0..8, 1);
    }
    let running: Vec<_> = (0..8).map(|_| direct.ask().grant()).collect();
    for _ in 0..80 {
        let answer = direct.ask_from(1, |ask| ask.within_ms = 400);
        expect_that!(answer.is_queued(), eq(true));
    }
    let mut actions = Vec::new();
    for leaving in 1..8 {
        let mut announcement = build::announcement(leaving, leaving % 4, 1);
        announcement.state = UpstreamState::Leaving;
        announcement.sequence = 999;
        direct.placer.announce(&announcement, direct.now, &mut actions);
    }
    direct.renew([0], 1);
    actions.extend(direct.pass(1_050 - 1_000));
    let refused = |action: &&PlacerAction| matches!(action, PlacerAction::Refuse { .. });
    expect_that!(actions.iter().filter(refused).count(), ge(55));
    expect_that!(direct.placer.row().queued, ge(10));
    drop(running);
}

#[gtest]
fn a_cancelled_ask_is_neither_granted_nor_refused() {
    let mut direct = Direct::open(ServiceRule::default(), 1, 1);
    let first = direct.ask().grant();
    expect_that!(direct.ask_from(5, |_| ()).is_queued(), eq(true));
    direct.cancel(5, direct.calls);
    expect_that!(direct.settle(&first, OutcomeClass::Success), is_empty());
    expect_that!(direct.pass(5_000), each(not(matches_pattern!(PlacerAction::Refuse { .. }))));
}

#[gtest]
fn a_full_queue_gives_a_place_of_the_longest_line_to_another_caller() {
    let rule = ServiceRule { queue_limit: 10, ..ServiceRule::default() };
    let mut direct = Direct::open(rule, 1, 1);
    direct.ask().grant();
    for _ in 0..10 {
        let noisy = |ask: &mut model::slot::SlotAsk| ask.caller = "noisy".parse().unwrap();
        expect_that!(direct.ask_from(1, noisy).is_queued(), eq(true));
    }
    let quiet = |ask: &mut model::slot::SlotAsk| ask.caller = "quiet".parse().unwrap();
    expect_that!(direct.ask_from(2, quiet).is_queued(), eq(true));
    expect_that!(direct.placer.row().queued, eq(10));
    expect_that!(direct.placer.row().refused, eq(1));
}

#[gtest]
fn outcomes_that_are_no_fault_of_the_upstream_are_never_charged() {
    let innocent = [
        OutcomeClass::StaleConnection,
        OutcomeClass::Shed,
        OutcomeClass::Draining,
        OutcomeClass::Cancelled,
        OutcomeClass::Unused,
    ];
    for outcome in innocent {
        let mut direct = Direct::open(ServiceRule::default(), 8, 4);
        let actions =
            direct.run_calls(
                2_000,
                |_, upstream| {
                    if upstream == 2 { outcome } else { OutcomeClass::Success }
                },
            );
        expect_that!(ejected(&actions), is_empty(), "{outcome:?}");
    }
}

#[gtest]
fn an_ejected_upstream_returns_by_trial_calls_and_then_ramps() {
    let mut direct = Direct::open(ServiceRule::default(), 8, 4);
    let actions = direct.run_calls(400, |_, upstream| {
        if upstream == 2 { OutcomeClass::ErrorAnswer } else { OutcomeClass::Success }
    });
    expect_that!(ejected(&actions), eq(&vec![2]));
    for _ in 0..11 {
        direct.renew(0..8, 4);
        direct.pass(1_000);
    }
    let payment = direct.ask_from(1, |ask| ask.class = model::call::CallClass::KeyRequired).grant();
    expect_that!(payment.trial, eq(false));
    let trial = direct.ask().grant();
    expect_that!(trial.trial, eq(true));
    expect_that!(trial.upstream, eq(&build::upstream(2)));
    expect_that!(direct.ask().grant().trial, eq(false), "one at a time");
    direct.settle(&trial, OutcomeClass::Success);
    let mut actions = Vec::new();
    for _ in 0..2 {
        let trial = direct.ask().grant();
        expect_that!(trial.trial, eq(true));
        actions.extend(direct.settle(&trial, OutcomeClass::Success));
    }
    expect_that!(returned(&actions), eq(&vec![2]));
    let health = direct.placer.health().find(|row| *row.0 == build::upstream(2)).unwrap().1;
    expect_that!(health, eq(UpstreamHealth::Cold));
}

#[gtest]
fn an_ejection_ends_by_itself_where_no_call_comes_by() {
    let mut direct = Direct::open(ServiceRule::default(), 8, 4);
    direct.run_calls(400, |_, upstream| {
        if upstream == 2 { OutcomeClass::ErrorAnswer } else { OutcomeClass::Success }
    });
    let mut actions = Vec::new();
    for _ in 0..25 {
        direct.renew(0..8, 4);
        actions.extend(direct.pass(1_000));
    }
    expect_that!(returned(&actions), eq(&vec![2]));
}

#[gtest]
fn a_restarted_upstream_is_a_new_one() {
    let mut direct = Direct::open(ServiceRule::default(), 8, 4);
    direct.run_calls(400, |_, upstream| {
        if upstream == 2 { OutcomeClass::ErrorAnswer } else { OutcomeClass::Success }
    });
    let mut again = build::announcement(2, 2, 4);
    again.incarnation = IncarnationNumber(2);
    let mut actions = Vec::new();
    direct.placer.announce(&again, direct.now, &mut actions);
    expect_that!(returned(&actions), eq(&vec![2]));
}

#[gtest]
fn a_request_that_another_placer_found_poisonous_is_refused_here() {
    let mut direct = Direct::open(ServiceRule::default(), 2, 4);
    let until = direct.now + Duration::from_secs(30);
    direct.placer.poison(RequestFingerprint(8), until);
    let refusal = direct.ask_from(1, |ask| ask.fingerprint.0 = 8).refusal();
    expect_that!(refusal.reason, eq(RefusalReason::Poisonous));
    expect_that!(refusal.retry_after_ms, eq(30_000));
    expect_that!(matches!(direct.ask(), Answer::Grant(_)), eq(true));
}

#[gtest]
fn calls_stay_in_their_own_domain_until_it_is_full() {
    let mut direct = Direct::open(ServiceRule::default(), 4, 2);
    let upstreams: Vec<usize> = (0..3)
        .map(|_| build::upstream_number(&direct.ask_from(1, |_| ()).grant().upstream))
        .collect();
    expect_that!(upstreams[..2], each(eq(&1)));
    expect_that!(upstreams[2], not(eq(1)));
}

#[gtest]
fn a_second_try_goes_to_another_upstream_or_waits_for_one() {
    let mut direct = Direct::open(ServiceRule::default(), 2, 1);
    let first = direct.ask_from(0, |_| ()).grant();
    let other = direct.ask_from(1, |_| ()).grant();
    direct.settle(&first, OutcomeClass::ErrorAnswer);
    let tried = first.upstream.clone();
    let second = direct.ask_from(0, |ask| {
        ask.attempt = 2;
        ask.avoid = vec![tried];
    });
    expect_that!(second.is_queued(), eq(true));
    let granted = direct.settle(&other, OutcomeClass::Success);
    expect_that!(grants(&granted), eq(1));
}
