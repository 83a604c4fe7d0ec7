//! One group's replica with its disk: output is carried out in the order that keeps promises.

use std::collections::HashMap;

use crate::{
    disk::store::{LogStore, OpenStore, StoreFault},
    fault::{ControlError, ReplicaFault},
    group::{AnswerPair, GroupReplica, GroupRequest, RequestNumber},
    packet::{PACKET_LIMIT, ReplicaPacket},
    replica::{
        core::{CoreOutput, CoreParts, OutMessage},
        entry::{ENTRY_LIMIT, ReplicaId},
        message::{MESSAGE_VERSION, MessageEnvelope},
    },
    settings::ReplicaSettings,
    state::command::StateCommand,
};
use log::{info, warn};
use model::{moment::Moment, names::MemberName, numbers::GroupNumber};
use tokio::sync::mpsc;
use uuid::Uuid;

/// A log this long is cut by a snapshot, unless the last snapshot was longer: then at that length. So
/// what is written for snapshots is at most about what is written for the log.
const CUT_BYTES: u64 = 4 * 1024 * 1024;

/// What a command without an answer in it takes in the log at most, in bytes.
const SMALL_COMMAND: u64 = 1_024;

/// One group's replica with its disk.
pub(crate) struct GroupRunner {
    pub(crate) group: GroupNumber,
    pub(crate) replica: GroupReplica,
    member: MemberName,
    id: ReplicaId,
    store: Box<dyn LogStore>,
    /// What waits for room on the disk. Until it is stored the replica does nothing else: it must not
    /// promise anything on top of what it could not write.
    stuck: Option<CoreOutput>,
    last_snapshot: u64,
    packets: mpsc::Sender<ReplicaPacket>,
}

impl GroupRunner {
    pub(crate) fn open(
        group: GroupNumber,
        settings: &ReplicaSettings,
        opened: OpenStore,
        packets: mpsc::Sender<ReplicaPacket>,
        now: Moment,
    ) -> Result<Self, ControlError> {
        let OpenStore { store, id, memory } = opened;
        let last_snapshot = memory.log.snapshot().map_or(0, |image| image.bytes.len() as u64);
        let parts = CoreParts {
            member: settings.member.clone(),
            id,
            founders: settings.founders.clone(),
            seed: settings.seed ^ Uuid::new_v4().as_u64_pair().0,
            memory,
        };
        let replica = GroupReplica::open(group, parts, now)
            .map_err(|_| ControlError::Undecodable { group })?;
        info!(
            group:% = group,
            replica:% = id.0,
            applied = replica.applied(),
            last = replica.core().log().last_index();
            "replica opened"
        );
        let member = settings.member.clone();
        let stuck = None;
        Ok(Self { group, replica, member, id, store, stuck, last_snapshot, packets })
    }

    pub(crate) fn tick(&mut self, now: Moment) -> Result<(), ControlError> {
        if let Some(output) = self.stuck.take() {
            self.carry_out(now, output)?;
        }
        if self.stuck.is_none() {
            self.replica.tick(now).map_err(|_| self.damage())?;
        }
        Ok(())
    }

    pub(crate) fn receive(
        &mut self,
        now: Moment,
        packet: &ReplicaPacket,
    ) -> Result<(), ControlError> {
        let envelope: Result<MessageEnvelope, _> = postcard::from_bytes(&packet.bytes);
        let Ok(envelope) = envelope else { return Ok(()) };
        let other = envelope.to.is_some_and(|to| to != self.id);
        if other || envelope.version != MESSAGE_VERSION || self.stuck.is_some() {
            return Ok(());
        }
        let MessageEnvelope { from, message, .. } = envelope;
        self.replica.step(now, &packet.from, from, message).map_err(|_| self.damage())
    }

    /// Takes a request, once there is room on the disk for what it adds to the log.
    pub(crate) fn request(
        &mut self,
        now: Moment,
        number: RequestNumber,
        request: GroupRequest,
    ) -> Result<Result<(), ReplicaFault>, ControlError> {
        if self.stuck.is_some() {
            return Ok(Err(ReplicaFault::NoSpace));
        }
        if let GroupRequest::Command(command) = &request
            && self.replica.core().takes_commands()
        {
            match self.store.reserve(room_for(command)) {
                Ok(()) => (),
                Err(StoreFault::NoSpace) => return Ok(Err(ReplicaFault::NoSpace)),
                Err(StoreFault::Fatal { source }) => return Err(source),
            }
        }
        self.replica.request(now, number, request);
        Ok(Ok(()))
    }

