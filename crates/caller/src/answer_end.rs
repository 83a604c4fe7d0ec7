//! Resets a caller's connection where closing it would pass for the end of an answer.
//!
//! Failure: an answer whose length nobody knows breaks off on its way to a caller of HTTP/1.0, which has no chunks, or the
//! process dies. Symptom: to that caller the end of the connection is the end of the body, and half an answer is a whole
//! one. Safeguard: from the first byte of such an answer on, the system resets the connection when it is closed, by
//! whomever; the end of the answer takes that back.

use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use http::{Response, Version};
use http_body::Body;
use socket2::SockRef;
use tokio::net::TcpStream;

/// Whether the answer on a connection ends with that connection alone.
#[derive(Clone, Debug, Default)]
pub(crate) struct AnswerEnd {
    with_connection: Arc<AtomicBool>,
}

impl AnswerEnd {
    /// Notes how an answer that is about to be written will end.
    pub(crate) fn note<B: Body>(&self, spoken: Version, answer: &Response<B>) {
        if spoken == Version::HTTP_10 && answer.body().size_hint().exact().is_none() {
            self.with_connection.store(true, Ordering::Relaxed);
        }
    }

    pub(crate) fn is_with_connection(&self) -> bool {
        self.with_connection.load(Ordering::Relaxed)
    }
}

/// Has the system reset a connection when it is closed.
pub(crate) fn reset_when_closed(stream: &TcpStream) -> io::Result<()> {
    stream.set_zero_linger()
}

/// Has the system close a connection in order again.
pub(crate) fn close_in_order(stream: &TcpStream) -> io::Result<()> {
    SockRef::from(stream).set_linger(None)
}
