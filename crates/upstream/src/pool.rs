//! The connections to each upstream.
//!
//! A connection is in use by one exchange or idle, never both: [`PooledConnection`] owns it while it
//! is in use, and only an exchange that read its answer to the proper end gives it back.
//!
//! Failure: something between the two ends loses track of open connections, and they go silent for
//! good while new ones work. Symptom: each call that is put on one waits in vain, and the upstream,
//! which is well, looks hung. Safeguards: a connection counts as proved for a second after its last
//! answer ([`PoolSettings::proof_age`]), and a call that must not run twice goes only on a proved or a
//! new one; once an exchange on a used connection is silent for too long, each idle connection that
//! has not answered since it began is closed. Closing too many costs a millisecond for each, so doubt
//! is enough for that. Excusing the upstream takes proof: no used connection answered meanwhile, and
//! a new one did.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use model::call::{CallClass, OutcomeClass};
use tokio::{
    net::TcpStream,
    sync::Semaphore,
    time::{Instant, timeout},
};

use crate::{
    exchange::ExchangeFault,
    target::{IdleConnection, PoolState},
};

/// The body of a request as it goes to an upstream.
pub type RequestBody = UnsyncBoxBody<Bytes, Box<dyn std::error::Error + Send + Sync>>;

/// How many probes may run at once: one costs an upstream about 25 ms of its time.
const PROBES_LIMIT: usize = 4;

/// The limits of a pool.
#[derive(Clone, Copy, Debug)]
pub struct PoolSettings {
    /// How long opening a connection may take. Opening one takes about 1 ms today.
    pub connect_timeout: Duration,
    /// How long an idle connection is kept.
    pub idle_limit: Duration,
    /// How many idle connections are kept to all upstreams together: at 170,000 targets no entry
    /// can keep one to each.
    pub idle_total: usize,
    /// How often the idle connections to all upstreams are looked through.
    pub sweep_every: Duration,
    /// How long a connection counts as proved after its last answer.
    ///
    /// Failure: a payment is sent on a connection that was lost track of. Symptom: nothing comes
    /// back and it must be called unknown. A connection that answered within the last second is very
    /// unlikely to have been lost meanwhile; any other is passed over for a new one, which costs
    /// about 1 ms.
    pub proof_age: Duration,
}

impl Default for PoolSettings {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(500),
            idle_limit: Duration::from_secs(30),
            idle_total: 1_024,
            sweep_every: Duration::from_secs(1),
            proof_age: Duration::from_secs(1),
        }
    }
}

struct PoolShared {
    settings: PoolSettings,
    state: Mutex<PoolState>,
    probes: Semaphore,
}

/// The connections of one entry to all upstreams.
#[derive(Clone)]
pub struct ConnectionPool {
    shared: Arc<PoolShared>,
}

/// How many connections a pool holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolTally {
    /// Connections that carry an exchange.
    pub in_use: usize,
    /// Connections that wait for one.
    pub idle: usize,
}

/// A connection taken out of the pool. Dropping it closes it.
pub(crate) struct PooledConnection {
    pool: ConnectionPool,
    address: SocketAddr,
    sender: Option<SendRequest<RequestBody>>,
    opened: Instant,
    /// How long ago it last answered when it was taken out. `None`: it is new.
    pub(crate) unproved_for: Option<Duration>,
}

impl PooledConnection {
    pub(crate) fn sender(&mut self) -> &mut SendRequest<RequestBody> {
        self.sender.as_mut().expect("only giving it back takes it")
    }

    /// Tells whether it may be one of many that went silent.
    pub(crate) fn may_be_silent(&self) -> bool {
        let state = self.pool.lock();
        let target = state.targets.get(&self.address);
        let possible = target.is_none_or(|target| target.may_be_silent(self.opened));
        self.unproved_for.is_some() && possible
    }

    /// Tells whether its upstream may have closed it for having been idle.
    pub(crate) fn is_unproved(&self) -> bool {
        self.unproved_for.is_some_and(|age| age >= self.pool.shared.settings.proof_age)
    }

    pub(crate) fn give_back(mut self) {
        let Some(sender) = self.sender.take() else { return };
        let idle = IdleConnection { sender, opened: self.opened, proved: Instant::now() };
        self.pool.keep(self.address, idle);
    }
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        let mut state = self.pool.lock();
        if let Some(target) = state.targets.get_mut(&self.address) {
            target.in_use = target.in_use.saturating_sub(1);
        }
    }
}

/// What the pool has for an exchange.
enum PoolPlace {
    Reused(IdleConnection),
    New,
    Full,
}

impl Default for ConnectionPool {
    fn default() -> Self {
        Self::new()
    }
}

impl ConnectionPool {
    /// Makes an empty pool with the default limits.
    pub fn new() -> Self {
        Self::with_settings(PoolSettings::default())
    }

    /// Makes an empty pool.
    pub fn with_settings(settings: PoolSettings) -> Self {
        let now = Instant::now();
        let state = PoolState { targets: HashMap::new(), swept: now, started: now };
        let probes = Semaphore::new(PROBES_LIMIT);
        Self { shared: Arc::new(PoolShared { settings, state: Mutex::new(state), probes }) }
    }

    /// Counts the connections to one upstream.
    pub fn tally(&self, address: SocketAddr) -> PoolTally {
        let state = self.lock();
        let found = state.targets.get(&address);
        found.map_or(PoolTally::default(), |target| PoolTally {
            in_use: target.in_use,
            idle: target.idle.len(),
        })
    }

