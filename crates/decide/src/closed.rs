//! Upstreams that have asked this VM to send them no calls.
//!
//! An overloaded upstream refuses calls and tells each VM how long to wait, or states in its answers that it
//! is leaving. Each further call would cost its caller a retry, and would add work that the upstream has no
//! capacity for. What an upstream asks for applies to the VM that it told, whichever placer places the VM's
//! calls. So each ask to a placer lists the upstreams that are closed to the VM, and the VM checks again
//! right before it sends. A closure ends after the stated time, or when the upstream restarts.

use model::{
    moment::Moment,
    names::UpstreamName,
    numbers::IncarnationNumber,
    slot::{ClosedUpstream, StatedTerms},
};
use std::{collections::BTreeMap, time::Duration};

/// The longest rest that is honored. A longer one is most likely a mistake of the upstream, which can ask
/// again with its next refusal.
pub const MAX_REST: Duration = Duration::from_secs(3_600);

/// How long a leaving upstream is remembered: longer than any upstream takes to stop.
const LEAVING_RETENTION: Duration = Duration::from_secs(3_600);

#[derive(Clone, Copy, Debug)]
struct Closure {
    incarnation: IncarnationNumber,
    until: Moment,
    leaving: bool,
}

/// What the terms stated by an upstream changed for this VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TermsEffect {
    /// The upstream is closed for no longer than before.
    Unchanged,
    /// The upstream is closed for this duration.
    Resting(Duration),
    /// The upstream is closed until it restarts.
    Leaving,
}

/// The upstreams of one service that are closed to one VM.
#[derive(Debug, Default)]
pub struct ClosedUpstreams(BTreeMap<UpstreamName, Closure>);

impl ClosedUpstreams {
    /// Records the terms that an incarnation of an upstream has stated to this VM. A rest that ends no later
    /// than one recorded before changes nothing.
    pub fn record_terms(
        &mut self,
        upstream: &UpstreamName,
        incarnation: IncarnationNumber,
        stated: &StatedTerms,
        now: Moment,
    ) -> TermsEffect {
        self.0.retain(|_, closure| closure.until > now);
        let rest = Duration::from_millis(u64::from(stated.rest_ms)).min(MAX_REST);
        let span = if stated.leaving { LEAVING_RETENTION } else { rest };
        if span.is_zero() {
            return TermsEffect::Unchanged;
        }
        let closure = Closure { incarnation, until: now + span, leaving: stated.leaving };
        let known = self.0.get(upstream);
        if known.is_some_and(|known| known.covers(&closure)) {
            return TermsEffect::Unchanged;
        }
        self.0.insert(upstream.clone(), closure);
        if stated.leaving { TermsEffect::Leaving } else { TermsEffect::Resting(rest) }
    }

    /// Returns whether an incarnation of an upstream accepts no calls from this VM.
    pub fn is_closed(
        &self,
        upstream: &UpstreamName,
        incarnation: IncarnationNumber,
        now: Moment,
    ) -> bool {
        let closure = self.0.get(upstream);
        closure.is_some_and(|closure| incarnation <= closure.incarnation && closure.until > now)
    }

    /// Lists the closed upstreams in the form that an ask carries.
    pub fn list(&self, now: Moment) -> Vec<ClosedUpstream> {
        let closed = self.0.iter().filter(|(_, closure)| closure.until > now);
        let closed = closed.map(|(upstream, closure)| {
            let left = closure.until.since(now).as_micros().div_ceil(1_000);
            ClosedUpstream {
                upstream: upstream.clone(),
                incarnation: closure.incarnation,
                left_ms: u32::try_from(left).unwrap_or(u32::MAX),
            }
        });
        closed.collect()
    }
}

impl Closure {
    /// Returns whether a closure that was stated later adds nothing to this one.
    fn covers(&self, other: &Self) -> bool {
        match self.incarnation.cmp(&other.incarnation) {
            std::cmp::Ordering::Greater => true,
            std::cmp::Ordering::Equal => {
                self.leaving || !other.leaving && self.until >= other.until
            }
            std::cmp::Ordering::Less => false,
        }
    }
}
