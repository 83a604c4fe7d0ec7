//! Connections to upstreams: whose answer comes on which, and what a failure says.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use bytes::Bytes;
use googletest::prelude::*;
use http::Request;
use http_body_util::{BodyExt, Full};
use model::{
    call::{CallClass, OutcomeClass},
    numbers::{GrantNumber, PlacerEpoch},
    slot::{GrantId, SlotGrant},
};
use standin::upstream::{FaultPlan, StandinSettings, UpstreamStandin};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};
use upstream::{
    exchange::ExchangeFault,
    pool::{ConnectionPool, PoolSettings, RequestBody},
};

/// Returns a pool in which an answer proves nothing for the time after it, as if each connection had
/// been idle for long.
fn doubting_pool() -> ConnectionPool {
    ConnectionPool::with_settings(PoolSettings {
        proof_age: Duration::ZERO,
        ..PoolSettings::default()
    })
}

const LONG: Duration = Duration::from_secs(20);

fn grant(address: SocketAddr, connections: u32) -> SlotGrant {
    SlotGrant {
        id: GrantId {
            granter: "vm-0".parse().unwrap(),
            epoch: PlacerEpoch(1),
            number: GrantNumber(1),
        },
        upstream: "hunt-0".parse().unwrap(),
        address,
        connections,
        waited_us: 0,
        trial: false,
        hedge_after_us: 0,
    }
}

fn get(path: &str) -> Request<RequestBody> {
    let body = Full::new(Bytes::new()).map_err(|never| match never {}).boxed_unsync();
    Request::get(path).header("host", "a").body(body).unwrap()
}

async fn spawn_standin(takes: Duration) -> UpstreamStandin {
    let settings = StandinSettings {
        service: "hunt".parse().unwrap(),
        upstream: "hunt-0".parse().unwrap(),
        domain: "pettah".parse().unwrap(),
        slots: 64,
        connections: 64,
        takes,
        announce: Vec::new(),
        secret: String::new(),
        seed: 1,
    };
    UpstreamStandin::spawn(settings).await.unwrap()
}

/// Runs one exchange to its end and returns the text of the answer.
async fn exchange(
    pool: &ConnectionPool,
    address: SocketAddr,
    class: CallClass,
    path: &str,
    within: Duration,
) -> Result<String, ExchangeFault> {
    let response = pool.exchange(&grant(address, 8), class, get(path), within).await?;
    let cut = ExchangeFault { outcome: OutcomeClass::CutAnswer, sent: true };
    let body = response.into_body().collect().await.map_err(|_| cut)?.to_bytes();
    Ok(String::from_utf8_lossy(&body).into_owned())
}

async fn read(
    pool: &ConnectionPool,
    address: SocketAddr,
    within: Duration,
) -> std::result::Result<String, ExchangeFault> {
    exchange(pool, address, CallClass::Idempotent, "/read", within).await
}

// An exchange times out, and its answer comes later. Its connection was closed, so the next exchange
// cannot take that answer for its own.
#[gtest]
#[tokio::test]
async fn row_7_an_abandoned_connection_is_not_used_again() {
    let upstream = spawn_standin(Duration::from_millis(100)).await;
    let pool = ConnectionPool::new();

    let late = exchange(
        &pool,
        upstream.address(),
        CallClass::Idempotent,
        "/late",
        Duration::from_millis(30),
    );
    expect_that!(late.await.unwrap_err().outcome, eq(OutcomeClass::Timeout));
    let next = exchange(&pool, upstream.address(), CallClass::Idempotent, "/next", LONG).await;

    expect_that!(next.unwrap(), contains_substring("/next"));
    expect_that!(upstream.accepted(), eq(2));
    expect_that!(pool.tally(upstream.address()).in_use, eq(0));
}

// All open connections go silent for good while new ones work. The first exchange finds it within
// half of its time and is not charged to the upstream; the other old connections are gone at once.
#[gtest]
#[tokio::test]
async fn row_22_silent_connections_are_found_and_retired() {
    let upstream = spawn_standin(Duration::from_millis(50)).await;
    let pool = ConnectionPool::new();
    let address = upstream.address();
    let many = (0..4).map(|_| read(&pool, address, LONG));
    futures::future::join_all(many).await;
    expect_that!(pool.tally(address).idle, eq(4));
    upstream.silence_connections();

    let started = Instant::now();
    let fault = read(&pool, address, Duration::from_secs(2)).await.unwrap_err();
    let found_after = started.elapsed();
    let next = read(&pool, address, LONG).await;

    expect_that!(fault.outcome, eq(OutcomeClass::StaleConnection));
    expect_that!(found_after, lt(Duration::from_millis(1_900)));
    expect_that!(next.is_ok(), eq(true));
    expect_that!(pool.tally(address).idle, eq(1));
}

// The same, and the call is one that must not run twice: it goes on a new connection, since the old
// ones have not answered for a second.
#[gtest]
#[tokio::test]
async fn row_22_a_keyed_call_never_goes_on_an_unproved_connection() {
    let upstream = spawn_standin(Duration::ZERO).await;
    let pool = doubting_pool();
    let address = upstream.address();
    read(&pool, address, LONG).await.unwrap();
    upstream.silence_connections();

    let paid = exchange(&pool, address, CallClass::KeyRequired, "/pay", LONG).await;

    expect_that!(paid.is_ok(), eq(true));
}

