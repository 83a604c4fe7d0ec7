//! The evidence against one upstream, and where it comes from.

use super::{EvidenceSource, FAILURE_ALTERNATIVES, tally::BadShare};
use std::collections::BTreeMap;

/// The weight of the baseline share against the peers' outcomes in an excursion, which may be
/// short, as a number of outcomes.
const PRIOR_PEER_OUTCOMES: f64 = 5.0;

/// Failures seen by one entry or one failure domain are a path fault if the others, at the same
/// share, should have seen at least this many failures, and have seen less than a fifth of what
/// they should have.
const MIN_EXPECTED_FAILURES: f64 = 5.0;
const PATH_FAULT_FRACTION: f64 = 0.2;

/// The minimum number of failures for a path fault.
const MIN_PATH_FAILURES: u32 = 3;

/// Failures and successes since the failure statistics were last zero.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SourceCount {
    pub(super) failures: u32,
    pub(super) successes: u32,
}

/// The outcomes of an upstream since one of its statistics was last zero, and the totals up to that
/// moment. This is exactly the time in which the evidence accumulated, so the peers are compared
/// over the same time.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Excursion {
    pub(super) before: BadShare,
    pub(super) own: BadShare,
}

impl Excursion {
    /// Counts an outcome; `was_zero` is whether the statistic was zero before it.
    pub(super) fn count(&mut self, bad: bool, was_zero: bool, all: BadShare) {
        if was_zero {
            *self = Self { before: all, own: BadShare::default() };
        }
        self.own.count(bad);
    }

    /// Returns the outcomes of the peers in the same time.
    pub(super) fn peers(&self, all: BadShare) -> BadShare {
        all.minus(self.before).minus(self.own)
    }

    pub(super) fn log_likelihood_excess(&self, all: BadShare, baseline: f64) -> f64 {
        let peers = self.peers(all);
        let expected = (peers.bad / (peers.total + PRIOR_PEER_OUTCOMES)).max(baseline);
        self.own.log_likelihood_over(expected)
    }
}

#[derive(Debug, Default)]
pub(super) struct UpstreamEvidence {
    pub(super) failure_statistics: [f64; FAILURE_ALTERNATIVES.len()],
    pub(super) latency_statistic: f64,
    pub(super) failure_excursion: Excursion,
    pub(super) latency_excursion: Excursion,
    pub(super) entries: BTreeMap<u32, SourceCount>,
    pub(super) domains: BTreeMap<u32, SourceCount>,
}

impl UpstreamEvidence {
    pub(super) fn max_failure_statistic(&self) -> f64 {
        self.failure_statistics.iter().copied().fold(0.0, f64::max)
    }

    pub(super) fn record_source(&mut self, source: &EvidenceSource, failed: bool) {
        let entry = self.entries.entry(source.entry).or_default();
        entry.count(failed);
        self.domains.entry(source.domain).or_default().count(failed);
    }

    pub(super) fn clear_sources(&mut self) {
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

/// Returns the source with the most failures, if the other sources see so few failures that its
/// path must be at fault.
pub(super) fn path_fault_source(counts: &BTreeMap<u32, SourceCount>) -> Option<u32> {
    let (&source, own) = counts.iter().max_by_key(|(_, count)| count.failures)?;
    if own.failures < MIN_PATH_FAILURES {
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
    let proved =
        expected >= MIN_EXPECTED_FAILURES && f64::from(failures) < expected * PATH_FAULT_FRACTION;
    proved.then_some(source)
}
