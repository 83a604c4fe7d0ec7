//! A group of replicas as values: messages in a list, disks that lose what was not synced, time that
//! moves only when a schedule says so. A seed gives one schedule.

#![allow(dead_code, unreachable_pub, reason = "each test file uses its part")]

pub mod asks;
pub mod client;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use client::WorldClient;
use control::{
    fault::ReplicaFault,
    group::{GroupAnswer, GroupReplica, GroupRequest, RequestNumber},
    replica::{
        core::{CoreOutput, CoreParts, OutMessage},
        entry::{EntryBody, LogEntry, ReplicaId, SeatList},
        log::ReplicaMemory,
        message::ReplicaMessage,
    },
};
use model::{
    moment::Moment, names::MemberName, numbers::GroupNumber, ports::ReplicaChange,
    report::ReplicaRole,
};
use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_pcg::Pcg64Mcg;

pub const NAMES: [&str; 4] = ["vm-a", "vm-b", "vm-c", "vm-d"];
const FOUNDERS: usize = 3;

/// One VM: what is on its disk, and the replica if it runs.
pub struct WorldNode {
    pub member: MemberName,
    pub id: ReplicaId,
    pub disk: ReplicaMemory,
    pub replica: Option<GroupReplica>,
    pub paused: bool,
    /// How far its clock is ahead of the world's.
    pub offset: Duration,
    /// How far its wall clock is ahead, in milliseconds.
    pub skew_ms: u64,
}

/// A message on its way.
#[derive(Clone, Debug)]
pub struct Flight {
    pub from: MemberName,
    pub from_id: ReplicaId,
    pub out: OutMessage,
}

/// A fault that comes once, at a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StepFault {
    LoseMessage,
    DoubleMessage,
    DelayMessage,
    BlockLink,
    CrashSender,
    CrashReceiver,
    PauseSender,
    PauseReceiver,
    LoseReceiverDisk,
    CrashBeforeSync,
    CrashAfterSync,
}

/// When a fault comes.
#[derive(Clone, Copy, Debug)]
pub struct PlannedFault {
    pub fault: StepFault,
    /// How many messages or syncs are left before it.
    pub left: usize,
    /// The clock at which a delayed message arrives.
    pub until: Moment,
}

/// A group of replicas.
pub struct World {
    pub random: Pcg64Mcg,
    pub group: GroupNumber,
    pub now: Moment,
    pub nodes: Vec<WorldNode>,
    pub flights: Vec<Flight>,
    pub delayed: Vec<(Moment, Flight)>,
    pub blocked: BTreeSet<(MemberName, MemberName)>,
    pub client: WorldClient,
    pub leaders: BTreeMap<u64, ReplicaId>,
    pub committed: BTreeMap<u64, LogEntry>,
    pub digests: BTreeMap<u64, (u64, u64)>,
    pub checked: BTreeMap<ReplicaId, u64>,
    /// The ends of requests that a test made itself.
    pub ends: BTreeMap<RequestNumber, Result<GroupAnswer, ReplicaFault>>,
    /// The chance of a crash at each sync, in percent.
    pub crash_percent: u32,
    /// A fault to come at a step, counted in messages and syncs.
    pub planned: Option<PlannedFault>,
    /// Whether messages with entries are lost.
    pub lose_entries: bool,
    lost_disk: Option<usize>,
    next_id: u64,
}

