//! Patches: numbered changes of the configuration.
//!
//! A patch applies only to the number that it was written against. That one rule does two jobs.
//! Of two operators who start from the same number one is told that there is newer work, instead of
//! silently undoing it. And a patch that is sent again can never change anything twice: its first
//! acceptance moved the number past its base. The kept patch identifiers only serve to repeat the
//! first answer, so forgetting an old one is safe.

use std::fmt;

use crate::{
    config::{ControlSettings, FleetConfig, ServiceRule},
    names::{RouteName, ServiceName},
    numbers::ConfigNumber,
    route::RouteRule,
};
use derive::domain;
use snafu::Snafu;
use uuid::Uuid;

/// The largest number of changes in one patch.
pub const CHANGES_LIMIT: usize = 1_000;

/// The identifier of a patch, made once by its author's tool and sent again unchanged.
#[domain(value)]
#[serde(transparent)]
pub struct PatchId(pub Uuid);

impl fmt::Display for PatchId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// One change.
#[domain]
pub enum ConfigChange {
    /// Adds a service or replaces its rule.
    PutService {
        /// Its name.
        name: ServiceName,
        /// Its rule.
        rule: ServiceRule,
    },
    /// Removes a service that no route names.
    DropService {
        /// Its name.
        name: ServiceName,
    },
    /// Adds a route or replaces its rule.
    PutRoute {
        /// Its name.
        name: RouteName,
        /// Its rule.
        rule: RouteRule,
    },
    /// Removes a route.
    DropRoute {
        /// Its name.
        name: RouteName,
    },
    /// Replaces the settings of the fleet itself.
    PutSettings {
        /// The settings.
        settings: ControlSettings,
    },
}

impl ConfigChange {
    /// Tells whether both changes touch the same entry.
    pub fn touches_same(&self, other: &Self) -> bool {
        self.target() == other.target()
    }

    /// Returns what the change touches, as a kind and a name.
    pub fn target(&self) -> (&'static str, &str) {
        match self {
            Self::PutService { name, .. } | Self::DropService { name } => {
                ("service", name.as_str())
            }
            Self::PutRoute { name, .. } | Self::DropRoute { name } => ("route", name.as_str()),
            Self::PutSettings { .. } => ("settings", ""),
        }
    }
}

/// A list of changes against one number.
#[domain]
pub struct ConfigPatch {
    /// Identifies the patch however often it is sent.
    pub id: PatchId,
    /// The number that it was written against.
    pub base: ConfigNumber,
    /// Who wrote it.
    pub author: String,
    /// What it changes, in order.
    pub changes: Vec<ConfigChange>,
}

/// An accepted patch, as the history keeps it.
#[domain]
pub struct PatchRecord {
    /// The number that it made.
    pub number: ConfigNumber,
    /// The patch.
    pub patch: ConfigPatch,
}

/// The difference from one configuration to a later one, which is what is spread.
#[domain]
pub struct ConfigDelta {
    /// The number that it applies to.
    pub from: ConfigNumber,
    /// The number that it makes.
    pub to: ConfigNumber,
    /// The changes, in order.
    pub changes: Vec<ConfigChange>,
    /// The digest of what it makes.
    pub digest: u64,
}

/// One reason why a patch does not validate.
#[domain]
#[derive(Snafu)]
pub enum PatchFault {
    /// It changes nothing.
    #[snafu(display("the patch holds no change"))]
    Empty,
    /// It holds too many changes.
    #[snafu(display(
        "{count} changes in one patch; split it, at most {CHANGES_LIMIT} are allowed"
    ))]
    TooManyChanges {
        /// How many.
        count: usize,
    },
    /// A route names a service that there is not.
    #[snafu(display("route {route} names service {service}, which there is not; add it first"))]
    UnknownService {
        /// The route.
        route: RouteName,
        /// The service.
        service: ServiceName,
    },
    /// What is to be removed is not there.
    #[snafu(display("there is no {kind} {name} to remove"))]
    NothingToDrop {
        /// `service` or `route`.
        kind: String,
        /// Its name.
        name: String,
    },
    /// A service is still named by a route.
    #[snafu(display("service {service} is still named by route {route}; remove that first"))]
    ServiceInUse {
        /// The service.
        service: ServiceName,
        /// One such route.
        route: RouteName,
    },
    /// Two routes match the same requests.
    #[snafu(display("routes {one} and {other} match the same requests"))]
    RoutesAlike {
        /// The changed route.
        one: RouteName,
        /// The route it is like.
        other: RouteName,
    },
    /// A path is not in the form that requests are matched by.
    #[snafu(display("route {route}: path {path:?} must start with '/' and not end with one"))]
    BadPath {
        /// The route.
        route: RouteName,
        /// The path.
        path: String,
    },
    /// A host is not in the form that requests are matched by.
    #[snafu(display("route {route}: host {host:?} must be in lower case and without a port"))]
    BadHost {
        /// The route.
        route: RouteName,
        /// The host.
        host: String,
    },
    /// A number is outside of its range.
    #[snafu(display("{name}: {field} is {value}; it must be {expected}"))]
    OutOfRange {
        /// The service, route or `settings`.
        name: String,
        /// The field.
        field: String,
        /// Its value.
        value: u64,
        /// What is allowed.
        expected: String,
    },
}

