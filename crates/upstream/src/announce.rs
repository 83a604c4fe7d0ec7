//! The HTTP interface on which upstreams announce themselves.
//!
//! `POST /announce` with an [`UpstreamAnnouncement`] as JSON and the announcement secret as a bearer
//! token. An upstream repeats it well within its lease and sends the state `leaving` before it ends.

use std::{convert::Infallible, io, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use log::{info, warn};
use model::{announcement::UpstreamAnnouncement, ports::AnnouncementPort, secret::SharedSecret};
use snafu::{ResultExt, Snafu};
use tokio::{net::TcpListener, net::TcpStream, task::JoinHandle};

/// The path of the interface.
pub const ANNOUNCE_PATH: &str = "/announce";

/// The largest announcement accepted, in bytes. Real ones have a few hundred.
const BODY_LIMIT: usize = 4 * 1024;

/// How long an upstream may take to send its request's head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// Why the interface could not be opened.
#[derive(Debug, Snafu)]
pub enum AnnounceError {
    /// The address could not be bound.
    #[snafu(display("cannot listen for announcements on {address}: {source}"))]
    Bind {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
}

/// The running interface. Dropping it ends it.
#[derive(Debug)]
pub struct AnnounceServer {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl AnnounceServer {
    /// Binds the interface and starts to serve it.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub async fn bind<P: AnnouncementPort>(
        address: SocketAddr,
        secret: SharedSecret,
        port: Arc<P>,
    ) -> Result<Self, AnnounceError> {
        let listener = TcpListener::bind(address).await.context(BindSnafu { address })?;
        let address = listener.local_addr().context(BindSnafu { address })?;
        let task = tokio::spawn(serve(listener, Arc::new(secret), port));
        Ok(Self { address, task })
    }

    /// Returns the address that was bound.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for AnnounceServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn serve<P: AnnouncementPort>(
    listener: TcpListener,
    secret: Arc<SharedSecret>,
    port: Arc<P>,
) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                tokio::spawn(serve_connection(stream, peer, secret.clone(), port.clone()));
            }
            Err(error) => {
                warn!(error:% = error; "cannot accept an upstream's connection");
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        }
    }
}

async fn serve_connection<P: AnnouncementPort>(
    stream: TcpStream,
    peer: SocketAddr,
    secret: Arc<SharedSecret>,
    port: Arc<P>,
) {
    let service = service_fn(move |request| {
        let (secret, port) = (secret.clone(), port.clone());
        async move { Ok::<_, Infallible>(answer(request, peer, &secret, port.as_ref()).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    if let Err(error) = connection.await {
        log::debug!(peer:% = peer, error:% = error; "an upstream's connection ended");
    }
}

async fn answer<P: AnnouncementPort>(
    request: Request<Incoming>,
    peer: SocketAddr,
    secret: &SharedSecret,
    port: &P,
) -> Response<Full<Bytes>> {
    if request.method() != Method::POST || request.uri().path() != ANNOUNCE_PATH {
        return plain(StatusCode::NOT_FOUND, "POST an announcement to /announce");
    }
    let proof = request.headers().get(header::AUTHORIZATION).map(|value| value.as_bytes());
    if !secret.is_proved_by(proof) {
        warn!(peer:% = peer; "announcement refused: wrong or missing secret");
        return plain(StatusCode::UNAUTHORIZED, "send the announcement secret as a bearer token");
    }
    let Ok(body) = Limited::new(request.into_body(), BODY_LIMIT).collect().await else {
        return plain(StatusCode::PAYLOAD_TOO_LARGE, "the announcement is too large or broke off");
    };
    match serde_json::from_slice::<UpstreamAnnouncement>(&body.to_bytes()) {
        Ok(announcement) => {
            info!(
                service:% = announcement.service,
                upstream:% = announcement.upstream,
                state:? = announcement.state,
                incarnation:% = announcement.incarnation;
                "announcement"
            );
            port.announce(announcement);
            plain(StatusCode::NO_CONTENT, "")
        }
        Err(error) => plain(StatusCode::BAD_REQUEST, &format!("not an announcement: {error}")),
    }
}

fn plain(status: StatusCode, text: &str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::copy_from_slice(text.as_bytes())));
    *response.status_mut() = status;
    response
}
