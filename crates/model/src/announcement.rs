//! What an upstream says of itself.

use std::net::SocketAddr;

use crate::{
    names::{DomainName, ServiceName, UpstreamName},
    numbers::IncarnationNumber,
};
use derive::domain;

/// Where an upstream is in its life.
#[domain(value)]
pub enum UpstreamState {
    /// Takes work.
    Serving,
    /// Finishes what it has and takes no more. Final within an incarnation.
    Leaving,
}

/// The announcement of one upstream: soft state under a lease, spread through the whole fleet.
#[domain]
pub struct UpstreamAnnouncement {
    /// The service whose calls it answers.
    pub service: ServiceName,
    /// Its name within the service.
    pub upstream: UpstreamName,
    /// Where it takes calls.
    pub address: SocketAddr,
    /// What it is lost together with.
    pub domain: DomainName,
    /// How many calls it runs at once.
    pub slots: u32,
    /// How many connections it accepts from the whole fleet.
    pub connections: u32,
    /// Where it is in its life.
    pub state: UpstreamState,
    /// Which life of the upstream speaks. A restart has a greater number.
    pub incarnation: IncarnationNumber,
    /// Orders the announcements of one incarnation.
    pub sequence: u64,
    /// For how long the announcement holds without a renewal, in milliseconds.
    pub lease_ms: u32,
    /// How long ago this incarnation began to serve, in milliseconds, when the announcement was
    /// made. A cold upstream is given work slowly.
    pub age_ms: u64,
}

impl UpstreamAnnouncement {
    /// Tells whether this announcement replaces `held`.
    ///
    /// Within one incarnation leaving is final. Without that rule a renewal that was sent before
    /// "leaving" and arrives after it would bring new work to an upstream that is about to end.
    pub fn supersedes(&self, held: &Self) -> bool {
        if self.incarnation != held.incarnation {
            return self.incarnation > held.incarnation;
        }
        match (self.state, held.state) {
            (UpstreamState::Leaving, UpstreamState::Serving) => true,
            (UpstreamState::Serving, UpstreamState::Leaving) => false,
            _ => self.sequence > held.sequence,
        }
    }
}
