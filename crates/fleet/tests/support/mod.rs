//! Names, facts and running nodes for the tests of this crate.
#![allow(dead_code, reason = "each test file uses some of it")]

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use control::{handle::ControlHandle, settings::ReplicaSettings};
use fleet::{
    driver::ReplicaPart,
    fact::{FleetFact, MemberRecord, UpstreamFact},
    handle::FleetNode,
    settings::FleetSettings,
};
use model::{
    announcement::{UpstreamAnnouncement, UpstreamState},
    call::{CallClass, OutcomeClass},
    config::ServiceRule,
    moment::Moment,
    names::{MemberName, ServiceName, UpstreamName},
    numbers::{CallNumber, ConfigNumber, GrantNumber, IncarnationNumber, PlacerEpoch},
    patch::{ConfigChange, ConfigPatch, PatchId},
    ports::OperatorPort,
    secret::SharedSecret,
    slot::{GrantId, RequestFingerprint, SlotAsk, SlotGrant, SlotSettle},
};

pub(crate) fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

pub(crate) fn member(name: &str) -> MemberName {
    name.parse().expect("a valid name")
}

pub(crate) fn service(name: &str) -> ServiceName {
    name.parse().expect("a valid name")
}

pub(crate) fn upstream(name: &str) -> UpstreamName {
    name.parse().expect("a valid name")
}

pub(crate) fn record(number: u16) -> MemberRecord {
    MemberRecord {
        member: member(&format!("vm-{number:04}")),
        domain: "fort-hall".parse().expect("a valid name"),
        address: SocketAddr::from(([127, 0, 0, 1], 10_000 + number)),
        incarnation: IncarnationNumber(1),
        version: 1,
        stopping: false,
        replica: false,
    }
}

pub(crate) fn announcement(
    name: &str,
    state: UpstreamState,
    sequence: u64,
) -> UpstreamAnnouncement {
    UpstreamAnnouncement {
        service: service("cluebook"),
        upstream: upstream(name),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        domain: "fort-hall".parse().expect("a valid name"),
        slots: 4,
        connections: 400,
        state,
        incarnation: IncarnationNumber(1),
        sequence,
        lease_ms: 4_000,
        age_ms: 60_000,
    }
}

pub(crate) fn upstream_fact(name: &str, state: UpstreamState, sequence: u64) -> FleetFact {
    FleetFact::Upstream(UpstreamFact {
        announcement: announcement(name, state, sequence),
        ended: false,
    })
}

pub(crate) fn ask(call: u64, within_ms: u32) -> SlotAsk {
    SlotAsk {
        service: service("cluebook"),
        route: "clue".parse().expect("a valid name"),
        caller: "team".parse().expect("a valid name"),
        class: CallClass::Idempotent,
        call: CallNumber(call),
        attempt: 1,
        fingerprint: RequestFingerprint(call),
        domain: "fort-hall".parse().expect("a valid name"),
        within_ms,
        avoid: Vec::new(),
    }
}

pub(crate) fn grant(granter: &str, epoch: u64, number: u64) -> SlotGrant {
    SlotGrant {
        id: GrantId {
            granter: member(granter),
            epoch: PlacerEpoch(epoch),
            number: GrantNumber(number),
        },
        upstream: upstream("cluebook-0"),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        connections: 1,
        waited_us: 0,
        trial: false,
        hedge_after_us: 0,
    }
}

pub(crate) fn settle(grant: &SlotGrant, outcome: OutcomeClass) -> SlotSettle {
    SlotSettle {
        id: grant.id.clone(),
        service: service("cluebook"),
        route: "clue".parse().expect("a valid name"),
        upstream: grant.upstream.clone(),
        fingerprint: RequestFingerprint(0),
        outcome,
        took_us: 1_000,
    }
}

/// The longest that a condition is waited for. Far longer than each takes, since the machine may be
/// busy with other tests.
const PATIENCE: Duration = Duration::from_secs(20);

