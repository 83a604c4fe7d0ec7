//! Files: what a replica must remember, in a form that survives a crash at any step.

pub mod folder;
pub mod frame;
pub mod group_file;
pub mod inspect;
pub mod store;

mod files;
