//! Entries that find the few relays that are left, with running nodes.

mod support;

use std::time::{Duration, Instant};

use fleet::handle::FleetNode;
use googletest::prelude::*;
use model::{
    announcement::{UpstreamAnnouncement, UpstreamState},
    call::OutcomeClass,
    ports::{AnnouncementPort, OperatorPort, SlotPort},
};
use support::{Nodes, announcement, ask, settle, until};

const NODES: usize = 14;

/// How many entries still reach the placer.
const RELAYS: usize = 2;

const CALLS: u64 = 20;

/// Makes calls one after the other. Returns for each whether the placer placed it, and how long it took.
async fn call(entry: &FleetNode, placer: &FleetNode) -> Vec<(bool, Duration)> {
    let mut ended = Vec::new();
    for number in 1..=CALLS {
        let began = Instant::now();
        let granted = entry.ask(ask(number, 5_000)).await.expect("there is room");
        ended.push((granted.id.granter == *placer.member(), began.elapsed()));
        entry.settle(settle(&granted, OutcomeClass::Success));
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    ended
}

// Most entries lose their paths to the placer, and search among all VMs for the two that still reach it. Before they
// reported their paths to each other, most calls were placed without the placer.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn entries_that_are_cut_off_find_the_few_relays() {
    let nodes = Nodes::spawn(NODES).await;
    nodes.configure().await;
    let lasting = announcement("cluebook-0", UpstreamState::Serving, 1);
    nodes.nodes[0].announce(UpstreamAnnouncement { lease_ms: 600_000, slots: 64, ..lasting });
    for node in &nodes.nodes {
        until("it is known", || async { node.upstreams().await.len() == 1 }).await;
    }
    let placer = nodes.placer().await;
    let cut_off: Vec<_> =
        (1 + RELAYS..NODES).map(|offset| &nodes.nodes[(placer + offset) % NODES]).collect();
    let placer = &nodes.nodes[placer];
    for entry in &cut_off {
        entry.cut_path_to(placer.address()).await;
    }
    let calls = cut_off.iter().map(|entry| call(entry, placer));
    let ended = futures::future::join_all(calls).await.concat();
    let placed = ended.iter().filter(|(placed, _)| *placed).count();
    let soon = |(placed, took): &&(bool, Duration)| *placed && *took < Duration::from_millis(200);
    let soon = ended.iter().filter(soon).count();
    println!("{} calls, {placed} placed, {soon} of them within 200 ms", ended.len());
    expect_that!(placed as f64, ge(0.9 * ended.len() as f64));
    expect_that!(soon as f64, ge(0.9 * placed as f64));
    until("all ends have been taken", || async {
        cut_off.iter().all(|entry| entry.ends_waiting() == 0)
    })
    .await;
}
