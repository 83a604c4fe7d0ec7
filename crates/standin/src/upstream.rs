//! An upstream with slots, a service time and faults, which counts what it ran.

use std::{
    collections::HashMap,
    convert::Infallible,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

pub use crate::fault::FaultPlan;
use crate::{
    announcer::{Announcer, renew},
    call::CallError,
    fault::CallFate,
};
use bytes::Bytes;
use futures::StreamExt;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use model::{
    announcement::UpstreamState,
    call::{KEY_HEADER, UPSTREAM_STATE_HEADER},
    names::{DomainName, ServiceName, UpstreamName},
    numbers::IncarnationNumber,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Notify,
    task::JoinHandle,
};

/// What an upstream is started with.
#[derive(Clone, Debug)]
pub struct StandinSettings {
    /// Its service.
    pub service: ServiceName,
    /// Its name.
    pub upstream: UpstreamName,
    /// Its failure domain.
    pub domain: DomainName,
    /// How many calls it runs at once. It sheds what goes beyond.
    pub slots: u32,
    /// How many connections it accepts.
    pub connections: u32,
    /// How long a call takes.
    pub takes: Duration,
    /// Where it announces itself: any entry will do.
    pub announce: Vec<SocketAddr>,
    /// The announcement secret.
    pub secret: String,
    /// Seeds its faults.
    pub seed: u64,
}

#[derive(Debug)]
pub(crate) struct StandinState {
    fault: FaultPlan,
    busy: u32,
    most_busy: u32,
    shed: u64,
    ran: u64,
    failed: u64,
    runs_by_key: HashMap<String, u32>,
    pub(crate) state: UpstreamState,
    pub(crate) sequence: u64,
    last_call: Option<std::time::Instant>,
    random: Pcg64Mcg,
    /// A request body that holds these bytes ends the process.
    crash_on: Option<Vec<u8>>,
    /// What it states on the refusal with which it answers each call.
    refuse_as: Option<&'static str>,
    /// Connections accepted so far.
    accepted: u64,
    /// Connections up to this one answer nothing any more.
    silent_up_to: u64,
}

/// A running upstream. Dropping it ends it without a word, as a crash does.
#[derive(Debug)]
pub struct UpstreamStandin {
    address: SocketAddr,
    settings: StandinSettings,
    incarnation: IncarnationNumber,
    state: Arc<Mutex<StandinState>>,
    tasks: Vec<JoinHandle<()>>,
}

/// How long the first half of an answer may take to go out before the rest is cut off.
const FLUSH_TIME: Duration = Duration::from_millis(10);

/// How long an announcement holds.
pub const LEASE: Duration = Duration::from_secs(2);

impl UpstreamStandin {
    /// Binds a port and begins to serve and to announce itself.
    ///
    /// # Errors
    ///
    /// Fails when no port can be bound.
    pub async fn spawn(settings: StandinSettings) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let started = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let state = Arc::new(Mutex::new(StandinState {
            fault: FaultPlan::NONE,
            busy: 0,
            most_busy: 0,
            shed: 0,
            ran: 0,
            failed: 0,
            runs_by_key: HashMap::new(),
            state: UpstreamState::Serving,
            sequence: 0,
            last_call: None,
            random: Pcg64Mcg::seed_from_u64(settings.seed),
            crash_on: None,
            refuse_as: None,
            accepted: 0,
            silent_up_to: 0,
        }));
        let micros = u64::try_from(started.as_micros()).unwrap_or(u64::MAX);
        let incarnation = IncarnationNumber(micros);
        let mut standin = Self { address, settings, incarnation, state, tasks: Vec::new() };
        let served = serve(listener, standin.state.clone(), standin.settings.clone());
        standin.tasks.push(tokio::spawn(served));
        let renewed = renew(standin.announcer());
        standin.tasks.push(tokio::spawn(renewed));
        Ok(standin)
    }

    /// Returns where it takes calls.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns what it was started with.
    pub fn settings(&self) -> &StandinSettings {
        &self.settings
    }

    /// Changes how it misbehaves.
    pub fn set_fault(&self, fault: FaultPlan) {
        lock(&self.state).fault = fault;
    }

    /// Makes a request whose body holds these bytes end the upstream, as a fault of its program would.
    pub fn set_crash_on(&self, bytes: Option<&[u8]>) {
        lock(&self.state).crash_on = bytes.map(<[u8]>::to_vec);
    }

    /// Makes it refuse each call without running it, with this state (`draining`, `shed`).
    pub fn set_refusal(&self, stated: Option<&'static str>) {
        lock(&self.state).refuse_as = stated;
    }

    /// Makes all connections that are open now go silent for good, while new ones work.
    pub fn silence_connections(&self) {
        let mut state = lock(&self.state);
        state.silent_up_to = state.accepted;
    }

    /// Returns how many connections it accepted.
    pub fn accepted(&self) -> u64 {
        lock(&self.state).accepted
    }

    /// Says that it is leaving, to the first entry that listens. It goes on answering.
    ///
    /// # Errors
    ///
    /// Fails when no entry listens.
    pub async fn leave(&self) -> Result<(), CallError> {
        lock(&self.state).state = UpstreamState::Leaving;
        self.announcer().announce().await
    }

    /// Returns how many calls it ran.
    pub fn ran(&self) -> u64 {
        lock(&self.state).ran
    }

    /// Returns how many calls it failed.
    pub fn failed(&self) -> u64 {
        lock(&self.state).failed
    }

    /// Returns how many calls it shed.
    pub fn shed(&self) -> u64 {
        lock(&self.state).shed
    }

    /// Returns the most calls that it ran at once.
    pub fn most_busy(&self) -> u32 {
        lock(&self.state).most_busy
    }

    /// Returns when the last call arrived.
    pub fn last_call(&self) -> Option<std::time::Instant> {
        lock(&self.state).last_call
    }

    /// Returns how often each key ran.
    pub fn runs_by_key(&self) -> HashMap<String, u32> {
        lock(&self.state).runs_by_key.clone()
    }

    fn announcer(&self) -> Announcer {
        Announcer {
            settings: self.settings.clone(),
            address: self.address,
            incarnation: self.incarnation,
            state: self.state.clone(),
        }
    }
}

