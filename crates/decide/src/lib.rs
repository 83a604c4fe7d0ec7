//! Decisions under load: place, queue, refuse, retry, eject.
//!
//! Nothing in here opens a socket, reads a clock, starts a thread or draws from the machine's
//! randomness. Time is passed in as a [`model::moment::Moment`] and randomness as a seed, so each
//! decision can be put through bursts, stragglers and saturation in a test that takes milliseconds
//! and gives the same result on each run.
//!
//! - [`placer`]: the one guard of a service's slots, queue and floor;
//! - [`retry`]: what an entry may run again.

pub mod placer;
pub mod retry;
