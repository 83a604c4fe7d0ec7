//! Sends a request and tells apart how that failed.
//!
//! `sent` is false only where the HTTP library hands the request back, or where no connection was
//! opened. In each other case a byte may have gone out, and the call may have run.

use std::{net::SocketAddr, time::Duration};

use http::{HeaderMap, Request, Response, StatusCode};
use hyper::{body::Incoming, client::conn::TrySendError};
use model::{
    call::{CallClass, OutcomeClass, UPSTREAM_STATE_HEADER},
    slot::SlotGrant,
};
use tokio::time::{Instant, timeout, timeout_at};

use crate::{
    exchange::{AnswerBody, ExchangeFault},
    pool::{ConnectionPool, PooledConnection, RequestBody},
};

/// For which share of the time left a used connection may be silent before it is doubted. Half:
/// the rest is enough for the second try, and no normal answer takes that long. Shorter, and a slow
/// upstream would pass for a silent connection and never be charged for its slowness.
const SILENCE_DIVISOR: u32 = 2;

/// How long a used connection must have been silent for its neighbours to be doubted when its
/// exchange is given up, as the loser of a hedge is.
const ABANDONED_SILENCE: Duration = Duration::from_millis(100);

type HeadResult = Result<Response<Incoming>, TrySendError<Request<RequestBody>>>;

/// How long a connection may take to become free after its last answer.
const READY_TIMEOUT: Duration = Duration::from_millis(50);

/// What came of one connection.
enum SendFault {
    /// The request came back unsent.
    Unsent(Box<Request<RequestBody>>),
    Failed(ExchangeFault),
}

impl ConnectionPool {
    /// Sends a request to the granted upstream and returns the head of its answer with the body still
    /// to be read. `within` bounds the time until the head is there. Dropping the future closes the
    /// connection, which cancels the call at the upstream.
    ///
    /// # Errors
    ///
    /// Fails when there was no answer or the upstream refused the call without running it; the fault
    /// tells whether anything was sent.
    pub async fn exchange(
        &self,
        grant: &SlotGrant,
        class: CallClass,
        mut request: Request<RequestBody>,
        within: Duration,
    ) -> Result<Response<AnswerBody>, ExchangeFault> {
        let until = Instant::now() + within;
        let oldest = self.oldest_for(class);
        loop {
            let connection = self.check_out(grant.address, grant.connections, oldest).await?;
            let new = connection.unproved_for.is_none();
            match self.send_on(connection, grant.address, class, request, until).await {
                Ok(response) => return accept(response).await,
                Err(SendFault::Failed(fault)) => return Err(fault),
                // Each round takes an idle connection away, so there is an end to it.
                Err(SendFault::Unsent(returned)) if !new => request = *returned,
                Err(SendFault::Unsent(_)) => {
                    return Err(ExchangeFault::unsent(OutcomeClass::ConnectFailure));
                }
            }
        }
    }

    async fn send_on(
        &self,
        mut connection: PooledConnection,
        address: SocketAddr,
        class: CallClass,
        request: Request<RequestBody>,
        until: Instant,
    ) -> Result<Response<AnswerBody>, SendFault> {
        if !is_free(&mut connection).await {
            return Err(SendFault::Unsent(Box::new(request)));
        }
        let (reused, unproved) = (connection.unproved_for.is_some(), connection.is_unproved());
        let sent = Instant::now();
        let mut doubt = SilenceGuard { pool: self, address, sent, armed: reused };
        let may_be_silent = connection.may_be_silent();
        let sending = connection.sender().try_send_request(request);
        let head = if may_be_silent && class.is_idempotent() {
            self.doubtful_head(sending, address, until).await
        } else {
            timeout_at(until, sending).await.map_err(|_| OutcomeClass::Timeout)
        };
        doubt.armed = false;
        match head {
            Ok(Ok(response)) => {
                self.note_works(address, reused);
                let at_end = judge(response.status(), response.headers());
                Ok(response.map(|body| AnswerBody::new(body, connection, at_end)))
            }
            Ok(Err(error)) => Err(self.classify(error, address, unproved).await),
            Err(silence) => {
                let excused = may_be_silent && self.is_excused(silence, address, sent);
                let outcome = if excused { OutcomeClass::StaleConnection } else { silence };
                Err(SendFault::Failed(ExchangeFault { outcome, sent: true }))
            }
        }
    }

