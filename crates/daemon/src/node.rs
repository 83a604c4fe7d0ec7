//! One running daemon and its planned stop.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crate::settings::DaemonSettings;
use caller::{
    entry::{CallEntry, EntryParts},
    server::{CallerError, CallerServer},
};
use control::{fault::ControlError, handle::ControlHandle, settings::ReplicaSettings};
use fleet::{
    driver::{FleetError, ReplicaPart},
    handle::FleetNode,
    settings::FleetSettings,
};
use log::info;
use model::{
    numbers::{ConfigNumber, IncarnationNumber},
    report::{GroupRow, ReplicaRole},
};
use operator::server::{OperatorError, OperatorServer};
use platform::{
    metered::{MeteredLedger, MeteredSlots},
    metrics::{FleetMetrics, MetricsError},
    ready::{ReadyState, ReadySwitch},
    server::{PlatformError, PlatformPages, PlatformServer},
};
use snafu::{ResultExt, Snafu};
use tokio::time::{Instant, sleep};
use upstream::{
    announce::{AnnounceError, AnnounceServer},
    pool::ConnectionPool,
};

/// Why a daemon could not be started.
#[derive(Debug, Snafu)]
pub enum DaemonError {
    /// The fleet's side.
    #[snafu(transparent)]
    Fleet {
        /// Why.
        source: FleetError,
    },
    /// The replicas.
    #[snafu(transparent)]
    Control {
        /// Why.
        source: ControlError,
    },
    /// The callers' side.
    #[snafu(transparent)]
    Caller {
        /// Why.
        source: CallerError,
    },
    /// The upstreams' side.
    #[snafu(transparent)]
    Announce {
        /// Why.
        source: AnnounceError,
    },
    /// The operators' side.
    #[snafu(transparent)]
    Operator {
        /// Why.
        source: OperatorError,
    },
    /// The platform's side.
    #[snafu(transparent)]
    Platform {
        /// Why.
        source: PlatformError,
    },
    /// The metrics.
    #[snafu(transparent)]
    Metrics {
        /// Why.
        source: MetricsError,
    },
    /// The clock is set before 1970.
    #[snafu(display("the clock is set before 1970: {source}"))]
    Clock {
        /// What the clock said.
        source: std::time::SystemTimeError,
    },
}

/// How long handing over leadership may take in a planned stop. Without a hand-over the followers
/// notice the silence and choose a leader themselves, which only takes longer.
const HAND_OVER_LIMIT: Duration = Duration::from_secs(3);

/// How long the ends of the last calls may take to reach their placers. A placer that cannot be
/// reached for so long gives the slots back by itself.
const ENDS_LIMIT: Duration = Duration::from_secs(2);

/// How often a stop looks at what it waits for.
const WAIT_PERIOD: Duration = Duration::from_millis(10);

/// A running daemon.
pub struct DaemonNode {
    fleet: FleetNode,
    control: Option<ControlHandle>,
    callers: CallerServer,
    announce: AnnounceServer,
    operators: OperatorServer,
    platform: PlatformServer,
    ready: ReadySwitch,
}

impl DaemonNode {
    /// Starts a daemon. It reports ready once it has a configuration.
    ///
    /// # Errors
    ///
    /// Fails when an address cannot be bound or a thread cannot be started.
    pub async fn spawn(settings: &DaemonSettings) -> Result<Self, DaemonError> {
        let started = SystemTime::now().duration_since(UNIX_EPOCH).context(ClockSnafu)?;
        let started_us = u64::try_from(started.as_micros()).unwrap_or(u64::MAX);
        let replicas = open_replicas(settings, started_us)?;
        let control = replicas.as_ref().map(|(handle, _)| handle.clone());
        let fleet = FleetNode::spawn(fleet_settings(settings, started_us), replicas)?;
        let port = Arc::new(fleet.clone());
        let metrics = FleetMetrics::open()?;
        let entry = Arc::new(CallEntry::new(EntryParts {
            slots: Arc::new(MeteredSlots::new(port.clone(), metrics.clone())),
            ledger: Arc::new(MeteredLedger::new(port.clone(), metrics.clone())),
            pool: ConnectionPool::new(),
            config: fleet.config_in_force(),
            domain: settings.domain.clone(),
        }));
        let announce_secret = settings.announce_secret.clone();
        let announce =
            AnnounceServer::bind(settings.announce_listen, announce_secret, port.clone()).await?;
        let operator_secret = settings.operator_secret.clone();
        let operators =
            OperatorServer::bind(settings.operator_listen, operator_secret, port.clone()).await?;
        let ready = ReadySwitch::default();
        let pages = PlatformPages { ready: ready.clone(), metrics, port };
        let platform = PlatformServer::bind(settings.platform_listen, pages).await?;
        let callers = CallerServer::bind(settings.caller_listen, entry).await?;
        tokio::spawn(report_ready(fleet.clone(), ready.clone()));
        Ok(Self { fleet, control, callers, announce, operators, platform, ready })
    }

