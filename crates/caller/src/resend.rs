//! Why a call is sent once more: what the log and the metrics say of it.

use std::time::Instant;

use log::info;
use model::{
    call::{CallClass, RefusalEvidence, RepeatGround},
    names::UpstreamName,
    numbers::IncarnationNumber,
    ports::SlotPort,
    slot::{ClosedUpstream, SlotGrant},
};
use upstream::exchange::ExchangeFault;

use crate::request::CallContext;

/// The upstreams that a call has tried.
///
/// Failure: an upstream refuses a call and hands that refusal out once more while the call is at work there on its
/// next try. Symptom: the call is sent again and runs twice, since all its tries have one identifier. A call that
/// must not run twice goes to each life of an upstream once, so no refusal of that life can be another try's.
#[derive(Debug, Default)]
pub(crate) struct TriedUpstreams {
    /// Left out while there are others.
    pub(crate) avoid: Vec<UpstreamName>,
    /// Closed to the call for good.
    pub(crate) closed: Vec<ClosedUpstream>,
}

impl TriedUpstreams {
    /// Notes that a call was given a slot.
    pub(crate) fn note_grant(&mut self, grant: &SlotGrant) {
        self.avoid.push(grant.upstream.clone());
    }

    /// Notes how a try ended.
    pub(crate) fn note_end(&mut self, class: CallClass, grant: &SlotGrant, fault: &ExchangeFault) {
        if fault.sent && !class.is_idempotent() {
            self.closed.push(ClosedUpstream {
                upstream: grant.upstream.clone(),
                incarnation: grant.incarnation,
                left_ms: u32::MAX,
            });
        }
    }

    /// Tells whether a grant is for a life of an upstream that the call must not go to again.
    pub(crate) fn excludes(&self, grant: &SlotGrant) -> bool {
        let closes = |closed: &ClosedUpstream| {
            closed.upstream == grant.upstream && grant.incarnation <= closed.incarnation
        };
        self.closed.iter().any(closes)
    }
}

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
