//! Limits the sends beyond each request's first over a sliding window.
//!
//! The bound over all entries: in any window, the further sends are at most a ratio of the requests
//! plus a fixed extra. The requests are those of the window, of the window before it or of the
//! window half a window before it, whichever has the most. Each entry uses the ratio of its own
//! requests in the last window, and its fraction of the extra, given by
//! [`BoundSharing::fraction`](super::BoundSharing::fraction).
//!
//! An entry that receives the counts of all other entries ([`PeerCounts`]) checks its sends against
//! the whole bound instead, with the fullest of the three windows. Its latest sends must
//! be within its part of what the bound leaves, in proportion to its requests, so that entries
//! whose counts are some hundred milliseconds old do not all take the same sends.
//!
//! NB: earlier windows don't raise the allowance of an entry that knows its own counts only, or
//! those of a part of the entries. Callers may have moved to entries with which this one has no
//! contact, which count the same requests in their last window.

use std::{ops::RangeInclusive, time::Duration};

use super::load_summary::HALF_WINDOWS;

/// Slices of half a window; the resolution at which requests and sends are counted.
const HALF_WINDOW_SLICES: u64 = 50;
/// Slices of a window.
const WINDOW_SLICES: u64 = 2 * HALF_WINDOW_SLICES;
/// Slices kept: those of the half windows for which requests are counted.
const KEPT_SLICES: usize = HALF_WINDOWS * HALF_WINDOW_SLICES as usize;

/// Fraction of the allowance that is used. The rest covers sends that arrive in a later slice than
/// the one they were counted in, and the scatter of the requests: each entry may have taken its
/// sends when it had the most requests. With 23 requests a window at each of 27 entries in two
/// halves that begin to send at once, 0.95 gave 1.06 of the bound, and 0.85 gives 0.95.
const USED_SHARE: f64 = 0.85;

/// Fraction of the allowance that is used with the counts of all entries. The rest covers sends that
/// arrive in a later slice than the one they were counted in, and the half windows by which the counts
/// are known: with 0.93, entries that began to send in a burst used up to 1.02 of the bound.
const POOLED_USED_SHARE: f64 = 0.9;
/// Time since the counts of other entries were received from which they are not used.
const MAX_PEER_COUNT_AGE: Duration = Duration::from_millis(500);
/// Time in which other entries may have sent what this entry does not know yet: that age, and up to
/// a second on the way through the tree.
const UNKNOWN_SENDS_TIME: Duration = Duration::from_millis(1_500);

/// Ends of the windows that are checked, in half windows from now. Windows that end later lose
/// requests while they keep the sends, so the last window alone is not enough.
const WINDOW_ENDS: [f64; 8] = [0.0, 0.25, 0.5, 0.75, 1.0, 1.25, 1.5, 1.75];

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

/// Counts of all other entries, the latest half window first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerCounts {
    /// Number of the other entries; each has a share of the extra.
    pub entries: u32,
    /// Requests.
    pub requests: [u32; HALF_WINDOWS],
    /// Further sends.
    pub further_sends: [u32; HALF_WINDOWS],
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
    slices: Vec<Slice>,
    newest: u64,
    /// Requests by half window as of the newest slice, the latest first.
    requests: [u32; HALF_WINDOWS],
    /// Counts of all other entries, and when they were received.
    peers: Option<(PeerCounts, Duration)>,
}

impl WindowBudget {
    /// Creates an empty window.
    pub fn new(limits: WindowLimits) -> Self {
        let slices = vec![Slice::default(); KEPT_SLICES];
        WindowBudget { limits, slices, newest: 0, requests: [0; HALF_WINDOWS], peers: None }
    }

    /// Replaces the limits after the entries that share them have changed.
    pub fn set_limits(&mut self, limits: WindowLimits) {
        self.limits = limits;
    }

    /// Counts a request.
    pub fn record_request(&mut self, now: Duration) {
        self.current(now).requests += 1;
        self.requests[0] += 1;
    }

    /// This entry's requests in the last half window and in those before it.
    pub fn requests_by_half_window(&mut self, now: Duration) -> [u32; HALF_WINDOWS] {
        self.current(now);
        self.requests
    }

    /// This entry's further sends in the last half window and in those before it.
    pub fn further_sends_by_half_window(&mut self, now: Duration) -> [u32; HALF_WINDOWS] {
        self.current(now);
        std::array::from_fn(|half| self.sum_half(half, |slice| slice.further_sends))
    }

    /// Applies the counts of all other entries; `None` if those of some entries are not known.
    pub fn apply_peers(&mut self, peers: Option<PeerCounts>, now: Duration) {
        self.peers = peers.map(|peers| (peers, now));
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
        let requests = self.requests_by_half_window(now).map(f64::from);
        if let Some((peers, at)) = self.peers
            && now.saturating_sub(at) < MAX_PEER_COUNT_AGE
        {
            return self.has_pooled_room(&requests, &peers, spare);
        }
        WINDOW_ENDS.into_iter().all(|end| {
            let basis = requests_until(&requests, end);
            let allowed = USED_SHARE * (self.limits.ratio * basis + self.limits.extra);
            self.further_sends(end) + 1.0 <= allowed * (1.0 - spare) + self.limits.rounding
        })
    }

