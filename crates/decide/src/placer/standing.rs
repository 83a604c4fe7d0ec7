//! Ejection, trial, return and the floor.
//!
//! Load: gray failures, stragglers and flapping upstreams among 8 to 15, and the loss of others at
//! the same time. Harm prevented: callers are sent to what fails; the service is starved by the cure.
//!
//! Reasons for the limits:
//!
//! - The floor counts the slots of members, cold ones only as far as they have warmed up. No ejection
//!   goes below it. When another loss brings the members to the floor, the least bad ejected one
//!   returns in the same decision: work that fails in part is better than work that is refused.
//! - A bad member that the floor protects takes the place of a much less bad one that is out.
//! - When most of the others look bad as well, the cause is shared and no ejection helps: demand is
//!   halved at each upstream, second runs stop, and the evidence is halved.
//! - The time out doubles with each ejection that follows a return soon, so the share of time that a
//!   flapping upstream takes work falls; it is drawn within a tenth, so that it does not beat in time
//!   with the flapping.
//! - A trial is one idempotent call at a time, three in a row for the first ejection and more after
//!   others. Where no idempotent call comes by, the upstream returns on its ramp after a second time
//!   out: ejections always end by themselves.

use super::{
    EjectReason, PlacerAction, ReturnReason, ServicePlacer,
    grants::OwnGrant,
    target::{Standing, StartTime},
};
use model::{call::OutcomeClass, moment::Moment, names::UpstreamName, slot::SlotSettle};
use rand::Rng;
use std::time::Duration;

/// For how long a cause is taken to be shared after it was last seen so.
const SHARED_SPAN: Duration = Duration::from_secs(2);

/// From this part of the threshold on another upstream looks bad as well: one failure a moment ago.
const ALSO_BAD: f64 = 0.25;

/// When a third of the others look bad, or entries of one failure domain alone saw the failures, the
/// verdict waits until the evidence is this many times the
/// threshold: an outage that has just begun shows at some upstreams a few calls earlier than at the
/// rest. A fault of the upstream itself brings that evidence within as many calls again by half.
const DOUBTFUL: f64 = 1.5;

/// How often the time out is doubled at most, and its greatest length.
const DOUBLINGS_LIMIT: u32 = 6;
const LONGEST_EJECTION: Duration = Duration::from_secs(600);

/// An upstream that answers at least this part of what its peers answer keeps up with them.
const KEEPS_UP: f64 = 0.75;

/// An ejection within so many first time outs after a return counts as flapping.
const FLAP_MEMORY: u32 = 10;

/// How many trial calls have to go well for the first ejection; each later one doubles it.
const TRIAL_CALLS: u32 = 3;
const TRIAL_DOUBLINGS_LIMIT: u32 = 3;

/// So many late answers end a trial. A tenth of a healthy upstream's answers is late by definition,
/// so one proves nothing.
const TRIAL_LATE_LIMIT: u32 = 2;

/// A member takes the place of an ejected one when it is so many times as bad.
const WORSE_FACTOR: f64 = 2.0;

/// Losses within this time are one.
const LOSS_SPAN: Duration = Duration::from_secs(1);

/// When more than this part of the slots is lost at once, the others' windows start at half: less
/// than one of four failure domains, more than one of eight upstreams.
const WAVE_PART: u32 = 6;

impl ServicePlacer {
    /// Decides what comes of a member whose evidence has reached its threshold.
    pub(super) fn judge_member(
        &mut self,
        target: u32,
        reason: EjectReason,
        now: Moment,
        actions: &mut Vec<PlacerAction>,
    ) {
        let (bad, all) = self.others_that_look_bad(target);
        if bad * 2 > all {
            return self.meet_shared_cause(target, now);
        }
        let lone =
            reason == EjectReason::Failures && self.detector.lone_domain(target as usize).is_some();
        let doubtful = lone || bad > 0 && bad * 3 >= all;
        if doubtful && self.detector.suspicion(target as usize) < DOUBTFUL {
            return;
        }
        if reason == EjectReason::Latency && self.is_overfilled(target) {
            return self.fill_less(target, now);
        }
        let badness = self.detector.badness(target as usize);
        if !self.floor_allows(target, 0, now) && !self.make_room(target, badness, now, actions) {
            return;
        }
        let flapping = self.is_flapping(target, now);
        let member = self.targets.get_mut(target);
        member.badness = badness;
        member.flaps = if flapping { member.flaps + 1 } else { 0 };
        self.eject(target, reason, now, actions);
    }

