//! Callers, and what became of their calls.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use crate::{balancer::BalancerStandin, plan::RoutePlan};
use hdrhistogram::Histogram;
use model::{
    call::{CallClass, KEY_HEADER, OUTCOME_HEADER},
    ledger::CallKey,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use standin::call::{CallConnection, WholeAnswer, request};
use tokio::{sync::watch, task::JoinSet};

/// What a load is made of.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// The routes that are called, with equal weight.
    pub routes: Vec<RoutePlan>,
    /// How many callers.
    pub callers: usize,
    /// How long a caller pauses between two calls.
    pub pause: Duration,
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
    /// Resends of a key after an answer that did not settle it.
    pub resends: u64,
    /// Keys of which each answer said that nothing was run.
    pub refused_keys: Vec<String>,
    /// Keys that got a whole answer, so that they must have run once.
    pub answered_keys: Vec<String>,
    /// How long whole answers to reads took, in microseconds.
    pub reads_took: Histogram<u64>,
    /// How long whole answers to calls with a key took, in microseconds.
    pub keyed_took: Histogram<u64>,
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
            resends: 0,
            refused_keys: Vec::new(),
            answered_keys: Vec::new(),
            reads_took: Histogram::new(3).expect("three digits are allowed"),
            keyed_took: Histogram::new(3).expect("three digits are allowed"),
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
        self.resends += other.resends;
        self.refused_keys.extend(other.refused_keys.iter().cloned());
        self.answered_keys.extend(other.answered_keys.iter().cloned());
        self.reads_took.add(&other.reads_took).expect("both grow as needed");
        self.keyed_took.add(&other.keyed_took).expect("both grow as needed");
    }
}

/// A running load. Dropping it ends it.
pub struct LoadRun {
    callers: JoinSet<LoadTally>,
    stop: Arc<AtomicBool>,
    settled: watch::Receiver<u64>,
}

/// How long a load may take to settle the calls that are waited for.
const PROGRESS_TIMEOUT: Duration = Duration::from_secs(20);

impl LoadRun {
    /// Starts the callers.
    pub fn spawn(plan: &LoadPlan, balancer: &Arc<BalancerStandin>) -> Self {
        let mut callers = JoinSet::new();
        let stop = Arc::new(AtomicBool::new(false));
        let (count, settled) = watch::channel(0);
        let count = Arc::new(count);
        for number in 0..plan.callers {
            let caller = LoadCaller {
                random: Pcg64Mcg::seed_from_u64(plan.seed.wrapping_add(number as u64)),
                tally: LoadTally::default(),
                connection: None,
                number,
                balancer: balancer.clone(),
                settled: count.clone(),
            };
            callers.spawn(run_caller(caller, plan.clone(), stop.clone()));
        }
        Self { callers, stop, settled }
    }

    /// Waits until `calls` more calls are settled.
    ///
    /// # Panics
    ///
    /// Panics when they are not within 20 s.
    pub async fn after(&mut self, calls: u64) {
        let aim = *self.settled.borrow() + calls;
        let reached = self.settled.wait_for(|&settled| settled >= aim);
        let reached = tokio::time::timeout(PROGRESS_TIMEOUT, reached).await;
        assert!(reached.is_ok_and(|reached| reached.is_ok()), "the load came to a halt");
    }

    /// Ends the load once each caller's present call is settled.
    ///
    /// # Panics
    ///
    /// Panics when a caller did.
    pub async fn finish(mut self) -> LoadTally {
        self.stop.store(true, Ordering::Relaxed);
        let mut tally = LoadTally::default();
        while let Some(one) = self.callers.join_next().await {
            tally.merge(&one.expect("a caller does not panic"));
        }
        tally
    }
}

async fn run_caller(mut caller: LoadCaller, plan: LoadPlan, stop: Arc<AtomicBool>) -> LoadTally {
    while !stop.load(Ordering::Relaxed) {
        let route = plan.routes[caller.random.random_range(0..plan.routes.len())];
        caller.call(route).await;
        caller.settled.send_modify(|settled| *settled += 1);
        tokio::time::sleep(plan.pause).await;
    }
    caller.tally
}

struct LoadCaller {
    random: Pcg64Mcg,
    tally: LoadTally,
    connection: Option<(SocketAddr, CallConnection)>,
    number: usize,
    balancer: Arc<BalancerStandin>,
    settled: Arc<watch::Sender<u64>>,
}

/// What one answer told of its call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AnswerKind {
    Whole,
    Error,
    NotRun,
    Unknown,
    InProgress,
    Cut,
}

/// How many direct calls are measured.
const DIRECT_CALLS: u32 = 500;

/// How often a key is sent again before its caller gives up.
const RESENDS_LIMIT: u32 = 8;

/// How long a caller waits before it sends a key again.
const RESEND_PAUSE: Duration = Duration::from_millis(250);

