//! What replicas of one group tell each other.
//!
//! The messages are those of Raft ("In Search of an Understandable Consensus Algorithm", Ongaro and
//! Ousterhout, figure 2 and section 7) with pre-vote (Ongaro's dissertation, section 9.6) and
//! leadership transfer (section 3.10).

use crate::replica::entry::{LogEntry, ReplicaId, SeatList};
use derive::domain;

/// The version of the messages' form. A replica ignores packets of a version it does not know.
pub const MESSAGE_VERSION: u8 = 1;

/// A message with its sender and receiver. A receiver that has another identity drops it: it was
/// meant for the data folder that the VM had before.
#[domain]
pub struct MessageEnvelope {
    /// [`MESSAGE_VERSION`].
    pub version: u8,
    /// The sender.
    pub from: ReplicaId,
    /// The receiver, where the sender knows it.
    pub to: Option<ReplicaId>,
    /// The message.
    pub message: ReplicaMessage,
}

/// What an unfounded replica asks of the other founders, and their answer.
#[domain]
pub struct HelloMessage {
    /// Drawn at each start of the asking replica and repeated by the answer, so that an answer to an
    /// earlier life is known.
    pub nonce: u64,
    /// The digest of the list of founders. Replicas with different lists never found together.
    pub founders: u64,
    /// The sender's term. The founder's is greater than each that it hears.
    pub term: u64,
    /// Whether the sender holds a part of the group's log.
    pub founded: bool,
    /// Whether it is an answer.
    pub answer: bool,
}

/// One message.
#[domain]
pub enum ReplicaMessage {
    /// Before a group is founded.
    Hello(HelloMessage),
    /// Asks for a vote.
    VoteAsk {
        /// The term that the vote is for.
        term: u64,
        /// The candidate's last entry.
        last_index: u64,
        /// That entry's term.
        last_term: u64,
        /// Whether it only asks if a vote would be granted.
        pre: bool,
        /// Whether the leader has asked the candidate to take over.
        transfer: bool,
    },
    /// Answers [`Self::VoteAsk`].
    VoteReply {
        /// The asked term when granted, else the voter's own.
        term: u64,
        /// As asked.
        pre: bool,
        /// Whether it is granted.
        granted: bool,
    },
    /// Appends entries; without any it is a heartbeat.
    Append {
        /// The leader's term.
        term: u64,
        /// The entry before the first.
        prev_index: u64,
        /// That entry's term.
        prev_term: u64,
        /// The entries.
        entries: Vec<LogEntry>,
        /// The last entry known to be committed.
        commit: u64,
        /// Repeated by the answer. Means something to the leader alone.
        stamp: u64,
    },
    /// Answers [`Self::Append`].
    AppendReply {
        /// The follower's term.
        term: u64,
        /// Whether the entry before the first was there.
        matched: bool,
        /// The last entry known to be the leader's, or where to look next.
        index: u64,
        /// The stamp of the message that is answered.
        stamp: u64,
    },
    /// A piece of a snapshot, for a follower whose next entry is cut off already.
    Chunk {
        /// The leader's term.
        term: u64,
        /// The last entry that the snapshot covers.
        index: u64,
        /// That entry's term.
        index_term: u64,
        /// The replicas as of that entry.
        seats: SeatList,
        /// The checksum of the whole.
        checksum: u32,
        /// The bytes of the whole.
        total: u64,
        /// Where the piece starts.
        offset: u64,
        /// The piece.
        bytes: Vec<u8>,
        /// Repeated by the answer.
        stamp: u64,
    },
    /// Answers [`Self::Chunk`].
    ChunkReply {
        /// The follower's term.
        term: u64,
        /// The snapshot.
        index: u64,
        /// How much of it the follower has.
        offset: u64,
        /// The stamp of the message that is answered.
        stamp: u64,
    },
    /// Asks a follower that has caught up to start an election at once.
    TakeOver {
        /// The leader's term.
        term: u64,
    },
}
