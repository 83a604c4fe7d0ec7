//! Requests that tests make themselves.

#![allow(unreachable_pub, reason = "shared by the test files")]

use control::{
    group::{GroupAnswer, GroupRequest},
    state::command::{CloseAnswer, LedgerView, StateAnswer, StateCommand},
};
use model::{
    config::ServiceRule,
    ledger::{BodyDigest, CallKey, ClaimAnswer, KeyClaim, KeyClose, RecordedAnswer, RunEnd},
    numbers::{AttemptNumber, ConfigNumber},
    patch::{ConfigChange, ConfigPatch, PatchId, PatchResult},
};
use uuid::Uuid;

pub const WALL_MS: u64 = 1_700_000_000_000;

pub fn view(wall_ms: u64) -> LedgerView {
    LedgerView { wall_ms, keep_ms: 3_600_000, keys_limit: 1_000 }
}

/// A patch that sets one service's floor.
pub fn patch(id: u128, base: u64, service: &str) -> ConfigPatch {
    let rule = ServiceRule { floor_slots: u32::try_from(id).unwrap(), ..ServiceRule::default() };
    ConfigPatch {
        id: PatchId(Uuid::from_u128(id)),
        base: ConfigNumber(base),
        author: "test".to_owned(),
        changes: vec![ConfigChange::PutService { name: service.parse().unwrap(), rule }],
    }
}

pub fn key(number: u8) -> CallKey {
    CallKey::from_parts(WALL_MS, [number; 10])
}

pub fn claim(number: u8, claimant: u64) -> KeyClaim {
    KeyClaim {
        key: key(number),
        service: "entrydesk".parse().unwrap(),
        digest: BodyDigest([1; 32]),
        claimant,
        within_ms: 1_000,
    }
}

pub fn done(number: u8, attempt: u32) -> KeyClose {
    let answer = Some(answer());
    KeyClose { key: key(number), attempt: AttemptNumber(attempt), end: RunEnd::Done { answer } }
}

pub fn answer() -> RecordedAnswer {
    RecordedAnswer { status: 201, headers: Vec::new(), body: b"paid".to_vec() }
}

pub fn ask_patch(patch: &ConfigPatch) -> GroupRequest {
    GroupRequest::Command(StateCommand::Patch(patch.clone()))
}

pub fn ask_claim(claim: &KeyClaim) -> GroupRequest {
    let view = view(WALL_MS);
    GroupRequest::Command(StateCommand::Claim { view, claim: claim.clone() })
}

pub fn ask_close(close: &KeyClose) -> GroupRequest {
    let view = view(WALL_MS);
    GroupRequest::Command(StateCommand::Close { view, close: close.clone() })
}

pub fn patched(answer: GroupAnswer) -> PatchResult {
    match answer {
        GroupAnswer::State(StateAnswer::Patch(result)) => result,
        other => panic!("{other:?} to a patch"),
    }
}

pub fn claimed(answer: GroupAnswer) -> ClaimAnswer {
    match answer {
        GroupAnswer::State(StateAnswer::Claim(answer)) => answer,
        other => panic!("{other:?} to a claim"),
    }
}

pub fn closed(answer: GroupAnswer) -> CloseAnswer {
    match answer {
        GroupAnswer::State(StateAnswer::Close(answer)) => answer,
        other => panic!("{other:?} to a close"),
    }
}
