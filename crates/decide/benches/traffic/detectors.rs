//! Three detectors with a common interface.

use super::build;
use decide::{
    detect::{DetectionThresholds, DetectionVerdict, Evidence, EvidenceSource, OutlierDetector},
    placer::{AskId, PlacerAction, ServicePlacer},
};
use model::{call::OutcomeClass, config::ServiceRule, moment::Moment, slot::SlotGrant};
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use std::{collections::BTreeMap, time::Duration};

/// Chooses upstreams and learns from the outcomes. Upstream 0 is the one that may be faulty.
pub trait FailureDetector {
    fn choose(
        &mut self,
        call: u64,
        entry: usize,
        route: usize,
        random: &mut Pcg64Mcg,
        now: Moment,
    ) -> Option<usize>;

    #[allow(clippy::too_many_arguments)]
    fn finish(
        &mut self,
        call: u64,
        entry: usize,
        route: usize,
        upstream: usize,
        outcome: OutcomeClass,
        took: Duration,
        now: Moment,
    );

    /// Returns whether upstream 0 has lost nine tenths of its work.
    fn found(&self) -> bool;

    /// Returns the ejections of all upstreams but 0, in whole upstreams: an ejection at one of
    /// forty entries counts a fortieth.
    fn false_ejections(&self) -> f64;
}

/// The test that a single entry uses.
enum EntryTest {
    /// This many consecutive errors.
    ConsecutiveErrors { limit: u32, counts: Vec<u32> },
    /// The sequential test on the entry's own calls.
    Sequential(Box<OutlierDetector>),
}

/// Entries that detect faults without a placer.
pub struct IndependentEntries {
    upstreams: usize,
    tests: Vec<EntryTest>,
    ejected: Vec<Vec<bool>>,
    false_ejections: f64,
}

impl IndependentEntries {
    pub fn consecutive_errors(limit: u32, upstreams: usize, entries: usize) -> Self {
        Self::open(upstreams, entries, || EntryTest::ConsecutiveErrors {
            limit,
            counts: vec![0; upstreams],
        })
    }

    pub fn sequential(rule: &ServiceRule, upstreams: usize, entries: usize) -> Self {
        let thresholds = DetectionThresholds::from_rule(rule);
        Self::open(upstreams, entries, || {
            EntryTest::Sequential(Box::new(OutlierDetector::new(thresholds)))
        })
    }

    fn open(upstreams: usize, entries: usize, test: impl Fn() -> EntryTest) -> Self {
        Self {
            upstreams,
            tests: (0..entries).map(|_| test()).collect(),
            ejected: vec![vec![false; upstreams]; entries],
            false_ejections: 0.0,
        }
    }
}

impl FailureDetector for IndependentEntries {
    fn choose(
        &mut self,
        _call: u64,
        entry: usize,
        _route: usize,
        random: &mut Pcg64Mcg,
        _now: Moment,
    ) -> Option<usize> {
        for _ in 0..8 {
            let upstream = random.random_range(0..self.upstreams);
            if !self.ejected[entry][upstream] {
                return Some(upstream);
            }
        }
        None
    }

    fn finish(
        &mut self,
        _call: u64,
        entry: usize,
        route: usize,
        upstream: usize,
        outcome: OutcomeClass,
        took: Duration,
        now: Moment,
    ) {
        let failed = outcome != OutcomeClass::Success;
        let eject = match &mut self.tests[entry] {
            EntryTest::ConsecutiveErrors { limit, counts } => {
                counts[upstream] = if failed { counts[upstream] + 1 } else { 0 };
                counts[upstream] >= *limit
            }
            EntryTest::Sequential(detector) => {
                // The source is always the same entry and domain: a single entry cannot detect a
                // path fault.
                let source = EvidenceSource { upstream, route, entry: 0, domain: 0 };
                let took = took.as_micros() as u64;
                let evidence = if failed { Evidence::Failure } else { Evidence::Response(took) };
                let verdict = detector.observe(&source, evidence, now);
                matches!(verdict, DetectionVerdict::Failing | DetectionVerdict::Slow)
            }
        };
        if !eject {
            return;
        }
        if upstream == 0 {
            self.ejected[entry][0] = true;
            return;
        }
        self.false_ejections += 1.0 / self.tests.len() as f64;
        match &mut self.tests[entry] {
            EntryTest::ConsecutiveErrors { counts, .. } => counts[upstream] = 0,
            EntryTest::Sequential(detector) => detector.clear(upstream),
        }
    }

