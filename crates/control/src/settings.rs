//! What the replicas of a VM are opened with.

use std::path::PathBuf;

use model::names::MemberName;

/// The settings of the replicas of one VM.
#[derive(Clone, Debug)]
pub struct ReplicaSettings {
    /// The VM's own name.
    pub member: MemberName,
    /// The data folder, made if there is none. One process holds it at a time.
    pub folder: PathBuf,
    /// The VMs that found the groups together, the same list on each of them. A VM that is not one of
    /// them waits until it is added by a replica change.
    pub founders: Vec<MemberName>,
    /// What random numbers are drawn from.
    pub seed: u64,
}
