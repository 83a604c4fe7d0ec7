//! The numbers of one VM's grants.
//!
//! Failure: each service that a VM places numbers its grants by itself, and a restart begins at 1 again. Symptom:
//! two grants have one identity, and the end of one, its revocation or its repeated ask strikes the other, which
//! is of another service or of an earlier life. A grant is known by its granter, epoch and number alone, so a
//! VM numbers all of its grants together, above those of its earlier lives.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use model::numbers::GrantNumber;

/// Numbers the grants of one VM. Clones go on counting together.
#[derive(Clone, Debug, Default)]
pub struct GrantSequence {
    last: Arc<AtomicU64>,
}

impl GrantSequence {
    /// Makes a sequence whose first number follows the one given.
    pub fn after(last: GrantNumber) -> Self {
        Self { last: Arc::new(AtomicU64::new(last.0)) }
    }

    pub(crate) fn next_number(&self) -> GrantNumber {
        GrantNumber(self.last.fetch_add(1, Ordering::Relaxed) + 1)
    }
}
