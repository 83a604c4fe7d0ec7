//! Bodies: whole ones that can be sent again, and such that stream through in bounded memory.

use std::{
    fmt,
    pin::Pin,
    sync::{Mutex, PoisonError},
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use http::HeaderMap;
use http_body::{Body, Frame, SizeHint};
use http_body_util::{BodyExt, combinators::UnsyncBoxBody};
use hyper::body::Incoming;
use tokio::time::{Instant, Sleep, sleep};

use crate::answer::BodyError;

/// Why a body that streams through was broken off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFault {
    /// It was longer than allowed.
    TooLarge,
    /// Its sender paused for too long, or the call's time ran out.
    TooSlow,
    /// Its sender broke off.
    Cut,
}

impl fmt::Display for BodyFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::TooLarge => "the body is longer than allowed",
            Self::TooSlow => "the body came too slowly",
            Self::Cut => "the body was broken off",
        })
    }
}

impl std::error::Error for BodyFault {}

/// A body that is all there.
#[derive(Clone, Debug, Default)]
pub struct WholeBody {
    /// Its bytes.
    pub data: Bytes,
    /// Its trailers.
    pub trailers: Option<HeaderMap>,
}

impl Body for WholeBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if !self.data.is_empty() {
            let data = std::mem::take(&mut self.data);
            return Poll::Ready(Some(Ok(Frame::data(data))));
        }
        Poll::Ready(self.trailers.take().map(|trailers| Ok(Frame::trailers(trailers))))
    }

    fn is_end_stream(&self) -> bool {
        self.data.is_empty() && self.trailers.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        let length = self.data.len() as u64;
        if self.trailers.is_none() {
            return SizeHint::with_exact(length);
        }
        // An exact length would become a content-length, after which no trailer can follow.
        let mut hint = SizeHint::new();
        hint.set_lower(length);
        hint
    }
}

/// What has been read of a body.
///
/// A body of one chunk, as most are, is not copied. More chunks are copied into one buffer: kept as
/// they come, a body sent byte by byte would take many times its length.
#[derive(Debug, Default)]
pub(crate) struct BodyStart {
    only: Bytes,
    joined: BytesMut,
    trailers: Option<HeaderMap>,
}

impl BodyStart {
    pub(crate) fn push(&mut self, frame: Frame<Bytes>) {
        match frame.into_data() {
            Ok(data) if self.length() == 0 => self.only = data,
            Ok(data) => {
                self.joined.extend_from_slice(&std::mem::take(&mut self.only));
                self.joined.extend_from_slice(&data);
            }
            Err(frame) => self.trailers = frame.into_trailers().ok(),
        }
    }

    pub(crate) fn length(&self) -> usize {
        self.only.len() + self.joined.len()
    }

    /// Returns the bytes, for a body that goes on.
    pub(crate) fn into_data(self) -> Bytes {
        if self.only.is_empty() { self.joined.freeze() } else { self.only }
    }

    pub(crate) fn into_whole(mut self) -> WholeBody {
        let trailers = self.trailers.take();
        WholeBody { data: self.into_data(), trailers }
    }
}

/// The body of a request.
pub(crate) enum CallBody {
    Whole(WholeBody),
    /// Can be sent once.
    Streamed(Mutex<Option<StreamedBody>>),
}

impl CallBody {
    pub(crate) fn streamed(body: StreamedBody) -> Self {
        Self::Streamed(Mutex::new(Some(body)))
    }

    /// Tells whether the body can be sent (again).
    pub(crate) fn is_available(&self) -> bool {
        match self {
            Self::Whole(_) => true,
            Self::Streamed(body) => body.lock().unwrap_or_else(PoisonError::into_inner).is_some(),
        }
    }

    /// Returns the body for one try.
    pub(crate) fn for_try(&self) -> Option<UnsyncBoxBody<Bytes, BodyError>> {
        match self {
            Self::Whole(body) => Some(UnsyncBoxBody::new(body.clone())),
            Self::Streamed(body) => {
                let taken = body.lock().unwrap_or_else(PoisonError::into_inner).take();
                taken.map(BodyExt::boxed_unsync)
            }
        }
    }
}

/// A request body that streams through: its beginning, and the rest as it comes, within limits.
pub(crate) struct StreamedBody {
    start: Bytes,
    rest: Incoming,
    left: u64,
    idle: Duration,
    until: Instant,
    timer: Pin<Box<Sleep>>,
}

impl StreamedBody {
    pub(crate) fn new(
        start: BodyStart,
        rest: Incoming,
        limit: u64,
        idle: Duration,
        until: Instant,
    ) -> Self {
        let left = limit.saturating_sub(start.length() as u64);
        let timer = Box::pin(sleep(idle));
        Self { start: start.into_data(), rest, left, idle, until, timer }
    }

    fn restart_timer(&mut self) {
        let next = (Instant::now() + self.idle).min(self.until);
        self.timer.as_mut().reset(next);
    }
}

impl Body for StreamedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if !self.start.is_empty() {
            let start = std::mem::take(&mut self.start);
            self.restart_timer();
            return Poll::Ready(Some(Ok(Frame::data(start))));
        }
        let Poll::Ready(frame) = Pin::new(&mut self.rest).poll_frame(context) else {
            ready!(self.timer.as_mut().poll(context));
            return Poll::Ready(Some(Err(BodyFault::TooSlow.into())));
        };
        let Some(Ok(frame)) = frame else {
            return Poll::Ready(frame.map(|_| Err(BodyFault::Cut.into())));
        };
        let length = frame.data_ref().map_or(0, |data| data.len() as u64);
        if length > self.left {
            return Poll::Ready(Some(Err(BodyFault::TooLarge.into())));
        }
        self.left -= length;
        self.restart_timer();
        Poll::Ready(Some(Ok(frame)))
    }

    fn is_end_stream(&self) -> bool {
        self.start.is_empty() && self.rest.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let start = self.start.len();
        let rest = self.rest.size_hint();
        rest.exact().map_or_else(SizeHint::new, |rest| SizeHint::with_exact(rest + start as u64))
    }
}
