//! The typed settings of the daemon, checked before anything is bound.

use std::{net::SocketAddr, path::PathBuf, thread::available_parallelism, time::Duration};

use crate::{
    args::Coltsfootcrankd,
    logging::LogSettings,
    reader::{ADDRESS, ClashSnafu, MissingSnafu, NAME, SettingReader},
};
use model::{
    names::{DomainName, MemberName},
    secret::SharedSecret,
};
use snafu::ensure;

pub use crate::reader::{SettingsError, variable_of};

/// The most threads that may serve traffic.
const THREADS_LIMIT: u64 = 1_024;

/// The longest limit of a planned stop, in seconds.
const STOP_LIMIT_SECONDS: u64 = 86_400;

/// The settings of one daemon's part in the fleet.
#[derive(Clone, Debug)]
pub struct DaemonSettings {
    /// The VM's name.
    pub member: MemberName,
    /// Its failure domain.
    pub domain: DomainName,
    /// Where callers are served.
    pub caller_listen: SocketAddr,
    /// Where upstreams announce themselves.
    pub announce_listen: SocketAddr,
    /// Where operators are served.
    pub operator_listen: SocketAddr,
    /// Where the balancer asks.
    pub platform_listen: SocketAddr,
    /// Where the fleet reaches the VM.
    pub fleet_listen: SocketAddr,
    /// Some VMs of the fleet.
    pub seeds: Vec<SocketAddr>,
    /// The data folder of a VM that replicates.
    pub data: Option<PathBuf>,
    /// The VMs that found the control state together. Empty: this VM alone.
    pub founders: Vec<MemberName>,
    /// The secret of the fleet.
    pub fleet_secret: SharedSecret,
    /// The secret of operators.
    pub operator_secret: SharedSecret,
    /// The secret of announcements.
    pub announce_secret: SharedSecret,
}

/// The settings of the process around it.
#[derive(Clone, Debug)]
pub struct ProcessSettings {
    /// The daemon's part in the fleet.
    pub daemon: DaemonSettings,
    /// How many threads serve traffic.
    pub traffic_threads: usize,
    /// What is logged, and where to.
    pub log: LogSettings,
    /// The longest that a planned stop may wait. `None`: as long as it takes.
    pub stop_limit: Option<Duration>,
}

impl ProcessSettings {
    /// Checks what was written and gives it types. `variable` looks up an environment variable.
    ///
    /// # Errors
    ///
    /// Fails at the first setting that does not do, naming flag, value and what would be right.
    pub fn from_args(
        args: &Coltsfootcrankd,
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<Self, SettingsError> {
        let reader = SettingReader { variable: &variable };
        let threads =
            reader.number(&args.traffic_threads, "--traffic-threads", 1..=THREADS_LIMIT)?;
        let threads = threads.map_or_else(cores, |count| usize::try_from(count).unwrap_or(1));
        let limit = reader.number(&args.stop_limit, "--stop-limit", 1..=STOP_LIMIT_SECONDS)?;
        Ok(Self {
            daemon: DaemonSettings::read(args, &reader)?,
            traffic_threads: threads,
            log: LogSettings::read(args, &reader)?,
            stop_limit: limit.map(Duration::from_secs),
        })
    }
}

fn cores() -> usize {
    available_parallelism().map_or(1, usize::from)
}

impl DaemonSettings {
    fn read(args: &Coltsfootcrankd, reader: &SettingReader<'_>) -> Result<Self, SettingsError> {
        let address = |given, flag| reader.required(given, flag, ADDRESS);
        let settings = Self {
            member: reader.required(&args.member, "--member", NAME)?,
            domain: reader.required(&args.domain, "--domain", NAME)?,
            caller_listen: address(&args.caller_listen, "--caller-listen")?,
            announce_listen: address(&args.announce_listen, "--announce-listen")?,
            operator_listen: address(&args.operator_listen, "--operator-listen")?,
            platform_listen: address(&args.platform_listen, "--platform-listen")?,
            fleet_listen: address(&args.fleet_listen, "--fleet-listen")?,
            seeds: reader.addresses(&args.seeds, "--seeds")?,
            data: reader.folder(&args.data, "--data")?,
            founders: reader.members(&args.founders, "--founders")?.unwrap_or_default(),
            fleet_secret: reader.secret(&args.fleet_secret, "--fleet-secret")?,
            operator_secret: reader.secret(&args.operator_secret, "--operator-secret")?,
            announce_secret: reader.secret(&args.announce_secret, "--announce-secret")?,
        };
        settings.check_ports()?;
        settings.check_fleet_address()?;
        settings.check_founders(args.join)?;
        settings.check_seeds()?;
        settings.check_secrets()?;
        Ok(settings)
    }

