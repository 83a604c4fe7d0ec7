//! The replicated configuration.
//!
//! What is kept besides the configuration itself is bounded, and persistent maps share what did not
//! change: a patch costs what it changes, not what there is (made for 93,000 routes and 20,000
//! patches a day), and a reader's copy costs a few pointers.
//!
//! # Which patch identifiers are kept
//!
//! The last [`ACCEPTED_LIMIT`] accepted patches' and the last [`REFUSED_LIMIT`] refused ones'.
//! Forgetting an accepted one cannot turn a resend into a second change: its first acceptance moved
//! the number past its base, so the resend is refused as written against an older number. Forgetting a
//! refused one cannot either, since it changed nothing.

use std::sync::Arc;

use crate::replica::entry::ENTRY_LIMIT;
use derive::domain;
use imbl::{HashMap, Vector};
use model::{
    config::{ConfigImage, FleetConfig},
    numbers::ConfigNumber,
    patch::{
        ConfigChange, ConfigDelta, ConfigPatch, PatchId, PatchRecord, PatchRefusal, PatchResult,
    },
};
use xxhash_rust::xxh3::xxh3_128;

/// How many accepted patches' identifiers are kept: what the fleet accepts in a day at its aim.
pub const ACCEPTED_LIMIT: usize = 20_000;

/// How many refused patches' results are kept. They are larger, and of use only for the minute in
/// which an operator's tool sends again.
pub const REFUSED_LIMIT: usize = 256;

/// How many accepted patches the history keeps.
pub const HISTORY_LIMIT: usize = 10_000;

/// How many bytes of patches the history keeps. With the configuration of 93,000 routes it stays
/// well within the 64 MB that a node has for control.
pub const HISTORY_BYTES: usize = 4 * 1024 * 1024;

/// How many changes a refusal names as conflicts at most.
pub const CONFLICTS_LIMIT: usize = 32;

/// One accepted patch with the digest of what it made.
#[domain]
pub struct HistoryItem {
    /// The patch.
    pub record: PatchRecord,
    /// The digest of the configuration that it made.
    pub digest: u64,
    /// The bytes that it takes in the log.
    pub bytes: u32,
}

/// The first result of a patch.
#[domain]
struct KeptResult {
    id: PatchId,
    content: u128,
    result: PatchResult,
}

/// The replicated configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ConfigState {
    config: FleetConfig,
    history: Vector<Arc<HistoryItem>>,
    history_bytes: usize,
    results: HashMap<PatchId, Arc<KeptResult>>,
    accepted: Vector<PatchId>,
    refused: Vector<PatchId>,
}

/// The whole as a snapshot holds it.
#[domain]
struct StateImage {
    config: ConfigImage,
    history: Vec<Arc<HistoryItem>>,
    accepted: Vec<Arc<KeptResult>>,
    refused: Vec<Arc<KeptResult>>,
}

impl ConfigState {
    /// Returns the configuration.
    pub fn config(&self) -> &FleetConfig {
        &self.config
    }

    /// Tells whether a copy is still the same. Looks only at what each patch moves.
    pub fn is_same(&self, other: &Self) -> bool {
        let ends = |state: &Self| {
            (state.config.number(), state.accepted.len(), state.refused.back().copied())
        };
        ends(self) == ends(other)
    }

    /// Returns the first result of a patch, while it is kept.
    pub fn result_of(&self, id: PatchId) -> Option<PatchResult> {
        self.results.get(&id).map(|kept| kept.result.clone())
    }

    /// Applies a patch, or repeats its first result.
    pub fn submit(&mut self, patch: ConfigPatch) -> PatchResult {
        let bytes = postcard::to_stdvec(&patch).expect("domain types have a postcard form");
        let content = xxh3_128(&bytes);
        if let Some(kept) = self.results.get(&patch.id) {
            return match kept.content == content {
                true => kept.result.clone(),
                false => Err(PatchRefusal::OtherPatch { id: patch.id }),
            };
        }
        let id = patch.id;
        let result = self.apply(patch, bytes.len());
        self.keep(KeptResult { id, content, result: result.clone() });
        result
    }

    fn apply(&mut self, patch: ConfigPatch, bytes: usize) -> PatchResult {
        let next =
            self.config.apply(&patch).map_err(|refusal| self.with_conflicts(refusal, &patch))?;
        let number = next.number();
        let bytes = u32::try_from(bytes).unwrap_or(u32::MAX);
        let record = PatchRecord { number, patch };
        self.add_history(HistoryItem { record, digest: next.digest(), bytes });
        self.config = next;
        Ok(number)
    }

