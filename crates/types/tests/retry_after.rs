//! Parsing of `retry-after` headers.

use std::time::Duration;

use pondwalk_types::parse_retry_after;

#[test]
fn seconds_with_fractions_are_parsed() {
    assert_eq!(parse_retry_after("2"), Some(Duration::from_secs(2)));
    assert_eq!(parse_retry_after(" 0.25 "), Some(Duration::from_millis(250)));
    assert_eq!(parse_retry_after("86400"), Some(Duration::from_secs(86_400)));
    let digits = "9".repeat(400);
    assert_eq!(parse_retry_after(&digits), Some(Duration::MAX));
}

#[test]
fn values_that_are_not_positive_seconds_are_ignored() {
    let dates = ["Wed, 21 Oct 2015 07:28:00 GMT"];
    let words = ["inf", "infinity", "+inf", "-inf", "NaN", "soon", ""];
    let numbers =
        ["0", "0.0", "-1", "+2", "1e9", "2E3", "1.2.3", ".", "0x10", "1_000", "2s", "1,5"];
    for text in dates.into_iter().chain(words).chain(numbers) {
        assert_eq!(parse_retry_after(text), None, "{text}");
    }
}
