//! Permits of this entry for one server that names a rate limit.

use std::{collections::VecDeque, time::Duration};

/// Time for which a permit may be used. A connection opens within it; one that was given longer ago would let
/// requests bunch.
const PERMIT_LIFE: Duration = Duration::from_millis(250);
/// Time after which a question for a permit is taken for lost.
const ASK_LIMIT: Duration = Duration::from_secs(1);
/// Time after which it is looked again whether a permit that was asked for has come.
const ASK_LOOK: Duration = Duration::from_millis(5);

/// Permits for one server.
#[derive(Debug, Default)]
pub struct ServerPermits {
    /// When each was given.
    granted_at: VecDeque<Duration>,
    requested_at: Option<Duration>,
    /// Until when none is to be asked for.
    refused_until: Duration,
}

impl ServerPermits {
    /// Whether one is at hand.
    pub fn is_available(&self, now: Duration) -> bool {
        self.granted_at.back().is_some_and(|at| holds(*at, now))
    }

    /// Whether one may be asked for.
    pub fn may_be_requested(&self, now: Duration) -> bool {
        let is_asked_for = self.requested_at.is_some_and(|at| now < at + ASK_LIMIT);
        !is_asked_for && now >= self.refused_until
    }

    /// One is asked for.
    pub fn on_requested(&mut self, now: Duration) {
        self.requested_at = Some(now);
    }

    /// One was given.
    pub fn on_granted(&mut self, now: Duration) {
        self.requested_at = None;
        self.granted_at.retain(|at| holds(*at, now));
        self.granted_at.push_back(now);
    }

    /// None was given, and none will be before `until`.
    pub fn on_refused(&mut self, until: Duration) {
        self.requested_at = None;
        self.refused_until = until;
    }

    /// Uses one, and tells when it was given.
    pub fn take(&mut self, now: Duration) -> Option<Duration> {
        while let Some(at) = self.granted_at.pop_front() {
            if holds(at, now) {
                return Some(at);
            }
        }
        None
    }

    /// When there may be one.
    pub fn next_available_at(&self, now: Duration) -> Duration {
        self.refused_until.max(now + ASK_LOOK)
    }
}

/// Whether a permit that was given then may still be used.
pub fn holds(given: Duration, now: Duration) -> bool {
    now < given + PERMIT_LIFE
}
