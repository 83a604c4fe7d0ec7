//! The path of one call through an entry: head, body, and a run by the rules of its class.
//!
//! - idempotent calls run in [`crate::repeat`]: repeated and hedged within one deadline;
//! - calls with a key run in [`crate::keyed`]: claimed first, then at most once;
//! - unprotected calls run once, and again only on proof that nothing was run.

use std::{
    net::IpAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
};

use arc_swap::ArcSwap;
use http::{HeaderValue, Request, Response, Version, header};
use hyper::body::Incoming;
use log::info;
use model::{
    call::{CallClass, CallRefusal, RefusalReason},
    config::FleetConfig,
    names::{DomainName, UpstreamName},
    numbers::CallNumber,
    ports::{LedgerPort, SlotPort},
};
use tokio::sync::Semaphore;
use tokio_util::task::TaskTracker;
use upstream::{exchange::ExchangeFault, pool::ConnectionPool};

use crate::{
    answer::{CallReject, CallerBody, failed, refused},
    budget::ServiceBudgets,
    limits::CallLimits,
    reader::ReadRules,
    repeat::RepeatedRun,
    request::{CallContext, RoutedCall},
    tries::{PlacedTry, TryAnswer, TryReason, slot_ask},
};

/// When a call that this VM itself has no room for should come back, in milliseconds.
const FULL_RETRY_MS: u32 = 1_000;

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
}

/// The call path of one entry.
pub struct CallEntry<S, L> {
    pub(crate) parts: EntryParts<S, L>,
    pub(crate) limits: CallLimits,
    reading: ReadRules,
    /// What runs on when its caller is gone.
    pub(crate) tasks: TaskTracker,
    next_call: AtomicU64,
    pub(crate) budgets: ServiceBudgets,
    room: Semaphore,
    closing: AtomicBool,
}

/// Why a call that runs at most once has no answer.
pub(crate) enum OnceFault {
    /// It got no slot.
    Refused(CallRefusal),
    /// Its last try failed.
    Failed(ExchangeFault),
}

impl OnceFault {
    pub(crate) fn proves_not_run(&self) -> bool {
        match self {
            Self::Refused(_) => true,
            Self::Failed(fault) => fault.proves_not_run(),
        }
    }

    pub(crate) fn into_response(self) -> Response<CallerBody> {
        match self {
            Self::Refused(refusal) => refused(refusal),
            Self::Failed(fault) => failed(fault),
        }
    }
}

impl<S: SlotPort, L: LedgerPort> CallEntry<S, L> {
    /// Makes an entry with the default limits.
    pub fn new(parts: EntryParts<S, L>) -> Self {
        Self::with_limits(parts, CallLimits::default())
    }

    /// Makes an entry.
    pub fn with_limits(parts: EntryParts<S, L>, limits: CallLimits) -> Self {
        Self {
            parts,
            limits,
            reading: ReadRules::new(&limits),
            tasks: TaskTracker::new(),
            next_call: AtomicU64::new(1),
            budgets: ServiceBudgets::default(),
            room: Semaphore::new(limits.calls),
            closing: AtomicBool::new(false),
        }
    }

    /// Returns the limits.
    pub fn limits(&self) -> &CallLimits {
        &self.limits
    }

    /// From now on asks callers to open no further request on their present connection.
    pub fn begin_closing(&self) {
        self.closing.store(true, Ordering::Relaxed);
    }

    /// Waits until no call runs on without its caller.
    pub async fn settle_tasks(&self) {
        self.tasks.close();
        self.tasks.wait().await;
    }

    /// Answers one request of the caller at `peer`.
    pub async fn answer(
        self: Arc<Self>,
        request: Request<Incoming>,
        peer: IpAddr,
    ) -> Response<CallerBody> {
        let version = request.version();
        let mut response = match self.room.try_acquire() {
            Ok(_held) => self.clone().run(request, peer).await,
            Err(_) => refused(CallRefusal::passing(RefusalReason::Saturated, FULL_RETRY_MS)),
        };
        // Failure: a VM stops and closes a connection just when a caller sends on it. Symptom: a cut
        // call in a planned stop. Safeguard: callers are asked to close first, while calls are still
        // taken. HTTP/2 has a message of its own for that.
        if self.closing.load(Ordering::Relaxed) && version < Version::HTTP_2 {
            response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    async fn run(
        self: Arc<Self>,
        request: Request<Incoming>,
        peer: IpAddr,
    ) -> Response<CallerBody> {
        let context = match self.read(request, peer).await {
            Ok(context) => context,
            Err(reject) => {
                info!(peer:% = peer, reason:? = reject; "rejected");
                return reject.into_response();
            }
        };
        match context.rule.class {
            CallClass::Idempotent => RepeatedRun::new(&self, &context).run().await,
            CallClass::KeyRequired => self.run_keyed(context).await,
            CallClass::Unprotected => self.run_unprotected(&context).await,
        }
    }

    async fn read(
        &self,
        request: Request<Incoming>,
        peer: IpAddr,
    ) -> Result<CallContext, CallReject> {
        let (parts, body) = request.into_parts();
        let number = CallNumber(self.next_call.fetch_add(1, Ordering::Relaxed));
        let routed = RoutedCall::open(number, parts, &self.parts.config.load())?;
        routed.read(body, peer, &self.reading).await
    }

    async fn run_unprotected(&self, context: &CallContext) -> Response<CallerBody> {
        let first = self.place(context, 1, &[], TryReason::First).await;
        match self.run_at_most_once(context, first).await {
            Ok(answer) => answer.pass_on(context),
            Err(fault) => fault.into_response(),
        }
    }

    /// Sends a call to one upstream, and to another only on proof that the one before ran nothing.
    pub(crate) async fn run_at_most_once(
        &self,
        context: &CallContext,
        first: Result<PlacedTry<S>, CallRefusal>,
    ) -> Result<TryAnswer, OnceFault> {
        self.count_call(context);
        let mut placed = first.map_err(OnceFault::Refused)?;
        let mut avoid = Vec::new();
        for attempt in 1.. {
            avoid.push(placed.grant.upstream.clone());
            let fault = match placed.send(&self.parts.pool, context, &self.limits).await {
                Ok(answer) => return Ok(answer),
                Err(fault) => fault,
            };
            if !self.budgets.allows_retry(context, attempt, fault.outcome) {
                return Err(OnceFault::Failed(fault));
            }
            let reason = TryReason::After(fault.outcome);
            let next = self.place(context, attempt + 1, &avoid, reason).await;
            placed = next.map_err(OnceFault::Refused)?;
        }
        unreachable!("the last try returns");
    }

    /// Asks for a slot for one try.
    pub(crate) async fn place(
        &self,
        context: &CallContext,
        attempt: u32,
        avoid: &[UpstreamName],
        reason: TryReason,
    ) -> Result<PlacedTry<S>, CallRefusal> {
        let ask = slot_ask(context, &self.parts.domain, attempt, avoid);
        PlacedTry::place(&self.parts.slots, context, ask, reason).await
    }

    pub(crate) fn count_call(&self, context: &CallContext) {
        self.budgets.count_call(context, &self.parts.config.load());
    }
}
