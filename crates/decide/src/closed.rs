//! Upstreams that have told this VM to send them nothing.
//!
//! Load: an upstream in need turns calls away and says to each VM for how long to leave it alone, or says in
//! its answers that it leaves. Harm prevented: each further call costs its caller a second try, and the
//! upstream work that it has no room for. What an upstream told a VM binds that VM whoever places its
//! calls, so each ask names the upstreams that are closed to the VM, and the VM looks once more right before
//! it sends. It ends with its time, or with the next life of the upstream.

use model::{
    moment::Moment,
    names::UpstreamName,
    numbers::IncarnationNumber,
    slot::{ClosedUpstream, StatedTerms},
};
use std::{collections::BTreeMap, time::Duration};

/// The longest rest that is granted. An upstream that asks for more has most likely erred, and asks again
/// with its next refusal.
pub const MAX_REST: Duration = Duration::from_secs(3_600);

/// For how long an upstream that leaves is remembered: longer than any takes to end.
const LEAVING_RETENTION: Duration = Duration::from_secs(3_600);

#[derive(Clone, Copy, Debug)]
struct Closure {
    incarnation: IncarnationNumber,
    until: Moment,
    leaving: bool,
}

/// What came of an upstream's words.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TermsEffect {
    /// They close it to this VM no longer than it was.
    Unchanged,
    /// It is closed for a time.
    Resting(Duration),
    /// It is closed for the rest of its life.
    Leaving,
}

/// The upstreams of one service that are closed to one VM.
#[derive(Debug, Default)]
pub struct ClosedUpstreams(BTreeMap<UpstreamName, Closure>);

impl ClosedUpstreams {
    /// Takes what a life of an upstream has said to this VM. A shorter rest than one that it asked for before
    /// changes nothing.
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

    /// Tells whether a life of an upstream takes no calls from this VM.
    pub fn is_closed(
        &self,
        upstream: &UpstreamName,
        incarnation: IncarnationNumber,
        now: Moment,
    ) -> bool {
        let closure = self.0.get(upstream);
        closure.is_some_and(|closure| incarnation <= closure.incarnation && closure.until > now)
    }

    /// Lists them, as an ask names them.
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
    /// Tells whether another one, heard later, adds nothing to it.
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
