//! The limit on sends beyond each request's first, over a sliding window.
//!
//! Every entry keeps its part: a ratio of its own requests, and the part of the fixed extra that
//! [`BoundSharing::part`](super::Sharers::part) gives it. The parts add up to no more than the whole.

use std::time::Duration;

/// Slices of a window; sends are counted to this resolution.
const SLICES: usize = 20;

/// Part of the allowance that is used. The rest covers sends that arrive in a later slice than
/// they were counted in.
const USED_SHARE: f64 = 0.85;

/// What the window allows.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WindowLimits {
    /// Further sends as a share of the requests in the window.
    pub ratio: f64,
    /// Further sends beyond that share, this entry's part.
    pub extra: f64,
    /// Length of the window.
    pub window: Duration,
    /// Part of a send, below 1, that is added to what is allowed before it is cut to whole sends. Entries that
    /// differ evenly in it allow together what their parts add up to, and not half a send less each, which is
    /// much where an entry has few.
    pub rounding: f64,
}

#[derive(Debug, Clone, Copy, Default)]
struct Slice {
    requests: u32,
    extras: u32,
}

/// Requests and further sends to one service over a sliding window.
#[derive(Debug, Clone)]
pub struct WindowBudget {
    limits: WindowLimits,
    slices: [Slice; SLICES],
    newest: u64,
}

impl WindowBudget {
    /// An empty window.
    pub fn new(limits: WindowLimits) -> Self {
        WindowBudget { limits, slices: [Slice::default(); SLICES], newest: 0 }
    }

    /// The limits have changed, as the entries that share them have.
    pub fn set_limits(&mut self, limits: WindowLimits) {
        self.limits = limits;
    }

    /// Counts a request.
    pub fn record_request(&mut self, now: Duration) {
        self.current(now).requests += 1;
    }

    /// Takes one further send out of the budget if, after it, the share `spare` of the budget
    /// is still left for more urgent uses.
    pub fn try_take(&mut self, now: Duration, spare: f64) -> bool {
        let has_room = self.has_room(now, spare);
        if has_room {
            self.current(now).extras += 1;
        }
        has_room
    }

    /// Whether one further send could be taken.
    pub fn has_room(&mut self, now: Duration, spare: f64) -> bool {
        self.current(now);
        let requests: u32 = self.slices.iter().map(|slice| slice.requests).sum();
        let extras: u32 = self.slices.iter().map(|slice| slice.extras).sum();
        let allowed = USED_SHARE * (self.limits.ratio * f64::from(requests) + self.limits.extra);
        f64::from(extras) + 1.0 <= allowed * (1.0 - spare) + self.limits.rounding
    }

    fn current(&mut self, now: Duration) -> &mut Slice {
        let length = self.limits.window / SLICES as u32;
        let number = (now.as_nanos() / length.as_nanos().max(1)) as u64;
        let passed = number.saturating_sub(self.newest).min(SLICES as u64);
        for step in 0..passed {
            self.slices[((number - step) % SLICES as u64) as usize] = Slice::default();
        }
        self.newest = number.max(self.newest);
        &mut self.slices[(self.newest % SLICES as u64) as usize]
    }
}
