//! Simulation of one customer that calls through many entries, the placer VMs and its owner, without a network.
//! Messages are delayed; VMs are lost, cut off and connected again.

use std::collections::BTreeMap;
use std::time::Duration;

use decide::quota::{
    QuotaLease, QuotaLimits, QuotaRequest,
    holder::{QuotaDecision, QuotaHolder},
    offline::OfflineShares,
    owner::QuotaOwner,
};
use model::{
    customer::{CustomerRule, QuotaBounds},
    moment::Moment,
    names::{CallerName, MemberName},
    numbers::IncarnationNumber,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// The one-way delay of a message between failure domains.
const MESSAGE_DELAY: Duration = Duration::from_millis(3);

/// How long a holder waits for an owner's answer.
const OWNER_TIMEOUT: Duration = Duration::from_millis(150);

/// How often holders request leases ahead of need.
const REQUEST_PERIOD: Duration = Duration::from_millis(100);

/// How long and how often a call at a cut-off entry looks for a placer.
const PLACER_SEARCH_TIMEOUT: Duration = Duration::from_secs(1);
const PLACER_SEARCH_PERIOD: Duration = Duration::from_millis(50);

/// How long the owners run before the first call.
const WARM_UP: Duration = Duration::from_secs(10);

/// How long it takes the VMs to agree that one of them is lost.
pub(crate) const DETECTION_DELAY: Duration = Duration::from_millis(1_200);

/// Which VMs count calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CountedBy {
    /// The placer VMs.
    Placers,
    /// Every entry.
    Entries,
}

/// Which messages between an entry and the placer VMs are lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CutDirection {
    Both,
    /// Those that the entry sends.
    ToPlacers,
    /// Those that the placer VMs send.
    ToEntries,
}

/// An event that disturbs the VMs or the customer.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Fault {
    /// The owner is lost for good.
    OwnerLost,
    /// The placer VMs are split in two partitions, each with an owner of its own, and connected again.
    PlacersSplit { for_s: f64 },
    /// This fraction of the entries reaches no placer VM. The membership still considers them reachable, since they
    /// reach other entries.
    EntriesCut { fraction: f64, for_s: f64, direction: CutDirection },
    /// A placer VM is lost for good, and with it what it had lent.
    HolderLost,
    /// All placer VMs restart at once and lose their state.
    AllRestart,
    /// The customer's allowed rate and burst are multiplied by a factor.
    LimitsScaled { factor: f64 },
    /// The customer's call rate is multiplied by a factor.
    LoadSpike { factor: f64, for_s: f64 },
}

/// The parameters of a run.
#[derive(Clone, Debug)]
pub(crate) struct CustomerScenario {
    pub(crate) counted_by: CountedBy,
    /// Calls per second that the customer makes.
    pub(crate) calls_per_s: f64,
    /// Calls per second that it may make.
    pub(crate) allowed_per_s: f64,
    /// Its burst, in seconds of its allowed rate.
    pub(crate) burst_s: f64,
    pub(crate) entries: usize,
    /// How many of the entries its callers use.
    pub(crate) used_entries: usize,
    pub(crate) seconds: f64,
    pub(crate) faults: Vec<(f64, Fault)>,
}

/// The result of a run.
#[derive(Clone, Debug, Default)]
pub(crate) struct CustomerResult {
    pub(crate) asked: u32,
    pub(crate) refused: u32,
    /// Calls that were refused although the customer had made at most nine tenths of the calls that it is allowed in
    /// the window.
    pub(crate) wrongly_refused: u32,
    /// Calls that waited for an owner's answer.
    pub(crate) waited: u32,
    /// Messages to owners.
    pub(crate) messages: u32,
    /// By how much the worst window exceeds the rate and burst, as a fraction of the tolerated excess.
    pub(crate) excess: f64,
    /// The number of calls in the worst window, and the limit there.
    pub(crate) worst_window: (u32, f64),
    /// When calls ran.
    ran_at: Vec<Moment>,
}

impl CustomerResult {
    /// Counts the calls that ran between two times of the run, in seconds.
    pub(crate) fn ran_between(&self, from_s: f64, until_s: f64) -> u32 {
        let at = |s: f64| Moment::ZERO + WARM_UP + Duration::from_secs_f64(s);
        let within = self.ran_at.iter().filter(|&&ran| ran >= at(from_s) && ran < at(until_s));
        within.count() as u32
    }
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Call,
    /// A call at a cut-off entry tries again, until a deadline.
    OfflineRetry {
        entry: usize,
        until: Moment,
    },
    Tick,
    AnswerArrives {
        holder: usize,
        lease: Option<QuotaLease>,
    },
    RequestArrives {
        holder: usize,
        owner: usize,
        request: QuotaRequest,
    },
    FaultBegins(Fault),
    FaultDetected(Fault),
    FaultEnds(Fault),
}

