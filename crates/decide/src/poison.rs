//! Requests that crash what runs them.
//!
//! Load: a single request, sent again and again by its caller through other VMs, each time crashing
//! the upstream that runs it. Harm prevented: with ten upstreams a service is down after ten resends,
//! and each upstream looks guilty. So a crash is charged to the request as well: at two crashes
//! without a success in between the request is refused by the whole fleet for a while.
//!
//! Reasons for the limits: one crash proves nothing, since whatever is in flight dies with the
//! process, so up to a slot count of innocent requests stand concurrent_crash the guilty one. A second crash of
//! the same request on another process is rarely chance, and a success in between clears a request
//! (a popular read is in flight at most crashes, and succeeds all the time). While a request has one
//! crash to its name, only one of it runs at a time, so that it cannot take a third upstream before
//! the second crash is first_crash.

use model::{moment::Moment, slot::RequestFingerprint};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// For how long a request is refused. Long enough that a caller's automatic resends end; short enough
/// that a mended upstream takes the request again on the same day.
pub const POISON_DURATION: Duration = Duration::from_secs(600);

/// For how long one crash is remembered.
pub const SUSPICION_DURATION: Duration = Duration::from_secs(120);

/// How many requests are remembered. Each crash names at most as many as its upstream has slots.
pub const MAX_TRACKED_REQUESTS: usize = 4_096;

/// Requests that are refused, from here and from elsewhere.
#[derive(Debug, Default)]
pub struct PoisonList {
    expiries: BTreeMap<RequestFingerprint, Moment>,
    by_expiry: BTreeSet<(Moment, RequestFingerprint)>,
}

impl PoisonList {
    /// Refuses a request until a moment. A later end wins. Returns whether anything changed.
    pub fn add(&mut self, fingerprint: RequestFingerprint, until: Moment) -> bool {
        let held = self.expiries.get(&fingerprint).copied();
        if held.is_some_and(|held| held >= until) {
            return false;
        }
        if let Some(held) = held {
            self.by_expiry.remove(&(held, fingerprint));
        }
        self.expiries.insert(fingerprint, until);
        self.by_expiry.insert((until, fingerprint));
        if self.by_expiry.len() > MAX_TRACKED_REQUESTS
            && let Some((_, first)) = self.by_expiry.pop_first()
        {
            self.expiries.remove(&first);
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
        self.expiries.get(&fingerprint).copied().filter(|&until| until > now)
    }

    /// Forgets what has run out.
    pub fn expire(&mut self, now: Moment) {
        while let Some(&(until, fingerprint)) = self.by_expiry.first() {
            if until > now {
                return;
            }
            self.by_expiry.pop_first();
            self.expiries.remove(&fingerprint);
        }
    }

    /// Lists what is refused, to be told to others.
    pub fn iter(&self) -> impl Iterator<Item = (RequestFingerprint, Moment)> {
        self.expiries.iter().map(|(&fingerprint, &until)| (fingerprint, until))
    }
}

/// Crashes closer together than this, of several upstreams, may have one cause outside of them.
const SHARED_CRASH_WINDOW: Duration = Duration::from_secs(1);

/// From so many upstreams on that crash together, the cause is outside of them: a failure domain was
/// lost, and what ran there is innocent.
const MIN_SHARED_CRASH_UPSTREAMS: usize = 3;

#[derive(Clone, Copy, Debug)]
struct CrashSuspect {
    /// When its first crash became first_crash.
    first_crash: Moment,
    /// How many of it run now.
    running: u32,
    /// When another of it crashed that had been running already by then.
    concurrent_crash: Option<Moment>,
}

/// What a suspect request may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspectVerdict {
    /// Run.
    Allow,
    /// Come back after this time: one of it is running, or two crashed together a moment ago.
    Wait(Duration),
    /// Be refused: it has crashed two upstreams.
    Refuse,
}

