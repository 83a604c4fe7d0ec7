//! The files of one group.

use std::{
    fs::{self, File, OpenOptions},
    io::ErrorKind,
    os::unix::fs::FileExt as _,
    path::{Path, PathBuf},
    sync::Arc,
};

use crate::{
    disk::{
        files::{UNFINISHED, doing, replace_file, stored},
        frame::{
            DamagePlace, PREAMBLE, check_preamble, damage, frame_at, preamble, put_frame,
            read_frames,
        },
        store::{LogStore, SnapshotWriter, StoreFault},
    },
    fault::{ControlError, DamageKind},
    replica::{
        entry::{ReplicaId, SnapshotImage},
        log::{LogWrite, ReplicaMemory},
    },
};
use derive::domain;
use fs4::fs_std::FileExt as _;
use model::numbers::GroupNumber;
use uuid::Uuid;

/// The log grows by this step. Room is taken before it is needed, so that a full disk refuses a
/// command before it is taken on instead of failing a sync; and a sync within the step need not write
/// the file's length.
const GROW_STEP: u64 = 1024 * 1024;

/// What a log file begins with.
#[domain]
struct LogHeader {
    group: GroupNumber,
    id: ReplicaId,
    salt: u32,
    /// The last entry of the snapshot that the log begins behind.
    snapshot: Option<u64>,
}

/// What a log file held.
pub(crate) struct LogContent {
    pub(crate) id: ReplicaId,
    pub(crate) memory: ReplicaMemory,
    pub(crate) snapshot: Option<u64>,
    /// The end of the last whole frame.
    pub(crate) end: u64,
    /// Whether something that is no frame stands behind it.
    pub(crate) torn: bool,
    salt: u32,
    sequence: u64,
}

/// The files of one group.
#[derive(Debug)]
pub struct FileStore {
    folder: PathBuf,
    path: PathBuf,
    group: GroupNumber,
    id: ReplicaId,
    salt: u32,
    file: File,
    sequence: u64,
    start: u64,
    end: u64,
    allocated: u64,
}

impl FileStore {
    /// Opens the files of a group, or makes them, with an identity of their own.
    ///
    /// The identity stands in the log file itself: whoever loses the log loses the identity too, and
    /// comes back as a new replica.
    ///
    /// # Errors
    ///
    /// Fails when they are damaged or not accessible.
    pub fn open(
        folder: &Path,
        group: GroupNumber,
    ) -> Result<(Self, ReplicaId, ReplicaMemory), ControlError> {
        remove_unfinished(folder);
        let path = folder.join("log");
        if !doing(path.try_exists(), "reading", &path)? {
            let store = Self::create(folder, group).map_err(|fault| no_room(fault, &path))?;
            let id = store.id;
            return Ok((store, id, ReplicaMemory::default()));
        }
        let content = read_log(folder, group)?;
        let store = Self::reopen(folder, group, &content)?;
        Ok((store, content.id, content.memory))
    }

    fn create(folder: &Path, group: GroupNumber) -> Result<Self, StoreFault> {
        let (high, low) = Uuid::new_v4().as_u64_pair();
        Self::write_file(folder, group, ReplicaId(high ^ low), None, &[])
    }

    fn write_file(
        folder: &Path,
        group: GroupNumber,
        id: ReplicaId,
        snapshot: Option<u64>,
        writes: &[LogWrite],
    ) -> Result<Self, StoreFault> {
        let path = folder.join("log");
        let salt = Uuid::new_v4().as_fields().0;
        let header = LogHeader { group, id, salt, snapshot };
        let mut bytes = preamble().to_vec();
        put_frame(&mut bytes, 0, 0, &encode(&header));
        let start = bytes.len() as u64;
        if !writes.is_empty() {
            put_frame(&mut bytes, salt, 1, &encode(&writes));
        }
        let file = replace_file(&path, &bytes)?;
        let sequence = if writes.is_empty() { 1 } else { 2 };
        let (folder, end) = (folder.to_owned(), bytes.len() as u64);
        Ok(Self { folder, path, group, id, salt, file, sequence, start, end, allocated: end })
    }

