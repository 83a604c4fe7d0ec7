//! The end of a connection that answers.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use crate::{
    driver::{DriverEvent, DriverInbox},
    hello,
    link::transport,
    wire::{AskFault, FleetPeer, GossipMessage},
};
use control::{fault::ReplicaFault, handle::ControlHandle};
use futures::StreamExt;
use model::{
    ledger::{ClaimAnswer, KeyClaim, KeyClose},
    names::MemberName,
    numbers::{CallNumber, ConfigNumber, GroupNumber},
    patch::{ConfigPatch, PatchId, PatchRecord, PatchResult},
    ports::ControlFault,
    secret::SharedSecret,
    slot::{SlotAsk, SlotGrant, SlotSettle},
};
use tarpc::{
    context::Context,
    server::{BaseChannel, Channel},
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Semaphore,
    time::timeout,
};

/// How long a replica is waited for. A majority that is there answers in a few milliseconds.
const REPLICA_WITHIN: Duration = Duration::from_secs(1);

fn control_fault(fault: ReplicaFault, group: GroupNumber) -> ControlFault {
    match fault {
        ReplicaFault::NoSpace => ControlFault::NoSpace,
        ReplicaFault::Refused { reason } => ControlFault::Refused { reason: reason.to_string() },
        _ => ControlFault::Unavailable { group },
    }
}

/// Answers the peers of this node.
#[derive(Clone)]
pub(crate) struct PeerServer {
    pub(crate) inbox: DriverInbox,
    pub(crate) control: Option<ControlHandle>,
}

impl PeerServer {
    fn control(&self, group: GroupNumber) -> Result<&ControlHandle, ControlFault> {
        self.control.as_ref().ok_or(ControlFault::Unavailable { group })
    }
}

impl FleetPeer for PeerServer {
    async fn gossip(self, _: Context, message: GossipMessage) -> GossipMessage {
        self.inbox.query(|driver| driver.exchange(message)).await
    }

    async fn ask(self, _: Context, entry: MemberName, ask: SlotAsk) -> Result<SlotGrant, AskFault> {
        self.inbox.ask(entry, ask).await
    }

    async fn cancel(self, _: Context, entry: MemberName, call: CallNumber, attempt: u32) {
        self.inbox.send(DriverEvent::Cancel { entry, call, attempt });
    }

    async fn settle(self, _: Context, settles: Vec<SlotSettle>) {
        for settle in settles {
            self.inbox.send(DriverEvent::Settle(settle));
        }
    }

    async fn submit(self, _: Context, patch: ConfigPatch) -> Result<PatchResult, ControlFault> {
        let group = GroupNumber::CONFIG;
        let answer = self.control(group)?.submit(patch, REPLICA_WITHIN).await;
        answer.map_err(|fault| control_fault(fault, group))
    }

    async fn history(
        self,
        _: Context,
        after: ConfigNumber,
        limit: u32,
    ) -> Result<Vec<PatchRecord>, ControlFault> {
        let group = GroupNumber::CONFIG;
        let answer = self.control(group)?.history(after, limit as usize, REPLICA_WITHIN).await;
        answer.map_err(|fault| control_fault(fault, group))
    }

    async fn patch(self, _: Context, id: PatchId) -> Result<Option<PatchResult>, ControlFault> {
        let group = GroupNumber::CONFIG;
        let answer = self.control(group)?.patch(id, REPLICA_WITHIN).await;
        answer.map_err(|fault| control_fault(fault, group))
    }

    async fn claim(self, _: Context, claim: KeyClaim) -> Result<ClaimAnswer, ControlFault> {
        let group = GroupNumber::FIRST_LEDGER;
        let answer = self.control(group)?.claim(group, claim, REPLICA_WITHIN).await;
        answer.map_err(|fault| control_fault(fault, group))
    }

    async fn close(self, _: Context, close: KeyClose) -> Result<(), ControlFault> {
        let group = GroupNumber::FIRST_LEDGER;
        let answer = self.control(group)?.close(group, close, REPLICA_WITHIN).await;
        answer.map_err(|fault| control_fault(fault, group))
    }

    async fn drain(self, _: Context) {
        self.inbox.send(DriverEvent::Drain);
    }

    async fn ping(self, _: Context) {}
}

/// How many connections may be in their hello at once. A flood of connections that never prove
/// themselves holds no more of this process than that.
const HELLOS_LIMIT: usize = 256;

/// After which time without a message a connection is closed. The opening end closes one that it
/// does not use long before; what is left then is a connection whose other end has gone.
const SERVED_IDLE_AFTER: Duration = Duration::from_secs(180);

pub(crate) async fn serve(listener: TcpListener, secret: SharedSecret, server: PeerServer) {
    let hellos = Arc::new(Semaphore::new(HELLOS_LIMIT));
    let secret = Arc::new(secret);
    loop {
        // The semaphore is never closed.
        let Ok(permit) = hellos.clone().acquire_owned().await else { return };
        match listener.accept().await {
            Ok((stream, peer)) => {
                let (secret, server) = (secret.clone(), server.clone());
                tokio::spawn(async move {
                    if let Some(stream) = greet(stream, peer, &secret).await {
                        drop(permit);
                        serve_link(stream, server).await;
                    }
                });
            }
            Err(error) => {
                log::warn!(error:% = error; "cannot accept a peer's connection");
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        }
    }
}

async fn greet(
    mut stream: TcpStream,
    peer: SocketAddr,
    secret: &SharedSecret,
) -> Option<TcpStream> {
    // Without it a grant can wait 40 ms for the acknowledgement of the message before.
    let _ = stream.set_nodelay(true);
    match hello::accept(&mut stream, secret).await {
        Ok(()) => Some(stream),
        Err(error) => {
            log::warn!(peer:% = peer, error:% = error; "a connection was refused");
            None
        }
    }
}

async fn serve_link(stream: TcpStream, server: PeerServer) {
    let requests = BaseChannel::with_defaults(transport(stream)).execute(server.serve());
    let mut requests = std::pin::pin!(requests);
    while let Ok(Some(answer)) = timeout(SERVED_IDLE_AFTER, requests.next()).await {
        tokio::spawn(answer);
    }
}
