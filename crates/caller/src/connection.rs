//! Serves each connection in a task of its own, within limits, and ends it without cutting a call.
//!
//! Failure: a VM ends its planned stop just as a connection was made whose request nobody has read
//! yet. Symptom: the call is cut although the VM had taken its connection. The HTTP library's own
//! detection of the version gives such a connection up when it is asked to shut down. Safeguard: the
//! version is told here, from the bytes that wait to be read; a connection with any is served to the
//! end of its first call, also in a stop.

use std::{convert::Infallible, net::SocketAddr, sync::Arc, time::Duration};

use futures::FutureExt;
use http::{HeaderValue, Request, Response, header};
use hyper::{
    body::Incoming,
    server::conn::{http1, http2},
    service::{HttpService, service_fn},
};
use hyper_util::{
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::graceful::{GracefulShutdown, Watcher},
};
use log::warn;
use model::{
    call::{CallRefusal, RefusalReason},
    ports::{LedgerPort, SlotPort},
};
use tokio::{
    net::TcpStream,
    sync::{OwnedSemaphorePermit, Semaphore, watch},
    time::{sleep, timeout},
};

use crate::{
    answer::{CallerBody, refused},
    entry::CallEntry,
    limits::CallLimits,
    stall::StallGuard,
};

/// How many connections beyond the limit are served at once with a refusal; more are closed.
const SPARE_CONNECTIONS: usize = 64;

/// How long a connection beyond the limit may take for its request and its refusal.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(2);

/// How long a connection that has sent nothing yet is waited for in a stop.
const FIRST_BYTES_GRACE: Duration = Duration::from_millis(100);

/// What each HTTP/2 connection begins with.
const PREFACE: &[u8; 24] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

/// How long the rest of a preface that came in part is waited for before it is looked at again.
const PREFACE_PAUSE: Duration = Duration::from_millis(5);

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

/// Which protocol a caller speaks.
enum SpokenVersion {
    Http1,
    Http2,
}

/// Serves connections until it is shut down.
pub(crate) struct ConnectionServer<S, L> {
    entry: Arc<CallEntry<S, L>>,
    protocols: HttpProtocols,
    graceful: GracefulShutdown,
    stopping: watch::Sender<bool>,
    places: Arc<Semaphore>,
    spare_places: Arc<Semaphore>,
}

impl<S: SlotPort, L: LedgerPort> ConnectionServer<S, L> {
    pub(crate) fn new(entry: Arc<CallEntry<S, L>>) -> Self {
        Self {
            protocols: HttpProtocols::new(entry.limits()),
            graceful: GracefulShutdown::new(),
            stopping: watch::Sender::new(false),
            places: Arc::new(Semaphore::new(entry.limits().connections)),
            spare_places: Arc::new(Semaphore::new(SPARE_CONNECTIONS)),
            entry,
        }
    }

    pub(crate) fn serve(&self, stream: TcpStream, peer: SocketAddr) {
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

    /// Ends each connection after the call that is on it, and waits for all.
    pub(crate) async fn shutdown(self) {
        self.stopping.send_replace(true);
        self.graceful.shutdown().await;
    }

    fn serve_calls(&self, stream: TcpStream, peer: SocketAddr, place: OwnedSemaphorePermit) {
        let entry = self.entry.clone();
        let service = service_fn(move |request| {
            let entry = entry.clone();
            // Boxed, since the HTTP library keeps room for the future on each idle connection.
            async move { Ok::<_, Infallible>(entry.answer(request, peer.ip()).await) }.boxed()
        });
        let protocols = self.protocols.clone();
        let (watcher, stopping) = (self.graceful.watcher(), self.stopping.subscribe());
        tokio::spawn(async move {
            let within = protocols.limits.head_timeout;
            if let Some(version) = first_bytes(&stream, within, stopping).await {
                protocols.serve(stream, version, service, watcher).await;
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
        let protocols = self.protocols.clone();
        let (watcher, stopping) = (self.graceful.watcher(), self.stopping.subscribe());
        tokio::spawn(async move {
            let served = async {
                if let Some(version) = first_bytes(&stream, REFUSAL_TIMEOUT, stopping).await {
                    protocols.serve(stream, version, service, watcher).await;
                }
            };
            // The connection is closed in any case.
            let _ = timeout(REFUSAL_TIMEOUT, served).await;
            drop(place);
        });
    }
}

/// Waits for a caller's first bytes and tells its protocol from them. `None`: there were none in
/// time, or before a stop.
async fn first_bytes(
    stream: &TcpStream,
    within: Duration,
    mut stopping: watch::Receiver<bool>,
) -> Option<SpokenVersion> {
    let stopped = async {
        let _ = stopping.wait_for(|&stopping| stopping).await;
        sleep(FIRST_BYTES_GRACE).await;
    };
    tokio::select! {
        biased;
        version = timeout(within, spoken_version(stream)) => version.ok().flatten(),
        () = stopped => None,
    }
}

async fn spoken_version(stream: &TcpStream) -> Option<SpokenVersion> {
    let mut start = [0; PREFACE.len()];
    loop {
        let length = stream.peek(&mut start).await.ok()?;
        if length == 0 {
            return None;
        }
        if !PREFACE.starts_with(&start[..length]) {
            return Some(SpokenVersion::Http1);
        }
        if length == PREFACE.len() {
            return Some(SpokenVersion::Http2);
        }
        // What came is still there, so waiting for the stream to be readable would not wait.
        sleep(PREFACE_PAUSE).await;
    }
}

/// The HTTP library, made to hold the limits.
///
/// HTTP/2 has ways to make a server work for nothing: streams opened and reset at once, heads
/// continued without end, windows never opened. The bounds on streams, on resets that wait, on the
/// size of a head and on what is buffered for sending hold each of them.
#[derive(Clone)]
struct HttpProtocols {
    http1: http1::Builder,
    http2: http2::Builder<TokioExecutor>,
    limits: CallLimits,
}

impl HttpProtocols {
    fn new(limits: &CallLimits) -> Self {
        let mut http1 = http1::Builder::new();
        http1
            .timer(TokioTimer::new())
            .header_read_timeout(limits.head_timeout)
            .max_buf_size(limits.header_bytes.max(SMALLEST_BUFFER))
            .max_headers(limits.headers);
        let mut http2 = http2::Builder::new(TokioExecutor::new());
        http2
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
        Self { http1, http2, limits: *limits }
    }

    async fn serve<V>(
        &self,
        stream: TcpStream,
        version: SpokenVersion,
        service: V,
        watcher: Watcher,
    ) where
        V: HttpService<Incoming, ResBody = CallerBody, Error = Infallible> + Send,
        V: hyper::service::Service<Request<Incoming>, Response = Response<CallerBody>>,
        <V as HttpService<Incoming>>::Future: Send + 'static,
    {
        let io = TokioIo::new(StallGuard::new(stream, self.limits.write_idle));
        let ended = match version {
            SpokenVersion::Http1 => watcher.watch(self.http1.serve_connection(io, service)).await,
            SpokenVersion::Http2 => watcher.watch(self.http2.serve_connection(io, service)).await,
        };
        if let Err(error) = ended {
            log::debug!(error:% = error; "a caller's connection ended");
        }
    }
}
