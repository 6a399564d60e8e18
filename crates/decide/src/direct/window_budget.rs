//! Limits the sends beyond each request's first over a sliding window.
//!
//! The bound over all entries: in any window, the further sends are at most a ratio of the requests
//! plus a fixed extra. The requests are those of the window, of the window before it or of the
//! window half a window before it, whichever has the most.
//!
//! No entry knows what the others have sent, so each keeps a bound of its own that adds up. In
//! every window, its further sends are at most
//!
//! ```text
//! ratio * (CURRENT_SHARE * requests in the window so far + SAVED_SHARE * requests in the window
//! before it) + its share of the extra when the window began
//! ```
//!
//! An entry that was not listed yet when the window began may use [`FIRST_SHARE`] of its share.
//!
//! The weights are the same at all entries, so the sum over any entries is a weighted mean of the
//! requests of two windows, which is at most the larger of the two, wherever callers move.
//!
//! NB: the most of several windows does not add up. Entries whose callers have moved to others would
//! use their own fullest window, and the others theirs, for the same requests.

use std::time::Duration;

use super::load_summary::HALF_WINDOWS;

/// Slices of a window; the resolution at which requests and sends are counted.
const WINDOW_SLICES: usize = 400;
/// Slices of half a window.
const HALF_WINDOW_SLICES: usize = WINDOW_SLICES / 2;
/// Slices by which the sends of a window may be counted too early: one since a window may begin
/// within a slice, the others since a send reaches its server some time after it is counted.
const MARGIN_SLICES: usize = 4;
/// Slices between the taking of a send and the send; the rest of the margin is for its way to the
/// server.
const MAX_DELAY_SLICES: u64 = MARGIN_SLICES as u64 / 2;
/// Slices with which the checked windows begin.
const CHECKED_SLICES: usize = WINDOW_SLICES + MARGIN_SLICES;
/// Slices kept: those of the longest checked window and of the window before it.
const KEPT_SLICES: usize = CHECKED_SLICES + WINDOW_SLICES;

/// Share of the ratio that a request allows at once.
const CURRENT_SHARE: f64 = 0.85;
/// Share of the ratio that a request allows in a window that begins after it. With even traffic,
/// both shares of [`MARGIN_SLICES`] more than a window still fit the ratio.
const SAVED_SHARE: f64 = 1.0 - CURRENT_SHARE - MARGIN_SLICES as f64 / WINDOW_SLICES as f64;

/// Share of the extra that an entry may use in windows which began before it was listed. Others may
/// have used the rest, or an earlier process of this entry. The list may grow from one entry to
/// 1,000 within a window, or each entry restart four times.
const FIRST_SHARE: f64 = 0.125;

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

#[derive(Debug, Clone, Copy)]
struct Slice {
    requests: u32,
    further_sends: u32,
    /// [`WindowLimits::extra`] when the slice began.
    extra: f64,
}

impl Slice {
    fn empty(limits: &WindowLimits) -> Self {
        Slice { requests: 0, further_sends: 0, extra: limits.extra }
    }
}

/// Requests and further sends of one service over a sliding window.
#[derive(Debug, Clone)]
pub struct WindowBudget {
    limits: WindowLimits,
    slices: Vec<Slice>,
    newest: u64,
    /// Requests in the last window.
    last_requests: u32,
}

impl WindowBudget {
    /// Creates an empty window.
    pub fn new(limits: WindowLimits) -> Self {
        let slices = vec![Slice::empty(&limits); KEPT_SLICES];
        WindowBudget { limits, slices, newest: 0, last_requests: 0 }
    }

    /// Replaces the share of the extra after the entries that share it have changed. Windows that
    /// have begun keep the share before, since the other entries may have used theirs.
    pub fn set_share(&mut self, extra: f64, rounding: f64, now: Duration) {
        self.current(now);
        self.limits = WindowLimits { extra, rounding, ..self.limits };
    }

