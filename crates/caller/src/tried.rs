//! Where a call has been, and where it must not go again.

use decide::retry_policy::must_not_repeat_at;
use model::{
    call::CallClass,
    names::UpstreamName,
    slot::{ClosedUpstream, SlotGrant},
};
use upstream::exchange::ExchangeFault;

/// The upstreams that a call has tried.
///
/// Failure: an upstream refuses a call and hands that refusal out once more while the call is at work there on its
/// next try. Symptom: the call is sent again and runs twice, since all its tries have one identifier. A call that
/// must not run twice goes to each life of an upstream once, so no refusal of that life can be another try's.
#[derive(Debug, Default)]
pub(crate) struct TriedUpstreams {
    /// Left out while there are others.
    pub(crate) avoid: Vec<UpstreamName>,
    /// Closed to the call for good.
    pub(crate) closed: Vec<ClosedUpstream>,
}

impl TriedUpstreams {
    /// Notes that a call was given a slot.
    pub(crate) fn note_grant(&mut self, grant: &SlotGrant) {
        self.avoid.push(grant.upstream.clone());
    }

    /// Notes how a try ended.
    pub(crate) fn note_end(&mut self, class: CallClass, grant: &SlotGrant, fault: &ExchangeFault) {
        if must_not_repeat_at(class, fault.sent) {
            self.closed.push(ClosedUpstream {
                upstream: grant.upstream.clone(),
                incarnation: grant.incarnation,
                left_ms: u32::MAX,
            });
        }
    }

    /// Tells whether a grant is for a life of an upstream that the call must not go to again.
    pub(crate) fn excludes(&self, grant: &SlotGrant) -> bool {
        let closes = |closed: &ClosedUpstream| {
            closed.upstream == grant.upstream && grant.incarnation <= closed.incarnation
        };
        self.closed.iter().any(closes)
    }
}