    /// Tells whether an upstream is late because it is given more than its peers: it has more calls
    /// at once and answers about as many. A straggler answers fewer.
    fn is_overfilled(&self, target: u32) -> bool {
        let state = self.targets.get(target);
        let others = self.targets.iter().filter(|(_, other)| other.is_member()).count() - 1;
        let others = others as f64;
        // The call that has just ended ran there as well.
        let level = f64::from(state.busy + 1);
        let busier = level * others > f64::from(self.targets.busy() - state.busy);
        let (own, all) = self.detector.answers(target as usize);
        let keeps_up = own * others >= (all - own) * KEEPS_UP;
        busier && keeps_up && state.limit.current() > 1
    }

    fn fill_less(&mut self, target: u32, now: Moment) {
        let state = self.targets.get_mut(target);
        let busy = state.busy;
        state.limit.shed(busy, now);
        self.detector.discount(target as usize);
        self.targets.refresh(target, now);
    }

    fn is_flapping(&self, target: u32, now: Moment) -> bool {
        let returned = self.targets.get(target).returned;
        returned.is_some_and(|returned| now.since(returned) < self.first_span() * FLAP_MEMORY)
    }

    fn first_span(&self) -> Duration {
        Duration::from_millis(u64::from(self.settings.rule.ejection_ms.max(1)))
    }

    fn floor(&self) -> u32 {
        self.settings.rule.floor_slots.max(1)
    }

    /// Tells whether the floor holds without `target` and with `more` slots.
    fn floor_allows(&self, target: u32, more: u32, now: Moment) -> bool {
        let own = self.targets.get(target).warm_slots(self.targets.ramp(), now);
        self.targets.warm_slots(now) + more - own >= self.floor()
    }

    /// Brings back an ejected upstream that is much less bad, if the floor then allows to eject
    /// `target`. The return stands before the ejection, so the floor holds in between as well.
    fn make_room(
        &mut self,
        target: u32,
        badness: f64,
        now: Moment,
        actions: &mut Vec<PlacerAction>,
    ) -> bool {
        let Some(other) = self.least_bad_out() else { return false };
        let out = self.targets.get(other);
        let (better, slots) = (out.badness * WORSE_FACTOR < badness, out.announcement.slots);
        if !better || !self.floor_allows(target, slots, now) {
            return false;
        }
        self.give_back(other, ReturnReason::Floor, now, actions);
        true
    }

    fn least_bad_out(&self) -> Option<u32> {
        let out = self.targets.serving().filter(|(_, target)| target.standing != Standing::Member);
        let least = out.min_by(|a, b| a.1.badness.total_cmp(&b.1.badness));
        least.map(|(target, _)| target)
    }

    fn others_that_look_bad(&self, target: u32) -> (u32, u32) {
        let others = self.targets.serving().filter(|(other, _)| *other != target);
        let (mut bad, mut all) = (0, 0);
        for (other, state) in others {
            let out = state.standing != Standing::Member;
            let suspect = self.detector.suspicion(other as usize) >= ALSO_BAD;
            bad += u32::from(out || suspect);
            all += 1;
        }
        (bad, all)
    }

    fn meet_shared_cause(&mut self, target: u32, now: Moment) {
        let fresh = self.shared_until <= now;
        self.shared_until = now + SHARED_SPAN;
        self.detector.discount(target as usize);
        if fresh {
            self.squeeze(now);
        }
    }

    fn eject(
        &mut self,
        target: u32,
        reason: EjectReason,
        now: Moment,
        actions: &mut Vec<PlacerAction>,
    ) {
        let flaps = self.targets.get(target).flaps.min(DOUBLINGS_LIMIT);
        let span = (self.first_span() * (1 << flaps)).min(LONGEST_EJECTION);
        let span = span.mul_f64(self.random.random_range(0.9..1.1));
        self.stay_out(target, now + span, reason, now, actions);
    }

