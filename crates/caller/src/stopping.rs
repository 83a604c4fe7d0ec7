//! A planned stop, as the calls of this VM see it.
//!
//! What is still begun in it is decided in [`decide::planned_stop`]. Each wait of a call ends with it: see
//! [`crate::clock`].

use std::{
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use decide::planned_stop::ServiceTimes;
use model::{
    call::{CallRefusal, RefusalReason},
    names::ServiceName,
};
use tokio::{
    sync::watch,
    time::{Instant, sleep_until},
};

/// When a call should come back that reached a VM in its planned stop, in milliseconds. The balancer sends it to
/// another one.
const STOPPING_RETRY_MS: u32 = 50;

/// How long after the end of all calls callers may take to read their answers.
const FLUSH_TIME: Duration = Duration::from_millis(200);

/// Returns the refusal of a call that this VM does not begin since it stops.
pub(crate) fn stopping() -> CallRefusal {
    CallRefusal::passing(RefusalReason::NotReady, STOPPING_RETRY_MS)
}

/// How far a planned stop has come.
#[derive(Debug, Default)]
pub(crate) struct StopState {
    /// Callers are asked to open no further request on their present connection.
    closing: AtomicBool,
    /// No call is taken any more.
    refusing: AtomicBool,
    /// When each call must have ended. `None`: there is no stop, or it has no limit.
    end: watch::Sender<Option<Instant>>,
    times: Mutex<ServiceTimes>,
}

impl StopState {
    pub(crate) fn begin_closing(&self) {
        self.closing.store(true, Ordering::Relaxed);
    }

    pub(crate) fn begin_refusing(&self) {
        self.refusing.store(true, Ordering::Relaxed);
    }

    pub(crate) fn limit(&self, end: Instant) {
        self.end.send_replace(Some(end));
    }

    pub(crate) fn is_closing(&self) -> bool {
        self.closing.load(Ordering::Relaxed)
    }

    pub(crate) fn is_refusing(&self) -> bool {
        self.refusing.load(Ordering::Relaxed)
    }

    /// Tells whether a planned stop has begun.
    pub(crate) fn has_begun(&self) -> bool {
        self.is_closing() || self.is_refusing()
    }

    /// Returns when each call must have ended, in a stop with a limit.
    pub(crate) fn end(&self) -> Option<Instant> {
        *self.end.borrow()
    }

    /// Notes how long a call of a service took.
    pub(crate) fn record_time(&self, service: &ServiceName, took: Duration) {
        self.times().record(service, took);
    }

    /// Tells whether a call that goes to its upstream now is likely to end within the stop.
    pub(crate) fn may_send(&self, service: &ServiceName, objective: Duration) -> bool {
        let expected = || self.times().expected(service, objective);
        self.end().is_none_or(|end| Instant::now() + expected() <= end)
    }

    /// Waits until it is too late in a stop for a call to go to its upstream.
    pub(crate) async fn too_late(&self, service: &ServiceName, objective: Duration) {
        let end = self.limited().await;
        let expected = self.times().expected(service, objective);
        sleep_until(end.checked_sub(expected).unwrap_or(end)).await;
    }

    /// Waits until calls must have ended, in a stop with a limit.
    pub(crate) async fn over(&self) {
        sleep_until(self.limited().await).await;
    }

    /// Waits until callers have had time to read what was answered last, in a stop with a limit.
    pub(crate) async fn flushed(&self) {
        sleep_until(self.limited().await + FLUSH_TIME).await;
    }

    /// Waits for a stop with a limit, and returns when calls must have ended.
    async fn limited(&self) -> Instant {
        let mut ends = self.end.subscribe();
        loop {
            let end = *ends.borrow_and_update();
            if let Some(end) = end {
                return end;
            }
            // The sender lives as long as `self`.
            let _ = ends.changed().await;
        }
    }

    fn times(&self) -> MutexGuard<'_, ServiceTimes> {
        self.times.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
