//! Keys that callers present in `authorization` headers.
//!
//! A key is meant for the entry alone. Whether a request carries one follows from the request, not
//! from its route: a caller may present a key where none is needed, for example while the
//! configuration changes.

use hyper::{
    HeaderMap,
    header::{AUTHORIZATION, HeaderValue},
};

/// The key that a request presents: that of the first line in the scheme of keys.
pub fn presented_key(headers: &HeaderMap, key_scheme: &str) -> Option<String> {
    headers.get_all(AUTHORIZATION).iter().find_map(|line| {
        let (scheme, credentials) = split_scheme(line.as_bytes());
        let key = str::from_utf8(credentials).ok()?;
        is_scheme(scheme, key_scheme).then(|| key.to_owned())
    })
}

/// Removes the `authorization` header if it presents a key, whether or not that is in force.
///
/// Credentials in another scheme are between the caller and the backend server, unless they are a
/// key by `is_key`.
pub fn strip_keys(headers: &mut HeaderMap, key_scheme: &str, is_key: impl Fn(&str) -> bool) {
    let presents_key = |line: &HeaderValue| {
        // Intermediaries may have joined several lines.
        line.as_bytes().split(|byte| *byte == b',').any(|credentials| {
            let (scheme, token) = split_scheme(credentials);
            let mut texts =
                [scheme, token].into_iter().filter_map(|text| str::from_utf8(text).ok());
            is_scheme(scheme, key_scheme) || texts.any(&is_key)
        })
    };
    if headers.get_all(AUTHORIZATION).iter().any(presents_key) {
        headers.remove(AUTHORIZATION);
    }
}

/// Splits credentials into the scheme and what follows it.
fn split_scheme(credentials: &[u8]) -> (&[u8], &[u8]) {
    let credentials = credentials.trim_ascii();
    let end = credentials.iter().position(u8::is_ascii_whitespace).unwrap_or(credentials.len());
    let (scheme, token) = credentials.split_at(end);
    (scheme, token.trim_ascii())
}

fn is_scheme(scheme: &[u8], key_scheme: &str) -> bool {
    scheme.eq_ignore_ascii_case(key_scheme.as_bytes())
}
