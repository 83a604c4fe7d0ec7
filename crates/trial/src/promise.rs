//! What must hold after any load and any failure: the callers' tally against the upstreams' counts.

use std::collections::HashMap;

use crate::load::LoadTally;
use snafu::Snafu;

/// A promise of the brief that did not hold.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum BrokenPromise {
    /// Callers got no whole answer and no stated outcome.
    #[snafu(display("{calls} calls were cut"))]
    CallsCut {
        /// How many.
        calls: u64,
    },
    /// Callers got answers to other requests than theirs.
    #[snafu(display("{calls} callers got another's answer"))]
    ForeignAnswers {
        /// How many.
        calls: u64,
    },
    /// Non-idempotent calls ran more than once.
    #[snafu(display("{keys} non-idempotent calls ran more than once"))]
    RanTwice {
        /// How many.
        keys: u64,
    },
    /// Calls of which each answer said "not run" had run.
    #[snafu(display("{keys} calls were refused as not run and had run"))]
    RefusedButRan {
        /// How many.
        keys: u64,
    },
    /// Calls with a whole answer had not run.
    #[snafu(display("{keys} non-idempotent calls were answered and had not run"))]
    AnsweredNotRun {
        /// How many.
        keys: u64,
    },
    /// Nothing was answered at all.
    #[snafu(display("no call was answered"))]
    NothingAnswered,
}

/// Lists what did not hold. `runs` tells how often each key ran at the upstreams.
pub fn broken_promises(tally: &LoadTally, runs: &HashMap<String, u32>) -> Vec<BrokenPromise> {
    let mut broken = broken_by_kill(tally, runs);
    if tally.cut > 0 {
        broken.push(BrokenPromise::CallsCut { calls: tally.cut });
    }
    broken
}

/// Lists what did not hold, for a load during which VMs were killed: a kill may cut calls, but
/// nothing else.
pub fn broken_by_kill(tally: &LoadTally, runs: &HashMap<String, u32>) -> Vec<BrokenPromise> {
    let mut broken = Vec::new();
    if tally.whole == 0 {
        broken.push(BrokenPromise::NothingAnswered);
    }
    if tally.foreign > 0 {
        broken.push(BrokenPromise::ForeignAnswers { calls: tally.foreign });
    }
    let keys = count(runs.values().filter(|&&count| count > 1));
    if keys > 0 {
        broken.push(BrokenPromise::RanTwice { keys });
    }
    let keys = count(tally.refused_keys.iter().filter(|key| runs.contains_key(*key)));
    if keys > 0 {
        broken.push(BrokenPromise::RefusedButRan { keys });
    }
    let keys = count(tally.answered_keys.iter().filter(|key| !runs.contains_key(*key)));
    if keys > 0 {
        broken.push(BrokenPromise::AnsweredNotRun { keys });
    }
    broken
}

fn count<T>(items: impl Iterator<Item = T>) -> u64 {
    items.count() as u64
}
