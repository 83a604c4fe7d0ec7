//! The connections to each upstream.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{HeaderMap, Request, Response};
use http_body_util::combinators::UnsyncBoxBody;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use model::{
    call::{CallClass, OutcomeClass, UPSTREAM_STATE_HEADER},
    slot::SlotGrant,
};
use tokio::{net::TcpStream, time::timeout};

use crate::exchange::{AnswerBody, ExchangeFault};

/// The body of a request as it goes to an upstream.
pub type RequestBody = UnsyncBoxBody<Bytes, Box<dyn std::error::Error + Send + Sync>>;

/// How long opening a connection may take. Opening one takes about 1 ms today.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// How old the last proof of life of a connection may be for a non-idempotent call to go on it.
///
/// Failure: something between the two ends has lost track of a connection. Symptom: a payment is
/// sent, nothing comes back, and it must be called unknown. A connection that answered within the
/// last second is very unlikely to have been lost meanwhile; any other is passed over for a new one.
const PROOF_AGE: Duration = Duration::from_secs(1);

/// How long an idle connection is kept.
const IDLE_LIMIT: Duration = Duration::from_secs(30);

struct IdleConnection {
    sender: SendRequest<RequestBody>,
    proved: Instant,
}

#[derive(Default)]
struct PoolState {
    idle: HashMap<SocketAddr, Vec<IdleConnection>>,
}

/// The connections of one entry to all upstreams.
#[derive(Clone, Default)]
pub struct ConnectionPool {
    state: Arc<Mutex<PoolState>>,
}

/// A connection taken out of the pool. Dropping it closes it.
pub(crate) struct PooledConnection {
    pool: ConnectionPool,
    address: SocketAddr,
    sender: SendRequest<RequestBody>,
}

impl PooledConnection {
    pub(crate) fn give_back(self) {
        let idle = IdleConnection { sender: self.sender, proved: Instant::now() };
        let mut state = self.pool.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.idle.entry(self.address).or_default().push(idle);
    }
}

impl ConnectionPool {
    /// Makes an empty pool.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sends a request to the granted upstream and returns the head of its answer with the body still
    /// to be read. `within` bounds the time until the head is there.
    ///
    /// # Errors
    ///
    /// Fails when there was no answer; the fault tells whether anything was sent.
    pub async fn exchange(
        &self,
        grant: &SlotGrant,
        class: CallClass,
        request: Request<RequestBody>,
        within: Duration,
    ) -> Result<Response<AnswerBody>, ExchangeFault> {
        let mut connection = self.check_out(grant.address, class).await?;
        let answer = timeout(within, connection.sender.send_request(request)).await;
        match answer {
            Ok(Ok(response)) => {
                let at_end = judge(response.status(), response.headers());
                Ok(response.map(|body| AnswerBody::new(body, connection, at_end)))
            }
            Ok(Err(error)) if error.is_canceled() => {
                Err(ExchangeFault { outcome: OutcomeClass::StaleConnection, sent: false })
            }
            Ok(Err(_)) => Err(ExchangeFault { outcome: OutcomeClass::Crash, sent: true }),
            Err(_) => Err(ExchangeFault { outcome: OutcomeClass::Timeout, sent: true }),
        }
    }

    async fn check_out(
        &self,
        address: SocketAddr,
        class: CallClass,
    ) -> Result<PooledConnection, ExchangeFault> {
        let oldest = if class.is_idempotent() { IDLE_LIMIT } else { PROOF_AGE };
        if let Some(sender) = self.take_idle(address, oldest) {
            return Ok(PooledConnection { pool: self.clone(), address, sender });
        }
        let opened = timeout(CONNECT_TIMEOUT, open(address)).await;
        let failed = ExchangeFault { outcome: OutcomeClass::ConnectFailure, sent: false };
        let sender = opened.ok().flatten().ok_or(failed)?;
        Ok(PooledConnection { pool: self.clone(), address, sender })
    }

    fn take_idle(&self, address: SocketAddr, oldest: Duration) -> Option<SendRequest<RequestBody>> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let idle = state.idle.get_mut(&address)?;
        idle.retain(|one| one.sender.is_ready() && one.proved.elapsed() < IDLE_LIMIT);
        let last = idle.pop_if(|one| one.proved.elapsed() < oldest)?;
        Some(last.sender)
    }
}

async fn open(address: SocketAddr) -> Option<SendRequest<RequestBody>> {
    let stream = TcpStream::connect(address).await.ok()?;
    stream.set_nodelay(true).ok()?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!(upstream:% = address, error:% = error; "a connection ended");
        }
    });
    Some(sender)
}

/// Reads what an answer says of its upstream, once it is whole.
fn judge(status: http::StatusCode, headers: &HeaderMap) -> OutcomeClass {
    match headers.get(UPSTREAM_STATE_HEADER).map(|value| value.as_bytes()) {
        Some(b"shed") => OutcomeClass::Shed,
        Some(b"draining" | b"leaving") => OutcomeClass::Draining,
        _ if status.is_server_error() => OutcomeClass::ErrorAnswer,
        _ => OutcomeClass::Success,
    }
}
