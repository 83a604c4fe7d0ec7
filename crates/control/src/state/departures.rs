//! The departures of upstreams that the fleet has acknowledged.
//!
//! Failure: an upstream is told that it may go, and all processes are killed before the memory of it has spread or
//! outlived its use. Symptom: an announcement that the upstream made before, and that arrives late, brings it new work
//! while it ends. What an acknowledgement says has to outlive what a configuration outlives, so it is kept where that
//! is: in the log of the same group.
//!
//! A departure is kept for [`KEPT`]: longer than any announcement is under way. What is kept is bounded by
//! [`DEPARTURES_LIMIT`]; beyond it departures are refused, so none that was acknowledged is forgotten early.

use std::{sync::Arc, time::Duration};

use crate::replica::entry::ReplicaId;
use derive::domain;
use imbl::{HashMap, Vector};
use model::{announcement::UpstreamAnnouncement, numbers::IncarnationNumber};
use xxhash_rust::xxh3::xxh3_128;

/// For how long a departure is kept.
pub const KEPT: Duration = Duration::from_secs(600);

/// How many departures are kept: more than all upstreams of the fleet at its aim.
pub const DEPARTURES_LIMIT: usize = 200_000;

/// What a leader puts into an entry, so that all replicas decide alike.
#[domain]
pub struct DepartureRecord {
    /// Milliseconds since 1970, by the leader's clock.
    pub wall_ms: u64,
    /// What the upstream said last.
    pub announcement: UpstreamAnnouncement,
}

/// What became of a departure.
#[domain(value)]
pub enum DepartureAnswer {
    /// It is kept, now or by an earlier send.
    Kept,
    /// There is no room; nothing was kept.
    Full,
}

/// One departure that is kept.
#[domain]
pub struct KeptDeparture {
    /// Its place in the order in which departures were kept, from 1.
    pub place: u64,
    /// When it was kept, by the clock of the leader of that time.
    pub wall_ms: u64,
    /// What the upstream said last, as it is sent: a third of what it takes when it is read.
    announcement: Box<[u8]>,
}

impl KeptDeparture {
    pub(crate) fn new(place: u64, wall_ms: u64, announcement: &UpstreamAnnouncement) -> Self {
        let bytes = postcard::to_stdvec(announcement).expect("domain types have a postcard form");
        Self { place, wall_ms, announcement: bytes.into() }
    }

    /// Returns what the upstream said last.
    ///
    /// # Errors
    ///
    /// Fails where another version has written it in another form.
    pub fn announcement(&self) -> Result<UpstreamAnnouncement, postcard::Error> {
        postcard::from_bytes(&self.announcement)
    }
}

/// What one replica knows of departures.
///
/// Who has the reports of a majority of the voters, by each list of voters that these name, has all that was
/// acknowledged before it asked: a majority has each departure in its log, and whoever has a later list of voters in
/// its log names that.
#[domain]
pub struct DepartureReport {
    /// The replica.
    pub replica: ReplicaId,
    /// The voters by its log. Empty: it holds nothing of the group.
    pub voters: Vec<ReplicaId>,
    /// What it keeps, and what its log holds beyond that. That may not have been acknowledged, but was said.
    pub departures: Vec<Arc<KeptDeparture>>,
}

/// Names an upstream, by a hash of its service's name and its own.
type UpstreamKey = u128;

/// The departures that are kept. A clone shares its content.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DepartureLog {
    lives: HashMap<UpstreamKey, IncarnationNumber>,
    /// The oldest first.
    kept: Vector<Arc<KeptDeparture>>,
    /// The place of the last one.
    last: u64,
    /// The latest time that a leader stated. Time does not go back here, whoever leads.
    wall_ms: u64,
}

impl DepartureLog {
    /// Keeps a departure, and forgets those whose time is over.
    pub fn record(&mut self, record: DepartureRecord) -> DepartureAnswer {
        let DepartureRecord { wall_ms, announcement } = record;
        self.wall_ms = self.wall_ms.max(wall_ms);
        self.expire();
        if self.has_departed(&announcement) {
            return DepartureAnswer::Kept;
        }
        if self.kept.len() >= DEPARTURES_LIMIT {
            return DepartureAnswer::Full;
        }
        let place = self.last + 1;
        self.insert(
            Arc::new(KeptDeparture::new(place, self.wall_ms, &announcement)),
            &announcement,
        );
        DepartureAnswer::Kept
    }

    /// Tells whether the life that an announcement is of, or a later one of the same upstream, has departed.
    pub fn has_departed(&self, announcement: &UpstreamAnnouncement) -> bool {
        let key = key_of(announcement);
        self.lives.get(&key).is_some_and(|&life| announcement.incarnation <= life)
    }

    /// Returns the place of the last departure.
    pub fn last_place(&self) -> u64 {
        self.last
    }

    /// Lists what was kept after a place, the oldest first.
    pub fn after(&self, place: u64) -> impl Iterator<Item = &Arc<KeptDeparture>> {
        let found = self.kept.binary_search_by(|kept| kept.place.cmp(&place.saturating_add(1)));
        let skip = found.unwrap_or_else(|next| next);
        self.kept.focus().narrow(skip..).into_iter()
    }

    fn expire(&mut self) {
        let kept_ms = KEPT.as_millis() as u64;
        while self.kept.front().is_some_and(|first| first.wall_ms + kept_ms < self.wall_ms) {
            let Some(old) = self.kept.pop_front() else { break };
            let Ok(announcement) = old.announcement() else { continue };
            let key = key_of(&announcement);
            // A later life of it may have departed since.
            if self.lives.get(&key) == Some(&announcement.incarnation) {
                self.lives.remove(&key);
            }
        }
    }

    fn insert(&mut self, departure: Arc<KeptDeparture>, announcement: &UpstreamAnnouncement) {
        self.last = departure.place;
        self.lives.insert(key_of(announcement), announcement.incarnation);
        self.kept.push_back(departure);
    }
}

/// All that is kept, as snapshots hold it.
#[domain]
#[derive(Default)]
pub struct DepartureImage {
    last: u64,
    wall_ms: u64,
    kept: Vec<Arc<KeptDeparture>>,
}

impl DepartureLog {
    /// Returns all that is kept.
    pub fn to_image(&self) -> DepartureImage {
        let kept = self.kept.iter().cloned().collect();
        DepartureImage { last: self.last, wall_ms: self.wall_ms, kept }
    }

    /// Makes a log of what was kept.
    ///
    /// # Errors
    ///
    /// Fails when it holds something else.
    pub fn from_image(image: DepartureImage) -> Result<Self, postcard::Error> {
        let DepartureImage { last, wall_ms, kept } = image;
        let mut log = Self::default();
        for departure in kept {
            let announcement = departure.announcement()?;
            log.insert(departure, &announcement);
        }
        Ok(Self { last, wall_ms, ..log })
    }
}

fn key_of(announcement: &UpstreamAnnouncement) -> UpstreamKey {
    let names = (&announcement.service, &announcement.upstream);
    xxh3_128(&postcard::to_stdvec(&names).expect("names have a postcard form"))
}
