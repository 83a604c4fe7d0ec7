//! What is spread, and who counts as reachable: rules with passed-in time and messages by hand.

mod support;
#[path = "support/values.rs"]
mod values;

use std::time::Duration;

use decide::floor::FloorGuard;
use fleet::{
    epoch::PlacerClaim,
    fact::{
        FactKey, FleetFact, MemberRecord, MemberVerdict, NoticeSubject, PlacerDuty, PlacerNotice,
        UpstreamFact,
    },
    gossip::GossipState,
    membership::{FORGET_AFTER, MemberRefutal, MemberVerdicts, SUSPECT_TIME},
    ring::{MemberRing, WATCHED},
    rumour::{RumourQueue, UNNEEDED_LIMIT},
    store::{DROPPED_KEPT, ENDED_KEPT, FactReception, FactStore, SETTLED_AFTER},
};
use googletest::prelude::*;
use model::{
    announcement::UpstreamState,
    numbers::{IncarnationNumber, PlacerEpoch},
    slot::RequestFingerprint,
};
use proptest::prelude::*;
use support::{announcement, at, member, record, service, upstream, upstream_fact};
use values::ValueFleet;

fn records(count: u16) -> Vec<MemberRecord> {
    (0..count).map(record).collect()
}

fn key(name: &str) -> FactKey {
    FactKey::Upstream(service("cluebook"), upstream(name))
}

#[gtest]
fn row_15_an_old_announcement_that_overtakes_leaving_changes_nothing() {
    // "Leaving" and an earlier renewal travel by different VMs, and the renewal comes last. If it
    // were believed, the upstream would get new work until it ends.
    let mut store = FactStore::default();
    store.learn(upstream_fact("cluebook-0", UpstreamState::Leaving, 7), at(0));
    let late = store.learn(upstream_fact("cluebook-0", UpstreamState::Serving, 6), at(1));
    expect_that!(late, eq(FactReception::Old));
    let later = store.learn(upstream_fact("cluebook-0", UpstreamState::Serving, 8), at(2));
    expect_that!(later, eq(FactReception::Old));
    let mut restarted = announcement("cluebook-0", UpstreamState::Serving, 1);
    restarted.incarnation = restarted.incarnation.next();
    let restarted = FleetFact::Upstream(UpstreamFact { announcement: restarted, ended: false });
    expect_that!(store.learn(restarted, at(3)), eq(FactReception::News));
}

#[gtest]
fn row_15_an_upstream_that_ended_is_not_brought_back_by_a_late_repair() {
    // A lease ran out, the end was spread and forgotten. A VM that was cut off still holds the
    // upstream and offers it in a repair.
    let mut store = FactStore::default();
    let ended = UpstreamFact {
        announcement: announcement("cluebook-0", UpstreamState::Serving, 5),
        ended: true,
    };
    store.learn(FleetFact::Upstream(ended), at(0));
    expect_that!(store.expire(at(0) + ENDED_KEPT), elements_are![eq(&key("cluebook-0"))]);
    let old = upstream_fact("cluebook-0", UpstreamState::Serving, 5);
    expect_that!(store.learn(old.clone(), at(61_000)), eq(FactReception::Old));
    store.expire(at(0) + ENDED_KEPT + DROPPED_KEPT);
    let renewed = upstream_fact("cluebook-0", UpstreamState::Serving, 6);
    expect_that!(store.learn(renewed, at(200_000)), eq(FactReception::News));
}

#[gtest]
fn row_16_one_bad_path_takes_nobody_out() {
    // vm-0 does not hear vm-1, all others do. Its verdict is spread; the other watchers contradict,
    // and vm-1 keeps its duties on each VM.
    let mut fleet = ValueFleet::open(&records(8));
    fleet.step();
    let watched = fleet.nodes[0].ring().watched_by(&member("vm-0000"));
    let deaf = fleet.place(&watched[0]).expect("it is one of them");
    fleet.lost = Box::new(move |from, to| from == deaf && to == 0);
    for _ in 0..500 {
        fleet.step();
        let all = fleet.nodes.iter().all(|node| node.is_reachable(&watched[0]));
        expect_that!(all, eq(true));
    }
}

