//! Answers with a sound head reach callers whole, framed by the fleet alone.

mod support;

use caller::answer::recorded;
use futures::future::join_all;
use googletest::prelude::*;
use http_body::Body as _;
use model::{call::OutcomeClass, ledger::RecordedAnswer};
use support::{
    scripted::AnswerEnd,
    scripted_call::{CHUNKS, CallWay, ROUTES, SPOKEN, START, ScriptedCase, Spoken, WAYS},
};

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
