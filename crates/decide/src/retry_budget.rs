//! Budgets for the retries and hedges of a service.
//!
//! During an outage, or while upstreams shed, every failure would be retried and every slow call
//! hedged: the extra attempts would pile up just when the service has the least capacity. Separate
//! budgets at 48 entries that each see one call in two seconds are either too small for the entry
//! that needs a retry or too large in total. So the service's placer, which sees every attempt,
//! keeps one budget for all of them; an entry without a placer has a small budget of its own.
//!
//! In any ten seconds, the attempts beyond the first of each call are at most the burst plus the
//! configured percentage of calls. The calls counted are those of the same ten seconds, those of
//! the window half a window earlier, or those of the window before, whichever are most. A retry
//! counts in every window that contains it, later ones included, so it is granted only if all of
//! these windows have budget left, judged by the calls known so far. Entries report to a new placer
//! what its predecessors granted.

use derive::domain;
use model::moment::Moment;
use std::{collections::VecDeque, time::Duration};

/// The length of the window that the budget applies to.
pub const RETRY_WINDOW: Duration = Duration::from_secs(10);

/// The resolution of the sliding window.
const BUCKET: Duration = Duration::from_millis(500);

/// The interval between the later windows that are checked.
const LOOK_AHEAD_STEP: Duration = Duration::from_millis(250);

/// The fraction of the burst that a placer grants. The rest covers the tokens that entries without
/// a placer have saved.
const PLACER_FRACTION: f64 = 0.9;

/// The fraction of the budget that hedges may use: a failed call needs its retry more, and failures
/// come in bursts.
const HEDGE_FRACTION: f64 = 0.45;

/// The fraction of the budget that refused calls may use, so that failed calls still get retries
/// while many calls are refused.
const REFUSED_FRACTION: f64 = 0.95;

/// The greatest share of calls that is hedged. Beyond half, the hedge is as likely as the first
/// attempt to be the slower one.
const MAX_HEDGED_SHARE: f64 = 0.5;

/// The fraction of the configured percentage that entries without a placer grant. It is less than
/// 1, since a placer that is lost or slow may have counted some of the same calls.
const LOCAL_FRACTION: f64 = 0.8;

/// The reason for an attempt beyond the first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPurpose {
    /// The call failed.
    Failed,
    /// The call was refused without being executed.
    Refused,
    /// A second attempt runs in parallel with a slow first one.
    Hedge,
}

