//! Domain types shared by every role of the fleet.
//!
//! The crate holds data and the rules that belong to the data alone: what a valid name is, which
//! patch applies to which configuration, which route a request matches. It reads no clock, opens no
//! socket and starts no thread, so that each rule can be tested as a plain function.
//!
//! Modules, from the outside of the fleet inwards:
//!
//! - [`names`] and [`numbers`]: identifiers, each a type of its own;
//! - [`call`]: what a caller asked for and how it ended;
//! - [`announcement`]: what an upstream says of itself;
//! - [`slot`]: the right to send one call to one upstream;
//! - [`ledger`]: the right to run one idempotency key;
//! - [`config`], [`patch`] and [`route`]: the configuration and its changes;
//! - [`report`]: what operators are shown;
//! - [`ports`]: the borders between the crates, as traits;
//! - [`secret`]: what a peer proves itself by;
//! - [`moment`]: time as a value that is passed in.

pub mod announcement;
pub mod call;
pub mod config;
pub mod ledger;
pub mod moment;
pub mod names;
pub mod numbers;
pub mod patch;
pub mod ports;
pub mod report;
pub mod route;
pub mod secret;
pub mod slot;
