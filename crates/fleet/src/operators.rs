//! What operators may see and do, through any VM.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use crate::{
    driver::FleetDriver,
    handle::FleetNode,
    membership::SILENCE_LIMIT,
    replicas::control_fault,
    wire::{FleetPeerClient, HealthRow, PlacerOverview},
};
use futures::{StreamExt, stream};
use model::{
    config::FleetConfig,
    names::{MemberName, ServiceName, UpstreamName},
    numbers::{ConfigNumber, GroupNumber},
    patch::{ConfigPatch, PatchId, PatchRecord, PatchResult},
    ports::{ControlFault, OperatorPort, ReplicaChange},
    report::{CapacityRow, MemberRow, PlacerRow, StatusReport, UpstreamRow},
};

/// How long a control operation may take in all.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(3);

/// How long a change of replicas may take: the new one has to catch up.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(15);

/// How long the leader is waited for when operators ask how far a configuration has come.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(1);

/// How long one VM is waited for when all are asked.
const SURVEY_TIMEOUT: Duration = Duration::from_secs(1);

/// How many VMs are asked at once. An operator's question must not open 5,700 connections together.
const SURVEY_WIDTH: usize = 64;

impl FleetNode {
    /// Asks each VM for the number in force there.
    async fn numbers_in_force(&self) -> BTreeMap<MemberName, ConfigNumber> {
        let view = self.shared.view.load_full();
        let members: Vec<_> =
            view.members().iter().map(|(name, member)| (name.clone(), member.address)).collect();
        let asked = stream::iter(members).map(|(name, address)| {
            let links = self.shared.links.clone();
            async move {
                let call = |client: FleetPeerClient, context| async move {
                    client.in_force(context).await
                };
                Some((name, links.call(address, SURVEY_TIMEOUT, call).await.ok()?))
            }
        });
        asked.buffer_unordered(SURVEY_WIDTH).filter_map(|answer| async { answer }).collect().await
    }

    /// Asks the VMs that hold placers of the configured services for their view.
    async fn overviews(&self) -> Vec<PlacerOverview> {
        let (view, config) = (self.shared.view.load_full(), self.config());
        let placers = config.services().filter_map(|(service, _)| view.placer_of(service, 0));
        let addresses: BTreeSet<SocketAddr> = placers.map(|placer| placer.address).collect();
        let asked = stream::iter(addresses).map(|address| {
            let links = self.shared.links.clone();
            async move {
                let call = |client: FleetPeerClient, context| async move {
                    client.overview(context).await
                };
                links.call(address, SURVEY_TIMEOUT, call).await.ok()
            }
        });
        asked.buffer_unordered(SURVEY_WIDTH).filter_map(|answer| async { answer }).collect().await
    }

    async fn change(&self, group: GroupNumber, change: ReplicaChange) -> Result<(), ControlFault> {
        let call = |client: FleetPeerClient, context| {
            let change = change.clone();
            async move { client.change_replicas(context, group, change).await }
        };
        let answer = self.replicas.on_leader(group, CHANGE_TIMEOUT, call).await;
        answer.map_err(|fault| control_fault(fault, group))
    }
}

fn upstream_rows(
    driver: &FleetDriver,
    health: &BTreeMap<(ServiceName, UpstreamName), HealthRow>,
) -> Vec<UpstreamRow> {
    let rows = driver.directory.all().map(|announcement| {
        let key = (announcement.service.clone(), announcement.upstream.clone());
        let seen = health.get(&key);
        UpstreamRow {
            service: announcement.service.clone(),
            upstream: announcement.upstream.clone(),
            address: announcement.address,
            domain: announcement.domain.clone(),
            state: announcement.state,
            health: seen.map(|row| row.health),
            slots: announcement.slots,
            busy: seen.map_or(0, |row| row.busy),
            incarnation: announcement.incarnation,
            lease_left_ms: driver.lease_left_ms(announcement),
            ejected_left_ms: seen.map_or(0, |row| row.ejected_left_ms),
        }
    });
    rows.collect()
}

fn member_rows(
    driver: &FleetDriver,
    numbers: &BTreeMap<MemberName, ConfigNumber>,
) -> Vec<MemberRow> {
    let now = driver.now();
    let rows = driver.gossip.records().map(|record| {
        let lost = driver.gossip.lost_since(&record.member);
        // A reachable VM was heard by its watchers within the limit; who is lost was not since then.
        let silent = lost.map_or(Duration::ZERO, |since| now.since(since) + SILENCE_LIMIT);
        MemberRow {
            member: record.member.clone(),
            domain: record.domain.clone(),
            address: record.address,
            incarnation: record.incarnation,
            reachable: lost.is_none(),
            heard_ms: u64::try_from(silent.as_millis()).unwrap_or(u64::MAX),
            in_force: numbers.get(&record.member).copied().unwrap_or_default(),
            stopping: record.stopping,
            replica: record.replica,
        }
    });
    rows.collect()
}

