//! Between our own processes: membership, announcements, slots, configuration, ledger.
//!
//! One control thread owns all of it ([`driver`]) and publishes what traffic threads need as
//! immutable views ([`view`]). Traffic threads ask for slots through [`handle`].
//!
//! - [`settings`]: what a node is started with;
//! - [`membership`]: which VMs live, by gossip;
//! - [`directory`]: which upstreams there are, as soft state;
//! - [`wire`]: the messages, and [`link`] and [`server`] either end of a connection;
//! - [`hello`] and [`link_health`]: who may connect, and which connection has gone silent.

pub mod directory;
pub mod driver;
pub mod handle;
pub mod hello;
pub mod link;
pub mod link_health;
pub mod membership;
pub mod server;
pub mod settings;
pub mod view;
pub mod wire;
