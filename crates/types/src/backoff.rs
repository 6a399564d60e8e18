//! How a backend server says for how long it wants no requests.

use std::time::Duration;

use crate::parse_decimal;

/// Longest time for which one word keeps requests from a server. One that asks for hours or years would be lost
/// for good; asked again after five minutes, it can repeat its word, and gets one request for each of them.
pub const MAX_SERVER_BACKOFF: Duration = Duration::from_secs(300);

/// Reads the seconds of a `retry-after`, with fractions. A date, a number with a sign or an exponent and what is
/// no number ask for nothing that can be kept to, and leave the pause to the reader.
pub fn parse_retry_after(text: &str) -> Option<Duration> {
    let seconds = parse_decimal(text)?;
    if seconds <= 0.0 {
        return None;
    }
    // NB: a number too large for a duration is as good as the largest.
    Some(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
}
