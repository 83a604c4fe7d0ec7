//! The HTTP side towards callers.
//!
//! - [`server`]: takes connections within limits, and ends them without cutting a call;
//! - `connection`: serves one connection;
//! - [`limits`]: what one VM takes from its callers;
//! - [`entry`]: the path of one call, from its route to its outcome;
//! - `request`, `reader`: read a request's head and its body;
//! - `tries`: one try of a call at one upstream;
//! - `budget`: what may be tried again;
//! - `repeat`: the run of an idempotent call;
//! - `keyed`: the run of a call with an idempotency key;
//! - [`body`], `relay`: bodies that are whole, and such that stream through;
//! - `headers`: what a proxy changes on the way;
//! - [`answer`]: what the fleet itself answers;
//! - [`digest`]: what makes a request the same request;
//! - `stall`: ends connections whose caller takes nothing.

pub mod answer;
pub mod body;
mod budget;
mod connection;
pub mod digest;
pub mod entry;
mod headers;
mod keyed;
pub mod limits;
mod reader;
mod relay;
mod repeat;
mod request;
pub mod server;
mod stall;
mod tries;
