//! Takes callers' connections and requests.

use std::{convert::Infallible, io, net::SocketAddr, sync::Arc, time::Duration};

use crate::entry::CallEntry;
use hyper::service::service_fn;
use hyper_util::{
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::{conn::auto, graceful::GracefulShutdown},
};
use log::warn;
use model::ports::{LedgerPort, SlotPort};
use snafu::{ResultExt, Snafu};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    task::JoinHandle,
};

/// How long a caller may take to send a request's head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

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

/// The running port for callers.
#[derive(Debug)]
pub struct CallerServer {
    address: SocketAddr,
    stop: watch::Sender<bool>,
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
        let (stop, stopped) = watch::channel(false);
        let task = tokio::spawn(serve(listener, entry, stopped));
        Ok(Self { address, stop, task })
    }

    /// Returns the address that was bound.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Takes no new connection, finishes what is in flight and ends.
    pub async fn drain(self) {
        self.stop.send_replace(true);
        // The task only ends early by a panic, after which there is nothing left to finish.
        let _ = self.task.await;
    }
}

async fn serve<S: SlotPort, L: LedgerPort>(
    listener: TcpListener,
    entry: Arc<CallEntry<S, L>>,
    stopped: watch::Receiver<bool>,
) {
    let graceful = GracefulShutdown::new();
    let mut stop = std::pin::pin!(stop_asked(stopped));
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, peer)) => serve_connection(stream, peer, entry.clone(), &graceful),
                Err(error) => {
                    warn!(error:% = error; "cannot accept a caller's connection");
                    tokio::time::sleep(Duration::from_millis(100)).await;
                }
            },
            () = &mut stop => break,
        }
    }
    drop(listener);
    graceful.shutdown().await;
}

/// Ends when a stop is asked for, or its asker is gone.
async fn stop_asked(mut stopped: watch::Receiver<bool>) {
    let _ = stopped.wait_for(|&stop| stop).await;
}

fn serve_connection<S: SlotPort, L: LedgerPort>(
    stream: TcpStream,
    peer: SocketAddr,
    entry: Arc<CallEntry<S, L>>,
    graceful: &GracefulShutdown,
) {
    // Without it a small answer can wait 40 ms for the acknowledgement of the one before.
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let entry = entry.clone();
        async move { Ok::<_, Infallible>(entry.answer(request).await) }
    });
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder.http1().timer(TokioTimer::new()).header_read_timeout(HEAD_TIMEOUT);
    builder.http2().timer(TokioTimer::new());
    let connection = builder.serve_connection(TokioIo::new(stream), service).into_owned();
    let connection = graceful.watch(connection);
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!(peer:% = peer, error:% = error; "a caller's connection ended");
        }
    });
}
