//! The entry's side of slots: asks, grants and their ends.
//!
//! Each ask gets one final answer, as soon as there is one: a grant, or a refusal that says when to
//! come back. The ways to a grant, in order: the placer; the placer through one relay, where this VM
//! and the placer do not reach each other; this entry's own share of the slots.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use crate::{
    driver::{SharedState, inbox::WeakInbox},
    grants::GrantReception,
    link::LinkError,
    settles::{GrantEnd, SettleOutbox},
    view::PlacerCandidate,
    wire::{AskFault, FleetPeerClient, PlacerAsk},
};
use model::{
    call::{CallRefusal, OutcomeClass, RefusalReason},
    names::MemberName,
    numbers::CallNumber,
    slot::{SlotAsk, SlotGrant, SlotSettle},
};
use tokio::time::sleep;

/// How long an ask waits before it asks again when the asked VM is not the placer. The new member
/// list comes by rumour, which takes a few tenths of a second.
const NOT_PLACER_PAUSE: Duration = Duration::from_millis(20);

/// For how long an ask looks for a placer. A lost one is replaced in about two seconds; a call that
/// waited all that time would be late, so its entry then places it by its own counts.
const SEEK_TIME: Duration = Duration::from_millis(1_500);

/// For how long a placer that no relay reached is not tried through one. Load: all calls of a
/// service in the two seconds until its lost placer is replaced. Without the limit each of them
/// waits for two time-outs.
const UNREACHED_PAUSE: Duration = Duration::from_millis(500);

/// How long one message with ends may take.
const END_TIMEOUT: Duration = Duration::from_secs(1);

/// The first and the longest pause before ends are sent again.
const END_PAUSES: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(1));

/// When a call is worth sending again whose time ran out in the queue, in milliseconds.
const LATE_RETRY_MS: u32 = 100;

/// The asks and grants of this VM's entry.
#[derive(Clone)]
pub(crate) struct EntrySlots {
    shared: SharedState,
    inbox: WeakInbox,
    outbox: Arc<Mutex<SettleOutbox>>,
    unreached: Arc<Mutex<HashMap<MemberName, Instant>>>,
}

/// How a placer answered.
enum PlacerAnswer {
    Grant(SlotGrant),
    Refused(CallRefusal),
    /// Nothing was granted; another VM is the placer.
    NotPlacer,
    /// Nothing was sent, or the relay did not reach it.
    Unreached,
    /// A grant may be on its way.
    Unanswered,
}

impl EntrySlots {
    pub(crate) fn new(shared: SharedState, inbox: WeakInbox) -> Self {
        Self { shared, inbox, outbox: Arc::default(), unreached: Arc::default() }
    }