impl World {
    pub fn open(seed: u64, group: GroupNumber) -> Self {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let node = |index: usize| WorldNode {
            member: NAMES[index].parse().unwrap(),
            id: ReplicaId(index as u64 + 1),
            disk: ReplicaMemory::default(),
            replica: None,
            paused: false,
            offset: Duration::from_millis(random.random_range(0..100_000)),
            skew_ms: random.random_range(0..2_000),
        };
        let nodes = (0..NAMES.len()).map(node).collect();
        let mut world = Self {
            random,
            group,
            now: Moment::from_millis(1_000),
            nodes,
            flights: Vec::new(),
            delayed: Vec::new(),
            blocked: BTreeSet::new(),
            client: WorldClient::open(group),
            leaders: BTreeMap::new(),
            committed: BTreeMap::new(),
            digests: BTreeMap::new(),
            checked: BTreeMap::new(),
            ends: BTreeMap::new(),
            crash_percent: 1,
            planned: None,
            lose_entries: false,
            lost_disk: None,
            next_id: 100,
        };
        for index in 0..NAMES.len() {
            world.start(index);
        }
        world
    }

    pub fn start(&mut self, index: usize) {
        let seed = self.random.random();
        let now = self.moment(index);
        let node = &mut self.nodes[index];
        let founders = NAMES[..FOUNDERS].iter().map(|name| name.parse().unwrap()).collect();
        let memory = node.disk.clone();
        let parts = CoreParts { member: node.member.clone(), id: node.id, founders, seed, memory };
        node.replica = Some(GroupReplica::open(self.group, parts, now).expect("a sound snapshot"));
        node.paused = false;
        self.check(index);
    }

    pub fn crash(&mut self, index: usize) {
        self.nodes[index].replica = None;
    }

    /// Replaces a VM's disk by an empty one.
    pub fn lose_disk(&mut self, index: usize) {
        self.crash(index);
        self.next_id += 1;
        let node = &mut self.nodes[index];
        node.disk = ReplicaMemory::default();
        node.id = ReplicaId(self.next_id);
        self.lost_disk = Some(index);
    }

    pub fn moment(&self, index: usize) -> Moment {
        self.now + self.nodes[index].offset
    }

    pub fn wall_ms(&self, index: usize) -> u64 {
        1_700_000_000_000 + self.now.as_micros() / 1_000 + self.nodes[index].skew_ms
    }

    pub fn runs(&self, index: usize) -> bool {
        self.nodes[index].replica.is_some() && !self.nodes[index].paused
    }

    pub fn replica(&self, index: usize) -> &GroupReplica {
        self.nodes[index].replica.as_ref().expect("it runs")
    }

    pub fn leader(&self) -> Option<usize> {
        let leads = |&index: &usize| self.runs(index) && self.replica(index).core().is_leader();
        let leaders = (0..self.nodes.len()).filter(leads);
        leaders.max_by_key(|&index| self.replica(index).core().term())
    }

    pub fn advance(&mut self, millis: u64) {
        self.now = self.now + Duration::from_millis(millis);
        for index in 0..self.nodes.len() {
            if self.runs(index) {
                let now = self.moment(index);
                let replica = self.nodes[index].replica.as_mut().unwrap();
                replica.tick(now).expect("sound entries");
                self.flush(index);
            }
        }
    }

    /// Delivers one message, if its link and receiver are there.
    pub fn deliver(&mut self, flight: Flight) {
        let to = self.nodes.iter().position(|node| node.member == flight.out.to).unwrap();
        let link = (flight.from.clone(), flight.out.to.clone());
        let meant = flight.out.id.is_none_or(|id| id == self.nodes[to].id);
        let lost = self.lose_entries && has_entries(&flight.out.message);
        if !self.runs(to) || !meant || lost || self.blocked.contains(&link) {
            return;
        }
        if !self.meets_message_fault(&flight, to) {
            return;
        }
        let now = self.moment(to);
        let replica = self.nodes[to].replica.as_mut().unwrap();
        let message: ReplicaMessage = flight.out.message;
        replica.step(now, &flight.from, flight.from_id, message).expect("sound entries");
        if self.random.random_ratio(4, 5) {
            self.flush(to);
        }
    }

    /// Carries out what a replica wants done, with a crash at any step of it.
    pub fn flush(&mut self, index: usize) {
        loop {
            let Some(replica) = self.nodes[index].replica.as_mut() else { return };
            let output = replica.take_output();
            if output.early.is_empty() && output.late.is_empty() && !output.needs_sync() {
                break;
            }
            if !self.carry_out(index, output) {
                return;
            }
        }
        self.collect(index);
        self.check(index);
    }

