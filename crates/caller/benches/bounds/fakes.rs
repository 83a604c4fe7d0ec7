//! A placer and a ledger that cost next to nothing, and an entry between them.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use arc_swap::ArcSwap;
use caller::{
    entry::{CallEntry, EntryParts},
    server::CallerServer,
};
use model::{
    call::{CallClass, CallRefusal},
    config::{ConfigImage, ControlSettings, FleetConfig, ServiceRule},
    ledger::{ClaimAnswer, KeyClaim, KeyClose},
    names::{MemberName, UpstreamName},
    numbers::{AttemptNumber, ConfigNumber, GrantNumber, PlacerEpoch},
    ports::{LedgerFault, LedgerPort, SlotPort},
    route::RouteRule,
    slot::{GrantId, SlotAsk, SlotGrant, SlotSettle},
};
use upstream::pool::ConnectionPool;

/// Grants one upstream at once.
pub(crate) struct QuickSlots {
    upstream: UpstreamName,
    address: SocketAddr,
    member: MemberName,
    granted: AtomicU64,
}

impl SlotPort for QuickSlots {
    async fn ask(&self, _: SlotAsk) -> Result<SlotGrant, CallRefusal> {
        let number = GrantNumber(self.granted.fetch_add(1, Ordering::Relaxed));
        Ok(SlotGrant {
            id: GrantId { granter: self.member.clone(), epoch: PlacerEpoch(1), number },
            upstream: self.upstream.clone(),
            address: self.address,
            connections: 1_000,
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

/// Lets each claim run.
pub(crate) struct QuickLedger;

impl LedgerPort for QuickLedger {
    async fn claim(&self, _: KeyClaim) -> Result<ClaimAnswer, LedgerFault> {
        Ok(ClaimAnswer::Run { attempt: AttemptNumber(1) })
    }

    async fn close(&self, _: KeyClose) -> Result<(), LedgerFault> {
        Ok(())
    }
}

/// Starts an entry before one upstream.
pub(crate) async fn spawn_entry(address: SocketAddr) -> CallerServer {
    let slots = QuickSlots {
        upstream: "hunt-0".parse().expect("a valid name"),
        address,
        member: "vm-0".parse().expect("a valid name"),
        granted: AtomicU64::new(1),
    };
    let parts = EntryParts {
        slots: Arc::new(slots),
        ledger: Arc::new(QuickLedger),
        pool: ConnectionPool::new(),
        config: Arc::new(ArcSwap::from_pointee(config())),
        domain: "pettah".parse().expect("a valid name"),
    };
    let port = ([127, 0, 0, 1], 0).into();
    let entry = Arc::new(CallEntry::new(parts));
    CallerServer::bind(port, entry).await.expect("loopback has a free port")
}

fn config() -> FleetConfig {
    let route = |path: &str, class| {
        let rule = RouteRule {
            host: None,
            path: path.to_owned(),
            methods: Vec::new(),
            service: "hunt".parse().expect("a valid name"),
            class,
            timeout_ms: 10_000,
        };
        (path.trim_start_matches('/').parse().expect("a valid name"), rule)
    };
    FleetConfig::from_image(ConfigImage {
        number: ConfigNumber(1),
        services: vec![("hunt".parse().expect("a valid name"), ServiceRule::default())],
        routes: vec![route("/read", CallClass::Idempotent), route("/pay", CallClass::KeyRequired)],
        settings: ControlSettings::default(),
    })
}
