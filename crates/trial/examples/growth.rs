//! What a call costs as the fleet grows: the same callers and upstreams behind 1, 4 and 16 daemons.
//!
//! All daemons share this one machine, so the figures show the cost of more hops and more gossip, and
//! nothing of a network between VMs.

use std::{process::ExitCode, sync::Arc, time::Duration};

use comfy_table::Table;
use hdrhistogram::Histogram;
use trial::{
    balancer::BalancerStandin,
    deployment::{Deployment, DeploymentError},
    guild,
    load::{LoadPlan, LoadRun, LoadTally, measure_direct},
};

const SIZES: [usize; 3] = [1, 4, 16];
const UPSTREAMS: u32 = 5;
const CALLERS: usize = 16;
const LASTS: Duration = Duration::from_secs(6);

/// What one size came to.
struct GrowthRow {
    daemons: usize,
    tally: LoadTally,
    direct: Histogram<u64>,
}

fn main() -> ExitCode {
    let runtime = tokio::runtime::Runtime::new().expect("the system gives threads");
    let mut rows = Vec::new();
    for daemons in SIZES {
        match runtime.block_on(measure(daemons)) {
            Ok(row) => rows.push(row),
            Err(error) => {
                eprintln!("growth: {daemons} daemons: {error}");
                return ExitCode::FAILURE;
            }
        }
    }
    print(&rows);
    ExitCode::SUCCESS
}

async fn measure(daemons: usize) -> Result<GrowthRow, DeploymentError> {
    let deployment = Deployment::spawn(guild::plan(UPSTREAMS), daemons, 1).await?;
    let direct = measure_direct(deployment.upstreams[0].address()).await;
    let balancer = Arc::new(BalancerStandin::spawn(deployment.entries()));
    let plan = LoadPlan {
        routes: deployment.plan.routes.clone(),
        callers: CALLERS,
        pause: Duration::from_millis(10),
        seed: 5,
    };
    let load = LoadRun::spawn(&plan, &balancer);
    tokio::time::sleep(LASTS).await;
    Ok(GrowthRow { daemons, tally: load.finish().await, direct })
}

fn print(rows: &[GrowthRow]) {
    let mut table = Table::new();
    table.set_header(["daemons", "calls", "whole", "read p50", "read p99", "paid p50", "paid p99"]);
    for row in rows {
        let tally = &row.tally;
        let added = |took: &Histogram<u64>, quantile| {
            let (through, direct) =
                (took.value_at_quantile(quantile), row.direct.value_at_quantile(quantile));
            format!("{:.2} ms", (through as f64 - direct as f64) / 1_000.0)
        };
        table.add_row([
            row.daemons.to_string(),
            tally.calls.to_string(),
            tally.whole.to_string(),
            added(&tally.reads_took, 0.5),
            added(&tally.reads_took, 0.99),
            added(&tally.keyed_took, 0.5),
            added(&tally.keyed_took, 0.99),
        ]);
    }
    println!("{table}");
}
