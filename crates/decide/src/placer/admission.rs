//! Which call is refused, and when its caller should come back.
//!
//! Load: bursts of ten times the capacity, full saturation, the loss of a failure domain. Harm
//! prevented: calls wait until their deadlines only to be told then that nothing was run, and slots go
//! to calls whose callers have gone. So a call that cannot make its deadline by what is measured is
//! refused at once, as not run, with the time after which the backlog will have gone. The same look is
//! taken again whenever capacity is lost, so a call that has become hopeless in the queue is told so
//! then, not at its deadline.
//!
//! Reasons for the limits: a route's 10th percentile is the time that a call needs at least, so only
//! calls that nine in ten would lose are refused for it; the wait is what stands before the call in
//! its caller's turn, times the mean hold of a slot, by the slots in use.

use super::{AskId, PlacerAction, ServicePlacer, placing::SlotSeeker};
use model::{
    call::{CallRefusal, RefusalReason},
    moment::Moment,
    slot::{RequestFingerprint, SlotAsk},
};
use std::time::Duration;

/// How much one call weighs in the mean hold of a slot.
const HOLD_WEIGHT: f64 = 1.0 / 64.0;

/// From how many calls on the mean is used.
const HOLD_SAMPLES: u32 = 32;

/// How often the queue is looked through. Between the looks its first call's deadline is kept.
const REVIEW_PERIOD: Duration = Duration::from_millis(50);

/// The longest and shortest time after which a caller is told to come back. Below the shortest the
/// answer itself takes longer; beyond the longest nobody can tell.
const COME_BACK: (Duration, Duration) = (Duration::from_millis(20), Duration::from_secs(60));

/// When to come back to a service without upstreams, or in a shared outage: a new announcement
/// reaches the fleet in about a second.
pub(super) const COME_BACK_LATER: Duration = Duration::from_secs(1);

/// How long a call holds a slot, on average.
#[derive(Debug, Default)]
pub(super) struct HoldMeter {
    mean_us: f64,
    calls: u32,
}

impl HoldMeter {
    pub(super) fn note(&mut self, held: Duration) {
        self.calls = self.calls.saturating_add(1);
        let weight = HOLD_WEIGHT.max(1.0 / f64::from(self.calls));
        self.mean_us += (held.as_micros() as f64 - self.mean_us) * weight;
    }

    pub(super) fn mean(&self) -> Duration {
        Duration::from_micros(self.mean_us as u64)
    }

    /// Returns the mean in microseconds once there are enough calls.
    fn known_us(&self) -> Option<f64> {
        (self.calls >= HOLD_SAMPLES).then_some(self.mean_us)
    }
}

impl ServicePlacer {
    pub(super) fn admit(
        &mut self,
        id: AskId,
        ask: SlotAsk,
        now: Moment,
        actions: &mut Vec<PlacerAction>,
    ) {
        if self.queue.contains(&id) {
            return;
        }
        if let Some((reason, wait)) = self.refusal_of(&ask, now, actions) {
            return self.refuse(id, reason, wait, actions);
        }
        let waiting = self.waiting(id, ask, now);
        if waiting.latest_start < now {
            return self.refuse(
                waiting.id,
                RefusalReason::DeadlineTooShort,
                Duration::ZERO,
                actions,
            );
        }
        if self.queue.is_empty() {
            let entry = self.entries.of(&waiting.id.entry);
            let domain = self.targets.domain(&waiting.ask.domain);
            let seeker = SlotSeeker { ask: &waiting.ask, entry, domain };
            if let Some((target, reason)) = self.choose(seeker) {
                return self.grant(waiting, target, reason, now, actions);
            }
        }
        let late = self.lateness(&waiting.ask, waiting.latest_start, now);
        if !late.is_zero() {
            self.capacity.note_refused(now);
            return self.refuse(waiting.id, RefusalReason::DeadlineTooShort, late, actions);
        }
        if self.queue.len() >= self.settings.rule.queue_limit as usize
            && !self.displace(&waiting.ask, now, actions)
        {
            self.capacity.note_refused(now);
            return self.refuse(waiting.id, RefusalReason::Saturated, self.drain_time(), actions);
        }
        self.queue.push(waiting);
        self.place(now, actions);
    }

    /// Returns why a call is refused whatever the queue looks like.
    fn refusal_of(
        &mut self,
        ask: &SlotAsk,
        now: Moment,
        actions: &mut Vec<PlacerAction>,
    ) -> Option<(RefusalReason, Duration)> {
        if let Some(wait) = self.poisonous_for(ask.fingerprint, now, actions) {
            return Some((RefusalReason::Poisonous, wait));
        }
        if self.targets.serving().next().is_none() {
            return Some((RefusalReason::NoUpstream, COME_BACK_LATER));
        }
        // In a shared outage a second run would meet what the first one met and add to the load. A
        // call that is not idempotent asks again only when it was not run, so it is no second run.
        let second_run = ask.attempt > 1 && ask.class.is_idempotent();
        let shared = self.shared_until.since(now);
        (second_run && !shared.is_zero()).then_some((RefusalReason::Saturated, shared))
    }

