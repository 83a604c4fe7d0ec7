//! Limits the open connections of a listening port.
//!
//! Thousands of upstreams keep a connection open between two announcements. Without eviction they could use
//! up the whole limit, and a later client, such as an operator sending a command or an upstream that is
//! leaving, would wait unnoticed in the kernel's accept backlog until it timed out. A new connection
//! therefore replaces the one that has been idle for longest, which is closed gracefully and may reconnect.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use crate::log_limiter::LogLimiter;
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};

/// Minimum time between two warnings that the limit is reached.
const LIMIT_LOG_PERIOD: Duration = Duration::from_secs(10);

/// Limits the open connections of one port and closes idle ones to make room.
#[derive(Clone, Debug)]
pub struct ConnectionLimiter {
    limit: u32,
    permits: Arc<Semaphore>,
    table: Arc<Mutex<ConnectionTable>>,
    limit_log: Arc<LogLimiter>,
}

#[derive(Debug, Default)]
struct ConnectionTable {
    last_number: u64,
    /// The last sequence number given to a connection that became idle.
    last_idle_sequence: u64,
    /// Numbers of the idle connections by idle sequence, longest idle first.
    idle: BTreeMap<u64, u64>,
    connections: HashMap<u64, TrackedConnection>,
}

#[derive(Debug)]
struct TrackedConnection {
    /// Its key in `ConnectionTable::idle`. `None` while it serves a request, or once asked to close.
    idle_sequence: Option<u64>,
    close_signal: Arc<Notify>,
}

impl ConnectionTable {
    fn set_idle(&mut self, number: u64) {
        let Some(connection) = self.connections.get_mut(&number) else { return };
        self.last_idle_sequence += 1;
        connection.idle_sequence = Some(self.last_idle_sequence);
        self.idle.insert(self.last_idle_sequence, number);
    }

    fn set_active(&mut self, number: u64) {
        let idle_sequence = self
            .connections
            .get_mut(&number)
            .and_then(|connection| connection.idle_sequence.take());
        idle_sequence.map(|sequence| self.idle.remove(&sequence));
    }

    /// Asks the connection that has been idle for longest to close. Returns `false` if none is idle.
    fn close_longest_idle(&mut self) -> bool {
        let Some((_, number)) = self.idle.pop_first() else { return false };
        if let Some(connection) = self.connections.get_mut(&number) {
            connection.idle_sequence = None;
            connection.close_signal.notify_one();
        }
        true
    }
}

impl ConnectionLimiter {
    /// Creates a limiter for `limit` connections, at least one.
    pub fn new(limit: usize) -> Self {
        let limit = u32::try_from(limit.clamp(1, Semaphore::MAX_PERMITS)).unwrap_or(u32::MAX);
        Self {
            limit,
            permits: Arc::new(Semaphore::new(limit as usize)),
            table: Arc::default(),
            limit_log: Arc::new(LogLimiter::new(LIMIT_LOG_PERIOD)),
        }
    }

    /// Waits for a permit. If the limit is reached, asks the longest idle connection to close first.
    pub async fn acquire(&self) -> ConnectionPermit {
        if let Ok(permit) = self.permits.clone().try_acquire_owned() {
            return self.register(permit);
        }
        let closing = self.lock().close_longest_idle();
        if let Some(passed_over) = self.limit_log.try_log() {
            log::warn!(connections = self.limit, all_in_use = !closing, passed_over; "connection limit of a port reached");
        }
        let permit =
            self.permits.clone().acquire_owned().await.expect("the semaphore is never closed");
        self.register(permit)
    }

    fn register(&self, permit: OwnedSemaphorePermit) -> ConnectionPermit {
        let mut table = self.lock();
        table.last_number += 1;
        let (number, close_signal) = (table.last_number, Arc::new(Notify::new()));
        table.connections.insert(
            number,
            TrackedConnection { idle_sequence: None, close_signal: close_signal.clone() },
        );
        table.set_idle(number);
        let registered =
            RegisteredConnection { number, table: self.table.clone(), _permit: permit };
        ConnectionPermit { registered: Arc::new(registered), close_signal }
    }

    /// Waits until all permits have been returned.
    pub async fn all_closed(&self) {
        // Acquiring fails only on a closed semaphore, and this one is never closed.
        let _ = self.permits.acquire_many(self.limit).await;
    }

    fn lock(&self) -> MutexGuard<'_, ConnectionTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Permits one connection. It is returned when its last clone and its last [`ActiveRequest`] are
/// dropped.
#[derive(Clone, Debug)]
pub struct ConnectionPermit {
    registered: Arc<RegisteredConnection>,
    close_signal: Arc<Notify>,
}

#[derive(Debug)]
struct RegisteredConnection {
    number: u64,
    table: Arc<Mutex<ConnectionTable>>,
    _permit: OwnedSemaphorePermit,
}

impl RegisteredConnection {
    fn lock(&self) -> MutexGuard<'_, ConnectionTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for RegisteredConnection {
    fn drop(&mut self) {
        let number = self.number;
        let mut table = self.lock();
        table.set_active(number);
        table.connections.remove(&number);
    }
}

impl ConnectionPermit {
    /// Marks the connection as active until the returned guard is dropped.
    pub fn begin_request(&self) -> ActiveRequest {
        self.registered.lock().set_active(self.registered.number);
        ActiveRequest(self.registered.clone())
    }

    /// Waits until the limiter asks this connection to close.
    pub async fn close_requested(&self) {
        self.close_signal.notified().await;
    }
}

/// Marks a connection as active while a request is served; dropping it marks the connection idle.
#[derive(Debug)]
pub struct ActiveRequest(Arc<RegisteredConnection>);

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.0.lock().set_idle(self.0.number);
    }
}
