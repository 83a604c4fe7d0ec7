//! Calls: what a caller asked for and how it ended.

use std::fmt;

use derive::domain;
use snafu::Snafu;

/// The response header that states how far a call got that the fleet itself answered.
pub const OUTCOME_HEADER: &str = "coltsfootcrank-outcome";

/// The request and response header with the milliseconds that are left for a call.
pub const DEADLINE_HEADER: &str = "coltsfootcrank-deadline-ms";

/// The request header with the key of a non-idempotent call: a UUIDv7.
pub const KEY_HEADER: &str = "idempotency-key";

/// The request header under whose value a caller's share is counted, where the platform sets it.
pub const CALLER_HEADER: &str = "coltsfootcrank-caller";

/// The response header by which an upstream states `shed`, `draining` or `leaving`, each of which
/// says that the call was not run.
pub const UPSTREAM_STATE_HEADER: &str = "coltsfootcrank-upstream";

/// Whether a call may run more than once.
#[domain(value)]
pub enum CallClass {
    /// May be repeated and hedged.
    Idempotent,
    /// Runs at most once and must carry an idempotency key.
    KeyRequired,
    /// Is never repeated by the fleet, but a caller's own resend runs again: there is no key.
    Unprotected,
}

impl CallClass {
    /// Tells whether the fleet may run the call again on its own.
    pub fn is_idempotent(self) -> bool {
        matches!(self, Self::Idempotent)
    }
}

/// How one try of a call ended, as evidence about its upstream.
#[domain(value)]
pub enum OutcomeClass {
    /// A whole answer that is no failure of the upstream.
    Success,
    /// A whole answer that says the upstream failed (status 5xx).
    ErrorAnswer,
    /// No answer within the time allowed.
    Timeout,
    /// No connection could be opened; nothing was sent.
    ConnectFailure,
    /// An old connection was silent while a new one works; the upstream is not to blame.
    StaleConnection,
    /// The answer broke off.
    CutAnswer,
    /// The connection broke after the request was sent and before an answer began.
    Crash,
    /// The upstream refused the call for load and did not run it.
    Shed,
    /// The upstream refused the call because it is draining and did not run it.
    Draining,
    /// The caller went away; says nothing of the upstream.
    Cancelled,
    /// The grant was given back before anything was sent.
    Unused,
}

impl OutcomeClass {
    /// Tells whether it is proved that the upstream did not run the call.
    pub fn proves_not_run(self) -> bool {
        matches!(self, Self::ConnectFailure | Self::Shed | Self::Draining | Self::Unused)
    }
}

/// Why the fleet itself refused a call that was certainly not run.
#[domain(value)]
pub enum RefusalReason {
    /// No route matches.
    NoRoute,
    /// The service has no healthy upstream.
    NoUpstream,
    /// The queue is full, or the caller's share of it.
    Saturated,
    /// The deadline cannot be met.
    DeadlineTooShort,
    /// The request has been seen to crash the upstreams that run it.
    Poisonous,
    /// The key's ledger group has no majority.
    LedgerUnavailable,
    /// The ledger has no room for another key.
    LedgerFull,
    /// The route requires an idempotency key, or the one given is malformed.
    KeyMissing,
    /// The key is older than what the ledger keeps.
    KeyTooOld,
    /// The key was used with another body.
    KeyReused,
    /// The request was malformed or over a limit.
    BadRequest,
    /// Each upstream tried refused the call without running it.
    UpstreamsRefused,
    /// This VM has not yet learned the configuration, or is stopping.
    NotReady,
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NoRoute => "no-route",
            Self::NoUpstream => "no-upstream",
            Self::Saturated => "saturated",
            Self::DeadlineTooShort => "deadline-too-short",
            Self::Poisonous => "poisonous",
            Self::LedgerUnavailable => "ledger-unavailable",
            Self::LedgerFull => "ledger-full",
            Self::KeyMissing => "key-missing",
            Self::KeyTooOld => "key-too-old",
            Self::KeyReused => "key-reused",
            Self::BadRequest => "bad-request",
            Self::UpstreamsRefused => "upstreams-refused",
            Self::NotReady => "not-ready",
        })
    }
}

/// The refusal of a call of which nothing was run.
#[domain]
#[derive(Copy, Snafu)]
#[snafu(display("refused, not run: {reason}; come back in {retry_after_ms} ms"))]
pub struct CallRefusal {
    /// Why.
    pub reason: RefusalReason,
    /// When it is worth coming back, in milliseconds; 0 where time changes nothing.
    pub retry_after_ms: u32,
}

impl CallRefusal {
    /// Makes a refusal that time does not change.
    pub fn lasting(reason: RefusalReason) -> Self {
        Self { reason, retry_after_ms: 0 }
    }

    /// Makes a refusal after which coming back makes sense.
    pub fn passing(reason: RefusalReason, retry_after_ms: u32) -> Self {
        Self { reason, retry_after_ms }
    }
}
