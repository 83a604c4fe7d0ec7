//! Answers whose head is broken are none: no byte of them reaches a caller, and they prove nothing.

mod support;

use futures::future::join_all;
use googletest::prelude::*;
use model::{
    call::{DEADLINE_HEADER, KEY_HEADER, OUTCOME_HEADER, OutcomeClass, RATE_HEADER},
    slot::StatedTerms,
};
use standin::call::{call, request};
use support::{
    TestVm,
    carriers::FakeCarriers,
    copies::headers,
    endless::{EndlessBytes, EndlessUpstream},
    key,
    scripted::{AnswerEnd, ScriptedUpstream},
    scripted_call::{
        CHUNKS, REFUSAL_START, ROUTES, SPOKEN, START, ScriptedCase, Spoken, WAYS, is_unknown,
    },
    wait_until,
    wire::nobody,
};

/// Checks that a caller learns that there is no answer, and that the upstream is charged.
async fn expect_no_answer(
    case: &mut ScriptedCase,
    bytes: &str,
    spoken: Spoken,
    route: (&str, &str),
    what: &str,
) {
    case.answer_next(bytes.as_bytes()).await;
    let answer = case.ask(spoken, route).await;
    expect_true!(answer.as_ref().is_some_and(is_unknown), "{what}: {answer:?}");
    case.expect_free(what).await;
    let outcomes = case.vm.slots.outcomes();
    expect_that!(outcomes.last(), some(eq(&OutcomeClass::ErrorAnswer)), "{what}");
    if route.0 != "GET" {
        expect_that!(case.requests(), eq(1), "{what}: it runs once");
    }
}

/// Checks this of each of these answers on these routes, whichever way the calls go.
async fn expect_no_answers_on<B: AsRef<str>>(
    routes: &[(&str, &str)],
    answers: impl IntoIterator<Item = B>,
    end: AnswerEnd,
) {
    let answers: Vec<B> = answers.into_iter().collect();
    let calls =
        |bytes| SPOKEN.into_iter().flat_map(move |s| routes.iter().map(move |&r| (bytes, s, r)));
    join_all(WAYS.map(|way| {
        let calls = answers.iter().flat_map(calls);
        async move {
            let mut case = ScriptedCase::open(b"", end, way).await;
            for (bytes, spoken, route) in calls {
                let bytes = bytes.as_ref();
                let what = format!("{bytes:?} {end:?} {way:?} {spoken:?} {route:?}");
                expect_no_answer(&mut case, bytes, spoken, route, &what).await;
            }
        }
    }))
    .await;
}

async fn expect_no_answers<B: AsRef<str>>(answers: impl IntoIterator<Item = B>, end: AnswerEnd) {
    expect_no_answers_on(&ROUTES, answers, end).await;
}

/// Heads with these lines after the usual ones, and a body.
fn with_lines(start: &str, lines: &[&str], body: &str) -> Vec<String> {
    lines.iter().map(|lines| format!("{start}{lines}\r\n{body}")).collect()
}

// A spoilt transfer coding is read as "until the connection ends", and the sizes of chunks reach callers as a body.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_answer_in_a_coding_that_is_not_understood_is_no_answer() {
    let lines = [
        "transfer-encoding: chunkex\r\n",
        "transfer-encoding: \r\n",
        "transfer-encoding: chunked, x\r\n",
        "transfer-encoding: chunked,\r\n",
        "transfer-encoding: gzip, chunked\r\n",
        "transfer-encoding: chunked, chunked\r\n",
        "transfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n",
        "transfer-encoding: chunked;a=b\r\n",
        "transfer-encoding: identity\r\n",
        "transfer-encoding: ch\u{fc}nked\r\n",
    ];
    expect_no_answers(with_lines(START, &lines, CHUNKS), AnswerEnd::Close).await;
}

// A length beside chunks goes on to callers with a body of another length: the rest of it stands where the next answer
// begins.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_answer_with_a_length_beside_chunks_is_no_answer() {
    let lines = [
        "content-length: 4\r\ntransfer-encoding: chunked\r\n",
        "transfer-encoding: chunked\r\ncontent-length: 10\r\n",
        "content-length: 0\r\ntransfer-encoding: chunked\r\n",
    ];
    expect_no_answers(with_lines(START, &lines, CHUNKS), AnswerEnd::Stay).await;
}

// A length that is no number is passed on to callers where chunks say how long the body is.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_answer_with_a_spoilt_length_beside_chunks_is_no_answer() {
    let lines = [
        "content-length: zz\r\ntransfer-encoding: chunked\r\n",
        "content-length: \r\ntransfer-encoding: chunked\r\n",
        "content-length: 4\r\ncontent-length: 5\r\ntransfer-encoding: chunked\r\n",
    ];
    expect_no_answers(with_lines(START, &lines, CHUNKS), AnswerEnd::Stay).await;
}

