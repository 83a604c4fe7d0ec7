//! A fleet of daemons with its services, each VM behind a proxy.

use std::{
    fs, io,
    net::SocketAddr,
    path::{Path, PathBuf},
    time::{Duration, Instant},
};

use standin::upstream::{StandinSettings, UpstreamStandin};
use tokio::{process::Command, time::sleep};

use crate::{
    process::{DaemonPlan, DaemonProcess, free_address},
    proxy::LateProxy,
    run::{SoakError, TooLateSnafu},
};

/// How many VMs there are. The first holds the configuration.
pub const VMS: usize = 5;

/// How many services there are, of two upstreams each.
pub const SERVICES: usize = 8;

const UPSTREAMS_OF_SERVICE: u32 = 2;
const UPSTREAM_TAKES: Duration = Duration::from_millis(5);

/// How long the fleet may take to serve.
const READY_LIMIT: Duration = Duration::from_secs(30);
const READY_PAUSE: Duration = Duration::from_millis(50);

/// The name of a service.
pub fn service_name(number: usize) -> String {
    format!("service-{number}")
}

struct SoakVm {
    plan: DaemonPlan,
    proxy: LateProxy,
    started: Instant,
    process: Option<DaemonProcess>,
}

/// A fleet that runs.
pub struct SoakFleet {
    vms: Vec<SoakVm>,
    /// All upstreams.
    pub upstreams: Vec<UpstreamStandin>,
}

impl SoakFleet {
    /// Starts the VMs and upstreams, and puts a configuration in force.
    ///
    /// # Errors
    ///
    /// Fails when a program cannot be started, or the fleet does not serve in time.
    pub async fn spawn(programs: &Path, folder: &Path) -> Result<Self, SoakError> {
        for name in ["fleet", "operator", "announce"] {
            fs::write(folder.join(name), format!("the {name} secret of a soak"))?;
        }
        let mut fleet = Self { vms: Vec::new(), upstreams: Vec::new() };
        for number in 0..VMS {
            fleet.add_vm(number, programs, folder).await?;
        }
        fleet.submit(&programs.join("coltsfootcrank"), folder).await?;
        fleet.spawn_upstreams().await?;
        for number in 0..VMS {
            fleet.wait_ready(number).await?;
        }
        Ok(fleet)
    }

    async fn add_vm(
        &mut self,
        number: usize,
        programs: &Path,
        folder: &Path,
    ) -> Result<(), SoakError> {
        let proxy = LateProxy::bind().await?;
        let plan = DaemonPlan {
            name: format!("vm-{number}"),
            program: programs.join("coltsfootcrankd"),
            folder: folder.to_owned(),
            listen: free_address(number as u8).await?,
            reached_at: proxy.address(),
            seeds: self.vms.iter().map(|vm| vm.proxy.address()).collect(),
            replicates: number == 0,
        };
        proxy.forward_to(plan.listen);
        let started = Instant::now();
        let process = Some(DaemonProcess::spawn(&plan).await?);
        self.vms.push(SoakVm { plan, proxy, started, process });
        Ok(())
    }

    /// Submits a configuration with a route for each service.
    async fn submit(&self, ctl: &PathBuf, folder: &Path) -> Result<(), SoakError> {
        let mut patch = "author = \"soak\"\n".to_owned();
        for number in 0..SERVICES {
            let name = service_name(number);
            patch.push_str(&format!(
                "[[changes]]\nput-service = {{ name = \"{name}\", rule = {{ floor-slots = 1 }} }}\n\
                 [[changes]]\nput-route = {{ name = \"{name}\", rule = {{ path = \"/{name}\", \
                 service = \"{name}\", class = \"unprotected\", timeout-ms = 8000 }} }}\n"
            ));
        }
        let file = folder.join("services.toml");
        fs::write(&file, patch)?;
        let deadline = Instant::now() + READY_LIMIT;
        let operators = self.process(0)?.operators.to_string();
        while Instant::now() < deadline {
            let mut submit = Command::new(ctl);
            submit.args(["--operator", &operators, "--operator-secret"]);
            submit.arg(folder.join("operator")).args(["patch", "submit"]).arg(&file);
            if submit.output().await?.status.success() {
                return Ok(());
            }
            sleep(READY_PAUSE).await;
        }
        TooLateSnafu { waited_for: "the configuration to be accepted" }.fail()
    }

