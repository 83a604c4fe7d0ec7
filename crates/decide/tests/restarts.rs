//! Upstreams that restart under the same name.

mod support;

use decide::{
    fallback::{FallbackPlacer, FallbackSettings},
    placer::PlacerAction,
    recent_outcomes::RecentOutcomeTracker,
};
use googletest::prelude::*;
use model::{
    announcement::UpstreamAnnouncement,
    call::OutcomeClass,
    config::ServiceRule,
    moment::Moment,
    numbers::{IncarnationNumber, PlacerEpoch},
    slot::{SlotSettle, StatedRate, StatedTerms},
};
use std::time::Duration;
use support::{
    build::{self, announcement},
    harness::PlacerHarness,
    transient,
};

fn incarnation(number: u64, slots: u32) -> UpstreamAnnouncement {
    let (incarnation, sequence) = (IncarnationNumber(number), 1);
    UpstreamAnnouncement { incarnation, sequence, ..announcement(0, 0, slots) }
}

fn restart(harness: &mut PlacerHarness, number: u64, slots: u32) -> Vec<PlacerAction> {
    let mut actions = Vec::new();
    harness.placer.announce(&incarnation(number, slots), harness.now, &mut actions);
    actions
}

// Guards against counting calls of the earlier incarnation as still in flight, so that the
// restarted upstream would get none.
#[gtest]
fn a_restarted_upstream_has_all_its_slots_before_its_earlier_calls_have_ended() {
    for rule in [ServiceRule::default(), transient::rule()] {
        let mut harness = PlacerHarness::open(rule, 1, 2);
        let before = [harness.ask().grant(), harness.ask().grant()];
        expect_that!(harness.ask().is_queued(), eq(true));
        let actions = restart(&mut harness, 2, 2);
        let grants = actions.iter().filter(|action| matches!(action, PlacerAction::Grant { .. }));
        expect_that!(grants.count(), eq(1), "the waiting call is granted");
        let own = harness.ask().grant();
        expect_that!(own.incarnation, eq(IncarnationNumber(2)));
        expect_that!(harness.placer.row().busy, eq(2));
        for grant in &before {
            harness.settle(grant, OutcomeClass::Timeout);
        }
        expect_that!(
            harness.placer.row().busy,
            eq(2),
            "late settles free no slot of the new incarnation"
        );
        harness.settle(&own, OutcomeClass::Success);
        expect_that!(harness.placer.row().busy, eq(1));
    }
}

// Guards against avoiding a restarted upstream for failures of its earlier incarnation that are
// reported late.
#[gtest]
fn late_outcomes_of_an_earlier_incarnation_do_not_count_against_the_new_one() {
    let mut harness = PlacerHarness::open(transient::rule(), 1, 8);
    let before: Vec<_> = (0..6).map(|_| harness.ask().grant()).collect();
    restart(&mut harness, 2, 8);
    for grant in &before {
        harness.settle(grant, OutcomeClass::ErrorAnswer);
    }
    let payment = |ask: &mut model::slot::SlotAsk| ask.class = model::call::CallClass::Unprotected;
    expect_that!(harness.ask_from(1, payment).is_queued(), eq(false));
}

// Guards against limiting a restarted upstream, which states no rate, to the rate of its earlier
// incarnation.
#[gtest]
fn a_stated_rate_ends_with_the_incarnation_that_stated_it() {
    let mut harness = PlacerHarness::open(ServiceRule::default(), 1, 4);
    let grant = harness.ask().grant();
    let settled = build::settle(&grant, 0, 1, OutcomeClass::Success, Duration::from_millis(20));
    let rate = StatedRate::AtMost { milli_per_s: 100 };
    let stated = StatedTerms { rate, ..StatedTerms::default() };
    harness.placer.settle(&SlotSettle { stated, ..settled }, harness.now, &mut Vec::new());
    let actions = restart(&mut harness, 2, 4);
    let lifted =
        actions.iter().any(|action| matches!(action, PlacerAction::Rate { milli_per_s: None, .. }));
    expect_that!(lifted, eq(true));
    expect_that!(harness.ask().is_queued(), eq(false));
    expect_that!(harness.ask().is_queued(), eq(false));
}

