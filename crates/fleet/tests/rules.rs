//! Slots, epochs, ends, leases and the configuration: rules with passed-in time.

mod support;

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use decide::placer::AskId;
use fleet::{
    asks::{AskTable, CANCELLED_KEPT, CancelledAsk},
    directory::{LeaseKeeper, UpstreamDirectory},
    epoch::{EpochTable, PlacerClaim},
    fact::UpstreamFact,
    feed::{ConfigAnswer, ConfigFeed, FeedStep, READY_WAIT},
    grants::{GrantBook, GrantReception},
    leader::LeaderHints,
    settles::{BATCH_LIMIT, GrantEnd, SettleOutbox},
    view::{FleetView, ViewMember},
};
use googletest::prelude::*;
use model::{
    announcement::UpstreamState,
    call::OutcomeClass,
    config::{FleetConfig, ServiceRule},
    numbers::{CallNumber, ConfigNumber, GroupNumber, PlacerEpoch},
    patch::{ConfigChange, ConfigDelta, ConfigPatch, PatchId},
};
use support::{announcement, ask, at, grant, member, record, service, settle};

fn claim(name: &str, epoch: u64) -> PlacerClaim {
    PlacerClaim { epoch: PlacerEpoch(epoch), member: member(name) }
}

fn ask_id(call: u64) -> AskId {
    AskId { entry: member("vm-1"), call: CallNumber(call), attempt: 1 }
}

#[gtest]
fn row_6_a_grant_after_the_entry_gave_up_is_refused() {
    // The caller was told "not run" because its entry gave up waiting for a slot. Then the grant
    // comes. If the entry took it the call would run after all.
    let mut book = GrantBook::default();
    book.asked(&ask(1, 1_000), 0);
    book.gave_up(CallNumber(1), 1);
    let late = grant("vm-0", 1, 1);
    expect_that!(book.granted(&ask(1, 1_000), 0, &late, at(0)), eq(GrantReception::Late));
    expect_that!(book.begin(&late.id), eq(false));
    expect_that!(book.is_empty(), eq(true));
}

#[gtest]
fn row_6_a_cancelled_ask_frees_its_slot_in_each_order() {
    // The cancellation meets the ask waiting, granted, or still on its way. In each case no grant
    // stays behind that nobody holds.
    let mut table = AskTable::default();
    table.begin(&ask_id(1), &ask(1, 1_000), "waits").expect("it is new");
    expect_that!(table.cancel(&ask_id(1), at(0)), eq(&CancelledAsk::Waiting("waits")));

    table.begin(&ask_id(2), &ask(2, 1_000), "granted").expect("it is new");
    let given = grant("vm-0", 1, 7);
    expect_that!(table.grant(&ask_id(2), &given), some(eq("granted")));
    let CancelledAsk::Granted(ended) = table.cancel(&ask_id(2), at(0)) else {
        return fail!("the grant must be ended").unwrap_or_default();
    };
    expect_that!(ended.id, eq(&given.id));
    expect_that!(ended.outcome, eq(OutcomeClass::Unused));

    expect_that!(table.cancel(&ask_id(3), at(0)), eq(&CancelledAsk::Nothing));
    expect_that!(table.begin(&ask_id(3), &ask(3, 1_000), "late"), err(eq("late")));
    table.tick(at(0) + CANCELLED_KEPT);
    expect_that!(table.begin(&ask_id(3), &ask(3, 1_000), "new life"), ok(anything()));
}

#[gtest]
fn an_ask_that_comes_twice_is_granted_once() {
    let mut table = AskTable::default();
    table.begin(&ask_id(1), &ask(1, 1_000), 1).expect("it is new");
    expect_that!(table.begin(&ask_id(1), &ask(1, 1_000), 2), err(eq(2)));
    table.grant(&ask_id(1), &grant("vm-0", 1, 1));
    expect_that!(table.begin(&ask_id(1), &ask(1, 1_000), 3), err(eq(3)));
}

