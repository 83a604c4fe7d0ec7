//! How early a slow call gets a second try beside it, by what is left of the budget and of the room.

mod support;

use decide::repeats::RepeatWindow;
use googletest::prelude::*;
use model::{
    call::OutcomeClass,
    config::ServiceRule,
    moment::Moment,
    slot::{CallNeed, SlotAsk, SlotGrant},
};
use support::direct::Direct;

const UPSTREAMS: usize = 8;
const SLOTS: u32 = 4;

fn rule() -> ServiceRule {
    ServiceRule {
        transient_ms: 5_000,
        upstream_queue: 4,
        retry_percent: 20,
        retry_burst: 60,
        hedge: true,
        ..ServiceRule::default()
    }
}

fn again(ask: &mut SlotAsk) {
    ask.need = CallNeed { repeatable: true, objective_ms: 1_200, ..CallNeed::default() };
    ask.within_ms = 2_500;
}

/// A placer that has given out nothing for ten seconds and knows the route: answers take 10, 20, .. 1,000 ms,
/// each as often.
fn measured() -> Direct {
    let mut direct = Direct::open(rule(), UPSTREAMS, SLOTS);
    for call in 0..600_u64 {
        if call % 20 == 0 {
            direct.renew(0..UPSTREAMS, SLOTS);
        }
        let grant = direct.ask_from(call as usize % 40, again).grant();
        direct.pass(20);
        direct.settle_as(&grant, call, OutcomeClass::Success, 10 + call * 37 % 100 * 10);
    }
    direct.renew(0..UPSTREAMS, SLOTS);
    direct
}

fn hedged_after_ms(direct: &mut Direct) -> u64 {
    let grant = direct.ask_from(0, again).grant();
    let after = grant.hedge_after_us / 1_000;
    direct.settle(&grant, OutcomeClass::Success);
    after
}

// One answer in twenty is far slower than the others, and hardly any second try has been used. A slow call
// waited for the 95th percentile all the same, and then there was no time left for a second try.
#[gtest]
fn a_slow_call_gets_its_second_try_early_while_the_budget_is_unused() {
    let mut direct = measured();
    // 500 calls in ten seconds: a budget of 160, of which three in five are for hedges.
    expect_that!(hedged_after_ms(&mut direct), all![ge(700), le(880)]);
}

// Failures come in a burst and use the second tries. What is left is kept for them.
#[gtest]
fn a_slow_call_waits_longer_once_failures_have_used_the_budget() {
    let mut direct = measured();
    let mut spent = 0;
    for call in 0..400_u64 {
        let asked = direct.ask_from(call as usize % 40, |ask| {
            again(ask);
            ask.attempt = 2;
        });
        let support::direct::Answer::Grant(grant) = asked else { break };
        spent += 1;
        direct.settle(&grant, OutcomeClass::Success);
    }
    expect_that!(spent, ge(100));
    expect_that!(hedged_after_ms(&mut direct), ge(920));
}

// The upstreams are nearly full: a second try would take the slot of a first one.
#[gtest]
fn a_slow_call_waits_longer_where_there_is_little_room() {
    let mut direct = measured();
    let busy = UPSTREAMS * SLOTS as usize * 3 / 4;
    let held: Vec<SlotGrant> =
        (0..busy).map(|entry| direct.ask_from(entry, again).grant()).collect();
    expect_that!(hedged_after_ms(&mut direct), ge(920), "with {} slots in use", held.len());
}

// Each call that may be is hedged at the share that the budget bears, for half a minute. Hedges alone never
// take what is kept for failures.
#[gtest]
fn hedges_leave_a_part_of_the_budget_to_failures() {
    let mut window = RepeatWindow::open(60, Moment::ZERO);
    let mut owed = 0.0;
    for step in 0..3_000_u64 {
        let now = Moment::from_millis(step * 10);
        window.count_first(true, now);
        owed += window.hedge_share(20, 60);
        if owed >= 1.0 && window.spend(20, 60, true, now) {
            owed -= 1.0;
        }
    }
    let now = Moment::from_millis(30_000);
    let left = (0..1_000).filter(|_| window.spend(20, 60, false, now)).count();
    // 1,000 calls in ten seconds: a budget of 260.
    expect_that!(left, ge(260 / 5));
}
