//! Not one of the five cases, see REPORT-2.md. A machine of the core is replaced as planned: its successor has
//! been there for longer than `catchUpS`. Right after it has gone a configuration is acknowledged, and two
//! machines of the core lose power and their disks.

use std::{
    thread::sleep,
    time::{Duration, Instant},
};

use crate::{
    fleet::{Fleet, Role},
    note,
    operator::{self, Order},
    trouble,
    wiping::{DOWN, read_back},
};

pub fn run() -> bool {
    let mut fleet = Fleet::lay_out(6, 4);
    let mut cores = fleet.with(Role::Core);
    let (successor, leaving) = (cores[5], cores[4]);
    for at in (0..fleet.machines.len()).filter(|&at| at != successor) {
        fleet.start(at, true);
    }
    sleep(Duration::from_secs(1));
    let nodes = |fleet: &Fleet, cores: &[usize]| -> Vec<String> {
        cores.iter().map(|&at| fleet.control_address(at)).collect()
    };
    let within = || Instant::now() + Duration::from_secs(20);
    let first = nodes(&fleet, &cores[..5]);
    if !matches!(operator::send_each(&operator::document(1, 0), &first, within()), Order::Acked) {
        crate::cannot_run("the first configuration is not acknowledged");
    }
    sleep(Duration::from_secs(8));
    fleet.start(successor, false);
    note("an empty machine of the core comes at another address");
    sleep(Duration::from_secs(6));
    fleet.signal(leaving, "TERM");
    note(&format!("6 s later {} gets SIGTERM, to be removed", fleet.machines[leaving].name));
    while fleet.runs(leaving) {
        sleep(Duration::from_millis(5));
    }
    note("its process has ended; the machine is gone for good");
    cores.retain(|&at| at != leaving);
    let present = nodes(&fleet, &cores);
    let order = operator::send_each(&operator::document(2, 0), &present, within());
    if !matches!(order, Order::Acked) {
        crate::cannot_run("version 2 is not acknowledged");
    }
    if trouble() {
        fleet.kill_together(&cores[..2]);
        note("two machines of the core lose power and their disks");
        sleep(DOWN);
        for &at in &cores[..2] {
            fleet.empty_disk(at);
            fleet.start(at, false);
        }
        note("they are back at their addresses, with empty disks");
    }
    read_back(&present, Instant::now(), 2)
}
