//! Faults that were found, each with the test that showed it.

mod support;

use std::time::Duration;

use googletest::prelude::*;
use model::call::{OUTCOME_HEADER, RefusalReason};
use standin::upstream::FaultPlan;
use support::{TestVm, spawn_standin, wait_until, wire::read_to_close};

// Callers connect and send at the very moment in which a VM ends its stop: the system has accepted
// their connections, and the VM has not read a byte. Closing those would cut calls that were sent to
// a VM that took them; each is read and answered.
#[gtest]
#[tokio::test]
async fn row_24_a_call_that_is_not_read_yet_is_not_cut() {
    let upstream = spawn_standin(0, Duration::ZERO).await;
    let vm = TestVm::before(&[upstream.address()]).await;
    let mut callers = Vec::new();
    for _ in 0..30 {
        // Blocking calls, so that the VM's tasks do not run between these and the stop.
        let mut caller = std::net::TcpStream::connect(vm.address()).unwrap();
        std::io::Write::write_all(&mut caller, b"GET /read HTTP/1.1\r\nhost: a\r\n\r\n").unwrap();
        caller.set_nonblocking(true).unwrap();
        callers.push(caller);
    }

    vm.server.drain().await;

    for caller in callers {
        let mut caller = tokio::net::TcpStream::from_std(caller).unwrap();
        expect_that!(read_to_close(&mut caller).await, starts_with("HTTP/1.1 200"));
    }
}

// A call's first try runs at an upstream that breaks off; the second gets no slot. The call may have
// run, so the caller is not told "not-run", whatever the placer said last.
#[gtest]
#[tokio::test]
async fn a_call_that_may_have_run_is_not_called_not_run() {
    let cutting = spawn_standin(0, Duration::from_millis(100)).await;
    cutting.set_fault(FaultPlan { cuts: 1.0, ..FaultPlan::NONE });
    let vm = TestVm::with_budget(&[&cutting]).await;
    let (answer, ()) = tokio::join!(vm.get("/read"), async {
        wait_until("the first try runs", || cutting.ran() == 1).await;
        vm.slots.refuse(Some(RefusalReason::Saturated));
    });

    expect_that!(answer.header(OUTCOME_HEADER), eq("unknown"));
}
