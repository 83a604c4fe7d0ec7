//! How the rest of the process reaches the fleet.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use crate::{
    driver::{
        FleetError, ReplicaPart, SharedState,
        inbox::{DriverEvent, DriverInbox},
        spawn,
    },
    entry::EntrySlots,
    replicas::ReplicaCalls,
    settings::FleetSettings,
    wire::FleetPeerClient,
};
use arc_swap::ArcSwap;
use control::handle::group_of;
use model::{
    announcement::UpstreamAnnouncement,
    call::CallRefusal,
    config::FleetConfig,
    ledger::{CallKey, ClaimAnswer, KeyClaim, KeyClose},
    names::MemberName,
    numbers::{ConfigNumber, GroupNumber},
    ports::{AnnouncementPort, LedgerFault, LedgerPort, SlotPort},
    slot::{SlotAsk, SlotGrant, SlotSettle},
};
use tokio::sync::watch;

/// A running node of the fleet. It ends with its last handle, or when it is killed.
#[derive(Clone)]
pub struct FleetNode {
    pub(crate) shared: SharedState,
    pub(crate) inbox: DriverInbox,
    pub(crate) replicas: ReplicaCalls,
    slots: EntrySlots,
}

impl FleetNode {
    /// Starts a node. `replicas` holds the replicas of this VM, if it has any.
    ///
    /// # Errors
    ///
    /// Fails when the fleet's port cannot be bound or the control thread cannot be started.
    pub fn spawn(
        settings: FleetSettings,
        replicas: Option<ReplicaPart>,
    ) -> Result<Self, FleetError> {
        let (shared, inbox) = spawn(settings, replicas)?;
        let slots = EntrySlots::new(shared.clone(), inbox.downgrade());
        let replicas = ReplicaCalls::new(shared.clone());
        Ok(Self { shared, inbox, replicas, slots })
    }

    /// Returns the name of this node's VM.
    pub fn member(&self) -> &MemberName {
        &self.shared.member
    }

    /// Returns the address on which the fleet reaches this node.
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Returns the configuration in force, which is replaced as a whole.
    pub fn config_in_force(&self) -> Arc<ArcSwap<FleetConfig>> {
        self.shared.config.clone()
    }

    /// Watches the number in force, from when it is known to be no old one.
    pub fn watch_number(&self) -> watch::Receiver<ConfigNumber> {
        self.shared.changed.clone()
    }

    /// Watches whether a planned stop of this VM has begun.
    pub fn watch_drain(&self) -> watch::Receiver<bool> {
        self.shared.drain.clone()
    }

    /// Begins the planned stop of this VM: hands over its duties.
    pub fn begin_drain(&self) {
        self.inbox.send(DriverEvent::Drain);
    }

    /// Ends the node at once and without a word, as a crash of its VM would: the control thread, the
    /// listener and each connection. For tests of failures.
    pub fn kill(&self) {
        self.shared.stop.cancel();
    }

    /// Opens no connection to another node any more, while that one still reaches this: a path that
    /// is deaf in one direction. For tests of partitions.
    pub async fn cut_path_to(&self, address: SocketAddr) {
        self.shared.links.cut(address).await;
    }

    /// Returns how many ends of grants have not been taken by their placers yet.
    pub fn ends_waiting(&self) -> usize {
        self.slots.ends_waiting()
    }

    /// Returns how many grants this node's entry holds.
    pub fn grants_held(&self) -> usize {
        self.shared.book().len()
    }

    fn ledger_group(&self, key: CallKey) -> GroupNumber {
        group_of(key, self.shared.config.load().settings().ledger_groups)
    }
}

impl SlotPort for FleetNode {
    async fn ask(&self, ask: SlotAsk) -> Result<SlotGrant, CallRefusal> {
        self.slots.ask(ask).await
    }

    fn begin(&self, grant: &SlotGrant) -> bool {
        self.slots.begin(grant)
    }

    fn settle(&self, settle: SlotSettle) {
        self.slots.settle(settle);
    }
}

impl LedgerPort for FleetNode {
    async fn claim(&self, claim: KeyClaim) -> Result<ClaimAnswer, LedgerFault> {
        let group = self.ledger_group(claim.key);
        let span = Duration::from_millis(u64::from(claim.within_ms));
        let until = std::time::Instant::now() + span;
        let call = |client: FleetPeerClient, context| {
            let left = until.saturating_duration_since(std::time::Instant::now());
            let within_ms = u32::try_from(left.as_millis()).unwrap_or(u32::MAX);
            let claim = KeyClaim { within_ms, ..claim.clone() };
            async move { client.claim(context, group, claim).await }
        };
        let answer = self.replicas.on_leader(group, span, call).await;
        answer.map_err(|_| LedgerFault::NoMajority { group })
    }

    async fn close(&self, close: KeyClose) -> Result<(), LedgerFault> {
        self.replicas.close(self.ledger_group(close.key), close).await
    }
}

impl AnnouncementPort for FleetNode {
    fn announce(&self, announcement: UpstreamAnnouncement) {
        self.inbox.send(DriverEvent::Announce(announcement));
    }
}
