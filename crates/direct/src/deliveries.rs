//! Answers from their head until their last byte is written to the connection.
//!
//! The HTTP library takes an answer from its handler long before it has written it: the rest waits
//! in its buffer for a peer that reads slowly. A process that ends then would cut the answer.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use hyper::{
    Response,
    body::{Body, Frame, SizeHint},
};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// All answers of a process that are not written yet.
#[derive(Debug, Clone, Default)]
pub struct Deliveries {
    registry: Rc<Registry>,
}

#[derive(Debug, Default)]
struct Registry {
    next_number: Cell<u64>,
    answers: RefCell<BTreeMap<u64, Rc<Answer>>>,
    /// Number of connections whose close now would reset them.
    lingering: Cell<usize>,
}

/// An answer that is being written.
#[derive(Debug)]
struct Answer {
    number: u64,
    /// Id of the request, or its path.
    request: String,
    /// Length of the body, if it is known in advance.
    body_bytes: Option<u64>,
    /// Bytes of the body that the HTTP library has taken.
    taken_bytes: Cell<u64>,
    /// Whether the HTTP library has taken all of it.
    is_taken: Cell<bool>,
    /// Bytes written to the connection before this answer.
    start: u64,
    /// Bytes written to the connection.
    position: Rc<Cell<u64>>,
}

/// An answer that is not written yet, for logs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnwrittenAnswer {
    /// Id of the request, or its path.
    pub request: String,
    /// Bytes written, with the head.
    pub written_bytes: u64,
    /// Bytes of the body that are known and not written. The head and the framing of chunks are
    /// taken for a part of the body.
    pub left_bytes: u64,
}

impl Deliveries {
    /// Number of answers that are not written yet.
    pub fn count(&self) -> usize {
        self.registry.answers.borrow().len()
    }

    /// Whether all answers are written, and none would be lost if its connection were closed now.
    pub fn is_idle(&self) -> bool {
        self.count() == 0 && self.registry.lingering.get() == 0
    }

    /// The answers that are not written yet, oldest first.
    pub fn unwritten(&self) -> Vec<UnwrittenAnswer> {
        let answers = self.registry.answers.borrow();
        let describe = |answer: &Rc<Answer>| {
            let written_bytes = answer.position.get().saturating_sub(answer.start);
            let known_bytes = answer.body_bytes.unwrap_or(answer.taken_bytes.get());
            UnwrittenAnswer {
                request: answer.request.clone(),
                written_bytes,
                left_bytes: known_bytes.saturating_sub(written_bytes),
            }
        };
        answers.values().map(describe).collect()
    }

    /// Starts to follow the answers of a connection.
    pub fn connection(&self) -> ConnectionDeliveries {
        let shared = Shared {
            deliveries: self.clone(),
            position: Rc::default(),
            answers: RefCell::default(),
        };
        ConnectionDeliveries { shared: Rc::new(shared) }
    }
}

/// The answers of one connection. Clones share them.
#[derive(Debug, Clone)]
pub struct ConnectionDeliveries {
    shared: Rc<Shared>,
}

#[derive(Debug)]
struct Shared {
    deliveries: Deliveries,
    /// Bytes written to the connection.
    position: Rc<Cell<u64>>,
    answers: RefCell<Vec<Rc<Answer>>>,
}

impl ConnectionDeliveries {
    /// Follows an answer until it is written or the connection ends.
    pub fn follow<B: Body>(&self, request: String, answer: Response<B>) -> Response<Followed<B>> {
        let registry = &self.shared.deliveries.registry;
        let number = registry.next_number.get();
        registry.next_number.set(number + 1);
        let (head, body) = answer.into_parts();
        let answer = Rc::new(Answer {
            number,
            request,
            body_bytes: body.size_hint().exact(),
            taken_bytes: Cell::new(0),
            is_taken: Cell::new(false),
            start: self.shared.position.get(),
            position: Rc::clone(&self.shared.position),
        });
        registry.answers.borrow_mut().insert(number, Rc::clone(&answer));
        self.shared.answers.borrow_mut().push(Rc::clone(&answer));
        Response::from_parts(head, Followed { body, answer })
    }

    /// Records that the connection would be reset if it were closed now, until the result is
    /// dropped.
    pub fn linger(&self) -> Lingering {
        let registry = Rc::clone(&self.shared.deliveries.registry);
        registry.lingering.set(registry.lingering.get() + 1);
        Lingering { registry }
    }

    /// Counts what is written to `stream`.
    pub fn count_writes<T>(&self, stream: T) -> CountedWrites<T> {
        CountedWrites { stream, shared: Rc::clone(&self.shared) }
    }
}

impl Shared {
    /// Removes the answers that were taken, all of which is written now.
    fn on_flushed(&self) {
        let mut registered = self.deliveries.registry.answers.borrow_mut();
        self.answers.borrow_mut().retain(|answer| {
            if answer.is_taken.get() {
                registered.remove(&answer.number);
            }
            !answer.is_taken.get()
        });
    }
}

impl Drop for Shared {
    fn drop(&mut self) {
        let mut registered = self.deliveries.registry.answers.borrow_mut();
        for answer in self.answers.borrow().iter() {
            registered.remove(&answer.number);
        }
    }
}

/// A connection whose close now would reset it.
#[derive(Debug)]
pub struct Lingering {
    registry: Rc<Registry>,
}

impl Drop for Lingering {
    fn drop(&mut self) {
        self.registry.lingering.set(self.registry.lingering.get() - 1);
    }
}

/// The body of an answer that is followed.
#[derive(Debug)]
pub struct Followed<B> {
    body: B,
    answer: Rc<Answer>,
}

impl<B> Drop for Followed<B> {
    fn drop(&mut self) {
        self.answer.is_taken.set(true);
    }
}

impl<B: Body<Data = Bytes> + Unpin> Body for Followed<B> {
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, B::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(context));
        if let Some(Ok(frame)) = &frame {
            let taken = frame.data_ref().map_or(0, Bytes::len) as u64;
            self.answer.taken_bytes.set(self.answer.taken_bytes.get() + taken);
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// A connection whose writes are counted.
#[derive(Debug)]
pub struct CountedWrites<T> {
    stream: T,
    shared: Rc<Shared>,
}

impl<T> CountedWrites<T> {
    fn count(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(bytes)) = written {
            self.shared.position.set(self.shared.position.get() + bytes as u64);
        }
        written
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for CountedWrites<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for CountedWrites<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.count(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.count(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The HTTP library flushes a connection only once its own buffer is empty.
        ready!(Pin::new(&mut self.stream).poll_flush(context))?;
        self.shared.on_flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
