//! Failures that are easy to miss; the test names give their rows in the fault matrix.

mod support;

use decide::placer::{EjectReason, PlacerAction};
use googletest::prelude::*;
use model::{
    call::{OutcomeClass, RefusalReason},
    config::ServiceRule,
    moment::Moment,
    report::UpstreamHealth,
};
use std::time::Duration;
use support::{
    HEALTHY, Simulation, SimulationPlan, UpstreamCondition, build,
    harness::{PlacerHarness, ejected, returned},
    outcome::health_of,
};

fn onset() -> Moment {
    Moment::from_millis(10_000)
}

fn plans(seed: u64) -> [SimulationPlan; 2] {
    [SimulationPlan::guild(seed), SimulationPlan::convoy(seed)]
}

/// One upstream is in the given condition from the onset on.
fn one_upstream_in(upstream: usize, condition: UpstreamCondition) -> support::ConditionFn {
    Box::new(move |n, now| if n == upstream && now >= onset() { condition } else { HEALTHY })
}

fn first_ejection(simulation: &Simulation, upstream: usize) -> Option<Duration> {
    let found = simulation.ejections().iter().find(|(_, n, _)| *n == upstream);
    found.map(|(at, _, _)| at.since(onset()))
}

fn false_ejections(simulation: &Simulation, bad: &[usize]) -> usize {
    simulation.ejections().iter().filter(|(_, n, _)| !bad.contains(n)).count()
}

// Three in ten calls at one upstream fail, while it still answers probes. Its peers succeed on the
// same routes, so only it is at fault, and the service has slots to spare above its floor.
#[gtest]
fn row_09_an_upstream_that_fails_30_percent_is_ejected_and_the_floor_kept() {
    for plan in plans(9) {
        let floor = plan.rule.floor_slots;
        let mut simulation = Simulation::new(SimulationPlan {
            condition: one_upstream_in(3, UpstreamCondition { fail_share: 0.3, ..HEALTHY }),
            ..plan
        });
        simulation.run_seconds(30);
        expect_that!(first_ejection(&simulation, 3), some(lt(Duration::from_secs(2))));
        expect_that!(false_ejections(&simulation, &[3]), eq(0));
        expect_that!(simulation.outcome.least_healthy_slots, ge(floor));
        expect_that!(simulation.outcome.answered_share(), gt(0.99));
    }
}

// Most calls fail at every upstream because of a shared dependency. Ejections would leave no
// upstream, and retrying every failure would double the load on the failing dependency.
#[gtest]
fn row_10_a_common_failure_ejects_none_and_causes_no_retry_storm() {
    for fail_share in [0.5, 1.0] {
        for plan in plans(10) {
            let floor = plan.rule.floor_slots;
            let condition = UpstreamCondition { fail_share, ..HEALTHY };
            let bad = move |_, now| if now >= onset() { condition } else { HEALTHY };
            let mut simulation =
                Simulation::new(SimulationPlan { condition: Box::new(bad), ..plan });
            simulation.run_seconds(40);
            expect_that!(simulation.ejections().len(), le(1), "at a share of {fail_share}");
            expect_that!(simulation.outcome.least_healthy_slots, ge(floor));
            expect_that!(simulation.outcome.attempts_per_call(), le(1.1));
        }
    }
}

// One upstream is ten times slower than the others. Every upstream serves long and short work, so
// latencies show nothing unless compared with those of peers on the same route. Most of its calls
// are cancelled because their hedge is faster, so it rarely completes a slow answer itself.
#[gtest]
fn row_11_only_the_slow_upstream_is_ejected_in_traffic_of_mixed_latency() {
    for plan in plans(11) {
        let mut simulation = Simulation::new(SimulationPlan {
            condition: one_upstream_in(3, UpstreamCondition { slowdown: 10.0, ..HEALTHY }),
            ..plan
        });
        simulation.run_seconds(60);
        expect_that!(first_ejection(&simulation, 3), some(lt(Duration::from_secs(5))));
        expect_that!(simulation.ejections()[0].2, eq(EjectReason::Latency));
        expect_that!(false_ejections(&simulation, &[3]), eq(0));
        expect_that!(simulation.outcome.answered_share(), gt(0.99));
    }
}

