//! A limit on connections: further ones wait in the listen queue.

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

/// Accepts only while fewer than a number of connections are open.
pub struct LimitedAcceptor<A> {
    inner: A,
    open: Arc<Semaphore>,
}

impl<A> LimitedAcceptor<A> {
    /// Limits an acceptor.
    pub fn new(inner: A, connections: usize) -> Self {
        LimitedAcceptor {
            inner,
            open: Arc::new(Semaphore::new(connections)),
        }
    }
}

impl<A: Acceptor> Acceptor for LimitedAcceptor<A> {
    type Io = CountedIo<A::Io>;

    fn local_addr(&self) -> Vec<LocalAddr> {
        self.inner.local_addr()
    }

    async fn accept(&mut self) -> io::Result<(Self::Io, LocalAddr, RemoteAddr, Scheme)> {
        let permit = self.open.clone().acquire_owned().await;
        let permit = permit.map_err(|_| io::ErrorKind::ConnectionAborted)?;
        let (io, local, remote, scheme) = self.inner.accept().await?;
        Ok((
            CountedIo {
                io,
                _permit: permit,
            },
            local,
            remote,
            scheme,
        ))
    }
}

/// A connection that counts as open until it is dropped.
pub struct CountedIo<I> {
    io: I,
    _permit: OwnedSemaphorePermit,
}

impl<I: AsyncRead + Unpin> AsyncRead for CountedIo<I> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_read(cx, buf)
    }
}

impl<I: AsyncWrite + Unpin> AsyncWrite for CountedIo<I> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}
