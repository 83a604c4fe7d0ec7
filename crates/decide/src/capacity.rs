//! How much of the hardware has to be switched on.
//!
//! Load: the ordinary day, with spare hardware off. Harm prevented: advice to switch off what the
//! next failure would have needed, and no advice to switch on when calls are refused. Reasons for the
//! limits: what runs must carry the 95th percentile of the last five minutes, and the floor, after
//! the loss of its largest failure domain, because a domain is what is lost at once and a cold VM
//! takes longer than a deadline. Switching on is advised at the first refusals; staying off only
//! after five whole minutes without one, so that a service just started is not judged by its silence.

use model::{moment::Moment, names::DomainName};
use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

/// How far back the meter looks, in intervals.
const INTERVALS: usize = 300;

/// The length of one interval. Within it the greatest use counts.
const INTERVAL: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug, Default)]
struct UsageInterval {
    peak: u32,
    refused: u32,
}

/// One upstream as a piece of capacity.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamCapacity {
    /// What it is lost together with.
    pub domain: DomainName,
    /// Its slots.
    pub slots: u32,
}

/// What the meter says.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CapacityAdvice {
    /// Slots in use, at the 95th percentile of the last minutes.
    pub busy_p95: u32,
    /// Calls refused in the same time for want of a slot.
    pub refused: u64,
    /// How many more upstreams should be switched on.
    pub switch_on: u32,
    /// How many upstreams could be switched off.
    pub may_stay_off: u32,
}

/// Measures the use of one service's slots over the last minutes.
#[derive(Debug, Default)]
pub struct CapacityMeter {
    intervals: VecDeque<UsageInterval>,
    /// When the present interval began.
    interval_start: Option<Moment>,
    busy: u32,
}

impl CapacityMeter {
    /// Opens a meter without history.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes how many slots are in use from now on.
    pub fn record_busy(&mut self, busy: u32, now: Moment) {
        self.advance(now);
        self.busy = busy;
        let present = self.intervals.back_mut().expect("advance leaves an interval");
        present.peak = present.peak.max(busy);
    }

    /// Notes a call refused for want of a slot.
    pub fn record_refusal(&mut self, now: Moment) {
        self.advance(now);
        let present = self.intervals.back_mut().expect("advance leaves an interval");
        present.refused = present.refused.saturating_add(1);
    }

    /// Returns the use at the 95th percentile.
    pub fn busy_p95(&self) -> u32 {
        let mut peaks: Vec<u32> = self.intervals.iter().map(|interval| interval.peak).collect();
        peaks.sort_unstable();
        let rank = (peaks.len() * 95).div_ceil(100);
        peaks.get(rank.saturating_sub(1)).copied().unwrap_or(0)
    }

    /// Judges the healthy upstreams. `call` is how long a call holds a slot on average.
    pub fn advise(
        &self,
        healthy: &[UpstreamCapacity],
        floor: u32,
        call: Duration,
    ) -> CapacityAdvice {
        let refused: u64 = self.intervals.iter().map(|interval| u64::from(interval.refused)).sum();
        let busy_p95 = self.busy_p95();
        let needed = floor.max(busy_p95.saturating_add(self.refused_call_slots(call)));
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

    /// Returns the slots that the refused calls would have held in the worst interval.
    fn refused_call_slots(&self, call: Duration) -> u32 {
        let worst = self.intervals.iter().map(|interval| interval.refused).max().unwrap_or(0);
        let slots = f64::from(worst) * call.as_secs_f64() / INTERVAL.as_secs_f64();
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

/// Slots by failure domain, and what is left when the largest is lost.
#[derive(Debug, Default)]
struct SlotsByDomain<'a>(BTreeMap<&'a DomainName, Vec<u32>>);

impl<'a> SlotsByDomain<'a> {
    fn from_units(units: &'a [UpstreamCapacity]) -> Self {
        let mut domains = BTreeMap::<_, Vec<u32>>::new();
        for unit in units {
            domains.entry(&unit.domain).or_default().push(unit.slots);
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

/// New upstreams are counted with the size of the smallest and into the smallest domain.
fn upstreams_to_switch_on(healthy: &[UpstreamCapacity], needed: u32) -> u32 {
    let domains = SlotsByDomain::from_units(healthy);
    let size = healthy.iter().map(|unit| unit.slots).min().unwrap_or(1).max(1);
    let mut totals: Vec<u32> = domains.totals().collect();
    // A service in one domain cannot outlive it whatever is added there: the next goes elsewhere.
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

fn upstreams_to_leave_off(healthy: &[UpstreamCapacity], needed: u32) -> u32 {
    let mut domains = SlotsByDomain::from_units(healthy);
    let mut off = 0;
    while domains.remove_from_largest() {
        if domains.slots_after_largest_loss() < needed.max(1) {
            break;
        }
        off += 1;
    }
    off
}