struct OwnerVm {
    owner: QuotaOwner,
    is_alive: bool,
}

pub(crate) struct CustomerSimulation {
    scenario: CustomerScenario,
    random: Pcg64Mcg,
    customer: CallerName,
    rule: CustomerRule,
    holders: Vec<QuotaHolder>,
    /// Which owner each holder asks, and whether it is reached.
    owner_links: Vec<(usize, bool)>,
    owners: Vec<OwnerVm>,
    entries: Vec<OfflineShares>,
    names: Vec<MemberName>,
    cut: Vec<Option<CutDirection>>,
    /// Which placer VMs are alive, and how many requests of each are in flight.
    alive: Vec<bool>,
    in_flight: Vec<u32>,
    waiting_entries: Vec<Vec<usize>>,
    load_factor: f64,
    events: BTreeMap<(Moment, u64), Event>,
    last_event: u64,
    ran_at: Vec<Moment>,
    asked_at: Vec<Moment>,
    /// The index of the first call in the current window.
    window_start: usize,
    /// The factors on the limits, each with the time from which it applies.
    limit_changes: Vec<(Moment, f64)>,
    result: CustomerResult,
}

const PLACERS: usize = 5;

/// The VM that is lost by [`Fault::HolderLost`].
const LOST_HOLDER: usize = 1;

/// The fraction of the calls that each placer VM handles: services differ, and the last VM handles none.
const LOAD_FRACTIONS: [f64; PLACERS] = [0.45, 0.3, 0.16, 0.09, 0.0];

fn member(kind: &str, number: usize) -> MemberName {
    format!("{kind}-{number}").parse().expect("a name")
}

impl CustomerSimulation {
    pub(crate) fn run(scenario: &CustomerScenario, seed: u64) -> CustomerResult {
        let mut simulation = Self::new(scenario, seed);
        while let Some(((now, _), event)) = simulation.events.pop_first() {
            if now > Moment::from_micros((scenario.seconds * 1e6) as u64) {
                break;
            }
            simulation.handle(event, now);
        }
        simulation.measure()
    }

    fn new(scenario: &CustomerScenario, seed: u64) -> Self {
        let holders = match scenario.counted_by {
            CountedBy::Placers => PLACERS,
            CountedBy::Entries => scenario.entries,
        };
        let start = Moment::ZERO;
        let rule = CustomerRule {
            calls_per_minute: (scenario.allowed_per_s * 60.0) as u32,
            burst: (scenario.allowed_per_s * scenario.burst_s) as u32,
            ..CustomerRule::default()
        };
        let mut simulation = Self {
            random: Pcg64Mcg::seed_from_u64(seed),
            customer: "hatton".parse().expect("a name"),
            holders: (0..holders).map(|n| QuotaHolder::new(member("vm", n))).collect(),
            owner_links: vec![(0, true); holders],
            owners: (0..PLACERS)
                .map(|_| OwnerVm { owner: QuotaOwner::new(start), is_alive: true })
                .collect(),
            entries: (0..scenario.entries)
                .map(|_| OfflineShares::new(IncarnationNumber(1)))
                .collect(),
            names: (0..scenario.entries.max(PLACERS)).map(|n| member("vm", n)).collect(),
            cut: vec![None; scenario.entries],
            alive: vec![true; holders],
            in_flight: vec![0; holders],
            waiting_entries: vec![Vec::new(); holders],
            load_factor: 1.0,
            events: BTreeMap::new(),
            last_event: 0,
            ran_at: Vec::new(),
            asked_at: Vec::new(),
            window_start: 0,
            limit_changes: vec![(start, 1.0)],
            result: CustomerResult::default(),
            scenario: scenario.clone(),
            rule,
        };
        // After the warm-up the owners' buckets are full.
        let first = start + WARM_UP;
        simulation.schedule(first, Event::Call);
        simulation.schedule(first, Event::Tick);
        for (at, fault) in scenario.faults.clone() {
            simulation.schedule(first + Duration::from_secs_f64(at), Event::FaultBegins(fault));
        }
        simulation
    }

    fn schedule(&mut self, moment: Moment, event: Event) {
        self.last_event += 1;
        self.events.insert((moment, self.last_event), event);
    }

