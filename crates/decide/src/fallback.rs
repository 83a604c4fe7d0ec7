//! What an entry does without a placer in reach.
//!
//! Load: the placer is gone or cut off, and each of 36 to 48 entries goes on alone before targets of
//! 4 to 6 slots. Harm prevented: all entries fill the same slots and the upstreams drown. So an entry
//! uses at most its share of each target's slots. There are fewer slots than entries at most targets,
//! so a share is a whole slot here and none there: the slots of the service, in the order of their
//! upstreams' names, are dealt to the entries in the order of theirs. Entries that see the same
//! members and announcements never overfill a slot together, and each gets its equal part.
//!
//! An entry alone sees one outcome in forty, so it ejects nothing. It goes on honouring ejections that
//! it knows of, as far as its own view of the floor allows, and leaving always.

use crate::{floor::FloorGuard, placer::HeldGrant};
use model::{
    announcement::UpstreamAnnouncement,
    call::{CallRefusal, RefusalReason},
    moment::Moment,
    names::{MemberName, UpstreamName},
    numbers::{GrantNumber, PlacerEpoch},
    slot::{GrantId, SlotAsk, SlotGrant, SlotSettle},
};
use std::{collections::BTreeMap, time::Duration};

/// When to come back after a refusal for want of a share. A new placer is found within about a
/// second, so coming back sooner meets the same state.
const COME_BACK: Duration = Duration::from_secs(1);

/// For how long a grant is held beyond its call's deadline when nobody settles it.
const GRACE: Duration = Duration::from_secs(2);

/// What a fallback is started with.
#[derive(Clone, Debug)]
pub struct FallbackSettings {
    /// The entry's own VM.
    pub entry: MemberName,
    /// The number that its own grants carry as epoch. A placer's epochs are greater.
    pub epoch: PlacerEpoch,
    /// The floor of the service.
    pub floor_slots: u32,
}

#[derive(Debug)]
struct OwnGrant {
    upstream: UpstreamName,
    until: Moment,
}

/// Places the calls of one service at one entry by that entry's own counts.
#[derive(Debug)]
pub struct FallbackPlacer {
    settings: FallbackSettings,
    guard: FloorGuard,
    /// This entry's place among the members, and their number.
    place: (u32, u32),
    held: BTreeMap<GrantId, OwnGrant>,
    busy: BTreeMap<UpstreamName, u32>,
    last: GrantNumber,
}

impl FallbackPlacer {
    /// Opens a fallback that knows no upstream and no other entry.
    pub fn open(settings: FallbackSettings) -> Self {
        let guard = FloorGuard::new(settings.floor_slots);
        let (held, busy) = (BTreeMap::new(), BTreeMap::new());
        Self { settings, guard, place: (0, 1), held, busy, last: GrantNumber(0) }
    }

    /// Takes the living entries, this one among them, in any order.
    pub fn set_entries(&mut self, entries: &[MemberName]) {
        let before = entries.iter().filter(|&entry| *entry < self.settings.entry).count();
        let others = entries.iter().filter(|&entry| *entry != self.settings.entry).count();
        let count = |number: usize| u32::try_from(number).unwrap_or(u32::MAX);
        self.place = (count(before), count(others).saturating_add(1));
    }

    /// Returns the guard of the floor, to take announcements, ejections and returns.
    pub fn guard(&mut self) -> &mut FloorGuard {
        &mut self.guard
    }

    /// Counts a grant that this entry had from a placer and still holds.
    pub fn hold(&mut self, held: &HeldGrant, now: Moment) {
        let until = now + Duration::from_millis(u64::from(held.left_ms)) + GRACE;
        let grant = OwnGrant { upstream: held.upstream.clone(), until };
        if self.held.insert(held.id.clone(), grant).is_none() {
            *self.busy.entry(held.upstream.clone()).or_default() += 1;
        }
    }

    /// Grants a slot of this entry's share or refuses. Nothing waits here: without a placer there is
    /// no telling when a slot will be free.
    ///
    /// # Errors
    ///
    /// Refuses when there is no upstream, or none with room in this entry's share.
    pub fn place(&mut self, ask: &SlotAsk, now: Moment) -> Result<SlotGrant, CallRefusal> {
        let Some(chosen) = self.choose(ask, now).cloned() else {
            let none = self.guard.usable(now).next().is_none();
            let reason = if none { RefusalReason::NoUpstream } else { RefusalReason::Saturated };
            return Err(CallRefusal::passing(reason, COME_BACK.as_millis() as u32));
        };
        self.last = self.last.next();
        let id = GrantId {
            granter: self.settings.entry.clone(),
            epoch: self.settings.epoch,
            number: self.last,
        };
        let held =
            HeldGrant { id: id.clone(), upstream: chosen.upstream.clone(), left_ms: ask.within_ms };
        self.hold(&held, now);
        Ok(SlotGrant {
            id,
            upstream: chosen.upstream,
            address: chosen.address,
            connections: chosen.connections,
            waited_us: 0,
            trial: false,
            hedge_after_us: 0,
        })
    }

    /// Ends a grant, whoever gave it.
    pub fn settle(&mut self, settle: &SlotSettle) {
        self.release(&settle.id);
    }

    /// Frees what nobody settled and forgets lost upstreams.
    pub fn tick(&mut self, now: Moment) {
        let over = self.held.iter().filter(|(_, grant)| grant.until <= now);
        let over: Vec<GrantId> = over.map(|(id, _)| id.clone()).collect();
        for id in over {
            self.release(&id);
        }
        self.guard.tick(now);
    }

    fn release(&mut self, id: &GrantId) {
        let Some(grant) = self.held.remove(id) else { return };
        if let Some(busy) = self.busy.get_mut(&grant.upstream) {
            *busy -= 1;
            if *busy == 0 {
                self.busy.remove(&grant.upstream);
            }
        }
    }

    /// Chooses among the upstreams whose dealt slots are not all in use: one not tried yet, in the
    /// same domain, with the most room.
    fn choose(&self, ask: &SlotAsk, now: Moment) -> Option<&UpstreamAnnouncement> {
        let mut first_slot = 0;
        let mut best = None;
        for announcement in self.guard.serving(now) {
            let share = self.share(first_slot, announcement.slots);
            first_slot += announcement.slots;
            let busy = self.busy.get(&announcement.upstream).copied().unwrap_or(0);
            if busy >= share || !self.guard.may_use(&announcement.upstream, now) {
                continue;
            }
            let tried = ask.avoid.contains(&announcement.upstream);
            let elsewhere = announcement.domain != ask.domain;
            let key = (tried, elsewhere, busy);
            if best.as_ref().is_none_or(|(least, _)| key < *least) {
                best = Some((key, announcement));
            }
        }
        best.map(|(_, announcement)| announcement)
    }

    /// Counts the slots from `first` on that are dealt to this entry.
    fn share(&self, first: u32, slots: u32) -> u32 {
        let (place, entries) = self.place;
        let dealt_before = |end: u32| (end + entries - 1 - place) / entries;
        dealt_before(first + slots) - dealt_before(first)
    }
}
