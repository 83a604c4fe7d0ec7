//! Commands to the replicated states, and their answers.

use derive::domain;
use model::{
    ledger::{ClaimAnswer, KeyClaim, KeyClose},
    patch::{ConfigPatch, PatchResult},
};

/// A command, as a log entry holds it.
#[domain]
pub enum StateCommand {
    /// Changes the configuration.
    Patch(ConfigPatch),
    /// Claims a key.
    Claim {
        /// The leader's view when it took the claim.
        view: LedgerView,
        /// The claim.
        claim: KeyClaim,
    },
    /// Closes a claim.
    Close {
        /// The leader's view when it took the close.
        view: LedgerView,
        /// The close.
        close: KeyClose,
    },
}

/// What a leader puts into an entry, so that all replicas decide alike: its wall clock, and the
/// settings that were in force for it.
#[domain(value)]
pub struct LedgerView {
    /// Milliseconds since 1970.
    pub wall_ms: u64,
    /// How long a key is kept, in milliseconds.
    pub keep_ms: u64,
    /// How many keys are kept at most.
    pub keys_limit: u64,
}

/// The answer to a command.
#[domain]
pub enum StateAnswer {
    /// To a patch.
    Patch(PatchResult),
    /// To a claim.
    Claim(ClaimAnswer),
    /// To a close.
    Close(CloseAnswer),
}

/// What became of a close.
#[domain(value)]
pub enum CloseAnswer {
    /// It is recorded, now or by an earlier send of the same close.
    Closed,
    /// It was of an old attempt, or came too late; nothing was changed.
    Refused,
}