impl Drop for UpstreamStandin {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

async fn serve(listener: TcpListener, state: Arc<Mutex<StandinState>>, settings: StandinSettings) {
    let shared = Arc::new(ServeState { state, settings, crash: Notify::new() });
    // Held here, so that the end of this task ends each connection, as a crash does.
    let mut connections = tokio::task::JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { return };
                connections.spawn(serve_connection(stream, shared.clone()));
            }
            () = shared.crash.notified() => return,
        }
        while connections.try_join_next().is_some() {}
    }
}

struct ServeState {
    state: Arc<Mutex<StandinState>>,
    settings: StandinSettings,
    crash: Notify,
}

async fn serve_connection(stream: TcpStream, shared: Arc<ServeState>) {
    let _ = stream.set_nodelay(true);
    let number = {
        let mut state = lock(&shared.state);
        state.accepted += 1;
        state.accepted
    };
    let service = service_fn(move |request| {
        let shared = shared.clone();
        async move {
            let silent = lock(&shared.state).silent_up_to >= number;
            if silent {
                // Lost on the way: neither run nor answered.
                std::future::pending::<()>().await;
            }
            run(request, &shared).await
        }
    });
    let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
}

/// A body that breaks off: it announces more than it holds.
type StandinBody = http_body_util::combinators::UnsyncBoxBody<Bytes, io::Error>;

