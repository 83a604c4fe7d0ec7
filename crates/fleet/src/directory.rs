//! Which upstreams there are: announcements as soft state, each under its lease.

use std::{collections::BTreeMap, time::Duration};

use crate::wire::SpreadAnnouncement;
use model::{
    announcement::UpstreamAnnouncement,
    moment::Moment,
    names::{ServiceName, UpstreamName},
};

#[derive(Debug)]
struct HeldAnnouncement {
    announcement: UpstreamAnnouncement,
    until: Moment,
}

/// The upstreams that this node has heard of.
#[derive(Debug, Default)]
pub struct UpstreamDirectory {
    held: BTreeMap<(ServiceName, UpstreamName), HeldAnnouncement>,
}

impl UpstreamDirectory {
    /// Takes an announcement with the rest of its lease. Tells whether it was news.
    pub fn learn(
        &mut self,
        announcement: UpstreamAnnouncement,
        left: Duration,
        now: Moment,
    ) -> bool {
        let key = (announcement.service.clone(), announcement.upstream.clone());
        let held = self.held.get(&key);
        let news = held.is_none_or(|held| announcement.supersedes(&held.announcement));
        if news {
            self.held.insert(key, HeldAnnouncement { announcement, until: now + left });
        }
        news
    }

    /// Drops what was not renewed.
    pub fn expire(&mut self, now: Moment) {
        self.held.retain(|_, held| held.until > now);
    }

    /// Lists the upstreams, each with the rest of its lease.
    pub fn list(&self, now: Moment) -> impl Iterator<Item = (&UpstreamAnnouncement, Duration)> {
        self.held.values().map(move |held| (&held.announcement, held.until.since(now)))
    }

    /// Returns all as it is spread.
    pub fn to_spread(&self, now: Moment) -> Vec<SpreadAnnouncement> {
        let spread = self.list(now).map(|(announcement, left)| SpreadAnnouncement {
            announcement: announcement.clone(),
            left_ms: u32::try_from(left.as_millis()).unwrap_or(u32::MAX),
        });
        spread.collect()
    }
}
