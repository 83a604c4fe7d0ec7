//! The placer of one service: exact counts of calls in flight, one queue, one guard of the floor.
//!
//! The placer is a value that turns events into actions. Whoever drives it carries the actions out:
//! it sends the grants and refusals, and writes a log line for each decision.

mod action;

pub use action::{AskId, EjectReason, GrantReason, HeldGrant, PlacerAction, ReturnReason};

use std::collections::BTreeMap;

use crate::poison::PoisonList;
use model::{
    announcement::{UpstreamAnnouncement, UpstreamState},
    call::{CallRefusal, RefusalReason},
    config::ServiceRule,
    moment::Moment,
    names::{MemberName, ServiceName, UpstreamName},
    numbers::{GrantNumber, PlacerEpoch},
    report::{CapacityRow, PlacerRow, UpstreamHealth},
    slot::{GrantId, RequestFingerprint, SlotAsk, SlotGrant, SlotSettle},
};
use std::time::Duration;

/// What a placer is started with.
#[derive(Clone, Debug)]
pub struct PlacerSettings {
    /// The service.
    pub service: ServiceName,
    /// Which of the service's placers.
    pub shard: u32,
    /// The VM that has the duty.
    pub member: MemberName,
    /// The epoch, greater than each earlier one of the service.
    pub epoch: PlacerEpoch,
    /// The service's rule.
    pub rule: ServiceRule,
    /// Seeds what is drawn.
    pub seed: u64,
}

#[derive(Debug)]
struct TargetState {
    announcement: UpstreamAnnouncement,
    until: Moment,
    busy: u32,
}

impl TargetState {
    fn has_room(&self) -> bool {
        self.announcement.state == UpstreamState::Serving && self.busy < self.announcement.slots
    }
}

#[derive(Debug)]
struct WaitingAsk {
    id: AskId,
    ask: SlotAsk,
    since: Moment,
}

/// The placer of one service.
#[derive(Debug)]
pub struct ServicePlacer {
    settings: PlacerSettings,
    targets: BTreeMap<UpstreamName, TargetState>,
    /// Ordered by deadline, so that the call with the least time left is placed first.
    queue: BTreeMap<(Moment, AskId), WaitingAsk>,
    granted: BTreeMap<GrantNumber, (MemberName, UpstreamName)>,
    last: GrantNumber,
    refused: u64,
    /// Grants of earlier epochs that entries still hold.
    recounted: BTreeMap<GrantId, (MemberName, UpstreamName, Moment)>,
    poison: PoisonList,
}

impl ServicePlacer {
    /// Opens a placer without upstreams.
    pub fn open(settings: PlacerSettings) -> Self {
        Self {
            settings,
            targets: BTreeMap::new(),
            queue: BTreeMap::new(),
            granted: BTreeMap::new(),
            last: GrantNumber(0),
            refused: 0,
            recounted: BTreeMap::new(),
            poison: PoisonList::default(),
        }
    }

    /// Follows a change of the service's rule.
    pub fn set_rule(&mut self, rule: &ServiceRule) {
        self.settings.rule = rule.clone();
    }

    /// Counts grants of earlier epochs that an entry still holds.
    pub fn recount(
        &mut self,
        entry: &MemberName,
        held: &[HeldGrant],
        now: Moment,
        _actions: &mut Vec<PlacerAction>,
    ) {
        for grant in held {
            let until = now + Duration::from_millis(u64::from(grant.left_ms));
            let value = (entry.clone(), grant.upstream.clone(), until);
            if self.recounted.insert(grant.id.clone(), value).is_none()
                && let Some(target) = self.targets.get_mut(&grant.upstream)
            {
                target.busy += 1;
            }
        }
    }

    /// Ends the recount: each living entry has told what it holds.
    pub fn finish_recount(&mut self, now: Moment, actions: &mut Vec<PlacerAction>) {
        self.place(now, actions);
    }

