//! What a peer proves itself by: bytes that only the peers know.

use std::fmt;

use snafu::{Snafu, ensure};
use subtle::ConstantTimeEq;

/// The shortest secret accepted, in bytes.
pub const SHORTEST_SECRET: usize = 16;

/// Why bytes are no secret.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("a secret of {length} bytes can be guessed; write {SHORTEST_SECRET} or more"))]
pub struct SecretError {
    /// The length without white space at either end.
    pub length: usize,
}

/// A secret shared with whoever may send a kind of message.
#[derive(Clone)]
pub struct SharedSecret(Vec<u8>);

impl SharedSecret {
    /// Makes a secret of a file's content, without the white space at its ends.
    ///
    /// # Errors
    ///
    /// Fails when it is too short.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, SecretError> {
        let secret = bytes.trim_ascii();
        let length = secret.len();
        ensure!(length >= SHORTEST_SECRET, SecretSnafu { length });
        Ok(Self(secret.to_vec()))
    }

    /// Returns the bytes.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }

    /// Tells whether an `Authorization` header of the form `Bearer SECRET` proves the secret. The
    /// time taken does not depend on how much of it is right, so it cannot be guessed byte by byte.
    pub fn is_proved_by(&self, header: Option<&[u8]>) -> bool {
        let given = header.and_then(|value| value.strip_prefix(b"Bearer ")).unwrap_or_default();
        given.ct_eq(&self.0).into()
    }
}

impl fmt::Debug for SharedSecret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("SharedSecret(..)")
    }
}