    fn with_conflicts(&self, refusal: PatchRefusal, patch: &ConfigPatch) -> PatchRefusal {
        let PatchRefusal::StaleBase { base, present, .. } = refusal else { return refusal };
        let touched =
            |change: &&ConfigChange| patch.changes.iter().any(|own| own.touches_same(change));
        let later = self.history_after(base).flat_map(|item| &item.record.patch.changes);
        let conflicts = later.filter(touched).take(CONFLICTS_LIMIT).cloned().collect();
        PatchRefusal::StaleBase { base, present, conflicts }
    }

    fn history_after(&self, number: ConfigNumber) -> impl Iterator<Item = &HistoryItem> {
        let first = self.history.front().map_or(0, |item| item.record.number.0);
        let skip = usize::try_from((number.0 + 1).saturating_sub(first)).unwrap_or(usize::MAX);
        let skip = skip.min(self.history.len());
        self.history.focus().narrow(skip..).into_iter().map(AsRef::as_ref)
    }

    fn add_history(&mut self, item: HistoryItem) {
        self.history_bytes += item.bytes as usize;
        self.history.push_back(Arc::new(item));
        while self.history.len() > HISTORY_LIMIT || self.history_bytes > HISTORY_BYTES {
            let Some(old) = self.history.pop_front() else { break };
            self.history_bytes -= old.bytes as usize;
        }
    }

    fn keep(&mut self, kept: KeptResult) {
        let (ids, limit) = match kept.result {
            Ok(_) => (&mut self.accepted, ACCEPTED_LIMIT),
            Err(_) => (&mut self.refused, REFUSED_LIMIT),
        };
        ids.push_back(kept.id);
        if ids.len() > limit
            && let Some(old) = ids.pop_front()
        {
            self.results.remove(&old);
        }
        self.results.insert(kept.id, Arc::new(kept));
    }

    /// Lists accepted patches after a number, oldest first.
    pub fn records_after(&self, number: ConfigNumber, limit: usize) -> Vec<PatchRecord> {
        self.history_after(number).take(limit).map(|item| item.record.clone()).collect()
    }

    /// Lists the differences from a number to the present one. `None` where the history does not
    /// reach back that far, or there are more than `limit`.
    pub fn deltas_since(&self, number: ConfigNumber, limit: usize) -> Option<Vec<ConfigDelta>> {
        let missing = self.config.number().0.checked_sub(number.0)?;
        let kept = self.history.len() as u64;
        if missing > kept || missing > limit as u64 {
            return None;
        }
        let delta = |item: &HistoryItem| ConfigDelta {
            from: item.record.patch.base,
            to: item.record.number,
            changes: item.record.patch.changes.clone(),
            digest: item.digest,
        };
        Some(self.history_after(number).map(delta).collect())
    }

    /// Returns the state as a snapshot holds it.
    pub fn encode(&self) -> Vec<u8> {
        let kept = |ids: &Vector<PatchId>| {
            ids.iter().filter_map(|id| self.results.get(id).cloned()).collect()
        };
        let image = StateImage {
            config: self.config.to_image(),
            history: self.history.iter().cloned().collect(),
            accepted: kept(&self.accepted),
            refused: kept(&self.refused),
        };
        postcard::to_stdvec(&image).expect("domain types have a postcard form")
    }

    /// Reads a snapshot's content.
    ///
    /// # Errors
    ///
    /// Fails when it holds something else.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        let image: StateImage = postcard::from_bytes(bytes)?;
        let mut state = Self { config: FleetConfig::from_image(image.config), ..Self::default() };
        for item in image.history {
            state.history_bytes += item.bytes as usize;
            state.history.push_back(item);
        }
        state.accepted = image.accepted.iter().map(|kept| kept.id).collect();
        state.refused = image.refused.iter().map(|kept| kept.id).collect();
        let kept = image.accepted.into_iter().chain(image.refused);
        state.results = kept.map(|kept| (kept.id, kept)).collect();
        Ok(state)
    }
}

/// The largest patch, in bytes of its encoded form: one log entry.
pub const PATCH_BYTES_LIMIT: usize = ENTRY_LIMIT;
