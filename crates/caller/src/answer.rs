//! What the fleet itself answers. Each such answer states in a header how far the call got.

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};
use model::{
    call::{CallRefusal, OUTCOME_HEADER, RefusalReason},
    ledger::RecordedAnswer,
};

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
