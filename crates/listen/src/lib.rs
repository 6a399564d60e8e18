//! HTTP listener with a connection limit and without Nagle's algorithm.
//!
//! Connections above the limit wait in the listen backlog. Nagle's algorithm would delay small
//! writes, such as single tokens, by tens of milliseconds.

use std::{
    io,
    net::SocketAddr,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use poem::{
    http::uri::Scheme,
    listener::{Acceptor, Listener, TcpAcceptor, TcpListener},
    web::{LocalAddr, RemoteAddr},
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    sync::{OwnedSemaphorePermit, Semaphore},
};

/// A bound socket that limits the number of open connections.
pub struct LimitedAcceptor {
    inner: TcpAcceptor,
    address: SocketAddr,
    free_connections: Arc<Semaphore>,
}

impl LimitedAcceptor {
    /// Binds `address` and allows at most `connections` open connections.
    ///
    /// Fails if the address cannot be bound.
    pub async fn bind(address: SocketAddr, connections: usize) -> io::Result<Self> {
        let inner = TcpListener::bind(address.to_string()).into_acceptor().await?;
        let bound = inner.local_addr().first().and_then(|a| a.as_socket_addr().copied());
        let address = bound.ok_or(io::ErrorKind::AddrNotAvailable)?;
        Ok(LimitedAcceptor {
            inner,
            address,
            free_connections: Arc::new(Semaphore::new(connections)),
        })
    }

    /// The bound address, with the port chosen by the system if port 0 was requested.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Acceptor for LimitedAcceptor {
    type Io = CountedStream;

    fn local_addr(&self) -> Vec<LocalAddr> {
        self.inner.local_addr()
    }

    async fn accept(&mut self) -> io::Result<(Self::Io, LocalAddr, RemoteAddr, Scheme)> {
        let permit = self.free_connections.clone().acquire_owned().await;
        let permit = permit.map_err(|_| io::ErrorKind::ConnectionAborted)?;
        let (stream, local, remote, scheme) = self.inner.accept().await?;
        stream.set_nodelay(true)?;
        Ok((CountedStream { stream, _permit: permit }, local, remote, scheme))
    }
}

/// A connection that counts towards the limit until it is dropped.
pub struct CountedStream {
    stream: TcpStream,
    _permit: OwnedSemaphorePermit,
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
