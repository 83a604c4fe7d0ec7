//! One process of the core is killed in the first moments of the very first start, before the group of the
//! configuration has been founded, and is back within a second with its disk.

use std::{
    thread::sleep,
    time::{Duration, Instant},
};

use crate::{
    fleet::{ACK, CONTACT_WINDOW, Fleet, Role},
    http, note,
    operator::{self, Order},
    target, trouble,
};

pub fn run() -> bool {
    let after =
        std::env::var("KILL_AFTER_MS").ok().and_then(|text| text.parse().ok()).unwrap_or(150);
    let mut fleet = Fleet::lay_out(6, 4);
    let spare = fleet.with(Role::Core)[5];
    let mut cores = fleet.with(Role::Core)[..5].to_vec();
    note("the whole system starts for the first time: bootstrap = true, empty disks");
    for at in (0..fleet.machines.len()).filter(|&at| at != spare) {
        fleet.start(at, true);
    }
    sleep(Duration::from_millis(after));
    if trouble() && std::env::var_os("REPLACED").is_some() {
        fleet.kill(cores[1]);
        note(&format!(
            "gone for good, {after} ms after the last process was started: {}",
            fleet.machines[cores[1]].name
        ));
        sleep(Duration::from_secs(2));
        cores[1] = spare;
        fleet.start(spare, false);
        note("an empty machine of the core comes at another address; bootstrap = false");
    } else if trouble() {
        let all = std::env::var_os("KILL_ALL").is_some();
        let killed = if all { cores.clone() } else { cores[..1].to_vec() };
        fleet.kill_together(&killed);
        let names: Vec<&str> = killed.iter().map(|&at| fleet.machines[at].name.as_str()).collect();
        note(&format!(
            "killed (SIGKILL), {after} ms after the last process was started: {}",
            names.join(", ")
        ));
        sleep(Duration::from_millis(400));
        killed.iter().for_each(|&at| fleet.start(at, false));
        note(
            "started again with its disk; bootstrap = false, since this is no first start of the whole system",
        );
    }
    let back = Instant::now();
    let nodes: Vec<String> = cores.iter().map(|&at| fleet.control_address(at)).collect();
    let ran = target::Ran::default();
    for n in 0..4 {
        let address = fleet.target_address(n);
        target::start(
            KIND,
            &format!("i-desk{n}"),
            &address,
            fleet.zone(n),
            nodes.clone(),
            ran.clone(),
        );
    }
    sleep(Duration::from_secs(1));
    note("the operator sends the first configuration, and again until it is acknowledged");
    let order = operator::send(&operator::document(1, 0), &nodes, back + Duration::from_secs(45));
    let took = back.elapsed();
    for &at in &cores {
        if let Some(end) = fleet.ended(at) {
            note(&format!("{} has ended by itself: {end}", fleet.machines[at].name));
        }
    }
    sleep(Duration::from_secs(2));
    let served = consume(&fleet);
    note(&format!(
        "{served} of {REQUESTS} requests of consumers are served; targets ran {}",
        ran.lock().map_or(0, |ran| ran.len())
    ));
    let ready = fleet.with(Role::Front).into_iter().filter(|&at| {
        let address = fleet.ready_address(at);
        let head = format!("GET /readiness HTTP/1.1\r\nHost: {address}\r\n");
        crate::http::ask(&address, &head, &[], Duration::from_secs(1))
            .is_ok_and(|answer| answer.status() == 200)
    });
    note(&format!("{} of 4 fronts say that they are ready", ready.count()));
    let bound = CONTACT_WINDOW + ACK;
    match order {
        Order::Acked => {
            note(&format!(
                "acknowledged {} ms after the start; the bound is {} ms",
                took.as_millis(),
                bound.as_millis()
            ));
            took <= bound && served > 0
        }
        Order::Refused(status) => {
            crate::cannot_run(&format!("the configuration is refused with {status}"))
        }
        Order::Unanswered => {
            note(&format!(
                "no acknowledgement {} s after the core was back; the bound is {} ms",
                back.elapsed().as_secs(),
                bound.as_millis()
            ));
            false
        }
    }
}

const REQUESTS: usize = 80;

const KIND: target::Kind = target::Kind { slots: 4, work: Duration::from_millis(50) };

/// Sends safe and unsafe requests to the fronts in turn, with the time limits of the site. Returns how many
/// are served.
fn consume(fleet: &Fleet) -> usize {
    let fronts = fleet.with(Role::Front);
    let mut served = 0;
    let mut statuses = std::collections::BTreeMap::<String, usize>::new();
    for n in 0..REQUESTS {
        let address = fleet.front_address(fronts[n % fronts.len()]);
        let (head, body) = match n % 2 {
            0 => (
                format!(
                    "GET /clue/{n} HTTP/1.1\r\nHost: clue.example\r\nRequest-Id: c{n:06}\r\nDeadline-Ms: 2500\r\n"
                ),
                String::new(),
            ),
            _ => (
                format!(
                    "POST /fee/{n} HTTP/1.1\r\nHost: fee.example\r\nRequest-Id: f{n:06}\r\nDeadline-Ms: 3000\r\n"
                ),
                format!("fee {n}"),
            ),
        };
        let answer = http::ask(&address, &head, body.as_bytes(), Duration::from_secs(3));
        served += usize::from(answer.as_ref().is_ok_and(|answer| answer.status() == 200));
        let status =
            answer.map_or_else(|error| error.to_string(), |answer| answer.status().to_string());
        *statuses.entry(status).or_default() += 1;
    }
    note(&format!("answers to consumers: {statuses:?}"));
    served
}