// A keyed call is on a proved connection when all go silent. It waits to its deadline, since it must
// not be run twice; but a new connection has answered real work meanwhile and no used one has, so the
// upstream is not charged.
#[gtest]
#[tokio::test]
async fn row_22_a_keyed_call_on_a_silent_connection_is_not_charged() {
    let upstream = spawn_standin(Duration::ZERO).await;
    let pool = ConnectionPool::new();
    let address = upstream.address();
    read(&pool, address, LONG).await.unwrap();
    upstream.silence_connections();

    let within = Duration::from_millis(500);
    let paying = exchange(&pool, address, CallClass::KeyRequired, "/pay", within);
    let (paid, beside) = tokio::join!(paying, read(&pool, address, LONG));

    expect_true!(beside.is_ok());
    let stale = ExchangeFault { outcome: OutcomeClass::StaleConnection, sent: true };
    expect_that!(paid.unwrap_err(), eq(stale));
}

// An upstream hangs on all its connections, old and new, probes included. That is the upstream's
// fault, and the exchange must not call it a stale connection's: the placer would never eject it.
#[gtest]
#[tokio::test]
async fn row_22_a_hung_upstream_is_charged() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let mut held = Vec::new();
        let (mut first, _) = listener.accept().await.unwrap();
        let mut buffer = [0; 4_096];
        let _ = first.read(&mut buffer).await;
        first.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n").await.unwrap();
        held.push(first);
        while let Ok((stream, _)) = listener.accept().await {
            held.push(stream);
        }
    });
    let pool = ConnectionPool::new();
    read(&pool, address, LONG).await.unwrap();

    for _ in 0..3 {
        let fault = read(&pool, address, Duration::from_millis(200)).await.unwrap_err();
        expect_that!(fault, eq(ExchangeFault { outcome: OutcomeClass::Timeout, sent: true }));
    }
}

// An upstream hangs on one call in a few, and other connections of the same age answer meanwhile.
// Connections are lost track of together, so this is the upstream's fault, and it is charged.
#[gtest]
#[tokio::test]
async fn row_22_a_hang_beside_living_connections_is_charged() {
    let upstream = spawn_standin(Duration::from_millis(20)).await;
    let pool = ConnectionPool::new();
    let address = upstream.address();
    let both = tokio::join!(read(&pool, address, LONG), read(&pool, address, LONG));
    expect_true!(both.0.is_ok() && both.1.is_ok());
    upstream.set_fault(FaultPlan { silence: 1.0, ..FaultPlan::NONE });

    let hanging = read(&pool, address, Duration::from_millis(600));
    let (fault, beside) = tokio::join!(hanging, async {
        while upstream.ran() < 3 {
            tokio::task::yield_now().await;
        }
        upstream.set_fault(FaultPlan::NONE);
        read(&pool, address, LONG).await
    });

    expect_true!(beside.is_ok());
    expect_that!(fault.unwrap_err().outcome, eq(OutcomeClass::Timeout));
}

// An upstream answers probes and hangs on all real work. The exchange on an old connection may pass
// for a stale one, once: from then on each connection is new, and each hang is charged.
#[gtest]
#[tokio::test]
async fn row_22_an_upstream_that_only_answers_probes_is_charged() {
    let upstream = spawn_standin(Duration::ZERO).await;
    let pool = ConnectionPool::new();
    let address = upstream.address();
    read(&pool, address, LONG).await.unwrap();
    upstream.set_fault(FaultPlan { silence: 1.0, ..FaultPlan::NONE });

    let mut outcomes = Vec::new();
    for _ in 0..3 {
        let fault = read(&pool, address, Duration::from_millis(400)).await.unwrap_err();
        outcomes.push(fault.outcome);
    }

    let (first, rest) = outcomes.split_first().unwrap();
    expect_that!(*first, eq(OutcomeClass::StaleConnection));
    expect_that!(rest, each(eq(&OutcomeClass::Timeout)));

    // The same after it has answered on the new connections: one excuse is enough for a while.
    upstream.set_fault(FaultPlan::NONE);
    read(&pool, address, LONG).await.unwrap();
    upstream.set_fault(FaultPlan { silence: 1.0, ..FaultPlan::NONE });
    let again = read(&pool, address, Duration::from_millis(400)).await.unwrap_err();
    expect_that!(again.outcome, eq(OutcomeClass::Timeout));
}

/// Serves connections by a script: each is read once, then written to and closed.
async fn scripted(answers: Vec<&'static [u8]>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        for answer in answers {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut buffer = [0; 4_096];
            let _ = stream.read(&mut buffer).await;
            let _ = stream.write_all(answer).await;
        }
    });
    address
}

