//! The gossip of many VMs as values: messages are passed on by hand, time by hand, no sockets.

#![allow(dead_code, reason = "the tests use some of it, the benchmark the rest")]

use std::time::Duration;

use fleet::{
    fact::{FleetFact, MemberRecord},
    gossip::{GossipOrder, GossipState},
};
use model::{moment::Moment, names::MemberName};
use serde::Serialize;

/// One step of the time.
pub(crate) const STEP: Duration = Duration::from_millis(20);

/// The bytes around a request and its answer: length, kind, number, deadline and trace of tarpc
/// 0.38 in its compact coding, at most. Headers of TCP and IP are not counted.
pub(crate) const FRAMING: (usize, usize) = (48, 12);

/// What one VM's gossip cost.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ValueCost {
    pub(crate) messages: u64,
    pub(crate) bytes: u64,
}

/// The gossip of some VMs.
pub(crate) struct ValueFleet {
    pub(crate) nodes: Vec<GossipState>,
    pub(crate) now: Moment,
    /// Counted at the sender, of requests and of answers.
    pub(crate) costs: Vec<ValueCost>,
    /// VMs that are dead.
    pub(crate) dead: Vec<bool>,
    /// Tells whether a message from one VM to another is lost.
    pub(crate) lost: Box<dyn Fn(usize, usize) -> bool>,
}

fn size(message: &impl Serialize) -> usize {
    postcard::to_stdvec(message).map_or(0, |bytes| bytes.len())
}

impl ValueFleet {
    /// Starts VMs that all know each other.
    pub(crate) fn open(records: &[MemberRecord]) -> Self {
        let now = Moment::from_millis(60_000);
        let mut nodes = Vec::new();
        for (number, record) in records.iter().enumerate() {
            let mut node =
                GossipState::open(record.clone(), Vec::new(), number as u64, Moment::ZERO);
            for other in records {
                node.learn(FleetFact::Member(other.clone()), Moment::ZERO);
            }
            node.take_news();
            node.hush();
            nodes.push(node);
        }
        let costs = vec![ValueCost::default(); nodes.len()];
        let dead = vec![false; nodes.len()];
        Self { nodes, now, costs, dead, lost: Box::new(|_, _| false) }
    }

    /// Lets every VM know a fact, as if it had been spread long ago.
    pub(crate) fn all_know(&mut self, fact: &FleetFact) {
        for node in &mut self.nodes {
            node.learn(fact.clone(), Moment::ZERO);
            node.take_news();
            node.hush();
        }
    }

    /// Lets some time pass.
    pub(crate) fn run(&mut self, span: Duration) {
        let until = self.now + span;
        while self.now < until {
            self.step();
        }
    }

    /// Lets one step pass: each VM looks at the time once, then the messages arrive. So news goes
    /// one VM further in each step.
    pub(crate) fn step(&mut self) {
        self.now = self.now + STEP;
        let mut orders = Vec::new();
        for from in (0..self.nodes.len()).filter(|&from| !self.dead[from]) {
            let due = self.nodes[from].tick(self.now);
            orders.extend(due.into_iter().map(|order| (from, order)));
        }
        for (from, order) in orders {
            self.carry(from, order);
        }
    }

    fn carry(&mut self, from: usize, order: GossipOrder) {
        match order {
            GossipOrder::Push { to, push, .. } => {
                let Some(at) = self.place(&to) else { return };
                self.count(from, size(&push) + FRAMING.0);
                if !self.reaches(from, at) {
                    return;
                }
                let echo = self.nodes[at].take_push(push.clone(), self.now);
                self.count(at, size(&echo) + FRAMING.1);
                if self.reaches(at, from) {
                    self.nodes[from].take_echo(&to, &push, &echo, self.now);
                }
            }
            GossipOrder::Repair { address } => {
                let found = self.nodes.iter().position(|node| node.own().address == address);
                if let Some(at) =
                    found.filter(|&at| self.reaches(from, at) && self.reaches(at, from))
                {
                    self.repair(from, at);
                }
            }
        }
    }

    fn repair(&mut self, from: usize, at: usize) {
        let ask = self.nodes[from].digest_ask(self.now);
        let buckets = ask.sums.len() as u32;
        self.count(from, size(&ask) + FRAMING.0);
        let answer = self.nodes[at].answer_digest(ask, self.now);
        self.count(at, size(&answer) + FRAMING.1);
        let Some(sync) = self.nodes[from].sync_ask(buckets, &answer, self.now) else { return };
        self.count(from, size(&sync) + FRAMING.0);
        let facts = self.nodes[at].answer_sync(sync, self.now);
        self.count(at, size(&facts) + FRAMING.1);
        for fact in facts {
            self.nodes[from].learn(fact, self.now);
        }
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        !self.dead[from] && !self.dead[to] && !(self.lost)(from, to)
    }

    fn count(&mut self, at: usize, bytes: usize) {
        self.costs[at].messages += 1;
        self.costs[at].bytes += bytes as u64;
    }

    /// Returns the place of a VM.
    pub(crate) fn place(&self, member: &MemberName) -> Option<usize> {
        let number = member.as_str().trim_start_matches("vm-").parse().ok()?;
        (number < self.nodes.len()).then_some(number)
    }

    /// Forgets the costs so far.
    pub(crate) fn reset_costs(&mut self) {
        self.costs.fill(ValueCost::default());
    }

    /// Steps until a condition holds on each living VM. `None` when it does not within `limit`.
    pub(crate) fn run_until(
        &mut self,
        limit: Duration,
        holds: impl Fn(&GossipState) -> bool,
    ) -> Option<Duration> {
        let start = self.now;
        while self.now.since(start) < limit {
            let living = self.nodes.iter().zip(&self.dead).filter(|(_, dead)| !**dead);
            if living.into_iter().all(|(node, _)| holds(node)) {
                return Some(self.now.since(start));
            }
            self.step();
        }
        None
    }
}
