//! Whether a whole service turns calls away just now.
//!
//! Load: for some seconds all upstreams of a service refuse a large part of their calls, however few they
//! have. Harm prevented: the retries of ten seconds are spent in the first of them on attempts that are
//! refused as well, and none is left for the calls that could have waited for the end. The belief tells
//! the placer when to keep retries and first attempts back, and when to release them.
//!
//! Each attempt moves the odds that a spell is on. A refusal counts at once. An accepted attempt answers
//! only when its work is done, so one that was not refused within a few times the usual delay of a
//! refusal counts as accepted. The end of a spell is thus seen within tens of milliseconds.

use model::moment::Moment;
use std::{
    collections::{BTreeSet, VecDeque},
    time::Duration,
};

/// The share of attempts that a service refuses outside of spells.
const USUAL_SHARE: f64 = 0.05;

/// The share of attempts that is refused in a spell of which nothing is known yet, and its bounds once it
/// is measured: at less, a spell cannot be told from usual work.
const SPELL_SHARE: f64 = 0.5;
const SHARE_BOUNDS: (f64, f64) = (0.2, 0.95);

/// How much one attempt weighs in the measured share.
const SHARE_WEIGHT: f64 = 1.0 / 32.0;

/// The least and the greatest odds of a spell: nothing is certain for longer than it takes to change.
const ODDS_BOUNDS: (f64, f64) = (1e-3, 50.0);

/// The odds from which a spell is taken to be on, and below which it is taken to be over.
const BEGIN_ODDS: f64 = 9.0;
const END_ODDS: f64 = 1.0;

/// The part of the upstreams that has to refuse calls: fewer are a matter of the choice among upstreams.
const REFUSING_PART: f64 = 0.4;

/// The fewest of them: with fewer, each one's own trouble looks the same.
const FEWEST_REFUSING: usize = 3;

/// In which steps attempts are counted until they are known to be accepted.
const STEP: Duration = Duration::from_millis(5);

/// After how many times the usual delay of a refusal an attempt counts as accepted, and the bounds of that.
const ACCEPTED_AFTER: u32 = 3;
const ACCEPTED_BOUNDS: (Duration, Duration) =
    (Duration::from_millis(15), Duration::from_millis(300));

/// After which time without an attempt nothing is believed any more.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(5);

/// A change of the belief.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SpellChange {
    /// A spell has begun.
    Began,
    /// The spell is over; it lasted so long.
    Ended(Duration),
}

#[derive(Debug)]
struct PlacedStep {
    began: Moment,
    /// Attempts of which nothing is known yet.
    open: u32,
}

/// What is believed of a whole service.
#[derive(Debug)]
pub struct SpellBelief {
    odds: f64,
    share: f64,
    /// When the spell that is on began.
    since: Option<Moment>,
    /// Upstreams that refused since the odds were last low.
    refusing: BTreeSet<u32>,
    placed: VecDeque<PlacedStep>,
    /// The usual delay of a refusal, in microseconds.
    delay_us: f64,
    last: Moment,
}

impl Default for SpellBelief {
    fn default() -> Self {
        Self {
            odds: ODDS_BOUNDS.0,
            share: SPELL_SHARE,
            since: None,
            refusing: BTreeSet::new(),
            placed: VecDeque::new(),
            delay_us: 0.0,
            last: Moment::ZERO,
        }
    }
}

impl SpellBelief {
    /// Returns since when a spell has been on.
    pub fn since(&self) -> Option<Moment> {
        self.since
    }

    /// Returns the share of attempts that the spell refuses.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// Returns the odds that a spell is on.
    pub fn odds(&self) -> f64 {
        self.odds
    }

    /// Tells whether nothing speaks for a spell.
    pub fn is_surely_over(&self) -> bool {
        self.odds <= ODDS_BOUNDS.0 * 2.0
    }

    /// Returns how many attempts are not yet known to be accepted or refused.
    pub fn open_attempts(&self) -> u32 {
        self.placed.iter().map(|step| step.open).sum()
    }

    /// Notes an attempt that is sent.
    pub fn place(&mut self, now: Moment) {
        match self.placed.back_mut() {
            Some(step) if now.since(step.began) < STEP => step.open += 1,
            _ => self.placed.push_back(PlacedStep { began: now, open: 1 }),
        }
    }

    /// Notes how an attempt sent at `placed` to `upstream` ended.
    pub fn end(&mut self, placed: Moment, upstream: u32, refused: bool, now: Moment) {
        let open = self.close(placed);
        if refused {
            let delay = now.since(placed).as_micros() as f64;
            let weight = if self.delay_us == 0.0 { 1.0 } else { SHARE_WEIGHT };
            self.delay_us += (delay - self.delay_us) * weight;
            self.refusing.insert(upstream);
            self.take(true, now);
        } else if open {
            self.take(false, now);
        }
    }

    /// Forgets an attempt that did not reach its upstream.
    pub fn forget(&mut self, placed: Moment) {
        self.close(placed);
    }

    /// Counts attempts as accepted that were not refused in the usual time, and follows the belief for a service
    /// of so many upstreams.
    pub fn tick(&mut self, upstreams: usize, now: Moment) -> Option<SpellChange> {
        let usual = Duration::from_micros(self.delay_us as u64) * ACCEPTED_AFTER;
        let after = usual.clamp(ACCEPTED_BOUNDS.0, ACCEPTED_BOUNDS.1) + STEP;
        while self.placed.front().is_some_and(|step| now.since(step.began) >= after) {
            let step = self.placed.pop_front().expect("there is a first step");
            (0..step.open).for_each(|_| self.take(false, now));
        }
        if now.since(self.last) >= FORGOTTEN_AFTER {
            self.odds = ODDS_BOUNDS.0;
        }
        self.change(upstreams, now)
    }

    fn change(&mut self, upstreams: usize, now: Moment) -> Option<SpellChange> {
        if self.odds <= ODDS_BOUNDS.0 {
            self.refusing.clear();
        }
        let refusing = self.refusing.len();
        let whole =
            refusing >= FEWEST_REFUSING && refusing as f64 >= upstreams as f64 * REFUSING_PART;
        match self.since {
            None if self.odds >= BEGIN_ODDS && whole => {
                self.since = Some(now);
                Some(SpellChange::Began)
            }
            Some(since) if self.odds < END_ODDS => {
                (self.since, self.share) = (None, SPELL_SHARE);
                Some(SpellChange::Ended(now.since(since)))
            }
            _ => None,
        }
    }

    fn close(&mut self, placed: Moment) -> bool {
        let mut steps = self.placed.iter_mut().rev();
        let step = steps.find(|step| step.began <= placed).filter(|step| step.open > 0);
        step.map(|step| step.open -= 1).is_some()
    }

    fn take(&mut self, refused: bool, now: Moment) {
        self.last = now;
        let (least, greatest) = SHARE_BOUNDS;
        let share = self.share.clamp(least, greatest);
        let ratio = match refused {
            true => share / USUAL_SHARE,
            false => (1.0 - share) / (1.0 - USUAL_SHARE),
        };
        self.odds = (self.odds * ratio).clamp(ODDS_BOUNDS.0, ODDS_BOUNDS.1);
        if self.since.is_some() {
            let seen = f64::from(u8::from(refused));
            self.share += (seen - self.share) * SHARE_WEIGHT;
        }
    }
}
