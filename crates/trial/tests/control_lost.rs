//! The whole path with three control VMs, some or all of which are lost.

mod support;

use std::time::{Duration, Instant};

use googletest::prelude::*;
use model::call::{KEY_HEADER, OUTCOME_HEADER};
use standin::call::{WholeAnswer, call, request};
use support::{eventually, new_key, start_load, start_reads};
use trial::{deployment::Deployment, guild, promise::broken_by_kill};

/// The VMs with a disk come first.
const REPLICAS: usize = 3;
/// The first entry without one.
const ENTRY: usize = REPLICAS;

async fn deployment() -> Deployment {
    Deployment::spawn(guild::plan(3), REPLICAS + 2, REPLICAS).await.unwrap()
}

async fn pay(deployment: &Deployment, entry: usize, key: &str) -> WholeAnswer {
    let address = deployment.daemon(entry).caller_address();
    let headers = [(KEY_HEADER, key)];
    call(address, request("POST", "/entry/1", &headers, b"one hundred rupees")).await.unwrap()
}

async fn read(deployment: &Deployment, entry: usize) -> WholeAnswer {
    let address = deployment.daemon(entry).caller_address();
    call(address, request("GET", "/clue/1", &[], b"")).await.unwrap()
}

fn kill_all_replicas(deployment: &mut Deployment) {
    for number in 0..REPLICAS {
        deployment.kill(number);
    }
}

// FAILURES.md row 5, on the whole path.
// A payment is refused as not run before its deadline, and nothing runs; a read is answered.
// Two of three control VMs are killed, so no claim can be made durable; clue texts need no claim.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn row_5_without_a_majority_payments_are_refused_and_reads_go_on() {
    let mut deployment = deployment().await;
    deployment.kill(0);
    deployment.kill(1);
    let key = new_key(1);
    let started = Instant::now();
    let answer = pay(&deployment, ENTRY, &key).await;
    expect_that!(answer.header(OUTCOME_HEADER), eq("not-run"));
    expect_that!(started.elapsed(), lt(Duration::from_millis(2_500)));
    expect_false!(deployment.runs_by_key().contains_key(&key));
    let reads = eventually(async || read(&deployment, ENTRY).await.status.is_success()).await;
    expect_true!(reads);
}

// FAILURES.md row 14, on the whole path.
// Callers see nothing of it. Each control VM is dead when an upstream says that it is leaving; the
// word goes from entry to entry without them, and 3 s later no VM sends it anything.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn row_14_leaving_reaches_each_entry_without_the_control_vms() {
    let mut deployment = deployment().await;
    kill_all_replicas(&mut deployment);
    let mut load = start_reads(&deployment);
    load.after(200).await;
    let leaving =
        deployment.upstreams.iter().find(|one| one.settings().service.as_str() == "cluebook");
    let leaving = leaving.unwrap();
    let left = Instant::now();
    let told = eventually(async || leaving.leave().await.is_ok()).await;
    expect_true!(told);
    while left.elapsed() < Duration::from_millis(3_500) {
        load.after(20).await;
    }
    let tally = load.finish().await;
    expect_that!(broken_by_kill(&tally, &deployment.runs_by_key()), is_empty());
    let last = leaving.last_call().map_or(Duration::ZERO, |at| at.saturating_duration_since(left));
    expect_that!(last, lt(Duration::from_secs(3)));
}

// The brief: whatever holds the configuration may be unreachable for hours.
// Callers of the restarted VM are answered as before. All control VMs are dead; an entry without a
// disk restarts, takes the configuration from the other entry and reports ready.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_entry_restarts_without_any_control_vm() {
    let mut deployment = deployment().await;
    kill_all_replicas(&mut deployment);
    deployment.kill(ENTRY);
    deployment.start(ENTRY).await.unwrap();
    let answered = eventually(async || read(&deployment, ENTRY).await.status.is_success()).await;
    expect_true!(answered);
    let config = deployment.page(ENTRY, "/config").await.unwrap();
    expect_that!(config["number"].as_u64(), some(eq(1)));
}

// FAILURES.md rows 2, 3 and 28, on the whole path.
// Each payment ends with one answer, the same for each resend. Two callers send each key at the same
// moment through different VMs, and a control VM is killed in the middle and comes back, twice.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn row_28_a_control_vm_dies_twice_while_keys_are_sent_twice_at_once() {
    let mut deployment = deployment().await;
    let load = start_load(&deployment);
    for round in 0..2 {
        deployment.kill(round);
        pay_twice_at_once(&deployment, 100 * round as u64).await;
        deployment.start(round).await.unwrap();
        pay_twice_at_once(&deployment, 100 * round as u64 + 50).await;
    }
    let tally = load.finish().await;
    expect_that!(broken_by_kill(&tally, &deployment.runs_by_key()), is_empty());
}

async fn pay_twice_at_once(deployment: &Deployment, seed: u64) {
    for number in 0..10 {
        let key = new_key(seed + number);
        let (one, other) =
            tokio::join!(pay(deployment, ENTRY, &key), pay(deployment, ENTRY + 1, &key));
        let runs = deployment.runs_by_key().get(&key).copied().unwrap_or(0);
        expect_that!(runs, le(1));
        if one.status.is_success() && other.status.is_success() {
            expect_that!(one.body, eq(&other.body));
        }
        if runs == 1 {
            let settled = eventually(async || {
                pay(deployment, ENTRY + 1, &key).await.header(OUTCOME_HEADER) != "in-progress"
            });
            expect_true!(settled.await);
        }
    }
}
