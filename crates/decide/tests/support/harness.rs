//! Drives one placer by hand, event by event.

use super::build::{self, announcement, ask, settings, settle};
use decide::placer::{AskId, PlacerAction, ServicePlacer};
use model::{
    call::{CallRefusal, OutcomeClass},
    config::ServiceRule,
    moment::Moment,
    numbers::CallNumber,
    slot::{SlotAsk, SlotGrant},
};
use std::time::Duration;

pub struct PlacerHarness {
    pub placer: ServicePlacer,
    pub now: Moment,
    pub calls: u64,
    sequence: u64,
    upstreams: usize,
    slots: u32,
}

/// The immediate outcome of an ask.
#[derive(Clone, Debug)]
pub enum AskOutcome {
    Grant(SlotGrant),
    Refusal(CallRefusal),
    Queued,
}

impl AskOutcome {
    pub fn grant(self) -> SlotGrant {
        match self {
            Self::Grant(grant) => grant,
            other => panic!("expected a grant, found {other:?}"),
        }
    }

    pub fn refusal(self) -> CallRefusal {
        match self {
            Self::Refusal(refusal) => refusal,
            other => panic!("expected a refusal, found {other:?}"),
        }
    }

    pub fn is_queued(&self) -> bool {
        matches!(self, Self::Queued)
    }
}

impl PlacerHarness {
    /// Opens a placer whose recount has ended, with warm upstreams spread over four failure domains.
    pub fn open(rule: ServiceRule, upstreams: usize, slots: u32) -> Self {
        let mut harness = Self::open_recounting(rule, upstreams, slots);
        let mut actions = Vec::new();
        harness.placer.finish_recount(harness.now, &mut actions);
        harness
    }

    /// Opens a placer whose recount has not ended.
    pub fn open_recounting(rule: ServiceRule, upstreams: usize, slots: u32) -> Self {
        let placer = ServicePlacer::new(settings(rule, 5));
        let now = Moment::from_millis(1_000);
        let mut harness = Self { placer, now, calls: 0, sequence: 1, upstreams, slots };
        harness.renew(0..upstreams, slots);
        harness
    }

    /// Renews the leases of upstreams.
    pub fn renew(
        &mut self,
        upstreams: impl IntoIterator<Item = usize>,
        slots: u32,
    ) -> Vec<PlacerAction> {
        let mut actions = Vec::new();
        self.sequence += 1;
        for number in upstreams {
            let mut renewal = announcement(number, number % 4, slots);
            renewal.sequence = self.sequence;
            self.placer.announce(&renewal, self.now, &mut actions);
        }
        actions
    }

    pub fn advance(&mut self, millis: u64) -> Vec<PlacerAction> {
        self.now = self.now + Duration::from_millis(millis);
        let mut actions = Vec::new();
        self.placer.tick(self.now, &mut actions);
        actions
    }

    pub fn ask_from(&mut self, entry: usize, change: impl FnOnce(&mut SlotAsk)) -> AskOutcome {
        self.calls += 1;
        let mut ask = ask(self.calls, 1, entry, 0, entry, 1_000);
        change(&mut ask);
        let mut actions = Vec::new();
        let id = AskId { entry: build::entry(entry), call: ask.call, attempt: ask.attempt };
        self.placer.ask(build::entry(entry), ask, self.now, &mut actions);
        answer_to(&id, &actions)
    }

    pub fn ask(&mut self) -> AskOutcome {
        let entry = (self.calls % 40) as usize;
        self.ask_from(entry, |_| ())
    }

    pub fn settle(&mut self, grant: &SlotGrant, outcome: OutcomeClass) -> Vec<PlacerAction> {
        self.settle_as(grant, self.calls | 1 << 40, outcome, 20)
    }

    pub fn settle_as(
        &mut self,
        grant: &SlotGrant,
        fingerprint: u64,
        outcome: OutcomeClass,
        took_ms: u64,
    ) -> Vec<PlacerAction> {
        let settle = settle(grant, 0, fingerprint, outcome, Duration::from_millis(took_ms));
        let mut actions = Vec::new();
        self.placer.settle(&settle, self.now, &mut actions);
        actions
    }

    /// Runs calls one after the other; `outcome` returns how each ends, by entry and upstream.
    pub fn run_calls(
        &mut self,
        calls: usize,
        mut outcome: impl FnMut(usize, usize) -> OutcomeClass,
    ) -> Vec<PlacerAction> {
        let mut seen = Vec::new();
        for call in 0..calls {
            if call % 200 == 0 {
                seen.extend(self.renew(0..self.upstreams, self.slots));
            }
            let entry = (self.calls % 40) as usize;
            let AskOutcome::Grant(grant) = self.ask() else { continue };
            seen.extend(self.advance(2));
            let upstream = build::upstream_number(&grant.upstream);
            seen.extend(self.settle(&grant, outcome(entry, upstream)));
        }
        seen
    }

    pub fn cancel(&mut self, entry: usize, call: u64) {
        let entry = build::entry(entry);
        self.placer.cancel(&AskId { entry, call: CallNumber(call), attempt: 1 });
    }
}

fn answer_to(id: &AskId, actions: &[PlacerAction]) -> AskOutcome {
    for action in actions {
        match action {
            PlacerAction::Grant { to, grant, .. } if to == id => {
                return AskOutcome::Grant(grant.clone());
            }
            PlacerAction::Refuse { to, refusal, .. } if to == id => {
                return AskOutcome::Refusal(*refusal);
            }
            _ => (),
        }
    }
    AskOutcome::Queued
}

pub fn ejected(actions: &[PlacerAction]) -> Vec<usize> {
    let upstreams = actions.iter().filter_map(|action| match action {
        PlacerAction::Eject { upstream, .. } => Some(build::upstream_number(upstream)),
        _ => None,
    });
    upstreams.collect()
}

pub fn returned(actions: &[PlacerAction]) -> Vec<usize> {
    let upstreams = actions.iter().filter_map(|action| match action {
        PlacerAction::Return { upstream, .. } => Some(build::upstream_number(upstream)),
        _ => None,
    });
    upstreams.collect()
}
