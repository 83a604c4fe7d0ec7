//! VMs of a test: handles on real folders, with a carrier of packets between them that can be made
//! deaf in one direction, and stores that can be made to fail.

#![allow(dead_code, unreachable_pub, reason = "each test file uses its part")]

use std::{
    collections::{BTreeMap, BTreeSet},
    env, fs,
    path::{Path, PathBuf},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use control::{
    disk::{
        folder::DataFolder,
        store::{LogStore, OpenStore, SnapshotWriter, StoreFault, StoreOpener},
    },
    fault::{ControlError, ReplicaFault},
    handle::ControlHandle,
    packet::ReplicaPacket,
    replica::{entry::SnapshotImage, log::LogWrite},
    settings::ReplicaSettings,
};
use model::{
    ledger::{ClaimAnswer, KeyClaim},
    names::MemberName,
    numbers::{ConfigNumber, GroupNumber},
    patch::{ConfigPatch, PatchResult},
    ports::ReplicaChange,
    report::ReplicaRole,
};
use tokio::sync::mpsc;
use uuid::Uuid;

/// How long a test waits for something that should come within a second or two.
pub const PATIENCE: Duration = Duration::from_secs(20);

/// How long one request waits.
pub const WITHIN: Duration = Duration::from_secs(2);

/// A temporary folder.
pub struct TempFolder(pub PathBuf);

impl TempFolder {
    pub fn open() -> Self {
        let path = env::temp_dir().join(format!("control-test-{}", Uuid::new_v4()));
        fs::create_dir_all(&path).unwrap();
        Self(path)
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

pub fn settings(member: &str, folder: &Path, founders: &[&str]) -> ReplicaSettings {
    ReplicaSettings {
        member: member.parse().unwrap(),
        folder: folder.to_owned(),
        founders: founders.iter().map(|name| name.parse().unwrap()).collect(),
        seed: 1,
    }
}

pub async fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let until = Instant::now() + PATIENCE;
    while !holds() {
        assert!(Instant::now() < until, "waited in vain until {what}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

type Handles = Arc<Mutex<BTreeMap<MemberName, ControlHandle>>>;
type LostGroups = Arc<Mutex<BTreeSet<GroupNumber>>>;
type Links = Arc<Mutex<BTreeSet<(MemberName, MemberName)>>>;

/// Several VMs and the network between them.
pub struct TestVms {
    pub folder: TempFolder,
    founders: Vec<String>,
    handles: Handles,
    deaf: Links,
    lost_groups: LostGroups,
}

impl TestVms {
    pub fn open(founders: &[&str]) -> Self {
        let vms = Self::empty(founders);
        for name in founders {
            vms.start(name);
        }
        vms
    }

    /// Makes the network alone.
    pub fn empty(founders: &[&str]) -> Self {
        Self {
            folder: TempFolder::open(),
            founders: founders.iter().map(|&name| name.to_owned()).collect(),
            handles: Handles::default(),
            deaf: Links::default(),
            lost_groups: LostGroups::default(),
        }
    }

    pub fn path(&self, name: &str) -> PathBuf {
        self.folder.0.join(name)
    }

    pub fn start(&self, name: &str) -> ControlHandle {
        let founders: Vec<&str> = self.founders.iter().map(String::as_str).collect();
        let settings = settings(name, &self.path(name), &founders);
        let (handle, packets) = ControlHandle::open(settings).unwrap();
        self.add(name, handle.clone(), packets);
        handle
    }

    pub fn add(&self, name: &str, handle: ControlHandle, packets: mpsc::Receiver<ReplicaPacket>) {
        self.handles.lock().unwrap().insert(name.parse().unwrap(), handle);
        let (deaf, lost) = (self.deaf.clone(), self.lost_groups.clone());
        tokio::spawn(carry(packets, self.handles.clone(), deaf, lost));
    }

    /// Ends a VM as a crash would.
    pub fn crash(&self, name: &str) {
        self.handles.lock().unwrap().remove(name);
    }

    pub fn handle(&self, name: &str) -> ControlHandle {
        self.handles.lock().unwrap()[name].clone()
    }

    /// Makes one direction deaf.
    pub fn block(&self, from: &str, to: &str) {
        self.deaf.lock().unwrap().insert((from.parse().unwrap(), to.parse().unwrap()));
    }

    /// Loses each packet of a group from now on.
    pub fn lose_group(&self, group: GroupNumber) {
        self.lost_groups.lock().unwrap().insert(group);
    }

    /// Changes the replicas of a group, asking again until it is done.
    pub async fn change(&self, group: GroupNumber, change: &ReplicaChange) {
        let until = Instant::now() + PATIENCE;
        loop {
            let leader = self.wait_leader(group).await;
            let handle = self.handle(&leader);
            match handle.change_replicas(group, change.clone(), WITHIN).await {
                Ok(()) => return,
                Err(fault) => assert!(Instant::now() < until, "{fault}"),
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    pub fn unblock(&self) {
        self.deaf.lock().unwrap().clear();
    }

    /// Returns the VM that leads a group, while it does.
    pub fn leader(&self, group: GroupNumber) -> Option<String> {
        self.leader_among(group, |_| true)
    }

    pub fn leader_among(&self, group: GroupNumber, among: impl Fn(&str) -> bool) -> Option<String> {
        let handles = self.handles.lock().unwrap();
        let leads = |handle: &ControlHandle| {
            let rows = handle.rows();
            let row = rows.into_iter().find(|row| row.group == group)?;
            (row.role == ReplicaRole::Leader).then_some(row.term)
        };
        let wanted = handles.iter().filter(|(name, _)| among(name.as_str()));
        let leaders = wanted.filter_map(|(name, handle)| Some((leads(handle)?, name)));
        leaders.max().map(|(_, name)| name.to_string())
    }

    pub async fn wait_leader(&self, group: GroupNumber) -> String {
        wait_until("a leader is there", || self.leader(group).is_some()).await;
        self.leader(group).unwrap()
    }

    /// Submits a patch to whoever leads until it is answered, as the fleet does.
    pub async fn submit(&self, patch: &ConfigPatch) -> PatchResult {
        let until = Instant::now() + PATIENCE;
        loop {
            let leader = self.wait_leader(GroupNumber::CONFIG).await;
            match self.handle(&leader).submit(patch.clone(), WITHIN).await {
                Ok(result) => return result,
                Err(fault) => assert!(Instant::now() < until, "{fault}"),
            }
        }
    }

    /// Claims a key at whoever leads until it is answered.
    pub async fn claim(&self, group: GroupNumber, claim: &KeyClaim) -> ClaimAnswer {
        let until = Instant::now() + PATIENCE;
        loop {
            let leader = self.wait_leader(group).await;
            match self.handle(&leader).claim(group, claim.clone(), WITHIN).await {
                Ok(answer) => return answer,
                Err(fault) => assert!(Instant::now() < until, "{fault}"),
            }
        }
    }

    /// Waits until a VM has a configuration.
    pub async fn wait_number(&self, name: &str, number: u64) {
        let config = self.handle(name).watch_config();
        let until = Instant::now() + PATIENCE;
        while config.borrow().number() < ConfigNumber(number) {
            assert!(Instant::now() < until, "{name} never came to {number}: {}", self.dump());
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    fn dump(&self) -> String {
        let handles = self.handles.lock().unwrap();
        let lines = handles.iter().map(|(name, handle)| {
            let number = handle.watch_config().borrow().number();
            format!("\n{name} at {number}: {:?}", handle.rows())
        });
        lines.collect()
    }
}

async fn carry(
    mut packets: mpsc::Receiver<ReplicaPacket>,
    handles: Handles,
    deaf: Links,
    lost: LostGroups,
) {
    while let Some(packet) = packets.recv().await {
        let link = (packet.from.clone(), packet.to.clone());
        let receiver = handles.lock().unwrap().get(&packet.to).cloned();
        if let Some(receiver) = receiver
            && !deaf.lock().unwrap().contains(&link)
            && !lost.lock().unwrap().contains(&packet.group)
        {
            receiver.receive(packet);
        }
    }
}

/// What a disk is made to do.
#[derive(Clone, Default)]
pub struct DiskFaults {
    /// No room at all.
    pub full: Arc<AtomicBool>,
    /// Room when asked for, none when written.
    pub write_full: Arc<AtomicBool>,
    pub sync_fails: Arc<AtomicBool>,
}

impl DiskFaults {
    fn check(&self) -> Result<(), StoreFault> {
        if self.full.load(Ordering::Acquire) || self.write_full.load(Ordering::Acquire) {
            return Err(StoreFault::NoSpace);
        }
        if self.sync_fails.load(Ordering::Acquire) {
            let source = std::io::Error::other("input/output error");
            let path = PathBuf::from("log");
            return Err(StoreFault::Fatal {
                source: ControlError::File { doing: "sync", path, source },
            });
        }
        Ok(())
    }
}

/// A data folder whose stores fail when told to.
pub struct FaultyFolder {
    pub inner: DataFolder,
    pub faults: DiskFaults,
}

impl StoreOpener for FaultyFolder {
    fn open_group(&mut self, group: GroupNumber) -> Result<OpenStore, ControlError> {
        let opened = self.inner.open_group(group)?;
        let store = FaultyStore { inner: opened.store, faults: self.faults.clone() };
        Ok(OpenStore { store: Box::new(store), ..opened })
    }

    fn groups(&self) -> Result<Vec<GroupNumber>, ControlError> {
        self.inner.groups()
    }
}

struct FaultyStore {
    inner: Box<dyn LogStore>,
    faults: DiskFaults,
}

impl LogStore for FaultyStore {
    fn reserve(&mut self, bytes: u64) -> Result<(), StoreFault> {
        match self.faults.full.load(Ordering::Acquire) {
            true => Err(StoreFault::NoSpace),
            false => self.inner.reserve(bytes),
        }
    }

    fn write(&mut self, writes: &[LogWrite]) -> Result<(), StoreFault> {
        self.faults.check()?;
        self.inner.write(writes)
    }

    fn snapshot_writer(&self) -> SnapshotWriter {
        let (faults, inner) = (self.faults.clone(), self.inner.snapshot_writer());
        Box::new(move |image| {
            faults.check()?;
            inner(image)
        })
    }

    fn rewrite(&mut self, image: &SnapshotImage, writes: &[LogWrite]) -> Result<(), StoreFault> {
        self.faults.check()?;
        self.inner.rewrite(image, writes)
    }

    fn log_bytes(&self) -> u64 {
        self.inner.log_bytes()
    }
}

/// Opens a VM whose disk fails when told to.
pub fn open_faulty(
    settings: ReplicaSettings,
) -> (ControlHandle, mpsc::Receiver<ReplicaPacket>, DiskFaults) {
    let faults = DiskFaults::default();
    let inner = DataFolder::open(&settings.folder, &settings.member).unwrap();
    let folder = FaultyFolder { inner, faults: faults.clone() };
    let (handle, packets) = ControlHandle::open_with(settings, Box::new(folder)).unwrap();
    (handle, packets, faults)
}

/// Tells whether a fault means that nothing was accepted for want of room.
pub fn is_no_space<T>(end: &Result<T, ReplicaFault>) -> bool {
    matches!(end, Err(ReplicaFault::NoSpace))
}
