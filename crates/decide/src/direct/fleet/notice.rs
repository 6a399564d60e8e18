//! Requests of one backend server to this entry: to stop sending while it drains, or for a backoff.
//!
//! Both are decisions of the server that bind this entry, so they are not weights in its cost. They
//! belong to one incarnation of the server, and outlive its record in the store, which may lapse
//! and return.

use std::{net::SocketAddr, time::Duration};

use pondwalk_types::{MAX_SERVER_BACKOFF, VersionId};
use serde::{Deserialize, Serialize};

use super::{
    rate_limit::{RateLimit, RateLimitState},
    server::ServerInfo,
};

/// Time for which a server counts as draining after its latest report. Servers keep serving for
/// some seconds after it and then exit; a server that is still listed after ten minutes reported it
/// wrongly, or never exited. A wrong report costs this entry one server for that long. A shorter
/// time would send requests to servers that take minutes to exit.
const DRAINING_TIMEOUT: Duration = Duration::from_secs(600);
/// Number of consecutive failed connections to the address of a draining server, over at least this
/// time, after which its process has exited. A running server may reset a connection now and then.
const MIN_FAILED_LISTEN_CHECKS: u32 = 3;
const MIN_FAILED_LISTEN_TIME: Duration = Duration::from_secs(1);
/// Number of backoffs in a row, without an accepted request between them, after which a server
/// counts as refusing everything. A server that refuses half of its requests does so to an entry
/// with little work now and then.
const MIN_REFUSING_BACKOFFS: u32 = 3;
/// Time after the last of these backoffs for which the server counts as refusing. With work to do,
/// the server is tried at once.
const REFUSING_TIMEOUT: Duration = Duration::from_secs(5);
/// Requests without a first byte that a server may have from this entry at the end of a backoff.
const INITIAL_MAX_WAITING: u32 = 1;

/// Distinguishes the incarnations of a server under one identity.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerIncarnation {
    born_ms: Option<u64>,
    address: SocketAddr,
    version: VersionId,
}

impl ServerIncarnation {
    /// The incarnation that the store lists.
    pub fn of(info: &ServerInfo) -> Self {
        ServerIncarnation {
            born_ms: info.born_ms,
            address: info.address,
            version: info.version.clone(),
        }
    }

    /// The same incarnation as it is listed now; keeps a start time that is no longer listed.
    pub fn updated_with(self, reported: ServerIncarnation) -> Self {
        ServerIncarnation { born_ms: reported.born_ms.or(self.born_ms), ..reported }
    }

    /// Whether both are the same incarnation, as far as is known. A server keeps address and
    /// version for its incarnation; if it reports no start time, it has a new identity after each
    /// restart.
    pub fn matches(&self, other: &ServerIncarnation) -> bool {
        let start_times = self.born_ms.zip(other.born_ms);
        let is_same_start = start_times.is_none_or(|(one, other)| one == other);
        is_same_start && self.address == other.address && self.version == other.version
    }
}

/// Why a server that is listed as ready gets no requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoticeKind {
    /// The server is draining.
    Draining,
    /// The server asked for a backoff.
    Backoff,
}

/// Active requests of one server to this entry.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Notice {
    /// When the server last reported that it is draining.
    draining_at: Option<Duration>,
    /// End of the latest backoff.
    backoff_until: Duration,
    /// Maximum number of requests without a first byte after a backoff.
    max_waiting: Option<u32>,
    /// Number of backoffs in a row without an accepted request between them, and when the first
    /// began.
    consecutive_backoffs: Option<(u32, Duration)>,
    /// Number of consecutive failed listen checks since the server began to drain, and when the
    /// first was.
    not_listening: Option<(u32, Duration)>,
    /// Reported rate limit.
    rate_limit_state: RateLimitState,
}

impl Notice {
    /// Records a report that the server is draining. Returns whether this is new.
    pub fn on_draining(&mut self, now: Duration) -> bool {
        let is_new = !self.is_draining(now);
        self.draining_at = Some(now);
        // NB: a server that still exists after the timeout is tried with one request.
        self.max_waiting = Some(INITIAL_MAX_WAITING);
        is_new
    }

    /// Records that nothing listens at the address of the draining server.
    pub fn record_not_listening(&mut self, now: Duration) {
        let (checks, since) = self.not_listening.unwrap_or((0, now));
        self.not_listening = Some((checks.saturating_add(1), since));
    }

