//! Starts daemons and upstream stand-ins on loopback and puts a configuration in force.

use std::{io, net::SocketAddr, time::Duration};

use crate::folder::TempFolder;
use daemon::{
    node::{DaemonError, DaemonNode},
    settings::DaemonSettings,
};
use model::{
    call::CallClass,
    config::ServiceRule,
    numbers::ConfigNumber,
    patch::{ConfigChange, ConfigPatch, PatchId},
    route::RouteRule,
    secret::SharedSecret,
};
use operator::pages::PatchAnswer;
use snafu::{ResultExt, Snafu, ensure};
use standin::{
    call::{CallError, call, request},
    upstream::{StandinSettings, UpstreamStandin},
};
use uuid::Uuid;

/// The secret of all ports of a deployment.
pub const SECRET: &str = "a secret for one machine only";

/// How long a call takes at an upstream.
pub const SERVICE_TIME: Duration = Duration::from_millis(5);

/// How long a deployment may take to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(15);

/// One service and its upstreams.
#[derive(Clone, Debug)]
pub struct ServicePlan {
    /// Its name.
    pub name: &'static str,
    /// Its rule.
    pub rule: ServiceRule,
    /// How many upstreams.
    pub upstreams: u32,
    /// How many slots each has.
    pub slots: u32,
}

/// One route.
#[derive(Clone, Copy, Debug)]
pub struct RoutePlan {
    /// The service that answers.
    pub service: &'static str,
    /// The path.
    pub path: &'static str,
    /// The class of its calls.
    pub class: CallClass,
}

/// What a deployment is made of.
#[derive(Clone, Debug)]
pub struct DeploymentPlan {
    /// Its name.
    pub name: &'static str,
    /// Its failure domains.
    pub domains: [&'static str; 4],
    /// Its services.
    pub services: Vec<ServicePlan>,
    /// Its routes.
    pub routes: Vec<RoutePlan>,
    /// How many connections an upstream accepts.
    pub connections: u32,
}

/// Why a deployment did not start.
#[derive(Debug, Snafu)]
pub enum DeploymentError {
    /// A folder or port was refused.
    #[snafu(display("the system refused: {source}"))]
    System {
        /// What it said.
        source: io::Error,
    },
    /// A daemon did not start.
    #[snafu(display("a daemon did not start: {source}"))]
    Daemon {
        /// Why.
        source: DaemonError,
    },
    /// An operators' call failed.
    #[snafu(display("an operators' call failed: {source}"))]
    Operator {
        /// Why.
        source: CallError,
    },
    /// The first patch was refused.
    #[snafu(display("the first patch was refused: {text}"))]
    Patch {
        /// The answer.
        text: String,
    },
    /// It was not ready in time.
    #[snafu(display("not ready in {READY_TIMEOUT:?}: {what}"))]
    NotReady {
        /// What was waited for.
        what: &'static str,
    },
}

/// Running daemons and upstreams.
pub struct Deployment {
    /// What it was started from.
    pub plan: DeploymentPlan,
    /// The daemons. The first has the data folder. One that was stopped is `None`.
    pub daemons: Vec<Option<DaemonNode>>,
    /// The upstreams.
    pub upstreams: Vec<UpstreamStandin>,
    folders: Vec<TempFolder>,
}

impl Deployment {
    /// Starts `daemons` daemons, of which the first `replicas` have a disk, and the planned
    /// upstreams, submits the planned configuration and waits until it is in force everywhere and
    /// each upstream is known.
    ///
    /// # Errors
    ///
    /// Fails when something does not start or is not ready in time.
    pub async fn spawn(
        plan: DeploymentPlan,
        daemons: usize,
        replicas: usize,
    ) -> Result<Self, DeploymentError> {
        let mut deployment =
            Self { plan, daemons: Vec::new(), upstreams: Vec::new(), folders: Vec::new() };
        for number in 0..daemons {
            deployment.spawn_daemon(number, number < replicas).await?;
        }
        deployment.submit_plan().await?;
        deployment.spawn_upstreams().await?;
        deployment.wait_until_ready().await?;
        Ok(deployment)
    }

    async fn spawn_daemon(&mut self, number: usize, disk: bool) -> Result<(), DeploymentError> {
        let seeds = self.daemons.iter().flatten().map(DaemonNode::fleet_address).collect();
        let data = if disk {
            let folder = TempFolder::open().context(SystemSnafu)?;
            let path = folder.path().to_owned();
            self.folders.push(folder);
            Some(path)
        } else {
            None
        };
        let any: SocketAddr = ([127, 0, 0, 1], 0).into();
        let secret = SharedSecret::from_bytes(SECRET.as_bytes()).expect("it is long enough");
        let settings = DaemonSettings {
            member: format!("{}-{number}", self.plan.name).parse().expect("a valid name"),
            domain: self.plan.domains[number % 4].parse().expect("a valid name"),
            caller_listen: any,
            announce_listen: any,
            operator_listen: any,
            platform_listen: any,
            fleet_listen: any,
            seeds,
            data,
            fleet_secret: secret.clone(),
            operator_secret: secret.clone(),
            announce_secret: secret,
        };
        let daemon = DaemonNode::spawn(&settings).await.context(DaemonSnafu)?;
        self.daemons.push(Some(daemon));
        Ok(())
    }

