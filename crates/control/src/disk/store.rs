//! Where a replica's memory is kept, as the driver sees it.

use crate::{
    fault::ControlError,
    replica::{
        entry::{ReplicaId, SnapshotImage},
        log::{LogWrite, ReplicaMemory},
    },
};
use model::numbers::GroupNumber;
use snafu::Snafu;

/// Why something was not stored.
#[derive(Debug, Snafu)]
pub enum StoreFault {
    /// There is no room; nothing was stored, and what is stored is as it was.
    #[snafu(display("the data folder has no room"))]
    NoSpace,
    /// What is stored cannot be trusted any more.
    ///
    /// After a failed sync the system may have dropped the written pages and report the next sync as
    /// done. So it is never tried again: the process ends and reads back what is really there.
    #[snafu(transparent)]
    Fatal {
        /// Why.
        source: ControlError,
    },
}

/// Stores a snapshot. Durable when it returns.
pub type SnapshotWriter = Box<dyn FnOnce(&SnapshotImage) -> Result<(), StoreFault> + Send>;

/// The memory of one replica on a disk.
pub trait LogStore: Send {
    /// Makes sure that there is room for so many more bytes.
    ///
    /// # Errors
    ///
    /// Fails when there is not.
    fn reserve(&mut self, bytes: u64) -> Result<(), StoreFault>;

    /// Stores writes. Durable when it returns.
    ///
    /// # Errors
    ///
    /// Fails when there is no room or the disk cannot be trusted any more.
    fn write(&mut self, writes: &[LogWrite]) -> Result<(), StoreFault>;

    /// Returns what stores a snapshot beside the log, which stays in force. It may run on another
    /// thread while the store goes on.
    fn snapshot_writer(&self) -> SnapshotWriter;

    /// Puts a snapshot, stored already or not, and writes in the place of all that is stored.
    ///
    /// # Errors
    ///
    /// Fails as [`Self::write`] does.
    fn rewrite(&mut self, image: &SnapshotImage, writes: &[LogWrite]) -> Result<(), StoreFault>;

    /// Returns the bytes of the log behind the snapshot.
    fn log_bytes(&self) -> u64;
}

/// A store that was opened, with what it held.
pub struct OpenStore {
    /// The store.
    pub store: Box<dyn LogStore>,
    /// The identity of the replica, drawn when the store was made.
    pub id: ReplicaId,
    /// What it held.
    pub memory: ReplicaMemory,
}

/// Opens the stores of a VM's groups.
pub trait StoreOpener: Send {
    /// Opens the store of a group, or makes it.
    ///
    /// # Errors
    ///
    /// Fails when it is damaged or not accessible.
    fn open_group(&mut self, group: GroupNumber) -> Result<OpenStore, ControlError>;

    /// Lists the groups that have a store.
    ///
    /// # Errors
    ///
    /// Fails when the folder cannot be read.
    fn groups(&self) -> Result<Vec<GroupNumber>, ControlError>;
}
