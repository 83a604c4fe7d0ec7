//! Upstreams that ask a VM for rest, on the whole path: daemons, upstreams and callers on loopback.

use std::time::{Duration, Instant};

use googletest::prelude::*;
use http::StatusCode;
use standin::call::{call, request};
use trial::{deployment::Deployment, guild};

/// For how long an upstream asks a VM to send it nothing.
const REST: Duration = Duration::from_secs(2);
const REST_TEXT: &str = "2";

/// How many calls that were already under way an upstream bears from one VM in that time.
const UNDER_WAY: u64 = 2;

/// Calls the cluebook through one VM, one call after the other, for a while. Returns how many were answered well.
async fn read_through(deployment: &Deployment, daemon: usize, span: Duration) -> usize {
    let entry = deployment.daemon(daemon).caller_address();
    let (started, mut answered) = (Instant::now(), 0);
    while started.elapsed() < span {
        let answer = call(entry, request("GET", "/clue", &[], b"")).await.unwrap();
        answered += usize::from(answer.status == StatusCode::OK);
    }
    answered
}

// An upstream turns a VM's call away and asks it to send nothing for two seconds, and gets more calls from
// that VM meanwhile.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_upstream_gets_no_calls_from_a_vm_that_it_asked_for_rest() {
    let deployment = Deployment::spawn(guild::plan(3), 3, 1).await.unwrap();
    let resting = &deployment.upstreams[0];
    resting.set_retry_after(Some(REST_TEXT));
    resting.set_refusal(Some("shed"));
    let answered = read_through(&deployment, 0, REST - Duration::from_millis(500)).await;
    expect_that!(resting.refused(), le(1 + UNDER_WAY));
    expect_that!(answered, ge(10), "the two others have room");
}
