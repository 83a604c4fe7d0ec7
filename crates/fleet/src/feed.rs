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
    patch::{ConfigChange, ConfigDelta},
};

/// How many differences are kept for peers that are behind. At 20,000 changes a day they reach back
/// more than an hour; who was away longer takes the image.
pub const DELTAS_KEPT: usize = 1_024;

/// How many changes these differences have together.
const CHANGES_KEPT: usize = 4_096;

/// How many differences one answer holds at most, and after how many changes no further one.
pub const DELTAS_SENT: usize = 64;
const CHANGES_SENT: usize = 2_048;

/// How many entries of a configuration one page lists.
const PAGE_ENTRIES: usize = 2_048;

/// How many configurations are held for those who read them page by page, the present one among them. They share what
/// did not change; after a change of everything each takes memory of its own.
const RECENT_KEPT: usize = 2;

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

/// What a VM that is behind is given, where it reads a whole configuration in pages.
#[domain]
pub enum ConfigStep {
    /// Nothing: the asked VM is not ahead.
    Nothing,
    /// The differences that lead on, oldest first.
    Deltas {
        /// The differences.
        deltas: Vec<ConfigDelta>,
    },
    /// The whole, page by page.
    Pages {
        /// Its number.
        number: ConfigNumber,
        /// The digest of its content.
        digest: u64,
        /// How many entries it has.
        entries: u32,
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
    recent: VecDeque<FleetConfig>,
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
            recent: VecDeque::new(),
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
        let mut changes: usize = self.deltas.iter().map(|delta| delta.changes.len()).sum();
        while changes > CHANGES_KEPT {
            let Some(old) = self.deltas.pop_front() else { break };
            changes -= old.changes.len();
        }
        self.recent.push_back(next.clone());
        if self.recent.len() > RECENT_KEPT {
            self.recent.pop_front();
        }
        self.present = next;
        true
    }

    /// Answers a peer that has `number` in force. `whole`: it asks for the image.
    pub fn answer(&self, number: ConfigNumber, whole: bool) -> ConfigAnswer {
        if number >= self.present.number() {
            return ConfigAnswer::Nothing;
        }
        match self.deltas_from(number) {
            Some(deltas) if !whole => ConfigAnswer::Deltas { deltas },
            _ => ConfigAnswer::Image { image: self.present.to_image() },
        }
    }

    /// Does the same for a peer that reads a whole configuration in pages.
    pub fn step(&self, number: ConfigNumber, whole: bool) -> ConfigStep {
        let present = &self.present;
        if number >= present.number() {
            return ConfigStep::Nothing;
        }
        match self.deltas_from(number) {
            Some(deltas) if !whole => ConfigStep::Deltas { deltas },
            _ => ConfigStep::Pages {
                number: present.number(),
                digest: present.digest(),
                entries: u32::try_from(present.entry_count()).unwrap_or(u32::MAX),
            },
        }
    }

    /// Lists entries of a configuration that is held, from a place on. `None`: it is not held any more.
    pub fn page(&self, number: ConfigNumber, first: u32) -> Option<Vec<ConfigChange>> {
        let config = self.recent.iter().find(|config| config.number() == number)?;
        Some(config.entries(first as usize, PAGE_ENTRIES))
    }

    fn deltas_from(&self, number: ConfigNumber) -> Option<Vec<ConfigDelta>> {
        let first = self.deltas.iter().position(|delta| delta.from == number)?;
        let mut changes = 0;
        let within = |delta: &&ConfigDelta| {
            let fits = changes < CHANGES_SENT;
            changes += delta.changes.len();
            fits
        };
        let deltas = self.deltas.range(first..).take(DELTAS_SENT).take_while(within);
        Some(deltas.cloned().collect())
    }

    /// Follows an answer, and puts what it makes in force.
    pub fn take(&mut self, answer: ConfigAnswer) -> FeedStep {
        match answer {
            ConfigAnswer::Nothing => FeedStep::Stay,
            ConfigAnswer::Deltas { deltas } => self.follow(deltas),
            ConfigAnswer::Image { image } => self.take_whole(FleetConfig::from_image(image)),
        }
    }

    /// Takes a whole configuration, and puts it in force.
    pub fn take_whole(&mut self, next: FleetConfig) -> FeedStep {
        match self.put(next.clone(), Vec::new()) {
            true => FeedStep::Advance(next),
            false => FeedStep::Stay,
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
