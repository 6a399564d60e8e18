//! Counts the bytes of each message as they arrive on a connection.
//!
//! A parser may skip bytes without an end and never report them: informational responses, leading
//! zeros of a chunk's size. Here they count like all others.

use std::{
    cell::Cell,
    future::Future,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    time::{Sleep, sleep_until},
};

use crate::Pacer;

/// Limits of one message on a connection.
#[derive(Debug, Clone)]
pub struct MessageLimits {
    /// Bytes until its head is complete, with everything that precedes it.
    pub head_bytes: u64,
    /// Bytes of the whole message.
    pub message_bytes: u64,
    /// Limits the rate of what exceeds this number of bytes, if given.
    pub pace: Option<(u64, Rc<Pacer>)>,
}

/// Bytes of a body that may have arrived without being delivered as data: they wait in the buffers of
/// the connection, or are framing.
const MAX_UNDELIVERED_BYTES: u64 = 192 * 1024;
/// Bytes of framing that may come with each byte of data: a chunk of one byte has five.
const MAX_FRAMING_RATIO: u64 = 8;

/// The part of a message in which it became too long.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MessagePart {
    /// The head, or what precedes it.
    Head,
    /// The body.
    Body,
}

impl MessagePart {
    /// Name in logs.
    pub fn name(self) -> &'static str {
        match self {
            MessagePart::Head => "head",
            MessagePart::Body => "body",
        }
    }
}

/// Counts the bytes of the present message of a connection. Clones share the count.
#[derive(Debug, Clone)]
pub struct Meter {
    state: Rc<MeterState>,
}

#[derive(Debug)]
struct MeterState {
    limits: MessageLimits,
    bytes: Cell<u64>,
    /// Bytes at the end of the head.
    head_bytes: Cell<u64>,
    /// Bytes of the body that were delivered.
    data_bytes: Cell<u64>,
    part: Cell<MessagePart>,
    has_exceeded: Cell<bool>,
}

impl Meter {
    /// Creates a meter for the first message of a connection.
    pub fn new(limits: MessageLimits) -> Self {
        let state = MeterState {
            limits,
            bytes: Cell::new(0),
            head_bytes: Cell::new(0),
            data_bytes: Cell::new(0),
            part: Cell::new(MessagePart::Head),
            has_exceeded: Cell::new(false),
        };
        Meter { state: Rc::new(state) }
    }

    /// Starts the count of the next message.
    pub fn begin_message(&self) {
        self.state.bytes.set(0);
        self.state.data_bytes.set(0);
        self.state.part.set(MessagePart::Head);
    }

    /// Records that the head of the message is complete.
    pub fn on_head(&self) {
        self.state.head_bytes.set(self.state.bytes.get());
        self.state.part.set(MessagePart::Body);
    }

    /// Records that bytes of the body were delivered.
    pub fn on_data(&self, bytes: usize) {
        self.state.data_bytes.set(self.state.data_bytes.get() + bytes as u64);
    }

    /// Bytes of the message so far.
    pub fn bytes(&self) -> u64 {
        self.state.bytes.get()
    }

    /// The part in which the message became too long, if it did.
    pub fn exceeded_in(&self) -> Option<MessagePart> {
        self.state.has_exceeded.get().then_some(self.state.part.get())
    }

    fn record(&self, bytes: usize) {
        let state = &*self.state;
        state.bytes.set(state.bytes.get() + bytes as u64);
        let is_too_long = match state.part.get() {
            MessagePart::Head => state.bytes.get() > state.limits.head_bytes,
            MessagePart::Body => {
                state.bytes.get() > state.limits.message_bytes || state.is_mostly_framing()
            }
        };
        if is_too_long {
            state.has_exceeded.set(true);
        }
    }

    /// When the next bytes may be read after these, if not at once.
    fn pause_after(&self, bytes: usize) -> Option<Sleep> {
        let (unpaced_bytes, pacer) = self.state.limits.pace.as_ref()?;
        if self.state.bytes.get() <= *unpaced_bytes {
            return None;
        }
        pacer.record(bytes).map(sleep_until)
    }
}

impl MeterState {
    /// Whether so little of the body was delivered as data that the rest must be framing.
    fn is_mostly_framing(&self) -> bool {
        let data_bytes = self.data_bytes.get();
        let body_bytes = self.bytes.get() - self.head_bytes.get();
        let framing_bytes = body_bytes.saturating_sub(data_bytes);
        framing_bytes > MAX_UNDELIVERED_BYTES + data_bytes * MAX_FRAMING_RATIO
    }
}

/// A connection whose messages are counted and limited.
#[derive(Debug)]
pub struct MeteredStream<T> {
    stream: T,
    meter: Meter,
    pause: Option<Pin<Box<Sleep>>>,
}

impl<T> MeteredStream<T> {
    /// Counts what is read from `stream`.
    pub fn new(stream: T, meter: &Meter) -> Self {
        MeteredStream { stream, meter: meter.clone(), pause: None }
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for MeteredStream<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.meter.exceeded_in().is_some() {
            let error = io::Error::new(io::ErrorKind::InvalidData, "the message is too long");
            return Poll::Ready(Err(error));
        }
        if let Some(pause) = &mut self.pause {
            ready!(pause.as_mut().poll(context));
            self.pause = None;
        }
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let bytes = buffer.filled().len() - before;
        self.meter.record(bytes);
        self.pause = self.meter.pause_after(bytes).map(Box::pin);
        Poll::Ready(Ok(()))
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for MeteredStream<T> {
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

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
