//! What makes a request the same request.

use http::request::Parts;
use model::{ledger::BodyDigest, names::ServiceName, slot::RequestFingerprint};
use sha2::{Digest, Sha256};
use xxhash_rust::xxh3::Xxh3Default;

/// Digests a non-idempotent request: method, path with query, and body. Cryptographic, because a
/// caller who can make two bodies with one digest could have a different payment pass for a resend.
pub fn body_digest(parts: &Parts, body: &[u8]) -> BodyDigest {
    let mut digest = Sha256::new();
    for part in [parts.method.as_str().as_bytes(), path_of(parts).as_bytes()] {
        digest.update((part.len() as u64).to_le_bytes());
        digest.update(part);
    }
    digest.update(body);
    BodyDigest(digest.finalize().into())
}

/// Fingerprints a request, to know it again when it crashes what runs it.
pub fn fingerprint(service: &ServiceName, parts: &Parts, body: &[u8]) -> RequestFingerprint {
    let mut hash = Xxh3Default::new();
    for part in [service.as_str(), parts.method.as_str(), path_of(parts)] {
        hash.update(&(part.len() as u64).to_le_bytes());
        hash.update(part.as_bytes());
    }
    hash.update(body);
    RequestFingerprint(hash.digest())
}

fn path_of(parts: &Parts) -> &str {
    parts.uri.path_and_query().map_or("/", |path| path.as_str())
}