#[gtest]
fn row_16_a_vm_that_sends_but_does_not_hear_counts_as_lost() {
    // All hear vm-3, and it hears nobody. By "A hears B" it would stay a placer that no ask reaches.
    // No echo comes back from it, so its watchers agree that it is lost.
    let mut fleet = ValueFleet::open(&records(8));
    fleet.lost = Box::new(|_, to| to == 3);
    let deaf = member("vm-0003");
    let gone = |node: &GossipState| node.own().member == deaf || !node.is_reachable(&deaf);
    let found = fleet.run_until(Duration::from_secs(5), gone);
    expect_that!(found, some(le(Duration::from_secs(3))));
}

#[gtest]
fn a_lost_vm_is_found_forgotten_and_taken_back_when_it_returns() {
    let mut fleet = ValueFleet::open(&records(12));
    fleet.dead[5] = true;
    let lost = member("vm-0005");
    let found = fleet.run_until(Duration::from_secs(5), |node| !node.is_reachable(&lost));
    expect_that!(found, some(le(Duration::from_secs(3))));
    let forgotten = |node: &GossipState| node.record(&lost).is_none();
    let limit = FORGET_AFTER + Duration::from_secs(5);
    expect_that!(fleet.run_until(limit, forgotten), some(anything()));
    fleet.dead[5] = false;
    let back = fleet.run_until(Duration::from_secs(30), |node| node.is_reachable(&lost));
    expect_that!(back, some(anything()));
}

#[gtest]
fn two_halves_that_lost_each_other_find_each_other_again() {
    // For ten seconds no message crosses between the halves of the fleet. Each takes the other for
    // lost and goes on alone. Then both must become one again without anybody's help.
    let mut fleet = ValueFleet::open(&records(10));
    fleet.lost = Box::new(|from, to| (from < 5) != (to < 5));
    fleet.run(Duration::from_secs(10));
    expect_that!(fleet.nodes[0].ring().len(), eq(5));
    fleet.lost = Box::new(|_, _| false);
    let whole = fleet.run_until(Duration::from_secs(120), |node| node.ring().len() == 10);
    expect_that!(whole, some(anything()));
}

#[gtest]
fn a_paused_vm_calls_nobody_lost_when_it_wakes() {
    let mut fleet = ValueFleet::open(&records(6));
    fleet.run(Duration::from_secs(2));
    fleet.now = fleet.now + Duration::from_secs(60);
    for _ in 0..100 {
        fleet.step();
        expect_that!(fleet.nodes.iter().all(|node| node.ring().len() == 6), eq(true));
    }
}

fn verdict(subject: &MemberRecord, by: &str, sequence: u64, silent: bool) -> MemberVerdict {
    MemberVerdict {
        subject: subject.member.clone(),
        incarnation: subject.incarnation,
        version: subject.version,
        by: member(by),
        sequence,
        silent,
    }
}

#[gtest]
fn silent_verdicts_must_outnumber_the_echoes_and_have_waited() {
    let mut verdicts = MemberVerdicts::default();
    let subject = record(1);
    verdicts.learn(verdict(&subject, "vm-a", 1, true), at(0));
    expect_that!(verdicts.is_lost(&subject, |_| true, at(0)), eq(false));
    expect_that!(verdicts.is_lost(&subject, |_| true, at(0) + SUSPECT_TIME), eq(true));
    verdicts.learn(verdict(&subject, "vm-b", 1, false), at(100));
    expect_that!(verdicts.is_lost(&subject, |_| true, at(0) + SUSPECT_TIME), eq(false));
    let later = MemberRecord { version: 2, ..subject };
    expect_that!(verdicts.is_lost(&later, |_| true, at(60_000)), eq(false));
}

#[gtest]
fn a_vm_that_is_called_lost_contradicts_less_and_less_often() {
    let mut refutal = MemberRefutal::default();
    let times = (0..120_u64).filter(|second| refutal.may(at(second * 1_000))).count();
    expect_that!(times, all![ge(4), le(8)]);
}

#[gtest]
fn each_vm_is_watched_by_three_others() {
    let all = records(50);
    let ring = MemberRing::new(all.iter().map(|record| &record.member));
    for record in &all {
        let watchers =
            all.iter().filter(|other| ring.watches(&other.member, &record.member)).count();
        expect_that!(watchers, eq(WATCHED));
    }
}

