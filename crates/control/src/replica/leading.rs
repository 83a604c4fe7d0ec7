//! What a leader does: replicate, commit, hold its lease, hand over.

use crate::replica::{
    core::{LeaderState, ReplicaCore, RoleState, Sender, TransferState},
    entry::{EntryBody, LogEntry, ReplicaId, SnapshotImage},
    message::ReplicaMessage,
    progress::PeerProgress,
    timing::{ELECTION_MIN, HEARTBEAT, LEASE, TRANSFER_LIMIT},
};
use model::moment::Moment;

/// The most entries' bytes in one packet, unless one entry alone is larger.
const BATCH_BYTES: usize = 128 * 1024;

/// The most entries on their way to one follower. Enough to keep a disk busy for a few round trips;
/// more would only wait in the follower's queue, and be sent anew after a loss.
const WINDOW: u64 = 8_192;

/// The piece of a snapshot in one packet, in bytes.
const CHUNK_BYTES: usize = 128 * 1024;

impl ReplicaCore {
    pub(crate) fn leader_state(&mut self) -> Option<&mut LeaderState> {
        match &mut self.role {
            RoleState::Leader(state) => Some(state),
            _ => None,
        }
    }

    /// Tells whether commands are taken: it leads and is not handing over.
    pub fn takes_commands(&self) -> bool {
        matches!(&self.role, RoleState::Leader(state) if state.transfer.is_none())
    }

    pub(crate) fn append_own(&mut self, body: EntryBody) -> u64 {
        let index = self.log.last_index() + 1;
        let entry = LogEntry { term: self.term, index, body };
        if let EntryBody::Seats(list) = &entry.body {
            self.seat_lists.push((index, list.clone()));
        }
        let followed = self.log.replace_tail(vec![entry.clone()], self.commit);
        debug_assert!(followed, "an own entry follows the last one");
        match self.output.writes.last_mut() {
            Some(crate::replica::log::LogWrite::Append { entries })
                if entries.last().is_some_and(|last| last.index + 1 == index) =>
            {
                entries.push(entry);
            }
            _ => {
                let entries = vec![entry];
                self.output.writes.push(crate::replica::log::LogWrite::Append { entries });
            }
        }
        index
    }

    pub(crate) fn tick_leader(&mut self, now: Moment) {
        if !self.hears_majority(now) {
            // Check-quorum (dissertation, section 6.2): a leader that cannot commit must not keep
            // callers waiting, nor keep the others from electing one that can.
            self.become_follower(now, None);
            return;
        }
        self.end_transfer(now);
        self.promote_learner();
        let Some(state) = self.leader_state() else { return };
        if now < state.heartbeat_at {
            return;
        }
        state.heartbeat_at = now + HEARTBEAT;
        for peer in self.others() {
            self.send_heartbeat(&peer);
        }
    }

    fn hears_majority(&self, now: Moment) -> bool {
        let RoleState::Leader(state) = &self.role else { return false };
        let fresh = |id: ReplicaId| {
            id == self.id
                || state.peers.get(&id).is_some_and(|peer| peer.is_fresh(now, ELECTION_MIN))
        };
        let heard = self.seats().voters().filter(|seat| fresh(seat.id)).count();
        heard >= self.seats().quorum()
    }

    fn send_heartbeat(&mut self, peer: &Sender) {
        let Some(progress) = self.progress(peer.id) else { return };
        // No progress since the last heartbeat although entries are on their way: one was lost.
        let stalled = progress.matched == progress.matched_before;
        if stalled && !progress.probing {
            progress.next = progress.matched + 1;
        }
        progress.matched_before = progress.matched;
        self.send_append(peer, true);
    }

    fn progress(&mut self, id: ReplicaId) -> Option<&mut PeerProgress> {
        self.leader_state()?.peers.get_mut(&id)
    }

    /// Sends what followers lack.
    pub(crate) fn send_appends(&mut self) {
        if !self.is_leader() {
            return;
        }
        for peer in self.others() {
            while self.has_more_for(peer.id) {
                self.send_append(&peer, false);
            }
        }
    }

    fn has_more_for(&mut self, id: ReplicaId) -> bool {
        let (last, base) = (self.log.last_index(), self.log.base_index());
        self.progress(id).is_some_and(|progress| {
            let next = progress.next;
            !progress.probing
                && progress.chunk.is_none()
                && next > base
                && next <= last
                && next <= progress.matched + WINDOW
        })
    }

