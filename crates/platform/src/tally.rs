//! The counters that traffic threads touch.
//!
//! At 1.6 million calls a second over 5,700 nodes each node counts a few events for each of some 300
//! calls a second; on today's 36 to 48 nodes it is thousands. A counter of the metrics library
//! hashes its labels and takes a shared lock at each event. Here an event is one look-up by service
//! and one relaxed addition; the labels are only put together when the page is read.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use arc_swap::ArcSwap;
use model::{
    call::{OutcomeClass, RefusalReason},
    ledger::ClaimAnswer,
    names::ServiceName,
};

/// Each way in which a try can end, in the order of its declaration.
pub const OUTCOMES: [OutcomeClass; 11] = [
    OutcomeClass::Success,
    OutcomeClass::ErrorAnswer,
    OutcomeClass::Timeout,
    OutcomeClass::ConnectFailure,
    OutcomeClass::StaleConnection,
    OutcomeClass::CutAnswer,
    OutcomeClass::Crash,
    OutcomeClass::Shed,
    OutcomeClass::Draining,
    OutcomeClass::Cancelled,
    OutcomeClass::Unused,
];

/// Each reason of a refusal, in the order of its declaration.
pub const REASONS: [RefusalReason; 13] = [
    RefusalReason::NoRoute,
    RefusalReason::NoUpstream,
    RefusalReason::Saturated,
    RefusalReason::DeadlineTooShort,
    RefusalReason::Poisonous,
    RefusalReason::LedgerUnavailable,
    RefusalReason::LedgerFull,
    RefusalReason::KeyMissing,
    RefusalReason::KeyTooOld,
    RefusalReason::KeyReused,
    RefusalReason::BadRequest,
    RefusalReason::UpstreamsRefused,
    RefusalReason::NotReady,
];

/// How the claims of idempotency keys ended.
pub const CLAIMS: [&str; 9] = [
    "run",
    "in-progress",
    "done",
    "unknown",
    "other-request",
    "out-of-time",
    "full",
    "late",
    "no-majority",
];

/// Returns the label of an outcome.
pub fn outcome_label(outcome: OutcomeClass) -> &'static str {
    match outcome {
        OutcomeClass::Success => "success",
        OutcomeClass::ErrorAnswer => "error-answer",
        OutcomeClass::Timeout => "timeout",
        OutcomeClass::ConnectFailure => "connect-failure",
        OutcomeClass::StaleConnection => "stale-connection",
        OutcomeClass::CutAnswer => "cut-answer",
        OutcomeClass::Crash => "crash",
        OutcomeClass::Shed => "shed",
        OutcomeClass::Draining => "draining",
        OutcomeClass::Cancelled => "cancelled",
        OutcomeClass::Unused => "unused",
    }
}

fn claim_place(answer: Option<&ClaimAnswer>) -> usize {
    match answer {
        Some(ClaimAnswer::Run { .. }) => 0,
        Some(ClaimAnswer::InProgress) => 1,
        Some(ClaimAnswer::Done { .. }) => 2,
        Some(ClaimAnswer::Unknown) => 3,
        Some(ClaimAnswer::OtherRequest) => 4,
        Some(ClaimAnswer::OutOfTime) => 5,
        Some(ClaimAnswer::Full) => 6,
        Some(ClaimAnswer::Late) => 7,
        None => 8,
    }
}

/// Counts of events, one for each kind.
#[derive(Debug)]
struct EventCounts<const N: usize>([AtomicU64; N]);

impl<const N: usize> Default for EventCounts<N> {
    fn default() -> Self {
        Self(std::array::from_fn(|_| AtomicU64::new(0)))
    }
}

impl<const N: usize> EventCounts<N> {
    fn count(&self, place: usize) {
        if let Some(counter) = self.0.get(place) {
            counter.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn read(&self) -> [u64; N] {
        std::array::from_fn(|place| self.0[place].load(Ordering::Relaxed))
    }
}

/// The counts of one service.
#[derive(Debug, Default)]
pub struct ServiceTally {
    tries: EventCounts<{ OUTCOMES.len() }>,
    refusals: EventCounts<{ REASONS.len() }>,
}

impl ServiceTally {
    /// Counts the end of a try.
    pub fn count_try(&self, outcome: OutcomeClass) {
        self.tries.count(outcome as usize);
    }

    /// Counts a refused placement.
    pub fn count_refusal(&self, reason: RefusalReason) {
        self.refusals.count(reason as usize);
    }

    /// Returns the ends of tries, in the order of [`OUTCOMES`].
    pub fn tries(&self) -> [u64; OUTCOMES.len()] {
        self.tries.read()
    }

    /// Returns the refusals, in the order of [`REASONS`].
    pub fn refusals(&self) -> [u64; REASONS.len()] {
        self.refusals.read()
    }
}

/// The counts of all services and of claims. Reading it takes no lock.
#[derive(Debug, Default)]
pub struct FleetTally {
    services: ArcSwap<HashMap<ServiceName, Arc<ServiceTally>>>,
    claims: EventCounts<{ CLAIMS.len() }>,
}

impl FleetTally {
    /// Returns the counts of a service, made at its first event. Only a service of the
    /// configuration gets here, so callers cannot make the map grow.
    pub fn service(&self, name: &ServiceName) -> Arc<ServiceTally> {
        if let Some(tally) = self.services.load().get(name) {
            return tally.clone();
        }
        self.services.rcu(|services| {
            let mut services = HashMap::clone(services);
            services.entry(name.clone()).or_default();
            services
        });
        self.services.load().get(name).cloned().unwrap_or_default()
    }

    /// Counts the answer to a claim; `None` where no majority was reached.
    pub fn count_claim(&self, answer: Option<&ClaimAnswer>) {
        self.claims.count(claim_place(answer));
    }

    /// Lists the services that had an event.
    pub fn services(&self) -> Arc<HashMap<ServiceName, Arc<ServiceTally>>> {
        self.services.load_full()
    }

    /// Returns the answers to claims, in the order of [`CLAIMS`].
    pub fn claims(&self) -> [u64; CLAIMS.len()] {
        self.claims.read()
    }
}
