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

mod evidence;
mod tally;

use evidence::{UpstreamEvidence, lone_source};
use model::{config::ServiceRule, moment::Moment};
use std::collections::BTreeSet;
use tally::{HALF_LIVES, RouteEvidence, ShareTally, failures, late};

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

/// What the peers have shown by the time that the threshold is reached must still speak against the
/// upstream, by this part of the threshold in the last seconds, and by the greater part in just the
/// time in which the evidence came together. (For lateness the second alone: a straggler answers too
/// seldom to outweigh its better days within seconds.) A route that begins to fail everywhere fails a few calls
/// of one upstream first; in hindsight its peers fared no better.
const HINDSIGHT_PART: f64 = 0.5;
const EXCURSION_PART: f64 = 0.8;

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

/// The tests of all upstreams of one service.
#[derive(Debug)]
pub struct PeerDetector {
    thresholds: DetectionThresholds,
    routes: Vec<RouteEvidence>,
    upstreams: Vec<UpstreamEvidence>,
    /// All outcomes ever, failed or not.
    failures: ShareTally,
    /// All timed answers ever, late or not.
    late: ShareTally,
    domains_seen: BTreeSet<u32>,
}

impl PeerDetector {
    /// Opens a detector without evidence.
    pub fn open(thresholds: DetectionThresholds) -> Self {
        let (routes, upstreams) = (Vec::new(), Vec::new());
        let (failures, late) = (ShareTally::default(), ShareTally::default());
        Self { thresholds, routes, upstreams, failures, late, domains_seen: BTreeSet::new() }
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
                if self.times(source.route).is_some_and(|times| ran_us > times.p90) {
                    self.judge_time(source, ran_us, now);
                }
            }
        }
        self.verdict(source.upstream, now)
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
        let slow_windows = self.routes.iter().map(|route| &route.windows[0]);
        let tallies = slow_windows.filter_map(|window| window.by_upstream.get(upstream));
        let (mut failures, mut late) = (ShareTally::default(), ShareTally::default());
        for tally in tallies {
            failures.all += tally.failures.all;
            failures.bad += tally.failures.bad;
            late.all += tally.late.all;
            late.bad += tally.late.bad;
        }
        let failing = failures.bad / failures.all.max(1.0);
        failing.max(late.bad / late.all.max(1.0) / 4.0)
    }

    /// Returns how many answers of the last second or two came from an upstream, and from all.
    pub fn answers(&self, upstream: usize) -> (f64, f64) {
        let (mut own, mut all) = (0.0, 0.0);
        for route in &self.routes {
            let window = &route.windows[1];
            own += window.by_upstream.get(upstream).map_or(0.0, |tally| tally.failures.all);
            all += window.all.failures.all;
        }
        (own, all)
    }

    /// Drops the evidence against an upstream.
    pub fn clear(&mut self, upstream: usize) {
        if let Some(evidence) = self.upstreams.get_mut(upstream) {
            *evidence = UpstreamEvidence::default();
        }
        for route in &mut self.routes {
            for (window, half_life) in route.windows() {
                let now = window.all.at;
                window.clear(upstream, half_life, now);
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
        let route = &mut self.routes[source.route];
        let upstream = source.upstream;
        let expected = route.expect_and_count(upstream, failures, HEALTHY_FAILURES, failed, now);
        let before = self.failures;
        self.failures.count(failed);
        let evidence = &mut self.upstreams[upstream];
        let fresh = evidence.greatest_failing() <= 0.0;
        if !failed && fresh {
            return;
        }
        evidence.failing_since.count(failed, fresh, before);
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
        let is_late = took_us > times.p90;
        let expected = route.expect_and_count(source.upstream, late, HEALTHY_LATE, is_late, now);
        let before = self.late;
        self.late.count(is_late);
        let evidence = &mut self.upstreams[source.upstream];
        let fresh = evidence.late <= 0.0;
        evidence.late_since.count(is_late, fresh, before);
        let cap = self.thresholds.latency * 2.0;
        let step = likelihood(is_late, expected, LATE_ALTERNATIVE);
        evidence.late = (evidence.late + step).clamp(0.0, cap);
    }

    /// Tells whether what the peers have shown until now still speaks against an upstream.
    fn fails_in_hindsight(&mut self, upstream: usize, now: Moment) -> bool {
        let needed = self.thresholds.failures * HINDSIGHT_PART;
        let mut sums = [0.0; HALF_LIVES.len()];
        for route in &mut self.routes {
            let excess = route.excess(upstream, failures, HEALTHY_FAILURES, now);
            sums.iter_mut().zip(excess).for_each(|(sum, excess)| *sum += excess);
        }
        sums.iter().any(|&sum| sum >= needed)
    }

    fn verdict(&mut self, upstream: usize, now: Moment) -> DetectionVerdict {
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
        let (failing, slow) = (evidence.greatest_failing(), evidence.late);
        let limits = self.thresholds;
        if failing >= limits.failures {
            let since = self.upstreams[upstream].failing_since;
            let excess = since.excess(self.failures, HEALTHY_FAILURES);
            if excess >= limits.failures * EXCURSION_PART && self.fails_in_hindsight(upstream, now)
            {
                return DetectionVerdict::Failing;
            }
            self.discount(upstream);
        }
        if slow >= limits.latency {
            let since = self.upstreams[upstream].late_since;
            let excess = since.excess(self.late, HEALTHY_LATE);
            // Where the peers' times do not count (cold, or given too much) nothing compares.
            let compared = since.peers(self.late).all >= since.own.all;
            if compared && excess >= limits.latency * EXCURSION_PART {
                return DetectionVerdict::Late;
            }
            self.discount(upstream);
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
