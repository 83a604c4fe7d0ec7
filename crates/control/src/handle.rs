//! How the rest of the process reaches the replicas of its VM.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use model::{
    config::FleetConfig,
    ledger::{CallKey, ClaimAnswer, KeyClaim, KeyClose, RunEnd},
    numbers::{AttemptNumber, ConfigNumber},
    patch::{ConfigPatch, PatchId, PatchRecord, PatchResult},
};
use tokio::sync::watch;

#[derive(Debug)]
struct KeyState {
    claim: KeyClaim,
    attempt: AttemptNumber,
    end: Option<RunEnd>,
}

#[derive(Debug, Default)]
struct MemoryState {
    history: Vec<PatchRecord>,
    results: HashMap<PatchId, PatchResult>,
    keys: HashMap<CallKey, KeyState>,
}

/// The replicas of this VM.
#[derive(Clone, Debug)]
pub struct ControlHandle {
    state: Arc<Mutex<MemoryState>>,
    config: Arc<watch::Sender<FleetConfig>>,
}

impl ControlHandle {
    /// Opens a one-node control state that lives in memory.
    pub fn open_in_memory() -> Self {
        let (config, _) = watch::channel(FleetConfig::default());
        Self { state: Arc::default(), config: Arc::new(config) }
    }

    /// Watches the committed configuration.
    pub fn watch_config(&self) -> watch::Receiver<FleetConfig> {
        self.config.subscribe()
    }

    /// Submits a patch.
    pub fn submit(&self, patch: &ConfigPatch) -> PatchResult {
        let mut state = self.lock();
        if let Some(first) = state.results.get(&patch.id) {
            return first.clone();
        }
        let next = self.config.borrow().apply(patch);
        let result = next.map(|next| {
            let number = next.number();
            self.config.send_replace(next);
            state.history.push(PatchRecord { number, patch: patch.clone() });
            number
        });
        state.results.insert(patch.id, result.clone());
        result
    }

    /// Lists accepted patches after a number.
    pub fn history(&self, after: ConfigNumber, limit: usize) -> Vec<PatchRecord> {
        let state = self.lock();
        let later = state.history.iter().filter(|record| record.number > after);
        later.take(limit).cloned().collect()
    }

    /// Returns the first result of a patch.
    pub fn patch(&self, id: PatchId) -> Option<PatchResult> {
        self.lock().results.get(&id).cloned()
    }

    /// Claims a key.
    pub fn claim(&self, claim: KeyClaim) -> ClaimAnswer {
        let mut state = self.lock();
        let Some(held) = state.keys.get_mut(&claim.key) else {
            let attempt = AttemptNumber(1);
            state.keys.insert(claim.key, KeyState { claim, attempt, end: None });
            return ClaimAnswer::Run { attempt };
        };
        if held.claim.digest != claim.digest {
            return ClaimAnswer::OtherRequest;
        }
        match &held.end {
            None if held.claim.claimant == claim.claimant => {
                ClaimAnswer::Run { attempt: held.attempt }
            }
            None => ClaimAnswer::InProgress,
            Some(RunEnd::Done { answer }) => ClaimAnswer::Done { answer: answer.clone() },
            Some(RunEnd::Unknown) => ClaimAnswer::Unknown,
            Some(RunEnd::NotRun) => {
                let attempt = held.attempt.next();
                *held = KeyState { claim, attempt, end: None };
                ClaimAnswer::Run { attempt }
            }
        }
    }

    /// Closes a claim. One of an earlier attempt changes nothing.
    pub fn close(&self, close: KeyClose) {
        if let Some(held) = self.lock().keys.get_mut(&close.key)
            && held.attempt == close.attempt
            && held.end.is_none()
        {
            held.end = Some(close.end);
        }
    }

    fn lock(&self) -> MutexGuard<'_, MemoryState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
