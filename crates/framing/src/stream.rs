//! Watches the bytes of answers on their way to the HTTP library.
//!
//! The library reads on for as long as bytes come that are part of no answer: heads that only precede another head,
//! digits of a chunk's size, blanks. The stream fails once more have come than an answer of use has between two of its
//! pieces, a head or a part of a body. It also fails at a head whose lines do not end as they should.

use std::{
    error::Error as _,
    fmt, io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU32, AtomicU64, Ordering},
    },
    task::{Context, Poll, ready},
};

use http::{HeaderMap, Method, Request, Response};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

use crate::{
    head::{BodyEnd, HeadFault, body_end, check_bodiless},
    lines::HeadLines,
};

/// How many bytes may come after a piece of an answer before the next piece, a head or a part of a body, is taken.
/// The HTTP library reads ahead, so what it buffers is among them.
const PIECE_LIMIT: u64 = 256 * 1_024;

/// An upstream has sent too many bytes that are no part of an answer.
#[derive(Debug)]
pub struct NoAnswerInBytes;

impl fmt::Display for NoAnswerInBytes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the upstream sends bytes that are no answer")
    }
}

impl std::error::Error for NoAnswerInBytes {}

impl NoAnswerInBytes {
    /// Tells whether a connection ended because of this.
    pub fn caused(error: &hyper::Error) -> bool {
        io_cause(error).and_then(io::Error::get_ref).is_some_and(|inner| inner.is::<Self>())
    }
}

impl HeadFault {
    /// Returns what was wrong with the head that ended a connection, where that is what did.
    pub fn cause_of(error: &hyper::Error) -> Option<Self> {
        let seen = io_cause(error).and_then(|cause| cause.get_ref()?.downcast_ref().copied());
        seen.or_else(|| error.is_parse().then_some(Self::Unreadable))
    }
}

/// Returns what the stream below an HTTP connection said, where that ended it.
pub fn io_cause(error: &hyper::Error) -> Option<&io::Error> {
    let mut cause = error.source();
    while let Some(inner) = cause {
        if let Some(system) = inner.downcast_ref::<io::Error>() {
            return Some(system);
        }
        cause = inner.source();
    }
    None
}

/// What was seen of the bytes that come on a connection.
#[derive(Debug, Default)]
pub struct AnswerWatch {
    read: AtomicU64,
    piece_began: AtomicU64,
    /// How many answers were asked for.
    asked: AtomicU32,
    /// How many were asked for when the last one's head had come, whole.
    whole_head_of: AtomicU32,
    /// The same for the last one with a broken interim head.
    broken_interim_of: AtomicU32,
}

impl AnswerWatch {
    /// Notes that a request goes out. What comes from now on is its answer.
    pub fn begin_answer<B>(self: &Arc<Self>, request: &mut Request<B>) {
        self.begin_piece();
        self.asked.fetch_add(1, Ordering::Release);
        let watch = self.clone();
        hyper::ext::on_informational(request, move |interim| watch.note_interim(interim.headers()));
    }

    /// Notes that a piece of an answer was taken.
    pub fn begin_piece(&self) {
        self.piece_began.store(self.read.load(Ordering::Relaxed), Ordering::Relaxed);
    }

    /// Tells whether anything has come since the last piece.
    pub fn has_read(&self) -> bool {
        self.pending() > 0
    }

    fn note_interim(&self, headers: &HeaderMap) {
        if check_bodiless(headers).is_err() {
            self.broken_interim_of.store(self.asked.load(Ordering::Acquire), Ordering::Release);
        }
    }

    /// Decides whether the answer that the HTTP library has read is sound, and returns where its body ends.
    ///
    /// # Errors
    ///
    /// Fails where the answer must not be used, whatever it says.
    pub fn judge<B>(&self, asked: &Method, answer: &Response<B>) -> Result<BodyEnd, HeadFault> {
        let number = self.asked.load(Ordering::Acquire);
        if self.whole_head_of.load(Ordering::Acquire) != number {
            // The library found it among what was left of an earlier answer.
            return Err(HeadFault::Unasked);
        }
        if self.broken_interim_of.load(Ordering::Acquire) == number {
            return Err(HeadFault::BodyNotAllowed);
        }
        body_end(asked, answer)
    }

    fn pending(&self) -> u64 {
        self.read.load(Ordering::Relaxed).saturating_sub(self.piece_began.load(Ordering::Relaxed))
    }
}

/// A connection to an upstream whose bytes are watched.
pub struct AnswerStream {
    stream: TcpStream,
    watch: Arc<AnswerWatch>,
    /// Which answer, of those asked for, the lines are of.
    answer: u32,
    lines: HeadLines,
}

impl AnswerStream {
    /// Watches a connection on which nothing was asked yet.
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, watch: Arc::default(), answer: 0, lines: HeadLines::default() }
    }

    /// Returns what is seen.
    pub fn watch(&self) -> Arc<AnswerWatch> {
        self.watch.clone()
    }

    fn read_lines(&mut self, bytes: &[u8]) -> Result<(), HeadFault> {
        let asked = self.watch.asked.load(Ordering::Acquire);
        if asked != self.answer {
            (self.answer, self.lines) = (asked, HeadLines::default());
        }
        // Bytes that nobody asked for end the connection by themselves.
        if asked == 0 || self.lines.has_ended() {
            return Ok(());
        }
        self.lines.read(bytes)?;
        if self.lines.has_ended() {
            self.watch.whole_head_of.store(asked, Ordering::Release);
        }
        Ok(())
    }
}

impl AsyncRead for AnswerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.watch.pending() > PIECE_LIMIT {
            return Poll::Ready(Err(io::Error::other(NoAnswerInBytes)));
        }
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let bytes = &buffer.filled()[before..];
        self.watch.read.fetch_add(bytes.len() as u64, Ordering::Relaxed);
        Poll::Ready(self.read_lines(bytes).map_err(io::Error::other))
    }
}

impl AsyncWrite for AnswerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
