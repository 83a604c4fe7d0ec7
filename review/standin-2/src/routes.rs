//! The operator's configuration grows to 2,102 routes.

use std::{
    thread::sleep,
    time::{Duration, Instant},
};

use crate::{
    fleet::{ACK, Fleet, Role},
    note,
    operator::{self, Order},
    trouble,
};

pub fn run() -> bool {
    let more = if trouble() { 2_100 } else { 350 };
    let mut fleet = Fleet::lay_out(5, 4);
    for at in 0..fleet.machines.len() {
        fleet.start(at, true);
    }
    let cores = fleet.with(Role::Core);
    let nodes: Vec<String> = cores.iter().map(|&at| fleet.control_address(at)).collect();
    sleep(Duration::from_secs(5));
    note("the operator sends a configuration of 2 routes");
    let first =
        operator::send(&operator::document(1, 0), &nodes, Instant::now() + Duration::from_secs(20));
    if !matches!(first, Order::Acked) {
        crate::cannot_run("the first configuration is not acknowledged");
    }
    sleep(Duration::from_secs(2));
    let document = operator::document(2, more);
    note(&format!(
        "the operator sends version 2 with {} routes, {} bytes, and again until it is acknowledged",
        more + 2,
        document.len()
    ));
    let bound = ACK + Duration::from_millis(3) * u32::try_from(more + 2).expect("few routes");
    let begun = Instant::now();
    let order = operator::send(&document, &nodes, begun + Duration::from_secs(40));
    let took = begun.elapsed();
    let head = format!("GET /config HTTP/1.1\r\nHost: {}\r\n", nodes[0]);
    if let Ok(answer) = crate::http::ask(&nodes[0], &head, &[], Duration::from_secs(2)) {
        let text = String::from_utf8_lossy(&answer.body);
        note(&format!(
            "read back: status {}, {}",
            answer.status(),
            text.chars().take(12).collect::<String>()
        ));
    }
    note(&format!("the bound is {} ms", bound.as_millis()));
    match order {
        Order::Acked => took <= bound,
        Order::Refused(_) | Order::Unanswered => {
            note(&format!("no acknowledgement after {} ms", took.as_millis()));
            false
        }
    }
}
