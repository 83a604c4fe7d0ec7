//! The grants that an entry holds: pure rules.
//!
//! Failure: a grant comes after its entry gave up, or from a placer that has lost its duty. Symptom
//! without a guard: a call that was refused as not run is sent after all, or a slot stays taken for
//! good. An ask that was given up is struck off here first, so a later grant finds no ask and is
//! given back; and a grant of a lesser epoch than the entry obeys is given back as well.

use std::{
    collections::{BTreeMap, HashSet},
    time::Duration,
};

use crate::epoch::{EpochTable, PlacerClaim};
use decide::placer::HeldGrant;
use model::{
    moment::Moment,
    names::{ServiceName, UpstreamName},
    numbers::CallNumber,
    slot::{GrantId, SlotAsk, SlotGrant},
};

/// What came of a grant that arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrantReception {
    /// It is held until its call ends.
    Held,
    /// Its ask was given up: it must be given back.
    Late,
    /// Its placer is no longer obeyed: it must be given back.
    OldEpoch,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum GrantPhase {
    Granted,
    Begun,
    Revoked,
}

#[derive(Debug)]
struct BookedGrant {
    service: ServiceName,
    upstream: UpstreamName,
    /// When the call's time is over. It may still run a little longer.
    until: Moment,
    phase: GrantPhase,
}

/// The time left that is told of a grant whose call has outrun its deadline, in milliseconds: it
/// still holds its slot.
const OVERDUE_LEFT_MS: u32 = 500;

/// The asks and grants of one entry.
#[derive(Debug, Default)]
pub struct GrantBook {
    asks: HashSet<(CallNumber, u32)>,
    grants: BTreeMap<GrantId, BookedGrant>,
    epochs: EpochTable,
}

impl GrantBook {
    /// Books an ask, and returns the claim obeyed for its service.
    pub fn asked(&mut self, ask: &SlotAsk, shard: u32) -> Option<PlacerClaim> {
        self.asks.insert((ask.call, ask.attempt));
        self.epochs.seen(&ask.service, shard).cloned()
    }

    /// Strikes an ask off that ended without a grant, or was given up.
    pub fn gave_up(&mut self, call: CallNumber, attempt: u32) {
        self.asks.remove(&(call, attempt));
    }

    /// Takes a grant of a placer.
    pub fn granted(
        &mut self,
        ask: &SlotAsk,
        shard: u32,
        grant: &SlotGrant,
        now: Moment,
    ) -> GrantReception {
        if !self.asks.contains(&(ask.call, ask.attempt)) {
            return GrantReception::Late;
        }
        let (epoch, member) = (grant.id.epoch, grant.id.granter.clone());
        if !self.epochs.obey(&ask.service, shard, &PlacerClaim { epoch, member }) {
            return GrantReception::OldEpoch;
        }
        self.hold(ask, grant, now);
        GrantReception::Held
    }

    /// Holds a grant that the entry gave itself because no placer was in reach.
    pub fn hold(&mut self, ask: &SlotAsk, grant: &SlotGrant, now: Moment) {
        self.asks.remove(&(ask.call, ask.attempt));
        let booked = BookedGrant {
            service: ask.service.clone(),
            upstream: grant.upstream.clone(),
            until: now + Duration::from_millis(u64::from(ask.within_ms)),
            phase: GrantPhase::Granted,
        };
        self.grants.insert(grant.id.clone(), booked);
    }

    /// Tells whether the call of a grant may send its first byte. From then on it cannot be revoked.
    pub fn begin(&mut self, id: &GrantId) -> bool {
        let Some(booked) = self.grants.get_mut(id) else { return false };
        let stands = booked.phase != GrantPhase::Revoked;
        if stands {
            booked.phase = GrantPhase::Begun;
        }
        stands
    }

    /// Takes a grant back unless its call has begun. Tells whether it is taken back.
    pub fn revoke(&mut self, id: &GrantId) -> bool {
        let Some(booked) = self.grants.get_mut(id) else { return false };
        if booked.phase == GrantPhase::Granted {
            booked.phase = GrantPhase::Revoked;
        }
        booked.phase == GrantPhase::Revoked
    }

    /// Strikes a grant off whose call has ended. Tells whether it was held.
    pub fn ended(&mut self, id: &GrantId) -> bool {
        self.grants.remove(id).is_some()
    }

    /// Obeys a new placer of a service and lists the grants that are held for it, whoever gave them.
    /// `None` when a greater claim is obeyed.
    pub fn recount(
        &mut self,
        service: &ServiceName,
        shard: u32,
        claim: &PlacerClaim,
        now: Moment,
    ) -> Option<Vec<HeldGrant>> {
        self.epochs.obey(service, shard, claim).then(|| self.held(service, now))
    }

    /// Lists the grants that are held for a service.
    pub fn held(&self, service: &ServiceName, now: Moment) -> Vec<HeldGrant> {
        let held = self.grants.iter().filter(|(_, booked)| booked.service == *service);
        let held = held.map(|(id, booked)| {
            let left = u32::try_from(booked.until.since(now).as_millis()).unwrap_or(u32::MAX);
            let left_ms = left.max(OVERDUE_LEFT_MS);
            HeldGrant { id: id.clone(), upstream: booked.upstream.clone(), left_ms }
        });
        held.collect()
    }

    /// Takes a claim that was spread by gossip.
    pub fn heard(&mut self, service: &ServiceName, shard: u32, claim: &PlacerClaim) {
        self.epochs.obey(service, shard, claim);
    }

    /// Returns the greatest claim seen for a service.
    pub fn obeyed(&self, service: &ServiceName, shard: u32) -> Option<&PlacerClaim> {
        self.epochs.seen(service, shard)
    }

    /// Returns how many grants are held.
    pub fn len(&self) -> usize {
        self.grants.len()
    }

    /// Tells whether no grant is held.
    pub fn is_empty(&self) -> bool {
        self.grants.is_empty()
    }
}