// An upstream fails periodically, and calls fail each time it returns. Its period is close to the
// base ejection time, so each return meets the next failure. Growing ejection times keep it out
// longer and longer.
#[gtest]
fn row_12_a_flapping_upstream_is_ejected_for_longer_each_time() {
    for plan in plans(12) {
        let bad = |n, now: Moment| {
            let second = now.as_micros() / 1_000_000;
            if n == 3 && second % 20 >= 10 {
                UpstreamCondition { fail_share: 1.0, ..HEALTHY }
            } else {
                HEALTHY
            }
        };
        let mut simulation = Simulation::new(SimulationPlan { condition: Box::new(bad), ..plan });
        simulation.run_seconds(600);
        let hurt = &simulation.outcome.failed_attempts_by_second;
        let sum = |from: usize, to: usize| {
            hurt[from.min(hurt.len())..to.min(hurt.len())].iter().sum::<u64>()
        };
        let (first, last) = (sum(0, 120), sum(480, 600));
        expect_that!(last * 3, le(first), "hurt in the first and the last two minutes");
        expect_that!(false_ejections(&simulation, &[3]), eq(0));
    }
}

fn failing_upstreams(bad: &[usize]) -> impl FnMut(usize, usize) -> OutcomeClass {
    let bad = bad.to_vec();
    move |_, upstream| {
        if bad.contains(&upstream) { OutcomeClass::ErrorAnswer } else { OutcomeClass::Success }
    }
}

/// A placer of eight upstreams with four slots, two of them ejected, which leaves exactly the
/// floor.
fn at_the_floor() -> PlacerHarness {
    let rule = ServiceRule { floor_slots: 24, ejection_ms: 60_000, ..ServiceRule::default() };
    let mut harness = PlacerHarness::open(rule, 8, 4);
    let actions = harness.run_calls(400, failing_upstreams(&[1, 2]));
    let mut out = ejected(&actions);
    out.sort_unstable();
    assert_eq!(out, [1, 2], "both fail and both can be spared");
    harness
}

// Two upstreams are ejected and the rest is exactly the floor. Then a healthy upstream dies and its
// lease expires. Calls would be refused for lack of slots while two partly working upstreams are
// idle, so one of the two returns in the same decision.
#[gtest]
fn row_13_floor_reached_then_another_dies() {
    let mut harness = at_the_floor();
    harness.renew([0, 1, 2, 3, 4, 5, 6], 4);
    let mut actions = harness.advance(1_000);
    harness.renew([0, 1, 2, 3, 4, 5, 6], 4);
    actions.extend(harness.advance(700));
    expect_that!(returned(&actions).len(), eq(1));
    expect_that!(harness.placer.capacity().healthy_slots, ge(24));
}

// The healthy upstream leaves as planned instead, and then another: both ejected upstreams return.
#[gtest]
fn row_13_floor_reached_then_two_leave() {
    let mut harness = at_the_floor();
    for (leaving, back) in [(5, 1), (6, 2)] {
        let mut announcement = build::announcement(leaving, leaving % 4, 4);
        announcement.state = model::announcement::UpstreamState::Leaving;
        announcement.sequence = 99;
        let mut actions = Vec::new();
        harness.placer.announce(&announcement, harness.now, &mut actions);
        expect_that!(returned(&actions).len(), eq(1));
        let healthy =
            harness.placer.health().filter(|row| row.1 == UpstreamHealth::Healthy).count();
        expect_that!(healthy, eq(6), "after {back} returned");
    }
}

// The floor protects a failing upstream from ejection. It still serves calls, but only when nothing
// else is free.
#[gtest]
fn row_13_a_bad_upstream_at_the_floor_stays_and_is_used_last() {
    let mut harness = at_the_floor();
    let actions = harness.run_calls(300, failing_upstreams(&[3]));
    expect_that!(ejected(&actions), is_empty());
    let first: Vec<usize> =
        (0..18).map(|_| build::upstream_number(&harness.ask().grant().upstream)).collect();
    expect_that!(first, not(contains(eq(&3))));
}

// One VM cannot reach one upstream, which works for the other 39. Calls through that VM fail until
// it avoids the upstream; an ejection would take it from all of them.
#[gtest]
fn row_16_a_bad_path_from_one_entry_ejects_nothing() {
    let mut harness = PlacerHarness::open(build::guild_rule(12), 12, 4);
    let broken = |entry, upstream| {
        if entry == 7 && upstream % 4 == 3 {
            OutcomeClass::ConnectFailure
        } else {
            OutcomeClass::Success
        }
    };
    let actions = harness.run_calls(8_000, broken);
    expect_that!(ejected(&actions), is_empty());
}

// All entries of one failure domain have lost their path to one upstream.
#[gtest]
fn row_16_a_bad_path_from_one_domain_ejects_nothing_and_is_avoided() {
    let mut harness = PlacerHarness::open(build::guild_rule(12), 12, 4);
    let mut met = 0;
    let actions = harness.run_calls(8_000, |entry, upstream| {
        let broken = entry % 4 == 1 && upstream == 1;
        met += u32::from(broken);
        if broken { OutcomeClass::ConnectFailure } else { OutcomeClass::Success }
    });
    expect_that!(ejected(&actions), is_empty());
    expect_that!(met, lt(40), "about 170 of that domain's calls would go there");
}

