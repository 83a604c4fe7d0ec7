//! Offline shares of quotas: what this VM lends to entries, and how its own entry borrows.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use super::{
    FleetDriver, SharedState,
    quotas::{OWNER_TIMEOUT, RELAY_TIMEOUT, terms_of},
};
use crate::wire::FleetPeerClient;
use decide::{
    quota::offline::{ShareAnswer, ShareRequest},
    reach::ReachMemory,
};
use model::{
    moment::Moment,
    names::{CallerName, MemberName},
};
use tokio::time::timeout;

/// How this VM's entry borrows, and what was last logged of it.
#[derive(Debug, Default)]
pub(super) struct BorrowingState {
    /// Whether a message to the lender is under way. One at a time, so that none overtakes another.
    awaits_lender: bool,
    was_offline: bool,
    silent_entries: usize,
}

/// The way to a lender: directly, or through one VM that reaches both.
struct LenderPath {
    shared: SharedState,
    reach: Arc<Mutex<ReachMemory>>,
    lender: MemberName,
}

impl LenderPath {
    fn reach(&self) -> MutexGuard<'_, ReachMemory> {
        self.reach.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn send(&self, request: ShareRequest) -> Option<ShareAnswer> {
        match self.direct(request.clone()).await {
            Some(answer) => Some(answer),
            None => self.relayed(request).await,
        }
    }

    async fn direct(&self, request: ShareRequest) -> Option<ShareAnswer> {
        if !self.reach().may_ask(&self.lender, self.shared.now()) {
            return None;
        }
        let address = self.shared.view.load().member(&self.lender)?.address;
        let own = self.shared.member.clone();
        let call = |client: FleetPeerClient, context| async move {
            client.lend(context, own, request).await
        };
        let answer = self.shared.links.call(address, OWNER_TIMEOUT, call);
        let answer = timeout(OWNER_TIMEOUT, answer).await.ok().and_then(Result::ok);
        match &answer {
            Some(_) => self.reach().answered(&self.lender),
            None => self.reach().missed(&self.lender, self.shared.now()),
        }
        answer
    }

    async fn relayed(&self, request: ShareRequest) -> Option<ShareAnswer> {
        let view = self.shared.view.load_full();
        let known = self.reach().relay(&self.lender).cloned();
        let known = known.and_then(|relay| Some((relay.clone(), view.member(&relay)?.address)));
        let drawn = || view.relay(&self.shared.member, &self.lender, self.shared.now().as_micros());
        let (relay, address) =
            known.or_else(|| drawn().map(|relay| (relay.member.clone(), relay.address)))?;
        let (own, to) = (self.shared.member.clone(), self.lender.clone());
        let call = |client: FleetPeerClient, context| async move {
            client.relay_lend(context, to, own, request).await
        };
        let answer = self.shared.links.call(address, RELAY_TIMEOUT, call);
        let answer = timeout(RELAY_TIMEOUT, answer).await.ok().and_then(Result::ok).flatten();
        self.reach().relayed(&self.lender, &relay, answer.is_some());
        answer
    }
}

impl FleetDriver {
    /// Takes an entry's message as its lender.
    pub(crate) fn lend(&mut self, entry: &MemberName, request: ShareRequest) -> ShareAnswer {
        let now = self.now();
        let config = self.shared.config.load_full();
        let least = |customer: &CallerName| Some(terms_of(&config, customer)?.least_share());
        self.quotas.holder.lender().exchange(entry, request, least, now)
    }

    /// Sends owners a sign of life while shares are lent here, except those that have one under way.
    pub(super) fn report_life(&mut self, now: Moment) {
        self.log_silent(now);
        if self.quotas.holder.lender().lent().next().is_none() {
            return;
        }
        let view = self.shared.view.load_full();
        for owner in view.candidates() {
            if owner.member == self.shared.member {
                self.quotas.owner.heard(&owner.member, now);
            } else if !self.quotas.under_way.contains_key(&owner.member) {
                self.ask_owner(owner.member.clone(), Vec::new());
            }
        }
    }

    fn log_silent(&mut self, now: Moment) {
        let (entries, silent) = self.quotas.holder.lender().entries(now);
        let before = std::mem::replace(&mut self.quotas.borrowing.silent_entries, silent);
        if before != silent {
            log::info!(entries, silent, before; "entries silent that hold offline shares");
        }
    }

    /// Sends this VM's lender the message that is due.
    pub(super) fn tick_borrowing(&mut self, now: Moment) {
        self.log_offline(now);
        let view = self.shared.view.load_full();
        let Some(lender) = view.lender_of(&self.shared.member) else { return };
        if self.quotas.borrowing.awaits_lender {
            return;
        }
        let config = self.shared.config.load_full();
        let terms = |customer: &CallerName| terms_of(&config, customer);
        let request = self.shared.offline().request(&lender.member, terms, now);
        let Some(request) = request else { return };
        let lender = lender.member.clone();
        if lender == self.shared.member {
            let answer = self.lend(&lender, request);
            self.borrowed(&lender, now, Some(answer));
            return;
        }
        self.quotas.borrowing.awaits_lender = true;
        let (shared, inbox) = (self.shared.clone(), self.inbox.clone());
        let path = LenderPath { shared, reach: self.quotas.reach.clone(), lender };
        tokio::spawn(async move {
            let answer = path.send(request).await;
            let lender = path.lender;
            inbox.query(move |driver| driver.borrowed(&lender, now, answer)).await;
        });
    }

    fn borrowed(&mut self, lender: &MemberName, asked: Moment, answer: Option<ShareAnswer>) {
        self.quotas.borrowing.awaits_lender = false;
        let Some(answer) = answer else { return };
        let now = self.now();
        let former = self.shared.offline().answered(lender, asked, answer, now);
        if let Some(former) = former {
            self.release(former, now);
        }
    }

    /// Reports to a former lender that this entry holds none of its shares any more.
    fn release(&self, lender: MemberName, now: Moment) {
        let sent = (self.shared.life, now.as_micros());
        let request = ShareRequest { sent, echo: 0, wanted: Vec::new(), released: true };
        let path =
            LenderPath { shared: self.shared.clone(), reach: self.quotas.reach.clone(), lender };
        tokio::spawn(async move { path.send(request).await });
    }

    fn log_offline(&mut self, now: Moment) {
        let (offline, shares) = {
            let shares = self.shared.offline();
            (shares.is_offline(now), shares.len())
        };
        let before = std::mem::replace(&mut self.quotas.borrowing.was_offline, offline);
        match (before, offline) {
            (false, true) => {
                log::warn!(shares; "no contact to the lender: offline shares of quotas are used");
            }
            (true, false) => log::info!(shares; "contact to the lender again"),
            _ => (),
        }
    }
}
