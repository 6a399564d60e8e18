//! Decimal numbers in headers.

/// Parses a decimal number without sign and exponent, such as `1.5`.
///
/// NB: `f64::from_str` also accepts `inf`, `-1` and `1e9`.
pub fn parse_decimal(text: &str) -> Option<f64> {
    let text = text.trim();
    if !text.chars().all(|c| c.is_ascii_digit() || c == '.') {
        return None;
    }
    text.parse().ok()
}
