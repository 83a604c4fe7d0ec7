//! The whole system starts for the first time and acknowledges its first configuration. Right after that two
//! machines of the core, as many as are to be borne, lose power and their disks.

use std::{
    thread::sleep,
    time::{Duration, Instant},
};

use crate::{
    fleet::{Fleet, Role},
    http, note,
    operator::{self, Order},
    trouble,
};

/// How long the two machines are without power (the site file's `after_ack_wipe` has 3 s).
pub const DOWN: Duration = Duration::from_millis(1_100);
const RECOVERY: Duration = Duration::from_secs(15);
const READ_FOR: Duration = Duration::from_secs(40);

pub fn run() -> bool {
    let mut fleet = Fleet::lay_out(5, 4);
    let cores = fleet.with(Role::Core);
    let nodes: Vec<String> = cores.iter().map(|&at| fleet.control_address(at)).collect();
    note("the whole system starts for the first time: bootstrap = true, empty disks");
    for at in 0..fleet.machines.len() {
        fleet.start(at, true);
    }
    let started = Instant::now();
    sleep(Duration::from_millis(500));
    note(
        "the operator sends the first configuration (version 1), and again until it is acknowledged",
    );
    let document = operator::document(1, 0);
    if !matches!(
        operator::send_each(&document, &nodes, started + Duration::from_secs(30)),
        Order::Acked
    ) {
        crate::cannot_run("the first configuration is not acknowledged");
    }
    note(&format!(
        "that is {} ms after the last process was started",
        started.elapsed().as_millis()
    ));
    if trouble() {
        fleet.kill_together(&cores[..2]);
        let names: Vec<&str> =
            cores[..2].iter().map(|&at| fleet.machines[at].name.as_str()).collect();
        note(&format!("{} lose power and their disks", names.join(" and ")));
        sleep(DOWN);
        for &at in &cores[..2] {
            fleet.empty_disk(at);
            fleet.start(at, false);
        }
        note("they are back at their addresses, with empty disks and bootstrap = false");
    }
    let back = Instant::now();
    let held = read_back(&nodes, back, 1);
    for &at in &cores {
        if let Some(end) = fleet.ended(at) {
            note(&format!("{} has ended by itself: {end}", fleet.machines[at].name));
        }
    }
    held
}

/// Reads the configuration back at each node in turn. It has to be what was acknowledged, `recoveryS` after
/// all machines are back at the latest.
pub fn read_back(nodes: &[String], back: Instant, version: u64) -> bool {
    let (mut asked, mut refused) = (0, 0);
    let mut last = String::new();
    while back.elapsed() < READ_FOR {
        for node in nodes {
            let head = format!("GET /config HTTP/1.1\r\nHost: {node}\r\n");
            asked += 1;
            match http::ask(node, &head, &[], Duration::from_secs(1)) {
                Ok(answer) if answer.status() == 200 => {
                    let whole = answer.body == operator::document(version, 0).into_bytes();
                    let took = back.elapsed();
                    note(&format!(
                        "{node} gives the configuration {} ms after all machines were back; as it was sent: {whole}",
                        took.as_millis()
                    ));
                    return whole && took <= RECOVERY;
                }
                Ok(answer) => {
                    refused += 1;
                    last =
                        format!("{}: {}", answer.status(), String::from_utf8_lossy(&answer.body));
                }
                Err(error) => last = error.to_string(),
            }
        }
        sleep(Duration::from_millis(500));
    }
    note(&format!(
        "the acknowledged configuration doesn't come: {asked} reads in {} s at all five nodes, {refused} answered with an error, the last {last}",
        READ_FOR.as_secs()
    ));
    let order = operator::send(
        &operator::document(version + 1, 0),
        nodes,
        Instant::now() + Duration::from_secs(8),
    );
    note(&format!("a new configuration is acknowledged: {}", matches!(order, Order::Acked)));
    false
}