    fn carry_out(&mut self, index: usize, output: CoreOutput) -> bool {
        self.post(index, output.early.clone());
        if output.needs_sync() {
            let fault = self.meets_sync_fault();
            if self.draws_crash() || fault == Some(StepFault::CrashBeforeSync) {
                self.crash(index);
                return false;
            }
            self.sync(index, &output);
            if self.draws_crash() || fault == Some(StepFault::CrashAfterSync) {
                self.crash(index);
                return false;
            }
            let now = self.moment(index);
            self.nodes[index].replica.as_mut().unwrap().synced(now).expect("sound entries");
        }
        self.post(index, output.late);
        true
    }

    fn meets_fault(&mut self, kind: impl Fn(StepFault) -> bool) -> Option<StepFault> {
        let planned = self.planned.as_mut().filter(|planned| kind(planned.fault))?;
        if planned.left > 0 {
            planned.left -= 1;
            return None;
        }
        let fault = planned.fault;
        self.planned = None;
        Some(fault)
    }

    fn meets_sync_fault(&mut self) -> Option<StepFault> {
        use StepFault::{CrashAfterSync, CrashBeforeSync};
        self.meets_fault(|fault| matches!(fault, CrashAfterSync | CrashBeforeSync))
    }

    /// Brings about the planned fault if this is its message. Returns whether it is delivered now.
    fn meets_message_fault(&mut self, flight: &Flight, to: usize) -> bool {
        use StepFault as F;
        let until = self.planned.map(|planned| planned.until);
        let is_sync = |fault| matches!(fault, F::CrashAfterSync | F::CrashBeforeSync);
        let Some(fault) = self.meets_fault(|fault| !is_sync(fault)) else { return true };
        let from = self.nodes.iter().position(|node| node.member == flight.from).unwrap();
        match fault {
            F::LoseMessage => return false,
            F::DoubleMessage => self.flights.insert(0, flight.clone()),
            F::DelayMessage => {
                self.delayed.push((until.unwrap(), flight.clone()));
                return false;
            }
            F::BlockLink => {
                self.blocked.insert((flight.from.clone(), flight.out.to.clone()));
                return false;
            }
            F::CrashSender => self.crash(from),
            F::CrashReceiver => {
                self.crash(to);
                return false;
            }
            F::PauseSender => self.nodes[from].paused = true,
            F::PauseReceiver => {
                self.nodes[to].paused = true;
                return false;
            }
            F::LoseReceiverDisk => {
                self.lose_disk(to);
                self.start(to);
                return false;
            }
            F::CrashBeforeSync | F::CrashAfterSync => (),
        }
        true
    }

    /// Asks a replica and lets time pass until the end is there, at most for a time.
    pub fn call(
        &mut self,
        index: usize,
        request: GroupRequest,
        millis: u64,
    ) -> Option<Result<GroupAnswer, ReplicaFault>> {
        if !self.runs(index) {
            return None;
        }
        let number = self.request(index, request);
        self.flush(index);
        let until = self.now + Duration::from_millis(millis);
        while !self.ends.contains_key(&number) && self.now < until {
            self.settle(25);
        }
        self.ends.remove(&number)
    }

    /// Asks whoever leads, again and again, as a caller does who got no answer.
    pub fn call_leader(&mut self, request: &GroupRequest) -> GroupAnswer {
        for _ in 0..40 {
            if let Some(index) = self.leader()
                && let Some(Ok(answer)) = self.call(index, request.clone(), 2_000)
            {
                return answer;
            }
            self.settle(200);
        }
        panic!("no answer\n{}", self.dump());
    }

    fn draws_crash(&mut self) -> bool {
        self.random.random_range(0..100) < self.crash_percent
    }

