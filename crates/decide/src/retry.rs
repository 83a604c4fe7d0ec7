//! What an entry may run again.

use model::call::{CallClass, OutcomeClass};
use std::time::Duration;

/// A budget of second tries, as a share of recent calls.
///
/// Load: an outage, when each call fails and each failure would be tried again. Harm prevented: the
/// tries add up to a multiple of the demand just when the service has least to give. Reason for the
/// limit: with a budget of `percent`, the tries stay under `1 + percent / 100` of the calls however
/// many fail; the cap lets a short burst of failures be retried after a quiet time, no more.
#[derive(Debug)]
pub struct RetryBudget {
    percent: u32,
    /// In hundredths of a try.
    saved: u32,
}

/// The most tries that a quiet time may save up.
const SAVED_TRIES_LIMIT: u32 = 20;

impl RetryBudget {
    /// Makes a budget of `percent` tries for 100 calls.
    pub fn new(percent: u32) -> Self {
        Self { percent, saved: 0 }
    }

    /// Follows a change of the rule.
    pub fn set_percent(&mut self, percent: u32) {
        self.percent = percent;
    }

    /// Counts a first try.
    pub fn count_call(&mut self) {
        self.saved = (self.saved + self.percent).min(SAVED_TRIES_LIMIT * 100);
    }

    /// Spends one second try, if there is one.
    pub fn spend(&mut self) -> bool {
        let enough = self.saved >= 100;
        if enough {
            self.saved -= 100;
        }
        enough
    }

    /// Gives back a try that was no second run: its grant was revoked or its upstream was leaving.
    pub fn give_back(&mut self) {
        self.saved = (self.saved + 100).min(SAVED_TRIES_LIMIT * 100);
    }
}

/// A try that ended without an answer that can be passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailedTry {
    /// Whether the call may run more than once.
    pub class: CallClass,
    /// How the try ended.
    pub outcome: OutcomeClass,
    /// Which try it was, from 1.
    pub attempt: u32,
    /// Whether a byte of an answer has gone to the caller.
    pub answer_begun: bool,
    /// The time left of the call's one deadline.
    pub left: Duration,
    /// How long a try takes at least, by measurement; zero where nothing is known.
    pub shortest: Duration,
}

/// Why a failed try is the last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryStop {
    /// The caller has part of an answer already.
    AnswerBegun,
    /// The call may have run and must not run twice.
    MayHaveRun,
    /// The caller has gone.
    CallerGone,
    /// The deadline leaves no room for another try.
    NoTime,
    /// The call has had its tries.
    Attempts,
    /// The budget is spent.
    Budget,
}

/// Decides whether a call is tried again, always at another upstream and inside its one deadline.
///
/// Load: failures of single upstreams in ordinary traffic. Harm prevented: a payment that runs twice;
/// tries that pile up in an outage; tries that cannot be in time. Reasons for the limits: three tries
/// reach past two bad upstreams, and more would take the budget of other calls; a call that is not
/// idempotent goes again only where it is proved that it did not run, and that proof costs budget as
/// well, since shed answers come in storms.
#[derive(Clone, Copy, Debug)]
pub struct RetryPolicy {
    attempts_limit: u32,
}

impl Default for RetryPolicy {
    fn default() -> Self {
        Self { attempts_limit: 3 }
    }
}

impl RetryPolicy {
    /// Sets the most tries of one call.
    #[must_use]
    pub fn attempts_limit(mut self, limit: u32) -> Self {
        self.attempts_limit = limit;
        self
    }

    /// Decides and, where the answer is yes, takes the try out of the budget. A try that was handed
    /// back before anything was sent (revoked, or its upstream is leaving) costs no budget.
    ///
    /// # Errors
    ///
    /// Tells why the call is not tried again.
    pub fn decide(&self, failed: &FailedTry, budget: &mut RetryBudget) -> Result<(), RetryStop> {
        if failed.answer_begun {
            return Err(RetryStop::AnswerBegun);
        }
        if failed.outcome == OutcomeClass::Cancelled {
            return Err(RetryStop::CallerGone);
        }
        if !failed.class.is_idempotent() && !failed.outcome.proves_not_run() {
            return Err(RetryStop::MayHaveRun);
        }
        if failed.left.is_zero() || failed.left < failed.shortest {
            return Err(RetryStop::NoTime);
        }
        if failed.attempt >= self.attempts_limit {
            return Err(RetryStop::Attempts);
        }
        let handed_back = matches!(failed.outcome, OutcomeClass::Unused | OutcomeClass::Draining);
        if !handed_back && !budget.spend() {
            return Err(RetryStop::Budget);
        }
        Ok(())
    }
}
