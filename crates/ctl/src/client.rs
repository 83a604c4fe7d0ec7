//! Asks the operators' interface.

use std::{io, net::SocketAddr};

use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use model::secret::SharedSecret;
use snafu::{ResultExt, Snafu};
use tokio::net::TcpStream;

/// Why the interface gave no answer.
#[derive(Debug, Snafu)]
pub(crate) enum ClientError {
    /// No connection.
    #[snafu(display("cannot reach the operators' port {address}: {source}; name another VM"))]
    Connect { address: SocketAddr, source: io::Error },
    /// The connection broke.
    #[snafu(display("the connection to {address} broke: {source}; send the same again"))]
    Broken { address: SocketAddr, source: hyper::Error },
}

/// One VM's operators' interface.
pub(crate) struct OperatorClient {
    pub(crate) address: SocketAddr,
    pub(crate) secret: SharedSecret,
}

impl OperatorClient {
    /// Sends one request and returns status and body.
    pub(crate) async fn send(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<(StatusCode, Bytes), ClientError> {
        let address = self.address;
        let stream = TcpStream::connect(address).await.context(ConnectSnafu { address })?;
        let (mut sender, connection) =
            http1::handshake(TokioIo::new(stream)).await.context(BrokenSnafu { address })?;
        tokio::spawn(connection);
        let mut bearer = b"Bearer ".to_vec();
        bearer.extend_from_slice(self.secret.as_bytes());
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, address.to_string())
            .header(header::AUTHORIZATION, bearer)
            .body(Full::new(Bytes::from(body)))
            .expect("the parts are valid");
        let response = sender.send_request(request).await.context(BrokenSnafu { address })?;
        let status = response.status();
        let body = response.into_body().collect().await.context(BrokenSnafu { address })?;
        Ok((status, body.to_bytes()))
    }
}
