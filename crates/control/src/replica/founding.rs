//! How a group comes to be.
//!
//! The first of the founders writes the founding record, the first entry of the log, once each other
//! founder has said that it holds nothing of the group either. The record names each founder's VM and
//! identity. The others get it like each entry. So:
//!
//! - a founder whose disk was replaced hears from the others that the group is founded, and stays
//!   empty until a replica change adds it;
//! - a first founder that lost its disk right after it wrote the record founds again only if nobody
//!   else held an entry, so nothing was ever committed. It founds in a later term than any that the
//!   others have voted in: its first self may have led such a term, and its entries may still be on
//!   their way. Two records of one term could not be told from each other.

use std::collections::BTreeSet;

use crate::replica::{
    core::{HeardHello, OutMessage, ReplicaCore, Sender},
    entry::{EntryBody, ReplicaSeat, SeatList},
    log::LogWrite,
    message::{HelloMessage, ReplicaMessage},
    timing::{ELECTION_MAX, HELLO_FRESH, HELLO_PERIOD},
};
use model::{moment::Moment, names::MemberName};
use xxhash_rust::xxh3::xxh3_64;

impl ReplicaCore {
    pub(crate) fn tick_unfounded(&mut self, now: Moment) {
        if now < self.hello_at {
            return;
        }
        self.hello_at = now + HELLO_PERIOD;
        self.found_when_agreed(now);
        if self.is_founded() {
            return;
        }
        self.send_hellos();
    }

    /// Shows itself to the group while it has no part in it: one that was removed, with its old log.
    /// Without that no leader would know its identity, and it could not be added again.
    pub(crate) fn tick_outside(&mut self, now: Moment) {
        let alone = now.since(self.heard) > ELECTION_MAX;
        if alone && now >= self.hello_at {
            self.hello_at = now + HELLO_PERIOD;
            self.send_hellos();
        }
    }

    fn send_hellos(&mut self) {
        let message = ReplicaMessage::Hello(self.hello(self.nonce, false));
        let seated = self.seats().seats.iter().map(|seat| &seat.member);
        let others: BTreeSet<&MemberName> = self.founders.iter().chain(seated).collect();
        let others = others.into_iter().filter(|other| **other != self.member);
        let hello =
            |to: &MemberName| OutMessage { to: to.clone(), id: None, message: message.clone() };
        let hellos: Vec<OutMessage> = others.map(hello).collect();
        self.output.early.extend(hellos);
    }

    fn hello(&self, nonce: u64, answer: bool) -> HelloMessage {
        let founders = founders_digest(&self.founders);
        HelloMessage { nonce, founders, term: self.term, founded: self.is_founded(), answer }
    }

    pub(crate) fn on_hello(&mut self, now: Moment, from: &Sender, hello: &HelloMessage) {
        if !hello.answer {
            let answer = ReplicaMessage::Hello(self.hello(hello.nonce, true));
            self.send_early(from, answer);
            return;
        }
        if hello.nonce != self.nonce || self.is_founded() {
            return;
        }
        let alike = hello.founders == founders_digest(&self.founders);
        if hello.founded || !alike {
            self.hellos.remove(&from.member);
            return;
        }
        let heard = HeardHello { id: from.id, term: hello.term, heard: now };
        self.hellos.insert(from.member.clone(), heard);
        self.found_when_agreed(now);
    }

    fn found_when_agreed(&mut self, now: Moment) {
        if self.founders.iter().min() != Some(&self.member) {
            return;
        }
        let seat = |member: &MemberName| {
            let id = match *member == self.member {
                true => self.id,
                false => {
                    let hello = self.hellos.get(member)?;
                    (now.since(hello.heard) < HELLO_FRESH).then_some(hello.id)?
                }
            };
            Some(ReplicaSeat { member: member.clone(), id, votes: true })
        };
        let Some(seats) = self.founders.iter().map(seat).collect::<Option<Vec<_>>>() else {
            return;
        };
        self.found(now, SeatList { seats });
    }

    fn found(&mut self, now: Moment, list: SeatList) {
        let terms = self.hellos.values().map(|hello| hello.term);
        self.term = terms.chain([self.term]).max().unwrap_or(0) + 1;
        self.vote = None;
        self.write_vote();
        let index = self.append_own(EntryBody::Seats(list));
        debug_assert_eq!(index, 1);
        debug_assert!(matches!(self.output.writes.last(), Some(LogWrite::Append { .. })));
        self.become_follower(now, None);
        if self.seats().quorum() == 1 {
            self.election_at = now;
        }
    }
}

fn founders_digest(founders: &[MemberName]) -> u64 {
    let mut names: Vec<&str> = founders.iter().map(MemberName::as_str).collect();
    names.sort_unstable();
    xxh3_64(names.join(",").as_bytes())
}
