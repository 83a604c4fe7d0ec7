//! How the rest of the process reaches the replicas of its VM.

use std::{
    fmt,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
        mpsc as std_mpsc,
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    disk::{folder::DataFolder, store::StoreOpener},
    driver::{DriverAsk, DriverEvent, DriverView, INBOX_LIMIT, ReplicaDriver},
    fault::{COME_BACK, ControlError, RefusalReason, ReplicaFault, ThreadSnafu},
    group::{GroupAnswer, GroupRequest},
    packet::{PACKET_LIMIT, ReplicaPacket},
    settings::ReplicaSettings,
    state::{
        command::{CloseAnswer, StateAnswer, StateCommand},
        config::ConfigState,
    },
};
use arc_swap::ArcSwap;
use model::{
    config::FleetConfig,
    ledger::{CallKey, ClaimAnswer, KeyClaim, KeyClose},
    numbers::{ConfigNumber, GroupNumber},
    patch::{ConfigDelta, ConfigPatch, PatchId, PatchRecord, PatchResult},
    ports::ReplicaChange,
    report::GroupRow,
};
use snafu::{ResultExt, ensure};
use tokio::{
    sync::{mpsc, oneshot, watch},
    time::timeout,
};

/// How many packets may wait to be carried. What comes beyond is lost, and sent again later.
const PACKETS_LIMIT: usize = 4_096;

/// The replicas of this VM. Dropping the last clone ends them at once, as a crash would.
#[derive(Clone)]
pub struct ControlHandle {
    inner: Arc<HandleInner>,
}

struct HandleInner {
    events: std_mpsc::SyncSender<DriverEvent>,
    view: Arc<DriverView>,
}

impl Drop for HandleInner {
    fn drop(&mut self) {
        self.view.stop.store(true, Ordering::Release);
    }
}

impl fmt::Debug for ControlHandle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ControlHandle").finish_non_exhaustive()
    }
}

/// Returns the ledger group of a key.
///
/// # Panics
///
/// Panics when `groups` is 0.
pub fn group_of(key: CallKey, groups: u32) -> GroupNumber {
    let hash = xxhash_rust::xxh3::xxh3_64(&key.as_u128().to_be_bytes());
    let offset = hash % u64::from(groups);
    GroupNumber(GroupNumber::FIRST_LEDGER.0 + u32::try_from(offset).expect("below a u32"))
}

impl ControlHandle {
    /// Opens the replicas of this VM. What comes out of the receiver must be carried to its VM.
    ///
    /// Blocks while the files are read, and up to two seconds while another process holds the folder.
    ///
    /// # Errors
    ///
    /// Fails when the data folder is in use, damaged or not accessible.
    pub fn open(
        settings: ReplicaSettings,
    ) -> Result<(Self, mpsc::Receiver<ReplicaPacket>), ControlError> {
        let folder = DataFolder::open(&settings.folder, &settings.member)?;
        Self::open_with(settings, Box::new(folder))
    }

    /// Opens the replicas of this VM on other stores than the data folder's.
    ///
    /// # Errors
    ///
    /// Fails when a store does.
    pub fn open_with(
        mut settings: ReplicaSettings,
        opener: Box<dyn StoreOpener>,
    ) -> Result<(Self, mpsc::Receiver<ReplicaPacket>), ControlError> {
        ensure!(!settings.founders.is_empty(), crate::fault::NoFoundersSnafu);
        settings.founders.sort();
        settings.founders.dedup();
        let (packets, carried) = mpsc::channel(PACKETS_LIMIT);
        let (events, inbox) = std_mpsc::sync_channel(INBOX_LIMIT);
        let view = Arc::new(DriverView {
            config: watch::channel(FleetConfig::default()).0,
            state: ArcSwap::from_pointee(ConfigState::default()),
            rows: ArcSwap::default(),
            failure: watch::channel(None).0,
            stop: AtomicBool::new(false),
        });
        let driver = ReplicaDriver::open(settings, opener, packets, view.clone())?;
        let run = move || driver.run(&inbox);
        thread::Builder::new().name("replicas".to_owned()).spawn(run).context(ThreadSnafu)?;
        Ok((Self { inner: Arc::new(HandleInner { events, view }) }, carried))
    }

