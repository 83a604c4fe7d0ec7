//! Which VMs live: soft state by gossip.

use std::{collections::BTreeMap, time::Duration};

use crate::wire::MemberRecord;
use model::{moment::Moment, names::MemberName};

/// After which silence a VM counts as lost.
pub const SILENCE_LIMIT: Duration = Duration::from_secs(2);

#[derive(Debug)]
struct HeardMember {
    record: MemberRecord,
    heard: Moment,
}

/// The VMs that this node has heard of, itself among them.
#[derive(Debug)]
pub struct MemberTable {
    own: MemberRecord,
    others: BTreeMap<MemberName, HeardMember>,
}

impl MemberTable {
    /// Opens a table that knows only the node itself.
    pub fn open(own: MemberRecord) -> Self {
        Self { own, others: BTreeMap::new() }
    }

    /// Returns the node's own record.
    pub fn own(&self) -> &MemberRecord {
        &self.own
    }

    /// Changes the node's own record. Each change counts as a heartbeat.
    pub fn beat(&mut self, change: impl FnOnce(&mut MemberRecord)) {
        change(&mut self.own);
        self.own.heartbeat += 1;
    }

    /// Takes what a peer knows.
    pub fn learn(&mut self, records: Vec<MemberRecord>, now: Moment) {
        for record in records {
            if record.member == self.own.member {
                continue;
            }
            let held = self.others.get(&record.member);
            let newer = held.is_none_or(|held| {
                (record.incarnation, record.heartbeat)
                    > (held.record.incarnation, held.record.heartbeat)
            });
            if newer {
                self.others.insert(record.member.clone(), HeardMember { record, heard: now });
            }
        }
    }

    /// Lists the VMs that were heard lately, with how long ago; the node itself first.
    pub fn living(&self, now: Moment) -> impl Iterator<Item = (&MemberRecord, Duration)> {
        let others = self.others.values().map(move |one| (&one.record, now.since(one.heard)));
        let lately = others.filter(|(_, silence)| *silence < SILENCE_LIMIT);
        std::iter::once((&self.own, Duration::ZERO)).chain(lately)
    }

    /// Lists all VMs that are known.
    pub fn all(&self, now: Moment) -> impl Iterator<Item = (&MemberRecord, Duration)> {
        let others = self.others.values().map(move |one| (&one.record, now.since(one.heard)));
        std::iter::once((&self.own, Duration::ZERO)).chain(others)
    }
}
