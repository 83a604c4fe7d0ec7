//! Decisions under load: place, queue, refuse, retry, eject.
//!
//! Nothing in here opens a socket, reads a clock, starts a thread or draws from the machine's
//! randomness. Time is passed in as a [`model::moment::Moment`] and randomness as a seed, so each
//! decision can be put through bursts, stragglers and saturation in a test that takes milliseconds
//! and gives the same result on each run.
//!
//! - [`placer`]: the one guard of a service's slots, queue and floor;
//! - [`detect`]: the sequential test of each upstream against its peers;
//! - [`limit`]: how many calls an upstream is given at once;
//! - [`poison`]: requests that crash what runs them;
//! - [`capacity`]: how much of the hardware has to be switched on;
//! - [`fallback`]: what an entry does without a placer in reach;
//! - [`floor`]: the entry's own guard of the floor;
//! - [`retry`] and [`hedge`]: what an entry may run again.

pub mod capacity;
pub mod detect;
pub mod fallback;
pub mod floor;
pub mod hedge;
pub mod limit;
pub mod placer;
pub mod poison;
pub mod retry;
