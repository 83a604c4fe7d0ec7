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
/// configurations.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct RouteIndex {
    places: OrdMap<RoutePlace, Vec<(RouteName, Vec<String>)>>,
}

impl RouteIndex {
    pub(crate) fn insert(&mut self, name: &RouteName, rule: &RouteRule) {
        let mut here = self.places.get(&place(rule)).cloned().unwrap_or_default();
        here.push((name.clone(), rule.methods.clone()));
        here.sort();
        self.places.insert(place(rule), here);
    }

    pub(crate) fn remove(&mut self, name: &RouteName, rule: &RouteRule) {
        let Some(mut here) = self.places.remove(&place(rule)) else { return };
        here.retain(|(other, _)| other != name);
        if !here.is_empty() {
            self.places.insert(place(rule), here);
        }
    }

    /// Lists the routes with the host and path of `rule`.
    pub(crate) fn same_place(&self, rule: &RouteRule) -> impl Iterator<Item = &RouteName> {
        self.places.get(&place(rule)).into_iter().flatten().map(|(name, _)| name)
    }

    pub(crate) fn find(&self, host: &str, path: &str, method: &str) -> Option<&RouteName> {
        let host = bare_host(host);
        let under_host = self.find_under(&host, path, method);
        under_host.or_else(|| self.find_under("", path, method))
    }

    fn find_under(&self, host: &str, path: &str, method: &str) -> Option<&RouteName> {
        let host = Arc::<str>::from(host);
        prefixes(path).find_map(|prefix| {
            let here = self.places.get(&(host.clone(), Arc::from(prefix)))?;
            let named = here.iter().find(|(_, methods)| methods.iter().any(|m| m == method));
            let any = || here.iter().find(|(_, methods)| methods.is_empty());
            named.or_else(any).map(|(name, _)| name)
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
