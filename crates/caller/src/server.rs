//! Takes callers' connections and requests.

use std::{convert::Infallible, io, net::SocketAddr, sync::Arc, time::Duration};

use futures::FutureExt;
use http::{HeaderValue, Request, header};
use hyper::{body::Incoming, service::service_fn};
use hyper_util::{
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::{conn::auto, graceful::GracefulShutdown},
};
use log::warn;
use model::{
    call::{CallRefusal, RefusalReason},
    ports::{LedgerPort, SlotPort},
};
use snafu::{ResultExt, Snafu};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{OwnedSemaphorePermit, Semaphore, watch},
    task::JoinHandle,
    time::timeout,
};

use crate::{answer::refused, entry::CallEntry, limits::CallLimits, stall::StallGuard};

/// How many connections beyond the limit are served at once with a refusal; more are closed.
const SPARE_CONNECTIONS: usize = 64;

/// How long a connection beyond the limit may take for its request and its refusal.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(2);

/// The least buffer that the HTTP library works with, in bytes.
const SMALLEST_BUFFER: usize = 8_192;

/// How many HTTP/2 streams that were reset may wait to be cleaned up before the connection is ended.
const RESETS_LIMIT: usize = 32;

/// What is buffered for sending on one HTTP/2 stream, in bytes.
const SEND_BUFFER: usize = 64 * 1_024;

/// What a caller may send on one HTTP/2 stream ahead of its being read, in bytes.
const STREAM_WINDOW: u32 = 64 * 1_024;

/// The same for all streams of a connection together.
const CONNECTION_WINDOW: u32 = 1_024 * 1_024;

/// Why the callers' port could not be opened.
#[derive(Debug, Snafu)]
pub enum CallerError {
    /// The address could not be bound.
    #[snafu(display("cannot listen for callers on {address}: {source}"))]
    Bind {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
}

/// How far the port has come in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ServePhase {
    Open,
    Closing,
    Stopped,
}

/// The running port for callers.
#[derive(Debug)]
pub struct CallerServer {
    address: SocketAddr,
    phase: watch::Sender<ServePhase>,
    task: JoinHandle<()>,
}

impl CallerServer {
    /// Binds the port and starts to serve it.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub async fn bind<S: SlotPort, L: LedgerPort>(
        address: SocketAddr,
        entry: Arc<CallEntry<S, L>>,
    ) -> Result<Self, CallerError> {
        let listener = TcpListener::bind(address).await.context(BindSnafu { address })?;
        let address = listener.local_addr().context(BindSnafu { address })?;
        let (phase, watched) = watch::channel(ServePhase::Open);
        tokio::spawn(follow_closing(entry.clone(), watched.clone()));
        let task = tokio::spawn(serve(listener, entry, watched));
        Ok(Self { address, phase, task })
    }

    /// Returns the address that was bound.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Goes on taking calls, and asks callers to leave the connections that they have. To be called
    /// while the balancer learns that this VM stops.
    pub fn begin_closing(&self) {
        self.phase.send_replace(ServePhase::Closing);
    }

    /// Takes no new connection, finishes what is in flight and ends.
    pub async fn drain(self) {
        self.phase.send_replace(ServePhase::Stopped);
        // The task only ends early by a panic, after which there is nothing left to finish.
        let _ = self.task.await;
    }
}

async fn serve<S: SlotPort, L: LedgerPort>(
    listener: TcpListener,
    entry: Arc<CallEntry<S, L>>,
    phase: watch::Receiver<ServePhase>,
) {
    let server = ConnectionServer::new(entry.clone());
    let mut stop = std::pin::pin!(reached(phase, ServePhase::Stopped));
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, peer)) => server.serve(stream, peer),
                Err(error) => {
                    warn!(error:% = error; "cannot accept a caller's connection");
                    tokio::time::sleep(Duration::from_millis(100)).await;
                }
            },
            () = &mut stop => break,
        }
    }
    // What the system has accepted already would be reset by closing the port.
    while let Some(Ok((stream, peer))) = listener.accept().now_or_never() {
        server.serve(stream, peer);
    }
    drop(listener);
    server.graceful.shutdown().await;
    entry.settle_tasks().await;
}

/// Ends when the phase is reached, or whoever sets it is gone.
async fn reached(mut watched: watch::Receiver<ServePhase>, phase: ServePhase) {
    let _ = watched.wait_for(|&present| present >= phase).await;
}