    async fn spawn_upstreams(&mut self) -> Result<(), DeploymentError> {
        let announce: Vec<_> =
            self.daemons.iter().flatten().map(DaemonNode::announce_address).collect();
        for service in self.plan.services.clone() {
            for number in 0..service.upstreams {
                let mut announce = announce.clone();
                let turn = number as usize % announce.len();
                announce.rotate_left(turn);
                let settings = StandinSettings {
                    service: service.name.parse().expect("a valid name"),
                    upstream: format!("{}-{number}", service.name).parse().expect("a valid name"),
                    domain: self.plan.domains[number as usize % 4].parse().expect("a valid name"),
                    slots: service.slots,
                    connections: self.plan.connections,
                    takes: SERVICE_TIME,
                    announce,
                    secret: SECRET.to_owned(),
                    seed: u64::from(number),
                };
                let upstream = UpstreamStandin::spawn(settings).await.context(SystemSnafu)?;
                self.upstreams.push(upstream);
            }
        }
        Ok(())
    }

    async fn submit_plan(&self) -> Result<(), DeploymentError> {
        let services = self.plan.services.iter().map(|service| ConfigChange::PutService {
            name: service.name.parse().expect("a valid name"),
            rule: service.rule.clone(),
        });
        let settings = ConfigChange::PutSettings {
            settings: model::config::ControlSettings { lame_duck_ms: 500, ..Default::default() },
        };
        let routes = self.plan.routes.iter().map(|route| ConfigChange::PutRoute {
            name: route.path.trim_start_matches('/').parse().expect("a valid name"),
            rule: RouteRule {
                host: None,
                path: route.path.to_owned(),
                methods: Vec::new(),
                service: route.service.parse().expect("a valid name"),
                class: route.class,
                timeout_ms: 2_000,
            },
        });
        let patch = ConfigPatch {
            id: PatchId(Uuid::now_v7()),
            base: ConfigNumber(0),
            author: "trial".to_owned(),
            changes: services.chain(routes).chain([settings]).collect(),
        };
        let deadline = tokio::time::Instant::now() + READY_TIMEOUT;
        loop {
            let answer = self.submit(&patch).await?;
            match answer {
                Some(PatchAnswer::Accepted { .. }) => return Ok(()),
                Some(PatchAnswer::Refused { text, .. }) => {
                    return PatchSnafu { text }.fail();
                }
                None => (),
            }
            let what = "a leader of the configuration";
            ensure!(tokio::time::Instant::now() < deadline, NotReadySnafu { what });
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Submits a patch through the last daemon. `None`: no majority was reached; send it again.
    ///
    /// # Errors
    ///
    /// Fails when the operators' port does not answer.
    pub async fn submit(
        &self,
        patch: &ConfigPatch,
    ) -> Result<Option<PatchAnswer>, DeploymentError> {
        let last = self.daemons.iter().flatten().next_back().expect("a daemon runs");
        let body = serde_json::to_vec(patch).expect("a patch has a JSON form");
        let bearer = format!("Bearer {SECRET}");
        let headers = [("authorization", bearer.as_str()), ("content-type", "application/json")];
        let post = request("POST", "/patches", &headers, &body);
        let answer = call(last.operator_address(), post).await.context(OperatorSnafu)?;
        Ok(serde_json::from_slice(&answer.body).ok())
    }

    /// Asks the operators' interface of a daemon for a page.
    ///
    /// # Errors
    ///
    /// Fails when it does not answer.
    pub async fn page(
        &self,
        daemon: usize,
        path: &str,
    ) -> Result<serde_json::Value, DeploymentError> {
        let bearer = format!("Bearer {SECRET}");
        let get = request("GET", path, &[("authorization", &bearer)], b"");
        let daemon = self.daemons[daemon].as_ref().expect("the daemon runs");
        let answer = call(daemon.operator_address(), get).await.context(OperatorSnafu)?;
        Ok(serde_json::from_slice(&answer.body).unwrap_or_default())
    }

    async fn wait_until_ready(&self) -> Result<(), DeploymentError> {
        let deadline = tokio::time::Instant::now() + READY_TIMEOUT;
        for number in 0..self.daemons.len() {
            while !self.is_ready(number).await? {
                let what = "configuration and upstreams on each VM";
                ensure!(tokio::time::Instant::now() < deadline, NotReadySnafu { what });
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
        Ok(())
    }

    async fn is_ready(&self, number: usize) -> Result<bool, DeploymentError> {
        let upstreams = self.page(number, "/upstreams").await?;
        let status = self.page(number, "/status").await?;
        let known = upstreams.as_array().map_or(0, Vec::len) == self.upstreams.len();
        let members = status["members"] == self.daemons.len();
        Ok(known && members && status["in-force"] == status["members"] && status["accepted"] == 1)
    }

    /// Stops a daemon as planned.
    pub async fn stop(&mut self, number: usize) {
        if let Some(daemon) = self.daemons[number].take() {
            daemon.stop().await;
        }
    }

    /// Lists where callers are served, with where the balancer asks.
    pub fn entries(&self) -> Vec<(SocketAddr, SocketAddr)> {
        let daemons = self.daemons.iter().flatten();
        daemons.map(|daemon| (daemon.caller_address(), daemon.platform_address())).collect()
    }
}
