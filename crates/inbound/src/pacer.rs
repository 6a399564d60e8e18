//! Limits the rate at which long messages are read.
//!
//! A server on the same network sends more in a second than a process can pass on beside its other
//! work. Reading long messages at a limited rate, all together, leaves time for the others.

use std::{cell::Cell, time::Duration};

use tokio::time::Instant;

/// Time by which reads may be ahead of the rate; timers are no more precise.
const TOLERANCE: Duration = Duration::from_millis(2);

/// Spreads reads over time.
#[derive(Debug)]
pub struct Pacer {
    bytes_per_s: f64,
    /// When all reads so far are paid for.
    paid_at: Cell<Instant>,
}

impl Pacer {
    /// Creates a pacer with this rate for all messages together.
    pub fn new(bytes_per_s: u32) -> Self {
        Pacer { bytes_per_s: f64::from(bytes_per_s.max(1)), paid_at: Cell::new(Instant::now()) }
    }

    /// Records a read; returns until when the reader must pause, if it must.
    pub fn record(&self, bytes: usize) -> Option<Instant> {
        let now = Instant::now();
        let cost = Duration::from_secs_f64(bytes as f64 / self.bytes_per_s);
        let paid_at = self.paid_at.get().max(now) + cost;
        self.paid_at.set(paid_at);
        (paid_at > now + TOLERANCE).then(|| paid_at - TOLERANCE)
    }
}
