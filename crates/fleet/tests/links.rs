//! Who may connect, and which connection has gone silent.

use std::{net::SocketAddr, time::Duration};

use fleet::{
    hello::{self, HelloError, HelloRole, prove},
    link_health::{IDLE_AFTER, LinkAdvice, LinkHealth, PING_AFTER, SILENT_AFTER, SILENT_LIMIT},
    wire::WIRE_VERSION,
};
use googletest::prelude::*;
use model::{moment::Moment, secret::SharedSecret};
use tokio::io::{AsyncReadExt, AsyncWriteExt, duplex};

fn secret(text: &str) -> SharedSecret {
    SharedSecret::from_bytes(text.as_bytes()).expect("it is long enough")
}

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

fn peer(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

#[gtest]
#[tokio::test]
async fn a_hello_proves_both_directions_and_reads_no_byte_beyond_it() {
    let (mut ours, mut theirs) = duplex(1_024);
    let shared = secret("the fleet's own secret");
    let other = shared.clone();
    let accepted = tokio::spawn(async move {
        hello::accept(&mut theirs, &other).await.expect("the secret is right");
        theirs.read_u8().await.expect("the next byte is still there")
    });
    hello::open(&mut ours, &shared).await.expect("the secret is right");
    ours.write_u8(7).await.expect("the connection stands");
    expect_that!(accepted.await, ok(eq(&7)));
}

#[gtest]
#[tokio::test]
async fn a_wrong_secret_is_refused_by_either_end() {
    // A process with another secret connects, or answers. Neither end may take its first message:
    // the opener notices by the answer's proof, the answerer by the opener's.
    let (mut ours, mut theirs) = duplex(1_024);
    let opened =
        tokio::spawn(async move { hello::open(&mut ours, &secret("one secret or other")).await });
    let accepted = hello::accept(&mut theirs, &secret("another secret here")).await;
    drop(theirs);
    expect_that!(matches!(opened.await, Ok(Err(HelloError::Proof))), eq(true));
    expect_that!(accepted.is_err(), eq(true));
}

#[gtest]
#[tokio::test]
async fn a_recorded_proof_does_not_open_a_second_connection() {
    // Someone recorded a whole hello and plays the opener's messages back. The answerer's nonce is
    // new, so the recorded proof is wrong.
    let shared = secret("the fleet's own secret");
    let (mut ours, mut theirs) = duplex(1_024);
    let other = shared.clone();
    let accepted = tokio::spawn(async move { hello::accept(&mut theirs, &other).await });
    let nonce = [3; 32];
    let open =
        postcard::to_stdvec(&hello::HelloOpen { version: WIRE_VERSION, nonce }).expect("fits");
    ours.write_u16(open.len() as u16).await.expect("open");
    ours.write_all(&open).await.expect("open");
    let proof = prove(&shared, HelloRole::Opener, &nonce, &[9; 32]);
    let recorded = postcard::to_stdvec(&hello::HelloProof { proof }).expect("fits");
    ours.write_u16(recorded.len() as u16).await.expect("open");
    ours.write_all(&recorded).await.expect("open");
    expect_that!(matches!(accepted.await, Ok(Err(HelloError::Proof))), eq(true));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_peer_that_says_nothing_another_version_or_too_much_is_refused() {
    let shared = secret("the fleet's own secret");
    let (_silent, mut theirs) = duplex(1_024);
    let late = hello::accept(&mut theirs, &shared).await;
    expect_that!(matches!(late, Err(HelloError::Late)), eq(true));

    let (mut ours, mut theirs) = duplex(1_024);
    let open = hello::HelloOpen { version: WIRE_VERSION + 1, nonce: [0; 32] };
    let open = postcard::to_stdvec(&open).expect("fits");
    ours.write_u16(open.len() as u16).await.expect("open");
    ours.write_all(&open).await.expect("open");
    let other = hello::accept(&mut theirs, &shared).await;
    expect_that!(matches!(other, Err(HelloError::Version { .. })), eq(true));

    let (mut ours, mut theirs) = duplex(1_024);
    ours.write_u16(60_000).await.expect("open");
    let large = hello::accept(&mut theirs, &shared).await;
    expect_that!(matches!(large, Err(HelloError::Malformed)), eq(true));
}

#[gtest]
fn a_silent_connection_is_replaced_while_others_work() {
    // Something between two VMs lost track of a connection: calls on it wait for good, while other
    // connections are answered. It gets a ping, and is replaced when that is not answered either.
    let mut health = LinkHealth::default();
    health.opened(peer(1), at(0));
    health.opened(peer(2), at(0));
    health.sent(peer(1), at(0));
    expect_that!(health.review(at(100)), is_empty());
    let pinged = 100 + PING_AFTER.as_millis() as u64;
    expect_that!(health.review(at(pinged)), elements_are![eq(&(peer(1), LinkAdvice::Ping))]);
    health.sent(peer(1), at(pinged));
    health.sent(peer(2), at(pinged));
    health.answered(peer(2), at(pinged + 1));
    let silent = pinged + SILENT_AFTER.as_millis() as u64;
    expect_that!(health.review(at(silent)), elements_are![eq(&(peer(1), LinkAdvice::Replace))]);
}

#[gtest]
fn an_ask_that_waits_in_a_queue_does_not_cost_its_connection() {
    // A long ask has no answer for seconds, which is no silence: the ping is answered.
    let mut health = LinkHealth::default();
    health.opened(peer(1), at(0));
    health.sent(peer(1), at(0));
    for second in 1..20_u64 {
        for (address, advice) in health.review(at(second * 1_000)) {
            expect_that!(advice, eq(LinkAdvice::Ping));
            health.sent(address, at(second * 1_000));
            health.answered(address, at(second * 1_000 + 1));
        }
    }
}

#[gtest]
fn a_pause_of_the_own_process_replaces_nothing_at_once() {
    // This VM was paused: each of its connections looks silent at the same time. Replacing all of
    // them would be a storm of new connections for nothing. If they stay silent, they are replaced.
    let mut health = LinkHealth::default();
    for port in 1..4 {
        health.opened(peer(port), at(0));
        health.sent(peer(port), at(0));
    }
    let pinged = PING_AFTER.as_millis() as u64;
    expect_that!(health.review(at(pinged)).len(), eq(3));
    expect_that!(health.review(at(pinged + SILENT_AFTER.as_millis() as u64)), is_empty());
    let over = pinged + SILENT_LIMIT.as_millis() as u64;
    expect_that!(health.review(at(over)).len(), eq(3));
}

#[gtest]
fn an_idle_connection_is_closed() {
    let mut health = LinkHealth::default();
    health.opened(peer(1), at(0));
    health.sent(peer(1), at(10));
    health.answered(peer(1), at(11));
    let idle = at(10) + IDLE_AFTER;
    expect_that!(health.review(at(11) + Duration::from_secs(1)), is_empty());
    expect_that!(health.review(idle), elements_are![eq(&(peer(1), LinkAdvice::Close))]);
}
