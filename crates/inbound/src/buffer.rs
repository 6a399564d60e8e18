//! The bytes of one message, within a reservation.

use bytes::Bytes;

use crate::{BufferPool, ReadError, Reservation};

/// Smallest capacity of a buffer.
const MIN_CAPACITY_BYTES: usize = 1_024;

/// Collects the bytes of one message, up to a limit and as far as the pool has memory.
///
/// The bytes are copied, since a small frame may keep the connection's whole read buffer alive.
#[derive(Debug)]
pub struct MessageBuffer {
    bytes: Vec<u8>,
    reservation: Reservation,
    max_bytes: usize,
}

impl MessageBuffer {
    /// Creates an empty buffer for at most `max_bytes`.
    pub fn new(pool: &BufferPool, max_bytes: usize) -> Self {
        MessageBuffer { bytes: Vec::new(), reservation: pool.reservation(), max_bytes }
    }

    /// Appends bytes.
    ///
    /// # Errors
    ///
    /// An error if the limit or the pool does not allow it; nothing is appended then.
    pub fn push(&mut self, more: &[u8]) -> Result<(), ReadError> {
        let needed = self.bytes.len().saturating_add(more.len());
        if needed > self.max_bytes {
            return Err(ReadError::TooLong { max_bytes: self.max_bytes });
        }
        if needed > self.bytes.capacity() {
            let capacity = needed.next_power_of_two().max(MIN_CAPACITY_BYTES).min(self.max_bytes);
            if !self.reservation.try_resize(capacity) {
                return Err(ReadError::PoolExhausted { bytes: self.bytes.len() });
            }
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(more);
        Ok(())
    }

    /// Number of bytes in the buffer.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether the buffer has no bytes.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Converts the buffer to bytes, which keep the reservation until all their clones are dropped.
    pub fn into_bytes(self) -> Bytes {
        if self.bytes.is_empty() {
            return Bytes::new();
        }
        Bytes::from_owner(ReservedBytes { bytes: self.bytes, _reservation: self.reservation })
    }
}

struct ReservedBytes {
    bytes: Vec<u8>,
    _reservation: Reservation,
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
