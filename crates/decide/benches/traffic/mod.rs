//! Simulated traffic for the comparison of detectors: calls, outcomes, and the noise of normal
//! operation.

#![allow(dead_code, missing_docs, unreachable_pub)]

#[path = "../../tests/support/build.rs"]
pub mod build;
pub mod detectors;

use build::draw_answer_time;
use detectors::FailureDetector;
use model::{call::OutcomeClass, moment::Moment};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    time::Duration,
};

/// Routes by weight and mean latency in milliseconds: short and long work.
pub const ROUTES: [(f64, f64); 2] = [(0.8, 30.0), (0.2, 200.0)];

/// The size of a service.
#[derive(Clone, Copy, Debug)]
pub struct ServiceShape {
    pub upstreams: usize,
    pub slots: u32,
    pub entries: usize,
    /// Calls per second at each upstream.
    pub rate: f64,
}

/// The fault of upstream 0 after the warm-up.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamFault {
    pub name: &'static str,
    pub fail_share: f64,
    pub slow: f64,
}

pub const HEALTHY: UpstreamFault = UpstreamFault { name: "none", fail_share: 0.0, slow: 1.0 };

/// The noise of normal operation.
///
/// 0.3% of all calls fail. Every ten minutes one route fails at all upstreams for ten seconds (a
/// third of its calls), one path between an entry and an upstream is lost for five seconds, and one
/// upstream stalls for 100 ms.
const BASELINE_FAILURE_SHARE: f64 = 0.003;
const NOISE_PERIOD_S: f64 = 600.0;
const ROUTE_FAILURE: (f64, f64) = (10.0, 0.33);
const PATH_LOSS_S: f64 = 5.0;
const STALL_S: f64 = 0.1;

#[derive(Debug, Default)]
struct NoiseWindow {
    route: usize,
    route_from: f64,
    path: (usize, usize),
    path_from: f64,
    stalled: usize,
    stall_from: f64,
}

impl NoiseWindow {
    fn draw(number: u64, shape: &ServiceShape, random: &mut Pcg64Mcg) -> Self {
        let begin = number as f64 * NOISE_PERIOD_S;
        let mut within = || begin + random.random_range(60.0..NOISE_PERIOD_S - 20.0);
        let (route_from, path_from, stall_from) = (within(), within(), within());
        Self {
            route: random.random_range(0..ROUTES.len()),
            route_from,
            path: (random.random_range(0..shape.entries), random.random_range(0..shape.upstreams)),
            path_from,
            stalled: random.random_range(0..shape.upstreams),
            stall_from,
        }
    }

    fn route_fails(&self, route: usize, now: f64) -> bool {
        route == self.route && (0.0..ROUTE_FAILURE.0).contains(&(now - self.route_from))
    }

    fn path_lost(&self, entry: usize, upstream: usize, now: f64) -> bool {
        (entry, upstream) == self.path && (0.0..PATH_LOSS_S).contains(&(now - self.path_from))
    }

    fn stall_left(&self, upstream: usize, now: f64) -> f64 {
        let passed = now - self.stall_from;
        let stalled = upstream == self.stalled && (0.0..STALL_S).contains(&passed);
        if stalled { STALL_S - passed } else { 0.0 }
    }
}

/// One run of traffic through one detector.
pub struct TrafficRun {
    shape: ServiceShape,
    fault: UpstreamFault,
    onset: f64,
    random: Pcg64Mcg,
    noise: NoiseWindow,
    noise_number: u64,
    with_noise: bool,
    completions: BinaryHeap<Reverse<(Moment, u64)>>,
    calls: BTreeMap<u64, ActiveCall>,
    next: u64,
    now: f64,
}

struct ActiveCall {
    entry: usize,
    route: usize,
    upstream: usize,
    outcome: OutcomeClass,
    took: Duration,
}

fn moment(seconds: f64) -> Moment {
    Moment::from_micros((seconds * 1e6) as u64)
}

impl TrafficRun {
    pub fn open(shape: ServiceShape, fault: UpstreamFault, with_noise: bool, seed: u64) -> Self {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let noise = NoiseWindow::draw(0, &shape, &mut random);
        let (completions, calls) = (BinaryHeap::new(), BTreeMap::new());
        let (noise_number, next, now, onset) = (0, 0, 0.0, 30.0);
        Self {
            shape,
            fault,
            onset,
            random,
            noise,
            noise_number,
            with_noise,
            completions,
            calls,
            next,
            now,
        }
    }

    /// Runs until the fault is found, and returns how long after its onset, or `None` at the limit.
    pub fn find(&mut self, detector: &mut dyn FailureDetector, limit: f64) -> Option<f64> {
        while self.now < self.onset + limit {
            self.step(detector);
            if self.now >= self.onset && detector.found() {
                return Some(self.now - self.onset);
            }
        }
        None
    }

    /// Runs for this many seconds.
    pub fn run(&mut self, detector: &mut dyn FailureDetector, seconds: f64) {
        while self.now < seconds {
            self.step(detector);
        }
    }

    /// Lets one call arrive, after the calls that complete before it.
    fn step(&mut self, detector: &mut dyn FailureDetector) {
        let rate = self.shape.rate * self.shape.upstreams as f64;
        self.now += -(1.0 - self.random.random::<f64>()).ln() / rate;
        let now = moment(self.now);
        while let Some(&Reverse((at, call))) = self.completions.peek() {
            if at > now {
                break;
            }
            self.completions.pop();
            let Some(live) = self.calls.remove(&call) else { continue };
            detector.finish(
                call,
                live.entry,
                live.route,
                live.upstream,
                live.outcome,
                live.took,
                at,
            );
        }
        let number = (self.now / NOISE_PERIOD_S) as u64;
        if number != self.noise_number {
            self.noise_number = number;
            self.noise = NoiseWindow::draw(number, &self.shape, &mut self.random);
        }
        self.arrive(detector, now);
    }

    fn arrive(&mut self, detector: &mut dyn FailureDetector, now: Moment) {
        self.next += 1;
        let call = self.next;
        let entry = self.random.random_range(0..self.shape.entries);
        let route = usize::from(self.random.random::<f64>() >= ROUTES[0].0);
        let Some(upstream) = detector.choose(call, entry, route, &mut self.random, now) else {
            return;
        };
        let (outcome, took) = self.draw(entry, route, upstream);
        self.completions.push(Reverse((now + took, call)));
        self.calls.insert(call, ActiveCall { entry, route, upstream, outcome, took });
    }

    fn draw(&mut self, entry: usize, route: usize, upstream: usize) -> (OutcomeClass, Duration) {
        let bad = upstream == 0 && self.now >= self.onset;
        let fault = if bad { self.fault } else { HEALTHY };
        let mut took = draw_answer_time(ROUTES[route].1 * fault.slow, &mut self.random);
        let mut share = BASELINE_FAILURE_SHARE + fault.fail_share;
        if self.with_noise {
            if self.noise.path_lost(entry, upstream, self.now) {
                return (OutcomeClass::ConnectFailure, Duration::from_millis(3));
            }
            if self.noise.route_fails(route, self.now) {
                share += ROUTE_FAILURE.1;
            }
            took += Duration::from_secs_f64(self.noise.stall_left(upstream, self.now));
        }
        let failed = self.random.random::<f64>() < share;
        (if failed { OutcomeClass::ErrorAnswer } else { OutcomeClass::Success }, took)
    }
}
