//! A front machine is stopped as planned while requests of its consumers wait for a slot of a service that
//! has as many consumers as it can serve within the aim. Each request that it has read must be answered.

use std::{
    collections::{BTreeMap, HashSet},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, sleep},
    time::{Duration, Instant},
};

use crate::{
    fleet::{Fleet, Role},
    http::{self, Wire},
    note,
    operator::{self, Order},
    target, trouble,
};

/// The aim, time limit and route's timeout are those of `depot-stock` (site crcs-routing); its targets have
/// six slots and work for 2 s.
const KIND: target::Kind = target::Kind { slots: 6, work: Duration::from_millis(2_000) };
const TARGETS: usize = 6;
const TIME_LIMIT: Duration = Duration::from_millis(40_000);
const CONFIG: &str = "{\"version\":1,\"routes\":[{\"name\":\"r-stock\",\"host\":\"relief.example\",\
    \"pathPrefix\":\"/stock/\",\"type\":\"safe\",\"timeoutMs\":40000,\"aimMs\":6000,\"priority\":2,\
    \"maxAttempts\":2,\"service\":\"desk\"}],\"services\":[{\"name\":\"desk\",\"healthCheckPath\":\"/health\",\
    \"maxConnections\":330,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"maxHeaderBytes\":16384,\
    \"maxBodyBytes\":67108864,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";

/// How many consumers there are, and how long each waits between two requests.
const CONSUMERS: usize = 225;
const PAUSES: (u64, u64) = (500, 11_500);

const GRACE: Duration = Duration::from_secs(6);
const LOSS_SLACK: Duration = Duration::from_millis(200);
/// Planned work counts until 1 s after the grace time.
const AFTER: Duration = Duration::from_secs(1);

struct Sent {
    id: String,
    front: usize,
    at: Instant,
    ended: Instant,
    /// The status, or how the connection ended.
    answer: Result<u16, String>,
}

struct Press {
    fronts: Vec<String>,
    /// Whether the balancer has the first front machine out of rotation.
    out: AtomicBool,
    stop: AtomicBool,
    sent: Mutex<Vec<Sent>>,
}

pub fn run() -> bool {
    let mut fleet = Fleet::lay_out(5, 2);
    for at in 0..fleet.machines.len() {
        fleet.start(at, true);
    }
    let nodes: Vec<String> =
        fleet.with(Role::Core).into_iter().map(|at| fleet.control_address(at)).collect();
    sleep(Duration::from_secs(3));
    if !matches!(
        operator::send(CONFIG, &nodes, Instant::now() + Duration::from_secs(20)),
        Order::Acked
    ) {
        crate::cannot_run("the configuration is not acknowledged");
    }
    let ran = target::Ran::default();
    for n in 0..TARGETS {
        let (address, zone) = (fleet.target_address(n), fleet.zone(n));
        target::start(KIND, &format!("i-desk{n}"), &address, zone, nodes.clone(), ran.clone());
    }
    sleep(Duration::from_secs(3));
    let fronts = fleet.with(Role::Front);
    let press = Arc::new(Press {
        fronts: fronts.iter().map(|&at| fleet.front_address(at)).collect(),
        out: AtomicBool::new(false),
        stop: AtomicBool::new(false),
        sent: Mutex::default(),
    });
    let (ready, balancing) = (fleet.ready_address(fronts[0]), press.clone());
    thread::spawn(move || balance(&ready, &balancing));
    note(&format!("{CONSUMERS} consumers before {TARGETS} targets of {} slots", KIND.slots));
    let consumers: Vec<_> = (0..CONSUMERS)
        .map(|number| {
            let press = press.clone();
            thread::spawn(move || consume(number, &press))
        })
        .collect();
    sleep(Duration::from_secs(25));
    let signal = Instant::now();
    if trouble() {
        fleet.signal(fronts[0], "TERM");
        note(&format!("{} gets SIGTERM", fleet.machines[fronts[0]].name));
    }
    let mut ended = None;
    while signal.elapsed() < GRACE {
        if ended.is_none() && !fleet.runs(fronts[0]) {
            ended = Some(signal.elapsed());
            note(&format!(
                "its process has ended by itself: {}",
                fleet.ended(fronts[0]).unwrap_or_default()
            ));
        }
        sleep(Duration::from_millis(5));
    }
    if trouble() && ended.is_none() {
        note("graceS is over: SIGKILL");
        fleet.kill(fronts[0]);
    }
    sleep(AFTER);
    press.stop.store(true, Ordering::SeqCst);
    sleep(Duration::from_secs(9));
    drop(consumers);
    let ran: HashSet<String> =
        ran.lock().map(|ran| ran.iter().map(|(id, _)| id.clone()).collect()).unwrap_or_default();
    judge(&press, &ran, signal)
}

