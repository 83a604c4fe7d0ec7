//! What traffic threads see of the fleet: an immutable view, replaced as a whole.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::{Mutex, PoisonError},
};

use model::{
    names::{MemberName, ServiceName},
    numbers::IncarnationNumber,
};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// One VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ViewMember {
    /// Where the fleet reaches it.
    pub address: SocketAddr,
    /// Its present life.
    pub incarnation: IncarnationNumber,
    /// Whether it can be reached, by the verdicts of its watchers.
    pub reachable: bool,
    /// Whether it is stopping as planned.
    pub stopping: bool,
    /// Whether it replicates the control state.
    pub replica: bool,
}

/// A VM that may be a placer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacerCandidate {
    /// Its name.
    pub member: MemberName,
    /// Where the fleet reaches it.
    pub address: SocketAddr,
    hash: u64,
}

/// The VMs as of now.
#[derive(Debug, Default)]
pub struct FleetView {
    members: BTreeMap<MemberName, ViewMember>,
    candidates: Vec<PlacerCandidate>,
    /// The placers that were looked up in this view.
    found: Mutex<HashMap<(ServiceName, u32), usize>>,
}

impl PartialEq for FleetView {
    fn eq(&self, other: &Self) -> bool {
        self.members == other.members
    }
}

impl FleetView {
    /// Makes a view. Candidates for placers are the VMs that can be reached and are not stopping.
    pub fn new(members: BTreeMap<MemberName, ViewMember>) -> Self {
        let serving = members.iter().filter(|(_, member)| member.reachable && !member.stopping);
        let candidates = serving.map(|(name, member)| PlacerCandidate {
            member: name.clone(),
            address: member.address,
            hash: xxh3_64(name.as_str().as_bytes()),
        });
        let candidates = candidates.collect();
        Self { members, candidates, found: Mutex::default() }
    }

    /// Lists the VMs that may be placers.
    pub fn candidates(&self) -> &[PlacerCandidate] {
        &self.candidates
    }

    /// Lists all VMs.
    pub fn members(&self) -> &BTreeMap<MemberName, ViewMember> {
        &self.members
    }

    /// Returns one VM.
    pub fn member(&self, name: &MemberName) -> Option<&ViewMember> {
        self.members.get(name)
    }

    /// Lists the VMs that can be reached.
    pub fn reachable(&self) -> impl Iterator<Item = (&MemberName, &ViewMember)> {
        self.members.iter().filter(|(_, member)| member.reachable)
    }

    /// Picks the placer of a service by rendezvous hashing: when a VM comes or goes, only the
    /// services that it wins or loses move. The hash is the same on each machine and version.
    pub fn placer_of(&self, service: &ServiceName, shard: u32) -> Option<&PlacerCandidate> {
        let mut found = self.found.lock().unwrap_or_else(PoisonError::into_inner);
        let key = (service.clone(), shard);
        if let Some(&place) = found.get(&key) {
            return self.candidates.get(place);
        }
        let seed = xxh3_64_with_seed(service.as_str().as_bytes(), u64::from(shard));
        let weight = |(_, candidate): &(usize, &PlacerCandidate)| {
            (xxh3_64_with_seed(&candidate.hash.to_le_bytes(), seed), candidate.hash)
        };
        let (place, winner) = self.candidates.iter().enumerate().max_by_key(weight)?;
        found.insert(key, place);
        Some(winner)
    }

    /// Picks a VM through which `placer` may be reached: neither of the two ends, another one for
    /// each number drawn.
    pub fn relay(
        &self,
        own: &MemberName,
        placer: &MemberName,
        drawn: u64,
    ) -> Option<&PlacerCandidate> {
        let between =
            |candidate: &&PlacerCandidate| candidate.member != *own && candidate.member != *placer;
        let count = self.candidates.iter().filter(between).count();
        let chosen = drawn.checked_rem(count as u64)?;
        self.candidates.iter().filter(between).nth(usize::try_from(chosen).ok()?)
    }
}
