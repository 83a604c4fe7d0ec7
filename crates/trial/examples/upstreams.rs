//! Upstream stand-ins as a process of their own: `upstreams DEPLOYMENT UPSTREAMS SECONDS ANNOUNCE...`.
//!
//! Announces itself to the given ports, works for that many seconds and prints one line for each key
//! that ran: the key and how often.

use std::{collections::BTreeMap, env, net::SocketAddr, process::ExitCode, time::Duration};

use standin::upstream::{FaultPlan, UpstreamStandin};
use trial::{convoy, guild, plan::DeploymentPlan};

fn main() -> ExitCode {
    let Some((plan, seconds, announce)) = read_args() else {
        eprintln!("usage: upstreams guild|convoy UPSTREAMS SECONDS IP:PORT...");
        return ExitCode::from(2);
    };
    let runtime = tokio::runtime::Runtime::new().expect("the system gives threads");
    match runtime.block_on(run(plan, seconds, announce)) {
        Ok(runs) => {
            for (key, count) in runs {
                println!("{key} {count}");
            }
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("upstreams: {error}");
            ExitCode::FAILURE
        }
    }
}

fn read_args() -> Option<(DeploymentPlan, Duration, Vec<SocketAddr>)> {
    let mut args = env::args().skip(1);
    let name = args.next()?;
    let upstreams = args.next()?.parse().ok()?;
    let seconds = args.next()?.parse().ok()?;
    let announce: Option<Vec<_>> = args.map(|address| address.parse().ok()).collect();
    let plan = match name.as_str() {
        "guild" => guild::plan(upstreams),
        "convoy" => convoy::plan(upstreams),
        _ => return None,
    };
    Some((plan, Duration::from_secs(seconds), announce.filter(|list| !list.is_empty())?))
}

async fn run(
    plan: DeploymentPlan,
    lasts: Duration,
    announce: Vec<SocketAddr>,
) -> std::io::Result<BTreeMap<String, u32>> {
    let mut upstreams = Vec::new();
    for settings in plan.upstream_settings(&announce) {
        upstreams.push(UpstreamStandin::spawn(settings).await?);
    }
    // One of them fails grayly from the start, so that retries run too.
    upstreams[0].set_fault(FaultPlan { errors: 0.2, cuts: 0.1, ..FaultPlan::NONE });
    tokio::time::sleep(lasts).await;
    let mut runs = BTreeMap::new();
    for upstream in &upstreams {
        for (key, count) in upstream.runs_by_key() {
            *runs.entry(key).or_default() += count;
        }
    }
    Ok(runs)
}
