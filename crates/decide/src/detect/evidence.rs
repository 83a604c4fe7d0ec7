//! The evidence against one upstream, and where it comes from.

use super::{EvidenceSource, FAILURE_ALTERNATIVES, tally::ShareTally};
use std::collections::BTreeMap;

/// How many outcomes the belief "healthy" weighs against the peers' in the time of an excursion, which
/// may be short.
const PRIOR_PEERS: f64 = 5.0;

/// Failures that come from one entry or one failure domain are a path fault when the others would have
/// seen at least so many at its share, and have seen less than a fifth of that.
const PATH_PROOF: f64 = 5.0;
const PATH_PART: f64 = 0.2;

/// The fewest failures from which a path fault is concluded.
const PATH_FAILURES: u32 = 3;

/// Failures and successes since the failure test last stood at zero.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SourceCount {
    pub(super) failures: u32,
    pub(super) successes: u32,
}

/// What an upstream has shown since one of its statistics last stood at zero, and what had been seen
/// in all by then. Exactly the time in which the evidence against it came together, for its peers to
/// be compared over.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Excursion {
    pub(super) before: ShareTally,
    pub(super) own: ShareTally,
}

impl Excursion {
    /// Counts an outcome; `fresh` tells that the statistic stood at zero before it.
    pub(super) fn count(&mut self, bad: bool, fresh: bool, all: ShareTally) {
        if fresh {
            *self = Self { before: all, own: ShareTally::default() };
        }
        self.own.count(bad);
    }

    /// Returns what the peers have shown in the same time.
    pub(super) fn peers(&self, all: ShareTally) -> ShareTally {
        all.without(self.before).without(self.own)
    }

    pub(super) fn excess(&self, all: ShareTally, healthy: f64) -> f64 {
        let peers = self.peers(all);
        let expected = (peers.bad / (peers.all + PRIOR_PEERS)).max(healthy);
        self.own.excess_over(expected)
    }
}

#[derive(Debug, Default)]
pub(super) struct UpstreamEvidence {
    pub(super) failing: [f64; FAILURE_ALTERNATIVES.len()],
    pub(super) late: f64,
    pub(super) failing_since: Excursion,
    pub(super) late_since: Excursion,
    pub(super) entries: BTreeMap<u32, SourceCount>,
    pub(super) domains: BTreeMap<u32, SourceCount>,
}

impl UpstreamEvidence {
    pub(super) fn greatest_failing(&self) -> f64 {
        self.failing.iter().copied().fold(0.0, f64::max)
    }

    pub(super) fn count_source(&mut self, source: &EvidenceSource, failed: bool) {
        let entry = self.entries.entry(source.entry).or_default();
        entry.count(failed);
        self.domains.entry(source.domain).or_default().count(failed);
    }

    pub(super) fn forget_sources(&mut self) {
        self.entries.clear();
        self.domains.clear();
    }
}

impl SourceCount {
    pub(super) fn count(&mut self, failed: bool) {
        if failed {
            self.failures += 1;
        } else {
            self.successes += 1;
        }
    }
}

/// Returns the source with the most failures, if the others fare so much better there that its path
/// must be at fault.
pub(super) fn lone_source(counts: &BTreeMap<u32, SourceCount>) -> Option<u32> {
    let (&source, own) = counts.iter().max_by_key(|(_, count)| count.failures)?;
    if own.failures < PATH_FAILURES {
        return None;
    }
    let others = counts.iter().filter(|(other, _)| **other != source);
    let (mut calls, mut failures) = (0, 0);
    for (_, count) in others {
        calls += count.failures + count.successes;
        failures += count.failures;
    }
    let share = f64::from(own.failures) / f64::from(own.failures + own.successes);
    let expected = f64::from(calls) * share;
    let proved = expected >= PATH_PROOF && f64::from(failures) < expected * PATH_PART;
    proved.then_some(source)
}
