//! Which calls still begin in a planned stop.

use decide::planned_stop::{ServiceTimes, StopSchedule};
use googletest::prelude::*;
use model::names::ServiceName;
use std::time::Duration;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn stock() -> ServiceName {
    "stock".parse().unwrap()
}

// A call was sent with less of a stop left than its service takes, and cut at its upstream.
#[gtest]
fn the_expected_time_covers_nearly_all_calls_of_a_service() {
    for spread in [0, 20, 400] {
        let mut times = ServiceTimes::default();
        let took = |number: u64| ms(1_800 + number * 7_919 % (spread + 1));
        (0..200).for_each(|number| times.record(&stock(), took(number)));
        let expected = times.expected(&stock(), Duration::ZERO);
        let longer = (0..200).filter(|&number| took(number) > expected).count();
        expect_that!(longer, le(10), "spread {spread}: {expected:?}");
        expect_that!(expected, le(ms(1_800 + 3 * spread + 20)));
    }
}

// A service that turned slow was still taken for a fast one.
#[gtest]
fn the_expected_time_follows_a_service_that_turns_slow() {
    let mut times = ServiceTimes::default();
    (0..200).for_each(|_| times.record(&stock(), ms(100)));
    (0..4).for_each(|_| times.record(&stock(), ms(2_000)));
    expect_that!(times.expected(&stock(), Duration::ZERO), ge(ms(2_000)));
}

// A service whose times are not known was taken for one that answers at once.
#[gtest]
fn an_unknown_service_is_expected_to_take_its_objective() {
    let times = ServiceTimes::default();
    expect_that!(times.expected(&stock(), ms(6_000)), eq(ms(6_000)));
    expect_that!(times.expected(&stock(), Duration::ZERO), gt(Duration::ZERO));
}

// A lame-duck time longer than the stop left no time for the calls that were read in it.
#[gtest]
fn half_of_a_limited_stop_is_left_for_what_was_read() {
    for (limit, lame_duck) in [(5_800, 2_900), (3_000, 5_000), (60_000, 5_000)] {
        let schedule = StopSchedule::within(ms(limit), ms(lame_duck));
        expect_that!(schedule.lame_duck, le(ms(limit / 2)));
        let end = schedule.calls_end.unwrap();
        expect_that!(end + schedule.ends_limit(), lt(ms(limit)));
        expect_that!(end, gt(ms(limit * 5 / 6)));
    }
    let unlimited = StopSchedule::unlimited(ms(5_000));
    expect_that!((unlimited.lame_duck, unlimited.calls_end), eq((ms(5_000), None)));
}
