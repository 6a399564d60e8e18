//! The time that decisions see: how long this process has been running.

use std::time::Duration;

use tokio::time::Instant;

/// A monotonic clock that starts at zero.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// Starts the clock.
    pub fn start() -> Self {
        Clock { origin: Instant::now() }
    }

    /// Time since the start.
    pub fn now(&self) -> Duration {
        self.origin.elapsed()
    }

    /// The instant at a time since the start.
    pub fn instant(&self, at: Duration) -> Instant {
        self.origin + at
    }
}
