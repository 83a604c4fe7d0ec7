//! The HTTP side towards callers.
//!
//! - [`server`]: takes connections and requests within limits;
//! - [`entry`]: the path of one call, from its route to its outcome;
//! - [`answer`]: what the fleet itself answers;
//! - [`digest`]: what makes a request the same request.

pub mod answer;
pub mod digest;
pub mod entry;
pub mod server;
