//! Patch files, and what was sent of them.
//!
//! The answer to a submitted patch can be lost. Sent again under its identifier it gets its first
//! result; sent under a new one against the present number it would be a second patch, which may
//! undo what others did in between. So the first sending writes `FILE.sent.json` beside the patch
//! file, before a byte goes out, and running the command again sends what stands there, as long as
//! the changes in the file and the base asked for are the same.

use std::{
    ffi::OsString,
    fs, io,
    path::{Path, PathBuf},
};

use crate::fault::{CtlError, KeepSnafu, PatchFileSnafu, ReadSnafu};
use model::{
    numbers::ConfigNumber,
    patch::{ConfigChange, ConfigPatch},
};
use serde::Deserialize;
use snafu::ResultExt;

/// A patch as its author writes it: without identifier and, usually, without a base.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct PatchDraft {
    /// The number that it was written against. `None`: the present one.
    #[serde(default)]
    pub base: Option<ConfigNumber>,
    /// Who wrote it.
    #[serde(default)]
    pub author: Option<String>,
    /// What it changes, in order.
    pub changes: Vec<ConfigChange>,
}

impl PatchDraft {
    /// Reads a file: JSON where its name ends in `.json`, else TOML.
    ///
    /// # Errors
    ///
    /// Fails when it cannot be read or is no patch.
    pub fn open(path: &Path) -> Result<Self, CtlError> {
        let bytes = fs::read(path).context(ReadSnafu { path })?;
        let reason = |text: String| PatchFileSnafu { path, reason: text }.build();
        let text = str::from_utf8(&bytes).map_err(|error| reason(error.to_string()))?;
        if path.extension().is_some_and(|extension| extension == "json") {
            serde_json::from_str(text).map_err(|error| reason(error.to_string()))
        } else {
            toml::from_str(text).map_err(|error| reason(error.to_string().trim().to_owned()))
        }
    }
}

/// Where what was sent of a patch file is kept.
#[derive(Clone, Debug)]
pub struct SentFile {
    path: PathBuf,
}

impl SentFile {
    /// Names the file that belongs to a patch file.
    pub fn beside(draft: &Path) -> Self {
        let mut name = OsString::from(draft);
        name.push(".sent.json");
        Self { path: PathBuf::from(name) }
    }

    /// Returns what was sent before, if it has these changes and this base.
    ///
    /// # Errors
    ///
    /// Fails when there is such a file that cannot be read: going on would send a second patch.
    pub fn find(
        &self,
        changes: &[ConfigChange],
        base: Option<ConfigNumber>,
    ) -> Result<Option<ConfigPatch>, CtlError> {
        let path = self.path.as_path();
        let bytes = match fs::read(path) {
            Ok(bytes) => bytes,
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
            Err(error) => return Err(error).context(ReadSnafu { path }),
        };
        let sent: ConfigPatch = serde_json::from_slice(&bytes)
            .map_err(|error| PatchFileSnafu { path, reason: error.to_string() }.build())?;
        let same = sent.changes == changes && base.is_none_or(|base| base == sent.base);
        Ok(same.then_some(sent))
    }

    /// Keeps what is about to be sent.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be written.
    pub fn keep(&self, patch: &ConfigPatch) -> Result<(), CtlError> {
        let path = self.path.as_path();
        let text = serde_json::to_vec_pretty(patch).expect("patches have a JSON form");
        let next = path.with_extension("json.new");
        fs::write(&next, text).context(KeepSnafu { path })?;
        fs::rename(&next, path).context(KeepSnafu { path })
    }
}
