//! What the fields of a head say of its body (RFC 9112, section 6).

use std::{
    fmt,
    sync::atomic::{AtomicU64, Ordering},
};

use http::{HeaderMap, HeaderName, HeaderValue, Method, Response, StatusCode, Version, header};

/// Why a head is not sound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadFault {
    /// The HTTP library cannot read it.
    Unreadable,
    /// A line of it does not end as lines of HTTP do.
    LineEnd,
    /// It was there before its request went out.
    Unasked,
    /// Its status is none that ends an exchange of HTTP.
    Status,
    /// It states a length that is no number, or several lengths.
    Length,
    /// It states a transfer coding that is not understood.
    Coding,
    /// It states a length beside a transfer coding.
    LengthBesideCoding,
    /// It states a body where its status allows none.
    BodyNotAllowed,
    /// It states no end of its body other than that of the connection, from a VM, which always states one.
    NoEnd,
}

impl HeadFault {
    /// Each fault, in the order of its declaration.
    pub const ALL: [Self; 9] = [
        Self::Unreadable,
        Self::LineEnd,
        Self::Unasked,
        Self::Status,
        Self::Length,
        Self::Coding,
        Self::LengthBesideCoding,
        Self::BodyNotAllowed,
        Self::NoEnd,
    ];

    /// Returns its name in log lines and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Unreadable => "unreadable",
            Self::LineEnd => "line-end",
            Self::Unasked => "unasked",
            Self::Status => "status",
            Self::Length => "length",
            Self::Coding => "coding",
            Self::LengthBesideCoding => "length-beside-coding",
            Self::BodyNotAllowed => "body-not-allowed",
            Self::NoEnd => "no-end",
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

/// Where the body of an answer ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyEnd {
    /// There is none. The head may state the length that it has in the answer to a `GET`.
    WithHead {
        /// That length, in bytes.
        stated_length: Option<u64>,
    },
    /// After so many bytes.
    Length(u64),
    /// With the last chunk.
    LastChunk,
    /// With the connection.
    Connection,
}

/// Reads from the head of an answer where its body ends.
///
/// # Errors
///
/// Fails where the head does not say that, or says it in two ways.
pub fn body_end<B>(asked: &Method, answer: &Response<B>) -> Result<BodyEnd, HeadFault> {
    let (status, headers) = (answer.status(), answer.headers());
    if !ends_exchange(status) {
        return Err(HeadFault::Status);
    }
    if status == StatusCode::NO_CONTENT {
        check_bodiless(headers)?;
        return Ok(BodyEnd::WithHead { stated_length: None });
    }
    let length = stated_length(headers)?;
    let chunked = is_chunked(answer.version(), headers)?;
    if chunked && length.is_some() {
        return Err(HeadFault::LengthBesideCoding);
    }
    if asked == Method::HEAD || status == StatusCode::NOT_MODIFIED {
        return Ok(BodyEnd::WithHead { stated_length: length });
    }
    Ok(match length {
        Some(length) => BodyEnd::Length(length),
        None if chunked => BodyEnd::LastChunk,
        None => BodyEnd::Connection,
    })
}

/// Checks a head that ends without a body whatever it says: that of an interim answer or of one without content.
///
/// Upstreams send "content-length: 0" on these though HTTP has no place for it, and mean what it says.
///
/// # Errors
///
/// Fails where it states a body all the same. Who sent it goes on with that body where the next head is due.
pub fn check_bodiless(headers: &HeaderMap) -> Result<(), HeadFault> {
    let coded = headers.contains_key(header::TRANSFER_ENCODING);
    if coded || stated_length(headers)?.is_some_and(|length| length > 0) {
        return Err(HeadFault::BodyNotAllowed);
    }
    Ok(())
}

/// Fields that say how a message is framed, where it goes or how it is to be read, which a trailer must not do
/// (RFC 9110, section 6.5.1).
const HEAD_ONLY: [HeaderName; 16] = [
    header::AUTHORIZATION,
    header::CACHE_CONTROL,
    header::CONNECTION,
    header::CONTENT_ENCODING,
    header::CONTENT_LENGTH,
    header::CONTENT_RANGE,
    header::CONTENT_TYPE,
    header::HOST,
    HeaderName::from_static("keep-alive"),
    header::MAX_FORWARDS,
    HeaderName::from_static("proxy-connection"),
    header::SET_COOKIE,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Takes off a trailer what belongs to a head.
pub fn strip_trailer(trailer: &mut HeaderMap) {
    for name in HEAD_ONLY {
        trailer.remove(name);
    }
}

/// Tells whether HTTP has a final answer of this status (RFC 9110, section 15).
fn ends_exchange(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Reads the length that a head states. The same length may stand there more than once (RFC 9112, section 6.3).
fn stated_length(headers: &HeaderMap) -> Result<Option<u64>, HeadFault> {
    let mut stated = None;
    for value in headers.get_all(header::CONTENT_LENGTH) {
        for element in value.as_bytes().split(|&byte| byte == b',') {
            let length = read_length(element.trim_ascii()).ok_or(HeadFault::Length)?;
            if stated.is_some_and(|earlier| earlier != length) {
                return Err(HeadFault::Length);
            }
            stated = Some(length);
        }
    }
    Ok(stated)
}

fn read_length(digits: &[u8]) -> Option<u64> {
    // Parsing alone would take a sign.
    let digits = std::str::from_utf8(digits).ok().filter(|_| digits.iter().all(u8::is_ascii_digit));
    digits?.parse().ok()
}

/// Tells whether a body comes in chunks. No other coding was asked for, so none is understood.
fn is_chunked(version: Version, headers: &HeaderMap) -> Result<bool, HeadFault> {
    let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
    let Some(only) = codings.next() else { return Ok(false) };
    let chunked = |coding: &HeaderValue| coding.as_bytes().eq_ignore_ascii_case(b"chunked");
    let understood = version != Version::HTTP_10 && codings.next().is_none() && chunked(only);
    if understood { Ok(true) } else { Err(HeadFault::Coding) }
}
