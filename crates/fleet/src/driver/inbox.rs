//! How other threads reach the control thread.
//!
//! Handles hold the inbox; the control thread's own tasks hold it weakly. So the thread ends with the
//! last handle, also when nobody told it to.

use std::time::Instant;

use super::FleetDriver;
use crate::{
    settles::GrantEnd,
    wire::{AskFault, PlacerAsk},
};
use decide::placer::HeldGrant;
use model::{
    announcement::UpstreamAnnouncement,
    names::{MemberName, ServiceName},
    slot::SlotGrant,
};
use tokio::sync::{mpsc, oneshot};

/// How many events may wait for the control thread. A full inbox means that the thread is stalled;
/// dropping an ask then is safe, since its entry gives up at its deadline.
const INBOX_LIMIT: usize = 65_536;

type DriverQuery = Box<dyn FnOnce(&mut FleetDriver) + Send>;

/// Where the answer to an ask goes.
pub(crate) type AskReply = oneshot::Sender<Result<SlotGrant, AskFault>>;

pub(crate) enum DriverEvent {
    Ask { ask: PlacerAsk, reply: AskReply, arrived: Instant },
    Ends { entry: MemberName, ends: Vec<GrantEnd>, taken: oneshot::Sender<()> },
    Announce(UpstreamAnnouncement),
    Recounted { service: ServiceName, entry: MemberName, held: Option<Vec<HeldGrant>> },
    Query(DriverQuery),
    Drain,
}

/// Sends events to the control thread and keeps it running.
#[derive(Clone)]
pub(crate) struct DriverInbox(mpsc::Sender<DriverEvent>);

/// Sends events to the control thread while it runs.
#[derive(Clone)]
pub(crate) struct WeakInbox(mpsc::WeakSender<DriverEvent>);

/// Makes an inbox.
pub(crate) fn inbox() -> (DriverInbox, mpsc::Receiver<DriverEvent>) {
    let (sender, receiver) = mpsc::channel(INBOX_LIMIT);
    (DriverInbox(sender), receiver)
}

impl DriverInbox {
    pub(crate) fn downgrade(&self) -> WeakInbox {
        WeakInbox(self.0.downgrade())
    }

    /// Sends without waiting. The event is dropped when the thread is stalled or gone.
    pub(crate) fn send(&self, event: DriverEvent) {
        if self.0.try_send(event).is_err() {
            log::warn!("the control thread is gone or stalled; an event was dropped");
        }
    }

    pub(crate) async fn ask(&self, ask: PlacerAsk) -> Result<SlotGrant, AskFault> {
        let (reply, answer) = oneshot::channel();
        self.send(DriverEvent::Ask { ask, reply, arrived: Instant::now() });
        answer.await.unwrap_or(Err(AskFault::NotPlacer))
    }

    /// Hands over ends. Tells whether the control thread took them.
    pub(crate) async fn end(&self, entry: MemberName, ends: Vec<GrantEnd>) -> bool {
        let (taken, answer) = oneshot::channel();
        let sent = self.0.send(DriverEvent::Ends { entry, ends, taken }).await;
        sent.is_ok() && answer.await.is_ok()
    }

    /// Runs a closure on the control thread. `None` when the thread has ended.
    pub(crate) async fn query<T: Send + 'static>(
        &self,
        query: impl FnOnce(&mut FleetDriver) -> T + Send + 'static,
    ) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        let run: DriverQuery = Box::new(move |driver| drop(reply.send(query(driver))));
        self.0.send(DriverEvent::Query(run)).await.ok()?;
        answer.await.ok()
    }
}

impl WeakInbox {
    pub(crate) fn upgrade(&self) -> Option<DriverInbox> {
        self.0.upgrade().map(DriverInbox)
    }

    pub(crate) fn send(&self, event: DriverEvent) {
        if let Some(inbox) = self.upgrade() {
            inbox.send(event);
        }
    }

    pub(crate) async fn query<T: Send + 'static>(
        &self,
        query: impl FnOnce(&mut FleetDriver) -> T + Send + 'static,
    ) -> Option<T> {
        self.upgrade()?.query(query).await
    }
}
