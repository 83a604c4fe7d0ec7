//! Reads a request's body within bounds of size and time.

use std::time::Duration;

use crate::answers::{MalformedSnafu, PageFault, TooLargeSnafu, TooSlowSnafu};
use poem::{Request, error::ReadBodyError, http::header};
use serde::de::DeserializeOwned;
use snafu::ensure;

/// The largest body taken, in bytes. A patch of the allowed thousand changes with the longest names
/// takes about 500 KB; a larger body is a mistake, and reading it would hold its bytes in memory.
pub const BODY_LIMIT: usize = 1_048_576;

/// The largest whole configuration taken, in bytes of its text: one of some 300,000 routes. A few of them fit into the
/// memory of a VM that holds that many.
pub const CONFIG_LIMIT: usize = 64 * 1_024 * 1_024;

/// How long a body may take to arrive, in seconds. Without a limit a sender that falls silent would
/// hold its connection, and a few hundred of them would keep operators out.
pub const BODY_SECONDS: u64 = 10;

const ADVICE: &str = "send JSON, or TOML with content-type application/toml; docs/OPERATING.md \
                      shows a patch";

/// Reads a body as JSON, or as TOML where the content type says so.
///
/// # Errors
///
/// Fails when it is too large or too slow, or does not read as `T`.
pub(crate) async fn read<T: DeserializeOwned>(request: &mut Request) -> Result<T, PageFault> {
    read_up_to(request, BODY_LIMIT).await
}

/// Reads a whole configuration.
///
/// # Errors
///
/// As [`read`].
pub(crate) async fn read_config<T: DeserializeOwned>(
    request: &mut Request,
) -> Result<T, PageFault> {
    read_up_to(request, CONFIG_LIMIT).await
}

async fn read_up_to<T: DeserializeOwned>(
    request: &mut Request,
    limit: usize,
) -> Result<T, PageFault> {
    let is_toml = request.content_type().is_some_and(|kind| kind.contains("toml"));
    let bytes = read_bytes(request, limit).await?;
    let text = std::str::from_utf8(&bytes).map_err(|error| malformed(error.to_string()))?;
    if is_toml {
        toml::from_str(text).map_err(|error| malformed(error.message().to_owned()))
    } else {
        serde_json::from_str(text).map_err(|error| malformed(error.to_string()))
    }
}

async fn read_bytes(request: &mut Request, limit: usize) -> Result<Vec<u8>, PageFault> {
    let announced = request.headers().get(header::CONTENT_LENGTH);
    let announced = announced.and_then(|value| value.to_str().ok()?.parse::<usize>().ok());
    ensure!(announced.unwrap_or(0) <= limit, TooLargeSnafu { limit });
    let body = request.take_body().into_bytes_limit(limit);
    let seconds = BODY_SECONDS;
    let read = tokio::time::timeout(Duration::from_secs(seconds), body).await;
    let read = read.ok().ok_or_else(|| TooSlowSnafu { seconds }.build())?;
    read.map(|bytes| bytes.to_vec()).map_err(|error| match error {
        ReadBodyError::PayloadTooLarge => TooLargeSnafu { limit }.build(),
        other => malformed(other.to_string()),
    })
}

fn malformed(reason: String) -> PageFault {
    MalformedSnafu { what: "the body", reason, advice: ADVICE }.build()
}
