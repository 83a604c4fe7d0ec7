//! What an upstream is told to do, and what it counts.

use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard, PoisonError},
};

use model::announcement::UpstreamState;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::fault::{CallFate, FaultPlan};

#[derive(Debug)]
pub(crate) struct StandinState {
    pub(crate) fault: FaultPlan,
    pub(crate) busy: u32,
    pub(crate) most_busy: u32,
    pub(crate) shed: u64,
    pub(crate) ran: u64,
    pub(crate) failed: u64,
    pub(crate) runs_by_key: HashMap<String, u32>,
    pub(crate) state: UpstreamState,
    pub(crate) sequence: u64,
    pub(crate) last_call: Option<std::time::Instant>,
    pub(crate) random: Pcg64Mcg,
    /// A request body that holds these bytes ends the process.
    pub(crate) crash_on: Option<Vec<u8>>,
    /// What it states on the refusal with which it answers each call.
    pub(crate) refuse_as: Option<&'static str>,
    /// The share of calls that it refuses as shed, with each refusal handed out once more.
    pub(crate) copied_refusals: f64,
    /// The share of its answers whose head is broken.
    pub(crate) broken_heads: f64,
    /// What its refusals bear as `Retry-After`.
    pub(crate) retry_after: Option<&'static str>,
    /// How many calls it refused so.
    pub(crate) refused: u64,
    /// How many calls a second it states that it takes.
    pub(crate) rate: Option<u32>,
    /// What it states of its state on each answer.
    pub(crate) state_word: Option<&'static str>,
    /// Connections accepted so far.
    pub(crate) accepted: u64,
    /// Connections up to this one answer nothing any more.
    pub(crate) silent_up_to: u64,
}

impl StandinState {
    /// Makes the state of an upstream that is well and has announced nothing yet.
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            fault: FaultPlan::NONE,
            busy: 0,
            most_busy: 0,
            shed: 0,
            ran: 0,
            failed: 0,
            runs_by_key: HashMap::new(),
            state: UpstreamState::Serving,
            sequence: 0,
            last_call: None,
            random: Pcg64Mcg::seed_from_u64(seed),
            crash_on: None,
            refuse_as: None,
            copied_refusals: 0.0,
            broken_heads: 0.0,
            retry_after: None,
            refused: 0,
            rate: None,
            state_word: None,
            accepted: 0,
            silent_up_to: 0,
        }
    }
}

pub(crate) fn crashes(state: &Mutex<StandinState>, body: &[u8]) -> bool {
    let state = lock(state);
    let Some(deadly) = state.crash_on.as_deref() else { return false };
    body.windows(deadly.len().max(1)).any(|window| window == deadly)
}

pub(crate) fn begin(state: &Mutex<StandinState>, key: Option<String>) -> (CallFate, f64) {
    let mut state = lock(state);
    state.ran += 1;
    state.last_call = Some(std::time::Instant::now());
    if let Some(key) = key {
        *state.runs_by_key.entry(key).or_default() += 1;
    }
    let fault = state.fault;
    let draw: f64 = state.random.random();
    let fate = fault.fate(draw);
    if !matches!(fate, CallFate::Answer) {
        state.failed += 1;
    }
    (fate, fault.slowness)
}

/// A slot that a call holds.
pub(crate) struct SlotGuard<'a>(&'a Mutex<StandinState>);

impl<'a> SlotGuard<'a> {
    pub(crate) fn take(state: &'a Mutex<StandinState>, slots: u32) -> Option<Self> {
        let mut held = lock(state);
        if held.busy >= slots {
            held.shed += 1;
            return None;
        }
        held.busy += 1;
        held.most_busy = held.most_busy.max(held.busy);
        Some(Self(state))
    }
}

impl Drop for SlotGuard<'_> {
    fn drop(&mut self) {
        lock(self.0).busy -= 1;
    }
}

pub(crate) fn lock(state: &Mutex<StandinState>) -> MutexGuard<'_, StandinState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}
