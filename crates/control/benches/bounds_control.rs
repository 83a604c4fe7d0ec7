//! Bounds of the replicated state, each a ratio or a count, so that they hold on a busy machine too.
//!
//! Three VMs in one process, real files and syncs, packets carried by a task. Times are printed for the
//! reader; no bound is on one. Ends non-zero when a bound is broken.

#![allow(clippy::print_stdout, reason = "a benchmark prints its table")]

use std::{
    collections::BTreeMap,
    env, fs,
    path::{Path, PathBuf},
    pin::Pin,
    process::ExitCode,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    task::Poll,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use control::{
    disk::{
        folder::DataFolder,
        store::{LogStore, OpenStore, SnapshotWriter, StoreFault, StoreOpener},
    },
    fault::ControlError,
    handle::ControlHandle,
    packet::ReplicaPacket,
    replica::{entry::SnapshotImage, log::LogWrite},
    settings::ReplicaSettings,
    state::{command::LedgerView, config::ConfigState, ledger::LedgerState},
};
use model::{
    call::CallClass,
    config::{ControlSettings, ServiceRule},
    ledger::{BodyDigest, CallKey, ClaimAnswer, KeyClaim},
    names::MemberName,
    numbers::{ConfigNumber, GroupNumber},
    patch::{ConfigChange, ConfigPatch, PatchId},
    report::ReplicaRole,
    route::RouteRule,
};
use tokio::{sync::mpsc, task::JoinSet};
use uuid::Uuid;

const NAMES: [&str; 3] = ["vm-a", "vm-b", "vm-c"];
const WITHIN: Duration = Duration::from_secs(20);
const LEDGER: GroupNumber = GroupNumber::FIRST_LEDGER;

/// What the bench counts.
#[derive(Clone, Default)]
struct Counters {
    syncs: Arc<AtomicU64>,
    packets: Arc<AtomicU64>,
    bytes: Arc<AtomicU64>,
}

#[derive(Clone, Copy)]
struct Counted {
    syncs: u64,
    packets: u64,
    bytes: u64,
}

impl Counters {
    fn read(&self) -> Counted {
        let load = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        let (syncs, packets, bytes) = (load(&self.syncs), load(&self.packets), load(&self.bytes));
        Counted { syncs, packets, bytes }
    }

    fn since(&self, before: Counted) -> Counted {
        let now = self.read();
        Counted {
            syncs: now.syncs - before.syncs,
            packets: now.packets - before.packets,
            bytes: now.bytes - before.bytes,
        }
    }
}

struct CountingFolder {
    inner: DataFolder,
    counters: Counters,
}

impl StoreOpener for CountingFolder {
    fn open_group(&mut self, group: GroupNumber) -> Result<OpenStore, ControlError> {
        let opened = self.inner.open_group(group)?;
        let store = CountingStore { inner: opened.store, counters: self.counters.clone() };
        Ok(OpenStore { store: Box::new(store), ..opened })
    }

    fn groups(&self) -> Result<Vec<GroupNumber>, ControlError> {
        self.inner.groups()
    }
}

struct CountingStore {
    inner: Box<dyn LogStore>,
    counters: Counters,
}

impl LogStore for CountingStore {
    fn reserve(&mut self, bytes: u64) -> Result<(), StoreFault> {
        self.inner.reserve(bytes)
    }

    fn write(&mut self, writes: &[LogWrite]) -> Result<(), StoreFault> {
        self.counters.syncs.fetch_add(1, Ordering::Relaxed);
        self.inner.write(writes)
    }

    fn snapshot_writer(&self) -> SnapshotWriter {
        self.inner.snapshot_writer()
    }

    fn rewrite(&mut self, image: &SnapshotImage, writes: &[LogWrite]) -> Result<(), StoreFault> {
        self.inner.rewrite(image, writes)
    }

    fn log_bytes(&self) -> u64 {
        self.inner.log_bytes()
    }
}

struct BenchFolder(PathBuf);

impl BenchFolder {
    fn open() -> Self {
        let path = env::temp_dir().join(format!("control-bench-{}", Uuid::new_v4()));
        fs::create_dir_all(&path).expect("a temporary folder");
        Self(path)
    }
}

impl Drop for BenchFolder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

type Handles = Arc<Mutex<BTreeMap<MemberName, ControlHandle>>>;

struct BenchGroup {
    _folder: BenchFolder,
    handles: Handles,
    counters: Counters,
}

impl BenchGroup {
    fn open() -> Self {
        let folder = BenchFolder::open();
        let counters = Counters::default();
        let handles = Handles::default();
        for name in NAMES {
            let settings = settings(name, &folder.0.join(name), &NAMES);
            let inner = DataFolder::open(&settings.folder, &settings.member).expect("a folder");
            let opener = CountingFolder { inner, counters: counters.clone() };
            let (handle, packets) =
                ControlHandle::open_with(settings, Box::new(opener)).expect("a handle");
            handles.lock().expect("no panic").insert(name.parse().expect("a name"), handle);
            tokio::spawn(carry(packets, handles.clone(), counters.clone()));
        }
        Self { _folder: folder, handles, counters }
    }

    fn leader(&self, group: GroupNumber) -> Option<ControlHandle> {
        let handles = self.handles.lock().expect("no panic");
        let leads = |handle: &&ControlHandle| {
            let rows = handle.rows();
            rows.iter().any(|row| row.group == group && row.role == ReplicaRole::Leader)
        };
        handles.values().find(leads).cloned()
    }

    async fn wait_leader(&self, group: GroupNumber) -> ControlHandle {
        loop {
            if let Some(handle) = self.leader(group) {
                return handle;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
}

async fn carry(mut packets: mpsc::Receiver<ReplicaPacket>, handles: Handles, counters: Counters) {
    while let Some(packet) = packets.recv().await {
        counters.packets.fetch_add(1, Ordering::Relaxed);
        counters.bytes.fetch_add(packet.bytes.len() as u64, Ordering::Relaxed);
        let receiver = handles.lock().expect("no panic").get(&packet.to).cloned();
        if let Some(receiver) = receiver {
            receiver.receive(packet);
        }
    }
}

fn settings(member: &str, folder: &Path, founders: &[&str]) -> ReplicaSettings {
    ReplicaSettings {
        member: member.parse().expect("a name"),
        folder: folder.to_owned(),
        founders: founders.iter().map(|name| name.parse().expect("a name")).collect(),
        seed: 1,
    }
}

fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).expect("a clock after 1970");
    u64::try_from(since.as_millis()).expect("it fits")
}

fn key(number: u64, millis: u64) -> CallKey {
    let mut random = [0; 10];
    random[2..].copy_from_slice(&number.to_be_bytes());
    CallKey::from_parts(millis, random)
}

fn claim(number: u64, millis: u64) -> KeyClaim {
    KeyClaim {
        key: key(number, millis),
        service: "entrydesk".parse().expect("a name"),
        digest: BodyDigest([1; 32]),
        claimant: number,
        within_ms: 20_000,
    }
}

fn service_patch(number: u64) -> ConfigPatch {
    let name = format!("service-{}", number % 100).parse().expect("a name");
    let floor_slots = u32::try_from(number).expect("it fits");
    let rule = ServiceRule { floor_slots, ..ServiceRule::default() };
    one_change(number, ConfigChange::PutService { name, rule })
}

fn one_change(base: u64, change: ConfigChange) -> ConfigPatch {
    ConfigPatch {
        id: PatchId(Uuid::from_u128(u128::from(base) + 1)),
        base: ConfigNumber(base),
        author: "bench".to_owned(),
        changes: vec![change],
    }
}

fn route(number: u64) -> ConfigChange {
    let rule = RouteRule {
        host: Some(format!("customer-{}.example", number % 460)),
        path: format!("/path-{number}"),
        methods: Vec::new(),
        service: "service-0".parse().expect("a name"),
        class: CallClass::Idempotent,
        timeout_ms: 1_000,
    };
    let name = format!("route-{number}").parse().expect("a name");
    ConfigChange::PutRoute { name, rule }
}

/// Bounds, and whether each held.
#[derive(Default)]
struct BoundTable {
    broken: u32,
}

impl BoundTable {
    fn show(&self, name: &str, figure: &str) {
        println!("{name:<58} {figure:>22}");
    }

    /// Prints what docs/CAPACITY.md is worked out from.
    fn slope(&self, name: &str, value: f64, unit: &str) {
        println!("slope control.{name} {value} {unit}");
    }

    fn at_most(&mut self, name: &str, figure: f64, bound: f64) {
        self.bound(name, figure, bound, figure <= bound, "at most");
    }

    fn at_least(&mut self, name: &str, figure: f64, bound: f64) {
        self.bound(name, figure, bound, figure >= bound, "at least");
    }

    fn bound(&mut self, name: &str, figure: f64, bound: f64, holds: bool, kind: &str) {
        let verdict = if holds { "ok" } else { "BROKEN" };
        println!("{name:<58} {figure:>12.2}   {kind} {bound} {verdict}");
        self.broken += u32::from(!holds);
    }
}

#[allow(clippy::cast_precision_loss, reason = "figures for a table")]
fn ratio(a: u64, b: u64) -> f64 {
    a as f64 / b.max(1) as f64
}

/// Claims at 512 at once, as entries send them; then one after the other.
async fn claims(table: &mut BoundTable) {
    const CLAIMS: u64 = 50_000;
    const AT_ONCE: u64 = 512;
    let group = BenchGroup::open();
    let leader = group.wait_leader(LEDGER).await;
    let before = group.counters.read();
    let started = Instant::now();
    let mut callers = JoinSet::new();
    for caller in 0..AT_ONCE {
        let leader = leader.clone();
        callers.spawn(async move {
            for number in (caller..CLAIMS).step_by(AT_ONCE as usize) {
                let answer = leader.claim(LEDGER, claim(number, wall_ms()), WITHIN).await;
                assert!(matches!(answer, Ok(ClaimAnswer::Run { .. })), "{answer:?}");
            }
        });
    }
    while let Some(end) = callers.join_next().await {
        end.expect("no panic");
    }
    let took = started.elapsed();
    let counted = group.counters.since(before);
    let rate = ratio(CLAIMS, 1) / took.as_secs_f64();
    table.show("claims a second, one group of three, 512 at once", &format!("{rate:.0}"));
    table.slope("claim-seconds", 1.0 / rate, "s");
    table.slope("claim-bytes", ratio(counted.bytes, CLAIMS), "B");
    let per_sync = ratio(CLAIMS * 3, counted.syncs);
    table.at_least("claims a sync", per_sync, 20.0);
    table.at_most("packets a claim", ratio(counted.packets, CLAIMS), 0.5);
    table.at_most("bytes a claim, both followers", ratio(counted.bytes, CLAIMS), 400.0);
    let started = Instant::now();
    let before = group.counters.read();
    for number in 0..200 {
        let answer = leader.claim(LEDGER, claim(CLAIMS + number, wall_ms()), WITHIN).await;
        assert!(matches!(answer, Ok(ClaimAnswer::Run { .. })), "{answer:?}");
    }
    let counted = group.counters.since(before);
    let each = started.elapsed() / 200;
    table.show("one claim alone", &format!("{each:.1?}"));
    table.at_most("syncs of one claim alone, three disks", ratio(counted.syncs, 200), 3.5);
}

/// Changes one after the other: what one costs on the wire and on disks.
async fn changes(table: &mut BoundTable) {
    const CHANGES: u64 = 300;
    let group = BenchGroup::open();
    let leader = group.wait_leader(GroupNumber::CONFIG).await;
    let before = group.counters.read();
    let started = Instant::now();
    for number in 0..CHANGES {
        leader.submit(service_patch(number), WITHIN).await.expect("accepted").expect("applied");
    }
    let each = started.elapsed() / u32::try_from(CHANGES).expect("it fits");
    let counted = group.counters.since(before);
    table.show("one change alone, three VMs", &format!("{each:.1?}"));
    table.at_most("packets a change", ratio(counted.packets, CHANGES), 6.0);
    table.at_most("bytes a change, both followers", ratio(counted.bytes, CHANGES), 1_000.0);
    table.at_most("syncs a change, three disks", ratio(counted.syncs, CHANGES), 3.5);
}

/// Three VMs that do nothing, with one ledger group and with eight.
async fn idle(table: &mut BoundTable) {
    let few = idle_cost(1).await;
    let many = idle_cost(8).await;
    table.at_most("idle: bytes a second and VM, 1 ledger group", ratio(few.bytes, 9), 1_000.0);
    table.at_most("idle: bytes a second and VM, 8 ledger groups", ratio(many.bytes, 9), 4_000.0);
    table.at_most("idle: packets, 9 groups against 2", ratio(many.packets, few.packets), 5.5);
    // None, but for one election of one group when the machine is so busy that a leader is late.
    table.at_most("idle: syncs", ratio(few.syncs + many.syncs, 1), 9.0);
}

async fn idle_cost(ledger_groups: u32) -> Counted {
    let group = BenchGroup::open();
    let leader = group.wait_leader(GroupNumber::CONFIG).await;
    let settings = ControlSettings { ledger_groups, ..ControlSettings::default() };
    let patch = one_change(0, ConfigChange::PutSettings { settings });
    leader.submit(patch, WITHIN).await.expect("accepted").expect("applied");
    for number in 1..=ledger_groups {
        group.wait_leader(GroupNumber(number)).await;
    }
    // The last election's entries are on all disks by then.
    tokio::time::sleep(Duration::from_secs(1)).await;
    let before = group.counters.read();
    tokio::time::sleep(Duration::from_secs(3)).await;
    group.counters.since(before)
}

/// How long a VM with so many changes takes to start, alone.
async fn restart(changes: u64) -> (Duration, Duration) {
    let folder = BenchFolder::open();
    let open = || ControlHandle::open(settings("vm-a", &folder.0, &["vm-a"])).expect("a handle").0;
    let handle = open();
    while handle.rows()[0].role != ReplicaRole::Leader {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    const AT_ONCE: u64 = 500;
    for first in (0..changes).step_by(AT_ONCE as usize) {
        let numbers = first..changes.min(first + AT_ONCE);
        let submits = numbers.map(|number| Box::pin(handle.submit(service_patch(number), WITHIN)));
        finish_in_order(submits.collect()).await;
    }
    let number = handle.watch_config().borrow().number();
    assert_eq!(number, ConfigNumber(changes));
    drop(handle);
    let mut holder = DataFolder::open(&folder.0, &"vm-a".parse().expect("a name"));
    while holder.is_err() {
        holder = DataFolder::open(&folder.0, &"vm-a".parse().expect("a name"));
    }
    drop(holder);
    let started = Instant::now();
    let handle = open();
    let opened = started.elapsed();
    let mut config = handle.watch_config();
    while config.borrow_and_update().number() < ConfigNumber(changes) {
        config.changed().await.expect("it lives");
    }
    (started.elapsed(), opened)
}

/// Runs futures together, each first polled in order: each patch is written against the one before.
async fn finish_in_order<F: Future + Unpin>(mut waiting: Vec<F>) {
    std::future::poll_fn(move |context| {
        waiting.retain_mut(|future| Pin::new(future).poll(context).is_pending());
        if waiting.is_empty() { Poll::Ready(()) } else { Poll::Pending }
    })
    .await;
}

fn state_growth(table: &mut BoundTable) {
    let mut times = Vec::new();
    for routes in [100_u64, 1_000, 10_000, 93_000] {
        let (time, bytes) = patch_cost(routes);
        table.show(
            &format!("one change beside {routes} routes"),
            &format!("{:.1} us, {bytes} B", time.as_secs_f64() * 1e6),
        );
        times.push((time, bytes));
    }
    table.slope("change-us", times[3].0.as_secs_f64() * 1e6, "us");
    let growth = times[3].0.as_secs_f64() / times[0].0.as_secs_f64();
    table.at_most("time a change, 93,000 routes against 100", growth, 8.0);
    table.at_most("bytes a change, 93,000 routes against 100", ratio(times[3].1, times[0].1), 1.2);
}

/// Fills a state and returns the median cost of a change, in time and in bytes of the patch.
fn patch_cost(routes: u64) -> (Duration, u64) {
    let mut state = ConfigState::default();
    state.submit(service_patch(0)).expect("it applies");
    let mut number = 1;
    for first in (0..routes).step_by(500) {
        let changes = (first..routes.min(first + 500)).map(route).collect();
        let patch = ConfigPatch { changes, ..one_change(number, route(0)) };
        state.submit(patch).expect("it applies");
        number += 1;
    }
    let mut times = Vec::new();
    let mut bytes = 0;
    for step in 0..500 {
        let place = step * 7_919 % routes;
        let patch = one_change(number, route(place));
        bytes = postcard::to_stdvec(&patch).expect("a form").len() as u64;
        let held = state.clone();
        let started = Instant::now();
        state.submit(patch).expect("it applies");
        times.push(started.elapsed());
        drop(held);
        number += 1;
    }
    times.sort_unstable();
    (times[times.len() / 2], bytes)
}

/// Resident bytes of this process, from the system's own page about it.
fn resident() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: u64 = text.split(' ').nth(1).and_then(|field| field.parse().ok()).unwrap_or(0);
    pages * 4_096
}

fn key_memory(table: &mut BoundTable) {
    const KEYS: u64 = 500_000;
    let millis = wall_ms();
    let view = LedgerView { wall_ms: millis, keep_ms: 86_400_000, keys_limit: KEYS };
    let mut state = LedgerState::default();
    let before = resident();
    let started = Instant::now();
    for number in 0..KEYS {
        state.claim(view, &claim(number, millis + number / 1_000));
    }
    let each = started.elapsed().as_secs_f64() * 1e6 / ratio(KEYS, 1);
    let bytes = ratio(resident().saturating_sub(before), KEYS);
    table.show("one claim in the state, 500,000 keys", &format!("{each:.2} us"));
    table.slope("key-memory", bytes, "B");
    table.at_most("bytes of memory a kept key", bytes, 400.0);
    let started = Instant::now();
    let image = state.encode();
    let took = started.elapsed();
    table.show("encoding a snapshot of 500,000 keys, on its own thread", &format!("{took:.0?}"));
    table.at_most("bytes of snapshot a kept key", ratio(image.len() as u64, KEYS), 120.0);
}

fn main() -> ExitCode {
    let mut table = BoundTable::default();
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    key_memory(&mut table);
    state_growth(&mut table);
    runtime.block_on(async {
        claims(&mut table).await;
        changes(&mut table).await;
        idle(&mut table).await;
        let mut times = Vec::new();
        for changes in [1_000, 10_000, 100_000] {
            let (took, opened) = restart(changes).await;
            let figure = format!("{took:.0?}, files {opened:.0?}");
            table.show(&format!("restart after {changes} changes"), &figure);
            times.push(took.as_secs_f64());
        }
        table.slope("restart-ms", times[2] * 1_000.0, "ms");
        // The log is cut by snapshots, so a restart does not grow with all that ever was.
        table.at_most("restart, 100,000 changes against 10,000", times[2] / times[1], 10.0);
    });
    match table.broken {
        0 => ExitCode::SUCCESS,
        broken => {
            println!("{broken} bounds are broken");
            ExitCode::FAILURE
        }
    }
}
