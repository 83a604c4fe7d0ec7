//! The placer of one service: exact counts of calls in flight, one queue, one guard of the floor.
//!
//! The placer is a value that turns events into actions. Whoever drives it carries the actions out:
//! it sends the grants and refusals, and writes a log line for each decision.
//!
//! - `target` and `table`: the upstreams with their counts, limits and ramps;
//! - `queue`: the calls that wait, by caller and deadline;
//! - `grants`: what is out, of this epoch and of earlier ones;
//! - `placing`: which call gets which slot, and when;
//! - `admission`: which call is refused, and when its caller should come back;
//! - `evidence`: what an outcome says of its upstream;
//! - `standing`: ejection, trial, return and the floor.

mod action;
mod admission;
mod evidence;
mod grants;
mod placing;
mod queue;
mod spread;
mod standing;
mod table;
mod target;

pub use action::{AskId, EjectReason, GrantReason, HeldGrant, PlacerAction, ReturnReason};

use crate::{
    capacity::{CapacityMeter, CapacityUnit},
    detect::{DetectionThresholds, PeerDetector},
    poison::{CrashSuspects, PoisonList},
};
use admission::HoldMeter;
use grants::GrantBook;
use model::{
    announcement::UpstreamAnnouncement,
    config::ServiceRule,
    moment::Moment,
    names::{MemberName, RouteName, ServiceName, UpstreamName},
    numbers::{CallNumber, GrantNumber, PlacerEpoch},
    report::{CapacityRow, PlacerRow, UpstreamHealth},
    slot::{GrantId, RequestFingerprint, SlotAsk, SlotSettle},
};
use queue::AskQueue;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use spread::{DomainCosts, PathFaults};
use std::{collections::BTreeMap, time::Duration};
use table::{AnnounceChange, TargetTable};
use target::Standing;

/// For how long a new placer waits for the counts of entries that do not answer. Several round trips
/// between failure domains; far less than a call's usual deadline.
pub const RECOUNT_LIMIT: Duration = Duration::from_millis(500);

/// What a placer is started with.
#[derive(Clone, Debug)]
pub struct PlacerSettings {
    /// The service.
    pub service: ServiceName,
    /// Which of the service's placers.
    pub shard: u32,
    /// The VM that has the duty.
    pub member: MemberName,
    /// The epoch, greater than each earlier one of the service.
    pub epoch: PlacerEpoch,
    /// The service's rule.
    pub rule: ServiceRule,
    /// Seeds what is drawn.
    pub seed: u64,
}

/// Gives names a small number each.
#[derive(Debug)]
struct NameIndex<N>(BTreeMap<N, u32>);

impl<N: Ord + Clone> NameIndex<N> {
    fn of(&mut self, name: &N) -> u32 {
        if let Some(&index) = self.0.get(name) {
            return index;
        }
        let index = u32::try_from(self.0.len()).expect("names are fewer than 2^32");
        self.0.insert(name.clone(), index);
        index
    }
}

/// The placer of one service.
#[derive(Debug)]
pub struct ServicePlacer {
    settings: PlacerSettings,
    targets: TargetTable,
    queue: AskQueue,
    grants: GrantBook,
    detector: PeerDetector,
    entries: NameIndex<MemberName>,
    routes: NameIndex<RouteName>,
    hold: HoldMeter,
    poison: PoisonList,
    suspects: CrashSuspects,
    paths: PathFaults,
    costs: DomainCosts,
    capacity: CapacityMeter,
    random: Pcg64Mcg,
    /// Until when the counts of earlier grants are waited for. `None` before the first event.
    recount_ends: Option<Moment>,
    recounting: bool,
    /// Until when most upstreams are taken to fail for one cause.
    shared_until: Moment,
    last_review: Moment,
    /// The moment of the last event.
    seen: Moment,
    /// When windows were last halved.
    squeezed: Option<Moment>,
    /// Calls whose second try answered first, until their deadlines.
    overtook: BTreeMap<(u32, CallNumber), Moment>,
    /// Slots lost since the given moment.
    recent_loss: (Moment, u32),
    refused: u64,
}

impl ServicePlacer {
    /// Opens a placer without upstreams. It fills only slots of upstreams that are younger than itself
    /// until [`Self::finish_recount`] is called, or [`RECOUNT_LIMIT`] after its first event.
    pub fn open(settings: PlacerSettings) -> Self {
        let thresholds = DetectionThresholds::from_rule(&settings.rule);
        let mut targets = TargetTable::default();
        targets.set_ramp(Duration::from_millis(u64::from(settings.rule.ramp_ms)));
        Self {
            random: Pcg64Mcg::seed_from_u64(settings.seed),
            settings,
            targets,
            queue: AskQueue::default(),
            grants: GrantBook::default(),
            detector: PeerDetector::open(thresholds),
            entries: NameIndex(BTreeMap::new()),
            routes: NameIndex(BTreeMap::new()),
            hold: HoldMeter::default(),
            poison: PoisonList::default(),
            suspects: CrashSuspects::default(),
            paths: PathFaults::default(),
            costs: DomainCosts::default(),
            capacity: CapacityMeter::open(),
            recount_ends: None,
            recounting: true,
            shared_until: Moment::ZERO,
            last_review: Moment::ZERO,
            seen: Moment::ZERO,
            squeezed: None,
            overtook: BTreeMap::new(),
            recent_loss: (Moment::ZERO, 0),
            refused: 0,
        }
    }

