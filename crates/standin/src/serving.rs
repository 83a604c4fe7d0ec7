//! How an upstream takes connections and answers calls.

use std::{
    convert::Infallible,
    io,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use futures::StreamExt;
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use model::call::{KEY_HEADER, RATE_HEADER, UPSTREAM_STATE_HEADER};
use rand::Rng;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Notify,
};

use crate::{
    copying::{CopyingStream, OwedCopy},
    fault::CallFate,
    spoiling::{HeadSpoil, NextSpoil},
    state::{SlotGuard, StandinState, begin, crashes, lock},
    upstream::StandinSettings,
};

/// How long the first half of an answer may take to go out before the rest is cut off.
const FLUSH_TIME: Duration = Duration::from_millis(10);

/// Takes connections until a call crashes the upstream.
pub(crate) async fn serve(
    listener: TcpListener,
    state: Arc<Mutex<StandinState>>,
    settings: StandinSettings,
) {
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
    let (owed, spoil) = (OwedCopy::default(), NextSpoil::default());
    let stream = CopyingStream::new(stream, owed.clone(), spoil.clone());
    let service = service_fn(move |request| {
        let (shared, owed, spoil) = (shared.clone(), owed.clone(), spoil.clone());
        async move {
            let silent = lock(&shared.state).silent_up_to >= number;
            if silent {
                // Lost on the way: neither run nor answered.
                std::future::pending::<()>().await;
            }
            let (rate, state_word) = {
                let state = lock(&shared.state);
                (state.rate, state.state_word)
            };
            let mut response = run(request, &shared, &owed).await?;
            if let Some(drawn) = draw_spoil(&shared.state) {
                spoil.set(drawn);
            }
            if let Some(per_s) = rate {
                response.headers_mut().insert(RATE_HEADER, HeaderValue::from(per_s));
            }
            if let Some(stated) = state_word {
                let value = HeaderValue::from_static(stated);
                response.headers_mut().insert(UPSTREAM_STATE_HEADER, value);
            }
            Ok::<_, Infallible>(response)
        }
    });
    let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
}

/// A body that breaks off: it announces more than it holds.
type StandinBody = http_body_util::combinators::UnsyncBoxBody<Bytes, io::Error>;

async fn run(
    request: Request<Incoming>,
    shared: &ServeState,
    owed: &OwedCopy,
) -> Result<Response<StandinBody>, Infallible> {
    let ServeState { state, settings, crash } = shared;
    if let Some(refusal) = refuse(state) {
        return Ok(refusal);
    }
    if refuses_copied(state) {
        owed.begin();
        return Ok(answer(StatusCode::SERVICE_UNAVAILABLE, Some("shed"), "shed"));
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

/// Draws whether the head of an answer is broken, and how.
fn draw_spoil(state: &Mutex<StandinState>) -> Option<HeadSpoil> {
    let mut state = lock(state);
    let share = state.broken_heads;
    let broken = share > 0.0 && state.random.random::<f64>() < share;
    broken.then(|| HeadSpoil::ALL[state.random.random_range(0..HeadSpoil::ALL.len())])
}

/// Refuses a call if the upstream was told to refuse all.
fn refuse(state: &Mutex<StandinState>) -> Option<Response<StandinBody>> {
    let mut state = lock(state);
    let stated = state.refuse_as?;
    state.refused += 1;
    let mut refusal = answer(StatusCode::SERVICE_UNAVAILABLE, Some(stated), stated);
    if let Some(text) = state.retry_after {
        let value = HeaderValue::from_static(text);
        refusal.headers_mut().insert(header::RETRY_AFTER, value);
    }
    Some(refusal)
}

/// Draws whether a call is refused with a refusal that is handed out once more.
fn refuses_copied(state: &Mutex<StandinState>) -> bool {
    let mut state = lock(state);
    let share = state.copied_refusals;
    let refused = share > 0.0 && state.random.random_bool(share);
    state.refused += u64::from(refused);
    refused
}

fn answer(status: StatusCode, stated: Option<&'static str>, text: &str) -> Response<StandinBody> {
    let body = Full::new(Bytes::copy_from_slice(text.as_bytes())).map_err(|never| match never {});
    let mut response = Response::new(body.boxed_unsync());
    *response.status_mut() = status;
    if let Some(stated) = stated {
        let value = HeaderValue::from_static(stated);
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
        let length = HeaderValue::from(whole.len());
        response.headers_mut().insert(header::CONTENT_LENGTH, length);
    }
    response
}
