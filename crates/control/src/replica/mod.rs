//! The rules of replication as values: see [`core`](mod@core).

pub mod core;
pub mod entry;
pub mod log;
pub mod message;
pub mod timing;

mod election;
mod following;
mod founding;
mod leading;
mod progress;
mod seating;
mod views;
