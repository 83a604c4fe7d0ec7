//! Whether this VM may be cut off from the rest of the fleet.
//!
//! Failure: a VM that is cut off goes on for the fleet. Symptom: upstreams that it acknowledges tell nobody else, and
//! its ends of leases take upstreams away that others have renewed. Whom it has heard lately tells, and not
//! whom it counts as lost, since those are forgotten: with a seat the leader, without one any echo.

use std::{sync::atomic::Ordering, time::Duration};

use super::FleetDriver;
use crate::membership::{IDLE_FACTOR, PAUSE_LIMIT, SILENCE_LIMIT};
use control::handle::ControlHandle;
use model::moment::Moment;

/// After how long without an echo a VM without a seat takes itself to be cut off. Those that are watched
/// slowly get echoes as seldom.
const ECHO_LIMIT: Duration = SILENCE_LIMIT.saturating_mul(IDLE_FACTOR);

impl FleetDriver {
    /// Looks whether this VM may be cut off, and tells the rest of the process.
    pub(super) fn review_contact(&mut self, now: Moment) {
        let cut_off = self.is_out_of_touch(now);
        if self.shared.cut_off.swap(cut_off, Ordering::Relaxed) != cut_off {
            log::info!(cut_off; "contact to the fleet");
        }
        let paused = now.since(self.reviewed) > PAUSE_LIMIT;
        self.reviewed = now;
        // Renewals of that time were not heard here.
        if cut_off || paused {
            self.leases.postpone(now);
        }
    }

    fn is_out_of_touch(&self, now: Moment) -> bool {
        if let Some(hears) = self.shared.control.as_ref().and_then(ControlHandle::hears_leader) {
            return !hears;
        }
        let is_alone = self.seeds == 0 && self.shared.view.load().members().len() <= 1;
        let echoed = self.gossip.last_echo();
        !is_alone && echoed.is_none_or(|echoed| now.since(echoed) >= ECHO_LIMIT)
    }
}
