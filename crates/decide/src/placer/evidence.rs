//! What an outcome says of its upstream, its request and its path.
//!
//! Charged to the upstream: error answers, timeouts, cut answers, connect failures, crashes. Never
//! charged: stale connections (something between the ends lost track of them), shed and draining
//! answers (back-pressure, which lowers the limit instead), cancelled calls, unused grants, and slow
//! answers of a cold upstream or of one that has just shed.

use super::{
    AskId, EjectReason, PlacerAction, ServicePlacer, grants::OwnGrant, spread::PathSource,
    target::Standing,
};
use crate::{
    detect::{DetectionVerdict, Evidence, EvidenceSource},
    poison::POISON_SPAN,
};
use model::{
    call::{OutcomeClass, RefusalReason},
    moment::Moment,
    slot::{RequestFingerprint, SlotSettle},
};
use std::time::Duration;

/// Calls that ran at a crash all end by it. Crashes closer together than this are one.
const CRASH_SPAN: Duration = Duration::from_millis(100);

/// From this part of the threshold on an upstream that is not ejected (the floor protects it, or the
/// cause may be shared) is used only when nothing else is free. Not earlier: an upstream that gets
/// less work brings less evidence, and is found later.
const SUSPECT_FROM: f64 = 1.0;

/// From this part of the threshold on entries of other domains are asked for their opinion: about two
/// failures, so that it is there when the threshold is reached.
const OPINION_FROM: f64 = 0.4;

impl ServicePlacer {
    pub(super) fn take_outcome(
        &mut self,
        grant: &OwnGrant,
        settle: &SlotSettle,
        now: Moment,
        actions: &mut Vec<PlacerAction>,
    ) {
        if ran(settle.outcome) {
            self.hold.note(now.since(grant.granted));
        }
        self.note_request(grant, settle.outcome, now, actions);
        if self.targets.incarnation(grant.target) != grant.incarnation {
            return;
        }
        self.follow_limit(grant, settle, now);
        if !self.targets.get(grant.target).serves() {
            // It leaves or is lost: there is nothing left to eject or to return.
            return self.forget_trial(grant, now);
        }
        if grant.trial {
            return self.judge_trial(grant, settle, now, actions);
        }
        if self.standing_of(grant.target) != Standing::Member {
            return;
        }
        if let Some(evidence) = self.evidence_of(grant, settle, now) {
            self.weigh(grant, evidence, now, actions);
        }
    }

    /// Charges or clears the request itself.
    fn note_request(
        &mut self,
        grant: &OwnGrant,
        outcome: OutcomeClass,
        now: Moment,
        actions: &mut Vec<PlacerAction>,
    ) {
        match outcome {
            OutcomeClass::Success => {
                if !self.suspects.is_empty() {
                    self.suspects.succeed(grant.fingerprint);
                }
                if grant.attempt > 1 {
                    let deadline = grant.ends;
                    self.overtook.insert((grant.entry, grant.call), deadline);
                }
            }
            OutcomeClass::Crash => {
                let running = self.grants.running(grant.fingerprint);
                let (print, target) = (grant.fingerprint, grant.target);
                if self.suspects.crash(print, target, grant.granted, running, now) {
                    self.convict(print, now, actions);
                }
            }
            _ => (),
        }
    }

    /// Refuses a request for the whole fleet, those of it that wait included. Returns for how long.
    pub(super) fn convict(
        &mut self,
        fingerprint: RequestFingerprint,
        now: Moment,
        actions: &mut Vec<PlacerAction>,
    ) -> Duration {
        let until = now + POISON_SPAN;
        self.poison.add(fingerprint, until);
        actions.push(PlacerAction::Poison { fingerprint, until });
        for place in self.queue.matching(|waiting| waiting.ask.fingerprint == fingerprint) {
            let id: AskId = self.queue.remove(place).id;
            self.refuse(id, RefusalReason::Poisonous, POISON_SPAN, actions);
        }
        POISON_SPAN
    }

    fn follow_limit(&mut self, grant: &OwnGrant, settle: &SlotSettle, now: Moment) {
        let ratio = self.time_ratio(grant.route, settle.took_us);
        let ramp = self.targets.ramp();
        let target = self.targets.get_mut(grant.target);
        match settle.outcome {
            OutcomeClass::Shed => target.limit.shed(grant.level, now),
            OutcomeClass::Success => {
                let warm = !target.is_cold(ramp, now);
                target.limit.success(grant.level, ratio.filter(|_| warm), now);
                let to = target.domain;
                if let (true, Some(ratio)) = (warm, ratio) {
                    self.costs.note(grant.domain, to, ratio);
                }
            }
            _ => return,
        }
        self.targets.refresh(grant.target, now);
    }

