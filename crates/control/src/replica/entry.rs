//! Log entries and the seats of a group.

use std::sync::Arc;

use derive::domain;
use model::names::MemberName;

/// The largest command, in bytes. It must fit into one packet with room for the packet's own fields.
pub const ENTRY_LIMIT: usize = 384 * 1024;

/// The identity of one data folder, drawn when the folder is made.
///
/// A VM whose disk was replaced has the same name but another identity. Without it the new replica
/// could vote a second time in a term in which the lost one had voted, and two leaders could be
/// elected for that term.
#[domain(value)]
#[serde(transparent)]
pub struct ReplicaId(pub u64);

/// One replica of a group.
#[domain]
pub struct ReplicaSeat {
    /// Its VM.
    pub member: MemberName,
    /// The identity of its data folder.
    pub id: ReplicaId,
    /// Whether it votes. One that does not is a learner.
    pub votes: bool,
}

/// The replicas of a group, as of one log entry.
#[domain]
#[derive(Default)]
pub struct SeatList {
    /// The seats.
    pub seats: Vec<ReplicaSeat>,
}

impl SeatList {
    /// Lists the seats that vote.
    pub fn voters(&self) -> impl Iterator<Item = &ReplicaSeat> {
        self.seats.iter().filter(|seat| seat.votes)
    }

    /// Returns how many voters a majority is.
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Tells whether the identity votes.
    pub fn has_voter(&self, id: ReplicaId) -> bool {
        self.voters().any(|seat| seat.id == id)
    }

    /// Finds the seat of an identity.
    pub fn seat(&self, id: ReplicaId) -> Option<&ReplicaSeat> {
        self.seats.iter().find(|seat| seat.id == id)
    }

    /// Finds the seat of a VM.
    pub fn seat_of(&self, member: &MemberName) -> Option<&ReplicaSeat> {
        self.seats.iter().find(|seat| seat.member == *member)
    }

    /// Returns the list with the VM's seat replaced by the one given, or removed.
    #[must_use]
    pub fn with(&self, member: &MemberName, seat: Option<ReplicaSeat>) -> Self {
        let others = self.seats.iter().filter(|held| held.member != *member).cloned();
        Self { seats: others.chain(seat).collect() }
    }
}

/// What a log entry holds.
#[domain]
pub enum EntryBody {
    /// Nothing: the first entry of a leader, which commits what earlier leaders left (section 5.4.2
    /// of the Raft paper allows a leader to commit by count only entries of its own term).
    Blank,
    /// The replicas of the group. In force as soon as it is in the log (dissertation, section 4.1).
    Seats(SeatList),
    /// A command to the state.
    Command(Arc<[u8]>),
}

/// One entry of the log.
#[domain]
pub struct LogEntry {
    /// The term of the leader that made it.
    pub term: u64,
    /// Its place, from 1.
    pub index: u64,
    /// What it holds.
    pub body: EntryBody,
}

impl LogEntry {
    /// Returns the bytes that the entry takes in a packet, roughly.
    pub fn size(&self) -> usize {
        const FIELDS: usize = 24;
        const SEAT: usize = 80;
        FIELDS
            + match &self.body {
                EntryBody::Blank => 0,
                EntryBody::Seats(list) => list.seats.len() * SEAT,
                EntryBody::Command(bytes) => bytes.len(),
            }
    }
}

/// A whole state as of one entry.
#[domain]
pub struct SnapshotImage {
    /// The last entry that it covers.
    pub index: u64,
    /// That entry's term.
    pub term: u64,
    /// The replicas as of that entry.
    pub seats: SeatList,
    /// The state in its own form.
    pub bytes: Arc<[u8]>,
}

impl SnapshotImage {
    /// Returns the checksum of the state's bytes.
    pub fn checksum(&self) -> u32 {
        crc32fast::hash(&self.bytes)
    }
}
