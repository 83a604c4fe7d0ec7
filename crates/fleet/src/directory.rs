//! Which upstreams there are, and who keeps their leases.
//!
//! Failure: an upstream's VM dies without a word. Symptom without a lease: it is placed on for good.
//! Upstreams renew every second or so, and 170,000 renewals a second cannot go to each of 5,700 VMs.
//! So one VM keeps the lease of an upstream: the placer of its service, to which whoever hears a
//! renewal passes it on. The fleet hears only of changes: a new upstream, a new state, a lease that
//! ran out. When the keeper is lost, the next one gives each upstream one whole lease to renew.

use std::{collections::BTreeMap, time::Duration};

use crate::fact::{FactKey, UpstreamFact, upstream_key};
use model::{
    announcement::UpstreamAnnouncement,
    moment::Moment,
    names::{ServiceName, UpstreamName},
};

/// The upstreams of all services, by what was spread of them.
#[derive(Debug, Default)]
pub struct UpstreamDirectory {
    services: BTreeMap<ServiceName, BTreeMap<UpstreamName, (UpstreamFact, Moment)>>,
}

impl UpstreamDirectory {
    /// Takes a fact that holds now.
    pub fn learn(&mut self, fact: UpstreamFact, now: Moment) {
        let service = self.services.entry(fact.announcement.service.clone()).or_default();
        service.insert(fact.announcement.upstream.clone(), (fact, now));
    }

    /// Forgets an upstream.
    pub fn forget(&mut self, service: &ServiceName, upstream: &UpstreamName) {
        if let Some(upstreams) = self.services.get_mut(service) {
            upstreams.remove(upstream);
            if upstreams.is_empty() {
                self.services.remove(service);
            }
        }
    }

    /// Returns what is held of an upstream.
    pub fn get(&self, service: &ServiceName, upstream: &UpstreamName) -> Option<&UpstreamFact> {
        self.services.get(service)?.get(upstream).map(|(fact, _)| fact)
    }

    /// Lists the services with upstreams.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        self.services.keys()
    }

    /// Lists the upstreams of a service that have not ended, each with its age as of now.
    pub fn live(&self, service: &ServiceName, now: Moment) -> Vec<UpstreamAnnouncement> {
        let upstreams = self.services.get(service).into_iter().flat_map(BTreeMap::values);
        let live = upstreams.filter(|(fact, _)| !fact.ended);
        let aged = live.map(|(fact, learned)| {
            let held = u64::try_from(now.since(*learned).as_millis()).unwrap_or(u64::MAX);
            let age_ms = fact.announcement.age_ms.saturating_add(held);
            UpstreamAnnouncement { age_ms, ..fact.announcement.clone() }
        });
        aged.collect()
    }

    /// Lists all upstreams that have not ended.
    pub fn all(&self) -> impl Iterator<Item = &UpstreamAnnouncement> {
        let facts = self.services.values().flat_map(BTreeMap::values).map(|(fact, _)| fact);
        facts.filter(|fact| !fact.ended).map(|fact| &fact.announcement)
    }

    /// Tells whether an announcement says something else than what is held: more than a renewal.
    pub fn is_change(&self, announcement: &UpstreamAnnouncement) -> bool {
        let Some(held) = self.get(&announcement.service, &announcement.upstream) else {
            return true;
        };
        let before = &held.announcement;
        let renewal = UpstreamAnnouncement {
            sequence: before.sequence,
            age_ms: before.age_ms,
            lease_ms: before.lease_ms,
            ..announcement.clone()
        };
        announcement.supersedes(before) && (held.ended || renewal != *before)
    }
}

#[derive(Debug)]
struct KeptLease {
    announcement: UpstreamAnnouncement,
    until: Moment,
}

/// The leases that this VM keeps.
#[derive(Debug, Default)]
pub struct LeaseKeeper {
    kept: BTreeMap<FactKey, KeptLease>,
}

fn lease(announcement: &UpstreamAnnouncement) -> Duration {
    Duration::from_millis(u64::from(announcement.lease_ms))
}

impl LeaseKeeper {
    /// Takes a renewal. An older one changes nothing.
    pub fn renew(&mut self, announcement: &UpstreamAnnouncement, now: Moment) {
        let key = upstream_key(announcement);
        let held = self.kept.get(&key);
        let newer = held.is_none_or(|held| announcement.supersedes(&held.announcement));
        if newer {
            let announcement = announcement.clone();
            let until = now + lease(&announcement);
            self.kept.insert(key, KeptLease { announcement, until });
        }
    }

    /// Keeps the lease of an upstream from now on: a whole one, since this VM heard no renewal yet.
    pub fn adopt(&mut self, announcement: &UpstreamAnnouncement, now: Moment) {
        let until = now + lease(announcement);
        let new = || KeptLease { announcement: announcement.clone(), until };
        self.kept.entry(upstream_key(announcement)).or_insert_with(new);
    }

    /// Gives up the leases of services that another VM keeps now.
    pub fn retain(&mut self, mine: impl Fn(&ServiceName) -> bool) {
        self.kept.retain(|_, held| mine(&held.announcement.service));
    }

    /// Returns how long a lease still runs.
    pub fn left(&self, announcement: &UpstreamAnnouncement, now: Moment) -> Option<Duration> {
        self.kept.get(&upstream_key(announcement)).map(|held| held.until.since(now))
    }

    /// Takes out what was not renewed, each as the fact that is to be spread.
    pub fn expire(&mut self, now: Moment) -> Vec<UpstreamFact> {
        let over = self.kept.iter().filter(|(_, held)| held.until <= now);
        let over: Vec<_> = over.map(|(key, _)| key.clone()).collect();
        let ended = over.iter().filter_map(|key| self.kept.remove(key));
        ended.map(|held| UpstreamFact { announcement: held.announcement, ended: true }).collect()
    }
}
