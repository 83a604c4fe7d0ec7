//! The ring of living VMs: who watches whom, and who tells whom.
//!
//! VMs stand on a ring by the hash of their names. Each watches the [`WATCHED`] that follow it, and
//! tells news to those at distances 1, 2, 4, 8 and so on. So a VM needs about log2 n connections for
//! gossip, news crosses the ring in about log2 n steps, and a loss is seen by three VMs that are
//! spread over the failure domains by the hash.

use model::names::MemberName;
use xxhash_rust::xxh3::xxh3_64;

/// How many VMs each watches. One watcher with a bad path of its own is outvoted by two others.
pub const WATCHED: usize = 3;

/// VMs by the hash of their names.
#[derive(Clone, Debug, Default)]
pub struct MemberRing {
    places: Vec<(u64, MemberName)>,
}

impl MemberRing {
    /// Makes a ring of some VMs.
    pub fn new<'a>(members: impl IntoIterator<Item = &'a MemberName>) -> Self {
        let place = |member: &MemberName| (xxh3_64(member.as_str().as_bytes()), member.clone());
        let mut places: Vec<_> = members.into_iter().map(place).collect();
        places.sort_unstable();
        Self { places }
    }

    /// Returns how many VMs are on the ring.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Tells whether the ring is empty.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Lists the VMs that `member` watches.
    pub fn watched_by(&self, member: &MemberName) -> Vec<MemberName> {
        let steps = 1..=WATCHED.min(self.places.len().saturating_sub(1));
        self.at(member, steps)
    }

    /// Tells whether `watcher` watches `subject`.
    pub fn watches(&self, watcher: &MemberName, subject: &MemberName) -> bool {
        self.watched_by(watcher).contains(subject)
    }

    /// Lists the VMs that `member` tells news: a few at each time, in turn.
    pub fn told_by(&self, member: &MemberName) -> Vec<MemberName> {
        let doubling = std::iter::successors(Some(1_usize), |step| Some(step * 2));
        self.at(member, doubling.take_while(|&step| step < self.places.len()))
    }

    fn at(&self, member: &MemberName, steps: impl Iterator<Item = usize>) -> Vec<MemberName> {
        let hash = xxh3_64(member.as_str().as_bytes());
        let own = self.places.partition_point(|(place, name)| (*place, name) < (hash, member));
        let here = self.places.get(own).is_some_and(|(_, name)| name == member);
        // A VM that is not on the ring stands before the one that follows its place.
        let shift = usize::from(!here);
        steps.map(|step| self.places[(own + step - shift) % self.places.len()].1.clone()).collect()
    }
}
