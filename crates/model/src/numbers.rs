//! Numbers that order events, each a type of its own so that none stands in for another.

use std::fmt;

use derive::domain;
use uuid::Uuid;

macro_rules! number_type {
    ($(#[$doc:meta])* $name:ident($inner:ty)) => {
        $(#[$doc])*
        #[domain(value)]
        #[derive(Default)]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl $name {
            /// Returns the number that follows this one.
            #[must_use]
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    };
}

number_type! {
    /// The number of a configuration. Each accepted patch makes the next one.
    ConfigNumber(u64)
}
number_type! {
    /// The epoch of a placer. An entry never obeys one lower than it has obeyed.
    PlacerEpoch(u64)
}
number_type! {
    /// The number of a grant within its placer's epoch.
    GrantNumber(u64)
}
number_type! {
    /// The number of a call, unique within the entry that took it.
    CallNumber(u64)
}
number_type! {
    /// The number of an attempt to run one idempotency key, from 1.
    AttemptNumber(u32)
}
number_type! {
    /// The start count of an upstream or VM: a later life has a greater number.
    IncarnationNumber(u64)
}
number_type! {
    /// The number of a replicated group: 0 is the configuration, 1 and up are call ledgers.
    GroupNumber(u32)
}

/// How many bits a drawn number has: eight bytes on the wire.
const DRAWN_BITS: u32 = 56;

/// Draws the number after which one life of a process counts what it names, its calls or its grants. Drawn, since a
/// clock that is set back would give two lives the same numbers.
pub fn draw_first_number() -> u64 {
    let (high, low) = Uuid::new_v4().as_u64_pair();
    // No bit is fixed in both halves of a random UUID.
    (high ^ low) >> (u64::BITS - DRAWN_BITS)
}

impl GroupNumber {
    /// The group that replicates the configuration.
    pub const CONFIG: Self = Self(0);
    /// The first group of the call ledger.
    pub const FIRST_LEDGER: Self = Self(1);
}
