//! The numbers of one VM's grants.
//!
//! Failure: two services, or two lives of a process, give grants with one number. Symptom: the end or the revocation
//! of one strikes the other, since granter, epoch and number are all that names a grant. One sequence for
//! all services of a VM, which begins at a number drawn for each life, gives no number twice.

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
