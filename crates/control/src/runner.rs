//! One group's replica with its disk: output is carried out in the order that keeps promises.

use std::{collections::HashMap, sync::mpsc as std_mpsc, thread};

use crate::{
    disk::store::{LogStore, OpenStore, StoreFault},
    driver::AnswerSender,
    fault::{ControlError, ReplicaFault, ThreadSnafu},
    group::{AnswerPair, GroupAnswer, GroupReplica, GroupRequest, RequestNumber},
    packet::{PACKET_LIMIT, ReplicaPacket},
    replica::{
        core::{CoreOutput, CoreParts, OutMessage},
        entry::{ENTRY_LIMIT, ReplicaId, SnapshotImage},
        message::{MESSAGE_VERSION, MessageEnvelope},
    },
    settings::ReplicaSettings,
    state::command::StateCommand,
};
use log::{info, warn};
use model::{ledger::RunEnd, moment::Moment, names::MemberName, numbers::GroupNumber};
use snafu::ResultExt;
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
    /// Room that was taken for commands since the last write.
    reserved: u64,
    cut: Option<SnapshotCut>,
    cut_ends: Vec<(AnswerSender, CutEnd)>,
    packets: mpsc::Sender<ReplicaPacket>,
}

/// A snapshot that is being stored.
struct SnapshotCut {
    done: std_mpsc::Receiver<Result<SnapshotImage, StoreFault>>,
    askers: Vec<AnswerSender>,
}

/// The end of a request for a snapshot.
pub(crate) type CutEnd = Result<GroupAnswer, ReplicaFault>;

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
        Ok(Self {
            group,
            replica,
            member,
            id,
            store,
            stuck: None,
            last_snapshot,
            reserved: 0,
            cut: None,
            cut_ends: Vec::new(),
            packets,
        })
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
            let room = self.reserved + room_for(command);
            match self.store.reserve(room) {
                Ok(()) => self.reserved = room,
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
        self.reserved = 0;
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

    /// Begins to cut the log when it has grown long enough.
    pub(crate) fn cut_when_long(&mut self) -> Result<(), ControlError> {
        let long = self.store.log_bytes() > CUT_BYTES.max(self.last_snapshot);
        if long && self.stuck.is_none() && self.cut.is_none() {
            self.begin_cut(None)?;
        }
        Ok(())
    }

    /// Begins to store a snapshot, on a thread of its own: the state's copy shares its content, and
    /// encoding and syncing hundreds of megabytes here would cost the leadership.
    pub(crate) fn begin_cut(&mut self, asker: Option<AnswerSender>) -> Result<(), ControlError> {
        if let Some(cut) = &mut self.cut {
            cut.askers.extend(asker);
            return Ok(());
        }
        let Some(source) = self.replica.snapshot_source() else {
            let index = self.replica.core().log().base_index();
            self.answer_cut(asker, &Ok(index));
            return Ok(());
        };
        let writer = self.store.snapshot_writer();
        let (sender, done) = std_mpsc::channel();
        let store = move || {
            let image = source.image();
            let stored = writer(&image).map(|()| image);
            // The replicas may have ended meanwhile.
            let _ = sender.send(stored);
        };
        thread::Builder::new().name("snapshot".to_owned()).spawn(store).context(ThreadSnafu)?;
        self.cut = Some(SnapshotCut { done, askers: asker.into_iter().collect() });
        Ok(())
    }

    /// Cuts the log if the snapshot is stored.
    pub(crate) fn end_cut(&mut self) -> Result<(), ControlError> {
        let stored = match &self.cut {
            Some(cut) if self.stuck.is_none() => cut.done.try_recv(),
            _ => return Ok(()),
        };
        let end = match stored {
            Err(std_mpsc::TryRecvError::Empty) => return Ok(()),
            Ok(Err(StoreFault::Fatal { source })) => return Err(source),
            Ok(Ok(image)) => Ok(self.cut_at(image)),
            // Without room for a snapshot the log goes on as it is.
            Ok(Err(StoreFault::NoSpace)) | Err(std_mpsc::TryRecvError::Disconnected) => {
                Err(ReplicaFault::NoSpace)
            }
        };
        let askers = self.cut.take().map(|cut| cut.askers).unwrap_or_default();
        for asker in askers {
            self.answer_cut(Some(asker), &end);
        }
        Ok(())
    }

    fn cut_at(&mut self, image: SnapshotImage) -> u64 {
        let index = image.index;
        info!(group:% = self.group, index, bytes = image.bytes.len(); "log cut by a snapshot");
        self.replica.compact(image);
        index
    }

    fn answer_cut(&mut self, asker: Option<AnswerSender>, end: &Result<u64, ReplicaFault>) {
        let end = end.clone().map(GroupAnswer::Confirmed);
        self.cut_ends.extend(asker.map(|asker| (asker, end)));
    }

    /// Takes the answers to those who asked for a snapshot, for after the next flush.
    pub(crate) fn take_cut_ends(&mut self) -> Vec<(AnswerSender, CutEnd)> {
        std::mem::take(&mut self.cut_ends)
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
        // Encoded once more for its size: patches are few, and taking the limit for each of hundreds
        // that wait together made logs of 190 MB, which a restart reads.
        StateCommand::Patch(patch) => {
            let bytes = postcard::to_stdvec(patch).expect("domain types have a postcard form");
            bytes.len().min(ENTRY_LIMIT) as u64 + SMALL_COMMAND
        }
        StateCommand::Claim { .. } => SMALL_COMMAND,
        StateCommand::Close { close, .. } => match &close.end {
            RunEnd::Done { answer: Some(answer) } => SMALL_COMMAND + 2 * answer.size() as u64,
            _ => SMALL_COMMAND,
        },
    }
}
