//! Passes on an answer that is too large or too slow to be waited for.
//!
//! A task of its own reads from the upstream. So the exchange ends at its deadline also while the
//! caller takes nothing, and a caller that reads slowly holds the upstream's slot no longer than its
//! call may take. Memory is bounded by the frames of the channel.

use std::{
    pin::Pin,
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use http_body::{Body, Frame};
use http_body_util::BodyExt;
use model::call::OutcomeClass;
use tokio::{
    sync::mpsc,
    time::{Instant, sleep_until, timeout_at},
};
use upstream::exchange::AnswerBody;

use crate::{
    answer::BodyError,
    body::{BodyFault, BodyStart},
};

/// How many frames wait for a caller. A frame has at most the size of a connection's read buffer.
const FRAMES_LIMIT: usize = 2;

enum RelayFrame {
    Frame(Frame<Bytes>),
    /// The proper end. A channel that closes without it was cut.
    End,
}

/// The body of an answer that a task passes on.
///
/// Failure: the upstream's connection breaks in the middle of an answer. Symptom: a caller takes half
/// of the standings for the whole. Safeguard: only an explicit end ends this body; in each other case
/// it fails, at which the HTTP library closes the connection (HTTP/1.1) or resets the stream
/// (HTTP/2) instead of ending the answer.
pub(crate) struct RelayedBody {
    start: Bytes,
    frames: mpsc::Receiver<RelayFrame>,
    ended: bool,
}

impl RelayedBody {
    /// Starts to pass on an answer whose beginning has been read. Ends the exchange when the caller
    /// goes away.
    pub(crate) fn spawn(start: BodyStart, rest: AnswerBody, until: Instant) -> Self {
        let (sender, frames) = mpsc::channel(FRAMES_LIMIT);
        tokio::spawn(relay(rest, sender, until));
        Self { start: start.into_data(), frames, ended: false }
    }

    /// Returns the same, with the work that passes the answer on. That work goes on without the
    /// caller, and tells whether the answer came to its proper end.
    pub(crate) fn open(
        start: BodyStart,
        rest: AnswerBody,
        until: Instant,
    ) -> (Self, impl Future<Output = bool> + Send + use<>) {
        let (sender, frames) = mpsc::channel(FRAMES_LIMIT);
        let relayed = Self { start: start.into_data(), frames, ended: false };
        (relayed, relay_to_end(rest, sender, until))
    }
}

async fn relay_to_end(
    mut body: AnswerBody,
    sender: mpsc::Sender<RelayFrame>,
    until: Instant,
) -> bool {
    loop {
        let frame = match timeout_at(until, body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(_))) => return false,
            Ok(None) => break,
            Err(_) => {
                body.give_up(OutcomeClass::Timeout);
                return false;
            }
        };
        // A caller that is gone, or takes nothing until the deadline, does not change what ran.
        let _ = timeout_at(until, sender.send(RelayFrame::Frame(frame))).await;
    }
    let _ = timeout_at(until, sender.send(RelayFrame::End)).await;
    true
}

async fn relay(mut body: AnswerBody, sender: mpsc::Sender<RelayFrame>, until: Instant) {
    loop {
        let frame = tokio::select! {
            frame = body.frame() => frame,
            // Dropping the body tells that the caller went away.
            () = sender.closed() => return,
            () = sleep_until(until) => return body.give_up(OutcomeClass::Timeout),
        };
        let next = match frame {
            Some(Ok(frame)) => RelayFrame::Frame(frame),
            Some(Err(_)) => return,
            None => RelayFrame::End,
        };
        let ends = matches!(next, RelayFrame::End);
        tokio::select! {
            sent = sender.send(next) => if ends || sent.is_err() { return },
            // The caller took too long to read; the upstream is not to blame.
            () = sleep_until(until) => return,
        }
    }
}

impl Body for RelayedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if !self.start.is_empty() {
            let start = std::mem::take(&mut self.start);
            return Poll::Ready(Some(Ok(Frame::data(start))));
        }
        if self.ended {
            return Poll::Ready(None);
        }
        Poll::Ready(match ready!(self.frames.poll_recv(context)) {
            Some(RelayFrame::Frame(frame)) => Some(Ok(frame)),
            Some(RelayFrame::End) => {
                self.ended = true;
                None
            }
            None => Some(Err(BodyFault::Cut.into())),
        })
    }

    fn is_end_stream(&self) -> bool {
        self.ended && self.start.is_empty()
    }
}
