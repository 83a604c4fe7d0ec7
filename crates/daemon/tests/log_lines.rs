//! The form of a log line.

use daemon::logging::{quieted, write_line};
use flexi_logger::DeferredNow;
use googletest::prelude::*;
use log::{Level, Record};

fn line(text: &str, pairs: &[(&str, &str)]) -> String {
    let mut out = Vec::new();
    let args = format_args!("{text}");
    let record =
        Record::builder().args(args).level(Level::Info).target("fleet").key_values(&pairs).build();
    write_line(&mut out, &mut DeferredNow::new(), &record).unwrap();
    let line = String::from_utf8(out).unwrap();
    let (time, rest) = line.split_once(' ').unwrap();
    expect_that!(time.len(), eq("2026-01-02T03:04:05.123456Z".len()));
    rest.to_owned()
}

#[gtest]
fn plain_values_stand_bare_and_others_are_quoted() {
    let pairs = [("call", "7"), ("reason", "no room"), ("text", "a\"b"), ("empty", "")];
    let expected = "INFO fleet event=placed call=7 reason=\"no room\" text=\"a\\\"b\" empty=\"\"";
    expect_that!(line("placed", &pairs), eq(expected));
    expect_that!(line("config in force", &[]), eq("INFO fleet event=\"config in force\""));
}

#[gtest]
fn what_a_peer_sends_cannot_look_like_an_event_of_its_own() {
    // A caller puts a line break and a forged event into a header that is logged.
    let forged = line("placed", &[("host", "a\n2026 INFO fleet event=ejected upstream=x")]);
    expect_that!(forged.lines().count(), eq(1));
    expect_that!(forged, ends_with("host=\"a\\n2026 INFO fleet event=ejected upstream=x\""));
}

#[gtest]
fn libraries_are_quiet_unless_they_are_named() {
    // tarpc writes several lines for each message between VMs. An operator who looks for a line of
    // a placement finds it among thousands that say nothing.
    expect_that!(quieted("info"), eq("info,tarpc=error,poem=error,hyper=error,h2=error"));
    let named = quieted("info,tarpc=debug");
    expect_that!(named, eq("info,tarpc=debug,poem=error,hyper=error,h2=error"));
}
