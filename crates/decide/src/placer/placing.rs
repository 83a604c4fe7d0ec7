//! Which call gets which slot.
//!
//! Load: 36 to 48 entries before a dozen upstreams of 4 to 6 slots. Harm prevented: calls that pile
//! up at one upstream while another idles, which is what entries that only know their own calls do.
//! The placer knows each call in flight, so it fills slots exactly and never more than there are.
//!
//! Order: the entry's own failure domain first, since each border costs milliseconds and ties the
//! call to a second domain's fate; other domains by measured cost when there is no room, or when the
//! own one has become dearer. Within a domain the emptiest, then the one that has rested longest.

use super::{
    AskId, GrantReason, PlacerAction, ServicePlacer,
    grants::OwnGrant,
    queue::WaitingAsk,
    table::TargetTable,
    target::{FreeKey, Standing},
};
use crate::hedge::{HedgeRoom, has_room};
use model::{
    call::RefusalReason,
    moment::Moment,
    slot::{SlotAsk, SlotGrant},
};

/// How many callers' turns are looked at when the first ones cannot use what is free: calls that have
/// tried the free upstream already. More would let a free slot cost a scan of the queue.
const LOOK_AHEAD: usize = 8;

/// A call for which a slot is sought.
#[derive(Clone, Copy, Debug)]
pub(super) struct SlotSeeker<'a> {
    pub(super) ask: &'a SlotAsk,
    pub(super) entry: u32,
    pub(super) domain: u32,
}

type FreeTarget = (FreeKey, u32);

impl ServicePlacer {
    /// Gives free slots to waiting calls until one of the two has run out.
    pub(super) fn place(&mut self, now: Moment, actions: &mut Vec<PlacerAction>) {
        while !self.queue.is_empty() && self.targets.any_free() {
            if !self.place_one(now, actions) {
                return;
            }
        }
    }

    /// Grants or refuses one of the calls whose turn is near. Returns whether it did.
    fn place_one(&mut self, now: Moment, actions: &mut Vec<PlacerAction>) -> bool {
        for nth in 0..LOOK_AHEAD {
            let Some(place) = self.queue.candidate(nth) else { return false };
            if self.queue.get(place).latest_start < now {
                let waiting = self.queue.remove(place);
                self.refuse_late(waiting.id, now, actions);
                return true;
            }
            if let Some((reason, wait)) = self.crash_refusal(place, now, actions) {
                let waiting = self.queue.remove(place);
                self.refuse(waiting.id, reason, wait, actions);
                return true;
            }
            let (entry, domain) = self.place_of(place);
            let seeker = SlotSeeker { ask: &self.queue.get(place).ask, entry, domain };
            if let Some((target, reason)) = self.choose(seeker) {
                let waiting = self.queue.serve(place);
                self.grant(waiting, target, reason, now, actions);
                return true;
            }
        }
        false
    }

    fn crash_refusal(
        &mut self,
        place: u32,
        now: Moment,
        actions: &mut Vec<PlacerAction>,
    ) -> Option<(RefusalReason, std::time::Duration)> {
        let fingerprint = self.queue.get(place).ask.fingerprint;
        let wait = self.poisonous_for(fingerprint, now, actions)?;
        Some((RefusalReason::Poisonous, wait))
    }

    fn place_of(&mut self, place: u32) -> (u32, u32) {
        let waiting = self.queue.get(place);
        (self.entries.of(&waiting.id.entry), self.targets.domain(&waiting.ask.domain))
    }

    pub(super) fn choose(&self, seeker: SlotSeeker<'_>) -> Option<(u32, GrantReason)> {
        if let Some(target) = self.choose_trial(seeker) {
            return Some((target, GrantReason::Trial));
        }
        if let Some(target) = self.choose_doubted(seeker) {
            return Some((target, GrantReason::SecondOpinion));
        }
        let home = self.first_free(seeker, seeker.domain);
        let away = self.cheapest_away(seeker);
        match (home, away) {
            (Some(home), Some(away)) if self.prefers_away(seeker.domain, home, away) => {
                Some((away.1, GrantReason::SpillOver))
            }
            (Some(home), _) => Some((home.1, GrantReason::SameDomain)),
            (None, Some(away)) => Some((away.1, GrantReason::SpillOver)),
            (None, None) => self.choose_again(seeker).map(|target| (target, GrantReason::NoOther)),
        }
    }

    /// Chooses an ejected upstream that waits for a trial. Only the first try of an idempotent call
    /// is used: it can still be run elsewhere.
    fn choose_trial(&self, seeker: SlotSeeker<'_>) -> Option<u32> {
        let ask = seeker.ask;
        if !ask.class.is_idempotent() || ask.attempt != 1 || self.recounting {
            return None;
        }
        self.targets.trials().find(|&target| {
            let trial = self.targets.get(target);
            trial.busy < trial.announcement.slots
                && !self.paths.is_broken(seeker.entry, seeker.domain, target)
        })
    }

    /// Chooses an upstream that only entries of another domain have seen fail: whether this one
    /// reaches it tells a broken path from a broken upstream. As with trials, the call can still be
    /// run elsewhere.
    fn choose_doubted(&self, seeker: SlotSeeker<'_>) -> Option<u32> {
        let ask = seeker.ask;
        if !ask.class.is_idempotent() || ask.attempt != 1 {
            return None;
        }
        self.targets.doubted(seeker.domain).find(|&target| self.suits(seeker, target))
    }

