//! What the operators' interface costs as the fleet grows: bytes and time of its two largest pages.
//!
//! Prints a line `slope NAME VALUE UNIT` for each figure that docs/CAPACITY.md is worked out from.
#![allow(clippy::print_stdout, reason = "the table is what a benchmark is for")]
#![allow(missing_docs, reason = "a benchmark has no users")]

use std::{hint::black_box, process::ExitCode, time::Instant};

use model::{
    announcement::UpstreamState,
    numbers::{ConfigNumber, IncarnationNumber},
    report::{MemberRow, UpstreamHealth, UpstreamRow},
};

/// The nodes and targets of the users' letter.
const MEMBERS: u32 = 5_700;
const UPSTREAMS: u32 = 170_000;

/// A fleet of today, to compare with.
const FEW: u32 = 48;

/// A page is made this often, and the shortest time counts: the rest is the machine's noise.
const ROUNDS: u32 = 7;

fn member(number: u32) -> MemberRow {
    MemberRow {
        member: format!("colombo-entry-{number}").parse().expect("a valid name"),
        domain: "kollupitiya".parse().expect("a valid name"),
        address: ([10, 1, 2, 3], 7_104).into(),
        incarnation: IncarnationNumber(1_764_000_000_000_000),
        reachable: true,
        heard_ms: 150,
        in_force: ConfigNumber(20_000),
        stopping: false,
        replica: false,
    }
}

fn upstream(number: u32) -> UpstreamRow {
    UpstreamRow {
        service: format!("service-{}", number % 6_000).parse().expect("a valid name"),
        upstream: format!("target-{number}").parse().expect("a valid name"),
        address: ([10, 1, 2, 3], 8_080).into(),
        domain: "kollupitiya".parse().expect("a valid name"),
        state: UpstreamState::Serving,
        health: Some(UpstreamHealth::Healthy),
        slots: 4,
        busy: 2,
        incarnation: IncarnationNumber(1_764_000_000_000_000),
        lease_left_ms: 45_000,
        ejected_left_ms: 0,
    }
}

/// Returns bytes and shortest time in microseconds of a page of rows.
fn page<T: serde::Serialize>(rows: &[T]) -> (f64, f64) {
    let mut bytes = 0;
    let mut shortest = f64::MAX;
    for _ in 0..ROUNDS {
        let started = Instant::now();
        let page = black_box(serde_json::to_vec(rows).expect("rows have a JSON form"));
        shortest = shortest.min(started.elapsed().as_secs_f64() * 1e6);
        bytes = page.len();
    }
    (bytes as f64, shortest)
}

fn main() -> ExitCode {
    let members: Vec<_> = (0..MEMBERS).map(member).collect();
    let upstreams: Vec<_> = (0..UPSTREAMS).map(upstream).collect();
    let (member_bytes, member_us) = page(&members);
    let (upstream_bytes, upstream_us) = page(&upstreams);
    let (few_bytes, _) = page(&members[..FEW as usize]);
    println!("slope operator.member-bytes {:.0} B", member_bytes / f64::from(MEMBERS));
    println!("slope operator.upstream-bytes {:.0} B", upstream_bytes / f64::from(UPSTREAMS));
    println!("slope operator.member-us {:.3} us", member_us / f64::from(MEMBERS));
    println!("slope operator.upstream-us {:.3} us", upstream_us / f64::from(UPSTREAMS));
    let growth = (member_bytes / f64::from(MEMBERS)) / (few_bytes / f64::from(FEW));
    let kept = growth <= 1.2;
    let word = if kept { "kept" } else { "BROKEN" };
    println!("bound {word}: bytes of a member, 5,700 to 48: {growth:.2} (at most 1.20)");
    if kept { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
