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

/// How far back the meter looks, in slices.
const SLICES: usize = 300;

/// The length of one slice. Within it the greatest use counts.
const SLICE: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug, Default)]
struct UseSlice {
    peak: u32,
    refused: u32,
}

/// One upstream as a piece of capacity.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CapacityUnit {
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
    slices: VecDeque<UseSlice>,
    /// When the present slice began.
    began: Option<Moment>,
    busy: u32,
}

impl CapacityMeter {
    /// Opens a meter without history.
    pub fn open() -> Self {
        Self::default()
    }

    /// Notes how many slots are in use from now on.
    pub fn note_busy(&mut self, busy: u32, now: Moment) {
        self.advance(now);
        self.busy = busy;
        let present = self.slices.back_mut().expect("advance leaves a slice");
        present.peak = present.peak.max(busy);
    }

    /// Notes a call refused for want of a slot.
    pub fn note_refused(&mut self, now: Moment) {
        self.advance(now);
        let present = self.slices.back_mut().expect("advance leaves a slice");
        present.refused = present.refused.saturating_add(1);
    }

    /// Returns the use at the 95th percentile.
    pub fn busy_p95(&self) -> u32 {
        let mut peaks: Vec<u32> = self.slices.iter().map(|slice| slice.peak).collect();
        peaks.sort_unstable();
        let rank = (peaks.len() * 95).div_ceil(100);
        peaks.get(rank.saturating_sub(1)).copied().unwrap_or(0)
    }

    /// Judges the healthy upstreams. `call` is how long a call holds a slot on average.
    pub fn advise(&self, healthy: &[CapacityUnit], floor: u32, call: Duration) -> CapacityAdvice {
        let refused: u64 = self.slices.iter().map(|slice| u64::from(slice.refused)).sum();
        let busy_p95 = self.busy_p95();
        let needed = floor.max(busy_p95.saturating_add(self.missing_slots(call)));
        let whole = self.slices.len() >= SLICES;
        CapacityAdvice {
            busy_p95,
            refused,
            switch_on: switch_on(healthy, needed),
            may_stay_off: if whole && refused == 0 { stay_off(healthy, needed) } else { 0 },
        }
    }

    /// Returns the slots that the refused calls would have held in the worst slice.
    fn missing_slots(&self, call: Duration) -> u32 {
        let worst = self.slices.iter().map(|slice| slice.refused).max().unwrap_or(0);
        let slots = f64::from(worst) * call.as_secs_f64() / SLICE.as_secs_f64();
        slots.ceil().min(f64::from(u32::MAX)) as u32
    }

    fn advance(&mut self, now: Moment) {
        let began = *self.began.get_or_insert(now);
        if self.slices.is_empty() {
            self.slices.push_back(UseSlice::default());
        }
        let passed = now.since(began).as_micros() / SLICE.as_micros();
        let fresh = UseSlice { peak: self.busy, refused: 0 };
        for _ in 0..passed.min(SLICES as u128) {
            if self.slices.len() >= SLICES {
                self.slices.pop_front();
            }
            self.slices.push_back(fresh);
        }
        let passed = u32::try_from(passed).unwrap_or(u32::MAX);
        self.began = Some(began + SLICE * passed);
    }
}

/// Slots by failure domain, and what is left when the largest is lost.
#[derive(Debug, Default)]
struct DomainSlots<'a>(BTreeMap<&'a DomainName, Vec<u32>>);

impl<'a> DomainSlots<'a> {
    fn of(units: &'a [CapacityUnit]) -> Self {
        let mut domains = BTreeMap::<_, Vec<u32>>::new();
        for unit in units {
            domains.entry(&unit.domain).or_default().push(unit.slots);
        }
        for slots in domains.values_mut() {
            slots.sort_unstable();
        }
        Self(domains)
    }

    fn sums(&self) -> impl Iterator<Item = u32> {
        self.0.values().map(|slots| slots.iter().sum())
    }

    fn left_after_loss(&self) -> u32 {
        let largest = self.sums().max().unwrap_or(0);
        self.sums().sum::<u32>() - largest
    }

    fn take_from_largest(&mut self) -> bool {
        let largest = self.0.values_mut().max_by_key(|slots| slots.iter().sum::<u32>());
        largest.is_some_and(|slots| slots.pop().is_some())
    }
}

/// New upstreams are counted with the size of the smallest and into the smallest domain.
fn switch_on(healthy: &[CapacityUnit], needed: u32) -> u32 {
    let domains = DomainSlots::of(healthy);
    let size = healthy.iter().map(|unit| unit.slots).min().unwrap_or(1).max(1);
    let mut sums: Vec<u32> = domains.sums().collect();
    // A service in one domain cannot outlive it whatever is added there: the next goes elsewhere.
    if sums.len() < 2 && needed > 0 {
        sums.resize(2, 0);
    }
    let mut added = 0;
    loop {
        let largest = sums.iter().copied().max().unwrap_or(0);
        if sums.iter().sum::<u32>() - largest >= needed {
            return added;
        }
        let Some(least) = sums.iter_mut().min() else { return added };
        *least += size;
        added += 1;
    }
}

fn stay_off(healthy: &[CapacityUnit], needed: u32) -> u32 {
    let mut domains = DomainSlots::of(healthy);
    let mut off = 0;
    while domains.take_from_largest() {
        if domains.left_after_loss() < needed.max(1) {
            break;
        }
        off += 1;
    }
    off
}
