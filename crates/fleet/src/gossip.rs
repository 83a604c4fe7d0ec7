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

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use crate::{
    fact::{FactKey, FleetFact, MemberRecord, MemberVerdict},
    membership::{FORGET_AFTER, MemberRefutal, MemberVerdicts, MemberWatch},
    ring::MemberRing,
    rumour::RumourQueue,
    store::{FactPrint, FactReception, FactStore},
};
use derive::domain;
use model::{
    moment::Moment,
    names::MemberName,
    numbers::{ConfigNumber, IncarnationNumber},
};
use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_pcg::Pcg64Mcg;

/// How often news is told.
pub const GOSSIP_PERIOD: Duration = Duration::from_millis(100);

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

/// Heartbeat and news for one peer.
#[domain]
pub struct GossipPush {
    /// The sender.
    pub from: MemberName,
    /// The sender's heartbeat, which the echo names.
    pub beat: u64,
    /// The configuration in force at the sender.
    pub number: ConfigNumber,
    /// Whether the sender counts the receiver as lost.
    pub lost: bool,
    /// News.
    pub facts: Vec<FleetFact>,
}

/// The echo of a push.
#[domain]
pub struct GossipEcho {
    /// The heartbeat that was heard.
    pub beat: u64,
    /// The configuration in force at the receiver.
    pub number: ConfigNumber,
    /// One bit for each fact, set where it was no news.
    pub known: u64,
    /// Whether the receiver counts the sender as lost.
    pub lost: bool,
    /// Whether the receiver does not know the sender.
    pub stranger: bool,
}

/// Asks a peer to compare digests.
#[domain]
pub struct DigestAsk {
    /// The sender, which the receiver may not know yet.
    pub from: MemberRecord,
    /// The configuration in force at the sender.
    pub number: ConfigNumber,
    /// Whether facts count that are still on their way by rumour: only for a VM that just started.
    pub fresh: bool,
    /// The sum of each bucket.
    pub sums: Vec<u32>,
}

/// Where two VMs differ.
#[domain]
pub struct DigestAnswer {
    /// The configuration in force at the receiver.
    pub number: ConfigNumber,
    /// Whether the receiver counts the sender as lost.
    pub lost: bool,
    /// Some buckets that differ.
    pub buckets: Vec<u32>,
    /// Whether more differ.
    pub more: bool,
    /// What the receiver holds in them.
    pub prints: Vec<FactPrint>,
}