    /// Records that a process listens at the address. If nothing did for long before, it is another
    /// process, and the draining incarnation is gone. Returns whether this is so.
    pub fn record_listening(&mut self, now: Duration) -> bool {
        let failed_checks = self.not_listening.take();
        let has_restarted = failed_checks.is_some_and(|(checks, since)| {
            checks >= MIN_FAILED_LISTEN_CHECKS && now >= since + MIN_FAILED_LISTEN_TIME
        });
        if has_restarted {
            self.draining_at = None;
        }
        has_restarted
    }

    /// Records that the server asked for a backoff of `requested`; `draw` (0 to 1) spreads the
    /// entries that received the same request. Returns the end of the backoff.
    ///
    /// NB: a later, shorter request does not shorten an earlier one; both apply.
    pub fn on_backoff(&mut self, requested: Duration, draw: f64, now: Duration) -> Duration {
        if self.backoff_until(now).is_none() {
            let (backoffs, since) = self.consecutive_backoffs.unwrap_or((0, now));
            self.consecutive_backoffs = Some((backoffs.saturating_add(1), since));
        }
        let requested = requested.min(MAX_SERVER_BACKOFF);
        let until = now + requested + backoff_jitter(requested, draw);
        self.backoff_until = self.backoff_until.max(until);
        self.max_waiting = Some(INITIAL_MAX_WAITING);
        self.backoff_until
    }

    /// Whether the server has reported that it is draining, and the report has not timed out.
    pub fn is_draining(&self, now: Duration) -> bool {
        self.draining_at.is_some_and(|at| now < at + DRAINING_TIMEOUT)
    }

    /// End of the current backoff, if there is one.
    pub fn backoff_until(&self, now: Duration) -> Option<Duration> {
        Some(self.backoff_until).filter(|until| now < *until)
    }

    /// Why the server gets no requests, if it gets none.
    pub fn active_notice(&self, now: Duration) -> Option<NoticeKind> {
        if self.is_draining(now) {
            return Some(NoticeKind::Draining);
        }
        self.backoff_until(now).map(|_| NoticeKind::Backoff)
    }

    /// Since when the server has refused everything, if it has done so several times in a row.
    pub fn refusing_since(&self, now: Duration) -> Option<Duration> {
        let (backoffs, since) = self.consecutive_backoffs?;
        let is_recent = now < self.backoff_until + REFUSING_TIMEOUT;
        (is_recent && backoffs >= MIN_REFUSING_BACKOFFS).then_some(since)
    }

    /// Whether one more request may wait beside `waiting` others.
    pub fn has_room(&self, waiting: u32) -> bool {
        self.max_waiting.is_none_or(|max_waiting| waiting < max_waiting)
    }

    /// Records that an answer began. Since the server accepts requests, twice as many may wait at
    /// once, up to its slots.
    ///
    /// NB: otherwise all requests that waited for the end of a backoff would arrive at that moment,
    /// and the server would ask for the next one.
    pub fn on_answer_started(&mut self, slots: u32, now: Duration) {
        if self.active_notice(now).is_some() {
            return;
        }
        self.consecutive_backoffs = None;
        self.draining_at = None;
        self.max_waiting = self
            .max_waiting
            .map(|max_waiting| max_waiting * 2)
            .filter(|max_waiting| *max_waiting < slots);
    }

    /// Records that the server refused a request without asking for anything.
    pub fn on_refused(&mut self) {
        self.max_waiting = self.max_waiting.map(|_| INITIAL_MAX_WAITING);
    }

    /// Reported rate limit, if any.
    pub fn rate_limit(&self) -> Option<RateLimit> {
        self.rate_limit_state.limit()
    }

    /// State of the reported rate limit.
    pub fn rate_limit_state(&mut self) -> &mut RateLimitState {
        &mut self.rate_limit_state
    }

    /// Whether nothing in the notice applies any more.
    pub fn is_expired(&self, now: Duration) -> bool {
        self.active_notice(now).is_none() && !self.rate_limit_state.is_recent(now)
    }
}

/// Largest jitter as a fraction of the backoff, and the largest jitter.
const JITTER_FACTOR: f64 = 0.25;
const MAX_JITTER: Duration = Duration::from_secs(1);

/// Jitter by which an entry or a caller returns after the end of a backoff, so that those that
/// received the same backoff do not return together; `draw` is random from 0 to 1.
pub fn backoff_jitter(backoff: Duration, draw: f64) -> Duration {
    backoff.mul_f64(JITTER_FACTOR).min(MAX_JITTER).mul_f64(draw)
}
