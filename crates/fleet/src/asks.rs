//! The asks that a placer's VM has taken: pure rules.
//!
//! Failure: an entry gives an ask up, and its word overtakes the ask, or meets the grant on its way.
//! Symptom without a guard: the slot of a grant that nobody holds stays taken. So a given-up ask is
//! remembered for a while, by entry, call and try: if it comes later it is refused; if it waits it is
//! taken out of the queue; if it was granted the grant is ended as unused.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use decide::placer::AskId;
use model::{
    call::OutcomeClass,
    moment::Moment,
    names::{MemberName, RouteName, ServiceName},
    slot::{GrantId, RequestFingerprint, SlotAsk, SlotGrant, SlotSettle},
};

/// For how long a given-up ask is remembered. An ask and its cancellation travel on connections that
/// are given up after a few seconds of silence, so neither comes later than that.
pub const CANCELLED_KEPT: Duration = Duration::from_secs(15);

#[derive(Debug)]
struct WaitingAsk<R> {
    reply: R,
    service: ServiceName,
    route: RouteName,
    fingerprint: RequestFingerprint,
}

/// What a cancellation found.
#[derive(Debug, PartialEq)]
pub enum CancelledAsk<R> {
    /// It waits: take it out of the queue.
    Waiting(R),
    /// It was granted: end the grant with this.
    Granted(SlotSettle),
    /// It has ended, or has not come yet.
    Nothing,
}

/// The asks that wait and the grants that were given. `R` is where the answer goes.
#[derive(Debug)]
pub struct AskTable<R> {
    waiting: HashMap<AskId, WaitingAsk<R>>,
    granted: HashMap<AskId, SlotSettle>,
    by_grant: HashMap<GrantId, AskId>,
    cancelled: BTreeMap<AskId, Moment>,
}

impl<R> Default for AskTable<R> {
    fn default() -> Self {
        Self {
            waiting: HashMap::new(),
            granted: HashMap::new(),
            by_grant: HashMap::new(),
            cancelled: BTreeMap::new(),
        }
    }
}

impl<R> AskTable<R> {
    /// Takes an ask.
    ///
    /// # Errors
    ///
    /// Gives the reply back when the ask was given up before it came, or has come already.
    pub fn begin(&mut self, id: &AskId, ask: &SlotAsk, reply: R) -> Result<(), R> {
        let seen = self.waiting.contains_key(id) || self.granted.contains_key(id);
        if seen || self.cancelled.contains_key(id) {
            return Err(reply);
        }
        let (service, route) = (ask.service.clone(), ask.route.clone());
        let waiting = WaitingAsk { reply, service, route, fingerprint: ask.fingerprint };
        self.waiting.insert(id.clone(), waiting);
        Ok(())
    }

    /// Takes a grant for an ask. `None` when nobody waits for it: end the grant.
    pub fn grant(&mut self, id: &AskId, grant: &SlotGrant) -> Option<R> {
        let waiting = self.waiting.remove(id)?;
        let settle = SlotSettle {
            id: grant.id.clone(),
            service: waiting.service,
            route: waiting.route,
            upstream: grant.upstream.clone(),
            fingerprint: waiting.fingerprint,
            outcome: OutcomeClass::Unused,
            took_us: 0,
        };
        self.by_grant.insert(grant.id.clone(), id.clone());
        self.granted.insert(id.clone(), settle);
        Some(waiting.reply)
    }

    /// Takes a refusal for an ask.
    pub fn refuse(&mut self, id: &AskId) -> Option<R> {
        self.waiting.remove(id).map(|waiting| waiting.reply)
    }

    /// Takes the end of a grant.
    pub fn settled(&mut self, id: &GrantId) {
        if let Some(ask) = self.by_grant.remove(id) {
            self.granted.remove(&ask);
        }
    }

    /// Gives an ask up, and remembers that.
    pub fn cancel(&mut self, id: &AskId, now: Moment) -> CancelledAsk<R> {
        self.cancelled.insert(id.clone(), now + CANCELLED_KEPT);
        if let Some(waiting) = self.waiting.remove(id) {
            return CancelledAsk::Waiting(waiting.reply);
        }
        let Some(settle) = self.granted.remove(id) else { return CancelledAsk::Nothing };
        self.by_grant.remove(&settle.id);
        CancelledAsk::Granted(settle)
    }

    /// Takes out the asks for a service whose duty this VM has lost.
    pub fn drop_service(&mut self, service: &ServiceName) -> Vec<R> {
        let waiting = self.waiting.extract_if(|_, waiting| waiting.service == *service);
        let replies = waiting.map(|(_, waiting)| waiting.reply).collect();
        let granted = self.granted.extract_if(|_, settle| settle.service == *service);
        for (_, settle) in granted {
            self.by_grant.remove(&settle.id);
        }
        replies
    }

    /// Forgets an entry's earlier life: its call numbers begin anew.
    pub fn drop_entry(&mut self, entry: &MemberName) {
        self.waiting.retain(|id, _| id.entry != *entry);
        self.cancelled.retain(|id, _| id.entry != *entry);
        let granted = self.granted.extract_if(|id, _| id.entry == *entry);
        for (_, settle) in granted {
            self.by_grant.remove(&settle.id);
        }
    }

    /// Forgets cancellations that are old enough.
    pub fn tick(&mut self, now: Moment) {
        self.cancelled.retain(|_, until| *until > now);
    }
}