    fn found(&self) -> bool {
        let count = self.ejected.iter().filter(|ejected| ejected[0]).count();
        count * 10 >= self.ejected.len() * 9
    }

    fn false_ejections(&self) -> f64 {
        self.false_ejections
    }
}

/// One placer for all entries.
pub struct PlacerDetector {
    placer: ServicePlacer,
    upstreams: usize,
    slots: u32,
    grants: BTreeMap<u64, SlotGrant>,
    actions: Vec<PlacerAction>,
    renewed: Moment,
    ticked: Moment,
    sequence: u64,
    found: bool,
    false_ejections: f64,
    pub decisions: u64,
}

impl PlacerDetector {
    pub fn open(rule: ServiceRule, upstreams: usize, slots: u32, seed: u64) -> Self {
        let mut detector = Self {
            placer: ServicePlacer::new(build::settings(rule, seed)),
            upstreams,
            slots,
            grants: BTreeMap::new(),
            actions: Vec::new(),
            renewed: Moment::ZERO,
            ticked: Moment::ZERO,
            sequence: 0,
            found: false,
            false_ejections: 0.0,
            decisions: 0,
        };
        detector.placer.finish_recount(Moment::ZERO, &mut detector.actions);
        detector.renew(Moment::ZERO);
        detector
    }

    fn renew(&mut self, now: Moment) {
        self.renewed = now;
        self.sequence += 1;
        for number in 0..self.upstreams {
            let mut announcement = build::announcement(number, number % 4, self.slots);
            announcement.sequence = self.sequence;
            announcement.lease_ms = 120_000;
            self.placer.announce(&announcement, now, &mut self.actions);
        }
    }

    fn advance(&mut self, now: Moment) {
        if now.since(self.renewed) > Duration::from_secs(60) {
            self.renew(now);
        }
        if now.since(self.ticked) > Duration::from_millis(20) {
            self.ticked = now;
            self.placer.tick(now, &mut self.actions);
        }
    }

    fn process_actions(&mut self) {
        for action in self.actions.drain(..) {
            match action {
                PlacerAction::Eject { upstream, .. } => {
                    if build::upstream_number(&upstream) == 0 {
                        self.found = true;
                    } else {
                        self.false_ejections += 1.0;
                    }
                }
                PlacerAction::Grant { to, grant, .. } => {
                    self.grants.insert(to.call.0, grant);
                }
                _ => (),
            }
        }
    }
}

impl FailureDetector for PlacerDetector {
    fn choose(
        &mut self,
        call: u64,
        entry: usize,
        route: usize,
        _random: &mut Pcg64Mcg,
        now: Moment,
    ) -> Option<usize> {
        self.advance(now);
        self.decisions += 1;
        let ask = build::ask(call, 1, entry, route, entry, 10_000);
        let id = AskId { entry: build::entry(entry), call: ask.call, attempt: 1 };
        self.placer.ask(build::entry(entry), ask, now, &mut self.actions);
        self.process_actions();
        let upstream = self.grants.get(&call).map(|g| build::upstream_number(&g.upstream));
        if upstream.is_none() {
            self.placer.cancel(&id);
        }
        upstream
    }

    fn finish(
        &mut self,
        call: u64,
        _entry: usize,
        route: usize,
        _upstream: usize,
        outcome: OutcomeClass,
        took: Duration,
        now: Moment,
    ) {
        let Some(grant) = self.grants.remove(&call) else { return };
        let settle = build::settle(&grant, route, call | 1 << 40, outcome, took);
        self.placer.settle(&settle, now, &mut self.actions);
        self.process_actions();
    }

    fn found(&self) -> bool {
        self.found
    }

    fn false_ejections(&self) -> f64 {
        self.false_ejections
    }
}
