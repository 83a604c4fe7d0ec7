//! The HTTP interface on which upstreams announce themselves.
//!
//! `POST /announce` with an [`UpstreamAnnouncement`] as JSON and the announcement secret as a bearer
//! token. An upstream repeats it well within its lease and sends the state `leaving` before it ends.

use std::{
    convert::Infallible, io, net::SocketAddr, ops::RangeInclusive, sync::Arc, time::Duration,
};

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use log::{debug, warn};
use model::{announcement::UpstreamAnnouncement, ports::AnnouncementPort, secret::SharedSecret};
use snafu::{ResultExt, Snafu, ensure};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Semaphore,
    task::JoinHandle,
    time::timeout,
};

/// The path of the interface.
pub const ANNOUNCE_PATH: &str = "/announce";

/// The largest announcement accepted, in bytes. Real ones have a few hundred.
const BODY_LIMIT: usize = 4 * 1024;

/// How long an upstream may take to send its request's head, and then its body.
const SEND_TIMEOUT: Duration = Duration::from_secs(5);

/// How many connections are served at once. An announcement takes a few milliseconds, so at most a
/// handful are open in a fleet that is well; more waits to be accepted.
const CONNECTIONS_LIMIT: usize = 256;

/// The leases accepted, in milliseconds. A shorter one runs out between two renewals that are only a
/// little late; a longer one keeps work going to an upstream that ended without a word.
const LEASES: RangeInclusive<u32> = 500..=60_000;

/// The most slots or connections that one upstream is believed to have.
const COUNT_LIMIT: u32 = 1_000_000;

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
    let places = Arc::new(Semaphore::new(CONNECTIONS_LIMIT));
    loop {
        let Ok(place) = places.clone().acquire_owned().await else { return };
        match listener.accept().await {
            Ok((stream, peer)) => {
                let served = serve_connection(stream, peer, secret.clone(), port.clone());
                tokio::spawn(async move {
                    served.await;
                    drop(place);
                });
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
        .header_read_timeout(SEND_TIMEOUT)
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
    let body = Limited::new(request.into_body(), BODY_LIMIT).collect();
    let body = match timeout(SEND_TIMEOUT, body).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            return plain(StatusCode::PAYLOAD_TOO_LARGE, "an announcement has at most 4 KiB");
        }
        Ok(Err(_)) => return plain(StatusCode::BAD_REQUEST, "the announcement broke off"),
        Err(_) => return plain(StatusCode::REQUEST_TIMEOUT, "the announcement came too slowly"),
    };
    match serde_json::from_slice(&body) {
        Ok(announcement) => take(announcement, peer, port),
        Err(error) => plain(StatusCode::BAD_REQUEST, &format!("not an announcement: {error}")),
    }
}

fn take<P: AnnouncementPort>(
    announcement: UpstreamAnnouncement,
    peer: SocketAddr,
    port: &P,
) -> Response<Full<Bytes>> {
    if let Err(fault) = check(&announcement) {
        warn!(
            peer:% = peer,
            service:% = announcement.service,
            upstream:% = announcement.upstream,
            reason:% = fault;
            "announcement refused"
        );
        return plain(StatusCode::UNPROCESSABLE_ENTITY, &fault.to_string());
    }
    // A renewal comes twice a second from each upstream and decides nothing; what changes is logged
    // by the fleet.
    debug!(
        service:% = announcement.service,
        upstream:% = announcement.upstream,
        state:? = announcement.state,
        incarnation:% = announcement.incarnation;
        "announcement"
    );
    port.announce(announcement);
    plain(StatusCode::NO_CONTENT, "")
}

/// Why an announcement makes no sense.
#[derive(Debug, PartialEq, Eq, Snafu)]
enum AnnouncementFault {
    #[snafu(display("slots must be 1 to {COUNT_LIMIT}, not {slots}"))]
    Slots { slots: u32 },
    #[snafu(display("connections must be 1 to {COUNT_LIMIT}, not {connections}"))]
    Connections { connections: u32 },
    #[snafu(display("lease-ms must be {} to {}, not {lease_ms}", LEASES.start(), LEASES.end()))]
    Lease { lease_ms: u32 },
    #[snafu(display("address must be one that this VM can connect to, not {address}"))]
    Address { address: SocketAddr },
}

fn check(announcement: &UpstreamAnnouncement) -> Result<(), AnnouncementFault> {
    let UpstreamAnnouncement { slots, connections, lease_ms, address, .. } = *announcement;
    let counts = 1..=COUNT_LIMIT;
    ensure!(counts.contains(&slots), SlotsSnafu { slots });
    ensure!(counts.contains(&connections), ConnectionsSnafu { connections });
    ensure!(LEASES.contains(&lease_ms), LeaseSnafu { lease_ms });
    let ip = address.ip();
    let nobody = ip.is_unspecified() || ip.is_multicast() || address.port() == 0;
    ensure!(!nobody, AddressSnafu { address });
    Ok(())
}

fn plain(status: StatusCode, text: &str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::copy_from_slice(text.as_bytes())));
    *response.status_mut() = status;
    response
}
