//! The upstreams of one service, by index, with the free ones in order.

use super::target::{FreeKey, Standing, StartTime, Target, standing_ends};
use crate::limit::SlotLimit;
use model::{
    announcement::{UpstreamAnnouncement, UpstreamState},
    moment::Moment,
    names::{DomainName, UpstreamName},
    numbers::IncarnationNumber,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// For how long a lost upstream is remembered, so that an old announcement cannot revive a leaving
/// one. Far longer than an announcement is under way.
const MEMORY_OF_LOST: Duration = Duration::from_secs(60);

/// Added to the place in the order of an upstream that has evidence against it: it is used when
/// nothing else is free.
const SUSPECT_PENALTY: u32 = 1 << 20;

/// What an announcement changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AnnounceChange {
    /// It was old.
    Nothing,
    /// The lease was renewed, or the slots changed.
    Renewed,
    /// The upstream is new, or was started anew.
    Started,
    /// The upstream had been lost and is back.
    Back,
    /// The upstream leaves.
    Leaving,
}

/// All targets, by index, with the free ones in order for each failure domain.
#[derive(Debug, Default)]
pub(super) struct TargetTable {
    places: Vec<Option<Target>>,
    vacant: Vec<u32>,
    by_name: BTreeMap<UpstreamName, u32>,
    domains: BTreeMap<DomainName, u32>,
    /// For each domain the targets with room, the one to fill next first.
    free: Vec<BTreeSet<(FreeKey, u32)>>,
    leases: BTreeSet<(Moment, u32)>,
    /// When an ejection or a trial ends.
    standings: BTreeSet<(Moment, u32)>,
    ramping: BTreeSet<u32>,
    ramp: Duration,
    room: u32,
    healthy: u32,
    busy: u32,
    uses: u64,
    /// Ejected targets that a call may be tried on.
    trials: BTreeSet<u32>,
    /// Targets on which entries of other domains are asked for a second opinion.
    doubted: BTreeSet<u32>,
    /// While set, only targets that began after this moment are filled.
    only_began_after: Option<Moment>,
}

impl TargetTable {
    pub(super) fn set_ramp(&mut self, ramp: Duration) {
        self.ramp = ramp;
    }

    pub(super) fn ramp(&self) -> Duration {
        self.ramp
    }

    pub(super) fn hold_back(&mut self, since: Option<Moment>, now: Moment) {
        self.only_began_after = since;
        for index in 0..self.places.len() {
            self.refresh(index as u32, now);
        }
    }

    pub(super) fn room(&self) -> u32 {
        self.room
    }

    pub(super) fn busy(&self) -> u32 {
        self.busy
    }

    pub(super) fn domain(&mut self, name: &DomainName) -> u32 {
        if let Some(&index) = self.domains.get(name) {
            return index;
        }
        let index = u32::try_from(self.free.len()).expect("failure domains are few");
        self.free.push(BTreeSet::new());
        self.domains.insert(name.clone(), index);
        index
    }

    pub(super) fn domain_count(&self) -> u32 {
        self.free.len() as u32
    }

    pub(super) fn index(&self, name: &UpstreamName) -> Option<u32> {
        self.by_name.get(name).copied()
    }

    pub(super) fn get(&self, index: u32) -> &Target {
        self.places[index as usize].as_ref().expect("the index is in use")
    }

    pub(super) fn get_mut(&mut self, index: u32) -> &mut Target {
        self.places[index as usize].as_mut().expect("the index is in use")
    }

    /// Lists the targets by name.
    pub(super) fn iter(&self) -> impl Iterator<Item = (u32, &Target)> {
        self.by_name.values().map(|&index| (index, self.get(index)))
    }

    pub(super) fn serving(&self) -> impl Iterator<Item = (u32, &Target)> {
        self.iter().filter(|(_, target)| target.serves())
    }

    /// Returns the announced slots of targets that are neither lost, leaving nor ejected.
    pub(super) fn healthy_slots(&self) -> u32 {
        self.healthy
    }

    /// Returns the same with cold targets counted only as far as they have warmed up.
    pub(super) fn warm_slots(&self, now: Moment) -> u32 {
        let members = self.iter().filter(|(_, target)| target.is_member());
        members.map(|(_, target)| target.warm_slots(self.ramp, now)).sum()
    }

    /// Lists the free targets of a domain, the one to fill next first.
    pub(super) fn free_in(&self, domain: u32) -> impl Iterator<Item = (FreeKey, u32)> {
        self.free[domain as usize].iter().copied()
    }

