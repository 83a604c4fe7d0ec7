//! What the fleet costs as it grows: slopes for docs/CAPACITY.md, and bounds on them.
//!
//! Members are values; messages are passed on by hand. Bounds are ratios and counts, which hold on a
//! busy machine as well. Wall-clock figures are printed and bound nothing.
#![allow(clippy::print_stdout, reason = "the table is what a benchmark is for")]
#![allow(missing_docs, reason = "a benchmark has no users")]

#[path = "../tests/support/mod.rs"]
mod support;
#[path = "../tests/support/values.rs"]
mod values;

use std::{
    collections::BTreeMap,
    process::ExitCode,
    time::{Duration, Instant},
};

use fleet::{
    fact::{FactKey, FleetFact, MemberRecord},
    gossip::{GossipState, REPAIR_PERIOD},
    settles::GrantEnd,
    store::FactStore,
    view::{FleetView, ViewMember},
    wire::PlacerAsk,
};
use model::{
    announcement::UpstreamState,
    call::OutcomeClass,
    numbers::{ConfigNumber, IncarnationNumber},
};
use serde::Serialize;
use support::{
    announcement, ask, at, grant, member, record, service, settle, upstream, upstream_fact,
};
use values::{FRAMING, ValueFleet};

const SIZES: [u16; 4] = [16, 64, 256, 1_024];

/// The size to come, for the lines worked out from the slopes.
const TARGET_MEMBERS: f64 = 5_700.0;
const TARGET_UPSTREAMS: f64 = 170_000.0;
const BUDGET_BYTES: f64 = 3_000.0;

/// Changes a second at the size to come: VMs that fail or restart (each is lost or stops, and comes
/// back: three facts), and upstreams that come, leave or end three times a day each.
const MEMBER_CHANGES: f64 = (740.0 + 11_000.0) * 3.0 / 86_400.0;
const UPSTREAM_CHANGES: f64 = TARGET_UPSTREAMS * 3.0 / 86_400.0;

struct Bounds(bool);

impl Bounds {
    fn check(&mut self, what: &str, value: f64, limit: f64) {
        let kept = value <= limit;
        self.0 &= kept;
        let word = if kept { "kept" } else { "BROKEN" };
        println!("bound {word}: {what}: {value:.2} (at most {limit:.2})");
    }
}

/// The figures of one fleet size.
#[derive(Clone, Copy, Debug, Default)]
struct SizeRow {
    members: u16,
    quiet_bytes: f64,
    quiet_messages: f64,
    change_bytes: f64,
    change_ms: f64,
    busy_bytes: f64,
    config_ms: f64,
    config_bytes: f64,
    found_ms: f64,
    core_percent: f64,
}

fn records(count: u16) -> Vec<MemberRecord> {
    (0..count).map(record).collect()
}

/// Returns bytes and messages of one VM on average.
fn mean_cost(fleet: &ValueFleet) -> (f64, f64) {
    let count = fleet.costs.len() as f64;
    let bytes: u64 = fleet.costs.iter().map(|cost| cost.bytes).sum();
    let messages: u64 = fleet.costs.iter().map(|cost| cost.messages).sum();
    (bytes as f64 / count, messages as f64 / count)
}

fn measure(members: u16) -> SizeRow {
    let mut fleet = ValueFleet::open(&records(members));
    fleet.run(Duration::from_secs(1));
    let mut row = SizeRow { members, ..SizeRow::default() };
    quiet(&mut fleet, &mut row);
    change(&mut fleet, &mut row);
    busy(&mut fleet, &mut row);
    configuration(&mut fleet, &mut row);
    loss(&mut fleet, &mut row);
    row
}

fn quiet(fleet: &mut ValueFleet, row: &mut SizeRow) {
    let span = REPAIR_PERIOD;
    fleet.reset_costs();
    let started = Instant::now();
    fleet.run(span);
    let spent = started.elapsed().as_secs_f64() / f64::from(row.members);
    let (bytes, messages) = mean_cost(fleet);
    row.quiet_bytes = bytes / span.as_secs_f64();
    row.quiet_messages = messages / span.as_secs_f64();
    row.core_percent = 100.0 * spent / span.as_secs_f64();
}