// One request crashes every upstream that executes it, and its caller resends it through other VMs.
// Each crash ends the calls of other callers, until the request is refused everywhere.
#[gtest]
fn row_23_a_request_that_crashes_upstreams_crashes_at_most_two() {
    for plan in plans(23) {
        let poison = 4_711;
        let mut simulation = Simulation::new(SimulationPlan { poison: Some(poison), ..plan });
        simulation.run_seconds(5);
        for resend in 0..60 {
            simulation.send(resend % 36, poison);
            let pause = Duration::from_millis(if resend.is_multiple_of(3) { 1 } else { 700 });
            simulation.run_until(simulation.now + pause);
        }
        expect_that!(simulation.outcome.crashes, le(2));
        expect_that!(simulation.outcome.poisoned, eq(1));
        expect_that!(simulation.outcome.answered_share(), gt(0.99));
        expect_that!(simulation.ejections(), is_empty());
    }
}

// A failure domain loses power while one popular page is in flight at each of its upstreams. The
// request was in flight at three crashes, but it did not cause them.
#[gtest]
fn row_23_a_popular_request_in_a_lost_domain_is_not_refused() {
    let mut harness = PlacerHarness::open(ServiceRule::default(), 12, 4);
    let popular = 5;
    let grants: Vec<_> = (0..12)
        .map(|entry| harness.ask_from(entry, |ask| ask.fingerprint.0 = popular).grant())
        .collect();
    for grant in grants.iter().filter(|g| build::upstream_number(&g.upstream).is_multiple_of(4)) {
        harness.settle_as(grant, popular, OutcomeClass::Crash, 20);
    }
    harness.advance(1_200);
    harness.renew(0..12, 4);
    let refused = |reason| reason == RefusalReason::Poisonous;
    match harness.ask_from(0, |ask| ask.fingerprint.0 = popular) {
        support::harness::AskOutcome::Refusal(refusal) => {
            expect_that!(refused(refusal.reason) && refusal.retry_after_ms > 5_000, eq(false));
        }
        answer => expect_that!(answer.is_queued(), eq(false)),
    }
}

// Ten times the service's capacity arrives, half of it from one caller. No call may wait in vain:
// those that cannot be answered in time are refused at once, with the time to come back, and the
// other callers' shares are as large as that of the busiest one.
#[gtest]
fn row_25_a_burst_with_one_caller_sending_half_is_refused_early_and_shared_fairly() {
    for plan in plans(25) {
        let burst = |now| if now >= onset() { 7_000.0 } else { 400.0 };
        let mut callers = vec![0.05; 11];
        callers[0] = 0.5;
        let mut simulation =
            Simulation::new(SimulationPlan { rate: Box::new(burst), callers, ..plan });
        simulation.run_seconds(10);
        let before: Vec<u64> = simulation.outcome.callers.iter().map(|c| c.answered).collect();
        simulation.run_seconds(20);
        let outcome = &simulation.outcome;
        let answered: Vec<u64> =
            outcome.callers.iter().zip(before).map(|(c, before)| c.answered - before).collect();
        let least = answered[1..].iter().min().copied().unwrap_or(0);
        expect_that!(
            answered[0],
            le(least * 3 / 2),
            "the noisy caller and the least of the others"
        );
        expect_that!(outcome.waiting_at_deadline, eq(0), "calls held back until their deadline");
        expect_that!(outcome.total().late * 1_000, le(outcome.total().answered));
        let early =
            outcome.refusals.iter().filter(|(_, left, _)| *left > Duration::from_millis(1_000));
        expect_that!(early.count() * 100, ge(outcome.refusals.len() * 99));
        expect_that!(answered.iter().sum::<u64>() as f64, gt(20.0 * 600.0), "slots kept in use");
        expect_that!(simulation.ejections(), is_empty());
    }
}

