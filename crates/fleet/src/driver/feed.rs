//! The configuration: from the replicas of this VM, and from peers that are ahead.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use super::FleetDriver;
use crate::{
    feed::{ConfigAnswer, DELTAS_KEPT, FeedStep},
    link::PeerLinks,
    wire::FleetPeerClient,
};
use log::info;
use model::{config::FleetConfig, moment::Moment, numbers::ConfigNumber};

/// How long one answer may take. A whole configuration at the size to come is 15 MB.
const PULL_TIMEOUT: Duration = Duration::from_secs(3);

/// How many answers are taken in a row from one peer.
const PULL_ROUNDS: usize = 64;

impl FleetDriver {
    pub(super) fn take_committed(&mut self, next: FleetConfig) {
        let present = self.feed.present().number();
        let deltas = self.shared.control.as_ref();
        let deltas = deltas.and_then(|control| control.deltas_since(present, DELTAS_KEPT));
        let mut deltas = deltas.unwrap_or_default();
        deltas.retain(|delta| delta.to <= next.number());
        if self.feed.put(next.clone(), deltas) {
            self.put_in_force(next);
        }
    }

    pub(super) fn hear_number(&mut self, address: SocketAddr, number: ConfigNumber) {
        let ahead = self.feed.hear(address, number);
        if !ahead || self.pulling {
            return;
        }
        self.pulling = true;
        let (links, inbox) = (self.shared.links.clone(), self.inbox.clone());
        tokio::spawn(async move {
            let mut whole = false;
            for _ in 0..PULL_ROUNDS {
                let number = inbox.query(|driver| driver.feed.present().number()).await;
                let Some(number) = number else { return };
                let Some(answer) = pull(&links, address, number, whole).await else { break };
                let step = inbox.query(|driver| driver.take_answer(answer)).await;
                whole = match step {
                    Some(FeedStep::Advance(_)) => false,
                    Some(FeedStep::AskImage) if !whole => true,
                    _ => break,
                };
            }
            inbox.query(|driver| driver.pulling = false).await;
        });
    }

    fn take_answer(&mut self, answer: ConfigAnswer) -> FeedStep {
        let step = self.feed.take(answer);
        if let FeedStep::Advance(next) = &step {
            self.put_in_force(next.clone());
        }
        step
    }

    fn put_in_force(&mut self, next: FleetConfig) {
        let (now, number) = (self.now(), next.number());
        info!(number:%; "configuration in force");
        self.shared.config.store(Arc::new(next));
        self.gossip.set_number(number);
        self.report_number(now);
        self.take_duties(now);
        self.tick_gossip(now);
    }

    /// Tells the rest of the process which number is in force, once it is known to be no old one.
    pub(super) fn report_number(&mut self, now: Moment) {
        let number = self.feed.present().number();
        if *self.changed.borrow() >= number {
            return;
        }
        let known = self.shared.view.load().reachable().count().saturating_sub(1);
        if self.feed.is_ready(known.max(self.seeds), now) {
            self.changed.send_replace(number);
        }
    }
}

async fn pull(
    links: &PeerLinks,
    address: SocketAddr,
    number: ConfigNumber,
    whole: bool,
) -> Option<ConfigAnswer> {
    let call = |client: FleetPeerClient, context| async move {
        client.config(context, number, whole).await
    };
    links.call(address, PULL_TIMEOUT, call).await.ok()
}
