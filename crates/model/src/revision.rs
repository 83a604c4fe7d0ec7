//! A whole configuration, sent as what it changes and in parts of bounded size.
//!
//! Failure: a whole configuration was one entry of the replicated log, which has a largest size. Symptom: from some 2,000
//! routes on no configuration was accepted any more. A revision holds what differs from the configuration before, cut into
//! parts that are entries each. They are staged one after the other beside the configuration in force; the last one puts
//! the outcome in force at once, if it has the content that the sender had.

use std::{
    io::{Read, Write},
    sync::Arc,
};

use crate::{
    config::FleetConfig,
    numbers::ConfigNumber,
    patch::ConfigChange,
    replacement::ConfigSuccessor,
    source::{SourceStep, SourceText},
};
use derive::domain;
use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};
use snafu::Snafu;
use xxhash_rust::xxh3::Xxh3;

/// From which size on a part is closed, in bytes before it is packed. It holds up a replica's thread for some
/// milliseconds.
const PART_BYTES: usize = 256 * 1_024;

/// The largest part, in bytes as it is sent: it has to fit into an entry of the log.
pub const PART_LIMIT: usize = 320 * 1_024;

/// The most that a part may be unpacked to, in bytes: a damaged one must not fill the memory.
const UNPACKED_LIMIT: u64 = 16 * 1_024 * 1_024;

/// Up to which size the changes of a revision are listed for those who follow by differences, in bytes.
const LISTED_BYTES: usize = 1_024 * 1_024;

/// A revision cannot be made.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("the entry {name:?} takes {size} bytes, at most {PART_LIMIT} are allowed"))]
pub struct OversizedEntry {
    /// The name of the service, route or customer.
    name: String,
    size: usize,
}

/// What the parts of a revision have in common.
#[domain]
pub struct RevisionHead {
    /// Names the revision: a digest of all that its parts hold.
    pub id: u128,
    /// The number of the configuration that it changes.
    pub base: ConfigNumber,
    /// The number of the one that it makes.
    pub number: ConfigNumber,
    /// How many parts there are.
    pub parts: u32,
    /// The digest of the content that it makes.
    digest: u64,
    /// The digest of its document.
    source: u128,
}

/// One part of a revision.
#[domain]
pub struct RevisionPart {
    /// What it has in common with the others.
    pub head: RevisionHead,
    /// Which part, from 0.
    pub part: u32,
    packed: Box<[u8]>,
}

impl RevisionPart {
    /// Returns the bytes that it takes in a message, roughly.
    pub fn size(&self) -> usize {
        self.packed.len() + 96
    }

    fn slice(&self) -> Option<RevisionSlice> {
        let mut bytes = Vec::new();
        let unpacker = DeflateDecoder::new(self.packed.as_ref());
        unpacker.take(UNPACKED_LIMIT).read_to_end(&mut bytes).ok()?;
        postcard::from_bytes(&bytes).ok()
    }
}

/// What a part holds.
#[domain]
#[derive(Default)]
struct RevisionSlice {
    changes: Vec<ConfigChange>,
    source: Vec<SourceStep>,
}

/// Cuts changes and steps into slices.
#[derive(Default)]
struct SliceCutter {
    done: Vec<Vec<u8>>,
    slice: RevisionSlice,
    size: usize,
}

impl SliceCutter {
    fn add_change(&mut self, change: &ConfigChange) {
        self.size += encoded(change).len();
        self.slice.changes.push(change.clone());
        self.close_if_full();
    }

    fn add_step(&mut self, step: SourceStep) {
        self.size += match &step {
            SourceStep::Keep { .. } => 12,
            SourceStep::Add(piece) => piece.size(),
        };
        self.slice.source.push(step);
        self.close_if_full();
    }

    fn close_if_full(&mut self) {
        if self.size >= PART_BYTES {
            self.close();
        }
    }

    fn close(&mut self) {
        let slice = std::mem::take(&mut self.slice);
        self.size = 0;
        self.done.push(encoded(&slice));
    }

    fn finish(mut self) -> Vec<Vec<u8>> {
        if self.size > 0 || self.done.is_empty() {
            self.close();
        }
        self.done
    }
}

