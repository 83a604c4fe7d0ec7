//! Binds the operators' interface, bounds it and guards it by their secret.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use crate::{answers::PageFault, bounded::BoundedAcceptor, pages::pages};
use model::{ports::OperatorPort, secret::SharedSecret};
use poem::{
    Endpoint, EndpointExt, Request, Result, Server,
    http::header,
    listener::{Acceptor, Listener, TcpListener},
};
use snafu::{OptionExt, ResultExt, Snafu};
use tokio::{sync::oneshot, task::JoinHandle};

/// How many connections are held at a time. Operators are a few people and their scripts.
pub const CONNECTIONS_LIMIT: usize = 256;

/// After which time without a byte in either direction a connection is closed. It is longer than
/// the longest wait of a watch.
pub const IDLE_LIMIT: Duration = Duration::from_secs(60);

/// How long requests in flight may take in a planned stop. A watch that lasts longer is cut: it is
/// a read, and the command line asks the next VM.
const DRAIN_LIMIT: Duration = Duration::from_secs(2);

/// Why the interface could not be opened.
#[derive(Debug, Snafu)]
pub enum OperatorError {
    /// The address could not be bound.
    #[snafu(display("cannot listen for operators on {address}: {source}"))]
    Bind {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// The bound address could not be read.
    #[snafu(display("cannot tell which address was bound for operators"))]
    Address,
}

/// The running interface. Dropping it ends it.
#[derive(Debug)]
pub struct OperatorServer {
    address: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    task: JoinHandle<io::Result<()>>,
}

impl OperatorServer {
    /// Binds the interface and starts to serve it.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub async fn bind<P: OperatorPort>(
        address: SocketAddr,
        secret: SharedSecret,
        port: Arc<P>,
    ) -> Result<Self, OperatorError> {
        let acceptor =
            TcpListener::bind(address).into_acceptor().await.context(BindSnafu { address })?;
        let bound = acceptor.local_addr();
        let address = bound.first().and_then(|a| a.as_socket_addr()).copied();
        let address = address.context(AddressSnafu)?;
        let endpoint = guarded(pages(&port), secret);
        let acceptor = BoundedAcceptor::new(acceptor, CONNECTIONS_LIMIT);
        let server = Server::new_with_acceptor(acceptor).idle_timeout(IDLE_LIMIT);
        let (stop, stopped) = oneshot::channel::<()>();
        let task = tokio::spawn(async move {
            // A sender that is gone without a word means that the task is about to be aborted.
            let stopped = async { drop(stopped.await) };
            server.run_with_graceful_shutdown(endpoint, stopped, Some(DRAIN_LIMIT)).await
        });
        Ok(Self { address, stop: Some(stop), task })
    }

    /// Returns the address that was bound.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Takes no new connection, finishes requests in flight within a short limit and ends.
    pub async fn drain(mut self) {
        if let Some(stop) = self.stop.take() {
            // The receiver is gone only when the task has ended already.
            let _ = stop.send(());
        }
        if let Ok(Err(error)) = (&mut self.task).await {
            log::warn!(error:%; "the operators' interface did not end well");
        }
    }
}

impl Drop for OperatorServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

fn guarded(pages: impl Endpoint + 'static, secret: SharedSecret) -> impl Endpoint {
    pages.around(move |pages, request: Request| {
        let proof = request.headers().get(header::AUTHORIZATION).map(|value| value.as_bytes());
        let proved = secret.is_proved_by(proof);
        async move {
            if proved {
                return Ok(pages.get_response(request).await);
            }
            let (peer, path) = (request.remote_addr(), request.uri().path());
            log::warn!(peer:%, path; "operator refused: wrong or missing secret");
            Ok(PageFault::Unauthorized.into_response())
        }
    })
}
