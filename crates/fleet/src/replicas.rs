//! Calls to the replicas: to the leader, wherever it is, within the call's time.
//!
//! Each of these calls may be sent again safely: a patch has its identifier, a claim its claimant, a
//! close its attempt. So an answer that is lost with its connection costs one more message, no more.

use std::{
    collections::BTreeSet,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use crate::{
    driver::SharedState,
    leader::LeaderHints,
    link::LinkError,
    wire::{FleetPeerClient, WireRevision},
};
use control::fault::ReplicaFault;
use model::{
    ledger::KeyClose,
    names::MemberName,
    numbers::GroupNumber,
    ports::{ControlFault, LedgerFault},
};
use tarpc::{client::RpcError, context::Context};
use tokio::{
    sync::{OwnedSemaphorePermit, Semaphore, oneshot},
    time::sleep,
};

/// How long one replica is waited for before the next is asked. An election takes about as long.
const ONE_REPLICA: Duration = Duration::from_millis(1_000);

/// How long to wait after each replica was asked in vain.
const ROUND_PAUSE: Duration = Duration::from_millis(50);

/// How long a close is waited for by its caller.
const CLOSE_WAIT: Duration = Duration::from_secs(1);

/// For how long a close goes on trying. Longer than a lost majority takes to be repaired by a restart;
/// a claim that is never closed reads as unknown and never runs again.
const CLOSE_TIME: Duration = Duration::from_secs(600);

/// How many closes may go on trying at once: bounds their memory to about 64 MB of kept answers.
const CLOSES_LIMIT: usize = 4_096;

/// Calls the replicas.
#[derive(Clone)]
pub(crate) struct ReplicaCalls {
    shared: SharedState,
    hints: Arc<Mutex<LeaderHints>>,
    closes: Arc<Semaphore>,
}

/// What one replica made of a call.
enum ReplicaStep<T> {
    Done(Result<T, ReplicaFault>),
    AskOther(Option<MemberName>),
}

impl ReplicaCalls {
    pub(crate) fn new(shared: SharedState) -> Self {
        let closes = Arc::new(Semaphore::new(CLOSES_LIMIT));
        Self { shared, hints: Arc::default(), closes }
    }

    /// Calls the leader of a group until it answers or the time is over.
    pub(crate) async fn on_leader<T, F>(
        &self,
        group: GroupNumber,
        span: Duration,
        call: impl Fn(FleetPeerClient, Context) -> F,
    ) -> Result<T, ReplicaFault>
    where
        F: Future<Output = Result<Result<T, ReplicaFault>, RpcError>>,
    {
        self.on_leader_since(WireRevision::FIRST, group, span, call).await
    }

    /// Does the same with a call that the messages have gained since. A leader that does not know of it
    /// counts as one that does not answer.
    pub(crate) async fn on_leader_since<T, F>(
        &self,
        since: WireRevision,
        group: GroupNumber,
        span: Duration,
        call: impl Fn(FleetPeerClient, Context) -> F,
    ) -> Result<T, ReplicaFault>
    where
        F: Future<Output = Result<Result<T, ReplicaFault>, RpcError>>,
    {
        let until = Instant::now() + span;
        let mut tried = BTreeSet::new();
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(ReplicaFault::NoMajority);
            }
            let replicas = self.replicas();
            let picked = self.hints().pick(group, &replicas, &tried);
            let Some(replica) = picked else {
                tried.clear();
                sleep(ROUND_PAUSE.min(left)).await;
                continue;
            };
            tried.insert(replica.clone());
            match self.on_replica(&replica, since, left.min(ONE_REPLICA), &call).await {
                ReplicaStep::Done(answer) => {
                    self.hints().learn(group, Some(replica));
                    return answer;
                }
                ReplicaStep::AskOther(leader) => self.hints().learn(group, leader),
            }
        }
    }

    async fn on_replica<T, F>(
        &self,
        replica: &MemberName,
        since: WireRevision,
        span: Duration,
        call: impl Fn(FleetPeerClient, Context) -> F,
    ) -> ReplicaStep<T>
    where
        F: Future<Output = Result<Result<T, ReplicaFault>, RpcError>>,
    {
        let address = self.shared.view.load().member(replica).map(|member| member.address);
        let Some(address) = address else { return ReplicaStep::AskOther(None) };
        match self.shared.links.call_since(since, address, span, call).await {
            Ok(Some(Err(ReplicaFault::NotLeader { leader }))) => ReplicaStep::AskOther(leader),
            Ok(None | Some(Err(ReplicaFault::NoMajority | ReplicaFault::Stopped))) => {
                ReplicaStep::AskOther(None)
            }
            Ok(Some(answer)) => ReplicaStep::Done(answer),
            Err(LinkError::Connect { .. } | LinkError::Answer { .. }) => {
                ReplicaStep::AskOther(None)
            }
        }
    }

    /// Tells whether the VM that last led a group is one that does not know of what the messages have gained since.
    pub(crate) fn is_led_by_earlier(&self, group: GroupNumber, since: WireRevision) -> bool {
        let leader = self.hints().leader(group).cloned();
        leader.is_some_and(|leader| self.shared.is_earlier(&leader, since))
    }

    /// Lists the replicas, those first that can be reached.
    fn replicas(&self) -> Vec<MemberName> {
        let view = self.shared.view.load();
        let replicas = view.members().iter().filter(|(_, member)| member.replica);
        let (mut reachable, lost): (Vec<_>, Vec<_>) =
            replicas.partition(|(_, member)| member.reachable);
        reachable.extend(lost);
        reachable.into_iter().map(|(name, _)| name.clone()).collect()
    }

    fn hints(&self) -> std::sync::MutexGuard<'_, LeaderHints> {
        self.hints.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Closes a claim, and goes on trying after it returned.
    pub(crate) async fn close(
        &self,
        group: GroupNumber,
        close: KeyClose,
    ) -> Result<(), LedgerFault> {
        let fault = LedgerFault::NoMajority { group };
        let Ok(permit) = self.closes.clone().try_acquire_owned() else { return Err(fault) };
        let (done, waiting) = oneshot::channel();
        self.shared.links.spawn(self.clone().keep_closing(group, close, done, permit));
        match tokio::time::timeout(CLOSE_WAIT, waiting).await {
            Ok(Ok(true)) => Ok(()),
            _ => Err(fault),
        }
    }

    async fn keep_closing(
        self,
        group: GroupNumber,
        close: KeyClose,
        done: oneshot::Sender<bool>,
        _permit: OwnedSemaphorePermit,
    ) {
        let call = |client: FleetPeerClient, context| {
            let close = close.clone();
            async move { client.close(context, group, close).await }
        };
        let closed = self.on_leader(group, CLOSE_TIME, call).await;
        if let Err(fault) = &closed {
            log::warn!(group:% = group, fault:% = fault; "a claim was not closed");
        }
        // The caller may have stopped waiting.
        let _ = done.send(closed.is_ok());
    }
}

/// Says what a replica's fault means to an operator.
pub(crate) fn control_fault(fault: ReplicaFault, group: GroupNumber) -> ControlFault {
    match fault {
        ReplicaFault::NoSpace => ControlFault::NoSpace,
        ReplicaFault::Refused { reason } => ControlFault::Refused { reason: reason.to_string() },
        ReplicaFault::NotLeader { .. } | ReplicaFault::NoMajority | ReplicaFault::Stopped => {
            ControlFault::Unavailable { group }
        }
    }
}