    /// Opens the log for more, without its torn tail.
    fn reopen(
        folder: &Path,
        group: GroupNumber,
        content: &LogContent,
    ) -> Result<Self, ControlError> {
        let path = folder.join("log");
        let opened = OpenOptions::new().read(true).write(true).open(&path);
        let file = doing(opened, "opening", &path)?;
        doing(file.set_len(content.end), "cutting the torn tail", &path)?;
        doing(file.sync_all(), "sync", &path)?;
        Ok(Self {
            folder: folder.to_owned(),
            path,
            group,
            id: content.id,
            salt: content.salt,
            file,
            sequence: content.sequence,
            start: PREAMBLE as u64,
            end: content.end,
            allocated: content.end,
        })
    }

    fn snapshot_path(&self, index: u64) -> PathBuf {
        snapshot_path(&self.folder, index)
    }

    /// Removes earlier snapshots. One that stays costs only room; one that another thread is still
    /// writing is left to it.
    fn remove_earlier_snapshots(&self, kept: u64) {
        let Ok(entries) = fs::read_dir(&self.folder) else { return };
        for path in entries.flatten().map(|entry| entry.path()) {
            let name = path.file_name().and_then(|name| name.to_str()).unwrap_or_default();
            let index: Option<u64> =
                name.strip_prefix("snapshot-").and_then(|index| index.parse().ok());
            if index.is_some_and(|index| index < kept) {
                let _ = fs::remove_file(path);
            }
        }
    }
}

impl LogStore for FileStore {
    fn reserve(&mut self, bytes: u64) -> Result<(), StoreFault> {
        let needed = self.end + bytes;
        if needed <= self.allocated {
            return Ok(());
        }
        let target = needed.next_multiple_of(GROW_STEP);
        match self.file.allocate(target) {
            // A file system that cannot take room ahead: a full disk shows at the write then.
            Err(error) if error.kind() == ErrorKind::Unsupported => (),
            other => stored(other, "making room", &self.path)?,
        }
        self.allocated = target;
        Ok(())
    }

    fn write(&mut self, writes: &[LogWrite]) -> Result<(), StoreFault> {
        let mut frame = Vec::new();
        put_frame(&mut frame, self.salt, self.sequence, &encode(&writes));
        let length = frame.len() as u64;
        self.reserve(length)?;
        stored(self.file.write_all_at(&frame, self.end), "write", &self.path)?;
        doing(self.file.sync_data(), "sync", &self.path)?;
        self.end += length;
        self.sequence += 1;
        Ok(())
    }

    fn snapshot_writer(&self) -> SnapshotWriter {
        let (folder, group) = (self.folder.clone(), self.group);
        Box::new(move |image| write_snapshot(&folder, group, image))
    }

    fn rewrite(&mut self, image: &SnapshotImage, writes: &[LogWrite]) -> Result<(), StoreFault> {
        if !self.snapshot_path(image.index).exists() {
            write_snapshot(&self.folder, self.group, image)?;
        }
        let index = Some(image.index);
        *self = Self::write_file(&self.folder, self.group, self.id, index, writes)?;
        self.remove_earlier_snapshots(image.index);
        Ok(())
    }

    fn log_bytes(&self) -> u64 {
        self.end - self.start
    }
}

/// Reads a group's files without changing them.
pub(crate) fn read_log(folder: &Path, group: GroupNumber) -> Result<LogContent, ControlError> {
    let path = folder.join("log");
    let bytes = doing(fs::read(&path), "reading", &path)?;
    let (header, start) = read_header(&bytes, group).map_err(|place| place.in_file(&path))?;
    let snapshot = header.snapshot.map(|index| read_snapshot(folder, group, index)).transpose()?;
    let mut memory = ReplicaMemory::from_snapshot(snapshot);
    let (sequence, end) = repeat_frames(&bytes, start, header.salt, &mut memory)
        .map_err(|place| place.in_file(&path))?;
    Ok(LogContent {
        id: header.id,
        memory,
        snapshot: header.snapshot,
        end: end as u64,
        torn: bytes.get(end..).is_some_and(|rest| rest.iter().any(|byte| *byte != 0)),
        salt: header.salt,
        sequence,
    })
}

