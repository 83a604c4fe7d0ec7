//! What a VM does not do that is cut off from the fleet, or has met nobody.

mod support;

use std::{net::TcpListener, time::Duration};

use fleet::{directory::LeaseKeeper, handle::FleetNode};
use googletest::prelude::*;
use model::{
    announcement::{UpstreamAnnouncement, UpstreamState},
    ports::{AnnouncementPort, DeparturePort, OperatorPort},
};
use support::{Nodes, announcement, at, settings, until, upstream};
use tokio::time::sleep;

const LEASE: Duration = Duration::from_secs(3);

/// How long the others take to count as lost, and a margin.
const LOST_WITHIN: Duration = Duration::from_millis(2_500);

/// Some nodes, the first three of them with seats in a group that has a leader.
async fn spawn(count: usize) -> Nodes {
    let nodes = Nodes::spawn_with(count, 3).await;
    until("there is a leader", || async { nodes.nodes[0].status().await.confirmed }).await;
    nodes
}

async fn loses_touch(node: &FleetNode) {
    until("it takes itself to be cut off", || async { node.may_be_cut_off() }).await;
}

// A VM that was met by nobody takes itself to be in touch.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_vm_that_has_met_nobody_is_out_of_touch() {
    let nobody = TcpListener::bind("127.0.0.1:0").unwrap();
    let seeds = vec![nobody.local_addr().unwrap()];
    let nodes = Nodes::spawn_newcomer(settings("vm-7", seeds), 5).await;
    for _ in 0..20 {
        expect_true!(nodes.nodes[0].may_be_cut_off());
        sleep(Duration::from_millis(100)).await;
    }
}

// A VM with a seat or without takes itself to be in touch once most others are lost.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn vms_know_whether_they_are_in_touch() {
    let nodes = spawn(5).await;
    for node in &nodes.nodes {
        until("it is in touch", || async { !node.may_be_cut_off() }).await;
    }
    nodes.nodes[1..4].iter().for_each(FleetNode::kill);
    loses_touch(&nodes.nodes[0]).await;
    expect_false!(nodes.nodes[4].may_be_cut_off(), "it has no seat and hears the first");
    nodes.nodes[0].kill();
    loses_touch(&nodes.nodes[4]).await;
}

// A VM that is cut off ends leases that others have renewed.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_vm_that_is_cut_off_ends_no_lease() {
    let nodes = spawn(3).await;
    let lease_ms = LEASE.as_millis() as u32;
    let serving = announcement("cluebook-0", UpstreamState::Serving, 1);
    nodes.nodes[0].announce(UpstreamAnnouncement { lease_ms, ..serving });
    let known = |node: &FleetNode| {
        let node = node.clone();
        async move { node.announced(upstream("cluebook-0")).await.is_some() }
    };
    for node in &nodes.nodes {
        until("the upstream is known", || known(node)).await;
    }
    nodes.nodes[1..].iter().for_each(FleetNode::kill);
    sleep(LOST_WITHIN + LEASE * 3 / 2).await;
    expect_true!(known(&nodes.nodes[0]).await);
}

// A process that wakes ends leases before it has read the renewals that wait.
#[gtest]
fn a_lease_that_is_postponed_runs_on_for_a_whole_one() {
    let mut keeper = LeaseKeeper::default();
    let serving = announcement("cluebook-0", UpstreamState::Serving, 1);
    keeper.renew(&serving, at(0));
    keeper.postpone(at(9_000));
    expect_that!(keeper.expire(at(12_900)), is_empty());
    expect_that!(keeper.expire(at(13_000)).len(), eq(1));
}