    /// Follows a change of the service's rule. The floor is looked at on the next [`Self::tick`].
    pub fn set_rule(&mut self, rule: &ServiceRule) {
        self.settings.rule = rule.clone();
        self.detector.set_thresholds(DetectionThresholds::from_rule(rule));
        self.targets.set_ramp(Duration::from_millis(u64::from(rule.ramp_ms)));
    }

    /// Counts grants of earlier epochs that an entry still holds.
    pub fn recount(
        &mut self,
        entry: &MemberName,
        held: &[HeldGrant],
        now: Moment,
        actions: &mut Vec<PlacerAction>,
    ) {
        self.begin(now);
        let entry = self.entries.of(entry);
        for grant in held {
            if !self.grants.recount(entry, grant, now) {
                continue;
            }
            if let Some(target) = self.targets.index(&grant.upstream) {
                self.targets.take_slot(target, now);
            }
        }
        self.place(now, actions);
    }

    /// Ends the recount: each living entry has told what it holds.
    pub fn finish_recount(&mut self, now: Moment, actions: &mut Vec<PlacerAction>) {
        self.begin(now);
        if self.recounting {
            self.recounting = false;
            self.grants.finish_recount();
            self.targets.hold_back(None, now);
        }
        self.place(now, actions);
    }

    /// Drops the queued asks of a lost entry. Its grants are held for a bounded time, since its calls
    /// may still run, and then freed.
    pub fn lose_entry(&mut self, entry: &MemberName, now: Moment, actions: &mut Vec<PlacerAction>) {
        for place in self.queue.matching(|waiting| waiting.id.entry == *entry) {
            self.queue.remove(place);
        }
        let entry = self.entries.of(entry);
        self.grants.lose_entry(entry, now);
        self.place(now, actions);
    }

    /// Refuses a request until a moment, as another placer decided.
    pub fn poison(&mut self, fingerprint: RequestFingerprint, until: Moment) {
        self.poison.add(fingerprint, until);
    }

    /// Takes an announcement.
    pub fn announce(
        &mut self,
        announcement: &UpstreamAnnouncement,
        now: Moment,
        actions: &mut Vec<PlacerAction>,
    ) {
        self.begin(now);
        let known = self.targets.index(&announcement.upstream).is_some();
        let (target, change) = self.targets.announce(announcement, now);
        match change {
            AnnounceChange::Nothing => return,
            AnnounceChange::Renewed | AnnounceChange::Back => (),
            AnnounceChange::Leaving => self.lose(target, now, actions),
            AnnounceChange::Started => {
                self.start_target(target, now, actions);
                if !known {
                    self.count_earlier_on(target, now);
                }
            }
        }
        // An upstream may come back ejected, or with fewer slots.
        self.keep_floor(now, actions);
        self.place(now, actions);
    }

    /// Takes an ask: grants, refuses or queues it. An ask that waits already changes nothing.
    pub fn ask(
        &mut self,
        entry: MemberName,
        ask: SlotAsk,
        now: Moment,
        actions: &mut Vec<PlacerAction>,
    ) {
        self.begin(now);
        let id = AskId { entry, call: ask.call, attempt: ask.attempt };
        self.admit(id, ask, now, actions);
    }

    /// Forgets an ask that its entry gave up.
    pub fn cancel(&mut self, id: &AskId) {
        self.queue.cancel(id);
    }

    /// Ends a grant. A grant of another epoch that was not recounted, or one that has ended, changes
    /// nothing.
    pub fn settle(&mut self, settle: &SlotSettle, now: Moment, actions: &mut Vec<PlacerAction>) {
        self.begin(now);
        let id = &settle.id;
        if id.epoch == self.settings.epoch && id.granter == self.settings.member {
            let Some(grant) = self.grants.end(id.number) else { return };
            self.targets.free_slot(grant.target, now);
            self.suspects.end(grant.fingerprint);
            self.take_outcome(&grant, settle, now, actions);
        } else if let Some(upstream) = self.grants.end_earlier(id, self.recounting) {
            self.free_earlier(&upstream, now);
        }
        self.capacity.note_busy(self.targets.busy(), now);
        self.place(now, actions);
    }

