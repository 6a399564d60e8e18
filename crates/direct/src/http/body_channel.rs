//! Channel for a response whose caller reads more slowly than its server sends.
//!
//! The buffered bytes are bounded per caller. Within the bound the server can send all that it has
//! produced and need not cut an unread response; beyond it the server is blocked, so that many slow
//! callers do not exhaust this process's memory.

use std::{cell::Cell, sync::Arc};

use bytes::Bytes;
use pondwalk_inbound::{BufferPool, Reservation};
use tokio::sync::{
    OwnedSemaphorePermit, Semaphore,
    mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel},
};

use super::body::Truncated;

/// Maximum number of bytes buffered for one caller; many times a typical response.
const MAX_BUFFERED_BYTES: usize = 64 * 1024;

/// A buffered chunk with its share of the capacity.
#[derive(Debug)]
pub struct BufferedChunk {
    chunk: Result<Bytes, Truncated>,
    /// Released when the chunk is received.
    _capacity: Option<(OwnedSemaphorePermit, Reservation)>,
}

/// Sends chunks to a caller. A response that was not finished when this is dropped is truncated.
#[derive(Debug)]
pub struct ChunkSender {
    sender: UnboundedSender<BufferedChunk>,
    capacity: Arc<Semaphore>,
    pool: BufferPool,
    is_finished: Cell<bool>,
}

/// Receives chunks as the caller reads.
#[derive(Debug)]
pub struct ChunkReceiver {
    receiver: UnboundedReceiver<BufferedChunk>,
}

/// Creates a channel for one caller, which buffers within `pool`.
pub fn chunk_channel(pool: &BufferPool) -> (ChunkSender, ChunkReceiver) {
    let (sender, receiver) = unbounded_channel();
    let capacity = Arc::new(Semaphore::new(MAX_BUFFERED_BYTES));
    let (pool, is_finished) = (pool.clone(), Cell::new(false));
    (ChunkSender { sender, capacity, pool, is_finished }, ChunkReceiver { receiver })
}

/// The caller disconnected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerDisconnected;

impl ChunkSender {
    /// Sends a chunk, waiting for capacity.
    pub async fn send(&self, chunk: Bytes) -> Result<(), CallerDisconnected> {
        let mut reservation = self.pool.reservation();
        // A chunk larger than the whole capacity, or without memory left in the pool, waits until
        // the buffer is empty.
        let bytes = match reservation.try_resize(chunk.len()) {
            true => chunk.len().min(MAX_BUFFERED_BYTES),
            false => MAX_BUFFERED_BYTES,
        };
        let bytes = u32::try_from(bytes).unwrap_or(u32::MAX);
        let capacity = tokio::select! {
            biased;
            () = self.sender.closed() => return Err(CallerDisconnected),
            capacity = Arc::clone(&self.capacity).acquire_many_owned(bytes) => capacity.ok(),
        };
        let capacity = capacity.map(|capacity| (capacity, reservation));
        self.sender
            .send(BufferedChunk { chunk: Ok(chunk), _capacity: capacity })
            .map_err(|_| CallerDisconnected)
    }

    /// Ends the response, which is complete.
    pub fn finish(&self) {
        self.is_finished.set(true);
    }

    /// Waits until the caller disconnects.
    pub async fn closed(&self) {
        self.sender.closed().await;
    }
}

impl Drop for ChunkSender {
    fn drop(&mut self) {
        if !self.is_finished.get() {
            // A caller that has disconnected needs no signal.
            let _ = self.sender.send(BufferedChunk { chunk: Err(Truncated), _capacity: None });
        }
    }
}

impl ChunkReceiver {
    /// Polls for the next chunk; `None` at the end.
    pub fn poll_next(
        &mut self,
        context: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Result<Bytes, Truncated>>> {
        self.receiver.poll_recv(context).map(|buffered| buffered.map(|buffered| buffered.chunk))
    }
}
