//! One request and its whole answer, on a connection that serves nothing else meanwhile.
//!
//! Failure: a call times out, its connection goes back to the pool, and the late answer is read as
//! the answer to the next call. Symptom: a caller sees another team's answer. Safeguard: the answer's
//! body owns the connection. Only reading the body to its proper end gives the connection back; in
//! each other case (time-out, cut, caller gone) it is dropped, which closes it. That is enough, since
//! no code path hands out a connection that has an answer still to come.

use std::{
    pin::Pin,
    task::{Context, Poll, Waker, ready},
};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use model::call::OutcomeClass;
use snafu::Snafu;

use crate::pool::PooledConnection;

/// Why an exchange gave no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("the exchange failed: {outcome:?}"))]
pub struct ExchangeFault {
    /// What it says of the upstream.
    pub outcome: OutcomeClass,
    /// Whether a byte of the request may have reached the upstream.
    pub sent: bool,
}

impl ExchangeFault {
    /// Makes a fault of which it is certain that nothing was sent.
    pub fn unsent(outcome: OutcomeClass) -> Self {
        Self { outcome, sent: false }
    }

    /// Tells whether it is proved that the call was not run.
    pub fn proves_not_run(&self) -> bool {
        !self.sent || self.outcome.proves_not_run()
    }
}

type FinishHook = Box<dyn FnOnce(OutcomeClass) + Send>;

/// The body of an answer. Tells once how the exchange ended: at its proper end, at a cut, or when
/// it is dropped before either.
pub struct AnswerBody {
    incoming: Incoming,
    connection: Option<PooledConnection>,
    at_end: OutcomeClass,
    finish: Option<FinishHook>,
}

impl AnswerBody {
    pub(crate) fn new(
        incoming: Incoming,
        connection: PooledConnection,
        at_end: OutcomeClass,
    ) -> Self {
        Self { incoming, connection: Some(connection), at_end, finish: None }
    }

    /// Returns how the exchange will have ended once the body is whole.
    pub fn at_end(&self) -> OutcomeClass {
        self.at_end
    }

    /// Sets what is to be told how the exchange ended. An answer without a body ends here.
    #[must_use]
    pub fn on_finish(mut self, hook: impl FnOnce(OutcomeClass) + Send + 'static) -> Self {
        self.finish = Some(Box::new(hook));
        if self.incoming.is_end_stream() {
            self.end_well();
        }
        self
    }

    /// Gives the exchange up, with the outcome that says why.
    pub fn give_up(mut self, outcome: OutcomeClass) {
        self.tell(outcome);
    }

    /// Reads what has come already and keeps the connection if that is the whole.
    pub(crate) fn finish_quickly(mut self) {
        let mut context = Context::from_waker(Waker::noop());
        while let Poll::Ready(Some(Ok(_))) = Pin::new(&mut self).poll_frame(&mut context) {}
        if self.incoming.is_end_stream() {
            self.end_well();
        }
    }

    fn end_well(&mut self) {
        if let Some(connection) = self.connection.take() {
            connection.give_back();
        }
        self.tell(self.at_end);
    }

    fn tell(&mut self, outcome: OutcomeClass) {
        if let Some(finish) = self.finish.take() {
            finish(outcome);
        }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = ready!(Pin::new(&mut self.incoming).poll_frame(context));
        match &frame {
            Some(Ok(_)) if self.incoming.is_end_stream() => self.end_well(),
            Some(Ok(_)) => (),
            Some(Err(_)) => {
                self.connection = None;
                self.tell(OutcomeClass::CutAnswer);
            }
            None => self.end_well(),
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}

impl Drop for AnswerBody {
    fn drop(&mut self) {
        self.tell(OutcomeClass::Cancelled);
    }
}
