//! Compares how soon detectors find a faulty upstream, and how often they eject a healthy one.
//!
//! Three detectors get the same simulated traffic: consecutive errors at each entry alone, the
//! sequential test at each entry alone, and the placer with the sequential test. The detection time
//! is the time from the onset of the fault until nine tenths of the upstream's work have stopped;
//! an entry alone stops only its own calls.
//!
//! `DECIDE_HEALTHY_HOURS=10000` runs the long check for false ejections; without it each row covers
//! 6 upstream-hours.

mod traffic;

use decide::detect::DetectionThresholds;
use model::config::ServiceRule;
use std::{io::Write, process::ExitCode};
use traffic::{
    HEALTHY, ServiceShape, TrafficRun, UpstreamFault, build,
    detectors::{FailureDetector, IndependentEntries, PlacerDetector},
};

const GUILD: ServiceShape = ServiceShape { upstreams: 15, slots: 4, entries: 48, rate: 30.0 };
const CONVOY: ServiceShape = ServiceShape { upstreams: 8, slots: 6, entries: 36, rate: 45.0 };
const LARGE: ServiceShape = ServiceShape { upstreams: 60, slots: 4, entries: 48, rate: 30.0 };

const FAULTS: [UpstreamFault; 6] = [
    UpstreamFault { name: "fails 5%", fail_share: 0.05, slow: 1.0 },
    UpstreamFault { name: "fails 10%", fail_share: 0.10, slow: 1.0 },
    UpstreamFault { name: "fails 30%", fail_share: 0.30, slow: 1.0 },
    UpstreamFault { name: "fails 100%", fail_share: 1.0, slow: 1.0 },
    UpstreamFault { name: "3x slow", fail_share: 0.0, slow: 3.0 },
    UpstreamFault { name: "10x slow", fail_share: 0.0, slow: 10.0 },
];

/// The time limit in seconds; faults not found by then count as found then.
const DETECTION_LIMIT: f64 = 90.0;
const SEEDS: u64 = 5;

/// Upstream-hours of healthy traffic per row.
const HOURS: f64 = 6.0;

/// The bound: the placer must be faster than five consecutive errors by this factor, at no more
/// false ejections.
const MIN_SPEEDUP: f64 = 5.0;

#[derive(Clone, Debug)]
enum Detector {
    ConsecutiveErrors(u32),
    EntrySequential(ServiceRule),
    Placer(ServiceRule),
}

impl Detector {
    fn open(&self, shape: &ServiceShape, seed: u64) -> Box<dyn FailureDetector> {
        let (upstreams, entries) = (shape.upstreams, shape.entries);
        match self {
            Self::ConsecutiveErrors(limit) => {
                Box::new(IndependentEntries::consecutive_errors(*limit, upstreams, entries))
            }
            Self::EntrySequential(rule) => {
                Box::new(IndependentEntries::sequential(rule, upstreams, entries))
            }
            Self::Placer(rule) => {
                Box::new(PlacerDetector::open(rule.clone(), upstreams, shape.slots, seed))
            }
        }
    }

    fn name(&self) -> String {
        match self {
            Self::ConsecutiveErrors(limit) => format!("each entry, {limit} in a row"),
            Self::EntrySequential(rule) => format!("each entry, sequential, h={}", threshold(rule)),
            Self::Placer(rule) => format!("placer, sequential, h={}", threshold(rule)),
        }
    }

    /// Returns the median detection time in seconds.
    fn median_detection_time(&self, shape: &ServiceShape, fault: UpstreamFault) -> f64 {
        let times = (0..SEEDS).map(|seed| {
            let mut detector = self.open(shape, seed);
            let mut run = TrafficRun::open(*shape, fault, false, 100 + seed);
            run.find(detector.as_mut(), DETECTION_LIMIT).unwrap_or(DETECTION_LIMIT)
        });
        let mut times: Vec<f64> = times.collect();
        times.sort_by(f64::total_cmp);
        times[times.len() / 2]
    }

    /// Returns the false ejections in this many upstream-hours of healthy traffic with noise.
    fn false_ejections(&self, shape: &ServiceShape, hours: f64, seed: u64) -> f64 {
        let mut detector = self.open(shape, seed);
        let seconds = hours * 3_600.0 / shape.upstreams as f64;
        let mut run = TrafficRun::open(*shape, HEALTHY, true, seed);
        run.run(detector.as_mut(), seconds);
        detector.false_ejections() + if detector.found() { 1.0 } else { 0.0 }
    }
}

fn threshold(rule: &ServiceRule) -> String {
    format!("{:.1}", DetectionThresholds::from_rule(rule).failures)
}

fn rule_with_prices(late: u32, false_ejection: u32) -> ServiceRule {
    ServiceRule {
        late_detection_price: late,
        false_ejection_price: false_ejection,
        ..ServiceRule::default()
    }
}

