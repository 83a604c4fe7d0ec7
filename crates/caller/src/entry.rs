//! The path of one call through an entry: route, claim, slot, exchange, outcome.

use std::{
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use crate::{
    answer::{BodyError, CallerBody, StatedOutcome, recorded, refused, stated},
    digest::{body_digest, fingerprint},
};
use arc_swap::ArcSwap;
use bytes::Bytes;
use decide::retry::RetryBudget;
use http::{
    HeaderMap, HeaderValue, Request, Response, StatusCode,
    header::{self, HeaderName},
    request::Parts,
};
use http_body_util::{BodyExt, Full, Limited, combinators::UnsyncBoxBody};
use hyper::body::Incoming;
use log::info;
use model::{
    call::{
        CALLER_HEADER, CallClass, CallRefusal, DEADLINE_HEADER, KEY_HEADER, OutcomeClass,
        RefusalReason,
    },
    config::FleetConfig,
    ledger::{ANSWER_LIMIT, CallKey, ClaimAnswer, KeyClaim, KeyClose, RecordedAnswer, RunEnd},
    names::{CallerName, DomainName, RouteName},
    numbers::{AttemptNumber, CallNumber},
    ports::{LedgerPort, SlotPort},
    route::RouteRule,
    slot::{RequestFingerprint, SlotAsk, SlotGrant, SlotSettle},
};
use upstream::{
    exchange::{AnswerBody, ExchangeFault},
    pool::{ConnectionPool, RequestBody},
};

/// The largest request body accepted, in bytes.
pub const BODY_LIMIT: usize = 1024 * 1024;

/// How many upstreams one call is sent to at most, however much time is left: a call that three
/// upstreams failed will most likely fail a fourth, whose slot another call can use.
const TRIES_LIMIT: u32 = 3;

/// What an entry is made of.
pub struct EntryParts<S, L> {
    /// Gives slots.
    pub slots: Arc<S>,
    /// Guards keys.
    pub ledger: Arc<L>,
    /// Holds the connections to upstreams.
    pub pool: ConnectionPool,
    /// The configuration in force.
    pub config: Arc<ArcSwap<FleetConfig>>,
    /// The entry's own failure domain.
    pub domain: DomainName,
    /// Drawn at each start, so that no two lives of an entry make the same claim.
    pub claimant: u64,
}

/// The call path of one entry.
pub struct CallEntry<S, L> {
    parts: EntryParts<S, L>,
    next_call: AtomicU64,
    budget: Mutex<RetryBudget>,
}

/// What the tries of one call have in common.
struct CallContext {
    number: CallNumber,
    route: RouteName,
    rule: Arc<RouteRule>,
    caller: CallerName,
    fingerprint: RequestFingerprint,
    parts: Parts,
    body: Bytes,
    until: Instant,
}

impl CallContext {
    fn left(&self) -> Duration {
        self.until.saturating_duration_since(Instant::now())
    }

    fn left_ms(&self) -> u32 {
        u32::try_from(self.left().as_millis()).unwrap_or(u32::MAX)
    }
}

/// How one try ended without an answer that can go to the caller.
enum TryFault {
    Refused(CallRefusal),
    Failed(ExchangeFault),
}

impl<S: SlotPort, L: LedgerPort> CallEntry<S, L> {
    /// Makes an entry.
    pub fn new(parts: EntryParts<S, L>) -> Self {
        Self { parts, next_call: AtomicU64::new(1), budget: Mutex::new(RetryBudget::new(10)) }
    }

    /// Answers one request.
    pub async fn answer(self: Arc<Self>, request: Request<Incoming>) -> Response<CallerBody> {
        let context = match self.read(request).await {
            Ok(context) => context,
            Err(refusal) => return refused(refusal),
        };
        match context.rule.class {
            CallClass::Idempotent => self.run_idempotent(&context).await,
            CallClass::KeyRequired => self.run_keyed(context).await,
            CallClass::Unprotected => self.run_once(&context).await,
        }
    }

    async fn read(&self, request: Request<Incoming>) -> Result<CallContext, CallRefusal> {
        let bad = CallRefusal::lasting(RefusalReason::BadRequest);
        let (parts, body) = request.into_parts();
        let (route, rule) = self.find_route(&parts)?;
        let allowed = deadline_of(&parts.headers).unwrap_or(rule.timeout_ms).min(rule.timeout_ms);
        let until = Instant::now() + Duration::from_millis(u64::from(allowed));
        let body = Limited::new(body, BODY_LIMIT).collect().await.map_err(|_| bad)?.to_bytes();
        let fingerprint = fingerprint(&rule.service, &parts, &body);
        let number = CallNumber(self.next_call.fetch_add(1, Ordering::Relaxed));
        let caller = caller_of(&parts.headers);
        Ok(CallContext { number, route, rule, caller, fingerprint, parts, body, until })
    }

    fn find_route(&self, parts: &Parts) -> Result<(RouteName, Arc<RouteRule>), CallRefusal> {
        let config = self.parts.config.load();
        let named = parts.headers.get(header::HOST).and_then(|host| host.to_str().ok());
        let host = parts.uri.authority().map(|authority| authority.as_str()).or(named);
        let found = config.find_route(host.unwrap_or(""), parts.uri.path(), parts.method.as_str());
        let (name, rule) = found.ok_or(CallRefusal::lasting(RefusalReason::NoRoute))?;
        Ok((name.clone(), rule.clone()))
    }

    async fn run_idempotent(&self, context: &CallContext) -> Response<CallerBody> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner).count_call();
        let mut avoid = Vec::new();
        for attempt in 1..=TRIES_LIMIT {
            let (upstream, fault) = match self.try_once(context, attempt, &avoid).await {
                Ok(answer) => return answer.map(pass_on),
                Err((upstream, fault)) => (upstream, fault),
            };
            avoid.extend(upstream);
            let last = attempt == TRIES_LIMIT || context.left().is_zero() || !self.may_retry();
            match fault {
                TryFault::Refused(refusal) => return refused(refusal),
                TryFault::Failed(fault) if last => return failed(fault),
                TryFault::Failed(_) => (),
            }
        }
        unreachable!("the last try returns");
    }

    async fn run_once(&self, context: &CallContext) -> Response<CallerBody> {
        match self.try_once(context, 1, &[]).await {
            Ok(answer) => answer.map(pass_on),
            Err((_, TryFault::Refused(refusal))) => refused(refusal),
            Err((_, TryFault::Failed(fault))) => failed(fault),
        }
    }

    /// Runs a call with a key in a task of its own: when the caller goes away in the middle, the
    /// claim must still be closed, or its resend would read as unknown for no reason.
    async fn run_keyed(self: Arc<Self>, context: CallContext) -> Response<CallerBody> {
        let Some(key) = key_of(&context.parts.headers) else {
            return refused(CallRefusal::lasting(RefusalReason::KeyMissing));
        };
        let run = tokio::spawn(async move { self.claim_and_run(&context, key).await });
        run.await.unwrap_or_else(|_| unknown())
    }

    async fn claim_and_run(&self, context: &CallContext, key: CallKey) -> Response<CallerBody> {
        let claim = KeyClaim {
            key,
            service: context.rule.service.clone(),
            digest: body_digest(&context.parts, &context.body),
            claimant: self.parts.claimant.wrapping_add(context.number.0),
            within_ms: context.left_ms(),
        };
        let passing = |reason| refused(CallRefusal::passing(reason, 1_000));
        let lasting = |reason| refused(CallRefusal::lasting(reason));
        match self.parts.ledger.claim(claim).await {
            Ok(ClaimAnswer::Run { attempt }) => self.run_claimed(context, key, attempt).await,
            Ok(ClaimAnswer::InProgress) => in_progress(),
            Ok(ClaimAnswer::Done { answer: Some(answer) }) => recorded(answer),
            Ok(ClaimAnswer::Done { answer: None }) => {
                let text = "this call has run; its answer was too large to be kept";
                stated(StatusCode::CONFLICT, StatedOutcome::RunNotKept, text)
            }
            Ok(ClaimAnswer::Unknown) => unknown(),
            Ok(ClaimAnswer::OtherRequest) => lasting(RefusalReason::KeyReused),
            Ok(ClaimAnswer::OutOfTime) => lasting(RefusalReason::KeyTooOld),
            Ok(ClaimAnswer::Full) => passing(RefusalReason::LedgerFull),
            Ok(ClaimAnswer::Late) => passing(RefusalReason::DeadlineTooShort),
            Err(_) => passing(RefusalReason::LedgerUnavailable),
        }
    }

    async fn run_claimed(
        &self,
        context: &CallContext,
        key: CallKey,
        attempt: AttemptNumber,
    ) -> Response<CallerBody> {
        let (end, response) = match self.try_once(context, 1, &[]).await {
            Ok(answer) => collect(answer).await,
            Err((_, TryFault::Refused(refusal))) => (RunEnd::NotRun, refused(refusal)),
            Err((_, TryFault::Failed(fault))) if fault.sent => (RunEnd::Unknown, unknown()),
            Err((_, TryFault::Failed(fault))) => (RunEnd::NotRun, failed(fault)),
        };
        // A close that fails leaves the claim open, which reads as unknown later on: safe.
        let closed = self.parts.ledger.close(KeyClose { key, attempt, end }).await;
        if let Err(fault) = closed {
            log::warn!(call:% = context.number, fault:% = fault; "claim not closed yet");
        }
        response
    }

    async fn try_once(
        &self,
        context: &CallContext,
        attempt: u32,
        avoid: &[model::names::UpstreamName],
    ) -> Result<Response<AnswerBody>, (Option<model::names::UpstreamName>, TryFault)> {
        let ask = SlotAsk {
            service: context.rule.service.clone(),
            route: context.route.clone(),
            caller: context.caller.clone(),
            class: context.rule.class,
            call: context.number,
            attempt,
            fingerprint: context.fingerprint,
            domain: self.parts.domain.clone(),
            within_ms: context.left_ms(),
            avoid: avoid.to_vec(),
        };
        let grant = self.parts.slots.ask(ask).await.map_err(|r| (None, TryFault::Refused(r)))?;
        info!(
            call:% = context.number,
            attempt,
            service:% = context.rule.service,
            upstream:% = grant.upstream,
            route:% = context.route;
            "placed"
        );
        self.send(context, &grant).await.map_err(|f| (Some(grant.upstream), TryFault::Failed(f)))
    }

    async fn send(
        &self,
        context: &CallContext,
        grant: &SlotGrant,
    ) -> Result<Response<AnswerBody>, ExchangeFault> {
        let started = Instant::now();
        let settle = self.settler(context, grant, started);
        if !self.parts.slots.begin(grant) {
            let fault = ExchangeFault { outcome: OutcomeClass::Unused, sent: false };
            settle(fault.outcome);
            return Err(fault);
        }
        let request = outgoing(context);
        let class = context.rule.class;
        match self.parts.pool.exchange(grant, class, request, context.left()).await {
            Ok(response) => Ok(response.map(|body| body.on_finish(settle))),
            Err(fault) => {
                settle(fault.outcome);
                Err(fault)
            }
        }
    }

    fn settler(
        &self,
        context: &CallContext,
        grant: &SlotGrant,
        started: Instant,
    ) -> impl FnOnce(OutcomeClass) + Send + Sync + use<S, L> {
        let slots = self.parts.slots.clone();
        let settle = SlotSettle {
            id: grant.id.clone(),
            service: context.rule.service.clone(),
            route: context.route.clone(),
            upstream: grant.upstream.clone(),
            fingerprint: context.fingerprint,
            outcome: OutcomeClass::Unused,
            took_us: 0,
        };
        move |outcome| {
            let took_us = u64::try_from(started.elapsed().as_micros()).unwrap_or(u64::MAX);
            slots.settle(SlotSettle { outcome, took_us, ..settle });
        }
    }

    fn may_retry(&self) -> bool {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner).spend()
    }
}

