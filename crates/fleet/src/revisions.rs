//! Replaces the whole configuration by what differs from the one before, in parts.
//!
//! The VM that is asked compares and checks; the replicas get the difference alone. Where another configuration came
//! first, the difference is made anew against that. Sending a part again, or a whole order through several VMs at
//! once, is safe: parts have their places, and the replicas know a revision by what it holds.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use crate::{
    handle::FleetNode,
    replicas::control_fault,
    wire::{FleetPeerClient, WireRevision},
};
use log::info;
use model::{
    numbers::{ConfigNumber, GroupNumber},
    patch::PatchFault,
    ports::ControlFault,
    replacement::{ConfigReplacement, LatestConfig, ReplaceOutcome, ReplaceResult},
    revision::{OversizedEntry, RevisionPart, RevisionStep, revise},
};
use tokio::{task::spawn_blocking, time::sleep};

/// How long a replacement may take in all.
const REVISION_TIME: Duration = Duration::from_secs(60);

/// How long a leader is looked for, for each part.
const PART_TIMEOUT: Duration = Duration::from_secs(3);

/// How long this VM may take to hold a configuration that the leader has named, and how often it is looked at.
const FOLLOW_TIMEOUT: Duration = Duration::from_secs(3);
const FOLLOW_PAUSE: Duration = Duration::from_millis(5);

/// What a replacement comes to beside the configuration that this VM holds.
enum PreparedRevision {
    Invalid(Vec<PatchFault>),
    /// A configuration with this number, no lower than its own, is held.
    Held(ConfigNumber),
    Oversized(OversizedEntry),
    Parts(Vec<RevisionPart>),
}

/// What came of sending the parts of a revision.
enum SentRevision {
    Done(ReplaceOutcome),
    /// This configuration is the present one.
    Stale(ConfigNumber),
    /// It is to be made anew.
    Broken,
    /// A control VM of an earlier version has a seat.
    EarlierSeat,
}

/// Compares a replacement with what is held. Takes a while: a whole configuration is looked through.
fn prepare(held: &LatestConfig, replacement: &ConfigReplacement) -> PreparedRevision {
    let successor = match held.config.succeeded_by(&replacement.image) {
        Ok(Some(successor)) => successor,
        Ok(None) => return PreparedRevision::Held(held.config.number()),
        Err(faults) => return PreparedRevision::Invalid(faults),
    };
    let before = held.source.clone().unwrap_or_default();
    let source = before.succeeded_by(&replacement.source);
    match revise((held.config.number(), held.source.as_ref()), &successor, &source) {
        Ok(parts) => PreparedRevision::Parts(parts),
        Err(oversized) => PreparedRevision::Oversized(oversized),
    }
}

impl FleetNode {
    pub(crate) async fn revise(
        &self,
        replacement: ConfigReplacement,
    ) -> Result<ReplaceResult, ControlFault> {
        let replacement = Arc::new(replacement);
        let until = Instant::now() + REVISION_TIME;
        while Instant::now() < until {
            let (held, wanted) = (self.held(), replacement.clone());
            let prepared = spawn_blocking(move || prepare(&held, &wanted)).await;
            let parts = match prepared.map_err(|_| unavailable())? {
                PreparedRevision::Invalid(faults) => return Ok(Err(faults)),
                PreparedRevision::Held(number) => return Ok(Ok(ReplaceOutcome::Kept(number))),
                PreparedRevision::Oversized(oversized) => {
                    return Err(ControlFault::TooLarge { reason: oversized.to_string() });
                }
                PreparedRevision::Parts(parts) => parts,
            };
            match self.send_parts(&parts).await? {
                SentRevision::Done(outcome) => return Ok(Ok(outcome)),
                SentRevision::Stale(present) => self.follow_to(present).await,
                SentRevision::Broken => {
                    info!(number:% = replacement.image.number; "a revision is made anew");
                    sleep(FOLLOW_PAUSE).await;
                }
                SentRevision::EarlierSeat => return self.replace_at_once(&replacement).await,
            }
        }
        Err(unavailable())
    }

    async fn send_parts(&self, parts: &[RevisionPart]) -> Result<SentRevision, ControlFault> {
        let (group, since) = (GroupNumber::CONFIG, WireRevision::REVISIONS);
        let call = |client: FleetPeerClient, context| async move { client.confirm(context).await };
        let present = self.replicas.on_leader(group, PART_TIMEOUT, call).await;
        let present = present.map_err(|fault| control_fault(fault, group))?;
        if self.replicas.is_led_by_earlier(group, since) {
            return Ok(SentRevision::EarlierSeat);
        }
        let mut next = 0;
        while let Some(part) = parts.get(next as usize) {
            if present > part.head.base {
                return Ok(SentRevision::Stale(present));
            }
            let call = |client: FleetPeerClient, context| {
                let part = part.clone();
                async move { client.revise(context, part).await }
            };
            let step = self.replicas.on_leader_since(since, group, PART_TIMEOUT, call).await;
            match step.map_err(|fault| control_fault(fault, group))? {
                Some(RevisionStep::Next(following)) => next = following,
                Some(RevisionStep::Taken(number)) => {
                    return Ok(SentRevision::Done(ReplaceOutcome::Taken(number)));
                }
                Some(RevisionStep::Kept(number)) => {
                    return Ok(SentRevision::Done(ReplaceOutcome::Kept(number)));
                }
                Some(RevisionStep::Stale(present)) => return Ok(SentRevision::Stale(present)),
                Some(RevisionStep::Broken) => return Ok(SentRevision::Broken),
                None => return Ok(SentRevision::EarlierSeat),
            }
        }
        // The replicas wait for a part that there is not.
        Ok(SentRevision::Broken)
    }

    /// Waits until this VM holds a configuration that the leader has named.
    async fn follow_to(&self, number: ConfigNumber) {
        let until = Instant::now() + FOLLOW_TIMEOUT;
        while self.held().config.number() < number && Instant::now() < until {
            sleep(FOLLOW_PAUSE).await;
        }
    }

    /// Sends a replacement in one message and one entry, as control VMs of earlier versions know it.
    async fn replace_at_once(
        &self,
        replacement: &ConfigReplacement,
    ) -> Result<ReplaceResult, ControlFault> {
        let group = GroupNumber::CONFIG;
        let call = |client: FleetPeerClient, context| {
            let replacement = replacement.clone();
            async move { client.replace(context, replacement).await }
        };
        let answer = self.replicas.on_leader(group, PART_TIMEOUT, call).await;
        answer.map_err(|fault| control_fault(fault, group))
    }
}

fn unavailable() -> ControlFault {
    ControlFault::Unavailable { group: GroupNumber::CONFIG }
}
