//! Pieces of a stream that wait for a caller who reads more slowly than its server sends.
//!
//! What waits is bounded by its bytes, for each caller alone: within the bound a server gets rid of what it has
//! made, so that it need not cut an answer that sits unread; beyond it the server is held up, so that many
//! slow callers do not fill this process's memory.

use std::sync::Arc;

use bytes::Bytes;
use tokio::sync::{
    OwnedSemaphorePermit, Semaphore,
    mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel},
};

use super::body::Cut;

/// Bytes that may wait for one caller: a whole answer of the usual size many times over.
const WAITING_BYTES: usize = 64 * 1024;

/// A piece, with its part of what may wait.
#[derive(Debug)]
pub struct Waiting {
    piece: Result<Bytes, Cut>,
    /// Given back when the piece is taken.
    _room: Option<OwnedSemaphorePermit>,
}

/// Puts pieces in for a caller.
#[derive(Debug)]
pub struct PieceSender {
    sender: UnboundedSender<Waiting>,
    room: Arc<Semaphore>,
}

/// Takes pieces out as the caller reads.
#[derive(Debug)]
pub struct PieceReceiver {
    receiver: UnboundedReceiver<Waiting>,
}

/// The two ends of what waits for one caller.
pub fn pieces() -> (PieceSender, PieceReceiver) {
    let (sender, receiver) = unbounded_channel();
    let room = Arc::new(Semaphore::new(WAITING_BYTES));
    (PieceSender { sender, room }, PieceReceiver { receiver })
}

/// The caller has left.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLeft;

impl PieceSender {
    /// Waits until there is room for a piece, and puts it in.
    pub async fn send(&self, piece: Bytes) -> Result<(), CallerLeft> {
        // NB: a piece larger than all of the room waits until nothing else does.
        let bytes = u32::try_from(piece.len().min(WAITING_BYTES)).unwrap_or(u32::MAX);
        let room = tokio::select! {
            biased;
            () = self.sender.closed() => return Err(CallerLeft),
            room = Arc::clone(&self.room).acquire_many_owned(bytes) => room.ok(),
        };
        self.sender.send(Waiting { piece: Ok(piece), _room: room }).map_err(|_| CallerLeft)
    }

    /// Ends the answer in a way that does not look whole.
    pub fn cut(&self) {
        // NB: a caller that has left needs no sign.
        let _ = self.sender.send(Waiting { piece: Err(Cut), _room: None });
    }

    /// Waits until the caller has left.
    pub async fn closed(&self) {
        self.sender.closed().await;
    }
}

impl PieceReceiver {
    /// The next piece, once there is one; `None` at the end.
    pub fn poll_next(
        &mut self,
        context: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Result<Bytes, Cut>>> {
        self.receiver.poll_recv(context).map(|waiting| waiting.map(|waiting| waiting.piece))
    }
}
