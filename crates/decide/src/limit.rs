//! The adaptive concurrency limit of an upstream.
//!
//! An upstream may announce more slots than it can work on, may shed load, or may take over the work of
//! peers that were just lost. Calls beyond its capacity only slow down the others, and a wave of moved
//! work can bring down the next upstream. Announced slots and load reports are unreliable, so the limit
//! follows what is observed: shed answers, and throughput that falls as calls are added.
//!
//! The limit is never above the announced slots and never below one, since an upstream without work gives
//! no evidence. A shed answer reduces it by a third, at most once in a tenth of a second, because calls in
//! flight are shed together. A whole round of successes adds one slot, the usual additive increase. After
//! many slots were lost elsewhere, the window restarts at half of the slots and doubles with each round:
//! it is full within a few service times if the upstream keeps up.

use model::moment::Moment;
use std::time::Duration;

/// Shed answers closer together than this count as one event.
const SHED_COOLDOWN: Duration = Duration::from_millis(100);

/// How long after a shed answer an upstream counts as overloaded, so that slow answers are not evidence
/// against it. By then its limit has grown back by a few slots, and a further overload would have led to
/// another shed answer.
const OVERLOAD_SPAN: Duration = Duration::from_secs(5);

/// The number of answers in a block, counted for each concurrency level. The mean of so many is accurate
/// to a tenth.
const BLOCK_SIZE: u32 = 64;

/// Throughput counts as falling below this fraction of the throughput at a lower concurrency. Noise does
/// not reach it.
const FALLING_RATIO: f64 = 0.7;

/// How long a cut for falling throughput holds before higher concurrency is tried again.
const CUT_DURATION: Duration = Duration::from_secs(10);

/// The number of concurrency levels. Calls beyond the last level count toward it.
const MAX_LEVELS: usize = 64;

/// The mean response time of one block of answers, relative to the route's median, and when they came.
#[derive(Clone, Copy, Debug)]
struct ResponseBlock {
    mean: f64,
    started: Moment,
    ended: Moment,
}

/// Answers to calls that started with the same number of calls running.
#[derive(Clone, Copy, Debug, Default)]
struct ConcurrencyLevel {
    answers: u32,
    sum: f64,
    started: Moment,
    last_block: Option<ResponseBlock>,
}

impl ConcurrencyLevel {
    /// Counts an answer and returns whether it was the last of a block.
    fn count(&mut self, ratio: f64, now: Moment) -> bool {
        if self.answers == 0 {
            self.started = now;
        }
        self.answers += 1;
        self.sum += ratio;
        if self.answers < BLOCK_SIZE {
            return false;
        }
        let mean = self.sum / f64::from(self.answers);
        self.last_block = Some(ResponseBlock { mean, started: self.started, ended: now });
        (self.answers, self.sum) = (0, 0.0);
        true
    }
}

/// The concurrency limit of one upstream.
#[derive(Debug)]
pub struct ConcurrencyLimit {
    /// The announced slots.
    slots: u32,
    /// The limit found by additive increase and multiplicative decrease.
    window: f64,
    /// Below this size the window doubles with each round instead of growing by one.
    slow_start_until: f64,
    last_shed: Option<Moment>,
    levels: Vec<ConcurrencyLevel>,
    /// The limit set for falling throughput, and until when it holds.
    cut: Option<(u32, Moment)>,
}

impl ConcurrencyLimit {
    /// Creates a limit at the announced slots.
    pub fn new(slots: u32) -> Self {
        let window = f64::from(slots);
        let (last_shed, cut) = (None, None);
        Self { slots, window, slow_start_until: 0.0, last_shed, levels: Vec::new(), cut }
    }

    /// Sets the announced slots. A change resets the limit.
    pub fn set_slots(&mut self, slots: u32) {
        if slots != self.slots {
            *self = Self::new(slots);
        }
    }

    /// Returns how many calls may run at the same time.
    pub fn current(&self) -> u32 {
        let window = self.window as u32;
        let cut = self.cut.map_or(self.slots, |(cut, _)| cut);
        window.min(cut).clamp(1, self.slots.max(1)).min(self.slots)
    }

    /// Returns whether the upstream has shed a call recently. Its slow answers are then caused by the load
    /// that it is given, not by a fault of its own.
    pub fn is_overloaded(&self, now: Moment) -> bool {
        self.last_shed.is_some_and(|last| now.since(last) < OVERLOAD_SPAN)
    }

    /// Records a shed answer that came while `busy` calls were running.
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

    /// Records the success of a call that started with `busy` calls running, itself included. `ratio` is
    /// its response time relative to the route's median, if that is known.
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

    /// Restarts the window at half of the slots, or at the calls already running if they are more, because
    /// the work of lost upstreams is about to arrive.
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

    /// Cuts the limit to the level with the highest throughput if throughput falls beyond it. Compares only
    /// blocks that overlap in time: an upstream that has become slow as a whole is always full, and its
    /// blocks at lower levels are from before it slowed down, which is no reason for a cut.
    fn cut_at_falling_throughput(&mut self, index: usize, now: Moment) {
        let Some(here) = self.levels[index].last_block else { return };
        let throughput =
            |index: usize, block: ResponseBlock| (index + 1) as f64 / block.mean.max(1e-3);
        let fewer = (0..index).filter_map(|fewer| {
            let block = self.levels[fewer].last_block.filter(|block| block.ended > here.started)?;
            (block.started < here.ended).then(|| (fewer, throughput(fewer, block)))
        });
        let Some((best, most)) = fewer.max_by(|a, b| a.1.total_cmp(&b.1)) else { return };
        if throughput(index, here) < most * FALLING_RATIO {
            self.cut = Some((best as u32 + 1, now + CUT_DURATION));
        }
    }
}
