//! Stand-ins for what the fleet meets: upstreams that announce themselves, work and fail as told,
//! and a caller that speaks plain HTTP/1.1.
//!
//! - [`upstream`]: an upstream with slots, a service time and faults;
//! - [`fault`]: how it misbehaves by chance;
//! - [`call`]: one request and its whole answer.

mod announcer;
pub mod call;
mod copying;
pub mod fault;
mod serving;
mod spoiling;
mod state;
pub mod upstream;