    fn quota_limits(&self) -> QuotaLimits {
        QuotaLimits::from_rule(&self.rule, &QuotaBounds::default()).expect("a limit")
    }

    fn handle(&mut self, event: Event, now: Moment) {
        match event {
            Event::Call => self.call(now),
            Event::OfflineRetry { entry, until } => self.serve_offline(entry, until, now),
            Event::Tick => {
                for holder in 0..self.holders.len() {
                    if self.alive[holder] {
                        self.request(holder, true, now);
                        self.send_heartbeat(holder, now);
                    }
                }
                if self.scenario.counted_by == CountedBy::Placers {
                    (0..self.scenario.used_entries)
                        .for_each(|entry| self.contact_lender(entry, now));
                }
                self.schedule(now + REQUEST_PERIOD, Event::Tick);
            }
            Event::RequestArrives { holder, owner, request } => {
                self.answer_request(holder, owner, request, now);
            }
            Event::AnswerArrives { holder, lease } => self.handle_lease(holder, lease, now),
            Event::FaultBegins(fault) => self.begin_fault(fault, now),
            Event::FaultDetected(fault) => self.detect_fault(fault, now),
            Event::FaultEnds(fault) => self.end_fault(fault, now),
        }
    }

    fn call(&mut self, now: Moment) {
        let gap = -(1.0 - self.random.random::<f64>()).ln()
            / (self.scenario.calls_per_s * self.load_factor);
        self.schedule(now + Duration::from_secs_f64(gap), Event::Call);
        let entry = self.random.random_range(0..self.scenario.used_entries);
        self.result.asked += 1;
        self.asked_at.push(now);
        if self.cut[entry].is_some() {
            return self.serve_offline(entry, now + PLACER_SEARCH_TIMEOUT, now);
        }
        self.place(entry, now);
    }

    fn place(&mut self, entry: usize, now: Moment) {
        let (limits, members) = (self.quota_limits(), self.scenario.entries + PLACERS);
        let holder = self.holder_of(entry);
        match self.holders[holder].admit(&self.customer, &limits, members, now) {
            QuotaDecision::Allowed => self.run_call(entry, now),
            QuotaDecision::Refused(_) => self.count_refused(now),
            QuotaDecision::Pending => {
                self.result.waited += 1;
                self.waiting_entries[holder].push(entry);
            }
        }
        self.request(holder, false, now);
    }

    /// Serves a call of a cut-off entry, or retries it until a deadline.
    fn serve_offline(&mut self, entry: usize, until: Moment, now: Moment) {
        if self.cut[entry].is_none() {
            return self.place(entry, now);
        }
        let limits = self.quota_limits();
        if self.entries[entry].try_admit(&self.customer, &limits, now) {
            self.ran_at.push(now);
        } else if now < until {
            self.schedule(now + PLACER_SEARCH_PERIOD, Event::OfflineRetry { entry, until });
        } else {
            self.count_refused(now);
        }
    }

    fn holder_of(&mut self, entry: usize) -> usize {
        if self.scenario.counted_by == CountedBy::Entries {
            return entry;
        }
        let mut drawn = self.random.random::<f64>();
        let lost = self.alive.iter().position(|is_alive| !is_alive);
        let found = LOAD_FRACTIONS.iter().position(|part| {
            drawn -= part;
            drawn < 0.0
        });
        let found = found.unwrap_or(0);
        if lost == Some(found) { PLACERS - 1 } else { found }
    }

    /// Sends an entry's message to its lender if one is due.
    fn contact_lender(&mut self, entry: usize, now: Moment) {
        let lender = match entry % PLACERS {
            LOST_HOLDER if !self.alive[LOST_HOLDER] => 0,
            lender => lender,
        };
        let (name, entry_name) = (self.names[lender].clone(), self.names[entry].clone());
        let limits = self.quota_limits();
        let Some(request) = self.entries[entry].request(&name, |_| Some(limits), now) else {
            return;
        };
        let cut = self.cut[entry];
        if matches!(cut, Some(CutDirection::Both | CutDirection::ToPlacers)) {
            return;
        }
        let least = |_: &CallerName| Some(limits.min_share());
        let answer = self.holders[lender].lender().handle_request(&entry_name, request, least, now);
        if cut == Some(CutDirection::ToEntries) {
            return;
        }
        if let Some(former) = self.entries[entry].handle_answer(&name, now, answer, now) {
            let former = (0..PLACERS).find(|&n| self.names[n] == former).expect("a placer");
            self.holders[former].lender().remove_entry(&entry_name);
        }
    }

