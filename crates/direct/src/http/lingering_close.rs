//! Closes callers' connections without losing what was written to them.
//!
//! A socket that is closed with unread input resets its connection, and the caller loses the rest of
//! its answer. So the connection is shut for writing first, and what still comes is discarded until
//! the caller closes it too.

use std::{
    future::Future,
    io,
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    time::{Sleep, sleep},
};

use crate::deliveries::{ConnectionDeliveries, Lingering};

/// Maximum time from the end of writing until the connection is closed.
const LINGER_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of bytes that are discarded.
const MAX_DISCARDED_BYTES: usize = 1024 * 1024;
/// Size of a read of bytes to discard.
const DISCARD_BUFFER_BYTES: usize = 8 * 1024;

/// A connection that discards input while it closes.
pub struct LingeringClose<T> {
    stream: T,
    deliveries: ConnectionDeliveries,
    /// Whether the caller has closed the connection.
    is_read_closed: bool,
    closing: Option<Closing>,
}

/// A connection that is shut for writing, or about to be.
struct Closing {
    is_shut: bool,
    discarded_bytes: usize,
    timeout: Pin<Box<Sleep>>,
    /// Holds a stop up as long as closing the connection would reset it.
    lingering: Option<Lingering>,
}

impl<T> LingeringClose<T> {
    /// Closes `stream` in this way; a stop waits for that as it does for `deliveries`.
    pub fn new(stream: T, deliveries: &ConnectionDeliveries) -> Self {
        let deliveries = deliveries.clone();
        LingeringClose { stream, deliveries, is_read_closed: false, closing: None }
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for LingeringClose<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = ready!(Pin::new(&mut self.stream).poll_read(context, buffer));
        self.is_read_closed |= read.is_err() || buffer.filled().len() == before;
        Poll::Ready(read)
    }
}

impl<T: AsyncRead + AsyncWrite + Unpin> AsyncWrite for LingeringClose<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
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

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let closing = this.closing.get_or_insert_with(|| Closing {
            is_shut: false,
            discarded_bytes: 0,
            timeout: Box::pin(sleep(LINGER_TIMEOUT)),
            lingering: None,
        });
        if !closing.is_shut {
            ready!(Pin::new(&mut this.stream).poll_shutdown(context))?;
            closing.is_shut = true;
        }
        while !this.is_read_closed && closing.discarded_bytes < MAX_DISCARDED_BYTES {
            let mut bytes = [0; DISCARD_BUFFER_BYTES];
            let mut buffer = ReadBuf::new(&mut bytes);
            let Poll::Ready(read) = Pin::new(&mut this.stream).poll_read(context, &mut buffer)
            else {
                ready!(closing.timeout.as_mut().poll(context));
                break;
            };
            this.is_read_closed = read.is_err() || buffer.filled().is_empty();
            closing.discarded_bytes += buffer.filled().len();
            closing.lingering.get_or_insert_with(|| this.deliveries.linger());
        }
        Poll::Ready(Ok(()))
    }
}
