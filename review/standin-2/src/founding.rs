//! One process of the core is killed in the first moments of the very first start, before the group of the
//! configuration has been founded, and is back within a second with its disk.

use std::{
    thread::sleep,
    time::{Duration, Instant},
};

use crate::{
    fleet::{ACK, CONTACT_WINDOW, Fleet, Role},
    note,
    operator::{self, Order},
    trouble,
};

pub fn run() -> bool {
    let after = std::env::var("KILL_AFTER_MS").ok().and_then(|text| text.parse().ok()).unwrap_or(150);
    let mut fleet = Fleet::lay_out(5, 4);
    let cores = fleet.with(Role::Core);
    note("the whole system starts for the first time: bootstrap = true, empty disks");
    for at in 0..fleet.machines.len() {
        fleet.start(at, true);
    }
    sleep(Duration::from_millis(after));
    if trouble() {
        let all = std::env::var_os("KILL_ALL").is_some();
        let killed = if all { cores.clone() } else { cores[..1].to_vec() };
        fleet.kill_together(&killed);
        let names: Vec<&str> = killed.iter().map(|&at| fleet.machines[at].name.as_str()).collect();
        note(&format!("killed (SIGKILL), {after} ms after the last process was started: {}", names.join(", ")));
        sleep(Duration::from_millis(400));
        killed.iter().for_each(|&at| fleet.start(at, false));
        note("started again with its disk; bootstrap = false, since this is no first start of the whole system");
    }
    let back = Instant::now();
    let nodes: Vec<String> = cores.iter().map(|&at| fleet.control_address(at)).collect();
    sleep(Duration::from_secs(1));
    note("the operator sends the first configuration, and again until it is acknowledged");
    let order = operator::send(&operator::document(1, 0), &nodes, back + Duration::from_secs(60));
    for &at in &cores {
        if let Some(end) = fleet.ended(at) {
            note(&format!("{} has ended by itself: {end}", fleet.machines[at].name));
        }
    }
    let ready = fleet.with(Role::Front).into_iter().filter(|&at| {
        let address = fleet.ready_address(at);
        let head = format!("GET /readiness HTTP/1.1\r\nHost: {address}\r\n");
        crate::http::ask(&address, &head, &[], Duration::from_secs(1)).is_ok_and(|answer| answer.status() == 200)
    });
    note(&format!("{} of 4 fronts say that they are ready", ready.count()));
    let bound = CONTACT_WINDOW + ACK;
    match order {
        Order::Acked => {
            let took = back.elapsed();
            note(&format!("acknowledged {} ms after the start; the bound is {} ms", took.as_millis(), bound.as_millis()));
            took <= bound
        }
        Order::Refused(status) => crate::cannot_run(&format!("the configuration is refused with {status}")),
        Order::Unanswered => {
            note(&format!("no acknowledgement {} s after the core was back; the bound is {} ms", back.elapsed().as_secs(), bound.as_millis()));
            false
        }
    }
}
