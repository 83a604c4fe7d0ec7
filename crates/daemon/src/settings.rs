//! The typed settings of the daemon, checked before anything is bound.

use std::{
    fs, io,
    net::SocketAddr,
    path::{Path, PathBuf},
    str::FromStr,
};

use crate::args::Coltsfootcrankd;
use model::{
    names::{DomainName, MemberName},
    secret::{SecretError, SharedSecret},
};
use snafu::{OptionExt, ResultExt, Snafu};

/// What a setting's flag is looked up in when it was not given.
pub const VARIABLE_PREFIX: &str = "COLTSFOOTCRANK_";

/// Why the settings do not do.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// A setting without a default was not given.
    #[snafu(display("{flag} is missing; give {expected}, or set {}", variable_of(flag)))]
    Missing {
        /// The flag.
        flag: &'static str,
        /// What would be right.
        expected: &'static str,
    },
    /// A setting could not be read.
    #[snafu(display("{flag} is {value:?}; it must be {expected}"))]
    Malformed {
        /// The flag.
        flag: &'static str,
        /// What was given.
        value: String,
        /// What would be right.
        expected: &'static str,
    },
    /// A secret's file could not be read.
    #[snafu(display("{flag} names {}, which cannot be read: {source}", path.display()))]
    SecretFile {
        /// The flag.
        flag: &'static str,
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// A secret's file holds none.
    #[snafu(display("{flag} names {}: {source}", path.display()))]
    Secret {
        /// The flag.
        flag: &'static str,
        /// The file.
        path: PathBuf,
        /// Why.
        source: SecretError,
    },
}

/// The settings of one daemon.
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
    /// The secret of the fleet.
    pub fleet_secret: SharedSecret,
    /// The secret of operators.
    pub operator_secret: SharedSecret,
    /// The secret of announcements.
    pub announce_secret: SharedSecret,
}

const ADDRESS: &str = "IP:PORT, such as 127.0.0.1:8080";
const NAME: &str = "1 to 64 letters, digits, '-', '_' or '.'";

impl DaemonSettings {
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
        Ok(Self {
            member: reader.required(&args.member, "--member", NAME)?,
            domain: reader.required(&args.domain, "--domain", NAME)?,
            caller_listen: reader.required(&args.caller_listen, "--caller-listen", ADDRESS)?,
            announce_listen: reader.required(
                &args.announce_listen,
                "--announce-listen",
                ADDRESS,
            )?,
            operator_listen: reader.required(
                &args.operator_listen,
                "--operator-listen",
                ADDRESS,
            )?,
            platform_listen: reader.required(
                &args.platform_listen,
                "--platform-listen",
                ADDRESS,
            )?,
            fleet_listen: reader.required(&args.fleet_listen, "--fleet-listen", ADDRESS)?,
            seeds: reader.addresses(&args.seeds, "--seeds")?,
            data: reader.text(&args.data, "--data").map(PathBuf::from),
            fleet_secret: reader.secret(&args.fleet_secret, "--fleet-secret")?,
            operator_secret: reader.secret(&args.operator_secret, "--operator-secret")?,
            announce_secret: reader.secret(&args.announce_secret, "--announce-secret")?,
        })
    }
}

struct SettingReader<'a> {
    variable: &'a dyn Fn(&str) -> Option<String>,
}

impl SettingReader<'_> {
    fn text(&self, given: &Option<String>, flag: &'static str) -> Option<String> {
        given.clone().or_else(|| (self.variable)(&variable_of(flag)))
    }

    fn required<T: FromStr>(
        &self,
        given: &Option<String>,
        flag: &'static str,
        expected: &'static str,
    ) -> Result<T, SettingsError> {
        let value = self.text(given, flag).context(MissingSnafu { flag, expected })?;
        value.parse().ok().context(MalformedSnafu { flag, value, expected })
    }

    fn addresses(
        &self,
        given: &Option<String>,
        flag: &'static str,
    ) -> Result<Vec<SocketAddr>, SettingsError> {
        let Some(value) = self.text(given, flag) else { return Ok(Vec::new()) };
        let parsed: Result<Vec<_>, _> = value.split(',').map(|one| one.trim().parse()).collect();
        let expected = "IP:PORT,IP:PORT, such as 10.0.0.1:7000,10.0.0.2:7000";
        parsed.ok().context(MalformedSnafu { flag, value, expected })
    }

    fn secret(
        &self,
        given: &Option<String>,
        flag: &'static str,
    ) -> Result<SharedSecret, SettingsError> {
        let expected = "the path of a file with at least 16 random bytes";
        let value = self.text(given, flag).context(MissingSnafu { flag, expected })?;
        let path = Path::new(&value);
        let bytes = fs::read(path).context(SecretFileSnafu { flag, path })?;
        SharedSecret::from_bytes(&bytes).context(SecretSnafu { flag, path })
    }
}

/// Returns the environment variable of a flag.
pub fn variable_of(flag: &str) -> String {
    let name = flag.trim_start_matches('-').replace('-', "_").to_uppercase();
    format!("{VARIABLE_PREFIX}{name}")
}
