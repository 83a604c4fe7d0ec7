//! Which replica to ask next: pure rules.

use std::collections::{BTreeMap, BTreeSet};

use model::{names::MemberName, numbers::GroupNumber};

/// The replica that led each group when it was last asked.
#[derive(Debug, Default)]
pub struct LeaderHints {
    leaders: BTreeMap<GroupNumber, MemberName>,
}

impl LeaderHints {
    /// Picks the replica to ask: the one that last led, else one not tried in this round. `None`
    /// when each has been tried.
    pub fn pick(
        &self,
        group: GroupNumber,
        replicas: &[MemberName],
        tried: &BTreeSet<MemberName>,
    ) -> Option<MemberName> {
        let hint = self.leaders.get(&group);
        let hint = hint.filter(|leader| replicas.contains(leader) && !tried.contains(*leader));
        hint.or_else(|| replicas.iter().find(|replica| !tried.contains(*replica))).cloned()
    }

    /// Returns the replica that last led.
    pub fn leader(&self, group: GroupNumber) -> Option<&MemberName> {
        self.leaders.get(&group)
    }

    /// Takes the word of a replica on who leads.
    pub fn learn(&mut self, group: GroupNumber, leader: Option<MemberName>) {
        match leader {
            Some(leader) => drop(self.leaders.insert(group, leader)),
            None => drop(self.leaders.remove(&group)),
        }
    }
}