#[gtest]
fn a_rumour_ends_when_peers_know_it() {
    let mut rumours = RumourQueue::default();
    rumours.start(key("cluebook-0"));
    for _ in 0..UNNEEDED_LIMIT {
        expect_that!(rumours.pick(10, 5_700), len(eq(1)));
        rumours.unneeded(&key("cluebook-0"));
    }
    expect_that!(rumours.is_empty(), eq(true));
    rumours.start(key("cluebook-1"));
    let told = (0..1_000).filter(|_| !rumours.pick(10, 5_700).is_empty()).count();
    expect_that!(told, le(3 * 13));
}

#[gtest]
fn whom_rumours_missed_learns_by_repair() {
    // vm-2 hears no rumour for a while: a third of the facts never reach it that way. Repair sends
    // it just those.
    let mut fleet = ValueFleet::open(&records(4));
    for number in 0..300 {
        let fact = upstream_fact(&format!("cluebook-{number}"), UpstreamState::Serving, 1);
        for place in 0..4 {
            if place != 2 || number % 3 > 0 {
                fleet.nodes[place].learn(fact.clone(), at(0));
                fleet.nodes[place].hush();
            }
        }
    }
    fleet.now = fleet.now + SETTLED_AFTER;
    let whole = fleet.run_until(Duration::from_secs(60), |node| node.store().len() == 304);
    expect_that!(whole, some(anything()));
}

#[gtest]
fn a_restarted_vm_outlives_its_earlier_life() {
    // The VM's clock was set back, so its new life has a lesser number. Nobody would believe it.
    let mut fleet = ValueFleet::open(&records(4));
    let before = MemberRecord { incarnation: IncarnationNumber(9), ..record(1) };
    for place in [0, 2, 3] {
        fleet.nodes[place].learn(FleetFact::Member(before.clone()), at(0));
    }
    let live = |node: &GossipState| {
        node.record(&member("vm-0001")).is_some_and(|record| record.incarnation.0 > 9)
    };
    expect_that!(fleet.run_until(Duration::from_secs(30), live), some(anything()));
}

fn duty(epoch: u64, name: &str) -> FleetFact {
    FleetFact::Duty(PlacerDuty {
        service: service("cluebook"),
        shard: 0,
        epoch: PlacerEpoch(epoch),
        member: member(name),
    })
}

fn notice(epoch: u64, sequence: u64, holds: bool) -> FleetFact {
    FleetFact::Notice(PlacerNotice {
        subject: NoticeSubject::Poison {
            service: service("cluebook"),
            fingerprint: RequestFingerprint(7),
        },
        epoch: PlacerEpoch(epoch),
        sequence,
        holds,
        left_ms: 60_000,
    })
}

#[gtest]
fn a_notice_ends_by_itself_and_travels_with_the_time_left() {
    let mut store = FactStore::default();
    store.learn(notice(1, 1, true), at(0));
    let key = notice(1, 1, true).key();
    let sent = store.to_send(&key, at(20_000));
    let left = sent.map(|fact| matches!(fact, FleetFact::Notice(n) if n.left_ms == 40_000));
    expect_that!(left, some(eq(true)));
    store.expire(at(60_000));
    expect_that!(store.get(&key), none());
}

#[gtest]
fn row_17_a_paused_placer_that_wakes_ejects_nobody() {
    // A placer wakes from a minute's pause and spreads the ejection that it had decided on. Another
    // has had the duty since, with a greater epoch.
    let FleetFact::Notice(stale) = notice(3, 9, true) else { return };
    let claim = PlacerClaim { epoch: PlacerEpoch(4), member: member("vm-1") };
    expect_that!(stale.is_obeyed(Some(&claim)), eq(false));
    expect_that!(stale.is_obeyed(None), eq(true));
    let FleetFact::Notice(present) = notice(4, 1, true) else { return };
    expect_that!(present.is_obeyed(Some(&claim)), eq(true));
}

#[gtest]
fn row_13_a_return_that_overtakes_its_ejection_stands() {
    // The floor is reached and an ejected upstream is taken back at once. The word of its ejection,
    // by another way, comes after the word of its return.
    let mut store = FactStore::default();
    store.learn(notice(1, 2, false), at(0));
    expect_that!(store.learn(notice(1, 1, true), at(1)), eq(FactReception::Old));
}

