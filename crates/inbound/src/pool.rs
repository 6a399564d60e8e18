//! Memory for messages from outside, shared by all that are being read or held.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// Size up to which a message may use the whole pool.
const SMALL_MESSAGE_BYTES: usize = 64 * 1024;
/// Numerator and denominator of the share of the pool that messages beyond that size may fill. The
/// rest is left to small messages, so that a few large ones do not keep out ordinary requests.
const LARGE_MESSAGES_SHARE: (usize, usize) = (3, 4);

/// A limited amount of memory. Clones share it.
#[derive(Debug, Clone)]
pub struct BufferPool {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    max_bytes: usize,
    used_bytes: AtomicUsize,
}

impl BufferPool {
    /// Creates a pool of `max_bytes`.
    pub fn new(max_bytes: usize) -> Self {
        BufferPool { shared: Arc::new(Shared { max_bytes, used_bytes: AtomicUsize::new(0) }) }
    }

    /// Creates an empty reservation, for one message.
    pub fn reservation(&self) -> Reservation {
        Reservation { pool: self.clone(), bytes: 0 }
    }

    /// Memory that is reserved now.
    pub fn used_bytes(&self) -> usize {
        self.shared.used_bytes.load(Ordering::Relaxed)
    }

    fn try_take(&self, bytes: usize, limit: usize) -> bool {
        let take = |used: usize| used.checked_add(bytes).filter(|used| *used <= limit);
        let (load, store) = (Ordering::Relaxed, Ordering::Relaxed);
        self.shared.used_bytes.fetch_update(store, load, take).is_ok()
    }
}

/// Memory reserved for one message; released when dropped.
#[derive(Debug)]
pub struct Reservation {
    pool: BufferPool,
    bytes: usize,
}

impl Reservation {
    /// Extends or shrinks the reservation to `bytes`; returns whether the pool allows it.
    #[must_use]
    pub fn try_resize(&mut self, bytes: usize) -> bool {
        if bytes <= self.bytes {
            self.pool.shared.used_bytes.fetch_sub(self.bytes - bytes, Ordering::Relaxed);
            self.bytes = bytes;
            return true;
        }
        let max_bytes = self.pool.shared.max_bytes;
        let (numerator, denominator) = LARGE_MESSAGES_SHARE;
        let limit = match bytes > SMALL_MESSAGE_BYTES {
            true => max_bytes / denominator * numerator,
            false => max_bytes,
        };
        let is_allowed = self.pool.try_take(bytes - self.bytes, limit);
        if is_allowed {
            self.bytes = bytes;
        }
        is_allowed
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.pool.shared.used_bytes.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
