//! Calls of VMs to which upstreams are closed: see [`crate::closed`].
//!
//! Load: an upstream, or all of a service at once, want rest from a VM, each for a time of its own. Harm
//! prevented: the VM's calls wait in the queue for upstreams that they may not use until their time is over, and
//! hold up calls of other VMs. So a call of a VM to which all are closed for longer than it can usefully wait is
//! refused at once, as not run: other VMs may well be served.

use super::{PlacerAction, ServicePlacer, queue::WaitingAsk};
use model::{call::RefusalReason, moment::Moment, slot::SlotAsk};
use std::time::Duration;

/// When a call should come back at the latest: its next try most likely goes through another VM.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(200);

impl ServicePlacer {
    /// Returns for how long an upstream takes no calls from the VM of an ask that came `ago`.
    pub(super) fn closed_for(&self, ask: &SlotAsk, target: u32, ago: Duration) -> Duration {
        if ask.closed.is_empty() {
            return Duration::ZERO;
        }
        let announcement = &self.targets.get(target).announcement;
        ask.closed_for(&announcement.upstream, announcement.incarnation, ago)
    }

    /// Returns when a call should come back whose VM no upstream takes calls from in useful time.
    pub(super) fn closed_retry_after(&self, waiting: &WaitingAsk, now: Moment) -> Option<Duration> {
        if waiting.ask.closed.is_empty() {
            return None;
        }
        let waited = now.since(waiting.since);
        let members = self.targets.iter().filter(|(_, target)| target.is_active());
        let closed = members.map(|(target, _)| self.closed_for(&waiting.ask, target, waited));
        let opens = closed.min().filter(|closed| !closed.is_zero())?;
        let useful = waiting.objective_start.unwrap_or(waiting.latest_start);
        (now + opens > useful).then(|| opens.min(MAX_RETRY_AFTER))
    }

    /// Refuses calls in the queue to whose VMs the last upstream in useful time has been lost.
    pub(super) fn refuse_closed(&mut self, now: Moment, actions: &mut Vec<PlacerAction>) {
        if !self.queue.has_closed_upstreams() {
            return;
        }
        for place in self.queue.matching(|waiting| self.closed_retry_after(waiting, now).is_some())
        {
            let Some(wait) = self.closed_retry_after(self.queue.get(place), now) else { continue };
            let waiting = self.queue.remove(place);
            self.refuse(waiting.id, RefusalReason::Saturated, wait, actions);
        }
    }
}
