//! How the rest of the process reaches the fleet.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use crate::{
    driver::{DriverEvent, FleetError, SharedState, spawn},
    settings::FleetSettings,
    wire::{AskFault, FleetPeerClient},
};
use arc_swap::ArcSwap;
use control::handle::ControlHandle;
use model::{
    announcement::UpstreamAnnouncement,
    call::{CallRefusal, RefusalReason},
    config::FleetConfig,
    ledger::{ClaimAnswer, KeyClaim, KeyClose},
    names::MemberName,
    numbers::{ConfigNumber, GroupNumber},
    patch::{ConfigPatch, PatchId, PatchRecord, PatchResult},
    ports::{
        AnnouncementPort, ControlFault, LedgerFault, LedgerPort, OperatorPort, ReplicaChange,
        SlotPort,
    },
    report::{CapacityRow, MemberRow, PlacerRow, StatusReport, UpstreamRow},
    slot::{SlotAsk, SlotGrant, SlotSettle},
};
use tarpc::{client::RpcError, context::Context};
use tokio::sync::watch;

/// How long a control operation may take in all.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(3);

/// A running node of the fleet.
#[derive(Clone)]
pub struct FleetNode {
    member: MemberName,
    shared: SharedState,
}

impl FleetNode {
    /// Starts a node. `control` holds the replicas of this VM, if it has any.
    ///
    /// # Errors
    ///
    /// Fails when the fleet's port cannot be bound or the control thread cannot be started.
    pub fn spawn(
        settings: FleetSettings,
        control: Option<ControlHandle>,
    ) -> Result<Self, FleetError> {
        let member = settings.member.clone();
        Ok(Self { member, shared: spawn(settings, control)? })
    }

    /// Returns the address on which the fleet reaches this node.
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Returns the configuration in force, which is replaced as a whole.
    pub fn config_in_force(&self) -> Arc<ArcSwap<FleetConfig>> {
        self.shared.config.clone()
    }

    /// Watches the number in force.
    pub fn watch_number(&self) -> watch::Receiver<ConfigNumber> {
        self.shared.changed.clone()
    }

    /// Watches whether a planned stop of this VM has begun.
    pub fn watch_drain(&self) -> watch::Receiver<bool> {
        self.shared.drain.clone()
    }

    /// Begins the planned stop of this VM: hands over its duties.
    pub fn begin_drain(&self) {
        self.shared.inbox.send(DriverEvent::Drain);
    }

    async fn replica_addresses(&self) -> Vec<SocketAddr> {
        let query = |driver: &mut crate::driver::FleetDriver| {
            let now = driver.now();
            let living = driver.members.living(now).map(|(record, _)| record);
            living.filter(|record| record.replica).map(|record| record.address).collect()
        };
        self.shared.inbox.query(query).await
    }

    /// Asks the replicas one after the other until one answers.
    async fn on_replica<T, F>(
        &self,
        span: Duration,
        call: impl Fn(FleetPeerClient, Context) -> F,
    ) -> Option<T>
    where
        F: Future<Output = Result<Result<T, ControlFault>, RpcError>>,
    {
        for address in self.replica_addresses().await {
            if let Ok(Ok(answer)) = self.shared.links.call(address, span, &call).await {
                return Some(answer);
            }
        }
        None
    }
}

impl SlotPort for FleetNode {
    async fn ask(&self, ask: SlotAsk) -> Result<SlotGrant, CallRefusal> {
        let refused = CallRefusal::passing(RefusalReason::NoUpstream, 1_000);
        let view = self.shared.view.load_full();
        let placer = view.placer_of(&ask.service, 0).ok_or(refused)?;
        let answer = if placer.member == self.member {
            self.shared.inbox.ask(self.member.clone(), ask).await
        } else {
            let left = Duration::from_millis(u64::from(ask.within_ms));
            let entry = self.member.clone();
            let call = |client: FleetPeerClient, context| async move {
                client.ask(context, entry, ask).await
            };
            self.shared.links.call(placer.address, left, call).await.map_err(|_| refused)?
        };
        answer.map_err(|fault| match fault {
            AskFault::Refused { refusal } => refusal,
            AskFault::NotPlacer => refused,
        })
    }

    fn begin(&self, _: &SlotGrant) -> bool {
        true
    }

    fn settle(&self, settle: SlotSettle) {
        if settle.id.granter == self.member {
            return self.shared.inbox.send(DriverEvent::Settle(settle));
        }
        let view = self.shared.view.load_full();
        let granter = view.candidates.iter().find(|one| one.member == settle.id.granter);
        let Some(address) = granter.map(|one| one.address) else { return };
        let links = self.shared.links.clone();
        tokio::spawn(async move {
            let call = |client: FleetPeerClient, context| async move {
                client.settle(context, vec![settle]).await
            };
            let _ = links.call(address, CONTROL_TIMEOUT, call).await;
        });
    }
}

impl LedgerPort for FleetNode {
    async fn claim(&self, claim: KeyClaim) -> Result<ClaimAnswer, LedgerFault> {
        let left = Duration::from_millis(u64::from(claim.within_ms));
        let call = |client: FleetPeerClient, context| {
            let claim = claim.clone();
            async move { client.claim(context, claim).await }
        };
        let group = GroupNumber::FIRST_LEDGER;
        self.on_replica(left, call).await.ok_or(LedgerFault::NoMajority { group })
    }

