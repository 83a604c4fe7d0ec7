//! One upstream, as its placer counts it.

use crate::limit::SlotLimit;
use model::{
    announcement::{UpstreamAnnouncement, UpstreamState},
    moment::Moment,
    report::UpstreamHealth,
};
use std::time::Duration;

/// A time that may lie before the origin of moments: an upstream is often older than its placer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct StartTime(i128);

impl StartTime {
    pub(super) fn at(moment: Moment) -> Self {
        Self(i128::from(moment.as_micros()))
    }

    pub(super) fn of(announcement: &UpstreamAnnouncement, now: Moment) -> Self {
        Self(i128::from(now.as_micros()) - i128::from(announcement.age_ms) * 1_000)
    }

    /// Returns how long ago it was.
    pub(super) fn passed(self, now: Moment) -> Duration {
        let micros = i128::from(now.as_micros()) - self.0;
        Duration::from_micros(u64::try_from(micros.max(0)).unwrap_or(u64::MAX))
    }
}

/// How an upstream stands with its placer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Standing {
    /// Takes its share.
    Member,
    /// Takes nothing until its time is over.
    Ejected {
        until: Moment,
        /// For how long this time.
        span: Duration,
    },
    /// Takes single idempotent calls, until enough went well or the time for it is over.
    Trial { passed: u32, late: u32, needed: u32, running: bool, ends: Moment },
}

#[derive(Debug)]
pub(super) struct Target {
    pub(super) announcement: UpstreamAnnouncement,
    pub(super) domain: u32,
    pub(super) lease_ends: Moment,
    pub(super) lost: bool,
    pub(super) busy: u32,
    pub(super) limit: SlotLimit,
    pub(super) standing: Standing,
    /// Since when its share grows.
    pub(super) ramp_from: StartTime,
    /// When this life of the upstream began to serve.
    pub(super) began: StartTime,
    /// How often it was ejected without a long good time between.
    pub(super) flaps: u32,
    pub(super) returned: Option<Moment>,
    /// How bad it was when it was ejected, in parts of calls hurt.
    pub(super) badness: f64,
    pub(super) suspect: bool,
    /// Entries of this domain alone have seen it fail.
    pub(super) doubted_by: Option<u32>,
    pub(super) last_crash: Option<Moment>,
    /// What is counted into the table's sums.
    pub(super) room: u32,
    pub(super) healthy: u32,
    pub(super) free_key: Option<FreeKey>,
    pub(super) last_used: u64,
}

/// How full a target is, and when it was last used: among equals the one that has rested longest, so
/// that there is evidence on each.
pub(super) type FreeKey = (u32, u64);

impl Target {
    pub(super) fn serves(&self) -> bool {
        !self.lost && self.announcement.state == UpstreamState::Serving
    }

    pub(super) fn is_member(&self) -> bool {
        self.serves() && self.standing == Standing::Member
    }

    pub(super) fn is_cold(&self, ramp: Duration, now: Moment) -> bool {
        self.began.passed(now) < ramp
    }

    /// Returns how many calls may run there now.
    ///
    /// Load: a third of the upstreams starts cold during a peak. Harm prevented: a cold one that gets
    /// its full share at once answers all of it late. Reason for the limit: one slot at once, since
    /// only work warms it, then evenly up to all over the ramp that its operators state.
    pub(super) fn allowed(&self, ramp: Duration, now: Moment) -> u32 {
        if !self.is_member() {
            return 0;
        }
        self.limit.current().min(self.warm_slots(ramp, now))
    }

    /// Returns as many of the announced slots as the ramp has opened.
    pub(super) fn warm_slots(&self, ramp: Duration, now: Moment) -> u32 {
        let slots = self.announcement.slots;
        let passed = self.ramp_from.passed(now);
        if passed >= ramp || slots == 0 {
            return slots;
        }
        let share = passed.as_secs_f64() / ramp.as_secs_f64();
        1 + (share * f64::from(slots - 1)) as u32
    }

    pub(super) fn health(&self, ramp: Duration, now: Moment) -> UpstreamHealth {
        if self.announcement.state == UpstreamState::Leaving {
            return UpstreamHealth::Leaving;
        }
        match self.standing {
            Standing::Ejected { .. } => UpstreamHealth::Ejected,
            Standing::Trial { .. } => UpstreamHealth::Trial,
            Standing::Member if self.ramp_from.passed(now) < ramp => UpstreamHealth::Cold,
            Standing::Member => UpstreamHealth::Healthy,
        }
    }
}

pub(super) fn standing_ends(standing: Standing) -> Option<Moment> {
    match standing {
        Standing::Member => None,
        Standing::Ejected { until, .. } => Some(until),
        Standing::Trial { ends, .. } => Some(ends),
    }
}