    fn sync(&mut self, index: usize, output: &CoreOutput) {
        let node = &mut self.nodes[index];
        let core = node.replica.as_ref().unwrap().core();
        let writes = match &output.rewrite {
            Some(image) => {
                node.disk = ReplicaMemory::from_snapshot(Some(image.clone()));
                core.whole_log()
            }
            None => output.writes.clone(),
        };
        for write in writes {
            assert!(node.disk.repeat(write), "a write that a restart would call damaged");
        }
        assert_eq!(node.disk.log, *core.log(), "the disk holds another log than the replica");
        assert_eq!(node.disk.term, core.term(), "the disk holds another term than the replica");
        assert_eq!(node.disk.vote, core.vote(), "the disk holds another vote than the replica");
    }

    fn post(&mut self, index: usize, messages: Vec<OutMessage>) {
        let (from, from_id) = (self.nodes[index].member.clone(), self.nodes[index].id);
        let flight = |out| Flight { from: from.clone(), from_id, out };
        self.flights.extend(messages.into_iter().map(flight));
    }

    pub fn request(&mut self, index: usize, request: GroupRequest) -> RequestNumber {
        let number = self.client.next_number();
        let now = self.moment(index);
        let replica = self.nodes[index].replica.as_mut().expect("it runs");
        replica.request(now, number, request);
        number
    }

    /// Takes the ends of requests to the client, which checks them.
    pub fn collect(&mut self, index: usize) {
        let Some(replica) = self.nodes[index].replica.as_mut() else { return };
        for (number, end) in replica.take_answers() {
            match self.client.asked(number) {
                true => self.client.on_end(&mut self.random, number, end),
                false => drop(self.ends.insert(number, end)),
            }
        }
    }

    /// Checks what must hold at each step.
    pub fn check(&mut self, index: usize) {
        let Some(replica) = self.nodes[index].replica.as_ref() else { return };
        let core = replica.core();
        if core.is_leader() {
            let first = *self.leaders.entry(core.term()).or_insert(core.id());
            assert_eq!(first, core.id(), "two leaders in term {}", core.term());
        }
        let from = self.checked.get(&core.id()).copied().unwrap_or(0).max(core.log().base_index());
        for place in from + 1..=core.commit() {
            let entry = core.committed_entry(place).expect("committed entries are there");
            let first = self.committed.entry(place).or_insert_with(|| entry.clone());
            assert_eq!(first, entry, "a committed entry was lost");
        }
        self.checked.insert(core.id(), core.commit());
        let (applied, number) = (replica.applied(), replica.state().number());
        if self.group == GroupNumber::CONFIG {
            let digest = replica.state().digest();
            let first = *self.digests.entry(applied).or_insert((number, digest));
            assert_eq!(first, (number, digest), "two states at entry {applied}");
        }
    }

    /// Runs one drawn schedule, then heals all and checks that the group works.
    pub fn run(&mut self, steps: u32) {
        for _ in 0..steps {
            self.step();
        }
        self.heal();
    }

    fn step(&mut self) {
        match self.random.random_range(0..1_000) {
            0..550 => {
                for _ in 0..self.random.random_range(1..6) {
                    self.step_message();
                }
            }
            550..720 => {
                let millis = self.random.random_range(5..80);
                self.advance(millis);
            }
            720..940 => self.step_client(),
            940..952 => self.step_link(),
            952..962 => self.step_pause(),
            962..974 => self.step_crash(),
            974..982 => self.step_snapshot(),
            982..992 => self.step_change(),
            992..996 => self.step_hand_over(),
            _ => self.step_disk(),
        }
    }

    fn step_message(&mut self) {
        if self.flights.is_empty() {
            return;
        }
        // Mostly the oldest, so that the group gets somewhere.
        let oldest = self.random.random_ratio(2, 3);
        let at = if oldest { 0 } else { self.random.random_range(0..self.flights.len()) };
        let flight = self.flights.remove(at);
        match self.random.random_range(0..100) {
            0..8 => (),
            8..14 => {
                self.flights.push(flight.clone());
                self.deliver(flight);
            }
            _ => self.deliver(flight),
        }
    }

