//! What traffic threads see of the fleet: an immutable view, replaced as a whole.

use std::net::SocketAddr;

use model::names::{MemberName, ServiceName};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A VM that may be a placer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacerCandidate {
    /// Its name.
    pub member: MemberName,
    /// Where the fleet reaches it.
    pub address: SocketAddr,
}

/// The living VMs as of now.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FleetView {
    /// The VMs that may be placers.
    pub candidates: Vec<PlacerCandidate>,
}

impl FleetView {
    /// Picks the placer of a service by rendezvous hashing: when a VM comes or goes, only the
    /// services that it wins or loses move. The hash is the same on each machine and version.
    pub fn placer_of(&self, service: &ServiceName, shard: u32) -> Option<&PlacerCandidate> {
        let weight = |candidate: &&PlacerCandidate| {
            let seed = xxh3_64_with_seed(service.as_str().as_bytes(), u64::from(shard));
            (
                xxh3_64_with_seed(candidate.member.as_str().as_bytes(), seed),
                candidate.member.clone(),
            )
        };
        self.candidates.iter().max_by_key(weight)
    }
}
