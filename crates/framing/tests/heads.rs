//! Which heads are sound, and where the bodies behind them end.

use std::sync::Arc;

use framing::{
    head::{BodyEnd, HeadFault, HeadFaultCounts, body_end, check_bodiless},
    lines::HeadLines,
    stream::AnswerWatch,
};
use googletest::prelude::*;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, Version};
use proptest::{collection::vec, prelude::*, sample::select};

fn fields(lines: &[(&'static str, &'static [u8])]) -> HeaderMap {
    let field = |&(name, value): &(&'static str, &[u8])| {
        (HeaderName::from_static(name), HeaderValue::from_bytes(value).unwrap())
    };
    let mut headers = HeaderMap::new();
    for (name, value) in lines.iter().map(field) {
        headers.append(name, value);
    }
    headers
}

fn answer(status: u16, lines: &[(&'static str, &'static [u8])]) -> Response<()> {
    let mut answer = Response::builder().status(status).body(()).unwrap();
    *answer.headers_mut() = fields(lines);
    answer
}

const LENGTH: &str = "content-length";
const CODING: &str = "transfer-encoding";

// A head is taken to say where its body ends though it says that in no way, or in two.
#[gtest]
fn a_head_says_in_one_way_where_the_body_ends() {
    let end = |lines: &[_]| body_end(&Method::GET, &answer(200, lines));
    expect_that!(end(&[]), ok(eq(BodyEnd::Connection)));
    expect_that!(end(&[(LENGTH, b"0")]), ok(eq(BodyEnd::Length(0))));
    expect_that!(end(&[(LENGTH, b"7, 07"), (LENGTH, b"7")]), ok(eq(BodyEnd::Length(7))));
    expect_that!(end(&[(LENGTH, b"18446744073709551615")]), ok(eq(BodyEnd::Length(u64::MAX))));
    expect_that!(end(&[(CODING, b"chunked")]), ok(eq(BodyEnd::LastChunk)));
    expect_that!(end(&[(CODING, b"ChunKed")]), ok(eq(BodyEnd::LastChunk)));
    for length in [
        &b""[..],
        b"-1",
        b"+1",
        b"1a",
        b"0x1",
        b"1 1",
        b"1,",
        b",1",
        b"1,2",
        b"\xb9",
        b"18446744073709551616",
    ] {
        let length: &'static [u8] = length;
        expect_that!(end(&[(LENGTH, length)]), err(eq(HeadFault::Length)), "{length:?}");
    }
    expect_that!(end(&[(LENGTH, b"1"), (LENGTH, b"2")]), err(eq(HeadFault::Length)));
    for coding in [
        &b""[..],
        b"chunkex",
        b"chunked, chunked",
        b"gzip, chunked",
        b"chunked, gzip",
        b"chunked;a",
        b"\xfc",
    ] {
        let coding: &'static [u8] = coding;
        expect_that!(end(&[(CODING, coding)]), err(eq(HeadFault::Coding)), "{coding:?}");
    }
    expect_that!(end(&[(CODING, b"chunked"), (CODING, b"chunked")]), err(eq(HeadFault::Coding)));
    let both = [(CODING, &b"chunked"[..]), (LENGTH, b"1")];
    expect_that!(end(&both), err(eq(HeadFault::LengthBesideCoding)));
}

// The version before chunks states them all the same.
#[gtest]
fn chunks_of_a_version_without_them_are_no_framing() {
    let mut answer = answer(200, &[(CODING, b"chunked")]);
    *answer.version_mut() = Version::HTTP_10;
    expect_that!(body_end(&Method::GET, &answer), err(eq(HeadFault::Coding)));
    expect_that!(body_end(&Method::HEAD, &answer), err(eq(HeadFault::Coding)));
}

// An answer without a body states one, and its next bytes are taken for the next head.
#[gtest]
fn a_head_without_a_body_states_none() {
    let none = BodyEnd::WithHead { stated_length: None };
    let stated = BodyEnd::WithHead { stated_length: Some(7) };
    let seven = [(LENGTH, &b"7"[..])];
    let chunked = [(CODING, &b"chunked"[..])];
    expect_that!(body_end(&Method::GET, &answer(204, &[])), ok(eq(none)));
    expect_that!(body_end(&Method::GET, &answer(204, &[(LENGTH, b"0")])), ok(eq(none)));
    expect_that!(body_end(&Method::GET, &answer(204, &seven)), err(eq(HeadFault::BodyNotAllowed)));
    expect_that!(
        body_end(&Method::HEAD, &answer(204, &chunked)),
        err(eq(HeadFault::BodyNotAllowed))
    );
    for (method, status) in [(Method::GET, 304), (Method::HEAD, 200), (Method::HEAD, 404)] {
        expect_that!(body_end(&method, &answer(status, &seven)), ok(eq(stated)));
        expect_that!(body_end(&method, &answer(status, &chunked)), ok(eq(none)));
        expect_that!(
            body_end(&method, &answer(status, &[(LENGTH, b"z")])),
            err(eq(HeadFault::Length))
        );
    }
    expect_that!(check_bodiless(&fields(&[])), ok(anything()));
    expect_that!(check_bodiless(&fields(&[(LENGTH, b"0")])), ok(anything()));
    expect_that!(check_bodiless(&fields(&seven)), err(eq(HeadFault::BodyNotAllowed)));
    expect_that!(check_bodiless(&fields(&chunked)), err(eq(HeadFault::BodyNotAllowed)));
}

