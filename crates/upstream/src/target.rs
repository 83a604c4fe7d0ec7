//! What a pool knows of one upstream, and what it forgets.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use hyper::client::conn::http1::SendRequest;
use tokio::time::Instant;

use crate::pool::{PoolSettings, RequestBody};

/// For how long after silent connections were found a newer one is not held to be silent as well.
///
/// Failure: an upstream hangs on some of its work and answers probes. Symptom: each hang passes for a
/// silent connection and the upstream is never charged. Connections are lost track of together and
/// seldom, so one such finding in this time excuses the upstream once, and the next hang is charged.
const EPISODE_GAP: Duration = Duration::from_secs(30);

/// A connection that waits for an exchange.
pub(crate) struct IdleConnection {
    pub(crate) sender: SendRequest<RequestBody>,
    pub(crate) opened: Instant,
    pub(crate) proved: Instant,
}

/// The connections to one upstream.
#[derive(Default)]
pub(crate) struct TargetState {
    /// The most recently proved last.
    pub(crate) idle: Vec<IdleConnection>,
    pub(crate) in_use: usize,
    /// When a new connection last answered, and one that was used before.
    pub(crate) new_works: Option<Instant>,
    pub(crate) reused_works: Option<Instant>,
    /// When connections were last found to be silent.
    pub(crate) found_silent: Option<Instant>,
}

impl TargetState {
    /// Tells whether a connection opened then may be one of many that went silent.
    pub(crate) fn may_be_silent(&self, opened: Instant) -> bool {
        self.found_silent.is_none_or(|found| opened <= found || found.elapsed() >= EPISODE_GAP)
    }
}

/// The connections to all upstreams.
pub(crate) struct PoolState {
    pub(crate) targets: HashMap<SocketAddr, TargetState>,
    pub(crate) swept: Instant,
    pub(crate) started: Instant,
}

impl PoolState {
    /// Closes what has been idle for too long or is too much, and forgets upstreams that are gone.
    pub(crate) fn sweep(&mut self, settings: &PoolSettings) {
        self.swept = Instant::now();
        let oldest = self.oldest_kept(settings);
        self.targets.retain(|_, target| {
            target.idle.retain(|one| !one.sender.is_closed() && one.proved > oldest);
            let remembered = target.found_silent.is_some_and(|at| at.elapsed() < EPISODE_GAP);
            target.in_use > 0 || !target.idle.is_empty() || remembered
        });
    }

    /// Returns after which moment an idle connection must be proved to be kept.
    fn oldest_kept(&self, settings: &PoolSettings) -> Instant {
        let by_age = self.swept.checked_sub(settings.idle_limit);
        let all = self.targets.values().flat_map(|target| &target.idle);
        let mut proved: Vec<_> = all.map(|one| one.proved).collect();
        let surplus = proved.len().saturating_sub(settings.idle_total);
        let by_count = surplus.checked_sub(1).map(|last| *proved.select_nth_unstable(last).1);
        by_age.into_iter().chain(by_count).max().unwrap_or(self.started)
    }
}