impl LoadCaller {
    async fn call(&mut self, route: RoutePlan) {
        let path = format!("{}/{}", route.path, self.random.random::<u32>());
        match route.class {
            CallClass::Idempotent => {
                self.send("GET", &path, None).await;
            }
            CallClass::KeyRequired | CallClass::Unprotected => self.call_with_key(&path).await,
        }
    }

    /// Sends a key until its fate is settled, as a phone would after a lost answer.
    async fn call_with_key(&mut self, path: &str) {
        let key = CallKey::from_parts(now_ms(), self.random.random()).to_string();
        let mut all_not_run = true;
        for attempt in 0..=RESENDS_LIMIT {
            if attempt > 0 {
                self.tally.resends += 1;
                tokio::time::sleep(RESEND_PAUSE).await;
            }
            let kind = self.send("POST", path, Some(&key)).await;
            all_not_run &= matches!(kind, Some(AnswerKind::NotRun) | None);
            match kind {
                Some(AnswerKind::Whole) => {
                    self.tally.answered_keys.push(key);
                    return;
                }
                Some(AnswerKind::Error | AnswerKind::Unknown) => return,
                Some(AnswerKind::NotRun | AnswerKind::InProgress | AnswerKind::Cut) | None => (),
            }
        }
        if all_not_run {
            self.tally.refused_keys.push(key);
        }
    }

    /// Sends one request. `None`: no VM took a connection, so nothing was sent.
    async fn send(&mut self, method: &str, path: &str, key: Option<&str>) -> Option<AnswerKind> {
        let headers: Vec<_> = key.iter().map(|&key| (KEY_HEADER, key)).collect();
        let body: &[u8] = if key.is_some() { b"one hundred rupees" } else { b"" };
        let mut connection = self.connect().await?;
        self.tally.calls += 1;
        let started = Instant::now();
        let answer = connection.1.send(request(method, path, &headers, body)).await;
        let kind = match answer {
            Ok(answer) => {
                self.connection = Some(connection);
                let took = started.elapsed();
                let kind = self.judge(&answer, path);
                if kind == AnswerKind::Whole {
                    self.record(key.is_some(), took);
                }
                kind
            }
            Err(_) => {
                self.number += 1;
                AnswerKind::Cut
            }
        };
        self.count(kind);
        Some(kind)
    }

    /// Keeps the connection as long as the balancer would.
    async fn connect(&mut self) -> Option<(SocketAddr, CallConnection)> {
        if let Some(held) = self.connection.take()
            && self.balancer.is_ready(held.0)
            && !held.1.is_closing()
        {
            return Some(held);
        }
        let address = self.balancer.pick(self.number)?;
        let connection = CallConnection::open(address).await.ok();
        if connection.is_none() {
            self.number += 1;
        }
        Some((address, connection?))
    }

    fn record(&mut self, keyed: bool, took: Duration) {
        let micros = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
        let histogram = if keyed { &mut self.tally.keyed_took } else { &mut self.tally.reads_took };
        histogram.record(micros).expect("the histogram grows as needed");
    }

    fn judge(&mut self, answer: &WholeAnswer, path: &str) -> AnswerKind {
        match answer.header(OUTCOME_HEADER) {
            "not-run" => AnswerKind::NotRun,
            "unknown" => AnswerKind::Unknown,
            "in-progress" => AnswerKind::InProgress,
            _ if answer.status.is_server_error() => AnswerKind::Error,
            _ => {
                self.check_whole(answer, path);
                AnswerKind::Whole
            }
        }
    }

    fn count(&mut self, kind: AnswerKind) {
        let counter = match kind {
            AnswerKind::Whole => &mut self.tally.whole,
            AnswerKind::Error => &mut self.tally.errors,
            AnswerKind::NotRun => &mut self.tally.not_run,
            AnswerKind::Unknown | AnswerKind::InProgress => &mut self.tally.unknown,
            AnswerKind::Cut => &mut self.tally.cut,
        };
        *counter += 1;
    }

    fn check_whole(&mut self, answer: &WholeAnswer, path: &str) {
        let text = String::from_utf8_lossy(&answer.body);
        if text.split(' ').nth(1) != Some(path) {
            self.tally.foreign += 1;
        }
    }
}

/// Measures calls to an upstream without the fleet, in microseconds.
///
/// # Panics
///
/// Panics when the upstream does not answer.
pub async fn measure_direct(upstream: SocketAddr) -> Histogram<u64> {
    let mut took = Histogram::new(3).expect("three digits are allowed");
    let mut connection = CallConnection::open(upstream).await.expect("the upstream listens");
    for _ in 0..DIRECT_CALLS {
        let started = Instant::now();
        let answer = connection.send(request("GET", "/direct", &[], b"")).await;
        answer.expect("the upstream answers");
        let micros = u64::try_from(started.elapsed().as_micros()).unwrap_or(u64::MAX);
        took.record(micros).expect("the histogram grows as needed");
    }
    took
}

/// Returns the milliseconds since 1970.
pub fn now_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    u64::try_from(since.unwrap_or_default().as_millis()).unwrap_or(u64::MAX)
}
