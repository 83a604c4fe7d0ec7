//! The messages of gossip.

use crate::{
    fact::{FleetFact, MemberRecord},
    store::FactPrint,
};
use derive::domain;
use model::{names::MemberName, numbers::ConfigNumber};

/// Heartbeat and news for one peer.
#[domain]
pub struct GossipPush {
    /// The sender.
    pub from: MemberName,
    /// The sender's heartbeat, which the echo names.
    pub beat: u64,
    /// The configuration in force at the sender.
    pub number: ConfigNumber,
    /// Whether the sender counts the receiver as lost.
    pub lost: bool,
    /// News.
    pub facts: Vec<FleetFact>,
    /// The prints of what the sender learned a little while ago and the receiver should know by now.
    pub offers: Vec<u64>,
}

/// The echo of a push.
#[domain]
pub struct GossipEcho {
    /// The heartbeat that was heard.
    pub beat: u64,
    /// The configuration in force at the receiver.
    pub number: ConfigNumber,
    /// One bit for each fact, set where it was no news.
    pub known: u64,
    /// Whether the receiver counts the sender as lost.
    pub lost: bool,
    /// Whether the receiver does not know the sender.
    pub stranger: bool,
    /// The offered prints that the receiver lacks.
    pub wanted: Vec<u64>,
}

/// Asks a peer to compare digests.
#[domain]
pub struct DigestAsk {
    /// The sender, which the receiver may not know yet.
    pub from: MemberRecord,
    /// The configuration in force at the sender.
    pub number: ConfigNumber,
    /// Whether facts count that are still on their way by rumour: only for a VM that just started.
    pub fresh: bool,
    /// The sum of each bucket.
    pub sums: Vec<u32>,
}

/// Where two VMs differ.
#[domain]
pub struct DigestAnswer {
    /// The configuration in force at the receiver.
    pub number: ConfigNumber,
    /// Whether the receiver counts the sender as lost.
    pub lost: bool,
    /// Some buckets that differ.
    pub buckets: Vec<u32>,
    /// Whether more differ.
    pub more: bool,
    /// What the receiver holds in them.
    pub prints: Vec<FactPrint>,
}

/// Exchanges the facts that differ.
#[domain]
pub struct SyncAsk {
    /// The sender.
    pub from: MemberName,
    /// What the receiver lacks, or may.
    pub facts: Vec<FleetFact>,
    /// The hashes of the keys that the sender lacks, or may.
    pub wanted: Vec<u64>,
}