    async fn spawn_upstreams(&mut self) -> Result<(), SoakError> {
        let announce = vec![self.process(0)?.announce];
        let secret = "the announce secret of a soak".to_owned();
        for number in 0..SERVICES {
            for place in 0..UPSTREAMS_OF_SERVICE {
                let service = service_name(number);
                let settings = StandinSettings {
                    upstream: format!("{service}-{place}").parse().expect("a valid name"),
                    service: service.parse().expect("a valid name"),
                    domain: "fort-hall".parse().expect("a valid name"),
                    slots: 16,
                    connections: 64,
                    takes: UPSTREAM_TAKES,
                    announce: announce.clone(),
                    secret: secret.clone(),
                    seed: u64::from(place),
                };
                self.upstreams.push(UpstreamStandin::spawn(settings).await?);
            }
        }
        Ok(())
    }

    fn process(&self, vm: usize) -> Result<&DaemonProcess, SoakError> {
        let running = self.vms[vm].process.as_ref();
        running.ok_or_else(|| io::Error::other(format!("vm-{vm} does not run")).into())
    }

    /// Returns where a VM serves callers.
    ///
    /// # Errors
    ///
    /// Fails when it does not run.
    pub fn callers(&self, vm: usize) -> Result<SocketAddr, SoakError> {
        Ok(self.process(vm)?.callers)
    }

    /// Waits until a VM knows the configuration and the others.
    async fn wait_ready(&self, vm: usize) -> Result<(), SoakError> {
        let callers = self.callers(vm)?;
        let deadline = Instant::now() + READY_LIMIT;
        let last = format!("/{}", service_name(SERVICES - 1));
        while Instant::now() < deadline {
            // Without a key, so its runs are not among those that are checked.
            let probe = standin::call::request("POST", &last, &[], b"");
            let answer = standin::call::call(callers, probe).await;
            if answer.is_ok_and(|answer| answer.status.is_success()) {
                return Ok(());
            }
            sleep(READY_PAUSE).await;
        }
        TooLateSnafu { waited_for: format!("vm-{vm} to serve") }.fail()
    }

    /// Holds what a VM sends the others from now on.
    pub fn hold(&self, vm: usize) {
        let since = self.vms[vm].started;
        self.others(vm).for_each(|other| other.proxy.hold_since(since));
    }

    /// Delivers what was held.
    pub fn deliver(&self) {
        self.vms.iter().for_each(|vm| vm.proxy.deliver());
    }

    fn others(&self, vm: usize) -> impl Iterator<Item = &SoakVm> {
        self.vms.iter().enumerate().filter(move |(number, _)| *number != vm).map(|(_, vm)| vm)
    }

    /// Kills a VM's process, in the middle of its work.
    ///
    /// # Errors
    ///
    /// Fails when the system does not kill it.
    pub async fn kill(&mut self, vm: usize) -> Result<(), SoakError> {
        if let Some(process) = self.vms[vm].process.take() {
            process.kill().await?;
        }
        Ok(())
    }

    /// Starts a VM's process again, and waits until it serves.
    ///
    /// # Errors
    ///
    /// Fails when it does not start.
    pub async fn start(&mut self, vm: usize) -> Result<(), SoakError> {
        let seeds = self.others(vm).map(|other| other.proxy.address()).collect();
        self.others(vm).for_each(|other| other.proxy.let_new_pass());
        let restarted = &mut self.vms[vm];
        restarted.plan.seeds = seeds;
        restarted.started = Instant::now();
        restarted.process = Some(DaemonProcess::spawn(&restarted.plan).await?);
        self.wait_ready(vm).await
    }

    /// Returns how many bytes were delivered late.
    pub fn late_bytes(&self) -> u64 {
        self.vms.iter().map(|vm| vm.proxy.late_bytes()).sum()
    }
}
