//! Which VMs can be reached: pure rules, time passed in.
//!
//! "A hears B" is evidence in one direction only. So a VM is judged by echoes: a watcher sends its
//! heartbeat, and only an answer that names that heartbeat proves both directions. The watchers of a
//! VM (three, see [`crate::ring`]) spread their verdicts, and each VM counts the same verdicts in the
//! same way. Silent ones must outnumber those that heard an echo: one watcher with a bad path of its
//! own is outvoted and takes nobody out.
//!
//! Heartbeats themselves are not spread: at 5,700 VMs that alone would be 100 KB a second on each.
//! Without faults there is no verdict at all, and the cost of a VM is three pings each half second.

use std::{collections::BTreeMap, time::Duration};

use crate::fact::{MemberRecord, MemberVerdict};
use model::{moment::Moment, names::MemberName};

/// How often a watcher sends its heartbeat.
pub const PING_PERIOD: Duration = Duration::from_millis(400);

/// After which time without an echo a watcher calls a VM silent: three heartbeats.
pub const SILENCE_LIMIT: Duration = Duration::from_millis(1_200);

/// For how long other watchers may contradict the first verdict before it counts.
pub const SUSPECT_TIME: Duration = Duration::from_millis(600);

/// After which time a lost VM is forgotten.
pub const FORGET_AFTER: Duration = Duration::from_secs(60);

/// A gap between two reviews after which this VM takes itself to have been paused: the silence of
/// others is its own then, and each gets a full new time.
pub const PAUSE_LIMIT: Duration = Duration::from_millis(800);

#[derive(Debug)]
struct HeldVerdict {
    verdict: MemberVerdict,
    learned: Moment,
}

/// The verdicts on each VM.
#[derive(Debug, Default)]
pub struct MemberVerdicts {
    held: BTreeMap<MemberName, BTreeMap<MemberName, HeldVerdict>>,
}

impl MemberVerdicts {
    /// Takes a verdict that holds now.
    pub fn learn(&mut self, verdict: MemberVerdict, now: Moment) {
        let by_subject = self.held.entry(verdict.subject.clone()).or_default();
        let before = by_subject.get(&verdict.by);
        // The time to contradict runs from the first silent verdict, not from its last renewal.
        let learned = match before {
            Some(held) if held.verdict.silent && verdict.silent => held.learned,
            _ => now,
        };
        by_subject.insert(verdict.by.clone(), HeldVerdict { verdict, learned });
    }

    /// Forgets one verdict.
    pub fn forget(&mut self, subject: &MemberName, by: &MemberName) {
        if let Some(by_subject) = self.held.get_mut(subject) {
            by_subject.remove(by);
            if by_subject.is_empty() {
                self.held.remove(subject);
            }
        }
    }

    /// Lists the VMs on which there is a verdict.
    pub fn subjects(&self) -> impl Iterator<Item = &MemberName> {
        self.held.keys()
    }

    /// Lists the watchers with a verdict on a VM.
    pub fn watchers(&self, subject: &MemberName) -> impl Iterator<Item = &MemberName> {
        self.held.get(subject).into_iter().flat_map(BTreeMap::keys)
    }

    /// Returns one watcher's verdict on a VM.
    pub fn of(&self, subject: &MemberName, by: &MemberName) -> Option<&MemberVerdict> {
        self.held.get(subject)?.get(by).map(|held| &held.verdict)
    }

    /// Tells whether some watcher calls a VM silent, as it last spoke of itself.
    pub fn is_suspect(&self, record: &MemberRecord) -> bool {
        self.present(record).any(|held| held.verdict.silent)
    }

    /// Tells whether a VM counts as lost. `counts` tells whose verdicts count: those of VMs that are
    /// not lost themselves.
    pub fn is_lost(
        &self,
        record: &MemberRecord,
        counts: impl Fn(&MemberName) -> bool,
        now: Moment,
    ) -> bool {
        let (mut silent, mut heard) = (0, 0);
        let mut first: Option<Moment> = None;
        for held in self.present(record).filter(|held| counts(&held.verdict.by)) {
            if held.verdict.silent {
                silent += 1;
                first = Some(first.map_or(held.learned, |first| first.min(held.learned)));
            } else {
                heard += 1;
            }
        }
        let waited = first.is_some_and(|first| now.since(first) >= SUSPECT_TIME);
        silent > heard && waited
    }

