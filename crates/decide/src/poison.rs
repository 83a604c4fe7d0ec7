//! Requests that crash what runs them.
//!
//! Load: a single request, sent again and again by its caller through other VMs, each time crashing
//! the upstream that runs it. Harm prevented: with ten upstreams a service is down after ten resends,
//! and each upstream looks guilty. So a crash is charged to the request as well: at two crashes
//! without a success in between the request is refused by the whole fleet for a while.
//!
//! Reasons for the limits: one crash proves nothing, since whatever is in flight dies with the
//! process, so up to a slot count of innocent requests stand beside the guilty one. A second crash of
//! the same request on another process is rarely chance, and a success in between clears a request
//! (a popular read is in flight at most crashes, and succeeds all the time). While a request has one
//! crash to its name, only one of it runs at a time, so that it cannot take a third upstream before
//! the second crash is known.

use model::{moment::Moment, slot::RequestFingerprint};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// For how long a request is refused. Long enough that a caller's automatic resends end; short enough
/// that a mended upstream takes the request again on the same day.
pub const POISON_SPAN: Duration = Duration::from_secs(600);

/// For how long one crash is remembered.
pub const SUSPICION_SPAN: Duration = Duration::from_secs(120);

/// How many requests are remembered. Each crash names at most as many as its upstream has slots.
pub const POISON_LIMIT: usize = 4_096;

/// Requests that are refused, from here and from elsewhere.
#[derive(Debug, Default)]
pub struct PoisonList {
    until: BTreeMap<RequestFingerprint, Moment>,
    ends: BTreeSet<(Moment, RequestFingerprint)>,
}

impl PoisonList {
    /// Refuses a request until a moment. A later end wins. Returns whether anything changed.
    pub fn add(&mut self, fingerprint: RequestFingerprint, until: Moment) -> bool {
        let held = self.until.get(&fingerprint).copied();
        if held.is_some_and(|held| held >= until) {
            return false;
        }
        if let Some(held) = held {
            self.ends.remove(&(held, fingerprint));
        }
        self.until.insert(fingerprint, until);
        self.ends.insert((until, fingerprint));
        if self.ends.len() > POISON_LIMIT
            && let Some((_, first)) = self.ends.pop_first()
        {
            self.until.remove(&first);
        }
        true
    }

    /// Takes in another list. The order in which lists are merged does not matter.
    pub fn merge(&mut self, other: impl IntoIterator<Item = (RequestFingerprint, Moment)>) {
        for (fingerprint, until) in other {
            self.add(fingerprint, until);
        }
    }

    /// Returns until when a request is refused.
    pub fn refused_until(&self, fingerprint: RequestFingerprint, now: Moment) -> Option<Moment> {
        self.until.get(&fingerprint).copied().filter(|&until| until > now)
    }

    /// Forgets what has run out.
    pub fn expire(&mut self, now: Moment) {
        while let Some(&(until, fingerprint)) = self.ends.first() {
            if until > now {
                return;
            }
            self.ends.pop_first();
            self.until.remove(&fingerprint);
        }
    }

    /// Lists what is refused, to be told to others.
    pub fn iter(&self) -> impl Iterator<Item = (RequestFingerprint, Moment)> {
        self.until.iter().map(|(&fingerprint, &until)| (fingerprint, until))
    }
}
