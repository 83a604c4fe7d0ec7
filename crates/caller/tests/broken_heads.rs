//! Answers whose head is broken are none: no byte of them reaches a caller, and they prove nothing.

mod support;

use caller::answer::recorded;
use futures::future::join_all;
use googletest::prelude::*;
use http_body::Body as _;
use model::{
    call::{DEADLINE_HEADER, KEY_HEADER, OUTCOME_HEADER, OutcomeClass, RATE_HEADER},
    ledger::RecordedAnswer,
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
    scripted_call::{CallWay, ROUTES, SPOKEN, ScriptedCase, Spoken, WAYS, is_unknown},
    wait_until,
    wire::nobody,
};

/// What each of these answers begins with, before the lines that a test is about.
const START: &str = "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signed: 1\r\n";

/// The same for a refusal, which says that the call was not run.
const REFUSAL_START: &str = "HTTP/1.1 503 Full\r\nx-id: {id}\r\nx-signed: 1\r\nx-not-run: 1\r\n";

const CHUNKS: &str = "5\r\nwhole\r\n5\r\n-body\r\n0\r\n\r\n";

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

/// Checks that a caller gets this answer whole.
async fn expect_answer(
    case: &mut ScriptedCase,
    sound: &SoundAnswer,
    spoken: Spoken,
    route: (&str, &str),
    what: &str,
) {
    case.answer_next(sound.bytes.as_bytes()).await;
    let answer = case.ask(spoken, route).await;
    let Some(answer) = answer else { return expect_true!(answer.is_some(), "{what}") };
    expect_that!(answer.status.as_u16(), eq(sound.status), "{what}");
    expect_that!(answer.body, eq(sound.body.as_bytes()), "{what}");
    expect_that!(answer.header("x-signed"), eq("1"), "{what}");
    expect_that!(answer.headers.get_all("content-length").iter().count(), le(1), "{what}");
    case.expect_settled(what).await;
    expect_that!(case.vm.slots.outcomes().last(), some(eq(&OutcomeClass::Success)), "{what}");
}

/// What an upstream sends, and what callers get.
struct SoundAnswer {
    bytes: String,
    status: u16,
    body: &'static str,
}

fn sound(status: u16, body: &'static str) -> impl Fn(String) -> SoundAnswer {
    move |bytes| SoundAnswer { bytes, status, body }
}

/// Checks this of each of these answers, whichever way the calls go.
async fn expect_answers(answers: &[SoundAnswer], end: AnswerEnd) {
    let calls = |answer| SPOKEN.into_iter().flat_map(move |s| ROUTES.map(|r| (answer, s, r)));
    join_all(WAYS.map(|way| async move {
        let mut case = ScriptedCase::open(b"", end, way).await;
        for (answer, spoken, route) in answers.iter().flat_map(calls) {
            let what = format!("{:?} {way:?} {spoken:?} {route:?}", answer.bytes);
            expect_answer(&mut case, answer, spoken, route, &what).await;
        }
    }))
    .await;
}

// Sound answers of every shape that HTTP has and upstreams use are refused with the broken ones.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn sound_answers_of_each_shape_reach_callers_whole() {
    let tails = [
        "\r\nwhole-body".to_owned(),
        "connection: close\r\n\r\nwhole-body".to_owned(),
        "content-length: 10\r\n\r\nwhole-body".to_owned(),
        "content-length:10\r\n\r\nwhole-body".to_owned(),
        "Content-Length: \t 10 \t\r\n\r\nwhole-body".to_owned(),
        "content-length: 0010\r\n\r\nwhole-body".to_owned(),
        "content-length: 10, 10\r\n\r\nwhole-body".to_owned(),
        "content-length: 10\r\ncontent-length: 10\r\n\r\nwhole-body".to_owned(),
        format!("transfer-encoding: chunked\r\n\r\n{CHUNKS}"),
        format!("Transfer-Encoding: \tChunked \r\n\r\n{CHUNKS}"),
        format!("TRANSFER-ENCODING:CHUNKED\r\n\r\n{CHUNKS}"),
        "transfer-encoding: chunked\r\n\r\n00a;name=value;other=\"a\"\r\nwhole-body\r\n0\r\n\r\n".to_owned(),
        "trailer: x-sum\r\ntransfer-encoding: chunked\r\n\r\nA\r\nwhole-body\r\n0\r\nx-sum: 1\r\n\r\n"
            .to_owned(),
        "x-empty:\r\nx-text: a\u{e9}b \"c\"\tde\r\ncontent-length: 10\r\n\r\nwhole-body".to_owned(),
    ];
    let whole = tails.map(|tail| format!("{START}{tail}")).map(sound(200, "whole-body"));
    expect_answers(&whole, AnswerEnd::Close).await;
    let rest = "x-id: {id}\r\nx-signed: 1\r\ncontent-length: 10\r\n\r\nwhole-body";
    let lines = ["HTTP/1.1 200", "HTTP/1.1 200 ", "HTTP/1.1 200 Tr\u{e8}s bien", "HTTP/1.0 200 OK"];
    let whole = lines.map(|line| format!("{line}\r\n{rest}")).map(sound(200, "whole-body"));
    expect_answers(&whole, AnswerEnd::Close).await;
    let statuses = [201, 299, 400, 404, 499];
    let whole = statuses
        .map(|status| sound(status, "whole-body")(format!("HTTP/1.1 {status} X\r\n{rest}")));
    expect_answers(&whole, AnswerEnd::Stay).await;
}

