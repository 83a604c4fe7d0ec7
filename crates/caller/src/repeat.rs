//! Runs an idempotent call: tries at several upstreams within one deadline, and hedges.
//!
//! A try that fails is followed by one elsewhere while nothing has gone to the caller. A try that is
//! slow is hedged: a second one starts, the first good answer wins, and the other is dropped, which
//! cancels it at its upstream. Each try but the first is paid for from the retry budget.

use std::time::Duration;

use http::Response;
use model::{
    call::{CallRefusal, OutcomeClass},
    names::UpstreamName,
    ports::{LedgerPort, SlotPort},
};
use tokio::time::timeout;
use upstream::exchange::ExchangeFault;

use crate::{
    answer::{CallerBody, failed, refused},
    entry::CallEntry,
    request::CallContext,
    tries::{PlacedTry, TryAnswer, TryReason},
};

type TryResult = Result<TryAnswer, ExchangeFault>;

/// One idempotent call on its way.
pub(crate) struct RepeatedRun<'a, S, L> {
    entry: &'a CallEntry<S, L>,
    context: &'a CallContext,
    attempt: u32,
    avoid: Vec<UpstreamName>,
    /// The last whole answer that said the upstream failed: better than none.
    last_error: Option<TryAnswer>,
    /// The first fault after which the call may have run.
    may_have_run: Option<ExchangeFault>,
}

impl<'a, S: SlotPort, L: LedgerPort> RepeatedRun<'a, S, L> {
    pub(crate) fn new(entry: &'a CallEntry<S, L>, context: &'a CallContext) -> Self {
        let avoid = Vec::new();
        Self { entry, context, attempt: 0, avoid, last_error: None, may_have_run: None }
    }

    /// Runs the call to its answer.
    pub(crate) async fn run(mut self) -> Response<CallerBody> {
        self.entry.count_call(self.context);
        let mut reason = TryReason::First;
        loop {
            let placed = match self.place(reason).await {
                Ok(placed) => placed,
                Err(refusal) => return self.end(|| refused(refusal)),
            };
            let fault = match self.send_hedged(placed).await {
                Ok(answer) if !answer.is_whole_error() => return answer.pass_on(self.context),
                Ok(answer) => {
                    self.last_error = Some(answer);
                    ExchangeFault { outcome: OutcomeClass::ErrorAnswer, sent: true }
                }
                Err(fault) => fault,
            };
            self.note(fault);
            let budgets = &self.entry.budgets;
            if !budgets.allows_retry(self.context, self.attempt, fault.outcome) {
                return self.end(|| failed(fault));
            }
            reason = TryReason::After(fault.outcome);
        }
    }

    /// Ends a call without a good answer. What earlier tries left behind goes before `otherwise`: a
    /// call that may have run is never said to be not run.
    fn end(self, otherwise: impl FnOnce() -> Response<CallerBody>) -> Response<CallerBody> {
        match (self.last_error, self.may_have_run) {
            (Some(answer), _) => answer.pass_on(self.context),
            (None, Some(fault)) => failed(fault),
            (None, None) => otherwise(),
        }
    }

    fn note(&mut self, fault: ExchangeFault) {
        if !fault.proves_not_run() && self.may_have_run.is_none() {
            self.may_have_run = Some(fault);
        }
    }

    async fn place(&mut self, reason: TryReason) -> Result<PlacedTry<S>, CallRefusal> {
        self.attempt += 1;
        let placed = self.entry.place(self.context, self.attempt, &self.avoid, reason).await?;
        self.avoid.push(placed.grant.upstream.clone());
        Ok(placed)
    }

    async fn send_hedged(&mut self, placed: PlacedTry<S>) -> TryResult {
        let hedge_after = Duration::from_micros(placed.grant.hedge_after_us);
        let (entry, context) = (self.entry, self.context);
        let send = |placed: PlacedTry<S>| placed.send(&entry.parts.pool, context, &entry.limits);
        let mut first = std::pin::pin!(send(placed));
        if hedge_after.is_zero() || hedge_after >= context.left() {
            return first.await;
        }
        if let Ok(result) = timeout(hedge_after, &mut first).await {
            return result;
        }
        if !entry.budgets.allows_hedge(context) {
            return first.await;
        }
        let second = async {
            let placed = self.place(TryReason::Hedge).await.ok()?;
            Some(send(placed).await)
        };
        race(first, second).await
    }
}

/// Returns the first good result of two tries, or the better of two bad ones. `None`: the second try
/// got no slot.
async fn race(
    mut first: impl Future<Output = TryResult> + Unpin,
    second: impl Future<Output = Option<TryResult>>,
) -> TryResult {
    let mut second = std::pin::pin!(second);
    tokio::select! {
        result = &mut first => {
            if is_good(&result) {
                return result;
            }
            better(second.await, result)
        }
        result = &mut second => match result {
            Some(result) if is_good(&result) => result,
            result => better(result, first.await),
        },
    }
}

fn is_good(result: &TryResult) -> bool {
    result.as_ref().is_ok_and(|answer| !answer.is_whole_error())
}

fn better(one: Option<TryResult>, other: TryResult) -> TryResult {
    let Some(one) = one else { return other };
    match (one, other) {
        (one, other) if is_good(&other) || one.is_err() && other.is_ok() => other,
        (one @ Ok(_), _) => one,
        // Two faults: one after which the call may have run outweighs one that proves the contrary.
        (Err(one), Err(other)) => Err(if one.proves_not_run() { other } else { one }),
        (Err(_), Ok(answer)) => Ok(answer),
    }
}
