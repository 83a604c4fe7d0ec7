//! How many second tries a budget service is given.
//!
//! Load: an outage, or upstreams that shed, when each failure would be tried again and each slow call
//! hedged. Harm prevented: second tries that pile on just when the service has least to give. Budgets
//! at each of 48 entries that see a call in two seconds are either too small for the one that needs a
//! try or too large in sum. So the service's placer, which sees each try, keeps one budget for all;
//! an entry without a placer has a small part of its own.
//!
//! Reasons for the limits: over any ten seconds, attempts beyond the first of each call are at most the
//! operators' share of the calls that came in them, in the ten seconds before, or in those half a window
//! earlier, whichever are most, and the burst. A retry counts in each window that it is in, later ones
//! included, so it is given out only if it is within the budget of all of them, by the calls known already.
//! Entries report to a new placer what its predecessors gave out.

use derive::domain;
use model::moment::Moment;
use std::{collections::VecDeque, time::Duration};

/// Over which time the budget holds.
pub const RETRY_WINDOW: Duration = Duration::from_secs(10);

/// In which buckets the window moves.
const BUCKET: Duration = Duration::from_millis(500);

/// In which buckets later windows are checked.
const LOOK_AHEAD_STEP: Duration = Duration::from_millis(250);

/// The part of the burst that a placer gives out. The rest is for what entries without a placer have tokens.
const PLACER_FRACTION: f64 = 0.9;

/// The part of the budget up to which hedges are given out: a failed call needs its retry more, and failures
/// come in bursts.
const HEDGE_FRACTION: f64 = 0.45;

/// The part of the budget up to which refused calls are given retries, so that failed ones get some in a
/// storm of refusals.
const REFUSED_FRACTION: f64 = 0.95;

/// The greatest share of calls that is hedged: beyond half, the second try is as likely to be the slower one.
const MAX_HEDGED_SHARE: f64 = 0.5;

/// The part of the share that entries without a placer give out for calls that no placer sees. Less than the
/// budget, since a placer that is lost or slow may have counted some of these calls.
const LOCAL_FRACTION: f64 = 0.8;

/// What a retry is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPurpose {
    /// A call that failed.
    Failed,
    /// A call that was refused without being run.
    Refused,
    /// A second attempt beside one that is still running.
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
    /// When the last window that it is in has ended.
    counted_until: Moment,
    firsts: u32,
    /// Those of them that may be hedged.
    hedgeable: u32,
    retries: u32,
    /// Those of them that are hedges.
    hedges: u32,
    /// Whether it was reported by entries: it may be earlier or later by up to a bucket.
    reported: bool,
}

impl Bucket {
    fn starting_at(now: Moment) -> Self {
        Self { started: now, counted_until: now + (RETRY_WINDOW + BUCKET), ..Self::default() }
    }

    /// Tells whether any of it is in the window that ends at a moment.
    fn overlaps(&self, end: Moment) -> bool {
        self.counted_until > end
    }

    /// Tells whether all of it is in each window that ends `back` before a moment, or up to
    /// [`LOOK_AHEAD_STEP`] later.
    fn is_fully_within(&self, end: Moment, back: Duration) -> bool {
        let uncertainty = if self.reported { BUCKET } else { Duration::ZERO };
        self.counted_until + back >= end + (BUCKET + LOOK_AHEAD_STEP + uncertainty)
            && (back.is_zero() || self.counted_until + back + uncertainty <= end + RETRY_WINDOW)
    }
}

/// The tries of one service that one entry was given a slot for in the last [`RETRY_WINDOW`].
#[domain]
#[derive(Default)]
pub struct AttemptCounts {
    /// First attempts of the last two windows in buckets of 500 ms, the newest first.
    pub firsts: Vec<u32>,
    /// Second and later ones.
    pub retries: u32,
    /// For how long it has counted, in milliseconds, up to the budget window.
    pub counted_ms: u32,
}

/// Counts the tries of one service at one entry, to be reported to its next placer.
#[derive(Debug)]
pub struct AttemptCounter(ServiceRetryBudget);

impl Default for AttemptCounter {
    fn default() -> Self {
        Self(ServiceRetryBudget { buckets: VecDeque::new() })
    }
}

impl AttemptCounter {
    /// Counts a try.
    pub fn record(&mut self, attempt: u32, now: Moment) {
        let bucket = self.0.current_bucket(now);
        match attempt {
            0 | 1 => bucket.firsts += 1,
            _ => bucket.retries += 1,
        }
    }

    /// Returns what was counted by an entry that started at the origin of moments.
    pub fn counts(&mut self, now: Moment) -> AttemptCounts {
        self.0.current_bucket(now);
        let budget = RETRY_WINDOW.as_millis() as u64;
        AttemptCounts {
            firsts: self.0.first_attempts_by_age(now),
            retries: self.0.count(now, |bucket| bucket.retries) as u32,
            counted_ms: (now.as_micros() / 1_000).min(budget) as u32,
        }
    }
}

