//! The messages between our own processes.

use crate::{
    epoch::PlacerClaim,
    fact::FleetFact,
    feed::ConfigAnswer,
    gossip::{DigestAnswer, DigestAsk, GossipEcho, GossipPush, SyncAsk},
    settles::GrantEnd,
};
use control::{fault::ReplicaFault, packet::ReplicaPacket};
use decide::placer::HeldGrant;
use derive::domain;
use model::{
    announcement::UpstreamAnnouncement,
    call::CallRefusal,
    ledger::{ClaimAnswer, KeyClaim, KeyClose},
    names::{MemberName, ServiceName, UpstreamName},
    numbers::{ConfigNumber, GroupNumber, IncarnationNumber},
    patch::{ConfigPatch, PatchId, PatchRecord, PatchResult},
    ports::ReplicaChange,
    report::{CapacityRow, PlacerRow, UpstreamHealth},
    slot::{GrantId, SlotAsk, SlotGrant},
};
use snafu::Snafu;

/// The version of the messages. Peers of another version are refused.
pub const WIRE_VERSION: u32 = 3;

/// The largest message accepted, in bytes: a whole configuration of 93,000 routes fits.
pub const MESSAGE_LIMIT: usize = 16 * 1024 * 1024;

/// An ask on its way to a placer.
#[domain]
pub struct PlacerAsk {
    /// The entry's VM.
    pub entry: MemberName,
    /// Its present life: what its earlier lives asked for is void.
    pub life: IncarnationNumber,
    /// The placer that the entry obeys. A placer with a lesser claim has lost its duty.
    pub obeyed: Option<PlacerClaim>,
    /// The ask.
    pub ask: SlotAsk,
}

/// Why an ask gave no grant.
#[domain]
#[derive(Snafu)]
pub enum AskFault {
    /// The placer refused the call.
    #[snafu(display("{refusal}"))]
    Refused {
        /// The refusal.
        refusal: CallRefusal,
    },
    /// The asked VM is not the service's placer. Nothing was granted, so asking on is safe.
    #[snafu(display("the asked VM is not the placer of the service"))]
    NotPlacer,
    /// The relay did not reach the placer, or had no answer from it.
    #[snafu(display("the relay had no answer from the placer"))]
    NotRelayed,
}

/// How a placer sees one upstream.
#[domain]
pub struct HealthRow {
    /// The service.
    pub service: ServiceName,
    /// The upstream.
    pub upstream: UpstreamName,
    /// Its health.
    pub health: UpstreamHealth,
    /// Its slots in use.
    pub busy: u32,
    /// How long its ejection still lasts, in milliseconds.
    pub ejected_left_ms: u64,
}

/// The placers of one VM, for operators.
#[domain]
#[derive(Default)]
pub struct PlacerOverview {
    /// The placers.
    pub placers: Vec<PlacerRow>,
    /// Their upstreams.
    pub health: Vec<HealthRow>,
    /// Their capacity.
    pub capacity: Vec<CapacityRow>,
}

/// What each node answers to the others.
#[tarpc::service]
pub trait FleetPeer {
    /// Answers at once, to prove that the connection works.
    async fn ping();
    /// Takes a heartbeat and news, and echoes it.
    async fn gossip(push: GossipPush) -> GossipEcho;
    /// Compares digests.
    async fn digest(ask: DigestAsk) -> DigestAnswer;
    /// Exchanges the facts that differ.
    async fn sync(ask: SyncAsk) -> Vec<FleetFact>;
    /// Takes an announcement as the VM that keeps its lease.
    async fn renew(announcement: UpstreamAnnouncement);
    /// Asks the placer for a slot; answers when there is one or none will be.
    async fn ask(ask: PlacerAsk) -> Result<SlotGrant, AskFault>;
    /// Asks a placer for a slot through the asked VM.
    async fn relay_ask(placer: MemberName, ask: PlacerAsk) -> Result<SlotGrant, AskFault>;
    /// Ends grants and asks.
    async fn end(entry: MemberName, ends: Vec<GrantEnd>);
    /// Ends grants and asks through the asked VM. Tells whether the placer took them.
    async fn relay_end(placer: MemberName, entry: MemberName, ends: Vec<GrantEnd>) -> bool;
    /// Takes grants back whose calls have not begun.
    async fn revoke(grants: Vec<GrantId>);
    /// Has an entry obey a new placer and tell the grants that it holds.
    async fn recount(
        service: ServiceName,
        shard: u32,
        claim: PlacerClaim,
    ) -> Option<Vec<HeldGrant>>;
    /// Returns what leads on from a number.
    async fn config(number: ConfigNumber, whole: bool) -> ConfigAnswer;
    /// Returns the number in force.
    async fn in_force() -> ConfigNumber;
    /// Describes the placers of the asked VM.
    async fn overview() -> PlacerOverview;
    /// Takes what replicas send each other.
    async fn packets(packets: Vec<ReplicaPacket>);
    /// Submits a patch.
    async fn submit(patch: ConfigPatch) -> Result<PatchResult, ReplicaFault>;
    /// Returns the latest number, if the asked VM leads and can prove it.
    async fn confirm() -> Result<ConfigNumber, ReplicaFault>;
    /// Lists accepted patches.
    async fn history(after: ConfigNumber, limit: u32) -> Result<Vec<PatchRecord>, ReplicaFault>;
    /// Returns the first result of a patch.
    async fn patch(id: PatchId) -> Result<Option<PatchResult>, ReplicaFault>;
    /// Claims a key.
    async fn claim(group: GroupNumber, claim: KeyClaim) -> Result<ClaimAnswer, ReplicaFault>;
    /// Closes a claim.
    async fn close(group: GroupNumber, close: KeyClose) -> Result<(), ReplicaFault>;
    /// Changes the replicas of a group.
    async fn change_replicas(group: GroupNumber, change: ReplicaChange)
    -> Result<(), ReplicaFault>;
    /// Begins the planned stop of the asked VM.
    async fn drain();
}
