//! Decides which calls a VM still sends to upstreams in a planned stop that must end by a certain time.
//!
//! A call that waits for a slot when the VM is told to stop may get one with little of the stop left. It would then
//! be cut at its upstream by the end of the process, and its caller could not tell whether it ran. So a call is sent
//! only if the stop lasts for as long as its service usually takes; any other is refused as not run while there is
//! time to say so, and its caller goes to another VM.

use model::names::ServiceName;
use std::{collections::HashMap, time::Duration};

/// The part of a limited stop after which each call has ended, in tenths. The rest is for writing answers and for
/// telling the placers which slots are free.
const CALLS_TENTHS: u32 = 9;

/// The part of a limited stop, in hundredths, and the longest time in any, for which it is waited that the placers
/// learn of the last calls' ends. A placer that cannot be reached gives the slots back by itself.
const ENDS_HUNDREDTHS: u32 = 5;
const ENDS_LIMIT: Duration = Duration::from_secs(2);

/// The weights of one call in the mean time and in the mean deviation, as TCP has them for round trips (RFC 6298).
const MEAN_WEIGHT: f64 = 1.0 / 8.0;
const DEVIATION_WEIGHT: f64 = 1.0 / 4.0;

/// How many deviations above the mean count as the time that a call takes (RFC 6298).
const DEVIATIONS: f64 = 4.0;

/// The time for a call of a service of which this VM knows no times, on a route without an objective.
const UNKNOWN_TIME: Duration = Duration::from_secs(1);

/// The times of one planned stop, each counted from its beginning.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopSchedule {
    /// For how long calls are taken as before, while the balancer learns of the stop.
    pub lame_duck: Duration,
    /// When each call must have ended. `None`: each may use all of its own time.
    pub calls_end: Option<Duration>,
    limit: Option<Duration>,
}

impl StopSchedule {
    /// Makes the schedule of a stop without a limit.
    pub fn unlimited(lame_duck: Duration) -> Self {
        Self { lame_duck, calls_end: None, limit: None }
    }

    /// Makes the schedule of a stop after which the process is gone. At least half of it is left for what was read
    /// in the lame-duck time.
    pub fn within(limit: Duration, lame_duck: Duration) -> Self {
        let calls_end = limit * CALLS_TENTHS / 10;
        Self { lame_duck: lame_duck.min(limit / 2), calls_end: Some(calls_end), limit: Some(limit) }
    }

    /// Returns for how long it is waited after the last call that the placers learn of its end.
    pub fn ends_limit(&self) -> Duration {
        self.limit.map_or(ENDS_LIMIT, |limit| ENDS_LIMIT.min(limit * ENDS_HUNDREDTHS / 100))
    }
}

/// The times of the calls of one service.
#[derive(Clone, Copy, Debug)]
struct TimeEstimate {
    mean_us: f64,
    deviation_us: f64,
}

impl TimeEstimate {
    fn open(took_us: f64) -> Self {
        Self { mean_us: took_us, deviation_us: took_us / 2.0 }
    }

    fn record(&mut self, took_us: f64) {
        let error = took_us - self.mean_us;
        self.deviation_us += (error.abs() - self.deviation_us) * DEVIATION_WEIGHT;
        self.mean_us += error * MEAN_WEIGHT;
    }

    fn expected(&self) -> Duration {
        Duration::from_micros((self.mean_us + DEVIATIONS * self.deviation_us) as u64)
    }
}

/// How long calls of each service take from one VM.
#[derive(Debug, Default)]
pub struct ServiceTimes {
    services: HashMap<ServiceName, TimeEstimate>,
}

impl ServiceTimes {
    /// Records a call that got its whole answer.
    pub fn record(&mut self, service: &ServiceName, took: Duration) {
        let took_us = took.as_micros() as f64;
        match self.services.get_mut(service) {
            Some(times) => times.record(took_us),
            None => drop(self.services.insert(service.clone(), TimeEstimate::open(took_us))),
        }
    }

    /// Returns within which time most calls of a service end. Where none is known it is the route's objective, if
    /// that is not zero.
    pub fn expected(&self, service: &ServiceName, objective: Duration) -> Duration {
        let unknown = if objective.is_zero() { UNKNOWN_TIME } else { objective };
        self.services.get(service).map_or(unknown, TimeEstimate::expected)
    }
}
