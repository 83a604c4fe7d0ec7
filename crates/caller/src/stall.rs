//! Ends connections whose caller takes nothing.
//!
//! The HTTP library bounds the time in which a head is read. It does not bound the time for which a
//! caller takes nothing of an answer. Symptom: a caller that asks for large answers on thousands of
//! connections and reads none of them holds all of the VM's. [`StallGuard`] bounds that below the
//! library, so it holds for HTTP/1.1 and HTTP/2 alike.

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

use crate::answer_end::CloseMode;

/// A caller's connection that fails when its caller takes nothing.
pub(crate) struct StallGuard {
    stream: TcpStream,
    close_mode: CloseMode,
    write_idle: Duration,
    write_timer: Pin<Box<Sleep>>,
    stalled: bool,
}

impl StallGuard {
    pub(crate) fn new(stream: TcpStream, close_mode: CloseMode, write_idle: Duration) -> Self {
        let write_timer = Box::pin(sleep(write_idle));
        Self { stream, close_mode, write_idle, write_timer, stalled: false }
    }

    /// Watches the outcome of a write.
    fn watch<T>(
        &mut self,
        context: &mut Context<'_>,
        written: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
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
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for StallGuard {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let Self { stream, close_mode, .. } = &mut *self;
        close_mode.begin_write(stream)?;
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.watch(context, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let Self { stream, close_mode, .. } = &mut *self;
        close_mode.begin_write(stream)?;
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
        let Self { stream, close_mode, .. } = &mut *self;
        close_mode.begin_shutdown(stream)?;
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
