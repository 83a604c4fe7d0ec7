//! What a VM has to learn before it believes that upstreams serve.
//!
//! Failure: all VMs start anew, and an announcement that an upstream made before it left arrives late. Symptom: the
//! upstream gets work again after it was told that it may go. Only the control state still knows then. So a VM that
//! takes announcements has the control VMs list the departures first, a majority of them or their leader; what it hears before is held, and used
//! afterwards if its upstream has not departed. It remembers the departures that it hears from then on.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use crate::fact::{FactKey, upstream_key};
use control::{
    replica::entry::ReplicaId,
    state::departures::{DepartureReport, KEPT},
};
use model::{announcement::UpstreamAnnouncement, moment::Moment, numbers::IncarnationNumber};

/// How many upstreams' announcements are held until the departures are known. Others come again by themselves.
const HELD_LIMIT: usize = 65_536;

/// For how long a departure is remembered: as long as the control state keeps it.
const REMEMBERED: Duration = KEPT;

/// Tells whether these reports hold all departures that were acknowledged before they were asked for: they are of a
/// majority of the voters, by each list of voters that they name.
///
/// Failure: a replica that was away names those who voted once. Symptom: a majority of these knows nothing of what was
/// acknowledged since. One of them has the next list in its log, as a change of voters is committed by both majorities,
/// and that list has to have its majority as well.
pub fn is_complete(reports: &[DepartureReport]) -> bool {
    let has_reported = |voter: &ReplicaId| reports.iter().any(|report| report.replica == *voter);
    let mut lists = reports.iter().map(|report| &report.voters).filter(|list| !list.is_empty());
    let by_majority = |list: &Vec<ReplicaId>| {
        list.iter().filter(|voter| has_reported(voter)).count() * 2 > list.len()
    };
    lists.clone().next().is_some() && lists.all(by_majority)
}

/// The departures that a VM knows of, and the announcements that wait until it knows them.
#[derive(Debug, Default)]
pub struct DepartureMemory {
    known: bool,
    held: BTreeMap<FactKey, UpstreamAnnouncement>,
    departed: BTreeMap<FactKey, IncarnationNumber>,
    ends: VecDeque<(Moment, FactKey, IncarnationNumber)>,
}

impl DepartureMemory {
    /// Tells whether the departures are known that were acknowledged before this VM started.
    pub fn is_known(&self) -> bool {
        self.known
    }

    /// Holds an announcement until they are. `false`: they are known.
    pub fn hold(&mut self, announcement: &UpstreamAnnouncement) -> bool {
        if self.known {
            return false;
        }
        let key = upstream_key(announcement);
        let room = self.held.len() < HELD_LIMIT;
        let replaces = match self.held.get(&key) {
            Some(held) => announcement.supersedes(held),
            None => room,
        };
        if replaces {
            self.held.insert(key, announcement.clone());
        }
        true
    }

    /// Takes the departures that were acknowledged before, and returns what was held meanwhile.
    pub fn recall(
        &mut self,
        departed: &[UpstreamAnnouncement],
        now: Moment,
    ) -> Vec<UpstreamAnnouncement> {
        self.known = true;
        departed.iter().for_each(|announcement| self.note(announcement, now));
        std::mem::take(&mut self.held).into_values().collect()
    }

    /// Remembers a departure.
    pub fn note(&mut self, announcement: &UpstreamAnnouncement, now: Moment) {
        let (key, life) = (upstream_key(announcement), announcement.incarnation);
        let before = self.departed.get(&key);
        if before.is_none_or(|&before| before < life) {
            self.departed.insert(key.clone(), life);
            self.ends.push_back((now + REMEMBERED, key, life));
        }
    }

    /// Tells whether the life that an announcement is of has departed.
    pub fn has_departed(&self, announcement: &UpstreamAnnouncement) -> bool {
        let departed = self.departed.get(&upstream_key(announcement));
        departed.is_some_and(|&life| announcement.incarnation <= life)
    }

    /// Forgets what has been remembered for long enough.
    pub fn expire(&mut self, now: Moment) {
        while let Some((_, key, life)) = self.ends.pop_front_if(|(until, ..)| *until <= now) {
            if self.departed.get(&key) == Some(&life) {
                self.departed.remove(&key);
            }
        }
    }
}
