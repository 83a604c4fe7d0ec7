//! What the control thread spreads and hears.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use super::FleetDriver;
use crate::{
    fact::{FactKey, FleetFact, MemberRecord, NoticeSubject, PlacerNotice, UpstreamFact},
    gossip::{DigestAnswer, DigestAsk, GossipEcho, GossipOrder, GossipPush, SyncAsk},
    link::PeerLinks,
    view::{FleetView, ViewMember},
    wire::FleetPeerClient,
};
use log::info;
use model::{
    announcement::{UpstreamAnnouncement, UpstreamState},
    moment::Moment,
    names::MemberName,
    slot::SlotSettle,
};

/// How long one exchange may take.
const GOSSIP_TIMEOUT: Duration = Duration::from_millis(800);

/// How many rounds one repair may take.
const REPAIR_ROUNDS: usize = 128;

impl FleetDriver {
    pub(super) fn tick_gossip(&mut self, now: Moment) {
        for ended in self.leases.expire(now) {
            let announcement = &ended.announcement;
            info!(
                service:% = announcement.service,
                upstream:% = announcement.upstream,
                reason = "lease ran out";
                "upstream lost"
            );
            self.gossip.learn(FleetFact::Upstream(ended), now);
        }
        for order in self.gossip.tick(now) {
            match order {
                GossipOrder::Push { to, address, push } => self.push(to, address, push),
                GossipOrder::Repair { address } => self.repair(address),
            }
        }
        self.follow(now);
    }

    fn push(&self, to: MemberName, address: SocketAddr, push: GossipPush) {
        let (links, inbox) = (self.shared.links.clone(), self.inbox.clone());
        tokio::spawn(async move {
            let sent = push.clone();
            let call = |client: FleetPeerClient, context| async move {
                client.gossip(context, sent).await
            };
            if let Ok(echo) = links.call(address, GOSSIP_TIMEOUT, call).await {
                inbox.query(move |driver| driver.take_echo(&to, address, &push, &echo)).await;
            }
        });
    }

    fn take_echo(
        &mut self,
        to: &MemberName,
        address: SocketAddr,
        push: &GossipPush,
        echo: &GossipEcho,
    ) {
        let now = self.now();
        self.gossip.take_echo(to, push, echo, now);
        self.hear_number(address, echo.number);
    }

    pub(crate) fn take_push(&mut self, push: GossipPush) -> GossipEcho {
        let now = self.now();
        let (number, from) = (push.number, push.from.clone());
        let echo = self.gossip.take_push(push, now);
        let address = self.gossip.record(&from).map(|record| record.address);
        if let Some(address) = address {
            self.hear_number(address, number);
        }
        echo
    }

    fn repair(&self, address: SocketAddr) {
        let (links, inbox) = (self.shared.links.clone(), self.inbox.clone());
        tokio::spawn(async move {
            for _ in 0..REPAIR_ROUNDS {
                let ask = inbox.query(|driver| driver.gossip.digest_ask(driver.now())).await;
                let Some(ask) = ask else { return };
                let buckets = u32::try_from(ask.sums.len()).unwrap_or(u32::MAX);
                let Some(answer) = compare(&links, address, ask).await else { return };
                let more = answer.more;
                let sync =
                    inbox.query(move |driver| driver.take_digest(address, buckets, &answer)).await;
                let Some(Some(sync)) = sync else { return };
                let Some(facts) = exchange(&links, address, sync).await else { return };
                inbox.query(move |driver| driver.learn_all(facts)).await;
                if !more {
                    return;
                }
            }
        });
    }

    fn take_digest(
        &mut self,
        address: SocketAddr,
        buckets: u32,
        answer: &DigestAnswer,
    ) -> Option<SyncAsk> {
        self.hear_number(address, answer.number);
        self.gossip.sync_ask(buckets, answer, self.now())
    }

    pub(crate) fn answer_digest(&mut self, ask: DigestAsk) -> DigestAnswer {
        self.hear_number(ask.from.address, ask.number);
        self.gossip.answer_digest(ask, self.now())
    }

    fn learn_all(&mut self, facts: Vec<FleetFact>) {
        let now = self.now();
        for fact in facts {
            self.gossip.learn(fact, now);
        }
    }

    /// Acts on what has become news, and publishes the members when they changed.
    pub(super) fn follow(&mut self, now: Moment) {
        if self.gossip.revision() != self.revision {
            self.revision = self.gossip.revision();
            self.publish_view(now);
        }
        for fact in self.gossip.take_news() {
            match fact {
                FleetFact::Member(record) => self.see_life(&record.member, record.incarnation, now),
                FleetFact::Verdict(_) => (),
                FleetFact::Upstream(fact) => self.take_upstream(&fact, now),
                FleetFact::Duty(duty) => self.take_duty(&duty, now),
                FleetFact::Notice(notice) => self.take_notice(&notice, now),
            }
        }
        for key in self.gossip.take_ended() {
            match key {
                FactKey::Upstream(service, upstream) => {
                    self.directory.forget(&service, &upstream);
                }
                FactKey::Member(member) => {
                    self.lives.remove(&member);
                    self.lose_entry(&member, now);
                }
                FactKey::Verdict(..) | FactKey::Duty(..) | FactKey::Notice(_) => (),
            }
        }
    }

    fn publish_view(&mut self, now: Moment) {
        let member = |record: &MemberRecord| ViewMember {
            address: record.address,
            incarnation: record.incarnation,
            reachable: self.gossip.is_reachable(&record.member),
            stopping: record.stopping,
            replica: record.replica,
        };
        let members = self.gossip.records();
        let members: BTreeMap<_, _> =
            members.map(|record| (record.member.clone(), member(record))).collect();
        let view = FleetView::new(members);
        if **self.shared.view.load() != view {
            self.shared.view.store(Arc::new(view));
            self.take_duties(now);
        }
    }

