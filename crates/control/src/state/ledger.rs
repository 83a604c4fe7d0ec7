//! The replicated call ledger of one group.
//!
//! A key is claimed at most once at a time, and never again once it may have run. The state decides by
//! the time that the leader put into each entry ([`LedgerView::wall_ms`]), never by a clock of its own,
//! so that all replicas decide alike. That time only goes forward here: a leader whose clock is behind
//! the one before it stands still until it has caught up.
//!
//! # What is kept, and for how long
//!
//! A key names the time it was made at. Keys older than the *floor* (the latest time less what the
//! settings say is kept) are dropped and refused. The floor never goes back, also when the settings
//! keep keys longer later on: a key that was dropped could else be claimed anew. A ledger with as many
//! keys as allowed, or as many bytes of answers, refuses new keys; dropping the oldest instead would
//! let a resend of a dropped key run twice.

use std::sync::Arc;

use crate::state::command::{CloseAnswer, LedgerView};
use derive::domain;
use imbl::OrdMap;
use model::{
    ledger::{
        ANSWER_LIMIT, BodyDigest, CallKey, ClaimAnswer, KeyClaim, KeyClose, RecordedAnswer, RunEnd,
    },
    names::ServiceName,
    numbers::AttemptNumber,
};
use xxhash_rust::xxh3::xxh3_64;

/// How far in the future a key's time may be, in milliseconds. Callers' clocks differ by minutes; a
/// key from the far future would have to be kept for as long.
pub const FUTURE_LIMIT_MS: u64 = 10 * 60 * 1_000;

/// How long after its call's deadline a claim still counts as running, in milliseconds. An entry
/// closes its claim right after the call; one that has not done so a minute after the deadline is
/// lost or cut off, and nobody will ever know whether the call ran.
pub const OPEN_GRACE_MS: u64 = 60 * 1_000;

/// How many bytes of answers one group keeps. Beyond it new keys are refused.
pub const ANSWER_BYTES_LIMIT: u64 = 256 * 1024 * 1024;

#[domain]
enum KeyPhase {
    Open { until_ms: u64 },
    Done { answer: Option<Arc<RecordedAnswer>> },
    NotRun,
    Unknown,
}

#[domain]
struct KeyState {
    digest: BodyDigest,
    service: u64,
    claimant: u64,
    attempt: AttemptNumber,
    phase: KeyPhase,
}

/// The replicated ledger.
#[domain]
#[derive(Default)]
pub struct LedgerState {
    keys: OrdMap<CallKey, KeyState>,
    clock_ms: u64,
    floor_ms: u64,
    answer_bytes: u64,
}

impl LedgerState {
    /// Returns how many keys are kept.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Tells whether no key is kept.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Claims a key.
    pub fn claim(&mut self, view: LedgerView, claim: &KeyClaim) -> ClaimAnswer {
        self.advance(view);
        let millis = claim.key.millis();
        if millis < self.floor_ms || millis > self.clock_ms + FUTURE_LIMIT_MS {
            return ClaimAnswer::OutOfTime;
        }
        match self.keys.get(&claim.key) {
            Some(held) => self.claim_again(held.clone(), claim),
            None if self.is_full(view) => ClaimAnswer::Full,
            None => self.open(claim, AttemptNumber(1)),
        }
    }

