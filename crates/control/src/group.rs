//! One replica with the state that it replicates, and the requests that wait for it.

use std::{collections::BTreeMap, mem, sync::Arc, time::Duration};

use crate::{
    fault::{COME_BACK, RefusalReason, ReplicaFault},
    replica::{
        core::{CoreOutput, CoreParts, ReplicaCore},
        entry::{ENTRY_LIMIT, EntryBody, ReplicaId, SeatList, SnapshotImage},
        message::ReplicaMessage,
    },
    state::{
        command::{StateAnswer, StateCommand},
        machine::GroupState,
    },
};
use model::{
    moment::Moment, names::MemberName, numbers::GroupNumber, ports::ReplicaChange, report::GroupRow,
};

/// How many entries may wait for a majority. At 10,000 claims a second it is the load of 1.6 s, more
/// than an election takes; what comes beyond could not be answered in time, so it is refused at once.
const WAITING_LIMIT: u64 = 16_384;

/// Names a request for as long as it waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestNumber(pub u64);

/// What is asked of a replica.
#[derive(Clone, Debug)]
pub enum GroupRequest {
    /// Carries out a command.
    Command(StateCommand),
    /// Proves that what is committed here is the latest.
    Confirm,
    /// Changes the replicas.
    Change(ReplicaChange),
    /// Hands leadership over.
    HandOver,
}

/// The answer to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GroupAnswer {
    /// To a command.
    State(StateAnswer),
    /// To [`GroupRequest::Confirm`]: the number of the state.
    Confirmed(u64),
    /// To a change or a hand-over: it is done.
    Done,
}

/// A request's end.
pub type AnswerPair = (RequestNumber, Result<GroupAnswer, ReplicaFault>);

/// One replica with its state.
#[derive(Clone, Debug)]
pub struct GroupReplica {
    group: GroupNumber,
    core: ReplicaCore,
    state: GroupState,
    applied: u64,
    commands: BTreeMap<u64, (u64, RequestNumber)>,
    reads: Vec<(RequestNumber, Moment)>,
    changes: Vec<(RequestNumber, ReplicaChange)>,
    hand_overs: Vec<RequestNumber>,
    led_term: Option<u64>,
    answers: Vec<AnswerPair>,
}

/// What a snapshot is made from. Cheap to make: the state's copy shares its content.
#[derive(Clone, Debug)]
pub struct SnapshotSource {
    index: u64,
    term: u64,
    seats: SeatList,
    state: GroupState,
}

impl SnapshotSource {
    /// Makes the snapshot, which takes a while.
    pub fn image(self) -> SnapshotImage {
        let bytes = Arc::from(self.state.encode());
        SnapshotImage { index: self.index, term: self.term, seats: self.seats, bytes }
    }
}

impl GroupReplica {
    /// Opens a replica from what it remembers.
    ///
    /// # Errors
    ///
    /// Fails when the snapshot holds something else than this group's state.
    pub fn open(
        group: GroupNumber,
        parts: CoreParts,
        now: Moment,
    ) -> Result<Self, postcard::Error> {
        let core = ReplicaCore::open(parts, now);
        let mut replica = Self {
            group,
            core,
            state: GroupState::open(group),
            applied: 0,
            commands: BTreeMap::new(),
            reads: Vec::new(),
            changes: Vec::new(),
            hand_overs: Vec::new(),
            led_term: None,
            answers: Vec::new(),
        };
        replica.load_snapshot()?;
        replica.apply_committed()?;
        Ok(replica)
    }

    /// Returns the rules' side.
    pub fn core(&self) -> &ReplicaCore {
        &self.core
    }

    /// Returns the state.
    pub fn state(&self) -> &GroupState {
        &self.state
    }

    /// Returns the last entry that the state holds.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// Takes note that time has passed.
    ///
    /// # Errors
    ///
    /// Fails as [`Self::step`] does.
    pub fn tick(&mut self, now: Moment) -> Result<(), postcard::Error> {
        self.core.tick(now);
        self.settle(now)
    }

    /// Takes a message.
    ///
    /// # Errors
    ///
    /// Fails when a snapshot that arrived whole holds something else than this group's state.
    pub fn step(
        &mut self,
        now: Moment,
        member: &MemberName,
        from: ReplicaId,
        message: ReplicaMessage,
    ) -> Result<(), postcard::Error> {
        self.core.step(now, member, from, message);
        self.settle(now)
    }

