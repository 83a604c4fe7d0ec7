//! Detects when a whole service sheds load: all its upstreams refuse many of their calls.
//!
//! For some seconds all upstreams of a service may refuse a large part of their calls, even if they
//! get few. The retry budget of ten seconds would then be spent in the first of them on attempts
//! that are refused as well, and none would be left for the calls that could have waited until the
//! service accepts calls again. The odds computed here decide when the placer holds retries and
//! first attempts, and when it releases them.
//!
//! Every attempt changes the odds that the service is shedding. A refusal counts at once. The
//! answer to an accepted attempt arrives only when its work is done, so an attempt that was not
//! refused within a few times the usual delay of a refusal counts as accepted. The end of shedding
//! is thus detected within tens of milliseconds.

use model::moment::Moment;
use std::{
    collections::{BTreeSet, VecDeque},
    time::Duration,
};

/// The share of attempts that a service refuses while it is not shedding.
const BASELINE_REFUSED_SHARE: f64 = 0.05;

/// The share of attempts that a shedding service is assumed to refuse until it is measured, and the
/// bounds of the measured share. Below them shedding cannot be distinguished from normal operation.
const INITIAL_REFUSED_SHARE: f64 = 0.45;
const REFUSED_SHARE_BOUNDS: (f64, f64) = (0.2, 0.95);

/// The weight of one sample in the moving averages of the refused share and of the refusal delay.
const EWMA_WEIGHT: f64 = 1.0 / 48.0;

/// The bounds of the odds. They keep a change detectable after a few attempts.
const ODDS_BOUNDS: (f64, f64) = (1e-3, 300.0);

/// The odds at which shedding is considered to have started, and below which it has ended.
const START_ODDS: f64 = 9.0;
const END_ODDS: f64 = 1.0;

/// The fraction of upstreams that must refuse calls. If fewer do, calls can be placed on the
/// others.
const MIN_REFUSING_FRACTION: f64 = 0.4;

/// The minimum number of refusing upstreams: with fewer, faults of single upstreams look the same.
const MIN_REFUSING_UPSTREAMS: usize = 3;

/// The resolution at which attempts of unknown outcome are counted.
const BUCKET: Duration = Duration::from_millis(5);

/// How many times the usual delay of a refusal must pass until an attempt counts as accepted, and
/// the bounds of that time.
const ACCEPTED_AFTER_DELAYS: u32 = 3;
const ACCEPTED_AFTER_BOUNDS: (Duration, Duration) =
    (Duration::from_millis(15), Duration::from_millis(300));

/// The time without an outcome after which the odds are reset.
const RESET_AFTER: Duration = Duration::from_secs(5);

/// The start or the end of shedding.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SheddingChange {
    /// Shedding has started.
    Began,
    /// Shedding has ended after this duration.
    Ended(Duration),
}

#[derive(Debug)]
struct PendingBucket {
    started: Moment,
    /// Attempts whose outcome is unknown.
    attempts: u32,
}

/// Computes the odds that a whole service is shedding.
#[derive(Debug)]
pub struct SheddingDetector {
    odds: f64,
    refused_share: f64,
    /// When the current shedding started.
    since: Option<Moment>,
    /// Upstreams that refused calls since the odds were last at their minimum.
    refusing_upstreams: BTreeSet<u32>,
    pending: VecDeque<PendingBucket>,
    /// The usual delay of a refusal, in microseconds.
    refusal_delay_us: f64,
    last_outcome: Moment,
}

impl Default for SheddingDetector {
    fn default() -> Self {
        Self {
            odds: ODDS_BOUNDS.0,
            refused_share: INITIAL_REFUSED_SHARE,
            since: None,
            refusing_upstreams: BTreeSet::new(),
            pending: VecDeque::new(),
            refusal_delay_us: 0.0,
            last_outcome: Moment::ZERO,
        }
    }
}

impl SheddingDetector {
    /// Returns when the current shedding started.
    pub fn since(&self) -> Option<Moment> {
        self.since
    }

    /// Returns the share of attempts that the shedding service refuses.
    pub fn refused_share(&self) -> f64 {
        self.refused_share
    }

    /// Returns the odds that the service is shedding.
    pub fn odds(&self) -> f64 {
        self.odds
    }