    /// Returns for how long a request is refused because it crashes upstreams.
    pub(super) fn poisonous_for(
        &mut self,
        fingerprint: RequestFingerprint,
        now: Moment,
        actions: &mut Vec<PlacerAction>,
    ) -> Option<Duration> {
        use crate::poison::SuspectVerdict;
        if let Some(until) = self.poison.refused_until(fingerprint, now) {
            return Some(until.since(now));
        }
        if self.suspects.is_empty() {
            return None;
        }
        match self.suspects.judge(fingerprint, now) {
            SuspectVerdict::Run => None,
            SuspectVerdict::Wait(wait) => Some(wait),
            SuspectVerdict::Convict => Some(self.convict(fingerprint, now, actions)),
        }
    }

    /// Returns the last moment at which a slot is of use to a call: its route's fastest tenth would
    /// still make the deadline.
    pub(super) fn latest_start(&mut self, ask: &SlotAsk, now: Moment, deadline: Moment) -> Moment {
        let route = self.routes.of(&ask.route) as usize;
        let shortest = self.detector.times(route).map_or(0, |times| times.p10);
        let spare = deadline.since(now).as_micros() as u64;
        match spare.checked_sub(shortest) {
            Some(rest) => now + Duration::from_micros(rest),
            None => Moment::from_micros(now.as_micros().saturating_sub(1)),
        }
    }

    /// Returns by how much a call would be too late if it queued now.
    fn lateness(&self, ask: &SlotAsk, latest_start: Moment, now: Moment) -> Duration {
        let Some(pace_us) = self.pace_us() else { return Duration::ZERO };
        let ahead = self.queue.ahead_of(&ask.caller) as f64;
        let start = now + Duration::from_micros((ahead * pace_us) as u64);
        start.since(latest_start)
    }

    /// Returns how often a slot comes free, in microseconds; `None` while that is not known.
    fn pace_us(&self) -> Option<f64> {
        if self.recounting {
            return None;
        }
        let slots = f64::from(self.sustained_slots().max(1));
        self.hold.known_us().map(|hold| hold / slots)
    }

    /// Returns the time until what waits now has been served.
    fn drain_time(&self) -> Duration {
        let pace = self.pace_us().unwrap_or(0.0);
        let drained = Duration::from_micros((pace * (self.queue.len() + 1) as f64) as u64);
        drained.max(COME_BACK.0)
    }

    /// Makes room in a full queue at the cost of the caller with the most calls in it. Returns
    /// whether it did.
    fn displace(&mut self, ask: &SlotAsk, now: Moment, actions: &mut Vec<PlacerAction>) -> bool {
        let Some(place) = self.queue.last_of_longest(&ask.caller) else { return false };
        let waiting = self.queue.remove(place);
        self.capacity.note_refused(now);
        self.refuse(waiting.id, RefusalReason::Saturated, self.drain_time(), actions);
        true
    }

    /// Refuses what has become hopeless since it was queued.
    pub(super) fn review_queue(&mut self, now: Moment, actions: &mut Vec<PlacerAction>) {
        while self.queue.first_start().is_some_and(|start| start <= now) {
            let place = self.queue.first_place().expect("the queue has a first call");
            let waiting = self.queue.remove(place);
            self.refuse_late(waiting.id, now, actions);
        }
        let due = now.since(self.last_review) >= REVIEW_PERIOD;
        if due {
            self.last_review = now;
            self.refuse_hopeless(now, actions);
        }
    }

    pub(super) fn refuse_hopeless(&mut self, now: Moment, actions: &mut Vec<PlacerAction>) {
        if self.queue.is_empty() {
            return;
        }
        if self.targets.serving().next().is_none() {
            for place in self.queue.matching(|_| true) {
                let waiting = self.queue.remove(place);
                self.refuse(waiting.id, RefusalReason::NoUpstream, COME_BACK_LATER, actions);
            }
            return;
        }
        let Some(pace_us) = self.pace_us() else { return };
        for place in self.queue.hopeless(pace_us, now) {
            let waiting = self.queue.remove(place);
            self.refuse_late(waiting.id, now, actions);
        }
    }

    pub(super) fn refuse_late(&mut self, id: AskId, now: Moment, actions: &mut Vec<PlacerAction>) {
        self.capacity.note_refused(now);
        let wait = self.drain_time();
        self.refuse(id, RefusalReason::DeadlineTooShort, wait, actions);
    }

    /// Refuses a call; a zero wait says that time changes nothing.
    pub(super) fn refuse(
        &mut self,
        to: AskId,
        reason: RefusalReason,
        wait: Duration,
        actions: &mut Vec<PlacerAction>,
    ) {
        self.refused += 1;
        let refusal = if wait.is_zero() {
            CallRefusal::lasting(reason)
        } else {
            let wait = wait.clamp(COME_BACK.0, COME_BACK.1);
            CallRefusal::passing(reason, wait.as_micros().div_ceil(1_000) as u32)
        };
        let (service, queued) = (self.settings.service.clone(), self.queued());
        actions.push(PlacerAction::Refuse { to, service, refusal, queued });
    }
}
