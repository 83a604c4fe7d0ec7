//! When a call must have ended.
//!
//! Failure: a VM is told to stop while a call waits, and the wait knows the call's own deadline alone. Symptom: the
//! end of the process cuts the call, and its caller gets no answer. Safeguard: each wait of a call goes by this
//! clock, which follows a stop that begins in the middle of the wait.

use std::{sync::Arc, time::Duration};

use model::call::OutcomeClass;
use tokio::time::{Instant, sleep_until};

use crate::stopping::StopState;

/// The time of one call: up to its deadline, or to the end of the calls in a planned stop.
#[derive(Clone)]
pub(crate) struct CallClock {
    /// The call's own deadline.
    pub(crate) deadline: Instant,
    pub(crate) stop: Arc<StopState>,
}

impl CallClock {
    /// Returns when the call must have ended, by what is known now.
    pub(crate) fn end(&self) -> Instant {
        self.stop.end().map_or(self.deadline, |end| end.min(self.deadline))
    }

    pub(crate) fn left(&self) -> Duration {
        self.end().saturating_duration_since(Instant::now())
    }

    /// Returns what it says of an upstream that it has not answered when the time is over: nothing, where a stop left
    /// the call less than its own time.
    pub(crate) fn late_outcome(&self) -> OutcomeClass {
        if self.end() < self.deadline { OutcomeClass::Cancelled } else { OutcomeClass::Timeout }
    }

    /// Waits until the time is over.
    pub(crate) async fn over(&self) {
        tokio::select! {
            () = sleep_until(self.deadline) => (),
            () = self.stop.over() => (),
        }
    }

    /// Runs to the end of a piece of work, or of the time. `None`: the time was over first.
    pub(crate) async fn within<F: Future>(&self, work: F) -> Option<F::Output> {
        tokio::select! {
            biased;
            output = work => Some(output),
            () = self.over() => None,
        }
    }
}