async fn follow_closing<S: SlotPort, L: LedgerPort>(
    entry: Arc<CallEntry<S, L>>,
    watched: watch::Receiver<ServePhase>,
) {
    reached(watched, ServePhase::Closing).await;
    entry.begin_closing();
}

/// Serves each connection in a task of its own.
struct ConnectionServer<S, L> {
    entry: Arc<CallEntry<S, L>>,
    builder: auto::Builder<TokioExecutor>,
    graceful: GracefulShutdown,
    places: Arc<Semaphore>,
    spare_places: Arc<Semaphore>,
}

impl<S: SlotPort, L: LedgerPort> ConnectionServer<S, L> {
    fn new(entry: Arc<CallEntry<S, L>>) -> Self {
        let places = Arc::new(Semaphore::new(entry.limits().connections));
        let builder = builder(entry.limits());
        let spare_places = Arc::new(Semaphore::new(SPARE_CONNECTIONS));
        Self { entry, builder, graceful: GracefulShutdown::new(), places, spare_places }
    }

    fn serve(&self, stream: TcpStream, peer: SocketAddr) {
        // Without it a small answer can wait 40 ms for the acknowledgement of the one before.
        let _ = stream.set_nodelay(true);
        if let Ok(place) = self.places.clone().try_acquire_owned() {
            return self.serve_calls(stream, peer, place);
        }
        warn!(peer:% = peer, reason = "too many connections"; "rejected");
        if let Ok(place) = self.spare_places.clone().try_acquire_owned() {
            self.serve_refusal(stream, place);
        }
    }

    fn serve_calls(&self, stream: TcpStream, peer: SocketAddr, place: OwnedSemaphorePermit) {
        let entry = self.entry.clone();
        let service = service_fn(move |request| {
            let entry = entry.clone();
            // Boxed, since the HTTP library keeps room for the future on each idle connection.
            async move { Ok::<_, Infallible>(entry.answer(request, peer.ip()).await) }.boxed()
        });
        let limits = self.entry.limits();
        let guarded = StallGuard::new(stream, limits.head_timeout, limits.write_idle);
        let connection = self.builder.serve_connection(TokioIo::new(guarded), service);
        let connection = self.graceful.watch(connection.into_owned());
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!(peer:% = peer, error:% = error; "a caller's connection ended");
            }
            drop(place);
        });
    }

    /// Answers the first request of a connection that is one too many: its caller learns that
    /// nothing was run, where a closed connection would leave it in doubt.
    fn serve_refusal(&self, stream: TcpStream, place: OwnedSemaphorePermit) {
        let service = service_fn(|_: Request<Incoming>| async {
            let refusal = CallRefusal::passing(RefusalReason::Saturated, 1_000);
            let mut response = refused(refusal);
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
            Ok::<_, Infallible>(response)
        });
        let guarded = StallGuard::new(stream, REFUSAL_TIMEOUT, REFUSAL_TIMEOUT);
        let mut builder = self.builder.clone();
        builder.http1().header_read_timeout(REFUSAL_TIMEOUT);
        let connection = builder.serve_connection(TokioIo::new(guarded), service).into_owned();
        tokio::spawn(async move {
            // The connection is closed in any case.
            let _ = timeout(REFUSAL_TIMEOUT, connection).await;
            drop(place);
        });
    }
}

/// Makes the HTTP library hold the limits.
///
/// HTTP/2 has ways to make a server work for nothing: streams opened and reset at once, heads
/// continued without end, windows never opened. The bounds on streams, on resets that wait, on the
/// size of a head and on what is buffered for sending hold each of them.
fn builder(limits: &CallLimits) -> auto::Builder<TokioExecutor> {
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout)
        .max_buf_size(limits.header_bytes.max(SMALLEST_BUFFER))
        .max_headers(limits.headers);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_concurrent_streams(limits.streams)
        .max_header_list_size(u32::try_from(limits.header_bytes).unwrap_or(u32::MAX))
        .max_pending_accept_reset_streams(RESETS_LIMIT)
        .max_local_error_reset_streams(RESETS_LIMIT)
        .max_send_buf_size(SEND_BUFFER)
        .initial_stream_window_size(STREAM_WINDOW)
        .initial_connection_window_size(CONNECTION_WINDOW)
        .keep_alive_interval(limits.head_timeout)
        .keep_alive_timeout(limits.head_timeout);
    builder
}
