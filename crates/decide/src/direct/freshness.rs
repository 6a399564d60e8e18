//! How long ago the store last confirmed what this process believes.
//!
//! A key may be withdrawn at any moment. A process that has not heard from the store for longer
//! than the key bound must not honour keys, however it was kept from hearing: turned away, cut
//! off, paused or slowed. The stamp is therefore the moment at which the confirming call was sent.
//!
//! A deployment that puts service before strictness gives keys a longer bound. What is refused
//! for good, an unknown key or route, always rests on the shorter one: a state that is older
//! might lack what was added meanwhile.

use std::time::Duration;

/// When the state held was last confirmed.
#[derive(Debug, Clone, Copy)]
pub struct Freshness {
    bound: Duration,
    key_bound: Duration,
    confirmed_at: Option<Duration>,
}

impl Freshness {
    /// Nothing is confirmed yet. After a confirmation the state counts as the store's own for
    /// `bound`, and keys may be honoured for `key_bound`.
    pub fn new(bound: Duration, key_bound: Duration) -> Self {
        Freshness { bound, key_bound, confirmed_at: None }
    }

    /// The store confirmed the state by a call sent at `sent`; the stamp never moves back.
    pub fn confirm(&mut self, sent: Duration) {
        self.confirmed_at = self.confirmed_at.max(Some(sent));
    }

    /// When the call that last confirmed the state was sent, if any did.
    pub fn confirmed_at(&self) -> Option<Duration> {
        self.confirmed_at
    }

    /// Age of the state, if any was ever confirmed.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.confirmed_at.map(|at| now.saturating_sub(at))
    }

    /// Whether the state counts as the store's own, so that refusals for good may rest on it.
    pub fn is_current(&self, now: Duration) -> bool {
        self.age(now).is_some_and(|age| age < self.bound)
    }

    /// Whether keys may be honoured.
    pub fn accepts_keys(&self, now: Duration) -> bool {
        self.age(now).is_some_and(|age| age < self.key_bound)
    }
}
