//! The platform's pages, and what a peer that does not behave can do to them (FAILURES row 27).

use std::{net::SocketAddr, sync::Arc, time::Duration};

use googletest::prelude::*;
use model::{
    call::{CallRefusal, OutcomeClass, RefusalReason},
    ledger::ClaimAnswer,
    names::ServiceName,
    numbers::{AttemptNumber, ConfigNumber},
    ports::{LocalPort, SlotPort},
    report::LocalReport,
    slot::{SlotAsk, SlotGrant, SlotSettle},
};
use platform::{
    metered::MeteredSlots,
    metrics::FleetMetrics,
    ready::{ReadyState, ReadySwitch},
    server::{CONNECTIONS_LIMIT, PlatformPages, PlatformServer},
};
use standin::call::{call, request};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// How long a test waits for what must come.
const PATIENCE: Duration = Duration::from_secs(20);

/// Knows three VMs, of which one is lost, and one ejected upstream.
struct FakeLocal;

impl LocalPort for FakeLocal {
    async fn local(&self) -> Option<LocalReport> {
        Some(LocalReport {
            number: ConfigNumber(7),
            members: 3,
            lost: 1,
            groups: Vec::new(),
            placers: Vec::new(),
            capacity: Vec::new(),
            ejected: vec![(cluebook(), 1)],
        })
    }
}

struct Pages {
    ready: ReadySwitch,
    metrics: FleetMetrics,
    server: PlatformServer,
}

async fn open() -> Pages {
    let (ready, metrics) = (ReadySwitch::default(), FleetMetrics::open().unwrap());
    let pages =
        PlatformPages { ready: ready.clone(), metrics: metrics.clone(), port: Arc::new(FakeLocal) };
    let server = PlatformServer::bind(([127, 0, 0, 1], 0).into(), pages).await.unwrap();
    Pages { ready, metrics, server }
}

async fn get(address: SocketAddr, path: &str) -> (u16, String) {
    let answer = call(address, request("GET", path, &[], b"")).await.unwrap();
    (answer.status.as_u16(), String::from_utf8(answer.body.to_vec()).unwrap())
}

fn cluebook() -> ServiceName {
    "cluebook".parse().unwrap()
}

#[gtest]
#[tokio::test]
async fn health_fails_before_the_configuration_is_known_and_as_soon_as_a_stop_begins() {
    let pages = open().await;
    let address = pages.server.address();
    expect_that!(get(address, "/health").await, eq(&(503, "starting\n".to_owned())));
    pages.ready.set(ReadyState::Ready);
    expect_that!(get(address, "/health").await, eq(&(200, "ready\n".to_owned())));
    pages.ready.set(ReadyState::Stopping);
    expect_that!(get(address, "/health").await, eq(&(503, "stopping\n".to_owned())));
}

#[gtest]
fn a_late_ready_does_not_undo_a_stop() {
    // A stop is asked for while the VM still starts. The configuration arrives after that, and the
    // report of it must not tell the balancer to send callers to a VM that is about to end.
    let ready = ReadySwitch::default();
    ready.set(ReadyState::Stopping);
    ready.set(ReadyState::Ready);
    expect_that!(ready.get(), eq(ReadyState::Stopping));
}

#[gtest]
#[tokio::test]
async fn the_metrics_page_shows_what_was_counted_and_what_the_fleet_knows() {
    let pages = open().await;
    let tally = pages.metrics.tally();
    tally.count(&cluebook(), |counts| counts.count_try(OutcomeClass::Success));
    tally.count(&cluebook(), |counts| counts.count_try(OutcomeClass::Success));
    tally.count(&cluebook(), |counts| counts.count_try(OutcomeClass::CutAnswer));
    tally.count(&cluebook(), |counts| counts.count_refusal(RefusalReason::Saturated));
    tally.count_claim(Some(&ClaimAnswer::Run { attempt: AttemptNumber(1) }));
    tally.count_claim(None);
    pages.metrics.count_grant(&cluebook(), Duration::from_millis(3), 2_000);
    let (status, page) = get(pages.server.address(), "/metrics").await;
    expect_that!(status, eq(200));
    let lines: Vec<_> = page.lines().collect();
    let has = |name: &str, labels: &[&str], value: &str| {
        lines.iter().any(|line| {
            line.starts_with(name)
                && labels.iter().all(|label| line.contains(label))
                && line.ends_with(&format!(" {value}"))
        })
    };
    let service = "service=\"cluebook\"";
    let expected: [(&str, &[&str], &str); 11] = [
        ("coltsfootcrank_tries_total", &[service, "outcome=\"success\""], "2"),
        ("coltsfootcrank_tries_total", &[service, "outcome=\"cut-answer\""], "1"),
        ("coltsfootcrank_refusals_total", &[service, "reason=\"saturated\""], "1"),
        ("coltsfootcrank_claims_total", &["answer=\"run\""], "1"),
        ("coltsfootcrank_claims_total", &["answer=\"no-majority\""], "1"),
        ("coltsfootcrank_placement_seconds_bucket", &[service, "le=\"0.0024\""], "0"),
        ("coltsfootcrank_queue_wait_seconds_bucket", &[service, "le=\"0.0024\""], "1"),
        ("coltsfootcrank_members", &[], "3"),
        ("coltsfootcrank_members_lost", &[], "1"),
        ("coltsfootcrank_config_number", &[], "7"),
        ("coltsfootcrank_ejected_upstreams", &[service], "1"),
    ];
    for (name, labels, value) in expected {
        expect_that!(has(name, labels, value), eq(true), "{name} {labels:?} {value} in\n{page}");
    }
}

