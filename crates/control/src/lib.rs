//! The replicated state: configuration and call ledger.
//!
//! - [`handle`]: how the rest of the process reaches the replicas of its VM;
//! - [`settings`]: what they are opened with;
//! - [`packet`]: what they send each other;
//! - [`fault`]: what can go wrong;
//! - [`group`]: one replica with its state and the requests that wait for it;
//! - [`disk`]: files, and [`disk::inspect`] for a look at them;
//! - [`replica`]: the rules of replication;
//! - [`state`]: what is replicated.

pub mod disk;
pub mod fault;
pub mod group;
pub mod handle;
pub mod packet;
pub mod replica;
pub mod settings;
pub mod state;

mod driver;
mod runner;
