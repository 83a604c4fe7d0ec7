//! The HTTP interface of operators.
//!
//! - [`server`]: binds the interface, bounds it and guards it by the operators' secret;
//! - [`pages`]: which path is answered by what;
//! - [`answers`]: what the pages answer, errors among them;
//! - [`patches`]: patches: submit, check, show;
//! - [`reads`]: what operators may look at;
//! - [`duties`]: what operators may have done beside patches;
//! - [`body`]: reads a request's body within bounds.

pub mod answers;
pub mod body;
pub mod duties;
pub mod pages;
pub mod patches;
pub mod reads;
pub mod server;

mod bounded;
