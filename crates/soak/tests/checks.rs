//! The soak's own checks are able to fail.

use googletest::prelude::*;
use soak::{
    callers::{BrokenPromise, SentCalls, is_whole},
    plan::SoakPlan,
};

fn run(service: &str, key: &str, count: u32) -> (String, String, u32) {
    (service.to_owned(), key.to_owned(), count)
}

// A call that ran where it should not, or twice, or that nobody sent, passes the check.
#[gtest]
fn each_broken_promise_is_seen() {
    let mut calls = SentCalls::default();
    for (key, service) in [("a", "service-0"), ("b", "service-1"), ("c", "service-1")] {
        calls.record(key, service);
    }
    expect_that!(
        calls.check_runs([run("service-0", "a", 1), run("service-1", "b", 1)]),
        is_empty()
    );
    calls.record_not_run("c");
    let broken = calls.check_runs([
        run("service-1", "c", 1),
        run("service-1", "a", 1),
        run("service-1", "b", 2),
        run("service-1", "d", 1),
    ]);
    let wrong = BrokenPromise::WrongService {
        key: "a".to_owned(),
        called: "service-0".to_owned(),
        ran: "service-1".to_owned(),
    };
    let again = BrokenPromise::RanAgain { key: "b".to_owned(), count: 2 };
    let unasked = BrokenPromise::Unasked { key: "d".to_owned() };
    let told = BrokenPromise::ToldNotRun { key: "c".to_owned() };
    expect_that!(broken, unordered_elements_are![eq(&wrong), eq(&again), eq(&unasked), eq(&told)]);
}

// A seed that failed cannot be played again.
#[gtest]
fn one_seed_gives_one_plan() {
    expect_that!(SoakPlan::draw(7, 6, 5, 8), eq(&SoakPlan::draw(7, 6, 5, 8)));
    let copies = |seed| SoakPlan::draw(seed, 6, 5, 8).with_copies();
    expect_that!(copies(7), eq(&copies(7)));
    let heads = |seed| SoakPlan::draw(seed, 6, 5, 8).with_broken_heads();
    expect_that!(heads(7), eq(&heads(7)));
    expect_that!(SoakPlan::draw(7, 6, 5, 8), not(eq(&SoakPlan::draw(8, 6, 5, 8))));
}

// A caller that got a broken answer as whole passes the check.
#[gtest]
fn a_broken_answer_is_seen() {
    let whole = |status, text: &str| is_whole(status, text, "service-1");
    expect_true!(whole(200, "service-1-0 /service-1 0"));
    expect_true!(whole(502, "no whole answer came; the call may have run\n"));
    let broken = [
        (200, "date: Mon, 07 Dec"),
        (200, "service-1-0 /service-1"),
        (200, "service-2-0 /service-1 0"),
        (600, "service-1-0 /service-1 0"),
    ];
    for (status, text) in broken {
        expect_false!(whole(status, text), "{status} {text}");
    }
}