#[gtest]
fn row_10_an_entry_applies_no_ejection_below_the_floor() {
    // All upstreams of a service fail together, and a placer that is wrong ejects one after the
    // other. The entry's own guard, fed by what is spread, keeps the floor of eight slots.
    let mut guard = FloorGuard::new(8);
    for number in 0..4 {
        let name = format!("cluebook-{number}");
        guard.announce(&announcement(&name, UpstreamState::Serving, 1), at(0));
    }
    let ejected = (0..4).filter(|number| {
        let name = upstream(&format!("cluebook-{number}"));
        guard.eject(&name, at(10_000), at(1))
    });
    expect_that!(ejected.count(), eq(2));
    expect_that!(guard.healthy_slots(at(1)), ge(8));
}

fn any_fact() -> impl Strategy<Value = FleetFact> {
    let upstreams = (0..2_u8, 0..3_u64, any::<bool>(), any::<bool>(), 1..3_u64).prop_map(
        |(name, sequence, leaving, ended, life)| {
            let state = if leaving { UpstreamState::Leaving } else { UpstreamState::Serving };
            let mut announcement = announcement(&format!("u-{name}"), state, sequence);
            announcement.incarnation = IncarnationNumber(life);
            FleetFact::Upstream(UpstreamFact { announcement, ended })
        },
    );
    let members = (0..3_u16, 1..3_u64, 1..4_u64, any::<bool>()).prop_map(
        |(number, life, version, stopping)| {
            let incarnation = IncarnationNumber(life);
            FleetFact::Member(MemberRecord { incarnation, version, stopping, ..record(number) })
        },
    );
    let duties = (1..4_u64, 0..3_u8).prop_map(|(epoch, name)| duty(epoch, &format!("vm-{name}")));
    let notices = (1..3_u64, 0..3_u64, any::<bool>())
        .prop_map(|(e, sequence, holds)| notice(e, sequence, holds));
    let verdicts = (0..2_u16, 0..3_u64, any::<bool>()).prop_map(|(number, sequence, silent)| {
        FleetFact::Verdict(verdict(&record(number), "vm-a", sequence, silent))
    });
    prop_oneof![upstreams, members, duties, notices, verdicts]
}

fn held(facts: &[FleetFact]) -> Vec<FleetFact> {
    let mut store = FactStore::default();
    for fact in facts {
        let before = store.get(&fact.key()).map(FleetFact::version);
        store.learn(fact.clone(), at(0));
        let after = store.get(&fact.key()).map(FleetFact::version);
        assert!(after >= before, "a fact went backwards");
    }
    store.facts().cloned().collect()
}

proptest! {
    #[test]
    fn facts_merge_to_the_same_in_each_order(
        (facts, shuffled) in prop::collection::vec(any_fact(), 1..30)
            .prop_flat_map(|facts| (Just(facts.clone()), Just(facts).prop_shuffle())),
    ) {
        let mut twice = shuffled.clone();
        twice.extend(facts.clone());
        prop_assert_eq!(held(&facts), held(&shuffled));
        prop_assert_eq!(held(&facts), held(&twice));
    }

    #[test]
    fn two_stores_are_the_same_after_one_repair(
        ours in prop::collection::vec(any_fact(), 0..30),
        theirs in prop::collection::vec(any_fact(), 0..30),
    ) {
        let mut fleet = ValueFleet::open(&records(2));
        for (place, facts) in [(0, &ours), (1, &theirs)] {
            for fact in facts.iter().filter(|fact| !matches!(fact, FleetFact::Member(_))) {
                let now = fleet.now;
                fleet.nodes[place].learn(fact.clone(), now);
                fleet.nodes[place].hush();
            }
        }
        let equal = |fleet: &ValueFleet| {
            let facts = |place: usize| -> Vec<_> {
                fleet.nodes[place].store().facts().map(|fact| (fact.key(), fact.version())).collect()
            };
            facts(0) == facts(1)
        };
        for _ in 0..200 {
            if equal(&fleet) {
                break;
            }
            fleet.run(Duration::from_millis(200));
        }
        prop_assert!(equal(&fleet));
    }
}
