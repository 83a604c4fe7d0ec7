//! The HTTP interface of operators.
//!
//! - [`server`]: binds the interface and guards it by the operators' secret;
//! - [`pages`]: what each path answers.

pub mod pages;
pub mod server;