    /// Whether one further send is within the bound over all entries.
    ///
    /// What the others have sent lately may not be known yet. So the sends of that time are limited to this entry's part of what the bound leaves without them.
    fn has_pooled_room(&self, own: &[f64; HALF_WINDOWS], peers: &PeerCounts, spare: f64) -> bool {
        let all: [f64; HALF_WINDOWS] =
            std::array::from_fn(|half| own[half] + f64::from(peers.requests[half]));
        let part = (own[0] + own[1]) / (all[0] + all[1]).max(1.0);
        let peer_sends = peers.further_sends.map(f64::from);
        let recent = f64::from(self.sum_sends(0..=self.recent_slices()));
        let extra = self.limits.extra * (1.0 + f64::from(peers.entries));
        WINDOW_ENDS.into_iter().all(|end| {
            let bound = self.limits.ratio * fullest_window(&all, end) + extra;
            let bound = POOLED_USED_SHARE * (1.0 - spare) * bound;
            let earlier = (self.further_sends(end) - recent).max(0.0);
            let left = bound - window_sum(&peer_sends, -end, 2.0 - end) - earlier;
            recent + 1.0 <= part * left.max(0.0) + self.limits.rounding
        })
    }

    /// Slices in which other entries may have sent what this one does not know yet.
    fn recent_slices(&self) -> u64 {
        let slice_length = self.limits.window.as_secs_f64() / WINDOW_SLICES as f64;
        let slices = UNKNOWN_SENDS_TIME.as_secs_f64() / slice_length.max(f64::MIN_POSITIVE);
        (slices as u64).min(WINDOW_SLICES)
    }

    /// Further sends so far in the window that ends `end` half windows from now.
    fn further_sends(&self, end: f64) -> f64 {
        let elapsed = WINDOW_SLICES - (end * HALF_WINDOW_SLICES as f64) as u64;
        // NB: one more slice, part of which lies in the window if it does not begin with a slice.
        f64::from(self.sum_sends(0..=elapsed.min(KEPT_SLICES as u64 - 1)))
    }

    fn sum_sends(&self, ages: RangeInclusive<u64>) -> u32 {
        ages.map(|age| self.slice(age).further_sends).sum()
    }

    fn slice(&self, age: u64) -> Slice {
        let number = self.newest.checked_sub(age);
        number.map_or_else(Slice::default, |number| self.slices[number as usize % KEPT_SLICES])
    }

    /// Sum over the slices of a half window.
    fn sum_half(&self, half: usize, count: impl Fn(Slice) -> u32) -> u32 {
        let newest_age = half as u64 * HALF_WINDOW_SLICES;
        let ages = newest_age..newest_age + HALF_WINDOW_SLICES;
        ages.map(|age| count(self.slice(age))).sum()
    }

    fn current(&mut self, now: Duration) -> &mut Slice {
        let slice_length = self.limits.window / WINDOW_SLICES as u32;
        let slice_number = (now.as_nanos() / slice_length.as_nanos().max(1)) as u64;
        let elapsed_slices = slice_number.saturating_sub(self.newest).min(KEPT_SLICES as u64);
        for step in 0..elapsed_slices {
            self.slices[(slice_number - step) as usize % KEPT_SLICES] = Slice::default();
        }
        self.newest = slice_number.max(self.newest);
        if elapsed_slices > 0 {
            self.requests = std::array::from_fn(|half| self.sum_half(half, |slice| slice.requests));
        }
        &mut self.slices[self.newest as usize % KEPT_SLICES]
    }
}

/// Requests that count for the window that ends `end` half windows from now: for the last window
/// its own; for windows that end later the most of three windows.
fn requests_until(requests: &[f64; HALF_WINDOWS], end: f64) -> f64 {
    if end == 0.0 { window_sum(requests, 0.0, 2.0) } else { fullest_window(requests, end) }
}

/// The most requests of the window that ends `end` half windows from now, of the window before it
/// and of the window half a window before it.
fn fullest_window(requests: &[f64; HALF_WINDOWS], end: f64) -> f64 {
    let window = |delay: f64| window_sum(requests, delay - end, delay - end + 2.0);
    window(0.0).max(window(1.0)).max(window(2.0))
}

/// Sum of the counts from one age to another, in half windows; half windows are divided evenly.
fn window_sum(counts: &[f64; HALF_WINDOWS], from: f64, to: f64) -> f64 {
    let overlap = |half: f64| (to.min(half + 1.0) - from.max(half)).clamp(0.0, 1.0);
    let halves = counts.iter().zip(0_u8..);
    halves.map(|(count, half)| count * overlap(f64::from(half))).sum()
}