    /// Tells whether a call could be placed now, on trial at least.
    pub(super) fn any_free(&self) -> bool {
        !self.trials.is_empty() || self.free.iter().any(|free| !free.is_empty())
    }

    /// Tells whether a place in the order is that of a target with evidence against it.
    pub(super) fn is_suspect_key(key: FreeKey) -> bool {
        key.0 >= SUSPECT_PENALTY
    }

    pub(super) fn announce(
        &mut self,
        announcement: &UpstreamAnnouncement,
        now: Moment,
    ) -> (u32, AnnounceChange) {
        let lease_ends = now + Duration::from_millis(u64::from(announcement.lease_ms));
        let Some(index) = self.index(&announcement.upstream) else {
            let index = self.insert(announcement, lease_ends, now);
            return (index, AnnounceChange::Started);
        };
        let domain = self.domain(&announcement.domain);
        let target = self.get_mut(index);
        if !announcement.supersedes(&target.announcement) {
            return (index, AnnounceChange::Nothing);
        }
        let leaves = announcement.state == UpstreamState::Leaving
            && target.announcement.state == UpstreamState::Serving;
        let restarted = announcement.incarnation != target.announcement.incarnation;
        let back = target.lost;
        let old_lease = std::mem::replace(&mut target.lease_ends, lease_ends);
        if let Some(key) = target.free_key.take() {
            let former = target.domain;
            self.free[former as usize].remove(&(key, index));
        }
        let target = self.get_mut(index);
        target.domain = domain;
        target.limit.set_slots(announcement.slots);
        target.lost = false;
        let began = StartTime::of(announcement, now);
        if restarted {
            target.limit = SlotLimit::open(announcement.slots);
            target.began = began;
            target.ramp_from = began;
            target.last_crash = None;
        }
        target.announcement = announcement.clone();
        self.leases.remove(&(old_lease, index));
        self.leases.insert((lease_ends, index));
        self.refresh(index, now);
        let change = match (leaves, restarted, back) {
            (true, _, _) => AnnounceChange::Leaving,
            (_, true, _) => AnnounceChange::Started,
            (_, _, true) => AnnounceChange::Back,
            _ => AnnounceChange::Renewed,
        };
        (index, change)
    }

    fn insert(
        &mut self,
        announcement: &UpstreamAnnouncement,
        lease_ends: Moment,
        now: Moment,
    ) -> u32 {
        let began = StartTime::of(announcement, now);
        let domain = self.domain(&announcement.domain);
        let target = Target {
            announcement: announcement.clone(),
            domain,
            lease_ends,
            lost: false,
            busy: 0,
            limit: SlotLimit::open(announcement.slots),
            standing: Standing::Member,
            ramp_from: began,
            began,
            flaps: 0,
            returned: None,
            badness: 0.0,
            suspect: false,
            doubted_by: None,
            last_crash: None,
            room: 0,
            healthy: 0,
            free_key: None,
            last_used: 0,
        };
        let index = self.vacant.pop().unwrap_or_else(|| {
            self.places.push(None);
            u32::try_from(self.places.len() - 1).expect("upstreams are fewer than 2^32")
        });
        self.places[index as usize] = Some(target);
        self.by_name.insert(announcement.upstream.clone(), index);
        self.leases.insert((lease_ends, index));
        self.refresh(index, now);
        index
    }

    /// Puts a target where it belongs now, after anything about it has changed.
    pub(super) fn refresh(&mut self, index: u32, now: Moment) {
        let (ramp, only_after) = (self.ramp, self.only_began_after);
        let Some(target) = self.places[index as usize].as_mut() else { return };
        let sure = only_after.is_none_or(|opened| target.began >= StartTime::at(opened));
        let allowed = if sure { target.allowed(ramp, now) } else { 0 };
        self.room = self.room - target.room + allowed;
        target.room = allowed;
        let healthy = if target.is_member() { target.announcement.slots } else { 0 };
        self.healthy = self.healthy - target.healthy + healthy;
        target.healthy = healthy;
        if target.is_member() && target.ramp_from.passed(now) < ramp {
            self.ramping.insert(index);
        } else {
            self.ramping.remove(&index);
        }
        // By what runs, so that idle ones are equal however far their limits have come: one that is
        // never used would never grow, and never be judged.
        let filled = target.busy * 1_000 / allowed.max(1);
        let penalty = if target.suspect { SUSPECT_PENALTY } else { 0 };
        let key = (target.busy < allowed).then_some((filled + penalty, target.last_used));
        if target.serves() && matches!(target.standing, Standing::Trial { running: false, .. }) {
            self.trials.insert(index);
        } else {
            self.trials.remove(&index);
        }
        if key == target.free_key {
            return;
        }
        let free = &mut self.free[target.domain as usize];
        if let Some(old) = target.free_key {
            free.remove(&(old, index));
        }
        if let Some(key) = key {
            free.insert((key, index));
        }
        target.free_key = key;
    }

