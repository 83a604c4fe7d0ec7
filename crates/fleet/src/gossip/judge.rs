//! Verdicts: what this VM says of those it watches, and what it makes of all that is said.

use std::collections::BTreeSet;

use super::GossipState;
use crate::{
    fact::{FactKey, FleetFact, MemberRecord, MemberVerdict},
    membership::FORGET_AFTER,
};
use model::{moment::Moment, names::MemberName};

impl GossipState {
    pub(super) fn state_verdicts(&mut self, now: Moment) {
        let watched: Vec<_> = self.watch.watched().cloned().collect();
        for subject in watched {
            let Some(record) = self.records.get(&subject) else { continue };
            let Some(silent) = self.watch.verdict(&subject, now) else { continue };
            let on = (record.incarnation, record.version);
            let own = self.verdicts.of(&subject, &self.own.member);
            let own = own.filter(|verdict| (verdict.incarnation, verdict.version) == on);
            let said = own.map(|verdict| verdict.silent);
            // A VM that is heard is vouched for only where another watcher calls it silent.
            if said == Some(silent)
                || (said.is_none() && !silent && !self.verdicts.is_suspect(record))
            {
                continue;
            }
            let verdict = MemberVerdict {
                subject,
                incarnation: record.incarnation,
                version: record.version,
                by: self.own.member.clone(),
                sequence: own.map_or(1, |verdict| verdict.sequence + 1),
                silent,
            };
            self.learn(FleetFact::Verdict(verdict), now);
        }
    }

    pub(super) fn judge(&mut self, now: Moment) {
        let counts = |member: &MemberName| {
            self.records.contains_key(member) && !self.lost.contains_key(member)
        };
        let subjects = self.verdicts.subjects().filter(|subject| **subject != self.own.member);
        let records = subjects.filter_map(|subject| self.records.get(subject));
        // Who is lost stays so while all verdicts say so: two lost watchers of each other would
        // otherwise come and go with each review.
        let still = |record: &MemberRecord| {
            self.lost.contains_key(&record.member) && self.verdicts.is_lost(record, |_| true, now)
        };
        let lost =
            records.filter(|record| self.verdicts.is_lost(record, counts, now) || still(record));
        let lost: BTreeSet<_> = lost.map(|record| record.member.clone()).collect();
        let same = lost.iter().eq(self.lost.keys());
        if same {
            return;
        }
        let before = std::mem::take(&mut self.lost);
        for member in lost {
            let since = before.get(&member).copied().unwrap_or(now);
            if !before.contains_key(&member) {
                log::info!(member:% = member; "a VM counts as lost");
            }
            self.lost.insert(member, since);
        }
        self.members_changed();
    }

    pub(super) fn forget(&mut self, now: Moment) {
        let over = self.lost.iter().filter(|(_, since)| now.since(**since) >= FORGET_AFTER);
        let over: Vec<_> = over.map(|(member, _)| member.clone()).collect();
        for member in over {
            self.forget_member(&member, now);
        }
        for key in self.store.expire(now) {
            if let FactKey::Verdict(subject, by) = &key {
                self.verdicts.forget(subject, by);
            }
            self.rumours.stop(&key);
            self.ended.push(key);
        }
    }

    fn forget_member(&mut self, member: &MemberName, now: Moment) {
        let watchers: Vec<_> = self.verdicts.watchers(member).cloned().collect();
        for by in watchers {
            self.verdicts.forget(member, &by);
            self.drop_fact(&FactKey::Verdict(member.clone(), by), now);
        }
        self.records.remove(member);
        self.lost.remove(member);
        self.members_changed();
        self.drop_fact(&FactKey::Member(member.clone()), now);
    }

    fn drop_fact(&mut self, key: &FactKey, now: Moment) {
        self.rumours.stop(key);
        self.store.drop_fact(key, now);
        self.ended.push(key.clone());
    }

    /// Contradicts those who count this VM as lost, now and then.
    pub(super) fn refute(&mut self, now: Moment) {
        if self.refutal.may(now) {
            log::info!(reason = "called lost"; "says that it lives");
            self.change_own(|_| (), now);
        }
    }
}
