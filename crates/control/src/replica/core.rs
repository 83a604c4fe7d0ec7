//! One replica of one group: the rules of Raft as a value.
//!
//! The rules are those of "In Search of an Understandable Consensus Algorithm" (Ongaro and
//! Ousterhout) and of Ongaro's dissertation; the place that a rule comes from stands beside it. The
//! value reads no clock, opens no file and sends nothing. Whoever drives it passes the time in, takes
//! its [`CoreOutput`], sends `early`, makes `writes` durable, calls [`ReplicaCore::synced`] and sends
//! `late`. So a test can put any order of messages, pauses, syncs and crashes through it.
//!
//! The impl blocks are split by job: `election`, `leading`, `following`, `seating`, `founding`, `views`.

use std::{collections::BTreeMap, mem, sync::Arc, time::Duration};

use crate::replica::{
    entry::{EntryBody, ReplicaId, SeatList, SnapshotImage},
    log::{EntryLog, LogWrite, ReplicaMemory},
    message::ReplicaMessage,
    progress::PeerProgress,
    timing::{ELECTION_MAX, ELECTION_MIN},
};
use model::{moment::Moment, names::MemberName};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// What a replica is opened with.
#[derive(Clone, Debug)]
pub struct CoreParts {
    /// Its VM.
    pub member: MemberName,
    /// The identity of its data folder.
    pub id: ReplicaId,
    /// The VMs that found the group.
    pub founders: Vec<MemberName>,
    /// What random numbers are drawn from; another one at each start.
    pub seed: u64,
    /// What it remembers.
    pub memory: ReplicaMemory,
}

/// A message on its way, with the identity that it is meant for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutMessage {
    /// The VM.
    pub to: MemberName,
    /// Its replica, where known.
    pub id: Option<ReplicaId>,
    /// The message.
    pub message: ReplicaMessage,
}

/// What a replica wants done.
#[derive(Clone, Debug, Default)]
pub struct CoreOutput {
    /// Messages that promise nothing, to be sent before the sync. A leader's entries go out while its
    /// own disk is busy with them (dissertation, section 10.2.1).
    pub early: Vec<OutMessage>,
    /// What must be durable before anything in `late` is sent.
    pub writes: Vec<LogWrite>,
    /// A snapshot that takes the place of the log up to its index. The whole log is to be written
    /// anew then, from [`ReplicaCore::whole_log`], which contains `writes`.
    pub rewrite: Option<Arc<SnapshotImage>>,
    /// Messages that promise what `writes` holds.
    pub late: Vec<OutMessage>,
}

impl CoreOutput {
    /// Tells whether something must become durable.
    pub fn needs_sync(&self) -> bool {
        self.rewrite.is_some() || !self.writes.is_empty()
    }
}

/// The state of a leader.
#[derive(Clone, Debug)]
pub(crate) struct LeaderState {
    pub(crate) peers: BTreeMap<ReplicaId, PeerProgress>,
    /// Its first entry. What is committed is known to it from then on.
    pub(crate) first_index: u64,
    pub(crate) heartbeat_at: Moment,
    pub(crate) transfer: Option<TransferState>,
    /// Whether it has ever asked for a takeover in its term. A takeover that arrives late makes
    /// followers vote against their promise, so the lease counts no more then.
    pub(crate) asked_takeover: bool,
}

#[derive(Clone, Debug)]
pub(crate) struct TransferState {
    pub(crate) to: ReplicaId,
    pub(crate) until: Moment,
}

/// What another founder said last.
#[derive(Clone, Debug)]
pub(crate) struct HeardHello {
    pub(crate) id: ReplicaId,
    pub(crate) term: u64,
    pub(crate) heard: Moment,
}

/// What a replica is at present.
#[derive(Clone, Debug)]
pub(crate) enum RoleState {
    Follower { leader: Option<ReplicaId> },
    PreCandidate { granted: Vec<ReplicaId> },
    Candidate { granted: Vec<ReplicaId>, own_durable: bool },
    Leader(LeaderState),
}

/// A snapshot that arrives in pieces.
#[derive(Clone, Debug)]
pub(crate) struct PartialSnapshot {
    pub(crate) index: u64,
    pub(crate) term: u64,
    pub(crate) checksum: u32,
    pub(crate) bytes: Vec<u8>,
}

