//! Reads single settings, each error naming the flag, the value and what would be right.

use std::{
    collections::BTreeSet,
    fs, io,
    net::SocketAddr,
    ops::RangeInclusive,
    path::{Path, PathBuf},
    str::FromStr,
};

use model::{
    names::MemberName,
    secret::{SecretError, SharedSecret},
};
use snafu::{OptionExt, ResultExt, Snafu, ensure};

/// What a flag's variable begins with.
pub const VARIABLE_PREFIX: &str = "COLTSFOOTCRANK_";

pub(crate) const ADDRESS: &str = "IP:PORT, such as 127.0.0.1:8080";
pub(crate) const NAME: &str = "1 to 64 letters, digits, '-', '_' or '.'";
const ADDRESSES: &str = "IP:PORT,IP:PORT, such as 10.0.0.1:7000,10.0.0.2:7000";
const NAMES: &str = "NAME,NAME, such as vm-1,vm-2,vm-3, each once";
const SECRET: &str = "the path of a file with at least 16 random bytes";

/// Why the settings do not do.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum SettingsError {
    /// A setting without a default was not given.
    #[snafu(display(
        "{flag} is missing; give {expected}, or set {} (to try it on one machine: --embedded)",
        variable_of(flag)
    ))]
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
        expected: String,
    },
    /// Two settings do not go together.
    #[snafu(display("{flag} is {value:?}, but {other}; {advice}"))]
    Clash {
        /// The flag.
        flag: &'static str,
        /// What was given.
        value: String,
        /// What it clashes with.
        other: String,
        /// What would be right.
        advice: &'static str,
    },
    /// A secret's file could not be read.
    #[snafu(display(
        "{flag} is {:?}, which cannot be read: {source}; it must be {SECRET}", path.display()
    ))]
    SecretFile {
        /// The flag.
        flag: &'static str,
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// A secret's file holds none.
    #[snafu(display("{flag} is {:?}: {source}", path.display()))]
    Secret {
        /// The flag.
        flag: &'static str,
        /// The file.
        path: PathBuf,
        /// Why.
        source: SecretError,
    },
    /// A folder cannot be used.
    #[snafu(display(
        "{flag} is {:?}, where {doing} failed: {source}; it must be a folder that can be made and \
         written",
        path.display()
    ))]
    Folder {
        /// The flag.
        flag: &'static str,
        /// The folder.
        path: PathBuf,
        /// What was tried.
        doing: &'static str,
        /// What the system said.
        source: io::Error,
    },
}

/// Looks up settings: the flag first, then its variable.
pub(crate) struct SettingReader<'a> {
    pub(crate) variable: &'a dyn Fn(&str) -> Option<String>,
}

impl SettingReader<'_> {
    pub(crate) fn text(&self, given: &Option<String>, flag: &'static str) -> Option<String> {
        given.clone().or_else(|| (self.variable)(&variable_of(flag)))
    }

    pub(crate) fn required<T: FromStr>(
        &self,
        given: &Option<String>,
        flag: &'static str,
        expected: &'static str,
    ) -> Result<T, SettingsError> {
        let value = self.text(given, flag).context(MissingSnafu { flag, expected })?;
        value.parse().ok().context(MalformedSnafu { flag, value, expected })
    }

    pub(crate) fn number(
        &self,
        given: &Option<String>,
        flag: &'static str,
        range: RangeInclusive<u64>,
    ) -> Result<Option<u64>, SettingsError> {
        let Some(value) = self.text(given, flag) else { return Ok(None) };
        let number: Option<u64> = value.parse().ok();
        let expected = format!("a number from {} to {}", range.start(), range.end());
        let number = number.filter(|number| range.contains(number));
        number.context(MalformedSnafu { flag, value, expected }).map(Some)
    }

    pub(crate) fn address(
        &self,
        given: &Option<String>,
        flag: &'static str,
    ) -> Result<Option<SocketAddr>, SettingsError> {
        let Some(value) = self.text(given, flag) else { return Ok(None) };
        let parsed = value.trim().parse().ok().filter(|address: &SocketAddr| address.port() != 0);
        parsed.context(MalformedSnafu { flag, value, expected: ADDRESS }).map(Some)
    }

    pub(crate) fn addresses(
        &self,
        given: &Option<String>,
        flag: &'static str,
    ) -> Result<Vec<SocketAddr>, SettingsError> {
        let Some(value) = self.text(given, flag) else { return Ok(Vec::new()) };
        let parsed: Result<Vec<SocketAddr>, _> =
            value.split(',').map(|one| one.trim().parse()).collect();
        let parsed = parsed.ok().filter(|list| list.iter().all(|address| address.port() != 0));
        parsed.context(MalformedSnafu { flag, value, expected: ADDRESSES })
    }

    pub(crate) fn members(
        &self,
        given: &Option<String>,
        flag: &'static str,
    ) -> Result<Option<Vec<MemberName>>, SettingsError> {
        let Some(value) = self.text(given, flag) else { return Ok(None) };
        let parsed: Result<Vec<MemberName>, _> =
            value.split(',').map(|one| one.trim().parse()).collect();
        let once = |list: &Vec<_>| list.iter().collect::<BTreeSet<_>>().len() == list.len();
        let parsed = parsed.ok().filter(once);
        parsed.context(MalformedSnafu { flag, value, expected: NAMES }).map(Some)
    }

    pub(crate) fn secret(
        &self,
        given: &Option<String>,
        flag: &'static str,
    ) -> Result<SharedSecret, SettingsError> {
        let value = self.text(given, flag).context(MissingSnafu { flag, expected: SECRET })?;
        let path = Path::new(&value);
        let bytes = fs::read(path).context(SecretFileSnafu { flag, path })?;
        SharedSecret::from_bytes(&bytes).context(SecretSnafu { flag, path })
    }

    /// Makes the folder and writes into it, so that a disk that is missing or read-only shows
    /// before the VM takes part in anything.
    pub(crate) fn folder(
        &self,
        given: &Option<String>,
        flag: &'static str,
    ) -> Result<Option<PathBuf>, SettingsError> {
        let Some(value) = self.text(given, flag) else { return Ok(None) };
        ensure!(!value.is_empty(), MalformedSnafu { flag, value, expected: "a folder" });
        let path = PathBuf::from(value);
        fs::create_dir_all(&path).context(FolderSnafu { flag, path: &path, doing: "making it" })?;
        let probe = path.join(format!(".write-check-{}", uuid::Uuid::new_v4()));
        let doing = "writing a file";
        fs::write(&probe, b"").context(FolderSnafu { flag, path: &path, doing })?;
        let doing = "removing a file";
        fs::remove_file(&probe).context(FolderSnafu { flag, path: &path, doing })?;
        Ok(Some(path))
    }
}

/// Returns the environment variable of a flag.
pub fn variable_of(flag: &str) -> String {
    let name = flag.trim_start_matches('-').replace('-', "_").to_uppercase();
    format!("{VARIABLE_PREFIX}{name}")
}
