//! The cost of one placement decision, and how it grows with the number of upstreams and services.
//!
//! A decision is an ask that is granted at once, and its settle. The bounds are ratios and counts: the
//! time may grow logarithmically, and the number of allocations must not grow at all.

#[path = "../tests/support/build.rs"]
#[allow(dead_code, missing_docs, unreachable_pub)]
mod build;

use decide::placer::{AskId, PlacerAction, ServicePlacer};
use model::{
    call::OutcomeClass,
    config::ServiceRule,
    moment::Moment,
    names::MemberName,
    slot::{SlotAsk, SlotGrant},
};
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};
use std::{
    alloc::System,
    io::Write,
    process::ExitCode,
    time::{Duration, Instant},
};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// The bound for 1,000 upstreams against 15. A logarithm grows 2.6 times; cache misses add to that.
const MAX_UPSTREAM_GROWTH: f64 = 4.0;

/// The bound for 6,000 services against 4. The state of so many no longer fits into the processor's caches.
const MAX_SERVICE_GROWTH: f64 = 8.0;

/// Ordered maps occasionally allocate a node; the rest of a decision allocates nothing.
const MAX_ALLOCATIONS: f64 = 1.0;

/// The bound for cancelling one of 4,000 queued calls against one of 40.
const MAX_CANCEL_GROWTH: f64 = 5.0;

/// Asks created in advance, so that only decisions are measured.
struct PreparedAsks {
    entries: Vec<MemberName>,
    asks: Vec<SlotAsk>,
}

impl PreparedAsks {
    fn new() -> Self {
        let entries = (0..40).map(build::entry).collect();
        let ask =
            |number: usize| build::ask(number as u64, 1, number % 20, number % 5, number, 9_000);
        Self { entries, asks: (0..40).map(ask).collect() }
    }

    fn get(&self, call: u64) -> (MemberName, SlotAsk) {
        let index = call as usize % self.asks.len();
        let mut ask = self.asks[index].clone();
        ask.call.0 = call;
        (self.entries[index].clone(), ask)
    }
}

/// The number of calls that hold slots while decisions are measured.
const HELD_SLOTS: u64 = 24;

/// Returns a placer with [`HELD_SLOTS`] slots in use: 24 of 60 with 15 upstreams.
fn busy_placer(upstreams: usize) -> ServicePlacer {
    let (mut placer, prepared) = (placer(upstreams, 256), PreparedAsks::new());
    let mut actions = Vec::new();
    for held in 0..HELD_SLOTS {
        let (entry, ask) = prepared.get(u64::MAX - held);
        placer.ask(entry, ask, Moment::ZERO, &mut actions);
    }
    placer
}

fn placer(upstreams: usize, queue_limit: u32) -> ServicePlacer {
    let rule = ServiceRule { queue_limit, ..ServiceRule::default() };
    let mut placer = ServicePlacer::new(build::settings(rule, 1));
    let mut actions = Vec::new();
    placer.finish_recount(Moment::ZERO, &mut actions);
    for number in 0..upstreams {
        let mut announcement = build::announcement(number, number % 4, 4);
        announcement.lease_ms = u32::MAX;
        placer.announce(&announcement, Moment::ZERO, &mut actions);
    }
    placer
}

fn take_grant(actions: &mut Vec<PlacerAction>) -> Option<SlotGrant> {
    let mut found = None;
    for action in actions.drain(..) {
        if let PlacerAction::Grant { grant, .. } = action {
            found = Some(grant);
        }
    }
    found
}

/// Runs decisions on the placers in a scattered order. Returns the nanoseconds and allocations per decision.
fn measure_decisions(placers: &mut [ServicePlacer], count: u64) -> (f64, f64) {
    let prepared = PreparedAsks::new();
    let mut actions = Vec::with_capacity(64);
    let (mut spent, mut allocations) = (Duration::ZERO, 0);
    for call in 0..count {
        let scattered = call.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 32;
        let index = (scattered % placers.len() as u64) as usize;
        let placer = &mut placers[index];
        let now = Moment::from_micros(call * 50);
        let (entry, ask) = prepared.get(call);
        let route = call as usize % 40 % 5;
        let region = Region::new(ALLOCATOR);
        let started = Instant::now();
        placer.ask(entry, ask, now, &mut actions);
        spent += started.elapsed();
        allocations += region.change().allocations;
        let Some(grant) = take_grant(&mut actions) else { continue };
        let took = Duration::from_millis(20);
        let settle = build::settle(&grant, route, call | 1 << 40, OutcomeClass::Success, took);
        let region = Region::new(ALLOCATOR);
        let started = Instant::now();
        placer.settle(&settle, now + took, &mut actions);
        spent += started.elapsed();
        allocations += region.change().allocations;
        actions.clear();
    }
    (spent.as_nanos() as f64 / count as f64, allocations as f64 / count as f64)
}

