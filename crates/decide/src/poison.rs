//! Finds requests that crash the upstreams that execute them.
//!
//! A caller may send again and again, through other VMs, a request that crashes each upstream that
//! executes it. A service with ten upstreams would be down after ten resends, and each upstream
//! would look faulty. So a crash counts against the request as well: after two crashes without a
//! success in between, the whole fleet refuses the request for a while.
//!
//! One crash proves nothing, since every call in flight ends with the process, so besides the
//! request that caused it, as many innocent ones as the upstream has slots may be involved. A
//! second crash of the same request on another process is rarely chance, and a success in between
//! clears a request (a popular read is in flight at most crashes, and succeeds all the time). While
//! a request is involved in one crash, only one call of it runs at a time, so that it cannot crash
//! a third upstream before the second crash is known.

use model::{moment::Moment, slot::RequestFingerprint};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// How long a request is refused: long enough that a caller's automatic resends end, short enough
/// that a repaired upstream accepts the request again on the same day.
pub const POISON_DURATION: Duration = Duration::from_secs(600);

/// How long one crash is remembered.
pub const SUSPICION_DURATION: Duration = Duration::from_secs(120);

/// The maximum number of remembered requests. Each crash adds at most as many as its upstream has
/// slots.
pub const MAX_TRACKED_REQUESTS: usize = 4_096;

/// The requests that are refused, whether this placer or another VM decided so.
#[derive(Debug, Default)]
pub struct PoisonList {
    expiries: BTreeMap<RequestFingerprint, Moment>,
    by_expiry: BTreeSet<(Moment, RequestFingerprint)>,
}

impl PoisonList {
    /// Refuses a request until a moment. A later moment replaces an earlier one. Returns whether
    /// anything changed.
    pub fn add(&mut self, fingerprint: RequestFingerprint, until: Moment) -> bool {
        let known = self.expiries.get(&fingerprint).copied();
        if known.is_some_and(|known| known >= until) {
            return false;
        }
        if let Some(known) = known {
            self.by_expiry.remove(&(known, fingerprint));
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

    /// Merges another list into this one. The order of merges does not matter.
    pub fn merge(&mut self, other: impl IntoIterator<Item = (RequestFingerprint, Moment)>) {
        for (fingerprint, until) in other {
            self.add(fingerprint, until);
        }
    }

    /// Returns the moment until which a request is refused, if it is.
    pub fn refused_until(&self, fingerprint: RequestFingerprint, now: Moment) -> Option<Moment> {
        self.expiries.get(&fingerprint).copied().filter(|&until| until > now)
    }

    /// Drops entries that have expired.
    pub fn expire(&mut self, now: Moment) {
        while let Some(&(until, fingerprint)) = self.by_expiry.first() {
            if until > now {
                return;
            }
            self.by_expiry.pop_first();
            self.expiries.remove(&fingerprint);
        }
    }

    /// Lists the refused requests, to be sent to other VMs.
    pub fn iter(&self) -> impl Iterator<Item = (RequestFingerprint, Moment)> {
        self.expiries.iter().map(|(&fingerprint, &until)| (fingerprint, until))
    }
}

/// Crashes of several upstreams within this time may have a common cause outside of them.
const SHARED_CRASH_WINDOW: Duration = Duration::from_secs(1);

/// The number of upstreams that must crash together for the cause to be outside of them, as in the
/// loss of a failure domain, so that the requests in flight are innocent.
const MIN_SHARED_CRASH_UPSTREAMS: usize = 3;

#[derive(Clone, Copy, Debug)]
struct CrashSuspect {
    /// When its first crash became known.
    first_crash: Moment,
    /// How many calls of it run now.
    running: u32,
    /// When another call of it crashed that had already been running at the first crash.
    concurrent_crash: Option<Moment>,
}

/// What may be done with a suspect request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspectVerdict {
    /// Run it.
    Allow,
    /// Try again after this time: another call of it is running, or two crashed together a moment
    /// ago.
    Wait(Duration),
    /// Refuse it: it has crashed two upstreams.
    Refuse,
}

/// Requests that were in flight at one crash.
///
/// A request is refused at its second crash if that call began after the first crash was known. Two
/// calls of it that crash at the same time (a call and its hedge, or one popular read at two
/// upstreams of a lost failure domain) lead to a refusal only a second later, and not if the
/// request succeeds somewhere or a third upstream crashes as well.
#[derive(Debug, Default)]
pub struct CrashSuspects {
    suspects: BTreeMap<RequestFingerprint, CrashSuspect>,
    crashes: Vec<(Moment, u32)>,
    last_shared: Option<Moment>,
}

impl CrashSuspects {
    /// Returns whether nothing is suspect, as a fast path.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Returns whether a request is involved in a crash.
    pub fn contains(&self, fingerprint: RequestFingerprint) -> bool {
        self.suspects.contains_key(&fingerprint)
    }

    /// Records a crash of `upstream` while the request had been running there since `granted`;
    /// `running` more calls of it run elsewhere. Returns whether the request must be refused.
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

    /// Clears a request that has succeeded.
    pub fn clear(&mut self, fingerprint: RequestFingerprint) {
        self.suspects.remove(&fingerprint);
    }

    /// Records that a call of a request has started.
    pub fn run_started(&mut self, fingerprint: RequestFingerprint) {
        if let Some(suspect) = self.suspects.get_mut(&fingerprint) {
            suspect.running += 1;
        }
    }

    /// Records that a call of a request has ended.
    pub fn run_ended(&mut self, fingerprint: RequestFingerprint) {
        if let Some(suspect) = self.suspects.get_mut(&fingerprint) {
            suspect.running = suspect.running.saturating_sub(1);
        }
    }

    /// Decides what may be done with a request now.
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

    /// Drops suspicions that have expired.
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