// Each way to fail is told from the others, and `sent` is false only where nothing was sent.
#[gtest]
#[tokio::test]
async fn failures_are_told_apart() {
    let nobody = TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap();
    let shed = "HTTP/1.1 503 X\r\ncoltsfootcrank-upstream: shed\r\ncontent-length: 0\r\n\r\n";
    let draining =
        "HTTP/1.1 503 X\r\ncoltsfootcrank-upstream: draining\r\ncontent-length: 0\r\n\r\n";
    let cut = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhel";
    let upgraded = "HTTP/1.1 101 X\r\nconnection: upgrade\r\nupgrade: x\r\n\r\n";
    let cases = [
        (nobody, OutcomeClass::ConnectFailure, false),
        (scripted(vec![b""]).await, OutcomeClass::Crash, true),
        (scripted(vec![shed.as_bytes()]).await, OutcomeClass::Shed, true),
        (scripted(vec![draining.as_bytes()]).await, OutcomeClass::Draining, true),
        (scripted(vec![cut.as_bytes()]).await, OutcomeClass::CutAnswer, true),
        (scripted(vec![upgraded.as_bytes()]).await, OutcomeClass::ErrorAnswer, true),
        (scripted(vec![b"no HTTP at all\r\n\r\n"]).await, OutcomeClass::ErrorAnswer, true),
    ];
    for (address, outcome, sent) in cases {
        let fault = read(&ConnectionPool::new(), address, LONG).await.unwrap_err();
        expect_that!(fault, eq(ExchangeFault { outcome, sent }));
    }
}

// A draining upstream states its state on the answer of a call that it ran. That is a success: taken
// for a refusal, the call would be run again elsewhere.
#[gtest]
#[tokio::test]
async fn draining_on_a_good_answer_is_no_refusal() {
    let script =
        b"HTTP/1.1 200 OK\r\ncoltsfootcrank-upstream: draining\r\ncontent-length: 2\r\n\r\nok";
    let address = scripted(vec![script]).await;

    expect_that!(read(&ConnectionPool::new(), address, LONG).await.unwrap(), eq("ok"));
}

// An upstream closes an idle connection just as it is used. It still accepts new ones: it has not
// crashed, and the request is not held to have crashed it.
#[gtest]
#[tokio::test]
async fn a_keep_alive_close_is_no_crash() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut buffer = [0; 4_096];
        let _ = stream.read(&mut buffer).await;
        stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n").await.unwrap();
        // Closes on the second request, unanswered, and goes on listening.
        let _ = stream.read(&mut buffer).await;
        drop(stream);
        std::future::pending::<()>().await;
    });
    let pool = doubting_pool();
    read(&pool, address, LONG).await.unwrap();

    let fault = read(&pool, address, LONG).await.unwrap_err();

    expect_that!(fault, eq(ExchangeFault { outcome: OutcomeClass::StaleConnection, sent: true }));
}

// An entry's share of an upstream's connections is 2. A third exchange at once opens none and says
// that nothing was sent.
#[gtest]
#[tokio::test]
async fn the_share_of_connections_is_kept() {
    let upstream = spawn_standin(Duration::from_millis(300)).await;
    let pool = ConnectionPool::new();
    let grant = grant(upstream.address(), 2);
    let one = || pool.exchange(&grant, CallClass::Idempotent, get("/read"), LONG);

    let (first, second, third) = tokio::join!(one(), one(), one());

    let faults: Vec<_> = [first, second, third].into_iter().filter_map(|one| one.err()).collect();
    expect_that!(faults, elements_are![eq(&ExchangeFault::unsent(OutcomeClass::Unused))]);
    expect_that!(upstream.accepted(), eq(2));
}

// Idle connections are bounded in number over all upstreams: the least recently proved go first.
#[gtest]
#[tokio::test]
async fn idle_connections_are_bounded() {
    let sweep_every = Duration::ZERO;
    let settings = PoolSettings { idle_total: 2, sweep_every, ..PoolSettings::default() };
    let pool = ConnectionPool::with_settings(settings);
    let mut upstreams = Vec::new();
    for _ in 0..4 {
        let upstream = spawn_standin(Duration::ZERO).await;
        read(&pool, upstream.address(), LONG).await.unwrap();
        upstreams.push(upstream);
    }

    let idle: Vec<_> = upstreams.iter().map(|one| pool.tally(one.address()).idle).collect();
    expect_that!(idle, eq(&vec![0, 0, 1, 1]));
}

// How an exchange ended is told once: at its proper end, or when it is given up.
#[gtest]
#[tokio::test]
async fn the_end_of_an_exchange_is_told_once() {
    let upstream = spawn_standin(Duration::ZERO).await;
    let pool = ConnectionPool::new();
    let told = Arc::new(Mutex::new(Vec::new()));
    for read_it in [true, false] {
        let grant = grant(upstream.address(), 2);
        let answer = pool.exchange(&grant, CallClass::Idempotent, get("/read"), LONG).await;
        let told = told.clone();
        let hook = move |outcome| told.lock().unwrap().push(outcome);
        let body = answer.unwrap().into_body().on_finish(hook);
        if read_it {
            body.collect().await.unwrap();
        }
    }
    let told = told.lock().unwrap().clone();
    expect_that!(told, elements_are![eq(&OutcomeClass::Success), eq(&OutcomeClass::Cancelled)]);
}