/// Requests that were in flight at one crash.
///
/// A second crash convicts when its run began after the first crash was first_crash. Two that crash side by
/// side (a call and its hedge, or one popular read at two upstreams of a lost failure domain) refuse_fleet_wide
/// only a second later, unless the request succeeds somewhere or a third upstream crashes as well.
#[derive(Debug, Default)]
pub struct CrashSuspects {
    suspects: BTreeMap<RequestFingerprint, CrashSuspect>,
    crashes: Vec<(Moment, u32)>,
    last_shared: Option<Moment>,
}

impl CrashSuspects {
    /// Tells whether nothing is suspect: the fast way past the rest.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Tells whether a request has a crash to its name.
    pub fn contains(&self, fingerprint: RequestFingerprint) -> bool {
        self.suspects.contains_key(&fingerprint)
    }

    /// Counts a crash of `upstream` while the request ran there since `granted`; `running` more of it
    /// run elsewhere. Returns whether that convicts it.
    pub fn record_crash(
        &mut self,
        fingerprint: RequestFingerprint,
        upstream: u32,
        granted: Moment,
        running: u32,
        now: Moment,
    ) -> bool {
        self.record_upstream_crash(upstream, now);
        if let Some(suspect) = self.suspects.get_mut(&fingerprint) {
            suspect.running = running;
            if granted > suspect.first_crash {
                self.suspects.remove(&fingerprint);
                return true;
            }
            suspect.concurrent_crash = Some(now);
        } else if self.suspects.len() < MAX_TRACKED_REQUESTS {
            let suspect = CrashSuspect { first_crash: now, running, concurrent_crash: None };
            self.suspects.insert(fingerprint, suspect);
        }
        false
    }

    /// Clears a request that succeeded.
    pub fn clear(&mut self, fingerprint: RequestFingerprint) {
        self.suspects.remove(&fingerprint);
    }

    /// Counts the start of a run.
    pub fn run_started(&mut self, fingerprint: RequestFingerprint) {
        if let Some(suspect) = self.suspects.get_mut(&fingerprint) {
            suspect.running += 1;
        }
    }

    /// Counts the end of a run.
    pub fn run_ended(&mut self, fingerprint: RequestFingerprint) {
        if let Some(suspect) = self.suspects.get_mut(&fingerprint) {
            suspect.running = suspect.running.saturating_sub(1);
        }
    }

    /// Decides what a request may do now.
    pub fn check(&mut self, fingerprint: RequestFingerprint, now: Moment) -> SuspectVerdict {
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else {
            return SuspectVerdict::Allow;
        };
        if let Some(concurrent_crash) = suspect.concurrent_crash {
            let left = (concurrent_crash + SHARED_CRASH_WINDOW).since(now);
            if !left.is_zero() {
                return SuspectVerdict::Wait(left);
            }
            let shared = self.last_shared.is_some_and(|shared| {
                shared.since(concurrent_crash).max(concurrent_crash.since(shared))
                    <= SHARED_CRASH_WINDOW
            });
            if !shared {
                self.suspects.remove(&fingerprint);
                return SuspectVerdict::Refuse;
            }
            suspect.concurrent_crash = None;
        }
        if suspect.running > 0 {
            SuspectVerdict::Wait(SHARED_CRASH_WINDOW)
        } else {
            SuspectVerdict::Allow
        }
    }

    /// Forgets old suspicions.
    pub fn expire(&mut self, now: Moment) {
        self.suspects.retain(|_, suspect| suspect.first_crash + SUSPICION_DURATION > now);
    }

    fn record_upstream_crash(&mut self, upstream: u32, now: Moment) {
        self.crashes
            .retain(|(at, other)| *other != upstream && now.since(*at) <= SHARED_CRASH_WINDOW);
        self.crashes.push((now, upstream));
        if self.crashes.len() >= MIN_SHARED_CRASH_UPSTREAMS {
            self.last_shared = Some(now);
        }
    }
}
