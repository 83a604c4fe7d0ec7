//! The control thread: owns membership, announcements, placers and what is in force.
//!
//! Its parts, each a file: [`inbox`] how others reach it, `gossip` what it spreads and hears, `duty`
//! which placers it holds, `slots` asks and grants, `fallback` placing without a placer, `feed` the
//! configuration. The rules they follow are pure modules of this crate; here they meet the sockets.

pub(crate) mod inbox;

mod duty;
mod fallback;
mod feed;
mod gossip;
mod slots;

use std::{
    collections::{BTreeMap, HashMap},
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use crate::{
    asks::AskTable,
    directory::{LeaseKeeper, UpstreamDirectory},
    fact::MemberRecord,
    feed::ConfigFeed,
    gossip::GossipState,
    grants::GrantBook,
    link::PeerLinks,
    packets,
    server::{PeerServer, serve},
    settings::FleetSettings,
    view::FleetView,
};
use arc_swap::ArcSwap;
use control::{handle::ControlHandle, packet::ReplicaPacket};
use decide::fallback::FallbackPlacer;
use duty::DutyState;
use inbox::{AskReply, DriverEvent, DriverInbox, WeakInbox};
use model::{
    config::FleetConfig,
    moment::Moment,
    names::{MemberName, ServiceName},
    numbers::{ConfigNumber, IncarnationNumber},
};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use snafu::{ResultExt, Snafu, ensure};
use tokio::{
    net::TcpListener,
    runtime::Runtime,
    sync::{mpsc, watch},
};
use tokio_util::sync::CancellationToken;

/// How often leases, deadlines and gossip are looked at.
const TICK_PERIOD: Duration = Duration::from_millis(20);

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
    /// The address is no address of this VM that others could reach.
    #[snafu(display("{address} tells other VMs nothing; name an address of this VM to listen on"))]
    Unspecified {
        /// The address.
        address: SocketAddr,
    },
    /// The thread or its runtime could not be started.
    #[snafu(display("cannot start the control thread: {source}"))]
    Thread {
        /// What the system said.
        source: io::Error,
    },
}

/// The replicas of this VM, with what they send to others.
pub type ReplicaPart = (ControlHandle, mpsc::Receiver<ReplicaPacket>);

/// What the control thread and the traffic threads share.
#[derive(Clone)]
pub(crate) struct SharedState {
    pub(crate) member: MemberName,
    pub(crate) life: IncarnationNumber,
    pub(crate) address: SocketAddr,
    pub(crate) origin: Instant,
    pub(crate) links: PeerLinks,
    pub(crate) view: Arc<ArcSwap<FleetView>>,
    pub(crate) config: Arc<ArcSwap<FleetConfig>>,
    pub(crate) control: Option<ControlHandle>,
    book: Arc<Mutex<GrantBook>>,
    pub(crate) changed: watch::Receiver<ConfigNumber>,
    pub(crate) drain: watch::Receiver<bool>,
    pub(crate) stop: CancellationToken,
}

