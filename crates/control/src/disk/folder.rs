//! The data folder of a VM.
//!
//! ```text
//! lock            held by the process that uses the folder
//! member          whose folder it is
//! group-0/log     the replica's identity, term, vote and entries behind the snapshot
//! group-0/snapshot-1234
//! group-1/...
//! ```

use std::{
    fs::{self, File, OpenOptions},
    io::ErrorKind,
    path::{Path, PathBuf},
    thread,
    time::{Duration, Instant},
};

use crate::{
    disk::{
        files::{doing, replace_file, sync_folder},
        frame::{DamagePlace, PREAMBLE, check_preamble, damage, frame_at, preamble, put_frame},
        group_file::FileStore,
        store::{OpenStore, StoreFault, StoreOpener},
    },
    fault::{ControlError, DamageKind, DamagedSnafu},
};
use fs4::fs_std::FileExt;
use model::{names::MemberName, numbers::GroupNumber};

const MEMBER_FILE: &str = "member";
const LOCK_FILE: &str = "lock";

/// How long the lock is waited for. A process that ends, or a handle that was just dropped, holds it
/// until its last sync is done.
const LOCK_WAIT: Duration = Duration::from_secs(2);

/// A data folder that this process holds.
#[derive(Debug)]
pub struct DataFolder {
    path: PathBuf,
    _lock: File,
}

impl DataFolder {
    /// Opens the folder of a VM, or makes it.
    ///
    /// # Errors
    ///
    /// Fails when another process holds it, when it is another VM's, or when it is not accessible.
    pub fn open(path: &Path, member: &MemberName) -> Result<Self, ControlError> {
        doing(fs::create_dir_all(path), "creation of the folder", path)?;
        let lock = lock_folder(path)?;
        check_member(path, member)?;
        Ok(Self { path: path.to_owned(), _lock: lock })
    }
}

impl StoreOpener for DataFolder {
    fn open_group(&mut self, group: GroupNumber) -> Result<OpenStore, ControlError> {
        let folder = group_folder(&self.path, group);
        doing(fs::create_dir_all(&folder), "creation of the folder", &folder)?;
        sync_folder(&self.path)?;
        let (store, id, memory) = FileStore::open(&folder, group)?;
        Ok(OpenStore { store: Box::new(store), id, memory })
    }

    fn groups(&self) -> Result<Vec<GroupNumber>, ControlError> {
        list_groups(&self.path)
    }
}

/// Returns the folder of a group.
pub(crate) fn group_folder(path: &Path, group: GroupNumber) -> PathBuf {
    path.join(format!("group-{group}"))
}

/// Lists the groups that have a folder.
pub(crate) fn list_groups(path: &Path) -> Result<Vec<GroupNumber>, ControlError> {
    let mut groups = Vec::new();
    for entry in doing(fs::read_dir(path), "listing", path)? {
        let name = doing(entry, "listing", path)?.file_name();
        let number = name.to_str().and_then(|name| name.strip_prefix("group-"));
        groups.extend(number.and_then(|number| number.parse().ok()).map(GroupNumber));
    }
    groups.sort_unstable();
    Ok(groups)
}

fn lock_folder(path: &Path) -> Result<File, ControlError> {
    let lock_path = path.join(LOCK_FILE);
    let mut options = OpenOptions::new();
    options.write(true).create(true).truncate(false);
    let file = doing(options.open(&lock_path), "opening", &lock_path)?;
    let until = Instant::now() + LOCK_WAIT;
    while !doing(file.try_lock_exclusive(), "locking", &lock_path)? {
        if Instant::now() >= until {
            return Err(ControlError::Locked { path: path.to_owned() });
        }
        thread::sleep(Duration::from_millis(10));
    }
    Ok(file)
}

/// Makes sure that the folder is this VM's. One that was copied from another VM would speak with that
/// VM's identity.
fn check_member(path: &Path, member: &MemberName) -> Result<(), ControlError> {
    let file = path.join(MEMBER_FILE);
    let bytes = match fs::read(&file) {
        Ok(bytes) => bytes,
        Err(error) if error.kind() == ErrorKind::NotFound => return write_member(&file, member),
        Err(error) => return doing(Err(error), "reading", &file),
    };
    let found = read_member(&bytes).map_err(|place| place.in_file(&file))?;
    if found != *member {
        let (path, member) = (path.to_owned(), member.clone());
        return Err(ControlError::OtherMember { path, found, member });
    }
    Ok(())
}

fn write_member(file: &Path, member: &MemberName) -> Result<(), ControlError> {
    let mut bytes = preamble().to_vec();
    put_frame(&mut bytes, 0, 0, member.as_str().as_bytes());
    match replace_file(file, &bytes) {
        Ok(_) => Ok(()),
        Err(StoreFault::Fatal { source }) => Err(source),
        Err(StoreFault::NoSpace) => doing(Err(ErrorKind::StorageFull.into()), "write", file),
    }
}

fn read_member(bytes: &[u8]) -> Result<MemberName, DamagePlace> {
    check_preamble(bytes)?;
    let frame = frame_at(bytes, PREAMBLE, 0);
    let frame = frame.ok_or(damage(PREAMBLE, DamageKind::Checksum))?;
    let text = str::from_utf8(frame.content).ok();
    let name = text.and_then(|text| text.parse().ok());
    name.ok_or(damage(PREAMBLE, DamageKind::Record))
}

impl DamagePlace {
    /// Names the file that is damaged.
    pub fn in_file(self, path: &Path) -> ControlError {
        DamagedSnafu { path, offset: self.offset, found: self.found }.build()
    }
}
