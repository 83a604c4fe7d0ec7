//! How the rest of the process reaches the replicas of its VM.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use crate::{
    fault::{ControlError, ReplicaFault},
    packet::ReplicaPacket,
    settings::ReplicaSettings,
};
use model::{
    config::FleetConfig,
    ledger::{CallKey, ClaimAnswer, KeyClaim, KeyClose, RunEnd},
    names::MemberName,
    numbers::{AttemptNumber, ConfigNumber, GroupNumber},
    patch::{ConfigDelta, ConfigPatch, PatchId, PatchRecord, PatchResult},
    ports::ReplicaChange,
    report::{GroupRow, ReplicaRole},
};
use tokio::sync::{mpsc, watch};

#[derive(Debug)]
struct KeyState {
    claim: KeyClaim,
    attempt: AttemptNumber,
    end: Option<RunEnd>,
}

#[derive(Debug, Default)]
struct MemoryState {
    history: Vec<PatchRecord>,
    results: HashMap<PatchId, PatchResult>,
    keys: HashMap<CallKey, KeyState>,
}

/// The replicas of this VM.
#[derive(Clone, Debug)]
pub struct ControlHandle {
    member: MemberName,
    state: Arc<Mutex<MemoryState>>,
    config: Arc<watch::Sender<FleetConfig>>,
    _packets: mpsc::Sender<ReplicaPacket>,
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
    /// # Errors
    ///
    /// Fails when the data folder is in use, damaged or not accessible.
    pub fn open(
        settings: ReplicaSettings,
    ) -> Result<(Self, mpsc::Receiver<ReplicaPacket>), ControlError> {
        let (config, _) = watch::channel(FleetConfig::default());
        let (packets, receiver) = mpsc::channel(1_024);
        let handle = Self {
            member: settings.member,
            state: Arc::default(),
            config: Arc::new(config),
            _packets: packets,
        };
        Ok((handle, receiver))
    }

    /// Takes a packet from another VM. Never blocks.
    pub fn receive(&self, packet: ReplicaPacket) {
        drop(packet);
    }

    /// Watches the committed configuration. Marked as changed when one was recovered from disk.
    pub fn watch_config(&self) -> watch::Receiver<FleetConfig> {
        self.config.subscribe()
    }

    /// Submits a patch.
    ///
    /// # Errors
    ///
    /// Fails when it was not known to be accepted or refused within the time given.
    pub async fn submit(
        &self,
        patch: ConfigPatch,
        _within: Duration,
    ) -> Result<PatchResult, ReplicaFault> {
        let mut state = self.lock();
        if let Some(first) = state.results.get(&patch.id) {
            return Ok(first.clone());
        }
        let next = self.config.borrow().apply(&patch);
        let result = next.map(|next| {
            let number = next.number();
            self.config.send_replace(next);
            state.history.push(PatchRecord { number, patch: patch.clone() });
            number
        });
        state.results.insert(patch.id, result.clone());
        Ok(result)
    }

    /// Returns the number in force, known to be the latest at some time after the question.
    ///
    /// # Errors
    ///
    /// Fails when this replica does not lead or could not prove it in time.
    pub async fn confirm(&self, _within: Duration) -> Result<ConfigNumber, ReplicaFault> {
        Ok(self.config.borrow().number())
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
        let state = self.lock();
        let later = state.history.iter().filter(|record| record.number > after);
        Ok(later.take(limit).cloned().collect())
    }

    /// Returns the first result of a patch, while it is kept.
    ///
    /// # Errors
    ///
    /// Fails when the replicas have ended.
    pub async fn patch(
        &self,
        id: PatchId,
        _within: Duration,
    ) -> Result<Option<PatchResult>, ReplicaFault> {
        Ok(self.lock().results.get(&id).cloned())
    }

    /// Claims a key.
    ///
    /// # Errors
    ///
    /// Fails when the claim was not durable within the time given; it may still become so.
    pub async fn claim(
        &self,
        _group: GroupNumber,
        claim: KeyClaim,
        _within: Duration,
    ) -> Result<ClaimAnswer, ReplicaFault> {
        let mut state = self.lock();
        let Some(held) = state.keys.get_mut(&claim.key) else {
            let attempt = AttemptNumber(1);
            state.keys.insert(claim.key, KeyState { claim, attempt, end: None });
            return Ok(ClaimAnswer::Run { attempt });
        };
        if held.claim.digest != claim.digest {
            return Ok(ClaimAnswer::OtherRequest);
        }
        Ok(match &held.end {
            None if held.claim.claimant == claim.claimant => {
                ClaimAnswer::Run { attempt: held.attempt }
            }
            None => ClaimAnswer::InProgress,
            Some(RunEnd::Done { answer }) => ClaimAnswer::Done { answer: answer.clone() },
            Some(RunEnd::Unknown) => ClaimAnswer::Unknown,
            Some(RunEnd::NotRun) => {
                let attempt = held.attempt.next();
                *held = KeyState { claim, attempt, end: None };
                ClaimAnswer::Run { attempt }
            }
        })
    }

    /// Closes a claim. One of an earlier attempt changes nothing.
    ///
    /// # Errors
    ///
    /// Fails when the end was not durable within the time given, or is refused for good.
    pub async fn close(
        &self,
        _group: GroupNumber,
        close: KeyClose,
        _within: Duration,
    ) -> Result<(), ReplicaFault> {
        if let Some(held) = self.lock().keys.get_mut(&close.key)
            && held.attempt == close.attempt
            && held.end.is_none()
        {
            held.end = Some(close.end);
        }
        Ok(())
    }

    /// Changes the replicas of a group, one at a time.
    ///
    /// # Errors
    ///
    /// Fails when the change was not done within the time given; it may still become so.
    pub async fn change_replicas(
        &self,
        _group: GroupNumber,
        _change: ReplicaChange,
        _within: Duration,
    ) -> Result<(), ReplicaFault> {
        Err(ReplicaFault::NoMajority)
    }

    /// Writes a snapshot of this VM's replica and cuts its log. Returns the index that it covers.
    ///
    /// # Errors
    ///
    /// Fails when the VM holds no replica of the group or the disk has no room.
    pub async fn snapshot(
        &self,
        _group: GroupNumber,
        _within: Duration,
    ) -> Result<u64, ReplicaFault> {
        Ok(0)
    }

    /// Moves each leadership of this VM to a follower that has caught up, before a planned stop.
    ///
    /// # Errors
    ///
    /// Fails when there is no such follower or it did not take over in time.
    pub async fn hand_over(&self, _within: Duration) -> Result<(), ReplicaFault> {
        Ok(())
    }

    /// Lists the differences from a number to the present one. `None` where the history does not
    /// reach back that far, or there are more than `limit`.
    pub fn deltas_since(&self, number: ConfigNumber, limit: usize) -> Option<Vec<ConfigDelta>> {
        (number == self.config.borrow().number() && limit > 0).then(Vec::new)
    }

    /// Lists the groups, as this VM sees them.
    pub fn rows(&self) -> Vec<GroupRow> {
        let row = |group| GroupRow {
            group,
            role: ReplicaRole::Leader,
            term: 1,
            leader: Some(self.member.clone()),
            committed: self.config.borrow().number().0,
            voters: vec![self.member.clone()],
            learners: Vec::new(),
        };
        vec![row(GroupNumber::CONFIG), row(GroupNumber::FIRST_LEDGER)]
    }

    /// Waits until the replicas had to end: a disk that cannot be trusted any more.
    pub async fn failed(&self) -> Arc<ControlError> {
        std::future::pending().await
    }

    fn lock(&self) -> MutexGuard<'_, MemoryState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
