//! Heads of answers that are broken on their way out.

use std::sync::{Arc, Mutex, PoisonError};

/// How a head is broken. The length of the bytes stays, so that the HTTP library below need not know.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HeadSpoil {
    /// A coding that nobody understands beside the length.
    Coding,
    /// Two line feeds end the head early, and its last field begins the body.
    LineFeeds,
    /// A status that HTTP does not have.
    Status,
}

impl HeadSpoil {
    pub(crate) const ALL: [Self; 3] = [Self::Coding, Self::LineFeeds, Self::Status];

    /// Breaks the head at the beginning of these bytes.
    fn apply(self, bytes: &mut [u8]) {
        match self {
            Self::Coding => {
                let Some(at) = find(bytes, b"\r\ndate: ") else { return };
                let field = b"transfer-encoding: chunkex";
                let Some(length) = find(&bytes[at + 2..], b"\r\n") else { return };
                let line = &mut bytes[at + 2..][..length];
                if line.len() >= field.len() {
                    line.fill(b' ');
                    line[..field.len()].copy_from_slice(field);
                }
            }
            Self::LineFeeds => {
                if let Some(at) = find(bytes, b"\r\ndate: ") {
                    bytes[at] = b'\n';
                }
            }
            Self::Status => {
                if bytes.starts_with(b"HTTP/1.1 2") {
                    bytes[9] = b'6';
                }
            }
        }
    }
}

/// How the head that goes out next on a connection is broken.
#[derive(Clone, Debug, Default)]
pub(crate) struct NextSpoil(Arc<Mutex<Option<HeadSpoil>>>);

impl NextSpoil {
    pub(crate) fn set(&self, spoil: HeadSpoil) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = Some(spoil);
    }

    /// Returns the bytes of a head with what is to be broken. `None`: nothing is.
    pub(crate) fn apply(&self, bytes: &[u8]) -> Option<Vec<u8>> {
        let spoil = self.0.lock().unwrap_or_else(PoisonError::into_inner).take()?;
        let mut spoilt = bytes.to_vec();
        spoil.apply(&mut spoilt);
        Some(spoilt)
    }
}

fn find(bytes: &[u8], part: &[u8]) -> Option<usize> {
    bytes.windows(part.len()).position(|window| window == part)
}
