//! Permits that this entry holds for one server with a rate limit.

use std::{collections::VecDeque, time::Duration};

/// Time for which a permit may be used. A connection opens within it; older permits would allow
/// requests to bunch.
pub const PERMIT_VALIDITY: Duration = Duration::from_millis(250);
/// Time after which an unanswered permit request counts as lost.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval at which a pending permit request is checked.
const REQUEST_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Permits for one server.
#[derive(Debug, Default)]
pub struct ServerPermits {
    /// When each permit was granted.
    granted_at: VecDeque<Duration>,
    requested_at: Option<Duration>,
    /// Until when no permit is to be requested.
    refused_until: Duration,
}

impl ServerPermits {
    /// Whether a permit is available.
    pub fn is_available(&self, now: Duration) -> bool {
        self.granted_at.back().is_some_and(|at| is_valid(*at, now))
    }

    /// Whether a permit may be requested.
    pub fn may_be_requested(&self, now: Duration) -> bool {
        let is_pending = self.requested_at.is_some_and(|at| now < at + REQUEST_TIMEOUT);
        !is_pending && now >= self.refused_until
    }

    /// Records that a permit is requested.
    pub fn on_requested(&mut self, now: Duration) {
        self.requested_at = Some(now);
    }

    /// Records a granted permit.
    pub fn on_granted(&mut self, now: Duration) {
        self.requested_at = None;
        self.granted_at.retain(|at| is_valid(*at, now));
        self.granted_at.push_back(now);
    }

    /// Records a refusal; no permit will be granted before `until`.
    pub fn on_refused(&mut self, until: Duration) {
        self.requested_at = None;
        self.refused_until = until;
    }

    /// Uses a permit and returns when it was granted.
    pub fn take(&mut self, now: Duration) -> Option<Duration> {
        while let Some(at) = self.granted_at.pop_front() {
            if is_valid(at, now) {
                return Some(at);
            }
        }
        None
    }

    /// When a permit may be available.
    pub fn next_available_at(&self, now: Duration) -> Duration {
        self.refused_until.max(now + REQUEST_POLL_INTERVAL)
    }
}

/// Whether a permit granted at `granted_at` may still be used.
pub fn is_valid(granted_at: Duration, now: Duration) -> bool {
    now < granted_at + PERMIT_VALIDITY
}