/// What entries report to a new placer about the tries that its predecessors gave out.
#[derive(Debug, Default)]
pub struct PredecessorRetries {
    expected: u32,
    reports: AttemptCounts,
}

impl PredecessorRetries {
    /// Notes how many entries are expected.
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

    /// Returns which part of the window is not known: of entries that have not answered, or started within it.
    fn unknown_fraction(&self) -> f64 {
        let budget = f64::from(self.expected) * RETRY_WINDOW.as_millis() as f64;
        1.0 - (f64::from(self.reports.counted_ms) / budget.max(1.0)).min(1.0)
    }
}

/// The retries of one service in the last ten seconds, as its placer counts them.
#[derive(Debug)]
pub struct ServiceRetryBudget {
    buckets: VecDeque<Bucket>,
}

impl ServiceRetryBudget {
    /// Opens a window that assumes that a predecessor has given out the budget burst.
    pub fn new(burst: u32, now: Moment) -> Self {
        let retries = (f64::from(burst) * PLACER_FRACTION) as u32;
        Self { buckets: VecDeque::from([Bucket { retries, ..Bucket::starting_at(now) }]) }
    }

    /// Takes over what entries report of predecessor placers. For the part that is not reported, the budget burst may
    /// have been given out, and what is reported may have been given out a moment ago: second tries come in
    /// storms, and a placer is often lost in the middle of one.
    pub fn apply_predecessor(&mut self, predecessor: &PredecessorRetries, burst: u32, now: Moment) {
        let assumed = (f64::from(burst) * PLACER_FRACTION) as u32;
        if let Some(opened) = self.buckets.front_mut() {
            let unknown = (f64::from(assumed) * predecessor.unknown_fraction()).ceil() as u32;
            opened.retries =
                opened.retries.saturating_sub(assumed) + unknown + predecessor.reports.retries;
        }
        // The origin of moments is the start of this VM. Steps that left the window before it are not counted.
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

    /// Counts a first try.
    pub fn record_first_attempt(&mut self, hedgeable: bool, now: Moment) {
        let bucket = self.current_bucket(now);
        bucket.firsts += 1;
        bucket.hedgeable += u32::from(hedgeable);
    }

    /// Counts a retry, if the budget has one.
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

    /// Returns how many retries may be given out at a moment, by the calls known now.
    pub fn available(&self, percent: u32, burst: u32, purpose: RetryPurpose, at: Moment) -> f64 {
        let ends = (0..=RETRY_WINDOW.as_millis() / LOOK_AHEAD_STEP.as_millis())
            .map(|step| at + LOOK_AHEAD_STEP * step as u32);
        let available = |end| {
            let given = self.count(end, |bucket| bucket.retries);
            self.budget(percent, burst, end) * purpose.budget_fraction() - given
        };
        ends.map(available).fold(f64::INFINITY, f64::min)
    }

    /// Returns which part of its retries a placer has given out after failures, from 0 to 1. Hedges are
    /// left out: they give way to those.
    pub fn used_share(&self, percent: u32, burst: u32, now: Moment) -> f64 {
        (self.non_hedge_retries(now) / self.budget(percent, burst, now).max(1.0)).min(1.0)
    }

    /// Returns the share of calls that can be hedged, from what failures have left of the budget.
    pub fn hedge_share(&self, percent: u32, burst: u32, now: Moment) -> f64 {
        let part = self.budget(percent, burst, now) * HEDGE_FRACTION;
        let left = (part - self.non_hedge_retries(now)).max(0.0);
        (left / self.count(now, |bucket| bucket.hedgeable).max(1.0)).min(MAX_HEDGED_SHARE)
    }

    fn non_hedge_retries(&self, now: Moment) -> f64 {
        self.count(now, |bucket| bucket.retries.saturating_sub(bucket.hedges))
    }

    /// Returns how many retries there may be in the window that ends at a moment.
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

    /// Lists the first attempts of the last two windows in buckets, the newest first.
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

    /// Gives back a second try that reached no upstream.
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

/// The retries of one service at one entry without a placer.
#[derive(Debug, Default)]
pub struct LocalRetryBudget {
    tokens: f64,
}

impl LocalRetryBudget {
    /// Counts a first try.
    pub fn record_first_attempt(&mut self, percent: u32) {
        self.tokens = (self.tokens + f64::from(percent) / 100.0 * LOCAL_FRACTION).min(1.0);
    }

    /// Takes a second try, if there is one.
    pub fn try_spend(&mut self) -> bool {
        let enough = self.tokens >= 1.0;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }
}