    /// Sends a heartbeat to the owner from a holder that lends and has no request in flight.
    fn send_heartbeat(&mut self, holder: usize, now: Moment) {
        let lends = self.holders[holder].lender().customers().next().is_some();
        let (owner, reached) = self.owner_links[holder];
        if lends && reached && self.in_flight[holder] == 0 {
            self.owners[owner].owner.record_contact(&member("vm", holder), now);
        }
    }

    fn run_call(&mut self, entry: usize, now: Moment) {
        self.ran_at.push(now);
        self.entries[entry].record_admitted(&self.customer, now);
    }

    fn count_refused(&mut self, now: Moment) {
        self.result.refused += 1;
        let window = Duration::from_millis(u64::from(QuotaBounds::default().window_ms));
        while now.since(self.asked_at[self.window_start]) >= window {
            self.window_start += 1;
        }
        let asked = self.asked_at.len() - self.window_start;
        let factor = self.limit_changes.last().map_or(1.0, |limit| limit.1);
        let allowed =
            self.scenario.allowed_per_s * factor * (window.as_secs_f64() + self.scenario.burst_s);
        self.result.wrongly_refused += u32::from(asked as f64 <= allowed * 0.9);
    }

    fn request(&mut self, holder: usize, all: bool, now: Moment) {
        for (_, request) in self.holders[holder].requests(all, now) {
            self.result.messages += 1;
            self.in_flight[holder] += 1;
            let (owner, reached) = self.owner_links[holder];
            match reached && self.owners[owner].is_alive {
                true => self.schedule(
                    now + MESSAGE_DELAY,
                    Event::RequestArrives { holder, owner, request },
                ),
                false => {
                    self.schedule(
                        now + OWNER_TIMEOUT,
                        Event::AnswerArrives { holder, lease: None },
                    );
                }
            }
        }
    }

    fn answer_request(&mut self, holder: usize, owner: usize, request: QuotaRequest, now: Moment) {
        let (limits, name) = (self.quota_limits(), member("vm", holder));
        let lease = self.owners[owner].owner.lease(&name, &self.customer, request, &limits, now);
        self.schedule(now + MESSAGE_DELAY, Event::AnswerArrives { holder, lease: Some(lease) });
    }

    fn handle_lease(&mut self, holder: usize, lease: Option<QuotaLease>, now: Moment) {
        if !self.alive[holder] {
            return;
        }
        self.in_flight[holder] = self.in_flight[holder].saturating_sub(1);
        let (limits, members) = (self.quota_limits(), self.scenario.entries + PLACERS);
        let vm = &mut self.holders[holder];
        let answered = match lease {
            Some(lease) => vm.apply_lease(&self.customer, lease, &limits, now),
            None => vm.fail_request(&self.customer, &limits, members, now),
        };
        let allowed = answered.allowed as usize;
        let answers = allowed + answered.refused.len();
        let waiting: Vec<usize> = self.waiting_entries[holder].drain(..answers).collect();
        for (index, entry) in waiting.into_iter().enumerate() {
            if index < allowed { self.run_call(entry, now) } else { self.count_refused(now) }
        }
        self.request(holder, false, now);
    }

    fn begin_fault(&mut self, fault: Fault, now: Moment) {
        self.schedule(now + DETECTION_DELAY, Event::FaultDetected(fault));
        match fault {
            Fault::OwnerLost => self.owners[0].is_alive = false,
            Fault::PlacersSplit { for_s } => {
                let first_half = self.holders.len() / 2;
                self.owner_links[..first_half].iter_mut().for_each(|link| link.1 = false);
                self.schedule(now + Duration::from_secs_f64(for_s), Event::FaultEnds(fault));
            }
            Fault::EntriesCut { fraction, for_s, direction } => {
                for cut in &mut self.cut {
                    *cut = (self.random.random::<f64>() < fraction).then_some(direction);
                }
                self.schedule(now + Duration::from_secs_f64(for_s), Event::FaultEnds(fault));
            }
            Fault::HolderLost => {
                self.alive[LOST_HOLDER] = false;
                let waiting = std::mem::take(&mut self.waiting_entries[LOST_HOLDER]);
                waiting.into_iter().for_each(|_| self.count_refused(now));
            }
            Fault::AllRestart => {
                self.in_flight.fill(0);
                for (n, holder) in self.holders.iter_mut().enumerate() {
                    *holder = QuotaHolder::new(member("vm", n));
                }
                self.waiting_entries.iter_mut().for_each(Vec::clear);
                for vm in &mut self.owners {
                    vm.owner = QuotaOwner::new(now);
                }
                self.events.retain(|_, event| {
                    !matches!(event, Event::AnswerArrives { .. } | Event::RequestArrives { .. })
                });
            }
            Fault::LimitsScaled { factor } => {
                self.rule.calls_per_minute = (self.scenario.allowed_per_s * factor * 60.0) as u32;
                self.rule.burst =
                    (self.scenario.allowed_per_s * self.scenario.burst_s * factor) as u32;
                self.limit_changes.push((now, factor));
            }
            Fault::LoadSpike { factor, for_s } => {
                self.load_factor = factor;
                self.schedule(now + Duration::from_secs_f64(for_s), Event::FaultEnds(fault));
            }
        }
    }

