//! What can go wrong, with exit codes.

use std::{io, net::SocketAddr, path::PathBuf};

use control::fault::ControlError;
use model::{names::NameError, numbers::ConfigNumber, patch::ConfigChange, secret::SecretError};
use operator::answers::ErrorCode;
use snafu::Snafu;

/// A flag, variable or file is wrong.
pub const EXIT_USAGE: u8 = 2;
/// The system refused something.
pub const EXIT_SYSTEM: u8 = 3;
/// No VM answered, or no majority was reached: the same may be sent again.
pub const EXIT_UNREACHED: u8 = 4;
/// The fleet refused what was asked.
pub const EXIT_REFUSED: u8 = 5;
/// The patch was written against an older number.
pub const EXIT_STALE: u8 = 6;

/// Why one VM gave no answer.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum AttemptFault {
    /// No connection.
    #[snafu(display("{address}: no connection: {source}"))]
    Connect {
        /// The VM's operators' port.
        address: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// The connection broke.
    #[snafu(display("{address}: the connection broke: {source}"))]
    Broken {
        /// The VM's operators' port.
        address: SocketAddr,
        /// What the library said.
        source: hyper::Error,
    },
    /// No answer in time.
    #[snafu(display("{address}: no answer in {seconds} s"))]
    Silent {
        /// The VM's operators' port.
        address: SocketAddr,
        /// How long was waited.
        seconds: u64,
    },
    /// The VM reached no majority.
    #[snafu(display("{address}: {text}"))]
    NoMajority {
        /// The VM's operators' port.
        address: SocketAddr,
        /// What it said.
        text: String,
    },
}

/// Why a command failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum CtlError {
    /// A setting was not given.
    #[snafu(display("{flag} is missing; give {expected}, or set {variable}"))]
    Missing {
        /// The flag.
        flag: &'static str,
        /// The variable.
        variable: &'static str,
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
    /// Neither of two flags was given.
    #[snafu(display("nothing to change; give --add MEMBER or --remove MEMBER"))]
    NothingToChange,
    /// A name is none.
    #[snafu(display("{what} is {value:?}: {source}"))]
    Name {
        /// What it names.
        what: &'static str,
        /// What was given.
        value: String,
        /// Why.
        source: NameError,
    },
    /// A file could not be read.
    #[snafu(display("cannot read {}: {source}", path.display()))]
    Read {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// The secret's file holds none.
    #[snafu(display("--operator-secret names {}: {source}", path.display()))]
    Secret {
        /// The file.
        path: PathBuf,
        /// Why.
        source: SecretError,
    },
    /// A patch file does not read as one.
    #[snafu(display(
        "{} is no patch: {reason}; docs/OPERATING.md shows one in TOML and one in JSON",
        path.display()
    ))]
    PatchFile {
        /// The file.
        path: PathBuf,
        /// Why.
        reason: String,
    },
    /// What was sent could not be kept, so nothing was sent.
    #[snafu(display(
        "cannot keep what is sent in {}: {source}; nothing was sent: put the patch file into a \
         folder that can be written",
        path.display()
    ))]
    Keep {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// No VM gave an answer.
    #[snafu(display(
        "no VM gave an answer ({}); run the same again, which is safe, or name other \
                     VMs by --operator",
        join(attempts)
    ))]
    Unreached {
        /// What each said.
        attempts: Vec<AttemptFault>,
    },
    /// A patch was sent and the answer is not known.
    #[snafu(display(
        "the answer to patch {id} is not known: {source}; run the same command again: it sends the \
         same patch, which is never applied twice"
    ))]
    PatchUnknown {
        /// The patch.
        id: String,
        /// Why.
        #[snafu(source(from(CtlError, Box::new)))]
        source: Box<CtlError>,
    },
    /// The fleet refused.
    #[snafu(display("refused: {text}"))]
    Refused {
        /// What a program may switch on.
        code: ErrorCode,
        /// What the fleet said.
        text: String,
    },
    /// The patch was written against an older number.
    #[snafu(display("{}", stale_text(text, *base, *present, conflicts)))]
    Stale {
        /// What the fleet said.
        text: String,
        /// The number that the patch names.
        base: ConfigNumber,
        /// The number in force.
        present: ConfigNumber,
        /// The newer changes of the same entries.
        conflicts: Vec<ConfigChange>,
    },
    /// An answer could not be understood.
    #[snafu(display(
        "{address} answered what this version cannot read ({reason}); use the \
                     coltsfootcrank of the fleet's version"
    ))]
    Answer {
        /// The VM's operators' port.
        address: SocketAddr,
        /// What was found.
        reason: String,
    },
    /// A data folder could not be looked into.
    #[snafu(display("{source}"))]
    Inspect {
        /// Why.
        source: ControlError,
    },
    /// The system refused.
    #[snafu(display("cannot {doing}: {source}"))]
    System {
        /// What was tried.
        doing: &'static str,
        /// What it said.
        source: io::Error,
    },
}

impl CtlError {
    /// Returns the exit code that scripts may rely on.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Missing { .. }
            | Self::Malformed { .. }
            | Self::NothingToChange
            | Self::Name { .. }
            | Self::Secret { .. }
            | Self::PatchFile { .. } => EXIT_USAGE,
            Self::Read { .. } | Self::Keep { .. } | Self::Inspect { .. } | Self::System { .. } => {
                EXIT_SYSTEM
            }
            Self::Unreached { .. } | Self::PatchUnknown { .. } => EXIT_UNREACHED,
            Self::Refused { .. } | Self::Answer { .. } => EXIT_REFUSED,
            Self::Stale { .. } => EXIT_STALE,
        }
    }
}

fn join(attempts: &[AttemptFault]) -> String {
    attempts.iter().map(ToString::to_string).collect::<Vec<_>>().join("; ")
}

/// Shows the newer changes of the same entries whole: their author's work is what a careless second
/// try would undo.
fn stale_text(
    text: &str,
    base: ConfigNumber,
    present: ConfigNumber,
    conflicts: &[ConfigChange],
) -> String {
    let changes = conflicts.iter().map(|change| {
        let change = serde_json::to_string(change).expect("changes have a JSON form");
        format!("\n  newer: {change}")
    });
    let changes: String = changes.collect();
    format!(
        "refused: {text}{changes}\n  look at `coltsfootcrank config history --after {base}`, change \
         the file where needed and run again with --base {present}"
    )
}