/// Spreads changes one by one, each from another VM, and takes off what a quiet time costs.
fn change(fleet: &mut ValueFleet, row: &mut SizeRow) {
    const CHANGES: u16 = 4;
    const SPAN: Duration = Duration::from_secs(4);
    fleet.reset_costs();
    let mut slowest = Duration::ZERO;
    for number in 0..CHANGES {
        let name = format!("cluebook-{number}");
        let from = usize::from(number * row.members / CHANGES);
        let now = fleet.now;
        fleet.nodes[from].learn(upstream_fact(&name, UpstreamState::Serving, 1), now);
        let key = FactKey::Upstream(service("cluebook"), upstream(&name));
        let knows = |node: &GossipState| node.store().get(&key).is_some();
        let reached = fleet.run_until(SPAN, knows).unwrap_or(SPAN);
        slowest = slowest.max(reached);
        fleet.run(SPAN.saturating_sub(reached));
    }
    let (bytes, _) = mean_cost(fleet);
    let quiet = row.quiet_bytes * SPAN.as_secs_f64() * f64::from(CHANGES);
    row.change_bytes = (bytes - quiet).max(0.0) / f64::from(CHANGES);
    row.change_ms = slowest.as_secs_f64() * 1_000.0;
}

/// Spreads changes at the rate of the size to come, so that messages are shared as they will be.
fn busy(fleet: &mut ValueFleet, row: &mut SizeRow) {
    const SPAN: Duration = Duration::from_secs(10);
    let changes = ((MEMBER_CHANGES + UPSTREAM_CHANGES) * SPAN.as_secs_f64()) as u32;
    fleet.reset_costs();
    for number in 0..changes {
        let from = (number as usize * 7_919) % fleet.nodes.len();
        let fact = upstream_fact(&format!("busy-{number}"), UpstreamState::Serving, 1);
        let now = fleet.now;
        fleet.nodes[from].learn(fact, now);
        fleet.run(SPAN / changes);
    }
    row.busy_bytes = mean_cost(fleet).0 / SPAN.as_secs_f64();
}

/// A new number goes to all; each VM passes it on when it has fetched the difference, which takes one
/// step here.
fn configuration(fleet: &mut ValueFleet, row: &mut SizeRow) {
    fleet.reset_costs();
    fleet.nodes[0].set_number(ConfigNumber(1));
    let start = fleet.now;
    let limit = Duration::from_secs(10);
    while fleet.now.since(start) < limit {
        fleet.step();
        for node in &mut fleet.nodes {
            if node.heard_number() > node.number() {
                let number = node.heard_number();
                node.set_number(number);
            }
        }
        if fleet.nodes.iter().all(|node| node.number() == ConfigNumber(1)) {
            break;
        }
    }
    let reached = fleet.now.since(start);
    row.config_ms = reached.as_secs_f64() * 1_000.0;
    let (bytes, _) = mean_cost(fleet);
    row.config_bytes = (bytes - row.quiet_bytes * reached.as_secs_f64()).max(0.0);
}

fn loss(fleet: &mut ValueFleet, row: &mut SizeRow) {
    let lost = usize::from(row.members / 2);
    fleet.dead[lost] = true;
    let name = record(row.members / 2).member;
    let gone = |node: &GossipState| !node.is_reachable(&name);
    let found = fleet.run_until(Duration::from_secs(10), gone);
    row.found_ms = found.map_or(f64::INFINITY, |found| found.as_secs_f64() * 1_000.0);
}

/// Returns the bytes of one repair between two VMs that hold the same `facts` facts.
fn repair_bytes(facts: usize) -> f64 {
    let mut fleet = ValueFleet::open(&records(2));
    for number in 0..facts {
        fleet.all_know(&upstream_fact(&format!("u-{number}"), UpstreamState::Serving, 1));
    }
    let ask = fleet.nodes[0].digest_ask(fleet.now);
    size(&ask) + FRAMING.0 as f64
}

fn size(message: &impl Serialize) -> f64 {
    postcard::to_stdvec(message).map_or(0, |bytes| bytes.len()) as f64
}