// Guards against removing a restarted upstream because a "leaving" of its earlier incarnation
// arrives late.
#[gtest]
fn a_late_announcement_of_an_earlier_incarnation_is_ignored() {
    let mut harness = PlacerHarness::open(ServiceRule::default(), 1, 2);
    restart(&mut harness, 2, 2);
    let leaving = model::announcement::UpstreamState::Leaving;
    let late = UpstreamAnnouncement { state: leaving, sequence: 99, ..incarnation(1, 2) };
    harness.placer.announce(&late, harness.now, &mut Vec::new());
    expect_that!(harness.ask().grant().incarnation, eq(IncarnationNumber(2)));
}

fn fallback() -> FallbackPlacer {
    let (entry, epoch) = (build::entry(1), PlacerEpoch(0));
    let mut fallback = FallbackPlacer::new(FallbackSettings { entry, epoch, floor_slots: 0 });
    fallback.set_entries(&[build::entry(1)], Moment::ZERO);
    fallback
        .announce(&UpstreamAnnouncement { lease_ms: u32::MAX, ..incarnation(1, 1) }, Moment::ZERO);
    fallback
}

// Guards against an entry without a placer that takes a restarted upstream to be full, or to fail,
// because of calls to its earlier incarnation.
#[gtest]
fn fallback_placement_forgets_an_earlier_incarnation() {
    let (rule, now) = (transient::rule(), Moment::from_millis(500));
    let mut fallback = fallback();
    let ask = build::ask(1, 1, 0, 0, 1, 5_000);
    let before = fallback.place_within_share(&ask, now).expect("the upstream has a free slot");
    expect_that!(
        fallback.place_within_share(&build::ask(2, 1, 0, 0, 1, 5_000), now),
        err(anything())
    );
    fallback.announce(&UpstreamAnnouncement { lease_ms: u32::MAX, ..incarnation(2, 1) }, now);
    let after = fallback
        .place_within_share(&build::ask(3, 1, 0, 0, 1, 5_000), now)
        .expect("the new incarnation is free");
    expect_that!(after.incarnation, eq(IncarnationNumber(2)));
    let took = Duration::from_millis(20);
    let late = build::settle(&before, 0, 1, OutcomeClass::ErrorAnswer, took);
    expect_that!(fallback.observe_settle(&late, &rule, now), eq(false), "nothing to report");
    fallback.settle(&late);
    let full = fallback.place_within_share(&build::ask(4, 1, 0, 0, 1, 5_000), now);
    expect_that!(full, err(anything()), "the late settle frees nothing");
}

// Guards against reporting to a new placer failures of an upstream's earlier incarnation.
#[gtest]
fn remembered_outcomes_are_of_one_incarnation() {
    let mut harness = PlacerHarness::open(transient::rule(), 1, 4);
    let before = harness.ask().grant();
    restart(&mut harness, 2, 4);
    let after = harness.ask().grant();
    let settle = |grant, outcome| build::settle(grant, 0, 1, outcome, Duration::from_millis(20));
    let (mut memory, now) = (RecentOutcomeTracker::default(), Moment::from_millis(2_000));
    memory.record(&settle(&before, OutcomeClass::ErrorAnswer), now);
    memory.record(&settle(&after, OutcomeClass::Success), now);
    memory.record(&settle(&before, OutcomeClass::ErrorAnswer), now);
    let reported = memory.report(now);
    expect_that!(reported.len(), eq(1));
    expect_that!(reported[0].incarnation, eq(IncarnationNumber(2)));
    expect_that!(reported[0].failed_ms, none());
}