async fn run(
    request: Request<Incoming>,
    shared: &ServeState,
) -> Result<Response<StandinBody>, Infallible> {
    let ServeState { state, settings, crash } = shared;
    let refusal = lock(state).refuse_as;
    if let Some(stated) = refusal {
        return Ok(answer(StatusCode::SERVICE_UNAVAILABLE, Some(stated), stated));
    }
    // A probe asks for nothing.
    if request.method() == http::Method::OPTIONS {
        return Ok(answer(StatusCode::OK, None, ""));
    }
    let Some(_slot) = SlotGuard::take(state, settings.slots) else {
        return Ok(answer(StatusCode::SERVICE_UNAVAILABLE, Some("shed"), "shed"));
    };
    let key = request.headers().get(KEY_HEADER).and_then(|key| key.to_str().ok());
    let (fate, slowness) = begin(state, key.map(str::to_owned));
    let path = request.uri().path().to_owned();
    let body = request.into_body().collect().await.map(|body| body.to_bytes());
    let body = body.unwrap_or_default();
    if crashes(state, &body) {
        crash.notify_one();
        std::future::pending::<()>().await;
    }
    // Even a sleep of no time lasts until the timer's next millisecond.
    if !settings.takes.is_zero() {
        tokio::time::sleep(settings.takes.mul_f64(slowness)).await;
    }
    let text = format!("{} {path} {}", settings.upstream, body.len());
    Ok(match fate {
        CallFate::Answer => answer(StatusCode::OK, None, &text),
        CallFate::Fail => answer(StatusCode::INTERNAL_SERVER_ERROR, None, "failed"),
        CallFate::Silence => std::future::pending().await,
        CallFate::Cut => cut_answer(&text, true),
        CallFate::CutChunked => cut_answer(&text, false),
    })
}

fn crashes(state: &Mutex<StandinState>, body: &[u8]) -> bool {
    let state = lock(state);
    let Some(deadly) = state.crash_on.as_deref() else { return false };
    body.windows(deadly.len().max(1)).any(|window| window == deadly)
}

fn begin(state: &Mutex<StandinState>, key: Option<String>) -> (CallFate, f64) {
    let mut state = lock(state);
    state.ran += 1;
    state.last_call = Some(std::time::Instant::now());
    if let Some(key) = key {
        *state.runs_by_key.entry(key).or_default() += 1;
    }
    let fault = state.fault;
    let draw: f64 = state.random.random();
    let fate = fault.fate(draw);
    if !matches!(fate, CallFate::Answer) {
        state.failed += 1;
    }
    (fate, fault.slowness)
}

fn answer(status: StatusCode, stated: Option<&'static str>, text: &str) -> Response<StandinBody> {
    let body = Full::new(Bytes::copy_from_slice(text.as_bytes())).map_err(|never| match never {});
    let mut response = Response::new(body.boxed_unsync());
    *response.status_mut() = status;
    if let Some(stated) = stated {
        let value = http::HeaderValue::from_static(stated);
        response.headers_mut().insert(UPSTREAM_STATE_HEADER, value);
    }
    response
}

fn cut_answer(text: &str, with_length: bool) -> Response<StandinBody> {
    let whole = Bytes::copy_from_slice(text.as_bytes());
    let half = whole.slice(..whole.len() / 2);
    let begun = futures::stream::iter([Ok(http_body::Frame::data(half))]);
    // Without a pause nothing of the answer goes out, which is a crash and no cut.
    let cut = futures::stream::once(async {
        tokio::time::sleep(FLUSH_TIME).await;
        Err(io::Error::new(io::ErrorKind::ConnectionAborted, "cut"))
    });
    let body = http_body_util::StreamBody::new(begun.chain(cut));
    let mut response = Response::new(body.boxed_unsync());
    if with_length {
        let length = http::HeaderValue::from(whole.len());
        response.headers_mut().insert(http::header::CONTENT_LENGTH, length);
    }
    response
}

struct SlotGuard<'a>(&'a Mutex<StandinState>);

impl<'a> SlotGuard<'a> {
    fn take(state: &'a Mutex<StandinState>, slots: u32) -> Option<Self> {
        let mut held = lock(state);
        if held.busy >= slots {
            held.shed += 1;
            return None;
        }
        held.busy += 1;
        held.most_busy = held.most_busy.max(held.busy);
        Some(Self(state))
    }
}

impl Drop for SlotGuard<'_> {
    fn drop(&mut self) {
        lock(self.0).busy -= 1;
    }
}

pub(crate) fn lock(state: &Mutex<StandinState>) -> MutexGuard<'_, StandinState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}