/// One replica.
#[derive(Clone, Debug)]
pub struct ReplicaCore {
    pub(crate) member: MemberName,
    pub(crate) id: ReplicaId,
    pub(crate) founders: Vec<MemberName>,
    pub(crate) nonce: u64,
    pub(crate) term: u64,
    pub(crate) vote: Option<ReplicaId>,
    pub(crate) commit: u64,
    pub(crate) durable: u64,
    pub(crate) log: EntryLog,
    pub(crate) seat_lists: Vec<(u64, SeatList)>,
    pub(crate) role: RoleState,
    pub(crate) now: Moment,
    pub(crate) heard: Moment,
    pub(crate) election_at: Moment,
    pub(crate) hello_at: Moment,
    pub(crate) hellos: BTreeMap<MemberName, HeardHello>,
    pub(crate) known: BTreeMap<MemberName, ReplicaId>,
    pub(crate) partial: Option<PartialSnapshot>,
    pub(crate) random: Pcg64Mcg,
    pub(crate) output: CoreOutput,
    written_commit: u64,
}

impl ReplicaCore {
    /// Opens a replica from what it remembers.
    pub fn open(parts: CoreParts, now: Moment) -> Self {
        let CoreParts { member, id, founders, seed, memory } = parts;
        let mut random = Pcg64Mcg::seed_from_u64(seed ^ id.0);
        let mut core = Self {
            member,
            id,
            founders,
            nonce: random.random(),
            term: memory.term,
            vote: memory.vote,
            commit: memory.commit,
            durable: memory.log.last_index(),
            seat_lists: memory.log.seat_lists(),
            log: memory.log,
            role: RoleState::Follower { leader: None },
            // A replica that restarts may have heard a leader right before, whose lease counts on it.
            heard: now,
            now,
            election_at: now,
            hello_at: now,
            hellos: BTreeMap::new(),
            known: BTreeMap::new(),
            partial: None,
            random,
            output: CoreOutput::default(),
            written_commit: memory.commit,
        };
        core.draw_election(now);
        if core.seats().quorum() == 1 && core.votes_itself() {
            // Nobody else can lead, so there is nobody to wait for.
            core.election_at = now;
        }
        core
    }

    /// Takes note that time has passed. Called a few times per heartbeat.
    pub fn tick(&mut self, now: Moment) {
        self.now = now;
        if !self.is_founded() {
            self.tick_unfounded(now);
            return;
        }
        match self.role {
            RoleState::Leader(_) => self.tick_leader(now),
            _ if now >= self.election_at && self.may_lead() => self.start_election(now),
            _ if !self.may_lead() => self.tick_outside(now),
            _ => (),
        }
    }

    /// Takes a message.
    pub fn step(
        &mut self,
        now: Moment,
        member: &MemberName,
        from: ReplicaId,
        message: ReplicaMessage,
    ) {
        use ReplicaMessage as M;
        self.now = now;
        self.known.insert(member.clone(), from);
        let sender = Sender { member: member.clone(), id: from };
        match message {
            M::Hello(hello) => self.on_hello(now, &sender, &hello),
            M::VoteAsk { .. } => self.on_vote_ask(now, &sender, &message),
            M::VoteReply { term, pre, granted } => {
                self.on_vote_reply(now, from, term, pre, granted);
            }
            M::Append { term, prev_index, prev_term, entries, commit, stamp } => {
                if self.accept_leader(now, &sender, term, stamp) {
                    let place = (prev_index, prev_term);
                    self.on_append(&sender, place, entries, commit, stamp);
                }
            }
            M::AppendReply { term, matched, index, stamp } => {
                if self.accept_reply(now, term) {
                    self.on_append_reply(now, from, matched, index, stamp);
                }
            }
            M::Chunk { term, stamp, .. } => {
                if self.accept_leader(now, &sender, term, stamp) {
                    self.on_chunk(&sender, message);
                }
            }
            M::ChunkReply { term, index, offset, stamp } => {
                if self.accept_reply(now, term) {
                    self.on_chunk_reply(now, from, index, offset, stamp);
                }
            }
            M::TakeOver { term } => self.on_take_over(now, from, term),
        }
    }

