//! The state that a group replicates: the configuration in group 0, a call ledger in each other.

use crate::state::{
    command::{StateAnswer, StateCommand},
    config::ConfigState,
    ledger::LedgerState,
};
use model::numbers::GroupNumber;
use xxhash_rust::xxh3::xxh3_64;

/// The state of one group. A clone shares its content.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GroupState {
    /// The configuration.
    Config(Box<ConfigState>),
    /// A call ledger.
    Ledger(LedgerState),
}

impl GroupState {
    /// Makes the empty state of a group.
    pub fn open(group: GroupNumber) -> Self {
        match group {
            GroupNumber::CONFIG => Self::Config(Box::default()),
            _ => Self::Ledger(LedgerState::default()),
        }
    }

    /// Carries out a command. `None` where it is meant for another kind of group.
    pub fn apply(&mut self, command: StateCommand) -> Option<StateAnswer> {
        match (self, command) {
            (Self::Config(state), StateCommand::Patch(patch)) => {
                Some(StateAnswer::Patch(state.submit(patch)))
            }
            (Self::Ledger(state), StateCommand::Claim { view, claim }) => {
                Some(StateAnswer::Claim(state.claim(view, &claim)))
            }
            (Self::Ledger(state), StateCommand::Close { view, close }) => {
                Some(StateAnswer::Close(state.close(view, close)))
            }
            _ => None,
        }
    }

    /// Returns the state as a snapshot holds it.
    pub fn encode(&self) -> Vec<u8> {
        match self {
            Self::Config(state) => state.encode(),
            Self::Ledger(state) => state.encode(),
        }
    }

    /// Reads a snapshot's content.
    ///
    /// # Errors
    ///
    /// Fails when it holds something else.
    pub fn decode(group: GroupNumber, bytes: &[u8]) -> Result<Self, postcard::Error> {
        Ok(match group {
            GroupNumber::CONFIG => Self::Config(Box::new(ConfigState::decode(bytes)?)),
            _ => Self::Ledger(LedgerState::decode(bytes)?),
        })
    }

    /// Returns the number of the configuration, or how many keys a ledger keeps.
    pub fn number(&self) -> u64 {
        match self {
            Self::Config(state) => state.config().number().0,
            Self::Ledger(state) => state.len() as u64,
        }
    }

    /// Returns a digest of the content that is the same on each replica.
    pub fn digest(&self) -> u64 {
        match self {
            Self::Config(state) => state.config().digest(),
            Self::Ledger(state) => xxh3_64(&state.encode()),
        }
    }
}