// Answers without a body, and heads before the answer's, are refused with the broken ones.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn sound_answers_without_a_body_and_after_interim_heads_reach_callers() {
    let rest = "x-id: {id}\r\nx-signed: 1\r\n";
    let empty = ["", "content-length: 0\r\n"]
        .map(|lines| format!("HTTP/1.1 204 None\r\n{rest}{lines}\r\n"))
        .map(sound(204, ""));
    expect_answers(&empty, AnswerEnd::Stay).await;
    let same = ["", "content-length: 7\r\n", "transfer-encoding: chunked\r\n"]
        .map(|lines| format!("HTTP/1.1 304 Same\r\n{rest}{lines}\r\n"))
        .map(sound(304, ""));
    expect_answers(&same, AnswerEnd::Stay).await;
    let interim = [
        "HTTP/1.1 100 Continue\r\n\r\n",
        "HTTP/1.1 100 \r\n\r\n",
        "HTTP/1.1 100 Continue\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n",
        "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n",
    ];
    for tail in ["content-length: 10\r\n\r\nwhole-body", "\r\nwhole-body"] {
        let whole =
            interim.map(|interim| format!("{interim}{START}{tail}")).map(sound(200, "whole-body"));
        expect_answers(&whole, AnswerEnd::Close).await;
    }
}

// The length that an answer to HEAD states is the only one that says nothing of its own body. It is lost with the others.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_answer_to_head_keeps_the_length_that_it_states() {
    let sound = [
        ("content-length: 10\r\n", "10"),
        ("content-length: 010, 10\r\n", "10"),
        ("", ""),
        ("transfer-encoding: chunked\r\n", ""),
    ];
    for (lines, stated) in sound {
        let bytes = format!("{START}{lines}\r\n");
        for (way, spoken) in WAYS.into_iter().flat_map(|way| SPOKEN.map(|spoken| (way, spoken))) {
            let mut case = ScriptedCase::open(bytes.as_bytes(), AnswerEnd::Stay, way).await;
            let answer = case.ask(spoken, ("HEAD", "/once")).await.unwrap();
            let what = format!("{bytes:?} {way:?} {spoken:?}");
            expect_that!(answer.status.as_u16(), eq(200), "{what}");
            expect_that!(answer.header("content-length"), eq(stated), "{what}");
        }
    }
}

// A body whose upstream says how long it is reaches callers without that length where it is too large to be held.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_large_answer_keeps_the_length_of_its_body() {
    let body = "large ".repeat(500_000);
    let bytes = format!("{START}content-length: {}\r\n\r\n{body}", body.len());
    for (way, spoken) in WAYS.into_iter().flat_map(|way| SPOKEN.map(|spoken| (way, spoken))) {
        for route in ROUTES {
            let mut case = ScriptedCase::open(bytes.as_bytes(), AnswerEnd::Stay, way).await;
            let answer = case.ask(spoken, route).await.unwrap();
            let what = format!("{way:?} {spoken:?} {route:?}");
            expect_that!(answer.header("content-length"), eq(&body.len().to_string()), "{what}");
            expect_true!(answer.body == body.as_bytes(), "{what}");
        }
    }
}

