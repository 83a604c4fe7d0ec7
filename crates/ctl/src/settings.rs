//! The typed settings of the command line.

use std::{fs, net::SocketAddr, path::Path};

use crate::{
    args::Coltsfootcrank,
    fault::{CtlError, MalformedSnafu, MissingSnafu, ReadSnafu, SecretSnafu},
};
use model::secret::SharedSecret;
use snafu::{OptionExt, ResultExt};

const ADDRESSES: &str = "IP:PORT,IP:PORT, such as 127.0.0.1:7102";

/// How the fleet is reached.
#[derive(Clone, Debug)]
pub struct CtlSettings {
    /// The operators' ports of some VMs, tried in order.
    pub addresses: Vec<SocketAddr>,
    /// The operators' secret.
    pub secret: SharedSecret,
}

impl CtlSettings {
    /// Checks what was written and gives it types. `variable` looks up an environment variable.
    ///
    /// # Errors
    ///
    /// Fails at the first setting that does not do, naming flag, value and what would be right.
    pub fn from_args(
        args: &Coltsfootcrank,
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<Self, CtlError> {
        let (flag, name) = ("--operator", "COLTSFOOTCRANK_OPERATOR");
        let value = args.operator.clone().or_else(|| variable(name));
        let value = value.context(MissingSnafu { flag, variable: name, expected: ADDRESSES })?;
        let addresses: Result<Vec<_>, _> = value.split(',').map(|one| one.trim().parse()).collect();
        let addresses =
            addresses.ok().context(MalformedSnafu { flag, value, expected: ADDRESSES })?;
        let (flag, name) = ("--operator-secret", "COLTSFOOTCRANK_OPERATOR_SECRET");
        let expected = "the path of the file with the operators' secret";
        let file = args.operator_secret.clone().or_else(|| variable(name));
        let file = file.context(MissingSnafu { flag, variable: name, expected })?;
        let path = Path::new(&file);
        let bytes = fs::read(path).context(ReadSnafu { path })?;
        let secret = SharedSecret::from_bytes(&bytes).context(SecretSnafu { path })?;
        Ok(Self { addresses, secret })
    }
}
