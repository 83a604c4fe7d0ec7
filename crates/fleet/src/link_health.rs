//! Which connection has gone silent: pure rules, time passed in.
//!
//! Failure: something between two VMs loses track of a connection. Symptom without a guard: calls on
//! it wait until their deadlines for good, while a new connection would work. A connection on which
//! something waits gets a ping; one whose ping is not answered in time is replaced. When each
//! connection is silent at once the likely cause is this VM itself (its thread was paused), and
//! replacing all of them would only add load: then they get a longer time.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use model::moment::Moment;

/// After which time without any answer a ping is sent, while something waits.
pub const PING_AFTER: Duration = Duration::from_millis(500);

/// After which time without any answer to the ping a connection is replaced.
pub const SILENT_AFTER: Duration = Duration::from_millis(1_000);

/// After which time a silent connection is replaced even when all are silent: a pause of this VM is
/// over by then, and its pings were answered if there was a way.
pub const SILENT_LIMIT: Duration = Duration::from_millis(4_000);

/// After which time without a call a connection is closed.
pub const IDLE_AFTER: Duration = Duration::from_secs(60);

/// What to do about a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkAdvice {
    /// Send a ping.
    Ping,
    /// It is silent: close it, so that the next call opens a new one.
    Replace,
    /// It is idle: close it.
    Close,
}

#[derive(Debug)]
struct LinkTimes {
    used: Moment,
    answered: Moment,
    waiting: u32,
    /// Since when something has waited without any answer.
    waiting_since: Option<Moment>,
    pinged: Option<Moment>,
}

/// When each connection was used and answered.
#[derive(Debug, Default)]
pub struct LinkHealth {
    links: BTreeMap<SocketAddr, LinkTimes>,
}

impl LinkHealth {
    /// Takes a new connection.
    pub fn opened(&mut self, peer: SocketAddr, now: Moment) {
        let (waiting_since, pinged) = (None, None);
        let times = LinkTimes { used: now, answered: now, waiting: 0, waiting_since, pinged };
        self.links.insert(peer, times);
    }

    /// Forgets a connection.
    pub fn closed(&mut self, peer: SocketAddr) {
        self.links.remove(&peer);
    }

    /// Counts a call that waits for its answer.
    pub fn sent(&mut self, peer: SocketAddr, now: Moment) {
        if let Some(times) = self.links.get_mut(&peer) {
            times.used = now;
            times.waiting += 1;
            times.waiting_since.get_or_insert(now);
        }
    }

    /// Counts an answer.
    pub fn answered(&mut self, peer: SocketAddr, now: Moment) {
        if let Some(times) = self.links.get_mut(&peer) {
            times.answered = now;
            times.waiting = times.waiting.saturating_sub(1);
            times.waiting_since = (times.waiting > 0).then_some(now);
            times.pinged = None;
        }
    }

    /// Counts a call that ended without an answer: given up, or out of time. It proves nothing of
    /// the connection, so what waits is not reset by it.
    pub fn given_up(&mut self, peer: SocketAddr) {
        if let Some(times) = self.links.get_mut(&peer) {
            times.waiting = times.waiting.saturating_sub(1);
            if times.waiting == 0 && times.pinged.is_none() {
                times.waiting_since = None;
            }
        }
    }

    /// Lists the connections about which something is to be done.
    pub fn review(&mut self, now: Moment) -> Vec<(SocketAddr, LinkAdvice)> {
        let silent: Vec<_> = self.silent(SILENT_AFTER, now).collect();
        let ours = silent.len() > 1 && silent.len() == self.links.len();
        let limit = if ours { SILENT_LIMIT } else { SILENT_AFTER };
        let replaced: Vec<_> = self.silent(limit, now).collect();
        let mut advice = Vec::new();
        for (&peer, times) in &mut self.links {
            let waited = times.waiting_since.map_or(Duration::ZERO, |since| now.since(since));
            if replaced.contains(&peer) {
                advice.push((peer, LinkAdvice::Replace));
            } else if waited >= PING_AFTER && times.pinged.is_none() {
                times.pinged = Some(now);
                advice.push((peer, LinkAdvice::Ping));
            } else if times.waiting == 0 && now.since(times.used) >= IDLE_AFTER {
                advice.push((peer, LinkAdvice::Close));
            }
        }
        advice
    }

    /// Lists the connections whose ping has gone without any answer for `limit`.
    fn silent(&self, limit: Duration, now: Moment) -> impl Iterator<Item = SocketAddr> {
        let silent =
            move |times: &LinkTimes| times.pinged.is_some_and(|pinged| now.since(pinged) >= limit);
        self.links.iter().filter(move |(_, times)| silent(times)).map(|(&peer, _)| peer)
    }
}
