//! Outcomes of an upstream and of its peers, by route, over a few seconds.

use crate::hedge::LatencyMeter;
use model::moment::Moment;
use std::time::Duration;

/// The half-lives of the outcomes: a long one for shares of a few percent, and a short one for a
/// cause that has just begun at all peers. The greater of the two shares is the expected one.
pub(super) const HALF_LIVES: [Duration; 2] = [Duration::from_secs(10), Duration::from_secs(1)];

/// Decay is applied in steps of a half-life divided by this.
const DECAY_STEPS: u32 = 20;

/// The weight of the baseline share against the outcomes of the peers, as a number of outcomes.
const PRIOR_OUTCOMES: f64 = 20.0;

/// Outcomes by one criterion: failed or not, slow or not.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct BadShare {
    pub(super) total: f64,
    pub(super) bad: f64,
}

impl BadShare {
    pub(super) fn count(&mut self, bad: bool) {
        self.total += 1.0;
        self.bad += f64::from(u8::from(bad));
    }

    pub(super) fn scale(&mut self, factor: f64) {
        self.total *= factor;
        self.bad *= factor;
    }

    pub(super) fn minus(self, part: Self) -> Self {
        Self { total: (self.total - part.total).max(0.0), bad: (self.bad - part.bad).max(0.0) }
    }

    pub(super) fn expected_share(self, baseline: f64) -> f64 {
        (self.bad / (self.total + PRIOR_OUTCOMES)).max(baseline)
    }

    /// Returns the logarithm of how much likelier these outcomes are by their own share than by the
    /// expected one.
    pub(super) fn log_likelihood_over(self, expected: f64) -> f64 {
        let own_share = self.bad / self.total.max(1.0);
        if own_share <= expected {
            return 0.0;
        }
        let own_share = own_share.min(1.0 - 1e-6);
        let good = self.total - self.bad;
        self.bad * (own_share / expected).ln() + good * ((1.0 - own_share) / (1.0 - expected)).ln()
    }
}

#[derive(Clone, Copy, Debug, Default)]
pub(super) struct OutcomeShares {
    pub(super) failures: BadShare,
    pub(super) slow: BadShare,
    pub(super) updated: Moment,
}

impl OutcomeShares {
    pub(super) fn decay(&mut self, half_life: Duration, now: Moment) {
        let passed = now.since(self.updated);
        if passed * DECAY_STEPS < half_life {
            return;
        }
        let factor = (-passed.as_secs_f64() / half_life.as_secs_f64()).exp2();
        self.failures.scale(factor);
        self.slow.scale(factor);
        self.updated = now;
    }

    pub(super) fn remove(&mut self, part: &Self) {
        self.failures = self.failures.minus(part.failures);
        self.slow = self.slow.minus(part.slow);
    }
}

/// Selects the outcomes by one criterion.
pub(super) type ShareSelector = fn(&mut OutcomeShares) -> &mut BadShare;

pub(super) fn select_failures(shares: &mut OutcomeShares) -> &mut BadShare {
    &mut shares.failures
}

pub(super) fn select_slow(shares: &mut OutcomeShares) -> &mut BadShare {
    &mut shares.slow
}

/// The outcomes of one route, decaying with one half-life.
#[derive(Debug, Default)]
pub(super) struct RouteWindow {
    pub(super) all: OutcomeShares,
    pub(super) by_upstream: Vec<OutcomeShares>,
}

impl RouteWindow {
    /// Applies the decay up to now to an upstream's outcomes and to those of all.
    pub(super) fn refresh(&mut self, upstream: usize, half_life: Duration, now: Moment) {
        if self.by_upstream.len() <= upstream {
            self.by_upstream.resize(upstream + 1, OutcomeShares::default());
        }
        self.all.decay(half_life, now);
        self.by_upstream[upstream].decay(half_life, now);
    }

    pub(super) fn peers(&mut self, upstream: usize, select: ShareSelector) -> BadShare {
        let own = *select(&mut self.by_upstream[upstream]);
        select(&mut self.all).minus(own)
    }

    pub(super) fn count(&mut self, upstream: usize, select: ShareSelector, bad: bool) {
        select(&mut self.all).count(bad);
        select(&mut self.by_upstream[upstream]).count(bad);
    }

    pub(super) fn clear(&mut self, upstream: usize, half_life: Duration, now: Moment) {
        if upstream < self.by_upstream.len() {
            self.refresh(upstream, half_life, now);
            let own = std::mem::take(&mut self.by_upstream[upstream]);
            self.all.remove(&own);
        }
    }
}

#[derive(Debug, Default)]
pub(super) struct RouteStatistics {
    pub(super) latencies: LatencyMeter,
    pub(super) windows: [RouteWindow; HALF_LIVES.len()],
}

impl RouteStatistics {
    pub(super) fn windows(&mut self) -> impl Iterator<Item = (&mut RouteWindow, Duration)> {
        self.windows.iter_mut().zip(HALF_LIVES)
    }

    /// Returns the share of bad outcomes expected from an upstream's peers, and counts one of its
    /// own outcomes.
    pub(super) fn expected_share_and_count(
        &mut self,
        upstream: usize,
        select: ShareSelector,
        baseline: f64,
        bad: bool,
        now: Moment,
    ) -> f64 {
        let mut expected = baseline;
        for (window, half_life) in self.windows() {
            window.refresh(upstream, half_life, now);
            expected = expected.max(window.peers(upstream, select).expected_share(baseline));
            window.count(upstream, select, bad);
        }
        expected
    }

    /// Returns how much an upstream's share exceeds that of its peers, by each half-life, as a
    /// log-likelihood.
    pub(super) fn excess_by_half_life(
        &mut self,
        upstream: usize,
        select: ShareSelector,
        baseline: f64,
        now: Moment,
    ) -> [f64; HALF_LIVES.len()] {
        let mut excess = [0.0; HALF_LIVES.len()];
        for ((window, half_life), excess) in self.windows().zip(&mut excess) {
            window.refresh(upstream, half_life, now);
            let expected = window.peers(upstream, select).expected_share(baseline);
            let own = *select(&mut window.by_upstream[upstream]);
            *excess = own.log_likelihood_over(expected);
        }
        excess
    }
}