    fn send_append(&mut self, peer: &Sender, heartbeat: bool) {
        let base = self.log.base_index();
        let Some(progress) = self.progress(peer.id) else { return };
        if progress.next <= base || progress.chunk.is_some() {
            self.send_chunk(peer);
            return;
        }
        let next = progress.next;
        let prev_index = next - 1;
        let prev_term = self.log.term_of(prev_index).unwrap_or(0);
        let entries = self.log.batch(next, BATCH_BYTES);
        debug_assert!(heartbeat || !entries.is_empty());
        let sent = entries.len() as u64;
        let (term, commit, stamp) = (self.term, self.commit, self.now.as_micros());
        if let Some(progress) = self.progress(peer.id)
            && !progress.probing
        {
            progress.next += sent;
        }
        let message =
            ReplicaMessage::Append { term, prev_index, prev_term, entries, commit, stamp };
        self.send_early(peer, message);
    }

    fn send_chunk(&mut self, peer: &Sender) {
        let Some(image) = self.log.snapshot().cloned() else { return };
        let stamp = self.now.as_micros();
        let term = self.term;
        let Some(progress) = self.progress(peer.id) else { return };
        let offset = match progress.chunk {
            Some((index, offset)) if index == image.index => offset,
            _ => 0,
        };
        progress.chunk = Some((image.index, offset));
        let start = usize::try_from(offset).unwrap_or(usize::MAX).min(image.bytes.len());
        let end = (start + CHUNK_BYTES).min(image.bytes.len());
        let message = ReplicaMessage::Chunk {
            term,
            index: image.index,
            index_term: image.term,
            seats: image.seats.clone(),
            checksum: image.checksum(),
            total: image.bytes.len() as u64,
            offset,
            bytes: image.bytes[start..end].to_vec(),
            stamp,
        };
        self.send_early(peer, message);
    }

    /// Tells whether an answer is one to this leader's messages of this term.
    pub(crate) fn accept_reply(&mut self, now: Moment, term: u64) -> bool {
        self.follow_term(now, term);
        term == self.term && self.is_leader()
    }

    pub(crate) fn on_append_reply(
        &mut self,
        now: Moment,
        from: ReplicaId,
        matched: bool,
        index: u64,
        stamp: u64,
    ) {
        let last = self.log.last_index();
        let Some(progress) = self.progress(from) else { return };
        note_answer(progress, now, stamp);
        if matched {
            progress.matched = progress.matched.max(index.min(last));
            progress.next = progress.next.max(progress.matched + 1);
            progress.probing = false;
            progress.chunk = None;
            self.advance_commit();
            self.promote_learner();
            self.send_take_over();
            return;
        }
        // An answer to an earlier message may come late; what has matched stays matched.
        let retry = (index + 1).min(progress.next.saturating_sub(1)).max(progress.matched + 1);
        if retry < progress.next {
            progress.next = retry;
            progress.probing = true;
            if let Some(peer) = self.peer(from) {
                self.send_append(&peer, true);
            }
        }
    }

    pub(crate) fn on_chunk_reply(
        &mut self,
        now: Moment,
        from: ReplicaId,
        index: u64,
        offset: u64,
        stamp: u64,
    ) {
        let total = self.log.snapshot().map_or(0, |image| image.bytes.len() as u64);
        let Some(progress) = self.progress(from) else { return };
        note_answer(progress, now, stamp);
        match progress.chunk {
            // Less than before when the follower has crashed in the middle: it begins again.
            Some((sent, had)) if sent == index && offset != had && offset < total => {
                progress.chunk = Some((index, offset));
            }
            _ => return,
        }
        if let Some(peer) = self.peer(from) {
            self.send_chunk(&peer);
        }
    }

    fn peer(&self, id: ReplicaId) -> Option<Sender> {
        self.others().into_iter().find(|peer| peer.id == id)
    }

