//! The grants that are out, exactly.

use super::HeldGrant;
use model::{
    moment::Moment,
    names::UpstreamName,
    numbers::{CallNumber, GrantNumber, IncarnationNumber},
    slot::{GrantId, RequestFingerprint},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// For how long a grant is held beyond its call's deadline when nobody settles it. An entry ends its
/// calls at their deadlines; what is not settled two seconds later belongs to an entry that is gone.
const GRACE: Duration = Duration::from_secs(2);

/// For how long the grants of a lost entry are held. Its connections break when it dies, and an
/// upstream gives up a call whose connection broke; when it was only cut off, its calls may run on.
pub(super) const LOST_ENTRY_HOLD: Duration = Duration::from_secs(5);

/// A grant of this epoch.
#[derive(Clone, Debug)]
pub(super) struct OwnGrant {
    pub(super) entry: u32,
    pub(super) target: u32,
    pub(super) incarnation: IncarnationNumber,
    pub(super) route: usize,
    pub(super) domain: u32,
    pub(super) fingerprint: RequestFingerprint,
    pub(super) call: CallNumber,
    pub(super) attempt: u32,
    /// How many calls ran there when it was given, itself included.
    pub(super) level: u32,
    pub(super) granted: Moment,
    pub(super) ends: Moment,
    pub(super) trial: bool,
}

#[derive(Debug)]
struct EarlierGrant {
    entry: u32,
    upstream: UpstreamName,
    ends: Moment,
}

/// All grants that are out.
#[derive(Debug, Default)]
pub(super) struct GrantBook {
    own: BTreeMap<GrantNumber, OwnGrant>,
    ends: BTreeSet<(Moment, GrantNumber)>,
    earlier: BTreeMap<GrantId, EarlierGrant>,
    /// Settled before they were recounted: a count that was sent earlier must not revive them.
    settled_early: BTreeSet<GrantId>,
    last: GrantNumber,
}

impl GrantBook {
    pub(super) fn last(&self) -> GrantNumber {
        self.last
    }

    pub(super) fn add(&mut self, mut grant: OwnGrant, deadline: Moment) -> GrantNumber {
        self.last = self.last.next();
        grant.ends = deadline + GRACE;
        self.ends.insert((grant.ends, self.last));
        self.own.insert(self.last, grant);
        self.last
    }

    pub(super) fn end(&mut self, number: GrantNumber) -> Option<OwnGrant> {
        let grant = self.own.remove(&number)?;
        self.ends.remove(&(grant.ends, number));
        Some(grant)
    }

    pub(super) fn next_end(&self) -> Option<Moment> {
        self.ends.first().map(|&(ends, _)| ends)
    }

    /// Takes out the next grant that is out of time.
    pub(super) fn take_over(&mut self, now: Moment) -> Option<OwnGrant> {
        let &(_, number) = self.ends.first().filter(|(ends, _)| *ends <= now)?;
        self.end(number)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (GrantNumber, &OwnGrant)> {
        self.own.iter().map(|(&number, grant)| (number, grant))
    }

    /// Counts a grant of an earlier epoch. Returns whether it is new.
    pub(super) fn recount(&mut self, entry: u32, held: &HeldGrant, now: Moment) -> bool {
        if self.settled_early.contains(&held.id) || self.earlier.contains_key(&held.id) {
            return false;
        }
        let ends = now + Duration::from_millis(u64::from(held.left_ms)) + GRACE;
        let upstream = held.upstream.clone();
        self.earlier.insert(held.id.clone(), EarlierGrant { entry, upstream, ends });
        true
    }

    /// Ends a grant of an earlier epoch and returns its upstream.
    pub(super) fn end_earlier(&mut self, id: &GrantId, recounting: bool) -> Option<UpstreamName> {
        let ended = self.earlier.remove(id);
        if ended.is_none() && recounting {
            self.settled_early.insert(id.clone());
        }
        ended.map(|grant| grant.upstream)
    }

    pub(super) fn finish_recount(&mut self) {
        self.settled_early.clear();
    }

    pub(super) fn earlier_on(&self, upstream: &UpstreamName) -> u32 {
        let there = self.earlier.values().filter(|grant| grant.upstream == *upstream);
        u32::try_from(there.count()).unwrap_or(u32::MAX)
    }

    /// Takes out the grants of earlier epochs that are out of time.
    pub(super) fn take_earlier_over(&mut self, now: Moment) -> Vec<UpstreamName> {
        if self.earlier.is_empty() {
            return Vec::new();
        }
        let over = self.earlier.extract_if(.., |_, grant| grant.ends <= now);
        over.map(|(_, grant)| grant.upstream).collect()
    }

    /// Shortens the hold of a lost entry's grants.
    pub(super) fn lose_entry(&mut self, entry: u32, now: Moment) {
        let limit = now + LOST_ENTRY_HOLD;
        for (&number, grant) in &mut self.own {
            if grant.entry == entry && grant.ends > limit {
                self.ends.remove(&(grant.ends, number));
                grant.ends = limit;
                self.ends.insert((limit, number));
            }
        }
        for grant in self.earlier.values_mut().filter(|grant| grant.entry == entry) {
            grant.ends = grant.ends.min(limit);
        }
    }

    pub(super) fn running(&self, fingerprint: RequestFingerprint) -> u32 {
        let same = self.own.values().filter(|grant| grant.fingerprint == fingerprint);
        u32::try_from(same.count()).unwrap_or(u32::MAX)
    }
}
