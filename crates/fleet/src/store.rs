//! The facts that a VM holds, their expiry and their digest.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use crate::fact::{FactKey, FactVersion, FleetFact, NoticeSubject, PlacerNotice};
use model::{moment::Moment, names::ServiceName};

/// For how long an ended upstream or a verdict that clears a VM is kept. Longer than any rumour
/// lives, so that a late one does not bring the earlier state back.
pub const ENDED_KEPT: Duration = Duration::from_secs(60);

/// For how long a dropped fact is remembered by its version alone. A peer whose clock runs a little
/// later still holds the fact, and its repair would bring it back for good otherwise.
pub const DROPPED_KEPT: Duration = Duration::from_secs(120);

/// From which age on a fact counts in digests. Younger ones are still on their way by rumour, and
/// would make each digest differ.
pub const SETTLED_AFTER: Duration = Duration::from_secs(3);

/// What came of a fact that was heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FactReception {
    /// It was new and holds now.
    News,
    /// It was held already.
    Known,
    /// A later one is held, or was.
    Old,
}

#[derive(Debug)]
struct HeldFact {
    fact: FleetFact,
    version: FactVersion,
    key_hash: u64,
    print: u64,
    learned: Moment,
    until: Option<Moment>,
}

/// The hash of a fact's key, and of the key with the version held.
pub type FactPrint = (u64, u64);

/// The facts that a VM holds.
#[derive(Debug, Default)]
pub struct FactStore {
    held: BTreeMap<FactKey, HeldFact>,
    by_hash: HashMap<u64, FactKey>,
    by_print: HashMap<u64, FactKey>,
    /// Expiries, soonest first: looking at each fact each time would cost a VM with 180,000 of them
    /// a tenth of a core.
    ends: BTreeSet<(Moment, FactKey)>,
    dropped: BTreeMap<FactKey, (FactVersion, Moment)>,
}

impl FactStore {
    /// Takes a fact.
    pub fn learn(&mut self, fact: FleetFact, now: Moment) -> FactReception {
        let (key, version) = (fact.key(), fact.version());
        if let Some(held) = self.held.get(&key) {
            if version == held.version {
                return FactReception::Known;
            }
            if version < held.version {
                return FactReception::Old;
            }
        }
        if self.dropped.get(&key).is_some_and(|(dropped, _)| version <= *dropped) {
            return FactReception::Old;
        }
        self.dropped.remove(&key);
        let key_hash = key.hash();
        let print = version.print(key_hash);
        let until = expiry(&fact, now);
        self.forget_held(&key);
        self.by_hash.insert(key_hash, key.clone());
        self.by_print.insert(print, key.clone());
        if let Some(until) = until {
            self.ends.insert((until, key.clone()));
        }
        self.held.insert(key, HeldFact { fact, version, key_hash, print, learned: now, until });
        FactReception::News
    }

    /// Takes the fact of a key out of the indexes.
    fn forget_held(&mut self, key: &FactKey) {
        let Some(held) = self.held.get(key) else { return };
        self.by_hash.remove(&held.key_hash);
        self.by_print.remove(&held.print);
        if let Some(until) = held.until {
            self.ends.remove(&(until, key.clone()));
        }
    }

    /// Returns the fact of a key.
    pub fn get(&self, key: &FactKey) -> Option<&FleetFact> {
        self.held.get(key).map(|held| &held.fact)
    }

    /// Returns since when the present fact of a key is held.
    pub fn learned(&self, key: &FactKey) -> Option<Moment> {
        self.held.get(key).map(|held| held.learned)
    }

    /// Returns the fact of a key as it is sent: with the rest of its expiry.
    pub fn to_send(&self, key: &FactKey, now: Moment) -> Option<FleetFact> {
        let held = self.held.get(key)?;
        match (&held.fact, held.until) {
            (FleetFact::Notice(notice), Some(until)) => {
                let left = u32::try_from(until.since(now).as_millis()).unwrap_or(u32::MAX);
                (left > 0)
                    .then(|| FleetFact::Notice(PlacerNotice { left_ms: left, ..notice.clone() }))
            }
            (fact, _) => Some(fact.clone()),
        }
    }

    /// Returns how long the fact of a key still holds; zero where it has no expiry.
    pub fn left(&self, key: &FactKey, now: Moment) -> Duration {
        let until = self.held.get(key).and_then(|held| held.until);
        until.map_or(Duration::ZERO, |until| until.since(now))
    }

    /// Lists the facts by key.
    pub fn facts(&self) -> impl Iterator<Item = &FleetFact> {
        self.held.values().map(|held| &held.fact)
    }