    /// Commits what a majority has on disk, counting only entries of the own term (paper, section
    /// 5.4.2). The leader's own disk counts like each other.
    pub(crate) fn advance_commit(&mut self) {
        let RoleState::Leader(state) = &self.role else { return };
        let place = |id: ReplicaId| match id == self.id {
            true => self.durable,
            false => state.peers.get(&id).map_or(0, |peer| peer.matched),
        };
        let mut places: Vec<u64> = self.seats().voters().map(|seat| place(seat.id)).collect();
        places.sort_unstable_by(|a, b| b.cmp(a));
        let Some(&reached) = places.get(self.seats().quorum() - 1) else { return };
        if reached > self.commit && self.log.term_of(reached) == Some(self.term) {
            self.commit = reached;
            self.leave_when_removed();
        }
    }

    /// Steps down once the removal of the own seat is committed (dissertation, section 4.2.2).
    fn leave_when_removed(&mut self) {
        if self.seats_committed() && !self.votes_itself() {
            // The others learn of the commit before the leader falls silent.
            for peer in self.others() {
                self.send_append(&peer, true);
            }
            self.become_follower(self.now, None);
        }
    }

    /// Tells whether a read asked at `asked` may be answered now from all that is committed.
    ///
    /// Either the lease holds (dissertation, section 6.4.1), or a majority has answered what was sent
    /// after the question (section 6.4), which no clock can make wrong. A leader that was paused has
    /// neither when it wakes.
    pub fn may_read(&self, asked: Moment, now: Moment) -> bool {
        let RoleState::Leader(state) = &self.role else { return false };
        if self.commit < state.first_index {
            return false;
        }
        let Some(answered) = self.majority_answered(now) else { return false };
        let leased = !state.asked_takeover && now < answered + LEASE;
        leased || answered > asked
    }

    /// Returns when the last message was sent that a majority has answered.
    fn majority_answered(&self, now: Moment) -> Option<Moment> {
        let RoleState::Leader(state) = &self.role else { return None };
        let answered = |id: ReplicaId| match id == self.id {
            true => now,
            false => state.peers.get(&id).map_or(Moment::ZERO, |peer| peer.answered),
        };
        let mut times: Vec<Moment> = self.seats().voters().map(|seat| answered(seat.id)).collect();
        times.sort_unstable_by(|a, b| b.cmp(a));
        times.get(self.seats().quorum() - 1).copied()
    }

    /// Begins to hand over to the voter that is furthest. Returns whether there is one.
    pub fn begin_transfer(&mut self, now: Moment) -> bool {
        let own = self.id;
        let voters: Vec<ReplicaId> = self.seats().voters().map(|seat| seat.id).collect();
        let Some(state) = self.leader_state() else { return false };
        if state.transfer.is_some() {
            return true;
        }
        let fresh = |id: &ReplicaId| {
            let peer = state.peers.get(id)?;
            (*id != own && peer.is_fresh(now, ELECTION_MIN)).then_some((peer.matched, *id))
        };
        let Some((_, to)) = voters.iter().filter_map(fresh).max() else { return false };
        state.transfer = Some(TransferState { to, until: now + TRANSFER_LIMIT });
        self.send_take_over();
        true
    }

    fn send_take_over(&mut self) {
        let last = self.log.last_index();
        let term = self.term;
        let Some(state) = self.leader_state() else { return };
        let Some(to) = state.transfer.as_ref().map(|transfer| transfer.to) else { return };
        if state.peers.get(&to).is_some_and(|peer| peer.matched == last) {
            state.asked_takeover = true;
            if let Some(peer) = self.peer(to) {
                self.send_early(&peer, ReplicaMessage::TakeOver { term });
            }
        }
    }

    /// Goes on leading when the successor has not taken over.
    fn end_transfer(&mut self, now: Moment) {
        self.send_take_over();
        if let Some(state) = self.leader_state()
            && state.transfer.as_ref().is_some_and(|transfer| now >= transfer.until)
        {
            state.transfer = None;
        }
    }

    /// Returns the bytes of commands that are not committed yet, at least, counted by entries.
    pub fn uncommitted(&self) -> u64 {
        self.log.last_index() - self.commit
    }

    /// Returns the snapshot that the log begins behind.
    pub fn snapshot(&self) -> Option<&std::sync::Arc<SnapshotImage>> {
        self.log.snapshot()
    }
}

fn note_answer(progress: &mut PeerProgress, now: Moment, stamp: u64) {
    progress.heard = now;
    progress.answered = progress.answered.max(Moment::from_micros(stamp).min(now));
}