    /// Takes a packet from another VM. Never blocks; one that finds no room is lost.
    pub fn receive(&self, packet: ReplicaPacket) {
        if packet.bytes.len() <= PACKET_LIMIT {
            let _ = self.inner.events.try_send(DriverEvent::Packet(packet));
        }
    }

    /// Watches the committed configuration. Marked as changed when one was recovered from disk.
    pub fn watch_config(&self) -> watch::Receiver<FleetConfig> {
        let mut receiver = self.inner.view.config.subscribe();
        if receiver.borrow().number() > ConfigNumber::default() {
            receiver.mark_changed();
        }
        receiver
    }

    /// Submits a patch.
    ///
    /// # Errors
    ///
    /// Fails when it was not known to be accepted or refused within the time given. Sending the same
    /// patch again is safe, to whichever replica.
    pub async fn submit(
        &self,
        patch: ConfigPatch,
        within: Duration,
    ) -> Result<PatchResult, ReplicaFault> {
        let request = GroupRequest::Command(StateCommand::Patch(patch));
        match self.ask(GroupNumber::CONFIG, DriverAsk::Request(request), within).await? {
            GroupAnswer::State(StateAnswer::Patch(result)) => Ok(result),
            _ => Err(ReplicaFault::NoMajority),
        }
    }

    /// Returns the number in force, known to be the latest at some time after the question.
    ///
    /// # Errors
    ///
    /// Fails when this replica does not lead or could not prove it in time.
    pub async fn confirm(&self, within: Duration) -> Result<ConfigNumber, ReplicaFault> {
        let asked = Instant::now();
        let ask = DriverAsk::Request(GroupRequest::Confirm);
        let answer = self.ask(GroupNumber::CONFIG, ask, within).await?;
        // The whole process may have been paused between the proof and now.
        match answer {
            GroupAnswer::Confirmed(number) if asked.elapsed() <= within => Ok(ConfigNumber(number)),
            _ => Err(ReplicaFault::NoMajority),
        }
    }

    /// Lists accepted patches after a number, oldest first, as this replica knows them.
    ///
    /// # Errors
    ///
    /// Fails when the replicas have ended.
    pub async fn history(
        &self,
        after: ConfigNumber,
        limit: usize,
        _within: Duration,
    ) -> Result<Vec<PatchRecord>, ReplicaFault> {
        Ok(self.inner.view.state.load().records_after(after, limit))
    }

    /// Returns the first result of a patch, while it is kept, as this replica knows it.
    ///
    /// # Errors
    ///
    /// Fails when the replicas have ended.
    pub async fn patch(
        &self,
        id: PatchId,
        _within: Duration,
    ) -> Result<Option<PatchResult>, ReplicaFault> {
        Ok(self.inner.view.state.load().result_of(id))
    }

    /// Claims a key.
    ///
    /// # Errors
    ///
    /// Fails when the claim was not durable within the time given; it may still become so.
    pub async fn claim(
        &self,
        group: GroupNumber,
        claim: KeyClaim,
        within: Duration,
    ) -> Result<ClaimAnswer, ReplicaFault> {
        match self.ask(group, DriverAsk::Claim(claim), within).await? {
            GroupAnswer::State(StateAnswer::Claim(answer)) => Ok(answer),
            _ => Err(ReplicaFault::NoMajority),
        }
    }

    /// Closes a claim.
    ///
    /// # Errors
    ///
    /// Fails when the end was not durable within the time given. Refused for good when it is of an
    /// earlier attempt or came too late.
    pub async fn close(
        &self,
        group: GroupNumber,
        close: KeyClose,
        within: Duration,
    ) -> Result<(), ReplicaFault> {
        match self.ask(group, DriverAsk::Close(close), within).await? {
            GroupAnswer::State(StateAnswer::Close(CloseAnswer::Closed)) => Ok(()),
            GroupAnswer::State(StateAnswer::Close(CloseAnswer::Refused)) => {
                Err(ReplicaFault::Refused { reason: RefusalReason::OldAttempt })
            }
            _ => Err(ReplicaFault::NoMajority),
        }
    }

