//! Placing without a placer in reach, by this entry's own counts.

use std::collections::btree_map::Entry;

use super::FleetDriver;
use crate::fact::{FactKey, FleetFact, NoticeSubject, UpstreamFact};
use decide::fallback::{FallbackPlacer, FallbackSettings};
use log::info;
use model::{
    announcement::UpstreamAnnouncement,
    call::{CallRefusal, RefusalReason},
    moment::Moment,
    names::{ServiceName, UpstreamName},
    numbers::PlacerEpoch,
    slot::{SlotAsk, SlotGrant, SlotSettle},
};

/// Returns the announcement as the floor's guard takes it.
///
/// The lease is kept by the placer's VM, so here an upstream holds until its end is heard. The guard
/// knows no end, only leases and their order: an ended one is a renewal whose lease is over.
fn guarded(fact: &UpstreamFact) -> UpstreamAnnouncement {
    let sequence = fact.announcement.sequence.saturating_mul(2) + u64::from(fact.ended);
    let lease_ms = if fact.ended { 0 } else { u32::MAX };
    UpstreamAnnouncement { sequence, lease_ms, ..fact.announcement.clone() }
}

impl FleetDriver {
    /// Grants a slot of this entry's own share.
    pub(crate) fn place_alone(&mut self, ask: &SlotAsk) -> Result<SlotGrant, CallRefusal> {
        let now = self.now();
        if let Some(refusal) = self.poisonous(ask, now) {
            return Err(refusal);
        }
        let held = self.shared.book().held(&ask.service, now);
        let view = self.shared.view.load_full();
        let entries: Vec<_> = view.reachable().map(|(member, _)| member.clone()).collect();
        let fallback = self.fallback(&ask.service, now);
        fallback.set_entries(&entries);
        for grant in &held {
            fallback.hold(grant, now);
        }
        let placed = fallback.place(ask, now);
        match &placed {
            Ok(grant) => info!(
                call:% = ask.call, service:% = ask.service, upstream:% = grant.upstream,
                reason = "no placer in reach";
                "granted"
            ),
            Err(refusal) => info!(
                call:% = ask.call, service:% = ask.service, reason:% = refusal.reason;
                "refused without a placer"
            ),
        }
        placed
    }

    /// Refuses a request that the service's placer had refused fleet-wide. Without a placer in reach
    /// it would go on crashing one upstream after the other through each VM that is cut off.
    fn poisonous(&self, ask: &SlotAsk, now: Moment) -> Option<CallRefusal> {
        let (service, fingerprint) = (ask.service.clone(), ask.fingerprint);
        let key = FactKey::Notice(NoticeSubject::Poison { service, fingerprint });
        let FleetFact::Notice(notice) = self.gossip.store().get(&key)? else { return None };
        let left = self.gossip.store().left(&key, now);
        let refused = notice.holds && !left.is_zero();
        refused.then(|| {
            info!(call:% = ask.call, service:% = ask.service, reason = "poisonous"; "refused");
            let retry_after_ms = u32::try_from(left.as_millis()).unwrap_or(u32::MAX);
            CallRefusal::passing(RefusalReason::Poisonous, retry_after_ms)
        })
    }

    fn fallback(&mut self, service: &ServiceName, now: Moment) -> &mut FallbackPlacer {
        let rule = self.shared.config.load().service(service).cloned();
        let floor_slots = rule.map_or(0, |rule| rule.floor_slots);
        match self.fallbacks.entry(service.clone()) {
            Entry::Occupied(held) => held.into_mut(),
            Entry::Vacant(place) => {
                let settings = FallbackSettings {
                    entry: self.shared.member.clone(),
                    epoch: PlacerEpoch::default(),
                    floor_slots,
                };
                let mut fallback = FallbackPlacer::open(settings);
                for fact in self.gossip.store().facts() {
                    if let FleetFact::Upstream(fact) = fact
                        && fact.announcement.service == *service
                    {
                        fallback.guard().announce(&guarded(fact), now);
                    }
                }
                for (subject, until) in self.gossip.store().notices(service, now) {
                    if let NoticeSubject::Ejection { upstream, .. } = subject {
                        fallback.guard().eject(upstream, until, now);
                    }
                }
                place.insert(fallback)
            }
        }
    }

    pub(super) fn announce_to_fallback(&mut self, fact: &UpstreamFact, now: Moment) {
        if let Some(fallback) = self.fallbacks.get_mut(&fact.announcement.service) {
            fallback.guard().announce(&guarded(fact), now);
        }
    }

    pub(super) fn apply_ejection(
        &mut self,
        service: &ServiceName,
        upstream: &UpstreamName,
        until: Option<Moment>,
        now: Moment,
    ) {
        let Some(fallback) = self.fallbacks.get_mut(service) else { return };
        match until {
            Some(until) => {
                if !fallback.guard().eject(upstream, until, now) {
                    info!(service:%, upstream:%, reason = "floor"; "ejection not applied");
                }
            }
            None => fallback.guard().restore(upstream),
        }
    }

    pub(super) fn settle_fallback(&mut self, settle: &SlotSettle) {
        if let Some(fallback) = self.fallbacks.get_mut(&settle.service) {
            fallback.settle(settle);
        }
    }

    pub(super) fn tick_fallbacks(&mut self, now: Moment) {
        self.fallbacks.values_mut().for_each(|fallback| fallback.tick(now));
    }
}
