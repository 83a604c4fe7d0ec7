//! What the fleet itself answers. Each such answer states in a header how far the call got.

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};
use model::{
    call::{CallRefusal, OUTCOME_HEADER, OutcomeClass, RefusalReason},
    ledger::RecordedAnswer,
};
use upstream::exchange::ExchangeFault;

/// When a caller should come back after a failure that is likely to pass, in milliseconds.
const COME_BACK_MS: u32 = 1_000;

/// The error type of bodies that are passed through.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// The body of an answer to a caller.
pub type CallerBody = UnsyncBoxBody<Bytes, BodyError>;

/// How far a call got that the fleet itself answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatedOutcome {
    /// It is proved that nothing was run.
    NotRun,
    /// It may have run, and may still be running.
    Unknown,
    /// Another call with the same key is running.
    InProgress,
    /// The call has run and its recorded answer is here.
    Recorded,
    /// The call has run, but its answer was too large to be kept.
    RunNotKept,
}

impl StatedOutcome {
    /// Returns the value of the outcome header.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
            Self::InProgress => "in-progress",
            Self::Recorded => "recorded",
            Self::RunNotKept => "run-answer-not-kept",
        }
    }
}

/// Makes an answer of the fleet's own with a line of text.
pub fn stated(status: StatusCode, outcome: StatedOutcome, text: &str) -> Response<CallerBody> {
    let body = Full::new(Bytes::from(format!("{text}\n"))).map_err(BodyError::from).boxed_unsync();
    let mut response = Response::new(body);
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(OUTCOME_HEADER, HeaderValue::from_static(outcome.as_str()));
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain; charset=utf-8"));
    response
}

/// Why a request was not taken. Nothing was run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallReject {
    /// The fleet refused it.
    Refused(CallRefusal),
    /// It broke a rule of HTTP or a limit.
    Broken {
        /// The status that says which.
        status: StatusCode,
        /// What its sender should change.
        text: &'static str,
    },
}

impl CallReject {
    pub(crate) fn broken(status: StatusCode, text: &'static str) -> Self {
        Self::Broken { status, text }
    }

    pub(crate) fn into_response(self) -> Response<CallerBody> {
        match self {
            Self::Refused(refusal) => refused(refusal),
            Self::Broken { status, text } => stated(status, StatedOutcome::NotRun, text),
        }
    }
}

impl From<CallRefusal> for CallReject {
    fn from(refusal: CallRefusal) -> Self {
        Self::Refused(refusal)
    }
}

/// Answers a refused call, with a time to come back where coming back helps.
pub fn refused(refusal: CallRefusal) -> Response<CallerBody> {
    let mut response =
        stated(status_of(refusal.reason), StatedOutcome::NotRun, &refusal.to_string());
    if refusal.retry_after_ms > 0 {
        let seconds = refusal.retry_after_ms.div_ceil(1_000);
        response.headers_mut().insert(header::RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}

/// Answers a resend with what the first run answered.
pub fn recorded(answer: RecordedAnswer) -> Response<CallerBody> {
    let body = Full::new(Bytes::from(answer.body)).map_err(BodyError::from).boxed_unsync();
    let mut response = Response::new(body);
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    for (name, value) in answer.headers {
        let name = http::HeaderName::try_from(name);
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_bytes(&value)) {
            response.headers_mut().append(name, value);
        }
    }
    let outcome = HeaderValue::from_static(StatedOutcome::Recorded.as_str());
    response.headers_mut().insert(OUTCOME_HEADER, outcome);
    response
}

/// Answers a call that failed at its upstream.
pub fn failed(fault: ExchangeFault) -> Response<CallerBody> {
    if fault.proves_not_run() {
        return refused(CallRefusal::passing(RefusalReason::UpstreamsRefused, COME_BACK_MS));
    }
    unknown(fault.outcome)
}

/// Answers a call that may have run.
pub fn unknown(outcome: OutcomeClass) -> Response<CallerBody> {
    let status = match outcome {
        OutcomeClass::Timeout | OutcomeClass::StaleConnection => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    };
    stated(status, StatedOutcome::Unknown, "no whole answer came; the call may have run")
}

/// Answers a resend whose first run the ledger calls unknown.
pub fn stays_unknown() -> Response<CallerBody> {
    let text = "a call with this key may have run; it will not be run again";
    stated(StatusCode::CONFLICT, StatedOutcome::Unknown, text)
}

/// Answers a resend while the first run goes on.
pub fn in_progress() -> Response<CallerBody> {
    let text = "a call with this key is running; ask again for its answer";
    let mut response = stated(StatusCode::CONFLICT, StatedOutcome::InProgress, text);
    response.headers_mut().insert(header::RETRY_AFTER, HeaderValue::from(1));
    response
}

/// Answers a resend whose answer the ledger could not keep.
pub fn not_kept() -> Response<CallerBody> {
    let text = "this call has run; its answer was too large to be kept";
    stated(StatusCode::CONFLICT, StatedOutcome::RunNotKept, text)
}

/// Refuses a keyed call because of its ledger. Nothing was run by this call, but the ledger did not
/// say whether an earlier one with the key has run, so the text must not deny it.
pub fn ledger_refused(reason: RefusalReason) -> Response<CallerBody> {
    let refusal = CallRefusal::passing(reason, COME_BACK_MS);
    let text = format!(
        "{refusal}; an earlier call with the same key may have run: send this key again, not a new one"
    );
    let mut response = stated(status_of(reason), StatedOutcome::NotRun, &text);
    response.headers_mut().insert(header::RETRY_AFTER, HeaderValue::from(1));
    response
}

fn status_of(reason: RefusalReason) -> StatusCode {
    match reason {
        RefusalReason::NoRoute => StatusCode::NOT_FOUND,
        RefusalReason::BadRequest | RefusalReason::KeyMissing => StatusCode::BAD_REQUEST,
        RefusalReason::KeyReused => StatusCode::UNPROCESSABLE_ENTITY,
        RefusalReason::KeyTooOld => StatusCode::GONE,
        RefusalReason::Poisonous => StatusCode::FORBIDDEN,
        RefusalReason::Saturated => StatusCode::TOO_MANY_REQUESTS,
        RefusalReason::NoUpstream
        | RefusalReason::DeadlineTooShort
        | RefusalReason::LedgerUnavailable
        | RefusalReason::LedgerFull
        | RefusalReason::UpstreamsRefused
        | RefusalReason::NotReady => StatusCode::SERVICE_UNAVAILABLE,
    }
}