    fn time_ratio(&self, route: usize, took_us: u64) -> Option<f64> {
        let times = self.detector.times(route)?;
        (times.p50 > 0).then(|| took_us as f64 / times.p50 as f64)
    }

    fn evidence_of(
        &mut self,
        grant: &OwnGrant,
        settle: &SlotSettle,
        now: Moment,
    ) -> Option<Evidence> {
        let ramp = self.targets.ramp();
        let target = self.targets.get(grant.target);
        let cold = target.is_cold(ramp, now) || target.limit.is_pressed(now);
        match settle.outcome {
            OutcomeClass::Success if cold => Some(Evidence::UntimedAnswer),
            OutcomeClass::Success => Some(Evidence::Answer(settle.took_us)),
            OutcomeClass::Timeout => self.timeout_evidence(grant, settle, cold),
            OutcomeClass::ErrorAnswer | OutcomeClass::ConnectFailure | OutcomeClass::CutAnswer => {
                Some(Evidence::Failure)
            }
            OutcomeClass::Crash => self.crash_evidence(grant.target, now),
            OutcomeClass::Cancelled if !cold => self.overtaken_evidence(grant, settle),
            OutcomeClass::Cancelled
            | OutcomeClass::StaleConnection
            | OutcomeClass::Shed
            | OutcomeClass::Draining
            | OutcomeClass::Unused => None,
        }
    }

    /// A call whose time was shorter than one answer in ten needs says nothing of its upstream.
    fn timeout_evidence(
        &self,
        grant: &OwnGrant,
        settle: &SlotSettle,
        cold: bool,
    ) -> Option<Evidence> {
        let times = self.detector.times(grant.route);
        let was_short = times.is_some_and(|times| settle.took_us <= times.p90);
        (!cold && !was_short).then_some(Evidence::Failure)
    }

    fn crash_evidence(&mut self, target: u32, now: Moment) -> Option<Evidence> {
        let target = self.targets.get_mut(target);
        let same = target.last_crash.is_some_and(|last| now.since(last) < CRASH_SPAN);
        if !same {
            target.last_crash = Some(now);
        }
        (!same).then_some(Evidence::Failure)
    }

    /// A first try that was cancelled because the second was faster did run that long. Without this a
    /// straggler whose calls are all hedged would never answer late.
    fn overtaken_evidence(&self, grant: &OwnGrant, settle: &SlotSettle) -> Option<Evidence> {
        let overtaken = self.overtook.contains_key(&(grant.entry, grant.call));
        overtaken.then_some(Evidence::Overtaken(settle.took_us))
    }

    fn weigh(
        &mut self,
        grant: &OwnGrant,
        evidence: Evidence,
        now: Moment,
        actions: &mut Vec<PlacerAction>,
    ) {
        let source = EvidenceSource {
            upstream: grant.target as usize,
            route: grant.route,
            entry: grant.entry,
            domain: grant.domain,
        };
        if self.paths.is_broken(grant.entry, grant.domain, grant.target) {
            return;
        }
        let target = grant.target;
        match self.detector.observe(&source, evidence, now) {
            DetectionVerdict::Calm => (),
            DetectionVerdict::EntryPath(entry) => {
                self.break_path(PathSource::Entry(entry), target, now);
            }
            DetectionVerdict::DomainPath(domain) => {
                self.break_path(PathSource::Domain(domain), target, now);
            }
            DetectionVerdict::Failing => {
                self.judge_member(target, EjectReason::Failures, now, actions);
            }
            DetectionVerdict::Late => self.judge_member(target, EjectReason::Latency, now, actions),
        }
        self.mark_suspect(target, now);
    }

    fn break_path(&mut self, source: PathSource, target: u32, now: Moment) {
        let span = Duration::from_millis(u64::from(self.settings.rule.ejection_ms));
        self.paths.add(source, target, now + span);
    }

    fn mark_suspect(&mut self, target: u32, now: Moment) {
        let doubtful = self.detector.suspicion(target as usize) >= OPINION_FROM;
        let domain = self.detector.lone_domain(target as usize).filter(|_| doubtful);
        if self.targets.get(target).doubted_by != domain {
            self.targets.doubt(target, domain);
        }
        let suspect = self.detector.suspicion(target as usize) >= SUSPECT_FROM;
        if self.targets.get(target).suspect != suspect {
            self.targets.get_mut(target).suspect = suspect;
            self.targets.refresh(target, now);
        }
    }
}

/// Tells whether the call held its slot for as long as its work took.
fn ran(outcome: OutcomeClass) -> bool {
    !matches!(
        outcome,
        OutcomeClass::Unused
            | OutcomeClass::Shed
            | OutcomeClass::Draining
            | OutcomeClass::ConnectFailure
    )
}
