//! The replicated state: configuration and call ledger.
//!
//! - [`handle`]: how the rest of the process reaches the replicas of its VM;
//! - [`settings`]: what they are opened with;
//! - [`packet`]: what they send each other;
//! - [`fault`]: what can go wrong.

pub mod fault;
pub mod handle;
pub mod packet;
pub mod settings;
