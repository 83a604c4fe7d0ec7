//! Runs a call with an idempotency key: at most once, however often and wherever it is sent.
//!
//! The claim and the slot are asked for at the same time, and bytes go out only when both are there.
//! The ledger's word comes first: a resend of a call that has run must be told so, also when no slot
//! is free, since its caller would otherwise take "not run" for the fate of its payment and pay again
//! under a new key.

use std::{pin::Pin, sync::Arc, time::Duration};

use http::Response;
use http_body_util::combinators::UnsyncBoxBody;
use model::{
    call::{CallRefusal, OutcomeClass, RefusalReason},
    ledger::{ANSWER_LIMIT, CallKey, ClaimAnswer, KeyClaim, KeyClose, RecordedAnswer, RunEnd},
    numbers::AttemptNumber,
    ports::{LedgerFault, LedgerPort, SlotPort},
};
use tokio::{
    task::JoinHandle,
    time::{sleep_until, timeout},
};
use uuid::Uuid;

use crate::{
    answer::{
        CallerBody, in_progress, ledger_refused, not_kept, recorded, refused, stays_unknown,
        unknown,
    },
    body::WholeBody,
    digest::body_digest,
    entry::CallEntry,
    relay::RelayedBody,
    request::{CallContext, key_of},
    tries::{PlacedTry, TryAnswer, TryBody, TryReason},
};

/// How long an answer waits for its record. A caller who has the answer can count on a resend giving
/// the same; when the ledger is slow, the answer goes out all the same.
const RECORD_PATIENCE: Duration = Duration::from_millis(250);

type ClaimResult = Result<ClaimAnswer, LedgerFault>;
type ClaimFuture = Pin<Box<dyn Future<Output = ClaimResult> + Send>>;

impl<S: SlotPort, L: LedgerPort> CallEntry<S, L> {
    /// Runs a call with a key in a task of its own: when the caller goes away in the middle, the
    /// claim must still be closed, or its resend would read as unknown for no reason.
    pub(crate) async fn run_keyed(self: Arc<Self>, context: CallContext) -> Response<CallerBody> {
        let Some(key) = key_of(&context.parts.headers) else {
            return refused(CallRefusal::lasting(RefusalReason::KeyMissing));
        };
        let entry = self.clone();
        let run = self.tasks.spawn(async move { entry.claim_and_run(&context, key).await });
        run.await.unwrap_or_else(|_| unknown(OutcomeClass::Cancelled))
    }

    async fn claim_and_run(
        self: Arc<Self>,
        context: &CallContext,
        key: CallKey,
    ) -> Response<CallerBody> {
        let mut claim = self.claim(context, key);
        let mut place = std::pin::pin!(self.place(context, 1, &[], TryReason::First));
        let mut placed = None;
        let answer = loop {
            tokio::select! {
                answer = &mut claim => break answer,
                result = &mut place, if placed.is_none() => placed = Some(result),
                () = sleep_until(context.until) => {
                    self.abandon_claim(claim, key);
                    return ledger_refused(RefusalReason::LedgerUnavailable);
                }
            }
        };
        let attempt = match answer {
            Ok(ClaimAnswer::Run { attempt }) => attempt,
            // Leaving here drops the ask or the slot, which gives the slot back unused.
            other => return answer_resend(other),
        };
        let placed = match placed {
            Some(placed) => placed,
            None => place.await,
        };
        self.run_claimed(context, placed, key, attempt).await
    }

    fn claim(&self, context: &CallContext, key: CallKey) -> ClaimFuture {
        let claim = KeyClaim {
            key,
            service: context.rule.service.clone(),
            digest: body_digest(&context.parts, context.whole_body()),
            claimant: random_claimant(),
            within_ms: context.left_ms(),
        };
        let ledger = self.parts.ledger.clone();
        Box::pin(async move { ledger.claim(claim).await })
    }

    /// Follows a claim that was not answered in time: if it is granted after all, nothing will run
    /// under it.
    fn abandon_claim(self: &Arc<Self>, claim: ClaimFuture, key: CallKey) {
        let entry = self.clone();
        self.tasks.spawn(async move {
            if let Ok(ClaimAnswer::Run { attempt }) = claim.await {
                // Logged where it fails; the claim then reads as unknown, which is safe.
                let _ = entry.close(key, attempt, RunEnd::NotRun).await;
            }
        });
    }

