//! Stand-ins for the cases of the review: the platform that starts processes, servers, clients and
//! the operator. They use the standard library alone and speak what the users' pages say.

pub mod fleet;
pub mod http;
pub mod proxy;
pub mod record;
pub mod server;

use std::time::{Duration, Instant};

/// Whether the disruption of the case is brought about.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Waits until something holds. `false`: it did not in the time.
pub fn wait_until(within: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + within;
    loop {
        if holds() {
            return true;
        }
        if Instant::now() >= until {
            return false;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// How a case ends.
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
    /// The case could not run.
    CouldNotRun(String),
}

impl Verdict {
    /// Returns the exit code.
    pub fn code(&self) -> i32 {
        match self {
            Self::Held => 0,
            Self::Broken => 1,
            Self::CouldNotRun(_) => 2,
        }
    }
}
