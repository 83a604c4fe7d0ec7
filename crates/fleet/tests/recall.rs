//! Departures that outlive the processes which were told of them.

mod support;

use std::time::Duration;

use control::{replica::entry::ReplicaId, state::departures::DepartureReport};
use fleet::{
    handle::FleetNode,
    recall::{DepartureMemory, is_complete},
};
use googletest::prelude::*;
use model::{
    announcement::{UpstreamAnnouncement, UpstreamState},
    numbers::IncarnationNumber,
    ports::{AnnouncementPort, DeparturePort, OperatorPort},
};
use support::{Nodes, announcement, at, until, upstream};
use tokio::time::sleep;

/// How long a mistake would take to show: an announcement is taken within milliseconds.
const LATE: Duration = Duration::from_millis(500);

fn serving(name: &str, sequence: u64) -> UpstreamAnnouncement {
    let announced = announcement(name, UpstreamState::Serving, sequence);
    UpstreamAnnouncement { lease_ms: 60_000, ..announced }
}

async fn state(node: &FleetNode, name: &str) -> Option<UpstreamState> {
    node.announced(upstream(name)).await.map(|known| known.state)
}

/// Nodes with a leader, of which each knows the upstream `cluebook-0`, and its departure acknowledged.
async fn departed(count: usize) -> Nodes {
    let nodes = Nodes::spawn_with(count, count).await;
    until("there is a leader", || async { nodes.nodes[0].status().await.confirmed }).await;
    nodes.nodes[0].announce(serving("cluebook-0", 1));
    for node in &nodes.nodes {
        until("the upstream is known", || async { state(node, "cluebook-0").await.is_some() })
            .await;
    }
    let leaving =
        UpstreamAnnouncement { state: UpstreamState::Leaving, ..serving("cluebook-0", 2) };
    until("it is acknowledged", || async { nodes.nodes[0].depart(leaving.clone()).await.is_ok() })
        .await;
    nodes
}

/// Sends a late announcement of the upstream that has left to each node, beside one of another, and checks what is used.
async fn expect_departed(nodes: &Nodes) {
    for node in &nodes.nodes {
        node.announce(serving("cluebook-0", 9));
        node.announce(serving("cluebook-1", 1));
    }
    for node in &nodes.nodes {
        until("the other upstream is known", || async {
            state(node, "cluebook-1").await == Some(UpstreamState::Serving)
        })
        .await;
    }
    sleep(LATE).await;
    for node in &nodes.nodes {
        let used = state(node, "cluebook-0").await == Some(UpstreamState::Serving);
        expect_false!(used, "{} uses it", node.member());
    }
}

// All processes are killed after a departure was acknowledged, and a late announcement brings the upstream new work.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_departure_outlives_the_loss_of_all_processes() {
    let mut nodes = departed(3).await;
    nodes.restart(|_| true).await;
    expect_departed(&nodes).await;
}

// As many disks are lost besides as the control state bears.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_departure_outlives_the_loss_of_two_disks_of_five() {
    let mut nodes = departed(5).await;
    nodes.restart(|number| number >= 2).await;
    expect_departed(&nodes).await;
}

// The snapshot that replaces the log has no departures in it.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_departure_outlives_a_snapshot() {
    let mut nodes = departed(3).await;
    for node in &nodes.nodes {
        until("it is cut", || async {
            node.snapshot(model::numbers::GroupNumber::CONFIG).await.is_ok()
        })
        .await;
    }
    nodes.restart(|_| true).await;
    expect_departed(&nodes).await;
}

// A VM that has heard of no leader since its start uses what it hears of upstreams.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn announcements_wait_until_the_departures_are_known() {
    let mut nodes = departed(3).await;
    let others = nodes.stop_all();
    nodes.start(0);
    let first = nodes.nodes[0].clone();
    first.announce(serving("cluebook-0", 9));
    first.announce(serving("cluebook-1", 1));
    sleep(LATE).await;
    expect_true!(first.may_be_cut_off());
    expect_that!(state(&first, "cluebook-0").await, none());
    expect_that!(state(&first, "cluebook-1").await, none());
    (1..others).for_each(|number| nodes.start(number));
    until("the other upstream is known", || async {
        state(&first, "cluebook-1").await == Some(UpstreamState::Serving)
    })
    .await;
    expect_that!(state(&first, "cluebook-0").await, none());
}

