//! A sequential test of each upstream against its peers.
//!
//! Load: upstreams that answer probes and fail a share of real work, or answer late, among healthy
//! ones, in traffic that mixes long and short work. Harm prevented: callers go on being sent to the
//! bad one (late detection); a healthy one is taken out by bad luck (false ejection). The two harms
//! have prices in the service's rule, and the thresholds follow from them.
//!
//! # The test
//!
//! For each upstream a few CUSUM statistics run side by side. Each adds the logarithm of how much
//! likelier an outcome is under "bad" than under "like its peers", and never falls below zero. A
//! share of failures is tested against three alternatives, so that 5% is found in time and 100% at
//! once. "Like its peers" is the share measured at the *other* upstreams on the same route in the
//! last seconds: a failing route or a shared cause raises it for all and charges nobody.
//!
//! Lateness is tested as a share too: answers slower than the route's 90th percentile. That share is
//! a tenth at each healthy upstream whatever the distribution, so a mix of long and short work makes
//! no straggler.
//!
//! # The threshold
//!
//! With a threshold `h` the time to detection grows as `h` and the rate of false ejections falls as
//! `exp(-h)`. The sum of both costs is least where `h = c + ln(price of false / price of late)`. The
//! constant [`BASE_THRESHOLD`] is set by the bench `bounds_detect`: no false ejection in the drawn
//! traffic of healthy upstreams.

use crate::hedge::RouteMeter;
use model::{config::ServiceRule, moment::Moment};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// The threshold of the failure test at equal prices, in nats.
pub const BASE_THRESHOLD: f64 = 10.0;

/// The latency test sees ten times as many "bad" outcomes at healthy upstreams (a tenth, by its
/// definition), and answers that run side by side are slow together. So its threshold is higher.
const LATENCY_FACTOR: f64 = 1.5;

/// No prices move a threshold below this: a failed call is never proof enough alone.
const LEAST_THRESHOLD: f64 = 6.0;

/// The share of failures that is never held against an upstream.
const HEALTHY_FAILURES: f64 = 0.01;

/// The share of late answers that is never held against an upstream: a tenth by definition, and half
/// of that again for the error of the estimated percentile.
const HEALTHY_LATE: f64 = 0.15;

/// By how much the share of failures of a bad upstream exceeds that of its peers.
const FAILURE_ALTERNATIVES: [f64; 3] = [0.05, 0.25, 0.75];

/// By how much the share of late answers of a straggler exceeds that of its peers.
const LATE_ALTERNATIVE: f64 = 0.4;

/// How fast what was seen at peers is forgotten.
const HALF_LIFE: Duration = Duration::from_secs(10);

/// How many outcomes the prior belief "healthy" weighs against what was measured at peers.
const PRIOR_CALLS: f64 = 50.0;

/// Failures from one entry or one failure domain are a path fault when the others' successes would be
/// as unlikely as `exp(-5)`, were the upstream itself at fault.
const PATH_PROOF: f64 = 5.0;

/// The fewest failures from which a path fault is concluded.
const PATH_FAILURES: u32 = 3;

/// Thresholds in nats.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DetectionThresholds {
    /// For failures.
    pub failures: f64,
    /// For late answers.
    pub latency: f64,
}

impl DetectionThresholds {
    /// Derives the thresholds from a service's prices.
    pub fn from_rule(rule: &ServiceRule) -> Self {
        let late = f64::from(rule.late_detection_price.max(1));
        let false_ejection = f64::from(rule.false_ejection_price.max(1));
        let failures = (BASE_THRESHOLD + (false_ejection / late).ln()).max(LEAST_THRESHOLD);
        Self { failures, latency: failures * LATENCY_FACTOR }
    }
}

/// What one outcome says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// Answered in this many microseconds.
    Answer(u64),
    /// Answered, but the time says nothing: the upstream is cold.
    UntimedAnswer,
    /// Failed.
    Failure,
    /// Had run for this many microseconds when a second try was faster.
    Overtaken(u64),
}