/// Asks as the provider does: each second, and two misses take the machine out of rotation.
fn balance(ready: &str, press: &Press) {
    let mut misses = 0;
    loop {
        let head = format!("GET /readiness HTTP/1.1\r\nHost: {ready}\r\n");
        let well = http::ask(ready, &head, &[], Duration::from_secs(1))
            .is_ok_and(|answer| answer.status() == 200);
        misses = if well { 0 } else { misses + 1 };
        press.out.store(misses >= 2, Ordering::SeqCst);
        sleep(Duration::from_secs(1));
    }
}

/// Sends one request after the other on a connection that is kept while it may be; a new connection goes
/// to a machine in rotation.
fn consume(number: usize, press: &Press) {
    sleep(Duration::from_millis(number as u64 * 53 % 11_000));
    let mut kept: Option<(usize, Wire)> = None;
    for turn in 0_u64.. {
        if press.stop.load(Ordering::SeqCst) {
            return;
        }
        let (front, mut wire) = match kept.take() {
            Some(kept) => kept,
            None => {
                let front =
                    if press.out.load(Ordering::SeqCst) { 1 } else { usize::from(number % 3 == 2) };
                let Ok(wire) = Wire::connect(&press.fronts[front], Duration::from_secs(1)) else {
                    sleep(Duration::from_millis(200));
                    continue;
                };
                (front, wire)
            }
        };
        let id = format!("{number:04x}{turn:012x}");
        let head = format!(
            "GET /stock/{number}-{turn} HTTP/1.1\r\nHost: relief.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 40000\r\n\r\n"
        );
        let at = Instant::now();
        let written = wire.write(head.as_bytes());
        let answer = match written.and_then(|()| wire.read(at + TIME_LIMIT)) {
            Ok(Some(answer)) => Ok(answer),
            Ok(None) => Err("closed without an answer".to_owned()),
            Err(error) => Err(error.to_string()),
        };
        let pause = answer
            .as_ref()
            .ok()
            .and_then(|answer| answer.header("retry-after")?.parse::<f64>().ok());
        let keeps = answer.as_ref().is_ok_and(|answer| {
            !answer.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"))
        });
        let status = answer.map(|answer| answer.status());
        if let Ok(mut sent) = press.sent.lock() {
            sent.push(Sent { id, front, at, ended: Instant::now(), answer: status });
        }
        if keeps {
            kept = Some((front, wire));
        }
        let drawn = PAUSES.0 + (number as u64 * 911 + turn * 1_397) % (PAUSES.1 - PAUSES.0);
        sleep(pause.map_or(Duration::from_millis(drawn), Duration::from_secs_f64));
    }
}

/// Looks for connections of the stopped machine that ended without a whole answer, though the machine had
/// the request for longer than `lossSlackMs` and no target was at work on it. Where the target was still at
/// work in the last sixth of `graceS` the rule excuses the end, so requests that reached a target are left out.
fn judge(press: &Press, ran: &HashSet<String>, signal: Instant) -> bool {
    let Ok(sent) = press.sent.lock() else { return true };
    let mut told = BTreeMap::<String, usize>::new();
    let mut times: Vec<Duration> = Vec::new();
    for one in sent.iter() {
        let answer = one.answer.as_ref().map_or_else(Clone::clone, ToString::to_string);
        *told.entry(answer).or_default() += 1;
        if one.answer == Ok(200) && one.ended < signal {
            times.push(one.ended - one.at);
        }
    }
    times.sort_unstable();
    let part =
        |share: usize| times.get(times.len() * share / 100).map_or(0.0, Duration::as_secs_f64);
    note(&format!("{} requests; answers: {told:?}", sent.len()));
    note(&format!(
        "before the signal: half are answered within {:.2} s, nine in ten within {:.2} s",
        part(50),
        part(90)
    ));
    let lost: Vec<&Sent> = sent
        .iter()
        .filter(|one| {
            one.front == 0
                && one.answer.is_err()
                && !ran.contains(&one.id)
                && one.ended > signal
                && one.ended < signal + GRACE + AFTER
                && one.ended - one.at > LOSS_SLACK
                && one.ended - one.at < TIME_LIMIT
        })
        .collect();
    for one in &lost {
        let at = if one.at < signal {
            -(signal - one.at).as_secs_f64()
        } else {
            (one.at - signal).as_secs_f64()
        };
        note(&format!(
            "lost: {} sent {at:.2} s after the signal, its connection ended {:.2} s after it, at no target ({})",
            one.id,
            (one.ended - signal).as_secs_f64(),
            one.answer.as_ref().err().map_or("", String::as_str)
        ));
    }
    let cut = sent
        .iter()
        .filter(|one| one.front == 0 && one.answer.is_err() && ran.contains(&one.id))
        .count();
    note(&format!(
        "{} requests lost that were at no target; {cut} more ended without an answer while a target had them (not judged)",
        lost.len()
    ));
    if told.get("200").copied().unwrap_or(0) < 100 {
        crate::cannot_run("fewer than 100 requests were served");
    }
    lost.is_empty()
}
