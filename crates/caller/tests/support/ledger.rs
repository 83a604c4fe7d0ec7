//! A ledger in memory, shared by the entries of a test.

use std::{
    collections::HashMap,
    sync::{
        Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
};

use model::{
    ledger::{BodyDigest, CallKey, ClaimAnswer, KeyClaim, KeyClose, RecordedAnswer, RunEnd},
    numbers::{AttemptNumber, GroupNumber},
    ports::{LedgerFault, LedgerPort},
};
use tokio::sync::Notify;

#[derive(Clone, Debug, PartialEq)]
pub enum KeyState {
    Claimed(u64),
    Done(Option<RecordedAnswer>),
    NotRun,
    Unknown,
}

#[derive(Clone, Debug)]
pub struct KeyEntry {
    pub digest: BodyDigest,
    pub attempt: AttemptNumber,
    pub state: KeyState,
}

#[derive(Default)]
pub struct FakeLedger {
    pub keys: Mutex<HashMap<CallKey, KeyEntry>>,
    /// Has no majority.
    pub cut_off: AtomicBool,
    /// Records claims, but holds their acknowledgements back.
    pub held: AtomicBool,
    pub released: Notify,
    pub claims: AtomicU64,
    pub claimants: Mutex<Vec<u64>>,
}

impl FakeLedger {
    pub fn state(&self, key: CallKey) -> Option<KeyState> {
        self.keys.lock().unwrap().get(&key).map(|entry| entry.state.clone())
    }

    fn record(&self, claim: &KeyClaim) -> ClaimAnswer {
        let mut keys = self.keys.lock().unwrap();
        let new =
            KeyEntry { digest: claim.digest, attempt: AttemptNumber(0), state: KeyState::NotRun };
        let entry = keys.entry(claim.key).or_insert(new);
        if entry.digest != claim.digest {
            return ClaimAnswer::OtherRequest;
        }
        match &entry.state {
            KeyState::NotRun => {
                entry.attempt = entry.attempt.next();
                entry.state = KeyState::Claimed(claim.claimant);
                ClaimAnswer::Run { attempt: entry.attempt }
            }
            KeyState::Claimed(by) if *by == claim.claimant => {
                ClaimAnswer::Run { attempt: entry.attempt }
            }
            KeyState::Claimed(_) => ClaimAnswer::InProgress,
            KeyState::Done(answer) => ClaimAnswer::Done { answer: answer.clone() },
            KeyState::Unknown => ClaimAnswer::Unknown,
        }
    }
}

impl LedgerPort for FakeLedger {
    async fn claim(&self, claim: KeyClaim) -> Result<ClaimAnswer, LedgerFault> {
        self.claims.fetch_add(1, Ordering::SeqCst);
        self.claimants.lock().unwrap().push(claim.claimant);
        if self.cut_off.load(Ordering::SeqCst) {
            return Err(LedgerFault::NoMajority { group: GroupNumber::FIRST_LEDGER });
        }
        let answer = self.record(&claim);
        if self.held.load(Ordering::SeqCst) {
            self.released.notified().await;
        }
        Ok(answer)
    }

    async fn close(&self, close: KeyClose) -> Result<(), LedgerFault> {
        let mut keys = self.keys.lock().unwrap();
        let entry = keys.get_mut(&close.key).expect("only claimed keys are closed");
        if entry.attempt == close.attempt && matches!(entry.state, KeyState::Claimed(_)) {
            entry.state = match close.end {
                RunEnd::Done { answer } => KeyState::Done(answer),
                RunEnd::NotRun => KeyState::NotRun,
                RunEnd::Unknown => KeyState::Unknown,
            };
        }
        Ok(())
    }
}
