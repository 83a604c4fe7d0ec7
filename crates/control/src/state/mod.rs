//! What the groups replicate.

pub mod command;
pub mod config;
pub mod departures;
pub mod ledger;
pub mod machine;