    pub(crate) async fn ask(&self, ask: SlotAsk) -> Result<SlotGrant, CallRefusal> {
        let started = Instant::now();
        let until = started + Duration::from_millis(u64::from(ask.within_ms));
        let mut pending = PendingAsk::open(self, &ask);
        while started.elapsed() < SEEK_TIME {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(late());
            }
            let view = self.shared.view.load_full();
            let Some(placer) = view.placer_of(&ask.service, 0) else { break };
            match self.ask_placer(placer, &ask, left, &mut pending).await {
                PlacerAnswer::Grant(grant) => {
                    if self.take(&ask, &grant) {
                        return Ok(grant);
                    }
                }
                PlacerAnswer::Refused(refusal) => return Err(refusal),
                PlacerAnswer::NotPlacer => (),
                PlacerAnswer::Unreached | PlacerAnswer::Unanswered => break,
            }
            sleep(NOT_PLACER_PAUSE.min(left)).await;
        }
        if Instant::now() >= until {
            return Err(late());
        }
        self.place_alone(&ask, until).await
    }

    async fn ask_placer(
        &self,
        placer: &PlacerCandidate,
        ask: &SlotAsk,
        left: Duration,
        pending: &mut PendingAsk<'_>,
    ) -> PlacerAnswer {
        let within_ms = u32::try_from(left.as_millis()).unwrap_or(u32::MAX);
        let message = PlacerAsk {
            entry: self.shared.member.clone(),
            life: self.shared.life,
            obeyed: self.shared.book().asked(ask, 0),
            ask: SlotAsk { within_ms, ..ask.clone() },
        };
        pending.at = Some(placer.member.clone());
        let mut answer = self.direct(placer, message.clone(), left).await;
        if matches!(answer, PlacerAnswer::Unreached) {
            answer = self.relayed(placer, message, left).await;
        }
        if !matches!(answer, PlacerAnswer::Unanswered) {
            pending.at = None;
        }
        answer
    }

    async fn direct(
        &self,
        placer: &PlacerCandidate,
        ask: PlacerAsk,
        left: Duration,
    ) -> PlacerAnswer {
        if placer.member == self.shared.member {
            let Some(inbox) = self.inbox.upgrade() else { return PlacerAnswer::Unreached };
            let asked = tokio::time::timeout(left, inbox.ask(ask)).await;
            return asked.map_or(PlacerAnswer::Unanswered, answer_of);
        }
        let call = |client: FleetPeerClient, context| async move { client.ask(context, ask).await };
        match self.shared.links.call(placer.address, left, call).await {
            Ok(answer) => answer_of(answer),
            Err(LinkError::Connect { .. }) => PlacerAnswer::Unreached,
            Err(LinkError::Answer { .. }) => PlacerAnswer::Unanswered,
        }
    }

    /// Asks through a VM that reaches both ends, if there is one.
    async fn relayed(
        &self,
        placer: &PlacerCandidate,
        ask: PlacerAsk,
        left: Duration,
    ) -> PlacerAnswer {
        let tried = lock(&self.unreached).get(&placer.member).copied();
        if tried.is_some_and(|tried| tried.elapsed() < UNREACHED_PAUSE) {
            return PlacerAnswer::Unreached;
        }
        let view = self.shared.view.load_full();
        let drawn = ask.ask.call.0;
        let Some(relay) = view.relay(&self.shared.member, &placer.member, drawn) else {
            return PlacerAnswer::Unreached;
        };
        log::info!(call:% = ask.ask.call, placer:% = placer.member, relay:% = relay.member,
            reason = "the placer is not reached from here"; "asked through a relay");
        let to = placer.member.clone();
        let call = |client: FleetPeerClient, context| async move {
            client.relay_ask(context, to, ask).await
        };
        let answer = match self.shared.links.call(relay.address, left, call).await {
            Ok(answer) => answer_of(answer),
            Err(LinkError::Connect { .. }) => PlacerAnswer::Unreached,
            Err(LinkError::Answer { .. }) => PlacerAnswer::Unanswered,
        };
        if matches!(answer, PlacerAnswer::Unreached | PlacerAnswer::Unanswered) {
            lock(&self.unreached).insert(placer.member.clone(), Instant::now());
        }
        answer
    }

    /// Books a grant, or gives it back: it came late, or from a placer that is obeyed no more.
    fn take(&self, ask: &SlotAsk, grant: &SlotGrant) -> bool {
        let reception = self.shared.book().granted(ask, 0, grant, self.shared.now());
        if reception == GrantReception::Held {
            return true;
        }
        log::info!(call:% = ask.call, service:% = ask.service, reason:? = reception;
            "grant given back");
        self.give_back(ask, grant);
        false
    }

    fn give_back(&self, ask: &SlotAsk, grant: &SlotGrant) {
        let settle = SlotSettle {
            id: grant.id.clone(),
            service: ask.service.clone(),
            route: ask.route.clone(),
            upstream: grant.upstream.clone(),
            fingerprint: ask.fingerprint,
            outcome: OutcomeClass::Unused,
            took_us: 0,
        };
        self.send_end(&grant.id.granter, GrantEnd::Settle(settle));
    }

    async fn place_alone(&self, ask: &SlotAsk, until: Instant) -> Result<SlotGrant, CallRefusal> {
        let left = until.saturating_duration_since(Instant::now());
        let within_ms = u32::try_from(left.as_millis()).unwrap_or(u32::MAX);
        let alone = SlotAsk { within_ms, ..ask.clone() };
        let shared = self.shared.clone();
        let placed = self.inbox.query(move |driver| {
            let placed = driver.place_alone(&alone);
            if let Ok(grant) = &placed {
                shared.book().hold(&alone, grant, shared.now());
            }
            placed
        });
        let gone = CallRefusal::passing(RefusalReason::NotReady, 1_000);
        placed.await.unwrap_or(Err(gone))
    }

    pub(crate) fn begin(&self, grant: &SlotGrant) -> bool {
        self.shared.book().begin(&grant.id)
    }

    /// Ends a grant at the placer that gave it, and at the one that has counted it since.
    pub(crate) fn settle(&self, settle: SlotSettle) {
        let obeyed = {
            let mut book = self.shared.book();
            book.ended(&settle.id);
            book.obeyed(&settle.service, 0).map(|claim| claim.member.clone())
        };
        let granter = settle.id.granter.clone();
        if let Some(placer) = obeyed.filter(|placer| *placer != granter) {
            self.send_end(&placer, GrantEnd::Settle(settle.clone()));
        }
        self.send_end(&granter, GrantEnd::Settle(settle));
    }

    fn send_end(&self, placer: &MemberName, end: GrantEnd) {
        if lock(&self.outbox).push(placer, end) {
            self.shared.links.spawn(self.clone().send_ends(placer.clone()));
        }
    }

    /// Sends the ends for one placer until it has taken all, or is gone.
    async fn send_ends(self, placer: MemberName) {
        let (first, longest) = END_PAUSES;
        let mut pause = first;
        let life = self.life_of(&placer);
        loop {
            let batch = lock(&self.outbox).batch(&placer);
            let Some(batch) = batch else { return };
            if self.deliver(&placer, batch).await {
                lock(&self.outbox).taken(&placer);
                pause = first;
                continue;
            }
            // A placer that was forgotten or restarted counts nothing of what it granted before.
            if self.life_of(&placer).is_none() || self.life_of(&placer) != life {
                lock(&self.outbox).drop_placer(&placer);
                return;
            }
            sleep(pause).await;
            pause = (pause * 2).min(longest);
        }
    }

    fn life_of(&self, placer: &MemberName) -> Option<model::numbers::IncarnationNumber> {
        self.shared.view.load().member(placer).map(|member| member.incarnation)
    }

    async fn deliver(&self, placer: &MemberName, batch: Vec<GrantEnd>) -> bool {
        let entry = self.shared.member.clone();
        if *placer == self.shared.member {
            let Some(inbox) = self.inbox.upgrade() else { return false };
            return inbox.end(entry, batch).await;
        }
        let view = self.shared.view.load_full();
        let Some(member) = view.member(placer) else { return false };
        let (of, ends) = (entry.clone(), batch.clone());
        let call =
            |client: FleetPeerClient, context| async move { client.end(context, of, ends).await };
        match self.shared.links.call(member.address, END_TIMEOUT, call).await {
            Ok(()) => return true,
            Err(LinkError::Answer { .. }) => return false,
            Err(LinkError::Connect { .. }) => (),
        }
        let drawn = self.shared.now().as_micros();
        let Some(relay) = view.relay(&self.shared.member, placer, drawn) else { return false };
        let to = placer.clone();
        let call = |client: FleetPeerClient, context| async move {
            client.relay_end(context, to, entry, batch).await
        };
        self.shared.links.call(relay.address, END_TIMEOUT, call).await.unwrap_or(false)
    }

    /// Returns how many ends wait for a placer.
    pub(crate) fn ends_waiting(&self) -> usize {
        lock(&self.outbox).len()
    }
}