#[gtest]
fn row_17_a_paused_placer_that_wakes_is_not_obeyed() {
    // The placer is paused, another takes its duty with a greater epoch, and the old one wakes and
    // sends the grants it had decided on. Obeying both would fill each slot twice.
    let mut book = GrantBook::default();
    let (first, second) = (ask(1, 1_000), ask(2, 1_000));
    book.asked(&first, 0);
    expect_that!(book.granted(&first, 0, &grant("vm-0", 3, 1), at(0)), eq(GrantReception::Held));
    expect_that!(book.recount(&service("cluebook"), 0, &claim("vm-1", 4), at(0)), some(len(eq(1))));
    book.asked(&second, 0);
    let stale = grant("vm-0", 3, 2);
    expect_that!(book.granted(&second, 0, &stale, at(1)), eq(GrantReception::OldEpoch));
    expect_that!(book.recount(&service("cluebook"), 0, &claim("vm-0", 3), at(1)), none());
}

#[gtest]
fn epochs_are_ordered_by_number_and_then_by_name() {
    let mut table = EpochTable::default();
    expect_that!(table.obey(&service("cluebook"), 0, &claim("vm-1", 2)), eq(true));
    expect_that!(table.obey(&service("cluebook"), 0, &claim("vm-0", 2)), eq(false));
    expect_that!(table.obey(&service("cluebook"), 0, &claim("vm-2", 2)), eq(true));
    expect_that!(table.obey(&service("cluebook"), 0, &claim("vm-0", 3)), eq(true));
    expect_that!(table.epoch(&service("cluebook"), 0), eq(PlacerEpoch(3)));
}

#[gtest]
fn a_revoked_grant_does_not_begin_and_a_begun_one_is_not_revoked() {
    let mut book = GrantBook::default();
    for call in [1, 2] {
        book.asked(&ask(call, 1_000), 0);
        book.granted(&ask(call, 1_000), 0, &grant("vm-0", 1, call), at(0));
    }
    expect_that!(book.revoke(&grant("vm-0", 1, 1).id), eq(true));
    expect_that!(book.begin(&grant("vm-0", 1, 1).id), eq(false));
    expect_that!(book.begin(&grant("vm-0", 1, 2).id), eq(true));
    expect_that!(book.revoke(&grant("vm-0", 1, 2).id), eq(false));
}

#[gtest]
fn a_grant_is_told_to_a_new_placer_until_its_call_ends() {
    // A call outruns its deadline and still holds its slot. A new placer that did not count it would
    // give the slot away a second time.
    let mut book = GrantBook::default();
    book.asked(&ask(1, 100), 0);
    let given = grant("vm-0", 1, 1);
    book.granted(&ask(1, 100), 0, &given, at(0));
    let held = book.recount(&service("cluebook"), 0, &claim("vm-1", 2), at(5_000));
    expect_that!(held.as_deref(), some(len(eq(1))));
    expect_that!(held.is_some_and(|held| held[0].left_ms > 0), eq(true));
    book.ended(&given.id);
    let after = book.recount(&service("cluebook"), 0, &claim("vm-1", 2), at(5_001));
    expect_that!(after, some(is_empty()));
}

#[gtest]
fn ends_are_sent_again_until_they_are_taken() {
    // The message that ends a grant is lost with its connection. If it were not sent again, the slot
    // would stay taken for good.
    let mut outbox = SettleOutbox::default();
    let placer = member("vm-0");
    let end = |number| GrantEnd::Settle(settle(&grant("vm-0", 1, number), OutcomeClass::Success));
    expect_that!(outbox.push(&placer, end(1)), eq(true));
    expect_that!(outbox.batch(&placer), some(eq(&vec![end(1)])));
    expect_that!(outbox.push(&placer, end(2)), eq(false));
    expect_that!(outbox.batch(&placer), some(eq(&vec![end(1)])));
    outbox.taken(&placer);
    expect_that!(outbox.batch(&placer), some(eq(&vec![end(2)])));
    outbox.taken(&placer);
    expect_that!(outbox.batch(&placer), none());
    expect_that!(outbox.push(&placer, end(3)), eq(true));
}

#[gtest]
fn ends_go_in_few_messages() {
    let mut outbox = SettleOutbox::default();
    let placer = member("vm-0");
    for number in 0..1_000 {
        let settle = settle(&grant("vm-0", 1, number), OutcomeClass::Success);
        outbox.push(&placer, GrantEnd::Settle(settle));
    }
    let mut messages = 0;
    while let Some(batch) = outbox.batch(&placer) {
        expect_that!(batch.len(), le(BATCH_LIMIT));
        outbox.taken(&placer);
        messages += 1;
    }
    expect_that!(messages, eq(2));
}