    /// Returns whether the odds are near their lower bound.
    pub fn is_near_minimum_odds(&self) -> bool {
        self.odds <= ODDS_BOUNDS.0 * 2.0
    }

    /// Returns how many attempts are not yet known to be accepted or refused.
    pub fn pending_attempts(&self) -> u32 {
        self.pending.iter().map(|bucket| bucket.attempts).sum()
    }

    /// Records that an attempt is sent.
    pub fn record_sent(&mut self, now: Moment) {
        match self.pending.back_mut() {
            Some(bucket) if now.since(bucket.started) < BUCKET => bucket.attempts += 1,
            _ => self.pending.push_back(PendingBucket { started: now, attempts: 1 }),
        }
    }

    /// Records the outcome of an attempt that was sent to `upstream` at `sent`.
    pub fn record_outcome(&mut self, sent: Moment, upstream: u32, refused: bool, now: Moment) {
        let was_pending = self.remove_pending(sent);
        if refused {
            let delay = now.since(sent).as_micros() as f64;
            let weight = if self.refusal_delay_us == 0.0 { 1.0 } else { EWMA_WEIGHT };
            self.refusal_delay_us += (delay - self.refusal_delay_us) * weight;
            self.refusing_upstreams.insert(upstream);
            self.update_odds(true, now);
        } else if was_pending {
            self.update_odds(false, now);
        }
    }

    /// Drops an attempt that did not reach its upstream, or whose outcome says nothing about the
    /// service.
    pub fn discard(&mut self, sent: Moment) {
        self.remove_pending(sent);
    }

    /// Counts attempts as accepted that were not refused in the usual time, and returns whether the
    /// service, which has `upstreams` upstreams, has started or stopped shedding.
    pub fn update(&mut self, upstreams: usize, now: Moment) -> Option<SheddingChange> {
        let wait = Duration::from_micros(self.refusal_delay_us as u64) * ACCEPTED_AFTER_DELAYS;
        let after = wait.clamp(ACCEPTED_AFTER_BOUNDS.0, ACCEPTED_AFTER_BOUNDS.1) + BUCKET;
        while self.pending.front().is_some_and(|bucket| now.since(bucket.started) >= after) {
            let bucket = self.pending.pop_front().expect("there is a first bucket");
            (0..bucket.attempts).for_each(|_| self.update_odds(false, now));
        }
        if now.since(self.last_outcome) >= RESET_AFTER {
            self.odds = ODDS_BOUNDS.0;
        }
        self.detect_change(upstreams, now)
    }

    fn detect_change(&mut self, upstreams: usize, now: Moment) -> Option<SheddingChange> {
        if self.odds <= ODDS_BOUNDS.0 {
            self.refusing_upstreams.clear();
        }
        let refusing_upstreams = self.refusing_upstreams.len();
        let service_wide = refusing_upstreams >= MIN_REFUSING_UPSTREAMS
            && refusing_upstreams as f64 >= upstreams as f64 * MIN_REFUSING_FRACTION;
        match self.since {
            None if self.odds >= START_ODDS && service_wide => {
                self.since = Some(now);
                Some(SheddingChange::Began)
            }
            Some(since) if self.odds < END_ODDS => {
                (self.since, self.refused_share) = (None, INITIAL_REFUSED_SHARE);
                Some(SheddingChange::Ended(now.since(since)))
            }
            _ => None,
        }
    }

    fn remove_pending(&mut self, sent: Moment) -> bool {
        let mut buckets = self.pending.iter_mut().rev();
        let bucket =
            buckets.find(|bucket| bucket.started <= sent).filter(|bucket| bucket.attempts > 0);
        bucket.map(|bucket| bucket.attempts -= 1).is_some()
    }

    fn update_odds(&mut self, refused: bool, now: Moment) {
        self.last_outcome = now;
        let (least, greatest) = REFUSED_SHARE_BOUNDS;
        let share = self.refused_share.clamp(least, greatest);
        let ratio = match refused {
            true => share / BASELINE_REFUSED_SHARE,
            false => (1.0 - share) / (1.0 - BASELINE_REFUSED_SHARE),
        };
        self.odds = (self.odds * ratio).clamp(ODDS_BOUNDS.0, ODDS_BOUNDS.1);
        if self.since.is_some() {
            let observed = f64::from(u8::from(refused));
            self.refused_share += (observed - self.refused_share) * EWMA_WEIGHT;
        }
    }
}