// A VM that was away when all others were told, and was not killed with them, brings the upstream back by its rumours.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_word_of_a_vm_that_was_away_does_not_bring_an_upstream_back() {
    let mut nodes = departed(3).await;
    nodes.restart(|_| true).await;
    let away = nodes.join("vm-9").await;
    away.announce(serving("cluebook-0", 9));
    until("it is known there or overruled", || async {
        state(&away, "cluebook-0").await == Some(UpstreamState::Leaving) || !away.may_be_cut_off()
    })
    .await;
    sleep(LATE).await;
    for node in nodes.nodes.iter().chain([&away]) {
        expect_that!(state(node, "cluebook-0").await, not(some(eq(UpstreamState::Serving))));
    }
    away.kill();
}

// A later life of an upstream was taken for the one that has left.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_later_life_of_an_upstream_serves() {
    let mut nodes = departed(3).await;
    nodes.restart(|_| true).await;
    let later =
        UpstreamAnnouncement { incarnation: IncarnationNumber(2), ..serving("cluebook-0", 1) };
    nodes.nodes[1].announce(later);
    for node in &nodes.nodes {
        until("it serves", || async {
            state(node, "cluebook-0").await == Some(UpstreamState::Serving)
        })
        .await;
    }
}

// What was heard before the departures were known is used although its upstream has left, or is lost.
#[gtest]
fn what_was_held_is_used_unless_it_has_departed() {
    let mut memory = DepartureMemory::default();
    for (name, sequence) in [("a", 3), ("b", 1), ("b", 4), ("b", 2)] {
        expect_true!(memory.hold(&serving(name, sequence)));
    }
    let held = memory.recall(&[serving("a", 9)], at(0));
    expect_that!(held, len(eq(2)));
    let used: Vec<_> = held.into_iter().filter(|one| !memory.has_departed(one)).collect();
    expect_that!(used, elements_are![eq(&serving("b", 4))]);
    expect_false!(memory.hold(&serving("c", 1)));
}

// Departures are kept for good, until the memory is full.
#[gtest]
fn departures_are_forgotten_in_time() {
    let mut memory = DepartureMemory::default();
    memory.recall(&[], at(0));
    memory.note(&serving("a", 1), at(0));
    let later = UpstreamAnnouncement { incarnation: IncarnationNumber(2), ..serving("a", 1) };
    memory.note(&later, at(300_000));
    memory.expire(at(600_000));
    expect_true!(memory.has_departed(&serving("a", 1)));
    expect_true!(memory.has_departed(&later));
    memory.expire(at(900_000));
    expect_false!(memory.has_departed(&serving("a", 1)));
}

fn report(replica: u64, voters: &[u64]) -> DepartureReport {
    let voters = voters.iter().map(|&id| ReplicaId(id)).collect();
    DepartureReport { replica: ReplicaId(replica), voters, departures: Vec::new() }
}

// Too few control VMs, or those who voted once, are taken for all who know of departures.
#[gtest]
fn departures_are_complete_with_a_majority_by_each_list_of_voters() {
    let all = [1, 2, 3, 4, 5];
    expect_false!(is_complete(&[]));
    expect_false!(is_complete(&[report(1, &[]), report(2, &[])]), "nothing is founded");
    expect_false!(is_complete(&[report(1, &all), report(2, &all)]));
    expect_true!(is_complete(&[report(1, &all), report(2, &all), report(5, &all)]));
    // Two lost their disks: what they say now is another's.
    expect_false!(is_complete(&[report(1, &all), report(2, &all), report(9, &[])]));
    // Two that were away, and one that knows who votes now.
    let (before, now) = ([1, 2, 3], [3, 4, 5]);
    expect_true!(is_complete(&[report(1, &before), report(2, &before)]));
    expect_false!(is_complete(&[report(1, &before), report(2, &before), report(3, &now)]));
    let both = [report(1, &before), report(2, &before), report(3, &now), report(4, &now)];
    expect_true!(is_complete(&both));
}
