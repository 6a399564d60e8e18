//! Rank of a request in the queue of a backend server.
//!
//! Servers prefill prompts one after the other, so a short prompt behind a long one waits for all
//! of it. Shortest first minimizes the mean wait (Smith's rule), and answers of the smallest model,
//! on which the rest of a cascade waits, come soonest.

/// Rank at a backend server, from 0 (first) to 9.
pub type QueueRank = u8;

/// Rank of a stream that is resumed after a failure; its caller waits in the middle of an answer.
pub const RESUMED_RANK: QueueRank = 0;
/// Rank of the shortest and of the longest requests.
const RANK_BOUNDS: (f64, f64) = (1.0, 8.0);
/// Expected time to first byte of rank 0, in milliseconds; each further rank stands for twice the
/// time.
const FIRST_RANK_MS: f64 = 25.0;

/// Rank of a request with this expected time to first byte on an idle server, in milliseconds.
pub fn queue_rank(expected_ms: f64) -> QueueRank {
    let (first, last) = RANK_BOUNDS;
    (expected_ms / FIRST_RANK_MS).log2().clamp(first, last) as QueueRank
}
