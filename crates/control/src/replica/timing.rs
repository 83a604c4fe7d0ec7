//! The times of a replica, and how they depend on each other.
//!
//! A follower promises not to vote for [`ELECTION_MIN`] after it heard its leader, also after a
//! restart. A leader counts on that promise for [`LEASE`] after it *sent* what a majority answered.
//! The difference is the margin for clocks that run at different rates: one sixth, far more than
//! any clock drifts. The longest outage of a group after its leader is lost is about
//! [`ELECTION_MAX`] and a round trip, which fits into the 3 s that a configuration has.

use std::time::Duration;

/// How often a leader shows that it is there. One heartbeat and its answer are about 150 bytes, so
/// two followers of one group cost a leader 2 KB/s when nothing happens.
pub const HEARTBEAT: Duration = Duration::from_millis(150);

/// The shortest time without a leader after which a replica asks for votes: four heartbeats, so that
/// two lost ones and a slow disk sync start no election.
pub const ELECTION_MIN: Duration = Duration::from_millis(600);

/// The longest such time. Each replica draws its own anew each time, so that two seldom ask at once.
pub const ELECTION_MAX: Duration = Duration::from_millis(1_200);

/// How long a leader answers reads after it sent what a majority has answered.
pub const LEASE: Duration = Duration::from_millis(500);

/// How often an unfounded replica asks the other founders.
pub const HELLO_PERIOD: Duration = Duration::from_millis(300);

/// How long an answer of another founder counts. A founder that was founded since then would be
/// overlooked; that cannot be, since only the first of the list founds.
pub const HELLO_FRESH: Duration = Duration::from_millis(1_000);

/// How long a leader waits for its successor before it goes on itself.
pub const TRANSFER_LIMIT: Duration = Duration::from_millis(1_000);
