//! A loop that passes time in: entries that call, one placer, upstreams that are queues of answers.
//!
//! Everything is drawn from one seed. Time is a number that jumps from event to event, so an hour of
//! traffic takes seconds and each run gives the same outcome.

#![allow(dead_code, missing_docs, unreachable_pub)]

pub mod build;
pub mod direct;
pub mod outcome;

use build::{announcement, answer_time, ask, settings};
use decide::{
    placer::{AskId, EjectReason, PlacerAction, ServicePlacer},
    retry::{FailedTry, RetryBudget, RetryPolicy},
};
use model::{
    call::{CallClass, OutcomeClass, RefusalReason},
    config::ServiceRule,
    moment::Moment,
    names::UpstreamName,
    slot::SlotGrant,
};
use outcome::WorldOutcome;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, VecDeque},
    time::Duration,
};

/// How an upstream is at one moment.
#[derive(Clone, Copy, Debug)]
pub struct Condition {
    pub up: bool,
    pub fail_share: f64,
    pub slow: f64,
}

pub const WELL: Condition = Condition { up: true, fail_share: 0.0, slow: 1.0 };

/// Tells the condition of upstream `n` at a moment.
pub type ConditionPlan = Box<dyn Fn(usize, Moment) -> Condition>;

/// The service and its traffic.
pub struct WorldPlan {
    pub seed: u64,
    pub rule: ServiceRule,
    pub upstreams: usize,
    pub slots: u32,
    /// How many calls an upstream really works on at once.
    pub real_slots: u32,
    pub domains: usize,
    pub entries: usize,
    /// Calls in a second, by time.
    pub rate: Box<dyn Fn(Moment) -> f64>,
    /// Routes by weight and mean time in milliseconds.
    pub routes: Vec<(f64, f64)>,
    /// Callers by weight.
    pub callers: Vec<f64>,
    pub class: CallClass,
    pub deadline_ms: u32,
    pub condition: ConditionPlan,
    /// The age that upstream `n` announces at the start, in milliseconds.
    pub age_ms: Box<dyn Fn(usize) -> u64>,
    /// Tells the fingerprint of call `n`, or 0: its own.
    pub poison: Option<u64>,
    pub hop: Duration,
}

impl WorldPlan {
    /// The Guild: 12 targets of 4 slots, 40 entries, 4 failure domains, short and long work.
    pub fn guild(seed: u64) -> Self {
        Self {
            seed,
            rule: build::guild_rule(12),
            upstreams: 12,
            slots: 4,
            real_slots: 4,
            domains: 4,
            entries: 40,
            rate: Box::new(|_| 480.0),
            routes: vec![(0.8, 30.0), (0.2, 200.0)],
            callers: vec![1.0; 20],
            class: CallClass::Idempotent,
            deadline_ms: 2_000,
            condition: Box::new(|_, _| WELL),
            age_ms: Box::new(|_| 3_600_000),
            poison: None,
            hop: Duration::from_micros(1_500),
        }
    }

