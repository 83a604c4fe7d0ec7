//! The calls that wait for a retry, and the first attempts that are held, while a whole service turns calls away.
//!
//! Load: for seconds each upstream refuses a large part of its calls, and more calls are turned away than
//! the budget has retries for. Harm prevented: retries go to whoever asks first and are refused again,
//! while others are refused for want of a retry that would have served them once the spell is over. So
//! first attempts, which cost no budget, are held for the slack of their objectives; they are sent then at
//! the latest, and a few of them earlier, to detect the end. Calls that were turned away wait for a
//! retry until the end or until their latest useful start. Only what the budget has beyond the calls
//! that wait and that are about to be turned away is used before.
//!
//! At the end calls are released by what is known: no more attempts are open at once than may be lost
//! if the spell goes on after all. Where no spell is on nothing is held; a call that was turned away
//! waits only while the budget is spent.

use super::{
    AskId, PlacerAction, ServicePlacer,
    admission::RETRIES_LATER,
    grants::OwnGrant,
    queue::{AskQueue, WaitingAsk},
};
use crate::{
    retries::RetryUse,
    spell::{SpellBelief, SpellChange},
};
use model::{
    call::{OutcomeClass, RefusalReason},
    moment::Moment,
    numbers::CallNumber,
    slot::{SlotAsk, SlotSettle},
};
use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

/// From which share of refused attempts on first attempts are held: "most" calls are turned away.
const HOLD_FROM: f64 = 0.4;

/// How long before its last moment a waiting call is released, so that its grant arrives in time.
const RELEASE_MARGIN: Duration = Duration::from_millis(60);

/// The longest time without an attempt in a spell. Some ten accepted attempts tell its end.
const PROBE_PERIOD: Duration = Duration::from_millis(25);

/// For how long the retries of calls that are about to be turned away are kept in a spell.
const RESERVE_SPAN: Duration = Duration::from_secs(3);

/// What a late answer is worth at most, in parts of one in good time.
const LATE_WORTH: f64 = 0.75;

/// How many attempts may be lost if a spell that seems over goes on.
const RELEASE_RISK: f64 = 8.0;

/// For how long it is remembered that a call was turned away. Its entry asks again at once.
const TURNED_AWAY_KEPT: Duration = Duration::from_secs(2);

/// The longest time after which a caller refused in a spell is told to come back. A spell is taken to
/// last as long again as it has lasted.
const LONGEST_COME_BACK: Duration = Duration::from_secs(2);

/// The part of the queue limit up to which first attempts are held.
const HELD_DIVISOR: usize = 2;

/// First attempts by the moment at which they are sent at the latest.
#[derive(Debug, Default)]
struct HeldFirsts {
    by_release: BTreeMap<(Moment, u64), WaitingAsk>,
    by_id: BTreeMap<AskId, (Moment, u64)>,
    last: u64,
}

impl HeldFirsts {
    fn push(&mut self, waiting: WaitingAsk, until: Moment) {
        self.last += 1;
        let key = (until, self.last);
        self.by_id.insert(waiting.id.clone(), key);
        self.by_release.insert(key, waiting);
    }

    fn next_release(&self) -> Option<Moment> {
        self.by_release.first_key_value().map(|(&(until, _), _)| until)
    }

    fn pop(&mut self) -> Option<WaitingAsk> {
        let (_, waiting) = self.by_release.pop_first()?;
        self.by_id.remove(&waiting.id);
        Some(waiting)
    }

    fn remove(&mut self, id: &AskId) -> Option<WaitingAsk> {
        let key = self.by_id.remove(id)?;
        self.by_release.remove(&key)
    }

    fn matching(&self, test: impl Fn(&WaitingAsk) -> bool) -> Vec<AskId> {
        let matching = self.by_release.values().filter(|waiting| test(waiting));
        matching.map(|waiting| waiting.id.clone()).collect()
    }
}

/// Which calls were turned away a moment ago, and how many in each second.
#[derive(Debug, Default)]
struct TurnedAway {
    calls: BTreeMap<(u32, CallNumber), Moment>,
    order: VecDeque<(Moment, (u32, CallNumber))>,
    rate: f64,
    at: Moment,
}

impl TurnedAway {
    fn note(&mut self, call: (u32, CallNumber), now: Moment) {
        self.calls.insert(call, now);
        self.order.push_back((now, call));
        self.rate = self.rate(now) + 1.0;
        self.at = self.at.max(now);
    }

