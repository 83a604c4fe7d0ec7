//! The replicated state: configuration and call ledger.
//!
//! - [`handle`]: how the rest of the process reaches the replicas of its VM.

pub mod handle;
