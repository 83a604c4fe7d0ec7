//! Single rules of replication that drawn schedules seldom or never reach, on one replica as a value.

use std::{sync::Arc, time::Duration};

use control::replica::{
    core::{CoreParts, ReplicaCore},
    entry::{EntryBody, LogEntry, ReplicaId, ReplicaSeat, SeatList},
    log::{LogWrite, ReplicaMemory},
    message::ReplicaMessage,
    timing::{ELECTION_MAX, ELECTION_MIN, LEASE},
};
use googletest::prelude::*;
use model::{moment::Moment, names::MemberName, ports::ReplicaChange};

/// When the replicas start. Not the origin: a replica that starts has heard nobody since then.
fn start() -> Moment {
    Moment::from_millis(10_000)
}

fn member(number: u64) -> MemberName {
    format!("vm-{number}").parse().unwrap()
}

fn seats(ids: &[u64]) -> SeatList {
    let seat = |&id: &u64| ReplicaSeat { member: member(id), id: ReplicaId(id), votes: true };
    SeatList { seats: ids.iter().map(seat).collect() }
}

fn entry(term: u64, index: u64, body: EntryBody) -> LogEntry {
    LogEntry { term, index, body }
}

/// Replica 1 of three, with the founding entry and what is given behind it.
fn replica(term: u64, more: Vec<LogEntry>) -> ReplicaCore {
    let mut entries = vec![entry(1, 1, EntryBody::Seats(seats(&[1, 2, 3])))];
    entries.extend(more);
    let mut memory = ReplicaMemory::default();
    assert!(memory.repeat(LogWrite::Vote { term, vote: None }));
    assert!(memory.repeat(LogWrite::Append { entries }));
    assert!(memory.repeat(LogWrite::Commit { index: 1 }));
    let founders = (1..=3).map(member).collect();
    let parts = CoreParts { member: member(1), id: ReplicaId(1), founders, seed: 1, memory };
    ReplicaCore::open(parts, start())
}

fn sync(core: &mut ReplicaCore, now: Moment) -> Vec<ReplicaMessage> {
    let output = core.take_output();
    core.synced(now);
    let messages = output.early.into_iter().chain(output.late);
    messages.map(|out| out.message).collect()
}

fn step(core: &mut ReplicaCore, now: Moment, from: u64, message: ReplicaMessage) {
    core.step(now, &member(from), ReplicaId(from), message);
}

fn vote(core: &mut ReplicaCore, now: Moment, from: u64, pre: bool) {
    let term = if pre { core.term() + 1 } else { core.term() };
    step(core, now, from, ReplicaMessage::VoteReply { term, pre, granted: true });
}

/// Makes the replica leader by the votes of another.
fn elect(core: &mut ReplicaCore, voter: u64) -> Moment {
    let now = start() + ELECTION_MAX;
    core.tick(now);
    vote(core, now, voter, true);
    sync(core, now);
    vote(core, now, voter, false);
    sync(core, now);
    now
}

fn reply(core: &ReplicaCore, index: u64, sent: Moment) -> ReplicaMessage {
    let (term, stamp) = (core.term(), sent.as_micros());
    ReplicaMessage::AppendReply { term, matched: true, index, stamp }
}

// An accepted change would be lost (paper, figure 8).
// A leader of term 4 counts an entry of term 2 on a majority and calls it committed; it is lost, and a
// replica with an entry of term 3 in that place is elected. Only entries of the own term are counted.
#[gtest]
fn an_entry_of_an_earlier_term_is_not_committed_by_count() {
    let command = EntryBody::Command(Arc::from(vec![0; 200_000]));
    let mut core = replica(3, vec![entry(2, 2, command)]);
    let now = elect(&mut core, 2);
    expect_true!(core.is_leader());
    let second = reply(&core, 2, now);
    step(&mut core, now, 2, second);
    expect_that!(core.commit(), eq(1));
    let own = reply(&core, 3, now);
    step(&mut core, now, 2, own);
    expect_that!(core.commit(), eq(3));
}

