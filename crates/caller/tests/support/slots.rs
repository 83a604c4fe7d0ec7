//! A placer without limits that keeps count.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
};

use model::{
    call::{CallRefusal, OutcomeClass, RefusalReason},
    numbers::{GrantNumber, PlacerEpoch},
    ports::SlotPort,
    slot::{GrantId, RequestFingerprint, SlotAsk, SlotGrant, SlotSettle},
};
use tokio::sync::Notify;

/// Grants the first upstream that the call has not tried.
#[derive(Default)]
pub struct FakeSlots {
    pub targets: Mutex<Vec<SocketAddr>>,
    pub hedge_after_us: AtomicU64,
    /// Refuses each ask with this.
    pub refusal: Mutex<Option<CallRefusal>>,
    /// Holds each ask back for good.
    pub held: AtomicBool,
    pub released: Notify,
    /// Asks that wait, and that nobody has dropped.
    pub waiting: AtomicU64,
    /// Revokes each grant before it begins.
    pub revoked: AtomicBool,
    pub asks: Mutex<Vec<SlotAsk>>,
    pub settles: Mutex<Vec<SlotSettle>>,
    crashes: Mutex<HashMap<RequestFingerprint, u32>>,
    granted: AtomicU64,
}

impl FakeSlots {
    pub fn over(targets: &[SocketAddr]) -> Arc<Self> {
        Arc::new(Self { targets: Mutex::new(targets.to_vec()), ..Self::default() })
    }

    pub fn outcomes(&self) -> Vec<OutcomeClass> {
        self.settles.lock().unwrap().iter().map(|settle| settle.outcome).collect()
    }

    /// Slots granted and not yet settled.
    pub fn busy(&self) -> u64 {
        self.granted.load(Ordering::SeqCst) - self.settles.lock().unwrap().len() as u64
    }

    pub fn refuse(&self, reason: Option<RefusalReason>) {
        let refusal = reason.map(|reason| CallRefusal::passing(reason, 1_000));
        *self.refusal.lock().unwrap() = refusal;
    }

    fn choose(&self, ask: &SlotAsk) -> Option<(usize, SocketAddr)> {
        let targets = self.targets.lock().unwrap();
        let tried = |number: usize| ask.avoid.iter().any(|name| name.as_str() == name_of(number));
        let fresh = targets.iter().enumerate().find(|(number, _)| !tried(*number));
        fresh.or(targets.iter().enumerate().next()).map(|(number, &address)| (number, address))
    }
}

struct WaitingGuard<'a>(&'a AtomicU64);

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

fn name_of(number: usize) -> String {
    format!("hunt-{number}")
}

impl SlotPort for FakeSlots {
    async fn ask(&self, ask: SlotAsk) -> Result<SlotGrant, CallRefusal> {
        self.asks.lock().unwrap().push(ask.clone());
        self.waiting.fetch_add(1, Ordering::SeqCst);
        let _waiting = WaitingGuard(&self.waiting);
        if self.held.load(Ordering::SeqCst) {
            self.released.notified().await;
        }
        if let Some(refusal) = *self.refusal.lock().unwrap() {
            return Err(refusal);
        }
        if self.crashes.lock().unwrap().get(&ask.fingerprint).is_some_and(|&count| count >= 2) {
            return Err(CallRefusal::lasting(RefusalReason::Poisonous));
        }
        let none = CallRefusal::passing(RefusalReason::NoUpstream, 1_000);
        let (number, address) = self.choose(&ask).ok_or(none)?;
        let grant = self.granted.fetch_add(1, Ordering::SeqCst) + 1;
        Ok(SlotGrant {
            id: GrantId {
                granter: "vm-0".parse().unwrap(),
                epoch: PlacerEpoch(1),
                number: GrantNumber(grant),
            },
            upstream: name_of(number).parse().unwrap(),
            address,
            connections: 1_000,
            waited_us: 0,
            trial: false,
            hedge_after_us: self.hedge_after_us.load(Ordering::SeqCst),
        })
    }

    fn begin(&self, _: &SlotGrant) -> bool {
        !self.revoked.load(Ordering::SeqCst)
    }

    fn settle(&self, settle: SlotSettle) {
        if settle.outcome == OutcomeClass::Crash {
            *self.crashes.lock().unwrap().entry(settle.fingerprint).or_default() += 1;
        }
        self.settles.lock().unwrap().push(settle);
    }
}
