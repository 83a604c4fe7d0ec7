//! One VM on loopback with a control state of its own, for newcomers and for trying things out.
//!
//! It is asked for by a flag and never the default: a VM whose settings got lost must not found a
//! control state of its own and take calls as if it were the fleet.

use std::{
    env, fs, io,
    io::Write,
    os::unix::fs::OpenOptionsExt,
    path::{Path, PathBuf},
};

use crate::{args::Coltsfootcrankd, settings::variable_of};
use snafu::{ResultExt, Snafu};
use uuid::Uuid;

/// Where an embedded VM listens, so that a newcomer can type the addresses. They are flags like any
/// other, so a second one on the machine is started with others.
const ADDRESSES: [(&str, &str); 5] = [
    ("--caller-listen", "127.0.0.1:7100"),
    ("--announce-listen", "127.0.0.1:7101"),
    ("--operator-listen", "127.0.0.1:7102"),
    ("--platform-listen", "127.0.0.1:7103"),
    ("--fleet-listen", "127.0.0.1:7104"),
];

/// Why an embedded VM's folder could not be made.
#[derive(Debug, Snafu)]
#[snafu(display("cannot make {}: {source}; name another folder by --data", path.display()))]
pub struct EmbeddedError {
    path: PathBuf,
    source: io::Error,
}

/// The folder of an embedded VM. A temporary one is removed with its owner.
#[derive(Debug)]
pub struct EmbeddedFolder {
    path: PathBuf,
    temporary: bool,
}

impl EmbeddedFolder {
    /// Makes the folder and its secrets, keeping those that are there.
    ///
    /// # Errors
    ///
    /// Fails when the system refuses it.
    pub fn open(given: Option<&Path>) -> Result<Self, EmbeddedError> {
        let folder = match given {
            Some(path) => Self { path: path.to_owned(), temporary: false },
            None => {
                let name = format!("coltsfootcrank-{}", Uuid::new_v4());
                Self { path: env::temp_dir().join(name), temporary: true }
            }
        };
        fs::create_dir_all(&folder.path).context(EmbeddedSnafu { path: &folder.path })?;
        for flag in SECRETS {
            let path = folder.secret(flag);
            keep_secret(&path).context(EmbeddedSnafu { path })?;
        }
        Ok(folder)
    }

    /// Returns where the secret of a flag lies.
    pub fn secret(&self, flag: &str) -> PathBuf {
        self.path.join(flag.trim_start_matches('-'))
    }

    /// Returns the data folder.
    pub fn data(&self) -> PathBuf {
        self.path.join("control")
    }
}

impl Drop for EmbeddedFolder {
    fn drop(&mut self) {
        if self.temporary {
            // What is left behind is in the system's folder for it.
            let _ = fs::remove_dir_all(&self.path);
        }
    }
}

const SECRETS: [&str; 3] = ["--fleet-secret", "--operator-secret", "--announce-secret"];

/// Writes a secret that only this user can read, where there is none.
fn keep_secret(path: &Path) -> io::Result<()> {
    let file = fs::OpenOptions::new().write(true).create_new(true).mode(0o600).open(path);
    match file {
        Ok(mut file) => {
            writeln!(file, "{}{}", Uuid::new_v4().simple(), Uuid::new_v4().simple())
        }
        Err(error) if error.kind() == io::ErrorKind::AlreadyExists => Ok(()),
        Err(error) => Err(error),
    }
}

/// Fills in what the flags and variables leave open.
pub fn complete(
    args: &mut Coltsfootcrankd,
    folder: &EmbeddedFolder,
    variable: impl Fn(&str) -> Option<String>,
) {
    let fill = |given: &mut Option<String>, flag: &str, value: String| {
        if given.is_none() && variable(&variable_of(flag)).is_none() {
            *given = Some(value);
        }
    };
    fill(&mut args.member, "--member", "embedded".to_owned());
    fill(&mut args.domain, "--domain", "local".to_owned());
    let listeners = [
        &mut args.caller_listen,
        &mut args.announce_listen,
        &mut args.operator_listen,
        &mut args.platform_listen,
        &mut args.fleet_listen,
    ];
    for (given, (flag, address)) in listeners.into_iter().zip(ADDRESSES) {
        fill(given, flag, address.to_owned());
    }
    let secrets = [&mut args.fleet_secret, &mut args.operator_secret, &mut args.announce_secret];
    for (given, flag) in secrets.into_iter().zip(SECRETS) {
        fill(given, flag, folder.secret(flag).display().to_string());
    }
    args.data = Some(folder.data().display().to_string());
}