#[gtest]
fn a_lease_runs_out_at_its_keeper_and_a_late_renewal_keeps_nothing() {
    let mut keeper = LeaseKeeper::default();
    let first = announcement("cluebook-0", UpstreamState::Serving, 5);
    keeper.renew(&first, at(0));
    keeper.renew(&announcement("cluebook-0", UpstreamState::Serving, 4), at(3_000));
    expect_that!(keeper.expire(at(3_999)), is_empty());
    let ended = keeper.expire(at(4_000));
    expect_that!(ended, elements_are![eq(&UpstreamFact { announcement: first, ended: true })]);
}

#[gtest]
fn a_new_keeper_gives_each_upstream_a_whole_lease() {
    // The keeper is lost. Its heir has heard no renewal yet and must end nobody for that.
    let mut keeper = LeaseKeeper::default();
    keeper.adopt(&announcement("cluebook-0", UpstreamState::Serving, 5), at(10_000));
    expect_that!(keeper.expire(at(13_999)), is_empty());
    expect_that!(keeper.expire(at(14_000)), len(eq(1)));
}

#[gtest]
fn a_mere_renewal_is_no_change() {
    let mut directory = UpstreamDirectory::default();
    let fact = |sequence, ended| UpstreamFact {
        announcement: announcement("cluebook-0", UpstreamState::Serving, sequence),
        ended,
    };
    directory.learn(fact(1, false), at(0));
    let renewal = announcement("cluebook-0", UpstreamState::Serving, 2);
    expect_that!(directory.is_change(&renewal), eq(false));
    let leaving = announcement("cluebook-0", UpstreamState::Leaving, 2);
    expect_that!(directory.is_change(&leaving), eq(true));
    directory.learn(fact(1, true), at(1));
    expect_that!(directory.is_change(&renewal), eq(true));
}

fn configs(count: u64) -> (Vec<FleetConfig>, Vec<ConfigDelta>) {
    let (mut all, mut deltas) = (vec![FleetConfig::default()], Vec::new());
    for number in 0..count {
        let rule =
            ServiceRule { floor_slots: u32::try_from(number).unwrap_or(0), ..Default::default() };
        let changes = vec![ConfigChange::PutService { name: service("cluebook"), rule }];
        let patch = ConfigPatch {
            id: PatchId(uuid::Uuid::from_u128(number.into())),
            base: ConfigNumber(number),
            author: "test".to_owned(),
            changes: changes.clone(),
        };
        let next = all[all.len() - 1].apply(&patch).expect("it validates");
        let (from, to) = (ConfigNumber(number), next.number());
        deltas.push(ConfigDelta { from, to, changes, digest: next.digest() });
        all.push(next);
    }
    (all, deltas)
}

#[gtest]
fn a_configuration_goes_on_as_differences_and_never_back() {
    let (all, deltas) = configs(5);
    let mut ahead = ConfigFeed::open(at(0));
    expect_that!(ahead.put(all[5].clone(), deltas), eq(true));
    let mut behind = ConfigFeed::open(at(0));
    behind.put(all[2].clone(), Vec::new());
    let answer = ahead.answer(ConfigNumber(2), false);
    expect_that!(matches!(&answer, ConfigAnswer::Deltas { deltas } if deltas.len() == 3), eq(true));
    expect_that!(behind.take(answer), eq(&FeedStep::Advance(all[5].clone())));
    let old = ConfigAnswer::Image { image: all[3].to_image() };
    expect_that!(behind.take(old), eq(&FeedStep::Stay));
    expect_that!(behind.put(all[4].clone(), Vec::new()), eq(false));
    expect_that!(behind.present().number(), eq(ConfigNumber(5)));
}

#[gtest]
fn other_content_under_one_number_is_repaired_by_the_whole() {
    let (all, mut deltas) = configs(2);
    deltas[1].digest ^= 1;
    let mut feed = ConfigFeed::open(at(0));
    feed.put(all[1].clone(), Vec::new());
    let answer = ConfigAnswer::Deltas { deltas: deltas.split_off(1) };
    expect_that!(feed.take(answer), eq(&FeedStep::AskImage));
    let image = ConfigAnswer::Image { image: all[2].to_image() };
    expect_that!(feed.take(image), eq(&FeedStep::Advance(all[2].clone())));
}

