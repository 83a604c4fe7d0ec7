//! What counting costs a call: the tally against the metrics library's own counter.
//!
//! Bound: a count in the tally costs at most half of one in the library. Both are measured
//! in turns on the same thread, so that a busy machine slows both, and the median of the turns'
//! ratios counts. Seen at first: 0.29.

use std::{
    hint::black_box,
    io::{self, Write},
    process::ExitCode,
    time::{Duration, Instant},
};

use model::{call::OutcomeClass, names::ServiceName};
use opentelemetry::{KeyValue, metrics::MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use platform::metrics::FleetMetrics;

const EVENTS: u32 = 100_000;
const TURNS: usize = 31;
const BOUND: f64 = 0.5;

fn main() -> io::Result<ExitCode> {
    let services: Vec<ServiceName> =
        (0..4).map(|n| format!("service-{n}").parse().expect("a valid name")).collect();
    let metrics = FleetMetrics::open().expect("the library takes its own settings");
    let exporter = opentelemetry_prometheus::exporter().with_registry(prometheus::Registry::new());
    let exporter = exporter.build().expect("the library takes its own settings");
    let provider = SdkMeterProvider::builder().with_reader(exporter).build();
    let counter = provider.meter("bench").u64_counter("tries").build();

    let count_tally = |service: &ServiceName| {
        metrics.tally().count(service, |tally| tally.count_try(black_box(OutcomeClass::Success)));
    };
    let count_library = |service: &ServiceName| {
        let service = KeyValue::new("service", service.as_str().to_owned());
        counter.add(1, &[service, KeyValue::new("outcome", "success")]);
    };
    let count_grant = |service: &ServiceName| {
        metrics.count_grant(service, black_box(Duration::from_millis(2)), black_box(500));
    };
    let turns: Vec<[f64; 3]> = (0..TURNS)
        .map(|_| {
            [
                each_ns(&services, count_tally),
                each_ns(&services, count_library),
                each_ns(&services, count_grant),
            ]
        })
        .collect();
    let [tally, library, grant] =
        [0, 1, 2].map(|place| median(turns.iter().map(|turn| turn[place])));
    let ratio = median(turns.iter().map(|turn| turn[0] / turn[1]));
    let mut out = io::stdout();
    writeln!(out, "event                          ns each")?;
    writeln!(out, "count in the tally             {tally:8.1}")?;
    writeln!(out, "count in the library           {library:8.1}")?;
    writeln!(out, "grant (two histograms)         {grant:8.1}")?;
    writeln!(out, "tally / library                {ratio:8.3}   bound {BOUND}")?;
    Ok(if ratio <= BOUND { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Returns the nanoseconds for each event.
fn each_ns(services: &[ServiceName], event: impl Fn(&ServiceName)) -> f64 {
    let started = Instant::now();
    for number in 0..EVENTS {
        event(&services[number as usize % services.len()]);
    }
    started.elapsed().as_secs_f64() * 1e9 / f64::from(EVENTS)
}

fn median(values: impl Iterator<Item = f64>) -> f64 {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}