    /// Takes note that all that was taken is durable.
    ///
    /// # Errors
    ///
    /// Fails as [`Self::step`] does.
    pub fn synced(&mut self, now: Moment) -> Result<(), postcard::Error> {
        self.core.synced(now);
        self.settle(now)
    }

    /// Takes what is to be sent and made durable.
    pub fn take_output(&mut self) -> CoreOutput {
        self.core.take_output()
    }

    /// Takes the ends of requests.
    pub fn take_answers(&mut self) -> Vec<AnswerPair> {
        mem::take(&mut self.answers)
    }

    /// Takes a request. Its end comes with [`Self::take_answers`].
    pub fn request(&mut self, now: Moment, number: RequestNumber, request: GroupRequest) {
        let begun = match request {
            GroupRequest::Command(command) => self.command(number, &command),
            GroupRequest::Confirm => self.confirm(now, number),
            GroupRequest::Change(change) => self.change(number, change),
            GroupRequest::HandOver => self.hand_over(now, number),
        };
        if let Err(fault) = begun {
            self.answers.push((number, Err(fault)));
        }
    }

    fn command(
        &mut self,
        number: RequestNumber,
        command: &StateCommand,
    ) -> Result<(), ReplicaFault> {
        let bytes = postcard::to_stdvec(command).expect("domain types have a postcard form");
        let (size, limit) = (bytes.len(), ENTRY_LIMIT);
        if size > limit {
            return Err(refused(RefusalReason::TooLarge { size, limit }));
        }
        if self.core.uncommitted() >= WAITING_LIMIT {
            let again_ms = u32::try_from(COME_BACK.as_millis()).unwrap_or(u32::MAX);
            return Err(refused(RefusalReason::Overloaded { again_ms }));
        }
        let place = self.core.propose(Arc::from(bytes));
        let (index, term) = place.ok_or_else(|| self.not_leader())?;
        self.led_term = Some(term);
        self.commands.insert(index, (term, number));
        Ok(())
    }

    fn confirm(&mut self, now: Moment, number: RequestNumber) -> Result<(), ReplicaFault> {
        if !self.core.is_leader() {
            return Err(self.not_leader());
        }
        self.led_term = Some(self.core.term());
        self.reads.push((number, now));
        self.answer_reads(now);
        Ok(())
    }

    fn change(&mut self, number: RequestNumber, change: ReplicaChange) -> Result<(), ReplicaFault> {
        if !self.core.is_leader() {
            return Err(self.not_leader());
        }
        self.core.begin_change(&change).map_err(refused)?;
        self.led_term = Some(self.core.term());
        self.changes.push((number, change));
        Ok(())
    }

    fn hand_over(&mut self, now: Moment, number: RequestNumber) -> Result<(), ReplicaFault> {
        if !self.core.is_leader() {
            self.answers.push((number, Ok(GroupAnswer::Done)));
            return Ok(());
        }
        if !self.core.begin_transfer(now) {
            return Err(refused(RefusalReason::NoSuccessor));
        }
        self.led_term = Some(self.core.term());
        self.hand_overs.push(number);
        Ok(())
    }

    fn not_leader(&self) -> ReplicaFault {
        let leader = self.core.leader().filter(|leader| leader != self.core.member());
        ReplicaFault::NotLeader { leader }
    }

    fn settle(&mut self, now: Moment) -> Result<(), postcard::Error> {
        self.load_snapshot()?;
        self.apply_committed()?;
        self.end_leadership();
        self.answer_reads(now);
        self.answer_changes();
        Ok(())
    }

    fn load_snapshot(&mut self) -> Result<(), postcard::Error> {
        let Some(image) = self.core.snapshot() else { return Ok(()) };
        if image.index > self.applied {
            self.state = GroupState::decode(self.group, &image.bytes)?;
            self.applied = image.index;
        }
        Ok(())
    }

    fn apply_committed(&mut self) -> Result<(), postcard::Error> {
        while let Some(entry) = self.core.committed_entry(self.applied + 1) {
            self.applied = entry.index;
            let (term, index) = (entry.term, entry.index);
            let command = match &entry.body {
                // A command that this version does not know must end the replica: one that skipped
                // it would go on with another state than the others.
                EntryBody::Command(bytes) => Some(postcard::from_bytes(bytes)?),
                EntryBody::Blank | EntryBody::Seats(_) => None,
            };
            let answer = command.and_then(|command| self.state.apply(command));
            self.answer_command(index, term, answer);
        }
        Ok(())
    }