    fn stay_out(
        &mut self,
        target: u32,
        until: Moment,
        reason: EjectReason,
        now: Moment,
        actions: &mut Vec<PlacerAction>,
    ) {
        let span = until.since(now);
        self.targets.stand(target, Standing::Ejected { until, span }, now);
        self.detector.clear(target as usize);
        self.revoke_unused(target, actions);
        actions.push(PlacerAction::Eject {
            service: self.settings.service.clone(),
            upstream: self.targets.get(target).announcement.upstream.clone(),
            until,
            reason,
            queued: self.queued(),
        });
        self.note_loss(self.targets.get(target).announcement.slots, now);
    }

    /// Leaves an upstream out until a moment, as the placer before this one decided, unless that would
    /// take the service below its floor.
    ///
    /// Load: a change of placer while an upstream fails, which a planned stop or a lost VM brings
    /// about at any time. Harm prevented: the new placer knows nothing, sends it work and has to
    /// find the failure once more, at the callers' cost. Reason for the limits: the floor is this
    /// placer's to guard, whoever decided; and no ejection lasts longer than its own might.
    pub fn adopt_ejection(
        &mut self,
        upstream: &UpstreamName,
        until: Moment,
        now: Moment,
        actions: &mut Vec<PlacerAction>,
    ) {
        self.begin(now);
        let Some(target) = self.targets.index(upstream) else { return };
        let takes_work = self.targets.serving().any(|(serving, _)| serving == target);
        let is_member = self.targets.get(target).is_member();
        if !takes_work || !is_member || until <= now || !self.floor_allows(target, 0, now) {
            return;
        }
        let until = until.min(now + LONGEST_EJECTION);
        self.stay_out(target, until, EjectReason::Adopted, now, actions);
    }

    /// Ends ejections and trials whose time is over.
    pub(super) fn end_standings(&mut self, now: Moment, actions: &mut Vec<PlacerAction>) {
        while let Some(target) = self.targets.next_over(now) {
            match self.standing_of(target) {
                Standing::Ejected { span, .. } => {
                    let flaps = self.targets.get(target).flaps.min(TRIAL_DOUBLINGS_LIMIT);
                    let needed = TRIAL_CALLS << flaps;
                    let ends = now + span;
                    let trial =
                        Standing::Trial { passed: 0, late: 0, needed, running: false, ends };
                    self.targets.stand(target, trial, now);
                }
                Standing::Trial { .. } | Standing::Member => {
                    self.give_back(target, ReturnReason::Expired, now, actions);
                }
            }
        }
    }

    pub(super) fn begin_trial_call(&mut self, target: u32, now: Moment) {
        self.set_trial_running(target, true, now);
    }

    pub(super) fn forget_trial(&mut self, grant: &OwnGrant, now: Moment) {
        if grant.trial {
            self.set_trial_running(grant.target, false, now);
        }
    }

    fn set_trial_running(&mut self, target: u32, now_running: bool, now: Moment) {
        let mut standing = self.standing_of(target);
        if let Standing::Trial { running, .. } = &mut standing {
            *running = now_running;
            self.targets.stand(target, standing, now);
        }
    }

    pub(super) fn judge_trial(
        &mut self,
        grant: &OwnGrant,
        settle: &SlotSettle,
        now: Moment,
        actions: &mut Vec<PlacerAction>,
    ) {
        self.set_trial_running(grant.target, false, now);
        let Standing::Trial { passed, late, needed, running, ends } =
            self.standing_of(grant.target)
        else {
            return;
        };
        let (mut passed, mut late) = (passed, late);
        match settle.outcome {
            OutcomeClass::Success if self.was_late(grant.route, settle.took_us) => late += 1,
            OutcomeClass::Success => passed += 1,
            outcome if is_failure(outcome) => late = TRIAL_LATE_LIMIT,
            _ => (),
        }
        if late >= TRIAL_LATE_LIMIT {
            self.targets.get_mut(grant.target).flaps += 1;
            return self.eject(grant.target, EjectReason::TrialFailed, now, actions);
        }
        if passed >= needed {
            return self.give_back(grant.target, ReturnReason::TrialPassed, now, actions);
        }
        let trial = Standing::Trial { passed, late, needed, running, ends };
        self.targets.stand(grant.target, trial, now);
    }