#[gtest]
fn a_restarted_entry_is_not_ready_with_an_old_number() {
    // An entry without a disk restarts and first reaches the one control VM that was cut off at
    // number 2. Its peers hold 4. Ready with 2, it would send calls by routes that are gone.
    let (all, _) = configs(4);
    let peer = |port| SocketAddr::from(([127, 0, 0, 1], port));
    let mut feed = ConfigFeed::open(at(0));
    feed.hear(peer(1), ConfigNumber(2));
    feed.put(all[2].clone(), Vec::new());
    expect_that!(feed.is_ready(5, at(100)), eq(false));
    feed.hear(peer(2), ConfigNumber(4));
    feed.hear(peer(3), ConfigNumber(4));
    expect_that!(feed.is_ready(5, at(200)), eq(false));
    feed.put(all[4].clone(), Vec::new());
    expect_that!(feed.is_ready(5, at(300)), eq(true));
}

#[gtest]
fn an_entry_with_few_peers_in_reach_starts_after_a_bounded_wait() {
    let (all, _) = configs(1);
    let mut feed = ConfigFeed::open(at(0));
    expect_that!(feed.is_ready(5, at(0) + READY_WAIT), eq(false));
    feed.put(all[1].clone(), Vec::new());
    expect_that!(feed.is_ready(5, at(10)), eq(false));
    expect_that!(feed.is_ready(5, at(0) + READY_WAIT), eq(true));
}

#[gtest]
fn the_leader_is_asked_first_and_then_each_replica_once() {
    let replicas = [member("vm-0"), member("vm-1"), member("vm-2")];
    let mut hints = LeaderHints::default();
    hints.learn(GroupNumber(1), Some(member("vm-2")));
    let mut tried = BTreeSet::new();
    let mut order = Vec::new();
    while let Some(next) = hints.pick(GroupNumber(1), &replicas, &tried) {
        tried.insert(next.clone());
        order.push(next);
    }
    expect_that!(
        order,
        elements_are![eq(&member("vm-2")), eq(&member("vm-0")), eq(&member("vm-1"))]
    );
    expect_that!(
        hints.pick(GroupNumber(0), &replicas, &BTreeSet::new()),
        some(eq(&member("vm-0")))
    );
}

fn view_of(count: u16, change: impl Fn(u16, &mut ViewMember)) -> FleetView {
    let members = (0..count).map(|number| {
        let record = record(number);
        let mut seen = ViewMember {
            address: record.address,
            incarnation: record.incarnation,
            reachable: true,
            stopping: false,
            replica: false,
        };
        change(number, &mut seen);
        (record.member, seen)
    });
    FleetView::new(members.collect())
}

#[gtest]
fn row_24_a_stopping_vm_hands_its_duties_over_and_only_those() {
    // A planned stop of any VM: the duties that it holds move, all others stay where they are, and
    // each VM that has heard of the stop names the same heir.
    let before = view_of(40, |_, _| ());
    let after = view_of(40, |number, seen| seen.stopping = number == 7);
    let mut moved = 0;
    for number in 0..400 {
        let service = service(&format!("service-{number}"));
        let (old, new) = (before.placer_of(&service, 0), after.placer_of(&service, 0));
        let (old, new) = (old.map(|one| &one.member), new.map(|one| &one.member));
        if old == Some(&record(7).member) {
            moved += 1;
            expect_that!(new, not(eq(old)));
        } else {
            expect_that!(new, eq(old));
        }
    }
    expect_that!(moved, all![gt(0), lt(40)]);
}

#[gtest]
fn row_16_a_relay_is_neither_of_the_two_ends() {
    let view = view_of(3, |_, _| ());
    let (own, placer) = (record(0).member, record(1).member);
    for drawn in 0..10 {
        let relay = view.relay(&own, &placer, drawn).map(|one| &one.member);
        expect_that!(relay, some(eq(&record(2).member)));
    }
    expect_that!(view_of(2, |_, _| ()).relay(&own, &placer, 0), none());
}

#[gtest]
fn the_time_left_is_what_travels() {
    let mut book = GrantBook::default();
    let asked = ask(1, 1_000);
    book.asked(&asked, 0);
    book.granted(&asked, 0, &grant("vm-0", 1, 1), at(0));
    let held = book.held(&service("cluebook"), at(0) + Duration::from_millis(400));
    expect_that!(held.first().map(|held| held.left_ms), some(eq(600)));
}
