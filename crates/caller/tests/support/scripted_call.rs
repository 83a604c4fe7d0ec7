//! Calls by every way to an upstream whose answers are bytes that a test gives.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http2;
use hyper_util::rt::{TokioExecutor, TokioIo};
use model::{
    call::{KEY_HEADER, OUTCOME_HEADER},
    ledger::CallKey,
};
use standin::call::{CallConnection, WholeAnswer, request};
use tokio::net::TcpStream;
use upstream::pool::PathCut;

use super::{
    TestVm,
    carriers::FakeCarriers,
    copies::headers,
    scripted::{AnswerEnd, ScriptedUpstream},
    wait_until,
};

/// How a call gets to the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallWay {
    New,
    Reused,
    Carried,
    /// By a carrier whose connection to the upstream is reused.
    CarriedReused,
}

pub const WAYS: [CallWay; 4] =
    [CallWay::New, CallWay::Reused, CallWay::Carried, CallWay::CarriedReused];

/// What a caller speaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Spoken {
    Http1,
    Http2,
}

pub const SPOKEN: [Spoken; 2] = [Spoken::Http1, Spoken::Http2];

/// One route of each class: idempotent, unprotected and with a key.
pub const ROUTES: [(&str, &str); 3] = [("GET", "/read"), ("POST", "/once"), ("POST", "/pay")];

/// What an answer begins with, before the lines that say how it is framed.
pub const START: &str = "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signed: 1\r\n";

/// The same for a refusal, which says that the call was not run.
pub const REFUSAL_START: &str =
    "HTTP/1.1 503 Full\r\nx-id: {id}\r\nx-signed: 1\r\nx-not-run: 1\r\n";

/// The body "whole-body".
pub const CHUNKS: &str = "5\r\nwhole\r\n5\r\n-body\r\n0\r\n\r\n";

/// A VM before one upstream, beside another VM that may carry its calls.
pub struct ScriptedCase {
    pub upstream: ScriptedUpstream,
    pub vm: TestVm,
    carrier: TestVm,
    way: CallWay,
    before: usize,
    http1: Option<CallConnection>,
    http2: Option<http2::SendRequest<Full<Bytes>>>,
    /// How many calls were sent, each with a key of its own.
    calls: u32,
}

impl ScriptedCase {
    pub async fn open(answer: &[u8], end: AnswerEnd, way: CallWay) -> Self {
        let upstream = ScriptedUpstream::spawn(0, answer, end).await;
        let carriers = [
            FakeCarriers::open("vm-0", "pettah").await,
            FakeCarriers::open("vm-1", "pettah").await,
        ];
        FakeCarriers::meet(&carriers);
        let [own, other] = carriers;
        let targets = [upstream.address()];
        let vm = TestVm::speaking(headers(), own, &targets).await;
        let carrier = TestVm::speaking(headers(), other, &targets).await;
        let (http1, http2) = (None, None);
        let mut case = Self { upstream, vm, carrier, way, before: 0, http1, http2, calls: 0 };
        case.answer_next(answer).await;
        case
    }

    /// Has the upstream answer the next calls so.
    pub async fn answer_next(&mut self, answer: &[u8]) {
        self.close_idle();
        let reused = matches!(self.way, CallWay::Reused | CallWay::CarriedReused);
        self.upstream.set_answer(usize::from(reused), answer);
        if reused {
            let answer = self.ask(Spoken::Http1, ("GET", "/read")).await.unwrap();
            assert_eq!(answer.status, StatusCode::OK);
        }
        self.before = self.upstream.requests();
    }

    /// Closes the connections that an earlier call has left.
    fn close_idle(&self) {
        for pool in [&self.vm.pool, &self.carrier.pool] {
            pool.cut(Some(PathCut::Resets));
        }
        self.carrier.pool.cut(None);
        if matches!(self.way, CallWay::New | CallWay::Reused) {
            self.vm.pool.cut(None);
        }
    }

