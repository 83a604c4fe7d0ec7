//! An acceptor that holds no more than so many connections at a time.
//!
//! Without a bound, whoever reaches the port can open connections until the process has no file
//! descriptors left, and then callers' connections fail as well. Beyond the bound further
//! connections wait in the system's backlog, which costs the process nothing.

use std::{
    io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use poem::{
    http::uri::Scheme,
    listener::Acceptor,
    web::{LocalAddr, RemoteAddr},
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    sync::{OwnedSemaphorePermit, Semaphore},
};

pub(crate) struct BoundedAcceptor<A> {
    inner: A,
    room: Arc<Semaphore>,
}

impl<A: Acceptor> BoundedAcceptor<A> {
    pub(crate) fn new(inner: A, limit: usize) -> Self {
        Self { inner, room: Arc::new(Semaphore::new(limit)) }
    }
}

impl<A: Acceptor> Acceptor for BoundedAcceptor<A> {
    type Io = BoundedIo<A::Io>;

    fn local_addr(&self) -> Vec<LocalAddr> {
        self.inner.local_addr()
    }

    async fn accept(&mut self) -> io::Result<(Self::Io, LocalAddr, RemoteAddr, Scheme)> {
        let permit = self.room.clone().acquire_owned().await;
        let permit = permit.expect("the semaphore is never closed");
        let (io, local, remote, scheme) = self.inner.accept().await?;
        Ok((BoundedIo { io, _permit: permit }, local, remote, scheme))
    }
}

pub(crate) struct BoundedIo<T> {
    io: T,
    _permit: OwnedSemaphorePermit,
}

impl<T: AsyncRead + Unpin> AsyncRead for BoundedIo<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_read(cx, buffer)
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for BoundedIo<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}