    /// Applies a fault once the VMs have agreed who is out of reach.
    fn detect_fault(&mut self, fault: Fault, now: Moment) {
        let without_one = 1.0 - 1.0 / PLACERS as f64;
        match fault {
            Fault::OwnerLost => {
                self.owners[1].owner.change_owners(|_| true, now);
                self.owners[1].owner.set_reachable_fraction(without_one);
                self.owner_links.iter_mut().for_each(|link| *link = (1, true));
                self.report_all_shares();
            }
            Fault::HolderLost => {
                let lost = member("vm", LOST_HOLDER);
                for vm in &mut self.owners {
                    vm.owner.set_reachable(|holder| *holder != lost, now);
                    vm.owner.set_reachable_fraction(without_one);
                }
            }
            Fault::PlacersSplit { .. } => {
                self.owners[0].owner.set_reachable_fraction(0.6);
                self.owners[1].owner.change_owners(|_| true, now);
                self.owners[1].owner.set_reachable_fraction(0.4);
                for link in self.owner_links.iter_mut().filter(|link| !link.1) {
                    *link = (1, true);
                }
                self.report_all_shares();
            }
            Fault::EntriesCut { .. }
            | Fault::AllRestart
            | Fault::LimitsScaled { .. }
            | Fault::LoadSpike { .. } => (),
        }
    }

    fn report_all_shares(&mut self) {
        self.holders.iter_mut().for_each(|holder| holder.lender().report_all());
    }

    fn end_fault(&mut self, fault: Fault, now: Moment) {
        match fault {
            Fault::PlacersSplit { .. } => {
                self.owners[1].owner.change_owners(|_| false, now);
                self.owner_links.iter_mut().for_each(|link| *link = (0, true));
                self.owners[0].owner.set_reachable_fraction(1.0);
                self.report_all_shares();
            }
            Fault::EntriesCut { .. } => {
                self.cut.fill(None);
            }
            Fault::LoadSpike { .. } => self.load_factor = 1.0,
            Fault::OwnerLost | Fault::HolderLost => (),
            Fault::AllRestart | Fault::LimitsScaled { .. } => (),
        }
    }

    /// Checks every window. A lower limit binds only after a whole window, so each window is held to the highest
    /// limit within itself and the window before it.
    fn measure(mut self) -> CustomerResult {
        let bounds = QuotaBounds::default();
        let window = Duration::from_millis(u64::from(bounds.window_ms));
        let (allowed, excess) = (self.scenario.allowed_per_s, &mut self.result.excess);
        let mut first = 0;
        for (last, &at) in self.ran_at.iter().enumerate() {
            while at.since(self.ran_at[first]) >= window {
                first += 1;
            }
            let calls = (last - first + 1) as f64;
            let since = at.since(Moment::ZERO).saturating_sub(window * 2);
            let since = Moment::ZERO + since;
            let before =
                self.limit_changes.iter().rfind(|limit| limit.0 <= since).map_or(1.0, |l| l.1);
            let within = self.limit_changes.iter().filter(|limit| limit.0 > since && limit.0 <= at);
            let factor = within.map(|limit| limit.1).fold(before, f64::max);
            let limit = allowed * factor * (window.as_secs_f64() + self.scenario.burst_s);
            let tolerated =
                limit * f64::from(bounds.excess_percent) / 100.0 + f64::from(bounds.excess_calls);
            let over = (calls - limit) / tolerated;
            if over > *excess {
                *excess = over;
                self.result.worst_window = (calls as u32, limit);
            }
        }
        self.result.ran_at = self.ran_at;
        self.result
    }
}
