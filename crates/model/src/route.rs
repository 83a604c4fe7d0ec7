//! Routes: which calls go to which service, and how to find the one of a request.

use std::sync::Arc;

use crate::{
    call::CallClass,
    names::{RouteName, ServiceName},
};
use derive::domain;
use imbl::OrdMap;

/// What operators state of a route.
#[domain]
#[serde(deny_unknown_fields)]
pub struct RouteRule {
    /// The host that a request must name, in lower case and without a port. `None`: any.
    #[serde(default)]
    pub host: Option<String>,
    /// The start of the path, by whole segments: `/clue` matches `/clue/7`, not `/clues`.
    pub path: String,
    /// The methods, in upper case. Empty: each method.
    #[serde(default)]
    pub methods: Vec<String>,
    /// The service that answers.
    pub service: ServiceName,
    /// Whether its calls may run more than once.
    pub class: CallClass,
    /// The time a call may take when its caller states none, in milliseconds.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u32,
}

fn default_timeout_ms() -> u32 {
    10_000
}

impl RouteRule {
    /// Tells whether the route names a method.
    pub fn names_method(&self, method: &str) -> bool {
        self.methods.iter().any(|named| named == method)
    }

    /// Tells whether a request could match both routes with nothing to choose between them.
    pub fn clashes_with(&self, other: &Self) -> bool {
        let same_place = self.host == other.host && self.path == other.path;
        let both_any = self.methods.is_empty() && other.methods.is_empty();
        same_place && (both_any || self.methods.iter().any(|m| other.methods.contains(m)))
    }
}

/// Host (empty for any) and path prefix.
type RoutePlace = (Arc<str>, Arc<str>);

/// Finds routes by host and path in a time that grows with the depth of the path and the logarithm
/// of the number of routes. Like the maps beside it, it shares its unchanged parts between
/// configurations. It holds names only, and what a route says of methods stays with its rule: at
/// 93,000 routes a second copy of the rules would be most of what control may cost a VM.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct RouteIndex {
    places: OrdMap<RoutePlace, Box<[RouteName]>>,
}

impl RouteIndex {
    pub(crate) fn insert(&mut self, name: &RouteName, rule: &RouteRule) {
        let mut here = self.at(rule).to_vec();
        here.push(name.clone());
        here.sort();
        self.places.insert(place(rule), here.into());
    }

    pub(crate) fn remove(&mut self, name: &RouteName, rule: &RouteRule) {
        let here: Box<[_]> = self.at(rule).iter().filter(|&other| other != name).cloned().collect();
        if here.is_empty() {
            self.places.remove(&place(rule));
        } else {
            self.places.insert(place(rule), here);
        }
    }

    /// Lists the routes with the host and path of `rule`.
    pub(crate) fn at(&self, rule: &RouteRule) -> &[RouteName] {
        self.places.get(&place(rule)).map_or(&[], |here| here)
    }

    /// Lists the routes that a request could match, the better match first: by host before by none,
    /// by a longer prefix before by a shorter one.
    pub(crate) fn candidates<'a>(
        &'a self,
        host: &str,
        path: &'a str,
    ) -> impl Iterator<Item = &'a [RouteName]> {
        let hosts = [Arc::from(bare_host(host)), Arc::from("")];
        hosts.into_iter().flat_map(move |host: Arc<str>| {
            prefixes(path).filter_map(move |prefix| {
                let here = self.places.get(&(host.clone(), Arc::from(prefix)))?;
                Some(here.as_ref())
            })
        })
    }
}

fn place(rule: &RouteRule) -> RoutePlace {
    let host = rule.host.as_deref().unwrap_or("");
    (Arc::from(host), Arc::from(rule.path.as_str()))
}

/// Drops the port and folds the case. An IPv6 literal keeps its brackets.
fn bare_host(host: &str) -> String {
    let end = match host.rfind(':') {
        Some(colon) if !host[colon..].contains(']') => colon,
        _ => host.len(),
    };
    host[..end].to_ascii_lowercase()
}

/// Yields the path and its prefixes at segment borders, longest first, down to `/`.
fn prefixes(path: &str) -> impl Iterator<Item = &str> {
    let whole = path.trim_end_matches('/');
    let longest = if whole.is_empty() { "/" } else { whole };
    std::iter::successors(Some(longest), |prefix| match prefix.rfind('/') {
        Some(0) if prefix.len() > 1 => Some("/"),
        Some(0) | None => None,
        Some(cut) => Some(&prefix[..cut]),
    })
}