    /// Lets the shares of cold targets grow.
    pub(super) fn grow_ramps(&mut self, now: Moment) {
        let ramping: Vec<u32> = self.ramping.iter().copied().collect();
        for index in ramping {
            self.refresh(index, now);
        }
    }

    /// Takes a slot and returns how many are taken there now.
    pub(super) fn take_slot(&mut self, index: u32, now: Moment) -> u32 {
        self.uses += 1;
        let used = self.uses;
        let target = self.get_mut(index);
        target.busy += 1;
        target.last_used = used;
        let busy = target.busy;
        self.busy += 1;
        self.refresh(index, now);
        busy
    }

    pub(super) fn free_slot(&mut self, index: u32, now: Moment) {
        let target = self.get_mut(index);
        target.busy -= 1;
        self.busy -= 1;
        self.refresh(index, now);
    }

    pub(super) fn stand(&mut self, index: u32, standing: Standing, now: Moment) {
        let before = std::mem::replace(&mut self.get_mut(index).standing, standing);
        if let Some(ends) = standing_ends(before) {
            self.standings.remove(&(ends, index));
        }
        if let Some(ends) = standing_ends(standing) {
            self.standings.insert((ends, index));
        }
        self.refresh(index, now);
    }

    /// Notes which domain alone has seen a target fail.
    pub(super) fn doubt(&mut self, index: u32, domain: Option<u32>) {
        self.get_mut(index).doubted_by = domain;
        if domain.is_some() {
            self.doubted.insert(index);
        } else {
            self.doubted.remove(&index);
        }
    }

    /// Lists the targets with room whose failures only another domain than this one has seen.
    pub(super) fn doubted(&self, domain: u32) -> impl Iterator<Item = u32> {
        self.doubted.iter().copied().filter(move |&index| {
            let target = self.get(index);
            target.free_key.is_some() && target.doubted_by != Some(domain)
        })
    }

    /// Lists the targets that wait for a trial call.
    pub(super) fn trials(&self) -> impl Iterator<Item = u32> {
        self.trials.iter().copied()
    }

    /// Returns the next target whose ejection or trial is over.
    pub(super) fn next_over(&self, now: Moment) -> Option<u32> {
        self.standings.first().filter(|(ends, _)| *ends <= now).map(|&(_, index)| index)
    }

    /// Marks the next target whose lease has run out as lost, or forgets one lost long ago.
    pub(super) fn expire_lease(&mut self, now: Moment) -> Option<u32> {
        let &(ends, index) = self.leases.first().filter(|(ends, _)| *ends <= now)?;
        self.leases.remove(&(ends, index));
        let target = self.get_mut(index);
        if target.lost && target.busy == 0 {
            self.forget(index);
            return self.expire_lease(now);
        }
        let newly = !target.lost;
        target.lost = true;
        target.lease_ends = now + MEMORY_OF_LOST;
        let next = (target.lease_ends, index);
        self.leases.insert(next);
        self.refresh(index, now);
        if newly { Some(index) } else { self.expire_lease(now) }
    }

    fn forget(&mut self, index: u32) {
        if let Some(target) = self.places[index as usize].take() {
            if let Some(ends) = standing_ends(target.standing) {
                self.standings.remove(&(ends, index));
            }
            self.ramping.remove(&index);
            self.trials.remove(&index);
            self.doubted.remove(&index);
            self.room -= target.room;
            self.healthy -= target.healthy;
            self.by_name.remove(&target.announcement.upstream);
            self.vacant.push(index);
        }
    }

    pub(super) fn next_wake(&self) -> Option<Moment> {
        let lease = self.leases.first().map(|&(ends, _)| ends);
        let standing = self.standings.first().map(|&(ends, _)| ends);
        lease.into_iter().chain(standing).min()
    }

    pub(super) fn incarnation(&self, index: u32) -> IncarnationNumber {
        self.get(index).announcement.incarnation
    }
}
