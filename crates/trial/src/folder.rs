//! A temporary folder that is removed with its owner.

use std::{env, fs, io, path::Path, path::PathBuf};

use uuid::Uuid;

/// A temporary folder.
#[derive(Debug)]
pub struct TempFolder(PathBuf);

impl TempFolder {
    /// Makes an empty folder.
    ///
    /// # Errors
    ///
    /// Fails when the system refuses it.
    pub fn open() -> io::Result<Self> {
        let path = env::temp_dir().join(format!("coltsfootcrank-{}", Uuid::new_v4()));
        fs::create_dir_all(&path)?;
        Ok(Self(path))
    }

    /// Returns its path.
    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        // What is left behind is in the system's folder for it.
        let _ = fs::remove_dir_all(&self.0);
    }
}