/// Where an outcome comes from, as indexes that the placer gave.
#[derive(Clone, Copy, Debug)]
pub struct EvidenceSource {
    /// The upstream.
    pub upstream: usize,
    /// The route.
    pub route: usize,
    /// The entry.
    pub entry: u32,
    /// The entry's failure domain.
    pub domain: u32,
}

/// What the test says after an outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DetectionVerdict {
    /// Nothing to do.
    Calm,
    /// Only this entry cannot reach the upstream.
    EntryPath(u32),
    /// Only entries of this failure domain cannot reach the upstream.
    DomainPath(u32),
    /// Fails more than its peers.
    Failing,
    /// Answers later than its peers.
    Late,
}

#[derive(Clone, Copy, Debug, Default)]
struct OutcomeTally {
    calls: f64,
    failures: f64,
    timed: f64,
    late: f64,
    at: Moment,
}

impl OutcomeTally {
    fn decay(&mut self, now: Moment) {
        let passed = now.since(self.at).as_secs_f64();
        if passed <= 0.0 {
            return;
        }
        let rest = (-passed / HALF_LIFE.as_secs_f64()).exp2();
        self.calls *= rest;
        self.failures *= rest;
        self.timed *= rest;
        self.late *= rest;
        self.at = now;
    }
}

#[derive(Debug, Default)]
struct RouteEvidence {
    meter: RouteMeter,
    all: OutcomeTally,
    by_upstream: Vec<OutcomeTally>,
}

impl RouteEvidence {
    /// Returns the tallies of the whole route and of one upstream on it, brought up to now.
    fn tallies(&mut self, upstream: usize, now: Moment) -> (&mut OutcomeTally, &mut OutcomeTally) {
        if self.by_upstream.len() <= upstream {
            self.by_upstream.resize(upstream + 1, OutcomeTally::default());
        }
        self.all.decay(now);
        let own = &mut self.by_upstream[upstream];
        own.decay(now);
        (&mut self.all, own)
    }
}

/// Failures and successes since the failure test last stood at zero.
#[derive(Clone, Copy, Debug, Default)]
struct SourceCount {
    failures: u32,
    successes: u32,
}

#[derive(Debug, Default)]
struct UpstreamEvidence {
    failing: [f64; FAILURE_ALTERNATIVES.len()],
    late: f64,
    entries: BTreeMap<u32, SourceCount>,
    domains: BTreeMap<u32, SourceCount>,
}

impl UpstreamEvidence {
    fn greatest_failing(&self) -> f64 {
        self.failing.iter().copied().fold(0.0, f64::max)
    }

    fn count_source(&mut self, source: &EvidenceSource, failed: bool) {
        let entry = self.entries.entry(source.entry).or_default();
        entry.count(failed);
        self.domains.entry(source.domain).or_default().count(failed);
    }

    fn forget_sources(&mut self) {
        self.entries.clear();
        self.domains.clear();
    }
}

impl SourceCount {
    fn count(&mut self, failed: bool) {
        if failed {
            self.failures += 1;
        } else {
            self.successes += 1;
        }
    }
}

/// Returns the one source that all failures come from, if the others' successes prove that the
/// upstream itself works.
fn lone_source(counts: &BTreeMap<u32, SourceCount>) -> Option<u32> {
    let mut failing = counts.iter().filter(|(_, count)| count.failures > 0);
    let (&source, own) = failing.next()?;
    if failing.next().is_some() || own.failures < PATH_FAILURES {
        return None;
    }
    let others: u32 = counts.values().map(|count| count.successes).sum::<u32>() - own.successes;
    let share = f64::from(own.failures) / f64::from(own.failures + own.successes);
    (f64::from(others) * share >= PATH_PROOF).then_some(source)
}