/// Refuses what it is asked for the first time and grants afterwards.
#[derive(Default)]
struct FakeSlots(std::sync::atomic::AtomicBool);

impl SlotPort for FakeSlots {
    async fn ask(&self, ask: SlotAsk) -> std::result::Result<SlotGrant, CallRefusal> {
        if !self.0.swap(true, std::sync::atomic::Ordering::Relaxed) {
            return Err(CallRefusal::passing(RefusalReason::NoUpstream, 100));
        }
        Ok(SlotGrant {
            id: model::slot::GrantId {
                granter: "vm-1".parse().unwrap(),
                epoch: model::numbers::PlacerEpoch(1),
                number: model::numbers::GrantNumber(ask.call.0),
            },
            upstream: "cluebook-1".parse().unwrap(),
            address: ([127, 0, 0, 1], 9).into(),
            connections: 1,
            waited_us: 0,
            trial: false,
            hedge_after_us: 0,
        })
    }

    fn begin(&self, _: &SlotGrant) -> bool {
        true
    }

    fn settle(&self, _: SlotSettle) {}
}

fn slot_ask() -> SlotAsk {
    SlotAsk {
        service: cluebook(),
        route: "clue".parse().unwrap(),
        caller: "anonymous".parse().unwrap(),
        class: model::call::CallClass::Idempotent,
        call: model::numbers::CallNumber(1),
        attempt: 1,
        fingerprint: model::slot::RequestFingerprint(1),
        domain: "pettah".parse().unwrap(),
        within_ms: 100,
        avoid: Vec::new(),
    }
}

#[gtest]
#[tokio::test]
async fn a_metered_port_counts_and_passes_on() {
    let metrics = FleetMetrics::open().unwrap();
    let slots = MeteredSlots::new(Arc::new(FakeSlots::default()), metrics.clone());
    expect_that!(slots.ask(slot_ask()).await, err(anything()));
    let grant = slots.ask(slot_ask()).await.unwrap();
    expect_that!(slots.begin(&grant), eq(true));
    slots.settle(SlotSettle {
        id: grant.id,
        service: cluebook(),
        route: "clue".parse().unwrap(),
        upstream: grant.upstream,
        fingerprint: model::slot::RequestFingerprint(1),
        outcome: OutcomeClass::Timeout,
        took_us: 5,
    });
    let services = metrics.tally().services();
    let tally = &services[&cluebook()];
    expect_that!(tally.tries()[OutcomeClass::Timeout as usize], eq(1));
    expect_that!(tally.refusals()[RefusalReason::NoUpstream as usize], eq(1));
}

#[gtest]
#[tokio::test]
async fn half_a_request_then_silence_gives_its_place_back() {
    // Each place is taken by a peer that sends half a head and falls silent. The balancer's health
    // check waits until the time for heads has passed and is answered then.
    let pages = open().await;
    let mut silent = Vec::new();
    for _ in 0..CONNECTIONS_LIMIT {
        let mut stream = TcpStream::connect(pages.server.address()).await.unwrap();
        stream.write_all(b"GET /health HTTP/1.1\r\nho").await.unwrap();
        silent.push(stream);
    }
    let health = tokio::time::timeout(PATIENCE, get(pages.server.address(), "/health")).await;
    expect_that!(health.unwrap().0, eq(503));
}

#[gtest]
#[tokio::test]
async fn an_oversized_head_and_an_unknown_page_are_refused() {
    let pages = open().await;
    let address = pages.server.address();
    let mut stream = TcpStream::connect(address).await.unwrap();
    let head = format!("GET /health HTTP/1.1\r\nx: {}\r\n\r\n", "y".repeat(100_000));
    // The server may close before all of it is written.
    let _ = stream.write_all(head.as_bytes()).await;
    let mut answer = Vec::new();
    let _ = tokio::time::timeout(PATIENCE, stream.read_to_end(&mut answer)).await.unwrap();
    expect_that!(String::from_utf8_lossy(&answer).starts_with("HTTP/1.1 5"), eq(false));
    expect_that!(String::from_utf8_lossy(&answer).starts_with("HTTP/1.1 2"), eq(false));
    expect_that!(get(address, "/nowhere").await.0, eq(404));
    let post = call(address, request("POST", "/health", &[], b"")).await.unwrap();
    expect_that!(post.status.as_u16(), eq(405));
}