    fn claim_again(&mut self, held: KeyState, claim: &KeyClaim) -> ClaimAnswer {
        if held.digest != claim.digest || held.service != service_hash(&claim.service) {
            return ClaimAnswer::OtherRequest;
        }
        match held.phase {
            KeyPhase::Open { until_ms } if self.clock_ms > until_ms => {
                self.put_phase(claim.key, KeyPhase::Unknown);
                ClaimAnswer::Unknown
            }
            // A resend after a lost acknowledgement: the same claim, so the same attempt.
            KeyPhase::Open { .. } if held.claimant == claim.claimant => {
                ClaimAnswer::Run { attempt: held.attempt }
            }
            KeyPhase::Open { .. } => ClaimAnswer::InProgress,
            KeyPhase::Done { answer } => {
                ClaimAnswer::Done { answer: answer.map(|answer| answer.as_ref().clone()) }
            }
            KeyPhase::Unknown => ClaimAnswer::Unknown,
            // The claimant has closed its attempt and told its caller so. A claim of the same call
            // now is one that was under way for long: nobody waits for it.
            KeyPhase::NotRun if held.claimant == claim.claimant => ClaimAnswer::Late,
            KeyPhase::NotRun => self.open(claim, held.attempt.next()),
        }
    }

    fn open(&mut self, claim: &KeyClaim, attempt: AttemptNumber) -> ClaimAnswer {
        let until_ms = self.clock_ms + u64::from(claim.within_ms) + OPEN_GRACE_MS;
        let state = KeyState {
            digest: claim.digest,
            service: service_hash(&claim.service),
            claimant: claim.claimant,
            attempt,
            phase: KeyPhase::Open { until_ms },
        };
        self.keys.insert(claim.key, state);
        ClaimAnswer::Run { attempt }
    }

    /// Closes a claim.
    pub fn close(&mut self, view: LedgerView, close: KeyClose) -> CloseAnswer {
        self.advance(view);
        let Some(held) = self.keys.get(&close.key) else { return CloseAnswer::Refused };
        if held.attempt != close.attempt {
            return CloseAnswer::Refused;
        }
        let end = phase_of(close.end);
        match held.phase {
            KeyPhase::Open { until_ms } if self.clock_ms > until_ms => {
                self.put_phase(close.key, KeyPhase::Unknown);
                CloseAnswer::Refused
            }
            KeyPhase::Open { .. } => {
                self.answer_bytes += answer_size(&end);
                self.put_phase(close.key, end);
                CloseAnswer::Closed
            }
            // A resend of the same close.
            _ if held.phase == end => CloseAnswer::Closed,
            _ => CloseAnswer::Refused,
        }
    }

    fn put_phase(&mut self, key: CallKey, phase: KeyPhase) {
        if let Some(held) = self.keys.get_mut(&key) {
            held.phase = phase;
        }
    }

    fn is_full(&self, view: LedgerView) -> bool {
        self.keys.len() as u64 >= view.keys_limit || self.answer_bytes >= ANSWER_BYTES_LIMIT
    }

    fn advance(&mut self, view: LedgerView) {
        self.clock_ms = self.clock_ms.max(view.wall_ms);
        self.floor_ms = self.floor_ms.max(self.clock_ms.saturating_sub(view.keep_ms));
        while let Some((key, held)) = self.keys.get_min() {
            if key.millis() >= self.floor_ms {
                break;
            }
            let key = *key;
            self.answer_bytes -= answer_size(&held.phase);
            self.keys.remove(&key);
        }
    }

    /// Returns the state as a snapshot holds it.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("domain types have a postcard form")
    }

    /// Reads a snapshot's content.
    ///
    /// # Errors
    ///
    /// Fails when it holds something else.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        postcard::from_bytes(bytes)
    }
}

fn service_hash(service: &ServiceName) -> u64 {
    xxh3_64(service.as_str().as_bytes())
}

fn phase_of(end: RunEnd) -> KeyPhase {
    match end {
        RunEnd::Done { answer } => {
            let small = answer.filter(|answer| answer.size() <= ANSWER_LIMIT);
            KeyPhase::Done { answer: small.map(Arc::new) }
        }
        RunEnd::NotRun => KeyPhase::NotRun,
        RunEnd::Unknown => KeyPhase::Unknown,
    }
}

fn answer_size(phase: &KeyPhase) -> u64 {
    match phase {
        KeyPhase::Done { answer: Some(answer) } => answer.size() as u64,
        _ => 0,
    }
}