    /// Returns how many calls were turned away in the last second, about.
    fn rate(&self, now: Moment) -> f64 {
        self.rate * (-now.since(self.at).as_secs_f64()).exp()
    }

    fn expire(&mut self, now: Moment) {
        while self.order.front().is_some_and(|&(at, _)| now.since(at) >= TURNED_AWAY_KEPT) {
            let (at, call) = self.order.pop_front().expect("there is a first call");
            if self.calls.get(&call) == Some(&at) {
                self.calls.remove(&call);
            }
        }
    }
}

/// What waits for a retry or for the end of a spell.
#[derive(Debug, Default)]
pub(super) struct RetryQueue {
    spell: SpellBelief,
    retries: AskQueue,
    firsts: HeldFirsts,
    turned_away: TurnedAway,
    last_attempt: Moment,
}

impl RetryQueue {
    /// Returns how many calls wait here.
    pub(super) fn len(&self) -> usize {
        self.retries.len() + self.firsts.by_release.len()
    }

    pub(super) fn contains(&self, id: &AskId) -> bool {
        self.retries.contains(id) || self.firsts.by_id.contains_key(id)
    }

    pub(super) fn cancel(&mut self, id: &AskId) {
        self.retries.cancel(id);
        self.firsts.remove(id);
    }

    /// Takes out the calls that match.
    pub(super) fn take_matching(&mut self, test: impl Fn(&WaitingAsk) -> bool) -> Vec<AskId> {
        let mut ids = self.firsts.matching(&test);
        ids.extend(
            self.retries.matching(&test).into_iter().map(|p| self.retries.get(p).id.clone()),
        );
        ids.iter().for_each(|id| self.cancel(id));
        ids
    }

    /// Returns when a call has to be released or refused next.
    pub(super) fn next_wake(&self) -> Option<Moment> {
        let wakes = [self.firsts.next_release(), self.retries.first_start()];
        wakes.into_iter().flatten().min()
    }

    /// Tells whether one more attempt may be sent before the outcomes of the open ones are known.
    fn may_release(&self) -> bool {
        self.spell.is_surely_over()
            || f64::from(self.spell.open_attempts() + 1) * self.spell.odds() <= RELEASE_RISK
    }
}

impl ServicePlacer {
    /// Tells whether retries of this service are shared out: the placer keeps their budget, and upstreams fail
    /// for a while and not for being given more than their slots.
    fn shares_retries(&self) -> bool {
        self.settings.rule.retry_burst > 0 && self.transient().is_some()
    }

    /// Notes an attempt that is granted.
    pub(super) fn watch_attempt(&mut self, now: Moment) {
        if self.shares_retries() {
            self.retry_queue.spell.place(now);
            self.retry_queue.last_attempt = now;
        }
    }

    /// Notes how an attempt ended.
    pub(super) fn watch_outcome(&mut self, grant: &OwnGrant, settle: &SlotSettle, now: Moment) {
        if !self.shares_retries() {
            return;
        }
        let spell = &mut self.retry_queue.spell;
        match settle.outcome {
            // A refusal that closes the upstream to one VM says nothing of the service.
            OutcomeClass::Shed if !settle.stated.closes_nothing() => spell.forget(grant.granted),
            OutcomeClass::Shed => {
                spell.end(grant.granted, grant.target, true, now);
                self.retry_queue.turned_away.note((grant.entry, grant.call), now);
            }
            OutcomeClass::Unused | OutcomeClass::ConnectFailure | OutcomeClass::Draining => {
                spell.forget(grant.granted);
            }
            _ => spell.end(grant.granted, grant.target, false, now),
        }
    }

    /// Returns what a retry is for. `None`: it is a first attempt, or entries keep the budget.
    pub(super) fn retry_use(&mut self, entry: u32, ask: &SlotAsk) -> Option<RetryUse> {
        if ask.attempt <= 1 || self.settings.rule.retry_burst == 0 {
            return None;
        }
        let turned_away = self.retry_queue.turned_away.calls.remove(&(entry, ask.call)).is_some();
        Some(match ask.need.hedge {
            true => RetryUse::Hedge,
            false if turned_away => RetryUse::Refused,
            false => RetryUse::Failed,
        })
    }