    /// Takes a connection for one exchange: an idle one that answered within `oldest`, else a new
    /// one if that stays within `share`.
    pub(crate) async fn check_out(
        &self,
        address: SocketAddr,
        share: u32,
        oldest: Duration,
    ) -> Result<PooledConnection, ExchangeFault> {
        let idle = match self.take(address, share, oldest) {
            PoolPlace::Reused(idle) => Some(idle),
            PoolPlace::New => None,
            PoolPlace::Full => return Err(ExchangeFault::unsent(OutcomeClass::Unused)),
        };
        // Made before the connection is opened, so that a caller who goes meanwhile frees its place.
        let mut connection = PooledConnection {
            pool: self.clone(),
            address,
            opened: idle.as_ref().map_or_else(Instant::now, |idle| idle.opened),
            unproved_for: idle.as_ref().map(|idle| idle.proved.elapsed()),
            sender: idle.map(|idle| idle.sender),
        };
        if connection.sender.is_none() {
            let opened = self.open(address).await;
            let failed = ExchangeFault::unsent(OutcomeClass::ConnectFailure);
            connection.sender = Some(opened.ok_or(failed)?);
        }
        Ok(connection)
    }

    fn take(&self, address: SocketAddr, share: u32, oldest: Duration) -> PoolPlace {
        let kept = self.shared.settings.idle_limit;
        let mut state = self.lock();
        let target = state.targets.entry(address).or_default();
        target.idle.retain(|one| !one.sender.is_closed() && one.proved.elapsed() < kept);
        if let Some(last) = target.idle.pop_if(|one| one.proved.elapsed() < oldest) {
            target.in_use += 1;
            return PoolPlace::Reused(last);
        }
        // An upstream that accepts few connections would refuse one beyond its limit, perhaps one
        // of another entry. A share of 0 still allows one: the slot was granted for a purpose.
        if target.in_use + target.idle.len() >= share.max(1) as usize {
            if target.idle.is_empty() {
                return PoolPlace::Full;
            }
            target.idle.remove(0);
        }
        target.in_use += 1;
        PoolPlace::New
    }

    fn keep(&self, address: SocketAddr, idle: IdleConnection) {
        let settings = self.shared.settings;
        let mut state = self.lock();
        state.targets.entry(address).or_default().idle.push(idle);
        if state.swept.elapsed() >= settings.sweep_every {
            state.sweep(&settings);
        }
    }

    /// Closes the idle connections that have not answered since `silent_since`.
    pub(crate) fn retire(&self, address: SocketAddr, silent_since: Instant) {
        let mut state = self.lock();
        let Some(target) = state.targets.get_mut(&address) else { return };
        let before = target.idle.len();
        target.idle.retain(|one| one.proved > silent_since);
        let retired = before - target.idle.len();
        if retired > 0 {
            log::info!(upstream:% = address, retired; "silent connections retired");
        }
    }

    /// Records that a connection answered.
    pub(crate) fn note_works(&self, address: SocketAddr, reused: bool) {
        let mut state = self.lock();
        let target = state.targets.entry(address).or_default();
        let works = if reused { &mut target.reused_works } else { &mut target.new_works };
        *works = Some(Instant::now());
    }

    /// Records that connections were found to be silent.
    pub(crate) fn note_silent(&self, address: SocketAddr) {
        self.lock().targets.entry(address).or_default().found_silent = Some(Instant::now());
    }

    /// Tells what answered since then: a connection that was used before, and a new one.
    pub(crate) fn works_since(&self, address: SocketAddr, since: Instant) -> (bool, bool) {
        let state = self.lock();
        let Some(target) = state.targets.get(&address) else { return (false, false) };
        let after = |works: Option<Instant>| works.is_some_and(|at| at > since);
        (after(target.reused_works), after(target.new_works))
    }

    /// Tells whether a new connection answers, by real work since `since` or else by a probe.
    pub(crate) async fn new_connection_works(&self, address: SocketAddr, since: Instant) -> bool {
        let Ok(_permit) = self.shared.probes.acquire().await else { return false };
        if self.works_since(address, since).1 {
            return true;
        }
        let works = self.probe(address).await;
        if works {
            self.note_works(address, false);
        }
        works
    }

    /// Asks for nothing on a new connection. Any answer will do.
    async fn probe(&self, address: SocketAddr) -> bool {
        let Some(mut sender) = self.open(address).await else { return false };
        let request = http::Request::builder()
            .method(http::Method::OPTIONS)
            .uri("*")
            .header(http::header::HOST, address.to_string())
            .body(RequestBody::default())
            .expect("the parts are valid");
        let answer = timeout(self.shared.settings.connect_timeout, sender.send_request(request));
        matches!(answer.await, Ok(Ok(_)))
    }

    pub(crate) async fn open(&self, address: SocketAddr) -> Option<SendRequest<RequestBody>> {
        timeout(self.shared.settings.connect_timeout, open(address)).await.ok().flatten()
    }

    /// Returns how old the last answer on a connection may be for a class of call to go on it.
    pub(crate) fn oldest_for(&self, class: CallClass) -> Duration {
        let settings = &self.shared.settings;
        if class.is_idempotent() { settings.idle_limit } else { settings.proof_age }
    }

    fn lock(&self) -> MutexGuard<'_, PoolState> {
        self.shared.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn open(address: SocketAddr) -> Option<SendRequest<RequestBody>> {
    let stream = TcpStream::connect(address).await.ok()?;
    // Without it a small request can wait 40 ms for the acknowledgement of the one before.
    stream.set_nodelay(true).ok()?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!(upstream:% = address, error:% = error; "a connection ended");
        }
    });
    Some(sender)
}
