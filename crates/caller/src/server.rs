//! Takes callers' connections and requests.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use log::warn;
use model::ports::{LedgerPort, SlotPort};
use snafu::{ResultExt, Snafu};
use tokio::{net::TcpListener, sync::watch, task::JoinHandle, time::timeout};

use crate::{connection::ConnectionServer, entry::CallEntry};

/// How long the port goes on accepting after a stop was asked for and nobody connects any more.
const BACKLOG_TIME: Duration = Duration::from_millis(20);

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
    while let Ok(Ok((stream, peer))) = timeout(BACKLOG_TIME, listener.accept()).await {
        server.serve(stream, peer);
    }
    drop(listener);
    server.shutdown().await;
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