/// Returns the resident memory of this process in bytes; zero where the system does not tell.
fn resident() -> f64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|word| word.parse::<f64>().ok());
    pages.unwrap_or(0.0) * 4_096.0
}

/// Returns the memory of one announcement and of one member in a store, in bytes.
fn memory() -> (f64, f64) {
    const COUNT: u32 = 60_000;
    let mut store = FactStore::default();
    let before = resident();
    for number in 0..COUNT {
        let fact = upstream_fact(&format!("cluebook-{number}"), UpstreamState::Serving, 1);
        store.learn(fact, at(0));
    }
    let between = resident();
    for number in 0..COUNT {
        let member = member(&format!("vm-{number}"));
        let fact = FleetFact::Member(MemberRecord { member, ..record(1) });
        store.learn(fact, at(0));
    }
    let after = resident();
    assert_eq!(store.len(), 2 * COUNT as usize);
    ((between - before) / f64::from(COUNT), (after - between) / f64::from(COUNT))
}

fn view(count: u16, without: Option<u16>) -> FleetView {
    let members: BTreeMap<_, _> = (0..count)
        .map(|number| {
            let record = record(number);
            let seen = ViewMember {
                address: record.address,
                incarnation: record.incarnation,
                reachable: without != Some(number),
                stopping: false,
                replica: false,
            };
            (record.member, seen)
        })
        .collect();
    FleetView::new(members)
}

/// Prints what a look-up costs, and returns how many of 6,000 duties move when one of 5,700 VMs goes.
fn duties() -> f64 {
    let (before, after) = (view(5_700, None), view(5_700, Some(77)));
    let services: Vec<_> = (0..6_000).map(|number| service(&format!("s-{number}"))).collect();
    let started = Instant::now();
    let first: Vec<_> =
        services.iter().map(|one| before.placer_of(one, 0).map(|p| &p.member)).collect();
    let cold = started.elapsed();
    let started = Instant::now();
    for one in &services {
        before.placer_of(one, 0);
    }
    let warm = started.elapsed();
    let moved = services
        .iter()
        .zip(&first)
        .filter(|(one, first)| after.placer_of(one, 0).map(|placer| &placer.member) != **first);
    println!(
        "placer look-up at 5,700 VMs: first {:.1} us a service, then {:.2} us (wall clock)",
        cold.as_secs_f64() * 1e6 / 6_000.0,
        warm.as_secs_f64() * 1e6 / 6_000.0,
    );
    moved.count() as f64
}

/// Prints messages and bytes of one call, and returns the bytes.
fn call_bytes() -> f64 {
    let asked = PlacerAsk {
        entry: member("colombo-entry-17"),
        life: IncarnationNumber(1_764_000_000_000_000),
        obeyed: None,
        ask: ask(1_000_000, 2_000),
    };
    let given = grant("colombo-entry-23", 12, 1_000_000);
    let end = GrantEnd::Settle(settle(&given, OutcomeClass::Success));
    let (one, many) = (vec![end.clone()], vec![end; 64]);
    let entry = member("colombo-entry-17");
    let (asks, grants) = (size(&asked) + FRAMING.0 as f64, size(&given) + FRAMING.1 as f64);
    let framing = (FRAMING.0 + FRAMING.1) as f64;
    let alone = size(&(&entry, &one)) + framing;
    let batched = (size(&(&entry, &many)) + framing) / 64.0;
    println!(
        "one call: ask {asks:.0} B, grant {grants:.0} B, end {alone:.0} B alone or {batched:.0} B \
         in a batch of 64; 2 messages, and 2 more shared by the batch"
    );
    asks + grants + alone
}

fn print_rows(rows: &[SizeRow]) {
    println!(
        "members | quiet B/s | msg/s | B/change | change ms | busy B/s | config ms | config B | loss ms | core %"
    );
    for row in rows {
        println!(
            "{:7} | {:9.0} | {:5.1} | {:8.0} | {:9.0} | {:8.0} | {:9.0} | {:8.0} | {:7.0} | {:6.3}",
            row.members,
            row.quiet_bytes,
            row.quiet_messages,
            row.change_bytes,
            row.change_ms,
            row.busy_bytes,
            row.config_ms,
            row.config_bytes,
            row.found_ms,
            row.core_percent,
        );
    }
}

