//! The rules of the replicated configuration.

mod world;

use control::state::config::{
    ACCEPTED_LIMIT, CONFLICTS_LIMIT, ConfigState, HISTORY_LIMIT, REFUSED_LIMIT,
};
use googletest::prelude::*;
use model::{
    config::ControlSettings,
    numbers::ConfigNumber,
    patch::{ConfigChange, ConfigPatch, PatchRefusal},
};
use world::asks::patch;

fn with_settings(id: u128, base: u64, ledger_groups: u32) -> ConfigPatch {
    let settings = ControlSettings { ledger_groups, ..ControlSettings::default() };
    ConfigPatch { changes: vec![ConfigChange::PutSettings { settings }], ..patch(id, base, "x") }
}

// An operator's tool sends a patch again a day and 20,000 patches later; nothing changes.
// Its identifier is forgotten by then. Its base is not the present number any more, so it is refused;
// an identifier that is still kept gets its first result.
#[gtest]
fn a_forgotten_identifier_cannot_make_a_second_change() {
    let mut state = ConfigState::default();
    let count = ACCEPTED_LIMIT as u64 + 1;
    for number in 0..count {
        state.submit(patch(u128::from(number) + 1, number, "cluebook")).unwrap();
    }
    let first = patch(1, 0, "cluebook");
    expect_that!(state.result_of(first.id), none());
    let refused = state.submit(first);
    expect_that!(refused, err(pat!(PatchRefusal::StaleBase { .. })));
    expect_that!(state.submit(patch(2, 1, "cluebook")), ok(eq(&ConfigNumber(2))));
    expect_that!(state.config().number(), eq(ConfigNumber(count)));
}

#[gtest]
fn the_history_and_refused_results_are_bounded() {
    let mut state = ConfigState::default();
    for number in 0..HISTORY_LIMIT as u64 + 10 {
        state.submit(patch(u128::from(number) + 1, number, "cluebook")).unwrap();
    }
    let kept = state.records_after(ConfigNumber(0), usize::MAX);
    expect_that!(kept.len(), eq(HISTORY_LIMIT));
    expect_that!(kept[0].number, eq(ConfigNumber(11)));
    expect_that!(state.deltas_since(ConfigNumber(9), usize::MAX), none());
    let refused = |number: usize| patch(1_000_000 + number as u128, 0, "cluebook");
    for number in 0..=REFUSED_LIMIT {
        expect_that!(state.submit(refused(number)), err(anything()));
    }
    expect_that!(state.result_of(refused(0).id), none());
    expect_that!(state.result_of(refused(1).id), some(anything()));
}

// An operator who is late sees what the others changed in the entries that the patch touches, and
// nothing else.
#[gtest]
fn a_stale_patch_is_shown_the_conflicting_changes() {
    let mut state = ConfigState::default();
    for number in 0..100 {
        let service = if number % 2 == 0 { "cluebook" } else { "judgebox" };
        state.submit(patch(u128::from(number) + 1, number, service)).unwrap();
    }
    let Err(PatchRefusal::StaleBase { present, conflicts, .. }) =
        state.submit(patch(500, 10, "judgebox"))
    else {
        panic!("it was written against an older number");
    };
    expect_that!(present, eq(ConfigNumber(100)));
    expect_that!(conflicts.len(), eq(CONFLICTS_LIMIT));
    expect_true!(conflicts.iter().all(|change| change.target() == ("service", "judgebox")));
}

// A caller's payment would run twice: its resend would be claimed in another group than the first.
#[gtest]
fn the_number_of_ledger_groups_is_set_by_the_first_patch_only() {
    let mut state = ConfigState::default();
    expect_that!(state.submit(with_settings(1, 0, 4)), ok(eq(&ConfigNumber(1))));
    expect_that!(state.submit(with_settings(2, 1, 4)), ok(eq(&ConfigNumber(2))));
    let refused = state.submit(with_settings(3, 2, 5));
    expect_that!(refused, err(pat!(PatchRefusal::Invalid { .. })));
    expect_that!(state.config().settings().ledger_groups, eq(4));
}

#[gtest]
fn a_snapshot_holds_the_whole_configuration() {
    let mut state = ConfigState::default();
    for number in 0..20 {
        state.submit(patch(u128::from(number) + 1, number, "cluebook")).unwrap();
    }
    let _ = state.submit(patch(99, 3, "cluebook"));
    let read = ConfigState::decode(&state.encode()).unwrap();
    expect_that!(read, eq(&state));
}
