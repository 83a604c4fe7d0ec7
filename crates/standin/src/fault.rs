//! How an upstream misbehaves by chance.

/// How an upstream misbehaves. The shares are from 0 to 1 and add up to 1 at most.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FaultPlan {
    /// The share of calls answered with status 500.
    pub errors: f64,
    /// By how much each call takes longer.
    pub slowness: f64,
    /// The share of calls that are never answered.
    pub silence: f64,
    /// The share of calls whose answer, of a stated length, breaks off in the middle.
    pub cuts: f64,
    /// The share of calls whose answer, in chunks, breaks off in the middle.
    pub chunked_cuts: f64,
}

/// What was drawn for one call.
pub(crate) enum CallFate {
    Answer,
    Fail,
    Silence,
    Cut,
    CutChunked,
}

impl FaultPlan {
    /// Does not misbehave.
    pub const NONE: Self =
        Self { errors: 0.0, slowness: 1.0, silence: 0.0, cuts: 0.0, chunked_cuts: 0.0 };

    /// Returns what a draw from 0 to 1 means for a call.
    pub(crate) fn fate(&self, draw: f64) -> CallFate {
        let mut left = draw;
        let shares = [
            (self.errors, CallFate::Fail),
            (self.silence, CallFate::Silence),
            (self.cuts, CallFate::Cut),
            (self.chunked_cuts, CallFate::CutChunked),
        ];
        for (share, fate) in shares {
            if left < share {
                return fate;
            }
            left -= share;
        }
        CallFate::Answer
    }
}
