//! Plays a plan.

use std::{io, path::PathBuf, time::Duration};

use snafu::Snafu;
use tokio::time::{Instant, sleep};

use crate::{
    callers::{BrokenPromise, SentCalls},
    fleet::{SoakFleet, service_name},
    plan::{LateRound, SoakPlan},
};

/// How long what was delivered late has to show.
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// Why a plan could not be played.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum SoakError {
    /// The system refused something.
    #[snafu(context(false), display("the system refused something: {source}"))]
    System {
        /// What it said.
        source: io::Error,
    },
    /// Something took too long.
    #[snafu(display("waited in vain for {waited_for}"))]
    TooLate {
        /// What.
        waited_for: String,
    },
}

/// What a run is made with.
pub struct SoakSettings {
    /// The plan.
    pub plan: SoakPlan,
    /// The folder of the programs.
    pub programs: PathBuf,
    /// The folder of all files of the run.
    pub folder: PathBuf,
}

/// What a run has shown.
#[derive(Debug)]
pub struct SoakReport {
    /// The calls.
    pub calls: SentCalls,
    /// How many bytes were delivered late.
    pub late_bytes: u64,
    /// How long it took.
    pub took: Duration,
    /// What was broken.
    pub broken: Vec<BrokenPromise>,
}

/// Plays a plan from beginning to end.
///
/// # Errors
///
/// Fails when it cannot be played.
pub async fn play(settings: &SoakSettings) -> Result<SoakReport, SoakError> {
    let started = Instant::now();
    let mut fleet = SoakFleet::spawn(&settings.programs, &settings.folder).await?;
    for upstream in &fleet.upstreams {
        upstream.set_copied_refusals(settings.plan.copied_refusals);
        upstream.set_broken_heads(settings.plan.broken_heads);
    }
    let mut calls = SentCalls::default();
    for round in &settings.plan.rounds {
        play_round(&mut fleet, &mut calls, round).await?;
    }
    sleep(SETTLE_TIME).await;
    let broken = calls.check(&fleet.upstreams);
    let (late_bytes, took) = (fleet.late_bytes(), started.elapsed());
    Ok(SoakReport { calls, late_bytes, took, broken })
}

async fn play_round(
    fleet: &mut SoakFleet,
    calls: &mut SentCalls,
    round: &LateRound,
) -> Result<(), SoakError> {
    let LateRound { vm, pause, .. } = *round;
    // A new process, whose connections are told from those of its earlier lives.
    fleet.kill(vm).await?;
    fleet.start(vm).await?;
    send_all(fleet, calls, vm, &round.before, pause).await?;
    fleet.hold(vm);
    let held = round.held.iter().map(|&service| service_name(service));
    let sending = calls.send_together(fleet.callers(vm)?, held);
    let killing = async {
        sleep(round.killed_after).await;
        fleet.kill(vm).await
    };
    tokio::join!(sending, killing).1?;
    fleet.start(vm).await?;
    let (first, rest) = round.after.split_at(round.delivered_after);
    send_all(fleet, calls, vm, first, pause).await?;
    fleet.deliver();
    send_all(fleet, calls, vm, rest, pause).await
}

async fn send_all(
    fleet: &SoakFleet,
    calls: &mut SentCalls,
    vm: usize,
    services: &[usize],
    pause: Duration,
) -> Result<(), SoakError> {
    let callers = fleet.callers(vm)?;
    for &service in services {
        calls.send(callers, &service_name(service)).await;
        sleep(pause).await;
    }
    Ok(())
}
