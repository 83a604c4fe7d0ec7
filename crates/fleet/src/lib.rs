//! Between our own processes: membership, announcements, slots, configuration, ledger.
//!
//! One control thread owns all of it ([`driver`]) and publishes what traffic threads need as
//! immutable views ([`view`]). Traffic threads ask for slots and claims through [`handle`].
//!
//! Rules, without input or output; time is passed in:
//!
//! - [`fact`], [`store`], [`rumour`], [`ring`], [`gossip`]: what is spread, and to whom;
//! - [`membership`]: which VMs can be reached;
//! - [`directory`]: which upstreams there are, as soft state under a lease;
//! - [`epoch`], [`asks`], [`grants`], [`settles`]: who places, and who holds which slot;
//! - [`feed`]: which configuration is in force;
//! - [`leader`], [`link_health`]: which replica to ask, and which connection has gone silent.
//!
//! Input and output: [`wire`] the messages, [`hello`], [`link`] and [`server`] the connections,
//! [`entry`], [`replicas`], [`operators`], [`local`] and [`packets`] what the handle does.

pub mod asks;
pub mod directory;
pub mod driver;
pub mod entry;
pub mod epoch;
pub mod fact;
pub mod feed;
pub mod gossip;
pub mod grants;
pub mod handle;
pub mod hello;
pub mod leader;
pub mod link;
pub mod link_health;
pub mod local;
pub mod membership;
pub mod operators;
pub mod packets;
pub mod replicas;
pub mod ring;
pub mod rumour;
pub mod server;
pub mod settings;
pub mod settles;
pub mod store;
pub mod view;
pub mod wire;
