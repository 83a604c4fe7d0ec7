//! Compares placement strategies: how long calls wait, how often slots are overfilled, and how many messages
//! a call costs.
//!
//! Each upstream works on as many calls as it has slots and queues the others, first come, first served. An
//! entry's message reaches the placer in 1.5 ms, as in the Guild's deployment. A call's wait is the time from
//! its arrival at the entry until an upstream works on it, without the delay from entry to upstream, which is
//! the same for all strategies.

#[path = "../tests/support/build.rs"]
#[allow(dead_code, missing_docs, unreachable_pub)]
mod build;

use decide::placer::{PlacerAction, ServicePlacer};
use model::{call::OutcomeClass, config::ServiceRule, moment::Moment, slot::SlotGrant};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, VecDeque},
    io::Write,
    process::ExitCode,
    time::Duration,
};

const UPSTREAMS: usize = 12;
const SLOTS: u32 = 4;
const ENTRIES: usize = 40;
/// The routes: the fraction of calls and the mean service time in milliseconds.
const ROUTES: [(f64, f64); 2] = [(0.8, 30.0), (0.2, 200.0)];
const MEAN_SERVICE_TIME_S: f64 = 0.064;
const NETWORK_DELAY_US: u64 = 1_500;
const GOSSIP_INTERVAL_US: u64 = 200_000;
const GOSSIP_FANOUT: f64 = 3.0;
/// How long an entry keeps an unused slot that was granted ahead.
const SLOT_HOLD_US: u64 = 20_000;
const CALLS: u64 = 200_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Strategy {
    Random,
    LeastOfTwo,
    Gossip,
    GrantAhead,
    EachCall,
}

const STRATEGIES: [(Strategy, &str); 5] = [
    (Strategy::Random, "random"),
    (Strategy::LeastOfTwo, "least of two, own counts"),
    (Strategy::Gossip, "least of two, gossiped"),
    (Strategy::GrantAhead, "slots granted ahead"),
    (Strategy::EachCall, "a grant for each call"),
];

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    /// A call reaches its upstream.
    Reach {
        call: u64,
        upstream: usize,
    },
    Done {
        call: u64,
        upstream: usize,
    },
    /// An ask reaches the placer.
    Ask {
        call: u64,
    },
    /// A settle reaches the placer.
    Settle {
        call: u64,
    },
    Gossip,
    /// An entry has kept an unused slot long enough.
    GiveBack {
        entry: usize,
        number: u64,
    },
    /// A returned slot reaches the placer that grants ahead.
    Freed {
        upstream: usize,
    },
}

/// A call in flight.
struct Call {
    arrived: u64,
    entry: usize,
    route: usize,
    work: Duration,
    grant: Option<SlotGrant>,
}

/// A slot that an entry keeps for its next call.
struct KeptSlot {
    number: u64,
    upstream: usize,
}

struct Simulation {
    strategy: Strategy,
    rate: f64,
    now: u64,
    sequence: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    random: Pcg64Mcg,
    calls: BTreeMap<u64, Call>,
    last_call: u64,
    busy: Vec<u32>,
    upstream_queues: Vec<VecDeque<u64>>,
    sent_by_entry: Vec<Vec<u32>>,
    gossiped_load: Vec<u32>,
    placer: ServicePlacer,
    actions: Vec<PlacerAction>,
    /// The slots of each upstream that the placer granting ahead has given out.
    granted: Vec<u32>,
    /// The queue of the placer that grants ahead.
    queue: VecDeque<u64>,
    kept_slots: Vec<VecDeque<KeptSlot>>,
    waits: Vec<u64>,
    overfilled: u64,
    messages: f64,
}

impl Simulation {
    fn open(strategy: Strategy, load: f64) -> Self {
        let rule = ServiceRule { queue_limit: 10_000, hedge: false, ..ServiceRule::default() };
        let mut placer = ServicePlacer::new(build::settings(rule, 1));
        let mut actions = Vec::new();
        placer.finish_recount(Moment::ZERO, &mut actions);
        for number in 0..UPSTREAMS {
            let mut announcement = build::announcement(number, number % 4, SLOTS);
            announcement.lease_ms = u32::MAX;
            placer.announce(&announcement, Moment::ZERO, &mut actions);
        }
        let mut simulation = Self {
            strategy,
            rate: load * f64::from(SLOTS) * UPSTREAMS as f64 / MEAN_SERVICE_TIME_S,
            now: 0,
            sequence: 0,
            events: BinaryHeap::new(),
            random: Pcg64Mcg::seed_from_u64(3),
            calls: BTreeMap::new(),
            last_call: 0,
            busy: vec![0; UPSTREAMS],
            upstream_queues: (0..UPSTREAMS).map(|_| VecDeque::new()).collect(),
            sent_by_entry: vec![vec![0; UPSTREAMS]; ENTRIES],
            gossiped_load: vec![0; UPSTREAMS],
            placer,
            actions,
            granted: vec![0; UPSTREAMS],
            queue: VecDeque::new(),
            kept_slots: (0..ENTRIES).map(|_| VecDeque::new()).collect(),
            waits: Vec::new(),
            overfilled: 0,
            messages: 0.0,
        };
        simulation.after(0, Event::Arrive);
        simulation.after(0, Event::Gossip);
        simulation
    }

