//! Starts the project's program as separate processes on loopback addresses, with settings like those
//! of a small deployment.

use std::{
    fs::{self, File},
    io::Write,
    net::TcpListener,
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::Mutex,
    thread::sleep,
    time::{Duration, Instant},
};

/// The bounds of the small deployments that the scripts use.
pub const CONTACT_WINDOW: Duration = Duration::from_millis(3_000);
pub const ACK: Duration = Duration::from_millis(4_000);

/// The processes that run and the folder that they use, for an end in the middle of a case.
static STARTED: Mutex<(Vec<u32>, Option<PathBuf>)> = Mutex::new((Vec::new(), None));

/// Ends each process that this run started and that it has not ended itself.
pub fn end_all() {
    let Ok(mut started) = STARTED.lock() else { return };
    for id in started.0.drain(..) {
        let _ = Command::new("kill").arg("-KILL").arg(id.to_string()).status();
    }
    if let Some(folder) = started.1.take() {
        let _ = fs::remove_dir_all(folder);
    }
}

const ZONES: [&str; 4] = ["fort-hall", "galle-face", "kollupitiya", "pettah"];

/// What a process serves.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Role {
    Front,
    Core,
}

/// One machine with its one process.
pub struct Machine {
    pub name: String,
    pub role: Role,
    pub ip: String,
    zone: usize,
    /// How often its disk was lost.
    disks: usize,
    child: Option<Child>,
}

/// All machines of a deployment.
pub struct Fleet {
    folder: PathBuf,
    program: PathBuf,
    ports: Ports,
    pub machines: Vec<Machine>,
}

#[derive(Clone, Copy)]
struct Ports {
    front: u16,
    ready: u16,
    control: u16,
    internal: u16,
}

impl Fleet {
    /// Lays out `cores` and `fronts` machines. Nothing is started yet.
    pub fn lay_out(cores: usize, fronts: usize) -> Self {
        let id = std::process::id();
        let (a, b) = (64 + (id / 200) % 60, 1 + id % 200);
        let folder = std::env::temp_dir().join(format!("review-2-{id}"));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let mut machines = Vec::new();
        for n in 0..cores {
            machines.push(Machine::new("core", Role::Core, n, format!("127.{a}.{b}.{}", 10 + n)));
        }
        for n in 0..fronts {
            machines.push(Machine::new("front", Role::Front, n, format!("127.{a}.{b}.{}", 50 + n)));
        }
        let ports = Ports::find(&machines);
        let program = std::env::var_os("REVIEW_PROGRAM").map(PathBuf::from);
        let program = program.unwrap_or_else(|| PathBuf::from("target/release/coltsfootcrank-vm"));
        Self { folder, program, ports, machines }
    }

    /// Lists the places of the machines with a role.
    pub fn with(&self, role: Role) -> Vec<usize> {
        (0..self.machines.len()).filter(|&at| self.machines[at].role == role).collect()
    }

    pub fn front_address(&self, at: usize) -> String {
        format!("{}:{}", self.machines[at].ip, self.ports.front)
    }

    pub fn ready_address(&self, at: usize) -> String {
        format!("{}:{}", self.machines[at].ip, self.ports.ready)
    }

    pub fn control_address(&self, at: usize) -> String {
        format!("{}:{}", self.machines[at].ip, self.ports.control)
    }

    /// Returns an address for a target.
    pub fn target_address(&self, n: usize) -> String {
        let ip = &self.machines[0].ip;
        let net = ip.rsplit_once('.').map_or("127.0.0", |(net, _)| net);
        format!("{net}.{}:{}", 150 + n, self.ports.internal + 16)
    }

