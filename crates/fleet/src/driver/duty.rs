//! Which placers this VM holds, and how a duty moves.

use std::time::Duration;

use super::{DriverEvent, FleetDriver};
use crate::{
    epoch::PlacerClaim,
    fact::{FleetFact, NoticeSubject, PlacerDuty},
    wire::{AskFault, FleetPeerClient, HealthRow, PlacerOverview},
};
use decide::placer::{HeldGrant, PlacerAction, PlacerSettings, ServicePlacer};
use log::info;
use model::{
    announcement::UpstreamAnnouncement,
    config::ServiceRule,
    moment::Moment,
    names::{MemberName, ServiceName},
};
use rand::Rng;

/// For how long a new placer waits for the entries' counts. An entry in reach answers in a few
/// milliseconds; one that does not in this time is most likely lost, and waiting longer would keep
/// all others from being placed freely.
const RECOUNT_WAIT: Duration = Duration::from_millis(500);

/// The shortest time between two epochs of one placer. Two VMs whose views differ for a moment would
/// otherwise outbid each other with each message.
const EPOCH_PAUSE: Duration = Duration::from_millis(500);

/// One placer of this VM.
pub(super) struct DutyState {
    pub(super) placer: ServicePlacer,
    pub(super) claim: PlacerClaim,
    opened: Moment,
    /// How many entries have not told their grants yet, while the recount goes on.
    counting: Option<usize>,
    /// Orders the notices of this epoch.
    pub(super) notices: u64,
}

impl FleetDriver {
    /// Tells whether this VM keeps the leases of a service's upstreams.
    pub(super) fn keeps(&self, service: &ServiceName) -> bool {
        let view = self.shared.view.load();
        view.placer_of(service, 0).is_some_and(|winner| winner.member == self.shared.member)
    }

    /// Opens the placers that this VM has won and drops those that it has lost.
    pub(super) fn take_duties(&mut self, now: Moment) {
        let config = self.shared.config.load_full();
        let held: Vec<_> = self.duties.keys().cloned().collect();
        for service in held {
            if config.service(&service).is_none() || !self.keeps(&service) {
                self.drop_duty(&service, "another VM's");
            }
        }
        for (service, rule) in config.services() {
            if let Some(duty) = self.duties.get_mut(service) {
                duty.placer.set_rule(rule);
            } else if self.keeps(service) {
                self.open_duty(service, rule, now);
            }
        }
        self.take_leases(now);
    }

    fn take_leases(&mut self, now: Moment) {
        let services: Vec<_> = self.directory.services().cloned().collect();
        for service in services {
            if !self.keeps(&service) {
                continue;
            }
            for announcement in self.directory.live(&service, now) {
                self.leases.adopt(&announcement, now);
            }
        }
        let view = self.shared.view.load_full();
        let own = &self.shared.member;
        self.leases.retain(|service| {
            view.placer_of(service, 0).is_some_and(|winner| winner.member == *own)
        });
    }

    fn drop_duty(&mut self, service: &ServiceName, reason: &str) {
        if let Some(duty) = self.duties.remove(service) {
            info!(service:%, epoch:% = duty.claim.epoch, reason; "placer duty dropped");
            for reply in self.asks.drop_service(service) {
                // An entry that has gone needs no answer.
                let _ = reply.send(Err(AskFault::NotPlacer));
            }
        }
    }

    fn open_duty(&mut self, service: &ServiceName, rule: &ServiceRule, now: Moment) {
        let claim = self.next_claim(service);
        info!(service:%, epoch:% = claim.epoch; "placer duty taken");
        let mut placer = ServicePlacer::open(PlacerSettings {
            service: service.clone(),
            shard: 0,
            member: claim.member.clone(),
            epoch: claim.epoch,
            rule: rule.clone(),
            seed: self.random.random(),
        });
        let mut actions = Vec::new();
        for announcement in self.directory.live(service, now) {
            placer.announce(&announcement, now, &mut actions);
        }
        self.tell_notices(service, &mut placer, now, &mut actions);
        let duty =
            DutyState { placer, claim: claim.clone(), opened: now, counting: None, notices: 0 };
        self.duties.insert(service.clone(), duty);
        self.carry_out(service, actions, now);
        self.announce_claim(service, &claim, now);
        self.start_recount(service, &claim, now);
    }

    /// Takes the epoch after each that this VM has heard of.
    fn next_claim(&self, service: &ServiceName) -> PlacerClaim {
        let seen = self.shared.book().obeyed(service, 0).map(|claim| claim.epoch);
        let epoch = seen.unwrap_or_default().next();
        PlacerClaim { epoch, member: self.shared.member.clone() }
    }

    fn announce_claim(&mut self, service: &ServiceName, claim: &PlacerClaim, now: Moment) {
        self.shared.book().heard(service, 0, claim);
        let (epoch, member) = (claim.epoch, claim.member.clone());
        let duty = PlacerDuty { service: service.clone(), shard: 0, epoch, member };
        self.gossip.learn(FleetFact::Duty(duty), now);
    }

