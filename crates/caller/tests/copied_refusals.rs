//! An upstream hands out an answer a second time, late. Whatever it says, it says nothing of the request at work.

mod support;

use googletest::prelude::*;
use http::StatusCode;
use model::call::{KEY_HEADER, OUTCOME_HEADER};
use standin::call::{WholeAnswer, call, request};
use support::{
    TestVm,
    carriers::FakeCarriers,
    copies::{CopiedAnswer, CopyPlace, CopyingUpstream, headers},
    key,
};
use upstream::pool::PathCut;

/// A VM before upstreams, which it reaches itself or through another VM.
struct CopyDesk {
    vm: TestVm,
    _carrier: TestVm,
    carried: bool,
}

impl CopyDesk {
    async fn open(upstreams: &[&CopyingUpstream], carried: bool) -> Self {
        let carriers = [
            FakeCarriers::open("vm-0", "pettah").await,
            FakeCarriers::open("vm-1", "pettah").await,
        ];
        FakeCarriers::meet(&carriers);
        let [own, other] = carriers;
        let addresses: Vec<_> = upstreams.iter().map(|upstream| upstream.address).collect();
        let vm = TestVm::speaking(headers(), own, &addresses).await;
        let _carrier = TestVm::speaking(headers(), other, &addresses).await;
        let desk = Self { vm, _carrier, carried };
        desk.set_carried(carried);
        // Saves up second tries.
        for number in 0..40 {
            let answer = desk.ask("GET", "/read", &format!("before-{number}")).await;
            assert_eq!(answer.status, StatusCode::OK);
        }
        desk
    }

    fn set_carried(&self, carried: bool) {
        self.vm.pool.cut(carried.then_some(PathCut::Resets));
    }

    async fn ask(&self, method: &str, path: &str, id: &str) -> WholeAnswer {
        let key = key(1).to_string();
        let headers = [("x-id", id), (KEY_HEADER, &*key)];
        call(self.vm.address(), request(method, path, &headers, b"")).await.unwrap()
    }

    async fn expect_own_answer(
        &self,
        path: &str,
        id: &str,
        first: &CopyingUpstream,
        second: &CopyingUpstream,
    ) {
        let answer = self.ask("POST", path, id).await;
        let mut runs = first.runs();
        if second.address != first.address {
            runs.extend(second.runs());
        }
        let ran = runs.remove(id).unwrap_or(0);
        let told = format!("{path} {id} carried {}: {:?}", self.carried, answer.status);
        expect_that!(ran, eq(1), "{told}");
        expect_that!(answer.status, eq(StatusCode::OK), "{told}");
        expect_that!(answer.body, eq(format!("ran {id}").as_bytes()), "{told}");
    }
}

const FORMS: [CopiedAnswer; 2] = [CopiedAnswer::Misdirected, CopiedAnswer::Full];

// A call is refused, and the copy of its refusal comes while it is at work on its next try: it would be sent again
// and run twice.
#[gtest]
#[tokio::test]
async fn a_copy_of_its_own_refusal_does_not_have_a_call_run_again() {
    for (copied, place) in
        FORMS.into_iter().flat_map(|form| [(form, CopyPlace::Same), (form, CopyPlace::Any)])
    {
        for (path, carried) in [("/once", false), ("/pay", false), ("/once", true), ("/pay", true)]
        {
            let first = CopyingUpstream::spawn(copied, place).await;
            let desk = CopyDesk::open(&[&first], carried).await;
            first.copy_next();
            let answer = desk.ask("POST", path, "paid").await;
            let ran = first.runs().remove("paid").unwrap_or(0);
            let stated = answer.headers.get(OUTCOME_HEADER).map(|value| value.as_bytes());
            let told =
                format!("{copied:?} {place:?} {path} carried {carried}: {:?}", answer.status);
            expect_that!(ran, le(1), "{told}");
            expect_that!((ran, stated), not(eq((1, Some(&b"not-run"[..])))), "{told}");
            expect_that!((ran, answer.status), not(eq((0, StatusCode::OK))), "{told}");
        }
    }
}

// Another call's refusal is handed out again while a call is at work on the same connection. The call would be told that it
// had not run, or be sent again, or lose its own answer.
#[gtest]
#[tokio::test]
async fn the_next_call_keeps_its_own_answer_beside_a_copy() {
    for copied in FORMS {
        for (path, carried) in [("/once", false), ("/pay", false), ("/once", true), ("/pay", true)]
        {
            let first = CopyingUpstream::spawn(copied, CopyPlace::Same).await;
            let second = match copied {
                // An earlier life of it, whose address it has.
                CopiedAnswer::Misdirected => first.clone(),
                _ => CopyingUpstream::spawn(copied, CopyPlace::Same).await,
            };
            let desk = CopyDesk::open(&[&first, &second], carried).await;
            match copied {
                CopiedAnswer::Misdirected => first.restart_as("hunt-1"),
                _ => first.copy_next(),
            }
            desk.expect_own_answer("/once", "refused-once", &first, &second).await;
            desk.expect_own_answer(path, "next", &first, &second).await;
        }
    }
}

// A refusal without an identifier comes on a connection that was used, of which the upstream had answered as itself: the copy
// of another connection's. The call at work would run again.
#[gtest]
#[tokio::test]
async fn a_refusal_without_an_identifier_on_a_used_connection_proves_nothing() {
    for carried in [false, true] {
        let first = CopyingUpstream::spawn(CopiedAnswer::Misdirected, CopyPlace::Any).await;
        let desk = CopyDesk::open(&[&first], carried).await;
        first.owe("HTTP/1.1 421 Other\r\nretry-after: 7\r\ncontent-length: 0\r\n\r\n");
        let answer = desk.ask("POST", "/once", "paid").await;
        expect_that!(first.runs().remove("paid"), some(eq(1)));
        expect_that!(answer.header(OUTCOME_HEADER), eq("unknown"));
        let heard = desk.vm.slots.heard.lock().unwrap().clone();
        expect_that!(heard.iter().filter(|stated| stated.leaving).count(), eq(0));
    }
}

// The copy of a good answer comes while the next call is at work. It must not be taken for that call's, and from then on
// the upstream's connections are not trusted with a second call.
#[gtest]
#[tokio::test]
async fn copies_of_good_answers_cost_one_call_its_answer_at_most() {
    let first = CopyingUpstream::spawn(CopiedAnswer::Good, CopyPlace::Same).await;
    let desk = CopyDesk::open(&[&first], false).await;
    let mut lost = 0;
    for number in 0..10 {
        first.copy_next();
        let id = format!("paid-{number}");
        let answer = desk.ask("POST", "/once", &id).await;
        expect_that!(first.runs().remove(&id), some(eq(1)));
        match answer.status {
            StatusCode::OK => expect_that!(answer.body, eq(format!("ran {id}").as_bytes())),
            _ => lost += 1,
        }
    }
    expect_that!(lost, le(1));
}

// A request has no identifier, and the answer to another one comes on its connection. Its caller would get that answer.
#[gtest]
#[tokio::test]
async fn a_request_without_an_identifier_takes_no_answer_that_names_another() {
    let first = CopyingUpstream::spawn(CopiedAnswer::Good, CopyPlace::Same).await;
    let desk = CopyDesk::open(&[&first], false).await;
    first.copy_next();
    desk.ask("POST", "/once", "other").await;
    let answer = call(desk.vm.address(), request("POST", "/once", &[], b"")).await.unwrap();
    expect_that!(&answer.body[..], not(eq(&b"ran other"[..])));
}