fn read_header(bytes: &[u8], group: GroupNumber) -> Result<(LogHeader, usize), DamagePlace> {
    check_preamble(bytes)?;
    let frame = frame_at(bytes, PREAMBLE, 0).ok_or(damage(PREAMBLE, DamageKind::Checksum))?;
    let header: Result<LogHeader, _> = postcard::from_bytes(frame.content);
    match header {
        Ok(header) if header.group == group => Ok((header, frame.end)),
        _ => Err(damage(PREAMBLE, DamageKind::Record)),
    }
}

fn repeat_frames(
    bytes: &[u8],
    start: usize,
    salt: u32,
    memory: &mut ReplicaMemory,
) -> Result<(u64, usize), DamagePlace> {
    let (frames, end) = read_frames(bytes, start, salt, 1)?;
    let mut offset = start;
    for frame in &frames {
        let writes: Result<Vec<LogWrite>, _> = postcard::from_bytes(frame.content);
        let sound = writes.is_ok_and(|writes| writes.into_iter().all(|write| memory.repeat(write)));
        if !sound {
            return Err(damage(offset, DamageKind::Record));
        }
        offset = frame.end;
    }
    Ok((frames.len() as u64 + 1, end))
}

fn write_snapshot(
    folder: &Path,
    group: GroupNumber,
    image: &SnapshotImage,
) -> Result<(), StoreFault> {
    let mut bytes = preamble().to_vec();
    put_frame(&mut bytes, 0, u64::from(group.0), &encode(image));
    replace_file(&snapshot_path(folder, image.index), &bytes)?;
    Ok(())
}

fn read_snapshot(
    folder: &Path,
    group: GroupNumber,
    index: u64,
) -> Result<Arc<SnapshotImage>, ControlError> {
    let path = snapshot_path(folder, index);
    let bytes = match fs::read(&path) {
        Err(error) if error.kind() == ErrorKind::NotFound => {
            return Err(damage(0, DamageKind::Missing).in_file(&path));
        }
        other => doing(other, "reading", &path)?,
    };
    parse_snapshot(&bytes, group, index).map_err(|place| place.in_file(&path))
}

fn parse_snapshot(
    bytes: &[u8],
    group: GroupNumber,
    index: u64,
) -> Result<Arc<SnapshotImage>, DamagePlace> {
    check_preamble(bytes)?;
    let frame = frame_at(bytes, PREAMBLE, 0).ok_or(damage(PREAMBLE, DamageKind::Checksum))?;
    let image: Result<SnapshotImage, _> = postcard::from_bytes(frame.content);
    match image {
        Ok(image) if image.index == index && frame.sequence == u64::from(group.0) => {
            Ok(Arc::new(image))
        }
        _ => Err(damage(PREAMBLE, DamageKind::Record)),
    }
}

/// Removes files that a crash left before they took their place.
fn remove_unfinished(folder: &Path) {
    let Ok(entries) = fs::read_dir(folder) else { return };
    let paths = entries.flatten().map(|entry| entry.path());
    for path in paths.filter(|path| path.extension().is_some_and(|end| end == UNFINISHED)) {
        let _ = fs::remove_file(path);
    }
}

fn snapshot_path(folder: &Path, index: u64) -> PathBuf {
    folder.join(format!("snapshot-{index}"))
}

fn encode(value: &impl serde::Serialize) -> Vec<u8> {
    postcard::to_stdvec(value).expect("domain types have a postcard form")
}

fn no_room(fault: StoreFault, path: &Path) -> ControlError {
    match fault {
        StoreFault::Fatal { source } => source,
        StoreFault::NoSpace => {
            let full = Err::<(), _>(ErrorKind::StorageFull.into());
            doing(full, "making the log", path).expect_err("it is an error")
        }
    }
}