/// Returns the fastest of three runs, the one least disturbed by other work on the machine.
fn fastest_of_three(mut run: impl FnMut() -> (f64, f64)) -> (f64, f64) {
    let runs: Vec<(f64, f64)> = (0..3).map(|_| run()).collect();
    let by_time = |a: &&(f64, f64), b: &&(f64, f64)| a.0.total_cmp(&b.0);
    runs.iter().min_by(by_time).copied().unwrap_or_default()
}

/// Returns the nanoseconds per cancel among `waiting` queued calls.
fn cancel_ns(waiting: u64) -> f64 {
    let prepared = PreparedAsks::new();
    let mut placer = placer(1, u32::MAX);
    let mut actions = Vec::new();
    for call in 0..waiting + 4 {
        let (entry, ask) = prepared.get(call);
        placer.ask(entry, ask, Moment::ZERO, &mut actions);
    }
    let mut spent = Duration::ZERO;
    let rounds = 20_000;
    for round in 0..rounds {
        let call = 4 + round * 7 % waiting;
        let (entry, ask) = prepared.get(call);
        let id = AskId { entry: entry.clone(), call: ask.call, attempt: 1 };
        let started = Instant::now();
        placer.cancel(&id);
        spent += started.elapsed();
        placer.ask(entry, ask, Moment::ZERO, &mut actions);
        actions.clear();
    }
    spent.as_nanos() as f64 / rounds as f64
}

fn print_line(line: &str) {
    let mut out = std::io::stdout().lock();
    let _ = writeln!(out, "{line}");
}

fn main() -> ExitCode {
    print_line("a decision (ask, grant, settle)        ns  allocations");
    let mut rows = Vec::new();
    for upstreams in [15, 100, 1_000] {
        let row = fastest_of_three(|| measure_decisions(&mut [busy_placer(upstreams)], 200_000));
        print_line(&format!(
            "{upstreams:>5} upstreams, 1 service      {:>9.0} {:>12.2}",
            row.0, row.1
        ));
        rows.push(row);
    }
    // docs/CAPACITY.md is computed from this figure.
    print_line(&format!("slope decide.placement-ns {:.0} ns", rows[1].0));
    let upstream_growth = rows[2].0 / rows[0].0;
    let mut services = Vec::new();
    for count in [4, 100, 6_000] {
        let mut placers: Vec<_> = (0..count).map(|_| busy_placer(28)).collect();
        // Warm up each placer, so that it has its usual state.
        measure_decisions(&mut placers, count as u64 * 20);
        let row = fastest_of_three(|| measure_decisions(&mut placers, 200_000));
        print_line(&format!("   28 upstreams, {count:>5} services {:>9.0} {:>12.2}", row.0, row.1));
        services.push(row);
    }
    let service_growth = services[2].0 / services[0].0;
    let few = (0..3).map(|_| cancel_ns(40)).fold(f64::MAX, f64::min);
    let many = (0..3).map(|_| cancel_ns(4_000)).fold(f64::MAX, f64::min);
    print_line(&format!("a cancel among 40 and 4,000 waiting: {few:.0} and {many:.0} ns"));
    let allocations = rows.iter().chain(&services).map(|row| row.1).fold(0.0, f64::max);
    let checks = [
        ("time, 15 to 1,000 upstreams", upstream_growth, MAX_UPSTREAM_GROWTH),
        ("time, 4 to 6,000 services", service_growth, MAX_SERVICE_GROWTH),
        ("allocations of a decision", allocations, MAX_ALLOCATIONS),
        ("time of a cancel, 40 to 4,000 waiting", many / few, MAX_CANCEL_GROWTH),
    ];
    let mut passed = true;
    for (name, value, bound) in checks {
        passed &= value <= bound;
        print_line(&format!("{name}: {value:.2}, bound {bound}"));
    }
    if passed { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