    fn any_running(&mut self) -> Option<usize> {
        let running: Vec<usize> = (0..self.nodes.len()).filter(|&i| self.runs(i)).collect();
        running.choose(&mut self.random).copied()
    }

    fn step_client(&mut self) {
        let leader = self.leader().filter(|_| self.random.random_ratio(9, 10));
        let Some(index) = leader.or_else(|| self.any_running()) else { return };
        let wall = self.wall_ms(index);
        let request = self.client.draw(&mut self.random, wall);
        let number = self.request(index, request.clone());
        self.client.sent(number, request);
        if self.random.random_ratio(1, 2) {
            self.flush(index);
        }
    }

    fn step_link(&mut self) {
        if self.blocked.len() > 2 {
            self.blocked.clear();
            return;
        }
        let (from, to) = (self.random.random_range(0..4), self.random.random_range(0..4));
        let link = (self.nodes[from].member.clone(), self.nodes[to].member.clone());
        self.blocked.insert(link);
    }

    fn step_pause(&mut self) {
        let index = self.random.random_range(0..self.nodes.len());
        if self.nodes[index].replica.is_none() {
            return;
        }
        self.nodes[index].paused = !self.nodes[index].paused;
        if !self.nodes[index].paused && self.group == GroupNumber::CONFIG {
            // It wakes and is asked before it has heard anything.
            let number = self.request(index, GroupRequest::Confirm);
            self.client.sent(number, GroupRequest::Confirm);
            self.collect(index);
        }
    }

    fn step_crash(&mut self) {
        let index = self.random.random_range(0..self.nodes.len());
        match self.nodes[index].replica {
            Some(_) => self.crash(index),
            None => self.start(index),
        }
    }

    fn step_snapshot(&mut self) {
        if let Some(index) = self.any_running() {
            self.compact(index);
        }
    }

    pub fn compact(&mut self, index: usize) {
        let replica = self.nodes[index].replica.as_mut().unwrap();
        if let Some(source) = replica.snapshot_source() {
            replica.compact(source.image());
        }
        self.flush(index);
    }

    /// Starts each VM that crashed and wakes each that was paused.
    pub fn restart_all(&mut self) {
        for index in 0..self.nodes.len() {
            self.nodes[index].paused = false;
            if self.nodes[index].replica.is_none() {
                self.start(index);
            }
        }
    }

    fn step_change(&mut self) {
        let Some(index) = self.leader() else { return };
        let member = self.nodes.choose(&mut self.random).unwrap().member.clone();
        let voters = self.replica(index).row().voters.len();
        let spare = voters > 2 && self.lost_disk.is_none_or(|lost| self.is_repaired(lost));
        let change = match spare && self.random.random_ratio(1, 3) {
            true => ReplicaChange::Remove { member },
            false => ReplicaChange::Add { member },
        };
        self.request(index, GroupRequest::Change(change));
        self.flush(index);
    }

    fn step_hand_over(&mut self) {
        if let Some(index) = self.leader() {
            self.request(index, GroupRequest::HandOver);
            self.flush(index);
        }
    }

    /// Replaces one VM's disk, if the group can bear it: whichever list of seats wins, at most one of
    /// three voters is lost. Seeds 141 and 152 lost one of two, whose data nobody else needs to hold.
    fn step_disk(&mut self) {
        if self.lost_disk.is_none_or(|lost| self.is_repaired(lost)) && self.seats_are_whole() {
            let index = self.random.random_range(0..self.nodes.len());
            self.lose_disk(index);
        }
    }

    fn is_repaired(&self, lost: usize) -> bool {
        let Some(index) = self.leader() else { return false };
        let core = self.replica(index).core();
        core.seats().has_voter(self.nodes[lost].id) && core.seats_committed()
    }

