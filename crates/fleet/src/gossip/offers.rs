//! Offers: what makes sure that a rumour has reached everybody.
//!
//! A rumour ends when peers know it already, so now and then it ends before it has reached the last
//! VM. Symptom: a VM that hears of a leaving upstream only by the next repair goes on placing on it
//! for ten seconds. So each VM offers what it has learned, a little later and by its hash alone, once
//! to each VM that it watches. Each VM is watched by three, so a missed one is offered the fact
//! three times within half a second, at ten bytes each.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use crate::{fact::FactKey, store::FactStore};
use model::{moment::Moment, names::MemberName};

/// After which time a fact is offered: by then its rumour has mostly ended, and an offer that came
/// earlier would have the fact sent twice.
const OFFER_AFTER: Duration = Duration::from_millis(600);

/// For how long a fact is kept to be offered. A watched VM that gave no echo for this long has missed
/// the rest as well, and takes it by repair.
const OFFER_KEPT: Duration = Duration::from_secs(10);

/// How many offers go in one heartbeat. The others go with the next.
const OFFERS_LIMIT: usize = 64;

#[derive(Debug)]
struct LearnedFact {
    number: u64,
    key: FactKey,
    learned: Moment,
}

/// What was learned lately, and how far each watched VM was told of it.
#[derive(Debug, Default)]
pub(super) struct OfferLog {
    learned: VecDeque<LearnedFact>,
    last: u64,
    told: BTreeMap<MemberName, u64>,
    /// The heartbeat that carries offers, and up to which number.
    pending: BTreeMap<MemberName, (u64, u64)>,
    owed: BTreeMap<MemberName, Vec<FactKey>>,
}

impl OfferLog {
    /// Takes a fact that is news.
    pub(super) fn learn(&mut self, key: FactKey, now: Moment) {
        self.last += 1;
        self.learned.push_back(LearnedFact { number: self.last, key, learned: now });
    }

    /// Forgets what is too old, and whom this VM does not watch any more.
    pub(super) fn tick(&mut self, watched: impl Fn(&MemberName) -> bool, now: Moment) {
        let old = |one: &LearnedFact| now.since(one.learned) >= OFFER_KEPT;
        while self.learned.front().is_some_and(old) {
            self.learned.pop_front();
        }
        self.told.retain(|member, _| watched(member));
        self.pending.retain(|member, _| watched(member));
    }

    /// Picks the offers for a heartbeat to a watched VM.
    pub(super) fn offer(
        &mut self,
        to: &MemberName,
        beat: u64,
        store: &FactStore,
        now: Moment,
    ) -> Vec<u64> {
        let told = self.told.get(to).copied().unwrap_or(0);
        let due = self.learned.iter().filter(|one| one.number > told);
        let due = due.take_while(|one| now.since(one.learned) >= OFFER_AFTER).take(OFFERS_LIMIT);
        let mut upto = told;
        let mut offers = Vec::new();
        for one in due {
            upto = one.number;
            offers.extend(store.print(&one.key));
        }
        self.pending.insert(to.clone(), (beat, upto));
        offers
    }

    /// Takes the echo of a heartbeat with offers.
    pub(super) fn echo(&mut self, to: &MemberName, beat: u64, wanted: Vec<FactKey>) {
        if self.pending.get(to).is_some_and(|(sent, _)| *sent == beat)
            && let Some((_, upto)) = self.pending.remove(to)
        {
            self.told.insert(to.clone(), upto);
        }
        if !wanted.is_empty() {
            self.owed.entry(to.clone()).or_default().extend(wanted);
        }
    }

    /// Takes out who asked for which facts.
    pub(super) fn take_owed(&mut self) -> BTreeMap<MemberName, Vec<FactKey>> {
        std::mem::take(&mut self.owed)
    }
}