fn print_line(line: &str) {
    let mut out = std::io::stdout().lock();
    let _ = writeln!(out, "{line}");
}

fn print_header() {
    let faults: Vec<String> = FAULTS.iter().map(|fault| format!("{:>10}", fault.name)).collect();
    print_line(&format!("{:<34}{} | false ejections", "detector", faults.join("")));
}

fn format_time(seconds: f64) -> String {
    if seconds >= DETECTION_LIMIT {
        format!(">{DETECTION_LIMIT:.0} s")
    } else {
        format!("{seconds:.2} s")
    }
}

/// Prints a row and returns its detection times and false ejections.
fn print_row(detector: &Detector, shape: &ServiceShape, hours: f64) -> (Vec<f64>, f64) {
    let times: Vec<f64> =
        FAULTS.iter().map(|&fault| detector.median_detection_time(shape, fault)).collect();
    let false_ejections = detector.false_ejections(shape, hours, 7);
    let cells: Vec<String> =
        times.iter().map(|&time| format!("{:>10}", format_time(time))).collect();
    print_line(&format!(
        "{:<34}{} | {false_ejections:.2} in {hours:.0} h",
        detector.name(),
        cells.join("")
    ));
    (times, false_ejections)
}

/// Compares the placer with five consecutive errors. Returns whether the bound holds.
fn compare(name: &str, shape: &ServiceShape, rule: &ServiceRule, hours: f64) -> bool {
    print_line(&format!(
        "\n{name}: {} upstreams, {} entries, {} calls/s each",
        shape.upstreams, shape.entries, shape.rate
    ));
    print_header();
    let (first, first_false_ejections) = print_row(&Detector::ConsecutiveErrors(5), shape, hours);
    print_row(&Detector::EntrySequential(rule.clone()), shape, hours);
    let (placer, false_ejections) = print_row(&Detector::Placer(rule.clone()), shape, hours);
    let ratios: Vec<f64> = first.iter().zip(&placer).map(|(a, b)| a / b).collect();
    let cells: Vec<String> = ratios.iter().map(|ratio| format!("{ratio:>9.0}x")).collect();
    print_line(&format!("{:<34}{}", "placer sooner by at least", cells.join("")));
    ratios.iter().all(|&ratio| ratio >= MIN_SPEEDUP) && false_ejections <= first_false_ejections
}

fn print_price_curve() {
    print_line("\nThe curve: 15 upstreams, 48 entries, prices late : false");
    print_header();
    for limit in [2, 3, 5, 8] {
        print_row(&Detector::ConsecutiveErrors(limit), &GUILD, HOURS);
    }
    for (late, false_price) in [(200, 1), (10, 1), (1, 1), (1, 10), (1, 60), (1, 10_000)] {
        print_line(&format!("prices {late} : {false_price}"));
        print_row(&Detector::Placer(rule_with_prices(late, false_price)), &GUILD, HOURS);
    }
}

/// Runs healthy traffic through the defaults of both deployments and counts false ejections.
fn healthy(hours: f64) -> f64 {
    let mut false_ejections = 0.0;
    for (name, shape, rule) in
        [("Guild", GUILD, build::guild_rule(15)), ("Convoy Society", CONVOY, build::convoy_rule(8))]
    {
        // The parts have different seeds and run on separate threads.
        let parts: u32 = if hours > 1_000.0 { 3 } else { 1 };
        let detector = Detector::Placer(rule);
        let found: f64 = std::thread::scope(|scope| {
            let runs: Vec<_> = (0..parts)
                .map(|part| {
                    let detector = &detector;
                    let hours = hours / f64::from(parts);
                    scope.spawn(move || {
                        detector.false_ejections(&shape, hours, 1_000 + u64::from(part))
                    })
                })
                .collect();
            runs.into_iter().map(|run| run.join().expect("a run does not panic")).sum()
        });
        print_line(&format!(
            "healthy, {name}: {found:.0} false ejections in {hours:.0} upstream-hours"
        ));
        false_ejections += found;
    }
    false_ejections
}

fn main() -> ExitCode {
    let hours = std::env::var("DECIDE_HEALTHY_HOURS").ok();
    if let Some(hours) = hours.and_then(|hours| hours.parse().ok()) {
        let false_ejections = healthy(hours);
        return if false_ejections == 0.0 { ExitCode::SUCCESS } else { ExitCode::FAILURE };
    }
    let mut met = compare("Guild", &GUILD, &build::guild_rule(15), HOURS);
    met &= compare("Convoy Society", &CONVOY, &build::convoy_rule(8), HOURS);
    met &= compare("Large", &LARGE, &rule_with_prices(1, 10), HOURS);
    print_price_curve();
    print_line(&format!(
        "\nbound: {MIN_SPEEDUP} times sooner than five in a row, at no more false ejections: {met}"
    ));
    if met { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
