//! The gossip of one VM: what it tells whom, and what it makes of what it is told.
//!
//! Pure: time is passed in, and messages are values. The control thread carries them; the benchmark
//! carries them between a thousand of these without a socket.
//!
//! Three flows keep the bytes of a VM nearly flat while the fleet grows:
//!
//! - heartbeats to three watched VMs, whose echoes prove both directions;
//! - rumours: each change is told onwards until peers know it already;
//! - repair: a digest by buckets to one peer now and then, and only what differs is sent.

mod judge;
mod message;
mod offers;
mod repair;

pub use message::{DigestAnswer, DigestAsk, GossipEcho, GossipPush, SyncAsk};
use offers::OfferLog;

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use crate::{
    fact::{FactKey, FleetFact, MemberRecord},
    membership::{MemberRefutal, MemberVerdicts, MemberWatch},
    ring::MemberRing,
    rumour::RumourQueue,
    store::{FactReception, FactStore},
};
use model::{
    moment::Moment,
    names::MemberName,
    numbers::{ConfigNumber, IncarnationNumber},
};
use rand::{SeedableRng, seq::IndexedRandom};
use rand_pcg::Pcg64Mcg;

/// How often news is told.
pub const GOSSIP_PERIOD: Duration = Duration::from_millis(200);

/// How many peers are told news each time.
pub const GOSSIP_FANOUT: usize = 3;

/// How many facts one message holds at most; the echo names each by one bit.
pub const FACTS_PER_PUSH: usize = 64;

/// How often a VM compares digests with a peer.
pub const REPAIR_PERIOD: Duration = Duration::from_secs(10);

/// How often a VM that knows nobody, or has just started, compares digests.
pub const JOIN_PERIOD: Duration = Duration::from_millis(300);

/// For how long a VM counts as just started.
pub const JOIN_TIME: Duration = Duration::from_secs(4);

/// Of how many repairs one goes to a seed or a lost VM. Without it the two halves of a fleet that
/// lost each other for an hour would never speak again.
const STRANGER_ONE_IN: u32 = 4;

/// How many differing buckets one repair looks into: bounds its bytes. The rest is for the next.
pub const REPAIR_BUCKETS: usize = 16;

/// How many facts are sent in one repair, each way.
pub const REPAIR_FACTS: usize = 2_048;

/// What to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GossipOrder {
    /// Heartbeat and news.
    Push {
        /// To whom.
        to: MemberName,
        /// Where.
        address: SocketAddr,
        /// The message.
        push: GossipPush,
    },
    /// Compare digests with the VM at an address, and ask again while more differs.
    Repair {
        /// Where.
        address: SocketAddr,
    },
}

/// The gossip of one VM.
#[derive(Debug)]
pub struct GossipState {
    own: MemberRecord,
    seeds: Vec<SocketAddr>,
    store: FactStore,
    rumours: RumourQueue,
    offers: OfferLog,
    verdicts: MemberVerdicts,
    watch: MemberWatch,
    refutal: MemberRefutal,
    records: BTreeMap<MemberName, MemberRecord>,
    lost: BTreeMap<MemberName, Moment>,
    ring: MemberRing,
    ring_stale: bool,
    /// Counts the changes of who is known and who can be reached.
    revision: u64,
    number: ConfigNumber,
    heard_number: ConfigNumber,
    beat: u64,
    opened: Moment,
    number_told: ConfigNumber,
    told: Option<Moment>,
    repaired: Option<Moment>,
    random: Pcg64Mcg,
    news: Vec<FleetFact>,
    ended: Vec<FactKey>,
}

impl GossipState {
    /// Opens the gossip of a VM that knows only itself and some addresses.
    pub fn open(own: MemberRecord, seeds: Vec<SocketAddr>, seed: u64, now: Moment) -> Self {
        let seeds = seeds.into_iter().filter(|&address| address != own.address).collect();
        let mut state = Self {
            own: own.clone(),
            seeds,
            store: FactStore::default(),
            rumours: RumourQueue::default(),
            offers: OfferLog::default(),
            verdicts: MemberVerdicts::default(),
            watch: MemberWatch::default(),
            refutal: MemberRefutal::default(),
            records: BTreeMap::new(),
            lost: BTreeMap::new(),
            ring: MemberRing::default(),
            ring_stale: false,
            revision: 0,
            number: ConfigNumber::default(),
            heard_number: ConfigNumber::default(),
            beat: 0,
            opened: now,
            number_told: ConfigNumber::default(),
            told: None,
            repaired: None,
            random: Pcg64Mcg::seed_from_u64(seed),
            news: Vec::new(),
            ended: Vec::new(),
        };
        state.learn(FleetFact::Member(own), now);
        state.follow_members(now);
        state
    }

