//! The fault matrix of the durable state: every fault at every step of patch, claim, snapshot, replica
//! change and planned stop. `docs/FAULTS.md` shows it as a table.
//!
//! A step is one message that arrives or one sync. Each operation is run again for each step with the
//! fault at just that step, until it ends before the step is reached. Its caller sends the same again
//! until it is answered, as callers do. Then all faults end and the world's own checks must hold: one
//! leader a term, nothing committed lost, the same state on each voter.

mod world;

use googletest::prelude::*;
use model::{
    ledger::ClaimAnswer,
    numbers::{AttemptNumber, ConfigNumber, GroupNumber},
    ports::ReplicaChange,
};
use world::{
    PlannedFault, StepFault, World,
    asks::{ask_claim, ask_close, ask_patch, claim, claimed, closed, done, patch, patched},
};

use control::{
    group::{GroupAnswer, GroupRequest},
    state::command::CloseAnswer,
};

const FAULTS: [StepFault; 11] = [
    StepFault::LoseMessage,
    StepFault::DoubleMessage,
    StepFault::DelayMessage,
    StepFault::BlockLink,
    StepFault::CrashSender,
    StepFault::CrashReceiver,
    StepFault::PauseSender,
    StepFault::PauseReceiver,
    StepFault::LoseReceiverDisk,
    StepFault::CrashBeforeSync,
    StepFault::CrashAfterSync,
];

/// More steps than any operation takes; one that takes more fails the test.
const STEPS_LIMIT: usize = 400;

/// How long a message is delayed: longer than an election.
const DELAY_MS: u64 = 2_500;

fn ready(group: GroupNumber) -> World {
    let mut world = World::open(7, group);
    world.crash_percent = 0;
    world.settle(3_000);
    assert!(world.leader().is_some());
    world
}

/// Runs an operation with each fault at each of its steps. Returns how many times a fault struck.
fn sweep(group: GroupNumber, operation: impl Fn(&mut World)) -> usize {
    let mut struck = 0;
    for fault in FAULTS {
        for step in 0.. {
            assert!(step < STEPS_LIMIT, "{fault:?}: more steps than expected");
            let mut world = ready(group);
            let until = world.now + std::time::Duration::from_millis(DELAY_MS);
            world.planned = Some(PlannedFault { fault, left: step, until });
            operation(&mut world);
            let missed = world.planned.take().is_some();
            world.heal();
            if missed {
                break;
            }
            struck += 1;
        }
    }
    struck
}

// The operator sees no answer, sends the same patch again, and must get the first result.
// A message or a sync of the patch's replication meets the fault; another leader may take over.
// The number moves by exactly one, since a patch applies only to the number that it names.
#[gtest]
fn a_patch_survives_each_fault_at_each_step() {
    let struck = sweep(GroupNumber::CONFIG, |world| {
        let first = patch(1, 0, "cluebook");
        let result = patched(world.call_leader(&ask_patch(&first)));
        assert_eq!(result, Ok(ConfigNumber(1)));
        world.settle(300);
        let again = patched(world.call_leader(&ask_patch(&first)));
        assert_eq!(again, Ok(ConfigNumber(1)));
    });
    expect_that!(struck, gt(100));
}

// The caller pays once. Claim, lost answer, resend of the claim, close, resend of the close.
// A message or a sync of either meets the fault; another leader may take over.
// The same claim gets the same attempt, and another caller gets the recorded answer.
#[gtest]
fn a_claim_survives_each_fault_at_each_step() {
    let struck = sweep(GroupNumber::FIRST_LEDGER, |world| {
        let run = ClaimAnswer::Run { attempt: AttemptNumber(1) };
        assert_eq!(claimed(world.call_leader(&ask_claim(&claim(1, 11)))), run);
        assert_eq!(claimed(world.call_leader(&ask_claim(&claim(1, 11)))), run);
        assert_eq!(closed(world.call_leader(&ask_close(&done(1, 1)))), CloseAnswer::Closed);
        let other = claimed(world.call_leader(&ask_claim(&claim(1, 12))));
        assert_eq!(other, ClaimAnswer::Done { answer: Some(world::asks::answer()) });
    });
    expect_that!(struck, gt(100));
}