// A line feed that went astray ends the head early, and fields of the head reach callers as the body.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_head_that_a_line_feed_ends_early_is_no_answer() {
    let tails = [
        "\ncontent-length: 10\r\n\r\nwhole-body",
        "x-a: b\n\ncontent-length: 10\r\n\r\nwhole-body",
        "x-a: b\r\n\ncontent-length: 10\r\n\r\nwhole-body",
        "x-a: b\ncontent-length: 4\n\r\nwhole-body",
        "x-a: b\ncontent-length: 10\r\n\r\nwhole-body",
        "content-length: 10\r\n\nwhole-body",
    ];
    let answers = tails.map(|tail| format!("{START}{tail}"));
    expect_no_answers(answers, AnswerEnd::Close).await;
    let first_lines = [
        "HTTP/1.1 200 OK\nx-id: {id}\r\nx-signed: 1\r\ncontent-length: 10\r\n\r\nwhole-body",
        "\nHTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signed: 1\r\ncontent-length: 10\r\n\r\nwhole-body",
        "\r\nHTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signed: 1\r\ncontent-length: 10\r\n\r\nwhole-body",
    ];
    expect_no_answers(first_lines, AnswerEnd::Close).await;
}

// The same in a head that precedes the answer's: the rest of it is read as the answer.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_interim_head_that_a_line_feed_ends_early_is_no_answer() {
    let interim = [
        "HTTP/1.1 100 Continue\n\n",
        "HTTP/1.1 100 Continue\r\n\n",
        "HTTP/1.1 103 Early Hints\r\nlink: </a>\n\r\n",
    ];
    let rest = "content-length: 10\r\n\r\nwhole-body";
    let answers = interim.map(|interim| format!("{interim}{START}{rest}"));
    expect_no_answers(answers, AnswerEnd::Close).await;
}

// An interim head that states a body is followed by that body, which may look like the answer.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_interim_head_with_a_body_is_no_answer() {
    let lines =
        ["content-length: 10\r\n", "transfer-encoding: chunked\r\n", "content-length: z\r\n"];
    let rest = "content-length: 10\r\n\r\nwhole-body";
    let answers =
        lines.map(|lines| format!("HTTP/1.1 103 Early Hints\r\n{lines}\r\n{START}{rest}"));
    expect_no_answers(answers, AnswerEnd::Close).await;
}

// A refusal with a broken head is believed in that the call was not run, and its caller sends it again.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_refusal_with_a_broken_head_proves_nothing() {
    let lines = [
        "transfer-encoding: chunkex\r\n",
        "content-length: 25\r\ntransfer-encoding: chunked\r\n",
        "content-length: zz\r\ntransfer-encoding: chunked\r\n",
    ];
    expect_no_answers(with_lines(REFUSAL_START, &lines, CHUNKS), AnswerEnd::Close).await;
    let tails =
        ["\ncontent-length: 4\r\n\r\nfull", "retry-after: 9\ncontent-length: 4\r\n\r\nfull"];
    expect_no_answers(tails.map(|tail| format!("{REFUSAL_START}{tail}")), AnswerEnd::Close).await;
}

// What a broken head says of its upstream is believed: that it wants rest, leaves, or takes so many calls.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_broken_head_says_nothing_of_its_upstream() {
    let lines = format!("retry-after: 9\r\nx-leaving: 1\r\n{RATE_HEADER}: 1\r\n");
    let broken = "transfer-encoding: chunkex\r\n\r\n";
    for (start, way) in
        [START, REFUSAL_START].into_iter().flat_map(|start| WAYS.map(|w| (start, w)))
    {
        let answer = format!("{start}{lines}{broken}{CHUNKS}");
        let mut case = ScriptedCase::open(answer.as_bytes(), AnswerEnd::Stay, way).await;
        case.ask(Spoken::Http1, ("POST", "/once")).await;
        case.expect_free("once").await;
        let settle = case.vm.slots.settles.lock().unwrap().pop().unwrap();
        expect_that!(settle.stated, eq(StatedTerms::default()), "{start} {way:?}");
    }
}