    /// Two listeners on one port would let the second fail only once the first is bound.
    fn check_ports(&self) -> Result<(), SettingsError> {
        let listeners = [
            ("--caller-listen", self.caller_listen),
            ("--announce-listen", self.announce_listen),
            ("--operator-listen", self.operator_listen),
            ("--platform-listen", self.platform_listen),
            ("--fleet-listen", self.fleet_listen),
        ];
        for (place, (flag, address)) in listeners.iter().enumerate() {
            let earlier = listeners[..place].iter().find(|(_, other)| overlap(*other, *address));
            if let Some((other, _)) = earlier {
                let value = address.to_string();
                let other = format!("{other} takes the same port");
                return ClashSnafu { flag: *flag, value, other, advice: "give each its own port" }
                    .fail();
            }
        }
        Ok(())
    }

    fn check_fleet_address(&self) -> Result<(), SettingsError> {
        let (flag, value) = ("--fleet-listen", self.fleet_listen.to_string());
        let other = "the other VMs are told this address";
        let advice = "give an address of this VM that they can reach";
        ensure!(
            !self.fleet_listen.ip().is_unspecified(),
            ClashSnafu { flag, value, other, advice }
        );
        Ok(())
    }

    /// A VM that is no founder but was started as one would found a control state of its own beside
    /// the fleet's, and take patches that the rest never sees.
    fn check_founders(&self, join: bool) -> Result<(), SettingsError> {
        let value: Vec<_> = self.founders.iter().map(MemberName::as_str).collect();
        let (flag, value) = ("--founders", value.join(","));
        let member = &self.member;
        let is_founder = self.founders.contains(member);
        if self.data.is_none() {
            let other = "--data is not given";
            let advice = "give --data on VMs that replicate, and --founders and --join only there";
            ensure!(self.founders.is_empty(), ClashSnafu { flag, value: &value, other, advice });
            ensure!(!join, ClashSnafu { flag: "--join", value: "set", other, advice });
        } else if join {
            let expected = "the names of the VMs that founded the control state";
            ensure!(!self.founders.is_empty(), MissingSnafu { flag, expected });
            let other = format!("--join says that {member} is none of them");
            let advice = "leave --join out, or name only the others";
            ensure!(!is_founder, ClashSnafu { flag, value, other, advice });
        } else if !self.founders.is_empty() {
            let other = format!("--member {member} is none of them");
            let advice = "name it too, or give --join where operators are to add it";
            ensure!(is_founder, ClashSnafu { flag, value, other, advice });
        }
        Ok(())
    }

    fn check_seeds(&self) -> Result<(), SettingsError> {
        let (flag, expected) = ("--seeds", "IP:PORT of some VMs, since this one has no --data");
        ensure!(!self.seeds.is_empty() || self.data.is_some(), MissingSnafu { flag, expected });
        Ok(())
    }

    /// Who may announce upstreams could draw payments to itself, who may submit patches could
    /// switch off services: one secret for two of these gives more than was meant.
    fn check_secrets(&self) -> Result<(), SettingsError> {
        let secrets = [
            ("--fleet-secret", &self.fleet_secret),
            ("--operator-secret", &self.operator_secret),
            ("--announce-secret", &self.announce_secret),
        ];
        for (place, (flag, secret)) in secrets.iter().enumerate() {
            let same = |(_, other): &&(_, &SharedSecret)| other.as_bytes() == secret.as_bytes();
            if let Some((other, _)) = secrets[..place].iter().find(same) {
                let other = format!("{other} holds the same secret");
                let advice = "make a secret of its own for each";
                return ClashSnafu { flag: *flag, value: "a file", other, advice }.fail();
            }
        }
        Ok(())
    }
}

fn overlap(one: SocketAddr, other: SocketAddr) -> bool {
    let same_ip =
        one.ip() == other.ip() || one.ip().is_unspecified() || other.ip().is_unspecified();
    one.port() != 0 && one.port() == other.port() && same_ip
}
