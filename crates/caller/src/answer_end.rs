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
    /// Notes how an answer to a request of this version will end, before it is written.
    pub(crate) fn note<B: Body>(&self, version: Version, answer: &Response<B>) {
        if version == Version::HTTP_10 && answer.body().size_hint().exact().is_none() {
            self.with_connection.store(true, Ordering::Relaxed);
        }
    }
}

/// Decides for one connection whether the system resets it when it is closed.
#[derive(Debug)]
pub(crate) struct CloseMode {
    answer_end: AnswerEnd,
    resets: bool,
}

impl CloseMode {
    pub(crate) fn new(answer_end: AnswerEnd) -> Self {
        Self { answer_end, resets: false }
    }

    /// Has the connection reset from now on, where a part of its answer could pass for the whole.
    pub(crate) fn begin_write(&mut self, stream: &TcpStream) -> io::Result<()> {
        if !self.resets && self.answer_end.with_connection.load(Ordering::Relaxed) {
            stream.set_zero_linger()?;
            self.resets = true;
        }
        Ok(())
    }

    /// Has the connection closed in order, since its answer has ended.
    pub(crate) fn begin_shutdown(&mut self, stream: &TcpStream) -> io::Result<()> {
        if self.resets {
            SockRef::from(stream).set_linger(None)?;
            self.resets = false;
        }
        Ok(())
    }
}