    /// Lets leases, grants, ejections and deadlines run out.
    pub fn tick(&mut self, now: Moment, actions: &mut Vec<PlacerAction>) {
        self.begin(now);
        if self.recounting && self.recount_ends.is_some_and(|ends| ends <= now) {
            self.finish_recount(now, actions);
        }
        while let Some(target) = self.targets.expire_lease(now) {
            self.lose(target, now, actions);
        }
        while let Some(grant) = self.grants.take_over(now) {
            self.targets.free_slot(grant.target, now);
            self.suspects.end(grant.fingerprint);
            self.forget_trial(&grant, now);
        }
        for upstream in self.grants.take_earlier_over(now) {
            self.free_earlier(&upstream, now);
        }
        self.end_standings(now, actions);
        self.keep_floor(now, actions);
        self.targets.grow_ramps(now);
        self.poison.expire(now);
        self.suspects.expire(now);
        self.paths.expire(now);
        self.overtook.retain(|_, ends| *ends > now);
        self.capacity.note_busy(self.targets.busy(), now);
        self.review_queue(now, actions);
        self.place(now, actions);
    }

    /// Returns when [`Self::tick`] is due next. While calls wait or upstreams are cold it is due each
    /// few milliseconds besides; the driver's own period serves for that.
    pub fn next_wake(&self) -> Option<Moment> {
        let recount = self.recount_ends.filter(|_| self.recounting);
        let deadline = self.queue.first_start();
        let grant = self.grants.next_end();
        let wakes = [recount, deadline, grant, self.targets.next_wake()];
        wakes.into_iter().flatten().min()
    }

    /// Returns what operators are shown of the placer.
    pub fn row(&self) -> PlacerRow {
        PlacerRow {
            service: self.settings.service.clone(),
            shard: self.settings.shard,
            member: self.settings.member.clone(),
            epoch: self.settings.epoch,
            busy: self.targets.busy(),
            queued: self.queued(),
            granted: self.grants.last().0,
            refused: self.refused,
        }
    }

    /// Lists health, slots in use and the rest of an ejection in milliseconds for each upstream, as
    /// of the last event.
    pub fn health(&self) -> impl Iterator<Item = (&UpstreamName, UpstreamHealth, u32, u64)> {
        let now = self.seen;
        let present = self.targets.iter().filter(|(_, target)| !target.lost);
        present.map(move |(_, target)| {
            let left = match target.standing {
                Standing::Ejected { until, .. } => until.since(now).as_millis() as u64,
                Standing::Member | Standing::Trial { .. } => 0,
            };
            let health = target.health(self.targets.ramp(), now);
            (&target.announcement.upstream, health, target.busy, left)
        })
    }

    /// Tells whether the running capacity is enough.
    pub fn capacity(&self) -> CapacityRow {
        let members = self.targets.iter().filter(|(_, target)| target.is_member());
        let units: Vec<CapacityUnit> = members
            .map(|(_, target)| CapacityUnit {
                domain: target.announcement.domain.clone(),
                slots: target.announcement.slots,
            })
            .collect();
        let floor = self.settings.rule.floor_slots;
        let advice = self.capacity.advise(&units, floor, self.hold.mean());
        let serving = self.targets.serving();
        let announced = serving.map(|(_, target)| target.announcement.slots).sum();
        let present = self.targets.iter().filter(|(_, target)| !target.lost).count();
        CapacityRow {
            service: self.settings.service.clone(),
            upstreams: u32::try_from(present).unwrap_or(u32::MAX),
            healthy_slots: self.targets.healthy_slots(),
            announced_slots: announced,
            floor_slots: floor,
            busy_p95: advice.busy_p95,
            refused: advice.refused,
            switch_on: advice.switch_on,
            may_stay_off: advice.may_stay_off,
        }
    }

    /// Notes the first event: only upstreams that began after it surely have no call of an earlier
    /// placer's.
    fn begin(&mut self, now: Moment) {
        self.seen = self.seen.max(now);
        if self.recount_ends.is_none() {
            self.recount_ends = Some(now + RECOUNT_LIMIT);
            self.targets.hold_back(Some(now), now);
        }
    }

    fn queued(&self) -> u32 {
        u32::try_from(self.queue.len()).unwrap_or(u32::MAX)
    }

    fn grant_id(&self, number: GrantNumber) -> GrantId {
        let granter = self.settings.member.clone();
        GrantId { granter, epoch: self.settings.epoch, number }
    }

    fn count_earlier_on(&mut self, target: u32, now: Moment) {
        let upstream = self.targets.get(target).announcement.upstream.clone();
        for _ in 0..self.grants.earlier_on(&upstream) {
            self.targets.take_slot(target, now);
        }
    }

    fn free_earlier(&mut self, upstream: &UpstreamName, now: Moment) {
        if let Some(target) = self.targets.index(upstream) {
            self.targets.free_slot(target, now);
        }
    }
}
