//! A target says that it goes and has its acknowledgement. Right after that all processes are killed and
//! started again. A ping that the target had sent before is late and arrives now.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, sleep},
    time::{Duration, Instant},
};

use crate::{
    fleet::{CONTACT_WINDOW, Fleet, Role},
    http, note,
    operator::{self, Order},
    target, trouble,
};

const KIND: target::Kind = target::Kind { slots: 4, work: Duration::from_millis(200) };
const TARGETS: usize = 6;
const HEARTBEAT: Duration = Duration::from_millis(1_500);
const DRAIN: Duration = Duration::from_millis(2_000);

/// When the late ping arrives, after the acknowledgement; it was sent 0.5 s before that.
const LATE: Duration = Duration::from_millis(3_500);
/// How long the processes are down (the site file's `closing` has 1.1 s and 1.2 s).
const DOWN: Duration = Duration::from_millis(1_100);
/// How long the target serves on after the acknowledgement.
const SERVES_ON: Duration = Duration::from_millis(12_000);

const CONSUMERS: usize = 8;
const PAUSE: Duration = Duration::from_millis(200);

type Answers = Arc<Mutex<BTreeMap<String, String>>>;

pub fn run() -> bool {
    let mut fleet = Fleet::lay_out(5, 4);
    for at in 0..fleet.machines.len() {
        fleet.start(at, true);
    }
    let nodes: Vec<String> =
        fleet.with(Role::Core).into_iter().map(|at| fleet.control_address(at)).collect();
    sleep(Duration::from_secs(3));
    if !matches!(
        operator::send(&operator::document(1, 0), &nodes, Instant::now() + Duration::from_secs(20)),
        Order::Acked
    ) {
        crate::cannot_run("the configuration is not acknowledged");
    }
    let others = target::Ran::default();
    for n in 1..TARGETS {
        let (address, zone) = (fleet.target_address(n), fleet.zone(n));
        target::start(KIND, &format!("i-desk{n}"), &address, zone, nodes.clone(), others.clone());
    }
    let (id, address, zone) = ("i-desk0", fleet.target_address(0), fleet.zone(0));
    let own = target::Ran::default();
    target::listen(KIND, id, &address, own.clone());
    let mut sequence = 0;
    let mut say_ready = || {
        sequence += 1;
        (sequence, target::beat(KIND, &address, zone, sequence))
    };
    let (answers, stop) = (Answers::default(), Arc::new(AtomicBool::new(false)));
    let fronts: Vec<String> =
        fleet.with(Role::Front).into_iter().map(|at| fleet.front_address(at)).collect();
    for number in 0..CONSUMERS {
        let (fronts, answers, stop) = (fronts.clone(), answers.clone(), stop.clone());
        thread::spawn(move || consume(number, &fronts, &answers, &stop));
    }
    // All machines have run for longer than `catchUpS` and `contactWindowMs` by then.
    for _ in 0..5 {
        let (_, beat) = say_ready();
        if !nodes.iter().any(|node| target::tell(node, id, "announce", &beat)) {
            crate::cannot_run("a ping is not acknowledged");
        }
        sleep(HEARTBEAT);
    }
    let (held_up, late) = say_ready();
    note(&format!("{id} sends a ping (ready, sequence {held_up}), which is held up on its way"));
    sleep(Duration::from_millis(500));
    let acked = nodes.iter().any(|node| target::tell(node, id, "leave", "{}"));
    let ack = Instant::now();
    if !acked {
        crate::cannot_run("the leaving is not acknowledged");
    }
    note(&format!(
        "{id} says that it goes, and that is acknowledged; it serves on, and sends no more pings"
    ));
    let mut back = ack;
    if trouble() {
        sleep(Duration::from_millis(100));
        let all: Vec<usize> = (0..fleet.machines.len()).collect();
        fleet.kill_together(&all);
        note("all processes are killed");
        sleep(DOWN);
        all.iter().for_each(|&at| fleet.start(at, false));
        back = Instant::now();
        note("all are started again, those of the core with their disks");
    }
    sleep(LATE.saturating_sub(ack.elapsed()));
    let taken = target::tell(&nodes[1], id, "announce", &late);
    note(&format!("the late ping (ready, sequence {held_up}) arrives; acknowledged: {taken}"));
    sleep(SERVES_ON.saturating_sub(ack.elapsed()));
    stop.store(true, Ordering::SeqCst);
    sleep(Duration::from_secs(1));
    judge(&own, &answers, ack, back)
}

/// Sends safe and unsafe requests, each on a connection of its own, to a machine drawn in turn.
fn consume(number: usize, fronts: &[String], answers: &Answers, stop: &AtomicBool) {
    for turn in 0_usize.. {
        if stop.load(Ordering::SeqCst) {
            return;
        }
        let address = &fronts[(number + turn) % fronts.len()];
        let id = format!("{number:02x}{turn:06x}");
        let (head, body) = match turn % 2 {
            0 => (
                format!(
                    "GET /clue/{id} HTTP/1.1\r\nHost: clue.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 2500\r\n"
                ),
                "",
            ),
            _ => (
                format!(
                    "POST /fee/{id} HTTP/1.1\r\nHost: fee.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 3000\r\n"
                ),
                "fee",
            ),
        };
        let answer = http::ask(address, &head, body.as_bytes(), Duration::from_secs(3));
        let told =
            answer.map_or_else(|error| error.to_string(), |answer| answer.status().to_string());
        if let Ok(mut answers) = answers.lock() {
            answers.insert(id, told);
        }
        sleep(PAUSE);
    }
}

/// Counts the requests that reach the target later than `drainMs` after the acknowledgement, sent on by
/// machines in touch: twice `contactWindowMs` after the last start of a process, as a final fault has taken
/// the core, and 0.5 s more.
fn judge(own: &target::Ran, answers: &Answers, ack: Instant, back: Instant) -> bool {
    let in_touch = back + 2 * CONTACT_WINDOW + Duration::from_millis(500);
    let Ok(own) = own.lock() else { return true };
    let before = own.iter().filter(|(_, at)| *at < ack).count();
    let late: Vec<_> =
        own.iter().filter(|(_, at)| *at > ack + DRAIN && (*at > in_touch || back == ack)).collect();
    for (id, at) in late.iter().take(20) {
        note(&format!(
            "request {id} reaches the target {:.2} s after the acknowledgement",
            (*at - ack).as_secs_f64()
        ));
    }
    let mut told = BTreeMap::<&str, usize>::new();
    if let Ok(answers) = answers.lock() {
        for answer in answers.values() {
            *told.entry(answer.as_str()).or_default() += 1;
        }
        note(&format!("answers to consumers: {told:?}"));
    }
    note(&format!(
        "{before} requests reached the target before the acknowledgement, {} later than drainMs after it, sent on by machines in touch",
        late.len()
    ));
    if before < 10 {
        crate::cannot_run("the target was hardly used before it left");
    }
    late.is_empty()
}
