//! Which upstreams an entry can reach, and the cost of crossing failure domains.

use model::moment::Moment;
use std::collections::BTreeMap;

/// The entry or failure domain that cannot reach an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum PathSource {
    Entry(u32),
    Domain(u32),
}

/// Broken paths to upstreams that work for others.
///
/// One VM or one failure domain may reach an upstream badly, or not at all. Recording its path as
/// broken keeps a healthy upstream from being ejected for all. A broken path is tried again after
/// the time for which an ejection would have lasted, because nothing else tells when it works
/// again.
#[derive(Debug, Default)]
pub(super) struct BrokenPaths {
    until: BTreeMap<(PathSource, u32), Moment>,
}

impl BrokenPaths {
    pub(super) fn add(&mut self, source: PathSource, target: u32, until: Moment) {
        self.until.insert((source, target), until);
    }

    pub(super) fn is_broken(&self, entry: u32, domain: u32, target: u32) -> bool {
        let broken = |source| self.until.contains_key(&(source, target));
        !self.until.is_empty()
            && (broken(PathSource::Entry(entry)) || broken(PathSource::Domain(domain)))
    }

    pub(super) fn expire(&mut self, now: Moment) {
        self.until.retain(|_, until| *until > now);
    }

    pub(super) fn forget_target(&mut self, target: u32) {
        self.until.retain(|(_, other), _| *other != target);
    }
}

/// The weight of one answer in a measured cost.
const COST_WEIGHT: f64 = 1.0 / 64.0;

/// Calls leave the entry's own domain once it costs more than this many times as much as another.
const LOCAL_COST_FACTOR: f64 = 1.5;

/// The cost of calls between failure domains: the answer time divided by the route's median, so
/// that long and short routes can be compared.
#[derive(Debug, Default)]
pub(super) struct DomainCosts {
    costs: BTreeMap<(u32, u32), f64>,
}

impl DomainCosts {
    pub(super) fn record(&mut self, from: u32, to: u32, ratio: f64) {
        let cost = self.costs.entry((from, to)).or_insert(1.0);
        *cost += (ratio.min(10.0) - *cost) * COST_WEIGHT;
    }

    /// Returns the cost in quarters, rounded: smaller differences are noise.
    pub(super) fn cost_in_quarters(&self, from: u32, to: u32) -> u32 {
        (self.cost(from, to) * 4.0).round() as u32
    }

    pub(super) fn prefers_local(&self, local: u32, remote: u32) -> bool {
        self.cost(local, local) <= self.cost(local, remote) * LOCAL_COST_FACTOR
    }

    fn cost(&self, from: u32, to: u32) -> f64 {
        self.costs.get(&(from, to)).copied().unwrap_or(1.0)
    }
}