// A head glued together of two names two requests, and a caller gets the answer to another's.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_answer_that_names_two_requests_is_no_answer() {
    let rest = "x-signed: 1\r\ncontent-length: 10\r\n\r\nwhole-body";
    let names = ["x-id: {id}\r\nx-id: two\r\n", "x-id: two\r\nx-id: {id}\r\n"];
    let starts = ["HTTP/1.1 200 OK\r\n", "HTTP/1.1 503 Full\r\nx-not-run: 1\r\n"];
    let answers =
        starts.into_iter().flat_map(|start| names.map(|names| format!("{start}{names}{rest}")));
    expect_no_answers(answers, AnswerEnd::Stay).await;
}

// HTTP has no final answer of such a status, and callers cannot know what it means.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_answer_of_a_status_that_http_does_not_have_is_no_answer() {
    let rest = "x-id: {id}\r\nx-signed: 1\r\ncontent-length: 10\r\n\r\nwhole-body";
    let statuses = ["600", "999", "700 OK", "101 Switching Protocols"];
    let answers = statuses.map(|status| format!("HTTP/1.1 {status}\r\n{rest}"));
    expect_no_answers(answers, AnswerEnd::Stay).await;
}

// The library reads no such head today. It must not come to pass one on.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_status_line_that_is_none_is_no_answer() {
    let rest = "x-id: {id}\r\nx-signed: 1\r\ncontent-length: 10\r\n\r\nwhole-body";
    let lines = [
        "HTTP/1.1 000 OK",
        "HTTP/1.1 099 OK",
        "HTTP/1.1 20 OK",
        "HTTP/1.1 2000 OK",
        "HTTP/1.1 2x0 OK",
        "HTTP/1.1 OK",
        "HTTP/1.1  200 OK",
        "HTTP/1.2 200 OK",
        "HTTP/2.0 200 OK",
        "http/1.1 200 OK",
        "no answer",
        "HTTP/1.1 200 O\u{0}K",
    ];
    let answers = lines.map(|line| format!("{line}\r\n{rest}"));
    expect_no_answers(answers, AnswerEnd::Close).await;
}

// The same for lines of a head that are no fields.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_line_that_is_no_field_makes_no_answer() {
    let lines = [
        "x a: b",
        "x\ta: b",
        "x\u{1}a: b",
        "x\u{0}a: b",
        "x-a : b",
        "x-a\t: b",
        " x-a: b",
        "x-a",
        ": b",
        "x-a: b\r\n folded",
        "x-a: b\r\n\tfolded",
        "x-a: \u{0}",
        "x-a: \u{7f}",
        "x-a: \u{1}",
        "x-a: b\rc",
        "x-a: b\r\r",
        "x\u{e4}: b",
        "x(a): b",
    ];
    let rest = "content-length: 10\r\n\r\nwhole-body";
    let answers = lines.map(|line| format!("{START}{line}\r\n{rest}"));
    expect_no_answers(answers, AnswerEnd::Close).await;
}

// The same for lengths and codings that say nothing, or more than one thing.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_length_that_is_none_makes_no_answer() {
    let lengths = [
        "content-length: zz",
        "content-length: +10",
        "content-length: -10",
        "content-length: 0xa",
        "content-length: ",
        "content-length: 10, 11",
        "content-length: 10\r\ncontent-length: 11",
        "content-length: 10 10",
        "content-length: 1e1",
        "content-length: 10,",
        "content-length: 99999999999999999999999",
    ];
    let answers = lengths.map(|line| format!("{START}{line}\r\n\r\nwhole-body"));
    expect_no_answers(answers, AnswerEnd::Close).await;
    let rest = "x-id: {id}\r\nx-signed: 1\r\ntransfer-encoding: chunked\r\n\r\n";
    expect_no_answers([format!("HTTP/1.0 200 OK\r\n{rest}{CHUNKS}")], AnswerEnd::Close).await;
}

// An answer without a body goes to callers although its head says in two ways whether there is one.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_broken_head_without_a_body_is_no_answer() {
    let rest = "x-id: {id}\r\nx-signed: 1\r\n";
    let bodiless = ["content-length: zz", "content-length: 4", "transfer-encoding: chunked"];
    let not_modified = [
        "content-length: zz",
        "content-length: 4\r\ncontent-length: 5",
        "transfer-encoding: chunkex",
        "content-length: 4\r\ntransfer-encoding: chunked",
    ];
    let answers = bodiless.map(|line| format!("HTTP/1.1 204 None\r\n{rest}{line}\r\n\r\n"));
    expect_no_answers(answers, AnswerEnd::Stay).await;
    let answers = not_modified.map(|line| format!("HTTP/1.1 304 Same\r\n{rest}{line}\r\n\r\n"));
    expect_no_answers(answers, AnswerEnd::Stay).await;
    let answers = not_modified.map(|line| format!("{START}{line}\r\n\r\n"));
    expect_no_answers_on(&[("HEAD", "/once")], answers, AnswerEnd::Stay).await;
}

