//! The end of a connection that answers.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use crate::{
    driver::{
        SharedState,
        inbox::{DriverEvent, WeakInbox},
    },
    epoch::PlacerClaim,
    fact::FleetFact,
    feed::ConfigAnswer,
    gossip::{DigestAnswer, DigestAsk, GossipEcho, GossipPush, SyncAsk},
    hello,
    link::transport,
    settles::GrantEnd,
    wire::{AskFault, FleetPeer, FleetPeerClient, PlacerAsk, PlacerOverview},
};
use control::{fault::ReplicaFault, handle::ControlHandle, packet::ReplicaPacket};
use decide::placer::HeldGrant;
use futures::StreamExt;
use model::{
    announcement::UpstreamAnnouncement,
    call::{CallRefusal, RefusalReason},
    ledger::{ClaimAnswer, KeyClaim, KeyClose},
    names::{MemberName, ServiceName},
    numbers::{ConfigNumber, GroupNumber},
    patch::{ConfigPatch, PatchId, PatchRecord, PatchResult},
    ports::ReplicaChange,
    secret::SharedSecret,
    slot::{GrantId, SlotGrant},
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

/// How long a change of replicas is waited for: the new one must catch up first.
const CHANGE_WITHIN: Duration = Duration::from_secs(10);

/// Answers the peers of this node.
#[derive(Clone)]
pub(crate) struct PeerServer {
    shared: SharedState,
    inbox: WeakInbox,
}

impl PeerServer {
    pub(crate) fn new(shared: SharedState, inbox: WeakInbox) -> Self {
        Self { shared, inbox }
    }

    fn control(&self) -> Result<&ControlHandle, ReplicaFault> {
        // A VM without replicas cannot know who leads.
        self.shared.control.as_ref().ok_or(ReplicaFault::NotLeader { leader: None })
    }

    fn address_of(&self, member: &MemberName) -> Option<SocketAddr> {
        self.shared.view.load().member(member).map(|member| member.address)
    }
}

/// Waits for the control thread's answer. When the thread has ended there is none, and the runtime
/// of this task ends with it.
async fn or_never<T>(answer: Option<T>) -> T {
    match answer {
        Some(answer) => answer,
        None => std::future::pending().await,
    }
}

fn left(context: &Context) -> Duration {
    context.deadline.saturating_duration_since(Instant::now())
}

impl FleetPeer for PeerServer {
    async fn ping(self, _: Context) {}

    async fn gossip(self, _: Context, push: GossipPush) -> GossipEcho {
        or_never(self.inbox.query(|driver| driver.take_push(push)).await).await
    }

    async fn digest(self, _: Context, ask: DigestAsk) -> DigestAnswer {
        or_never(self.inbox.query(|driver| driver.answer_digest(ask)).await).await
    }

    async fn sync(self, _: Context, ask: SyncAsk) -> Vec<FleetFact> {
        let query = |driver: &mut crate::driver::FleetDriver| {
            let now = driver.now();
            driver.gossip.answer_sync(ask, now)
        };
        or_never(self.inbox.query(query).await).await
    }

    async fn renew(self, _: Context, announcement: UpstreamAnnouncement) {
        let query = move |driver: &mut crate::driver::FleetDriver| {
            let now = driver.now();
            driver.keep(&announcement, now);
        };
        or_never(self.inbox.query(query).await).await;
    }

    async fn ask(self, context: Context, ask: PlacerAsk) -> Result<SlotGrant, AskFault> {
        if left(&context).is_zero() {
            let refusal = CallRefusal::passing(RefusalReason::DeadlineTooShort, 100);
            return Err(AskFault::Refused { refusal });
        }
        match self.inbox.upgrade() {
            Some(inbox) => inbox.ask(ask).await,
            None => std::future::pending().await,
        }
    }

    async fn relay_ask(
        self,
        context: Context,
        placer: MemberName,
        ask: PlacerAsk,
    ) -> Result<SlotGrant, AskFault> {
        let address = self.address_of(&placer).ok_or(AskFault::NotRelayed)?;
        let call = |client: FleetPeerClient, context| async move { client.ask(context, ask).await };
        let answer = self.shared.links.call(address, left(&context), call).await;
        answer.map_err(|_| AskFault::NotRelayed)?
    }

    async fn end(self, _: Context, entry: MemberName, ends: Vec<GrantEnd>) {
        if let Some(inbox) = self.inbox.upgrade()
            && inbox.end(entry, ends).await
        {
            return;
        }
        std::future::pending::<()>().await;
    }

    async fn relay_end(
        self,
        context: Context,
        placer: MemberName,
        entry: MemberName,
        ends: Vec<GrantEnd>,
    ) -> bool {
        let Some(address) = self.address_of(&placer) else { return false };
        let call = |client: FleetPeerClient, context| async move {
            client.end(context, entry, ends).await
        };
        self.shared.links.call(address, left(&context), call).await.is_ok()
    }

    async fn revoke(self, _: Context, grants: Vec<GrantId>) {
        let mut book = self.shared.book();
        for id in &grants {
            book.revoke(id);
        }
    }

    async fn recount(
        self,
        _: Context,
        service: ServiceName,
        shard: u32,
        claim: PlacerClaim,
    ) -> Option<Vec<HeldGrant>> {
        self.shared.book().recount(&service, shard, &claim, self.shared.now())
    }

    async fn config(self, _: Context, number: ConfigNumber, whole: bool) -> ConfigAnswer {
        let query =
            move |driver: &mut crate::driver::FleetDriver| driver.feed.answer(number, whole);
        or_never(self.inbox.query(query).await).await
    }

    async fn in_force(self, _: Context) -> ConfigNumber {
        self.shared.config.load().number()
    }

    async fn overview(self, _: Context) -> PlacerOverview {
        or_never(self.inbox.query(|driver| driver.overview()).await).await
    }

    async fn packets(self, _: Context, packets: Vec<ReplicaPacket>) {
        if let Some(control) = &self.shared.control {
            packets.into_iter().for_each(|packet| control.receive(packet));
        }
    }

    async fn submit(self, _: Context, patch: ConfigPatch) -> Result<PatchResult, ReplicaFault> {
        self.control()?.submit(patch, REPLICA_WITHIN).await
    }

    async fn confirm(self, _: Context) -> Result<ConfigNumber, ReplicaFault> {
        self.control()?.confirm(REPLICA_WITHIN).await
    }

    async fn history(
        self,
        _: Context,
        after: ConfigNumber,
        limit: u32,
    ) -> Result<Vec<PatchRecord>, ReplicaFault> {
        self.control()?.history(after, limit as usize, REPLICA_WITHIN).await
    }

    async fn patch(self, _: Context, id: PatchId) -> Result<Option<PatchResult>, ReplicaFault> {
        self.control()?.patch(id, REPLICA_WITHIN).await
    }

    async fn claim(
        self,
        context: Context,
        group: GroupNumber,
        claim: KeyClaim,
    ) -> Result<ClaimAnswer, ReplicaFault> {
        let span = left(&context);
        if span.is_zero() {
            return Ok(ClaimAnswer::Late);
        }
        self.control()?.claim(group, claim, span).await
    }

    async fn close(
        self,
        _: Context,
        group: GroupNumber,
        close: KeyClose,
    ) -> Result<(), ReplicaFault> {
        self.control()?.close(group, close, REPLICA_WITHIN).await
    }

    async fn change_replicas(
        self,
        _: Context,
        group: GroupNumber,
        change: ReplicaChange,
    ) -> Result<(), ReplicaFault> {
        self.control()?.change_replicas(group, change, CHANGE_WITHIN).await
    }

    async fn drain(self, _: Context) {
        self.inbox.send(DriverEvent::Drain);
    }
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