impl OperatorPort for FleetNode {
    async fn submit(&self, patch: ConfigPatch) -> Result<PatchResult, ControlFault> {
        let group = GroupNumber::CONFIG;
        let call = |client: FleetPeerClient, context| {
            let patch = patch.clone();
            async move { client.submit(context, patch).await }
        };
        let answer = self.replicas.on_leader(group, CONTROL_TIMEOUT, call).await;
        answer.map_err(|fault| control_fault(fault, group))
    }

    fn config(&self) -> Arc<FleetConfig> {
        self.shared.config.load_full()
    }

    async fn config_after(&self, number: ConfigNumber) -> Arc<FleetConfig> {
        let mut changed = self.shared.changed.clone();
        // A node that has ended has no later configuration: its present one is the answer.
        let _ = changed.wait_for(|&present| present > number).await;
        self.config()
    }

    async fn history(
        &self,
        after: ConfigNumber,
        limit: u32,
    ) -> Result<Vec<PatchRecord>, ControlFault> {
        let group = GroupNumber::CONFIG;
        let call = |client: FleetPeerClient, context| async move {
            client.history(context, after, limit).await
        };
        let answer = self.replicas.on_leader(group, CONTROL_TIMEOUT, call).await;
        answer.map_err(|fault| control_fault(fault, group))
    }

    async fn patch(&self, id: PatchId) -> Result<Option<PatchResult>, ControlFault> {
        let group = GroupNumber::CONFIG;
        let call =
            |client: FleetPeerClient, context| async move { client.patch(context, id).await };
        let answer = self.replicas.on_leader(group, CONTROL_TIMEOUT, call).await;
        answer.map_err(|fault| control_fault(fault, group))
    }

    async fn status(&self) -> StatusReport {
        let call = |client: FleetPeerClient, context| async move { client.confirm(context).await };
        let leader = self.replicas.on_leader(GroupNumber::CONFIG, CONFIRM_TIMEOUT, call);
        let (confirmed, rows) = tokio::join!(leader, self.members());
        let config = self.config();
        let accepted = confirmed.as_ref().map_or(config.number(), |&n| n.max(config.number()));
        let lags = |row: &&MemberRow| row.in_force < accepted;
        let lagging: Vec<_> =
            rows.iter().filter(lags).map(|row| (row.member.clone(), row.in_force)).collect();
        let groups = self.shared.control.as_ref().map(|control| control.rows());
        StatusReport {
            accepted,
            digest: config.digest(),
            confirmed: confirmed.is_ok(),
            in_force: u32::try_from(rows.len() - lagging.len()).unwrap_or(u32::MAX),
            members: u32::try_from(rows.len()).unwrap_or(u32::MAX),
            lagging,
            groups: groups.unwrap_or_default(),
        }
    }

    async fn upstreams(&self) -> Vec<UpstreamRow> {
        let rows = self.overviews().await.into_iter().flat_map(|overview| overview.health);
        let health: BTreeMap<_, _> =
            rows.map(|row| ((row.service.clone(), row.upstream.clone()), row)).collect();
        self.inbox.query(move |driver| upstream_rows(driver, &health)).await.unwrap_or_default()
    }

    async fn placers(&self) -> Vec<PlacerRow> {
        self.overviews().await.into_iter().flat_map(|overview| overview.placers).collect()
    }

    async fn members(&self) -> Vec<MemberRow> {
        let numbers = self.numbers_in_force().await;
        self.inbox.query(move |driver| member_rows(driver, &numbers)).await.unwrap_or_default()
    }

    async fn capacity(&self) -> Vec<CapacityRow> {
        self.overviews().await.into_iter().flat_map(|overview| overview.capacity).collect()
    }

    async fn drain(&self, member: MemberName) -> Result<(), ControlFault> {
        let address = self.shared.view.load().member(&member).map(|member| member.address);
        let Some(address) = address else {
            let reason = format!("there is no VM {member}; list them and name one");
            return Err(ControlFault::Refused { reason });
        };
        let call = |client: FleetPeerClient, context| async move { client.drain(context).await };
        let called = self.shared.links.call(address, CONTROL_TIMEOUT, call).await;
        called.map_err(|error| {
            let reason = format!("VM {member} was not reached ({error}); ask another VM to do it");
            ControlFault::Refused { reason }
        })
    }

    async fn change_replicas(
        &self,
        group: GroupNumber,
        change: ReplicaChange,
    ) -> Result<(), ControlFault> {
        self.change(group, change).await
    }

    async fn snapshot(&self, group: GroupNumber) -> Result<u64, ControlFault> {
        let Some(control) = &self.shared.control else {
            let reason = "this VM holds no replica; ask one that has a data folder".to_owned();
            return Err(ControlFault::Refused { reason });
        };
        let written = control.snapshot(group, CONTROL_TIMEOUT).await;
        written.map_err(|fault| control_fault(fault, group))
    }
}
