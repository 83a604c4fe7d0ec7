//! When a second try beside a slow first one is worth a slot.

use hdrhistogram::Histogram;
use model::names::RouteName;
use std::{collections::BTreeMap, time::Duration};

/// The greatest time that is told apart, in microseconds.
const LONGEST_US: u64 = 120_000_000;

/// After how many answers the figures of a route are made anew. Enough for a 95th percentile with a
/// dozen answers above it; few enough to follow a change of load within seconds.
const WINDOW: u64 = 256;

/// From how many answers on there are figures at all.
const FEWEST: u64 = 32;

/// How many routes are measured; more share nothing and are not hedged.
const ROUTES_LIMIT: usize = 4_096;

/// How long the answers of one route take, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RouteTimes {
    /// A tenth of the answers are faster.
    pub p10: u64,
    /// Half of the answers are faster.
    pub p50: u64,
    /// A tenth of the answers are slower.
    pub p90: u64,
    /// One in twenty answers is slower.
    pub p95: u64,
}

/// Measures one route in bounded memory (about 1 KB each).
#[derive(Debug)]
pub struct RouteMeter {
    present: Histogram<u32>,
    former: Histogram<u32>,
    times: Option<RouteTimes>,
}

impl Default for RouteMeter {
    fn default() -> Self {
        let histogram = Histogram::new_with_max(LONGEST_US, 1).expect("the bounds are valid");
        Self { present: histogram.clone(), former: histogram, times: None }
    }
}

impl RouteMeter {
    /// Counts an answer.
    pub fn record(&mut self, took_us: u64) {
        self.present.saturating_record(took_us.clamp(1, LONGEST_US));
        let count = self.present.len();
        if count >= WINDOW {
            self.refresh();
            std::mem::swap(&mut self.present, &mut self.former);
            self.present.reset();
        } else if self.times.is_none() && count >= FEWEST
            || self.former.is_empty() && count.is_multiple_of(FEWEST)
        {
            self.refresh();
        }
    }

    /// Returns the figures, once there are enough answers.
    pub fn times(&self) -> Option<RouteTimes> {
        self.times
    }

    fn refresh(&mut self) {
        let of = |share| self.present.value_at_quantile(share);
        self.times =
            Some(RouteTimes { p10: of(0.10), p50: of(0.50), p90: of(0.90), p95: of(0.95) });
    }
}

/// What speaks for and against a hedge at one moment.
#[derive(Clone, Copy, Debug)]
pub struct HedgeRoom {
    /// Slots that no call holds.
    pub free: u32,
    /// Slots in all.
    pub slots: u32,
    /// Calls that wait for a slot.
    pub queued: u32,
}

/// Decides when an idempotent call gets a second try beside the first.
///
/// Load: one slow upstream, or one slow answer, at moderate load. Harm prevented: the caller waits
/// ten times as long as others. Reasons for the limits: after the 95th percentile of its own route
/// one call in twenty is hedged, so the cost is bounded however the times are spread; a hedge while
/// calls wait would take a slot from a call that has had none, so a tenth of the slots has to be free.
#[derive(Debug, Default)]
pub struct HedgePolicy {
    routes: BTreeMap<RouteName, RouteMeter>,
}

impl HedgePolicy {
    /// Counts an answer of a healthy upstream.
    pub fn record(&mut self, route: &RouteName, took: Duration) {
        let took_us = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
        if let Some(meter) = self.routes.get_mut(route) {
            meter.record(took_us);
        } else if self.routes.len() < ROUTES_LIMIT {
            let meter = self.routes.entry(route.clone()).or_default();
            meter.record(took_us);
        }
    }

    /// Returns the time after which a call of the route is late.
    pub fn late_after(&self, route: &RouteName) -> Option<Duration> {
        let times = self.routes.get(route)?.times()?;
        Some(Duration::from_micros(times.p95))
    }

    /// Returns after which time a hedge is worth a slot, or `None`: not now.
    pub fn hedge_after(&self, route: &RouteName, room: HedgeRoom) -> Option<Duration> {
        if !has_room(room) {
            return None;
        }
        self.late_after(route)
    }
}

/// Tells whether there is room for hedges.
pub fn has_room(room: HedgeRoom) -> bool {
    room.queued == 0 && room.free > 0 && room.free * 10 >= room.slots
}