    /// The Convoy Society: 8 targets of 6 slots, 36 entries.
    pub fn convoy(seed: u64) -> Self {
        let rule = build::convoy_rule(8);
        Self {
            rule,
            upstreams: 8,
            slots: 6,
            real_slots: 6,
            entries: 36,
            hop: Duration::from_millis(1),
            ..Self::guild(seed)
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum WorldEvent {
    Arrive,
    Tick,
    Renew(usize),
    Begin {
        call: u64,
        attempt: u32,
        upstream: usize,
    },
    /// An upstream has worked through a call.
    Worked {
        upstream: usize,
        run: u64,
    },
    Hedge {
        call: u64,
    },
    Deadline {
        call: u64,
    },
}

#[derive(Debug)]
struct LiveCall {
    caller: usize,
    entry: usize,
    route: usize,
    fingerprint: u64,
    began: Moment,
    deadline: Moment,
    attempts: u32,
    tried: Vec<UpstreamName>,
    /// Runs that have not ended, by their number.
    runs: Vec<u64>,
    waits: u32,
}

#[derive(Debug)]
struct LiveRun {
    call: u64,
    attempt: u32,
    grant: SlotGrant,
    upstream: usize,
    begun: Moment,
    work: Duration,
}

#[derive(Debug, Default)]
struct FakeUpstream {
    working: Vec<u64>,
    waiting: VecDeque<u64>,
    sequence: u64,
    incarnation: u64,
    was_up: bool,
}

/// The running world.
pub struct World {
    pub plan: WorldPlan,
    pub placer: ServicePlacer,
    pub now: Moment,
    pub outcome: WorldOutcome,
    events: BinaryHeap<Reverse<(Moment, u64, WorldEvent)>>,
    sequence: u64,
    random: Pcg64Mcg,
    calls: BTreeMap<u64, LiveCall>,
    runs: BTreeMap<u64, LiveRun>,
    upstreams: Vec<FakeUpstream>,
    budgets: Vec<RetryBudget>,
    next: u64,
    actions: Vec<PlacerAction>,
}

impl World {
    pub fn open(plan: WorldPlan) -> Self {
        let mut placer = ServicePlacer::open(settings(plan.rule.clone(), plan.seed));
        let mut actions = Vec::new();
        placer.finish_recount(Moment::ZERO, &mut actions);
        let percent = plan.rule.retry_percent;
        let mut world = Self {
            placer,
            now: Moment::ZERO,
            outcome: WorldOutcome::new(plan.callers.len(), plan.upstreams),
            events: BinaryHeap::new(),
            sequence: 0,
            random: Pcg64Mcg::seed_from_u64(plan.seed),
            calls: BTreeMap::new(),
            runs: BTreeMap::new(),
            upstreams: (0..plan.upstreams).map(|_| FakeUpstream::default()).collect(),
            budgets: (0..plan.entries).map(|_| RetryBudget::new(percent)).collect(),
            next: 0,
            actions,
            plan,
        };
        for upstream in 0..world.plan.upstreams {
            world.at(Moment::ZERO, WorldEvent::Renew(upstream));
        }
        world.at(Moment::from_millis(1), WorldEvent::Arrive);
        world.at(Moment::from_millis(20), WorldEvent::Tick);
        world
    }

    /// Runs until a moment.
    pub fn run_until(&mut self, end: Moment) {
        while let Some(Reverse((at, _, _))) = self.events.peek() {
            if *at > end {
                break;
            }
            let Some(Reverse((at, _, event))) = self.events.pop() else { break };
            self.now = at;
            self.handle(event);
            self.carry_out();
        }
        self.now = end;
    }

    /// Runs for some seconds from now.
    pub fn run_seconds(&mut self, seconds: u64) {
        self.run_until(self.now + Duration::from_secs(seconds));
    }

    fn at(&mut self, at: Moment, event: WorldEvent) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn handle(&mut self, event: WorldEvent) {
        match event {
            WorldEvent::Arrive => self.arrive(),
            WorldEvent::Tick => {
                self.placer.tick(self.now, &mut self.actions);
                self.outcome.watch(&self.placer, self.now);
                self.at(self.now + Duration::from_millis(20), WorldEvent::Tick);
            }
            WorldEvent::Renew(upstream) => self.renew(upstream),
            WorldEvent::Begin { call, attempt, upstream } => self.begin(call, attempt, upstream),
            WorldEvent::Worked { upstream, run } => self.worked(upstream, run),
            WorldEvent::Hedge { call } => {
                if self.calls.get(&call).is_some_and(|c| c.runs.len() == 1 && c.waits == 0) {
                    let entry = self.calls[&call].entry;
                    if self.budgets[entry].spend() {
                        self.outcome.hedges += 1;
                        self.ask(call);
                    }
                }
            }
            WorldEvent::Deadline { call } => self.deadline(call),
        }
    }

    fn condition(&self, upstream: usize) -> Condition {
        (self.plan.condition)(upstream, self.now)
    }

    fn arrive(&mut self) {
        let rate = (self.plan.rate)(self.now).max(0.1);
        let gap = -(1.0 - self.random.random::<f64>()).ln() / rate;
        self.at(self.now + Duration::from_secs_f64(gap), WorldEvent::Arrive);
        self.next += 1;
        let call = self.next;
        let callers: Vec<f64> = self.plan.callers.clone();
        let caller = build::pick(&callers, &mut self.random);
        let weights: Vec<f64> = self.plan.routes.iter().map(|(weight, _)| *weight).collect();
        let route = build::pick(&weights, &mut self.random);
        let entry = self.random.random_range(0..self.plan.entries);
        self.begin_call(call, caller, route, entry, call | 1 << 40);
    }

    /// Sends one call with a given fingerprint from an entry, now.
    pub fn send(&mut self, entry: usize, fingerprint: u64) -> u64 {
        self.next += 1;
        let call = self.next;
        self.begin_call(call, 0, 0, entry, fingerprint);
        self.carry_out();
        call
    }

    fn begin_call(&mut self, call: u64, caller: usize, route: usize, entry: usize, print: u64) {
        let deadline = self.now + Duration::from_millis(u64::from(self.plan.deadline_ms));
        let live = LiveCall {
            caller,
            entry,
            route,
            fingerprint: print,
            began: self.now,
            deadline,
            attempts: 0,
            tried: Vec::new(),
            runs: Vec::new(),
            waits: 0,
        };
        self.calls.insert(call, live);
        self.budgets[entry].count_call();
        self.outcome.callers[caller].calls += 1;
        self.at(deadline, WorldEvent::Deadline { call });
        self.ask(call);
    }

    fn ask(&mut self, call: u64) {
        let live = self.calls.get_mut(&call).expect("only live calls ask");
        live.attempts += 1;
        live.waits += 1;
        let within = live.deadline.since(self.now).as_millis() as u32;
        let mut ask = ask(call, live.attempts, live.caller, live.route, live.entry, within);
        ask.domain = build::domain(live.entry % self.plan.domains);
        ask.class = self.plan.class;
        ask.fingerprint.0 = live.fingerprint;
        ask.avoid = live.tried.clone();
        self.outcome.tries += 1;
        let entry = build::entry(live.entry);
        self.placer.ask(entry, ask, self.now, &mut self.actions);
    }

    fn carry_out(&mut self) {
        while !self.actions.is_empty() {
            for action in std::mem::take(&mut self.actions) {
                self.outcome.note(&action, self.now);
                match action {
                    PlacerAction::Grant { to, grant, .. } => self.granted(&to, grant),
                    PlacerAction::Refuse { to, refusal, .. } => self.refused(&to, refusal.reason),
                    _ => (),
                }
            }
        }
    }

    fn granted(&mut self, to: &AskId, grant: SlotGrant) {
        let call = to.call.0;
        let run = self.sequence + 1;
        let Some(live) = self.calls.get_mut(&call) else {
            return self.settle_grant(&grant, 0, 0, OutcomeClass::Unused, Duration::ZERO);
        };
        live.waits -= 1;
        live.tried.push(grant.upstream.clone());
        live.runs.push(run);
        let (route, attempt) = (live.route, to.attempt);
        self.outcome.waits_us.push(grant.waited_us);
        let upstream = build::upstream_number(&grant.upstream);
        self.outcome.given(upstream, self.now);
        let mean = self.plan.routes[route].1;
        let slow = self.condition(upstream).slow;
        let work = answer_time(mean * slow, &mut self.random);
        // There and back to the placer, and on to the upstream. A settle goes before the next ask of
        // its call on the same way, so both are handed over at once here.
        let begun = self.now + self.plan.hop * 3;
        if grant.hedge_after_us > 0 && attempt == 1 {
            let at = begun + Duration::from_micros(grant.hedge_after_us);
            self.at(at, WorldEvent::Hedge { call });
        }
        self.sequence = self.sequence.max(run);
        self.runs.insert(run, LiveRun { call, attempt, grant, upstream, begun, work });
        self.at(begun, WorldEvent::Begin { call: run, attempt, upstream });
    }

    fn begin(&mut self, run: u64, _attempt: u32, upstream: usize) {
        let Some(live) = self.runs.get(&run) else { return };
        let condition = self.condition(upstream);
        let poison = self.calls.get(&live.call).map(|call| call.fingerprint) == self.plan.poison;
        if !condition.up {
            return self.end_run(run, OutcomeClass::ConnectFailure);
        }
        if poison && self.plan.poison.is_some() {
            return self.crash(upstream, run);
        }
        let real = self.plan.real_slots as usize;
        let fake = &mut self.upstreams[upstream];
        if fake.working.len() < real {
            fake.working.push(run);
            let at = self.now + live.work;
            self.at(at, WorldEvent::Worked { upstream, run });
        } else if fake.waiting.len() < real * 2 {
            fake.waiting.push_back(run);
        } else {
            self.outcome.shed += 1;
            self.end_run(run, OutcomeClass::Shed);
        }
    }

    /// Ends all that runs at an upstream and starts it anew.
    fn crash(&mut self, upstream: usize, run: u64) {
        self.outcome.crashes += 1;
        let fake = &mut self.upstreams[upstream];
        let mut lost = std::mem::take(&mut fake.working);
        lost.extend(std::mem::take(&mut fake.waiting));
        lost.push(run);
        fake.incarnation += 1;
        fake.sequence = 0;
        for run in lost {
            self.end_run(run, OutcomeClass::Crash);
        }
        self.announce(upstream, 0);
    }

    fn worked(&mut self, upstream: usize, run: u64) {
        let fake = &mut self.upstreams[upstream];
        let Some(place) = fake.working.iter().position(|&other| other == run) else { return };
        fake.working.swap_remove(place);
        if let Some(next) = fake.waiting.pop_front() {
            fake.working.push(next);
            let work = self.runs.get(&next).map_or(Duration::ZERO, |live| live.work);
            self.at(self.now + work, WorldEvent::Worked { upstream, run: next });
        }
        let condition = self.condition(upstream);
        let outcome = if !condition.up {
            OutcomeClass::CutAnswer
        } else if self.random.random::<f64>() < condition.fail_share {
            OutcomeClass::ErrorAnswer
        } else {
            OutcomeClass::Success
        };
        self.end_run(run, outcome);
    }

    fn end_run(&mut self, run: u64, outcome: OutcomeClass) {
        let Some(live) = self.runs.remove(&run) else { return };
        let took = self.now.since(live.begun);
        let (route, print) = match self.calls.get(&live.call) {
            Some(call) => (call.route, call.fingerprint),
            None => (0, 0),
        };
        self.settle_grant(&live.grant, route, print, outcome, took);
        let Some(call) = self.calls.get_mut(&live.call) else { return };
        call.runs.retain(|&other| other != run);
        if outcome == OutcomeClass::Success {
            return self.answered(live.call);
        }
        self.outcome.hurt(live.upstream, self.now);
        self.try_again(live.call, live.attempt, outcome);
    }

    fn try_again(&mut self, call: u64, attempt: u32, outcome: OutcomeClass) {
        let live = &self.calls[&call];
        if !live.runs.is_empty() || live.waits > 0 {
            return;
        }
        let failed = FailedTry {
            class: self.plan.class,
            outcome,
            attempt,
            answer_begun: false,
            left: live.deadline.since(self.now),
            shortest: Duration::ZERO,
        };
        let budget = &mut self.budgets[live.entry];
        if RetryPolicy::default().decide(&failed, budget).is_ok() {
            self.ask(call);
        } else if let Some(live) = self.calls.remove(&call) {
            self.outcome.callers[live.caller].failed += 1;
        }
    }

    fn answered(&mut self, call: u64) {
        let Some(live) = self.calls.remove(&call) else { return };
        let took = self.now.since(live.began);
        self.outcome.callers[live.caller].answered += 1;
        self.outcome.took_us.push(took.as_micros() as u64);
        self.abandon(call, &live, OutcomeClass::Cancelled);
    }

    /// Takes back all that a call still has out.
    fn abandon(&mut self, call: u64, live: &LiveCall, outcome: OutcomeClass) {
        for attempt in 1..=live.attempts {
            let entry = build::entry(live.entry);
            let call = model::numbers::CallNumber(call);
            self.placer.cancel(&AskId { entry, call, attempt });
        }
        for run in &live.runs {
            let Some(gone) = self.runs.remove(run) else { continue };
            self.drop_at_upstream(gone.upstream, *run);
            let took = self.now.since(gone.begun);
            self.settle_grant(&gone.grant, live.route, live.fingerprint, outcome, took);
        }
    }

    fn drop_at_upstream(&mut self, upstream: usize, run: u64) {
        let fake = &mut self.upstreams[upstream];
        fake.waiting.retain(|&other| other != run);
        if fake.working.contains(&run) {
            // Cancelled work leaves its place to the next at once.
            self.at(self.now, WorldEvent::Worked { upstream, run });
        }
    }

    fn refused(&mut self, to: &AskId, reason: RefusalReason) {
        let Some(live) = self.calls.get_mut(&to.call.0) else { return };
        live.waits -= 1;
        self.outcome.refusals.push((self.now, live.deadline.since(self.now), reason));
        if live.runs.is_empty() && live.waits == 0 {
            let caller = live.caller;
            self.calls.remove(&to.call.0);
            self.outcome.callers[caller].refused += 1;
        }
    }

    fn deadline(&mut self, call: u64) {
        let Some(live) = self.calls.remove(&call) else { return };
        self.outcome.callers[live.caller].late += 1;
        self.outcome.waiting_at_deadline += u64::from(live.runs.is_empty());
        self.abandon(call, &live, OutcomeClass::Timeout);
    }

    fn settle_grant(
        &mut self,
        grant: &SlotGrant,
        route: usize,
        fingerprint: u64,
        outcome: OutcomeClass,
        took: Duration,
    ) {
        let settle = build::settle(grant, route, fingerprint, outcome, took);
        self.placer.settle(&settle, self.now, &mut self.actions);
    }

    fn renew(&mut self, upstream: usize) {
        let condition = self.condition(upstream);
        let began = self.now == Moment::ZERO;
        let fake = &mut self.upstreams[upstream];
        if condition.up {
            let back = !fake.was_up && !began;
            fake.was_up = true;
            if back {
                fake.incarnation += 1;
            }
            let age = if back { 0 } else { (self.plan.age_ms)(upstream) };
            let age = age + self.now.as_micros() / 1_000;
            self.announce(upstream, if back { 0 } else { age });
        } else {
            fake.was_up = false;
        }
        self.at(self.now + Duration::from_millis(500), WorldEvent::Renew(upstream));
    }

    fn announce(&mut self, upstream: usize, age_ms: u64) {
        let fake = &mut self.upstreams[upstream];
        fake.sequence += 1;
        let mut announcement =
            announcement(upstream, upstream % self.plan.domains, self.plan.slots);
        announcement.sequence = fake.sequence;
        announcement.incarnation.0 = fake.incarnation + 1;
        announcement.age_ms = age_ms;
        self.placer.announce(&announcement, self.now, &mut self.actions);
    }

    /// Lists the upstreams ejected so far, with when and why.
    pub fn ejections(&self) -> &[(Moment, usize, EjectReason)] {
        &self.outcome.ejections
    }
}
