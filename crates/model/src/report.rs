//! What operators are shown. The same types are the JSON of the operators' interface.

use std::net::SocketAddr;

use crate::{
    announcement::UpstreamState,
    names::{DomainName, MemberName, ServiceName, UpstreamName},
    numbers::{ConfigNumber, GroupNumber, IncarnationNumber, PlacerEpoch},
};
use derive::domain;

/// How a placer sees an upstream.
#[domain(value)]
pub enum UpstreamHealth {
    /// Takes its full share.
    Healthy,
    /// New; takes a growing share.
    Cold,
    /// Takes no work until its time out ends.
    Ejected,
    /// Takes a few idempotent calls to prove itself.
    Trial,
    /// Takes no new work and will end.
    Leaving,
}

/// One upstream.
#[domain]
pub struct UpstreamRow {
    /// Its service.
    pub service: ServiceName,
    /// Its name.
    pub upstream: UpstreamName,
    /// Where it takes calls.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainName,
    /// What it says of itself.
    pub state: UpstreamState,
    /// How its placer sees it. `None` where the asked VM cannot reach the placer.
    pub health: Option<UpstreamHealth>,
    /// Its slots.
    pub slots: u32,
    /// Slots in use, as its placer counts them.
    pub busy: u32,
    /// Its present life.
    pub incarnation: IncarnationNumber,
    /// How long its lease still runs, in milliseconds.
    pub lease_left_ms: u64,
    /// How long its ejection still lasts, in milliseconds.
    pub ejected_left_ms: u64,
}

/// One placer.
#[domain]
pub struct PlacerRow {
    /// The service.
    pub service: ServiceName,
    /// Which of the service's placers.
    pub shard: u32,
    /// The VM that has the duty.
    pub member: MemberName,
    /// Its epoch.
    pub epoch: PlacerEpoch,
    /// Calls that hold a slot.
    pub busy: u32,
    /// Calls that wait for one.
    pub queued: u32,
    /// Grants since the epoch began.
    pub granted: u64,
    /// Refusals since the epoch began.
    pub refused: u64,
}

/// One VM of the fleet.
#[domain]
pub struct MemberRow {
    /// Its name.
    pub member: MemberName,
    /// Its failure domain.
    pub domain: DomainName,
    /// Where the fleet reaches it.
    pub address: SocketAddr,
    /// Its present life.
    pub incarnation: IncarnationNumber,
    /// Whether both directions between it and the asked VM are proved.
    pub reachable: bool,
    /// How long ago it was last heard, in milliseconds.
    pub heard_ms: u64,
    /// The configuration in force there, as last heard.
    pub in_force: ConfigNumber,
    /// Whether it is stopping as planned.
    pub stopping: bool,
    /// Whether it has a disk and replicates.
    pub replica: bool,
}

/// The capacity of one service.
#[domain]
pub struct CapacityRow {
    /// The service.
    pub service: ServiceName,
    /// Its upstreams that are announced.
    pub upstreams: u32,
    /// Slots of upstreams that take work.
    pub healthy_slots: u32,
    /// Slots of all upstreams announced and not leaving.
    pub announced_slots: u32,
    /// The agreed floor.
    pub floor_slots: u32,
    /// Slots in use, at the 95th percentile of the last minutes.
    pub busy_p95: u32,
    /// Calls refused in the same time for want of a slot.
    pub refused: u64,
    /// How many more upstreams should be switched on.
    pub switch_on: u32,
    /// How many upstreams could be switched off.
    pub may_stay_off: u32,
}

/// How far the present configuration has come.
#[domain]
pub struct StatusReport {
    /// The greatest number known to the asked VM.
    pub accepted: ConfigNumber,
    /// The digest of its content.
    pub digest: u64,
    /// Whether the number was confirmed by the leader while it held its lease.
    pub confirmed: bool,
    /// On how many VMs it is in force.
    pub in_force: u32,
    /// How many VMs there are.
    pub members: u32,
    /// The VMs that lag, with the number in force there.
    pub lagging: Vec<(MemberName, ConfigNumber)>,
    /// The replicated groups, as the asked VM sees them.
    pub groups: Vec<GroupRow>,
}

/// What a replica is in its group.
#[domain(value)]
pub enum ReplicaRole {
    /// Leads.
    Leader,
    /// Follows and votes.
    Follower,
    /// Asks for votes.
    Candidate,
    /// Catches up and does not vote.
    Learner,
    /// The VM holds no replica of the group.
    Absent,
}

/// One replicated group, as one VM sees it.
#[domain]
pub struct GroupRow {
    /// The group.
    pub group: GroupNumber,
    /// The VM's own role.
    pub role: ReplicaRole,
    /// The present term.
    pub term: u64,
    /// The leader, where known.
    pub leader: Option<MemberName>,
    /// The last index known to be committed.
    pub committed: u64,
    /// The replicas that vote.
    pub voters: Vec<MemberName>,
    /// The replicas that catch up.
    pub learners: Vec<MemberName>,
}

/// What one VM knows by itself, without asking another: for its metrics page.
#[domain]
pub struct LocalReport {
    /// The configuration in force there.
    pub number: ConfigNumber,
    /// How many VMs it knows, itself among them.
    pub members: u32,
    /// How many of these are lost.
    pub lost: u32,
    /// The replicas of the VM.
    pub groups: Vec<GroupRow>,
    /// Its placers.
    pub placers: Vec<PlacerRow>,
    /// Their capacity.
    pub capacity: Vec<CapacityRow>,
    /// How many upstreams each of them has out of service, ejected or on trial.
    pub ejected: Vec<(ServiceName, u32)>,
}