    /// Drops the queued asks of a lost entry. Its grants are held until their calls' deadlines, for a
    /// bounded time, since its calls may still run.
    pub fn lose_entry(&mut self, entry: &MemberName, now: Moment, actions: &mut Vec<PlacerAction>) {
        self.queue.retain(|(_, id), _| id.entry != *entry);
        self.place(now, actions);
    }

    /// Refuses a request until a moment, as another placer decided.
    pub fn poison(&mut self, fingerprint: RequestFingerprint, until: Moment) {
        self.poison.add(fingerprint, until);
    }

    /// Takes an announcement.
    pub fn announce(
        &mut self,
        announcement: &UpstreamAnnouncement,
        now: Moment,
        actions: &mut Vec<PlacerAction>,
    ) {
        let name = announcement.upstream.clone();
        let until = now + Duration::from_millis(u64::from(announcement.lease_ms));
        match self.targets.get_mut(&name) {
            Some(target) if !announcement.supersedes(&target.announcement) => return,
            Some(target) => {
                target.announcement = announcement.clone();
                target.until = until;
            }
            None => {
                let announcement = announcement.clone();
                self.targets.insert(name.clone(), TargetState { announcement, until, busy: 0 });
            }
        }
        if announcement.state == UpstreamState::Leaving {
            self.revoke(&name, actions);
        }
        self.place(now, actions);
    }

    /// Takes an ask: grants, refuses or queues it.
    pub fn ask(
        &mut self,
        entry: MemberName,
        ask: SlotAsk,
        now: Moment,
        actions: &mut Vec<PlacerAction>,
    ) {
        let id = AskId { entry, call: ask.call, attempt: ask.attempt };
        if self.poison.refused_until(ask.fingerprint, now).is_some() {
            return self.refuse(id, RefusalReason::Poisonous, actions);
        }
        if self.targets.is_empty() {
            return self.refuse(id, RefusalReason::NoUpstream, actions);
        }
        if self.queue.len() >= self.settings.rule.queue_limit as usize {
            return self.refuse(id, RefusalReason::Saturated, actions);
        }
        let deadline = now + Duration::from_millis(u64::from(ask.within_ms));
        self.queue.insert((deadline, id.clone()), WaitingAsk { id, ask, since: now });
        self.place(now, actions);
    }

    /// Forgets an ask that its entry gave up.
    pub fn cancel(&mut self, id: &AskId) {
        self.queue.retain(|(_, other), _| other != id);
    }

    /// Ends a grant. A grant of another epoch, or one that has ended, changes nothing.
    pub fn settle(&mut self, settle: &SlotSettle, now: Moment, actions: &mut Vec<PlacerAction>) {
        let own =
            settle.id.epoch == self.settings.epoch && settle.id.granter == self.settings.member;
        let ended = if own {
            self.granted.remove(&settle.id.number).map(|(_, upstream)| upstream)
        } else {
            self.recounted.remove(&settle.id).map(|(_, upstream, _)| upstream)
        };
        let Some(upstream) = ended else { return };
        if let Some(target) = self.targets.get_mut(&upstream) {
            target.busy = target.busy.saturating_sub(1);
        }
        self.place(now, actions);
    }

    /// Lets leases and deadlines run out.
    pub fn tick(&mut self, now: Moment, actions: &mut Vec<PlacerAction>) {
        self.targets.retain(|_, target| target.until > now);
        while let Some((key, _)) = self.queue.first_key_value() {
            if key.0 > now {
                break;
            }
            let key = key.clone();
            self.queue.remove(&key);
            self.refuse(key.1, RefusalReason::DeadlineTooShort, actions);
        }
        self.place(now, actions);
    }

    /// Returns when [`Self::tick`] is due next.
    pub fn next_wake(&self) -> Option<Moment> {
        let lease = self.targets.values().map(|target| target.until).min();
        let deadline = self.queue.first_key_value().map(|(key, _)| key.0);
        lease.into_iter().chain(deadline).min()
    }

