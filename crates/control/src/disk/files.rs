//! File operations that say what was tried, and where.

use std::{
    fs::{self, File, OpenOptions},
    io::{self, ErrorKind, Write},
    path::{Path, PathBuf},
};

use crate::{
    disk::store::StoreFault,
    fault::{ControlError, FileSnafu},
};
use snafu::ResultExt;

/// How the name of a file ends before it takes its place.
pub(crate) const UNFINISHED: &str = "new";

/// Adds what was tried to a result.
pub(crate) fn doing<T>(
    result: io::Result<T>,
    doing: &'static str,
    path: &Path,
) -> Result<T, ControlError> {
    result.context(FileSnafu { doing, path })
}

/// Sorts a failed write: no room, or a disk that cannot be trusted.
pub(crate) fn stored<T>(
    result: io::Result<T>,
    what: &'static str,
    path: &Path,
) -> Result<T, StoreFault> {
    match result {
        Err(error) if is_full(&error) => Err(StoreFault::NoSpace),
        other => Ok(doing(other, what, path)?),
    }
}

fn is_full(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::StorageFull | ErrorKind::QuotaExceeded)
}

/// Syncs a folder, without which a rename in it may be undone by a crash.
pub(crate) fn sync_folder(folder: &Path) -> Result<(), ControlError> {
    doing(File::open(folder).and_then(|opened| opened.sync_all()), "sync of the folder", folder)
}

/// Puts a whole file in place so that a crash leaves the old one or the new one: written beside,
/// synced, renamed, folder synced.
pub(crate) fn replace_file(path: &Path, content: &[u8]) -> Result<File, StoreFault> {
    let beside = beside(path);
    let written = write_beside(&beside, content);
    if let Err(StoreFault::NoSpace) = &written {
        // Gives the room back; a file that stays is overwritten by the next try.
        let _ = fs::remove_file(&beside);
    }
    let file = written?;
    doing(fs::rename(&beside, path), "rename", path)?;
    sync_folder(path.parent().unwrap_or(Path::new(".")))?;
    Ok(file)
}

fn write_beside(beside: &Path, content: &[u8]) -> Result<File, StoreFault> {
    let mut options = OpenOptions::new();
    options.read(true).write(true).create(true).truncate(true);
    let mut file = stored(options.open(beside), "creation", beside)?;
    stored(file.write_all(content), "write", beside)?;
    doing(file.sync_all(), "sync", beside)?;
    Ok(file)
}

/// Returns the name under which a file is written before it takes its place.
pub(crate) fn beside(path: &Path) -> PathBuf {
    path.with_extension(UNFINISHED)
}