    async fn close(&self, close: KeyClose) -> Result<(), LedgerFault> {
        let call = |client: FleetPeerClient, context| {
            let close = close.clone();
            async move { client.close(context, close).await }
        };
        let group = GroupNumber::FIRST_LEDGER;
        self.on_replica(CONTROL_TIMEOUT, call).await.ok_or(LedgerFault::NoMajority { group })
    }
}

impl AnnouncementPort for FleetNode {
    fn announce(&self, announcement: UpstreamAnnouncement) {
        self.shared.inbox.send(DriverEvent::Announce(announcement));
    }
}

impl OperatorPort for FleetNode {
    async fn submit(&self, patch: ConfigPatch) -> Result<PatchResult, ControlFault> {
        let call = |client: FleetPeerClient, context| {
            let patch = patch.clone();
            async move { client.submit(context, patch).await }
        };
        let group = GroupNumber::CONFIG;
        self.on_replica(CONTROL_TIMEOUT, call).await.ok_or(ControlFault::Unavailable { group })
    }

    fn config(&self) -> Arc<FleetConfig> {
        self.shared.config.load_full()
    }

    async fn config_after(&self, number: ConfigNumber) -> Arc<FleetConfig> {
        let mut changed = self.shared.changed.clone();
        // The sender lives as long as the control thread.
        let _ = changed.wait_for(|&present| present > number).await;
        self.config()
    }

    async fn history(
        &self,
        after: ConfigNumber,
        limit: u32,
    ) -> Result<Vec<PatchRecord>, ControlFault> {
        let call = |client: FleetPeerClient, context| async move {
            client.history(context, after, limit).await
        };
        let group = GroupNumber::CONFIG;
        self.on_replica(CONTROL_TIMEOUT, call).await.ok_or(ControlFault::Unavailable { group })
    }

    async fn patch(&self, id: PatchId) -> Result<Option<PatchResult>, ControlFault> {
        let call =
            |client: FleetPeerClient, context| async move { client.patch(context, id).await };
        let group = GroupNumber::CONFIG;
        self.on_replica(CONTROL_TIMEOUT, call).await.ok_or(ControlFault::Unavailable { group })
    }

    async fn status(&self) -> StatusReport {
        let config = self.config();
        let rows = self.members().await;
        let lags = |row: &&MemberRow| row.in_force < config.number();
        let lagging: Vec<_> =
            rows.iter().filter(lags).map(|row| (row.member.clone(), row.in_force)).collect();
        StatusReport {
            accepted: config.number(),
            digest: config.digest(),
            confirmed: false,
            in_force: u32::try_from(rows.len() - lagging.len()).unwrap_or(u32::MAX),
            members: u32::try_from(rows.len()).unwrap_or(u32::MAX),
            lagging,
            groups: Vec::new(),
        }
    }

    async fn upstreams(&self) -> Vec<UpstreamRow> {
        let query = |driver: &mut crate::driver::FleetDriver| {
            let now = driver.now();
            let rows = driver.directory.list(now).map(|(announcement, left)| UpstreamRow {
                service: announcement.service.clone(),
                upstream: announcement.upstream.clone(),
                address: announcement.address,
                domain: announcement.domain.clone(),
                state: announcement.state,
                health: None,
                slots: announcement.slots,
                busy: 0,
                incarnation: announcement.incarnation,
                lease_left_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
                ejected_left_ms: 0,
            });
            rows.collect()
        };
        self.shared.inbox.query(query).await
    }

    async fn placers(&self) -> Vec<PlacerRow> {
        let query = |driver: &mut crate::driver::FleetDriver| {
            driver.placers.values().map(|placer| placer.row()).collect()
        };
        self.shared.inbox.query(query).await
    }

    async fn members(&self) -> Vec<MemberRow> {
        let query = |driver: &mut crate::driver::FleetDriver| {
            let now = driver.now();
            let rows = driver.members.all(now).map(|(record, silence)| MemberRow {
                member: record.member.clone(),
                domain: record.domain.clone(),
                address: record.address,
                incarnation: record.incarnation,
                reachable: silence < crate::membership::SILENCE_LIMIT,
                heard_ms: u64::try_from(silence.as_millis()).unwrap_or(u64::MAX),
                in_force: record.in_force,
                stopping: record.stopping,
                replica: record.replica,
            });
            rows.collect()
        };
        self.shared.inbox.query(query).await
    }

    async fn capacity(&self) -> Vec<CapacityRow> {
        let query = |driver: &mut crate::driver::FleetDriver| {
            driver.placers.values().map(|placer| placer.capacity()).collect()
        };
        self.shared.inbox.query(query).await
    }

    async fn drain(&self, member: MemberName) -> Result<(), ControlFault> {
        let rows = self.members().await;
        let unknown = || ControlFault::Refused { reason: format!("there is no VM {member}") };
        let row = rows.iter().find(|row| row.member == member).ok_or_else(unknown)?;
        let unreachable =
            || ControlFault::Refused { reason: format!("VM {member} was not reached") };
        let call = |client: FleetPeerClient, context| async move { client.drain(context).await };
        let called = self.shared.links.call(row.address, CONTROL_TIMEOUT, call).await;
        called.map_err(|_| unreachable())
    }

    async fn change_replicas(
        &self,
        group: GroupNumber,
        _: ReplicaChange,
    ) -> Result<(), ControlFault> {
        Err(ControlFault::Unavailable { group })
    }

    async fn snapshot(&self, group: GroupNumber) -> Result<u64, ControlFault> {
        Err(ControlFault::Unavailable { group })
    }
}
