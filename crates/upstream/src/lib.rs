//! Towards upstreams: their announcements, the connections to them and the exchanges on these.
//!
//! - [`announce`]: the HTTP interface on which upstreams announce themselves;
//! - [`exchange`]: one request and its whole answer on one connection;
//! - [`pool`]: the connections to each upstream;
//! - `target`: what the pool knows of one upstream;
//! - `send`: sends a request and tells apart how that failed.

pub mod announce;
pub mod exchange;
pub mod pool;
mod send;
mod target;
