//! Limits the sends beyond each request's first over a sliding window.
//!
//! Each entry has its own budget: a ratio of its own requests, and its fraction of the fixed extra,
//! given by [`BoundSharing::fraction`](super::BoundSharing::fraction). All budgets add up to no
//! more than the configured bound.

use std::time::Duration;

/// Slices of a window; the resolution at which sends are counted.
const SLICES: usize = 20;

/// Fraction of the allowance that is used. The rest covers sends that arrive in a later slice than
/// the one they were counted in.
const USED_SHARE: f64 = 0.85;

/// Allowance of a window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WindowLimits {
    /// Further sends as a ratio of the requests in the window.
    pub ratio: f64,
    /// Further sends beyond that ratio, this entry's share.
    pub extra: f64,
    /// Length of the window.
    pub window: Duration,
    /// Fraction of a send, below 1, that is added to the allowance before it is rounded down. If it
    /// is evenly distributed over the entries, their allowances add up to the sum of their shares.
    /// Otherwise each would lose half a send on average, which matters where an entry has few.
    pub rounding: f64,
}

#[derive(Debug, Clone, Copy, Default)]
struct Slice {
    requests: u32,
    further_sends: u32,
}

/// Requests and further sends of one service over a sliding window.
#[derive(Debug, Clone)]
pub struct WindowBudget {
    limits: WindowLimits,
    slices: [Slice; SLICES],
    newest: u64,
}

impl WindowBudget {
    /// Creates an empty window.
    pub fn new(limits: WindowLimits) -> Self {
        WindowBudget { limits, slices: [Slice::default(); SLICES], newest: 0 }
    }

    /// Replaces the limits after the entries that share them have changed.
    pub fn set_limits(&mut self, limits: WindowLimits) {
        self.limits = limits;
    }

    /// Counts a request.
    pub fn record_request(&mut self, now: Duration) {
        self.current(now).requests += 1;
    }

    /// Takes one further send from the budget, provided that the fraction `spare` of the budget
    /// remains for more urgent uses.
    pub fn try_take(&mut self, now: Duration, spare: f64) -> bool {
        let has_room = self.has_room(now, spare);
        if has_room {
            self.current(now).further_sends += 1;
        }
        has_room
    }

    /// Whether one further send could be taken.
    pub fn has_room(&mut self, now: Duration, spare: f64) -> bool {
        self.current(now);
        let requests: u32 = self.slices.iter().map(|slice| slice.requests).sum();
        let further_sends: u32 = self.slices.iter().map(|slice| slice.further_sends).sum();
        let allowed = USED_SHARE * (self.limits.ratio * f64::from(requests) + self.limits.extra);
        f64::from(further_sends) + 1.0 <= allowed * (1.0 - spare) + self.limits.rounding
    }

    fn current(&mut self, now: Duration) -> &mut Slice {
        let slice_length = self.limits.window / SLICES as u32;
        let slice_number = (now.as_nanos() / slice_length.as_nanos().max(1)) as u64;
        let elapsed_slices = slice_number.saturating_sub(self.newest).min(SLICES as u64);
        for step in 0..elapsed_slices {
            self.slices[((slice_number - step) % SLICES as u64) as usize] = Slice::default();
        }
        self.newest = slice_number.max(self.newest);
        &mut self.slices[(self.newest % SLICES as u64) as usize]
    }
}
