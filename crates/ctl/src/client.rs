//! Asks the operators' interface, one VM after the other.
//!
//! Going on to the next VM is safe for each operation: reads change nothing, a patch carries an
//! identifier under which it is applied once, and a planned stop or a replica change that has
//! happened already changes nothing the second time.

use std::{net::SocketAddr, time::Duration};

use crate::{
    fault::{
        AnswerSnafu, AttemptFault, BrokenHeadSnafu, BrokenSnafu, ConnectSnafu, CtlError,
        NoMajoritySnafu, RefusedSnafu, SilentSnafu, StaleSnafu, UnreachedSnafu,
    },
    settings::CtlSettings,
};
use bytes::{Bytes, BytesMut};
use framing::{
    head::HeadFault,
    stream::{AnswerStream, AnswerWatch},
};
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use model::patch::PatchRefusal;
use operator::answers::{ErrorAnswer, ErrorCode, ErrorDetail};
use serde::{Serialize, de::DeserializeOwned};
use snafu::ResultExt;
use tokio::net::TcpStream;

/// How long one VM may take to answer, in seconds: longer than the longest wait of a watch and of a
/// control operation, so that a VM that answers at all is not given up too soon.
const ANSWER_SECONDS: u64 = 35;

/// How long a connection may take, in seconds. A VM that is gone must not hold up the next.
const CONNECT_SECONDS: u64 = 3;

/// Reaches the fleet through any of some VMs.
#[derive(Clone, Debug)]
pub struct OperatorClient {
    settings: CtlSettings,
}

impl OperatorClient {
    /// Makes a client. It connects for each request.
    pub fn new(settings: CtlSettings) -> Self {
        Self { settings }
    }

    /// Reads a page.
    ///
    /// # Errors
    ///
    /// Fails when no VM answers or the fleet refuses.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CtlError> {
        self.ask(Method::GET, path, Bytes::new()).await
    }

    /// Posts a value as JSON.
    ///
    /// # Errors
    ///
    /// Fails when no VM answers or the fleet refuses.
    pub async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        value: &(impl Serialize + Sync),
    ) -> Result<T, CtlError> {
        let body = serde_json::to_vec(value).expect("requests have a JSON form");
        self.ask(Method::POST, path, Bytes::from(body)).await
    }

    async fn ask<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<T, CtlError> {
        let mut attempts = Vec::new();
        for &address in &self.settings.addresses {
            let sent = self.send(address, method.clone(), path, body.clone()).await;
            match sent.and_then(|answer| no_majority(address, answer)) {
                Ok((status, body)) => return read(address, status, &body),
                Err(attempt) => attempts.push(attempt),
            }
        }
        UnreachedSnafu { attempts }.fail()
    }

    async fn send(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<(StatusCode, Bytes), AttemptFault> {
        let seconds = CONNECT_SECONDS;
        let connect = TcpStream::connect(address);
        let stream = tokio::time::timeout(Duration::from_secs(seconds), connect).await;
        let stream = stream.map_err(|_| SilentSnafu { address, seconds }.build())?;
        let stream = stream.context(ConnectSnafu { address })?;
        let exchange = self.exchange(address, stream, method, path, body);
        let seconds = ANSWER_SECONDS;
        let answer = tokio::time::timeout(Duration::from_secs(seconds), exchange).await;
        answer.map_err(|_| SilentSnafu { address, seconds }.build())?
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        stream: TcpStream,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<(StatusCode, Bytes), AttemptFault> {
        let stream = AnswerStream::new(stream);
        let watch = stream.watch();
        let (mut sender, connection) =
            http1::handshake(TokioIo::new(stream)).await.context(BrokenSnafu { address })?;
        tokio::spawn(connection);
        let mut bearer = b"Bearer ".to_vec();
        bearer.extend_from_slice(self.settings.secret.as_bytes());
        let mut request = Request::builder()
            .method(method.clone())
            .uri(path)
            .header(header::HOST, address.to_string())
            .header(header::AUTHORIZATION, bearer)
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .expect("the parts are valid");
        watch.begin_answer(&mut request);
        let sent = sender.send_request(request).await;
        let response = sent.map_err(|error| broken(address, error))?;
        watch.judge(&method, &response).context(BrokenHeadSnafu { address })?;
        let status = response.status();
        let body = read_body(response.into_body(), &watch).await;
        Ok((status, body.context(BrokenSnafu { address })?))
    }
}

fn broken(address: SocketAddr, error: hyper::Error) -> AttemptFault {
    match HeadFault::cause_of(&error) {
        Some(source) => AttemptFault::BrokenHead { address, source },
        None => AttemptFault::Broken { address, source: error },
    }
}

async fn read_body(mut body: Incoming, watch: &AnswerWatch) -> hyper::Result<Bytes> {
    let mut read = BytesMut::new();
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame?.into_data() {
            watch.begin_piece();
            read.extend_from_slice(&data);
        }
    }
    Ok(read.freeze())
}

/// Another VM may have a better path to the control VMs than the one that was asked.
fn no_majority(
    address: SocketAddr,
    (status, body): (StatusCode, Bytes),
) -> Result<(StatusCode, Bytes), AttemptFault> {
    if status != StatusCode::SERVICE_UNAVAILABLE {
        return Ok((status, body));
    }
    let answer: Result<ErrorAnswer, _> = serde_json::from_slice(&body);
    let text = answer.map_or_else(|_| status.to_string(), |answer| answer.error.text);
    NoMajoritySnafu { address, text }.fail()
}

fn read<T: DeserializeOwned>(
    address: SocketAddr,
    status: StatusCode,
    body: &[u8],
) -> Result<T, CtlError> {
    let unread = |error: serde_json::Error| {
        let reason = format!("status {status}: {error}");
        AnswerSnafu { address, reason }.build()
    };
    if status.is_success() {
        return serde_json::from_slice(body).map_err(unread);
    }
    let answer: ErrorAnswer = serde_json::from_slice(body).map_err(unread)?;
    Err(refusal_of(answer.error))
}

fn refusal_of(error: ErrorDetail) -> CtlError {
    let ErrorDetail { code, text, refusal } = error;
    match (code, refusal) {
        (ErrorCode::StaleBase, Some(PatchRefusal::StaleBase { base, present, conflicts })) => {
            StaleSnafu { text, base, present, conflicts }.build()
        }
        _ => RefusedSnafu { code, text }.build(),
    }
}