    /// Tells a new placer what the service's earlier placers told the fleet.
    fn tell_notices(
        &self,
        service: &ServiceName,
        placer: &mut ServicePlacer,
        now: Moment,
        actions: &mut Vec<PlacerAction>,
    ) {
        for (subject, until) in self.gossip.store().notices(service, now) {
            match subject {
                NoticeSubject::Ejection { upstream, .. } => {
                    placer.adopt_ejection(upstream, until, now, actions);
                }
                NoticeSubject::Poison { fingerprint, .. } => placer.poison(*fingerprint, until),
            }
        }
    }

    /// Asks each VM in reach which grants it holds. Until all have answered, or for a bounded time,
    /// the placer grants only what is surely free.
    fn start_recount(&mut self, service: &ServiceName, claim: &PlacerClaim, now: Moment) {
        let held = self.shared.book().recount(service, 0, claim, now).unwrap_or_default();
        let view = self.shared.view.load_full();
        let others = view.reachable().filter(|(member, _)| **member != self.shared.member);
        let others: Vec<_> =
            others.map(|(member, other)| (member.clone(), other.address)).collect();
        if let Some(duty) = self.duties.get_mut(service) {
            duty.counting = Some(others.len() + 1);
        }
        let own = self.shared.member.clone();
        self.recounted(service, &own, Some(held), now);
        for (member, address) in others {
            let (links, inbox) = (self.shared.links.clone(), self.inbox.clone());
            let (service, claim) = (service.clone(), claim.clone());
            tokio::spawn(async move {
                let (of, by) = (service.clone(), claim);
                let call = |client: FleetPeerClient, context| async move {
                    client.recount(context, of, 0, by).await
                };
                let answer = links.call(address, RECOUNT_WAIT, call).await;
                let held = answer.unwrap_or_default();
                inbox.send(DriverEvent::Recounted { service, entry: member, held });
            });
        }
    }

    pub(super) fn recounted(
        &mut self,
        service: &ServiceName,
        entry: &MemberName,
        held: Option<Vec<HeldGrant>>,
        now: Moment,
    ) {
        let Some(duty) = self.duties.get_mut(service) else { return };
        let Some(left) = duty.counting.as_mut() else { return };
        *left = left.saturating_sub(1);
        let over = *left == 0;
        let mut actions = Vec::new();
        if let Some(held) = held {
            duty.placer.recount(entry, &held, now, &mut actions);
        }
        if over {
            duty.counting = None;
            duty.placer.finish_recount(now, &mut actions);
        }
        self.carry_out(service, actions, now);
    }

    pub(super) fn tick_duties(&mut self, now: Moment) {
        self.reopen_duties(now);
        let services: Vec<_> = self.duties.keys().cloned().collect();
        for service in services {
            let Some(duty) = self.duties.get_mut(&service) else { continue };
            let mut actions = Vec::new();
            if duty.counting.is_some() && now.since(duty.opened) >= RECOUNT_WAIT {
                duty.counting = None;
                duty.placer.finish_recount(now, &mut actions);
            }
            duty.placer.tick(now, &mut actions);
            self.carry_out(&service, actions, now);
        }
    }

    /// Takes the claim of another placer: the greater is obeyed.
    pub(super) fn take_duty(&mut self, duty: &PlacerDuty, now: Moment) {
        let claim = PlacerClaim { epoch: duty.epoch, member: duty.member.clone() };
        self.shared.book().heard(&duty.service, duty.shard, &claim);
        self.yield_to(&duty.service, &claim, now);
    }

    /// Drops an outbid placer. While the view still names this VM it takes the next epoch instead.
    pub(super) fn yield_to(&mut self, service: &ServiceName, claim: &PlacerClaim, now: Moment) {
        let Some(duty) = self.duties.get(service) else { return };
        if *claim <= duty.claim {
            return;
        }
        let rested = now.since(duty.opened) >= EPOCH_PAUSE;
        self.drop_duty(service, "outbid");
        let rule = self.shared.config.load().service(service).cloned();
        if let Some(rule) = rule.filter(|_| rested && self.keeps(service)) {
            self.open_duty(service, &rule, now);
        }
    }

    /// Opens the placers that the view names but an outbidding took away.
    fn reopen_duties(&mut self, now: Moment) {
        if now.since(self.reopened) < EPOCH_PAUSE {
            return;
        }
        self.reopened = now;
        let config = self.shared.config.load_full();
        let missing = config.services().filter(|(service, _)| !self.duties.contains_key(*service));
        let missing: Vec<_> = missing.filter(|(service, _)| self.keeps(service)).collect();
        for (service, rule) in missing {
            self.open_duty(service, rule, now);
        }
    }

    pub(super) fn announce_to_placer(&mut self, announcement: &UpstreamAnnouncement, now: Moment) {
        if let Some(duty) = self.duties.get_mut(&announcement.service) {
            let mut actions = Vec::new();
            duty.placer.announce(announcement, now, &mut actions);
            let service = announcement.service.clone();
            self.carry_out(&service, actions, now);
        }
    }

    pub(crate) fn overview(&self) -> PlacerOverview {
        let mut overview = PlacerOverview::default();
        for (service, duty) in &self.duties {
            overview.placers.push(duty.placer.row());
            overview.capacity.push(duty.placer.capacity());
            let rows = duty.placer.health().map(|(upstream, health, busy, ejected_left_ms)| {
                let (service, upstream) = (service.clone(), upstream.clone());
                HealthRow { service, upstream, health, busy, ejected_left_ms }
            });
            overview.health.extend(rows);
        }
        overview
    }
}
