//! Changes of the replicas, one at a time (dissertation, sections 4.1 and 4.2).

use crate::{
    fault::RefusalReason,
    replica::{
        core::{ReplicaCore, RoleState},
        entry::{EntryBody, ReplicaSeat, SeatList},
        progress::PeerProgress,
    },
};
use model::{names::MemberName, ports::ReplicaChange};

/// How many entries a learner may lack when it becomes a voter: what one packet carries. It then
/// delays a commit by one round trip at most (dissertation, section 4.2.1).
const CAUGHT_UP: u64 = 64;

impl ReplicaCore {
    /// Begins a change of the replicas. It is done when [`Self::is_seated`] says so.
    ///
    /// A VM that is added learns first and votes once it has caught up. One that is added again with
    /// another identity had its disk replaced: its old voter goes in the same step in which the new
    /// learner comes, which changes the voters by one. So each step's majorities overlap.
    ///
    /// # Errors
    ///
    /// Fails when another change is under way or this one makes no sense.
    pub fn begin_change(&mut self, change: &ReplicaChange) -> Result<(), RefusalReason> {
        // A leader changes nothing before it has committed an entry of its own term: else a change
        // of an earlier leader, which it does not know to be lost, could be undone by halves (the
        // correction of July 2015 to the dissertation's single-server changes).
        if !self.knows_commit() || !self.seats_committed() || !self.seats_settled() {
            return Err(RefusalReason::ChangeUnderWay);
        }
        let next = match change {
            ReplicaChange::Add { member } => self.with_learner(member)?,
            ReplicaChange::Remove { member } => self.without(member)?,
        };
        if next.voters().next().is_none() {
            let (ReplicaChange::Add { member } | ReplicaChange::Remove { member }) = change;
            return Err(RefusalReason::LastVoter { member: member.clone() });
        }
        self.put_seats(next);
        Ok(())
    }

    fn with_learner(&self, member: &MemberName) -> Result<SeatList, RefusalReason> {
        let unknown = RefusalReason::UnknownReplica { member: member.clone() };
        let id = *self.known.get(member).ok_or(unknown)?;
        if self.seats().seat(id).is_some() {
            return Err(RefusalReason::NothingToChange { member: member.clone() });
        }
        let seat = ReplicaSeat { member: member.clone(), id, votes: false };
        Ok(self.seats().with(member, Some(seat)))
    }

    fn without(&self, member: &MemberName) -> Result<SeatList, RefusalReason> {
        let missing = RefusalReason::NothingToChange { member: member.clone() };
        self.seats().seat_of(member).ok_or(missing)?;
        Ok(self.seats().with(member, None))
    }

    /// Tells whether all committed entries are known to be: one of the own term is among them.
    pub fn knows_commit(&self) -> bool {
        matches!(&self.role, RoleState::Leader(state) if self.commit >= state.first_index)
    }

    /// Tells whether a change is done: the seats in force are committed and hold it.
    pub fn is_seated(&self, change: &ReplicaChange) -> bool {
        let seats = self.seats();
        self.seats_committed()
            && match change {
                ReplicaChange::Add { member } => {
                    seats.seat_of(member).is_some_and(|seat| seat.votes)
                }
                ReplicaChange::Remove { member } => seats.seat_of(member).is_none(),
            }
    }

    fn seats_settled(&self) -> bool {
        self.seats().seats.iter().all(|seat| seat.votes || self.is_abandoned(seat))
    }

    /// Tells whether a learner has never been heard in this term. It may be gone for good, and must
    /// not stand in the way of a repair elsewhere.
    fn is_abandoned(&self, seat: &ReplicaSeat) -> bool {
        let RoleState::Leader(state) = &self.role else { return false };
        state.peers.get(&seat.id).is_none_or(|peer| peer.matched == 0)
    }

    /// Makes a learner that has caught up a voter.
    pub(crate) fn promote_learner(&mut self) {
        if !self.knows_commit() || !self.seats_committed() {
            return;
        }
        let last = self.log.last_index();
        let RoleState::Leader(state) = &self.role else { return };
        let caught_up = |seat: &&ReplicaSeat| {
            !seat.votes
                && state
                    .peers
                    .get(&seat.id)
                    .is_some_and(|peer| peer.matched > 0 && peer.matched + CAUGHT_UP >= last)
        };
        let Some(seat) = self.seats().seats.iter().find(caught_up).cloned() else { return };
        let member = seat.member.clone();
        let next = self.seats().with(&member, Some(ReplicaSeat { votes: true, ..seat }));
        self.put_seats(next);
    }

    fn put_seats(&mut self, next: SeatList) {
        let (now, last) = (self.now, self.log.last_index());
        self.append_own(EntryBody::Seats(next));
        let others = self.others();
        let Some(state) = self.leader_state() else { return };
        state.peers.retain(|id, _| others.iter().any(|peer| peer.id == *id));
        for peer in others {
            state.peers.entry(peer.id).or_insert_with(|| PeerProgress::open(now, last));
        }
    }
}
