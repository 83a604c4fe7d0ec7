//! One request and its whole answer, on a connection of its own.

use std::{io, net::SocketAddr};

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use snafu::{ResultExt, Snafu};
use tokio::net::TcpStream;

/// Why there was no whole answer.
#[derive(Debug, Snafu)]
pub enum CallError {
    /// No connection.
    #[snafu(display("no connection: {source}"))]
    Connect {
        /// What the system said.
        source: io::Error,
    },
    /// The connection or the answer broke off.
    #[snafu(display("no whole answer: {source}"))]
    Broken {
        /// What the library said.
        source: hyper::Error,
    },
}

/// A whole answer.
#[derive(Debug, Clone)]
pub struct WholeAnswer {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl WholeAnswer {
    /// Returns a header as text, empty where there is none.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or("")
    }
}

/// A connection that carries one request after the other.
pub struct CallConnection {
    sender: http1::SendRequest<Full<Bytes>>,
    address: SocketAddr,
    closing: bool,
}

impl CallConnection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Fails when there is nobody at the address.
    pub async fn open(address: SocketAddr) -> Result<Self, CallError> {
        let stream = TcpStream::connect(address).await.context(ConnectSnafu)?;
        stream.set_nodelay(true).context(ConnectSnafu)?;
        let (sender, connection) =
            http1::handshake(TokioIo::new(stream)).await.context(BrokenSnafu)?;
        tokio::spawn(connection);
        Ok(Self { sender, address, closing: false })
    }

    /// Tells whether the last answer asked for the connection to be left (`Connection: close`).
    pub fn is_closing(&self) -> bool {
        self.closing
    }

    /// Sends a request and reads its whole answer.
    ///
    /// # Errors
    ///
    /// Fails when the answer is not whole.
    pub async fn send(
        &mut self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<WholeAnswer, CallError> {
        let host = self.address.to_string().parse().expect("an address is a header value");
        request.headers_mut().entry(header::HOST).or_insert(host);
        self.sender.ready().await.context(BrokenSnafu)?;
        let response = self.sender.send_request(request).await.context(BrokenSnafu)?;
        let (parts, body) = response.into_parts();
        let connection = parts.headers.get(header::CONNECTION);
        self.closing = connection.is_some_and(|value| value.as_bytes() == b"close");
        let body = body.collect().await.context(BrokenSnafu)?.to_bytes();
        Ok(WholeAnswer { status: parts.status, headers: parts.headers, body })
    }
}

/// Opens a connection, sends one request and reads its whole answer.
///
/// # Errors
///
/// Fails when there is no whole answer.
pub async fn call(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<WholeAnswer, CallError> {
    CallConnection::open(address).await?.send(request).await
}

/// Makes a request.
///
/// # Panics
///
/// Panics when the method, path or a header is malformed.
pub fn request(
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Request<Full<Bytes>> {
    let mut builder = Request::builder().method(method).uri(path);
    for (name, value) in headers {
        builder = builder.header(*name, *value);
    }
    builder.body(Full::new(Bytes::copy_from_slice(body))).expect("the parts are valid")
}