    /// Returns what this VM says of itself.
    pub fn own(&self) -> &MemberRecord {
        &self.own
    }

    /// Returns the facts.
    pub fn store(&self) -> &FactStore {
        &self.store
    }

    /// Returns a number that grows with each change of who is known and who can be reached.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the ring of the VMs that can be reached.
    pub fn ring(&self) -> &MemberRing {
        &self.ring
    }

    /// Lists all VMs that are known, this one among them.
    pub fn records(&self) -> impl Iterator<Item = &MemberRecord> {
        self.records.values()
    }

    /// Returns what is known of a VM.
    pub fn record(&self, member: &MemberName) -> Option<&MemberRecord> {
        self.records.get(member)
    }

    /// Tells whether a VM counts as reachable: known, and not called lost by its watchers.
    pub fn is_reachable(&self, member: &MemberName) -> bool {
        self.records.contains_key(member) && !self.lost.contains_key(member)
    }

    /// Returns since when a VM counts as lost.
    pub fn lost_since(&self, member: &MemberName) -> Option<Moment> {
        self.lost.get(member).copied()
    }

    /// Takes the number in force, which travels with each message.
    pub fn set_number(&mut self, number: ConfigNumber) {
        self.number = number;
    }

    /// Returns the number in force here, as it travels with each message.
    pub fn number(&self) -> ConfigNumber {
        self.number
    }

    /// Returns the greatest number that a peer has told.
    pub fn heard_number(&self) -> ConfigNumber {
        self.heard_number
    }

    /// Changes what this VM says of itself, and tells it.
    pub fn change_own(&mut self, change: impl FnOnce(&mut MemberRecord), now: Moment) {
        change(&mut self.own);
        self.own.version += 1;
        self.learn(FleetFact::Member(self.own.clone()), now);
    }

    /// Stops telling what is known to all already: a state that was restored rather than heard.
    pub fn hush(&mut self) {
        self.rumours.clear();
    }

    /// Returns what became news since the last time, for whoever acts on it.
    pub fn take_news(&mut self) -> Vec<FleetFact> {
        std::mem::take(&mut self.news)
    }

    /// Returns what expired since the last time.
    pub fn take_ended(&mut self) -> Vec<FactKey> {
        std::mem::take(&mut self.ended)
    }

    /// Takes a fact, from this VM itself or from a peer, and tells it onwards when it is news.
    pub fn learn(&mut self, fact: FleetFact, now: Moment) -> FactReception {
        if let FleetFact::Member(record) = &fact
            && record.member == self.own.member
            && *record != self.own
        {
            self.outlive(record.incarnation, record.version, now);
            return FactReception::Old;
        }
        let key = fact.key();
        let reception = self.store.learn(fact.clone(), now);
        if reception == FactReception::News {
            self.rumours.start(key.clone());
            self.offers.learn(key, now);
            self.index(&fact, now);
            self.news.push(fact);
        }
        reception
    }

    /// A VM that restarted is told of its earlier life. Only the VM itself says what it is, and its
    /// word must outlive the earlier one, also when its clock was set back in between.
    fn outlive(&mut self, life: IncarnationNumber, version: u64, now: Moment) {
        if (life, version) > (self.own.incarnation, self.own.version) {
            self.change_own(|own| own.incarnation = life.next(), now);
        }
    }

    fn index(&mut self, fact: &FleetFact, now: Moment) {
        match fact {
            FleetFact::Member(record) => {
                self.records.insert(record.member.clone(), record.clone());
                self.lost.remove(&record.member);
                self.members_changed();
            }
            FleetFact::Verdict(verdict) => self.verdicts.learn(verdict.clone(), now),
            FleetFact::Upstream(_) | FleetFact::Duty(_) | FleetFact::Notice(_) => (),
        }
    }

    fn members_changed(&mut self) {
        self.ring_stale = true;
        self.revision += 1;
    }

    /// Follows changes of the members, once for many: a VM that joins learns thousands at once.
    fn follow_members(&mut self, now: Moment) {
        if !std::mem::take(&mut self.ring_stale) {
            return;
        }
        let reachable = self.records.keys().filter(|member| !self.lost.contains_key(*member));
        self.ring = MemberRing::new(reachable);
        self.watch.set(&self.ring.watched_by(&self.own.member), now);
    }

