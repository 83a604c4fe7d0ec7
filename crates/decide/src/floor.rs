//! The entry's own guard of the floor.
//!
//! Load: a placer that was cut off, paused or is plainly wrong names one upstream after another as
//! ejected. Harm prevented: entries that obey it blindly starve the service. The placer guards the
//! floor by what it sees; this guard does so again by what the entry sees, so one of the two can be
//! wrong without harm. Reason for the limit: the floor is the operators' own figure, in slots.

use model::{
    announcement::{UpstreamAnnouncement, UpstreamState},
    moment::Moment,
    names::UpstreamName,
};
use std::{collections::BTreeMap, time::Duration};

#[derive(Debug)]
struct GuardedUpstream {
    announcement: UpstreamAnnouncement,
    lease_ends: Moment,
    out_until: Moment,
}

impl GuardedUpstream {
    fn serves(&self, now: Moment) -> bool {
        self.announcement.state == UpstreamState::Serving && self.lease_ends > now
    }
}

/// Decides at an entry which ejections of one service hold.
#[derive(Debug)]
pub struct FloorGuard {
    floor_slots: u32,
    upstreams: BTreeMap<UpstreamName, GuardedUpstream>,
}

impl FloorGuard {
    /// Makes a guard of a service with this floor.
    pub fn new(floor_slots: u32) -> Self {
        Self { floor_slots, upstreams: BTreeMap::new() }
    }

    /// Follows a change of the floor.
    pub fn set_floor(&mut self, floor_slots: u32, now: Moment) {
        self.floor_slots = floor_slots;
        self.keep_floor(now);
    }

    /// Takes an announcement. Returns whether it was news.
    pub fn announce(&mut self, announcement: &UpstreamAnnouncement, now: Moment) -> bool {
        let lease_ends = now + Duration::from_millis(u64::from(announcement.lease_ms));
        let held = self.upstreams.get_mut(&announcement.upstream);
        match held {
            Some(held) if !announcement.supersedes(&held.announcement) => return false,
            Some(held) => {
                if announcement.incarnation != held.announcement.incarnation {
                    held.out_until = Moment::ZERO;
                }
                held.announcement = announcement.clone();
                held.lease_ends = lease_ends;
            }
            None => {
                let announcement = announcement.clone();
                let name = announcement.upstream.clone();
                let out_until = Moment::ZERO;
                self.upstreams
                    .insert(name, GuardedUpstream { announcement, lease_ends, out_until });
            }
        }
        self.keep_floor(now);
        true
    }

    /// Applies an ejection unless it would take this entry's view below the floor, or to nothing.
    /// Returns whether it holds.
    pub fn eject(&mut self, upstream: &UpstreamName, until: Moment, now: Moment) -> bool {
        let left = self.healthy_slots(now);
        let Some(held) = self.upstreams.get_mut(upstream) else { return false };
        if held.out_until > now {
            held.out_until = held.out_until.max(until);
            return true;
        }
        let own = if held.serves(now) { held.announcement.slots } else { 0 };
        if left - own < self.floor_slots.max(1) {
            return false;
        }
        held.out_until = until;
        true
    }

    /// Ends an ejection.
    pub fn restore(&mut self, upstream: &UpstreamName) {
        if let Some(held) = self.upstreams.get_mut(upstream) {
            held.out_until = Moment::ZERO;
        }
    }

    /// Forgets what is long gone and lifts ejections that the floor does not allow any more.
    pub fn tick(&mut self, now: Moment) {
        self.upstreams.retain(|_, held| held.lease_ends + MEMORY_OF_LOST > now);
        self.keep_floor(now);
    }

    /// Tells whether an upstream may be given work.
    pub fn may_use(&self, upstream: &UpstreamName, now: Moment) -> bool {
        let held = self.upstreams.get(upstream);
        held.is_some_and(|held| held.serves(now) && held.out_until <= now)
    }

    /// Lists the upstreams that may be given work.
    pub fn usable(&self, now: Moment) -> impl Iterator<Item = &UpstreamAnnouncement> {
        let usable = move |held: &&GuardedUpstream| held.serves(now) && held.out_until <= now;
        self.upstreams.values().filter(usable).map(|held| &held.announcement)
    }

    /// Lists the upstreams that serve, ejected or not, by name.
    pub fn serving(&self, now: Moment) -> impl Iterator<Item = &UpstreamAnnouncement> {
        let serving = move |held: &&GuardedUpstream| held.serves(now);
        self.upstreams.values().filter(serving).map(|held| &held.announcement)
    }

    /// Returns the slots of upstreams that may be given work.
    pub fn healthy_slots(&self, now: Moment) -> u32 {
        self.usable(now).map(|announcement| announcement.slots).sum()
    }

    /// Lifts the ejections that end first until the floor holds again: what is about to be tried
    /// anyway is the least risk.
    fn keep_floor(&mut self, now: Moment) {
        while self.healthy_slots(now) < self.floor_slots.max(1) {
            let out = self.upstreams.values_mut().filter(|u| u.serves(now) && u.out_until > now);
            let Some(first) = out.min_by_key(|held| held.out_until) else { return };
            first.out_until = Moment::ZERO;
        }
    }
}

/// For how long a lost upstream is remembered, so that an old announcement cannot revive a leaving
/// one. Far longer than an announcement is under way.
const MEMORY_OF_LOST: Duration = Duration::from_secs(60);