    /// Counts a request.
    pub fn record_request(&mut self, now: Duration) {
        self.current(now).requests += 1;
        self.last_requests += 1;
    }

    /// This entry's requests in the last half window and in those before it.
    pub fn requests_by_half_window(&mut self, now: Duration) -> [u32; HALF_WINDOWS] {
        self.current(now);
        let mut slices = self.latest_first();
        std::array::from_fn(|_| {
            let half = slices.by_ref().take(HALF_WINDOW_SLICES);
            half.map(|slice| slice.requests).sum()
        })
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

    /// Puts a send back that was taken at `taken_at` and will not be made.
    pub fn put_back(&mut self, taken_at: Duration) {
        let number = self.slice_number(taken_at);
        if number + KEPT_SLICES as u64 > self.newest {
            let slice = &mut self.slices[number as usize % KEPT_SLICES];
            slice.further_sends = slice.further_sends.saturating_sub(1);
        }
    }

    /// Whether a send that was taken at `taken_at` still counts for the windows that it reaches its
    /// server in, if it is made now. Otherwise it has to be taken again.
    pub fn covers(&self, taken_at: Duration, now: Duration) -> bool {
        self.slice_number(now) <= self.slice_number(taken_at) + MAX_DELAY_SLICES
    }

    /// Whether one further send could be taken.
    pub fn has_room(&mut self, now: Duration, spare: f64) -> bool {
        self.current(now);
        let WindowLimits { ratio, extra, rounding, .. } = self.limits;
        // Requests and further sends since a slice began, and the requests of a window before it.
        let (mut requests, mut further_sends) = (0, 0);
        let mut earlier_requests = self.last_requests;
        let mut index = self.newest as usize % KEPT_SLICES;
        let mut earlier_index = (index + KEPT_SLICES - WINDOW_SLICES) % KEPT_SLICES;
        (0..CHECKED_SLICES).all(|_| {
            let slice = self.slices[index];
            requests += slice.requests;
            further_sends += slice.further_sends;
            earlier_requests += self.slices[earlier_index].requests;
            earlier_requests -= slice.requests;
            index = preceding(index);
            earlier_index = preceding(earlier_index);
            let basis =
                CURRENT_SHARE * f64::from(requests) + SAVED_SHARE * f64::from(earlier_requests);
            let allowed = ratio * basis + slice.extra.max(FIRST_SHARE * extra);
            f64::from(further_sends) + 1.0 <= allowed * (1.0 - spare) + rounding
        })
    }

    /// The kept slices, the latest first.
    fn latest_first(&self) -> impl Iterator<Item = &Slice> {
        let (wrapped, oldest) = self.slices.split_at(self.newest as usize % KEPT_SLICES + 1);
        wrapped.iter().rev().chain(oldest.iter().rev())
    }

    fn slice_number(&self, at: Duration) -> u64 {
        let slice_length = self.limits.window / WINDOW_SLICES as u32;
        (at.as_nanos() / slice_length.as_nanos().max(1)) as u64
    }

    fn current(&mut self, now: Duration) -> &mut Slice {
        let slice_number = self.slice_number(now);
        if slice_number >= self.newest + KEPT_SLICES as u64 {
            self.slices.fill(Slice::empty(&self.limits));
            self.last_requests = 0;
        } else {
            for number in self.newest + 1..=slice_number {
                let index = number as usize % KEPT_SLICES;
                let leaving = (index + KEPT_SLICES - WINDOW_SLICES) % KEPT_SLICES;
                self.last_requests -= self.slices[leaving].requests;
                self.slices[index] = Slice::empty(&self.limits);
            }
        }
        self.newest = slice_number.max(self.newest);
        &mut self.slices[self.newest as usize % KEPT_SLICES]
    }
}

/// Index of the slice before the one at this index.
fn preceding(index: usize) -> usize {
    if index == 0 { KEPT_SLICES - 1 } else { index - 1 }
}
