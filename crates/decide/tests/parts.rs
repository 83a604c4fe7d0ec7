//! The parts that entries use by themselves: retries, hedges, the guard of the floor, the fallback,
//! and the meter of capacity.

mod support;

use decide::{
    capacity::{CapacityMeter, CapacityUnit},
    fallback::{FallbackPlacer, FallbackSettings},
    floor::FloorGuard,
    hedge::{HedgePolicy, HedgeRoom},
    limit::SlotLimit,
    retry::{FailedTry, RetryBudget, RetryPolicy, RetryStop},
};
use googletest::prelude::*;
use model::{
    announcement::UpstreamState,
    call::{CallClass, OutcomeClass, RefusalReason},
    moment::Moment,
    names::MemberName,
    numbers::PlacerEpoch,
};
use std::{collections::BTreeMap, time::Duration};
use support::build;

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

fn full_budget() -> RetryBudget {
    let mut budget = RetryBudget::new(100);
    (0..20).for_each(|_| budget.count_call());
    budget
}

fn failed(class: CallClass, outcome: OutcomeClass) -> FailedTry {
    let (left, shortest) = (Duration::from_secs(1), Duration::from_millis(20));
    FailedTry { class, outcome, attempt: 1, answer_begun: false, left, shortest }
}

#[gtest]
fn a_payment_runs_again_only_on_proof_that_it_did_not_run() {
    let policy = RetryPolicy::default();
    let decide = |class, outcome| policy.decide(&failed(class, outcome), &mut full_budget());
    for outcome in [OutcomeClass::Timeout, OutcomeClass::CutAnswer, OutcomeClass::Crash] {
        expect_that!(decide(CallClass::Idempotent, outcome), ok(()));
        expect_that!(decide(CallClass::KeyRequired, outcome), err(eq(RetryStop::MayHaveRun)));
    }
    let stale = OutcomeClass::StaleConnection;
    expect_that!(decide(CallClass::KeyRequired, stale), err(eq(RetryStop::MayHaveRun)));
    for outcome in [OutcomeClass::Shed, OutcomeClass::ConnectFailure, OutcomeClass::Draining] {
        expect_that!(decide(CallClass::KeyRequired, outcome), ok(()));
    }
}

#[gtest]
fn a_retry_stays_inside_deadline_tries_and_budget() {
    let policy = RetryPolicy::default();
    let timeout = failed(CallClass::Idempotent, OutcomeClass::Timeout);
    let decide = |failed: FailedTry| policy.decide(&failed, &mut full_budget());
    let left = Duration::from_millis(10);
    expect_that!(decide(FailedTry { left, ..timeout }), err(eq(RetryStop::NoTime)));
    expect_that!(decide(FailedTry { attempt: 3, ..timeout }), err(eq(RetryStop::Attempts)));
    let answer_begun = true;
    expect_that!(decide(FailedTry { answer_begun, ..timeout }), err(eq(RetryStop::AnswerBegun)));
    let gone = failed(CallClass::Idempotent, OutcomeClass::Cancelled);
    expect_that!(decide(gone), err(eq(RetryStop::CallerGone)));
    let mut empty = RetryBudget::new(10);
    expect_that!(policy.decide(&timeout, &mut empty), err(eq(RetryStop::Budget)));
    let handed_back = failed(CallClass::KeyRequired, OutcomeClass::Unused);
    expect_that!(policy.decide(&handed_back, &mut empty), ok(()));
}

#[gtest]
fn a_hedge_comes_after_its_own_routes_95th_percentile_and_only_into_free_slots() {
    let mut policy = HedgePolicy::default();
    let (short, long) = ("short".parse().unwrap(), "long".parse().unwrap());
    for n in 1..=400 {
        policy.record(&short, Duration::from_millis(n % 100 + 1));
        policy.record(&long, Duration::from_millis(n % 100 + 1_001));
    }
    let room = HedgeRoom { free: 10, slots: 40, queued: 0 };
    let near = |millis: u64| {
        all![ge(Duration::from_millis(millis)), le(Duration::from_millis(millis * 112 / 100))]
    };
    expect_that!(policy.hedge_after(&short, room), some(near(92)));
    expect_that!(policy.hedge_after(&long, room), some(near(1_050)));
    expect_that!(policy.hedge_after(&short, HedgeRoom { free: 3, ..room }), none());
    expect_that!(policy.hedge_after(&short, HedgeRoom { queued: 1, ..room }), none());
    expect_that!(policy.hedge_after(&"unseen".parse().unwrap(), room), none());
}

