//! The entry's side of offline shares.
//!
//! Load: an entry reaches no VM that places while the membership believes it reachable. Harm prevented: the
//! owner gives out the whole quota and the entry serves calls besides. So an entry may serve only the part of
//! the quota that was lent to it beforehand, and only after a wait in which its lender reports it as silent.
//!
//! An entry borrows from one VM that places, its lender. Each answer of the lender carries a stamp, and each
//! message to it carries the latest stamp received. Spans are measured by steady clocks only.

use super::{QuotaTerms, RateMeter, pools::HOLDER_SILENT_AFTER};
use derive::domain;
use model::{
    moment::Moment,
    names::{CallerName, MemberName},
    numbers::IncarnationNumber,
};
use std::{collections::BTreeMap, time::Duration};

/// Shares are counted in millionths of the quota.
pub const WHOLE_QUOTA: u32 = 1_000_000;

/// How often an entry sends a message to its lender.
pub const CONTACT_PERIOD: Duration = Duration::from_millis(200);

/// How old the latest echoed stamp may be before a lender considers the entry silent.
pub const ENTRY_SILENT_AFTER: Duration = Duration::from_millis(600);

/// What a message between two VMs may take at most. Later ones are dropped by their time-outs.
pub const CONTACT_MARGIN: Duration = Duration::from_millis(200);

/// How long after its lender's latest answer an entry may use its shares.
pub const OFFLINE_WAIT: Duration =
    ENTRY_SILENT_AFTER.saturating_add(HOLDER_SILENT_AFTER).saturating_add(CONTACT_MARGIN);

/// For how long a share lasts from the message that asked for it, as long as there is contact.
pub const SHARE_SPAN: Duration = Duration::from_secs(20);

/// For how long after the lender's latest answer shares may be used. Lender and owner deduct them for as
/// long, since a VM that is cut off cannot be told from one that is lost.
pub const SHARE_LIFE: Duration = Duration::from_secs(120);

/// When a share is renewed, and how often a share is asked for that was not granted.
const RENEW_AFTER: Duration = Duration::from_secs(5);
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// How many shares one message asks for at most.
const WANTED_LIMIT: usize = 64;

/// How many customers an entry holds shares of at most, so that its state and messages are bounded.
const CUSTOMERS_LIMIT: usize = 1_024;

/// Over which time a customer's calls are counted.
const MEMORY: Duration = Duration::from_secs(20);
const SHORTEST_SEEN: Duration = Duration::from_secs(10);

/// The share asked for, as a multiple of the rate at which the customer calls here. Calls come irregularly.
const WANTED_PART: f64 = 1.2;

/// A message of an entry to its lender.
#[domain]
pub struct ShareRequest {
    /// The life of the entry, and its steady clock: a message that was overtaken by a later one is void.
    pub sent: (IncarnationNumber, u64),
    /// The latest stamp received from that lender. 0: none.
    pub echo: u64,
    /// The shares that the entry would like to hold.
    pub wanted: Vec<(CallerName, u32)>,
    /// Whether the entry has given up all shares of that lender.
    pub released: bool,
}

/// The lender's answer.
#[domain]
pub struct ShareAnswer {
    /// The lender's steady clock. 0: it lends nothing to the entry, as the entry has released all.
    pub stamp: u64,
    /// The shares that are granted or renewed.
    pub shares: Vec<(CallerName, u32)>,
}

#[derive(Clone, Copy, Debug)]
struct HeldShare {
    part: u32,
    asked: Moment,
    /// What may be served of it, at which moment.
    calls: f64,
    filled: Option<Moment>,
}

#[derive(Clone, Copy, Debug)]
struct CustomerAtEntry {
    rate: RateMeter,
    since: Moment,
    wanted: Option<Moment>,
    share: Option<HeldShare>,
}

/// The offline shares of one entry.
#[derive(Debug)]
pub struct OfflineShares {
    life: IncarnationNumber,
    lender: Option<MemberName>,
    stamp: u64,
    heard: Moment,
    sent: Option<Moment>,
    customers: BTreeMap<CallerName, CustomerAtEntry>,
}

impl OfflineShares {
    /// Opens the shares of an entry that has started.
    pub fn open(life: IncarnationNumber) -> Self {
        let customers = BTreeMap::new();
        Self { life, lender: None, stamp: 0, heard: Moment::ZERO, sent: None, customers }
    }

    /// Notes a call that a holder admitted.
    pub fn admitted(&mut self, customer: &CallerName, now: Moment) {
        if !self.customers.contains_key(customer) && self.customers.len() >= CUSTOMERS_LIMIT {
            return;
        }
        let fresh = || CustomerAtEntry {
            rate: RateMeter::default(),
            since: now,
            wanted: None,
            share: None,
        };
        self.customers.entry(customer.clone()).or_insert_with(fresh).rate.note(MEMORY, now);
    }