// A third of the upstreams starts at the peak and answers five times slower for ten seconds. With
// full shares their calls would be late; compared with their peers' latencies they would all be
// ejected.
#[gtest]
fn row_26_a_third_starts_cold_at_the_peak_and_none_is_ejected() {
    for plan in plans(26) {
        let cold = |n: usize, now: Moment| {
            let slowdown = if n.is_multiple_of(3) && now < onset() { 5.0 } else { 1.0 };
            UpstreamCondition { slowdown, ..HEALTHY }
        };
        let upstreams = plan.upstreams;
        let mut simulation = Simulation::new(SimulationPlan {
            condition: Box::new(cold),
            age_ms: Box::new(|n| if n.is_multiple_of(3) { 0 } else { 3_600_000 }),
            ..plan
        });
        simulation.run_until(Moment::from_millis(2_000));
        let cold_upstreams = (0..upstreams).step_by(3);
        let given: u64 = cold_upstreams.clone().map(|n| simulation.outcome.grants[n]).sum();
        let all: u64 = simulation.outcome.grants.iter().sum();
        expect_that!(given * 5, lt(all), "a third at full share would be given a third");
        expect_that!(health_of(&simulation.placer, 0), some(eq(UpstreamHealth::Cold)));
        simulation.run_until(Moment::from_millis(30_000));
        expect_that!(simulation.ejections(), is_empty());
        expect_that!(health_of(&simulation.placer, 0), some(eq(UpstreamHealth::Healthy)));
        expect_that!(simulation.outcome.answered_share(), gt(0.97));
    }
}

// Two faults at once, each of them twice: a failure domain is lost while another upstream fails
// 30%; it returns and is lost again; a slow upstream appears; a request that crashes upstreams is
// resent.
#[gtest]
fn row_28_two_failures_at_once_and_each_twice() {
    for plan in plans(28) {
        let floor = plan.rule.floor_slots;
        let bad = |n: usize, now: Moment| {
            let second = now.as_micros() / 1_000_000;
            let lost =
                n.is_multiple_of(4) && (matches!(second, 15..25) || matches!(second, 40..50));
            let gray = n == 3 && (matches!(second, 12..30) || matches!(second, 42..60));
            let slowdown = if n == 5 && second >= 20 { 10.0 } else { 1.0 };
            UpstreamCondition { up: !lost, fail_share: if gray { 0.3 } else { 0.0 }, slowdown }
        };
        let rate = Box::new(|_| 350.0);
        let mut simulation = Simulation::new(SimulationPlan {
            condition: Box::new(bad),
            rate,
            poison: Some(9),
            ..plan
        });
        for second in 0..70 {
            simulation.run_seconds(1);
            if second > 30 {
                simulation.send(second % 36, 9);
            }
        }
        let lost = [0, 4, 8];
        expect_that!(false_ejections(&simulation, &[0, 3, 4, 5, 8]), eq(0));
        expect_that!(simulation.outcome.crashes, le(2));
        expect_that!(simulation.outcome.least_healthy_slots, ge(floor));
        expect_that!(simulation.outcome.answered_share(), gt(0.97));
        expect_that!(simulation.outcome.attempts_per_call(), le(1.12), "lost {lost:?}");
    }
}

// A settlement that is sent twice frees its slot once.
#[gtest]
fn row_28_a_settle_sent_twice_counts_once() {
    let mut harness = PlacerHarness::open(ServiceRule::default(), 1, 1);
    let first = harness.ask().grant();
    harness.settle(&first, OutcomeClass::Success);
    let second = harness.ask().grant();
    let actions = harness.settle(&first, OutcomeClass::Success);
    expect_that!(actions, is_empty());
    expect_that!(harness.placer.row().busy, eq(1));
    expect_that!(harness.ask().is_queued(), eq(true));
    let granted = harness.settle(&second, OutcomeClass::Success);
    expect_that!(granted, contains(matches_pattern!(PlacerAction::Grant { .. })));
}

// After a change of placer, calls would again be sent to a failing upstream. The new placer learns
// of the ejections from the fleet and adopts them, except those that would go below the floor,
// which it must guarantee itself.
#[gtest]
fn row_17_a_new_placer_takes_over_ejections_down_to_the_floor() {
    let mut harness = PlacerHarness::open(build::guild_rule(12), 12, 4);
    let floor = build::guild_rule(12).floor_slots;
    let until = harness.now + Duration::from_secs(5);
    let mut actions = Vec::new();
    for number in 0..12 {
        harness.placer.adopt_ejection(&build::upstream(number), until, harness.now, &mut actions);
    }
    let out = ejected(&actions);
    expect_that!(out, not(is_empty()));
    expect_that!(harness.placer.capacity().healthy_slots, ge(floor));
    expect_that!(harness.placer.capacity().healthy_slots, lt(floor + 4));
    let granted = build::upstream_number(&harness.ask().grant().upstream);
    expect_that!(out, not(contains(eq(&granted))));
}

// An ejection that has expired when the placer learns of it is not adopted.
#[gtest]
fn row_17_an_ejection_that_is_over_is_not_taken_over() {
    let mut harness = PlacerHarness::open(build::guild_rule(12), 12, 4);
    let mut actions = Vec::new();
    harness.placer.adopt_ejection(&build::upstream(3), harness.now, harness.now, &mut actions);
    expect_that!(ejected(&actions), is_empty());
}