    pub fn zone(&self, n: usize) -> &'static str {
        ZONES[n % ZONES.len()]
    }

    /// Starts a machine's process as the deploy file says. `first`: the whole system starts for the
    /// first time.
    pub fn start(&mut self, at: usize, first: bool) {
        let settings = self.write_settings(at, first);
        let log = self.folder.join(format!("{}.log", self.machines[at].name));
        let log = File::options().create(true).append(true).open(log).expect("a log file");
        let errors = log.try_clone().expect("a log file");
        let child = Command::new(&self.program)
            .env_clear()
            .envs(["PATH", "HOME", "LANG"].iter().filter_map(|n| Some((n, std::env::var_os(n)?))))
            .env("COLTSFOOTCRANK_NODE_FILE", settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        match child {
            Ok(child) => {
                if let Ok(mut started) = STARTED.lock() {
                    started.0.push(child.id());
                    started.1 = Some(self.folder.clone());
                }
                self.machines[at].child = Some(child);
            }
            Err(error) => crate::cannot_run(&format!("the program does not start: {error}")),
        }
    }

    fn write_settings(&self, at: usize, first: bool) -> PathBuf {
        let machine = &self.machines[at];
        let core = machine.role == Role::Core;
        let seeds: Vec<String> = self
            .with(Role::Core)
            .into_iter()
            .take(3)
            .map(|at| format!("\"{}\"", self.control_address(at)))
            .collect();
        let mut text = format!(
            "node = \"{}\"\nrole = \"{}\"\nmachineClass = \"{}\"\nserves = [\"{}\"]\nip = \"{}\"\n\
             zone = \"{}\"\nregion = \"colombo\"\ninternalPorts = [{},{}]\nseeds = [{}]\n\
             bootstrap = {first}\ninTolerance = {core}\ndiscovery = \"registration\"\nentry = \"vip\"\n\
             heartbeatMs = 1500\nconfigMode = \"highest\"\n\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"health\"]\n",
            machine.name,
            if core { "control" } else { "entry" },
            if core { "core" } else { "front" },
            if core { "control" } else { "front" },
            machine.ip,
            ZONES[machine.zone],
            self.ports.internal,
            self.ports.internal + 15,
            seeds.join(","),
        );
        if core {
            let data = self.data_folder(at);
            fs::create_dir_all(&data).expect("a data folder");
            text += &format!("dataDir = \"{}\"\n", data.display());
        }
        text += "\n[zones]\n";
        for zone in ZONES {
            text += &format!("{zone} = \"colombo\"\n");
        }
        text += "\n[listen]\n";
        if core {
            text += &format!("control = \"{}\"\n", self.control_address(at));
        } else {
            text += &format!(
                "front = \"{}\"\nready = \"{}\"\n",
                self.front_address(at),
                self.ready_address(at)
            );
        }
        text += if core {
            "\n[limits]\ncpuShare = 0.6\ncores = 1\nmemoryMb = 256\nmaxFds = 4096\nlinkMbps = 1000.0\ndiskMb = 256\n"
        } else {
            "\n[limits]\ncpuShare = 0.2\ncores = 1\nmemoryMb = 260\nmaxFds = 4100\nlinkMbps = 1000.0\ndiskMb = 0\n"
        };
        text += "\n[faultTolerance]\nmachines = 2\nzones = 0\nregions = 0\n\n[bounds]\nseedLagS = 3\n\
                 reuseAfterS = 2\ncontactWindowMs = 3000\nackMs = 4000\ncatchUpS = 4\ndrainMs = 2000\n\
                 graceS = 6\nlossSlackMs = 200\nconfigApplyMs = 2000\nrollbackSlackMs = 250\n\
                 maxSkewMs = 5000\nretryBudgetRatio = 0.2\nbudgetWindowS = 10\nretryBudgetSlack = 64\n\
                 recoveryS = 15\nprobesPerS = 3\nfloorShare = 0.7\n";
        let path = self.folder.join(format!("{}.toml", machine.name));
        let mut file = File::create(&path).expect("a settings file");
        file.write_all(text.as_bytes()).expect("a settings file");
        path
    }

    fn data_folder(&self, at: usize) -> PathBuf {
        self.folder.join(format!("data-{}-{}", self.machines[at].name, self.machines[at].disks))
    }

    /// Sends a signal to a process that this run started.
    pub fn signal(&self, at: usize, signal: &str) {
        if let Some(child) = &self.machines[at].child {
            let _ =
                Command::new("kill").arg(format!("-{signal}")).arg(child.id().to_string()).status();
        }
    }

    /// Gives a machine an empty disk.
    pub fn empty_disk(&mut self, at: usize) {
        self.machines[at].disks += 1;
    }

    /// Tells whether a process that was started still runs.
    pub fn runs(&mut self, at: usize) -> bool {
        self.machines[at].child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Kills a process (SIGKILL) and waits for its end.
    pub fn kill(&mut self, at: usize) {
        if let Some(mut child) = self.machines[at].child.take() {
            let _ = child.kill();
            let _ = child.wait();
            if let Ok(mut started) = STARTED.lock() {
                started.0.retain(|&id| id != child.id());
            }
        }
    }

    /// Kills several at the same moment.
    pub fn kill_together(&mut self, places: &[usize]) {
        for &at in places {
            if let Some(child) = &mut self.machines[at].child {
                let _ = child.kill();
            }
        }
        places.iter().for_each(|&at| self.kill(at));
    }

    /// Returns the exit code of a process that has ended by itself.
    pub fn ended(&mut self, at: usize) -> Option<String> {
        let child = self.machines[at].child.as_mut()?;
        child.try_wait().ok().flatten().map(|status| status.to_string())
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for at in 0..self.machines.len() {
            self.kill(at);
        }
        if std::env::var_os("REVIEW_KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

impl Machine {
    fn new(class: &str, role: Role, n: usize, ip: String) -> Self {
        let zone = n % ZONES.len();
        let name = format!("{class}-{}-{}", ZONES[zone], 1 + n / ZONES.len());
        Self { name, role, ip, zone, disks: 0, child: None }
    }
}

impl Ports {
    /// Finds ports that are free on each address of the deployment.
    fn find(machines: &[Machine]) -> Self {
        let mut base = 20_000 + (std::process::id() % 300) as u16 * 40;
        let until = Instant::now() + Duration::from_secs(5);
        loop {
            let free = machines.iter().all(|machine| {
                (base..base + 24).all(|port| TcpListener::bind((machine.ip.as_str(), port)).is_ok())
            });
            if free {
                return Self {
                    front: base,
                    ready: base + 1,
                    control: base + 2,
                    internal: base + 4,
                };
            }
            if Instant::now() > until {
                crate::cannot_run("no free ports on the loopback addresses");
            }
            base = if base > 32_000 { 20_000 } else { base + 40 };
            sleep(Duration::from_millis(5));
        }
    }
}
