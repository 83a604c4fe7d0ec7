//! What changes where failures hang, and what does not where they are answered.

mod support;

use decide::{failing::HangShare, repeats::RepeatWindow};
use googletest::prelude::*;
use model::{
    call::{CallClass, OutcomeClass},
    config::ServiceRule,
    moment::Moment,
    slot::{CallNeed, SlotAsk},
};
use std::time::Duration;
use support::{direct::Direct, passing};

const UPSTREAMS: usize = 12;

fn look_up(ask: &mut SlotAsk) {
    ask.class = CallClass::Idempotent;
    ask.need = CallNeed { objective_ms: 1_500, ..CallNeed::default() };
    ask.within_ms = 3_000;
}

/// A placer whose failures ended so. All its upstreams have been silent for long but one, which has just
/// answered.
fn after(failures: usize, outcome: OutcomeClass) -> Direct {
    let mut direct = Direct::open(ServiceRule { hedge: true, ..passing::rule() }, UPSTREAMS, 4);
    for _ in 0..failures {
        let grant = direct.ask_from(0, look_up).grant();
        direct.pass(20);
        direct.renew(0..UPSTREAMS, 4);
        direct.settle(&grant, outcome);
    }
    for _ in 0..40 {
        direct.pass(1_000);
        direct.renew(0..UPSTREAMS, 4);
    }
    let grant = direct.ask_from(0, look_up).grant();
    direct.settle(&grant, OutcomeClass::Success);
    direct
}

/// Counts the upstreams that the next look-ups go to, each answered before the next.
fn tried(direct: &mut Direct) -> usize {
    let mut seen = std::collections::BTreeSet::new();
    for _ in 0..6 {
        let grant = direct.ask_from(0, look_up).grant();
        seen.insert(grant.upstream.clone());
        direct.pass(5);
        direct.renew(0..UPSTREAMS, 4);
        direct.settle(&grant, OutcomeClass::Success);
    }
    seen.len()
}

// Look-ups find out about upstreams of which little is known, so that payments need not. Where a failure
// hangs, each that finds one out is lost or late.
#[gtest]
fn look_ups_find_out_where_failures_are_answered_and_not_where_they_hang() {
    let answered = tried(&mut after(120, OutcomeClass::ErrorAnswer));
    let hung = tried(&mut after(120, OutcomeClass::Timeout));
    expect_that!(answered, ge(3));
    expect_that!(hung, lt(answered));
}

/// Counts the hedges that a budget gives at once.
fn hedges(share: f64) -> u32 {
    let start = Moment::from_millis(60_000);
    let mut window = RepeatWindow::open(0, start);
    let now = start + Duration::from_secs(1);
    (0..1_000).for_each(|_| window.count_first(true, now));
    window.set_hanging(share);
    (0..1_000).map(|_| u32::from(window.spend(20, 0, true, now))).sum()
}

// Half of the second tries is kept for calls that are told to have failed. Where none is told, that half
// would never be used.
#[gtest]
fn second_tries_are_kept_for_told_failures_only_as_far_as_failures_are_told() {
    let whole = 200.0 * 0.85;
    expect_that!(f64::from(hedges(0.0)), le(whole * 0.5));
    expect_that!(f64::from(hedges(1.0)), all![ge(whole * 0.8), le(whole)]);
    expect_that!(hedges(0.5), all![gt(hedges(0.0)), lt(hedges(1.0))]);
}

// A few odd failures do not change how calls are placed; a spell of them does, and passes.
#[gtest]
fn the_share_follows_spells_and_not_single_failures() {
    let mut hangs = HangShare::default();
    (0..200).for_each(|_| hangs.answered());
    (0..3).for_each(|_| hangs.hung());
    expect_that!(hangs.share(), lt(0.1));
    (0..100).for_each(|_| hangs.hung());
    expect_that!(hangs.share(), gt(0.9));
    (0..100).for_each(|_| hangs.answered());
    expect_that!(hangs.share(), lt(0.1));
}
