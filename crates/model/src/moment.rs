//! Time as a value that is passed in.
//!
//! Decisions and replicas never read a clock. Whoever drives them passes the present [`Moment`], so
//! a test can run an hour in a millisecond and get the same result on each run. A moment means
//! nothing outside of the process that made it: messages carry the time that is left, never a moment.

use std::{ops::Add, time::Duration};

/// Microseconds since an origin that the process chose.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Moment(u64);

impl Moment {
    /// The origin.
    pub const ZERO: Self = Self(0);

    /// Makes a moment from microseconds since the origin.
    pub fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Makes a moment from milliseconds since the origin.
    pub fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Returns the microseconds since the origin.
    pub fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns how long ago `earlier` was, or zero if it is yet to come.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Moment {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}