    async fn run_claimed(
        self: &Arc<Self>,
        context: &CallContext,
        placed: Result<PlacedTry<S>, CallRefusal>,
        key: CallKey,
        attempt: AttemptNumber,
    ) -> Response<CallerBody> {
        match self.run_at_most_once(context, placed).await {
            Ok(answer) => self.record(context, answer, key, attempt).await,
            // The caller has its answer at once; the claim is closed meanwhile.
            Err(fault) if fault.proves_not_run() => {
                drop(self.close(key, attempt, RunEnd::NotRun));
                fault.into_response()
            }
            Err(fault) => {
                drop(self.close(key, attempt, RunEnd::Unknown));
                fault.into_response()
            }
        }
    }

    async fn record(
        self: &Arc<Self>,
        context: &CallContext,
        answer: TryAnswer,
        key: CallKey,
        attempt: AttemptNumber,
    ) -> Response<CallerBody> {
        let TryAnswer { head, body } = answer;
        let body = match body {
            TryBody::Whole(body) => {
                let kept = kept_answer(&head, &body);
                let closing = self.close(key, attempt, RunEnd::Done { answer: kept });
                let _ = timeout(RECORD_PATIENCE, closing).await;
                UnsyncBoxBody::new(body)
            }
            TryBody::Open(start, rest) => {
                // Larger than what is kept, so only its end has to be learned.
                let (body, passing) = RelayedBody::open(start, *rest, context.until);
                let entry = self.clone();
                self.tasks.spawn(async move {
                    let whole = passing.await;
                    let end = if whole { RunEnd::Done { answer: None } } else { RunEnd::Unknown };
                    let _ = entry.close(key, attempt, end).await;
                });
                UnsyncBoxBody::new(body)
            }
        };
        Response::from_parts(head, body)
    }

    /// Starts to close a claim. The work goes on when the handle is dropped.
    fn close(&self, key: CallKey, attempt: AttemptNumber, end: RunEnd) -> JoinHandle<()> {
        let ledger = self.parts.ledger.clone();
        self.tasks.spawn(async move {
            // A close that fails leaves the claim open, which reads as unknown later on: safe.
            if let Err(fault) = ledger.close(KeyClose { key, attempt, end }).await {
                log::warn!(key:% = key, attempt:% = attempt, fault:% = fault; "claim not closed yet");
            }
        })
    }
}

/// Draws what tells one call from another with the same key: 64 random bits. The six bits that a
/// random UUID fixes are spread by folding its halves, since no bit is fixed in both.
fn random_claimant() -> u64 {
    let (high, low) = Uuid::new_v4().as_u64_pair();
    high ^ low
}

/// Answers a call whose claim did not give it the right to run.
fn answer_resend(answer: ClaimResult) -> Response<CallerBody> {
    let lasting = |reason| refused(CallRefusal::lasting(reason));
    match answer {
        Ok(ClaimAnswer::Run { .. }) => unreachable!("the caller of this runs it"),
        Ok(ClaimAnswer::InProgress) => in_progress(),
        Ok(ClaimAnswer::Done { answer: Some(answer) }) => recorded(answer),
        Ok(ClaimAnswer::Done { answer: None }) => not_kept(),
        Ok(ClaimAnswer::Unknown) => stays_unknown(),
        Ok(ClaimAnswer::OtherRequest) => lasting(RefusalReason::KeyReused),
        Ok(ClaimAnswer::OutOfTime) => lasting(RefusalReason::KeyTooOld),
        Ok(ClaimAnswer::Full) => ledger_refused(RefusalReason::LedgerFull),
        Ok(ClaimAnswer::Late) => ledger_refused(RefusalReason::DeadlineTooShort),
        Err(_) => ledger_refused(RefusalReason::LedgerUnavailable),
    }
}

/// Makes what the ledger keeps of an answer; `None` where that is too large.
fn kept_answer(head: &http::response::Parts, body: &WholeBody) -> Option<RecordedAnswer> {
    let headers = head.headers.iter();
    let headers: Vec<_> =
        headers.map(|(n, v)| (n.as_str().to_owned(), v.as_bytes().to_vec())).collect();
    let sizes: usize = headers.iter().map(|(name, value)| name.len() + value.len()).sum();
    let fits = sizes + body.data.len() <= ANSWER_LIMIT;
    fits.then(|| RecordedAnswer { status: head.status.as_u16(), headers, body: body.data.to_vec() })
}