fn guard(floor: u32) -> FloorGuard {
    let mut guard = FloorGuard::new(floor);
    for number in 0..5 {
        guard.announce(&build::announcement(number, number, 4), at(0));
    }
    guard
}

#[gtest]
fn an_entry_refuses_an_ejection_below_the_floor_it_sees() {
    let mut guard = guard(12);
    expect_that!(guard.eject(&build::upstream(0), at(60_000), at(1)), eq(true));
    expect_that!(guard.eject(&build::upstream(1), at(50_000), at(1)), eq(true));
    expect_that!(guard.eject(&build::upstream(2), at(60_000), at(1)), eq(false));
    expect_that!(guard.healthy_slots(at(1)), eq(12));
    let mut leaving = build::announcement(3, 3, 4);
    leaving.state = UpstreamState::Leaving;
    guard.announce(&leaving, at(2));
    expect_that!(guard.may_use(&build::upstream(1), at(2)), eq(true), "the one that ends first");
    expect_that!(guard.may_use(&build::upstream(0), at(2)), eq(false));
    expect_that!(guard.may_use(&build::upstream(3), at(2)), eq(false));
}

#[gtest]
fn an_ejection_at_an_entry_ends_by_itself() {
    let mut guard = guard(4);
    guard.eject(&build::upstream(0), at(700), at(1));
    expect_that!(guard.may_use(&build::upstream(0), at(600)), eq(false));
    expect_that!(guard.may_use(&build::upstream(0), at(700)), eq(true));
}

fn fallbacks(entries: usize, upstreams: usize, slots: u32) -> Vec<FallbackPlacer> {
    let names: Vec<MemberName> = (0..entries).map(build::entry).collect();
    let open = |entry: &MemberName| {
        let epoch = PlacerEpoch(0);
        let settings = FallbackSettings { entry: entry.clone(), epoch, floor_slots: 8 };
        let mut fallback = FallbackPlacer::open(settings);
        fallback.set_entries(&names);
        for number in 0..upstreams {
            fallback.guard().announce(&build::announcement(number, number % 4, slots), at(0));
        }
        fallback
    };
    names.iter().map(open).collect()
}

// Nobody is placer. Forty entries place as much as they can, each by its own counts: together they
// fill each slot once and none twice.
#[gtest]
fn entries_without_a_placer_never_overfill_together() {
    for (entries, upstreams, slots) in [(40, 12, 4), (36, 8, 6), (48, 15, 4), (7, 3, 9)] {
        let mut given = BTreeMap::<String, u32>::new();
        for (number, fallback) in fallbacks(entries, upstreams, slots).iter_mut().enumerate() {
            while let Ok(grant) = fallback.place(&build::ask(1, 1, 0, 0, number, 1_000), at(1)) {
                *given.entry(grant.upstream.to_string()).or_default() += 1;
            }
        }
        expect_that!(given.len(), eq(upstreams));
        expect_that!(given.values().copied().collect::<Vec<_>>(), each(eq(&slots)));
    }
}

