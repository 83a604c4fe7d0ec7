//! One test for each fault that was found, named after it.

mod support;
#[path = "support/values.rs"]
mod values;

use std::time::Duration;

use fleet::{
    fact::{FactKey, MemberRecord},
    gossip::GossipState,
};
use googletest::prelude::*;
use model::announcement::UpstreamState;
use support::{record, service, upstream, upstream_fact};
use values::ValueFleet;

fn records(count: u16) -> Vec<MemberRecord> {
    (0..count).map(record).collect()
}

#[gtest]
fn a_rumour_that_ended_early_missed_a_vm_for_ten_seconds() {
    // A rumour ends when peers know it. In one of a few cases it ended before it had reached the
    // last VM, which then learned only by repair that an upstream was leaving. Each VM has to know
    // within two seconds, each time.
    let mut fleet = ValueFleet::open(&records(64));
    for number in 0..40 {
        let name = format!("cluebook-{number}");
        let now = fleet.now;
        let fact = upstream_fact(&name, UpstreamState::Leaving, 1);
        fleet.nodes[(number * 13) % 64].learn(fact, now);
        let key = FactKey::Upstream(service("cluebook"), upstream(&name));
        let knows = |node: &GossipState| node.store().get(&key).is_some();
        expect_that!(fleet.run_until(Duration::from_secs(2), knows), some(anything()));
    }
}

#[gtest]
fn a_vm_that_was_forgotten_was_believed_by_nobody_when_it_returned() {
    // A VM is away for longer than lost ones are remembered, and comes back with the word that it
    // had said before. The others had dropped that very word and took it for old.
    let mut fleet = ValueFleet::open(&records(6));
    fleet.dead[2] = true;
    let lost = record(2).member;
    let forgotten = |node: &GossipState| node.record(&lost).is_none();
    expect_that!(fleet.run_until(Duration::from_secs(80), forgotten), some(anything()));
    fleet.dead[2] = false;
    let back = fleet.run_until(Duration::from_secs(30), |node| node.is_reachable(&lost));
    expect_that!(back, some(anything()));
}
