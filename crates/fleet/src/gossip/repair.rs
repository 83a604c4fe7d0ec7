//! Repair: whom rumours have missed learns the rest by comparing digests.
//!
//! A digest is one sum for each bucket of keys, so its size grows with the number of facts only up to
//! 1,024 buckets. Of the buckets that differ the prints are sent, and of the prints that differ the
//! facts: nothing that both hold travels.

use std::{collections::BTreeMap, net::SocketAddr};

use super::{
    DigestAnswer, DigestAsk, GossipOrder, GossipState, JOIN_PERIOD, JOIN_TIME, REPAIR_BUCKETS,
    REPAIR_FACTS, REPAIR_PERIOD, STRANGER_ONE_IN, SyncAsk,
};
use crate::fact::FleetFact;
use model::moment::Moment;
use rand::{Rng, seq::IndexedRandom};

impl GossipState {
    pub(super) fn repair(&mut self, now: Moment) -> Option<GossipOrder> {
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
