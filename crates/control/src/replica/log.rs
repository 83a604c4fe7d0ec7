//! The log in memory, and what of it goes to disk.

use std::{collections::VecDeque, sync::Arc};

use crate::replica::entry::{EntryBody, LogEntry, ReplicaId, SeatList, SnapshotImage};
use derive::domain;

/// One change of what a replica must remember. Written in order, synced in batches.
#[domain]
pub enum LogWrite {
    /// The present term and the vote in it.
    Vote {
        /// The term.
        term: u64,
        /// Who got the vote.
        vote: Option<ReplicaId>,
    },
    /// Entries, which replace any at their places and all behind.
    Append {
        /// The entries, without gaps.
        entries: Vec<LogEntry>,
    },
    /// Entries up to the index are known to be committed. Only saves time after a restart, so it is
    /// never worth a sync of its own.
    Commit {
        /// The index.
        index: u64,
    },
}

/// What a replica remembers: the outcome of all its writes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReplicaMemory {
    /// The present term.
    pub term: u64,
    /// The vote in it.
    pub vote: Option<ReplicaId>,
    /// The last entry known to be committed.
    pub commit: u64,
    /// The log.
    pub log: EntryLog,
}

impl ReplicaMemory {
    /// Makes the memory that a snapshot alone gives.
    pub fn from_snapshot(snapshot: Option<Arc<SnapshotImage>>) -> Self {
        let commit = snapshot.as_ref().map_or(0, |image| image.index);
        Self { commit, log: EntryLog { snapshot, ..EntryLog::default() }, ..Self::default() }
    }

    /// Repeats one write. Returns whether it had a meaning: one that has none was damaged.
    #[must_use]
    pub fn repeat(&mut self, write: LogWrite) -> bool {
        match write {
            LogWrite::Vote { term, vote } => {
                let sound = term >= self.term;
                (self.term, self.vote) = (term, vote);
                sound
            }
            LogWrite::Append { entries } => self.log.replace_tail(entries, self.commit),
            LogWrite::Commit { index } => {
                let sound = index <= self.log.last_index();
                self.commit = self.commit.max(index);
                sound
            }
        }
    }
}

/// The entries behind a snapshot.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EntryLog {
    snapshot: Option<Arc<SnapshotImage>>,
    entries: VecDeque<LogEntry>,
    bytes: usize,
}

impl EntryLog {
    /// Returns the snapshot that the log begins behind.
    pub fn snapshot(&self) -> Option<&Arc<SnapshotImage>> {
        self.snapshot.as_ref()
    }

    /// Returns the last entry that is cut off.
    pub fn base_index(&self) -> u64 {
        self.snapshot.as_ref().map_or(0, |image| image.index)
    }

    /// Returns the last entry's place.
    pub fn last_index(&self) -> u64 {
        self.base_index() + self.entries.len() as u64
    }

    /// Returns the last entry's term.
    pub fn last_term(&self) -> u64 {
        self.term_of(self.last_index()).unwrap_or(0)
    }

    /// Returns the bytes of the entries behind the snapshot.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Tells whether nothing was ever appended.
    pub fn is_empty(&self) -> bool {
        self.last_index() == 0
    }

    /// Returns an entry's term, where it is not cut off.
    pub fn term_of(&self, index: u64) -> Option<u64> {
        if index == self.base_index() {
            return Some(self.snapshot.as_ref().map_or(0, |image| image.term));
        }
        self.entry(index).map(|entry| entry.term)
    }

    /// Returns an entry.
    pub fn entry(&self, index: u64) -> Option<&LogEntry> {
        let offset = index.checked_sub(self.base_index() + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Returns entries from a place on, up to a number of bytes, but at least one if there is any.
    pub fn batch(&self, from: u64, limit: usize) -> Vec<LogEntry> {
        let Some(offset) = from.checked_sub(self.base_index() + 1) else { return Vec::new() };
        let offset = usize::try_from(offset).unwrap_or(usize::MAX);
        let mut batch = Vec::new();
        let mut size = 0;
        for entry in self.entries.iter().skip(offset) {
            size += entry.size();
            if size > limit && !batch.is_empty() {
                break;
            }
            batch.push(entry.clone());
        }
        batch
    }

    /// Returns all entries behind the snapshot.
    pub fn tail(&self) -> Vec<LogEntry> {
        self.entries.iter().cloned().collect()
    }

    /// Puts entries at their places and drops all behind. Returns whether they follow on and leave
    /// committed entries alone.
    #[must_use]
    pub fn replace_tail(&mut self, entries: Vec<LogEntry>, commit: u64) -> bool {
        let Some(first) = entries.first() else { return true };
        let gap = first.index > self.last_index() + 1;
        if gap || first.index <= commit || first.index <= self.base_index() {
            return false;
        }
        self.truncate(first.index - 1);
        for entry in entries {
            if entry.index != self.last_index() + 1 {
                return false;
            }
            self.bytes += entry.size();
            self.entries.push_back(entry);
        }
        true
    }

    fn truncate(&mut self, last: u64) {
        while self.last_index() > last {
            if let Some(entry) = self.entries.pop_back() {
                self.bytes -= entry.size();
            }
        }
    }

    /// Cuts off what a snapshot covers. Where the log does not hold the snapshot's last entry, all of
    /// it goes (Raft paper, figure 13).
    pub fn cut(&mut self, image: Arc<SnapshotImage>) {
        if self.term_of(image.index) != Some(image.term) {
            self.entries.clear();
            self.bytes = 0;
            self.snapshot = Some(image);
            return;
        }
        let covered = image.index - self.base_index();
        for entry in self.entries.drain(..usize::try_from(covered).unwrap_or(usize::MAX)) {
            self.bytes -= entry.size();
        }
        self.snapshot = Some(image);
    }

    /// Lists each list of seats that the log knows, oldest first, with its entry's place.
    pub fn seat_lists(&self) -> Vec<(u64, SeatList)> {
        let first = self.snapshot.iter().map(|image| (image.index, image.seats.clone()));
        let later = self.entries.iter().filter_map(|entry| match &entry.body {
            EntryBody::Seats(list) => Some((entry.index, list.clone())),
            EntryBody::Blank | EntryBody::Command(_) => None,
        });
        first.chain(later).collect()
    }
}