fn deadline_of(headers: &HeaderMap) -> Option<u32> {
    headers.get(DEADLINE_HEADER)?.to_str().ok()?.parse().ok()
}

fn key_of(headers: &HeaderMap) -> Option<CallKey> {
    headers.get(KEY_HEADER)?.to_str().ok()?.parse().ok()
}

fn caller_of(headers: &HeaderMap) -> CallerName {
    let named = headers.get(CALLER_HEADER).and_then(|value| value.to_str().ok());
    let parsed = named.and_then(|name| name.parse().ok());
    parsed.unwrap_or_else(|| "anonymous".parse().expect("a valid name"))
}

/// Headers that belong to one connection and are not passed on.
const HOP_HEADERS: [HeaderName; 6] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

fn outgoing(context: &CallContext) -> Request<RequestBody> {
    let body = Full::new(context.body.clone()).map_err(BodyError::from).boxed_unsync();
    let mut request = Request::new(body);
    *request.method_mut() = context.parts.method.clone();
    let path = context.parts.uri.path_and_query().map_or("/", |path| path.as_str());
    *request.uri_mut() = path.parse().expect("a part of a URI that was parsed");
    let headers = request.headers_mut();
    headers.clone_from(&context.parts.headers);
    for name in HOP_HEADERS {
        headers.remove(name);
    }
    headers.remove(header::CONTENT_LENGTH);
    if let Some(authority) = context.parts.uri.authority()
        && let Ok(host) = HeaderValue::from_str(authority.as_str())
    {
        headers.insert(header::HOST, host);
    }
    headers.insert(DEADLINE_HEADER, HeaderValue::from(context.left_ms()));
    request
}