    /// Lets time pass: judges, expires, and returns what to send.
    pub fn tick(&mut self, now: Moment) -> Vec<GossipOrder> {
        self.follow_members(now);
        self.watch.review(now);
        self.state_verdicts(now);
        self.judge(now);
        self.forget(now);
        self.follow_members(now);
        let mut orders = self.pushes(now);
        orders.extend(self.repair(now));
        orders
    }

    fn pushes(&mut self, now: Moment) -> Vec<GossipOrder> {
        let mut targets = self.watch.due(now);
        self.offers.tick(|member| self.watch.is_watched(member), now);
        if self.number_told != self.number {
            // A new configuration goes to all of them at once: it is one number.
            self.number_told = self.number;
            targets.extend(self.ring.told_by(&self.own.member));
            targets.sort_unstable();
            targets.dedup();
        }
        let due = self.told.is_none_or(|told| now.since(told) >= GOSSIP_PERIOD);
        if due && !self.rumours.is_empty() {
            self.told = Some(now);
            let peers = self.ring.told_by(&self.own.member);
            for peer in peers.choose_multiple(&mut self.random, GOSSIP_FANOUT) {
                if !targets.contains(peer) {
                    targets.push(peer.clone());
                }
            }
        }
        let mut owed = self.offers.take_owed();
        targets.extend(owed.keys().filter(|to| !targets.contains(to)).cloned().collect::<Vec<_>>());
        let pushes = targets.into_iter().filter_map(|to| {
            let owed = owed.remove(&to).unwrap_or_default();
            self.push_to(to, owed, now)
        });
        pushes.collect()
    }

    fn push_to(
        &mut self,
        to: MemberName,
        mut keys: Vec<FactKey>,
        now: Moment,
    ) -> Option<GossipOrder> {
        let address = self.records.get(&to)?.address;
        self.beat += 1;
        keys.truncate(FACTS_PER_PUSH);
        keys.extend(self.rumours.pick(FACTS_PER_PUSH - keys.len(), self.ring.len()));
        let facts = keys.iter().filter_map(|key| self.store.to_send(key, now)).collect();
        let watched = self.watch.is_watched(&to);
        let offers =
            if watched { self.offers.offer(&to, self.beat, &self.store, now) } else { Vec::new() };
        let lost = self.lost.contains_key(&to);
        let from = self.own.member.clone();
        let push = GossipPush { from, beat: self.beat, number: self.number, lost, facts, offers };
        Some(GossipOrder::Push { to, address, push })
    }

    /// Takes a push and returns its echo.
    pub fn take_push(&mut self, push: GossipPush, now: Moment) -> GossipEcho {
        self.heard_number = self.heard_number.max(push.number);
        let mut known = 0;
        for (place, fact) in push.facts.into_iter().take(FACTS_PER_PUSH).enumerate() {
            let key = fact.key();
            if self.learn(fact, now) != FactReception::News {
                known |= 1 << place;
                self.rumours.unneeded(&key);
            }
        }
        if push.lost {
            self.refute(now);
        }
        let lacking = push.offers.iter().filter(|one| self.store.key_of_print(**one).is_none());
        let wanted = lacking.copied().collect();
        GossipEcho {
            beat: push.beat,
            number: self.number,
            known,
            lost: self.lost.contains_key(&push.from),
            stranger: !self.records.contains_key(&push.from),
            wanted,
        }
    }

    /// Takes the echo of a push. An echo of another heartbeat proves nothing.
    pub fn take_echo(
        &mut self,
        to: &MemberName,
        push: &GossipPush,
        echo: &GossipEcho,
        now: Moment,
    ) {
        if echo.beat != push.beat {
            return;
        }
        self.watch.echo(to, now);
        let wanted = echo.wanted.iter().filter_map(|one| self.store.key_of_print(*one)).cloned();
        self.offers.echo(to, echo.beat, wanted.collect());
        self.heard_number = self.heard_number.max(echo.number);
        for (place, fact) in push.facts.iter().enumerate() {
            if echo.known & (1 << place) != 0 {
                self.rumours.unneeded(&fact.key());
            }
        }
        // A peer that has forgotten this VM believes only a later word than the one it forgot.
        let telling = self.rumours.is_hot(&FactKey::Member(self.own.member.clone()));
        if echo.lost || (echo.stranger && !telling) {
            self.refute(now);
        }
    }
}
