//! A head that breaks off is no answer, wherever it does.

mod support;

use futures::future::join_all;
use googletest::prelude::*;
use model::call::OutcomeClass;
use support::{
    PATIENCE,
    scripted::AnswerEnd,
    scripted_call::{REFUSAL_START, SPOKEN, START, ScriptedCase, Spoken, WAYS, is_unknown},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

const FRAMINGS: [&str; 3] =
    ["content-length: 10\r\n\r\n", "transfer-encoding: chunked\r\n\r\n", "\r\n"];

/// Outcomes that are charged to an upstream, or, where nobody can tell, to nobody.
fn is_failure(outcome: OutcomeClass) -> bool {
    matches!(
        outcome,
        OutcomeClass::ErrorAnswer
            | OutcomeClass::Crash
            | OutcomeClass::CutAnswer
            | OutcomeClass::StaleConnection
    )
}

async fn expect_no_answer(case: &mut ScriptedCase, cut: &[u8], spoken: Spoken, what: &str) {
    case.answer_next(cut).await;
    // Each call has a path of its own, since one that crashes what runs it is refused before long.
    let path = format!("/once/{}", cut.len());
    let answer = case.ask(spoken, ("POST", &path)).await.unwrap();
    expect_true!(is_unknown(&answer), "{what}: {answer:?}");
    case.expect_settled(what).await;
    let last = case.vm.slots.outcomes().pop().unwrap();
    expect_true!(is_failure(last), "{what}: {last:?}");
    expect_that!(case.requests(), eq(1), "{what}: it runs once");
}

/// Cuts a head after each of its bytes, but for the last.
async fn expect_no_answers(before: &str, start: &str, end: AnswerEnd) {
    let heads = FRAMINGS.map(|framing| format!("{before}{start}{framing}"));
    let ways = WAYS.into_iter().flat_map(|way| heads.iter().map(move |head| (way, head)));
    join_all(ways.map(|(way, head)| async move {
        let mut case = ScriptedCase::open(b"", end, way).await;
        for cut in 0..head.len() {
            let (bytes, spoken) = (&head.as_bytes()[..cut], SPOKEN[cut % 2]);
            let what = format!("{:?} {end:?} {way:?} {spoken:?}", &head[..cut]);
            expect_no_answer(&mut case, bytes, spoken, &what).await;
        }
    }))
    .await;
}

// An answer whose head breaks off reaches its caller with an empty or a short body, as whole.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_head_that_is_closed_in_the_middle_is_no_answer() {
    for start in [START, REFUSAL_START] {
        expect_no_answers("", start, AnswerEnd::Close).await;
    }
}

// The same where its connection is reset.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_head_that_is_reset_in_the_middle_is_no_answer() {
    for start in [START, REFUSAL_START] {
        expect_no_answers("", start, AnswerEnd::Reset).await;
    }
}

// The same after an interim head, which is no answer either.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_head_that_breaks_off_after_an_interim_one_is_no_answer() {
    expect_no_answers("HTTP/1.1 100 Continue\r\n\r\n", START, AnswerEnd::Close).await;
}

// An answer without a length that is reset, and not closed, reaches its caller as whole.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_body_without_a_length_that_is_reset_is_not_whole() {
    let newer = format!("{START}\r\nhalf");
    let older = newer.replace("HTTP/1.1", "HTTP/1.0");
    let large = format!("{older}{}", "large ".repeat(500_000));
    let calls = WAYS.into_iter().flat_map(|way| SPOKEN.map(|spoken| (way, spoken)));
    for (way, spoken) in calls {
        for bytes in [&newer, &older, &large] {
            let mut case = ScriptedCase::open(bytes.as_bytes(), AnswerEnd::Reset, way).await;
            let answer = case.ask(spoken, ("POST", "/once")).await;
            let what = format!("{} {} bytes {way:?} {spoken:?}", &bytes[..8], bytes.len());
            expect_true!(answer.is_none_or(|answer| is_unknown(&answer)), "{what}");
            case.expect_settled(&what).await;
            let last = case.vm.slots.outcomes().pop();
            expect_that!(last, some(eq(OutcomeClass::CutAnswer)), "{what}");
        }
    }
}

/// Calls by HTTP/1.0 and reads to the end of the connection. Fails when that is reset.
async fn read_by_http_1_0(case: &ScriptedCase) -> std::io::Result<Vec<u8>> {
    let mut caller = TcpStream::connect(case.vm.address()).await?;
    caller.write_all(b"POST /once HTTP/1.0\r\nhost: a\r\nx-id: one\r\n\r\n").await?;
    let mut read = Vec::new();
    timeout(PATIENCE, caller.read_to_end(&mut read)).await??;
    Ok(read)
}

// An answer whose length nobody knows breaks off for a caller of HTTP/1.0, to whom a closed connection is the body's end.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_large_answer_that_breaks_off_does_not_look_whole_on_http_1_0() {
    let part = "large ".repeat(500_000);
    let cut = format!("transfer-encoding: chunked\r\n\r\n{:x}\r\n{part}", part.len() + 1);
    let reset = format!("\r\n{part}");
    for (tail, end) in [(&cut, AnswerEnd::Close), (&reset, AnswerEnd::Reset)] {
        let bytes = format!("{START}{tail}");
        for way in WAYS {
            let case = ScriptedCase::open(bytes.as_bytes(), end, way).await;
            let read = read_by_http_1_0(&case).await;
            let whole = read.as_ref().is_ok_and(|read| !read.starts_with(b"HTTP/1.0 502"));
            expect_false!(whole, "{end:?} {way:?}: {:?} bytes", read.map(|read| read.len()));
        }
    }
}

// An answer that is whole is reset all the same, and a caller of HTTP/1.0 gives it up.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_large_answer_ends_in_order_on_http_1_0() {
    let part = "large ".repeat(500_000);
    let chunked =
        format!("transfer-encoding: chunked\r\n\r\n{:x}\r\n{part}\r\n0\r\n\r\n", part.len());
    let closed = format!("\r\n{part}");
    for tail in [&chunked, &closed] {
        let bytes = format!("{START}{tail}");
        for way in WAYS {
            let case = ScriptedCase::open(bytes.as_bytes(), AnswerEnd::Close, way).await;
            let read = read_by_http_1_0(&case).await;
            let whole = read.as_ref().is_ok_and(|read| read.ends_with(part.as_bytes()));
            expect_true!(whole, "{way:?}: {:?} bytes", read.map(|read| read.len()));
        }
    }
}
