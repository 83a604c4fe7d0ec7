//! A read-only look at a data folder, also while its process runs or cannot start.

use std::path::Path;

use crate::{
    disk::{
        folder::{group_folder, list_groups},
        group_file::{LogContent, read_log},
    },
    fault::ControlError,
    replica::entry::{EntryBody, ReplicaId},
    state::machine::GroupState,
};
use derive::domain;
use model::numbers::GroupNumber;

/// What a group's files hold.
#[domain]
pub struct GroupReport {
    /// The group.
    pub group: GroupNumber,
    /// The replica's identity.
    pub replica: Option<ReplicaId>,
    /// The term.
    pub term: u64,
    /// The number of the configuration, or how many keys the ledger keeps, as of `committed`.
    pub number: u64,
    /// The digest of that state.
    pub digest: u64,
    /// The last entry known to be committed. Later ones may be too.
    pub committed: u64,
    /// The last entry.
    pub last_index: u64,
    /// The last entry that the snapshot covers.
    pub snapshot: Option<u64>,
    /// Where a torn tail begins, in bytes from the log's start. It is cut off at the next start.
    pub torn_at: Option<u64>,
    /// The first damaged record: file, place and what to do.
    pub damage: Option<String>,
}

/// Reports on each group of a data folder and changes nothing.
///
/// # Errors
///
/// Fails when the folder cannot be read. Damage to a group's files is part of the report.
pub fn inspect(folder: &Path) -> Result<Vec<GroupReport>, ControlError> {
    let report = |group| {
        let read = read_log(&group_folder(folder, group), group);
        read.map_or_else(|error| damaged(group, &error), |content| sound(group, &content))
    };
    Ok(list_groups(folder)?.into_iter().map(report).collect())
}

fn sound(group: GroupNumber, content: &LogContent) -> GroupReport {
    let memory = &content.memory;
    let Some(state) = state_of(group, content) else {
        let text = "the snapshot or an entry holds something else than this group's state";
        return GroupReport { damage: Some(text.to_owned()), ..empty(group) };
    };
    GroupReport {
        replica: Some(content.id),
        term: memory.term,
        number: state.number(),
        digest: state.digest(),
        committed: memory.commit,
        last_index: memory.log.last_index(),
        snapshot: content.snapshot,
        torn_at: (content.torn).then_some(content.end),
        ..empty(group)
    }
}

fn state_of(group: GroupNumber, content: &LogContent) -> Option<GroupState> {
    let log = &content.memory.log;
    let mut state = match log.snapshot() {
        Some(image) => GroupState::decode(group, &image.bytes).ok()?,
        None => GroupState::open(group),
    };
    for index in log.base_index() + 1..=content.memory.commit {
        if let EntryBody::Command(bytes) = &log.entry(index)?.body {
            state.apply(postcard::from_bytes(bytes).ok()?)?;
        }
    }
    Some(state)
}

fn damaged(group: GroupNumber, error: &ControlError) -> GroupReport {
    GroupReport { damage: Some(error.to_string()), ..empty(group) }
}

fn empty(group: GroupNumber) -> GroupReport {
    GroupReport {
        group,
        replica: None,
        term: 0,
        number: 0,
        digest: 0,
        committed: 0,
        last_index: 0,
        snapshot: None,
        torn_at: None,
        damage: None,
    }
}
