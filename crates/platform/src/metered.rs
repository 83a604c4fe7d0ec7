//! Ports that count what passes through them, so that neither the call path nor the fleet knows of
//! metrics.

use std::{sync::Arc, time::Instant};

use crate::metrics::FleetMetrics;
use model::{
    call::CallRefusal,
    ledger::{ClaimAnswer, KeyClaim, KeyClose},
    ports::{LedgerFault, LedgerPort, SlotPort},
    slot::{SlotAsk, SlotGrant, SlotSettle},
};

/// Counts placements and the ends of tries.
#[derive(Debug)]
pub struct MeteredSlots<S> {
    inner: Arc<S>,
    metrics: FleetMetrics,
}

impl<S: SlotPort> MeteredSlots<S> {
    /// Puts the counting before a port.
    pub fn new(inner: Arc<S>, metrics: FleetMetrics) -> Self {
        Self { inner, metrics }
    }
}

impl<S: SlotPort> SlotPort for MeteredSlots<S> {
    async fn ask(&self, ask: SlotAsk) -> Result<SlotGrant, CallRefusal> {
        let service = ask.service.clone();
        let started = Instant::now();
        let answer = self.inner.ask(ask).await;
        match &answer {
            Ok(grant) => self.metrics.count_grant(&service, started.elapsed(), grant.waited_us),
            Err(refusal) => self.metrics.tally().service(&service).count_refusal(refusal.reason),
        }
        answer
    }

    fn begin(&self, grant: &SlotGrant) -> bool {
        self.inner.begin(grant)
    }

    fn settle(&self, settle: SlotSettle) {
        self.metrics.tally().service(&settle.service).count_try(settle.outcome);
        self.inner.settle(settle);
    }
}

/// Counts claims.
#[derive(Debug)]
pub struct MeteredLedger<L> {
    inner: Arc<L>,
    metrics: FleetMetrics,
}

impl<L: LedgerPort> MeteredLedger<L> {
    /// Puts the counting before a port.
    pub fn new(inner: Arc<L>, metrics: FleetMetrics) -> Self {
        Self { inner, metrics }
    }
}

impl<L: LedgerPort> LedgerPort for MeteredLedger<L> {
    async fn claim(&self, claim: KeyClaim) -> Result<ClaimAnswer, LedgerFault> {
        let answer = self.inner.claim(claim).await;
        self.metrics.tally().count_claim(answer.as_ref().ok());
        answer
    }

    async fn close(&self, close: KeyClose) -> Result<(), LedgerFault> {
        self.inner.close(close).await
    }
}