    /// Returns where callers are served.
    pub fn caller_address(&self) -> SocketAddr {
        self.callers.address()
    }

    /// Returns where upstreams announce themselves.
    pub fn announce_address(&self) -> SocketAddr {
        self.announce.address()
    }

    /// Returns where operators are served.
    pub fn operator_address(&self) -> SocketAddr {
        self.operators.address()
    }

    /// Returns where the balancer asks.
    pub fn platform_address(&self) -> SocketAddr {
        self.platform.address()
    }

    /// Returns where the fleet reaches the daemon.
    pub fn fleet_address(&self) -> SocketAddr {
        self.fleet.address()
    }

    /// Ends when a planned stop was asked for through the fleet.
    pub async fn drain_asked(&self) {
        // The sender lives as long as the control thread.
        let _ = self.fleet.watch_drain().wait_for(|&asked| asked).await;
    }

    /// Ends when the replicas of this VM had to end, and never without a data folder.
    pub async fn control_failed(&self) -> Arc<ControlError> {
        match &self.control {
            Some(control) => control.failed().await,
            None => std::future::pending().await,
        }
    }

    /// Ends at once and without a word, as a crash would. For tests of failures.
    pub fn kill(self) {
        self.fleet.kill();
    }

    /// Stops as planned: has the balancer send calls elsewhere, hands over duties, finishes what is
    /// in flight, ends.
    ///
    /// The order matters. The health page fails first and calls are taken for the whole lame-duck
    /// time, because a balancer goes on sending until it has noticed. Duties go at once, so that
    /// the fleet does not wait for them while this VM is still there to help.
    pub async fn stop(self) {
        info!("planned stop");
        self.ready.set(ReadyState::Stopping);
        self.callers.begin_closing();
        self.fleet.begin_drain();
        let lame_duck = self.fleet.config_in_force().load().settings().lame_duck_ms;
        let lame_duck = sleep(Duration::from_millis(u64::from(lame_duck)));
        tokio::join!(lame_duck, leadership_left(self.control.as_ref()));
        self.callers.drain().await;
        report_ends(&self.fleet).await;
        self.operators.drain().await;
        info!("stopped");
    }
}

/// Waits until the placers know of the last calls' ends. Without it they would count the slots as
/// busy until they notice that this VM is gone.
async fn report_ends(fleet: &FleetNode) {
    let left = || fleet.ends_waiting() + fleet.grants_held();
    let deadline = Instant::now() + ENDS_LIMIT;
    while left() > 0 && Instant::now() < deadline {
        sleep(WAIT_PERIOD).await;
    }
    if left() > 0 {
        log::warn!(left = left(); "some ends of calls were not reported to their placers");
    }
}

/// Waits until the fleet has handed over what this VM leads. The only voter of a group has nobody to
/// hand over to.
async fn leadership_left(control: Option<&ControlHandle>) {
    let Some(control) = control else { return };
    let leads = |row: &GroupRow| row.role == ReplicaRole::Leader && row.voters.len() > 1;
    let still_leads = || control.rows().iter().any(leads);
    let deadline = Instant::now() + HAND_OVER_LIMIT;
    while still_leads() && Instant::now() < deadline {
        sleep(WAIT_PERIOD).await;
    }
    if still_leads() {
        log::warn!("leadership was not handed over in time; the others will choose a leader");
    }
}

/// Opens the replicas of a VM with a data folder.
fn open_replicas(
    settings: &DaemonSettings,
    seed: u64,
) -> Result<Option<ReplicaPart>, ControlError> {
    let Some(folder) = settings.data.clone() else { return Ok(None) };
    let (member, mut founders) = (settings.member.clone(), settings.founders.clone());
    if founders.is_empty() {
        founders.push(member.clone());
    }
    let part = ControlHandle::open(ReplicaSettings { member, folder, founders, seed })?;
    Ok(Some(part))
}

fn fleet_settings(settings: &DaemonSettings, started_us: u64) -> FleetSettings {
    FleetSettings {
        member: settings.member.clone(),
        domain: settings.domain.clone(),
        incarnation: IncarnationNumber(started_us),
        listen: settings.fleet_listen,
        seeds: settings.seeds.clone(),
        secret: settings.fleet_secret.clone(),
    }
}

async fn report_ready(fleet: FleetNode, ready: ReadySwitch) {
    let mut number = fleet.watch_number();
    if number.wait_for(|&number| number > ConfigNumber::default()).await.is_ok() {
        ready.set(ReadyState::Ready);
    }
}