    fn after(&mut self, us: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((self.now + us, self.sequence, event)));
    }

    fn run(&mut self) {
        while self.last_call < CALLS {
            let Some(Reverse((at, _, event))) = self.events.pop() else { return };
            self.now = at;
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Reach { call, upstream } => self.reach(call, upstream),
            Event::Done { call, upstream } => self.done(call, upstream),
            Event::Ask { call } => self.handle_ask(call),
            Event::Settle { call } => self.handle_settle(call),
            Event::Gossip => {
                self.gossiped_load = (0..UPSTREAMS).map(|n| self.load(n)).collect();
                if self.strategy == Strategy::Gossip {
                    self.messages += ENTRIES as f64 * GOSSIP_FANOUT;
                }
                self.after(GOSSIP_INTERVAL_US, Event::Gossip);
            }
            Event::GiveBack { entry, number } => {
                if let Some(index) =
                    self.kept_slots[entry].iter().position(|kept| kept.number == number)
                {
                    let kept = self.kept_slots[entry].remove(index).expect("the index was found");
                    self.messages += 1.0;
                    self.after(NETWORK_DELAY_US, Event::Freed { upstream: kept.upstream });
                }
            }
            Event::Freed { upstream } => {
                self.granted[upstream] -= 1;
                self.grant_ahead();
            }
        }
    }

    fn load(&self, upstream: usize) -> u32 {
        self.busy[upstream] + self.upstream_queues[upstream].len() as u32
    }

    fn arrive(&mut self) {
        let gap = -(1.0 - self.random.random::<f64>()).ln() / self.rate;
        self.after((gap * 1e6) as u64, Event::Arrive);
        self.last_call += 1;
        let call = self.last_call;
        let entry = self.random.random_range(0..ENTRIES);
        let route = usize::from(self.random.random::<f64>() >= ROUTES[0].0);
        let work = build::draw_answer_time(ROUTES[route].1, &mut self.random);
        self.calls.insert(call, Call { arrived: self.now, entry, route, work, grant: None });
        match self.strategy {
            Strategy::EachCall => self.ask_placer(call),
            Strategy::GrantAhead => match self.kept_slots[entry].pop_front() {
                Some(kept) => self.reach(call, kept.upstream),
                None => self.ask_placer(call),
            },
            Strategy::Random | Strategy::LeastOfTwo | Strategy::Gossip => {
                let upstream = self.choose(entry);
                self.sent_by_entry[entry][upstream] += 1;
                self.reach(call, upstream);
            }
        }
    }

    fn ask_placer(&mut self, call: u64) {
        self.messages += 2.0;
        self.after(NETWORK_DELAY_US, Event::Ask { call });
    }

    fn choose(&mut self, entry: usize) -> usize {
        let first = self.random.random_range(0..UPSTREAMS);
        let second = self.random.random_range(0..UPSTREAMS);
        match self.strategy {
            Strategy::LeastOfTwo
                if self.sent_by_entry[entry][second] < self.sent_by_entry[entry][first] =>
            {
                second
            }
            Strategy::Gossip if self.known_load(entry, second) < self.known_load(entry, first) => {
                second
            }
            _ => first,
        }
    }

    /// Returns the load of an upstream by the last gossip, plus the calls that this entry has sent there.
    fn known_load(&self, entry: usize, upstream: usize) -> u32 {
        self.gossiped_load[upstream] + self.sent_by_entry[entry][upstream]
    }

    fn reach(&mut self, call: u64, upstream: usize) {
        if self.busy[upstream] < SLOTS {
            self.busy[upstream] += 1;
            self.start(call, upstream);
        } else {
            self.overfilled += 1;
            self.upstream_queues[upstream].push_back(call);
        }
    }

    fn start(&mut self, call: u64, upstream: usize) {
        let live = &self.calls[&call];
        self.waits.push(self.now - live.arrived);
        let work = live.work.as_micros() as u64;
        self.after(work, Event::Done { call, upstream });
    }

    fn done(&mut self, call: u64, upstream: usize) {
        match self.upstream_queues[upstream].pop_front() {
            Some(next) => self.start(next, upstream),
            None => self.busy[upstream] -= 1,
        }
        let entry = self.calls[&call].entry;
        match self.strategy {
            Strategy::EachCall => {
                self.messages += 1.0;
                self.after(NETWORK_DELAY_US, Event::Settle { call });
                return;
            }
            Strategy::GrantAhead => {
                let number = call;
                self.kept_slots[entry].push_back(KeptSlot { number, upstream });
                self.after(SLOT_HOLD_US, Event::GiveBack { entry, number });
            }
            Strategy::Random | Strategy::LeastOfTwo | Strategy::Gossip => {
                self.sent_by_entry[entry][upstream] -= 1;
            }
        }
        self.calls.remove(&call);
    }

    fn handle_ask(&mut self, call: u64) {
        if self.strategy == Strategy::GrantAhead {
            self.queue.push_back(call);
            return self.grant_ahead();
        }
        let live = &self.calls[&call];
        let ask = build::ask(call, 1, live.entry, live.route, live.entry, 60_000);
        let now = Moment::from_micros(self.now);
        self.placer.ask(build::entry(live.entry), ask, now, &mut self.actions);
        self.apply_actions();
    }

    fn handle_settle(&mut self, call: u64) {
        let Some(live) = self.calls.remove(&call) else { return };
        let Some(grant) = live.grant else { return };
        let outcome = OutcomeClass::Success;
        let settle = build::settle(&grant, live.route, call | 1 << 40, outcome, live.work);
        let now = Moment::from_micros(self.now);
        self.placer.settle(&settle, now, &mut self.actions);
        self.apply_actions();
    }

    fn apply_actions(&mut self) {
        for action in std::mem::take(&mut self.actions) {
            let PlacerAction::Grant { to, grant, .. } = action else { continue };
            let (call, upstream) = (to.call.0, build::upstream_number(&grant.upstream));
            if let Some(live) = self.calls.get_mut(&call) {
                live.grant = Some(grant);
            }
            self.after(NETWORK_DELAY_US, Event::Reach { call, upstream });
        }
    }

    fn grant_ahead(&mut self) {
        while !self.queue.is_empty() {
            let least = (0..UPSTREAMS).min_by_key(|&n| self.granted[n]);
            let Some(upstream) = least.filter(|&n| self.granted[n] < SLOTS) else { return };
            let Some(call) = self.queue.pop_front() else { return };
            self.granted[upstream] += 1;
            self.after(NETWORK_DELAY_US, Event::Reach { call, upstream });
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Measurement {
    wait_p99_ms: f64,
    overfilled: f64,
    messages: f64,
}

fn measure(strategy: Strategy, load: f64) -> Measurement {
    let mut simulation = Simulation::open(strategy, load);
    simulation.run();
    simulation.waits.sort_unstable();
    let waits = &simulation.waits;
    let rank = waits.len() * 99 / 100;
    Measurement {
        wait_p99_ms: waits.get(rank).copied().unwrap_or(0) as f64 / 1_000.0,
        overfilled: simulation.overfilled as f64 / CALLS as f64,
        messages: simulation.messages / CALLS as f64,
    }
}

fn print_line(line: &str) {
    let mut out = std::io::stdout().lock();
    let _ = writeln!(out, "{line}");
}

fn main() -> ExitCode {
    let mut passed = true;
    for load in [0.6, 0.9] {
        print_line(&format!(
            "\n{UPSTREAMS} upstreams of {SLOTS} slots, {ENTRIES} entries, {:.0}% load",
            load * 100.0
        ));
        print_line("way                          wait p99   overfilled   messages a call");
        let mut measurements = Vec::new();
        for (strategy, name) in STRATEGIES {
            let row = measure(strategy, load);
            print_line(&format!(
                "{name:<26}{:>8.1} ms{:>11.2}%{:>18.2}",
                row.wait_p99_ms,
                row.overfilled * 100.0,
                row.messages
            ));
            measurements.push(row);
        }
        let chosen = measurements[4];
        let best_alone =
            measurements[..3].iter().map(|row| row.wait_p99_ms).fold(f64::MAX, f64::min);
        passed &= chosen.overfilled == 0.0;
        // Near saturation the round trip to the placer, during which a slot is empty, matters more.
        let share = if load < 0.8 { 0.25 } else { 0.75 };
        passed &= chosen.wait_p99_ms <= best_alone * share;
        passed &= chosen.messages <= 3.0;
    }
    print_line(&format!(
        "\nbound: a grant for each call overfills nothing, waits at most a quarter (at 90% load three quarters) as long as the best way without a placer, and costs at most 3 messages: {passed}"
    ));
    if passed { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
