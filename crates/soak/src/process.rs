//! Daemons as processes of their own.

use std::{
    fs::File,
    io,
    net::{Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    process::Stdio,
    time::Duration,
};

use tokio::{
    net::TcpListener,
    process::{Child, Command},
    time::{Instant, sleep},
};

use crate::run::{SoakError, TooLateSnafu};

/// How long a daemon may take to say where it listens.
const START_LIMIT: Duration = Duration::from_secs(30);

/// What one daemon is started with.
pub struct DaemonPlan {
    /// Its name.
    pub name: String,
    /// The program.
    pub program: PathBuf,
    /// The folder of its files and of the secrets.
    pub folder: PathBuf,
    /// Where it listens for the others.
    pub listen: SocketAddr,
    /// Where the others reach it.
    pub reached_at: SocketAddr,
    /// Where it finds others.
    pub seeds: Vec<SocketAddr>,
    /// Whether it holds the configuration.
    pub replicates: bool,
}

/// A daemon that runs. It is killed when this is dropped.
pub struct DaemonProcess {
    child: Child,
    /// Where it serves callers.
    pub callers: SocketAddr,
    /// Where upstreams announce themselves.
    pub announce: SocketAddr,
    /// Where it serves operators.
    pub operators: SocketAddr,
}

impl DaemonProcess {
    /// Starts a daemon and waits until it serves.
    ///
    /// # Errors
    ///
    /// Fails when the program cannot be started, or does not say in time where it listens.
    pub async fn spawn(plan: &DaemonPlan) -> Result<Self, SoakError> {
        let output = plan.folder.join(format!("{}.{}.log", plan.name, uuid::Uuid::new_v4()));
        let file = File::create(&output)?;
        let any = "127.0.0.1:0";
        let mut command = Command::new(&plan.program);
        command
            .args(["--member", &plan.name, "--domain", "fort-hall"])
            .args(["--caller-listen", any, "--announce-listen", any])
            .args(["--operator-listen", any, "--platform-listen", any])
            .args(["--fleet-listen", &plan.listen.to_string()])
            .args(["--fleet-address", &plan.reached_at.to_string()]);
        for secret in ["fleet", "operator", "announce"] {
            command.arg(format!("--{secret}-secret")).arg(plan.folder.join(secret));
        }
        if plan.replicates {
            command.arg("--data").arg(plan.folder.join(format!("{}.data", plan.name)));
        }
        if !plan.seeds.is_empty() {
            let seeds: Vec<_> = plan.seeds.iter().map(SocketAddr::to_string).collect();
            command.args(["--seeds", &seeds.join(",")]);
        }
        let errors = file.try_clone()?;
        command.stdin(Stdio::null()).stdout(file).stderr(errors).kill_on_drop(true);
        let child = command.spawn()?;
        Ok(Self {
            child,
            callers: address_of(&output, "callers").await?,
            announce: address_of(&output, "announce").await?,
            operators: address_of(&output, "operators").await?,
        })
    }

    /// Kills it, and waits until it has gone.
    ///
    /// # Errors
    ///
    /// Fails when the system does not kill it.
    pub async fn kill(mut self) -> io::Result<()> {
        self.child.kill().await
    }
}

/// Waits until a daemon has printed an address.
async fn address_of(output: &Path, port: &str) -> Result<SocketAddr, SoakError> {
    let deadline = Instant::now() + START_LIMIT;
    while Instant::now() < deadline {
        let text = std::fs::read_to_string(output)?;
        let words: Vec<_> = text.split_whitespace().collect();
        let said = words.windows(2).find(|pair| pair[0] == port).map(|pair| pair[1].parse());
        if let Some(Ok(address)) = said {
            return Ok(address);
        }
        sleep(Duration::from_millis(10)).await;
    }
    TooLateSnafu { waited_for: format!("{port} of {}", output.display()) }.fail()
}

/// Returns an address at which nobody listens at present, on an IP of the VM's own: outgoing connections, which
/// leave from 127.0.0.1, never take its port while the VM is down.
///
/// # Errors
///
/// Fails when the system gives no port.
pub async fn free_address(vm: u8) -> io::Result<SocketAddr> {
    let own = Ipv4Addr::new(127, 0, 1, vm);
    TcpListener::bind((own, 0)).await?.local_addr()
}