    fn answer_command(&mut self, index: u64, term: u64, answer: Option<StateAnswer>) {
        let Some((asked, number)) = self.commands.remove(&index) else { return };
        let end = match answer {
            Some(answer) if asked == term => Ok(GroupAnswer::State(answer)),
            _ => Err(ReplicaFault::NoMajority),
        };
        self.answers.push((number, end));
    }

    /// Ends what waits for a leadership that is over. The next leader may commit it all the same, but
    /// this replica would learn that too late to be of use: whoever asked is told at once, and sends
    /// the same again to the next leader.
    fn end_leadership(&mut self) {
        let leads = self.core.is_leader().then(|| self.core.term());
        if self.led_term.is_none() || self.led_term == leads {
            return;
        }
        self.led_term = None;
        let handed_over = mem::take(&mut self.hand_overs).into_iter();
        self.answers.extend(handed_over.map(|number| (number, Ok(GroupAnswer::Done))));
        let commands = mem::take(&mut self.commands).into_values().map(|(_, number)| number);
        let reads = mem::take(&mut self.reads).into_iter().map(|(number, _)| number);
        let changes = mem::take(&mut self.changes).into_iter().map(|(number, _)| number);
        let lost = commands.chain(reads).chain(changes);
        self.answers.extend(lost.map(|number| (number, Err(ReplicaFault::NoMajority))));
    }

    fn answer_reads(&mut self, now: Moment) {
        let number = self.state.number();
        let core = &self.core;
        let answers = &mut self.answers;
        self.reads.retain(|(request, asked)| {
            let ready = core.may_read(*asked, now);
            if ready {
                answers.push((*request, Ok(GroupAnswer::Confirmed(number))));
            }
            !ready
        });
    }

    fn answer_changes(&mut self) {
        let core = &self.core;
        let answers = &mut self.answers;
        self.changes.retain(|(request, change)| {
            let done = core.is_seated(change);
            if done {
                answers.push((*request, Ok(GroupAnswer::Done)));
            }
            !done
        });
        if self.core.takes_commands() {
            let stayed = mem::take(&mut self.hand_overs).into_iter();
            let fault = refused(RefusalReason::NoSuccessor);
            self.answers.extend(stayed.map(|number| (number, Err(fault.clone()))));
        }
    }

    /// Forgets requests whose askers have gone.
    pub fn forget(&mut self, gone: impl Fn(RequestNumber) -> bool) {
        self.commands.retain(|_, (_, number)| !gone(*number));
        self.reads.retain(|(number, _)| !gone(*number));
        self.changes.retain(|(number, _)| !gone(*number));
        self.hand_overs.retain(|number| !gone(*number));
    }

    /// Returns what a snapshot of the state is made from, if it holds more than the last one.
    pub fn snapshot_source(&self) -> Option<SnapshotSource> {
        let index = self.applied;
        if index <= self.core.log().base_index() {
            return None;
        }
        let (term, seats) = self.core.place_of(index)?;
        Some(SnapshotSource { index, term, seats, state: self.state.clone() })
    }

    /// Cuts the log at a snapshot of this replica's own that is stored already.
    pub fn compact(&mut self, image: SnapshotImage) {
        self.core.compact(image);
    }

    /// Returns what operators are shown.
    pub fn row(&self) -> GroupRow {
        let seats = self.core.seats();
        let members = |votes: bool| {
            let of_kind = seats.seats.iter().filter(move |seat| seat.votes == votes);
            of_kind.map(|seat| seat.member.clone()).collect()
        };
        GroupRow {
            group: self.group,
            role: self.core.shown_role(),
            term: self.core.term(),
            leader: self.core.leader(),
            committed: self.core.commit(),
            voters: members(true),
            learners: members(false),
        }
    }
}

fn refused(reason: RefusalReason) -> ReplicaFault {
    ReplicaFault::Refused { reason }
}

/// How often a replica is told that time has passed.
pub const TICK_PERIOD: Duration = Duration::from_millis(25);
