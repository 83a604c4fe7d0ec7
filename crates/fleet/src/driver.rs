//! The control thread: owns membership, announcements and placers, and drives them by events.

use std::{
    collections::{BTreeMap, HashMap},
    io,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use crate::{
    directory::UpstreamDirectory,
    link::PeerLinks,
    membership::MemberTable,
    server::{PeerServer, serve},
    settings::FleetSettings,
    view::{FleetView, PlacerCandidate},
    wire::{AskFault, FleetPeerClient, GossipMessage, MemberRecord},
};
use arc_swap::ArcSwap;
use control::handle::ControlHandle;
use decide::placer::{AskId, PlacerAction, PlacerSettings, ServicePlacer};
use log::info;
use model::{
    announcement::UpstreamAnnouncement,
    config::FleetConfig,
    moment::Moment,
    names::{MemberName, ServiceName},
    numbers::{CallNumber, ConfigNumber, PlacerEpoch},
    slot::{SlotAsk, SlotGrant, SlotSettle},
};
use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_pcg::Pcg64Mcg;
use snafu::{ResultExt, Snafu};
use tokio::{
    net::TcpListener,
    sync::{mpsc, oneshot, watch},
};

/// How often a node tells a few others what it knows.
const GOSSIP_PERIOD: Duration = Duration::from_millis(200);

/// How many others it tells each time.
const GOSSIP_FANOUT: usize = 3;

/// How long an exchange of gossip may take.
const GOSSIP_TIMEOUT: Duration = Duration::from_millis(500);

/// How often leases and deadlines are looked at.
const TICK_PERIOD: Duration = Duration::from_millis(20);

/// How many events may wait for the control thread. A full inbox means that the thread is stalled;
/// dropping an ask then is safe, since its entry gives up at its deadline.
const INBOX_LIMIT: usize = 65_536;

/// Why a node could not be started.
#[derive(Debug, Snafu)]
pub enum FleetError {
    /// The address could not be bound.
    #[snafu(display("cannot listen for the fleet on {address}: {source}"))]
    Bind {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// The thread or its runtime could not be started.
    #[snafu(display("cannot start the control thread: {source}"))]
    Thread {
        /// What the system said.
        source: io::Error,
    },
}

type DriverQuery = Box<dyn FnOnce(&mut FleetDriver) + Send>;

pub(crate) enum DriverEvent {
    Ask { entry: MemberName, ask: SlotAsk, reply: oneshot::Sender<Result<SlotGrant, AskFault>> },
    Cancel { entry: MemberName, call: CallNumber, attempt: u32 },
    Settle(SlotSettle),
    Announce(UpstreamAnnouncement),
    Query(DriverQuery),
    Drain,
}

/// Sends events to the control thread.
#[derive(Clone)]
pub(crate) struct DriverInbox(mpsc::Sender<DriverEvent>);

impl DriverInbox {
    pub(crate) fn send(&self, event: DriverEvent) {
        if self.0.try_send(event).is_err() {
            log::warn!("the control thread is gone or stalled; an event was dropped");
        }
    }

    pub(crate) async fn ask(&self, entry: MemberName, ask: SlotAsk) -> Result<SlotGrant, AskFault> {
        let (reply, answer) = oneshot::channel();
        self.send(DriverEvent::Ask { entry, ask, reply });
        answer.await.unwrap_or(Err(AskFault::NotPlacer))
    }

    /// Runs a closure on the control thread.
    ///
    /// # Panics
    ///
    /// Panics when the control thread is gone, as nothing can go on without it.
    pub(crate) async fn query<T: Send + 'static>(
        &self,
        query: impl FnOnce(&mut FleetDriver) -> T + Send + 'static,
    ) -> T {
        let (reply, answer) = oneshot::channel();
        let run: DriverQuery = Box::new(move |driver| drop(reply.send(query(driver))));
        let sent = self.0.send(DriverEvent::Query(run)).await;
        sent.expect("the control thread runs as long as the process");
        answer.await.expect("the control thread answers each query")
    }
}

/// What the control thread shares with traffic threads.
#[derive(Clone)]
pub(crate) struct SharedState {
    pub(crate) inbox: DriverInbox,
    pub(crate) links: PeerLinks,
    pub(crate) view: Arc<ArcSwap<FleetView>>,
    pub(crate) config: Arc<ArcSwap<FleetConfig>>,
    pub(crate) changed: watch::Receiver<ConfigNumber>,
    pub(crate) drain: watch::Receiver<bool>,
    pub(crate) address: SocketAddr,
}

/// The state of the control thread.
pub(crate) struct FleetDriver {
    settings: FleetSettings,
    origin: Instant,
    pub(crate) members: MemberTable,
    pub(crate) directory: UpstreamDirectory,
    pub(crate) placers: BTreeMap<ServiceName, ServicePlacer>,
    replies: HashMap<AskId, oneshot::Sender<Result<SlotGrant, AskFault>>>,
    shared: SharedState,
    changed: watch::Sender<ConfigNumber>,
    drain: watch::Sender<bool>,
    control: Option<ControlHandle>,
    random: Pcg64Mcg,
    actions: Vec<PlacerAction>,
}

/// Binds the fleet's port and starts the control thread.
pub(crate) fn spawn(
    settings: FleetSettings,
    control: Option<ControlHandle>,
) -> Result<SharedState, FleetError> {
    let address = settings.listen;
    let listener = std::net::TcpListener::bind(address).context(BindSnafu { address })?;
    listener.set_nonblocking(true).context(BindSnafu { address })?;
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().context(ThreadSnafu)?;
    let address = listener.local_addr().context(BindSnafu { address })?;
    let (inbox, events) = mpsc::channel(INBOX_LIMIT);
    let (changed, watch_changed) = watch::channel(ConfigNumber::default());
    let (drain, watch_drain) = watch::channel(false);
    let shared = SharedState {
        inbox: DriverInbox(inbox),
        links: PeerLinks::new(runtime.handle().clone(), settings.secret.clone()),
        view: Arc::default(),
        config: Arc::new(ArcSwap::from_pointee(FleetConfig::default())),
        changed: watch_changed,
        drain: watch_drain,
        address,
    };
    let secret = settings.secret.clone();
    let driver = FleetDriver::open(settings, shared.clone(), changed, drain, control.clone());
    let server = PeerServer { inbox: shared.inbox.clone(), control };
    let links = shared.links.clone();
    let run = move || {
        runtime.block_on(async move {
            match TcpListener::from_std(listener) {
                Ok(listener) => drop(tokio::spawn(serve(listener, secret, server))),
                Err(error) => log::error!(error:% = error; "the fleet's port is not served"),
            }
            tokio::spawn(links.tend());
            driver.run(events).await;
        });
    };
    std::thread::Builder::new().name("control".to_owned()).spawn(run).context(ThreadSnafu)?;
    Ok(shared)
}

impl FleetDriver {
    fn open(
        settings: FleetSettings,
        shared: SharedState,
        changed: watch::Sender<ConfigNumber>,
        drain: watch::Sender<bool>,
        control: Option<ControlHandle>,
    ) -> Self {
        let own = MemberRecord {
            member: settings.member.clone(),
            domain: settings.domain.clone(),
            address: shared.address,
            incarnation: settings.incarnation,
            heartbeat: 0,
            in_force: ConfigNumber::default(),
            stopping: false,
            replica: control.is_some(),
        };
        let seed = xxhash_rust::xxh3::xxh3_64(settings.member.as_str().as_bytes());
        Self {
            members: MemberTable::open(own),
            settings,
            origin: Instant::now(),
            directory: UpstreamDirectory::default(),
            placers: BTreeMap::new(),
            replies: HashMap::new(),
            shared,
            changed,
            drain,
            control,
            random: Pcg64Mcg::seed_from_u64(seed),
            actions: Vec::new(),
        }
    }

    async fn run(mut self, mut events: mpsc::Receiver<DriverEvent>) {
        let mut gossip = tokio::time::interval(GOSSIP_PERIOD);
        let mut tick = tokio::time::interval(TICK_PERIOD);
        let mut config = self.control.as_ref().map(ControlHandle::watch_config);
        loop {
            tokio::select! {
                event = events.recv() => match event {
                    Some(event) => self.handle(event),
                    None => return,
                },
                _ = gossip.tick() => self.gossip(),
                _ = tick.tick() => self.tick(),
                next = committed(&mut config) => self.put_in_force(next),
            }
            self.carry_out();
        }
    }

    /// Returns the present moment.
    pub(crate) fn now(&self) -> Moment {
        let micros = self.origin.elapsed().as_micros();
        Moment::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    fn handle(&mut self, event: DriverEvent) {
        let now = self.now();
        match event {
            DriverEvent::Ask { entry, ask, reply } => self.ask(entry, ask, reply, now),
            DriverEvent::Cancel { entry, call, attempt } => {
                let id = AskId { entry, call, attempt };
                self.replies.remove(&id);
                self.placers.values_mut().for_each(|placer| placer.cancel(&id));
            }
            DriverEvent::Settle(settle) => {
                if let Some(placer) = self.placers.get_mut(&settle.service) {
                    placer.settle(&settle, now, &mut self.actions);
                }
            }
            DriverEvent::Announce(announcement) => {
                let left = Duration::from_millis(u64::from(announcement.lease_ms));
                self.learn_announcement(&announcement, left, now);
                self.gossip();
            }
            DriverEvent::Query(query) => query(self),
            DriverEvent::Drain => {
                self.members.beat(|own| own.stopping = true);
                self.drain.send_replace(true);
                self.publish_view();
                self.gossip();
            }
        }
    }

    fn ask(
        &mut self,
        entry: MemberName,
        ask: SlotAsk,
        reply: oneshot::Sender<Result<SlotGrant, AskFault>>,
        now: Moment,
    ) {
        let Some(placer) = self.placers.get_mut(&ask.service) else {
            return drop(reply.send(Err(AskFault::NotPlacer)));
        };
        let id = AskId { entry: entry.clone(), call: ask.call, attempt: ask.attempt };
        self.replies.insert(id, reply);
        placer.ask(entry, ask, now, &mut self.actions);
    }

    fn tick(&mut self) {
        let now = self.now();
        self.directory.expire(now);
        for placer in self.placers.values_mut() {
            placer.tick(now, &mut self.actions);
        }
    }

    fn carry_out(&mut self) {
        for action in std::mem::take(&mut self.actions) {
            match action {
                PlacerAction::Grant { to, grant, .. } => self.reply(&to, Ok(grant)),
                PlacerAction::Refuse { to, refusal, .. } => {
                    info!(entry:% = to.entry, call:% = to.call, reason:% = refusal.reason; "refused");
                    self.reply(&to, Err(AskFault::Refused { refusal }));
                }
                PlacerAction::Revoke { .. }
                | PlacerAction::Eject { .. }
                | PlacerAction::Return { .. }
                | PlacerAction::Poison { .. } => (),
            }
        }
    }

    fn reply(&mut self, to: &AskId, answer: Result<SlotGrant, AskFault>) {
        if let Some(reply) = self.replies.remove(to) {
            // The entry has gone: its connection's end settles what it held.
            let _ = reply.send(answer);
        }
    }

    fn learn_announcement(
        &mut self,
        announcement: &UpstreamAnnouncement,
        left: Duration,
        now: Moment,
    ) {
        if !self.directory.learn(announcement.clone(), left, now) {
            return;
        }
        if let Some(placer) = self.placers.get_mut(&announcement.service) {
            placer.announce(announcement, now, &mut self.actions);
        }
    }

    /// Takes what a peer knows and returns what this node knows.
    pub(crate) fn exchange(&mut self, message: GossipMessage) -> GossipMessage {
        let behind = self.learn(message);
        self.tell(behind)
    }

    /// Takes what a peer knows and returns the number in force there.
    fn learn(&mut self, message: GossipMessage) -> ConfigNumber {
        let now = self.now();
        let sender = message.members.iter().find(|record| record.member == message.from);
        let in_force = sender.map_or(ConfigNumber::default(), |record| record.in_force);
        self.members.learn(message.members, now);
        for spread in message.announcements {
            let left = Duration::from_millis(u64::from(spread.left_ms));
            self.learn_announcement(&spread.announcement, left, now);
        }
        if let Some(image) = message.config {
            self.put_in_force(FleetConfig::from_image(image));
        }
        self.publish_view();
        in_force
    }

    fn tell(&self, receiver_in_force: ConfigNumber) -> GossipMessage {
        let now = self.now();
        let config = self.shared.config.load();
        GossipMessage {
            from: self.settings.member.clone(),
            members: self.members.living(now).map(|(record, _)| record.clone()).collect(),
            announcements: self.directory.to_spread(now),
            config: (config.number() > receiver_in_force).then(|| config.to_image()),
        }
    }

    fn gossip(&mut self) {
        self.members.beat(|_| ());
        self.publish_view();
        for (address, in_force) in self.gossip_targets() {
            let message = self.tell(in_force);
            let (links, inbox) = (self.shared.links.clone(), self.shared.inbox.clone());
            tokio::spawn(async move {
                let call = |client: FleetPeerClient, context| async move {
                    client.gossip(context, message).await
                };
                if let Ok(answer) = links.call(address, GOSSIP_TIMEOUT, call).await {
                    inbox.query(|driver| driver.learn(answer)).await;
                }
            });
        }
    }

    fn gossip_targets(&mut self) -> Vec<(SocketAddr, ConfigNumber)> {
        let now = self.now();
        let own = self.shared.address;
        let living = self.members.living(now).map(|(record, _)| (record.address, record.in_force));
        let mut known: Vec<_> = living.filter(|(address, _)| *address != own).collect();
        if known.is_empty() || self.random.random_ratio(1, 8) {
            let seeds = self.settings.seeds.iter().filter(|&&address| address != own);
            known.extend(seeds.map(|&address| (address, self.shared.config.load().number())));
        }
        known.choose_multiple(&mut self.random, GOSSIP_FANOUT).copied().collect()
    }

    fn put_in_force(&mut self, next: FleetConfig) {
        if next.number() <= self.shared.config.load().number() {
            return;
        }
        let number = next.number();
        info!(number:%; "configuration in force");
        self.shared.config.store(Arc::new(next));
        self.members.beat(|own| own.in_force = number);
        self.changed.send_replace(number);
        self.take_duties();
        self.gossip();
    }

    fn publish_view(&mut self) {
        let now = self.now();
        let serving = self.members.living(now).filter(|(record, _)| !record.stopping);
        let candidates = serving.map(|(record, _)| PlacerCandidate {
            member: record.member.clone(),
            address: record.address,
        });
        let view = FleetView { candidates: candidates.collect() };
        if **self.shared.view.load() != view {
            self.shared.view.store(Arc::new(view));
            self.take_duties();
        }
    }

    /// Opens the placers that this node has won and drops those that it has lost.
    fn take_duties(&mut self) {
        let (view, config) = (self.shared.view.load_full(), self.shared.config.load_full());
        let own = self.settings.member.clone();
        let mine = |service: &ServiceName| {
            view.placer_of(service, 0).is_some_and(|candidate| candidate.member == own)
        };
        self.placers.retain(|service, _| config.service(service).is_some() && mine(service));
        for (service, rule) in config.services() {
            if let Some(placer) = self.placers.get_mut(service) {
                placer.set_rule(rule);
            } else if mine(service) {
                self.open_placer(service, rule);
            }
        }
    }

    fn open_placer(&mut self, service: &ServiceName, rule: &model::config::ServiceRule) {
        let now = self.now();
        let epoch = PlacerEpoch(self.members.own().heartbeat);
        info!(service:%, epoch:%; "placer duty taken");
        let mut placer = ServicePlacer::open(PlacerSettings {
            service: service.clone(),
            shard: 0,
            member: self.settings.member.clone(),
            epoch,
            rule: rule.clone(),
            seed: self.random.random(),
        });
        for (announcement, _) in self.directory.list(now) {
            if announcement.service == *service {
                placer.announce(announcement, now, &mut self.actions);
            }
        }
        self.placers.insert(service.clone(), placer);
    }
}

async fn committed(config: &mut Option<watch::Receiver<FleetConfig>>) -> FleetConfig {
    if let Some(receiver) = config
        && receiver.changed().await.is_ok()
    {
        return receiver.borrow_and_update().clone();
    }
    std::future::pending().await
}
