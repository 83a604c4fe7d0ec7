//! The main job: both deployments on loopback, with a gray failure, a leaving upstream and a planned
//! stop in the middle. Prints what callers saw and ends non-zero when a promise is broken.

use std::{
    process::ExitCode,
    sync::Arc,
    time::{Duration, Instant},
};

use comfy_table::Table;
use hdrhistogram::Histogram;
use standin::upstream::FaultPlan;
use trial::{
    balancer::BalancerStandin,
    convoy,
    deployment::{Deployment, DeploymentError},
    guild,
    load::{LoadPlan, LoadRun, LoadTally, measure_direct},
    plan::DeploymentPlan,
    promise::{BrokenPromise, broken_promises},
    watch::EjectionWatch,
};

const DAEMONS: usize = 3;
const UPSTREAMS: u32 = 5;
const CALLERS: usize = 24;
const GRAY_AFTER: Duration = Duration::from_secs(2);
const LEAVE_AFTER: Duration = Duration::from_secs(2);
const STOP_AFTER: Duration = Duration::from_secs(2);
const END_AFTER: Duration = Duration::from_secs(6);
/// After which time a leaving upstream gets no new work.
const LEAVING_LIMIT: Duration = Duration::from_secs(3);

/// What one deployment's day came to.
struct DayResult {
    name: &'static str,
    tally: LoadTally,
    direct: Histogram<u64>,
    broken: Vec<BrokenPromise>,
    late_work: Option<Duration>,
    gray_failed: u64,
    detected: Option<Duration>,
    false_ejections: usize,
}

impl DayResult {
    fn leaving_got_work(&self) -> bool {
        self.late_work.is_some_and(|late| late > LEAVING_LIMIT)
    }

    fn doubled(&self) -> u64 {
        let doubled = |broken: &BrokenPromise| match broken {
            BrokenPromise::RanTwice { keys } => *keys,
            _ => 0,
        };
        self.broken.iter().map(doubled).sum()
    }

    /// Returns by how many milliseconds a quantile is later than that of direct calls.
    fn added(&self, through: &Histogram<u64>, quantile: f64) -> String {
        let through = through.value_at_quantile(quantile);
        let direct = self.direct.value_at_quantile(quantile);
        format!("{:.2}", (through as f64 - direct as f64) / 1_000.0)
    }
}

fn main() -> ExitCode {
    let runtime = tokio::runtime::Runtime::new().expect("the system gives threads");
    let mut results = Vec::new();
    for plan in [guild::plan(UPSTREAMS), convoy::plan(UPSTREAMS)] {
        match runtime.block_on(run_day(plan)) {
            Ok(result) => results.push(result),
            Err(error) => {
                eprintln!("hunt_day: {error}");
                return ExitCode::FAILURE;
            }
        }
    }
    print(&results);
    let mut kept = true;
    for result in &results {
        for promise in &result.broken {
            eprintln!("hunt_day: {}: promise broken: {promise}", result.name);
        }
        if result.leaving_got_work() {
            eprintln!("hunt_day: {}: promise broken: a leaving upstream got new work", result.name);
        }
        kept &= result.broken.is_empty() && !result.leaving_got_work();
    }
    if kept { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

async fn run_day(plan: DeploymentPlan) -> Result<DayResult, DeploymentError> {
    let mut deployment = Deployment::spawn(plan, DAEMONS, 1).await?;
    let direct = measure_direct(deployment.upstreams[0].address()).await;
    let balancer = Arc::new(BalancerStandin::spawn(deployment.entries()));
    let load_plan = LoadPlan {
        routes: deployment.plan.routes.clone(),
        callers: CALLERS,
        pause: Duration::from_millis(10),
        seed: 7,
    };
    let load = LoadRun::spawn(&load_plan, &balancer);
    let operators = deployment.running().map(|node| node.operator_address()).collect();
    let watch = EjectionWatch::spawn(operators);
    tokio::time::sleep(GRAY_AFTER).await;
    let gray = 0;
    let turned_gray = Instant::now();
    deployment.upstreams[gray].set_fault(FaultPlan { errors: 0.3, ..FaultPlan::NONE });
    tokio::time::sleep(LEAVE_AFTER).await;
    let leaving = deployment.upstreams.len() - 1;
    let left = Instant::now();
    // Nobody listens only when all daemons are gone, which the load would show.
    let _ = deployment.upstreams[leaving].leave().await;
    tokio::time::sleep(STOP_AFTER).await;
    deployment.stop(DAEMONS - 1).await;
    tokio::time::sleep(END_AFTER).await;
    let tally = load.finish().await;
    let last_call = deployment.upstreams[leaving].last_call();
    let failing = &deployment.upstreams[gray].settings().upstream;
    let ejected = watch.ejected_at(failing);
    Ok(DayResult {
        name: deployment.plan.name,
        broken: broken_promises(&tally, &deployment.runs_by_key()),
        late_work: last_call.map(|last| last.saturating_duration_since(left)),
        gray_failed: deployment.upstreams[gray].failed(),
        detected: ejected.map(|at| at.saturating_duration_since(turned_gray)),
        false_ejections: watch.false_ejections(failing),
        tally,
        direct,
    })
}

fn print(results: &[DayResult]) {
    let mut table = Table::new();
    let mut header = vec!["".to_owned()];
    header.extend(results.iter().map(|result| result.name.to_owned()));
    table.set_header(header);
    let mut row = |name: &str, cell: &dyn Fn(&DayResult) -> String| {
        let mut cells = vec![name.to_owned()];
        cells.extend(results.iter().map(cell));
        table.add_row(cells);
    };
    row("calls", &|r| r.tally.calls.to_string());
    row("whole answers", &|r| r.tally.whole.to_string());
    row("upstream errors passed on", &|r| r.tally.errors.to_string());
    row("not run", &|r| r.tally.not_run.to_string());
    row("unknown", &|r| r.tally.unknown.to_string());
    row("resends of a key", &|r| r.tally.resends.to_string());
    row("cut", &|r| r.tally.cut.to_string());
    row("doubled runs", &|r| r.doubled().to_string());
    row("failures by the gray upstream", &|r| r.gray_failed.to_string());
    row("detection time (ms)", &|r| {
        r.detected.map_or("not detected".to_owned(), |after| after.as_millis().to_string())
    });
    row("false ejections", &|r| r.false_ejections.to_string());
    row("last work after leaving (ms)", &|r| {
        r.late_work.map_or("none".to_owned(), |late| late.as_millis().to_string())
    });
    row("added to a read, p50 (ms)", &|r| r.added(&r.tally.reads_took, 0.5));
    row("added to a read, p99 (ms)", &|r| r.added(&r.tally.reads_took, 0.99));
    row("added to a payment, p50 (ms)", &|r| r.added(&r.tally.keyed_took, 0.5));
    row("added to a payment, p99 (ms)", &|r| r.added(&r.tally.keyed_took, 0.99));
    eprintln!("{table}");
}
