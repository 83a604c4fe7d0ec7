//! Headers that a proxy removes, changes and adds on the way.

use std::net::IpAddr;

use http::{
    HeaderMap, HeaderName, HeaderValue, Method, Version,
    header::{self, Entry},
    request, response,
};
use model::call::{DEADLINE_HEADER, OUTCOME_HEADER, UPSTREAM_STATE_HEADER};

/// The name under which this proxy states itself in `Via`.
const PROXY_NAME: &str = "coltsfootcrank";

const FORWARDED_FOR: HeaderName = HeaderName::from_static("x-forwarded-for");

/// Headers that belong to one connection and are not passed on, beside those that `Connection`
/// names. Trailers belong to the message, so `Trailer` stays.
const HOP_HEADERS: [HeaderName; 8] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Removes what belongs to one connection only.
pub(crate) fn strip_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = connection_tokens(headers)
        .filter_map(|token| HeaderName::from_bytes(token.as_bytes()).ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in HOP_HEADERS {
        headers.remove(name);
    }
}

/// Tells whether a request asks to leave HTTP. The upgrade to HTTP/2 may be passed over in silence.
pub(crate) fn asks_upgrade(parts: &request::Parts) -> bool {
    let upgrade = parts.headers.get(header::UPGRADE).map(HeaderValue::as_bytes);
    let named = connection_tokens(&parts.headers).any(|t| t.eq_ignore_ascii_case("upgrade"));
    let other = upgrade.is_some_and(|protocol| !protocol.eq_ignore_ascii_case(b"h2c"));
    parts.method == Method::CONNECT || (named && other)
}

fn connection_tokens(headers: &HeaderMap) -> impl Iterator<Item = &str> {
    let values = headers.get_all(header::CONNECTION).iter();
    let texts = values.filter_map(|value| value.to_str().ok());
    texts.flat_map(|text| text.split(',')).map(str::trim).filter(|token| !token.is_empty())
}

/// Makes the headers that go to the upstream, but for the deadline, which each try states anew.
pub(crate) fn prepare(parts: &mut request::Parts, peer: IpAddr) {
    let trailers = takes_trailers(&parts.headers);
    let authority = parts.uri.authority().and_then(|a| HeaderValue::from_str(a.as_str()).ok());
    let headers = &mut parts.headers;
    strip_hop(headers);
    headers.remove(header::CONTENT_LENGTH);
    // Already answered: the library sends "100 Continue" when the body is first read.
    headers.remove(header::EXPECT);
    headers.remove(DEADLINE_HEADER);
    if trailers {
        headers.insert(header::TE, HeaderValue::from_static("trailers"));
    }
    if let Some(host) = authority {
        headers.insert(header::HOST, host);
    }
    extend_list(headers, FORWARDED_FOR, &peer.to_string());
    if headers.contains_key(header::FORWARDED) {
        extend_list(headers, header::FORWARDED, &forwarded_element(peer));
    }
    extend_list(headers, header::VIA, via(parts.version));
}

fn takes_trailers(headers: &HeaderMap) -> bool {
    let values = headers.get_all(header::TE).iter().filter_map(|value| value.to_str().ok());
    values.flat_map(|text| text.split(',')).any(|part| part.trim().eq_ignore_ascii_case("trailers"))
}

fn forwarded_element(peer: IpAddr) -> String {
    match peer {
        IpAddr::V4(peer) => format!("for={peer}"),
        IpAddr::V6(peer) => format!("for=\"[{peer}]\""),
    }
}

/// Makes an upstream's headers into those of the answer to the caller. What only the fleet may say
/// is removed: an upstream could otherwise have a call pass for not run.
pub(crate) fn prepare_answer(parts: &mut response::Parts) {
    strip_hop(&mut parts.headers);
    parts.headers.remove(OUTCOME_HEADER);
    parts.headers.remove(UPSTREAM_STATE_HEADER);
    extend_list(&mut parts.headers, header::VIA, via(parts.version));
    // The caller's connection has a version of its own.
    parts.version = Version::default();
}

const fn via(version: Version) -> &'static str {
    match version {
        Version::HTTP_2 => "2 coltsfootcrank",
        Version::HTTP_10 => "1.0 coltsfootcrank",
        _ => "1.1 coltsfootcrank",
    }
}

/// Tells whether a request has come through this fleet already.
pub(crate) fn has_looped(headers: &HeaderMap) -> bool {
    let values = headers.get_all(header::VIA).iter().filter_map(|value| value.to_str().ok());
    let hops = values.flat_map(|text| text.split(','));
    hops.filter(|hop| hop.trim().ends_with(PROXY_NAME)).count() >= LOOP_LIMIT
}

/// How often a request may come through a fleet of this name: one that fronts another is fine.
const LOOP_LIMIT: usize = 3;

/// Appends to a header that is a list, keeping what came before.
fn extend_list(headers: &mut HeaderMap, name: HeaderName, element: &str) {
    let Ok(element_value) = HeaderValue::from_str(element) else { return };
    match headers.entry(name) {
        Entry::Vacant(entry) => {
            entry.insert(element_value);
        }
        // A second line means the same as a longer list.
        Entry::Occupied(mut entry) => entry.append(element_value),
    }
}
