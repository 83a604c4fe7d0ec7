//! Slots: the right to send one call to one upstream.

use std::net::SocketAddr;

use crate::{
    call::{CallClass, OutcomeClass},
    names::{CallerName, DomainName, MemberName, RouteName, ServiceName, UpstreamName},
    numbers::{CallNumber, GrantNumber, PlacerEpoch},
};
use derive::domain;

/// The digest of what makes a request the same request: service, method, path and body.
#[domain(value)]
#[derive(Default)]
#[serde(transparent)]
pub struct RequestFingerprint(pub u64);

/// Asks a placer for a slot.
#[domain]
pub struct SlotAsk {
    /// The service to be called.
    pub service: ServiceName,
    /// The route that matched. Upstreams are compared with their peers on the same route.
    pub route: RouteName,
    /// Whose share of a saturated service the call is counted to.
    pub caller: CallerName,
    /// Whether the call may run more than once.
    pub class: CallClass,
    /// The call's number at the entry.
    pub call: CallNumber,
    /// Which try of the call this is, from 1. A hedge or a retry asks with the next number.
    pub attempt: u32,
    /// Which request it is.
    pub fingerprint: RequestFingerprint,
    /// The failure domain of the entry.
    pub domain: DomainName,
    /// The time left for the whole call, in milliseconds, when the ask was sent.
    pub within_ms: u32,
    /// Upstreams that this call has tried already.
    pub avoid: Vec<UpstreamName>,
}

/// What names one grant: who gave it, and which of its grants it is.
#[domain(key)]
pub struct GrantId {
    /// The placer's VM, or the entry's own where it placed without a placer.
    pub granter: MemberName,
    /// The placer's epoch.
    pub epoch: PlacerEpoch,
    /// The number within the epoch.
    pub number: GrantNumber,
}

/// The right to send one call to one upstream, held until it is settled.
#[domain]
pub struct SlotGrant {
    /// Names the grant.
    pub id: GrantId,
    /// The upstream.
    pub upstream: UpstreamName,
    /// Where it takes calls.
    pub address: SocketAddr,
    /// How many connections this entry may hold to the upstream.
    pub connections: u32,
    /// How long the call waited in the placer's queue, in microseconds.
    pub waited_us: u64,
    /// Whether it is a trial of an ejected upstream: only idempotent calls get one.
    pub trial: bool,
    /// After which time without an answer a second try is worth a slot, in microseconds. 0: never.
    pub hedge_after_us: u64,
}

/// Ends a grant and reports what came of it.
#[domain]
pub struct SlotSettle {
    /// The grant.
    pub id: GrantId,
    /// The service.
    pub service: ServiceName,
    /// The route.
    pub route: RouteName,
    /// The upstream.
    pub upstream: UpstreamName,
    /// Which request it was.
    pub fingerprint: RequestFingerprint,
    /// How the try ended.
    pub outcome: OutcomeClass,
    /// From the first byte sent to the last byte received, in microseconds.
    pub took_us: u64,
}
