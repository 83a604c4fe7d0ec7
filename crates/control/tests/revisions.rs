//! Revisions of the configuration, part by part.

use control::state::config::ConfigState;
use googletest::prelude::*;
use model::{
    call::CallClass,
    config::{ConfigImage, ControlSettings, ServiceRule},
    numbers::ConfigNumber,
    patch::{ConfigChange, ConfigPatch, PatchId},
    replacement::ConfigReplacement,
    revision::{RevisionPart, RevisionStep, revise},
    route::RouteRule,
    traffic::RouteTraffic,
};

fn replacement(number: u64, routes: usize) -> ConfigReplacement {
    let route = |place: usize| {
        let rule = RouteRule {
            host: Some(format!("host-{}.example", place % 7)),
            path: format!("/clue/{place}/of/{number}"),
            methods: Vec::new(),
            service: "cluebook".parse().unwrap(),
            class: CallClass::Unprotected,
            timeout_ms: 3_000,
            public: false,
            traffic: RouteTraffic::default(),
        };
        (format!("route-{place:05}").parse().unwrap(), rule)
    };
    let image = ConfigImage {
        number: ConfigNumber(number),
        services: vec![("cluebook".parse().unwrap(), ServiceRule::default())],
        routes: (0..routes).map(route).collect(),
        customers: Vec::new(),
        settings: ControlSettings::default(),
    };
    let source = format!("{:?}", image.routes);
    ConfigReplacement { image, source }
}

fn parts(state: &ConfigState, next: &ConfigReplacement) -> Vec<RevisionPart> {
    let successor = state.config().succeeded_by(&next.image).unwrap().unwrap();
    let source = state.source().cloned().unwrap_or_default().succeeded_by(&next.source);
    revise((state.config().number(), state.source()), &successor, &source).unwrap()
}

fn take_all(state: &mut ConfigState, parts: &[RevisionPart]) -> Vec<RevisionStep> {
    parts.iter().map(|part| state.revise(part.clone())).collect()
}

fn put_service(base: u64) -> ConfigPatch {
    let change =
        ConfigChange::PutService { name: "other".parse().unwrap(), rule: ServiceRule::default() };
    ConfigPatch {
        id: PatchId(uuid::Uuid::from_u128(9)),
        base: ConfigNumber(base),
        author: "test".to_owned(),
        changes: vec![change],
    }
}

fn holds(state: &ConfigState, next: &ConfigReplacement) -> bool {
    let text = state.source().map(|source| source.to_text().unwrap());
    state.config().to_image() == next.image && text.as_deref() == Some(&next.source)
}

// A part of a configuration is in force before the others have come, or none ever is.
#[gtest]
fn a_revision_is_in_force_with_its_last_part() {
    let mut state = ConfigState::default();
    for (number, routes) in [(3, 6_000), (4, 6_000), (9, 5_000)] {
        let next = replacement(number, routes);
        let parts = parts(&state, &next);
        let before = state.config().clone();
        let (last, first) = parts.split_last().unwrap();
        for (part, following) in first.iter().zip(1..) {
            expect_that!(state.revise(part.clone()), eq(RevisionStep::Next(following)));
            expect_true!(*state.config() == before);
        }
        expect_that!(state.revise(last.clone()), eq(RevisionStep::Taken(ConfigNumber(number))));
        expect_true!(holds(&state, &next));
    }
}

// Parts that are sent twice, late, in another order or by two VMs at once make another configuration.
#[gtest]
fn parts_sent_again_change_nothing() {
    let next = replacement(3, 12_000);
    let mut state = ConfigState::default();
    let parts = parts(&state, &next);
    let (two, count) = (parts[1].clone(), parts.len() as u32);
    expect_that!(state.revise(two.clone()), eq(RevisionStep::Next(0)));
    expect_that!(state.revise(parts[0].clone()), eq(RevisionStep::Next(1)));
    expect_that!(state.revise(parts[0].clone()), eq(RevisionStep::Next(1)));
    expect_that!(state.revise(two.clone()), eq(RevisionStep::Next(2)));
    expect_that!(state.revise(parts[0].clone()), eq(RevisionStep::Next(2)));
    let rest = take_all(&mut state, &parts[2..]);
    expect_that!(rest.last(), some(eq(&RevisionStep::Taken(ConfigNumber(3)))));
    expect_that!(count, gt(2));
    expect_true!(holds(&state, &next));
    expect_that!(state.revise(two), eq(RevisionStep::Kept(ConfigNumber(3))));
    expect_true!(holds(&state, &next));
}

