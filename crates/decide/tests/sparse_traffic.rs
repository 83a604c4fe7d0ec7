//! Many more upstreams than calls per second: outcomes of a single upstream are so rare that most
//! estimates of it are outdated.

mod support;

use googletest::prelude::*;
use support::{
    transient::TransientSimulation,
    transient_plan::{TransientPlan, total},
};

/// One call per upstream in six seconds, as a service in a fleet of a thousand VMs has. None can be
/// run again.
fn sparse_plan(seed: u64) -> TransientPlan {
    TransientPlan {
        seed,
        repeatable: 0.0,
        upstreams: 400,
        slots: 4,
        work_ms: 320.0,
        rate: |_| 66.0,
        healthy_s: 6.3,
        failing_s: 2.7,
        failure_shares: (0.75, 0.012),
        ..TransientPlan::default()
    }
}

/// Returns the share of calls that fails if upstreams are chosen without any information.
fn uninformed_failure_share(plan: &TransientPlan) -> f64 {
    let bad = plan.failing_s / (plan.healthy_s + plan.failing_s);
    bad * plan.failure_shares.0 + (1.0 - bad) * plan.failure_shares.1
}

/// For each seed, returns the share of calls that fails in the last 50 of 60 seconds, and the share
/// that would fail if upstreams were chosen without any information.
fn failure_shares(plan: impl Fn(u64) -> TransientPlan) -> Vec<(f64, f64)> {
    let shares_of = |seed| {
        let outcome = total(&TransientSimulation::open(plan(seed)).run(60)[10..]);
        (
            f64::from(outcome.failed) / f64::from(outcome.asked),
            uninformed_failure_share(&plan(seed)),
        )
    };
    (0..5).map(shares_of).collect()
}

// Guards against placing each call on an upstream without recent outcomes, since outcomes of each
// are so rare.
#[gtest]
fn sparse_calls_stay_with_upstreams_that_have_just_answered() {
    for (failed, uninformed) in failure_shares(sparse_plan) {
        expect_that!(failed, le(uninformed / 2.0));
    }
}
