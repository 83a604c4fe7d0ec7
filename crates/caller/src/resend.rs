//! Why a call is sent once more: what the log and the metrics say of it.

use std::time::Instant;

use log::info;
use model::{
    call::{RefusalEvidence, RepeatGround},
    names::UpstreamName,
    numbers::IncarnationNumber,
    ports::SlotPort,
    slot::SlotGrant,
};
use upstream::exchange::ExchangeFault;

use crate::request::CallContext;

/// A try whose end has the call sent once more.
pub(crate) struct EndedTry {
    upstream: UpstreamName,
    incarnation: IncarnationNumber,
    fault: ExchangeFault,
    /// Whether a hedge ran beside it, of which the fault may be.
    hedged: bool,
    ended: Instant,
}

impl EndedTry {
    pub(crate) fn new(grant: &SlotGrant, fault: ExchangeFault) -> Self {
        let (upstream, incarnation) = (grant.upstream.clone(), grant.incarnation);
        Self { upstream, incarnation, fault, hedged: false, ended: Instant::now() }
    }

    pub(crate) fn hedged(self, hedged: bool) -> Self {
        Self { hedged, ..self }
    }

    fn ground(&self) -> RepeatGround {
        match self.fault.refusal {
            _ if !self.fault.proves_not_run() => RepeatGround::Idempotent,
            Some(RefusalEvidence { echoes_request: true, .. }) => RepeatGround::EchoedRefusal,
            Some(_) => RepeatGround::UnnamedRefusal,
            None => RepeatGround::Unsent,
        }
    }

    /// Says on what ground a call is sent once more, to the upstream of `next`.
    pub(crate) fn note_repeat<S: SlotPort>(
        &self,
        slots: &S,
        request: &str,
        context: &CallContext,
        attempt: u32,
        next: &SlotGrant,
    ) {
        let ground = self.ground();
        slots.note_repeat(&context.service, ground);
        let refusal = self.fault.refusal;
        info!(
            request, call:% = context.number, attempt, service:% = context.service,
            upstream:% = self.upstream, incarnation:% = self.incarnation,
            outcome:? = self.fault.outcome, hedged = self.hedged, ground:% = ground,
            status = refusal.map(|refusal| refusal.status),
            answers_before = refusal.map(|refusal| refusal.answers_before),
            refusals_before = refusal.map(|refusal| refusal.refusals_before),
            age_us = self.ended.elapsed().as_micros() as u64,
            next:% = next.upstream, next_incarnation:% = next.incarnation;
            "sent again"
        );
    }
}
