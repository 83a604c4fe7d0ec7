//! What an entry may run again.

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
}