/// An ask that has no answer yet. Dropped before that, it is given up: at the book, so that a late
/// grant is refused, and at the placer, so that its slot is free.
struct PendingAsk<'a> {
    slots: &'a EntrySlots,
    ask: &'a SlotAsk,
    /// Where an answer may still come from.
    at: Option<MemberName>,
}

impl<'a> PendingAsk<'a> {
    fn open(slots: &'a EntrySlots, ask: &'a SlotAsk) -> Self {
        Self { slots, ask, at: None }
    }
}

impl Drop for PendingAsk<'_> {
    fn drop(&mut self) {
        let (call, attempt): (CallNumber, u32) = (self.ask.call, self.ask.attempt);
        self.slots.shared.book().gave_up(call, attempt);
        if let Some(placer) = self.at.take() {
            let service = self.ask.service.clone();
            self.slots.send_end(&placer, GrantEnd::Cancel { service, call, attempt });
        }
    }
}

fn answer_of(answer: Result<SlotGrant, AskFault>) -> PlacerAnswer {
    match answer {
        Ok(grant) => PlacerAnswer::Grant(grant),
        Err(AskFault::Refused { refusal }) => PlacerAnswer::Refused(refusal),
        Err(AskFault::NotPlacer) => PlacerAnswer::NotPlacer,
        // The relay does not tell whether the ask was lost on the way there or its answer was.
        Err(AskFault::NotRelayed) => PlacerAnswer::Unanswered,
    }
}

fn late() -> CallRefusal {
    CallRefusal::passing(RefusalReason::DeadlineTooShort, LATE_RETRY_MS)
}

fn lock<T>(state: &Mutex<T>) -> MutexGuard<'_, T> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}
