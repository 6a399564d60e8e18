//! Age of the local state: how long ago the store last confirmed it.
//!
//! A key may be revoked at any moment. A process without contact to the store for longer than the
//! key bound must not accept keys, whatever the reason: rejected, partitioned, suspended or slow.
//! The timestamp is therefore the moment at which the confirming call was sent.
//!
//! A deployment that prefers availability to strictness gives keys a longer bound. Permanent
//! refusals, of an unknown key or route, always require the shorter bound, since an older state may
//! lack recent additions.
//!
//! While the configuration in the store is another than the one in force, since it can't be read, a
//! reply of the store confirms the rest of the state only: the configuration in force ages, as it
//! does without contact.

use std::time::Duration;

/// The newest configuration in the store, compared with the one in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoredConfiguration {
    /// It is the one in force.
    InForce,
    /// It has a lower version than the one in force.
    Older,
    /// It can't be read.
    Unreadable,
}

/// When the local state was last confirmed.
#[derive(Debug, Clone, Copy)]
pub struct Freshness {
    bound: Duration,
    key_bound: Duration,
    confirmed_at: Option<Duration>,
    configuration_confirmed_at: Option<Duration>,
    stored_configuration: StoredConfiguration,
}

impl Freshness {
    /// Creates a state without confirmation. After a confirmation the state counts as current for
    /// `bound`, and keys may be accepted for `key_bound`.
    pub fn new(bound: Duration, key_bound: Duration) -> Self {
        Freshness {
            bound,
            key_bound,
            confirmed_at: None,
            configuration_confirmed_at: None,
            stored_configuration: StoredConfiguration::InForce,
        }
    }

    /// Records that the store confirmed the state by a call sent at `sent_at`; the timestamp never
    /// moves back.
    pub fn confirm(&mut self, sent_at: Duration) {
        self.confirmed_at = self.confirmed_at.max(Some(sent_at));
        if self.stored_configuration == StoredConfiguration::InForce {
            self.configuration_confirmed_at = self.configuration_confirmed_at.max(Some(sent_at));
        }
    }

    /// Records which configuration the store holds.
    pub fn set_stored_configuration(&mut self, stored: StoredConfiguration) {
        self.stored_configuration = stored;
    }

    /// When the call that last confirmed the state was sent, if any did.
    pub fn confirmed_at(&self) -> Option<Duration> {
        self.confirmed_at
    }

    /// Age of the state; `None` if it was never confirmed.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.confirmed_at.map(|at| now.saturating_sub(at))
    }

    /// Age of the configuration in force; `None` if it was never confirmed.
    pub fn configuration_age(&self, now: Duration) -> Option<Duration> {
        self.configuration_confirmed_at.map(|at| now.saturating_sub(at))
    }

    /// Whether the configuration in force is recent enough for permanent refusals. One that can't
    /// be read may have added what is asked for.
    pub fn is_current(&self, now: Duration) -> bool {
        let is_recent = self.configuration_age(now).is_some_and(|age| age < self.bound);
        is_recent && self.stored_configuration != StoredConfiguration::Unreadable
    }

    /// Whether the configuration in force is recent enough to accept keys.
    pub fn accepts_keys(&self, now: Duration) -> bool {
        self.configuration_age(now).is_some_and(|age| age < self.key_bound)
    }
}
