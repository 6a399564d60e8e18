//! Age of the local state: how long ago the store last confirmed it.
//!
//! A key may be revoked at any moment. A process without contact to the store for longer than the
//! key bound must not accept keys, whatever the reason: rejected, partitioned, suspended or slow.
//! The timestamp is therefore the moment at which the confirming call was sent.
//!
//! A deployment that prefers availability to strictness gives keys a longer bound. Permanent
//! refusals, of an unknown key or route, always require the shorter bound, since an older state may
//! lack recent additions.

use std::time::Duration;

/// When the local state was last confirmed.
#[derive(Debug, Clone, Copy)]
pub struct Freshness {
    bound: Duration,
    key_bound: Duration,
    confirmed_at: Option<Duration>,
}

impl Freshness {
    /// Creates a state without confirmation. After a confirmation the state counts as current for
    /// `bound`, and keys may be accepted for `key_bound`.
    pub fn new(bound: Duration, key_bound: Duration) -> Self {
        Freshness { bound, key_bound, confirmed_at: None }
    }

    /// Records that the store confirmed the state by a call sent at `sent_at`; the timestamp never
    /// moves back.
    pub fn confirm(&mut self, sent_at: Duration) {
        self.confirmed_at = self.confirmed_at.max(Some(sent_at));
    }

    /// When the call that last confirmed the state was sent, if any did.
    pub fn confirmed_at(&self) -> Option<Duration> {
        self.confirmed_at
    }

    /// Age of the state; `None` if it was never confirmed.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.confirmed_at.map(|at| now.saturating_sub(at))
    }

    /// Whether the state is recent enough for permanent refusals.
    pub fn is_current(&self, now: Duration) -> bool {
        self.age(now).is_some_and(|age| age < self.bound)
    }

    /// Whether the state is recent enough to accept keys.
    pub fn accepts_keys(&self, now: Duration) -> bool {
        self.age(now).is_some_and(|age| age < self.key_bound)
    }
}
