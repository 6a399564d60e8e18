//! What a backend server asks of this entry in the head of an answer, whatever the answer is.

use std::time::Duration;

use hyper::{
    HeaderMap, StatusCode,
    header::{HeaderName, RETRY_AFTER},
};
use pondwalk_decide::direct::{RateLimit, ReportedRateLimit};
use pondwalk_types::parse_retry_after;

use crate::dialect::Dialect;

/// What a backend server asks of this entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ServerSignals {
    /// It leaves: it wants no further requests in this life.
    pub is_draining: bool,
    /// It wants no request for so long.
    pub backoff: Option<Duration>,
    /// What it says of its rate limit.
    pub limit: ReportedRateLimit,
}

impl ServerSignals {
    /// Reads the head of an answer; `not_run` tells whether the server says that it did not run the
    /// request, `is_authentic` whether the answer is its own.
    ///
    /// NB: a 421 comes from whoever listens there now, which is not the server that was meant.
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
        // NB: a 429 that ran is an answer to the caller, about the caller's own rate.
        let asks_entry = status == StatusCode::SERVICE_UNAVAILABLE
            || (not_run && status == StatusCode::TOO_MANY_REQUESTS);
        let backoff =
            header_text(headers, &RETRY_AFTER).filter(|_| asks_entry).and_then(parse_retry_after);
        let is_draining =
            header_text(headers, &dialect.leaving).is_some_and(|header_text| header_text == "1");
        let limit = reported_limit(dialect, headers, status.is_success() && is_authentic);
        ServerSignals { is_draining, backoff, limit }
    }
}

/// What a head says of its server's rate limit; `is_whole_word` tells whether a head without a limit lifts it.
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
