//! Backoff requested by a backend server with `retry-after`.

use std::time::Duration;

use crate::parse_decimal;

/// Longest backoff that a single response can request. A server that asks for hours or years would otherwise be
/// lost permanently; with this limit it receives one request every five minutes and can repeat its backoff.
pub const MAX_SERVER_BACKOFF: Duration = Duration::from_secs(300);

/// Parses a `retry-after` header given in seconds, possibly fractional. Returns `None` for a date, for zero, and for a
/// number with a sign or an exponent; the caller then chooses its own backoff.
pub fn parse_retry_after(text: &str) -> Option<Duration> {
    let seconds = parse_decimal(text)?;
    if seconds <= 0.0 {
        return None;
    }
    // NB: a number too large for a duration saturates.
    Some(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
}