    /// Lists what the placers of a service have told and what still holds, each with its end, by key.
    ///
    /// Notices are the last of the keys, so the facts about VMs and upstreams are not walked through:
    /// a VM with 180,000 of them opens placers at any time.
    pub fn notices(&self, service: &ServiceName, now: Moment) -> Vec<(&NoticeSubject, Moment)> {
        let last = self.held.iter().rev().map_while(|(key, held)| match key {
            FactKey::Notice(subject) => Some((subject, held)),
            _ => None,
        });
        let holds = |fact: &FleetFact| matches!(fact, FleetFact::Notice(notice) if notice.holds);
        let of_service =
            last.filter(|(subject, held)| subject.service() == service && holds(&held.fact));
        let left = |held: &HeldFact| held.until.map_or(Duration::ZERO, |until| until.since(now));
        let mut notices: Vec<_> =
            of_service.map(|(subject, held)| (subject, now + left(held))).collect();
        notices.reverse();
        notices
    }

    /// Returns how many facts are held.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Tells whether no fact is held.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Drops a fact and remembers its version for a while.
    pub fn drop_fact(&mut self, key: &FactKey, now: Moment) {
        self.forget_held(key);
        if let Some(held) = self.held.remove(key) {
            self.dropped.insert(key.clone(), (held.version, now + DROPPED_KEPT));
        }
    }

    /// Drops what has expired, and returns the keys.
    pub fn expire(&mut self, now: Moment) -> Vec<FactKey> {
        let mut expired = Vec::new();
        while let Some((until, key)) = self.ends.first().cloned() {
            if until > now {
                break;
            }
            self.drop_fact(&key, now);
            expired.push(key);
        }
        self.dropped.retain(|_, (_, until)| *until > now);
        expired
    }

    /// Returns into how many buckets this store is best digested.
    pub fn bucket_count(&self) -> u32 {
        const FACTS_PER_BUCKET: usize = 64;
        let wanted = (self.held.len() / FACTS_PER_BUCKET).next_power_of_two();
        u32::try_from(wanted.clamp(16, 1_024)).expect("at most 1,024")
    }

    /// Digests the settled facts, or all: for each bucket the sum of their prints.
    pub fn digest(&self, buckets: u32, all: bool, now: Moment) -> Vec<u32> {
        let mut sums = vec![0_u32; buckets as usize];
        let settled = |held: &&HeldFact| all || now.since(held.learned) >= SETTLED_AFTER;
        for held in self.held.values().filter(settled) {
            let sum = &mut sums[bucket_of(held.key_hash, buckets)];
            *sum = sum.wrapping_add(fold(held.print));
        }
        sums
    }

    /// Lists the prints of the facts in some buckets.
    pub fn prints(&self, buckets: u32, wanted: &[u32]) -> Vec<FactPrint> {
        let chosen = |held: &&HeldFact| {
            let bucket = bucket_of(held.key_hash, buckets);
            wanted.iter().any(|&one| one as usize == bucket)
        };
        self.held.values().filter(chosen).map(|held| (held.key_hash, held.print)).collect()
    }

    /// Returns the print of the fact of a key, which names its version as well.
    pub fn print(&self, key: &FactKey) -> Option<u64> {
        self.held.get(key).map(|held| held.print)
    }

    /// Returns the key of the fact with a print, if just that version is held.
    pub fn key_of_print(&self, print: u64) -> Option<&FactKey> {
        self.by_print.get(&print)
    }

    /// Returns the key with a hash.
    pub fn key_of(&self, key_hash: u64) -> Option<&FactKey> {
        self.by_hash.get(&key_hash)
    }
}

fn expiry(fact: &FleetFact, now: Moment) -> Option<Moment> {
    match fact {
        FleetFact::Notice(notice) => Some(now + Duration::from_millis(u64::from(notice.left_ms))),
        FleetFact::Upstream(upstream) => upstream.ended.then_some(now + ENDED_KEPT),
        FleetFact::Verdict(verdict) => (!verdict.silent).then_some(now + ENDED_KEPT),
        FleetFact::Member(_) | FleetFact::Duty(_) => None,
    }
}

fn bucket_of(key_hash: u64, buckets: u32) -> usize {
    usize::try_from(key_hash % u64::from(buckets.max(1))).expect("below a u32")
}

fn fold(print: u64) -> u32 {
    let bytes = print.to_le_bytes();
    u32::from_le_bytes([bytes[0], bytes[1], bytes[2], bytes[3]])
}