/// Why a patch was refused.
#[domain]
#[derive(Snafu)]
pub enum PatchRefusal {
    /// There is newer work than the patch's base.
    #[snafu(display(
        "the patch was written against number {base}, but number {present} is in force; \
         look at the newer changes and write it against {present}"
    ))]
    StaleBase {
        /// The number that the patch names.
        base: ConfigNumber,
        /// The number in force.
        present: ConfigNumber,
        /// The later patches' changes of the same entries, as far as the history is kept.
        conflicts: Vec<ConfigChange>,
    },
    /// The patch names a number that there has not been.
    #[snafu(display("the patch was written against number {base}; the latest is {present}"))]
    FutureBase {
        /// The number that the patch names.
        base: ConfigNumber,
        /// The number in force.
        present: ConfigNumber,
    },
    /// The patch does not validate.
    #[snafu(display("the patch does not validate: {} faults", faults.len()))]
    Invalid {
        /// Each reason.
        faults: Vec<PatchFault>,
    },
    /// Another patch has the same identifier.
    #[snafu(display("another patch was sent with the identifier {id}; make a new one"))]
    OtherPatch {
        /// The identifier.
        id: PatchId,
    },
}

/// The answer to a submitted patch: the first result, however often it is sent.
pub type PatchResult = Result<ConfigNumber, PatchRefusal>;

impl FleetConfig {
    /// Makes the next configuration.
    ///
    /// # Errors
    ///
    /// Returns the refusal when the base is not this number or the changes do not validate. A stale
    /// base is returned without conflicts, which only the history knows.
    pub fn apply(&self, patch: &ConfigPatch) -> Result<Self, PatchRefusal> {
        let (base, present) = (patch.base, self.number);
        if base < present {
            return Err(PatchRefusal::StaleBase { base, present, conflicts: Vec::new() });
        }
        if base > present {
            return Err(PatchRefusal::FutureBase { base, present });
        }
        let faults = self.faults_of(&patch.changes);
        if !faults.is_empty() {
            return Err(PatchRefusal::Invalid { faults });
        }
        Ok(self.with_changes(&patch.changes, present.next()))
    }

    /// Follows a difference, or returns `None` where it does not lead on from this configuration or
    /// leads to another content than its sender had.
    pub fn advance(&self, delta: &ConfigDelta) -> Option<Self> {
        if delta.from != self.number || delta.to <= delta.from {
            return None;
        }
        let next = self.with_changes(&delta.changes, delta.to);
        (next.digest == delta.digest).then_some(next)
    }

    fn with_changes(&self, changes: &[ConfigChange], number: ConfigNumber) -> Self {
        let mut next = self.clone();
        for change in changes {
            next.put(change);
        }
        next.number = number;
        next
    }

    fn put(&mut self, change: &ConfigChange) {
        match change {
            ConfigChange::PutService { name, rule } => self.put_service(name.clone(), rule.clone()),
            ConfigChange::DropService { name } => self.drop_service(name),
            ConfigChange::PutRoute { name, rule } => self.put_route(name.clone(), rule.clone()),
            ConfigChange::DropRoute { name } => self.drop_route(name),
            ConfigChange::PutSettings { settings } => self.put_settings(settings.clone()),
        }
    }

    /// Lists each reason why the changes may not follow this configuration.
    pub fn faults_of(&self, changes: &[ConfigChange]) -> Vec<PatchFault> {
        let mut faults = Vec::new();
        if changes.is_empty() {
            faults.push(PatchFault::Empty);
        }
        if changes.len() > CHANGES_LIMIT {
            faults.push(PatchFault::TooManyChanges { count: changes.len() });
            return faults;
        }
        let mut next = self.clone();
        for change in changes {
            next.check_change(change, &mut faults);
            next.put(change);
        }
        next.check_whole(changes, &mut faults);
        faults
    }

    fn check_change(&self, change: &ConfigChange, faults: &mut Vec<PatchFault>) {
        match change {
            ConfigChange::PutService { name, rule } => check_service(name, rule, faults),
            ConfigChange::PutRoute { name, rule } => check_route(name, rule, faults),
            ConfigChange::PutSettings { settings } => {
                check_settings(settings, faults);
                self.check_groups(settings, faults);
            }
            ConfigChange::DropService { name } if self.service(name).is_none() => {
                faults.push(nothing_to_drop("service", name.as_str()));
            }
            ConfigChange::DropRoute { name } if self.route(name).is_none() => {
                faults.push(nothing_to_drop("route", name.as_str()));
            }
            ConfigChange::DropService { .. } | ConfigChange::DropRoute { .. } => (),
        }
    }

