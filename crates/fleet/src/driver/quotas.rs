//! Customers' quotas: the buckets that this VM keeps, and the calls that it may let through.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use super::{AskReply, FleetDriver, SharedState};
use crate::wire::{AskFault, FleetPeerClient, PlacerAsk};
use decide::{
    placer::AskId,
    quota::{
        QuotaLease, QuotaRequest, QuotaTerms,
        holder::{QuotaHolder, QuotaVerdict, WaitingCalls},
        owner::QuotaOwner,
    },
    reach::ReachMemory,
    relay_map::RelayOutcome,
};
use log::info;
use model::{
    call::CallRefusal,
    config::FleetConfig,
    moment::Moment,
    names::{CallerName, MemberName},
    report::CustomerUse,
};
use tokio::time::timeout;

/// How often leases are asked for ahead of need. A request that a call waits for goes at once.
const REQUEST_PERIOD: Duration = Duration::from_millis(100);

/// How long a owner may take to answer, and how long when it is asked through another VM: many round trips
/// between failure domains, and little beside the time in which an answer is of use.
const OWNER_TIMEOUT: Duration = Duration::from_millis(100);
const RELAY_TIMEOUT: Duration = Duration::from_millis(150);

/// How long reports of a relay are waited for.
const RELAY_WAIT: Duration = Duration::from_millis(100);

/// A call that waits for its customer's owner.
#[derive(Debug)]
struct ParkedAsk {
    ask: PlacerAsk,
    reply: AskReply,
    arrived: Instant,
}

/// The quotas at one VM.
#[derive(Debug)]
pub(super) struct QuotaDesk {
    owner: QuotaOwner,
    holder: QuotaHolder,
    parked: BTreeMap<CallerName, VecDeque<ParkedAsk>>,
    /// The asks that were counted against a quota and have neither been granted nor refused.
    charged: HashMap<AskId, CallerName>,
    /// When leases were last asked for ahead of need.
    requested: Moment,
    reach: Arc<Mutex<ReachMemory>>,
}

impl QuotaDesk {
    pub(super) fn open(own: MemberName, now: Moment) -> Self {
        Self {
            owner: QuotaOwner::open(now),
            holder: QuotaHolder::open(own),
            parked: BTreeMap::new(),
            charged: HashMap::new(),
            requested: now,
            reach: Arc::default(),
        }
    }

    /// Answers on a new path where the ask waits for its customer's owner. Gives the reply of any other ask
    /// back.
    pub(super) fn repeated(&mut self, ask: &PlacerAsk, reply: AskReply) -> Option<AskReply> {
        let Some(parked) = self.parked.get_mut(&ask.ask.caller) else { return Some(reply) };
        let same = |other: &&mut ParkedAsk| {
            let other = &other.ask;
            other.entry == ask.entry
                && other.life == ask.life
                && other.ask.call == ask.ask.call
                && other.ask.attempt == ask.ask.attempt
        };
        let Some(parked) = parked.iter_mut().find(same) else { return Some(reply) };
        let former = std::mem::replace(&mut parked.reply, reply);
        // The entry has given the former path up.
        let _ = former.send(Err(AskFault::NotRelayed));
        None
    }

    /// Notes that a counted ask has a slot.
    pub(super) fn spent(&mut self, id: &AskId) {
        self.charged.remove(id);
    }

    /// Notes that a counted ask ended without a slot: its customer may make the call again.
    pub(super) fn unspent(&mut self, id: &AskId, now: Moment) {
        if let Some(customer) = self.charged.remove(id) {
            self.holder.give_back(&customer, now);
        }
    }

    /// Notes that counted asks ended without a slot, but for those that still wait.
    pub(super) fn unspent_but(&mut self, waits: impl Fn(&AskId) -> bool, now: Moment) {
        for (_, customer) in self.charged.extract_if(|id, _| !waits(id)) {
            self.holder.give_back(&customer, now);
        }
    }

    pub(super) fn drop_entry(&mut self, entry: &MemberName) {
        self.charged.retain(|id, _| id.entry != *entry);
        for parked in self.parked.values_mut() {
            // The holder goes on counting them as waiting, and gives their lease to others.
            parked.retain(|parked| parked.ask.entry != *entry);
        }
    }
}

/// Returns what a customer is allowed. `None`: as much as it likes, or it is not known here yet.
pub(crate) fn terms_of(config: &FleetConfig, customer: &CallerName) -> Option<QuotaTerms> {
    let rule = config.customer(customer.as_str())?;
    QuotaTerms::of(rule, &config.settings().quotas)
}

type OwnerAnswer = Option<Vec<Option<QuotaLease>>>;

/// The way to a owner: directly, or through one VM that reaches both.
///
/// Failure: the VMs that place are cut from each other, and each is heard by entries, so that nobody is
/// lost and the owners stay where they are. Symptom: calls are refused that are within the quota.
/// Through an entry the owner is reached all the while.
struct OwnerPath {
    shared: SharedState,
    reach: Arc<Mutex<ReachMemory>>,
    owner: MemberName,
}

