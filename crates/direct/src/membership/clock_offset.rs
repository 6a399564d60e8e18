//! Estimate of the offset between another process's clock and the local one.
//!
//! A request may be held for long before it is answered, so its response cannot be dated by the
//! time of the request. Instead each response carries a reading of the remote clock. That reading
//! was made after the request was sent, so a remote time converted with it is a lower bound on the
//! local clock. A response that is read late, by a process that was suspended, therefore does not
//! look any fresher.

use std::time::Duration;

/// How long a reading is used. Two steady clocks drift apart by up to a tenth of a millisecond per
/// second, so the error stays below the time of one exchange.
const READING_LIFETIME: Duration = Duration::from_secs(60);

/// One reading of the remote clock.
#[derive(Debug, Clone, Copy)]
struct Reading {
    /// Local time before which the reading was not made.
    not_before: Duration,
    /// Value of the remote clock.
    remote: Duration,
}

/// Offset of the clock of one remote process.
#[derive(Debug, Clone, Copy, Default)]
pub struct ClockOffset {
    incarnation: u64,
    best: Option<Reading>,
}

impl ClockOffset {
    /// Records a reading: the process with this incarnation reported `remote` after the local time
    /// `not_before`.
    pub fn record(&mut self, incarnation: u64, not_before: Duration, remote: Duration) {
        let reading = Reading { not_before, remote };
        if incarnation != self.incarnation {
            *self = ClockOffset { incarnation, best: Some(reading) };
            return;
        }
        let is_current =
            |old: &Reading| not_before.saturating_sub(old.not_before) < READING_LIFETIME;
        // Of two readings, the one that maps remote times to later local times is the more
        // accurate.
        let is_better = |old: &Reading| {
            old.not_before.saturating_add(remote) >= not_before.saturating_add(old.remote)
        };
        if !self.best.is_some_and(|old| is_current(&old) && is_better(&old)) {
            self.best = Some(reading);
        }
    }

    /// Converts the remote time `at` to a local time that is no later; `None` if that lies before
    /// the start of the local clock, or there is no reading.
    pub fn local_time(&self, at: Duration) -> Option<Duration> {
        let reading = self.best?;
        (reading.not_before + at).checked_sub(reading.remote)
    }
}
