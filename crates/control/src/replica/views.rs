//! What a replica shows of itself.

use crate::replica::{
    core::{ReplicaCore, RoleState},
    entry::{LogEntry, ReplicaId, SeatList},
    log::EntryLog,
};
use model::{names::MemberName, report::ReplicaRole};

impl ReplicaCore {
    /// Returns the log.
    pub fn log(&self) -> &EntryLog {
        &self.log
    }

    /// Returns an entry that is committed, while it is not cut off.
    pub fn committed_entry(&self, index: u64) -> Option<&LogEntry> {
        self.log.entry(index).filter(|_| index <= self.commit)
    }

    /// Returns the last entry known to be committed.
    pub fn commit(&self) -> u64 {
        self.commit
    }

    /// Returns the present term.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Returns whom the replica voted for in the present term.
    pub fn vote(&self) -> Option<ReplicaId> {
        self.vote
    }

    /// Returns the replica's identity.
    pub fn id(&self) -> ReplicaId {
        self.id
    }

    /// Returns the replica's VM.
    pub fn member(&self) -> &MemberName {
        &self.member
    }

    /// Tells whether the replica leads.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, RoleState::Leader(_))
    }

    /// Returns the leader's VM, where known.
    pub fn leader(&self) -> Option<MemberName> {
        let id = match &self.role {
            RoleState::Leader(_) => return Some(self.member.clone()),
            RoleState::Follower { leader } => (*leader)?,
            RoleState::PreCandidate { .. } | RoleState::Candidate { .. } => return None,
        };
        self.seats().seat(id).map(|seat| seat.member.clone())
    }

    /// Returns what operators are shown as the role.
    pub fn shown_role(&self) -> ReplicaRole {
        let seat = self.seats().seat(self.id);
        match (&self.role, seat) {
            (_, None) => ReplicaRole::Absent,
            (RoleState::Leader(_), _) => ReplicaRole::Leader,
            (_, Some(seat)) if !seat.votes => ReplicaRole::Learner,
            (RoleState::Follower { .. }, _) => ReplicaRole::Follower,
            _ => ReplicaRole::Candidate,
        }
    }

    /// Returns the seats in force: the latest in the log, committed or not.
    pub fn seats(&self) -> &SeatList {
        static NONE: SeatList = SeatList { seats: Vec::new() };
        self.seat_lists.last().map_or(&NONE, |(_, list)| list)
    }

    /// Returns whether the seats in force are committed.
    pub fn seats_committed(&self) -> bool {
        self.seat_lists.last().is_none_or(|(index, _)| *index <= self.commit)
    }

    pub(crate) fn seats_at(&self, index: u64) -> SeatList {
        let earlier = self.seat_lists.iter().rev().find(|(place, _)| *place <= index);
        earlier.map(|(_, list)| list.clone()).unwrap_or_default()
    }
}