fn print_target(last: &SizeRow) {
    // 70,000 facts have as many buckets as 170,000: the most there are.
    let digest = repair_bytes(70_000) / REPAIR_PERIOD.as_secs_f64();
    let changes = last.busy_bytes - last.quiet_bytes;
    let rate = MEMBER_CHANGES + UPSTREAM_CHANGES;
    let config = last.config_bytes * 20_000.0 / 86_400.0;
    let total = last.quiet_bytes + digest + changes + config;
    println!(
        "worked out for {TARGET_MEMBERS:.0} VMs and {TARGET_UPSTREAMS:.0} upstreams, sent by each VM: \
         quiet {:.0} + digests {digest:.0} + {rate:.2} changes/s {changes:.0} + configuration \
         {config:.0} = {total:.0} B/s of {BUDGET_BYTES:.0}",
        last.quiet_bytes,
    );
    let room = (BUDGET_BYTES - last.quiet_bytes - digest - config) / (changes / rate);
    println!("the budget is reached at {room:.1} changes of members and upstreams a second");
}

/// Prints what docs/CAPACITY.md is worked out from.
fn print_slopes(last: &SizeRow, one_upstream: f64, one_member: f64, call: f64) {
    let digest = repair_bytes(70_000) / REPAIR_PERIOD.as_secs_f64();
    let fact = (last.busy_bytes - last.quiet_bytes) / (MEMBER_CHANGES + UPSTREAM_CHANGES);
    println!("slope fleet.member-memory {one_member:.0} B");
    println!("slope fleet.announcement-memory {one_upstream:.0} B");
    println!("slope fleet.quiet-bytes {:.0} B/s", last.quiet_bytes);
    println!("slope fleet.digest-bytes {digest:.0} B/s");
    println!("slope fleet.fact-bytes {fact:.0} B");
    println!("slope fleet.config-bytes {:.0} B", last.config_bytes);
    println!("slope fleet.config-ms {:.0} ms", last.config_ms);
    println!("slope fleet.core-percent {:.3} %", last.core_percent);
    println!("slope fleet.call-bytes {call:.0} B");
    let renewal = announcement("cluebook-12345", UpstreamState::Serving, 1);
    println!("slope fleet.renewal-bytes {:.0} B", size(&renewal) + FRAMING.0 as f64);
}

fn main() -> ExitCode {
    let mut bounds = Bounds(true);
    let (announcement, one_member) = memory();
    println!("memory: {announcement:.0} B an announcement, {one_member:.0} B a member");
    let rows: Vec<_> = SIZES.into_iter().map(measure).collect();
    print_rows(&rows);
    let (first, last) = (rows[0], rows[rows.len() - 1]);
    print_target(&last);
    let moved = duties();
    let call = call_bytes();
    print_slopes(&last, announcement, one_member, call);
    bounds.check("quiet bytes, 1,024 to 16 VMs", last.quiet_bytes / first.quiet_bytes, 1.5);
    bounds.check(
        "bytes for a change, 1,024 to 16 VMs",
        last.change_bytes / first.change_bytes,
        2.5,
    );
    bounds.check("simulated ms for a change at 1,024 VMs", last.change_ms, 2_000.0);
    bounds.check("simulated ms for a number at 1,024 VMs", last.config_ms, 2_000.0);
    bounds.check("simulated ms to find a loss at 1,024 VMs", last.found_ms, 4_000.0);
    bounds.check("bytes a second of a quiet VM at 1,024 VMs", last.quiet_bytes, 2_000.0);
    bounds.check("duties of 6,000 that move with one of 5,700 VMs", moved, 10.0);
    bounds.check("bytes of one call's slot, all messages", call, 800.0);
    bounds.check("bytes of memory of an announcement", announcement, 2_000.0);
    bounds.check("bytes of memory of a member", one_member, 2_000.0);
    if bounds.0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
