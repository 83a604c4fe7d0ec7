//! What a configuration costs as it grows: memory, a change, a look-up; with bounds on the growth.
//!
//! Prints a line `slope NAME VALUE UNIT` for each figure that docs/CAPACITY.md is worked out from.
#![allow(clippy::print_stdout, reason = "the table is what a benchmark is for")]
#![allow(missing_docs, reason = "a benchmark has no users")]

use std::{hint::black_box, process::ExitCode, time::Instant};

use memory_stats::memory_stats;
use model::{
    call::CallClass,
    config::{ConfigImage, ControlSettings, FleetConfig, ServiceRule},
    numbers::ConfigNumber,
    patch::{ConfigChange, ConfigPatch, PatchId},
    route::RouteRule,
};
use uuid::Uuid;

/// The routes and services of the users' letter.
const ROUTES: usize = 93_000;
const SERVICES: usize = 6_000;

/// A hundredth of them, to compare with.
const FEW: usize = 100;

/// How often each operation is timed.
const ROUNDS: u32 = 2_000;

fn rule(number: usize) -> RouteRule {
    RouteRule {
        host: Some(format!("hunt-{}.example", number % 1_000)),
        path: format!("/area-{}/clue-{number}", number % 97),
        methods: vec!["GET".to_owned()],
        service: format!("service-{}", number % SERVICES).parse().expect("a valid name"),
        class: CallClass::Idempotent,
        timeout_ms: 2_000,
    }
}

fn config(routes: usize) -> FleetConfig {
    let service = |number| format!("service-{number}").parse().expect("a valid name");
    let route = |number| format!("route-{number}").parse().expect("a valid name");
    FleetConfig::from_image(ConfigImage {
        number: ConfigNumber(1),
        services: (0..SERVICES).map(|n| (service(n), ServiceRule::default())).collect(),
        routes: (0..routes).map(|n| (route(n), rule(n))).collect(),
        settings: ControlSettings::default(),
    })
}

fn resident() -> f64 {
    memory_stats().map_or(0.0, |stats| stats.physical_mem as f64)
}

/// Returns the nanoseconds of one change, on average.
fn change_ns(config: &FleetConfig) -> f64 {
    let mut present = config.clone();
    let started = Instant::now();
    for round in 0..ROUNDS {
        let name = format!("route-{}", round % 50).parse().expect("a valid name");
        let mut rule = rule(round as usize % 50);
        rule.timeout_ms = 1_000 + round;
        let patch = ConfigPatch {
            id: PatchId(Uuid::from_u128(u128::from(round))),
            base: present.number(),
            author: "bench".to_owned(),
            changes: vec![ConfigChange::PutRoute { name, rule }],
        };
        present = present.apply(&patch).expect("the patch is valid");
    }
    started.elapsed().as_nanos() as f64 / f64::from(ROUNDS)
}

/// Returns the nanoseconds of finding the route of a request, on average.
fn find_ns(config: &FleetConfig, routes: usize) -> f64 {
    let wanted: Vec<_> = (0..FEW).map(|n| rule(n * routes / FEW)).collect();
    let started = Instant::now();
    for _ in 0..ROUNDS {
        for rule in &wanted {
            let host = rule.host.as_deref().unwrap_or("");
            black_box(config.find_route(host, &rule.path, "GET").expect("the route is there"));
        }
    }
    started.elapsed().as_nanos() as f64 / f64::from(ROUNDS) / wanted.len() as f64
}

struct BenchBounds(bool);

impl BenchBounds {
    fn at_most(&mut self, what: &str, value: f64, limit: f64) {
        let kept = value <= limit;
        self.0 &= kept;
        let word = if kept { "kept" } else { "BROKEN" };
        println!("bound {word}: {what}: {value:.2} (at most {limit:.2})");
    }
}

fn main() -> ExitCode {
    let before = resident();
    let large = config(ROUTES);
    let memory = (resident() - before) / ROUTES as f64;
    let small = config(FEW);
    let image = postcard::to_stdvec(&large.to_image()).expect("an image has a postcard form").len();
    let (change, change_small) = (change_ns(&large), change_ns(&small));
    let (find, find_small) = (find_ns(&large, ROUTES), find_ns(&small, FEW));
    println!("slope model.route-memory {memory:.0} B");
    println!("slope model.route-image {:.0} B", image as f64 / ROUTES as f64);
    println!("slope model.change-us {:.2} us", change / 1_000.0);
    println!("slope model.find-us {:.2} us", find / 1_000.0);
    let mut bounds = BenchBounds(true);
    bounds.at_most("memory of a route, B", memory, 2_000.0);
    bounds.at_most("time of a change, 93,000 routes to 100", change / change_small, 6.0);
    bounds.at_most("time of a look-up, 93,000 routes to 100", find / find_small, 6.0);
    if bounds.0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
