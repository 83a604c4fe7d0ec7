//! The calls that wait for a slot.
//!
//! Load: full saturation, bursts of ten times the capacity, one caller that sends half of all. Harm
//! prevented: one caller's backlog delays everyone else's single call; work that is too late already
//! takes slots from work that is not. So callers take turns, and within a caller the call with the
//! least time left goes first. Reason for the limit: what waits longer than its deadline allows is
//! of no use to its caller, so a longer queue serves nobody; when it is full, the caller with the
//! longest part of it gives up its last place to one with a shorter part.
//!
//! Each operation, cancel included, costs the logarithm of the queue's length.

use super::AskId;
use model::{moment::Moment, names::CallerName, slot::SlotAsk};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// A call that waits.
#[derive(Debug)]
pub(super) struct WaitingAsk {
    pub(super) id: AskId,
    pub(super) ask: SlotAsk,
    pub(super) since: Moment,
    pub(super) deadline: Moment,
    /// The last moment at which a slot is of use.
    pub(super) latest_start: Moment,
}

#[derive(Debug, Default)]
struct CallerLine {
    /// By deadline. Not by the last useful start: that would put long work before short.
    asks: BTreeSet<(Moment, u32)>,
    turn: CallerTurn,
}

/// The round in which a caller is next, and its place within the round: first come, first served.
type CallerTurn = (u64, u64);

/// The queue of one placer.
#[derive(Debug, Default)]
pub(super) struct AskQueue {
    places: Vec<Option<WaitingAsk>>,
    vacant: Vec<u32>,
    by_id: BTreeMap<AskId, u32>,
    by_start: BTreeSet<(Moment, u32)>,
    lines: BTreeMap<CallerName, CallerLine>,
    /// Whose turn is next.
    turns: BTreeSet<(CallerTurn, CallerName)>,
    lengths: BTreeSet<(usize, CallerName)>,
    /// The round that newcomers join: the one after the round that is being served, so that a stream
    /// of new callers cannot keep an old one from its turn.
    round: u64,
    joined: u64,
}

impl AskQueue {
    pub(super) fn len(&self) -> usize {
        self.by_start.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.by_start.is_empty()
    }

    pub(super) fn contains(&self, id: &AskId) -> bool {
        self.by_id.contains_key(id)
    }

    /// Returns how many calls go before the next one of a caller.
    pub(super) fn ahead_of(&self, caller: &CallerName) -> usize {
        let own = self.lines.get(caller).map_or(0, |line| line.asks.len());
        self.len().min((own + 1) * self.lines.len().max(1))
    }

    pub(super) fn push(&mut self, waiting: WaitingAsk) {
        let caller = waiting.ask.caller.clone();
        let key = waiting.deadline;
        let start = waiting.latest_start;
        let place = self.vacant.pop().unwrap_or_else(|| {
            self.places.push(None);
            u32::try_from(self.places.len() - 1).expect("the queue is bounded by its rule")
        });
        self.by_id.insert(waiting.id.clone(), place);
        self.by_start.insert((start, place));
        self.places[place as usize] = Some(waiting);
        self.joined += 1;
        let turn = (self.round, self.joined);
        let fresh = || CallerLine { asks: BTreeSet::new(), turn };
        let line = self.lines.entry(caller.clone()).or_insert_with(fresh);
        let before = line.asks.len();
        line.asks.insert((key, place));
        if before == 0 {
            self.turns.insert((line.turn, caller.clone()));
        } else {
            self.lengths.remove(&(before, caller.clone()));
        }
        self.lengths.insert((before + 1, caller));
    }

    /// Returns the first call of the caller whose turn is `nth` from now.
    pub(super) fn candidate(&self, nth: usize) -> Option<u32> {
        let (_, caller) = self.turns.iter().nth(nth)?;
        self.lines[caller].asks.first().map(|&(_, place)| place)
    }

    pub(super) fn get(&self, place: u32) -> &WaitingAsk {
        self.places[place as usize].as_ref().expect("the place is taken")
    }

    /// Takes a call out because it is served: its caller's turn is over.
    pub(super) fn serve(&mut self, place: u32) -> WaitingAsk {
        let caller = self.get(place).ask.caller.clone();
        let turn = self.lines[&caller].turn;
        self.round = self.round.max(turn.0 + 1);
        let waiting = self.remove(place);
        if let Some(line) = self.lines.get_mut(&caller) {
            self.joined += 1;
            self.turns.remove(&(turn, caller.clone()));
            line.turn = (turn.0 + 1, self.joined);
            self.turns.insert((line.turn, caller));
        }
        waiting
    }

    /// Takes a call out for another reason.
    pub(super) fn remove(&mut self, place: u32) -> WaitingAsk {
        let waiting = self.places[place as usize].take().expect("the place is taken");
        self.vacant.push(place);
        let key = (waiting.deadline, place);
        self.by_id.remove(&waiting.id);
        self.by_start.remove(&(waiting.latest_start, place));
        let caller = &waiting.ask.caller;
        let line = self.lines.get_mut(caller).expect("a waiting call has a line");
        self.lengths.remove(&(line.asks.len(), caller.clone()));
        line.asks.remove(&key);
        if line.asks.is_empty() {
            self.turns.remove(&(line.turn, caller.clone()));
            self.lines.remove(caller);
        } else {
            self.lengths.insert((line.asks.len(), caller.clone()));
        }
        waiting
    }

    pub(super) fn cancel(&mut self, id: &AskId) -> Option<WaitingAsk> {
        let place = *self.by_id.get(id)?;
        Some(self.remove(place))
    }

    /// Returns the last call of the longest line, if that line is longer than the one the caller
    /// would then have.
    pub(super) fn last_of_longest(&self, newcomer: &CallerName) -> Option<u32> {
        let own = self.lines.get(newcomer).map_or(0, |line| line.asks.len());
        let (length, caller) = self.lengths.last()?;
        if *length <= own + 1 {
            return None;
        }
        self.lines[caller].asks.last().map(|&(_, place)| place)
    }

    /// Returns when the first call becomes useless.
    pub(super) fn first_start(&self) -> Option<Moment> {
        self.by_start.first().map(|&(moment, _)| moment)
    }

    pub(super) fn first_place(&self) -> Option<u32> {
        self.by_start.first().map(|&(_, place)| place)
    }

    /// Lists the places whose calls match.
    pub(super) fn matching(&self, test: impl Fn(&WaitingAsk) -> bool) -> Vec<u32> {
        let places = self.by_start.iter().map(|&(_, place)| place);
        places.filter(|&place| test(self.get(place))).collect()
    }

    /// Lists the places whose calls cannot start in time when a call is served each `pace_us`.
    ///
    /// Turn by turn: the `k`th call of a line is served after at most `k` calls of each other line.
    pub(super) fn hopeless(&self, pace_us: f64, now: Moment) -> Vec<u32> {
        let mut hopeless = Vec::new();
        let mut ahead = 0.0;
        let mut lines: Vec<_> = self.lines.values().map(|line| line.asks.iter()).collect();
        while !lines.is_empty() {
            lines.retain_mut(|line| {
                let Some(&(_, place)) = line.next() else { return false };
                let wait = Duration::from_micros((ahead * pace_us) as u64);
                if now + wait > self.get(place).latest_start {
                    hopeless.push(place);
                } else {
                    ahead += 1.0;
                }
                true
            });
        }
        hopeless
    }
}
