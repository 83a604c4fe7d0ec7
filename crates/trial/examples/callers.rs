//! Callers as a process of their own: `callers DEPLOYMENT SECONDS CALLERS/PLATFORM...`.
//!
//! Each entry is given as the callers' port and the platform's port of one VM, joined by a slash.
//! Prints `refused KEY` and `answered KEY` lines, then the tally, and ends non-zero when a caller got
//! an answer that belongs to another.

use std::{env, net::SocketAddr, process::ExitCode, sync::Arc, time::Duration};

use trial::{
    balancer::BalancerStandin,
    convoy, guild,
    load::{LoadPlan, LoadRun, LoadTally},
};

fn main() -> ExitCode {
    let Some((plan, lasts, entries)) = read_args() else {
        eprintln!("usage: callers guild|convoy SECONDS IP:PORT/IP:PORT...");
        return ExitCode::from(2);
    };
    let runtime = tokio::runtime::Runtime::new().expect("the system gives threads");
    let tally = runtime.block_on(async move {
        let balancer = Arc::new(BalancerStandin::spawn(entries));
        let load = LoadRun::spawn(&plan, &balancer);
        tokio::time::sleep(lasts).await;
        load.finish().await
    });
    print(&tally);
    if tally.foreign == 0 && tally.whole > 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Where callers and where the balancer are served.
type EntryPair = (SocketAddr, SocketAddr);

fn read_args() -> Option<(LoadPlan, Duration, Vec<EntryPair>)> {
    let mut args = env::args().skip(1);
    let routes = match args.next()?.as_str() {
        "guild" => guild::plan(1).routes,
        "convoy" => convoy::plan(1).routes,
        _ => return None,
    };
    let lasts = Duration::from_secs(args.next()?.parse().ok()?);
    let pair = |text: String| {
        let (callers, platform) = text.split_once('/')?;
        Some((callers.parse().ok()?, platform.parse().ok()?))
    };
    let entries: Option<Vec<_>> = args.map(pair).collect();
    let pause = Duration::from_millis(10);
    Some((LoadPlan { routes, callers: 16, pause, seed: 11 }, lasts, entries?))
}

fn print(tally: &LoadTally) {
    for key in &tally.refused_keys {
        println!("refused {key}");
    }
    for key in &tally.answered_keys {
        println!("answered {key}");
    }
    println!(
        "tally calls={} whole={} errors={} not-run={} unknown={} resends={} cut={} foreign={}",
        tally.calls,
        tally.whole,
        tally.errors,
        tally.not_run,
        tally.unknown,
        tally.resends,
        tally.cut,
        tally.foreign
    );
}