// A status that ends no exchange of HTTP is passed on.
#[gtest]
fn only_final_statuses_end_an_exchange() {
    for status in [100, 101, 199, 600, 999] {
        let end = body_end(&Method::GET, &answer(status, &[]));
        expect_that!(end, err(eq(HeadFault::Status)), "{status}");
    }
    for status in [200, 299, 599] {
        expect_that!(body_end(&Method::GET, &answer(status, &[])), ok(anything()), "{status}");
    }
}

// A count is shown under another fault's name.
#[gtest]
fn each_fault_is_counted_under_its_name() {
    let counts = HeadFaultCounts::default();
    for (times, fault) in HeadFault::ALL.into_iter().enumerate() {
        (0..times).for_each(|_| counts.count(fault));
    }
    for (times, (fault, count)) in counts.read().enumerate() {
        expect_that!(count, eq(times as u64), "{}", fault.as_str());
    }
}

// What was left over of an earlier answer is taken for the answer to the next request.
#[gtest]
fn a_head_that_came_before_its_request_is_no_answer() {
    let watch = Arc::new(AnswerWatch::default());
    watch.begin_answer(&mut Request::new(()));
    let judged = watch.judge(&Method::GET, &answer(200, &[]));
    expect_that!(judged, err(eq(HeadFault::Unasked)));
}

fn lines_of(bytes: &[u8]) -> (std::result::Result<(), HeadFault>, bool) {
    let mut lines = HeadLines::default();
    let read = lines.read(bytes);
    (read, lines.has_ended())
}

// A line feed alone, or a carriage return alone, passes for the end of a line.
#[gtest]
fn lines_end_with_both_characters() {
    let sound = "HTTP/1.1 200 OK\r\na: b\r\n\r\n";
    expect_that!(lines_of(sound.as_bytes()), eq((Ok(()), true)));
    for (at, _) in sound.match_indices('\r') {
        let without = [&sound[..at], &sound[at + 1..]].concat();
        expect_that!(lines_of(without.as_bytes()).0, err(eq(HeadFault::LineEnd)), "{without:?}");
    }
    for (at, _) in sound.match_indices('\n').filter(|(at, _)| at + 1 < sound.len()) {
        let without = [&sound[..at], &sound[at + 1..]].concat();
        expect_that!(lines_of(without.as_bytes()).0, err(eq(HeadFault::LineEnd)), "{without:?}");
    }
    let empty_first = format!("\r\n{sound}");
    expect_that!(lines_of(empty_first.as_bytes()).0, err(eq(HeadFault::LineEnd)));
}

// An interim head passes for the answer's, or what follows the answer's head for a head.
#[gtest]
fn only_the_last_head_ends_the_lines() {
    let interim = "HTTP/1.1 103 Early\r\na: b\r\n\r\n";
    expect_that!(lines_of(interim.as_bytes()), eq((Ok(()), false)));
    let whole = format!("{interim}{interim}HTTP/1.1 200 OK\r\n\r\nany\nbody\r");
    expect_that!(lines_of(whole.as_bytes()), eq((Ok(()), true)));
    expect_that!(lines_of(b"HTTP/1.1 101 Switching\r\n\r\n\n"), eq((Ok(()), true)));
    expect_that!(lines_of(b"HTTP/1.1 1\r\n\r\n\n"), eq((Ok(()), true)), "the library refuses it");
}

proptest! {
    // What is decided hangs on where the bytes of a head were cut into pieces.
    #[test]
    fn pieces_make_no_difference(
        parts in vec(select(vec!["\r", "\n", "\r\n", "a: b", "HTTP/1.1 200 OK", "HTTP/1.1 100 ", "1"]), 0..24),
        sizes in vec(1_usize..9, 1..99),
    ) {
        let bytes = parts.concat().into_bytes();
        let whole = lines_of(&bytes);
        let (mut lines, mut rest, mut read) = (HeadLines::default(), &bytes[..], Ok(()));
        for size in sizes.into_iter().cycle().take(bytes.len()) {
            let (piece, left) = rest.split_at(size.min(rest.len()));
            rest = left;
            read = read.and_then(|()| lines.read(piece));
        }
        prop_assert_eq!((read, lines.has_ended()), whole);
    }
}
