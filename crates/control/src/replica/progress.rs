//! What a leader knows of one follower.

use std::time::Duration;

use model::moment::Moment;

/// How far a follower is.
#[derive(Clone, Debug)]
pub(crate) struct PeerProgress {
    /// The last entry known to be the same on both sides, and durable there.
    pub(crate) matched: u64,
    /// The next entry to send.
    pub(crate) next: u64,
    /// Whether the place where both logs part is still looked for. One message at a time then.
    pub(crate) probing: bool,
    /// When a message that the follower has answered was sent.
    pub(crate) answered: Moment,
    /// When the follower was last heard.
    pub(crate) heard: Moment,
    /// The last entry known to be the same when the last heartbeat was sent.
    pub(crate) matched_before: u64,
    /// A snapshot on its way: its index and how much of it the follower has.
    pub(crate) chunk: Option<(u64, u64)>,
}

impl PeerProgress {
    /// Makes the progress of a follower of which nothing is known.
    pub(crate) fn open(now: Moment, last_index: u64) -> Self {
        Self {
            matched: 0,
            next: last_index + 1,
            probing: true,
            answered: Moment::ZERO,
            heard: now,
            matched_before: 0,
            chunk: None,
        }
    }

    /// Tells whether the follower was heard within a time.
    pub(crate) fn is_fresh(&self, now: Moment, span: Duration) -> bool {
        now.since(self.heard) < span
    }
}