    /// Appends a command. Returns its place and term, or `None` when this replica does not lead or
    /// is handing over.
    pub fn propose(&mut self, command: Arc<[u8]>) -> Option<(u64, u64)> {
        if !self.takes_commands() {
            return None;
        }
        let index = self.append_own(EntryBody::Command(command));
        Some((index, self.term))
    }

    /// Takes what is to be done. It must be done in the order that [`CoreOutput`] tells.
    pub fn take_output(&mut self) -> CoreOutput {
        self.send_appends();
        let mut output = mem::take(&mut self.output);
        if !output.writes.is_empty() && self.commit > self.written_commit {
            self.written_commit = self.commit;
            output.writes.push(LogWrite::Commit { index: self.commit });
        }
        output
    }

    /// Takes note that all that was taken is durable.
    pub fn synced(&mut self, now: Moment) {
        self.now = now;
        self.durable = self.log.last_index();
        self.count_own_vote(now);
        self.advance_commit();
    }

    /// Returns all that the log file must hold behind the snapshot.
    pub fn whole_log(&self) -> Vec<LogWrite> {
        let mut writes = vec![LogWrite::Vote { term: self.term, vote: self.vote }];
        let entries = self.log.tail();
        if !entries.is_empty() {
            writes.push(LogWrite::Append { entries });
        }
        writes.push(LogWrite::Commit { index: self.commit });
        writes
    }

    /// Returns the term of a committed entry and the seats as of it. `None` where it is cut off.
    pub fn place_of(&self, index: u64) -> Option<(u64, SeatList)> {
        let term = self.log.term_of(index).filter(|_| index <= self.commit)?;
        Some((term, self.seats_at(index)))
    }

    /// Replaces the log up to a committed entry by a snapshot of this replica's own.
    pub fn compact(&mut self, image: SnapshotImage) {
        if image.index > self.log.base_index() && image.index <= self.commit {
            self.cut_log(Arc::new(image));
        }
    }

    pub(crate) fn cut_log(&mut self, image: Arc<SnapshotImage>) {
        self.log.cut(image.clone());
        self.seat_lists = self.log.seat_lists();
        self.output.rewrite = Some(image);
        self.written_commit = self.commit;
    }

    pub(crate) fn is_founded(&self) -> bool {
        !self.log.is_empty()
    }

    pub(crate) fn votes_itself(&self) -> bool {
        self.seats().has_voter(self.id)
    }

    pub(crate) fn draw_election(&mut self, now: Moment) {
        let low = ELECTION_MIN.as_micros();
        let high = ELECTION_MAX.as_micros();
        let micros = self.random.random_range(low..high);
        self.election_at = now + Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX));
    }

    pub(crate) fn write_vote(&mut self) {
        self.output.writes.push(LogWrite::Vote { term: self.term, vote: self.vote });
    }

    /// Follows whoever leads a later term.
    pub(crate) fn follow_term(&mut self, now: Moment, term: u64) {
        if term > self.term {
            self.term = term;
            self.vote = None;
            self.write_vote();
            self.become_follower(now, None);
        }
    }

    pub(crate) fn become_follower(&mut self, now: Moment, leader: Option<ReplicaId>) {
        self.role = RoleState::Follower { leader };
        self.draw_election(now);
    }

    pub(crate) fn send_early(&mut self, to: &Sender, message: ReplicaMessage) {
        self.output.early.push(to.message(message));
    }

    pub(crate) fn send_late(&mut self, to: &Sender, message: ReplicaMessage) {
        self.output.late.push(to.message(message));
    }

    /// Lists the other replicas of the group.
    pub(crate) fn others(&self) -> Vec<Sender> {
        let others = self.seats().seats.iter().filter(|seat| seat.id != self.id);
        others.map(|seat| Sender { member: seat.member.clone(), id: seat.id }).collect()
    }
}

/// Another replica, as the receiver of an answer.
#[derive(Clone, Debug)]
pub(crate) struct Sender {
    pub(crate) member: MemberName,
    pub(crate) id: ReplicaId,
}

impl Sender {
    fn message(&self, message: ReplicaMessage) -> OutMessage {
        OutMessage { to: self.member.clone(), id: Some(self.id), message }
    }
}
