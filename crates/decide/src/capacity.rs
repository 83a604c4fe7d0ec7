//! Capacity advice: how many upstreams should be switched on, and how many may stay off.
//!
//! Spare hardware is switched off in ordinary traffic. The advice must keep enough of it on to survive
//! the next failure, and must ask for more when calls are refused.
//!
//! The running upstreams must carry the 95th percentile of the last five minutes' use, and the floor,
//! after the loss of their largest failure domain: a domain fails as a whole, and a cold VM takes
//! longer to start than a call's deadline. Switching on is advised at the first refusals. Staying off
//! is advised only after five whole minutes without a refusal, so that a short history, such as that of
//! a service just started, does not count as low use.

use model::{moment::Moment, names::DomainName};
use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

/// How many intervals of history the meter keeps.
const INTERVALS: usize = 300;

/// The length of one interval. The peak use within it counts.
const INTERVAL: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug, Default)]
struct UsageInterval {
    peak: u32,
    refused: u32,
}

/// The capacity of one upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamCapacity {
    /// The failure domain of the upstream.
    pub domain: DomainName,
    /// The slots of the upstream.
    pub slots: u32,
}

/// The use of a service's slots and the advice that follows from it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CapacityAdvice {
    /// Slots in use, at the 95th percentile of the last five minutes.
    pub busy_p95: u32,
    /// Calls refused for lack of a slot in the same time.
    pub refused: u64,
    /// The number of upstreams to switch on.
    pub switch_on: u32,
    /// The number of upstreams that may be switched off.
    pub may_stay_off: u32,
}

/// Measures the use of one service's slots over the last five minutes.
#[derive(Debug, Default)]
pub struct CapacityMeter {
    intervals: VecDeque<UsageInterval>,
    /// When the current interval began.
    interval_start: Option<Moment>,
    busy: u32,
}

impl CapacityMeter {
    /// Creates a meter without history.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records how many slots are in use from now on.
    pub fn record_busy(&mut self, busy: u32, now: Moment) {
        self.advance(now);
        self.busy = busy;
        let current = self.intervals.back_mut().expect("advance leaves an interval");
        current.peak = current.peak.max(busy);
    }

    /// Records a call refused for lack of a slot.
    pub fn record_refusal(&mut self, now: Moment) {
        self.advance(now);
        let current = self.intervals.back_mut().expect("advance leaves an interval");
        current.refused = current.refused.saturating_add(1);
    }

    /// Returns the use at the 95th percentile.
    pub fn busy_p95(&self) -> u32 {
        let mut peaks: Vec<u32> = self.intervals.iter().map(|interval| interval.peak).collect();
        peaks.sort_unstable();
        let rank = (peaks.len() * 95).div_ceil(100);
        peaks.get(rank.saturating_sub(1)).copied().unwrap_or(0)
    }

    /// Returns the advice for the healthy upstreams. `call_duration` is how long a call holds a slot on
    /// average.
    pub fn advise(
        &self,
        healthy: &[UpstreamCapacity],
        floor: u32,
        call_duration: Duration,
    ) -> CapacityAdvice {
        let refused: u64 = self.intervals.iter().map(|interval| u64::from(interval.refused)).sum();
        let busy_p95 = self.busy_p95();
        let needed = floor.max(busy_p95.saturating_add(self.refused_call_slots(call_duration)));
        let history_is_full = self.intervals.len() >= INTERVALS;
        CapacityAdvice {
            busy_p95,
            refused,
            switch_on: upstreams_to_switch_on(healthy, needed),
            may_stay_off: if history_is_full && refused == 0 {
                upstreams_to_leave_off(healthy, needed)
            } else {
                0
            },
        }
    }

    /// Returns how many slots the refused calls of the worst interval would have held.
    fn refused_call_slots(&self, call_duration: Duration) -> u32 {
        let worst = self.intervals.iter().map(|interval| interval.refused).max().unwrap_or(0);
        let slots = f64::from(worst) * call_duration.as_secs_f64() / INTERVAL.as_secs_f64();
        slots.ceil().min(f64::from(u32::MAX)) as u32
    }

    fn advance(&mut self, now: Moment) {
        let interval_start = *self.interval_start.get_or_insert(now);
        if self.intervals.is_empty() {
            self.intervals.push_back(UsageInterval::default());
        }
        let passed = now.since(interval_start).as_micros() / INTERVAL.as_micros();
        let fresh = UsageInterval { peak: self.busy, refused: 0 };
        for _ in 0..passed.min(INTERVALS as u128) {
            if self.intervals.len() >= INTERVALS {
                self.intervals.pop_front();
            }
            self.intervals.push_back(fresh);
        }
        let passed = u32::try_from(passed).unwrap_or(u32::MAX);
        self.interval_start = Some(interval_start + INTERVAL * passed);
    }
}

/// The slots of each upstream, by failure domain, smallest first.
#[derive(Debug, Default)]
struct SlotsByDomain<'a>(BTreeMap<&'a DomainName, Vec<u32>>);

impl<'a> SlotsByDomain<'a> {
    fn from_upstreams(upstreams: &'a [UpstreamCapacity]) -> Self {
        let mut domains = BTreeMap::<_, Vec<u32>>::new();
        for upstream in upstreams {
            domains.entry(&upstream.domain).or_default().push(upstream.slots);
        }
        for slots in domains.values_mut() {
            slots.sort_unstable();
        }
        Self(domains)
    }

    fn totals(&self) -> impl Iterator<Item = u32> {
        self.0.values().map(|slots| slots.iter().sum())
    }

    fn slots_after_largest_loss(&self) -> u32 {
        let largest = self.totals().max().unwrap_or(0);
        self.totals().sum::<u32>() - largest
    }

    fn remove_from_largest(&mut self) -> bool {
        let largest = self.0.values_mut().max_by_key(|slots| slots.iter().sum::<u32>());
        largest.is_some_and(|slots| slots.pop().is_some())
    }
}

/// Returns how many upstreams to add so that the needed slots survive the loss of the largest domain.
/// Each added upstream counts as having the slots of the smallest one and as placed in the domain with
/// the fewest slots.
fn upstreams_to_switch_on(healthy: &[UpstreamCapacity], needed: u32) -> u32 {
    let domains = SlotsByDomain::from_upstreams(healthy);
    let size = healthy.iter().map(|upstream| upstream.slots).min().unwrap_or(1).max(1);
    let mut totals: Vec<u32> = domains.totals().collect();
    // A service in a single domain does not survive its loss, however much is added there, so a second
    // domain is assumed.
    if totals.len() < 2 && needed > 0 {
        totals.resize(2, 0);
    }
    let mut added = 0;
    loop {
        let largest = totals.iter().copied().max().unwrap_or(0);
        if totals.iter().sum::<u32>() - largest >= needed {
            return added;
        }
        let Some(least) = totals.iter_mut().min() else { return added };
        *least += size;
        added += 1;
    }
}

/// Returns how many upstreams can be switched off, each from the domain with the most slots, while the
/// needed slots still survive the loss of the largest domain.
fn upstreams_to_leave_off(healthy: &[UpstreamCapacity], needed: u32) -> u32 {
    let mut domains = SlotsByDomain::from_upstreams(healthy);
    let mut off = 0;
    while domains.remove_from_largest() {
        if domains.slots_after_largest_loss() < needed.max(1) {
            break;
        }
        off += 1;
    }
    off
}
