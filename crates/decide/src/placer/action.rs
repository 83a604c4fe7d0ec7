//! What a placer asks of whoever drives it.

use derive::domain;
use model::{
    call::CallRefusal,
    moment::Moment,
    names::{MemberName, ServiceName, UpstreamName},
    numbers::CallNumber,
    slot::{GrantId, RequestFingerprint, SlotGrant},
};
use std::fmt;

/// Names one ask: the entry, its call and the try.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AskId {
    /// The entry's VM.
    pub entry: MemberName,
    /// The call's number there.
    pub call: CallNumber,
    /// The try.
    pub attempt: u32,
}

/// A grant that an entry still holds, as it tells a new placer.
#[domain]
pub struct HeldGrant {
    /// The grant.
    pub id: GrantId,
    /// The upstream whose slot it takes.
    pub upstream: UpstreamName,
    /// The time left for its call, in milliseconds. The slot is freed then at the latest.
    pub left_ms: u32,
}

/// Why an upstream was chosen.
#[domain(value)]
pub enum GrantReason {
    /// It is in the entry's own failure domain.
    SameDomain,
    /// The entry's domain had no room; the upstream's domain costs least of the others.
    SpillOver,
    /// It is ejected and has to prove itself.
    Trial,
    /// Only entries of another failure domain have seen it fail.
    SecondOpinion,
    /// The call has tried each other upstream.
    NoOther,
}

/// Why an upstream was ejected.
#[domain(value)]
pub enum EjectReason {
    /// It fails more of its calls than its peers on the same routes.
    Failures,
    /// It answers later than its peers on the same routes.
    Latency,
    /// It failed the trial after an ejection.
    TrialFailed,
    /// The placer before this one had ejected it.
    Adopted,
}

/// Why an ejected upstream takes work again.
#[domain(value)]
pub enum ReturnReason {
    /// Its trial calls went well.
    TrialPassed,
    /// Its time is over and no call came by to try it with.
    Expired,
    /// Without it the service would be below its floor.
    Floor,
    /// It was started anew.
    Restarted,
}

macro_rules! display_words {
    ($name:ident { $($variant:ident => $word:literal),* $(,)? }) => {
        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(match self { $(Self::$variant => $word),* })
            }
        }
    };
}

display_words!(GrantReason {
    SameDomain => "same-domain",
    SpillOver => "spill-over",
    Trial => "trial",
    SecondOpinion => "second-opinion",
    NoOther => "no-other",
});
display_words!(EjectReason {
    Failures => "failures",
    Latency => "latency",
    TrialFailed => "trial-failed",
    Adopted => "adopted",
});
display_words!(ReturnReason {
    TrialPassed => "trial-passed",
    Expired => "expired",
    Floor => "floor",
    Restarted => "restarted",
});

/// What the driver of a placer has to carry out, with what its log line needs.
#[derive(Clone, Debug, PartialEq)]
pub enum PlacerAction {
    /// Send a grant.
    Grant {
        /// To whom.
        to: AskId,
        /// The service.
        service: ServiceName,
        /// The grant.
        grant: SlotGrant,
        /// Why this upstream.
        reason: GrantReason,
        /// How many calls wait.
        queued: u32,
    },
    /// Send a refusal.
    Refuse {
        /// To whom.
        to: AskId,
        /// The service.
        service: ServiceName,
        /// The refusal.
        refusal: CallRefusal,
        /// How many calls wait.
        queued: u32,
    },
    /// Take a grant back unless its call has begun.
    Revoke {
        /// The entry's VM.
        entry: MemberName,
        /// The grant.
        id: GrantId,
    },
    /// Tell the fleet that an upstream is ejected.
    Eject {
        /// The service.
        service: ServiceName,
        /// The upstream.
        upstream: UpstreamName,
        /// When the ejection ends by itself.
        until: Moment,
        /// Why.
        reason: EjectReason,
        /// How many calls wait.
        queued: u32,
    },
    /// Tell the fleet that an ejected upstream takes work again.
    Return {
        /// The service.
        service: ServiceName,
        /// The upstream.
        upstream: UpstreamName,
        /// Why.
        reason: ReturnReason,
    },
    /// Tell the fleet to refuse a request.
    Poison {
        /// The request.
        fingerprint: RequestFingerprint,
        /// Until when.
        until: Moment,
    },
}
