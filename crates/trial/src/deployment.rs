//! Starts daemons and upstream stand-ins on loopback and puts a configuration in force.
//!
//! Each daemon runs on a runtime of its own. Ending that runtime between two polls of its tasks is
//! what a kill is: no connection is closed in order, no duty handed over, nothing more is written.

use std::{collections::HashMap, io, net::SocketAddr, time::Duration};

use crate::{
    folder::TempFolder,
    plan::{DeploymentPlan, SECRET},
};
use daemon::{
    node::{DaemonError, DaemonNode},
    settings::DaemonSettings,
};
use model::{
    names::MemberName,
    numbers::ConfigNumber,
    patch::{ConfigChange, ConfigPatch, PatchId},
    route::RouteRule,
    secret::SharedSecret,
};
use operator::pages::PatchAnswer;
use snafu::{ResultExt, Snafu, ensure};
use standin::{
    call::{CallError, call, request},
    upstream::UpstreamStandin,
};
use tokio::runtime::{Builder, Runtime};
use uuid::Uuid;

/// How long a deployment may take to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(15);

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

/// One VM: its settings and folder outlive its daemon.
struct DeployedVm {
    settings: DaemonSettings,
    running: Option<RunningDaemon>,
    _folder: Option<TempFolder>,
}

struct RunningDaemon {
    runtime: OwnRuntime,
    node: DaemonNode,
}

/// A runtime that ends without waiting for its tasks, also where waiting is not allowed.
struct OwnRuntime(Option<Runtime>);

impl OwnRuntime {
    fn open() -> io::Result<Self> {
        let mut builder = Builder::new_multi_thread();
        let runtime = builder.worker_threads(TRAFFIC_THREADS).enable_all().build()?;
        Ok(Self(Some(runtime)))
    }

    async fn run<T: Send + 'static>(&self, task: impl Future<Output = T> + Send + 'static) -> T {
        let runtime = self.0.as_ref().expect("taken only when dropped");
        runtime.spawn(task).await.expect("a daemon does not panic")
    }
}

impl Drop for OwnRuntime {
    fn drop(&mut self) {
        if let Some(runtime) = self.0.take() {
            runtime.shutdown_background();
        }
    }
}

/// Running daemons and upstreams.
pub struct Deployment {
    /// What it was started from.
    pub plan: DeploymentPlan,
    /// The upstreams.
    pub upstreams: Vec<UpstreamStandin>,
    vms: Vec<DeployedVm>,
    replicas: usize,
}

