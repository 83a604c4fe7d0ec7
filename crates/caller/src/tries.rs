//! One try of a call: a slot, an exchange, an answer, and the report of what came of it.

use std::{
    fmt,
    sync::Arc,
    time::{Duration, Instant},
};

use http::{HeaderValue, Request, Response, Uri};
use http_body_util::{BodyExt, combinators::UnsyncBoxBody};
use log::info;
use model::{
    call::{CallClass, CallRefusal, DEADLINE_HEADER, OutcomeClass, RefusalReason},
    names::UpstreamName,
    ports::SlotPort,
    slot::{SlotAsk, SlotGrant, SlotSettle},
};
use tokio::time::timeout_at;
use upstream::{
    exchange::{AnswerBody, ExchangeFault},
    pool::{ConnectionPool, RequestBody},
};

use crate::{
    answer::CallerBody,
    body::{BodyStart, WholeBody},
    headers::prepare_answer,
    limits::CallLimits,
    relay::RelayedBody,
    request::CallContext,
};

/// Why a try was made, for the log.
#[derive(Clone, Copy, Debug)]
pub(crate) enum TryReason {
    First,
    Hedge,
    /// The try before ended so.
    After(OutcomeClass),
}

impl fmt::Display for TryReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::First => f.write_str("first"),
            Self::Hedge => f.write_str("hedge"),
            Self::After(outcome) => write!(f, "after {outcome:?}"),
        }
    }
}

/// A slot that a call holds until it is told how the try ended.
///
/// Failure: the future of a try is dropped in the middle, since its caller went away or another try
/// was faster. Symptom: nobody ends the grant, and the upstream's slot is lost. Safeguard: dropping
/// the hold ends the grant, as unused before anything was sent and as cancelled afterwards.
pub(crate) struct SlotHold<S: SlotPort> {
    slots: Arc<S>,
    settle: Option<SlotSettle>,
    begun: Option<Instant>,
}

impl<S: SlotPort> SlotHold<S> {
    fn new(slots: Arc<S>, context: &CallContext, grant: &SlotGrant) -> Self {
        let settle = SlotSettle {
            id: grant.id.clone(),
            service: context.rule.service.clone(),
            route: context.route.clone(),
            upstream: grant.upstream.clone(),
            fingerprint: context.fingerprint,
            outcome: OutcomeClass::Unused,
            took_us: 0,
        };
        Self { slots, settle: Some(settle), begun: None }
    }

    /// Tells whether the grant still stands, right before the first byte goes out.
    fn begin(&mut self, grant: &SlotGrant) -> bool {
        let stands = self.slots.begin(grant);
        self.begun = stands.then(Instant::now);
        stands
    }

    fn end(mut self, outcome: OutcomeClass) {
        self.settle(outcome);
    }

    fn settle(&mut self, outcome: OutcomeClass) {
        let Some(settle) = self.settle.take() else { return };
        let took = self.begun.map_or(Duration::ZERO, |begun| begun.elapsed());
        let took_us = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
        self.slots.settle(SlotSettle { outcome, took_us, ..settle });
    }
}

impl<S: SlotPort> Drop for SlotHold<S> {
    fn drop(&mut self) {
        let begun = self.begun.is_some();
        self.settle(if begun { OutcomeClass::Cancelled } else { OutcomeClass::Unused });
    }
}

/// A call that was given a slot.
pub(crate) struct PlacedTry<S: SlotPort> {
    pub(crate) grant: SlotGrant,
    hold: SlotHold<S>,
}

impl<S: SlotPort> PlacedTry<S> {
    /// Asks for a slot, until the call's deadline.
    ///
    /// # Errors
    ///
    /// Returns the refusal; nothing was run.
    pub(crate) async fn place(
        slots: &Arc<S>,
        context: &CallContext,
        ask: SlotAsk,
        reason: TryReason,
    ) -> Result<Self, CallRefusal> {
        let attempt = ask.attempt;
        let late = CallRefusal::passing(RefusalReason::DeadlineTooShort, 1_000);
        let granted = timeout_at(context.until, slots.ask(ask)).await.unwrap_or(Err(late));
        let grant = granted.inspect_err(|refusal| {
            info!(
                call:% = context.number,
                attempt,
                service:% = context.rule.service,
                route:% = context.route,
                reason:% = refusal.reason;
                "refused"
            );
        })?;
        info!(
            call:% = context.number,
            attempt,
            service:% = context.rule.service,
            upstream:% = grant.upstream,
            route:% = context.route,
            reason:% = reason;
            "placed"
        );
        let hold = SlotHold::new(slots.clone(), context, &grant);
        Ok(Self { grant, hold })
    }

