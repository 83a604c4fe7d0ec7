//! A fault soak: the real programs as processes on loopback, faults from outside them, and checks of what callers
//! and upstreams see.
//!
//! - [`args`]: the flags of the program;
//! - [`plan`]: one seed gives one plan;
//! - [`proxy`]: stands before a VM, holds the bytes that others send it and delivers them late;
//! - [`process`]: starts, kills and restarts daemons;
//! - [`fleet`]: a fleet with its services, each VM behind a proxy;
//! - [`callers`]: calls, and which service ran them;
//! - [`run`]: plays a plan.

pub mod args;
pub mod callers;
pub mod fleet;
pub mod plan;
pub mod process;
pub mod proxy;
pub mod run;