    /// Refuses to change the number of ledger groups after the first patch.
    ///
    /// A key's group follows from the number of groups. Were it changed, a resend would go to another
    /// group than its first send, find the key unclaimed there, and run a second time.
    fn check_groups(&self, settings: &ControlSettings, faults: &mut Vec<PatchFault>) {
        let present = self.settings.ledger_groups;
        if self.number == ConfigNumber::default() || settings.ledger_groups == present {
            return;
        }
        faults.push(PatchFault::OutOfRange {
            name: "settings".to_owned(),
            field: "ledger-groups".to_owned(),
            value: u64::from(settings.ledger_groups),
            expected: format!("{present}, since only the first patch may set it"),
        });
    }

    /// Checks what only the outcome of all changes shows, looking no further than the entries that
    /// changed: a check of all routes would cost more with each route there is. Dropping a service
    /// is rare and looks at all.
    fn check_whole(&self, changes: &[ConfigChange], faults: &mut Vec<PatchFault>) {
        for change in changes {
            match change {
                ConfigChange::PutRoute { name, .. } => self.check_links(name, faults),
                ConfigChange::DropService { name } => self.check_unused(name, faults),
                _ => (),
            }
        }
    }

    fn check_links(&self, name: &RouteName, faults: &mut Vec<PatchFault>) {
        let Some(rule) = self.route(name) else { return };
        if self.service(&rule.service).is_none() {
            let (route, service) = (name.clone(), rule.service.clone());
            faults.push(PatchFault::UnknownService { route, service });
        }
        for other in self.index.at(rule) {
            let alike = other != name
                && self.route(other).is_some_and(|other_rule| rule.clashes_with(other_rule));
            if alike {
                faults.push(PatchFault::RoutesAlike { one: name.clone(), other: other.clone() });
            }
        }
    }

    fn check_unused(&self, name: &ServiceName, faults: &mut Vec<PatchFault>) {
        if self.service(name).is_some() {
            return;
        }
        if let Some((route, _)) = self.routes().find(|(_, rule)| rule.service == *name) {
            let (service, route) = (name.clone(), route.clone());
            faults.push(PatchFault::ServiceInUse { service, route });
        }
    }
}

fn nothing_to_drop(kind: &str, name: &str) -> PatchFault {
    PatchFault::NothingToDrop { kind: kind.to_owned(), name: name.to_owned() }
}

fn check_service(name: &ServiceName, rule: &ServiceRule, faults: &mut Vec<PatchFault>) {
    let mut range = |field, value, low, high| {
        check_range(name.as_str(), field, u64::from(value), low, high, faults);
    };
    range("late-detection-price", rule.late_detection_price, 1, 1_000_000);
    range("false-ejection-price", rule.false_ejection_price, 1, 1_000_000);
    range("queue-limit", rule.queue_limit, 1, 100_000);
    range("retry-percent", rule.retry_percent, 0, 100);
    range("ejection-ms", rule.ejection_ms, 100, 3_600_000);
    range("ramp-ms", rule.ramp_ms, 0, 3_600_000);
    // A number that is taken and then changes nothing would mislead whoever sets it.
    range("shards", rule.shards, 1, 1);
}

fn check_settings(settings: &ControlSettings, faults: &mut Vec<PatchFault>) {
    const DAY_MS: u64 = 24 * 3_600 * 1_000;
    let mut range =
        |field, value, low, high| check_range("settings", field, value, low, high, faults);
    range("keep-keys-ms", settings.keep_keys_ms, 60_000, 30 * DAY_MS);
    range("keys-limit", settings.keys_limit, 1, 100_000_000);
    range("ledger-groups", u64::from(settings.ledger_groups), 1, 4_096);
    range("lame-duck-ms", u64::from(settings.lame_duck_ms), 0, 600_000);
}

fn check_route(name: &RouteName, rule: &RouteRule, faults: &mut Vec<PatchFault>) {
    let trailing = rule.path.len() > 1 && rule.path.ends_with('/');
    if !rule.path.starts_with('/') || trailing {
        faults.push(PatchFault::BadPath { route: name.clone(), path: rule.path.clone() });
    }
    let bad_host = |host: &&String| {
        host.is_empty() || host.contains(':') || host.chars().any(|c| c.is_ascii_uppercase())
    };
    if let Some(host) = rule.host.as_ref().filter(bad_host) {
        faults.push(PatchFault::BadHost { route: name.clone(), host: host.clone() });
    }
    check_range(name.as_str(), "timeout-ms", u64::from(rule.timeout_ms), 1, 3_600_000, faults);
}

fn check_range(
    name: &str,
    field: &str,
    value: u64,
    low: u64,
    high: u64,
    faults: &mut Vec<PatchFault>,
) {
    if !(low..=high).contains(&value) {
        faults.push(PatchFault::OutOfRange {
            name: name.to_owned(),
            field: field.to_owned(),
            value,
            expected: format!("{low} to {high}"),
        });
    }
}