    /// Returns the message that is due to a lender. `None`: none is due, or there is nothing to ask and
    /// nothing held. Once its last share has ended the entry says so, since it would be considered silent.
    pub fn request(
        &mut self,
        lender: &MemberName,
        terms: impl Fn(&CallerName) -> Option<QuotaTerms>,
        now: Moment,
    ) -> Option<ShareRequest> {
        if self.sent.is_some_and(|sent| now.since(sent) < CONTACT_PERIOD) {
            return None;
        }
        let known = self.lender.as_ref() == Some(lender);
        let wanted = self.wanted(known, terms, now);
        let released = wanted.is_empty() && self.is_empty();
        if released && !known {
            return None;
        }
        self.sent = Some(now);
        let echo = if known { self.stamp } else { 0 };
        Some(ShareRequest { sent: (self.life, now.as_micros()), echo, wanted, released })
    }

    fn wanted(
        &mut self,
        known: bool,
        terms: impl Fn(&CallerName) -> Option<QuotaTerms>,
        now: Moment,
    ) -> Vec<(CallerName, u32)> {
        let mut wanted = Vec::new();
        for (name, customer) in &mut self.customers {
            let fresh = customer.share.is_some_and(|share| now.since(share.asked) < RENEW_AFTER);
            let asked = customer.wanted.is_some_and(|asked| now.since(asked) < RETRY_AFTER);
            if (known && fresh) || asked || wanted.len() >= WANTED_LIMIT {
                continue;
            }
            if now.since(customer.rate.at) >= SHARE_SPAN {
                continue;
            }
            let Some(terms) = terms(name) else { continue };
            let seen = now.since(customer.since).max(SHORTEST_SEEN);
            let rate = customer.rate.rate_since(seen, MEMORY, now) * WANTED_PART;
            let part = (rate / terms.per_s * f64::from(WHOLE_QUOTA)).ceil() as u32;
            customer.wanted = Some(now);
            wanted.push((name.clone(), part.max(terms.least_share()).min(WHOLE_QUOTA)));
        }
        wanted
    }

    /// Takes a lender's answer to a message that was sent at `asked`. The entry stops using its shares.
    /// Returns the lender whose shares it has given up, if it borrowed from another one before.
    pub fn answered(
        &mut self,
        lender: &MemberName,
        asked: Moment,
        answer: ShareAnswer,
        now: Moment,
    ) -> Option<MemberName> {
        let mut former = None;
        if answer.stamp == 0 {
            self.lender = None;
            self.customers.values_mut().for_each(|customer| customer.share = None);
            return None;
        }
        if self.lender.as_ref() != Some(lender) {
            former = self.lender.replace(lender.clone());
            self.stamp = 0;
            self.customers.values_mut().for_each(|customer| customer.share = None);
        }
        self.stamp = self.stamp.max(answer.stamp);
        self.heard = self.heard.max(now);
        for (name, part) in answer.shares {
            let Some(customer) = self.customers.get_mut(&name) else { continue };
            let held = customer.share;
            let (calls, filled) = held.map_or((0.0, None), |share| (share.calls, share.filled));
            customer.share = Some(HeldShare { part, asked, calls, filled });
        }
        self.customers.retain(|_, customer| {
            customer.share = customer.share.filter(|share| now.since(share.asked) < SHARE_SPAN);
            customer.share.is_some() || now.since(customer.rate.at) < SHARE_SPAN
        });
        former
    }

    /// Tells whether the entry may use its shares.
    pub fn is_offline(&self, now: Moment) -> bool {
        let silence = now.since(self.heard);
        self.lender.is_some() && silence >= OFFLINE_WAIT && silence < SHARE_LIFE
    }

    /// Takes a call out of the customer's offline share. Tells whether it may be served.
    pub fn take(&mut self, customer: &CallerName, terms: &QuotaTerms, now: Moment) -> bool {
        if !self.is_offline(now) {
            return false;
        }
        let start = self.heard + OFFLINE_WAIT;
        let share = self.customers.get_mut(customer).and_then(|customer| customer.share.as_mut());
        let Some(share) = share else { return false };
        let part = f64::from(share.part) / f64::from(WHOLE_QUOTA);
        let filled = match share.filled {
            Some(filled) if filled >= start => filled,
            // A second cut within the window begins with what the first one left.
            Some(filled) if start.since(filled) < terms.window => start,
            _ => {
                share.calls = part * terms.offline_first();
                start
            }
        };
        let gained = part * terms.per_s * now.since(filled).as_secs_f64();
        share.calls = (share.calls + gained).min(part * terms.offline_depth());
        share.filled = Some(now.max(filled));
        let allowed = share.calls >= 1.0;
        if allowed {
            share.calls -= 1.0;
        }
        allowed
    }

    /// Returns how many shares it holds.
    pub fn len(&self) -> usize {
        self.customers.values().filter(|customer| customer.share.is_some()).count()
    }

    /// Tells whether it holds none.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
