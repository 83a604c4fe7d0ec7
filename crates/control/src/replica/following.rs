//! What a follower does with a leader's messages.

use std::sync::Arc;

use crate::replica::{
    core::{PartialSnapshot, ReplicaCore, RoleState, Sender},
    entry::{EntryBody, LogEntry, SeatList, SnapshotImage},
    log::LogWrite,
    message::ReplicaMessage,
};
use model::moment::Moment;

/// The largest snapshot taken, in bytes. What is announced larger is damaged.
const SNAPSHOT_LIMIT: u64 = 4 * 1024 * 1024 * 1024;

impl ReplicaCore {
    /// Follows the sender when it leads the present or a later term; tells it of a later one.
    pub(crate) fn accept_leader(
        &mut self,
        now: Moment,
        from: &Sender,
        term: u64,
        stamp: u64,
    ) -> bool {
        if term < self.term {
            let term = self.term;
            let reply = ReplicaMessage::AppendReply { term, matched: false, index: 0, stamp };
            self.send_late(from, reply);
            return false;
        }
        self.follow_term(now, term);
        if self.is_leader() {
            // Two leaders of one term cannot be; a packet that says so was not made by a replica.
            return false;
        }
        self.heard = now;
        self.become_follower(now, Some(from.id));
        debug_assert!(matches!(self.role, RoleState::Follower { .. }));
        true
    }

    pub(crate) fn on_append(
        &mut self,
        from: &Sender,
        (prev_index, prev_term): (u64, u64),
        entries: Vec<LogEntry>,
        commit: u64,
        stamp: u64,
    ) {
        let term = self.term;
        let reply = |matched, index| ReplicaMessage::AppendReply { term, matched, index, stamp };
        if !self.holds(prev_index, prev_term) {
            let hint = self.hint_before(prev_index);
            self.send_late(from, reply(false, hint));
            return;
        }
        let sound = entries.iter().zip(prev_index + 1..).all(|(entry, at)| entry.index == at);
        let end = prev_index + entries.len() as u64;
        if !sound || !self.take_entries(entries) {
            return;
        }
        self.commit = self.commit.max(commit.min(end));
        self.send_late(from, reply(true, end));
    }

    /// Tells whether the log holds an entry. What a snapshot covers is committed, so each leader's
    /// log holds the same.
    fn holds(&self, index: u64, term: u64) -> bool {
        index < self.log.base_index() || self.log.term_of(index) == Some(term)
    }

    /// Returns the place before which the leader may look next: where the log ends, or before the
    /// first entry of the term that does not match (paper, end of section 5.3).
    fn hint_before(&self, index: u64) -> u64 {
        if index > self.log.last_index() {
            return self.log.last_index();
        }
        let wrong = self.log.term_of(index);
        let mut hint = index - 1;
        while hint > self.commit && self.log.term_of(hint) == wrong {
            hint -= 1;
        }
        hint
    }

    /// Puts the entries that are new into the log. Returns whether they leave what is committed.
    fn take_entries(&mut self, mut entries: Vec<LogEntry>) -> bool {
        let known = entries.iter().take_while(|entry| self.holds(entry.index, entry.term)).count();
        let fresh = entries.split_off(known);
        let Some(first) = fresh.first() else { return true };
        let first = first.index;
        if !self.log.replace_tail(fresh.clone(), self.commit) {
            return false;
        }
        self.seat_lists.retain(|(index, _)| *index < first);
        for entry in &fresh {
            if let EntryBody::Seats(list) = &entry.body {
                self.seat_lists.push((entry.index, list.clone()));
            }
        }
        self.output.writes.push(LogWrite::Append { entries: fresh });
        true
    }

    pub(crate) fn on_chunk(&mut self, from: &Sender, chunk: ReplicaMessage) {
        let ReplicaMessage::Chunk {
            index,
            index_term,
            seats,
            checksum,
            total,
            offset,
            bytes,
            stamp,
            ..
        } = chunk
        else {
            return;
        };
        let term = self.term;
        if index <= self.commit {
            // Has it all already: the leader goes on with entries.
            let index = self.commit;
            let reply = ReplicaMessage::AppendReply { term, matched: true, index, stamp };
            self.send_late(from, reply);
            return;
        }
        if total > SNAPSHOT_LIMIT {
            return;
        }
        let place = (index, index_term, checksum);
        let have = self.collect(place, offset, &bytes);
        if have < total {
            let reply = ReplicaMessage::ChunkReply { term, index, offset: have, stamp };
            self.send_late(from, reply);
            return;
        }
        self.install(from, seats, stamp);
    }

    /// Puts a snapshot that is whole in the place of the log.
    fn install(&mut self, from: &Sender, seats: SeatList, stamp: u64) {
        let Some(partial) = self.partial.take() else { return };
        let PartialSnapshot { index, term, checksum, bytes } = partial;
        if crc32fast::hash(&bytes) != checksum {
            return;
        }
        self.commit = index;
        self.cut_log(Arc::new(SnapshotImage { index, term, seats, bytes: Arc::from(bytes) }));
        let term = self.term;
        self.send_late(from, ReplicaMessage::AppendReply { term, matched: true, index, stamp });
    }

    /// Adds a piece that follows on. Returns how much there is.
    fn collect(&mut self, place: (u64, u64, u32), offset: u64, bytes: &[u8]) -> u64 {
        let (index, term, checksum) = place;
        let other = |held: &PartialSnapshot| (held.index, held.term, held.checksum) != place;
        if self.partial.as_ref().is_none_or(other) {
            self.partial = Some(PartialSnapshot { index, term, checksum, bytes: Vec::new() });
        }
        let Some(partial) = &mut self.partial else { return 0 };
        if partial.bytes.len() as u64 == offset {
            partial.bytes.extend_from_slice(bytes);
        }
        partial.bytes.len() as u64
    }
}