    /// Returns what operators are shown of the placer.
    pub fn row(&self) -> PlacerRow {
        PlacerRow {
            service: self.settings.service.clone(),
            shard: self.settings.shard,
            member: self.settings.member.clone(),
            epoch: self.settings.epoch,
            busy: self.targets.values().map(|target| target.busy).sum(),
            queued: u32::try_from(self.queue.len()).unwrap_or(u32::MAX),
            granted: self.last.0,
            refused: self.refused,
        }
    }

    /// Lists health, slots in use and the rest of an ejection in milliseconds for each upstream.
    pub fn health(&self) -> impl Iterator<Item = (&UpstreamName, UpstreamHealth, u32, u64)> {
        self.targets.iter().map(|(name, target)| {
            let health = match target.announcement.state {
                UpstreamState::Serving => UpstreamHealth::Healthy,
                UpstreamState::Leaving => UpstreamHealth::Leaving,
            };
            (name, health, target.busy, 0)
        })
    }

    /// Tells whether the running capacity is enough.
    pub fn capacity(&self) -> CapacityRow {
        let slots = self.targets.values().map(|target| target.announcement.slots).sum();
        CapacityRow {
            service: self.settings.service.clone(),
            upstreams: u32::try_from(self.targets.len()).unwrap_or(u32::MAX),
            healthy_slots: slots,
            announced_slots: slots,
            floor_slots: self.settings.rule.floor_slots,
            busy_p95: self.targets.values().map(|target| target.busy).sum(),
            refused: self.refused,
            switch_on: 0,
            may_stay_off: 0,
        }
    }

    fn place(&mut self, now: Moment, actions: &mut Vec<PlacerAction>) {
        while let Some((key, waiting)) = self.queue.first_key_value() {
            let Some(name) = self.choose(&waiting.ask) else { return };
            let key = key.clone();
            let waiting = self.queue.remove(&key).expect("the first entry is there");
            self.grant(&name, &waiting, now, actions);
        }
    }

    fn choose(&self, ask: &SlotAsk) -> Option<UpstreamName> {
        let free = || self.targets.iter().filter(|(_, target)| target.has_room());
        let fresh = free().filter(|(name, _)| !ask.avoid.contains(name));
        let least = fresh.min_by_key(|(_, target)| target.busy);
        least.or_else(|| free().min_by_key(|(_, target)| target.busy)).map(|(name, _)| name.clone())
    }

    fn grant(
        &mut self,
        name: &UpstreamName,
        waiting: &WaitingAsk,
        now: Moment,
        actions: &mut Vec<PlacerAction>,
    ) {
        self.last = self.last.next();
        let target = self.targets.get_mut(name).expect("chosen among the targets");
        target.busy += 1;
        self.granted.insert(self.last, (waiting.id.entry.clone(), name.clone()));
        let id = GrantId {
            granter: self.settings.member.clone(),
            epoch: self.settings.epoch,
            number: self.last,
        };
        let grant = SlotGrant {
            id,
            upstream: name.clone(),
            address: target.announcement.address,
            connections: target.announcement.connections,
            waited_us: u64::try_from(now.since(waiting.since).as_micros()).unwrap_or(u64::MAX),
            trial: false,
            hedge_after_us: 0,
        };
        actions.push(PlacerAction::Grant {
            to: waiting.id.clone(),
            service: self.settings.service.clone(),
            grant,
            reason: GrantReason::SameDomain,
            queued: self.queue.len() as u32,
        });
    }

    fn refuse(&mut self, to: AskId, reason: RefusalReason, actions: &mut Vec<PlacerAction>) {
        self.refused += 1;
        let refusal = CallRefusal::passing(reason, 1_000);
        let service = self.settings.service.clone();
        let queued = self.queue.len() as u32;
        actions.push(PlacerAction::Refuse { to, service, refusal, queued });
    }

    fn revoke(&self, name: &UpstreamName, actions: &mut Vec<PlacerAction>) {
        for (number, (entry, upstream)) in &self.granted {
            if upstream == name {
                let id = GrantId {
                    granter: self.settings.member.clone(),
                    epoch: self.settings.epoch,
                    number: *number,
                };
                actions.push(PlacerAction::Revoke { entry: entry.clone(), id });
            }
        }
    }
}
