//! The rules of the domain types, as their users rely on them.

use googletest::prelude::*;
use model::{
    announcement::{UpstreamAnnouncement, UpstreamState},
    call::CallClass,
    config::{ControlSettings, FleetConfig, ServiceRule},
    ledger::CallKey,
    names::ServiceName,
    numbers::{ConfigNumber, IncarnationNumber},
    patch::{ConfigChange, ConfigDelta, ConfigPatch, PatchFault, PatchId, PatchRefusal},
    route::RouteRule,
};
use uuid::Uuid;

fn service(name: &str) -> ConfigChange {
    ConfigChange::PutService { name: name.parse().unwrap(), rule: ServiceRule::default() }
}

fn route(name: &str, host: Option<&str>, path: &str, methods: &[&str]) -> ConfigChange {
    let rule = RouteRule {
        host: host.map(str::to_owned),
        path: path.to_owned(),
        methods: methods.iter().map(|&m| m.to_owned()).collect(),
        service: "cluebook".parse().unwrap(),
        class: CallClass::Idempotent,
        timeout_ms: 1_000,
    };
    ConfigChange::PutRoute { name: name.parse().unwrap(), rule }
}

fn patch(base: u64, changes: Vec<ConfigChange>) -> ConfigPatch {
    let id = PatchId(Uuid::from_u128(u128::from(base) + 1));
    ConfigPatch { id, base: ConfigNumber(base), author: "test".to_owned(), changes }
}

fn config(changes: Vec<ConfigChange>) -> FleetConfig {
    FleetConfig::default().apply(&patch(0, changes)).unwrap()
}

fn found(config: &FleetConfig, host: &str, path: &str, method: &str) -> Option<String> {
    config.find_route(host, path, method).map(|(name, _)| name.to_string())
}

#[gtest]
fn a_name_that_could_not_be_told_from_syntax_is_refused() {
    expect_that!("judge box".parse::<ServiceName>(), err(anything()));
    expect_that!("".parse::<ServiceName>(), err(anything()));
    expect_that!("x".repeat(65).parse::<ServiceName>(), err(anything()));
    expect_that!("judgebox".parse::<ServiceName>(), ok(anything()));
}

#[gtest]
fn the_longest_prefix_by_whole_segments_wins() {
    let config = config(vec![
        service("cluebook"),
        route("root", None, "/", &[]),
        route("clue", None, "/clue", &["GET"]),
        route("hosted", Some("hunt.example"), "/clue", &["GET"]),
    ]);
    expect_that!(found(&config, "other", "/clue/7", "GET"), some(eq("clue")));
    expect_that!(found(&config, "other", "/clues", "GET"), some(eq("root")));
    expect_that!(found(&config, "Hunt.Example:8080", "/clue", "GET"), some(eq("hosted")));
    expect_that!(found(&config, "other", "/clue/7", "POST"), some(eq("root")));
}

#[gtest]
fn a_patch_against_an_older_number_changes_nothing() {
    let first = config(vec![service("cluebook")]);
    let refusal = first.apply(&patch(0, vec![service("judgebox")])).unwrap_err();
    let present = ConfigNumber(1);
    expect_that!(
        refusal,
        eq(&PatchRefusal::StaleBase { base: ConfigNumber(0), present, conflicts: vec![] })
    );
}

#[gtest]
fn each_fault_of_a_patch_is_told() {
    let faults = FleetConfig::default().faults_of(&[
        route("one", None, "/clue", &["GET"]),
        route("two", None, "/clue", &["GET", "HEAD"]),
        route("bad", Some("A:1"), "clue/", &[]),
        ConfigChange::DropRoute { name: "none".parse().unwrap() },
    ]);
    expect_that!(faults, contains(pat!(PatchFault::UnknownService { .. })));
    expect_that!(faults, contains(pat!(PatchFault::RoutesAlike { .. })));
    expect_that!(faults, contains(pat!(PatchFault::BadPath { .. })));
    expect_that!(faults, contains(pat!(PatchFault::BadHost { .. })));
    expect_that!(faults, contains(pat!(PatchFault::NothingToDrop { .. })));
}

#[gtest]
fn a_service_that_a_route_names_stays() {
    let config = config(vec![service("cluebook"), route("clue", None, "/clue", &[])]);
    let name: ServiceName = "cluebook".parse().unwrap();
    let faults = config.faults_of(&[ConfigChange::DropService { name }]);
    expect_that!(faults, elements_are![pat!(PatchFault::ServiceInUse { .. })]);
}

// A check that says "valid" where the submit refuses sends its operator into a race for nothing.
#[gtest]
fn a_check_tells_that_the_number_of_ledger_groups_is_fixed() {
    let settings = ControlSettings { ledger_groups: 4, ..ControlSettings::default() };
    let change = [ConfigChange::PutSettings { settings }];
    expect_that!(FleetConfig::default().faults_of(&change), is_empty());
    let later = config(vec![service("cluebook")]).faults_of(&change);
    expect_that!(later, elements_are![pat!(PatchFault::OutOfRange { .. })]);
}

#[gtest]
fn a_difference_and_an_image_lead_to_the_same_digest() {
    let before = config(vec![service("cluebook")]);
    let changes = vec![route("clue", None, "/clue", &[]), service("judgebox")];
    let after = before.apply(&patch(1, changes.clone())).unwrap();
    let delta =
        ConfigDelta { from: before.number(), to: after.number(), changes, digest: after.digest() };
    expect_that!(before.advance(&delta), some(eq(&after)));
    expect_that!(FleetConfig::from_image(after.to_image()), eq(&after));
    let wrong = ConfigDelta { digest: 0, ..delta };
    expect_that!(before.advance(&wrong), none());
}

fn announcement(state: UpstreamState, incarnation: u64, sequence: u64) -> UpstreamAnnouncement {
    UpstreamAnnouncement {
        service: "cluebook".parse().unwrap(),
        upstream: "cluebook-1".parse().unwrap(),
        address: "127.0.0.1:9".parse().unwrap(),
        domain: "pettah".parse().unwrap(),
        slots: 4,
        connections: 400,
        state,
        incarnation: IncarnationNumber(incarnation),
        sequence,
        lease_ms: 2_000,
        age_ms: 0,
    }
}

// FAILURES.md row 15.
// The caller would see its call placed on an upstream that is about to end.
// An upstream renews, then says that it is leaving; the renewal is delayed and comes last, or an
// entry that heard only the renewal spreads it again. Leaving is final within an incarnation.
#[gtest]
fn an_old_announcement_cannot_revive_a_leaving_upstream() {
    let leaving = announcement(UpstreamState::Leaving, 1, 5);
    expect_false!(announcement(UpstreamState::Serving, 1, 4).supersedes(&leaving));
    expect_false!(announcement(UpstreamState::Serving, 1, 9).supersedes(&leaving));
    expect_true!(leaving.supersedes(&announcement(UpstreamState::Serving, 1, 9)));
    expect_true!(announcement(UpstreamState::Serving, 2, 0).supersedes(&leaving));
}

#[gtest]
fn a_key_tells_when_it_was_made() {
    let key = CallKey::from_parts(1_700_000_000_123, [7; 10]);
    expect_that!(key.millis(), eq(1_700_000_000_123));
    expect_that!(key.to_string().parse::<CallKey>().unwrap(), eq(key));
    expect_that!(Uuid::from_u128(5).to_string().parse::<CallKey>(), err(anything()));
}