    fn seats_are_whole(&self) -> bool {
        let on_disk = self.nodes.iter().flat_map(|node| node.disk.log.seat_lists().pop());
        let replicas = self.nodes.iter().filter_map(|node| node.replica.as_ref());
        let in_memory = replicas.map(|replica| (0, replica.core().seats().clone()));
        let in_flight = self.flights.iter().any(|flight| match &flight.out.message {
            ReplicaMessage::Append { entries, .. } => {
                entries.iter().any(|entry| matches!(entry.body, EntryBody::Seats(_)))
            }
            ReplicaMessage::Chunk { .. } => true,
            _ => false,
        });
        let live = |id| self.nodes.iter().any(|node| node.id == id);
        let whole = |list: &SeatList| {
            list.seats.is_empty()
                || list.voters().count() >= 3 && list.voters().all(|seat| live(seat.id))
        };
        !in_flight && on_disk.chain(in_memory).all(|(_, list)| whole(&list))
    }

    /// Delivers the oldest message alone.
    pub fn deliver_one(&mut self) {
        if !self.flights.is_empty() {
            let flight = self.flights.remove(0);
            self.deliver(flight);
        }
    }

    /// Counts the answers to pieces of a snapshot that a VM has on their way.
    pub fn chunks_answered(&self, index: usize) -> usize {
        let own = self.flights.iter().filter(|flight| flight.from == self.nodes[index].member);
        own.filter(|flight| matches!(flight.out.message, ReplicaMessage::ChunkReply { .. })).count()
    }

    /// Ends all faults and gives the group time. It must have a leader then, each voter must hold the
    /// same state, and a new request must get through.
    pub fn heal(&mut self) {
        self.blocked.clear();
        self.crash_percent = 0;
        for index in 0..self.nodes.len() {
            self.nodes[index].paused = false;
            if self.nodes[index].replica.is_none() {
                self.start(index);
            }
        }
        self.settle(6_000);
        if self.leader().is_none() {
            // An unfounded group whose founder lost its disk after it founded has no leader.
            panic!("no leader after all faults ended");
        }
        self.settle(3_000);
        self.check_alike();
        self.client.check_whole();
    }

    /// Lets time pass with each message delivered at once.
    pub fn settle(&mut self, millis: u64) {
        let until = self.now + Duration::from_millis(millis);
        while self.now < until {
            self.advance(25);
            let now = self.now;
            let due = self.delayed.extract_if(.., |(at, _)| *at <= now);
            self.flights.extend(due.map(|(_, flight)| flight));
            for _ in 0..2_000 {
                if self.flights.is_empty() {
                    break;
                }
                let flight = self.flights.remove(0);
                self.deliver(flight);
            }
            for index in 0..self.nodes.len() {
                if self.runs(index) {
                    self.flush(index);
                }
            }
        }
    }

    fn check_alike(&self) {
        let leader = self.leader().expect("a leader");
        let lead = self.replica(leader);
        let row = lead.row();
        for node in &self.nodes {
            let Some(replica) = &node.replica else { continue };
            let votes = lead.core().seats().has_voter(node.id);
            if votes && replica.core().shown_role() != ReplicaRole::Absent {
                assert_eq!(replica.applied(), lead.applied(), "{} lags: {row:?}", node.member);
                assert_eq!(replica.state().digest(), lead.state().digest(), "states differ");
            }
        }
    }

    pub fn dump(&self) -> String {
        let mut text = String::new();
        for node in &self.nodes {
            let row = node.replica.as_ref().map(GroupReplica::row);
            text += &format!("{} {:?} paused {} {row:?}\n", node.member, node.id, node.paused);
        }
        text
    }
}

fn has_entries(message: &ReplicaMessage) -> bool {
    matches!(message, ReplicaMessage::Append { entries, .. } if !entries.is_empty())
}
