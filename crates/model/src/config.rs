//! The configuration: services, routes and settings under one number.
//!
//! A configuration is a value. Accepting a patch makes the next value and leaves the present one as
//! it was, so traffic threads can go on reading what they hold. The maps share their unchanged parts
//! (a persistent map from a library): the next value costs what the patch changes, not what the
//! configuration holds. That matters at 93,000 routes and 20,000 changes a day, when a copy of the
//! whole on each of 5,700 nodes for each change would be most of the control budget.
//!
//! The digest is a wrapping sum of one hash for each entry. A sum can be carried forward by the
//! entries that changed, and two nodes that reached the same content by different ways agree on it.

use std::sync::Arc;

use crate::{
    names::{RouteName, ServiceName},
    numbers::ConfigNumber,
    route::{RouteIndex, RouteRule},
};
use derive::domain;
use imbl::OrdMap;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// What operators state of a service.
#[domain]
#[serde(default, deny_unknown_fields)]
pub struct ServiceRule {
    /// The slots of healthy upstreams below which no ejection may take the service.
    pub floor_slots: u32,
    /// What a second of sending work to a failing upstream costs, in the operators' own unit.
    pub late_detection_price: u32,
    /// What taking a healthy upstream out costs, in the same unit.
    pub false_ejection_price: u32,
    /// How many calls may wait for a slot.
    pub queue_limit: u32,
    /// How many retries and hedges may be run for 100 calls.
    pub retry_percent: u32,
    /// Whether idempotent calls may be hedged.
    pub hedge: bool,
    /// The first time out of an ejected upstream, in milliseconds. Flapping doubles it.
    pub ejection_ms: u32,
    /// How long a cold upstream takes to reach its full share, in milliseconds.
    pub ramp_ms: u32,
    /// Into how many placers the service is split by failure domain. Only 1 is accepted so far: the
    /// field stands in the format, so that splitting a service needs no new one.
    pub shards: u32,
}

impl Default for ServiceRule {
    fn default() -> Self {
        Self {
            floor_slots: 0,
            late_detection_price: 1,
            false_ejection_price: 10,
            queue_limit: 256,
            retry_percent: 10,
            hedge: true,
            ejection_ms: 10_000,
            ramp_ms: 10_000,
            shards: 1,
        }
    }
}

/// What operators state of the fleet itself.
#[domain]
#[serde(default, deny_unknown_fields)]
pub struct ControlSettings {
    /// How long an idempotency key is kept, in milliseconds.
    pub keep_keys_ms: u64,
    /// How many keys one ledger group keeps at most.
    pub keys_limit: u64,
    /// How many ledger groups keys are spread over.
    pub ledger_groups: u32,
    /// For how long an entry's own health page fails before it stops taking calls, in milliseconds.
    pub lame_duck_ms: u32,
}

impl Default for ControlSettings {
    fn default() -> Self {
        Self {
            keep_keys_ms: 24 * 3_600 * 1_000,
            keys_limit: 1_000_000,
            ledger_groups: 1,
            lame_duck_ms: 5_000,
        }
    }
}

/// One configuration. Cloning it copies a few pointers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetConfig {
    pub(crate) number: ConfigNumber,
    pub(crate) services: OrdMap<ServiceName, Arc<ServiceRule>>,
    pub(crate) routes: OrdMap<RouteName, Arc<RouteRule>>,
    pub(crate) settings: ControlSettings,
    pub(crate) index: RouteIndex,
    pub(crate) digest: u64,
}

/// A whole configuration as it is stored and sent: for snapshots and repair only.
#[domain]
pub struct ConfigImage {
    /// Its number.
    pub number: ConfigNumber,
    /// Its services, by name.
    pub services: Vec<(ServiceName, ServiceRule)>,
    /// Its routes, by name.
    pub routes: Vec<(RouteName, RouteRule)>,
    /// Its settings.
    pub settings: ControlSettings,
}

impl Default for FleetConfig {
    fn default() -> Self {
        let settings = ControlSettings::default();
        let digest = entry_digest("settings", &settings);
        Self {
            number: ConfigNumber::default(),
            services: OrdMap::new(),
            routes: OrdMap::new(),
            settings,
            index: RouteIndex::default(),
            digest,
        }
    }
}