// `Connection` names a field that is not the connection's, and the proof of an answer is lost on the way.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_connection_line_takes_no_field_away_that_is_not_the_connections() {
    let lines = "connection: x-signed, x-id, X-Not-Run, content-type, content-length, set-cookie, x-mine\r\n\
                 content-type: text/plain\r\nset-cookie: a=b\r\nx-mine: 1\r\n";
    let bytes = format!("{START}{lines}content-length: 10\r\n\r\nwhole-body");
    for (way, spoken) in WAYS.into_iter().flat_map(|way| SPOKEN.map(|spoken| (way, spoken))) {
        for route in ROUTES {
            let mut case = ScriptedCase::open(bytes.as_bytes(), AnswerEnd::Stay, way).await;
            let answer = case.ask(spoken, route).await.unwrap();
            let what = format!("{way:?} {spoken:?} {route:?}");
            expect_that!((answer.status.as_u16(), &answer.body[..]), eq((200, &b"whole-body"[..])));
            let kept = ["x-signed", "x-id", "content-type", "set-cookie"];
            let kept = kept.map(|name| answer.header(name).to_owned());
            expect_that!(kept, eq(&["1", "one", "text/plain", "a=b"].map(str::to_owned)), "{what}");
            expect_that!(answer.header("x-mine"), eq(""), "{what}");
        }
    }
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

// An answer that the ledger keeps from an earlier version states a length that is not its body's.
#[gtest]
#[tokio::test]
async fn a_recorded_answer_is_framed_anew() {
    let headers =
        vec![("content-length".to_owned(), b"4".to_vec()), ("x-signed".to_owned(), b"1".to_vec())];
    let kept = RecordedAnswer { status: 200, headers, body: b"whole-body".to_vec() };
    let response = recorded(kept);
    expect_that!(response.headers().get("content-length"), none());
    expect_that!(
        response.headers().get("x-signed").map(|value| value.as_bytes()),
        some(eq(&b"1"[..]))
    );
    expect_that!(response.body().size_hint().exact(), some(eq(10)));
}

// The fleet's own answers to HEAD have a body on HTTP/2, at which callers give them up.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn own_answers_to_head_have_no_body() {
    let broken = format!("{START}transfer-encoding: chunkex\r\n\r\n");
    for (spoken, path) in
        SPOKEN.into_iter().flat_map(|spoken| [(spoken, "/once"), (spoken, "/none")])
    {
        let mut case = ScriptedCase::open(broken.as_bytes(), AnswerEnd::Stay, CallWay::New).await;
        let answer = case.ask(spoken, ("HEAD", path)).await.unwrap();
        let expected = if path == "/none" { 404 } else { 502 };
        expect_that!(answer.status.as_u16(), eq(expected), "{spoken:?} {path}");
        expect_that!(answer.header("content-length"), not(eq("0")), "{spoken:?} {path}");
    }
}

// Fields of a trailer that belong to a head reach callers behind the body: a length, the connection's own, the fleet's word.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_trailer_says_nothing_that_belongs_to_a_head() {
    let fields = "content-length: 4\r\ntransfer-encoding: chunked\r\nconnection: close\r\nkeep-alive: timeout=5\r\n\
                  upgrade: x\r\ntrailer: x-sum\r\nhost: b\r\ncoltsfootcrank-outcome: not-run\r\nx-sum: 1\r\n";
    let head = "trailer: x-sum, content-length, connection, coltsfootcrank-outcome\r\ntransfer-encoding: chunked\r\n";
    let bytes = format!("{START}{head}\r\n5\r\nwhole\r\n5\r\n-body\r\n0\r\n{fields}\r\n");
    for way in WAYS {
        let mut case = ScriptedCase::open(bytes.as_bytes(), AnswerEnd::Stay, way).await;
        let by_http1 = case.ask(Spoken::Http1, ("POST", "/once")).await.unwrap();
        expect_that!(by_http1.body, eq(&b"whole-body"[..]), "{way:?}");
        case.answer_next(bytes.as_bytes()).await;
        let (body, trailers) = case.ask_for_trailers("/once").await.expect("a whole answer");
        expect_that!(body, eq(&b"whole-body"[..]), "{way:?}");
        let names: Vec<_> = trailers.keys().map(|name| name.as_str().to_owned()).collect();
        let passed = names.iter().any(|name| name != "x-sum");
        expect_false!(passed, "{way:?}: {names:?}");
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
