//! Signals that a backend server sends in response headers, independent of the response itself.

use std::time::Duration;

use hyper::{
    HeaderMap, StatusCode,
    header::{HeaderName, RETRY_AFTER},
};
use pondwalk_decide::direct::{RateLimit, ReportedRateLimit};
use pondwalk_types::parse_retry_after;

use crate::dialect::Dialect;

/// Signals of a backend server to this entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ServerSignals {
    /// The server is draining: it accepts no new requests in this incarnation.
    pub is_draining: bool,
    /// The server requests no traffic for this long.
    pub backoff: Option<Duration>,
    /// What the headers say about the server's rate limit.
    pub limit: ReportedRateLimit,
}

impl ServerSignals {
    /// Reads the response headers; `not_run` is whether the server reports that it didn't run the
    /// request, `is_authentic` whether the response is the server's own.
    ///
    /// A 421 comes from whichever process listens at the address now, not from the intended server.
    pub fn from_response(
        dialect: &Dialect,
        status: StatusCode,
        headers: &HeaderMap,
        not_run: bool,
        is_authentic: bool,
    ) -> ServerSignals {
        if status == StatusCode::MISDIRECTED_REQUEST {
            return ServerSignals::default();
        }
        // A 429 to a request that ran is addressed to the caller and concerns the caller's own
        // rate.
        let concerns_entry = status == StatusCode::SERVICE_UNAVAILABLE
            || (not_run && status == StatusCode::TOO_MANY_REQUESTS);
        let backoff = header_text(headers, &RETRY_AFTER)
            .filter(|_| concerns_entry)
            .and_then(parse_retry_after);
        let is_draining = header_text(headers, &dialect.leaving).is_some_and(|value| value == "1");
        let limit = reported_limit(dialect, headers, status.is_success() && is_authentic);
        ServerSignals { is_draining, backoff, limit }
    }
}

/// The rate limit reported by the headers; `is_authoritative` is whether a missing header lifts the
/// limit.
fn reported_limit(
    dialect: &Dialect,
    headers: &HeaderMap,
    is_authoritative: bool,
) -> ReportedRateLimit {
    if !headers.contains_key(&dialect.limit) {
        return if is_authoritative {
            ReportedRateLimit::NoLimit
        } else {
            ReportedRateLimit::NotReported
        };
    }
    let limit = header_text(headers, &dialect.limit).map(RateLimit::try_from);
    limit.and_then(Result::ok).map_or(ReportedRateLimit::NotReported, ReportedRateLimit::Limit)
}

fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    Some(headers.get(name)?.to_str().ok()?.trim())
}
