//! Ends connections on which nothing moves.
//!
//! The HTTP library bounds the time in which a head is read, once it knows the version spoken. It
//! does not bound the time until then, nor the time for which a caller takes nothing of an answer.
//! Symptom of either: a caller that opens thousands of connections and falls silent holds all of the
//! VM's. [`StallGuard`] bounds both, below the library, so it holds for HTTP/1.1 and HTTP/2 alike.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{Instant, Sleep, sleep},
};

/// How many bytes tell the version spoken: the preface of HTTP/2.
const PREFACE_LENGTH: usize = 24;

/// A caller's connection that fails when nothing moves.
pub(crate) struct StallGuard {
    stream: TcpStream,
    /// Bytes read, as long as the version is not known.
    read: usize,
    first_bytes: Pin<Box<Sleep>>,
    write_idle: Duration,
    write_timer: Pin<Box<Sleep>>,
    stalled: bool,
}

impl StallGuard {
    pub(crate) fn new(stream: TcpStream, first_bytes: Duration, write_idle: Duration) -> Self {
        Self {
            stream,
            read: 0,
            first_bytes: Box::pin(sleep(first_bytes)),
            write_idle,
            write_timer: Box::pin(sleep(write_idle)),
            stalled: false,
        }
    }

    /// Watches the outcome of a write.
    fn watch<T>(
        &mut self,
        context: &mut Context<'_>,
        written: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        // Whoever is being answered has sent a request.
        self.read = PREFACE_LENGTH;
        if written.is_ready() {
            self.stalled = false;
            return written;
        }
        if !self.stalled {
            self.stalled = true;
            let limit = Instant::now() + self.write_idle;
            self.write_timer.as_mut().reset(limit);
        }
        self.write_timer.as_mut().poll(context).map(|()| Err(io::ErrorKind::TimedOut.into()))
    }
}

impl AsyncRead for StallGuard {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        if self.read >= PREFACE_LENGTH {
            return polled;
        }
        self.read += buffer.filled().len() - before;
        if polled.is_ready() {
            return polled;
        }
        self.first_bytes.as_mut().poll(context).map(|()| Err(io::ErrorKind::TimedOut.into()))
    }
}

impl AsyncWrite for StallGuard {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.watch(context, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.watch(context, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
