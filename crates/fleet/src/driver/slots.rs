//! Asks, grants and their ends at the placer's VM.

use std::time::{Duration, Instant};

use super::{AskReply, FleetDriver};
use crate::{
    asks::CancelledAsk,
    fact::{FleetFact, NoticeSubject, PlacerNotice},
    settles::GrantEnd,
    wire::{AskFault, FleetPeerClient, PlacerAsk},
};
use decide::placer::{AskId, PlacerAction};
use log::info;
use model::{
    call::{CallRefusal, OutcomeClass, RefusalReason},
    moment::Moment,
    names::{MemberName, ServiceName, UpstreamName},
    numbers::IncarnationNumber,
    slot::{GrantId, RequestFingerprint, SlotGrant, SlotSettle},
};

/// For how long a revocation is tried. After that the upstream's own refusal is what is left.
const REVOKE_TIMEOUT: Duration = Duration::from_secs(1);

/// For how long the end of an ejection is spread.
const RETURN_KEPT_MS: u32 = 60_000;

/// When a call whose time was over on arrival is worth sending again, in milliseconds.
const LATE_RETRY_MS: u32 = 100;

impl FleetDriver {
    pub(super) fn ask(&mut self, ask: PlacerAsk, reply: AskReply, arrived: Instant, now: Moment) {
        self.see_life(&ask.entry, ask.life, now);
        let PlacerAsk { entry, obeyed, mut ask, .. } = ask;
        if let Some(claim) = obeyed {
            self.shared.book().heard(&ask.service, 0, &claim);
            self.yield_to(&ask.service, &claim, now);
        }
        let Some(duty) = self.duties.get_mut(&ask.service) else {
            return drop(reply.send(Err(AskFault::NotPlacer)));
        };
        let waited = u32::try_from(arrived.elapsed().as_millis()).unwrap_or(u32::MAX);
        ask.within_ms = ask.within_ms.saturating_sub(waited);
        let id = AskId { entry: entry.clone(), call: ask.call, attempt: ask.attempt };
        if ask.within_ms == 0 {
            return drop(reply.send(Err(late())));
        }
        if let Err(reply) = self.asks.begin(&id, &ask, reply) {
            return drop(reply.send(Err(late())));
        }
        let (service, mut actions) = (ask.service.clone(), Vec::new());
        duty.placer.ask(entry, ask, now, &mut actions);
        self.carry_out(&service, actions, now);
    }

    pub(super) fn end(&mut self, entry: &MemberName, ends: Vec<GrantEnd>, now: Moment) {
        for end in ends {
            match end {
                GrantEnd::Settle(settle) => self.settle(&settle, now),
                GrantEnd::Cancel { service, call, attempt } => {
                    let id = AskId { entry: entry.clone(), call, attempt };
                    self.cancel(&service, &id, now);
                }
            }
        }
    }

    fn cancel(&mut self, service: &ServiceName, id: &AskId, now: Moment) {
        match self.asks.cancel(id, now) {
            CancelledAsk::Waiting(_) => {
                if let Some(duty) = self.duties.get_mut(service) {
                    duty.placer.cancel(id);
                }
            }
            CancelledAsk::Granted(settle) => self.settle(&settle, now),
            CancelledAsk::Nothing => (),
        }
    }

    fn settle(&mut self, settle: &SlotSettle, now: Moment) {
        self.asks.settled(&settle.id);
        self.settle_fallback(settle);
        if settle.outcome == OutcomeClass::Draining {
            self.hear_draining(settle, now);
        }
        if let Some(duty) = self.duties.get_mut(&settle.service) {
            let mut actions = Vec::new();
            duty.placer.settle(settle, now, &mut actions);
            self.carry_out(&settle.service, actions, now);
        }
    }

    /// Notices a restart of an entry: what its earlier life asked for and held is void.
    pub(super) fn see_life(&mut self, entry: &MemberName, life: IncarnationNumber, now: Moment) {
        let known = self.lives.insert(entry.clone(), life);
        match known {
            Some(known) if known > life => drop(self.lives.insert(entry.clone(), known)),
            Some(known) if known < life => self.lose_entry(entry, now),
            _ => (),
        }
    }

    pub(super) fn lose_entry(&mut self, entry: &MemberName, now: Moment) {
        self.asks.drop_entry(entry);
        let services: Vec<_> = self.duties.keys().cloned().collect();
        for service in services {
            let Some(duty) = self.duties.get_mut(&service) else { continue };
            let mut actions = Vec::new();
            duty.placer.lose_entry(entry, now, &mut actions);
            self.carry_out(&service, actions, now);
        }
    }

