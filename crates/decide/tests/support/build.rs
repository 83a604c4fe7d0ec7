//! Makes the small parts of a world.

use decide::placer::PlacerSettings;
use model::{
    announcement::{UpstreamAnnouncement, UpstreamState},
    call::{CallClass, OutcomeClass},
    config::ServiceRule,
    names::{DomainName, MemberName, ServiceName, UpstreamName},
    numbers::{CallNumber, IncarnationNumber, PlacerEpoch},
    slot::{RequestFingerprint, SlotAsk, SlotGrant, SlotSettle},
};
use rand::Rng;
use std::time::Duration;

pub fn service() -> ServiceName {
    "cluebook".parse().expect("a name")
}

pub fn domain(number: usize) -> DomainName {
    format!("domain-{number}").parse().expect("a name")
}

pub fn entry(number: usize) -> MemberName {
    format!("entry-{number:02}").parse().expect("a name")
}

pub fn upstream(number: usize) -> UpstreamName {
    format!("upstream-{number:03}").parse().expect("a name")
}

pub fn upstream_number(name: &UpstreamName) -> usize {
    name.as_str()["upstream-".len()..].parse().expect("a number")
}

/// The Guild's prices and floor: a false ejection costs more.
pub fn guild_rule(upstreams: u32) -> ServiceRule {
    ServiceRule {
        floor_slots: upstreams * 4 * 6 / 10,
        late_detection_price: 1,
        false_ejection_price: 60,
        ..ServiceRule::default()
    }
}

/// The Convoy Society's prices and floor: a late detection costs more.
pub fn convoy_rule(upstreams: u32) -> ServiceRule {
    ServiceRule {
        floor_slots: upstreams * 6 / 2,
        late_detection_price: 10,
        false_ejection_price: 30,
        ..ServiceRule::default()
    }
}

pub fn settings(rule: ServiceRule, seed: u64) -> PlacerSettings {
    PlacerSettings {
        service: service(),
        shard: 0,
        member: entry(0),
        epoch: PlacerEpoch(7),
        rule,
        seed,
    }
}

pub fn announcement(number: usize, domain_number: usize, slots: u32) -> UpstreamAnnouncement {
    UpstreamAnnouncement {
        service: service(),
        upstream: upstream(number),
        address: "127.0.0.1:9".parse().expect("an address"),
        domain: domain(domain_number),
        slots,
        connections: 400,
        state: UpstreamState::Serving,
        incarnation: IncarnationNumber(1),
        sequence: 1,
        lease_ms: 1_500,
        age_ms: 3_600_000,
    }
}

pub fn ask(
    call: u64,
    attempt: u32,
    caller: usize,
    route: usize,
    entry: usize,
    within_ms: u32,
) -> SlotAsk {
    SlotAsk {
        service: service(),
        route: format!("route-{route}").parse().expect("a name"),
        caller: format!("caller-{caller}").parse().expect("a name"),
        class: CallClass::Idempotent,
        call: CallNumber(call),
        attempt,
        fingerprint: RequestFingerprint(call | 1 << 40),
        domain: domain(entry % 4),
        within_ms,
        avoid: Vec::new(),
    }
}

pub fn settle(
    grant: &SlotGrant,
    route: usize,
    fingerprint: u64,
    outcome: OutcomeClass,
    took: Duration,
) -> SlotSettle {
    SlotSettle {
        id: grant.id.clone(),
        service: service(),
        route: format!("route-{route}").parse().expect("a name"),
        upstream: grant.upstream.clone(),
        fingerprint: RequestFingerprint(fingerprint),
        outcome,
        took_us: took.as_micros() as u64,
    }
}

/// Draws the time of an answer: half of the mean for certain, the other half exponential.
pub fn answer_time(mean_ms: f64, random: &mut impl Rng) -> Duration {
    let tail = -(1.0 - random.random::<f64>()).ln();
    Duration::from_secs_f64(mean_ms * (0.5 + 0.5 * tail) / 1_000.0)
}

pub fn pick(weights: &[f64], random: &mut impl Rng) -> usize {
    let mut point = random.random::<f64>() * weights.iter().sum::<f64>();
    for (index, weight) in weights.iter().enumerate() {
        point -= weight;
        if point <= 0.0 {
            return index;
        }
    }
    weights.len() - 1
}