impl OwnerPath {
    fn reach(&self) -> MutexGuard<'_, ReachMemory> {
        self.reach.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn direct(&self, requests: &[(CallerName, QuotaRequest)]) -> OwnerAnswer {
        if !self.reach().may_ask(&self.owner, self.shared.now()) {
            return None;
        }
        let address = self.shared.view.load().member(&self.owner)?.address;
        let (own, asked) = (self.shared.member.clone(), requests.to_vec());
        let call = |client: FleetPeerClient, context| async move {
            client.lease_quota(context, own, asked).await
        };
        let answer = self.shared.links.call(address, OWNER_TIMEOUT, call);
        let answer = timeout(OWNER_TIMEOUT, answer).await.ok().and_then(Result::ok);
        match &answer {
            Some(_) => {
                self.reach().answered(&self.owner);
                self.shared.relays.reached(&self.owner);
            }
            None => self.reach().missed(&self.owner, self.shared.now()),
        }
        answer
    }

    async fn relayed(&self, requests: &[(CallerName, QuotaRequest)]) -> OwnerAnswer {
        let drawn = || self.shared.draw_relay(&self.owner, self.shared.now().as_micros());
        let relay = self.shared.relay_to(&self.owner, &[], RELAY_WAIT).await.or_else(drawn)?;
        let (own, to, asked) = (self.shared.member.clone(), self.owner.clone(), requests.to_vec());
        let call = |client: FleetPeerClient, context| async move {
            client.relay_quota(context, to, own, asked).await
        };
        let answer = self.shared.links.call(relay.address, RELAY_TIMEOUT, call);
        let answer = timeout(RELAY_TIMEOUT, answer).await.ok().and_then(Result::ok).flatten();
        let worked = answer.is_some();
        let outcome = if worked { RelayOutcome::Worked } else { RelayOutcome::Failed };
        self.shared.relays.ended(&relay, outcome, self.shared.now());
        answer
    }
}

impl FleetDriver {
    /// Counts a call against its customer's quota, and places it if that bears it.
    pub(super) fn meter(&mut self, ask: PlacerAsk, reply: AskReply, arrived: Instant, now: Moment) {
        let customer = ask.ask.caller.clone();
        let counted = ask.ask.metered && ask.ask.attempt == 1;
        let config = self.shared.config.load_full();
        let Some(terms) = counted.then(|| terms_of(&config, &customer)).flatten() else {
            return self.place(ask, reply, arrived, now);
        };
        let members = self.shared.view.load().reached();
        match self.quotas.holder.take(&customer, &terms, members, now) {
            QuotaVerdict::Allowed => self.place_counted(ask, reply, arrived, now),
            QuotaVerdict::Refused(refusal) => self.over_quota(&ask, reply, refusal, now),
            QuotaVerdict::Waits => {
                let parked = self.quotas.parked.entry(customer).or_default();
                parked.push_back(ParkedAsk { ask, reply, arrived });
                self.request(false, now);
            }
        }
    }

    fn place_counted(&mut self, ask: PlacerAsk, reply: AskReply, arrived: Instant, now: Moment) {
        let id = AskId { entry: ask.entry.clone(), call: ask.ask.call, attempt: ask.ask.attempt };
        self.quotas.charged.insert(id, ask.ask.caller.clone());
        self.place(ask, reply, arrived, now);
    }

    fn over_quota(&self, ask: &PlacerAsk, reply: AskReply, refusal: CallRefusal, now: Moment) {
        let (call, customer) = (ask.ask.call, &ask.ask.caller);
        let left = self.quotas.holder.left(customer, now).unwrap_or_default();
        info!(call:%, entry:% = ask.entry, service:% = ask.ask.service, customer:%,
            reason:% = refusal.reason, held = left.0, owner_empty_ms = left.1.as_millis() as u64,
            retry_after_ms = refusal.retry_after_ms; "refused");
        // An entry that has gone needs no answer.
        let _ = reply.send(Err(AskFault::Refused { refusal }));
    }

    pub(super) fn tick_quotas(&mut self, now: Moment) {
        let desk = &mut self.quotas;
        if now.since(desk.requested) >= REQUEST_PERIOD {
            desk.requested = now;
            let config = self.shared.config.load_full();
            desk.owner.tick(|customer| terms_of(&config, customer), now);
            self.request(true, now);
        }
    }

