//! The time that decisions see: how long this process has been running.

use std::time::Duration;

use tokio::time::Instant;

/// Where the clock starts. What other processes tell may be dated before the start of this one, by
/// up to the longest time for which an old state is of any use.
const HEAD_START: Duration = Duration::from_secs(3_600);

/// A monotonic clock that starts some time after zero.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// Starts the clock.
    pub fn start() -> Self {
        Clock { origin: Instant::now() }
    }

    /// The time.
    pub fn now(&self) -> Duration {
        HEAD_START + self.uptime()
    }

    /// Time since the start.
    pub fn uptime(&self) -> Duration {
        self.origin.elapsed()
    }

    /// The instant of a time, which counts as the start if it lies before.
    pub fn instant(&self, at: Duration) -> Instant {
        self.origin + at.saturating_sub(HEAD_START)
    }
}