    /// Tells whether silence is the connection's fault and not the upstream's, and notes that. A call
    /// that must not run twice has waited to its end, with nothing but real work to tell.
    fn is_excused(&self, silence: OutcomeClass, address: SocketAddr, sent: Instant) -> bool {
        let found = silence == OutcomeClass::StaleConnection
            || self.works_since(address, sent) == (false, true);
        if found {
            self.note_silent(address);
        }
        found
    }

    /// Waits for the head of an answer on a connection that may have been lost track of.
    async fn doubtful_head(
        &self,
        sending: impl Future<Output = HeadResult>,
        address: SocketAddr,
        until: Instant,
    ) -> Result<HeadResult, OutcomeClass> {
        let sent = Instant::now();
        let patience = until.saturating_duration_since(sent) / SILENCE_DIVISOR;
        let mut sending = std::pin::pin!(sending);
        if let Ok(head) = timeout(patience, &mut sending).await {
            return Ok(head);
        }
        self.retire(address, sent);
        let works = async {
            let (reused_work, _) = self.works_since(address, sent);
            if reused_work || !self.new_connection_works(address, sent).await {
                // Not the connection's fault, then: the upstream has the rest of the time.
                std::future::pending::<()>().await;
            }
        };
        tokio::select! {
            biased;
            head = &mut sending => Ok(head),
            () = works => Err(OutcomeClass::StaleConnection),
            () = tokio::time::sleep_until(until) => Err(OutcomeClass::Timeout),
        }
    }

    async fn classify(
        &self,
        mut error: TrySendError<Request<RequestBody>>,
        address: SocketAddr,
        unproved: bool,
    ) -> SendFault {
        if let Some(request) = error.take_message() {
            return SendFault::Unsent(Box::new(request));
        }
        let error = error.into_error();
        let outcome = if error.is_user() {
            // The request's own body failed: its sender went away or broke a limit.
            OutcomeClass::Cancelled
        } else if error.is_parse() {
            OutcomeClass::ErrorAnswer
        } else if unproved && self.open(address).await.is_some() {
            // An upstream may close a connection that was idle for long in the moment in which it
            // is used. It still accepts new ones, so it has not crashed, and the request must not
            // be held to have crashed it.
            OutcomeClass::StaleConnection
        } else {
            OutcomeClass::Crash
        };
        SendFault::Failed(ExchangeFault { outcome, sent: true })
    }
}

/// Waits until a connection has done with its last exchange. Fails when it was closed meanwhile.
async fn is_free(connection: &mut PooledConnection) -> bool {
    let sender = connection.sender();
    sender.is_ready() || matches!(timeout(READY_TIMEOUT, sender.ready()).await, Ok(Ok(())))
}

/// Doubts the neighbours of a connection whose exchange was given up while it was silent.
struct SilenceGuard<'a> {
    pool: &'a ConnectionPool,
    address: SocketAddr,
    sent: Instant,
    armed: bool,
}

impl Drop for SilenceGuard<'_> {
    fn drop(&mut self) {
        if self.armed && self.sent.elapsed() >= ABANDONED_SILENCE {
            self.pool.retire(self.address, self.sent);
        }
    }
}

/// Passes an answer on, unless it is none of the call: a refusal or a change of protocol.
async fn accept(response: Response<AnswerBody>) -> Result<Response<AnswerBody>, ExchangeFault> {
    if response.status() == StatusCode::SWITCHING_PROTOCOLS {
        return Err(ExchangeFault { outcome: OutcomeClass::ErrorAnswer, sent: true });
    }
    let outcome = response.body().at_end();
    if !outcome.proves_not_run() {
        return Ok(response);
    }
    response.into_body().finish_quickly();
    Err(ExchangeFault { outcome, sent: true })
}

/// Reads what an answer says of its upstream, once it is whole.
///
/// Only a refusal proves that the call was not run. A draining upstream may state its state on the
/// answer of a call that it ran, and such a call must not be run again.
fn judge(status: StatusCode, headers: &HeaderMap) -> OutcomeClass {
    let refused = matches!(status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS);
    match headers.get(UPSTREAM_STATE_HEADER).map(|value| value.as_bytes()) {
        Some(b"shed") if refused => OutcomeClass::Shed,
        Some(b"draining" | b"leaving") if refused => OutcomeClass::Draining,
        _ if status.is_server_error() => OutcomeClass::ErrorAnswer,
        _ => OutcomeClass::Success,
    }
}