    /// Asks owners for calls, in one message for each of them. `all`: also ahead of need.
    fn request(&mut self, all: bool, now: Moment) {
        let requests = self.quotas.holder.requests(all, now);
        if requests.is_empty() {
            return;
        }
        let view = self.shared.view.load_full();
        let mut by_owner: BTreeMap<MemberName, Vec<_>> = BTreeMap::new();
        for (customer, request) in requests {
            let owner = view.quota_owner_of(&customer).map(|owner| owner.member.clone());
            let owner = owner.unwrap_or_else(|| self.shared.member.clone());
            by_owner.entry(owner).or_default().push((customer, request));
        }
        for (owner, requests) in by_owner {
            if owner == self.shared.member {
                let leases = self.answer_requests(&owner, &requests);
                self.take_quota_leases(requests, leases);
            } else {
                self.ask_owner(owner, requests);
            }
        }
    }

    fn ask_owner(&self, owner: MemberName, requests: Vec<(CallerName, QuotaRequest)>) {
        let (shared, inbox) = (self.shared.clone(), self.inbox.clone());
        let reach = self.quotas.reach.clone();
        tokio::spawn(async move {
            let way = OwnerPath { shared, reach, owner };
            let leases = match way.direct(&requests).await {
                Some(leases) => Some(leases),
                None => way.relayed(&requests).await,
            };
            inbox
                .query(move |driver| driver.take_quota_leases(requests, leases.unwrap_or_default()))
                .await;
        });
    }

    /// Answers a holder as the owner. `None` for a customer that another VM keeps, by this VM's view.
    pub(crate) fn answer_requests(
        &mut self,
        holder: &MemberName,
        requests: &[(CallerName, QuotaRequest)],
    ) -> Vec<Option<QuotaLease>> {
        let now = self.now();
        let (view, config) = (self.shared.view.load_full(), self.shared.config.load_full());
        let mut answer = |customer: &CallerName, request: QuotaRequest| {
            let kept = view.quota_owner_of(customer);
            if kept.is_some_and(|owner| owner.member != self.shared.member) {
                return None;
            }
            // Who does not know the customer yet cannot bound it: its holder's configuration is newer.
            let given =
                QuotaLease { calls: request.waiting.saturating_add(request.ahead), again_ms: 0 };
            let terms = terms_of(&config, customer);
            Some(terms.map_or(given, |terms| {
                self.quotas.owner.lease(holder, customer, request, &terms, now)
            }))
        };
        requests.iter().map(|(customer, request)| answer(customer, *request)).collect()
    }

    /// Takes owners' answers, in the order of the requests. A missing one: the owner did not answer.
    fn take_quota_leases(
        &mut self,
        requests: Vec<(CallerName, QuotaRequest)>,
        leases: Vec<Option<QuotaLease>>,
    ) {
        let now = self.now();
        let members = self.shared.view.load().reached();
        let config = self.shared.config.load_full();
        let mut leases = leases.into_iter();
        for (customer, _) in requests {
            let lease = leases.next().flatten();
            let holder = &mut self.quotas.holder;
            let Some(terms) = terms_of(&config, &customer) else {
                let waiting = holder.release(&customer);
                self.resume(&customer, WaitingCalls { allowed: waiting, refused: Vec::new() }, now);
                continue;
            };
            let answered = match lease {
                Some(lease) => holder.leased(&customer, lease, &terms, now),
                None => holder.unanswered(&customer, &terms, members, now),
            };
            self.resume(&customer, answered, now);
        }
        self.request(false, now);
    }

    fn resume(&mut self, customer: &CallerName, answered: WaitingCalls, now: Moment) {
        for _ in 0..answered.allowed {
            let parked = self.quotas.parked.get_mut(customer).and_then(VecDeque::pop_front);
            // Its entry has gone: another call may be made in its place.
            let Some(ParkedAsk { ask, reply, arrived }) = parked else {
                self.quotas.holder.give_back(customer, now);
                continue;
            };
            self.place_counted(ask, reply, arrived, now);
        }
        for refusal in answered.refused {
            let parked = self.quotas.parked.get_mut(customer).and_then(VecDeque::pop_front);
            let Some(ParkedAsk { ask, reply, .. }) = parked else { continue };
            self.over_quota(&ask, reply, refusal, now);
        }
        if self.quotas.parked.get(customer).is_some_and(VecDeque::is_empty) {
            self.quotas.parked.remove(customer);
        }
    }

    /// Lists how much of their quotas customers use at this VM.
    pub(super) fn customers_in_use(&self) -> Vec<(CallerName, CustomerUse)> {
        self.quotas.holder.in_use(self.now()).collect()
    }

    /// Follows a change of the VMs.
    pub(super) fn move_quotas(&mut self, moved: bool, now: Moment) {
        let view = self.shared.view.load_full();
        let owner = &mut self.quotas.owner;
        owner.set_part(view.part_in_reach());
        if moved {
            let own = &self.shared.member;
            let kept = |customer: &CallerName| {
                view.quota_owner_of(customer).is_none_or(|owner| owner.member == *own)
            };
            owner.move_customers(kept, now);
        }
    }
}
