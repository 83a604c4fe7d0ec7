//! Has the departures listed that were acknowledged before this VM started, and goes by them.

use std::{sync::atomic::Ordering, time::Duration};

use super::{FleetDriver, SharedState, inbox::WeakInbox};
use crate::{
    departures::{gather_departures, list_departures},
    replicas::ReplicaCalls,
};
use log::info;
use model::{
    announcement::{UpstreamAnnouncement, UpstreamState},
    moment::Moment,
};
use tokio::time::sleep;

/// How long one question for the departures may take, and the pause after one in vain.
const RECALL_WITHIN: Duration = Duration::from_secs(1);
const RECALL_PAUSE: Duration = Duration::from_millis(50);

impl FleetDriver {
    /// Begins to ask for the departures: on a VM with a replica at its start, on another once it hears of an upstream.
    pub(super) fn begin_recall(&mut self) {
        if self.recall_begun {
            return;
        }
        self.recall_begun = true;
        self.shared.recalling.store(true, Ordering::Relaxed);
        let (shared, inbox) = (self.shared.clone(), self.inbox.clone());
        tokio::spawn(async move {
            let departed = tokio::select! {
                departed = from_majority(&shared, &inbox) => departed,
                departed = from_leader(&shared) => departed,
            };
            inbox.query(move |driver| driver.finish_recall(&departed)).await;
        });
    }

    fn has_no_replicas(&self) -> bool {
        if self.shared.control.is_some() {
            return false;
        }
        let view = self.shared.view.load();
        let met = self.seeds == 0 || view.members().len() > 1;
        met && !view.members().values().any(|member| member.replica)
    }

    fn finish_recall(&mut self, departed: &[UpstreamAnnouncement]) {
        let now = self.now();
        let held = self.recall.recall(departed, now);
        self.shared.recalling.store(false, Ordering::Relaxed);
        info!(departed = departed.len(), held = held.len(); "departures are known");
        for announcement in departed {
            self.reassert_departure(announcement, now);
        }
        for announcement in held {
            self.hear_announcement(announcement, now);
        }
    }

    /// Tells whether the life of an upstream that an announcement is of has departed, as far as this VM knows.
    pub(super) fn has_departed(&self, announcement: &UpstreamAnnouncement) -> bool {
        let control = self.shared.control.as_ref();
        announcement.state == UpstreamState::Serving
            && (self.recall.has_departed(announcement)
                || control.is_some_and(|control| control.has_departed(announcement)))
    }

    /// Spreads that an upstream has left where the fleet still takes it to serve.
    pub(super) fn reassert_departure(&mut self, announcement: &UpstreamAnnouncement, now: Moment) {
        let held = self.directory.get(&announcement.service, &announcement.upstream);
        let serves = held.is_some_and(|held| {
            let held = &held.announcement;
            held.state == UpstreamState::Serving && held.incarnation <= announcement.incarnation
        });
        if serves {
            let state = UpstreamState::Leaving;
            self.learn_upstream(UpstreamAnnouncement { state, ..announcement.clone() }, now);
        }
    }
}

/// Asks until a majority of the control VMs has told, or there are none.
async fn from_majority(shared: &SharedState, inbox: &WeakInbox) -> Vec<UpstreamAnnouncement> {
    loop {
        // Without a VM that replicates nobody has acknowledged anything for good.
        if inbox.query(|driver| driver.has_no_replicas()).await.unwrap_or(false) {
            return Vec::new();
        }
        if let Some(departed) = gather_departures(shared).await {
            return departed;
        }
        sleep(RECALL_PAUSE).await;
    }
}

/// Asks until the leader has told.
async fn from_leader(shared: &SharedState) -> Vec<UpstreamAnnouncement> {
    let replicas = ReplicaCalls::new(shared.clone());
    loop {
        if let Some(departed) = list_departures(&replicas, RECALL_WITHIN).await {
            return departed;
        }
        sleep(RECALL_PAUSE).await;
    }
}