    /// Sends the call and reads the beginning of its answer.
    ///
    /// # Errors
    ///
    /// Fails when no answer began, or when its beginning was cut.
    pub(crate) async fn send(
        mut self,
        pool: &ConnectionPool,
        context: &CallContext,
        limits: &CallLimits,
    ) -> Result<TryAnswer, ExchangeFault> {
        let unused = ExchangeFault::unsent(OutcomeClass::Unused);
        let body = context.body.for_try().ok_or(unused)?;
        if context.left().is_zero() || !self.hold.begin(&self.grant) {
            return Err(unused);
        }
        let request = outgoing(context, body);
        let class = context.rule.class;
        match pool.exchange(&self.grant, class, request, context.left()).await {
            Ok(response) => read_start(response, self.hold, context, limits).await,
            Err(fault) => {
                self.hold.end(fault.outcome);
                Err(fault)
            }
        }
    }
}

/// Makes the ask of one try.
pub(crate) fn slot_ask(
    context: &CallContext,
    domain: &model::names::DomainName,
    attempt: u32,
    avoid: &[UpstreamName],
) -> SlotAsk {
    SlotAsk {
        service: context.rule.service.clone(),
        route: context.route.clone(),
        caller: context.caller.clone(),
        class: context.rule.class,
        call: context.number,
        attempt,
        fingerprint: context.fingerprint,
        domain: domain.clone(),
        within_ms: context.left_ms(),
        avoid: avoid.to_vec(),
    }
}

fn outgoing(context: &CallContext, body: RequestBody) -> Request<RequestBody> {
    let mut request = Request::new(body);
    *request.method_mut() = context.parts.method.clone();
    // An upstream is asked in origin form, whatever form the caller used.
    let path = context.parts.uri.path_and_query().cloned();
    *request.uri_mut() = path.map_or_else(|| Uri::from_static("/"), Uri::from);
    request.headers_mut().clone_from(&context.parts.headers);
    let left = HeaderValue::from(context.left_ms());
    request.headers_mut().insert(DEADLINE_HEADER, left);
    request
}

/// The answer of one try, of which nothing has gone to the caller yet.
pub(crate) struct TryAnswer {
    pub(crate) head: http::response::Parts,
    pub(crate) body: TryBody,
}

pub(crate) enum TryBody {
    /// All of it; the slot is free again.
    Whole(WholeBody),
    /// Its beginning, and the exchange that goes on.
    Open(BodyStart, Box<AnswerBody>),
}

impl TryAnswer {
    /// Tells whether the upstream said that it failed, and said so in a whole answer.
    pub(crate) fn is_whole_error(&self) -> bool {
        self.head.status.is_server_error() && matches!(self.body, TryBody::Whole(_))
    }

    /// Makes it the answer to the caller.
    pub(crate) fn pass_on(self, context: &CallContext) -> Response<CallerBody> {
        let body = match self.body {
            TryBody::Whole(body) => UnsyncBoxBody::new(body),
            TryBody::Open(start, rest) => {
                UnsyncBoxBody::new(RelayedBody::spawn(start, *rest, context.until))
            }
        };
        Response::from_parts(self.head, body)
    }
}

/// Reads an answer until it is whole, has grown large, or its upstream pauses.
///
/// As long as nothing has gone to the caller, a cut can be mended by another try; and a small answer
/// frees its slot at once, however slowly its caller reads.
async fn read_start<S: SlotPort>(
    response: Response<AnswerBody>,
    hold: SlotHold<S>,
    context: &CallContext,
    limits: &CallLimits,
) -> Result<TryAnswer, ExchangeFault> {
    let (mut head, body) = response.into_parts();
    prepare_answer(&mut head);
    let mut body = body.on_finish(move |outcome| hold.end(outcome));
    let mut start = BodyStart::default();
    // The answer of a keyed call is recorded as a whole, so it is waited for.
    let keyed = context.rule.class == CallClass::KeyRequired;
    let patience = if keyed { context.left() } else { limits.answer_patience };
    let patience = (tokio::time::Instant::now() + patience).min(context.until);
    while start.length() <= limits.repeat_bytes {
        match timeout_at(patience, body.frame()).await {
            Ok(Some(Ok(frame))) => start.push(frame),
            Ok(Some(Err(_))) => {
                return Err(ExchangeFault { outcome: OutcomeClass::CutAnswer, sent: true });
            }
            Ok(None) => return Ok(TryAnswer { head, body: TryBody::Whole(start.into_whole()) }),
            Err(_) if keyed => {
                body.give_up(OutcomeClass::Timeout);
                return Err(ExchangeFault { outcome: OutcomeClass::Timeout, sent: true });
            }
            Err(_) => break,
        }
    }
    Ok(TryAnswer { head, body: TryBody::Open(start, Box::new(body)) })
}
