//! Relays: how this VM finds one, and how it works as one for others.
//!
//! [`RelayMap`] decides; here it meets the connections. Peers are asked only while a call of this VM needs a
//! relay. What this VM does for others is bounded, and refused at once beyond that.

mod passing;

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use crate::{driver::SharedState, settings::FleetSettings, view::FleetView, wire::FleetPeerClient};
use decide::relay_map::{PullStep, RELAY_CALLS, ReachPull, RelayMap, RelayOutcome, RelayPeer};
use model::{carry::CarrierVm, moment::Moment, names::MemberName};
use tokio::{
    sync::{Notify, Semaphore, SemaphorePermit},
    time::{sleep, timeout},
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// How long a pull may take. A peer that is there answers within milliseconds, or after one ping to a
/// placer.
const PULL_TIMEOUT: Duration = Duration::from_millis(150);

/// How many messages with ends or quota requests are passed on at once. They have their own bound, so
/// that asks which wait at a placer do not hold them up.
const RELAY_REPORTS: usize = 32;

/// How many pulls are answered at once.
const PULLS_LIMIT: usize = 32;

/// The relays of this VM, and its work as one.
#[derive(Clone)]
pub(crate) struct RelayFinder {
    map: Arc<Mutex<RelayMap>>,
    pulling: Arc<AtomicBool>,
    reported: Arc<Notify>,
    asks: Arc<Semaphore>,
    reports: Arc<Semaphore>,
    pulls: Arc<Semaphore>,
    /// When this VM last pinged each placer because it was asked about it.
    probed: Arc<Mutex<BTreeMap<MemberName, Moment>>>,
}

/// A relay to be asked.
#[derive(Clone, Debug)]
pub(crate) struct ChosenRelay {
    pub(crate) member: MemberName,
    pub(crate) address: SocketAddr,
    placer: MemberName,
    sent: Moment,
}

impl RelayFinder {
    pub(crate) fn open(settings: &FleetSettings) -> Self {
        let own = RelayPeer { member: settings.member.clone(), domain: settings.domain.clone() };
        let seed = xxh3_64_with_seed(own.member.as_str().as_bytes(), settings.incarnation.0);
        Self {
            map: Arc::new(Mutex::new(RelayMap::open(own, seed))),
            pulling: Arc::default(),
            reported: Arc::default(),
            asks: Arc::new(Semaphore::new(RELAY_CALLS as usize)),
            reports: Arc::new(Semaphore::new(RELAY_REPORTS)),
            pulls: Arc::new(Semaphore::new(PULLS_LIMIT)),
            probed: Arc::default(),
        }
    }

    fn map(&self) -> MutexGuard<'_, RelayMap> {
        self.map.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes that a placer answered directly.
    pub(crate) fn reached(&self, placer: &MemberName) {
        self.map().reached(placer);
    }

    /// Notes how a relay did.
    pub(crate) fn ended(&self, relay: &ChosenRelay, outcome: RelayOutcome, now: Moment) {
        self.map().ended(&relay.placer, &relay.member, outcome, relay.sent, now);
    }

    /// Begins to pass ends or quota requests on. `None`: this VM passes on as much as it may.
    pub(crate) fn begin_report(&self) -> Option<SemaphorePermit<'_>> {
        self.reports.try_acquire().ok()
    }

    fn load(&self) -> u32 {
        RELAY_CALLS - self.asks.available_permits() as u32
    }
}

fn peer_of(relay: &CarrierVm) -> RelayPeer {
    RelayPeer { member: relay.member.clone(), domain: relay.domain.clone() }
}

/// Returns the VM of a name, if it may relay.
fn known_peer(view: &FleetView, name: &MemberName) -> Option<RelayPeer> {
    let member = view.member(name).filter(|member| member.reachable && !member.stopping)?;
    Some(RelayPeer { member: name.clone(), domain: member.domain.clone() })
}

impl SharedState {
    /// Chooses a relay to a placer, and waits for a report of one while the search is promising.
    /// `asked`: the relays that the call has asked already.
    pub(crate) async fn relay_to(
        &self,
        placer: &MemberName,
        asked: &[MemberName],
        patience: Duration,
    ) -> Option<ChosenRelay> {
        let until = Instant::now() + patience;
        self.search(placer);
        loop {
            let reported = self.relays.reported.notified();
            let mut reported = std::pin::pin!(reported);
            reported.as_mut().enable();
            if let Some(relay) = self.choose(placer, asked) {
                return Some(relay);
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() || !self.relays.map().may_wait(placer, self.now()) {
                return None;
            }
            // Without a report the end of the search ends the wait.
            let _ = timeout(left.min(PULL_TIMEOUT), reported).await;
        }
    }

    fn choose(&self, placer: &MemberName, asked: &[MemberName]) -> Option<ChosenRelay> {
        let (view, now) = (self.view.load_full(), self.now());
        let peer = |name: &MemberName| known_peer(&view, name);
        let member = self.relays.map().choose(placer, asked, peer, now)?;
        let address = view.member(&member)?.address;
        Some(ChosenRelay { member, address, placer: placer.clone(), sent: now })
    }

    /// Draws a VM of which nothing is known as a relay.
    pub(crate) fn draw_relay(&self, placer: &MemberName, drawn: u64) -> Option<ChosenRelay> {
        let (view, sent) = (self.view.load_full(), self.now());
        let relay = view.relay(&self.member, placer, drawn)?;
        let (member, address) = (relay.member.clone(), relay.address);
        Some(ChosenRelay { member, address, placer: placer.clone(), sent })
    }

    /// Asks peers for relays to a placer from now on, until no call needs one.
    fn search(&self, placer: &MemberName) {
        self.relays.map().want(placer, self.now());
        if !self.relays.pulling.swap(true, Ordering::AcqRel) {
            log::info!(placer:%, reason = "the placer is not reached from here";
                "peers are asked for relays");
            self.links.spawn(self.clone().pull_while_wanted());
        }
    }

    async fn pull_while_wanted(self) {
        loop {
            let (now, view) = (self.now(), self.view.load_full());
            let peers: Vec<_> = view.relays().iter().map(peer_of).collect();
            let step = self.relays.map().pull(&peers, now);
            match step {
                PullStep::Ask(pull) => self.pull(&view, &pull),
                PullStep::Wait(until) => sleep(until.since(now)).await,
                PullStep::Done => {
                    self.relays.pulling.store(false, Ordering::Release);
                    // A call may have needed one just before.
                    let wanted = self.relays.map().is_wanted(self.now());
                    if !wanted || self.relays.pulling.swap(true, Ordering::AcqRel) {
                        return;
                    }
                }
            }
        }
    }

    fn pull(&self, view: &FleetView, pull: &ReachPull) {
        for peer in &pull.peers {
            let Some(address) = view.member(peer).map(|member| member.address) else { continue };
            let (shared, peer, placers) = (self.clone(), peer.clone(), pull.placers.clone());
            self.links.spawn(async move {
                let sent = Instant::now();
                let call = |client: FleetPeerClient, context| async move {
                    client.reach(context, placers).await
                };
                let asked = shared.links.call(address, PULL_TIMEOUT, call);
                let Ok(Ok(report)) = timeout(PULL_TIMEOUT, asked).await else { return };
                shared.relays.map().take(&peer, &report, sent.elapsed(), shared.now());
                shared.relays.reported.notify_waiters();
            });
        }
    }
}