// Two leaders could be elected for one term.
// A VM's disk was replaced; its new replica has forgotten the vote that the old one gave. Its votes are
// not those of a voter in force.
#[gtest]
fn a_vote_of_a_replaced_disk_does_not_count() {
    let mut core = replica(1, Vec::new());
    let now = start() + ELECTION_MAX;
    core.tick(now);
    let term = core.term() + 1;
    let granted = ReplicaMessage::VoteReply { term, pre: true, granted: true };
    core.step(now, &member(2), ReplicaId(99), granted);
    expect_that!(core.term(), eq(1));
    vote(&mut core, now, 2, true);
    sync(&mut core, now);
    let granted = ReplicaMessage::VoteReply { term, pre: false, granted: true };
    core.step(now, &member(2), ReplicaId(99), granted);
    expect_false!(core.is_leader());
    vote(&mut core, now, 2, false);
    expect_true!(core.is_leader());
}

fn ask_vote(term: u64, transfer: bool) -> ReplicaMessage {
    ReplicaMessage::VoteAsk { term, last_index: 9, last_term: 9, pre: false, transfer }
}

fn grants(messages: &[ReplicaMessage]) -> bool {
    messages.iter().any(|m| matches!(m, ReplicaMessage::VoteReply { granted: true, .. }))
}

// An operator would be shown an old configuration as the latest.
// A follower answers its leader, restarts, and votes at once for another; the leader still counts on
// its lease. A replica that restarted keeps the promise that it may have given before.
#[gtest]
fn a_replica_that_restarted_votes_only_after_the_shortest_election_time() {
    let mut core = replica(1, Vec::new());
    let early = start() + (ELECTION_MIN - Duration::from_millis(1));
    step(&mut core, early, 2, ask_vote(2, false));
    expect_false!(grants(&sync(&mut core, early)));
    expect_that!(core.term(), eq(1));
    let later = start() + ELECTION_MIN;
    step(&mut core, later, 2, ask_vote(2, false));
    expect_true!(grants(&sync(&mut core, later)));
}

// One term, one vote: also when the vote was given before a restart.
#[gtest]
fn a_vote_is_remembered() {
    let mut core = replica(1, Vec::new());
    let now = start() + ELECTION_MIN;
    step(&mut core, now, 2, ask_vote(2, false));
    let output = core.take_output();
    expect_true!(output.writes.contains(&LogWrite::Vote { term: 2, vote: Some(ReplicaId(2)) }));
    expect_that!(output.early, is_empty());
    core.synced(now);
    step(&mut core, now, 3, ask_vote(2, false));
    expect_false!(grants(&sync(&mut core, now)));
}

// An operator would be shown an old configuration as the latest.
// The leader asked a follower to take over, the message was late, and the leader went on. When it
// arrives, the others vote against their promise. So the lease counts no more in that term.
#[gtest]
fn a_leader_that_asked_for_a_takeover_reads_only_by_a_fresh_round() {
    let mut core = replica(1, Vec::new());
    let now = elect(&mut core, 2);
    let own = reply(&core, 2, now);
    step(&mut core, now, 2, own.clone());
    let asked = now + Duration::from_millis(1);
    expect_true!(core.may_read(asked, asked));
    expect_true!(core.begin_transfer(asked));
    expect_false!(core.may_read(asked, asked));
    let fresh = asked + Duration::from_millis(1);
    let answer = reply(&core, 2, fresh);
    step(&mut core, fresh, 2, answer);
    expect_true!(core.may_read(asked, fresh));
}

#[gtest]
fn a_lease_ends_before_the_followers_promise_does() {
    let mut core = replica(1, Vec::new());
    let now = elect(&mut core, 2);
    let own = reply(&core, 2, now);
    step(&mut core, now, 2, own);
    let last = now + (LEASE - Duration::from_millis(1));
    expect_true!(core.may_read(last, last));
    expect_false!(core.may_read(now + LEASE, now + LEASE));
    expect_that!(LEASE, lt(ELECTION_MIN));
}

// Two majorities that do not overlap could each accept another change.
// A second change of the seats begins before the first is committed, or before the leader knows which
// changes of an earlier leader are committed.
#[gtest]
fn seats_change_one_at_a_time_and_after_an_entry_of_the_own_term() {
    let mut core = replica(1, Vec::new());
    let now = elect(&mut core, 2);
    let change = ReplicaChange::Remove { member: member(3) };
    expect_that!(core.begin_change(&change), err(anything()));
    let own = reply(&core, 2, now);
    step(&mut core, now, 2, own);
    expect_that!(core.begin_change(&change), ok(anything()));
    let other = ReplicaChange::Remove { member: member(2) };
    expect_that!(core.begin_change(&other), err(anything()));
    sync(&mut core, now);
    let seated = reply(&core, 3, now);
    step(&mut core, now, 2, seated);
    expect_true!(core.is_seated(&change));
}