/// The tests of all upstreams of one service.
#[derive(Debug)]
pub struct PeerDetector {
    thresholds: DetectionThresholds,
    routes: Vec<RouteEvidence>,
    upstreams: Vec<UpstreamEvidence>,
    domains_seen: BTreeSet<u32>,
}

impl PeerDetector {
    /// Opens a detector without evidence.
    pub fn open(thresholds: DetectionThresholds) -> Self {
        let (routes, upstreams) = (Vec::new(), Vec::new());
        Self { thresholds, routes, upstreams, domains_seen: BTreeSet::new() }
    }

    /// Follows a change of prices.
    pub fn set_thresholds(&mut self, thresholds: DetectionThresholds) {
        self.thresholds = thresholds;
    }

    /// Returns how long answers on a route take.
    pub fn times(&self, route: usize) -> Option<crate::hedge::RouteTimes> {
        self.routes.get(route)?.meter.times()
    }

    /// Takes one outcome.
    pub fn observe(
        &mut self,
        source: &EvidenceSource,
        evidence: Evidence,
        now: Moment,
    ) -> DetectionVerdict {
        self.grow(source);
        match evidence {
            Evidence::Answer(took_us) => {
                self.judge_failure(source, false, now);
                self.judge_time(source, took_us, now);
                self.routes[source.route].meter.record(took_us);
            }
            Evidence::UntimedAnswer => self.judge_failure(source, false, now),
            Evidence::Failure => self.judge_failure(source, true, now),
            Evidence::Overtaken(ran_us) => {
                let late = self.times(source.route).is_some_and(|times| ran_us > times.p90);
                if late {
                    self.judge_time(source, ran_us, now);
                }
            }
        }
        self.verdict(source.upstream)
    }

    /// Returns how far the evidence against an upstream has come: 1 is the threshold.
    pub fn suspicion(&self, upstream: usize) -> f64 {
        let Some(evidence) = self.upstreams.get(upstream) else { return 0.0 };
        let failing = evidence.greatest_failing() / self.thresholds.failures;
        failing.max(evidence.late / self.thresholds.latency)
    }

    /// Returns the failure domain that alone has seen an upstream fail, while entries of others, of
    /// which there are some, have not been there often enough to tell whether the path is at fault.
    pub fn lone_domain(&self, upstream: usize) -> Option<u32> {
        let evidence = self.upstreams.get(upstream)?;
        if self.domains_seen.len() < 2 || evidence.greatest_failing() <= 0.0 {
            return None;
        }
        let mut failing = evidence.domains.iter().filter(|(_, count)| count.failures > 0);
        let (&domain, _) = failing.next()?;
        failing.next().is_none().then_some(domain)
    }

    /// Returns how bad an upstream has been of late: the share of its calls that failed, or a quarter of
    /// the share that was late, whichever is greater.
    pub fn badness(&self, upstream: usize) -> f64 {
        let tallies = self.routes.iter().filter_map(|route| route.by_upstream.get(upstream));
        let mut sum = OutcomeTally::default();
        for tally in tallies {
            sum.calls += tally.calls;
            sum.failures += tally.failures;
            sum.timed += tally.timed;
            sum.late += tally.late;
        }
        let failing = sum.failures / sum.calls.max(1.0);
        let late = sum.late / sum.timed.max(1.0);
        failing.max(late / 4.0)
    }

    /// Drops the evidence against an upstream.
    pub fn clear(&mut self, upstream: usize) {
        if let Some(evidence) = self.upstreams.get_mut(upstream) {
            *evidence = UpstreamEvidence::default();
        }
        for route in &mut self.routes {
            if let Some(tally) = route.by_upstream.get_mut(upstream) {
                tally.decay(route.all.at);
                route.all.calls -= tally.calls;
                route.all.failures -= tally.failures;
                route.all.timed -= tally.timed;
                route.all.late -= tally.late;
                *tally = OutcomeTally { at: tally.at, ..OutcomeTally::default() };
            }
        }
    }

