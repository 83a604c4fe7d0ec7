//! Epochs of placers: which of two placers an entry obeys.
//!
//! The rule, which needs no control VM:
//!
//! - A VM that takes the duty for a service takes an epoch greater than each that it has heard of for
//!   it: by gossip, from asks (each names the epoch that its entry obeys) and from the entries'
//!   answers when it counts their grants.
//! - Two VMs that take one epoch without having heard of each other are ordered by name.
//! - An entry obeys the greatest pair of epoch and name that it has seen, and refuses a grant, a
//!   revocation or an ejection of a lesser one. It needs no clock and no majority: each entry alone
//!   obeys one placer at a time, and all of them the same one as soon as they have heard the same.
//! - A placer that hears of a greater pair than its own has lost its duty. When the fleet's view still
//!   names it, it takes the next epoch instead.

use std::collections::BTreeMap;

use derive::domain;
use model::{
    names::{MemberName, ServiceName},
    numbers::PlacerEpoch,
};

/// A placer and its epoch. The greater is obeyed.
#[domain(key)]
pub struct PlacerClaim {
    /// The epoch.
    pub epoch: PlacerEpoch,
    /// The VM.
    pub member: MemberName,
}

/// The greatest claim seen for each service.
#[derive(Debug, Default)]
pub struct EpochTable {
    seen: BTreeMap<(ServiceName, u32), PlacerClaim>,
}

impl EpochTable {
    /// Takes a claim, and tells whether it is to be obeyed: none greater has been seen.
    pub fn obey(&mut self, service: &ServiceName, shard: u32, claim: &PlacerClaim) -> bool {
        let key = (service.clone(), shard);
        match self.seen.get_mut(&key) {
            Some(seen) if *claim < *seen => return false,
            Some(seen) => *seen = claim.clone(),
            None => drop(self.seen.insert(key, claim.clone())),
        }
        true
    }

    /// Returns the greatest claim seen.
    pub fn seen(&self, service: &ServiceName, shard: u32) -> Option<&PlacerClaim> {
        self.seen.get(&(service.clone(), shard))
    }

    /// Returns the greatest epoch seen, or zero.
    pub fn epoch(&self, service: &ServiceName, shard: u32) -> PlacerEpoch {
        self.seen(service, shard).map_or(PlacerEpoch::default(), |claim| claim.epoch)
    }

    /// Forgets the services that are not configured any more.
    pub fn retain(&mut self, keep: impl Fn(&ServiceName) -> bool) {
        self.seen.retain(|(service, _), _| keep(service));
    }
}
