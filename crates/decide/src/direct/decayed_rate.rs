//! Amount per second, averaged with exponential decay.

use std::time::Duration;

/// Time constant in seconds: short enough to see a burst of 5 s, long enough to average over some
/// ten requests of one entry.
pub const RATE_TIME_CONSTANT_S: f64 = 1.0;

/// Decayed sum of amounts, as an amount per second.
#[derive(Debug, Clone, Copy, Default)]
pub struct DecayedRate {
    per_s: f64,
    at: Duration,
}

impl DecayedRate {
    /// Adds an amount; ignores it unless it is a positive finite number.
    pub fn add(&mut self, amount: f64, now: Duration) {
        if amount.is_finite() && amount > 0.0 {
            self.per_s = self.per_s(now) + amount / RATE_TIME_CONSTANT_S;
            self.at = self.at.max(now);
        }
    }

    /// Amount per second at `now`.
    pub fn per_s(&self, now: Duration) -> f64 {
        let elapsed_s = now.saturating_sub(self.at).as_secs_f64();
        self.per_s * (-elapsed_s / RATE_TIME_CONSTANT_S).exp()
    }
}
