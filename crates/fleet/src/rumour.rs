//! Rumours: which facts are still worth telling, and when to stop.
//!
//! Load: a change must reach 5,700 VMs within 3 s, and each VM may spend 3 KB a second on all
//! changes. Harm prevented: telling each peer for as long as log n rounds sends a change 12 times
//! from each VM at that size. Reason for the limits: a peer answers which facts it knew already, and
//! a fact that [`UNNEEDED_LIMIT`] peers knew is told no more; that ends a rumour after a number of
//! tellings that does not grow with the fleet. Who was missed is offered the fact a little later by
//! those who watch it.

use std::collections::BTreeMap;

use crate::fact::FactKey;

/// After how many peers that knew a fact already it is told no more.
pub const UNNEEDED_LIMIT: u32 = 1;

/// How many times a fact is told at most for each doubling of the fleet, also without answers.
const TELLINGS_PER_DOUBLING: u32 = 3;

#[derive(Clone, Copy, Debug, Default)]
struct RumourCount {
    told: u32,
    unneeded: u32,
}

/// The facts that are still worth telling.
#[derive(Debug, Default)]
pub struct RumourQueue {
    hot: BTreeMap<FactKey, RumourCount>,
}

impl RumourQueue {
    /// Takes news.
    pub fn start(&mut self, key: FactKey) {
        self.hot.insert(key, RumourCount::default());
    }

    /// Tells whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.hot.is_empty()
    }

    /// Tells whether a fact is still being told.
    pub fn is_hot(&self, key: &FactKey) -> bool {
        self.hot.contains_key(key)
    }

    /// Picks at most `limit` facts, those told least first, and counts them as told.
    pub fn pick(&mut self, limit: usize, members: usize) -> Vec<FactKey> {
        let most = TELLINGS_PER_DOUBLING * (members.max(2).ilog2() + 1);
        let mut counts: Vec<_> = self.hot.iter().map(|(key, count)| (count.told, key)).collect();
        counts.sort_unstable();
        let picked: Vec<_> = counts.into_iter().take(limit).map(|(_, key)| key.clone()).collect();
        for key in &picked {
            if let Some(count) = self.hot.get_mut(key) {
                count.told += 1;
                if count.told >= most {
                    self.hot.remove(key);
                }
            }
        }
        picked
    }

    /// Takes a peer's word that it knew a fact already.
    pub fn unneeded(&mut self, key: &FactKey) {
        if let Some(count) = self.hot.get_mut(key) {
            count.unneeded += 1;
            if count.unneeded >= UNNEEDED_LIMIT {
                self.hot.remove(key);
            }
        }
    }

    /// Stops telling all.
    pub fn clear(&mut self) {
        self.hot.clear();
    }

    /// Stops telling a fact.
    pub fn stop(&mut self, key: &FactKey) {
        self.hot.remove(key);
    }
}
