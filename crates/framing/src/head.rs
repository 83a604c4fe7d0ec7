//! What the fields of a head say of its body (RFC 9112, section 6).

use std::{
    fmt,
    sync::atomic::{AtomicU64, Ordering},
};

use http::{HeaderMap, HeaderValue, Response, Version, header};

/// Why a head is not sound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadFault {
    /// The HTTP library cannot read it.
    Unreadable,
    /// It states a transfer coding that is not understood.
    Coding,
}

impl HeadFault {
    /// Each fault, in the order of its declaration.
    pub const ALL: [Self; 2] = [Self::Unreadable, Self::Coding];

    /// Returns its name in log lines and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Unreadable => "unreadable",
            Self::Coding => "coding",
        }
    }
}

impl fmt::Display for HeadFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the head of an answer is broken: {}", self.as_str())
    }
}

impl std::error::Error for HeadFault {}

/// How many heads were refused, by what was wrong with them.
#[derive(Debug, Default)]
pub struct HeadFaultCounts([AtomicU64; HeadFault::ALL.len()]);

impl HeadFaultCounts {
    /// Counts a refused head.
    pub fn count(&self, fault: HeadFault) {
        self.0[fault as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Returns each fault with its count.
    pub fn read(&self) -> impl Iterator<Item = (HeadFault, u64)> {
        let counts = self.0.iter().map(|count| count.load(Ordering::Relaxed));
        HeadFault::ALL.into_iter().zip(counts)
    }
}

/// Checks the head of an answer.
///
/// # Errors
///
/// Fails where it does not say where the body ends.
pub fn check_head<B>(answer: &Response<B>) -> Result<(), HeadFault> {
    is_chunked(answer.version(), answer.headers()).map(drop)
}

/// Tells whether a body comes in chunks. No other coding was asked for, so none is understood.
fn is_chunked(version: Version, headers: &HeaderMap) -> Result<bool, HeadFault> {
    let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
    let Some(only) = codings.next() else { return Ok(false) };
    let chunked = |coding: &HeaderValue| coding.as_bytes().eq_ignore_ascii_case(b"chunked");
    let understood = version != Version::HTTP_10 && codings.next().is_none() && chunked(only);
    if understood { Ok(true) } else { Err(HeadFault::Coding) }
}