    /// Carries out all that the replica wants done. Returns the ends of requests.
    pub(crate) fn flush(&mut self, now: Moment) -> Result<Vec<AnswerPair>, ControlError> {
        while self.stuck.is_none() {
            let output = self.replica.take_output();
            let idle = output.early.is_empty() && output.late.is_empty() && !output.needs_sync();
            if idle {
                break;
            }
            self.carry_out(now, output)?;
        }
        Ok(self.replica.take_answers())
    }

    fn carry_out(&mut self, now: Moment, mut output: CoreOutput) -> Result<(), ControlError> {
        for message in std::mem::take(&mut output.early) {
            self.send(message);
        }
        if output.needs_sync() {
            match self.store_output(&output) {
                Ok(()) => (),
                Err(StoreFault::Fatal { source }) => return Err(source),
                Err(StoreFault::NoSpace) => {
                    warn!(group:% = self.group; "no room on the disk; the replica waits for it");
                    self.stuck = Some(output);
                    return Ok(());
                }
            }
            self.replica.synced(now).map_err(|_| self.damage())?;
        }
        for message in output.late {
            self.send(message);
        }
        Ok(())
    }

    fn store_output(&mut self, output: &CoreOutput) -> Result<(), StoreFault> {
        match &output.rewrite {
            Some(image) => {
                self.last_snapshot = image.bytes.len() as u64;
                self.store.rewrite(image, &self.replica.core().whole_log())
            }
            None => self.store.write(&output.writes),
        }
    }

    fn send(&self, message: OutMessage) {
        let OutMessage { to, id, message } = message;
        let envelope = MessageEnvelope { version: MESSAGE_VERSION, from: self.id, to: id, message };
        let bytes = postcard::to_stdvec(&envelope).expect("domain types have a postcard form");
        debug_assert!(bytes.len() <= PACKET_LIMIT);
        let packet = ReplicaPacket { from: self.member.clone(), to, group: self.group, bytes };
        // A full queue loses the packet, as the network may: the rules send again what matters.
        let _ = self.packets.try_send(packet);
    }

    /// Cuts the log when it has grown long enough.
    pub(crate) fn cut_when_long(&mut self) -> Result<(), ControlError> {
        let long = self.store.log_bytes() > CUT_BYTES.max(self.last_snapshot);
        if long && self.stuck.is_none() {
            // Without room for a snapshot the log goes on as it is.
            let _ = self.snapshot()?;
        }
        Ok(())
    }

    /// Stores a snapshot and cuts the log. Returns the entry that the snapshot covers.
    pub(crate) fn snapshot(&mut self) -> Result<Result<u64, ReplicaFault>, ControlError> {
        if self.stuck.is_some() {
            return Ok(Err(ReplicaFault::NoSpace));
        }
        let Some(image) = self.replica.image() else {
            return Ok(Ok(self.replica.core().log().base_index()));
        };
        match self.store.save_snapshot(&image) {
            Ok(()) => (),
            Err(StoreFault::NoSpace) => return Ok(Err(ReplicaFault::NoSpace)),
            Err(StoreFault::Fatal { source }) => return Err(source),
        }
        let index = image.index;
        info!(group:% = self.group, index, bytes = image.bytes.len(); "log cut by a snapshot");
        self.replica.compact(image);
        Ok(Ok(index))
    }

    fn damage(&self) -> ControlError {
        ControlError::Undecodable { group: self.group }
    }

    /// Forgets requests that nobody waits for.
    pub(crate) fn forget_gone<T>(&mut self, waiting: &HashMap<RequestNumber, T>) {
        self.replica.forget(|number| !waiting.contains_key(&number));
    }
}

fn room_for(command: &StateCommand) -> u64 {
    match command {
        StateCommand::Patch(_) => ENTRY_LIMIT as u64 + SMALL_COMMAND,
        StateCommand::Claim { .. } => SMALL_COMMAND,
        StateCommand::Close { close, .. } => match &close.end {
            model::ledger::RunEnd::Done { answer: Some(answer) } => {
                SMALL_COMMAND + 2 * answer.size() as u64
            }
            _ => SMALL_COMMAND,
        },
    }
}
