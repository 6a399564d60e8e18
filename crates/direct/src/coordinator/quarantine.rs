//! Stores the quarantined features, for entries that start when no running entry remembers them.

use std::{
    cell::{Cell, RefCell},
    time::Duration,
};

use super::Coordinator;
use crate::{
    event_log::LogPriority,
    metrics::StoreCause,
    quarantine::{MAX_STORED_CRASHES, QUARANTINE_KEY, QuarantineEvent, StoredQuarantine},
};

/// Minimum time between two writes; features quarantined at about the same time share a write.
const MIN_WRITE_INTERVAL: Duration = Duration::from_secs(2);

/// The stored quarantine record, and when this entry may write it.
#[derive(Debug, Default)]
pub struct QuarantineWriter {
    stored: RefCell<StoredQuarantine>,
    /// Since when crashes have been missing from the record.
    due_since: Cell<Option<Duration>>,
    /// Earliest time of the next write.
    next_write_at: Cell<Duration>,
}

impl Coordinator {
    /// Forgets the record held by the store.
    pub(super) fn clear_quarantine_record(&self) {
        self.quarantine_writer.stored.take();
    }

    /// Applies the record held by the store.
    pub(super) fn apply_quarantine_record(&self, value: &[u8]) {
        let stored: StoredQuarantine = match postcard::from_bytes(value) {
            Ok(stored) => stored,
            // Written by a foreign writer or another release; the next write replaces it.
            Err(error) => return self.log_quarantine_error(error.to_string()),
        };
        self.core.receive_crashes(&stored.ends, stored.age(self.core.clock.unix_ms()));
        *self.quarantine_writer.stored.borrow_mut() = stored;
    }

    /// Writes missing crashes to the store if this entry is next in rotation; `wait` is its
    /// rotation delay.
    pub(super) async fn write_quarantine_record(&self, wait: Duration) {
        let now = self.core.clock.now();
        let record = self.pending_record();
        if !self.core.writes_for_others() || self.core.outage().is_some() || record.is_none() {
            self.quarantine_writer.due_since.set(None);
            return;
        }
        let Some(record) = record else { return };
        let due_since = self.quarantine_writer.due_since.get().unwrap_or(now);
        self.quarantine_writer.due_since.set(Some(due_since));
        if now < due_since + wait || now < self.quarantine_writer.next_write_at.get() {
            return;
        }
        self.quarantine_writer.next_write_at.set(now + MIN_WRITE_INTERVAL);
        let value = match postcard::to_stdvec(&record) {
            Ok(value) => value,
            Err(error) => return self.log_quarantine_error(error.to_string()),
        };
        let change = self.change(QUARANTINE_KEY.to_owned(), value);
        match self.commit(vec![change], StoreCause::Quarantine).await {
            Ok(position) => {
                let revision = position.revision;
                let ends = record.ends.len();
                self.core.event_log.record(
                    LogPriority::State,
                    &QuarantineEvent::QuarantineStored { ends, revision },
                );
            }
            // The watch brings what another entry wrote; anything still missing stays due.
            Err(error) => self.log_quarantine_error(error.to_string()),
        }
    }

    /// The record to write, if crashes are missing from the store and there is room for them, or if
    /// it has crashes of features that have been cleared.
    fn pending_record(&self) -> Option<StoredQuarantine> {
        let quarantined = self.core.quarantined_crashes();
        let stored = self.quarantine_writer.stored.borrow();
        if quarantined.is_empty() && stored.ends.is_empty() {
            return None;
        }
        let (mut ends, missing): (Vec<_>, Vec<_>) =
            quarantined.into_iter().partition(|(crash, _)| stored.contains(crash));
        let room = MAX_STORED_CRASHES.saturating_sub(ends.len());
        ends.extend(missing.iter().take(room));
        let has_more = room > 0 && !missing.is_empty();
        let state = self.core.state.borrow();
        let has_cleared =
            stored.ends.iter().any(|(crash, _)| state.quarantine.is_cleared(crash.feature));
        (has_more || has_cleared)
            .then(|| StoredQuarantine { written_ms: self.core.clock.unix_ms(), ends })
    }

    fn log_quarantine_error(&self, error: String) {
        self.core
            .event_log
            .record(LogPriority::State, &QuarantineEvent::QuarantineNotStored { error });
    }
}
