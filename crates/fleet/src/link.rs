//! Connections to the rest of the fleet.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use crate::wire::{FleetPeerClient, MESSAGE_LIMIT};
use snafu::Snafu;
use tarpc::{
    client, context,
    serde_transport::{self, Transport},
    tokio_serde::formats::Bincode,
    tokio_util::codec::LengthDelimitedCodec,
};
use tokio::{net::TcpStream, runtime::Handle, time::timeout};

/// The messages of one connection, in both directions.
pub(crate) type PeerTransport<In, Out> = Transport<TcpStream, In, Out, Bincode<In, Out>>;

/// Frames a connection's bytes into messages of bounded size.
pub(crate) fn transport<In, Out>(stream: TcpStream) -> PeerTransport<In, Out>
where
    In: for<'de> serde::Deserialize<'de>,
    Out: serde::Serialize,
{
    let frames = LengthDelimitedCodec::builder().max_frame_length(MESSAGE_LIMIT).new_framed(stream);
    serde_transport::new(frames, Bincode::default())
}

/// How long opening a connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Why a peer was not reached.
#[derive(Debug, Snafu)]
pub enum LinkError {
    /// No connection could be opened in time.
    #[snafu(display("no connection to {address}"))]
    Connect {
        /// The peer's address.
        address: SocketAddr,
    },
}

/// The connections of this node, one to each peer, opened when first used.
#[derive(Clone)]
pub struct PeerLinks {
    runtime: Handle,
    open: Arc<Mutex<HashMap<SocketAddr, FleetPeerClient>>>,
}

impl PeerLinks {
    /// Makes links whose connections are driven by `runtime`.
    pub fn new(runtime: Handle) -> Self {
        Self { runtime, open: Arc::default() }
    }

    /// Returns a connection to a peer.
    ///
    /// # Errors
    ///
    /// Fails when none can be opened in time.
    pub async fn to(&self, address: SocketAddr) -> Result<FleetPeerClient, LinkError> {
        let held = self.open.lock().unwrap_or_else(PoisonError::into_inner).get(&address).cloned();
        if let Some(client) = held {
            return Ok(client);
        }
        let opened = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let stream = opened.ok().and_then(Result::ok).ok_or(LinkError::Connect { address })?;
        // Without it an ask can wait 40 ms for the acknowledgement of the message before.
        let _ = stream.set_nodelay(true);
        let new = FleetPeerClient::new(client::Config::default(), transport(stream));
        self.runtime.spawn(async move {
            if let Err(error) = new.dispatch.await {
                log::debug!(peer:% = address, error:% = error; "a link ended");
            }
        });
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        open.insert(address, new.client.clone());
        Ok(new.client)
    }

    /// Closes the connection to a peer, so that the next use opens a new one.
    pub fn forget(&self, address: SocketAddr) {
        self.open.lock().unwrap_or_else(PoisonError::into_inner).remove(&address);
    }
}

/// Makes the context of a call that may take `within`.
pub fn within(within: Duration) -> context::Context {
    let mut context = context::current();
    context.deadline = std::time::Instant::now() + within;
    context
}