#[gtest]
fn a_fallback_counts_what_it_holds_frees_it_and_honours_leaving() {
    let mut fallback = fallbacks(1, 2, 1).remove(0);
    let ask = build::ask(1, 1, 0, 0, 0, 1_000);
    let first = fallback.place(&ask, at(1)).unwrap();
    fallback.place(&ask, at(1)).unwrap();
    let refusal = fallback.place(&ask, at(1)).unwrap_err();
    expect_that!(refusal.reason, eq(RefusalReason::Saturated));
    expect_that!(refusal.retry_after_ms, gt(0));
    fallback.settle(&build::settle(&first, 0, 1, OutcomeClass::Success, Duration::ZERO));
    let mut leaving = build::announcement(build::upstream_number(&first.upstream), 0, 1);
    leaving.state = UpstreamState::Leaving;
    fallback.guard().announce(&leaving, at(2));
    expect_that!(fallback.place(&ask, at(2)), err(anything()));
    fallback.guard().announce(&build::announcement(9, 0, 1), at(2));
    expect_that!(fallback.place(&ask, at(2)).unwrap().upstream, eq(&build::upstream(9)));
}

fn units(domains: &[usize], slots: u32) -> Vec<CapacityUnit> {
    domains.iter().map(|&n| CapacityUnit { domain: build::domain(n), slots }).collect()
}

fn metered(seconds: u64, busy: u32) -> CapacityMeter {
    let mut meter = CapacityMeter::open();
    (0..seconds).for_each(|second| meter.note_busy(busy, at(second * 1_000)));
    meter
}

#[gtest]
fn what_stays_on_outlives_its_largest_domain() {
    let call = Duration::from_millis(50);
    let healthy = units(&[0, 0, 0, 1, 1, 1, 2, 2, 2, 3, 3, 3], 4);
    // 48 slots in four domains of 12: after the loss of one 36 are left, for 20 in use.
    let advice = metered(400, 20).advise(&healthy, 16, call);
    expect_that!(advice.busy_p95, eq(20));
    expect_that!(advice.switch_on, eq(0));
    // With 4 off, 32 slots in domains of 8 leave 24; with 5 off, 28 leave 20; with 6 off 24 leave 16.
    expect_that!(advice.may_stay_off, eq(5));
    // The floor counts as use does.
    expect_that!(metered(400, 20).advise(&healthy, 24, call).may_stay_off, eq(4));
    // A short history advises nothing off.
    expect_that!(metered(100, 20).advise(&healthy, 16, call).may_stay_off, eq(0));
    // 40 in use need 40 after the loss of a domain: 4 more slots at least, spread evenly.
    let more = metered(400, 40).advise(&healthy, 16, call).switch_on;
    expect_that!(more, all![ge(1), le(2)]);
}

#[gtest]
fn refusals_ask_for_more_and_keep_all_on() {
    let call = Duration::from_millis(500);
    let healthy = units(&[0, 1, 2, 3], 4);
    let mut meter = metered(400, 2);
    (0..20).for_each(|_| meter.note_refused(at(400_000)));
    let advice = meter.advise(&healthy, 4, call);
    expect_that!(advice.refused, eq(20));
    expect_that!(advice.may_stay_off, eq(0));
    // 20 calls in a second of half a second each: 10 slots more than the 2 in use.
    expect_that!(advice.switch_on, eq(0));
    (0..20).for_each(|_| meter.note_refused(at(400_100)));
    expect_that!(meter.advise(&healthy, 4, call).switch_on, ge(2));
}

#[gtest]
fn a_limit_finds_where_throughput_falls() {
    let mut limit = SlotLimit::open(8);
    let time = |busy: u32| if busy <= 4 { 1.0 } else { f64::from(busy) / 4.0 * 2.0 };
    for n in 0..4_000_u64 {
        let busy = (n % u64::from(limit.current())) as u32 + 1;
        limit.success(busy, Some(time(busy)), at(n));
    }
    expect_that!(limit.current(), eq(4));
}

#[gtest]
fn a_limit_gives_way_to_shed_answers_once_a_burst_and_grows_back() {
    let mut limit = SlotLimit::open(9);
    (0..5).for_each(|n| limit.shed(9, at(1_000 + n)));
    expect_that!(limit.current(), eq(6));
    (0..30).for_each(|_| limit.success(6, None, at(2_000)));
    expect_that!(limit.current(), eq(9));
    (0..20).for_each(|n| limit.shed(1, at(3_000 + n * 200)));
    expect_that!(limit.current(), eq(1));
}
