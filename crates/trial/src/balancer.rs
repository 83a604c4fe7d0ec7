//! The platform's balancer: sends callers to the VMs whose health page says so.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use standin::call::{call, request};
use tokio::task::JoinHandle;

/// How often the balancer asks each VM.
const ASK_PERIOD: Duration = Duration::from_millis(100);

/// A running balancer. Dropping it ends it.
#[derive(Debug)]
pub struct BalancerStandin {
    ready: Arc<Mutex<Vec<SocketAddr>>>,
    task: JoinHandle<()>,
}

impl BalancerStandin {
    /// Starts to ask. `entries` lists for each VM where callers and where the balancer is served.
    pub fn spawn(entries: Vec<(SocketAddr, SocketAddr)>) -> Self {
        let all = entries.iter().map(|(callers, _)| *callers).collect();
        let ready = Arc::new(Mutex::new(all));
        let task = tokio::spawn(watch(entries, ready.clone()));
        Self { ready, task }
    }

    /// Picks a VM for a new connection.
    pub fn pick(&self, number: usize) -> Option<SocketAddr> {
        let ready = self.ready.lock().unwrap_or_else(PoisonError::into_inner);
        ready.get(number % ready.len().max(1)).copied()
    }

    /// Tells whether a VM still takes new calls.
    pub fn is_ready(&self, entry: SocketAddr) -> bool {
        self.ready.lock().unwrap_or_else(PoisonError::into_inner).contains(&entry)
    }
}

impl Drop for BalancerStandin {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn watch(entries: Vec<(SocketAddr, SocketAddr)>, ready: Arc<Mutex<Vec<SocketAddr>>>) {
    loop {
        let mut now = Vec::new();
        for (callers, platform) in &entries {
            let answer = call(*platform, request("GET", "/health", &[], b"")).await;
            if answer.is_ok_and(|answer| answer.status.is_success()) {
                now.push(*callers);
            }
        }
        *ready.lock().unwrap_or_else(PoisonError::into_inner) = now;
        tokio::time::sleep(ASK_PERIOD).await;
    }
}
