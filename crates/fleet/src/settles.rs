//! Ends of grants on their way to their placers: pure rules.
//!
//! Failure: a message that ends a grant is lost with its connection. Symptom without a guard: the
//! slot stays taken for good, and after enough of them the service refuses all calls. So ends are
//! kept until the placer has taken them, in order, or the placer is lost. One message is in flight
//! for each placer; what comes meanwhile goes with the next one, so a busy entry sends few and
//! large messages. Sending a batch again is safe: a grant ends once, by its number.

use std::collections::{BTreeMap, VecDeque};

use derive::domain;
use model::{
    names::{MemberName, ServiceName},
    numbers::{CallNumber, IncarnationNumber},
    slot::SlotSettle,
};

/// How many ends one message carries at most.
pub const BATCH_LIMIT: usize = 512;

/// One end.
#[domain]
pub enum GrantEnd {
    /// A grant ended.
    Settle(SlotSettle),
    /// An ask was given up: its grant, if there is or will be one, is void.
    Cancel {
        /// The service.
        service: ServiceName,
        /// The call.
        call: CallNumber,
        /// The try.
        attempt: u32,
    },
}

/// Ends that one life of an entry tells a placer.
#[domain]
pub struct EntryEnds {
    /// The entry's VM.
    pub entry: MemberName,
    /// Which life of it asked. `None`: from a VM that does not tell yet, so its present one.
    pub life: Option<IncarnationNumber>,
    /// The ends.
    pub ends: Vec<GrantEnd>,
}

#[derive(Debug, Default)]
struct PlacerOutbox {
    waiting: VecDeque<GrantEnd>,
    in_flight: Vec<GrantEnd>,
    sending: bool,
}

/// The ends that each placer has not taken yet.
#[derive(Debug, Default)]
pub struct SettleOutbox {
    placers: BTreeMap<MemberName, PlacerOutbox>,
}

impl SettleOutbox {
    /// Takes an end. Tells whether a sender must be started for the placer.
    pub fn push(&mut self, placer: &MemberName, end: GrantEnd) -> bool {
        let outbox = self.placers.entry(placer.clone()).or_default();
        outbox.waiting.push_back(end);
        !std::mem::replace(&mut outbox.sending, true)
    }

    /// Returns the batch to send: the one in flight again where it was not taken, else the next.
    /// `None` ends the sender.
    pub fn batch(&mut self, placer: &MemberName) -> Option<Vec<GrantEnd>> {
        let outbox = self.placers.get_mut(placer)?;
        if outbox.in_flight.is_empty() {
            let count = outbox.waiting.len().min(BATCH_LIMIT);
            outbox.in_flight = outbox.waiting.drain(..count).collect();
        }
        if outbox.in_flight.is_empty() {
            self.placers.remove(placer);
            return None;
        }
        Some(outbox.in_flight.clone())
    }

    /// Takes the placer's word that it has the batch in flight.
    pub fn taken(&mut self, placer: &MemberName) {
        if let Some(outbox) = self.placers.get_mut(placer) {
            outbox.in_flight.clear();
        }
    }

    /// Drops what a lost placer has not taken: it counts nothing any more.
    pub fn drop_placer(&mut self, placer: &MemberName) {
        self.placers.remove(placer);
    }

    /// Returns how many ends wait.
    pub fn len(&self) -> usize {
        self.placers.values().map(|outbox| outbox.waiting.len() + outbox.in_flight.len()).sum()
    }

    /// Tells whether none waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