    fn prefers_away(&self, domain: u32, home: FreeTarget, away: FreeTarget) -> bool {
        let suspect = TargetTable::is_suspect_key;
        if suspect(home.0) != suspect(away.0) {
            return suspect(home.0);
        }
        !self.costs.home_is_worth_it(domain, self.targets.get(away.1).domain)
    }

    fn first_free(&self, seeker: SlotSeeker<'_>, domain: u32) -> Option<FreeTarget> {
        self.targets.free_in(domain).find(|&(_, target)| self.suits(seeker, target))
    }

    fn cheapest_away(&self, seeker: SlotSeeker<'_>) -> Option<FreeTarget> {
        let others = (0..self.targets.domain_count()).filter(|&domain| domain != seeker.domain);
        let free = others.filter_map(|domain| Some((domain, self.first_free(seeker, domain)?)));
        let least = free.min_by_key(|&(domain, (key, _))| {
            let cost = self.costs.quarters(seeker.domain, domain);
            (TargetTable::is_suspect_key(key), cost, key)
        });
        least.map(|(_, target)| target)
    }

    fn suits(&self, seeker: SlotSeeker<'_>, target: u32) -> bool {
        !self.paths.is_broken(seeker.entry, seeker.domain, target)
            && !self.has_tried(seeker, target)
    }

    fn has_tried(&self, seeker: SlotSeeker<'_>, target: u32) -> bool {
        let avoid = &seeker.ask.avoid;
        !avoid.is_empty() && avoid.contains(&self.targets.get(target).announcement.upstream)
    }

    /// Chooses among upstreams already tried, where the service has no other that could come free.
    fn choose_again(&self, seeker: SlotSeeker<'_>) -> Option<u32> {
        let mut members = self.targets.iter().filter(|(_, target)| target.is_member());
        if members.any(|(target, _)| self.suits(seeker, target)) {
            return None;
        }
        let domains = 0..self.targets.domain_count();
        let free = domains.flat_map(|domain| self.targets.free_in(domain));
        free.min().map(|(_, target)| target)
    }

    pub(super) fn grant(
        &mut self,
        waiting: WaitingAsk,
        target: u32,
        reason: GrantReason,
        now: Moment,
        actions: &mut Vec<PlacerAction>,
    ) {
        let trial = reason == GrantReason::Trial;
        if trial {
            self.begin_trial_call(target, now);
        }
        let level = self.targets.take_slot(target, now);
        self.capacity.note_busy(self.targets.busy(), now);
        self.suspects.start(waiting.ask.fingerprint);
        let own = self.own_grant(&waiting, target, level, trial, now);
        let hedge_after_us = self.hedge_after_us(&waiting.ask, own.route);
        let number = self.grants.add(own, waiting.deadline);
        let announcement = &self.targets.get(target).announcement;
        let grant = SlotGrant {
            id: self.grant_id(number),
            upstream: announcement.upstream.clone(),
            address: announcement.address,
            connections: announcement.connections,
            waited_us: u64::try_from(now.since(waiting.since).as_micros()).unwrap_or(u64::MAX),
            trial,
            hedge_after_us,
        };
        let (service, queued) = (self.settings.service.clone(), self.queued());
        actions.push(PlacerAction::Grant { to: waiting.id, service, grant, reason, queued });
    }

    fn own_grant(
        &mut self,
        waiting: &WaitingAsk,
        target: u32,
        level: u32,
        trial: bool,
        now: Moment,
    ) -> OwnGrant {
        OwnGrant {
            entry: self.entries.of(&waiting.id.entry),
            target,
            incarnation: self.targets.incarnation(target),
            route: self.routes.of(&waiting.ask.route) as usize,
            domain: self.targets.domain(&waiting.ask.domain),
            fingerprint: waiting.ask.fingerprint,
            call: waiting.ask.call,
            attempt: waiting.ask.attempt,
            level,
            granted: now,
            ends: now,
            trial,
        }
    }

    /// Returns when a second try is worth a slot: see [`crate::hedge`].
    fn hedge_after_us(&self, ask: &SlotAsk, route: usize) -> u64 {
        let slots = self.targets.room();
        let free = slots.saturating_sub(self.targets.busy());
        let room = HedgeRoom { free, slots, queued: self.queued() };
        if !self.settings.rule.hedge || !ask.class.is_idempotent() || !has_room(room) {
            return 0;
        }
        self.detector.times(route).map_or(0, |times| times.p95)
    }

    /// Takes back the grants on an upstream that are not in use yet. The entry knows which.
    pub(super) fn revoke_unused(&self, target: u32, actions: &mut Vec<PlacerAction>) {
        for (number, grant) in self.grants.iter() {
            if grant.target == target
                && let Some(entry) = self.entry_name(grant.entry)
            {
                actions.push(PlacerAction::Revoke { entry, id: self.grant_id(number) });
            }
        }
    }

    fn entry_name(&self, entry: u32) -> Option<model::names::MemberName> {
        let mut names = self.entries.0.iter();
        names.find(|(_, index)| **index == entry).map(|(name, _)| name.clone())
    }

    /// Makes what waits of an ask.
    pub(super) fn waiting(&mut self, id: AskId, ask: SlotAsk, now: Moment) -> WaitingAsk {
        let deadline = now + std::time::Duration::from_millis(u64::from(ask.within_ms));
        let latest_start = self.latest_start(&ask, now, deadline);
        WaitingAsk { id, ask, since: now, deadline, latest_start }
    }

    pub(super) fn standing_of(&self, target: u32) -> Standing {
        self.targets.get(target).standing
    }
}
