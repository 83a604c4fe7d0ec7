//! The call ledger: the right to run one idempotency key, and what came of it.

use std::{fmt, str::FromStr};

use crate::{names::ServiceName, numbers::AttemptNumber};
use derive::domain;
use snafu::{ResultExt, Snafu, ensure};
use uuid::Uuid;

/// The largest answer that the ledger keeps, in bytes of body and headers. A larger answer reaches
/// its own caller whole; a resend is told that the call ran, but not what it answered.
pub const ANSWER_LIMIT: usize = 16 * 1024;

/// Why a text is no idempotency key.
#[derive(Debug, Snafu)]
pub enum KeyError {
    /// It was no UUID.
    #[snafu(display("an idempotency key must be a UUIDv7: {source}"))]
    Malformed {
        /// What the parser said.
        source: uuid::Error,
    },
    /// It was a UUID without a time in it.
    #[snafu(display("an idempotency key must be a UUIDv7, not a UUID of version {version}"))]
    Version {
        /// The version found.
        version: usize,
    },
}

/// The key under which a non-idempotent call runs at most once: a UUIDv7 chosen by the caller.
#[domain(value)]
#[serde(transparent)]
pub struct CallKey(Uuid);

impl CallKey {
    /// Makes a key from the milliseconds since 1970 and random bits.
    pub fn from_parts(millis: u64, random: [u8; 10]) -> Self {
        Self(uuid::Builder::from_unix_timestamp_millis(millis, &random).into_uuid())
    }

    /// Returns when the key says that it was made, in milliseconds since 1970.
    pub fn millis(self) -> u64 {
        let (seconds, nanos) = self.0.get_timestamp().map_or((0, 0), |t| t.to_unix());
        seconds * 1_000 + u64::from(nanos) / 1_000_000
    }

    /// Returns the 128 bits of the key.
    pub fn as_u128(self) -> u128 {
        self.0.as_u128()
    }
}

impl FromStr for CallKey {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<Self, KeyError> {
        let uuid = Uuid::try_parse(text.trim().trim_matches('"')).context(MalformedSnafu)?;
        let version = uuid.get_version_num();
        ensure!(version == 7, VersionSnafu { version });
        Ok(Self(uuid))
    }
}

impl fmt::Display for CallKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The digest of a request's method, path and body: a resend of a key must carry the same.
#[domain(value)]
#[serde(transparent)]
pub struct BodyDigest(pub [u8; 32]);

/// Asks for the right to run a key. Durable at a majority before it is answered.
#[domain]
pub struct KeyClaim {
    /// The key.
    pub key: CallKey,
    /// The service to be called.
    pub service: ServiceName,
    /// What the request is.
    pub digest: BodyDigest,
    /// Drawn at random for each call that an entry takes, so that the same claim sent again (after a
    /// lost acknowledgement) is known from another call with the same key.
    pub claimant: u64,
    /// The time left for the whole call, in milliseconds, when the claim was sent. A claim that comes
    /// later than that is refused: its entry has already told its caller that nothing was run.
    pub within_ms: u32,
}

/// What the ledger says to a claim.
#[domain]
pub enum ClaimAnswer {
    /// The key is this call's to run, as this attempt.
    Run {
        /// The attempt that must close the claim.
        attempt: AttemptNumber,
    },
    /// Another call with the key is running.
    InProgress,
    /// The key has run. The answer is here if it was small enough to keep.
    Done {
        /// The recorded answer.
        answer: Option<RecordedAnswer>,
    },
    /// The key may have run; nobody will ever know.
    Unknown,
    /// The key was claimed with another request.
    OtherRequest,
    /// The key is older than what the ledger keeps, or from the future.
    OutOfTime,
    /// There is no room for another key.
    Full,
    /// The claim came after its deadline; nothing was recorded.
    Late,
}

/// An answer as the ledger keeps it.
#[domain]
pub struct RecordedAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The headers that belong to the answer itself.
    pub headers: Vec<(String, Vec<u8>)>,
    /// The body.
    pub body: Vec<u8>,
}

impl RecordedAnswer {
    /// Returns the bytes that count towards [`ANSWER_LIMIT`].
    pub fn size(&self) -> usize {
        let headers: usize =
            self.headers.iter().map(|(name, value)| name.len() + value.len()).sum();
        headers + self.body.len()
    }
}

/// How a claimed run ended.
#[domain]
pub enum RunEnd {
    /// It ran, with this answer, or one too large to keep.
    Done {
        /// The answer.
        answer: Option<RecordedAnswer>,
    },
    /// It is proved that it did not run: the key may be claimed again.
    NotRun,
    /// It may have run.
    Unknown,
}

/// Closes a claim. Refused when the attempt is not the key's present one.
#[domain]
pub struct KeyClose {
    /// The key.
    pub key: CallKey,
    /// The attempt that ends.
    pub attempt: AttemptNumber,
    /// How it ended.
    pub end: RunEnd,
}
