//! Decimal numbers in headers.

/// Reads a decimal number without sign and exponent, such as `1.5`.
///
/// NB: the language's own reading takes `inf`, `-1` and `1e9` for numbers too.
pub fn parse_decimal(text: &str) -> Option<f64> {
    let text = text.trim();
    if !text.chars().all(|one| one.is_ascii_digit() || one == '.') {
        return None;
    }
    text.parse().ok()
}
