//! Many more upstreams than calls in a second: each upstream is heard of too seldom for most of what is
//! believed of it to hold.

mod support;

use googletest::prelude::*;
use support::{
    passing::PassingWorld,
    passing_plan::{PassingPlan, total},
};

/// A call for each upstream in six seconds, as a service of a fleet of a thousand VMs has. None can be run
/// again.
fn thin(seed: u64) -> PassingPlan {
    PassingPlan {
        seed,
        again: 0.0,
        upstreams: 400,
        slots: 4,
        work_ms: 320.0,
        rate: |_| 66.0,
        good_s: 6.3,
        bad_s: 2.7,
        fails: (0.75, 0.012),
        ..PassingPlan::default()
    }
}

/// Which part of the calls fails where each goes to an upstream of which nothing is known.
const BLIND: f64 = 0.3 * 0.75 + 0.7 * 0.012;

// A tenth of the calls fails, so that no upstream may rest any more. With so few calls each then goes to one of
// which nothing is known, and a fifth fails for good.
#[gtest]
fn calls_too_few_for_the_floor_stay_with_upstreams_that_have_just_answered() {
    for seed in 0..5 {
        let outcome = total(&PassingWorld::open(thin(seed)).run(60)[5..]);
        let failed = f64::from(outcome.failed) / f64::from(outcome.asked);
        expect_that!(failed, le(BLIND / 2.0), "seed {seed}: {outcome:?}");
    }
}