/// How many threads the traffic of one daemon has.
const TRAFFIC_THREADS: usize = 2;

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
        let mut deployment = Self { plan, upstreams: Vec::new(), vms: Vec::new(), replicas };
        for number in 0..daemons {
            let vm = deployment.new_vm(number)?;
            deployment.vms.push(vm);
            deployment.start(number).await?;
        }
        deployment.submit_plan().await?;
        deployment.spawn_upstreams().await?;
        deployment.wait_until_ready().await?;
        Ok(deployment)
    }

    fn new_vm(&self, number: usize) -> Result<DeployedVm, DeploymentError> {
        let folder = (number < self.replicas).then(TempFolder::open).transpose();
        let folder = folder.context(SystemSnafu)?;
        let founders = (0..self.replicas).map(|number| self.member(number)).collect();
        let any: SocketAddr = ([127, 0, 0, 1], 0).into();
        let secret = SharedSecret::from_bytes(SECRET.as_bytes()).expect("it is long enough");
        let settings = DaemonSettings {
            member: self.member(number),
            domain: self.plan.domains[number % 4].parse().expect("a valid name"),
            caller_listen: any,
            announce_listen: any,
            operator_listen: any,
            platform_listen: any,
            fleet_listen: any,
            seeds: Vec::new(),
            data: folder.as_ref().map(|folder| folder.path().to_owned()),
            founders,
            fleet_secret: secret.clone(),
            operator_secret: secret.clone(),
            announce_secret: secret,
        };
        Ok(DeployedVm { settings, running: None, _folder: folder })
    }

    fn member(&self, number: usize) -> MemberName {
        format!("{}-{number}", self.plan.name).parse().expect("a valid name")
    }

    /// Starts the daemon of a VM, also again after it was stopped or killed.
    ///
    /// # Errors
    ///
    /// Fails when it does not start.
    pub async fn start(&mut self, number: usize) -> Result<(), DeploymentError> {
        let mut settings = self.vms[number].settings.clone();
        settings.seeds = self.running().map(DaemonNode::fleet_address).collect();
        let runtime = OwnRuntime::open().context(SystemSnafu)?;
        let spawned = runtime.run(async move { DaemonNode::spawn(&settings).await }).await;
        let node = spawned.context(DaemonSnafu)?;
        self.vms[number].running = Some(RunningDaemon { runtime, node });
        Ok(())
    }

    /// Stops a daemon as planned.
    pub async fn stop(&mut self, number: usize) {
        if let Some(RunningDaemon { runtime, node }) = self.vms[number].running.take() {
            runtime.run(node.stop()).await;
        }
    }

    /// Kills a daemon.
    pub fn kill(&mut self, number: usize) {
        if let Some(RunningDaemon { runtime, node }) = self.vms[number].running.take() {
            drop(runtime);
            node.kill();
        }
    }

    /// Lists the daemons that run.
    pub fn running(&self) -> impl DoubleEndedIterator<Item = &DaemonNode> {
        self.vms.iter().filter_map(|vm| vm.running.as_ref()).map(|running| &running.node)
    }

    /// Returns a daemon that runs.
    ///
    /// # Panics
    ///
    /// Panics when it was stopped or killed.
    pub fn daemon(&self, number: usize) -> &DaemonNode {
        &self.vms[number].running.as_ref().expect("the daemon runs").node
    }

    async fn spawn_upstreams(&mut self) -> Result<(), DeploymentError> {
        let announce: Vec<_> = self.running().map(DaemonNode::announce_address).collect();
        for settings in self.plan.upstream_settings(&announce) {
            let upstream = UpstreamStandin::spawn(settings).await.context(SystemSnafu)?;
            self.upstreams.push(upstream);
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
        let last = self.running().next_back().expect("a daemon runs");
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
        let answer =
            call(self.daemon(daemon).operator_address(), get).await.context(OperatorSnafu)?;
        Ok(serde_json::from_slice(&answer.body).unwrap_or_default())
    }

    async fn wait_until_ready(&self) -> Result<(), DeploymentError> {
        let deadline = tokio::time::Instant::now() + READY_TIMEOUT;
        for number in 0..self.vms.len() {
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
        let members = status["members"] == self.vms.len();
        let in_force = status["in-force"] == status["members"] && status["accepted"] == 1;
        Ok(known && members && in_force && are_led(&status["groups"]))
    }

    /// Returns how often each key ran, over all upstreams.
    pub fn runs_by_key(&self) -> HashMap<String, u32> {
        let mut runs = HashMap::new();
        for upstream in &self.upstreams {
            for (key, count) in upstream.runs_by_key() {
                *runs.entry(key).or_default() += count;
            }
        }
        runs
    }

    /// Lists where callers are served, with where the balancer asks.
    pub fn entries(&self) -> Vec<(SocketAddr, SocketAddr)> {
        let entry = |node: &DaemonNode| (node.caller_address(), node.platform_address());
        self.running().map(entry).collect()
    }
}

/// Tells whether each group that a VM replicates has a leader. A founder that is lost before its
/// group was founded holds the founding up until it is back, which no test here is about.
fn are_led(groups: &serde_json::Value) -> bool {
    groups.as_array().is_some_and(|rows| rows.iter().all(|row| !row["leader"].is_null()))
}
