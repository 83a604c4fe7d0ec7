//! The configuration on its way: differences, a whole image as repair, never backwards.
//!
//! Peers tell each other only the number in force, with each message they send anyway. Who is behind
//! asks the one that is ahead, and gets the differences from its own number on; each VM so takes each
//! difference once. A whole image goes only to a VM that is too far behind or holds other content
//! under its number.
//!
//! A number is adopted only if greater than the one in force. A VM without a disk begins at nothing,
//! so it could first take an old number from a peer that was cut off; it reports ready only when
//! several peers have told their numbers and it holds the greatest of them, or after a bounded wait.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    time::Duration,
};

use derive::domain;
use model::{
    config::{ConfigImage, FleetConfig},
    moment::Moment,
    numbers::ConfigNumber,
    patch::ConfigDelta,
};

/// How many differences are kept for peers that are behind. At 20,000 changes a day they reach back
/// more than an hour; who was away longer takes the image.
pub const DELTAS_KEPT: usize = 1_024;

/// How many differences one answer holds at most.
pub const DELTAS_SENT: usize = 64;

/// How many peers must have told their number before a VM reports ready.
pub const READY_PEERS: usize = 3;

/// For how long a VM waits for them at most. With nobody in reach it starts with what it has.
pub const READY_WAIT: Duration = Duration::from_secs(3);

/// What a VM that is behind is given.
#[domain]
pub enum ConfigAnswer {
    /// Nothing: the asked VM is not ahead.
    Nothing,
    /// The differences that lead on, oldest first.
    Deltas {
        /// The differences.
        deltas: Vec<ConfigDelta>,
    },
    /// The whole.
    Image {
        /// The whole.
        image: ConfigImage,
    },
}

/// What came of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FeedStep {
    /// Nothing changes.
    Stay,
    /// This configuration is to be put in force.
    Advance(FleetConfig),
    /// The differences lead to other content than their sender has: ask for the whole.
    AskImage,
}

/// The configuration of one VM and what it gives to others.
#[derive(Debug)]
pub struct ConfigFeed {
    present: FleetConfig,
    deltas: VecDeque<ConfigDelta>,
    heard: BTreeMap<SocketAddr, ConfigNumber>,
    opened: Moment,
    ready: bool,
}

impl ConfigFeed {
    /// Opens the feed of a VM that has no configuration yet.
    pub fn open(now: Moment) -> Self {
        Self {
            present: FleetConfig::default(),
            deltas: VecDeque::new(),
            heard: BTreeMap::new(),
            opened: now,
            ready: false,
        }
    }

    /// Returns the configuration in force.
    pub fn present(&self) -> &FleetConfig {
        &self.present
    }

    /// Puts a configuration in force if its number is greater. `deltas` are the differences that
    /// lead to it, where known. Tells whether it was.
    pub fn put(&mut self, next: FleetConfig, deltas: Vec<ConfigDelta>) -> bool {
        if next.number() <= self.present.number() {
            return false;
        }
        let mut at = self.present.number();
        let linked = deltas.iter().all(|delta| std::mem::replace(&mut at, delta.to) == delta.from);
        if !linked || at != next.number() {
            // Others who are behind take the image from here.
            self.deltas.clear();
        } else {
            self.deltas.extend(deltas);
        }
        let excess = self.deltas.len().saturating_sub(DELTAS_KEPT);
        self.deltas.drain(..excess);
        self.present = next;
        true
    }

    /// Answers a peer that has `number` in force. `whole`: it asks for the image.
    pub fn answer(&self, number: ConfigNumber, whole: bool) -> ConfigAnswer {
        if number >= self.present.number() {
            return ConfigAnswer::Nothing;
        }
        let first = self.deltas.iter().position(|delta| delta.from == number);
        match first {
            Some(first) if !whole => {
                let deltas = self.deltas.range(first..).take(DELTAS_SENT).cloned().collect();
                ConfigAnswer::Deltas { deltas }
            }
            _ => ConfigAnswer::Image { image: self.present.to_image() },
        }
    }

    /// Follows an answer, and puts what it makes in force.
    pub fn take(&mut self, answer: ConfigAnswer) -> FeedStep {
        match answer {
            ConfigAnswer::Nothing => FeedStep::Stay,
            ConfigAnswer::Deltas { deltas } => self.follow(deltas),
            ConfigAnswer::Image { image } => {
                let next = FleetConfig::from_image(image);
                if self.put(next.clone(), Vec::new()) {
                    FeedStep::Advance(next)
                } else {
                    FeedStep::Stay
                }
            }
        }
    }

    fn follow(&mut self, deltas: Vec<ConfigDelta>) -> FeedStep {
        let mut next = self.present.clone();
        let mut followed = Vec::new();
        for delta in deltas {
            if delta.to <= next.number() {
                continue;
            }
            let Some(advanced) = next.advance(&delta) else { return FeedStep::AskImage };
            next = advanced;
            followed.push(delta);
        }
        if self.put(next.clone(), followed) { FeedStep::Advance(next) } else { FeedStep::Stay }
    }

    /// Takes the number that a peer has in force. Tells whether the peer is ahead.
    pub fn hear(&mut self, peer: SocketAddr, number: ConfigNumber) -> bool {
        if !self.ready {
            let heard = self.heard.entry(peer).or_default();
            *heard = number.max(*heard);
        }
        number > self.present.number()
    }

    /// Tells whether this VM may report what it has in force. `peers`: how many others it knows.
    pub fn is_ready(&mut self, peers: usize, now: Moment) -> bool {
        if self.ready {
            return true;
        }
        let enough = self.heard.len() >= peers.min(READY_PEERS);
        let greatest = self.heard.values().max().copied().unwrap_or_default();
        let latest = enough && self.present.number() >= greatest;
        let waited = now.since(self.opened) >= READY_WAIT;
        self.ready = self.present.number() > ConfigNumber::default() && (latest || waited);
        if self.ready {
            self.heard.clear();
        }
        self.ready
    }
}