    /// Holds a first attempt while a spell turns most calls away. Gives it back where it is not to be held.
    pub(super) fn hold_first(&mut self, waiting: WaitingAsk, now: Moment) -> Option<WaitingAsk> {
        let spell = &self.retry_queue.spell;
        let on = spell.since().is_some() && spell.share() >= HOLD_FROM;
        let releasing = self.retry_queue.firsts.next_release().is_some();
        let limit = self.settings.rule.queue_limit as usize / HELD_DIVISOR;
        let full = self.queue.len() + self.retry_queue.len() >= limit;
        let probe = now.since(self.retry_queue.last_attempt) >= PROBE_PERIOD;
        let until = waiting.good_start.map(|good| good.before(RELEASE_MARGIN.as_millis() as u32));
        match until.filter(|&until| until > now) {
            Some(until) if waiting.ask.attempt == 1 && (on && !probe || releasing) && !full => {
                self.retry_queue.firsts.push(waiting, until);
                None
            }
            _ => Some(waiting),
        }
    }

    /// Gives a call that was turned away a retry, lets it wait for one, or refuses it.
    pub(super) fn admit_retry(
        &mut self,
        waiting: WaitingAsk,
        now: Moment,
        actions: &mut Vec<PlacerAction>,
    ) {
        let alone = self.retry_queue.retries.is_empty();
        if alone && self.may_retry_now(&waiting, now) && self.spend_retry(RetryUse::Refused, now) {
            return self.admit_now(waiting, now, actions);
        }
        let full =
            self.queue.len() + self.retry_queue.len() >= self.settings.rule.queue_limit as usize;
        if full || !self.can_get_retry(&waiting) {
            return self.refuse_retry(waiting.id, now, actions);
        }
        self.retry_queue.retries.push(waiting);
        self.release(now, actions);
    }

    /// Takes a retry out of the budget that the placer keeps for the fleet.
    pub(super) fn spend_retry(&mut self, purpose: RetryUse, now: Moment) -> bool {
        let rule = &self.settings.rule;
        self.retries.spend(rule.retry_percent, rule.retry_burst, purpose, now)
    }

    pub(super) fn refuse_retry(&mut self, id: AskId, now: Moment, actions: &mut Vec<PlacerAction>) {
        let lasted =
            self.retry_queue.spell.since().map_or(Duration::ZERO, |since| now.since(since));
        let wait = lasted.clamp(RETRIES_LATER, LONGEST_COME_BACK);
        self.refuse(id, RefusalReason::RetriesSpent, wait, actions);
    }

    /// Tells whether a call may use a retry now: no spell is on or it refuses few calls, the budget has more than
    /// is kept, or the call would be in good time and its chance is better than the worth of waiting.
    fn may_retry_now(&self, waiting: &WaitingAsk, now: Moment) -> bool {
        let spell = &self.retry_queue.spell;
        if spell.since().is_none() {
            return self.retry_queue.may_release();
        }
        let accepted = 1.0 - spell.share();
        let worth = LATE_WORTH * self.end_chance(waiting.latest_start, now);
        let in_time = waiting.good_start.is_some_and(|good| good >= now);
        spell.share() < HOLD_FROM || in_time && accepted >= worth || self.has_spare_retry(now)
    }

    /// Tells whether the budget has more retries than those calls need that wait and that are about to be
    /// turned away.
    fn has_spare_retry(&self, now: Moment) -> bool {
        let waiting = self.retry_queue.retries.len() as f64;
        let coming = self.retry_queue.turned_away.rate(now) * RESERVE_SPAN.as_secs_f64();
        self.retry_room(now) > waiting + coming
    }

    /// Tells whether a retry is better used for a call that cannot wait any longer than kept for the others.
    fn is_worth_last_retry(&self, now: Moment) -> bool {
        let Some(last) = self.retry_queue.retries.last_start() else { return true };
        1.0 - self.retry_queue.spell.share() >= self.end_chance(last, now)
            || self.has_spare_retry(now)
    }

    /// Returns how likely the spell ends within half of the time until `last`: half of the calls that wait have
    /// that long. A spell ends within a time with the probability of that time's share of it and of the time
    /// that the spell has lasted.
    fn end_chance(&self, last: Moment, now: Moment) -> f64 {
        let Some(since) = self.retry_queue.spell.since() else { return 1.0 };
        let left = last.since(now).as_secs_f64() / 2.0;
        left / (left + now.since(since).as_secs_f64()).max(1e-3)
    }

    fn retry_room(&self, at: Moment) -> f64 {
        let rule = &self.settings.rule;
        self.retries.room(rule.retry_percent, rule.retry_burst, RetryUse::Refused, at)
    }