    /// Takes an upstream's own word, from it or passed on by another VM. What changes something is
    /// spread; a mere renewal goes to the VM that keeps the lease.
    pub(super) fn hear_announcement(&mut self, announcement: UpstreamAnnouncement, now: Moment) {
        if self.directory.is_change(&announcement) {
            let fact = UpstreamFact { announcement: announcement.clone(), ended: false };
            self.gossip.learn(FleetFact::Upstream(fact), now);
            self.follow(now);
        }
        self.renew(announcement, now);
    }

    fn renew(&mut self, announcement: UpstreamAnnouncement, now: Moment) {
        let view = self.shared.view.load_full();
        let keeper = view.placer_of(&announcement.service, 0);
        let Some(keeper) = keeper.filter(|keeper| keeper.member != self.shared.member) else {
            return self.keep(&announcement, now);
        };
        let (links, inbox, address) =
            (self.shared.links.clone(), self.inbox.clone(), keeper.address);
        tokio::spawn(async move {
            let passed = announcement.clone();
            let call = |client: FleetPeerClient, context| async move {
                client.renew(context, passed).await
            };
            if links.call(address, GOSSIP_TIMEOUT, call).await.is_err() {
                // The keeper is not reached from here. Spread to all, the renewal reaches it by
                // others, so that a path fault of this VM ends no healthy upstream's lease.
                inbox.query(move |driver| driver.spread(announcement)).await;
            }
        });
    }

    fn spread(&mut self, announcement: UpstreamAnnouncement) {
        let now = self.now();
        self.gossip.learn(FleetFact::Upstream(UpstreamFact { announcement, ended: false }), now);
    }

    /// Takes a renewal as the VM that keeps the lease.
    pub(crate) fn keep(&mut self, announcement: &UpstreamAnnouncement, now: Moment) {
        if self.directory.is_change(announcement) {
            let fact = UpstreamFact { announcement: announcement.clone(), ended: false };
            self.gossip.learn(FleetFact::Upstream(fact), now);
        }
        if self.keeps(&announcement.service) {
            self.leases.renew(announcement, now);
        }
        self.announce_to_placer(announcement, now);
    }

    /// Returns how long an upstream's lease still runs: as this VM keeps it, or as announced.
    pub(crate) fn lease_left_ms(&self, announcement: &UpstreamAnnouncement) -> u64 {
        let kept = self.leases.left(announcement, self.now());
        let announced = Duration::from_millis(u64::from(announcement.lease_ms));
        u64::try_from(kept.unwrap_or(announced).as_millis()).unwrap_or(u64::MAX)
    }

    fn take_upstream(&mut self, fact: &UpstreamFact, now: Moment) {
        let announcement = &fact.announcement;
        info!(
            service:% = announcement.service,
            upstream:% = announcement.upstream,
            state:? = announcement.state,
            incarnation:% = announcement.incarnation,
            ended = fact.ended;
            "upstream announced"
        );
        self.directory.learn(fact.clone(), now);
        self.announce_to_fallback(fact, now);
        if !fact.ended {
            if self.keeps(&fact.announcement.service) {
                self.leases.renew(&fact.announcement, now);
            }
            self.announce_to_placer(&fact.announcement, now);
        }
    }

    /// An upstream refused a call because it is draining: it is leaving, also where its own
    /// announcement is late or lost.
    pub(super) fn hear_draining(&mut self, settle: &SlotSettle, now: Moment) {
        let Some(held) = self.directory.get(&settle.service, &settle.upstream) else { return };
        if held.ended || held.announcement.state == UpstreamState::Leaving {
            return;
        }
        info!(service:% = settle.service, upstream:% = settle.upstream, reason = "its own answer";
            "upstream leaves");
        let state = UpstreamState::Leaving;
        let announcement = UpstreamAnnouncement { state, ..held.announcement.clone() };
        self.gossip.learn(FleetFact::Upstream(UpstreamFact { announcement, ended: false }), now);
        self.follow(now);
    }

    /// Takes a placer's notice, if that placer is obeyed.
    fn take_notice(&mut self, notice: &PlacerNotice, now: Moment) {
        let service = notice.subject.service();
        if !notice.is_obeyed(self.shared.book().obeyed(service, 0)) {
            return info!(service:%, epoch:% = notice.epoch, reason = "old epoch"; "notice refused");
        }
        let until = now + Duration::from_millis(u64::from(notice.left_ms));
        match &notice.subject {
            NoticeSubject::Ejection { service, upstream } => {
                self.apply_ejection(service, upstream, notice.holds.then_some(until), now);
            }
            NoticeSubject::Poison { service, fingerprint } => {
                self.apply_poison(service, *fingerprint, until);
            }
        }
    }
}

async fn compare(links: &PeerLinks, address: SocketAddr, ask: DigestAsk) -> Option<DigestAnswer> {
    let call = |client: FleetPeerClient, context| async move { client.digest(context, ask).await };
    links.call(address, GOSSIP_TIMEOUT, call).await.ok()
}

async fn exchange(links: &PeerLinks, address: SocketAddr, ask: SyncAsk) -> Option<Vec<FleetFact>> {
    let call = |client: FleetPeerClient, context| async move { client.sync(context, ask).await };
    links.call(address, GOSSIP_TIMEOUT, call).await.ok()
}
