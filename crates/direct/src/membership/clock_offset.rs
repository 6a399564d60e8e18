//! What another process's clock says in terms of one's own.
//!
//! A question may be held for long before it is answered, so its answer cannot be dated by when it
//! was asked. It is dated by the other clock, which is read at each answer: that reading was made
//! after the question was sent, so whatever the other clock dates lies no earlier on the own clock
//! than reckoned from there. An answer that is read late, by a process that was paused, gains
//! nothing by it.

use std::time::Duration;

/// Time for which a reading is kept. Two steady clocks part by up to a tenth of a millisecond in a
/// second; the reckoning errs by less than the time of an exchange then.
const READING_LIFE: Duration = Duration::from_secs(60);

/// One reading of another process's clock.
#[derive(Debug, Clone, Copy)]
struct Reading {
    /// Own time before which the reading was not made.
    not_before: Duration,
    /// What the other clock said.
    said: Duration,
}

/// Offset of the clock of one other process.
#[derive(Debug, Clone, Copy, Default)]
pub struct ClockOffset {
    incarnation: u64,
    best: Option<Reading>,
}

impl ClockOffset {
    /// Takes a reading in: the process with this incarnation said `said` after `not_before`.
    pub fn record(&mut self, incarnation: u64, not_before: Duration, said: Duration) {
        let fresh = Reading { not_before, said };
        if incarnation != self.incarnation {
            *self = ClockOffset { incarnation, best: Some(fresh) };
            return;
        }
        let lasts = |old: &Reading| not_before.saturating_sub(old.not_before) < READING_LIFE;
        // NB: of two readings, the one that puts the other clock's times later is the closer one.
        let beats = |old: &Reading| {
            old.not_before.saturating_add(said) >= not_before.saturating_add(old.said)
        };
        if !self.best.is_some_and(|old| lasts(&old) && beats(&old)) {
            self.best = Some(fresh);
        }
    }

    /// Own time that is no later than the other clock's `at`; `None` if it lies before the start of
    /// the own clock, or nothing is known.
    pub fn local_time(&self, at: Duration) -> Option<Duration> {
        let reading = self.best?;
        (reading.not_before + at).checked_sub(reading.said)
    }
}
