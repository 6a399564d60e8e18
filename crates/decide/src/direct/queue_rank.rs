//! The rank of a request in the queue of a backend server.
//!
//! Servers read prompts one after the other, so a short one behind a long one waits for all of
//! it. Shortest first keeps the mean wait least (Smith's rule), and the smallest model's answers,
//! on which the rest of a cascade waits, come soonest.

/// Rank at a backend server, 0 first, as far as 9.
pub type QueueRank = u8;

/// Rank of a stream that goes on after a break; its caller waits in the middle of an answer.
pub const RESUMED_RANK: QueueRank = 0;
/// Rank of the shortest requests and of the longest.
const BOUNDS: (f64, f64) = (1.0, 8.0);
/// Expected time in milliseconds at which ranks begin; each one more stands for twice the time.
const FIRST_MS: f64 = 25.0;

/// Rank of a request whose answer is expected to begin after this time on an idle server.
pub fn queue_rank(expected_ms: f64) -> QueueRank {
    let (first, last) = BOUNDS;
    (expected_ms / FIRST_MS).log2().clamp(first, last) as QueueRank
}