// Nothing is to be seen from outside. A follower was away, the leader has cut its log, and the
// follower gets the snapshot in pieces; a piece, an answer or the sync of it meets the fault.
// The follower ends with the same state, since a snapshot counts only whole and checked.
#[gtest]
fn a_snapshot_survives_each_fault_at_each_step() {
    let struck = sweep(GroupNumber::CONFIG, |world| {
        let planned = world.planned.take();
        let leader = world.leader().unwrap();
        let away = (0..3).find(|&index| index != leader).unwrap();
        world.crash(away);
        for number in 0..40 {
            let mut next = patch(u128::from(number) + 1, number, "cluebook");
            // Large enough that the snapshot takes several packets.
            next.author = "x".repeat(10_000);
            patched(world.call_leader(&ask_patch(&next))).unwrap();
        }
        world.compact(leader);
        world.start(away);
        world.planned = planned;
        world.settle(4_000);
    });
    expect_that!(struck, gt(100));
}

// The operator adds a VM and, without an answer, asks again. The seats change in two steps, learner
// and voter; a message or a sync of either meets the fault.
// In the end it votes, and the patch accepted before is there.
#[gtest]
fn a_replica_change_survives_each_fault_at_each_step() {
    let struck = sweep(GroupNumber::CONFIG, |world| {
        let planned = world.planned.take();
        let first = patch(1, 0, "cluebook");
        patched(world.call_leader(&ask_patch(&first))).unwrap();
        world.planned = planned;
        let member = world.nodes[3].member.clone();
        let change = ReplicaChange::Add { member: member.clone() };
        for _ in 0..30 {
            let Some(leader) = world.leader() else {
                world.settle(200);
                continue;
            };
            let _ = world.call(leader, GroupRequest::Change(change.clone()), 1_000);
            if world.leader().is_some_and(|index| world.replica(index).row().voters.len() == 4) {
                break;
            }
            world.restart_all();
        }
        let result = patched(world.call_leader(&ask_patch(&first)));
        assert_eq!(result, Ok(ConfigNumber(1)));
        // A learner that cannot be reached cannot become a voter; the link comes back.
        world.blocked.clear();
        world.restart_all();
        world.settle(4_000);
        // The fault may strike as late as this: a read takes a round of messages and their answers.
        world.call_leader(&GroupRequest::Confirm);
        world.restart_all();
        world.settle(4_000);
        let leader = world.leader().unwrap();
        assert!(world.replica(leader).row().voters.contains(&member), "{}", world.dump());
    });
    expect_that!(struck, gt(50));
}

// A VM is stopped as planned while callers pay: the leader hands over to a follower that has all.
// A message or a sync of the hand-over meets the fault.
// Whoever leads then has the claim, and its resend gets the same attempt.
#[gtest]
fn a_planned_stop_survives_each_fault_at_each_step() {
    let struck = sweep(GroupNumber::FIRST_LEDGER, |world| {
        let planned = world.planned.take();
        let run = ClaimAnswer::Run { attempt: AttemptNumber(1) };
        assert_eq!(claimed(world.call_leader(&ask_claim(&claim(1, 11)))), run);
        world.planned = planned;
        let leader = world.leader().unwrap();
        let end = world.call(leader, GroupRequest::HandOver, 3_000);
        if end == Some(Ok(GroupAnswer::Done)) {
            world.crash(leader);
            world.settle(500);
            // The stopped VM comes back, so that a link that stays deaf leaves a majority.
            world.restart_all();
        }
        assert_eq!(claimed(world.call_leader(&ask_claim(&claim(1, 11)))), run);
    });
    expect_that!(struck, gt(50));
}