    /// Halves the evidence against an upstream: its cause was found to be shared.
    pub fn discount(&mut self, upstream: usize) {
        if let Some(evidence) = self.upstreams.get_mut(upstream) {
            evidence.failing.iter_mut().for_each(|value| *value /= 2.0);
            evidence.late /= 2.0;
        }
    }

    fn grow(&mut self, source: &EvidenceSource) {
        self.domains_seen.insert(source.domain);
        if self.routes.len() <= source.route {
            self.routes.resize_with(source.route + 1, RouteEvidence::default);
        }
        if self.upstreams.len() <= source.upstream {
            self.upstreams.resize_with(source.upstream + 1, UpstreamEvidence::default);
        }
    }

    fn judge_failure(&mut self, source: &EvidenceSource, failed: bool, now: Moment) {
        let (all, own) = self.routes[source.route].tallies(source.upstream, now);
        let calls = (all.calls - own.calls).max(0.0);
        let failures = (all.failures - own.failures).max(0.0);
        let expected = (failures / (calls + PRIOR_CALLS)).max(HEALTHY_FAILURES);
        for tally in [all, own] {
            tally.calls += 1.0;
            tally.failures += f64::from(u8::from(failed));
        }
        let evidence = &mut self.upstreams[source.upstream];
        if !failed && evidence.greatest_failing() <= 0.0 {
            return;
        }
        for (value, excess) in evidence.failing.iter_mut().zip(FAILURE_ALTERNATIVES) {
            let cap = self.thresholds.failures * 2.0;
            *value = (*value + likelihood(failed, expected, excess)).clamp(0.0, cap);
        }
        if evidence.greatest_failing() > 0.0 {
            evidence.count_source(source, failed);
        } else {
            evidence.forget_sources();
        }
    }

    fn judge_time(&mut self, source: &EvidenceSource, took_us: u64, now: Moment) {
        let route = &mut self.routes[source.route];
        let Some(times) = route.meter.times() else { return };
        let late = took_us > times.p90;
        let (all, own) = route.tallies(source.upstream, now);
        let timed = (all.timed - own.timed).max(0.0);
        let slow = (all.late - own.late).max(0.0);
        let expected = (slow / (timed + PRIOR_CALLS)).max(HEALTHY_LATE);
        for tally in [all, own] {
            tally.timed += 1.0;
            tally.late += f64::from(u8::from(late));
        }
        let evidence = &mut self.upstreams[source.upstream];
        let cap = self.thresholds.latency * 2.0;
        let step = likelihood(late, expected, LATE_ALTERNATIVE);
        evidence.late = (evidence.late + step).clamp(0.0, cap);
    }

    fn verdict(&mut self, upstream: usize) -> DetectionVerdict {
        let evidence = &mut self.upstreams[upstream];
        if let Some(entry) = lone_source(&evidence.entries) {
            evidence.failing = Default::default();
            evidence.forget_sources();
            return DetectionVerdict::EntryPath(entry);
        }
        if let Some(domain) = lone_source(&evidence.domains) {
            evidence.failing = Default::default();
            evidence.forget_sources();
            return DetectionVerdict::DomainPath(domain);
        }
        if evidence.greatest_failing() >= self.thresholds.failures {
            return DetectionVerdict::Failing;
        }
        if evidence.late >= self.thresholds.latency {
            return DetectionVerdict::Late;
        }
        DetectionVerdict::Calm
    }
}

/// Returns the logarithm of how much likelier an outcome is where the share of bad outcomes exceeds
/// the expected one by a part of what is left.
fn likelihood(bad: bool, expected: f64, excess: f64) -> f64 {
    let alternative = expected + excess * (1.0 - expected);
    if bad { (alternative / expected).ln() } else { ((1.0 - alternative) / (1.0 - expected)).ln() }
}
