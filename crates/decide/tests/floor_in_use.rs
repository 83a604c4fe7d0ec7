//! Sound upstreams get a call within two seconds, whatever happens around their service.

mod support;

use googletest::prelude::*;
use support::passing::{PassingPlan, PassingWorld};

/// The smaller part of a split route: calls that cannot be run again, fewer than two a second for each
/// upstream.
fn small_part(seed: u64) -> PassingPlan {
    PassingPlan {
        seed,
        again: 0.0,
        upstreams: 24,
        slots: 4,
        work_ms: 220.0,
        rate: |_| 34.0,
        good_s: 6.3,
        bad_s: 2.7,
        fails: (0.75, 0.012),
        ..PassingPlan::default()
    }
}

/// Counts the tenths of a second at which less than seven in ten of the upstreams that are idle and have failed
/// nothing of late had got a call within two seconds, and all that were looked at.
fn moments_short_of_the_floor(
    plan: impl Fn(u64) -> PassingPlan,
    tenths: std::ops::Range<u64>,
) -> (u32, u32) {
    let (mut short, mut all) = (0, 0);
    for seed in 0..20 {
        let mut world = PassingWorld::open(plan(seed));
        for tenth in tenths.clone() {
            world.play_until(tenth * 100);
            let (idle, used) = world.idle_and_used();
            all += 1;
            short += u32::from(used > 0 && used * 10 < idle * 7);
        }
    }
    (short, all)
}

// A service serves all of a few payments with less than half of its sound upstreams, while the other part of its
// route refuses calls.
#[gtest]
fn a_small_part_of_a_split_route_leaves_no_sound_upstream_without_work() {
    let (short, all) = moments_short_of_the_floor(small_part, 50..300);
    expect_that!(short, eq(0), "of {all} moments");
}

// Upstreams that have just started get no call for two seconds.
#[gtest]
fn upstreams_that_join_get_work_as_the_others_do() {
    let plan = |seed| PassingPlan { joins: Some((10, 5)), ..small_part(seed) };
    let (short, all) = moments_short_of_the_floor(plan, 120..180);
    expect_that!(short, eq(0), "of {all} moments");
}

// A placer that takes over counts what rested before as just used, so it rests for twice as long.
#[gtest]
fn after_a_change_of_placer_no_sound_upstream_rests_for_longer() {
    let plan = |seed| PassingPlan { hand_over_s: Some(10), ..small_part(seed) };
    let (short, all) = moments_short_of_the_floor(plan, 100..140);
    expect_that!(short, eq(0), "of {all} moments");
}