/// Exchanges the facts that differ.
#[domain]
pub struct SyncAsk {
    /// The sender.
    pub from: MemberName,
    /// What the receiver lacks, or may.
    pub facts: Vec<FleetFact>,
    /// The hashes of the keys that the sender lacks, or may.
    pub wanted: Vec<u64>,
}

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
            verdicts: MemberVerdicts::default(),
            watch: MemberWatch::default(),
            refutal: MemberRefutal::default(),
            records: BTreeMap::new(),
            lost: BTreeMap::new(),
            ring: MemberRing::default(),
            ring_stale: false,
            revision: 0,
            number: ConfigNumber::default(),
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

    /// Changes what this VM says of itself, and tells it.
    pub fn change_own(&mut self, change: impl FnOnce(&mut MemberRecord), now: Moment) {
        change(&mut self.own);
        self.own.version += 1;
        self.learn(FleetFact::Member(self.own.clone()), now);
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
            self.rumours.start(key);
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

    fn state_verdicts(&mut self, now: Moment) {
        let watched: Vec<_> = self.watch.watched().cloned().collect();
        for subject in watched {
            let Some(record) = self.records.get(&subject) else { continue };
            let Some(silent) = self.watch.verdict(&subject, now) else { continue };
            let on = (record.incarnation, record.version);
            let own = self.verdicts.of(&subject, &self.own.member);
            let own = own.filter(|verdict| (verdict.incarnation, verdict.version) == on);
            let said = own.map(|verdict| verdict.silent);
            // A VM that is heard is vouched for only where another watcher calls it silent.
            if said == Some(silent)
                || (said.is_none() && !silent && !self.verdicts.is_suspect(record))
            {
                continue;
            }
            let verdict = MemberVerdict {
                subject,
                incarnation: record.incarnation,
                version: record.version,
                by: self.own.member.clone(),
                sequence: own.map_or(1, |verdict| verdict.sequence + 1),
                silent,
            };
            self.learn(FleetFact::Verdict(verdict), now);
        }
    }

    fn judge(&mut self, now: Moment) {
        let counts = |member: &MemberName| {
            self.records.contains_key(member) && !self.lost.contains_key(member)
        };
        let subjects = self.verdicts.subjects().filter(|subject| **subject != self.own.member);
        let records = subjects.filter_map(|subject| self.records.get(subject));
        // Who is lost stays so while all verdicts say so: two lost watchers of each other would
        // otherwise come and go with each review.
        let still = |record: &MemberRecord| {
            self.lost.contains_key(&record.member) && self.verdicts.is_lost(record, |_| true, now)
        };
        let lost =
            records.filter(|record| self.verdicts.is_lost(record, counts, now) || still(record));
        let lost: BTreeSet<_> = lost.map(|record| record.member.clone()).collect();
        let same = lost.iter().eq(self.lost.keys());
        if same {
            return;
        }
        let before = std::mem::take(&mut self.lost);
        for member in lost {
            let since = before.get(&member).copied().unwrap_or(now);
            if !before.contains_key(&member) {
                log::info!(member:% = member; "a VM counts as lost");
            }
            self.lost.insert(member, since);
        }
        self.members_changed();
    }

    fn forget(&mut self, now: Moment) {
        let over = self.lost.iter().filter(|(_, since)| now.since(**since) >= FORGET_AFTER);
        let over: Vec<_> = over.map(|(member, _)| member.clone()).collect();
        for member in over {
            self.forget_member(&member, now);
        }
        for key in self.store.expire(now) {
            if let FactKey::Verdict(subject, by) = &key {
                self.verdicts.forget(subject, by);
            }
            self.rumours.stop(&key);
            self.ended.push(key);
        }
    }

    fn forget_member(&mut self, member: &MemberName, now: Moment) {
        let watchers: Vec<_> = self.verdicts.watchers(member).cloned().collect();
        for by in watchers {
            self.verdicts.forget(member, &by);
            self.drop_fact(&FactKey::Verdict(member.clone(), by), now);
        }
        self.records.remove(member);
        self.lost.remove(member);
        self.members_changed();
        self.drop_fact(&FactKey::Member(member.clone()), now);
    }

    fn drop_fact(&mut self, key: &FactKey, now: Moment) {
        self.rumours.stop(key);
        self.store.drop_fact(key, now);
        self.ended.push(key.clone());
    }

    fn pushes(&mut self, now: Moment) -> Vec<GossipOrder> {
        let mut targets = self.watch.due(now);
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
        let pushes = targets.into_iter().filter_map(|to| self.push_to(to, now));
        pushes.collect()
    }

    fn push_to(&mut self, to: MemberName, now: Moment) -> Option<GossipOrder> {
        let address = self.records.get(&to)?.address;
        self.beat += 1;
        let picked = self.rumours.pick(FACTS_PER_PUSH, self.ring.len());
        let facts = picked.iter().filter_map(|key| self.store.to_send(key, now)).collect();
        let lost = self.lost.contains_key(&to);
        let from = self.own.member.clone();
        let push = GossipPush { from, beat: self.beat, number: self.number, lost, facts };
        Some(GossipOrder::Push { to, address, push })
    }

    /// Takes a push and returns its echo.
    pub fn take_push(&mut self, push: GossipPush, now: Moment) -> GossipEcho {
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
        GossipEcho {
            beat: push.beat,
            number: self.number,
            known,
            lost: self.lost.contains_key(&push.from),
            stranger: !self.records.contains_key(&push.from),
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
        for (place, fact) in push.facts.iter().enumerate() {
            if echo.known & (1 << place) != 0 {
                self.rumours.unneeded(&fact.key());
            }
        }
        if echo.stranger {
            self.rumours.start(FactKey::Member(self.own.member.clone()));
        }
        if echo.lost {
            self.refute(now);
        }
    }

    /// Contradicts those who count this VM as lost, now and then.
    fn refute(&mut self, now: Moment) {
        if self.refutal.may(now) {
            log::info!(reason = "called lost"; "says that it lives");
            self.change_own(|_| (), now);
        }
    }

    fn repair(&mut self, now: Moment) -> Option<GossipOrder> {
        let alone = self.ring.len() < 2;
        let period = if self.is_fresh(now) { JOIN_PERIOD } else { REPAIR_PERIOD };
        if self.repaired.is_some_and(|repaired| now.since(repaired) < period) {
            return None;
        }
        self.repaired = Some(now);
        let stranger = alone || self.random.random_ratio(1, STRANGER_ONE_IN);
        let address = if stranger { self.stranger() } else { None };
        let address = address.or_else(|| self.partner())?;
        Some(GossipOrder::Repair { address })
    }

    fn is_fresh(&self, now: Moment) -> bool {
        self.ring.len() < 2 || now.since(self.opened) < JOIN_TIME
    }

    fn stranger(&mut self) -> Option<SocketAddr> {
        let lost = self.lost.keys().filter_map(|member| self.records.get(member));
        let mut strangers: Vec<_> = lost.map(|record| record.address).collect();
        strangers.extend(&self.seeds);
        strangers.choose(&mut self.random).copied()
    }

    fn partner(&mut self) -> Option<SocketAddr> {
        let peers = self.ring.told_by(&self.own.member);
        let peer = peers.choose(&mut self.random)?;
        self.records.get(peer).map(|record| record.address)
    }

    /// Makes the first message of a repair.
    pub fn digest_ask(&self, now: Moment) -> DigestAsk {
        let fresh = self.is_fresh(now);
        let sums = self.store.digest(self.store.bucket_count(), fresh, now);
        DigestAsk { from: self.own.clone(), number: self.number, fresh, sums }
    }

    /// Answers the first message of a repair.
    pub fn answer_digest(&mut self, ask: DigestAsk, now: Moment) -> DigestAnswer {
        let count = u32::try_from(ask.sums.len()).unwrap_or(u32::MAX);
        let own = self.store.digest(count, ask.fresh, now);
        let pairs = own.iter().zip(&ask.sums).enumerate();
        let differing = pairs.filter(|(_, (own, theirs))| own != theirs);
        let mut buckets: Vec<_> =
            differing.map(|(bucket, _)| u32::try_from(bucket).unwrap_or(u32::MAX)).collect();
        let more = buckets.len() > REPAIR_BUCKETS;
        let start = if more { self.random.random_range(0..buckets.len()) } else { 0 };
        buckets.rotate_left(start);
        buckets.truncate(REPAIR_BUCKETS);
        let prints = self.store.prints(count, &buckets);
        let lost = self.lost.contains_key(&ask.from.member);
        self.learn(FleetFact::Member(ask.from), now);
        DigestAnswer { number: self.number, lost, buckets, more, prints }
    }

    /// Makes the second message of a repair; `None` when nothing differs.
    pub fn sync_ask(&mut self, asked: u32, answer: &DigestAnswer, now: Moment) -> Option<SyncAsk> {
        if answer.lost {
            self.refute(now);
        }
        let theirs: BTreeMap<_, _> = answer.prints.iter().copied().collect();
        let ours: BTreeMap<_, _> = self.store.prints(asked, &answer.buckets).into_iter().collect();
        let other = |(hash, print): &(&u64, &u64)| theirs.get(*hash) != Some(*print);
        let keys = ours.iter().filter(other).filter_map(|(hash, _)| self.store.key_of(*hash));
        let facts = keys.filter_map(|key| self.store.to_send(key, now)).take(REPAIR_FACTS);
        let facts: Vec<_> = facts.collect();
        let lacking = theirs.iter().filter(|(hash, print)| ours.get(*hash) != Some(*print));
        let wanted: Vec<_> = lacking.map(|(hash, _)| *hash).take(REPAIR_FACTS).collect();
        let from = self.own.member.clone();
        (!facts.is_empty() || !wanted.is_empty()).then_some(SyncAsk { from, facts, wanted })
    }

    /// Answers the second message of a repair with the wanted facts.
    pub fn answer_sync(&mut self, ask: SyncAsk, now: Moment) -> Vec<FleetFact> {
        let keys = ask.wanted.iter().filter_map(|hash| self.store.key_of(*hash));
        let facts = keys.filter_map(|key| self.store.to_send(key, now)).take(REPAIR_FACTS);
        let facts = facts.collect();
        for fact in ask.facts {
            self.learn(fact, now);
        }
        facts
    }
}
