//! The platform: machines with settings files, processes started by the commands of the deploy file,
//! and the operator.

use std::{
    collections::BTreeMap,
    fs,
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::Duration,
};

use crate::{
    http::{Message, call},
    record::Record,
    wait_until,
};

pub const ZONES: [&str; 4] = ["fort-hall", "galle-face", "kollupitiya", "pettah"];

/// How often servers announce themselves, as the settings say.
pub const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// The ports that are the same on each machine.
#[derive(Clone, Copy)]
struct Ports {
    front: u16,
    ready: u16,
    control: u16,
    internal: u16,
}

/// One machine.
struct Machine {
    name: String,
    ip: String,
    zone: &'static str,
    front: bool,
    process: Option<Child>,
    /// Where it is told that `control` is served.
    seeds: Vec<String>,
    /// Whether it belongs to those with which the whole system starts.
    founding: bool,
    starts: u32,
}

/// The machines of a small deployment on loopback addresses.
pub struct Fleet {
    root: PathBuf,
    folder: PathBuf,
    net: (u8, u8),
    ports: Ports,
    machines: BTreeMap<String, Machine>,
    commands: (String, String),
    record: Record,
}

impl Fleet {
    /// Makes the machines, with nothing running: `core` machines that serve `control` and `front`
    /// machines that take clients.
    pub fn new(root: &Path, cores: usize, fronts: usize, record: &Record) -> Result<Self, String> {
        let id = std::process::id();
        // Each run has loopback addresses of its own, so that two runs do not meet.
        let net = (100 + (id % 100) as u8, (id / 100 % 250) as u8);
        let folder = std::env::temp_dir().join(format!("coltsfootcrank-review-{id}"));
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let mut ports = [0; 4];
        for port in &mut ports {
            *port = free_port(&format!("127.{}.{}.1", net.0, net.1))?;
        }
        let ports =
            Ports { front: ports[0], ready: ports[1], control: ports[2], internal: ports[3] };
        let mut machines = BTreeMap::new();
        let mut add = |front: bool, place: usize| {
            let kind = if front { "front" } else { "core" };
            let zone = ZONES[place % ZONES.len()];
            let name = format!("{kind}-{zone}-{}", place / ZONES.len() + 1);
            let ip = format!("127.{}.{}.{}", net.0, net.1, place + if front { 50 } else { 10 });
            let machine = Machine {
                name: name.clone(),
                ip,
                zone,
                front,
                process: None,
                seeds: Vec::new(),
                founding: true,
                starts: 0,
            };
            machines.insert(name, machine);
        };
        (0..cores).for_each(|place| add(false, place));
        (0..fronts).for_each(|place| add(true, place));
        let control = machines.values().filter(|machine| !machine.front);
        let seeds: Vec<String> =
            control.take(3).map(|machine| format!("{}:{}", machine.ip, ports.control)).collect();
        machines.values_mut().for_each(|machine| machine.seeds = seeds.clone());
        let commands = (command(root, "entry")?, command(root, "control")?);
        Ok(Self {
            root: root.to_owned(),
            folder,
            net,
            ports,
            machines,
            commands,
            record: record.clone(),
        })
    }

    /// Returns an address for a server.
    pub fn server_address(&self, place: usize) -> SocketAddr {
        let (a, b) = self.net;
        format!("127.{a}.{b}.{}:{}", 150 + place, self.ports.front).parse().unwrap()
    }

    /// Lists the machines that serve `control`, or those that take clients.
    pub fn names(&self, front: bool) -> Vec<String> {
        let named = self.machines.values().filter(|machine| machine.front == front);
        named.map(|machine| machine.name.clone()).collect()
    }

    /// Returns where a machine serves its clients, or `control`.
    pub fn address(&self, name: &str) -> SocketAddr {
        let machine = &self.machines[name];
        let port = if machine.front { self.ports.front } else { self.ports.control };
        format!("{}:{port}", machine.ip).parse().unwrap()
    }

    /// Adds a core machine that is empty, at a new address, in the zone of another one. `seeds`: the
    /// addresses of machines that it is told of.
    pub fn add_core(&mut self, name: &str, beside: &str, place: u8, seeds: &[String]) {
        let zone = self.machines[beside].zone;
        let ip = format!("127.{}.{}.{place}", self.net.0, self.net.1);
        let seeds = seeds.iter().map(|ip| format!("{ip}:{}", self.ports.control)).collect();
        let machine = Machine {
            name: name.to_owned(),
            ip,
            zone,
            front: false,
            process: None,
            seeds,
            founding: false,
            starts: 0,
        };
        self.machines.insert(name.to_owned(), machine);
    }

    /// Lists the addresses that machines were told of at their first start.
    pub fn seed_ips(&self) -> Vec<String> {
        let first = self.machines.values().next().expect("there are machines");
        let ip = |seed: &String| seed.split(':').next().unwrap_or_default().to_owned();
        first.seeds.iter().map(ip).collect()
    }

