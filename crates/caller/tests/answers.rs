//! Whole answers: each caller gets the whole answer to its own request, or sees that it did not.

mod support;

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use bytes::Bytes;
use caller::limits::CallLimits;
use futures::{StreamExt, stream};
use googletest::prelude::*;
use http::{HeaderMap, HeaderValue, Request, Response};
use http_body::Frame;
use http_body_util::{BodyExt, Empty, Full, StreamBody};
use hyper::client::conn::http2;
use hyper_util::rt::{TokioExecutor, TokioIo};
use model::call::{OUTCOME_HEADER, OutcomeClass};
use standin::{call::call, call::request, upstream::FaultPlan};
use support::{
    TestVm,
    slots::FakeSlots,
    spawn_standin, wait_until,
    wire::{LONG, TestBody, raw, spawn_scripted, spawn_upstream},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

const MEGABYTE: usize = 1_024 * 1_024;

async fn http2(vm: &TestVm) -> http2::SendRequest<Empty<Bytes>> {
    let stream = TcpStream::connect(vm.address()).await.unwrap();
    let io = TokioIo::new(stream);
    let (sender, connection) = http2::handshake(TokioExecutor::new(), io).await.unwrap();
    tokio::spawn(connection);
    sender
}

fn get(path: &str) -> Request<Empty<Bytes>> {
    Request::get(format!("http://hunt.example{path}")).body(Empty::new()).unwrap()
}

fn full(text: &'static str) -> TestBody {
    Full::new(Bytes::from_static(text.as_bytes())).map_err(|never| match never {}).boxed_unsync()
}

fn megabytes(count: usize) -> TestBody {
    let chunk = Bytes::from(vec![7; MEGABYTE]);
    let frames = stream::iter((0..count).map(move |_| Ok(Frame::data(chunk.clone()))));
    StreamBody::new(frames).boxed_unsync()
}

// A small answer of a stated length is cut in the middle, and another chunked one. Nothing has gone
// to the caller, and the calls are idempotent: each is tried elsewhere, and the caller sees a whole
// answer.
#[gtest]
#[tokio::test]
async fn row_8_a_small_cut_answer_is_mended_by_another_try() {
    for plan in [
        FaultPlan { cuts: 1.0, ..FaultPlan::NONE },
        FaultPlan { chunked_cuts: 1.0, ..FaultPlan::NONE },
    ] {
        let (cutting, well) =
            (spawn_standin(0, Duration::ZERO).await, spawn_standin(1, Duration::ZERO).await);
        let vm = TestVm::before(&[well.address(), cutting.address()]).await;
        for _ in 0..10 {
            vm.get("/read").await;
        }
        vm.slots.targets.lock().unwrap().reverse();
        cutting.set_fault(plan);

        let answer = vm.get("/read/7").await;

        expect_that!(answer.status.as_u16(), eq(200));
        expect_that!(String::from_utf8_lossy(&answer.body), starts_with("hunt-1 /read/7"));
        expect_that!(vm.slots.outcomes(), contains(eq(&OutcomeClass::CutAnswer)));
    }
}

// A large answer is cut after its beginning has gone to the caller: one of a stated length, one in
// chunks. The caller's connection breaks off; no end of chunks makes the half look whole.
#[gtest]
#[tokio::test]
async fn row_8_a_large_cut_answer_breaks_off_on_http1() {
    for length in [Some(4 * MEGABYTE), None] {
        let upstream = spawn_upstream(move |_| async move {
            let cut = std::io::Error::other("cut");
            let chunk = Bytes::from(vec![7; MEGABYTE]);
            let frames = [Ok(Frame::data(chunk.clone())), Ok(Frame::data(chunk)), Err(cut)];
            let mut response = Response::new(StreamBody::new(stream::iter(frames)).boxed_unsync());
            if let Some(length) = length {
                response.headers_mut().insert("content-length", HeaderValue::from(length));
            }
            response
        })
        .await;
        let vm = TestVm::before(&[upstream]).await;

        let result = call(vm.address(), request("GET", "/read", &[], b"")).await;
        let text = raw(vm.address(), b"GET /read HTTP/1.1\r\nhost: a\r\n\r\n").await;

        expect_true!(result.is_err());
        expect_that!(text, not(ends_with("0\r\n\r\n")));
        expect_that!(text.len(), lt(3 * MEGABYTE));
    }
}

// The same on HTTP/2: the stream is reset, and the caller's other calls on the connection go on.
#[gtest]
#[tokio::test]
async fn row_8_a_cut_answer_resets_its_http2_stream_only() {
    let cutting = spawn_upstream(|request: Request<hyper::body::Incoming>| async move {
        if request.uri().path() == "/read/whole" {
            return Response::new(full("whole"));
        }
        let cut = futures::stream::iter([Err(std::io::Error::other("cut"))]);
        let chunk = Bytes::from(vec![7; MEGABYTE]);
        let frames = stream::iter([Ok(Frame::data(chunk))]).chain(cut);
        Response::new(StreamBody::new(frames).boxed_unsync())
    })
    .await;
    let vm = TestVm::before(&[cutting]).await;
    let mut sender = http2(&vm).await;

    let answer = sender.send_request(get("/read/cut")).await.unwrap();
    let collected = answer.into_body().collect().await;
    let after = sender.send_request(get("/read/whole")).await.unwrap();

    expect_that!(collected.unwrap_err().to_string(), not(eq("")));
    expect_that!(after.into_body().collect().await.unwrap().to_bytes(), eq(&Bytes::from("whole")));
}

// An upstream says that its answer has 100 bytes, sends 5 and closes. Each try ends so; the caller
// gets an error that says "unknown", never a short success.
#[gtest]
#[tokio::test]
async fn row_8_a_short_answer_is_never_a_success() {
    let script = b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nhello";
    let vm = TestVm::before(&[spawn_scripted(script).await]).await;

    let answer = vm.get("/read").await;

    expect_that!(answer.status.as_u16(), eq(502));
    expect_that!(answer.header(OUTCOME_HEADER), eq("unknown"));
}

// A call is given up at its deadline, and its answer comes late. Many other callers use the same
// entry and upstream meanwhile. Each answer names the path that was asked for.
#[gtest]
#[tokio::test]
async fn row_7_a_late_answer_reaches_nobody_else() {
    let upstream = spawn_upstream(|request: Request<hyper::body::Incoming>| async move {
        let path = request.uri().path().to_owned();
        if path.ends_with("late") {
            tokio::time::sleep(Duration::from_millis(120)).await;
        }
        let body = Full::new(Bytes::from(path)).map_err(|never| match never {});
        Response::new(body.boxed_unsync())
    })
    .await;
    let vm = Arc::new(TestVm::before(&[upstream]).await);
    let mut calls = tokio::task::JoinSet::new();
    for number in 0..200 {
        let vm = vm.clone();
        calls.spawn(async move {
            let late = number % 4 == 0;
            let path = format!("/read/{number}{}", if late { "/late" } else { "" });
            let deadline = if late { "60" } else { "10000" };
            let headers = [("coltsfootcrank-deadline-ms", deadline)];
            let answer = call(vm.address(), request("GET", &path, &headers, b"")).await.unwrap();
            let own = answer.body == path.as_bytes();
            (late, own, answer.status.as_u16())
        });
    }
    for (late, own, status) in calls.join_all().await {
        // 503: on a busy machine the time can be over before anything was sent.
        let given_up = status == 504 || status == 503;
        expect_true!(if late { !own && given_up } else { own && status == 200 });
    }
}

// A caller goes away in the middle of an answer, and another before its answer began. The exchange
// ends, the upstream's connection is closed, and the slots are free.
#[gtest]
#[tokio::test]
async fn a_caller_that_goes_away_frees_its_slot() {
    let upstream = spawn_upstream(|request: Request<hyper::body::Incoming>| async move {
        if request.uri().path() == "/read/never" {
            tokio::time::sleep(LONG).await;
        }
        let frames = stream::iter([Ok(Frame::data(Bytes::from_static(b"start")))]);
        Response::new(StreamBody::new(frames.chain(stream::pending())).boxed_unsync())
    })
    .await;
    let vm = TestVm::before(&[upstream]).await;

    for (path, head_comes) in [("/read/begun", true), ("/read/never", false)] {
        let mut stream = TcpStream::connect(vm.address()).await.unwrap();
        let head = format!("GET {path} HTTP/1.1\r\nhost: a\r\n\r\n");
        stream.write_all(head.as_bytes()).await.unwrap();
        wait_until("the call is placed", || vm.slots.busy() == 1).await;
        if head_comes {
            stream.read_u8().await.unwrap();
        }
        drop(stream);
        wait_until("the slot is free", || vm.slots.busy() == 0).await;
    }

    expect_that!(vm.slots.outcomes(), each(eq(&OutcomeClass::Cancelled)));
    expect_that!(vm.pool.tally(upstream).in_use, eq(0));
}

// A caller goes away while its call waits for a slot. The ask is dropped, so that the placer can give
// its place to another.
#[gtest]
#[tokio::test]
async fn a_caller_that_goes_away_leaves_the_queue() {
    let upstream = spawn_standin(0, Duration::ZERO).await;
    let vm = TestVm::before(&[upstream.address()]).await;
    vm.slots.held.store(true, Ordering::SeqCst);
    let mut stream = TcpStream::connect(vm.address()).await.unwrap();
    stream.write_all(b"GET /read HTTP/1.1\r\nhost: a\r\n\r\n").await.unwrap();
    wait_until("the call waits", || vm.slots.waiting.load(Ordering::SeqCst) == 1).await;

    drop(stream);

    wait_until("the ask is dropped", || vm.slots.waiting.load(Ordering::SeqCst) == 0).await;
    expect_that!(upstream.ran(), eq(0));
}

// A caller opens HTTP/2 streams and resets each at once, hundreds of times. Each exchange that began
// is ended and its slot is free; the VM serves others as before.
#[gtest]
#[tokio::test]
async fn row_27_http2_streams_reset_at_once_leak_nothing() {
    let upstream = spawn_standin(0, LONG).await;
    let vm = TestVm::before(&[upstream.address()]).await;
    let mut sender = http2(&vm).await;
    for _ in 0..300 {
        if sender.ready().await.is_err() {
            // The VM may end a connection that does this.
            sender = http2(&vm).await;
        }
        let mut sending = Box::pin(sender.send_request(get("/read")));
        let _ = futures::poll!(&mut sending);
        tokio::task::yield_now().await;
    }
    drop(sender);

    wait_until("each slot is free", || vm.slots.busy() == 0).await;
    let quick = spawn_standin(1, Duration::ZERO).await;
    *vm.slots.targets.lock().unwrap() = vec![quick.address()];
    expect_that!(vm.get("/read").await.status.as_u16(), eq(200));
}

// A caller breaks off in the middle of sending its request. Nothing reaches an upstream.
#[gtest]
#[tokio::test]
async fn a_caller_that_goes_away_mid_request_runs_nothing() {
    let upstream = spawn_standin(0, Duration::ZERO).await;
    let vm = TestVm::before(&[upstream.address()]).await;
    let mut stream = TcpStream::connect(vm.address()).await.unwrap();
    let half = b"POST /once HTTP/1.1\r\nhost: a\r\ncontent-length: 10\r\n\r\nhalf";
    stream.write_all(half).await.unwrap();
    stream.shutdown().await.unwrap();

    let answer = support::wire::read_to_close(&mut stream).await;

    expect_that!(answer, any![eq(""), contains_substring("not-run")]);
    expect_that!(upstream.ran(), eq(0));
    expect_that!(vm.slots.asks.lock().unwrap().len(), eq(0));
}

// A caller fetches 50 MB and reads nothing of it for a while. The entry takes no more of it from the
// upstream than a few buffers hold; then the caller reads and gets all of it.
#[gtest]
#[tokio::test]
async fn a_streamed_answer_of_50_mb_takes_bounded_memory() {
    let sent = Arc::new(std::sync::atomic::AtomicUsize::new(0));
    let counted = sent.clone();
    let upstream = spawn_upstream(move |_| {
        let counted = counted.clone();
        async move {
            let chunk = Bytes::from(vec![7; MEGABYTE]);
            let frames = stream::iter((0..50).map(move |_| {
                counted.fetch_add(1, Ordering::SeqCst);
                Ok(Frame::data(chunk.clone()))
            }));
            Response::new(StreamBody::new(frames).boxed_unsync())
        }
    })
    .await;
    let vm = TestVm::before(&[upstream]).await;
    let mut stream = TcpStream::connect(vm.address()).await.unwrap();
    stream.write_all(b"GET /read HTTP/1.0\r\nhost: a\r\n\r\n").await.unwrap();
    stream.read_u8().await.unwrap();

    // The kernel's buffers on loopback hold some megabytes on either side; the rest must not be
    // taken. Whether it is shows as soon as the number stands still.
    let mut before = 0;
    loop {
        tokio::time::sleep(Duration::from_millis(300)).await;
        let now = sent.load(Ordering::SeqCst);
        if now == before {
            break;
        }
        before = now;
    }
    expect_that!(before, lt(35));
    let mut rest = Vec::new();
    stream.read_to_end(&mut rest).await.unwrap();
    expect_that!(rest.len(), ge(50 * MEGABYTE));
}

// A large upload of an idempotent call streams to the upstream, whole.
#[gtest]
#[tokio::test]
async fn a_large_upload_streams_through() {
    let upstream = spawn_standin(0, Duration::ZERO).await;
    let vm = TestVm::before(&[upstream.address()]).await;

    let upload = request("POST", "/read/up", &[], &vec![7; 20 * MEGABYTE]);
    let answer = call(vm.address(), upload).await.unwrap();

    let told = format!("hunt-0 /read/up {}", 20 * MEGABYTE);
    expect_that!(String::from_utf8_lossy(&answer.body), eq(&told));
}

// Answers without a body (HEAD, 204, 304) end where they should, keep their headers, and leave the
// connection usable.
#[gtest]
#[tokio::test]
async fn answers_without_a_body() {
    let upstream = spawn_upstream(|request: Request<hyper::body::Incoming>| async move {
        let status = request.uri().path().rsplit('/').next().unwrap().parse().unwrap_or(200);
        let body = if status == 200 { full("twelve bytes") } else { full("") };
        Response::builder().status(status).header("etag", "x").body(body).unwrap()
    })
    .await;
    let vm = TestVm::before(&[upstream]).await;
    let script = b"HEAD /read/200 HTTP/1.1\r\nhost: a\r\n\r\n\
        GET /read/204 HTTP/1.1\r\nhost: a\r\n\r\n\
        GET /read/304 HTTP/1.1\r\nhost: a\r\n\r\n\
        GET /read/200 HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";

    let text = raw(vm.address(), script).await;

    let heads: Vec<_> = text.split("\r\n\r\n").collect();
    expect_that!(
        heads[0],
        starts_with("HTTP/1.1 200").and(contains_substring("content-length: 12"))
    );
    expect_that!(heads[1], starts_with("HTTP/1.1 204").and(contains_substring("etag: x")));
    expect_that!(heads[2], starts_with("HTTP/1.1 304").and(contains_substring("etag: x")));
    expect_that!(heads[3], starts_with("HTTP/1.1 200"));
    expect_that!(heads[4], eq("twelve bytes"));
}

// A caller that takes trailers gets those of the upstream, after a body that was held whole.
#[gtest]
#[tokio::test]
async fn trailers_reach_the_caller() {
    let upstream = spawn_upstream(|_| async {
        let mut trailers = HeaderMap::new();
        trailers.insert("x-sum", HeaderValue::from_static("42"));
        let frames = [Ok(Frame::data(Bytes::from_static(b"hello"))), Ok(Frame::trailers(trailers))];
        let mut response = Response::new(StreamBody::new(stream::iter(frames)).boxed_unsync());
        response.headers_mut().insert("trailer", HeaderValue::from_static("x-sum"));
        response
    })
    .await;
    let vm = TestVm::before(&[upstream]).await;

    let script = b"GET /read HTTP/1.1\r\nhost: a\r\nte: trailers\r\nconnection: te, close\r\n\r\n";
    let text = raw(vm.address(), script).await;
    let mut by_http2 = get("/read");
    by_http2.headers_mut().insert("te", HeaderValue::from_static("trailers"));
    let by_http2 = http2(&vm).await.send_request(by_http2).await.unwrap();
    let collected = by_http2.into_body().collect().await.unwrap();

    expect_that!(text, contains_substring("x-sum: 42"));
    expect_that!(collected.trailers().unwrap()["x-sum"], eq("42"));
}

// A caller that reads nothing holds its upstream's slot no longer than its call may take.
#[gtest]
#[tokio::test]
async fn a_caller_that_reads_nothing_frees_the_slot_at_its_deadline() {
    let upstream = spawn_upstream(|_| async { Response::new(megabytes(50)) }).await;
    let limits = CallLimits { write_idle: Duration::from_millis(500), ..CallLimits::default() };
    let vm = TestVm::with_limits(FakeSlots::over(&[upstream]), Arc::default(), limits).await;
    let mut stream = TcpStream::connect(vm.address()).await.unwrap();
    stream.write_all(b"GET /brief HTTP/1.1\r\nhost: a\r\n\r\n").await.unwrap();

    wait_until("the call is placed", || vm.slots.busy() == 1).await;
    wait_until("the slot is free", || vm.slots.busy() == 0).await;

    // The upstream is not to blame for its caller.
    expect_that!(vm.slots.outcomes(), each(eq(&OutcomeClass::Cancelled)));
}
