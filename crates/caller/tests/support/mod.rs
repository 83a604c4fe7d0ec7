//! Small fakes of the ports, and an entry between them on loopback.
#![allow(dead_code, unreachable_pub, reason = "each test file uses a part")]

pub mod ledger;
pub mod slots;
pub mod wire;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use arc_swap::ArcSwap;
use bytes::Bytes;
use caller::{
    entry::{CallEntry, EntryParts},
    limits::CallLimits,
    server::CallerServer,
};
use http::Request;
use http_body_util::Full;
use model::{
    call::{CallClass, KEY_HEADER},
    config::{ConfigImage, ControlSettings, FleetConfig, ServiceRule},
    ledger::CallKey,
    numbers::ConfigNumber,
    route::RouteRule,
};
use standin::{
    call::{WholeAnswer, call, request},
    upstream::{StandinSettings, UpstreamStandin},
};
use upstream::pool::ConnectionPool;

use self::{ledger::FakeLedger, slots::FakeSlots};

/// The longest that a test waits for a condition.
pub const PATIENCE: Duration = Duration::from_secs(10);

/// One entry with its callers' port.
pub struct TestVm {
    pub slots: Arc<FakeSlots>,
    pub ledger: Arc<FakeLedger>,
    pub pool: ConnectionPool,
    pub server: CallerServer,
}

impl TestVm {
    pub async fn spawn(slots: Arc<FakeSlots>, ledger: Arc<FakeLedger>) -> Self {
        Self::with_limits(slots, ledger, CallLimits::default()).await
    }

    pub async fn with_limits(
        slots: Arc<FakeSlots>,
        ledger: Arc<FakeLedger>,
        limits: CallLimits,
    ) -> Self {
        let pool = ConnectionPool::new();
        let parts = EntryParts {
            slots: slots.clone(),
            ledger: ledger.clone(),
            pool: pool.clone(),
            config: Arc::new(ArcSwap::from_pointee(config())),
            domain: "fort-hall".parse().unwrap(),
        };
        let entry = Arc::new(CallEntry::with_limits(parts, limits));
        let server = CallerServer::bind(any_port(), entry).await.unwrap();
        Self { slots, ledger, pool, server }
    }

    /// An entry before upstreams at these addresses.
    pub async fn before(upstreams: &[SocketAddr]) -> Self {
        Self::spawn(FakeSlots::over(upstreams), Arc::default()).await
    }

    /// An entry before these upstreams that has saved up a few second tries.
    pub async fn with_budget(upstreams: &[&UpstreamStandin]) -> Self {
        let quiet = spawn_standin(9, Duration::ZERO).await;
        let vm = Self::before(&[quiet.address()]).await;
        for _ in 0..40 {
            vm.get("/read").await;
        }
        vm.slots.settles.lock().unwrap().clear();
        *vm.slots.targets.lock().unwrap() = upstreams.iter().map(|one| one.address()).collect();
        vm
    }

    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    pub async fn get(&self, path: &str) -> WholeAnswer {
        call(self.address(), request("GET", path, &[], b"")).await.unwrap()
    }

    pub async fn pay(&self, key: CallKey, body: &[u8]) -> WholeAnswer {
        call(self.address(), payment(key, body)).await.unwrap()
    }
}

pub fn payment(key: CallKey, body: &[u8]) -> Request<Full<Bytes>> {
    request("POST", "/pay", &[(KEY_HEADER, &key.to_string())], body)
}

pub fn key(number: u8) -> CallKey {
    CallKey::from_parts(1_700_000_000_000, [number; 10])
}

pub fn any_port() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

fn config() -> FleetConfig {
    let route = |path: &str, class, timeout_ms| {
        let rule = RouteRule {
            host: None,
            path: path.to_owned(),
            methods: Vec::new(),
            service: "hunt".parse().unwrap(),
            class,
            timeout_ms,
        };
        (path.trim_start_matches('/').parse().unwrap(), rule)
    };
    FleetConfig::from_image(ConfigImage {
        number: ConfigNumber(1),
        services: vec![("hunt".parse().unwrap(), ServiceRule::default())],
        routes: vec![
            route("/read", CallClass::Idempotent, 20_000),
            route("/brief", CallClass::Idempotent, 1_000),
            route("/pay", CallClass::KeyRequired, 20_000),
            route("/pay-brief", CallClass::KeyRequired, 400),
            route("/once", CallClass::Unprotected, 20_000),
        ],
        settings: ControlSettings::default(),
    })
}

pub async fn spawn_standin(number: u32, takes: Duration) -> UpstreamStandin {
    let settings = StandinSettings {
        service: "hunt".parse().unwrap(),
        upstream: format!("hunt-{number}").parse().unwrap(),
        domain: "pettah".parse().unwrap(),
        slots: 64,
        connections: 64,
        takes,
        announce: Vec::new(),
        secret: String::new(),
        seed: u64::from(number),
    };
    UpstreamStandin::spawn(settings).await.unwrap()
}

/// Waits until a condition holds.
///
/// # Panics
///
/// Panics when it does not hold in time.
pub async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let deadline = tokio::time::Instant::now() + PATIENCE;
    while !condition() {
        assert!(tokio::time::Instant::now() < deadline, "not in time: {what}");
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}
