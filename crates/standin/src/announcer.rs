//! Tells the fleet of an upstream, again and again.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use model::{announcement::UpstreamAnnouncement, numbers::IncarnationNumber};

use crate::{
    call::{CallError, call, request},
    state::{StandinState, lock},
    upstream::{LEASE, StandinSettings},
};

pub(crate) struct Announcer {
    pub(crate) settings: StandinSettings,
    pub(crate) address: SocketAddr,
    pub(crate) incarnation: IncarnationNumber,
    pub(crate) state: Arc<Mutex<StandinState>>,
}

impl Announcer {
    pub(crate) async fn announce(&self) -> Result<(), CallError> {
        let announcement = self.next();
        let body = serde_json::to_vec(&announcement).expect("an announcement has a JSON form");
        let bearer = format!("Bearer {}", self.settings.secret);
        let mut last = None;
        for &entry in &self.settings.announce {
            let post = request("POST", "/announce", &[("authorization", &bearer)], &body);
            match call(entry, post).await {
                Ok(_) => return Ok(()),
                Err(error) => last = Some(error),
            }
        }
        last.map_or(Ok(()), Err)
    }

    fn next(&self) -> UpstreamAnnouncement {
        let mut state = lock(&self.state);
        state.sequence += 1;
        UpstreamAnnouncement {
            service: self.settings.service.clone(),
            upstream: self.settings.upstream.clone(),
            address: self.address,
            domain: self.settings.domain.clone(),
            slots: self.settings.slots,
            connections: self.settings.connections,
            state: state.state,
            incarnation: self.incarnation,
            sequence: state.sequence,
            lease_ms: u32::try_from(LEASE.as_millis()).unwrap_or(u32::MAX),
            age_ms: 3_600_000,
        }
    }
}

pub(crate) async fn renew(announcer: Announcer) {
    loop {
        // A failed renewal is made up for by the next: the lease lasts for four of them.
        let _ = announcer.announce().await;
        tokio::time::sleep(LEASE / 4).await;
    }
}