impl FleetConfig {
    /// Returns the number. The empty configuration has number 0.
    pub fn number(&self) -> ConfigNumber {
        self.number
    }

    /// Returns the digest of the content, which does not cover the number.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the settings of the fleet itself.
    pub fn settings(&self) -> &ControlSettings {
        &self.settings
    }

    /// Returns the rule of a service.
    pub fn service(&self, name: &ServiceName) -> Option<&Arc<ServiceRule>> {
        self.services.get(name)
    }

    /// Returns the rule of a route.
    pub fn route(&self, name: &RouteName) -> Option<&Arc<RouteRule>> {
        self.routes.get(name)
    }

    /// Lists the services by name.
    pub fn services(&self) -> impl Iterator<Item = (&ServiceName, &Arc<ServiceRule>)> {
        self.services.iter()
    }

    /// Lists the routes by name.
    pub fn routes(&self) -> impl Iterator<Item = (&RouteName, &Arc<RouteRule>)> {
        self.routes.iter()
    }

    /// Returns how many routes there are.
    pub fn route_count(&self) -> usize {
        self.routes.len()
    }

    /// Finds the route of a request: the longest prefix of the path under the request's host, else
    /// under no host; a route that names the method goes before one that takes each method.
    pub fn find_route(
        &self,
        host: &str,
        path: &str,
        method: &str,
    ) -> Option<(&RouteName, &Arc<RouteRule>)> {
        self.index.candidates(host, path).find_map(|names| {
            let rules = || names.iter().filter_map(|name| self.routes.get_key_value(name));
            let named = rules().find(|(_, rule)| rule.names_method(method));
            named.or_else(|| rules().find(|(_, rule)| rule.methods.is_empty()))
        })
    }

    /// Returns the whole as it is stored and sent.
    pub fn to_image(&self) -> ConfigImage {
        let services = self.services.iter().map(|(n, r)| (n.clone(), r.as_ref().clone()));
        let routes = self.routes.iter().map(|(n, r)| (n.clone(), r.as_ref().clone()));
        ConfigImage {
            number: self.number,
            services: services.collect(),
            routes: routes.collect(),
            settings: self.settings.clone(),
        }
    }

    /// Makes a configuration from an image.
    pub fn from_image(image: ConfigImage) -> Self {
        let mut config = Self { number: image.number, ..Self::default() };
        config.put_settings(image.settings);
        for (name, rule) in image.services {
            config.put_service(name, rule);
        }
        for (name, rule) in image.routes {
            config.put_route(name, rule);
        }
        config
    }

    pub(crate) fn put_settings(&mut self, settings: ControlSettings) {
        self.subtract(entry_digest("settings", &self.settings));
        self.add(entry_digest("settings", &settings));
        self.settings = settings;
    }

    pub(crate) fn put_service(&mut self, name: ServiceName, rule: ServiceRule) {
        self.drop_service(&name);
        self.add(entry_digest("service", &(&name, &rule)));
        self.services.insert(name, Arc::new(rule));
    }

    pub(crate) fn drop_service(&mut self, name: &ServiceName) {
        if let Some(rule) = self.services.remove(name) {
            self.subtract(entry_digest("service", &(name, rule.as_ref())));
        }
    }

    pub(crate) fn put_route(&mut self, name: RouteName, rule: RouteRule) {
        self.drop_route(&name);
        self.add(entry_digest("route", &(&name, &rule)));
        self.index.insert(&name, &rule);
        self.routes.insert(name, Arc::new(rule));
    }

    pub(crate) fn drop_route(&mut self, name: &RouteName) {
        if let Some(rule) = self.routes.remove(name) {
            self.subtract(entry_digest("route", &(name, rule.as_ref())));
            self.index.remove(name, &rule);
        }
    }

    fn add(&mut self, digest: u64) {
        self.digest = self.digest.wrapping_add(digest);
    }

    fn subtract(&mut self, digest: u64) {
        self.digest = self.digest.wrapping_sub(digest);
    }
}

impl Serialize for FleetConfig {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        self.to_image().serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for FleetConfig {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        ConfigImage::deserialize(deserializer).map(Self::from_image)
    }
}

fn entry_digest(kind: &str, entry: &impl Serialize) -> u64 {
    let bytes = postcard::to_stdvec(&(kind, entry)).expect("domain types have a postcard form");
    xxh3_64(&bytes)
}
