//! `GET /health` for the balancer. 200: send calls here. 503: send them elsewhere; calls that come
//! all the same are still answered.

use std::{convert::Infallible, io, net::SocketAddr, sync::Arc, sync::atomic::AtomicU8};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use snafu::{ResultExt, Snafu};
use std::sync::atomic::Ordering;
use tokio::{net::TcpListener, task::JoinHandle};

/// What the balancer is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadyState {
    /// The configuration is not known yet.
    Starting,
    /// Calls are welcome.
    Ready,
    /// A planned stop has begun.
    Stopping,
}

/// Shared between the page and whoever sets it.
#[derive(Clone, Debug, Default)]
pub struct ReadySwitch(Arc<AtomicU8>);

impl ReadySwitch {
    /// Sets what the balancer is told.
    pub fn set(&self, state: ReadyState) {
        self.0.store(state as u8, Ordering::Release);
    }

    /// Returns what the balancer is told.
    pub fn get(&self) -> ReadyState {
        match self.0.load(Ordering::Acquire) {
            0 => ReadyState::Starting,
            1 => ReadyState::Ready,
            _ => ReadyState::Stopping,
        }
    }
}

/// Why the page could not be opened.
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

/// The running page. Dropping it ends it.
#[derive(Debug)]
pub struct PlatformServer {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl PlatformServer {
    /// Binds the page and starts to serve it.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub async fn bind(address: SocketAddr, ready: ReadySwitch) -> Result<Self, PlatformError> {
        let listener = TcpListener::bind(address).await.context(BindSnafu { address })?;
        let address = listener.local_addr().context(BindSnafu { address })?;
        let task = tokio::spawn(serve(listener, ready));
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

async fn serve(listener: TcpListener, ready: ReadySwitch) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let ready = ready.clone();
        let service = service_fn(move |request| {
            let response = answer(&request, ready.get());
            async move { Ok::<_, Infallible>(response) }
        });
        tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
    }
}

fn answer(request: &Request<Incoming>, state: ReadyState) -> Response<Full<Bytes>> {
    let (status, text) = match (request.uri().path(), state) {
        ("/health", ReadyState::Ready) => (StatusCode::OK, "ready\n"),
        ("/health", ReadyState::Starting) => (StatusCode::SERVICE_UNAVAILABLE, "starting\n"),
        ("/health", ReadyState::Stopping) => (StatusCode::SERVICE_UNAVAILABLE, "stopping\n"),
        _ => (StatusCode::NOT_FOUND, "GET /health\n"),
    };
    let mut response = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response
}
