//! Who gets one of the few retries, and when, while a whole service turns calls away for seconds.

mod support;

use googletest::prelude::*;
use support::{
    passing::PassingWorld,
    passing_plan::{PassingPlan, SecondOutcome, total},
};

/// When the first spell begins, in seconds. The placer knows the service by then and has a whole budget.
const BEGIN_S: f64 = 22.0;

/// What a late answer is worth, and by how much two runs of one plan may differ.
const LATE_WORTH: f64 = 0.25;
const NOISE: f64 = 0.012;

type Refusing = (f64, f64, f64, f64);

fn plan(seed: u64, shedding: Vec<Refusing>) -> PassingPlan {
    PassingPlan {
        seed,
        upstreams: 67,
        slots: 6,
        rate: |_| 160.0,
        work_ms: 480.0,
        objective_ms: 2_500,
        within_ms: 6_000,
        attempts: 5,
        good_s: 1e6,
        bad_s: 1e-3,
        fails: (0.0, 0.0),
        shedding,
        retry_burst: 164,
        queue_limit: 2_000,
        ..PassingPlan::default()
    }
}

/// Returns the shares of calls in good time and late of those that began in the spells.
fn shares(plan: impl Fn(u64) -> PassingPlan) -> (f64, f64) {
    let mut sum = SecondOutcome::default();
    for seed in 1..=3 {
        let plan = plan(seed);
        let end = plan.shedding.iter().map(|spell| spell.1).fold(BEGIN_S, f64::max);
        let seconds = PassingWorld::open(plan).run(end as u64 + 9);
        sum = total(&[sum, total(&seconds[BEGIN_S as usize..=end as usize])]);
    }
    let share = |part: u32| f64::from(part) / f64::from(sum.asked);
    (share(sum.in_time), share(sum.late))
}

/// Expects at least what was served, all of it in good time, when each call was given a retry or refused at once.
fn expect_no_worse(case: &str, now: (f64, f64), before: f64) {
    let (in_time, late) = now;
    println!("{case}: in time {in_time:.3}, late {late:.3}; at once or never {before:.3}");
    expect_that!(in_time + late, ge(before - NOISE), "served, {case}");
    expect_that!(in_time + late * LATE_WORTH, ge(before - NOISE), "worth, {case}");
}

// Retries went to whoever asked first and were refused again, and none was left at the end of the spell.
#[gtest]
fn calls_that_wait_for_the_end_of_a_spell_are_served() {
    let before = [
        (1.0, [0.999, 0.975, 0.876, 0.686]),
        (2.0, [0.998, 0.967, 0.710, 0.489]),
        (4.0, [0.998, 0.780, 0.528, 0.335]),
        (8.5, [0.926, 0.596, 0.362, 0.182]),
        (15.0, [0.916, 0.625, 0.383, 0.191]),
    ];
    for (length, before) in before {
        for (share, before) in [0.3, 0.56, 0.75, 0.9].into_iter().zip(before) {
            let now = shares(|seed| plan(seed, vec![(BEGIN_S, BEGIN_S + length, 1.0, share)]));
            expect_no_worse(&format!("{length} s, {share}"), now, before);
        }
    }
    let (in_time, late) = shares(|seed| plan(seed, vec![(BEGIN_S, BEGIN_S + 8.5, 1.0, 0.56)]));
    // Who knows the end serves all but those few that have no time left and no retry.
    expect_that!(in_time + late, ge(0.8));
}

// A second spell, a rush of calls, or a choice of upstreams that do not refuse are taken for the same thing.
#[gtest]
fn spells_in_a_row_in_a_rush_and_of_some_upstreams_are_served_no_worse() {
    let rush: fn(f64) -> f64 = |at| if (24.0..27.0).contains(&at) { 400.0 } else { 160.0 };
    let before = [(0.3, 1.0, 0.972, 0.904), (0.56, 1.0, 0.753, 0.597), (0.9, 1.0, 0.441, 0.189)];
    for (share, half, two, rushed) in before {
        let some = shares(|seed| plan(seed, vec![(22.0, 30.0, 0.5, share)]));
        expect_no_worse(&format!("half of the upstreams, {share}"), some, half);
        let spells = vec![(22.0, 26.0, 1.0, share), (29.0, 33.0, 1.0, share)];
        let twice = shares(|seed| plan(seed, spells.clone()));
        expect_no_worse(&format!("two spells, {share}"), twice, two);
        let of = |seed| plan(seed, vec![(22.0, 30.0, 1.0, share)]);
        let many = shares(|seed| PassingPlan { rate: rush, ..of(seed) });
        expect_no_worse(&format!("a rush, {share}"), many, rushed);
    }
}

// The end was learned when the first held calls had to be sent.
#[gtest]
fn the_begin_and_the_end_of_a_spell_are_seen_within_half_a_second() {
    for seed in 1..=3 {
        let mut world = PassingWorld::open(plan(seed, vec![(22.0, 28.0, 1.0, 0.56)]));
        world.play(32);
        let seen: Vec<f64> =
            world.spells.iter().map(|(at, _)| at.as_micros() as f64 / 1e6).collect();
        expect_that!(seen.first(), some(all![ge(&22.0), le(&22.5)]), "begin");
        expect_that!(seen.last(), some(all![ge(&28.0), le(&28.5)]), "end, of {seen:?}");
    }
}