    fn was_late(&self, route: usize, took_us: u64) -> bool {
        self.detector.times(route).is_some_and(|times| took_us > times.p90)
    }

    fn give_back(
        &mut self,
        target: u32,
        reason: ReturnReason,
        now: Moment,
        actions: &mut Vec<PlacerAction>,
    ) {
        self.detector.clear(target as usize);
        let state = self.targets.get_mut(target);
        state.returned = Some(now);
        // What the floor calls back is needed whole and at once; all others ramp.
        if reason != ReturnReason::Floor {
            state.ramp_from = StartTime::at(now);
        }
        state.suspect = reason == ReturnReason::Floor;
        let upstream = state.announcement.upstream.clone();
        self.targets.stand(target, Standing::Member, now);
        let service = self.settings.service.clone();
        actions.push(PlacerAction::Return { service, upstream, reason });
    }

    /// Brings ejected upstreams back while the members are below the floor.
    pub(super) fn keep_floor(&mut self, now: Moment, actions: &mut Vec<PlacerAction>) {
        while self.targets.healthy_slots() < self.floor() {
            let Some(target) = self.least_bad_out() else { return };
            self.give_back(target, ReturnReason::Floor, now, actions);
        }
    }

    /// Follows the loss of an upstream: its lease ran out, or it leaves.
    pub(super) fn lose(&mut self, target: u32, now: Moment, actions: &mut Vec<PlacerAction>) {
        let was_member = self.standing_of(target) == Standing::Member;
        self.revoke_unused(target, actions);
        self.detector.clear(target as usize);
        if was_member {
            self.note_loss(self.targets.get(target).announcement.slots, now);
        }
        self.keep_floor(now, actions);
        self.refuse_hopeless(now, actions);
    }

    /// Follows the start of an upstream that is new or was started anew.
    pub(super) fn start_target(
        &mut self,
        target: u32,
        now: Moment,
        actions: &mut Vec<PlacerAction>,
    ) {
        self.detector.clear(target as usize);
        self.paths.forget_target(target);
        if self.standing_of(target) != Standing::Member {
            self.give_back(target, ReturnReason::Restarted, now, actions);
        }
    }

    /// Paces the work that moves when much is lost at once.
    ///
    /// Load: a failure domain is lost, and a quarter of the work moves to the rest within a second.
    /// Harm prevented: the wave breaks the next upstreams, whose announced slots mislead, and so on
    /// through all. Reason for the limit: starting at half of the slots (or at what runs already) and
    /// doubling with each round of successes costs a healthy upstream two service times, and stops at
    /// the first shed answer of one that has no room.
    fn note_loss(&mut self, slots: u32, now: Moment) {
        if now.since(self.recent_loss.0) > LOSS_SPAN {
            self.recent_loss = (now, 0);
        }
        self.recent_loss.1 += slots;
        let lost = self.recent_loss.1;
        if lost * WAVE_PART > self.targets.healthy_slots() + lost {
            self.recent_loss = (now, 0);
            self.squeeze(now);
        }
    }

    fn squeeze(&mut self, now: Moment) {
        self.squeezed = Some(now);
        let members = self.targets.iter().filter(|(_, target)| target.is_member());
        let members: Vec<u32> = members.map(|(target, _)| target).collect();
        for target in members {
            let state = self.targets.get_mut(target);
            let busy = state.busy;
            state.limit.squeeze(busy);
            self.targets.refresh(target, now);
        }
    }

    /// Returns the slots that serve the queue. For a moment after the windows were halved that is
    /// what they will have grown to again: calls are not refused for a pause of two service times.
    pub(super) fn sustained_slots(&self) -> u32 {
        let pausing = self.squeezed.is_some_and(|at| self.seen.since(at) < LOSS_SPAN);
        if pausing { self.targets.healthy_slots() } else { self.targets.room() }
    }
}

fn is_failure(outcome: OutcomeClass) -> bool {
    matches!(
        outcome,
        OutcomeClass::ErrorAnswer
            | OutcomeClass::Timeout
            | OutcomeClass::ConnectFailure
            | OutcomeClass::CutAnswer
            | OutcomeClass::Crash
    )
}
