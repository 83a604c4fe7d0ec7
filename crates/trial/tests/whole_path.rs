//! The promises on the whole path: daemons, upstreams, balancer and callers on loopback.

use std::{sync::Arc, time::Duration};

use googletest::prelude::*;
use trial::{
    balancer::BalancerStandin,
    deployment::Deployment,
    guild,
    load::{LoadPlan, LoadRun},
    promise::{broken_by_kill, broken_promises},
};

fn start_load(deployment: &Deployment) -> LoadRun {
    let plan = LoadPlan {
        routes: deployment.plan.routes.clone(),
        callers: 12,
        pause: Duration::from_millis(2),
        seed: 3,
    };
    LoadRun::spawn(&plan, &Arc::new(BalancerStandin::spawn(deployment.entries())))
}

async fn guild(daemons: usize, replicas: usize) -> Deployment {
    Deployment::spawn(guild::plan(3), daemons, replicas).await.unwrap()
}

// FAILURES.md row 24.
// Callers see nothing. Under load each VM but one stops as planned, one after the other: its health
// page fails first, so the balancer turns away, and the daemon ends only after its last answer. The
// placers and the leader are among the VMs that stop.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn row_24_a_planned_stop_of_any_vm_cuts_no_request() {
    let mut deployment = guild(3, 1).await;
    let mut load = start_load(&deployment);
    load.after(300).await;
    deployment.stop(2).await;
    load.after(300).await;
    deployment.stop(1).await;
    load.after(300).await;
    let tally = load.finish().await;
    expect_that!(broken_promises(&tally, &deployment.runs_by_key()), is_empty());
}

// FAILURES.md row 1, on the whole path.
// Callers of the killed VM see a broken connection and send their key again through another VM.
// The kill strikes between claim, send and answer of many calls at once. The claim outlives the
// entry, so a resend is told the recorded answer or "unknown", and nothing runs twice.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn row_1_an_entry_that_dies_in_the_middle_doubles_nothing() {
    let mut deployment = guild(3, 1).await;
    let mut load = start_load(&deployment);
    load.after(300).await;
    deployment.kill(2);
    load.after(300).await;
    let tally = load.finish().await;
    expect_that!(broken_by_kill(&tally, &deployment.runs_by_key()), is_empty());
}
