//! The operators' command line as a library, so that tests run it without a process of its own.
//!
//! - [`args`]: the flags and commands as they are written;
//! - [`settings`]: the typed settings that they make;
//! - [`client`]: asks the operators' interface, one VM after the other;
//! - [`draft`]: patch files, and what was sent of them;
//! - [`patch`]: the commands on patches;
//! - [`run`]: carries out one command;
//! - [`render`]: tables for people;
//! - [`fault`]: what can go wrong, with exit codes.

pub mod args;
pub mod client;
pub mod draft;
pub mod fault;
pub mod patch;
pub mod render;
pub mod run;
pub mod settings;
