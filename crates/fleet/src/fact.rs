//! What the fleet spreads: facts, each under a key and with a version.
//!
//! Of two facts with one key the one with the greater version holds, wherever and in whichever order
//! they arrive. So all VMs that have heard the same facts hold the same, and none goes back to an
//! earlier one. What changes with the clock (the rest of an expiry) is not part of a version.

use std::net::SocketAddr;

use crate::epoch::PlacerClaim;
use derive::domain;
use model::{
    announcement::{UpstreamAnnouncement, UpstreamState},
    names::{DomainName, MemberName, ServiceName, UpstreamName},
    numbers::{IncarnationNumber, PlacerEpoch},
    slot::RequestFingerprint,
};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// What a VM says of itself.
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
    /// Orders what it says within that life.
    pub version: u64,
    /// Whether it is stopping as planned.
    pub stopping: bool,
    /// Whether it replicates the control state.
    pub replica: bool,
}

/// What one watcher of a VM has seen of it.
#[domain]
pub struct MemberVerdict {
    /// The VM that is watched.
    pub subject: MemberName,
    /// Its life at that time.
    pub incarnation: IncarnationNumber,
    /// What it had last said of itself. A later word of its own makes the verdict void.
    pub version: u64,
    /// The watcher.
    pub by: MemberName,
    /// Orders the verdicts of one watcher on one version.
    pub sequence: u64,
    /// Whether no echo came back.
    pub silent: bool,
}

/// An upstream as it is spread.
#[domain]
pub struct UpstreamFact {
    /// What it announced.
    pub announcement: UpstreamAnnouncement,
    /// Whether its lease ran out at the VM that keeps it.
    pub ended: bool,
}

/// Who has the duty to place the calls of a service.
#[domain]
pub struct PlacerDuty {
    /// The service.
    pub service: ServiceName,
    /// Which of its placers.
    pub shard: u32,
    /// The epoch.
    pub epoch: PlacerEpoch,
    /// The VM.
    pub member: MemberName,
}

/// What a placer's notice is about.
#[domain(key)]
pub enum NoticeSubject {
    /// An upstream takes no work.
    Ejection {
        /// The service.
        service: ServiceName,
        /// The upstream.
        upstream: UpstreamName,
    },
    /// A request is refused.
    Poison {
        /// The service.
        service: ServiceName,
        /// The request.
        fingerprint: RequestFingerprint,
    },
}

impl NoticeSubject {
    /// Returns the service whose placer may say so.
    pub fn service(&self) -> &ServiceName {
        match self {
            Self::Ejection { service, .. } | Self::Poison { service, .. } => service,
        }
    }
}

/// A decision of a placer that holds fleet-wide for a while.
#[domain]
pub struct PlacerNotice {
    /// What it is about.
    pub subject: NoticeSubject,
    /// The placer's epoch. A notice of an epoch that is over is not obeyed.
    pub epoch: PlacerEpoch,
    /// Orders the notices of one epoch on one subject.
    pub sequence: u64,
    /// Whether it holds, or was taken back.
    pub holds: bool,
    /// For how long it still holds, in milliseconds.
    pub left_ms: u32,
}

impl PlacerNotice {
    /// Tells whether the notice is obeyed by whoever obeys `claim`: not one of an epoch that is over,
    /// whose placer has lost its duty, perhaps without knowing.
    pub fn is_obeyed(&self, claim: Option<&PlacerClaim>) -> bool {
        claim.is_none_or(|claim| self.epoch >= claim.epoch)
    }
}

/// One fact.
#[domain]
pub enum FleetFact {
    /// On a VM, by itself.
    Member(MemberRecord),
    /// On a VM, by a watcher.
    Verdict(MemberVerdict),
    /// On an upstream.
    Upstream(UpstreamFact),
    /// On a placer, by itself.
    Duty(PlacerDuty),
    /// By a placer.
    Notice(PlacerNotice),
}

/// What a fact is about. Of two facts with one key one replaces the other.
#[domain(key)]
pub enum FactKey {
    /// A VM.
    Member(MemberName),
    /// A VM and its watcher.
    Verdict(MemberName, MemberName),
    /// An upstream.
    Upstream(ServiceName, UpstreamName),
    /// A service and which of its placers.
    Duty(ServiceName, u32),
    /// An ejection or a poisonous request. Stays the last: `FactStore::notices` goes by it.
    Notice(NoticeSubject),
}

impl FactKey {
    /// Returns a hash that is the same on each VM.
    pub fn hash(&self) -> u64 {
        xxh3_64(&postcard::to_stdvec(self).expect("keys have a postcard form"))
    }
}

/// Orders the facts of one key. The greater holds.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct FactVersion {
    numbers: [u64; 4],
    /// Breaks a tie of two placers that took one epoch.
    member: Option<MemberName>,
    /// Breaks the last tie, so that the order of arrival never decides.
    content: u64,
}

impl FleetFact {
    /// Returns what the fact is about.
    pub fn key(&self) -> FactKey {
        match self {
            Self::Member(record) => FactKey::Member(record.member.clone()),
            Self::Verdict(verdict) => FactKey::Verdict(verdict.subject.clone(), verdict.by.clone()),
            Self::Upstream(fact) => upstream_key(&fact.announcement),
            Self::Duty(duty) => FactKey::Duty(duty.service.clone(), duty.shard),
            Self::Notice(notice) => FactKey::Notice(notice.subject.clone()),
        }
    }

    /// Returns what orders it among the facts of its key.
    pub fn version(&self) -> FactVersion {
        let member = match self {
            Self::Duty(duty) => Some(duty.member.clone()),
            _ => None,
        };
        FactVersion { numbers: self.numbers(), member, content: self.content() }
    }

    fn numbers(&self) -> [u64; 4] {
        match self {
            Self::Member(record) => [record.incarnation.0, record.version, 0, 0],
            Self::Verdict(verdict) => [verdict.incarnation.0, verdict.version, verdict.sequence, 0],
            Self::Upstream(fact) => {
                let announcement = &fact.announcement;
                // Within one life leaving is final; see `UpstreamAnnouncement::supersedes`.
                let leaving = announcement.state == UpstreamState::Leaving;
                let (life, order) = (announcement.incarnation.0, announcement.sequence);
                [life, leaving.into(), order, fact.ended.into()]
            }
            Self::Duty(duty) => [duty.epoch.0, 0, 0, 0],
            Self::Notice(notice) => [notice.epoch.0, notice.sequence, 0, 0],
        }
    }

    fn content(&self) -> u64 {
        let timeless = match self {
            Self::Notice(notice) => Self::Notice(PlacerNotice { left_ms: 0, ..notice.clone() }),
            other => other.clone(),
        };
        xxh3_64(&postcard::to_stdvec(&timeless).expect("facts have a postcard form"))
    }
}

impl FactVersion {
    /// Returns a hash of a key at this version, the same on each VM.
    pub fn print(&self, key_hash: u64) -> u64 {
        let numbers = self.numbers.map(u64::to_le_bytes).concat();
        xxh3_64_with_seed(&numbers, key_hash ^ self.content)
    }
}

/// Returns the key of an upstream's facts.
pub fn upstream_key(announcement: &UpstreamAnnouncement) -> FactKey {
    FactKey::Upstream(announcement.service.clone(), announcement.upstream.clone())
}
