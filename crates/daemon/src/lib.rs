//! The daemon: settings, threads and the wiring of the other crates.
//!
//! - [`args`]: the flags as they are written;
//! - [`reader`]: reads single settings;
//! - [`settings`]: the typed settings, checked before anything is bound;
//! - [`embedded`]: one VM on loopback, to try it out;
//! - [`logging`]: the log, kept off the traffic threads;
//! - [`node`]: one running daemon and its planned stop;
//! - [`process`]: from settings to exit code;
//! - [`exit`]: the exit codes.

pub mod args;
pub mod embedded;
pub mod exit;
pub mod logging;
pub mod node;
pub mod process;
pub mod reader;
pub mod settings;