/// Makes the revision that leads from one configuration, with its document, to the next.
///
/// # Errors
///
/// Fails when one entry alone is larger than a part may be.
pub fn revise(
    base: (ConfigNumber, Option<&SourceText>),
    next: &ConfigSuccessor,
    source: &SourceText,
) -> Result<Vec<RevisionPart>, OversizedEntry> {
    let mut cutter = SliceCutter::default();
    next.changes.iter().for_each(|change| cutter.add_change(change));
    let before = base.1.cloned().unwrap_or_default();
    before.steps_to(source).into_iter().for_each(|step| cutter.add_step(step));
    let slices = cutter.finish();
    let mut id = Xxh3::new();
    slices.iter().for_each(|slice| id.update(slice));
    let head = RevisionHead {
        id: id.digest128(),
        base: base.0,
        number: next.config.number(),
        parts: u32::try_from(slices.len()).unwrap_or(u32::MAX),
        digest: next.config.digest(),
        source: source.digest(),
    };
    let part = |(slice, part): (Vec<u8>, u32)| RevisionPart {
        head: head.clone(),
        part,
        packed: pack(&slice).into(),
    };
    let parts: Vec<_> = slices.into_iter().zip(0..).map(part).collect();
    match parts.iter().find(|part| part.size() > PART_LIMIT) {
        Some(part) => Err(oversized(part, next)),
        None => Ok(parts),
    }
}

fn oversized(part: &RevisionPart, next: &ConfigSuccessor) -> OversizedEntry {
    let largest = next.changes.iter().max_by_key(|change| encoded(*change).len());
    let name = largest.map_or(String::new(), |change| change.target().1.to_owned());
    OversizedEntry { name, size: part.size() }
}

/// What became of a part.
#[domain(value)]
pub enum RevisionStep {
    /// All parts are there, and the revision is in force under this number.
    Taken(ConfigNumber),
    /// A configuration with this number, no lower than the revision's, was held already; nothing changed.
    Kept(ConfigNumber),
    /// The part is staged, or was before. This one is to follow.
    Next(u32),
    /// The revision is against another configuration than that with this number, which is the present one.
    Stale(ConfigNumber),
    /// The parts do not make what their sender had. All are to be made anew.
    Broken,
}

/// The parts of a revision that have come, and what they make of the configuration before.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StagedRevision {
    head: RevisionHead,
    /// Kept for snapshots.
    parts: Vec<Arc<RevisionPart>>,
    config: FleetConfig,
    source: SourceText,
    /// The changes, as long as they are few enough to be listed.
    changes: Option<Vec<ConfigChange>>,
    listed: usize,
}

/// A revision of which all parts have come.
#[derive(Clone, Debug)]
pub struct WholeRevision {
    /// The configuration that it makes.
    pub config: FleetConfig,
    /// Its document.
    pub source: SourceText,
    /// What it changes. `None`: too much to be listed.
    pub changes: Option<Vec<ConfigChange>>,
}

impl StagedRevision {
    /// Begins to stage a revision beside the configuration that it changes.
    pub fn open(head: RevisionHead, base: &FleetConfig) -> Self {
        let (config, source) = (base.clone(), SourceText::default());
        Self { head, parts: Vec::new(), config, source, changes: Some(Vec::new()), listed: 0 }
    }

    /// Returns what its parts have in common.
    pub fn head(&self) -> &RevisionHead {
        &self.head
    }

    /// Returns the parts that have come.
    pub fn parts(&self) -> &[Arc<RevisionPart>] {
        &self.parts
    }

    /// Returns which part is to follow.
    pub fn next_part(&self) -> u32 {
        u32::try_from(self.parts.len()).unwrap_or(u32::MAX)
    }

    /// Takes the part that follows. `false`: it does not lead on, and nothing more of the revision is to be taken.
    pub fn take(&mut self, part: RevisionPart, base_source: &SourceText) -> bool {
        let Some(slice) = part.slice() else { return false };
        for step in slice.source {
            let source = std::mem::take(&mut self.source);
            let Some(source) = source.with_step(base_source, step) else { return false };
            self.source = source;
        }
        for change in &slice.changes {
            self.config.put(change);
        }
        self.list(slice.changes);
        self.parts.push(Arc::new(part));
        true
    }

    fn list(&mut self, changes: Vec<ConfigChange>) {
        self.listed += changes.iter().map(|change| encoded(change).len()).sum::<usize>();
        match &mut self.changes {
            Some(listed) if self.listed <= LISTED_BYTES => listed.extend(changes),
            _ => self.changes = None,
        }
    }

    /// Returns the outcome once all parts are there. `None`: it is not what the sender had.
    pub fn finish(self) -> Option<WholeRevision> {
        let Self { head, mut config, source, changes, .. } = self;
        config.number = head.number;
        let same = config.digest() == head.digest && source.digest() == head.source;
        same.then_some(WholeRevision { config, source, changes })
    }
}

fn encoded<T: serde::Serialize>(value: &T) -> Vec<u8> {
    postcard::to_stdvec(value).expect("domain types have a postcard form")
}

fn pack(bytes: &[u8]) -> Vec<u8> {
    let mut packer = DeflateEncoder::new(Vec::new(), Compression::fast());
    packer.write_all(bytes).expect("a list of bytes takes all");
    packer.finish().expect("a list of bytes takes all")
}
