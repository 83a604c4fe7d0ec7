//! A connection on which an answer is handed out a second time, late: when the next request is at work; or with a
//! broken head.

use std::{
    io,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

use crate::spoiling::NextSpoil;

/// The copy that a connection owes.
#[derive(Clone, Debug, Default)]
pub(crate) struct OwedCopy(Arc<Mutex<Option<Vec<u8>>>>);

impl OwedCopy {
    /// Copies the answer that is written next.
    pub(crate) fn begin(&self) {
        *self.lock() = Some(Vec::new());
    }

    fn lock(&self) -> MutexGuard<'_, Option<Vec<u8>>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A connection of an upstream that may hand out copies and break heads.
pub(crate) struct CopyingStream {
    stream: TcpStream,
    owed: OwedCopy,
    spoil: NextSpoil,
}

impl CopyingStream {
    pub(crate) fn new(stream: TcpStream, owed: OwedCopy, spoil: NextSpoil) -> Self {
        Self { stream, owed, spoil }
    }
}

impl AsyncRead for CopyingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > before
            && let Some(copy) = self.owed.lock().take_if(|copy| !copy.is_empty())
        {
            // A refusal is short, so it fits into what the system buffers.
            let _ = self.stream.try_write(&copy);
        }
        read
    }
}

impl AsyncWrite for CopyingStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let spoilt = self.spoil.apply(bytes);
        let bytes = spoilt.as_deref().unwrap_or(bytes);
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        if let (Poll::Ready(Ok(length)), Some(copy)) = (&written, self.owed.lock().as_mut()) {
            copy.extend_from_slice(&bytes[..*length]);
        }
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
