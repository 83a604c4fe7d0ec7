//! Callers, and what became of their calls.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use crate::{balancer::BalancerStandin, deployment::RoutePlan};
use hdrhistogram::Histogram;
use model::{
    call::{CallClass, KEY_HEADER, OUTCOME_HEADER},
    ledger::CallKey,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use standin::call::{CallConnection, WholeAnswer, request};
use tokio::task::JoinSet;

/// What a load is made of.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// The routes that are called, with equal weight.
    pub routes: Vec<RoutePlan>,
    /// How many callers.
    pub callers: usize,
    /// How long a caller pauses between two calls.
    pub pause: Duration,
    /// How long the load lasts.
    pub lasts: Duration,
    /// Seeds what callers draw.
    pub seed: u64,
}

/// What became of the calls.
#[derive(Debug)]
pub struct LoadTally {
    /// Calls sent.
    pub calls: u64,
    /// Whole answers of upstreams.
    pub whole: u64,
    /// Refusals that say that nothing was run.
    pub not_run: u64,
    /// Answers that say that the call may have run.
    pub unknown: u64,
    /// Answers with an upstream's own error.
    pub errors: u64,
    /// Calls that were cut: no answer, or not a whole one.
    pub cut: u64,
    /// Answers that belong to another request.
    pub foreign: u64,
    /// Keys that were answered with "not run".
    pub refused_keys: Vec<String>,
    /// How long whole answers took, in microseconds.
    pub took: Histogram<u64>,
}

impl Default for LoadTally {
    fn default() -> Self {
        Self {
            calls: 0,
            whole: 0,
            not_run: 0,
            unknown: 0,
            errors: 0,
            cut: 0,
            foreign: 0,
            refused_keys: Vec::new(),
            took: Histogram::new(3).expect("three digits are allowed"),
        }
    }
}

impl LoadTally {
    fn merge(&mut self, other: &Self) {
        self.calls += other.calls;
        self.whole += other.whole;
        self.not_run += other.not_run;
        self.unknown += other.unknown;
        self.errors += other.errors;
        self.cut += other.cut;
        self.foreign += other.foreign;
        self.refused_keys.extend(other.refused_keys.iter().cloned());
        self.took.add(&other.took).expect("both grow as needed");
    }
}

/// Runs a load through a balancer.
pub async fn run(plan: LoadPlan, balancer: Arc<BalancerStandin>) -> LoadTally {
    let mut callers = JoinSet::new();
    for number in 0..plan.callers {
        callers.spawn(run_caller(plan.clone(), number, balancer.clone()));
    }
    let mut tally = LoadTally::default();
    while let Some(one) = callers.join_next().await {
        tally.merge(&one.expect("a caller does not panic"));
    }
    tally
}

async fn run_caller(plan: LoadPlan, number: usize, balancer: Arc<BalancerStandin>) -> LoadTally {
    let mut caller = LoadCaller {
        random: Pcg64Mcg::seed_from_u64(plan.seed.wrapping_add(number as u64)),
        tally: LoadTally::default(),
        connection: None,
        number,
        balancer,
    };
    let until = Instant::now() + plan.lasts;
    while Instant::now() < until {
        let route = plan.routes[caller.random.random_range(0..plan.routes.len())];
        caller.call(route).await;
        tokio::time::sleep(plan.pause).await;
    }
    caller.tally
}

struct LoadCaller {
    random: Pcg64Mcg,
    tally: LoadTally,
    connection: Option<(std::net::SocketAddr, CallConnection)>,
    number: usize,
    balancer: Arc<BalancerStandin>,
}

impl LoadCaller {
    async fn call(&mut self, route: RoutePlan) {
        let path = format!("{}/{}", route.path, self.random.random::<u32>());
        let key = CallKey::from_parts(now_ms(), self.random.random()).to_string();
        let headers = [(KEY_HEADER, key.as_str())];
        let request = match route.class {
            CallClass::Idempotent => request("GET", &path, &[], b""),
            CallClass::KeyRequired | CallClass::Unprotected => {
                request("POST", &path, &headers, b"one hundred rupees")
            }
        };
        let Some(mut connection) = self.connect().await else {
            return;
        };
        self.tally.calls += 1;
        let started = Instant::now();
        match connection.1.send(request).await {
            Ok(answer) => {
                self.count(&answer, &path, key, started.elapsed());
                self.connection = Some(connection);
            }
            Err(_) => self.tally.cut += 1,
        }
    }

    /// Keeps the connection as long as the balancer would.
    async fn connect(&mut self) -> Option<(std::net::SocketAddr, CallConnection)> {
        if let Some(held) = self.connection.take()
            && self.balancer.is_ready(held.0)
        {
            return Some(held);
        }
        let address = self.balancer.pick(self.number)?;
        let connection = CallConnection::open(address).await.ok()?;
        Some((address, connection))
    }

    fn count(&mut self, answer: &WholeAnswer, path: &str, key: String, took: Duration) {
        match answer.header(OUTCOME_HEADER) {
            "not-run" => {
                self.tally.not_run += 1;
                self.tally.refused_keys.push(key);
            }
            "unknown" | "in-progress" => self.tally.unknown += 1,
            _ if answer.status.is_server_error() => self.tally.errors += 1,
            _ => self.count_whole(answer, path, took),
        }
    }

    fn count_whole(&mut self, answer: &WholeAnswer, path: &str, took: Duration) {
        self.tally.whole += 1;
        let text = String::from_utf8_lossy(&answer.body);
        if text.split(' ').nth(1) != Some(path) {
            self.tally.foreign += 1;
        }
        let micros = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
        self.tally.took.record(micros).expect("the histogram grows as needed");
    }
}

/// Returns the milliseconds since 1970.
pub fn now_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    u64::try_from(since.unwrap_or_default().as_millis()).unwrap_or(u64::MAX)
}
