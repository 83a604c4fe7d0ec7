//! How many calls an upstream is given at once.
//!
//! Load: an upstream that announces more slots than it can work on, or sheds, or just lost its peers
//! and gets their work. Harm prevented: each further call only makes the others slower; a wave of
//! moved work breaks the next upstream. Announced slots and load reports mislead, so the limit follows
//! what is seen: shed answers, and throughput that falls as calls are added.
//!
//! Reasons for the limits: never above the announced slots, never below one (an upstream without work
//! gives no evidence). A shed answer takes a third off, once in a tenth of a second, as calls in
//! flight are shed together; each success gives back a part so that a whole round of successes gives
//! one slot, the usual additive increase. After a loss of many slots elsewhere the window starts at
//! half and doubles with each round: full within a few service times where there is room.

use model::moment::Moment;
use std::time::Duration;

/// Shed answers closer together than this are one event.
const SHED_COOLDOWN: Duration = Duration::from_millis(100);

/// For how long after a shed answer times are not held against an upstream: until its limit has grown
/// back by a few slots and would have met the next shed answer.
const OVERLOAD_SPAN: Duration = Duration::from_secs(5);

/// How many answers at each number of calls make a block. The mean of so many is right to a tenth.
const BLOCK_SIZE: u32 = 64;

/// Throughput below this part of that with fewer calls is falling; noise does not reach it.
const FALLING_RATIO: f64 = 0.7;

/// For how long a cut for falling throughput holds before it is tried again.
const CUT_DURATION: Duration = Duration::from_secs(10);

/// Numbers of calls above this share one level.
const MAX_LEVELS: usize = 64;

/// The mean time of one block of answers, in parts of the route's median, and when they came.
#[derive(Clone, Copy, Debug)]
struct ResponseBlock {
    mean: f64,
    began: Moment,
    ended: Moment,
}

/// Answers that began with the same number of calls running.
#[derive(Clone, Copy, Debug, Default)]
struct ConcurrencyLevel {
    answers: u32,
    sum: f64,
    began: Moment,
    last: Option<ResponseBlock>,
}

impl ConcurrencyLevel {
    /// Counts an answer and returns whether it was the last of a block.
    fn count(&mut self, ratio: f64, now: Moment) -> bool {
        if self.answers == 0 {
            self.began = now;
        }
        self.answers += 1;
        self.sum += ratio;
        if self.answers < BLOCK_SIZE {
            return false;
        }
        let mean = self.sum / f64::from(self.answers);
        self.last = Some(ResponseBlock { mean, began: self.began, ended: now });
        (self.answers, self.sum) = (0, 0.0);
        true
    }
}

/// The limit of one upstream.
#[derive(Debug)]
pub struct ConcurrencyLimit {
    slots: u32,
    window: f64,
    /// Below this the window doubles with each round instead of growing by one.
    slow_start_until: f64,
    last_shed: Option<Moment>,
    levels: Vec<ConcurrencyLevel>,
    cut: Option<(u32, Moment)>,
}

impl ConcurrencyLimit {
    /// Opens a limit at the announced slots.
    pub fn new(slots: u32) -> Self {
        let window = f64::from(slots);
        let (last_shed, cut) = (None, None);
        Self { slots, window, slow_start_until: 0.0, last_shed, levels: Vec::new(), cut }
    }

    /// Follows a change of the announced slots.
    pub fn set_slots(&mut self, slots: u32) {
        if slots != self.slots {
            *self = Self::new(slots);
        }
    }

    /// Returns how many calls may run at once.
    pub fn current(&self) -> u32 {
        let window = self.window as u32;
        let cut = self.cut.map_or(self.slots, |(cut, _)| cut);
        window.min(cut).clamp(1, self.slots.max(1)).min(self.slots)
    }

    /// Tells whether the upstream has said of late that it is given too much. Its slow answers are then
    /// the doing of whoever gives it work.
    pub fn is_overloaded(&self, now: Moment) -> bool {
        self.last_shed.is_some_and(|last| now.since(last) < OVERLOAD_SPAN)
    }

    /// Counts a shed answer that came while `busy` calls ran.
    pub fn record_shed(&mut self, busy: u32, now: Moment) {
        let recent = self.last_shed.is_some_and(|last| now.since(last) < SHED_COOLDOWN);
        if recent {
            return;
        }
        self.last_shed = Some(now);
        let from = self.window.min(f64::from(busy.max(1)));
        self.window = (from * 2.0 / 3.0).max(1.0);
        self.slow_start_until = 0.0;
    }

    /// Counts an answer that began with `busy` calls running, itself included, and took `ratio` of
    /// the route's median where that is known.
    pub fn record_success(&mut self, busy: u32, ratio: Option<f64>, now: Moment) {
        let step = if self.window < self.slow_start_until { 1.0 } else { 1.0 / self.window };
        self.window = (self.window + step).min(f64::from(self.slots));
        if self.cut.is_some_and(|(_, until)| until <= now) {
            self.cut = None;
            self.levels.clear();
        }
        if let Some(ratio) = ratio {
            self.measure(busy, ratio, now);
        }
    }

    /// Starts small again, since others' work is about to come: at half, or what runs already.
    pub fn start_slowly(&mut self, busy: u32) {
        let half = self.slots.div_ceil(2);
        self.window = self.window.min(f64::from(half.max(busy)));
        self.slow_start_until = f64::from(self.slots);
    }

    fn measure(&mut self, busy: u32, ratio: f64, now: Moment) {
        let index = (busy.max(1) as usize).min(MAX_LEVELS) - 1;
        if self.levels.len() <= index {
            self.levels.resize(index + 1, ConcurrencyLevel::default());
        }
        if self.levels[index].count(ratio, now) {
            self.cut_at_falling_throughput(index, now);
        }
    }

    /// Compares blocks that overlap in time only. An upstream that has become slow altogether is full
    /// all the time, and its times with fewer calls are those of better days: no reason for a cut.
    fn cut_at_falling_throughput(&mut self, index: usize, now: Moment) {
        let Some(here) = self.levels[index].last else { return };
        let throughput =
            |index: usize, block: ResponseBlock| (index + 1) as f64 / block.mean.max(1e-3);
        let fewer = (0..index).filter_map(|fewer| {
            let block = self.levels[fewer].last.filter(|block| block.ended > here.began)?;
            (block.began < here.ended).then(|| (fewer, throughput(fewer, block)))
        });
        let Some((best, most)) = fewer.max_by(|a, b| a.1.total_cmp(&b.1)) else { return };
        if throughput(index, here) < most * FALLING_RATIO {
            self.cut = Some((best as u32 + 1, now + CUT_DURATION));
        }
    }
}
