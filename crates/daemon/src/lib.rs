//! The daemon: settings, threads and the wiring of the other crates.
//!
//! - [`args`]: the flags and environment variables as they are written;
//! - [`settings`]: the typed settings that they make, checked before anything is bound;
//! - [`node`]: one running daemon and its planned stop;
//! - [`logging`]: the log, kept off the traffic threads.

pub mod args;
pub mod logging;
pub mod node;
pub mod settings;