/// Waits until a condition holds.
pub(crate) async fn until<F: Future<Output = bool>>(what: &str, mut holds: impl FnMut() -> F) {
    let deadline = Instant::now() + PATIENCE;
    while !holds().await {
        assert!(Instant::now() < deadline, "not within {PATIENCE:?}: {what}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Some running nodes on loopback.
pub(crate) struct Nodes {
    pub(crate) nodes: Vec<FleetNode>,
    folder: std::path::PathBuf,
}

impl Drop for Nodes {
    fn drop(&mut self) {
        self.nodes.iter().for_each(FleetNode::kill);
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

pub(crate) fn settings(name: &str, seeds: Vec<SocketAddr>) -> FleetSettings {
    FleetSettings {
        member: member(name),
        domain: "fort-hall".parse().expect("a valid name"),
        incarnation: IncarnationNumber(1),
        listen: SocketAddr::from(([127, 0, 0, 1], 0)),
        seeds,
        secret: SharedSecret::from_bytes(b"a secret for one machine only").expect("long enough"),
    }
}

fn replicas(number: usize, founders: usize, folder: &std::path::Path) -> ReplicaPart {
    let name = |number: usize| member(&format!("vm-{number}"));
    let settings = ReplicaSettings {
        member: name(number),
        folder: folder.join(number.to_string()),
        founders: (0..founders).map(name).collect(),
        seed: number as u64,
    };
    ControlHandle::open(settings).expect("the folder is new")
}

impl Nodes {
    /// Starts nodes, the first with the replicas, and waits until each sees all of them.
    pub(crate) async fn spawn(count: usize) -> Self {
        Self::spawn_with(count, 1).await
    }

    /// Starts nodes, the first `founders` with replicas, and waits until each sees all of them.
    pub(crate) async fn spawn_with(count: usize, founders: usize) -> Self {
        let folder = std::env::temp_dir().join(format!("fleet-{}", uuid::Uuid::new_v4()));
        let mut nodes: Vec<FleetNode> = Vec::new();
        for number in 0..count {
            let name = format!("vm-{number}");
            let seeds = nodes.first().map(FleetNode::address).into_iter().collect();
            let part = (number < founders).then(|| replicas(number, founders, &folder));
            let node = FleetNode::spawn(settings(&name, seeds), part).expect("a free port");
            nodes.push(node);
        }
        let all = Self { nodes, folder };
        for node in &all.nodes {
            until("each node sees all", || async {
                let rows = node.members().await;
                rows.iter().filter(|row| row.reachable).count() == count
            })
            .await;
        }
        all
    }

    /// Puts one service in force everywhere.
    pub(crate) async fn configure(&self) {
        let change =
            ConfigChange::PutService { name: service("cluebook"), rule: ServiceRule::default() };
        self.submit(ConfigNumber(0), change).await;
    }

    /// Submits a change and waits until it is in force on each node.
    pub(crate) async fn submit(&self, base: ConfigNumber, change: ConfigChange) {
        let patch = ConfigPatch {
            id: PatchId(uuid::Uuid::now_v7()),
            base,
            author: "test".to_owned(),
            changes: vec![change],
        };
        until("the patch is accepted", || async {
            let last = self.nodes.last().expect("a node runs");
            matches!(last.submit(patch.clone()).await, Ok(Ok(_)))
        })
        .await;
        for node in &self.nodes {
            until("the patch is in force", || async { *node.watch_number().borrow() > base }).await;
        }
    }

    /// Returns which node places the service.
    pub(crate) async fn placer(&self) -> usize {
        let rows = self.nodes[0].placers().await;
        let row = rows.iter().find(|row| row.service == service("cluebook"));
        let name = &row.expect("there is a placer").member;
        let number = name.as_str().trim_start_matches("vm-");
        number.parse().expect("a number")
    }
}