    pub(super) fn carry_out(
        &mut self,
        service: &ServiceName,
        actions: Vec<PlacerAction>,
        now: Moment,
    ) {
        for action in actions {
            match action {
                PlacerAction::Grant { to, grant, reason, queued, .. } => {
                    info!(
                        call:% = to.call, entry:% = to.entry, service:%,
                        upstream:% = grant.upstream, reason:%, queued;
                        "granted"
                    );
                    self.grant(&to, grant, now);
                }
                PlacerAction::Refuse { to, refusal, queued, .. } => {
                    let reason = refusal.reason;
                    info!(call:% = to.call, entry:% = to.entry, service:%, reason:%, queued;
                        "refused");
                    if let Some(reply) = self.asks.refuse(&to) {
                        // An entry that has gone needs no answer.
                        let _ = reply.send(Err(AskFault::Refused { refusal }));
                    }
                }
                PlacerAction::Revoke { entry, id } => self.revoke(&entry, id),
                PlacerAction::Eject { upstream, until, reason, queued, .. } => {
                    info!(service:%, upstream:%, reason:%, queued; "ejected");
                    self.tell_ejection(service, upstream, Some(until), now);
                }
                PlacerAction::Return { upstream, reason, .. } => {
                    info!(service:%, upstream:%, reason:%; "returned");
                    self.tell_ejection(service, upstream, None, now);
                }
                PlacerAction::Poison { fingerprint, until } => {
                    info!(service:%, fingerprint = fingerprint.0; "request refused fleet-wide");
                    self.tell_poisonous(service, fingerprint, until, now);
                }
            }
        }
    }

    fn grant(&mut self, to: &AskId, grant: SlotGrant, now: Moment) {
        let taken = match self.asks.grant(to, &grant) {
            Some(reply) => reply.send(Ok(grant)).is_ok(),
            None => false,
        };
        // Nobody waits for the grant any more: its slot is free at once.
        if !taken && let CancelledAsk::Granted(settle) = self.asks.cancel(to, now) {
            self.settle(&settle, now);
        }
    }

    fn revoke(&self, entry: &MemberName, id: GrantId) {
        if *entry == self.shared.member {
            self.shared.book().revoke(&id);
            return;
        }
        let view = self.shared.view.load();
        let Some(address) = view.member(entry).map(|member| member.address) else { return };
        let links = self.shared.links.clone();
        tokio::spawn(async move {
            let call = |client: FleetPeerClient, context| async move {
                client.revoke(context, vec![id]).await
            };
            if let Err(error) = links.call(address, REVOKE_TIMEOUT, call).await {
                log::debug!(entry:% = address, error:% = error; "revocation not delivered");
            }
        });
    }

    fn tell_ejection(
        &mut self,
        service: &ServiceName,
        upstream: UpstreamName,
        until: Option<Moment>,
        now: Moment,
    ) {
        let subject = NoticeSubject::Ejection { service: service.clone(), upstream };
        self.tell_notice(service, subject, until, now);
    }

    fn tell_poisonous(
        &mut self,
        service: &ServiceName,
        fingerprint: RequestFingerprint,
        until: Moment,
        now: Moment,
    ) {
        let subject = NoticeSubject::Poison { service: service.clone(), fingerprint };
        self.tell_notice(service, subject, Some(until), now);
    }

    fn tell_notice(
        &mut self,
        service: &ServiceName,
        subject: NoticeSubject,
        until: Option<Moment>,
        now: Moment,
    ) {
        let Some(duty) = self.duties.get_mut(service) else { return };
        duty.notices += 1;
        let left = until.map_or(RETURN_KEPT_MS, |until| {
            u32::try_from(until.since(now).as_millis()).unwrap_or(u32::MAX)
        });
        let notice = PlacerNotice {
            subject,
            epoch: duty.claim.epoch,
            sequence: duty.notices,
            holds: until.is_some(),
            left_ms: left,
        };
        self.gossip.learn(FleetFact::Notice(notice), now);
    }

    pub(super) fn apply_poison(
        &mut self,
        service: &ServiceName,
        fingerprint: RequestFingerprint,
        until: Moment,
    ) {
        if let Some(duty) = self.duties.get_mut(service) {
            duty.placer.poison(fingerprint, until);
        }
    }
}

fn late() -> AskFault {
    let refusal = CallRefusal::passing(RefusalReason::DeadlineTooShort, LATE_RETRY_MS);
    AskFault::Refused { refusal }
}