    /// Tells whether the budget will have a retry for a call by its latest start, after those before it.
    fn can_get_retry(&self, waiting: &WaitingAsk) -> bool {
        let ahead = self.retry_queue.retries.ahead_of(&waiting.ask) as f64;
        self.retry_room(waiting.latest_start) > ahead
    }

    /// Follows the belief and releases what is due.
    pub(super) fn review_spell(&mut self, now: Moment, actions: &mut Vec<PlacerAction>) {
        if !self.shares_retries() && self.retry_queue.len() == 0 {
            return;
        }
        self.retry_queue.turned_away.expire(now);
        let upstreams = self.targets.iter().filter(|(_, target)| target.is_member()).count();
        if let Some(change) = self.retry_queue.spell.tick(upstreams, now) {
            let service = self.settings.service.clone();
            let lasted = match change {
                SpellChange::Began => None,
                SpellChange::Ended(lasted) => Some(lasted),
            };
            let held = self.retry_queue.firsts.by_release.len() as u32;
            let retries = self.retry_queue.retries.len() as u32;
            actions.push(PlacerAction::Spell { service, lasted, held, retries });
        }
        self.release(now, actions);
    }

    fn release(&mut self, now: Moment, actions: &mut Vec<PlacerAction>) {
        self.release_firsts(now, actions);
        self.release_last(now, actions);
        self.retry_queue.retries.put_late_last(now);
        while self.has_room_to_release() {
            let next = self.retry_queue.retries.candidates(1);
            let Some(&place) = next.first() else { break };
            let may = self.may_retry_now(self.retry_queue.retries.get(place), now);
            if !may || !self.spend_retry(RetryUse::Refused, now) {
                break;
            }
            let waiting = self.retry_queue.retries.serve(place);
            self.admit_waiting(waiting, now, actions);
        }
    }

    /// Sends first attempts whose slack is over, one more for each time without an attempt, and all of them
    /// after the end of a spell.
    fn release_firsts(&mut self, now: Moment, actions: &mut Vec<PlacerAction>) {
        while let Some(until) = self.retry_queue.firsts.next_release() {
            let on = self.retry_queue.spell.since().is_some();
            let probe = now.since(self.retry_queue.last_attempt) >= PROBE_PERIOD;
            let over = !on && self.retry_queue.may_release();
            if until > now && !over && !(on && probe) {
                break;
            }
            let waiting = self.retry_queue.firsts.pop().expect("there is a first attempt");
            let waiting = self.waiting_again(waiting, now);
            self.admit_waiting(waiting, now, actions);
            if on && probe {
                self.retry_queue.last_attempt = now;
            }
        }
    }

    /// Gives retries to calls that cannot wait any longer, or refuses them.
    fn release_last(&mut self, now: Moment, actions: &mut Vec<PlacerAction>) {
        let last = now + RELEASE_MARGIN;
        while self.retry_queue.retries.first_start().is_some_and(|start| start <= last) {
            let place = self.retry_queue.retries.first_place().expect("a call waits");
            let waiting = self.retry_queue.retries.remove(place);
            let worth = waiting.latest_start > now && self.is_worth_last_retry(now);
            if worth && self.spend_retry(RetryUse::Refused, now) {
                self.admit_waiting(waiting, now, actions);
            } else {
                self.refuse_retry(waiting.id, now, actions);
            }
        }
    }

    fn has_room_to_release(&self) -> bool {
        self.queue.is_empty() && self.targets.any_free()
    }

    /// Judges a held call anew: a call that waits in the queue of retries may have been late before.
    fn waiting_again(&mut self, waiting: WaitingAsk, now: Moment) -> WaitingAsk {
        let latest_start = self.latest_start(&waiting.ask, now, waiting.deadline);
        WaitingAsk { latest_start, ..waiting }
    }

    fn admit_waiting(&mut self, waiting: WaitingAsk, now: Moment, actions: &mut Vec<PlacerAction>) {
        let fingerprint = waiting.ask.fingerprint;
        if let Some(wait) = self.poisonous_for(fingerprint, now, actions) {
            return self.refuse(waiting.id, RefusalReason::Poisonous, wait, actions);
        }
        if let Some(wait) = self.closed_out(&waiting, now) {
            return self.refuse(waiting.id, RefusalReason::Saturated, wait, actions);
        }
        if waiting.latest_start < now {
            return self.refuse_late(waiting.id, now, actions);
        }
        self.admit_now(waiting, now, actions);
    }
}
