//! Carries out one command.

use std::{fs, io, io::Write, net::SocketAddr, path::Path, path::PathBuf};

use crate::{
    args::{Coltsfootcrank, ColtsfootcrankCmd},
    client::{ClientError, OperatorClient},
};
use http::{Method, StatusCode};
use model::secret::{SecretError, SharedSecret};
use snafu::{OptionExt, ResultExt, Snafu};

/// The command line or its settings do not do.
const EXIT_USAGE: u8 = 2;
/// The system refused something.
pub(crate) const EXIT_SYSTEM: u8 = 3;
/// No VM answered.
const EXIT_UNREACHED: u8 = 4;
/// The fleet refused what was asked.
const EXIT_REFUSED: u8 = 5;

/// Why a command failed.
#[derive(Debug, Snafu)]
pub(crate) enum RunError {
    #[snafu(display("{flag} is missing; give it or set {variable}"))]
    Missing { flag: &'static str, variable: &'static str },
    #[snafu(display("--operator is {value:?}; it must be IP:PORT, such as 127.0.0.1:7100"))]
    Address { value: String },
    #[snafu(display("cannot read {}: {source}", path.display()))]
    Read { path: PathBuf, source: io::Error },
    #[snafu(display("{source}"))]
    Secret { source: SecretError },
    #[snafu(transparent)]
    Client { source: ClientError },
    #[snafu(display("refused with status {status}: {text}"))]
    Refused { status: StatusCode, text: String },
    #[snafu(display("cannot print: {source}"))]
    Print { source: io::Error },
}

impl RunError {
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            Self::Missing { .. } | Self::Address { .. } | Self::Secret { .. } => EXIT_USAGE,
            Self::Read { .. } | Self::Print { .. } => EXIT_SYSTEM,
            Self::Client { .. } => EXIT_UNREACHED,
            Self::Refused { .. } => EXIT_REFUSED,
        }
    }
}

pub(crate) async fn run(
    args: Coltsfootcrank,
    variable: impl Fn(&str) -> Option<String>,
) -> Result<(), RunError> {
    let client = client(&args, variable)?;
    let (method, path, body) = match args.subcommand {
        ColtsfootcrankCmd::Status(_) => (Method::GET, "/status", Vec::new()),
        ColtsfootcrankCmd::Upstreams(_) => (Method::GET, "/upstreams", Vec::new()),
        ColtsfootcrankCmd::Members(_) => (Method::GET, "/members", Vec::new()),
        ColtsfootcrankCmd::Submit(submit) => (Method::POST, "/patches", read(&submit.file)?),
    };
    let (status, body) = client.send(method, path, body).await?;
    let text = String::from_utf8_lossy(&body).into_owned();
    if !status.is_success() {
        return Err(RunError::Refused { status, text });
    }
    writeln!(io::stdout(), "{text}").context(PrintSnafu)
}

fn client(
    args: &Coltsfootcrank,
    variable: impl Fn(&str) -> Option<String>,
) -> Result<OperatorClient, RunError> {
    let name = "COLTSFOOTCRANK_OPERATOR";
    let value = args.operator.clone().or_else(|| variable(name));
    let value = value.context(MissingSnafu { flag: "--operator", variable: name })?;
    let address = value.parse::<SocketAddr>().ok().context(AddressSnafu { value })?;
    let name = "COLTSFOOTCRANK_OPERATOR_SECRET";
    let file = args.operator_secret.clone().or_else(|| variable(name));
    let file = file.context(MissingSnafu { flag: "--operator-secret", variable: name })?;
    let secret = SharedSecret::from_bytes(&read(Path::new(&file))?).context(SecretSnafu)?;
    Ok(OperatorClient { address, secret })
}

fn read(path: &Path) -> Result<Vec<u8>, RunError> {
    fs::read(path).context(ReadSnafu { path })
}