    /// Sends a call. `None`: there was no whole answer.
    pub async fn ask(&mut self, spoken: Spoken, route: (&str, &str)) -> Option<WholeAnswer> {
        self.calls += 1;
        self.ask_again(spoken, route).await
    }

    /// Sends a call with the key of the one before.
    pub async fn ask_again(&mut self, spoken: Spoken, route: (&str, &str)) -> Option<WholeAnswer> {
        let mut number = [0; 10];
        number[..4].copy_from_slice(&self.calls.to_be_bytes());
        let key = CallKey::from_parts(1_700_000_000_000, number).to_string();
        let names = [("x-id", "one"), (KEY_HEADER, &*key)];
        let uri = match spoken {
            Spoken::Http1 => route.1.to_owned(),
            Spoken::Http2 => format!("http://a{}", route.1),
        };
        let request = request(route.0, &uri, &names, b"");
        match spoken {
            Spoken::Http1 => self.ask_by_http1(request).await,
            Spoken::Http2 => self.ask_by_http2(request).await,
        }
    }

    async fn ask_by_http1(&mut self, request: Request<Full<Bytes>>) -> Option<WholeAnswer> {
        let mut connection = match self.http1.take() {
            Some(connection) => connection,
            None => CallConnection::open(self.vm.address()).await.unwrap(),
        };
        let answer = connection.send(request).await.ok()?;
        self.http1 = Some(connection);
        Some(answer)
    }

    async fn ask_by_http2(&mut self, request: Request<Full<Bytes>>) -> Option<WholeAnswer> {
        let mut sender = match self.http2.take() {
            Some(sender) => sender,
            None => open_http2(self.vm.address()).await,
        };
        let (parts, body) = sender.send_request(request).await.ok()?.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        self.http2 = Some(sender);
        Some(WholeAnswer { status: parts.status, headers: parts.headers, body })
    }

    /// Sends a call by HTTP/2 that takes trailers, and returns its body with them. `None`: there was no whole answer.
    pub async fn ask_for_trailers(&mut self, path: &str) -> Option<(Bytes, HeaderMap)> {
        let mut sender = open_http2(self.vm.address()).await;
        let names = [("x-id", "one"), ("te", "trailers")];
        let request = request("POST", &format!("http://a{path}"), &names, b"");
        let answer = sender.send_request(request).await.ok()?;
        let collected = answer.into_body().collect().await.ok()?;
        let trailers = collected.trailers().cloned().unwrap_or_default();
        Some((collected.to_bytes(), trailers))
    }

    /// How many requests the upstream got since it was to answer so.
    pub fn requests(&self) -> usize {
        self.upstream.requests() - self.before
    }

    /// Checks that nothing of the calls is left: no connection, no slot.
    pub async fn expect_free(&self, what: &str) {
        wait_until(&format!("{what}: closed"), || self.upstream.connections() == 0).await;
        self.expect_settled(what).await;
    }

    /// Checks that no call is at work. A connection that was opened to see whether the upstream lives may be left.
    pub async fn expect_settled(&self, what: &str) {
        wait_until(&format!("{what}: its slot is free"), || self.vm.slots.busy() == 0).await;
        for vm in [&self.vm, &self.carrier] {
            let in_use = || vm.pool.tally(self.upstream.address()).in_use;
            wait_until(&format!("{what}: none in use"), || in_use() == 0).await;
        }
    }
}

/// Tells whether the fleet said that it has no whole answer and that the call may have run.
pub fn is_unknown(answer: &WholeAnswer) -> bool {
    let failed = [StatusCode::BAD_GATEWAY, StatusCode::GATEWAY_TIMEOUT];
    failed.contains(&answer.status) && answer.header(OUTCOME_HEADER) == "unknown"
}

async fn open_http2(address: SocketAddr) -> http2::SendRequest<Full<Bytes>> {
    let stream = TcpStream::connect(address).await.unwrap();
    let opened = http2::handshake(TokioExecutor::new(), TokioIo::new(stream)).await;
    let (sender, connection) = opened.unwrap();
    tokio::spawn(connection);
    sender
}
