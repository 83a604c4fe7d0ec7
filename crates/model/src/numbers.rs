//! Numbers that order events, each a type of its own so that none stands in for another.

use std::fmt;

use derive::domain;

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

/// 2026-01-01 in milliseconds of the time of day: keeps numbers short on the wire.
const FIRST_DAY_MS: u64 = 1_767_225_600_000;

impl IncarnationNumber {
    /// Returns the number after which a VM that started at this one, in microseconds of the time of day, counts
    /// what it names. It is above all numbers of its earlier lives, as long as these named less than one thing
    /// a millisecond, so what is still on its way from them is never taken for its own.
    pub fn numbers_after(self) -> u64 {
        (self.0 / 1_000).saturating_sub(FIRST_DAY_MS)
    }
}

impl GroupNumber {
    /// The group that replicates the configuration.
    pub const CONFIG: Self = Self(0);
    /// The first group of the call ledger.
    pub const FIRST_LEDGER: Self = Self(1);
}