// A broken answer of an idempotent call ends it, though another upstream has a sound one.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_idempotent_call_goes_on_to_another_upstream_after_a_broken_head() {
    let broken = format!("{START}transfer-encoding: chunkex\r\n\r\n{CHUNKS}");
    let sound = format!("{START}content-length: 10\r\n\r\nwhole-body");
    let first = ScriptedUpstream::spawn(40, broken.as_bytes(), AnswerEnd::Close).await;
    let second = ScriptedUpstream::spawn(0, sound.as_bytes(), AnswerEnd::Stay).await;
    let own = FakeCarriers::open("vm-0", "pettah").await;
    let vm = TestVm::speaking(headers(), own, &[first.address(), second.address()]).await;
    let ask = || request("GET", "/read", &[("x-id", "one")], b"");
    // Saves up a second try.
    for _ in 0..40 {
        call(vm.address(), ask()).await.unwrap();
    }
    let answer = call(vm.address(), ask()).await.unwrap();
    expect_that!((answer.status.as_u16(), &answer.body[..]), eq((200, &b"whole-body"[..])));
    let outcomes = vm.slots.outcomes();
    let last = &outcomes[outcomes.len() - 2..];
    expect_that!(last, eq(&[OutcomeClass::ErrorAnswer, OutcomeClass::Success]));
}

// The resend of a keyed call whose answer was broken is run again, or gets the broken answer out of the ledger.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_keyed_call_with_a_broken_answer_stays_unknown() {
    let broken = format!("{START}content-length: 4\r\ntransfer-encoding: chunked\r\n\r\n{CHUNKS}");
    for way in WAYS {
        let mut case = ScriptedCase::open(broken.as_bytes(), AnswerEnd::Close, way).await;
        let first = case.ask(Spoken::Http1, ("POST", "/pay")).await.unwrap();
        let again = case.ask_again(Spoken::Http1, ("POST", "/pay")).await.unwrap();
        expect_true!(is_unknown(&first), "{way:?} {first:?}");
        expect_that!(again.header(OUTCOME_HEADER), eq("unknown"), "{way:?}");
        expect_that!(case.requests(), eq(1), "{way:?}");
    }
}

// A probe takes a broken head for a sign of life, and an upstream that hangs is excused as a silent connection.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_probe_with_a_broken_head_proves_nothing() {
    let heads = [
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunkex\r\n\r\n",
        "HTTP/1.1 200 OK\r\ncontent-length: 4\r\ntransfer-encoding: chunked\r\n\r\n",
        "HTTP/1.1 200 OK\nx-a: b\r\n\r\n",
        "HTTP/1.1 600 Odd\r\n\r\n",
    ];
    for start in heads {
        let bytes = EndlessBytes { name: "a probe's answer", start, repeated: "a" };
        let upstream = EndlessUpstream::spawn_silent(bytes).await;
        let vm = TestVm::before(&[upstream.address()]).await;
        expect_that!(vm.get("/read").await.status.as_u16(), eq(200));
        let silent = request("GET", "/read", &[(DEADLINE_HEADER, "500")], b"");
        let answer = call(vm.address(), silent).await.unwrap();
        expect_true!(is_unknown(&answer), "{start:?}: {answer:?}");
        wait_until("it is settled", || vm.slots.busy() == 0).await;
        expect_that!(vm.slots.outcomes().pop(), some(eq(OutcomeClass::Timeout)), "{start:?}");
    }
}

// A broken answer on a new connection excuses an upstream that hangs, as if only its older connections had been lost.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_broken_answer_proves_no_connection() {
    let start = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunkex\r\n\r\n";
    let bytes = EndlessBytes { name: "a broken answer", start, repeated: "a" };
    let upstream = EndlessUpstream::spawn_silent(bytes).await;
    let vm = TestVm::before(&[upstream.address()]).await;
    expect_that!(vm.get("/read").await.status.as_u16(), eq(200));
    let silent = request("GET", "/read", &[(DEADLINE_HEADER, "500")], b"");
    let silent = tokio::spawn(call(vm.address(), silent));
    wait_until("it is sent", || vm.pool.tally(upstream.address()).in_use == 1).await;
    let broken = call(vm.address(), request("POST", "/once", &[], b"")).await.unwrap();
    expect_true!(is_unknown(&broken), "{broken:?}");
    expect_true!(is_unknown(&silent.await.unwrap().unwrap()));
    wait_until("both are settled", || vm.slots.busy() == 0).await;
    let outcomes = vm.slots.outcomes();
    expect_that!(outcomes[1..], eq(&[OutcomeClass::ErrorAnswer, OutcomeClass::Timeout]));
}

