//! The promises on the whole path: daemons, upstreams, balancer and callers on loopback.

mod support;

use std::time::{Duration, Instant};

use googletest::prelude::*;
use model::names::UpstreamName;
use standin::upstream::FaultPlan;
use support::{eventually, start_load, start_reads};
use trial::{
    deployment::Deployment,
    guild,
    promise::{broken_by_kill, broken_promises},
    watch::EjectionWatch,
};

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

// FAILURES.md row 9, on the whole path.
// Callers see no error: reads are tried again elsewhere until the upstream is out. It answers its
// announcements and fails 30% of its reads; its placer compares it with its peers and ejects it.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn row_9_a_gray_upstream_is_ejected_and_no_other() {
    let deployment = Deployment::spawn(guild::plan(5), 3, 1).await.unwrap();
    let operators = deployment.running().map(|node| node.operator_address()).collect();
    let watch = EjectionWatch::spawn(operators);
    let mut load = start_load(&deployment);
    load.after(300).await;
    let gray = gray_one(&deployment, 0.3);
    let started = Instant::now();
    let ejected = eventually(async || watch.ejected_at(&gray).is_some()).await;
    expect_true!(ejected);
    expect_that!(started.elapsed(), lt(Duration::from_secs(10)));
    load.after(300).await;
    let tally = load.finish().await;
    expect_that!(broken_promises(&tally, &deployment.runs_by_key()), is_empty());
    expect_that!(watch.false_ejections(&gray), eq(0));
}

// FAILURES.md row 13, on the whole path.
// Reads go on. With three upstreams of 4 slots and a floor of 7, one failing upstream can be
// ejected; then a healthy one leaves, the rest falls below the floor, and the ejected one is back.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn row_13_an_ejected_upstream_returns_when_another_leaves() {
    let deployment = guild(3, 1).await;
    let operators = deployment.running().map(|node| node.operator_address()).collect();
    let watch = EjectionWatch::spawn(operators);
    let mut load = start_load(&deployment);
    load.after(300).await;
    let gray = gray_one(&deployment, 0.5);
    let ejected = eventually(async || watch.ejected_at(&gray).is_some()).await;
    expect_true!(ejected);
    deployment.upstreams[1].leave().await.unwrap();
    let (before, left) = (deployment.upstreams[0].ran(), Instant::now());
    let back = eventually(async || deployment.upstreams[0].ran() > before + 5).await;
    expect_true!(back);
    // Well before the 10 s of its time out, after which trial calls would reach it anyway.
    expect_that!(left.elapsed(), lt(Duration::from_secs(5)));
    let tally = load.finish().await;
    expect_that!(broken_promises(&tally, &deployment.runs_by_key()), is_empty());
}

/// Makes the first upstream, one of the cluebook's, fail a share of its calls.
fn gray_one(deployment: &Deployment, errors: f64) -> UpstreamName {
    let upstream = &deployment.upstreams[0];
    upstream.set_fault(FaultPlan { errors, ..FaultPlan::NONE });
    upstream.settings().upstream.clone()
}

// Readers see nothing. The placer that ejected a failing upstream is killed; the one that follows has
// no evidence of its own, but the ejection was told to all, so the upstream gets no work again.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_ejection_outlives_its_placer() {
    let mut deployment = Deployment::spawn(guild::plan(5), 4, 1).await.unwrap();
    let operators = deployment.running().map(|node| node.operator_address()).collect();
    let watch = EjectionWatch::spawn(operators);
    // Reads only: the VM that is killed may hold the ledger.
    let mut load = start_reads(&deployment);
    load.after(300).await;
    let gray = gray_one(&deployment, 0.5);
    let ejected = eventually(async || watch.ejected_at(&gray).is_some()).await;
    expect_true!(ejected);
    load.after(100).await;
    let ran = deployment.upstreams[0].ran();
    let placer = placer_of(&deployment, "cluebook").await;
    deployment.kill(placer);
    let survivor = usize::from(placer == 0);
    let moved = eventually(async || {
        let member = placer_name(&deployment, survivor, "cluebook").await;
        member.is_some_and(|member| member != format!("guild-{placer}"))
    });
    expect_true!(moved.await);
    load.after(300).await;
    expect_that!(deployment.upstreams[0].ran() - ran, le(1));
    let tally = load.finish().await;
    expect_that!(broken_by_kill(&tally, &deployment.runs_by_key()), is_empty());
}

// An upstream states that it takes two calls a second, and its placer is killed. Neither the entries that place
// without one meanwhile nor the next placer give it more.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_rate_that_an_upstream_states_outlives_its_placer() {
    const PER_S: u32 = 2;
    let mut deployment = Deployment::spawn(guild::plan(3), 4, 1).await.unwrap();
    let mut load = start_reads(&deployment);
    load.after(300).await;
    deployment.upstreams[0].set_rate(Some(PER_S));
    load.after(300).await;
    let (started, before) = (Instant::now(), deployment.upstreams[0].ran());
    load.after(300).await;
    let placer = placer_of(&deployment, "cluebook").await;
    deployment.kill(placer);
    let survivor = usize::from(placer == 0);
    let moved = eventually(async || {
        let member = placer_name(&deployment, survivor, "cluebook").await;
        member.is_some_and(|member| member != format!("guild-{placer}"))
    });
    expect_true!(moved.await);
    load.after(1_000).await;
    let ran = deployment.upstreams[0].ran() - before;
    let seconds = started.elapsed().as_secs_f64();
    let tally = load.finish().await;
    expect_that!(ran as f64, le(seconds * f64::from(PER_S) * 1.5 + 5.0), "in {seconds} s");
    expect_that!(broken_by_kill(&tally, &deployment.runs_by_key()), is_empty());
}

async fn placer_of(deployment: &Deployment, service: &str) -> usize {
    let member = placer_name(deployment, 0, service).await.unwrap();
    member.rsplit('-').next().unwrap().parse().unwrap()
}

/// Returns the VM that places a service, as one daemon's operators' interface tells.
async fn placer_name(deployment: &Deployment, daemon: usize, service: &str) -> Option<String> {
    let page = deployment.page(daemon, "/placers").await.ok()?;
    let row = page.as_array()?.iter().find(|row| row["service"] == service)?;
    row["member"].as_str().map(str::to_owned)
}