    /// Changes the replicas of a group, one at a time.
    ///
    /// # Errors
    ///
    /// Fails when the change was not done within the time given; it may still become so.
    pub async fn change_replicas(
        &self,
        group: GroupNumber,
        change: ReplicaChange,
        within: Duration,
    ) -> Result<(), ReplicaFault> {
        let ask = DriverAsk::Request(GroupRequest::Change(change));
        self.ask(group, ask, within).await.map(drop)
    }

    /// Writes a snapshot of this VM's replica and cuts its log. Returns the index that it covers.
    ///
    /// # Errors
    ///
    /// Fails when the VM holds no replica of the group or the disk has no room.
    pub async fn snapshot(
        &self,
        group: GroupNumber,
        within: Duration,
    ) -> Result<u64, ReplicaFault> {
        match self.ask(group, DriverAsk::Snapshot, within).await? {
            GroupAnswer::Confirmed(index) => Ok(index),
            _ => Err(ReplicaFault::NoMajority),
        }
    }

    /// Moves each leadership of this VM to a follower that has caught up, before a planned stop.
    ///
    /// # Errors
    ///
    /// Fails when there is no such follower for a group or it did not take over in time. The other
    /// groups are handed over all the same.
    pub async fn hand_over(&self, within: Duration) -> Result<(), ReplicaFault> {
        let until = Instant::now() + within;
        let mut outcome = Ok(());
        for row in self.rows() {
            let left = until.saturating_duration_since(Instant::now());
            let ask = DriverAsk::Request(GroupRequest::HandOver);
            let end = self.ask(row.group, ask, left).await;
            outcome = outcome.and(end.map(drop));
        }
        outcome
    }

    /// Lists the differences from a number to the present one. `None` where the history does not
    /// reach back that far, or there are more than `limit`.
    pub fn deltas_since(&self, number: ConfigNumber, limit: usize) -> Option<Vec<ConfigDelta>> {
        self.inner.view.state.load().deltas_since(number, limit)
    }

    /// Lists the groups, as this VM sees them.
    pub fn rows(&self) -> Vec<GroupRow> {
        self.inner.view.rows.load().as_ref().clone()
    }

    /// Waits until the replicas had to end: a disk that cannot be trusted any more. The process should
    /// end then, and read back what is really on the disk when it starts again.
    pub async fn failed(&self) -> Arc<ControlError> {
        let mut failure = self.inner.view.failure.subscribe();
        let failed = failure.wait_for(Option::is_some).await;
        let failed = failed.ok().and_then(|failure| failure.clone());
        failed.unwrap_or_else(|| unreachable!("the sender lives as long as this handle"))
    }

    async fn ask(
        &self,
        group: GroupNumber,
        ask: DriverAsk,
        within: Duration,
    ) -> Result<GroupAnswer, ReplicaFault> {
        let (answer, end) = oneshot::channel();
        let event = DriverEvent::Ask { group, ask, asked: Instant::now(), answer };
        match self.inner.events.try_send(event) {
            Ok(()) => (),
            Err(std_mpsc::TrySendError::Disconnected(_)) => return Err(ReplicaFault::Stopped),
            Err(std_mpsc::TrySendError::Full(_)) => {
                let again_ms = u32::try_from(COME_BACK.as_millis()).unwrap_or(u32::MAX);
                return Err(ReplicaFault::Refused {
                    reason: RefusalReason::Overloaded { again_ms },
                });
            }
        }
        match timeout(within, end).await {
            Ok(Ok(end)) => end,
            Ok(Err(_)) => Err(ReplicaFault::Stopped),
            Err(_) => Err(ReplicaFault::NoMajority),
        }
    }
}
