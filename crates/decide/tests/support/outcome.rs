//! What callers and operators observe in a simulation.

use super::build::upstream_number;
use decide::placer::{EjectReason, PlacerAction, ReturnReason, ServicePlacer};
use model::{call::RefusalReason, moment::Moment, report::UpstreamHealth};
use std::time::Duration;

#[derive(Clone, Debug, Default)]
pub struct CallerOutcome {
    pub calls: u64,
    pub answered: u64,
    pub refused: u64,
    pub failed: u64,
    pub late: u64,
}

#[derive(Debug, Default)]
pub struct SimulationOutcome {
    pub callers: Vec<CallerOutcome>,
    pub attempts: u64,
    pub hedges: u64,
    pub shed: u64,
    pub crashes: u64,
    pub waited_us: Vec<u64>,
    pub took_us: Vec<u64>,
    /// When calls were refused, how much time each had left, and why.
    pub refusals: Vec<(Moment, Duration, RefusalReason)>,
    /// Calls that had no slot yet at their deadline, so that a refusal came too late.
    pub waiting_at_deadline: u64,
    pub ejections: Vec<(Moment, usize, EjectReason)>,
    pub returns: Vec<(Moment, usize, ReturnReason)>,
    pub poisoned: u64,
    /// When each upstream was last given a call, and how many calls in all.
    pub last_granted: Vec<Moment>,
    pub grants: Vec<u64>,
    pub failed_attempts: Vec<u64>,
    /// Failed attempts by second.
    pub failed_attempts_by_second: Vec<u64>,
    pub least_healthy_slots: u32,
}

impl SimulationOutcome {
    pub fn new(callers: usize, upstreams: usize) -> Self {
        Self {
            callers: vec![CallerOutcome::default(); callers],
            last_granted: vec![Moment::ZERO; upstreams],
            grants: vec![0; upstreams],
            failed_attempts: vec![0; upstreams],
            least_healthy_slots: u32::MAX,
            ..Self::default()
        }
    }

    pub fn record_action(&mut self, action: &PlacerAction, now: Moment) {
        match action {
            PlacerAction::Eject { upstream, reason, .. } => {
                self.ejections.push((now, upstream_number(upstream), *reason));
            }
            PlacerAction::Return { upstream, reason, .. } => {
                self.returns.push((now, upstream_number(upstream), *reason));
            }
            PlacerAction::Poison { .. } => self.poisoned += 1,
            _ => (),
        }
    }

    pub fn record_grant(&mut self, upstream: usize, now: Moment) {
        self.last_granted[upstream] = now;
        self.grants[upstream] += 1;
    }

    pub fn record_failed_attempt(&mut self, upstream: usize, now: Moment) {
        self.failed_attempts[upstream] += 1;
        let second = (now.as_micros() / 1_000_000) as usize;
        if self.failed_attempts_by_second.len() <= second {
            self.failed_attempts_by_second.resize(second + 1, 0);
        }
        self.failed_attempts_by_second[second] += 1;
    }

    pub fn record_capacity(&mut self, placer: &ServicePlacer, _now: Moment) {
        let row = placer.capacity();
        if row.announced_slots >= row.floor_slots && row.announced_slots > 0 {
            self.least_healthy_slots = self.least_healthy_slots.min(row.healthy_slots);
        }
    }

    pub fn total(&self) -> CallerOutcome {
        self.callers.iter().fold(CallerOutcome::default(), |sum, caller| CallerOutcome {
            calls: sum.calls + caller.calls,
            answered: sum.answered + caller.answered,
            refused: sum.refused + caller.refused,
            failed: sum.failed + caller.failed,
            late: sum.late + caller.late,
        })
    }

    /// Returns the share of calls that were answered in time.
    pub fn answered_share(&self) -> f64 {
        let total = self.total();
        total.answered as f64 / total.calls.max(1) as f64
    }

    pub fn attempts_per_call(&self) -> f64 {
        self.attempts as f64 / self.total().calls.max(1) as f64
    }

    pub fn wait_p99_ms(&self) -> f64 {
        percentile(&self.waited_us, 0.99) as f64 / 1_000.0
    }

    pub fn took_p99_ms(&self) -> f64 {
        percentile(&self.took_us, 0.99) as f64 / 1_000.0
    }
}

pub fn percentile(values: &[u64], share: f64) -> u64 {
    let mut sorted = values.to_vec();
    sorted.sort_unstable();
    let rank = (sorted.len() as f64 * share) as usize;
    sorted.get(rank.min(sorted.len().saturating_sub(1))).copied().unwrap_or(0)
}

pub fn health_of(placer: &ServicePlacer, upstream: usize) -> Option<UpstreamHealth> {
    let mut rows = placer.health();
    rows.find(|row| upstream_number(row.0) == upstream).map(|row| row.1)
}