    fn present(&self, record: &MemberRecord) -> impl Iterator<Item = &HeldVerdict> {
        let on = (record.incarnation, record.version);
        let verdicts = self.held.get(&record.member).into_iter().flat_map(BTreeMap::values);
        verdicts.filter(move |held| (held.verdict.incarnation, held.verdict.version) == on)
    }
}

#[derive(Debug)]
struct WatchedMember {
    /// The last echo, or since when it is watched.
    heard: Moment,
    proved: bool,
    pinged: Option<Moment>,
}

/// What this VM has seen itself of the VMs that it watches.
#[derive(Debug, Default)]
pub struct MemberWatch {
    watched: BTreeMap<MemberName, WatchedMember>,
    reviewed: Option<Moment>,
}

impl MemberWatch {
    /// Sets which VMs are watched.
    pub fn set(&mut self, watched: &[MemberName], now: Moment) {
        self.watched.retain(|member, _| watched.contains(member));
        for member in watched {
            let new = || WatchedMember { heard: now, proved: false, pinged: None };
            self.watched.entry(member.clone()).or_insert_with(new);
        }
    }

    /// Lists the VMs that are due for a heartbeat.
    pub fn due(&mut self, now: Moment) -> Vec<MemberName> {
        let mut due = Vec::new();
        for (member, watched) in &mut self.watched {
            if watched.pinged.is_none_or(|pinged| now.since(pinged) >= PING_PERIOD) {
                watched.pinged = Some(now);
                due.push(member.clone());
            }
        }
        due
    }

    /// Takes an echo of a heartbeat: both directions are proved.
    pub fn echo(&mut self, member: &MemberName, now: Moment) {
        if let Some(watched) = self.watched.get_mut(member) {
            watched.heard = now;
            watched.proved = true;
        }
    }

    /// Gives each watched VM a full new time when this VM was paused itself.
    pub fn review(&mut self, now: Moment) {
        let paused = self.reviewed.is_some_and(|before| now.since(before) > PAUSE_LIMIT);
        self.reviewed = Some(now);
        if paused {
            for watched in self.watched.values_mut() {
                watched.heard = now;
                watched.proved = false;
            }
        }
    }

    /// Returns what this VM says of a watched one: silent, heard, or nothing yet.
    pub fn verdict(&self, member: &MemberName, now: Moment) -> Option<bool> {
        let watched = self.watched.get(member)?;
        let silent = now.since(watched.heard) >= SILENCE_LIMIT;
        if silent {
            return Some(true);
        }
        watched.proved.then_some(false)
    }

    /// Tells whether a VM is watched.
    pub fn is_watched(&self, member: &MemberName) -> bool {
        self.watched.contains_key(member)
    }

    /// Lists the watched VMs.
    pub fn watched(&self) -> impl Iterator<Item = &MemberName> {
        self.watched.keys()
    }
}

/// How often a VM that is called lost says that it is not.
///
/// Failure: a VM that can send but not be reached is called lost, hears so and contradicts, over and
/// over. Symptom: duties move to it and away again each second. The pause doubles each time, so its
/// duties settle elsewhere; it is short again after a quiet time.
#[derive(Debug, Default)]
pub struct MemberRefutal {
    last: Option<Moment>,
    pause: Duration,
}

/// The first and the longest pause between two contradictions.
const REFUTAL_PAUSES: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(60));

impl MemberRefutal {
    /// Tells whether to contradict now.
    pub fn may(&mut self, now: Moment) -> bool {
        let (first, longest) = REFUTAL_PAUSES;
        let Some(last) = self.last else {
            (self.last, self.pause) = (Some(now), first);
            return true;
        };
        let quiet = now.since(last);
        if quiet < self.pause {
            return false;
        }
        self.pause = if quiet > longest * 2 { first } else { (self.pause * 2).min(longest) };
        self.last = Some(now);
        true
    }
}
