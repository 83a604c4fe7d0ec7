//! The messages between our own processes.

use std::net::SocketAddr;

use derive::domain;
use model::{
    announcement::UpstreamAnnouncement,
    call::CallRefusal,
    config::ConfigImage,
    ledger::{ClaimAnswer, KeyClaim, KeyClose},
    names::{DomainName, MemberName},
    numbers::{CallNumber, ConfigNumber, IncarnationNumber},
    patch::{ConfigPatch, PatchId, PatchRecord, PatchResult},
    ports::ControlFault,
    slot::{SlotAsk, SlotGrant, SlotSettle},
};
use snafu::Snafu;

/// The version of the messages. Peers of another version are refused.
pub const WIRE_VERSION: u32 = 2;

/// The largest message accepted, in bytes.
pub const MESSAGE_LIMIT: usize = 16 * 1024 * 1024;

/// What the fleet knows of one VM.
#[domain]
pub struct MemberRecord {
    /// Its name.
    pub member: MemberName,
    /// Its failure domain.
    pub domain: DomainName,
    /// Where the fleet reaches it.
    pub address: SocketAddr,
    /// Its present life.
    pub incarnation: IncarnationNumber,
    /// Counts up while it lives.
    pub heartbeat: u64,
    /// The configuration in force there.
    pub in_force: ConfigNumber,
    /// Whether it is stopping as planned.
    pub stopping: bool,
    /// Whether it replicates the control state.
    pub replica: bool,
}

/// An announcement on its way, with the rest of its lease.
#[domain]
pub struct SpreadAnnouncement {
    /// The announcement.
    pub announcement: UpstreamAnnouncement,
    /// The rest of its lease, in milliseconds.
    pub left_ms: u32,
}

/// What two nodes tell each other.
#[domain]
pub struct GossipMessage {
    /// The sender.
    pub from: MemberName,
    /// The members it knows.
    pub members: Vec<MemberRecord>,
    /// The upstreams it knows.
    pub announcements: Vec<SpreadAnnouncement>,
    /// The configuration in force at the sender, where the receiver is behind.
    pub config: Option<ConfigImage>,
}

/// Why an ask gave no grant.
#[domain]
#[derive(Copy, Snafu)]
pub enum AskFault {
    /// The placer refused the call.
    #[snafu(display("{refusal}"))]
    Refused {
        /// The refusal.
        refusal: CallRefusal,
    },
    /// The asked VM is not the service's placer.
    #[snafu(display("the asked VM is not the placer of the service"))]
    NotPlacer,
}

/// What each node answers to the others.
#[tarpc::service]
pub trait FleetPeer {
    /// Exchanges what both know.
    async fn gossip(message: GossipMessage) -> GossipMessage;
    /// Asks the placer for a slot; answers when there is one or none will be.
    async fn ask(entry: MemberName, ask: SlotAsk) -> Result<SlotGrant, AskFault>;
    /// Gives up an ask.
    async fn cancel(entry: MemberName, call: CallNumber, attempt: u32);
    /// Ends grants.
    async fn settle(settles: Vec<SlotSettle>);
    /// Submits a patch.
    async fn submit(patch: ConfigPatch) -> Result<PatchResult, ControlFault>;
    /// Lists accepted patches.
    async fn history(after: ConfigNumber, limit: u32) -> Result<Vec<PatchRecord>, ControlFault>;
    /// Returns the first result of a patch.
    async fn patch(id: PatchId) -> Result<Option<PatchResult>, ControlFault>;
    /// Claims a key.
    async fn claim(claim: KeyClaim) -> Result<ClaimAnswer, ControlFault>;
    /// Closes a claim.
    async fn close(close: KeyClose) -> Result<(), ControlFault>;
    /// Begins the planned stop of the asked VM.
    async fn drain();
    /// Answers at once, to prove that the connection works.
    async fn ping();
}
