//! Upstreams that answer as a test says, and callers that write bytes.

use std::{convert::Infallible, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::combinators::UnsyncBoxBody;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::timeout,
};

use super::{PATIENCE, any_port};

pub type TestBody = UnsyncBoxBody<Bytes, std::io::Error>;

/// Spawns an upstream that answers each request by a function.
pub async fn spawn_upstream<F, R>(answer: F) -> SocketAddr
where
    F: Fn(Request<Incoming>) -> R + Clone + Send + 'static,
    R: Future<Output = Response<TestBody>> + Send + 'static,
{
    let listener = TcpListener::bind(any_port()).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let answer = answer.clone();
            let service = service_fn(move |request| {
                let answered = answer(request);
                async move { Ok::<_, Infallible>(answered.await) }
            });
            let io = TokioIo::new(stream);
            tokio::spawn(http1::Builder::new().serve_connection(io, service));
        }
    });
    address
}

/// Spawns an upstream that reads a head, writes these bytes and closes.
pub async fn spawn_scripted(script: &'static [u8]) -> SocketAddr {
    let listener = TcpListener::bind(any_port()).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut buffer = [0; 4_096];
            let _ = stream.read(&mut buffer).await;
            let _ = stream.write_all(script).await;
        }
    });
    address
}

/// Returns an address at which nobody listens.
pub async fn nobody() -> SocketAddr {
    TcpListener::bind(any_port()).await.unwrap().local_addr().unwrap()
}

/// Writes bytes to a port and reads what comes until it closes, or until it has fallen silent.
pub async fn raw(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    // The other side may refuse and close in the middle.
    let _ = stream.write_all(bytes).await;
    read_to_close(&mut stream).await
}

/// Reads what comes until the other side closes.
pub async fn read_to_close(stream: &mut TcpStream) -> String {
    let mut read = Vec::new();
    let done = timeout(PATIENCE, stream.read_to_end(&mut read)).await;
    assert!(done.is_ok(), "the other side does not close");
    String::from_utf8_lossy(&read).into_owned()
}

/// A time that is surely long enough for a mistake to show.
pub const LONG: Duration = Duration::from_secs(30);
