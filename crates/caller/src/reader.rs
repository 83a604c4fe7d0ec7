//! Reads the body of a request: whole where it has to be, else only so much as can be repeated.

use std::sync::Arc;

use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use model::call::{CallClass, CallRefusal, RefusalReason};
use tokio::{
    sync::{OwnedSemaphorePermit, Semaphore},
    time::{Instant, timeout_at},
};

use crate::{
    answer::CallReject,
    body::{BodyStart, CallBody, StreamedBody},
    limits::CallLimits,
};

const TOO_LARGE: CallReject =
    CallReject::Broken { status: StatusCode::PAYLOAD_TOO_LARGE, text: "the body is too large" };
const TOO_SLOW: CallReject =
    CallReject::Broken { status: StatusCode::REQUEST_TIMEOUT, text: "the body came too slowly" };
const BROKEN_OFF: CallReject =
    CallReject::Broken { status: StatusCode::BAD_REQUEST, text: "the body was broken off" };

/// When a call that found no room for its large body should come back, in milliseconds.
const ROOM_RETRY_MS: u32 = 1_000;

/// By what rules bodies are read.
pub(crate) struct ReadRules {
    limits: CallLimits,
    large_bodies: Arc<Semaphore>,
}

impl ReadRules {
    pub(crate) fn new(limits: &CallLimits) -> Self {
        let large_bodies = Arc::new(Semaphore::new(limits.large_bodies));
        Self { limits: *limits, large_bodies }
    }

    /// Reads a body by the rules of its class of call. The permit, if there is one, counts the call
    /// among those with a large body.
    ///
    /// # Errors
    ///
    /// Fails when the body is too large or too slow, breaks off, or finds no room.
    pub(crate) async fn read(
        &self,
        mut body: Incoming,
        class: CallClass,
        until: Instant,
    ) -> Result<(CallBody, Option<OwnedSemaphorePermit>), CallReject> {
        let limits = &self.limits;
        let keyed = class == CallClass::KeyRequired;
        let most = if keyed { limits.keyed_bytes as u64 } else { limits.stream_bytes };
        if body.size_hint().lower() > most {
            return Err(TOO_LARGE);
        }
        let mut large = None;
        let mut start = BodyStart::default();
        while let Some(frame) = self.next_frame(&mut body, until).await? {
            start.push(frame);
            if start.length() <= limits.repeat_bytes {
                continue;
            }
            if !keyed {
                let body = StreamedBody::new(start, body, most, limits.body_idle, until);
                return Ok((CallBody::streamed(body), None));
            }
            if start.length() > limits.keyed_bytes {
                return Err(TOO_LARGE);
            }
            if large.is_none() {
                large = Some(self.large_room()?);
            }
        }
        Ok((CallBody::Whole(start.into_whole()), large))
    }

    async fn next_frame(
        &self,
        body: &mut Incoming,
        until: Instant,
    ) -> Result<Option<http_body::Frame<bytes::Bytes>>, CallReject> {
        if body.is_end_stream() {
            return Ok(None);
        }
        let next = (Instant::now() + self.limits.body_idle).min(until);
        let frame = timeout_at(next, body.frame()).await.map_err(|_| TOO_SLOW)?;
        frame.transpose().map_err(|_| BROKEN_OFF)
    }

    fn large_room(&self) -> Result<OwnedSemaphorePermit, CallReject> {
        let none = CallRefusal::passing(RefusalReason::Saturated, ROOM_RETRY_MS);
        self.large_bodies.clone().try_acquire_owned().map_err(|_| CallReject::Refused(none))
    }
}
