//! Elections: pre-vote, votes, and taking over.

use crate::replica::{
    core::{LeaderState, ReplicaCore, RoleState, Sender},
    entry::{EntryBody, ReplicaId},
    message::ReplicaMessage,
    progress::PeerProgress,
    timing::ELECTION_MIN,
};
use model::moment::Moment;

impl ReplicaCore {
    /// Asks first whether votes would be granted (dissertation, section 9.6). Without it a replica
    /// that hears nobody counts its term up for as long as it is cut off, and unseats a working
    /// leader when it is back.
    pub(crate) fn start_election(&mut self, now: Moment) {
        self.draw_election(now);
        self.role = RoleState::PreCandidate { granted: vec![self.id] };
        if self.seats().quorum() == 1 && self.votes_itself() {
            self.ask_votes(now, false);
            return;
        }
        self.send_vote_asks(self.term + 1, true, false);
    }

    fn ask_votes(&mut self, now: Moment, transfer: bool) {
        self.term += 1;
        self.vote = Some(self.id);
        self.write_vote();
        self.draw_election(now);
        // The own vote counts once it is durable: a replica that elects itself alone, sends entries
        // and forgets its term in a crash could lead the same term twice.
        self.role = RoleState::Candidate { granted: Vec::new(), own_durable: false };
        self.send_vote_asks(self.term, false, transfer);
    }

    fn send_vote_asks(&mut self, term: u64, pre: bool, transfer: bool) {
        let (last_index, last_term) = (self.log.last_index(), self.log.last_term());
        let ask = ReplicaMessage::VoteAsk { term, last_index, last_term, pre, transfer };
        for peer in self.others() {
            if self.seats().has_voter(peer.id) {
                self.send_late(&peer, ask.clone());
            }
        }
    }

    pub(crate) fn on_vote_ask(&mut self, now: Moment, from: &Sender, ask: &ReplicaMessage) {
        let &ReplicaMessage::VoteAsk { term, last_index, last_term, pre, transfer } = ask else {
            return;
        };
        // The promise that a leader's lease counts on (dissertation, sections 4.2.3 and 6.4.1).
        let bound = !transfer && self.has_leader(now);
        if !bound && !pre {
            self.follow_term(now, term);
        }
        let newer = (last_term, last_index) >= (self.log.last_term(), self.log.last_index());
        let free = match pre {
            true => term > self.term,
            false => term == self.term && self.vote.is_none_or(|vote| vote == from.id),
        };
        let granted = !bound && newer && free;
        if granted && !pre {
            if self.vote.is_none() {
                self.vote = Some(from.id);
                self.write_vote();
            }
            self.draw_election(now);
        }
        let term = if granted { term } else { self.term };
        self.send_late(from, ReplicaMessage::VoteReply { term, pre, granted });
    }

    /// Tells whether a leader was heard so lately that it may count on its lease.
    fn has_leader(&self, now: Moment) -> bool {
        self.is_leader() || now.since(self.heard) < ELECTION_MIN
    }

    pub(crate) fn on_vote_reply(
        &mut self,
        now: Moment,
        from: ReplicaId,
        term: u64,
        pre: bool,
        granted: bool,
    ) {
        if !granted {
            self.follow_term(now, term);
            return;
        }
        // A vote of a data folder that is not a voter's in force does not count: it may be the
        // second vote of a VM that lost its first one with its disk.
        if !self.seats().has_voter(from) {
            return;
        }
        let expected = if pre { self.term + 1 } else { self.term };
        match &mut self.role {
            RoleState::PreCandidate { granted } if pre && term == expected => note(granted, from),
            RoleState::Candidate { granted, .. } if !pre && term == expected => note(granted, from),
            _ => return,
        }
        self.count_votes(now);
    }

    /// Counts the replica's own vote, now that it is durable.
    pub(crate) fn count_own_vote(&mut self, now: Moment) {
        let id = self.id;
        if let RoleState::Candidate { granted, own_durable: own_durable @ false } = &mut self.role {
            *own_durable = true;
            note(granted, id);
            self.count_votes(now);
        }
    }

    fn count_votes(&mut self, now: Moment) {
        match &self.role {
            RoleState::PreCandidate { granted } if self.is_majority(granted) => {
                self.ask_votes(now, false);
            }
            RoleState::Candidate { granted, own_durable: true } if self.is_majority(granted) => {
                self.become_leader(now);
            }
            _ => (),
        }
    }

    /// Tells whether the voters in force among some replicas are a majority.
    fn is_majority(&self, granted: &[ReplicaId]) -> bool {
        let voters = granted.iter().filter(|id| self.seats().has_voter(**id));
        voters.count() >= self.seats().quorum()
    }

    /// Tells whether the replica asks for votes: as a voter, or as one whose removal it does not know
    /// to be committed (dissertation, section 4.2.2). Its log may be the only one that a majority of
    /// the others does not refuse; it leads then until the removal is committed, without a vote.
    pub(crate) fn may_lead(&self) -> bool {
        if self.votes_itself() {
            return true;
        }
        let before = self.seat_lists.len().checked_sub(2).map(|at| &self.seat_lists[at].1);
        !self.seats_committed() && before.is_some_and(|list| list.has_voter(self.id))
    }

    fn become_leader(&mut self, now: Moment) {
        let last = self.log.last_index();
        let progress = |peer: Sender| (peer.id, PeerProgress::open(now, last));
        let peers = self.others().into_iter().map(progress).collect();
        self.role = RoleState::Leader(LeaderState {
            peers,
            first_index: last + 1,
            heartbeat_at: now,
            transfer: None,
            asked_takeover: false,
        });
        self.append_own(EntryBody::Blank);
        self.tick_leader(now);
    }

    /// Starts an election at the leader's wish (dissertation, section 3.10). No pre-vote: the others
    /// still hear the old leader.
    pub(crate) fn on_take_over(&mut self, now: Moment, from: ReplicaId, term: u64) {
        let followed = matches!(self.role, RoleState::Follower { leader } if leader == Some(from));
        if term == self.term && followed && self.votes_itself() {
            self.ask_votes(now, true);
        }
    }
}

fn note(granted: &mut Vec<ReplicaId>, id: ReplicaId) {
    if !granted.contains(&id) {
        granted.push(id);
    }
}
