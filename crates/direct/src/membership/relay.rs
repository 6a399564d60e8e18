//! Store calls that this entry makes on behalf of others.
//!
//! The store may reject some entries and serve others. A root without responses asks a few other
//! entries to call the store and to reply with the state that the response confirms, so the tree
//! below it stays as it is. The number of calls depends on the number of roots only.

use std::{cell::Cell, time::Duration};

use tokio::sync::Notify;

/// Store calls requested by other entries, which the task that follows the store makes.
#[derive(Debug, Default)]
pub struct RelayRequests {
    is_requested: Cell<bool>,
    requested: Notify,
    failures: Cell<u64>,
    failed: Notify,
    last_success: Cell<Option<Duration>>,
}

impl RelayRequests {
    /// Requests a store call; several requests at once lead to one call.
    pub fn request(&self) {
        self.is_requested.set(true);
        self.requested.notify_one();
    }

    /// Waits until a store call is requested.
    pub async fn next(&self) {
        while !self.is_requested.take() {
            self.requested.notified().await;
        }
    }

    /// Records that a store call requested by another entry succeeded.
    pub fn record_success(&self, now: Duration) {
        self.last_success.set(Some(now));
    }

    /// Whether such a call has succeeded at `from` or later.
    pub fn has_succeeded_since(&self, from: Duration) -> bool {
        self.last_success.get() >= Some(from)
    }

    /// Records that a store call failed.
    pub fn record_failure(&self) {
        self.failures.set(self.failures.get() + 1);
        self.failed.notify_waiters();
    }

    /// Waits until a store call fails.
    pub async fn next_failure(&self) {
        let before = self.failures.get();
        while self.failures.get() == before {
            self.failed.notified().await;
        }
    }
}
