//! Which upstreams are closed to a call.

use std::time::Duration;

use googletest::prelude::*;
use model::{
    call::CallClass,
    numbers::{CallNumber, IncarnationNumber},
    slot::{CallNeed, ClosedUpstream, RequestFingerprint, SlotAsk},
};

fn closed(incarnation: u64, left_ms: u32) -> ClosedUpstream {
    let upstream = "hunt-0".parse().unwrap();
    ClosedUpstream { upstream, incarnation: IncarnationNumber(incarnation), left_ms }
}

// An upstream has refused a payment and asked its VM for a short rest. When that is over the payment goes there again.
#[gtest]
fn the_longest_of_several_closures_of_an_upstream_holds() {
    let ask = SlotAsk {
        service: "hunt".parse().unwrap(),
        route: "pay".parse().unwrap(),
        caller: "team-1".parse().unwrap(),
        metered: false,
        class: CallClass::Unprotected,
        call: CallNumber(1),
        attempt: 2,
        need: CallNeed::default(),
        fingerprint: RequestFingerprint(1),
        domain: "pettah".parse().unwrap(),
        within_ms: 1_000,
        avoid: Vec::new(),
        closed: vec![closed(7, u32::MAX)],
    };
    let ask = ask.closing(vec![closed(7, 200), closed(8, 300)]);
    let left = |incarnation| {
        let (upstream, ago) = ("hunt-0".parse().unwrap(), Duration::from_millis(100));
        ask.closed_for(&upstream, IncarnationNumber(incarnation), ago)
    };
    expect_that!(left(7), gt(Duration::from_secs(1_000_000)));
    expect_that!(left(8), eq(Duration::from_millis(200)));
    expect_that!(left(9), eq(Duration::ZERO));
}
