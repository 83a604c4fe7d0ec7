//! The steps of a drawn schedule: what may happen next, how often, and which losses a group can bear.

use super::{DISKS_BORNE, SEATS_WANTED, World};
use control::{
    group::GroupRequest,
    replica::{
        entry::{EntryBody, SeatList},
        message::ReplicaMessage,
    },
};
use model::{numbers::GroupNumber, ports::ReplicaChange};
use rand::{Rng, seq::IndexedRandom};

impl World {
    /// Runs one drawn schedule, then heals all and checks that the group works.
    pub fn run(&mut self, steps: u32) {
        for _ in 0..steps {
            self.step();
        }
        self.heal();
    }

    fn step(&mut self) {
        if self.bad_disks && self.random.random_ratio(1, 100) {
            return self.step_clock();
        }
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
            982..992 if self.kept.is_some() => self.step_loss(),
            982..992 => self.step_change(),
            992..996 => self.step_hand_over(),
            _ if self.kept.is_some() => self.step_loss(),
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
        let count = self.nodes.len();
        let (from, to) = (self.random.random_range(0..count), self.random.random_range(0..count));
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

    /// Has a VM lose its disk, or go for good while another comes, if the group can bear it: of the seats
    /// in any list that may win, so few disks are lost that a majority is left.
    fn step_loss(&mut self) {
        if !self.bears_a_loss() {
            return;
        }
        let here: Vec<_> = (0..self.nodes.len()).filter(|&index| !self.is_absent(index)).collect();
        let Some(&index) = here.choose(&mut self.random) else { return };
        let newcomer = self.kept.as_ref().and_then(|kept| kept.to_come.first().copied());
        match newcomer.filter(|_| self.random.random_ratio(1, 2)) {
            Some(newcomer) => {
                self.retire(index);
                self.arrive(newcomer);
            }
            None => self.lose_disk(index),
        }
    }

    /// Lists the seats that may be in force, by any disk and any memory. `None`: some are on their way.
    fn seats_anywhere(&self) -> Option<Vec<SeatList>> {
        let in_flight = self.flights.iter().any(|flight| match &flight.out.message {
            ReplicaMessage::Append { entries, .. } => {
                entries.iter().any(|entry| matches!(entry.body, EntryBody::Seats(_)))
            }
            ReplicaMessage::Chunk { .. } => true,
            _ => false,
        });
        let on_disk = self.nodes.iter().flat_map(|node| node.disk.log.seat_lists().pop());
        let replicas = self.nodes.iter().filter_map(|node| node.replica.as_ref());
        let in_memory = replicas.map(|replica| replica.core().seats().clone());
        let lists = on_disk.map(|(_, list)| list).chain(in_memory);
        (!in_flight).then(|| lists.filter(|list| !list.seats.is_empty()).collect())
    }

    /// Tells whether another disk may be lost: no list that may be in force then lacks a majority.
    fn bears_a_loss(&self) -> bool {
        let lives = |id| {
            let nodes = self.nodes.iter().enumerate();
            let mut living = nodes.filter(|(index, _)| !self.is_absent(*index));
            living.any(|(_, node)| node.id == id)
        };
        let bears = |list: &SeatList| {
            let lost = list.voters().filter(|seat| !lives(seat.id)).count();
            list.voters().count() >= SEATS_WANTED && lost < DISKS_BORNE
        };
        self.seats_anywhere().is_some_and(|lists| lists.iter().all(bears))
    }

    fn is_repaired(&self, lost: usize) -> bool {
        let Some(index) = self.leader() else { return false };
        let core = self.replica(index).core();
        core.seats().has_voter(self.nodes[lost].id) && core.seats_committed()
    }

    fn seats_are_whole(&self) -> bool {
        let live = |id| self.nodes.iter().any(|node| node.id == id);
        let whole =
            |list: &SeatList| list.voters().count() >= 3 && list.voters().all(|seat| live(seat.id));
        self.seats_anywhere().is_some_and(|lists| lists.iter().all(whole))
    }
}