    /// Returns the address between machines for an address of this deployment's network.
    pub fn internal(&self, ip: &str) -> SocketAddr {
        format!("{ip}:{}", self.ports.internal).parse().unwrap()
    }

    /// Returns an address of this deployment's network that no machine has.
    pub fn spare_ip(&self, place: u8) -> String {
        format!("127.{}.{}.{place}", self.net.0, self.net.1)
    }

    /// Lists where `control` is served.
    pub fn control(&self) -> Vec<SocketAddr> {
        self.names(false).iter().map(|name| self.address(name)).collect()
    }

    /// Starts all machines for the first time.
    pub fn start_all(&mut self) -> Result<(), String> {
        let names: Vec<String> = self.machines.keys().cloned().collect();
        names.iter().try_for_each(|name| self.start(name))
    }

    /// Starts a machine's process.
    pub fn start(&mut self, name: &str) -> Result<(), String> {
        let machine = &self.machines[name];
        let settings = self.settings(machine);
        let file = self.folder.join(format!("{name}.toml"));
        fs::write(&file, settings).map_err(|error| error.to_string())?;
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{name}.log")))
            .map_err(|error| error.to_string())?;
        let errors = log.try_clone().map_err(|error| error.to_string())?;
        let run = if machine.front { &self.commands.0 } else { &self.commands.1 };
        let mut words = run.split(' ');
        let program = self.root.join(words.next().unwrap_or_default());
        let mut command = Command::new(program);
        command.args(words).current_dir(&self.root).env_clear();
        for kept in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(kept) {
                command.env(kept, value);
            }
        }
        command.env("COLTSFOOTCRANK_NODE_FILE", &file);
        command.stdin(Stdio::null()).stdout(log).stderr(errors);
        let child = command.spawn().map_err(|error| format!("{name}: {error}"))?;
        note_pid(child.id());
        self.record.line(format!("platform: {name} starts"));
        let machine = self.machines.get_mut(name).unwrap();
        machine.process = Some(child);
        machine.starts += 1;
        Ok(())
    }

    fn settings(&self, machine: &Machine) -> String {
        let Machine { name, ip, zone, front, seeds, founding, starts, .. } = machine;
        let Ports { front: to_front, ready, control, internal } = self.ports;
        let (class, serves) = if *front { ("front", "front") } else { ("core", "control") };
        let role = if *front { "entry" } else { "control" };
        let bootstrap = *founding && *starts == 0;
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let listen = match front {
            true => format!("front = \"{ip}:{to_front}\"\nready = \"{ip}:{ready}\"\n"),
            false => format!("control = \"{ip}:{control}\"\n"),
        };
        let data = match front {
            true => String::new(),
            false => {
                format!("dataDir = \"{}\"\n", self.folder.join(format!("{name}.data")).display())
            }
        };
        let limits = match front {
            true => {
                "cpuShare = 0.2\ncores = 1\nmemoryMb = 260\nmaxFds = 4100\nlinkMbps = 1000.0\ndiskMb = 0\n"
            }
            false => {
                "cpuShare = 0.6\ncores = 1\nmemoryMb = 256\nmaxFds = 4096\nlinkMbps = 1000.0\ndiskMb = 256\n"
            }
        };
        let zones: String = ZONES.iter().map(|zone| format!("{zone} = \"colombo\"\n")).collect();
        let last = internal + 15;
        let tolerated = !front;
        format!(
            "node = \"{name}\"\nrole = \"{role}\"\nmachineClass = \"{class}\"\nserves = [\"{serves}\"]\n\
             ip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"colombo\"\n\
             internalPorts = [{internal},{last}]\nseeds = [{}]\nbootstrap = {bootstrap}\n\
             inTolerance = {tolerated}\n{data}discovery = \"registration\"\nentry = \"vip\"\n\
             heartbeatMs = {}\n\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"health\"]\n\
             configMode = \"highest\"\n\n[zones]\n{zones}\n[listen]\n{listen}\n[limits]\n{limits}\n\
             [faultTolerance]\nmachines = 2\nzones = 0\nregions = 0\n\n[bounds]\nseedLagS = 3\n\
             reuseAfterS = 2\ncontactWindowMs = 3000\nackMs = 4000\ncatchUpS = 4\ndrainMs = 2000\n\
             graceS = 6\nlossSlackMs = 200\nconfigApplyMs = 2000\nrollbackSlackMs = 250\n\
             maxSkewMs = 5000\nretryBudgetRatio = 0.2\nbudgetWindowS = 10\nretryBudgetSlack = 64\n\
             recoveryS = 15\nprobesPerS = 3\nfloorShare = 0.7\n",
            seeds.join(","),
            HEARTBEAT.as_millis(),
        )
    }

    /// Kills a machine's process.
    pub fn kill(&mut self, name: &str) {
        if let Some(mut child) = self.machines.get_mut(name).and_then(|it| it.process.take()) {
            let _ = child.kill();
            let _ = child.wait();
            self.record.line(format!("platform: {name} is killed"));
        }
    }

    /// Takes a machine off the lists, for good.
    pub fn remove(&mut self, name: &str) {
        self.kill(name);
        self.machines.remove(name);
    }

    /// Empties a machine's disk.
    pub fn wipe(&self, name: &str) {
        let _ = fs::remove_dir_all(self.folder.join(format!("{name}.data")));
    }

    /// Stops a machine's process as planned: sends it SIGTERM.
    pub fn terminate(&mut self, name: &str) {
        let Some(pid) = self.process(name) else { return };
        let sent = Command::new("kill").args(["-TERM", &pid.to_string()]).status();
        self.record
            .line(format!("platform: {name} gets SIGTERM ({})", sent.is_ok_and(|it| it.success())));
    }

    /// Returns the process of a machine.
    pub fn process(&self, name: &str) -> Option<u32> {
        self.machines[name].process.as_ref().map(Child::id)
    }

    /// Tells how a machine's process ended by itself, if it did.
    pub fn ended(&mut self, name: &str) -> Option<String> {
        let child = self.machines.get_mut(name)?.process.as_mut()?;
        child.try_wait().ok().flatten().map(|status| status.to_string())
    }

    /// Returns where the balancer asks a front machine.
    pub fn ready_address(&self, name: &str) -> SocketAddr {
        format!("{}:{}", self.machines[name].ip, self.ports.ready).parse().unwrap()
    }

    /// Tells whether a front machine says that it is ready.
    pub fn is_ready(&self, name: &str) -> bool {
        let address = self.ready_address(name);
        let asked = call(
            address,
            "GET /readiness HTTP/1.1",
            &[("Host", "ready")],
            b"",
            Duration::from_secs(1),
        );
        asked.is_ok_and(|answer| answer.status() == 200)
    }

    /// Waits until all front machines are ready.
    pub fn wait_ready(&self, within: Duration) -> bool {
        let fronts = self.names(true);
        wait_until(within, || fronts.iter().all(|front| self.is_ready(front)))
    }

    /// Sends a configuration once, to one machine.
    pub fn put_config_at(&self, control: SocketAddr, body: &str) -> std::io::Result<Message> {
        let host = control.to_string();
        let headers = [("Host", host.as_str()), ("Content-Type", "application/json")];
        let sent = call(
            control,
            "POST /config HTTP/1.1",
            &headers,
            body.as_bytes(),
            Duration::from_secs(1),
        );
        let told = match &sent {
            Ok(answer) => answer.status().to_string(),
            Err(error) => error.to_string(),
        };
        self.record.line(format!(
            "operator: a configuration of {} bytes at {control}: {told}",
            body.len()
        ));
        sent
    }

    /// Sends a configuration until it is acknowledged.
    pub fn put_config(&self, body: &str, within: Duration) -> bool {
        let control = self.control();
        let mut turn = 0;
        wait_until(within, || {
            turn += 1;
            let sent = self.put_config_at(control[turn % control.len()], body);
            sent.is_ok_and(|answer| answer.status() == 200)
        })
    }

    /// Copies the processes' logs beside the record, for a look at them.
    pub fn keep_logs(&self, to: &Path) {
        let _ = fs::create_dir_all(to);
        for name in self.machines.keys() {
            let file = format!("{name}.log");
            let _ = fs::copy(self.folder.join(&file), to.join(&file));
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let names: Vec<String> = self.machines.keys().cloned().collect();
        for name in names {
            self.kill(&name);
        }
        if let Ok(to) = std::env::var("KEEP_LOGS") {
            self.keep_logs(Path::new(&to));
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Reads the command of a role from the deploy file.
fn command(root: &Path, role: &str) -> Result<String, String> {
    let text = fs::read_to_string(root.join("deploy/system.toml")).map_err(|e| e.to_string())?;
    let after = text.split(&format!("[roles.{role}]")).nth(1).ok_or("no such role")?;
    let line = after.lines().find(|line| line.starts_with("run")).ok_or("no command")?;
    Ok(line.split('"').nth(1).ok_or("no command")?.to_owned())
}

/// Notes a process for whoever has to end it where this program is cut off.
fn note_pid(pid: u32) {
    use std::io::Write;
    let Some(list) = std::env::var_os("REVIEW_PIDS") else { return };
    if let Ok(mut list) = fs::OpenOptions::new().append(true).open(list) {
        let _ = writeln!(list, "{pid}");
    }
}

fn free_port(ip: &str) -> Result<u16, String> {
    // Out of the range from which the system gives ports to clients, so that it stays free.
    for _ in 0..100 {
        let listener = TcpListener::bind((ip, 0)).map_err(|error| error.to_string())?;
        let port = listener.local_addr().map_err(|error| error.to_string())?.port();
        let low = 10_000 + port % 20_000;
        if TcpListener::bind((ip, low)).is_ok() {
            return Ok(low);
        }
    }
    Err("no free port".to_owned())
}
