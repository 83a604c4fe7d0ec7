//! What was seen at an upstream's peers, by route, over a few seconds.

use crate::hedge::RouteMeter;
use model::moment::Moment;
use std::time::Duration;

/// How fast what was seen at peers is forgotten: slowly, for shares of a few percent, and fast, for a
/// cause that has just begun at all of them. The worse of the two is what is expected.
pub(super) const HALF_LIVES: [Duration; 2] = [Duration::from_secs(10), Duration::from_secs(1)];

/// Tallies are brought up to date in steps of this part of their half-life.
const DECAY_STEPS: u32 = 20;

/// How many outcomes the prior belief "healthy" weighs against what was measured at peers.
const PRIOR_CALLS: f64 = 20.0;

/// Outcomes of one kind of question: failed or not, late or not.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ShareTally {
    pub(super) all: f64,
    pub(super) bad: f64,
}

impl ShareTally {
    pub(super) fn count(&mut self, bad: bool) {
        self.all += 1.0;
        self.bad += f64::from(u8::from(bad));
    }

    pub(super) fn scale(&mut self, factor: f64) {
        self.all *= factor;
        self.bad *= factor;
    }

    pub(super) fn without(self, part: Self) -> Self {
        Self { all: (self.all - part.all).max(0.0), bad: (self.bad - part.bad).max(0.0) }
    }

    pub(super) fn expected(self, healthy: f64) -> f64 {
        (self.bad / (self.all + PRIOR_CALLS)).max(healthy)
    }

    /// Returns the logarithm of how much likelier this is by its own share than by the expected one.
    pub(super) fn excess_over(self, expected: f64) -> f64 {
        let own = self.bad / self.all.max(1.0);
        if own <= expected {
            return 0.0;
        }
        let own = own.min(1.0 - 1e-6);
        let good = self.all - self.bad;
        self.bad * (own / expected).ln() + good * ((1.0 - own) / (1.0 - expected)).ln()
    }
}

#[derive(Clone, Copy, Debug, Default)]
pub(super) struct OutcomeTally {
    pub(super) failures: ShareTally,
    pub(super) late: ShareTally,
    pub(super) at: Moment,
}

impl OutcomeTally {
    pub(super) fn decay(&mut self, half_life: Duration, now: Moment) {
        let passed = now.since(self.at);
        if passed * DECAY_STEPS < half_life {
            return;
        }
        let rest = (-passed.as_secs_f64() / half_life.as_secs_f64()).exp2();
        self.failures.scale(rest);
        self.late.scale(rest);
        self.at = now;
    }

    pub(super) fn remove(&mut self, part: &Self) {
        self.failures = self.failures.without(part.failures);
        self.late = self.late.without(part.late);
    }
}

/// Which question a tally answers.
pub(super) type Question = fn(&mut OutcomeTally) -> &mut ShareTally;

pub(super) fn failures(tally: &mut OutcomeTally) -> &mut ShareTally {
    &mut tally.failures
}

pub(super) fn late(tally: &mut OutcomeTally) -> &mut ShareTally {
    &mut tally.late
}

/// One route over one half-life.
#[derive(Debug, Default)]
pub(super) struct RouteWindow {
    pub(super) all: OutcomeTally,
    pub(super) by_upstream: Vec<OutcomeTally>,
}

impl RouteWindow {
    /// Brings an upstream's tally and that of all up to now.
    pub(super) fn refresh(&mut self, upstream: usize, half_life: Duration, now: Moment) {
        if self.by_upstream.len() <= upstream {
            self.by_upstream.resize(upstream + 1, OutcomeTally::default());
        }
        self.all.decay(half_life, now);
        self.by_upstream[upstream].decay(half_life, now);
    }

    pub(super) fn peers(&mut self, upstream: usize, question: Question) -> ShareTally {
        let own = *question(&mut self.by_upstream[upstream]);
        question(&mut self.all).without(own)
    }

    pub(super) fn count(&mut self, upstream: usize, question: Question, bad: bool) {
        question(&mut self.all).count(bad);
        question(&mut self.by_upstream[upstream]).count(bad);
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
pub(super) struct RouteEvidence {
    pub(super) meter: RouteMeter,
    pub(super) windows: [RouteWindow; HALF_LIVES.len()],
}

impl RouteEvidence {
    pub(super) fn windows(&mut self) -> impl Iterator<Item = (&mut RouteWindow, Duration)> {
        self.windows.iter_mut().zip(HALF_LIVES)
    }

    /// Returns the share of bad outcomes that the peers of an upstream show, and counts one of its own.
    pub(super) fn expect_and_count(
        &mut self,
        upstream: usize,
        question: Question,
        healthy: f64,
        bad: bool,
        now: Moment,
    ) -> f64 {
        let mut expected = healthy;
        for (window, half_life) in self.windows() {
            window.refresh(upstream, half_life, now);
            expected = expected.max(window.peers(upstream, question).expected(healthy));
            window.count(upstream, question, bad);
        }
        expected
    }

    /// Returns how much an upstream's share exceeds that of its peers, by each half-life.
    pub(super) fn excess(
        &mut self,
        upstream: usize,
        question: Question,
        healthy: f64,
        now: Moment,
    ) -> [f64; HALF_LIVES.len()] {
        let mut excess = [0.0; HALF_LIVES.len()];
        for ((window, half_life), excess) in self.windows().zip(&mut excess) {
            window.refresh(upstream, half_life, now);
            let expected = window.peers(upstream, question).expected(healthy);
            let own = *question(&mut window.by_upstream[upstream]);
            *excess = own.excess_over(expected);
        }
        excess
    }
}