/// A VM that reaches no upstream, beside a carrier that answers each request with these bytes.
async fn before_carrier(answer: &str) -> (TestVm, ScriptedUpstream) {
    let carrier = ScriptedUpstream::spawn(0, answer.as_bytes(), AnswerEnd::Close).await;
    let own = FakeCarriers::open("vm-0", "pettah").await;
    own.know("vm-1", "pettah", carrier.address());
    let vm = TestVm::speaking(headers(), own, &[nobody().await]).await;
    (vm, carrier)
}

// A head that broke between two VMs is charged to the upstream, or a word of the carrier in it is believed.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_head_that_breaks_between_two_vms_says_nothing_of_the_upstream() {
    let declined = "coltsfootcrank-carry-fault: \"declined\"\r\n";
    let broken = [
        format!("{START}transfer-encoding: chunkex\r\n\r\n{CHUNKS}"),
        format!("{START}content-length: 4\r\ntransfer-encoding: chunked\r\n\r\n{CHUNKS}"),
        format!("{START}x-a: b\ncontent-length: 10\r\n\r\nwhole-body"),
        format!("{START}\r\nwhole-body"),
        format!("{START}\r\nwhole-body").replace("HTTP/1.1", "HTTP/1.0"),
        format!("{REFUSAL_START}transfer-encoding: chunkex\r\n\r\n{CHUNKS}"),
        format!("HTTP/1.1 502 Bad\r\n{declined}transfer-encoding: chunkex\r\n\r\n"),
        format!("HTTP/1.1 502 Bad\r\n{declined}content-length: 0\n\r\n"),
    ];
    for bytes in broken {
        for (method, path) in ROUTES {
            let (vm, carrier) = before_carrier(&bytes).await;
            let key = key(1).to_string();
            let names = [("x-id", "one"), (KEY_HEADER, &*key)];
            let answer = call(vm.address(), request(method, path, &names, b"")).await.unwrap();
            let what = format!("{bytes:?} {path}: {answer:?}");
            expect_true!(is_unknown(&answer), "{what}");
            wait_until("it is settled", || vm.slots.busy() == 0).await;
            let outcomes = vm.slots.outcomes();
            expect_that!(outcomes, each(eq(&OutcomeClass::StaleConnection)), "{what}");
            if method == "POST" {
                expect_that!(carrier.requests(), eq(1), "{what}: it is sent once");
            }
        }
    }
}

// The library refuses what these bodies are wrapped in. It must not come to pass one on as whole.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_body_whose_wrapping_is_broken_is_not_whole() {
    let chunks = [
        "zz\r\nwhole-body\r\n0\r\n\r\n",
        "\r\nwhole-body\r\n0\r\n\r\n",
        "-a\r\nwhole-body\r\n0\r\n\r\n",
        "fffffffffffffffff\r\nwhole-body\r\n0\r\n\r\n",
        "a\nwhole-body\r\n0\r\n\r\n",
        "5\r\nwhole5\r\n-body\r\n0\r\n\r\n",
        "5\r\nwhole\r\n5\r\n-body\r\n",
        "5\r\nwhole\r\n5\r\n-body\r\n0\r\n",
        "a\r\nwhole-body\r\n0\r\nno trailer\r\n\r\n",
    ];
    let lengths = ["content-length: 20\r\n\r\nwhole-body"].map(str::to_owned);
    let tails = chunks.map(|chunks| format!("transfer-encoding: chunked\r\n\r\n{chunks}"));
    let answers = tails.into_iter().chain(lengths).map(|tail| format!("{START}{tail}"));
    let answers: Vec<_> = answers.collect();
    for way in WAYS {
        let mut case = ScriptedCase::open(b"", AnswerEnd::Close, way).await;
        for (bytes, spoken) in answers.iter().flat_map(|bytes| SPOKEN.map(|one| (bytes, one))) {
            let what = format!("{bytes:?} {way:?} {spoken:?}");
            case.answer_next(bytes.as_bytes()).await;
            let answer = case.ask(spoken, ("POST", "/once")).await;
            expect_true!(answer.as_ref().is_none_or(is_unknown), "{what}: {answer:?}");
            case.expect_settled(&what).await;
            let last = case.vm.slots.outcomes().pop();
            expect_that!(last, some(eq(OutcomeClass::CutAnswer)), "{what}");
            expect_that!(case.requests(), eq(1), "{what}: it runs once");
        }
    }
}