impl SharedState {
    /// Returns the present moment.
    pub(crate) fn now(&self) -> Moment {
        let micros = self.origin.elapsed().as_micros();
        Moment::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    /// Returns the grants that this VM's entry holds. Held for single map operations only.
    pub(crate) fn book(&self) -> MutexGuard<'_, GrantBook> {
        self.book.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The state of the control thread.
pub(crate) struct FleetDriver {
    shared: SharedState,
    inbox: WeakInbox,
    pub(crate) gossip: GossipState,
    pub(crate) directory: UpstreamDirectory,
    leases: LeaseKeeper,
    duties: BTreeMap<ServiceName, DutyState>,
    reopened: Moment,
    asks: AskTable<AskReply>,
    lives: HashMap<MemberName, IncarnationNumber>,
    fallbacks: BTreeMap<ServiceName, FallbackPlacer>,
    pub(crate) feed: ConfigFeed,
    pulling: bool,
    revision: u64,
    changed: watch::Sender<ConfigNumber>,
    drain: watch::Sender<bool>,
    seeds: usize,
    random: Pcg64Mcg,
}

/// Binds the fleet's port and starts the control thread.
pub(crate) fn spawn(
    settings: FleetSettings,
    replicas: Option<ReplicaPart>,
) -> Result<(SharedState, DriverInbox), FleetError> {
    let address = settings.listen;
    ensure!(!address.ip().is_unspecified(), UnspecifiedSnafu { address });
    let listener = std::net::TcpListener::bind(address).context(BindSnafu { address })?;
    listener.set_nonblocking(true).context(BindSnafu { address })?;
    let address = listener.local_addr().context(BindSnafu { address })?;
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().context(ThreadSnafu)?;
    let (changed, watch_changed) = watch::channel(ConfigNumber::default());
    let (drain, watch_drain) = watch::channel(false);
    let (control, packets) = replicas.unzip();
    let shared = SharedState {
        member: settings.member.clone(),
        life: settings.incarnation,
        address,
        origin: Instant::now(),
        links: PeerLinks::new(runtime.handle().clone(), settings.secret.clone()),
        view: Arc::default(),
        config: Arc::new(ArcSwap::from_pointee(FleetConfig::default())),
        control,
        book: Arc::default(),
        changed: watch_changed,
        drain: watch_drain,
        stop: CancellationToken::new(),
    };
    let (inbox, events) = inbox::inbox();
    let driver = FleetDriver::open(&settings, shared.clone(), inbox.downgrade(), changed, drain);
    let thread = ControlThread { listener, settings, driver, packets, events };
    let run = move || thread.run(&runtime);
    std::thread::Builder::new().name("control".to_owned()).spawn(run).context(ThreadSnafu)?;
    Ok((shared, inbox))
}

struct ControlThread {
    listener: std::net::TcpListener,
    settings: FleetSettings,
    driver: FleetDriver,
    packets: Option<mpsc::Receiver<ReplicaPacket>>,
    events: mpsc::Receiver<DriverEvent>,
}

impl ControlThread {
    /// Runs until the last handle is gone or the node is killed. The runtime ends with this thread,
    /// and with it the listener, the connections and each task.
    fn run(self, runtime: &Runtime) {
        let shared = self.driver.shared.clone();
        let server = PeerServer::new(shared.clone(), self.driver.inbox.clone());
        runtime.block_on(async move {
            match TcpListener::from_std(self.listener) {
                Ok(listener) => {
                    drop(tokio::spawn(serve(listener, self.settings.secret, server)));
                }
                Err(error) => log::error!(error:% = error; "the fleet's port is not served"),
            }
            tokio::spawn(shared.links.clone().tend());
            if let Some(packets) = self.packets {
                tokio::spawn(packets::carry(packets, shared.clone()));
            }
            let stop = shared.stop.clone();
            tokio::select! {
                biased;
                () = stop.cancelled() => (),
                () = self.driver.run(self.events) => (),
            }
        });
    }
}

impl FleetDriver {
    fn open(
        settings: &FleetSettings,
        shared: SharedState,
        inbox: WeakInbox,
        changed: watch::Sender<ConfigNumber>,
        drain: watch::Sender<bool>,
    ) -> Self {
        let own = MemberRecord {
            member: settings.member.clone(),
            domain: settings.domain.clone(),
            address: shared.address,
            incarnation: settings.incarnation,
            version: 1,
            stopping: false,
            replica: shared.control.is_some(),
        };
        let name = settings.member.as_str().as_bytes();
        let seed = xxhash_rust::xxh3::xxh3_64_with_seed(name, settings.incarnation.0);
        let now = shared.now();
        let others = settings.seeds.iter().filter(|&&seed| seed != shared.address);
        Self {
            seeds: others.count(),
            inbox,
            gossip: GossipState::open(own, settings.seeds.clone(), seed, now),
            directory: UpstreamDirectory::default(),
            leases: LeaseKeeper::default(),
            duties: BTreeMap::new(),
            reopened: now,
            asks: AskTable::default(),
            lives: HashMap::new(),
            fallbacks: BTreeMap::new(),
            feed: ConfigFeed::open(now),
            pulling: false,
            revision: u64::MAX,
            shared,
            changed,
            drain,
            random: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    async fn run(mut self, mut events: mpsc::Receiver<DriverEvent>) {
        let mut tick = tokio::time::interval(TICK_PERIOD);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut config = self.shared.control.as_ref().map(ControlHandle::watch_config);
        if let Some(config) = &mut config {
            config.mark_changed();
        }
        loop {
            tokio::select! {
                event = events.recv() => match event {
                    Some(event) => self.handle(event),
                    None => return,
                },
                _ = tick.tick() => self.tick(),
                next = committed(&mut config) => self.take_committed(next),
            }
        }
    }

    /// Returns the present moment.
    pub(crate) fn now(&self) -> Moment {
        self.shared.now()
    }

    fn handle(&mut self, event: DriverEvent) {
        let now = self.now();
        match event {
            DriverEvent::Ask { ask, reply, arrived } => self.ask(ask, reply, arrived, now),
            DriverEvent::Ends { entry, ends, taken } => {
                self.end(&entry, ends, now);
                // The entry's connection has gone: it sends the ends again.
                let _ = taken.send(());
            }
            DriverEvent::Announce(announcement) => self.hear_announcement(announcement, now),
            DriverEvent::Recounted { service, entry, held } => {
                self.recounted(&service, &entry, held, now);
            }
            DriverEvent::Query(query) => {
                query(self);
                self.follow(now);
            }
            DriverEvent::Drain => self.begin_drain(now),
        }
    }

    fn tick(&mut self) {
        let now = self.now();
        self.asks.tick(now);
        self.tick_duties(now);
        self.tick_fallbacks(now);
        self.tick_gossip(now);
        self.report_number(now);
    }

    /// Begins the planned stop: this VM is no candidate from now on, so its duties move at once.
    fn begin_drain(&mut self, now: Moment) {
        if self.drain.send_replace(true) {
            return;
        }
        log::info!("planned stop: duties are handed over");
        self.gossip.change_own(|own| own.stopping = true, now);
        if let Some(control) = self.shared.control.clone() {
            tokio::spawn(async move {
                const HAND_OVER: Duration = Duration::from_secs(3);
                if let Err(fault) = control.hand_over(HAND_OVER).await {
                    log::warn!(fault:% = fault; "leadership was not handed over");
                }
            });
        }
        self.follow(now);
        self.tick_gossip(now);
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
