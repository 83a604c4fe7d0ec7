//! Calls of VMs to which upstreams are closed; see [`crate::closed`].
//!
//! An upstream, or all upstreams of a service, may ask a VM for rest, each for a time of its own. The VM's
//! calls would wait in the queue until their deadline for upstreams that they may not use, and delay calls
//! of other VMs. So a call is refused at once, as not run, if all upstreams are closed to its VM for longer
//! than it can usefully wait. A retry through another VM may succeed.
//!
//! A call that must not run twice names the upstreams that have refused it as closed as well. The caller's own
//! retry is another call, to which they are open.

use super::{PlacerAction, ServicePlacer, queue::WaitingAsk};
use model::{call::RefusalReason, moment::Moment, slot::SlotAsk};
use std::time::Duration;

/// The longest retry-after time of such a refusal. It is short because the caller's retry most likely goes
/// through another VM.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(200);

impl ServicePlacer {
    /// Returns how much longer an upstream accepts no calls from the VM of an ask. `ago`: how long ago the
    /// ask arrived.
    pub(super) fn closed_for(&self, ask: &SlotAsk, target: u32, ago: Duration) -> Duration {
        if ask.closed.is_empty() {
            return Duration::ZERO;
        }
        let announcement = &self.targets.get(target).announcement;
        ask.closed_for(&announcement.upstream, announcement.incarnation, ago)
    }

    /// Returns the retry-after time of a call if no upstream accepts calls from its VM in useful time.
    pub(super) fn closed_retry_after(&self, waiting: &WaitingAsk, now: Moment) -> Option<Duration> {
        if waiting.ask.closed.is_empty() {
            return None;
        }
        let waited = now.since(waiting.since);
        let active = self.targets.iter().filter(|(_, target)| target.is_active());
        let mut opens: Option<Duration> = None;
        for (target, _) in active {
            let closed = self.closed_for(&waiting.ask, target, waited);
            if closed.is_zero() {
                return None;
            }
            opens = Some(opens.map_or(closed, |least| least.min(closed)));
        }
        let opens = opens?;
        let useful_until = waiting.objective_start.unwrap_or(waiting.latest_start);
        (now + opens > useful_until).then(|| opens.min(MAX_RETRY_AFTER))
    }

    /// Refuses a call to which all upstreams are closed: each has refused it, or its VM is closed out.
    pub(super) fn refuse_closed_ask(
        &mut self,
        waiting: WaitingAsk,
        wait: Duration,
        actions: &mut Vec<PlacerAction>,
    ) {
        let retry = waiting.ask.attempt > 1 && !waiting.ask.need.hedge;
        let reason = if retry { RefusalReason::UpstreamsRefused } else { RefusalReason::Saturated };
        self.refuse(waiting.id, reason, wait, actions);
    }

    /// Refuses queued calls for which no upstream opens in useful time any more, because the upstreams open to
    /// them have been lost.
    pub(super) fn refuse_closed(&mut self, now: Moment, actions: &mut Vec<PlacerAction>) {
        if !self.queue.has_closed_upstreams() {
            return;
        }
        for index in self.queue.matching(|waiting| self.closed_retry_after(waiting, now).is_some())
        {
            let Some(wait) = self.closed_retry_after(self.queue.get(index), now) else { continue };
            let waiting = self.queue.remove(index);
            self.refuse_closed_ask(waiting, wait, actions);
        }
    }
}
