//! What is counted, and the page that shows it in Prometheus' text form.
//!
//! Counts come from [`crate::tally`]. The two histograms of times are the library's own. What the
//! fleet knows (numbers, members, capacity) is asked for when the page is read, so it costs nothing
//! between two readings.

use std::{sync::Arc, time::Duration};

use crate::{
    gauges::{FleetSnapshot, SnapshotCell, observe_snapshot},
    tally::{CLAIMS, FleetTally, OUTCOMES, REASONS, ServiceTally, outcome_label},
};
use model::{names::ServiceName, ports::OperatorPort};
use opentelemetry::{
    KeyValue,
    metrics::{AsyncInstrument, Histogram, Meter, MeterProvider},
};
use opentelemetry_sdk::{error::OTelSdkError, metrics::SdkMeterProvider};
use prometheus::{Registry, TextEncoder};
use snafu::{ResultExt, Snafu};

/// The bounds of the buckets of times, in seconds: fine around the 2.4 ms that may be added to a
/// call, coarse up to the longest usual time-out.
const TIME_BOUNDS: [f64; 12] =
    [0.000_1, 0.000_25, 0.000_5, 0.001, 0.002_4, 0.005, 0.01, 0.025, 0.1, 0.5, 2.0, 10.0];

/// How long the fleet may take to tell what it knows while the page is read. Beyond it the page
/// shows what was told the last time.
const ASK_LIMIT: Duration = Duration::from_secs(1);

/// Why the metrics page cannot be shown.
#[derive(Debug, Snafu)]
pub enum MetricsError {
    /// The exporter could not be built.
    #[snafu(display("cannot start the metrics: {source}"))]
    Exporter {
        /// What the library said.
        source: OTelSdkError,
    },
    /// The page could not be written.
    #[snafu(display("cannot write the metrics page: {source}"))]
    Encode {
        /// What the library said.
        source: prometheus::Error,
    },
}

/// All that is counted in one process. Cloning it shares it.
#[derive(Clone, Debug)]
pub struct FleetMetrics {
    tally: Arc<FleetTally>,
    snapshot: SnapshotCell,
    registry: Registry,
    queue_wait: Histogram<f64>,
    placement: Histogram<f64>,
    _provider: SdkMeterProvider,
}

impl FleetMetrics {
    /// Opens the metrics of a process, each count at 0.
    ///
    /// # Errors
    ///
    /// Fails when the metrics library refuses its settings.
    pub fn open() -> Result<Self, MetricsError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .with_namespace("coltsfootcrank")
            .without_target_info()
            .build()
            .context(ExporterSnafu)?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("coltsfootcrank");
        let (tally, snapshot) = (Arc::default(), Arc::default());
        observe_tally(&meter, &tally);
        observe_snapshot(&meter, &snapshot);
        let queue_wait = times(&meter, "queue_wait", "Time in the placer's queue.");
        let placement =
            times(&meter, "placement", "Time from asking for a slot to having it, queue included.");
        Ok(Self { tally, snapshot, registry, queue_wait, placement, _provider: provider })
    }

    /// Returns the counters.
    pub fn tally(&self) -> &FleetTally {
        &self.tally
    }

    /// Counts a grant: how long it took in all, and how much of that in the placer's queue.
    pub fn count_grant(&self, service: &ServiceName, took: Duration, waited_us: u64) {
        let labels = [service_label(service)];
        self.placement.record(took.as_secs_f64(), &labels);
        self.queue_wait.record(Duration::from_micros(waited_us).as_secs_f64(), &labels);
    }

    /// Asks the fleet for what it knows and returns the page.
    ///
    /// # Errors
    ///
    /// Fails when the page cannot be written.
    pub async fn page(&self, port: &impl OperatorPort) -> Result<String, MetricsError> {
        let ask = async { (port.status().await, port.capacity().await) };
        if let Ok((status, capacity)) = tokio::time::timeout(ASK_LIMIT, ask).await {
            self.snapshot.store(Some(Arc::new(FleetSnapshot { status, capacity })));
        }
        TextEncoder::new().encode_to_string(&self.registry.gather()).context(EncodeSnafu)
    }
}

fn times(meter: &Meter, name: &'static str, about: &'static str) -> Histogram<f64> {
    let builder = meter.f64_histogram(name).with_description(about).with_unit("s");
    builder.with_boundaries(TIME_BOUNDS.to_vec()).build()
}

pub(crate) fn service_label(service: &ServiceName) -> KeyValue {
    KeyValue::new("service", service.as_str().to_owned())
}

fn observe_tally(meter: &Meter, tally: &Arc<FleetTally>) {
    let held = tally.clone();
    meter
        .u64_observable_counter("tries")
        .with_description("Tries of calls at upstreams, by service and how they ended.")
        .with_callback(move |observer| {
            let label = |place: usize| outcome_label(OUTCOMES[place]).to_owned();
            each_service(&held, observer, "outcome", ServiceTally::tries, label);
        })
        .build();
    let held = tally.clone();
    meter
        .u64_observable_counter("refusals")
        .with_description("Calls that got no slot and were not run, by service and reason.")
        .with_callback(move |observer| {
            let label = |place: usize| REASONS[place].to_string();
            each_service(&held, observer, "reason", ServiceTally::refusals, label);
        })
        .build();
    let held = tally.clone();
    meter
        .u64_observable_counter("claims")
        .with_description("Claims of idempotency keys, by their answer.")
        .with_callback(move |observer| {
            for (label, count) in CLAIMS.iter().zip(held.claims()) {
                observer.observe(count, &[KeyValue::new("answer", *label)]);
            }
        })
        .build();
}

fn each_service<const N: usize>(
    tally: &FleetTally,
    observer: &dyn AsyncInstrument<u64>,
    key: &'static str,
    read: impl Fn(&ServiceTally) -> [u64; N],
    label: impl Fn(usize) -> String,
) {
    for (service, counts) in tally.services().iter() {
        for (place, count) in read(counts).into_iter().enumerate().filter(|(_, count)| *count > 0) {
            observer.observe(count, &[service_label(service), KeyValue::new(key, label(place))]);
        }
    }
}
