//! What replicas send each other, as the fleet carries it.

use derive::domain;
use model::{names::MemberName, numbers::GroupNumber};

/// The largest packet, in bytes of its content. Larger snapshots go in chunks.
pub const PACKET_LIMIT: usize = 512 * 1024;

/// One message between two replicas. It may be lost, doubled, delayed and reordered on its way.
#[domain]
pub struct ReplicaPacket {
    /// The sending VM.
    pub from: MemberName,
    /// The VM that it is for.
    pub to: MemberName,
    /// The group.
    pub group: GroupNumber,
    /// The message in the replicas' own form, at most [`PACKET_LIMIT`] bytes.
    pub bytes: Vec<u8>,
}