impl RetryPurpose {
    fn budget_fraction(self) -> f64 {
        match self {
            Self::Failed => 1.0,
            Self::Refused => REFUSED_FRACTION,
            Self::Hedge => HEDGE_FRACTION,
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    started: Moment,
    /// When it leaves the last window that contains it.
    counted_until: Moment,
    firsts: u32,
    /// How many of the first attempts may be hedged.
    hedgeable: u32,
    retries: u32,
    /// How many of the retries are hedges.
    hedges: u32,
    /// Whether it was reported by entries, in which case its time may be off by up to a bucket.
    reported: bool,
}

impl Bucket {
    fn starting_at(now: Moment) -> Self {
        Self { started: now, counted_until: now + (RETRY_WINDOW + BUCKET), ..Self::default() }
    }

    /// Returns whether any part of the bucket is in the window that ends at `end`.
    fn overlaps(&self, end: Moment) -> bool {
        self.counted_until > end
    }

    /// Returns whether the whole bucket is in every window that ends between `back` before `end`
    /// and [`LOOK_AHEAD_STEP`] after that.
    fn is_fully_within(&self, end: Moment, back: Duration) -> bool {
        let uncertainty = if self.reported { BUCKET } else { Duration::ZERO };
        self.counted_until + back >= end + (BUCKET + LOOK_AHEAD_STEP + uncertainty)
            && (back.is_zero() || self.counted_until + back + uncertainty <= end + RETRY_WINDOW)
    }
}

/// The attempts of one service that one entry was granted slots for in the last [`RETRY_WINDOW`].
#[domain]
#[derive(Default)]
pub struct AttemptCounts {
    /// First attempts of the last two windows in steps of 500 ms, newest first.
    pub firsts: Vec<u32>,
    /// Second and later attempts.
    pub retries: u32,
    /// How long the entry has been counting, in milliseconds, up to [`RETRY_WINDOW`].
    pub counted_ms: u32,
}

/// Counts the attempts of one service at one entry, for the report to its next placer.
#[derive(Debug)]
pub struct AttemptCounter(ServiceRetryBudget);

impl Default for AttemptCounter {
    fn default() -> Self {
        Self(ServiceRetryBudget { buckets: VecDeque::new() })
    }
}

impl AttemptCounter {
    /// Counts an attempt; `attempt` is 1 for the first of a call.
    pub fn record(&mut self, attempt: u32, now: Moment) {
        let bucket = self.0.current_bucket(now);
        match attempt {
            0 | 1 => bucket.firsts += 1,
            _ => bucket.retries += 1,
        }
    }

    /// Returns the counts of an entry whose clock started at [`Moment::ZERO`].
    pub fn counts(&mut self, now: Moment) -> AttemptCounts {
        self.0.current_bucket(now);
        let window_ms = RETRY_WINDOW.as_millis() as u64;
        AttemptCounts {
            firsts: self.0.first_attempts_by_age(now),
            retries: self.0.count(now, |bucket| bucket.retries) as u32,
            counted_ms: (now.as_micros() / 1_000).min(window_ms) as u32,
        }
    }
}

/// What entries report to a new placer about the retries that its predecessors granted.
#[derive(Debug, Default)]
pub struct PredecessorRetries {
    expected: u32,
    reports: AttemptCounts,
}

impl PredecessorRetries {
    /// Starts over, with this many entries expected to report.
    pub fn expect_reports(&mut self, entries: u32) {
        *self = Self { expected: entries, reports: AttemptCounts::default() };
    }

    /// Adds the report of one entry.
    pub fn add_report(&mut self, counts: AttemptCounts) {
        let buckets = self.reports.firsts.len().max(counts.firsts.len());
        self.reports.firsts.resize(buckets, 0);
        self.reports.firsts.iter_mut().zip(counts.firsts).for_each(|(all, firsts)| *all += firsts);
        self.reports.retries += counts.retries;
        self.reports.counted_ms = self.reports.counted_ms.saturating_add(counts.counted_ms);
    }

    /// Returns the fraction of the window that no report covers, because entries have not answered
    /// or started within it.
    fn unknown_fraction(&self) -> f64 {
        let expected_ms = f64::from(self.expected) * RETRY_WINDOW.as_millis() as f64;
        1.0 - (f64::from(self.reports.counted_ms) / expected_ms.max(1.0)).min(1.0)
    }
}

/// The retry budget of one service over the last ten seconds, kept by its placer.
#[derive(Debug)]
pub struct ServiceRetryBudget {
    buckets: VecDeque<Bucket>,
}

impl ServiceRetryBudget {
    /// Creates a budget that assumes that a predecessor has granted the whole burst.
    pub fn new(burst: u32, now: Moment) -> Self {
        let retries = (f64::from(burst) * PLACER_FRACTION) as u32;
        Self { buckets: VecDeque::from([Bucket { retries, ..Bucket::starting_at(now) }]) }
    }

    /// Applies what entries report of former placers. For the unreported part the whole burst may
    /// have been granted, and every reported retry is assumed to have been granted just now:
    /// retries come in bursts, and a placer is often lost during one.
    pub fn apply_predecessor(&mut self, predecessor: &PredecessorRetries, burst: u32, now: Moment) {
        let assumed = (f64::from(burst) * PLACER_FRACTION) as u32;
        if let Some(initial) = self.buckets.front_mut() {
            let unknown = (f64::from(assumed) * predecessor.unknown_fraction()).ceil() as u32;
            initial.retries =
                initial.retries.saturating_sub(assumed) + unknown + predecessor.reports.retries;
        }
        // Moments start at zero when this VM starts. Buckets that left the window before that are
        // dropped.
        let end = now + RETRY_WINDOW;
        for (age, &firsts) in (0..).zip(&predecessor.reports.firsts) {
            let passed = BUCKET * age;
            if end.since(Moment::ZERO) < passed {
                break;
            }
            let counted_until = end.before(passed.as_millis() as u32);
            let reported =
                Bucket { counted_until, firsts, reported: true, ..Bucket::starting_at(now) };
            self.buckets.push_front(reported);
        }
    }

    /// Counts the first attempt of a call.
    pub fn record_first_attempt(&mut self, hedgeable: bool, now: Moment) {
        let bucket = self.current_bucket(now);
        bucket.firsts += 1;
        bucket.hedgeable += u32::from(hedgeable);
    }

    /// Takes a retry out of the budget, and returns whether there was one.
    pub fn try_spend(
        &mut self,
        percent: u32,
        burst: u32,
        purpose: RetryPurpose,
        now: Moment,
    ) -> bool {
        self.current_bucket(now);
        let allowed = self.available(percent, burst, purpose, now) >= 1.0;
        if allowed {
            let bucket = self.current_bucket(now);
            bucket.retries += 1;
            bucket.hedges += u32::from(purpose == RetryPurpose::Hedge);
        }
        allowed
    }

    /// Returns how many retries may be granted at a moment, judged by the calls known so far.
    pub fn available(&self, percent: u32, burst: u32, purpose: RetryPurpose, at: Moment) -> f64 {
        let ends = (0..=RETRY_WINDOW.as_millis() / LOOK_AHEAD_STEP.as_millis())
            .map(|step| at + LOOK_AHEAD_STEP * step as u32);
        let available = |end| {
            let granted = self.count(end, |bucket| bucket.retries);
            self.budget(percent, burst, end) * purpose.budget_fraction() - granted
        };
        ends.map(available).fold(f64::INFINITY, f64::min)
    }

    /// Returns the fraction of the budget that was used for retries after failures and refusals,
    /// from 0 to 1. Hedges are left out, since they yield to those.
    pub fn used_share(&self, percent: u32, burst: u32, now: Moment) -> f64 {
        (self.non_hedge_retries(now) / self.budget(percent, burst, now).max(1.0)).min(1.0)
    }

    /// Returns the share of calls that can be hedged with what retries have left of the budget.
    pub fn hedge_share(&self, percent: u32, burst: u32, now: Moment) -> f64 {
        let part = self.budget(percent, burst, now) * HEDGE_FRACTION;
        let left = (part - self.non_hedge_retries(now)).max(0.0);
        (left / self.count(now, |bucket| bucket.hedgeable).max(1.0)).min(MAX_HEDGED_SHARE)
    }

    fn non_hedge_retries(&self, now: Moment) -> f64 {
        self.count(now, |bucket| bucket.retries.saturating_sub(bucket.hedges))
    }

    /// Returns the number of retries allowed in the window that ends at `end`.
    fn budget(&self, percent: u32, burst: u32, end: Moment) -> f64 {
        let [mut last, mut half, mut before] = [0; 3];
        for bucket in &self.buckets {
            last += u32::from(bucket.is_fully_within(end, Duration::ZERO)) * bucket.firsts;
            half += u32::from(bucket.is_fully_within(end, RETRY_WINDOW / 2)) * bucket.firsts;
            before += u32::from(bucket.is_fully_within(end, RETRY_WINDOW)) * bucket.firsts;
        }
        let calls = last.max(half).max(before);
        f64::from(percent) / 100.0 * f64::from(calls) + f64::from(burst) * PLACER_FRACTION
    }

    /// Lists the first attempts of the last two windows by bucket, newest first.
    fn first_attempts_by_age(&self, now: Moment) -> Vec<u32> {
        let mut firsts = vec![0; (RETRY_WINDOW.as_millis() * 2 / BUCKET.as_millis()) as usize];
        for bucket in &self.buckets {
            let age = now.since(bucket.started).as_millis() / BUCKET.as_millis();
            if let Some(sum) = firsts.get_mut(age as usize) {
                *sum += bucket.firsts;
            }
        }
        firsts
    }

    fn count(&self, end: Moment, of: impl Fn(&Bucket) -> u32) -> f64 {
        f64::from(self.buckets.iter().filter(|bucket| bucket.overlaps(end)).map(of).sum::<u32>())
    }

    /// Puts a retry that reached no upstream back into the budget.
    pub fn refund(&mut self, now: Moment) {
        let bucket = self.current_bucket(now);
        bucket.retries = bucket.retries.saturating_sub(1);
    }

    fn current_bucket(&mut self, now: Moment) -> &mut Bucket {
        while self.buckets.front().is_some_and(|bucket| bucket.counted_until + RETRY_WINDOW < now) {
            self.buckets.pop_front();
        }
        if self.buckets.back().is_none_or(|bucket| now.since(bucket.started) >= BUCKET) {
            self.buckets.push_back(Bucket::starting_at(now));
        }
        self.buckets.back_mut().expect("one was just added")
    }
}

/// The retry budget of one service at an entry without a placer.
#[derive(Debug, Default)]
pub struct LocalRetryBudget {
    tokens: f64,
}

impl LocalRetryBudget {
    /// Counts the first attempt of a call.
    pub fn record_first_attempt(&mut self, percent: u32) {
        self.tokens = (self.tokens + f64::from(percent) / 100.0 * LOCAL_FRACTION).min(1.0);
    }

    /// Takes a retry out of the budget, and returns whether there was one.
    pub fn try_spend(&mut self) -> bool {
        let enough = self.tokens >= 1.0;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }
}