fn pass_on(body: AnswerBody) -> CallerBody {
    UnsyncBoxBody::new(body.map_err(BodyError::from))
}

async fn collect(answer: Response<AnswerBody>) -> (RunEnd, Response<CallerBody>) {
    let (mut parts, body) = answer.into_parts();
    let Ok(collected) = body.collect().await else {
        return (RunEnd::Unknown, unknown());
    };
    for name in HOP_HEADERS {
        parts.headers.remove(name);
    }
    let body = collected.to_bytes();
    let headers = parts.headers.iter();
    let kept = RecordedAnswer {
        status: parts.status.as_u16(),
        headers: headers.map(|(n, v)| (n.as_str().to_owned(), v.as_bytes().to_vec())).collect(),
        body: body.to_vec(),
    };
    let answer = (kept.size() <= ANSWER_LIMIT).then_some(kept);
    let body = Full::new(body).map_err(BodyError::from).boxed_unsync();
    (RunEnd::Done { answer }, Response::from_parts(parts, body))
}

fn failed(fault: ExchangeFault) -> Response<CallerBody> {
    if fault.sent && !fault.outcome.proves_not_run() {
        return unknown();
    }
    refused(CallRefusal::passing(RefusalReason::UpstreamsRefused, 1_000))
}

fn unknown() -> Response<CallerBody> {
    let text = "no whole answer came; the call may have run";
    stated(StatusCode::BAD_GATEWAY, StatedOutcome::Unknown, text)
}

fn in_progress() -> Response<CallerBody> {
    let text = "a call with this key is running; ask again for its answer";
    let mut response = stated(StatusCode::CONFLICT, StatedOutcome::InProgress, text);
    response.headers_mut().insert(header::RETRY_AFTER, HeaderValue::from(1));
    response
}
