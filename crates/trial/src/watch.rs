//! Watches the operators' interface for ejections, as an operator would.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use crate::plan::SECRET;
use model::{
    names::UpstreamName,
    report::{UpstreamHealth, UpstreamRow},
};
use standin::call::{call, request};
use tokio::task::JoinHandle;

/// How often each VM is asked. It bounds how exact a detection time is.
const ASK_PERIOD: Duration = Duration::from_millis(20);

/// Upstreams, each with the moment in which it was first seen out of service.
type SeenEjections = BTreeMap<UpstreamName, Instant>;

/// A running watch. Dropping it ends it.
#[derive(Debug)]
pub struct EjectionWatch {
    seen: Arc<Mutex<SeenEjections>>,
    task: JoinHandle<()>,
}

impl EjectionWatch {
    /// Starts to ask the given operators' ports.
    pub fn spawn(operators: Vec<SocketAddr>) -> Self {
        let seen = Arc::new(Mutex::new(SeenEjections::new()));
        let task = tokio::spawn(watch(operators, seen.clone()));
        Self { seen, task }
    }

    /// Returns when an upstream was first seen out of service.
    pub fn ejected_at(&self, upstream: &UpstreamName) -> Option<Instant> {
        lock(&self.seen).get(upstream).copied()
    }

    /// Counts the upstreams other than `failing` that were seen out of service.
    pub fn false_ejections(&self, failing: &UpstreamName) -> usize {
        lock(&self.seen).keys().filter(|name| *name != failing).count()
    }
}

impl Drop for EjectionWatch {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn watch(operators: Vec<SocketAddr>, seen: Arc<Mutex<SeenEjections>>) {
    loop {
        for &operator in &operators {
            for upstream in ejected(operator).await {
                lock(&seen).entry(upstream).or_insert_with(Instant::now);
            }
        }
        tokio::time::sleep(ASK_PERIOD).await;
    }
}

/// Lists the upstreams that one VM shows as ejected; none where it does not answer.
async fn ejected(operator: SocketAddr) -> Vec<UpstreamName> {
    let bearer = format!("Bearer {SECRET}");
    let get = request("GET", "/upstreams", &[("authorization", &bearer)], b"");
    let Ok(answer) = call(operator, get).await else { return Vec::new() };
    let rows: Vec<UpstreamRow> = serde_json::from_slice(&answer.body).unwrap_or_default();
    let out = rows.into_iter().filter(|row| row.health == Some(UpstreamHealth::Ejected));
    out.map(|row| row.upstream).collect()
}

fn lock(seen: &Mutex<SeenEjections>) -> MutexGuard<'_, SeenEjections> {
    seen.lock().unwrap_or_else(PoisonError::into_inner)
}
