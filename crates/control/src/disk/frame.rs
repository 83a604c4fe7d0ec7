//! How records stand in a file.
//!
//! A file starts with a preamble of 16 bytes (what it is, its format version) and holds frames, each
//! at a multiple of 8 bytes: a mark, the length, a running number, a checksum, the content. One frame
//! is what one sync makes durable, so a crash leaves at most the last frame torn.
//!
//! A frame that does not check out is a torn tail when nothing valid stands behind it, and damage when
//! something does: frames behind it were written after it was synced. The checksum is salted with a
//! number drawn for each file, so that what callers put into a record cannot look like a frame.
//!
//! What this cannot tell: damage to the very last synced frame looks like a torn tail. A replica that
//! lost it that way has forgotten what it acknowledged last. The other replicas' copies and the vote's
//! being written before the entries it allows make that matter only when a second disk fails in the
//! same second.

use crate::fault::DamageKind;

/// The format version that this program writes, and the only one it reads.
pub const FORMAT_VERSION: u32 = 1;

/// The bytes before the first frame.
pub const PREAMBLE: usize = 16;

const FILE_MARK: [u8; 8] = *b"cfcrank\0";
const FRAME_MARK: u32 = 0x4652_4d31;
const HEAD: usize = 24;
const ALIGN: usize = 8;

/// Where a file is damaged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DamagePlace {
    /// In bytes from its start.
    pub offset: u64,
    /// What was found.
    pub found: DamageKind,
}

/// Returns the bytes before the first frame.
pub fn preamble() -> [u8; PREAMBLE] {
    let mut bytes = [0; PREAMBLE];
    bytes[..8].copy_from_slice(&FILE_MARK);
    bytes[8..12].copy_from_slice(&FORMAT_VERSION.to_le_bytes());
    bytes
}

/// Checks the bytes before the first frame.
///
/// # Errors
///
/// Fails when the file was not written by this program, or by another version.
pub fn check_preamble(bytes: &[u8]) -> Result<(), DamagePlace> {
    let place = |offset, found| DamagePlace { offset, found };
    if bytes.len() < PREAMBLE || bytes[..8] != FILE_MARK {
        return Err(place(0, DamageKind::Header));
    }
    match u32_at(bytes, 8) {
        FORMAT_VERSION => Ok(()),
        version => Err(place(8, DamageKind::Version { version })),
    }
}

/// Appends a frame to a buffer.
///
/// # Panics
///
/// Panics when the content is 4 GiB or more.
pub fn put_frame(buffer: &mut Vec<u8>, salt: u32, sequence: u64, content: &[u8]) {
    let length = u32::try_from(content.len()).expect("a record is below 4 GiB");
    buffer.extend_from_slice(&FRAME_MARK.to_le_bytes());
    buffer.extend_from_slice(&length.to_le_bytes());
    buffer.extend_from_slice(&sequence.to_le_bytes());
    buffer.extend_from_slice(&checksum(salt, sequence, content).to_le_bytes());
    buffer.extend_from_slice(&[0; 4]);
    buffer.extend_from_slice(content);
    buffer.resize(buffer.len().next_multiple_of(ALIGN), 0);
}

fn checksum(salt: u32, sequence: u64, content: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new_with_initial(salt);
    hasher.update(&sequence.to_le_bytes());
    hasher.update(&(content.len() as u64).to_le_bytes());
    hasher.update(content);
    hasher.finalize()
}

/// A frame that checked out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FoundFrame<'a> {
    /// Its running number.
    pub sequence: u64,
    /// Its content.
    pub content: &'a [u8],
    /// Where the next one starts.
    pub end: usize,
}

/// Reads the frame at a place, if a whole one is there.
pub fn frame_at(bytes: &[u8], offset: usize, salt: u32) -> Option<FoundFrame<'_>> {
    let head = bytes.get(offset..offset.checked_add(HEAD)?)?;
    if u32_at(head, 0) != FRAME_MARK {
        return None;
    }
    let length = usize::try_from(u32_at(head, 4)).ok()?;
    let sequence = u64::from_le_bytes(head[8..16].try_into().ok()?);
    let start = offset + HEAD;
    let content = bytes.get(start..start.checked_add(length)?)?;
    let sound = u32_at(head, 16) == checksum(salt, sequence, content);
    let end = (start + length).next_multiple_of(ALIGN);
    sound.then_some(FoundFrame { sequence, content, end })
}

/// Reads all frames from a place on. Returns them, and where the next one would start.
///
/// # Errors
///
/// Fails at the first frame that does not check out while a later one does.
pub fn read_frames(
    bytes: &[u8],
    start: usize,
    salt: u32,
    first: u64,
) -> Result<(Vec<FoundFrame<'_>>, usize), DamagePlace> {
    let mut frames = Vec::new();
    let mut offset = start;
    let mut expected = first;
    while let Some(frame) = frame_at(bytes, offset, salt) {
        if frame.sequence != expected {
            return Err(damage(offset, DamageKind::Record));
        }
        (offset, expected) = (frame.end, expected + 1);
        frames.push(frame);
    }
    let later = (offset + ALIGN..bytes.len()).step_by(ALIGN);
    let is_later = |at: usize| frame_at(bytes, at, salt).is_some_and(|f| f.sequence > expected);
    if later.into_iter().any(is_later) {
        return Err(damage(offset, DamageKind::Checksum));
    }
    Ok((frames, offset))
}

/// Makes the place of a damage.
pub fn damage(offset: usize, found: DamageKind) -> DamagePlace {
    DamagePlace { offset: offset as u64, found }
}

fn u32_at(bytes: &[u8], offset: usize) -> u32 {
    let four = bytes[offset..offset + 4].try_into().expect("four bytes");
    u32::from_le_bytes(four)
}
