//! Serves the platform's two pages within bounds.
//!
//! - `GET /health` for the balancer. 200: send calls here. 503: send them elsewhere; calls that come
//!   all the same are still answered.
//! - `GET /metrics` in Prometheus' text form.

use std::{convert::Infallible, io, net::SocketAddr, sync::Arc, time::Duration};

use crate::{
    metrics::FleetMetrics,
    ready::{ReadyState, ReadySwitch},
};
use bytes::Bytes;
use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use model::ports::LocalPort;
use snafu::{ResultExt, Snafu};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{OwnedSemaphorePermit, Semaphore},
    task::JoinHandle,
};

/// How many connections are held at a time: some balancers and some collectors. Further ones wait
/// in the system's backlog, so that a peer that opens connections without end cannot use up the
/// file descriptors that calls need.
pub const CONNECTIONS_LIMIT: usize = 64;

/// How long a request's head may take, also the first of an idle connection. A peer that sends half
/// a head and falls silent gives its place back after that.
pub const HEAD_LIMIT: Duration = Duration::from_secs(5);

/// The largest head taken, in bytes.
const HEAD_BYTES: usize = 16_384;

/// How long accepting rests after the system refused it, as it does without file descriptors.
const ACCEPT_REST: Duration = Duration::from_millis(100);

/// Why the pages could not be opened.
#[derive(Debug, Snafu)]
pub enum PlatformError {
    /// The address could not be bound.
    #[snafu(display("cannot listen for the platform on {address}: {source}"))]
    Bind {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
}

/// What the pages show.
#[derive(Debug)]
pub struct PlatformPages<P> {
    /// What the balancer is told.
    pub ready: ReadySwitch,
    /// What was counted.
    pub metrics: FleetMetrics,
    /// Who is asked for what the VM knows.
    pub port: Arc<P>,
}

/// The running pages. Dropping it ends them.
#[derive(Debug)]
pub struct PlatformServer {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl PlatformServer {
    /// Binds the pages and starts to serve them.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub async fn bind<P: LocalPort>(
        address: SocketAddr,
        pages: PlatformPages<P>,
    ) -> Result<Self, PlatformError> {
        let listener = TcpListener::bind(address).await.context(BindSnafu { address })?;
        let address = listener.local_addr().context(BindSnafu { address })?;
        let task = tokio::spawn(serve(listener, Arc::new(pages)));
        Ok(Self { address, task })
    }

    /// Returns the address that was bound.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for PlatformServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn serve<P: LocalPort>(listener: TcpListener, pages: Arc<PlatformPages<P>>) {
    let room = Arc::new(Semaphore::new(CONNECTIONS_LIMIT));
    loop {
        let permit = room.clone().acquire_owned().await.expect("the semaphore is never closed");
        match listener.accept().await {
            Ok((stream, _)) => drop(tokio::spawn(serve_one(stream, pages.clone(), permit))),
            Err(error) => {
                log::warn!(error:%; "cannot accept the platform's connection");
                tokio::time::sleep(ACCEPT_REST).await;
            }
        }
    }
}

async fn serve_one<P: LocalPort>(
    stream: TcpStream,
    pages: Arc<PlatformPages<P>>,
    permit: OwnedSemaphorePermit,
) {
    let service = service_fn(move |request| {
        let pages = pages.clone();
        async move { Ok::<_, Infallible>(answer(&request, &pages).await) }
    });
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(HEAD_LIMIT).max_buf_size(HEAD_BYTES);
    if let Err(error) = builder.serve_connection(TokioIo::new(stream), service).await {
        log::debug!(error:%; "the platform's connection ended");
    }
    drop(permit);
}

async fn answer<P: LocalPort>(
    request: &Request<Incoming>,
    pages: &PlatformPages<P>,
) -> Response<Full<Bytes>> {
    let known = matches!(request.uri().path(), "/health" | "/metrics");
    if known && !matches!(*request.method(), Method::GET | Method::HEAD) {
        return text(StatusCode::METHOD_NOT_ALLOWED, "GET only\n");
    }
    match request.uri().path() {
        "/health" => health(pages.ready.get()),
        "/metrics" => metrics(pages).await,
        _ => text(StatusCode::NOT_FOUND, "GET /health or GET /metrics\n"),
    }
}

fn health(state: ReadyState) -> Response<Full<Bytes>> {
    match state {
        ReadyState::Ready => text(StatusCode::OK, "ready\n"),
        ReadyState::Starting => text(StatusCode::SERVICE_UNAVAILABLE, "starting\n"),
        ReadyState::Stopping => text(StatusCode::SERVICE_UNAVAILABLE, "stopping\n"),
    }
}

async fn metrics<P: LocalPort>(pages: &PlatformPages<P>) -> Response<Full<Bytes>> {
    match pages.metrics.page(pages.port.as_ref()).await {
        Ok(page) => {
            let mut response = text(StatusCode::OK, page);
            let kind = HeaderValue::from_static(prometheus::TEXT_FORMAT);
            response.headers_mut().insert(header::CONTENT_TYPE, kind);
            response
        }
        Err(error) => {
            log::error!(error:%; "no metrics page");
            text(StatusCode::INTERNAL_SERVER_ERROR, format!("{error}\n"))
        }
    }
}

fn text(status: StatusCode, body: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    response
}
