//! A condition that becomes true once.

use std::cell::Cell;

use tokio::sync::Notify;

/// A condition that becomes true once and stays so.
#[derive(Debug, Default)]
pub struct Latch {
    is_set: Cell<bool>,
    changed: Notify,
}

impl Latch {
    /// Makes the condition true.
    pub fn set(&self) {
        self.is_set.set(true);
        self.changed.notify_waiters();
    }

    /// Whether the condition is true.
    pub fn is_set(&self) -> bool {
        self.is_set.get()
    }

    /// Waits until the condition is true.
    pub async fn wait(&self) {
        let changed = self.changed.notified();
        if !self.is_set.get() {
            changed.await;
        }
    }
}