// Of two operators at once the later one's parts go on against a configuration that is no longer there.
#[gtest]
fn a_revision_against_another_configuration_is_made_anew() {
    let mut state = ConfigState::default();
    take_all(&mut state, &parts(&ConfigState::default(), &replacement(3, 10)));
    let (one, other) = (replacement(4, 6_000), replacement(5, 6_000));
    let (one_parts, other_parts) = (parts(&state, &one), parts(&state, &other));
    state.revise(one_parts[0].clone());
    state.revise(other_parts[0].clone());
    take_all(&mut state, &one_parts[1..]);
    expect_true!(holds(&state, &one));
    expect_that!(state.revise(other_parts[1].clone()), eq(RevisionStep::Stale(ConfigNumber(4))));
    let anew = parts(&state, &other);
    take_all(&mut state, &anew);
    expect_true!(holds(&state, &other));
    // A patch comes between two parts.
    let last = replacement(9, 6_000);
    let staged = parts(&state, &last);
    state.revise(staged[0].clone());
    state.submit(put_service(5)).unwrap();
    expect_that!(state.revise(staged[1].clone()), eq(RevisionStep::Stale(ConfigNumber(6))));
    take_all(&mut state.clone(), &parts(&state, &last));
    let anew = parts(&state, &last);
    take_all(&mut state, &anew);
    expect_true!(holds(&state, &last));
}

// A replica that starts from a snapshot lacks the parts that came before, and holds another configuration than the others.
#[gtest]
fn a_snapshot_holds_the_parts_that_have_come() {
    let mut state = ConfigState::default();
    take_all(&mut state, &parts(&ConfigState::default(), &replacement(3, 500)));
    let next = replacement(4, 6_000);
    let parts = parts(&state, &next);
    state.revise(parts[0].clone());
    let mut read = ConfigState::decode(&state.encode()).unwrap();
    expect_true!(read == state);
    for both in [&mut state, &mut read] {
        let steps = take_all(both, &parts[1..]);
        expect_that!(steps.last(), some(eq(&RevisionStep::Taken(ConfigNumber(4)))));
        expect_true!(holds(both, &next));
    }
}

// Operators that give up in the middle fill the memory of each replica.
#[gtest]
fn few_revisions_are_staged_at_once() {
    let mut state = ConfigState::default();
    let begun: Vec<_> =
        (3..15).map(|number| parts(&ConfigState::default(), &replacement(number, 8_000))).collect();
    for parts in &begun {
        expect_that!(state.revise(parts[0].clone()), eq(RevisionStep::Next(1)));
    }
    let stored = state.encode().len();
    let one: usize = begun[0].first().map_or(0, RevisionPart::size);
    expect_that!(stored, lt(8 * one));
    // The one that gave way begins anew.
    expect_that!(state.revise(begun[0][1].clone()), eq(RevisionStep::Next(0)));
    take_all(&mut state, &begun[0]);
    expect_true!(holds(&state, &replacement(3, 8_000)));
}

// Those who follow by differences are given a difference as large as the configuration.
#[gtest]
fn a_revision_of_many_changes_is_not_listed() {
    let mut state = ConfigState::default();
    take_all(&mut state, &parts(&ConfigState::default(), &replacement(3, 10)));
    let few = parts(&state, &replacement(4, 20));
    take_all(&mut state, &few);
    expect_that!(state.deltas_since(ConfigNumber(3), 10), some(len(eq(1))));
    let many = parts(&state, &replacement(5, 20_000));
    take_all(&mut state, &many);
    expect_that!(state.deltas_since(ConfigNumber(4), 10), none());
    let few = parts(&state, &{
        let mut next = replacement(5, 20_000);
        next.image.number = ConfigNumber(6);
        next.image.routes.pop();
        next
    });
    take_all(&mut state, &few);
    expect_that!(state.deltas_since(ConfigNumber(5), 10), some(len(eq(1))));
}
