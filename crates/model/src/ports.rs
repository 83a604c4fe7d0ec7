//! The borders between the crates, as traits.
//!
//! A crate on one side calls the trait, the crate on the other side implements it, and the daemon
//! joins them. Tests put a small fake in the place of either.

use std::{future::Future, sync::Arc};

use crate::{
    announcement::UpstreamAnnouncement,
    call::CallRefusal,
    config::FleetConfig,
    ledger::{ClaimAnswer, KeyClaim, KeyClose},
    names::MemberName,
    numbers::{ConfigNumber, GroupNumber},
    patch::{ConfigPatch, PatchId, PatchRecord, PatchResult},
    report::{CapacityRow, LocalReport, MemberRow, PlacerRow, StatusReport, UpstreamRow},
    slot::{SlotAsk, SlotGrant, SlotSettle},
};
use derive::domain;
use snafu::Snafu;

/// Gives calls a slot on an upstream. Called by the entry's call path, implemented by the fleet.
pub trait SlotPort: Send + Sync + 'static {
    /// Asks for a slot and waits for it in the placer's queue, at most `ask.within_ms`.
    ///
    /// Dropping the future gives the slot back, also one that is granted later.
    ///
    /// # Errors
    ///
    /// Returns the refusal; nothing was run.
    fn ask(&self, ask: SlotAsk) -> impl Future<Output = Result<SlotGrant, CallRefusal>> + Send;

    /// Tells, right before the first byte goes out, whether the grant still stands. A grant for an
    /// upstream that has begun to leave is revoked until then; afterwards it is held until settled.
    fn begin(&self, grant: &SlotGrant) -> bool;

    /// Ends a grant and reports what came of it. Never blocks.
    fn settle(&self, settle: SlotSettle);
}

/// Why the ledger could not be asked. The claim may or may not be recorded; nothing was run.
#[domain(value)]
#[derive(Snafu)]
pub enum LedgerFault {
    /// No majority of the group was reached in time.
    #[snafu(display("no majority of ledger group {group} was reached in time"))]
    NoMajority {
        /// The group.
        group: GroupNumber,
    },
}

/// Guards non-idempotent calls. Called by the entry's call path, implemented by the fleet.
pub trait LedgerPort: Send + Sync + 'static {
    /// Claims a key, through as many resends of the same claim as the time left allows.
    ///
    /// # Errors
    ///
    /// Fails when no majority was reached in time. Nothing may be sent then.
    fn claim(
        &self,
        claim: KeyClaim,
    ) -> impl Future<Output = Result<ClaimAnswer, LedgerFault>> + Send;

    /// Closes a claim. Goes on trying after it returned, as long as the process runs.
    ///
    /// # Errors
    ///
    /// Fails when no majority was reached within a second; the answer may go to its caller all the
    /// same, since a claim that is never closed reads as unknown and never runs again.
    fn close(&self, close: KeyClose) -> impl Future<Output = Result<(), LedgerFault>> + Send;
}

/// Takes what upstreams say of themselves. Called by `upstream`, implemented by the fleet.
pub trait AnnouncementPort: Send + Sync + 'static {
    /// Takes an announcement that its sender has proved to be allowed to make. Never blocks.
    fn announce(&self, announcement: UpstreamAnnouncement);
}

/// Why a control operation could not be answered.
#[domain]
#[derive(Snafu)]
pub enum ControlFault {
    /// No majority of the group was reached in time. Sending the same again is safe.
    #[snafu(display(
        "no majority of the control VMs of group {group} was reached in time; \
         the change may or may not be accepted: send the same patch again"
    ))]
    Unavailable {
        /// The group.
        group: GroupNumber,
    },
    /// The disk has no room; nothing was accepted.
    #[snafu(display(
        "the data folder has no room; nothing was accepted: make room and send again"
    ))]
    NoSpace,
    /// What was asked for does not make sense now.
    #[snafu(display("{reason}"))]
    Refused {
        /// Why, and what to do.
        reason: String,
    },
}

/// A change of a group's replicas.
#[domain]
pub enum ReplicaChange {
    /// Adds a VM, which first learns and then votes.
    Add {
        /// The VM.
        member: MemberName,
    },
    /// Removes a VM.
    Remove {
        /// The VM.
        member: MemberName,
    },
}

/// What operators may see and do. Called by `operator`, implemented by the fleet.
pub trait OperatorPort: Send + Sync + 'static {
    /// Submits a patch to the leader, wherever it is.
    ///
    /// # Errors
    ///
    /// Fails when no majority was reached in time.
    fn submit(
        &self,
        patch: ConfigPatch,
    ) -> impl Future<Output = Result<PatchResult, ControlFault>> + Send;

    /// Returns the configuration in force on this VM.
    fn config(&self) -> Arc<FleetConfig>;

    /// Waits until a configuration later than `number` is in force on this VM.
    fn config_after(&self, number: ConfigNumber) -> impl Future<Output = Arc<FleetConfig>> + Send;

    /// Lists accepted patches with a number greater than `after`, oldest first, at most `limit`.
    ///
    /// # Errors
    ///
    /// Fails when no control VM could be reached.
    fn history(
        &self,
        after: ConfigNumber,
        limit: u32,
    ) -> impl Future<Output = Result<Vec<PatchRecord>, ControlFault>> + Send;

    /// Returns the first result of a patch, while it is kept.
    ///
    /// # Errors
    ///
    /// Fails when no control VM could be reached.
    fn patch(
        &self,
        id: PatchId,
    ) -> impl Future<Output = Result<Option<PatchResult>, ControlFault>> + Send;

    /// Tells how far the present configuration has come.
    fn status(&self) -> impl Future<Output = StatusReport> + Send;

    /// Lists the upstreams.
    fn upstreams(&self) -> impl Future<Output = Vec<UpstreamRow>> + Send;

    /// Lists the placers.
    fn placers(&self) -> impl Future<Output = Vec<PlacerRow>> + Send;

    /// Lists the VMs.
    fn members(&self) -> impl Future<Output = Vec<MemberRow>> + Send;

    /// Tells for each service whether its running capacity is enough.
    fn capacity(&self) -> impl Future<Output = Vec<CapacityRow>> + Send;

    /// Begins the planned stop of a VM.
    ///
    /// # Errors
    ///
    /// Fails when the VM is not known or not reached.
    fn drain(&self, member: MemberName) -> impl Future<Output = Result<(), ControlFault>> + Send;

    /// Changes the replicas of a group, one at a time.
    ///
    /// # Errors
    ///
    /// Fails when another change is under way or no majority was reached in time.
    fn change_replicas(
        &self,
        group: GroupNumber,
        change: ReplicaChange,
    ) -> impl Future<Output = Result<(), ControlFault>> + Send;

    /// Makes the group's replica on this VM write a snapshot and cut its log.
    ///
    /// # Errors
    ///
    /// Fails when this VM holds no replica of the group.
    fn snapshot(
        &self,
        group: GroupNumber,
    ) -> impl Future<Output = Result<u64, ControlFault>> + Send;
}

/// What a VM knows by itself. Called by `platform`, implemented by the fleet.
///
/// It is apart from [`OperatorPort`], whose lists ask other VMs: an operator does so now and then,
/// while each VM's metrics page is read every few seconds, which would make all ask all.
pub trait LocalPort: Send + Sync + 'static {
    /// Returns what the VM knows, without asking another. `None` where its control thread has ended.
    fn local(&self) -> impl Future<Output = Option<LocalReport>> + Send;
}
