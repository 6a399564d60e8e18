//! Keeps contents that are held in the store, for entries that start when nobody else knows.

use std::{
    cell::{Cell, RefCell},
    time::Duration,
};

use super::Coordinator;
use crate::{
    event_log::LogPriority,
    membership::ChangeSource,
    metrics::StoreCause,
    quarantine::{MOST_STORED, QUARANTINE_KEY, QuarantineEvent, StoredQuarantine},
};

/// Least time between two writes: what begins to be held at about the same time goes in one.
const LEAST_INTERVAL: Duration = Duration::from_secs(2);

/// What the store holds, and when this entry may write it.
#[derive(Debug, Default)]
pub struct Kept {
    stored: RefCell<StoredQuarantine>,
    /// Since when something has been missing there.
    due_since: Cell<Option<Duration>>,
    /// Earliest time of the next write.
    write_from: Cell<Duration>,
}

impl Coordinator {
    /// Forgets what the store held.
    pub(super) fn forget_stored_quarantine(&self) {
        self.kept.stored.take();
    }

    /// Learns what the store holds.
    pub(super) fn learn_quarantine(&self, value: &[u8]) {
        let stored: StoredQuarantine = match postcard::from_bytes(value) {
            Ok(stored) => stored,
            // NB: another writer's, or another version's; whatever is held here is written over it.
            Err(error) => return self.note_not_stored(error.to_string()),
        };
        self.core.receive_crashes(&stored.ends, stored.age(self.core.clock.unix_ms()));
        *self.kept.stored.borrow_mut() = stored;
    }

    /// Writes what is missing in the store, if it is this entry's turn; `wait` is how long it leaves
    /// that to the others.
    pub(super) async fn store_quarantine(&self, wait: Duration) {
        let now = self.core.clock.now();
        let asks_others = matches!(self.core.source(), ChangeSource::Entry { .. });
        let record = self.due_record();
        if asks_others || self.core.outage().is_some() || record.is_none() {
            self.kept.due_since.set(None);
            return;
        }
        let Some(record) = record else { return };
        let due_since = self.kept.due_since.get().unwrap_or(now);
        self.kept.due_since.set(Some(due_since));
        if now < due_since + wait || now < self.kept.write_from.get() {
            return;
        }
        self.kept.write_from.set(now + LEAST_INTERVAL);
        let value = match postcard::to_stdvec(&record) {
            Ok(value) => value,
            Err(error) => return self.note_not_stored(error.to_string()),
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
            // NB: the watch brings what another entry wrote; what is missing then is still due.
            Err(error) => self.note_not_stored(error.to_string()),
        }
    }

    /// What is to lie in the store, if something is missing there and there is room for it.
    fn due_record(&self) -> Option<StoredQuarantine> {
        let held = self.core.held_ends();
        if held.is_empty() {
            return None;
        }
        let stored = self.kept.stored.borrow();
        let (mut ends, missing): (Vec<_>, Vec<_>) =
            held.into_iter().partition(|(end, _)| stored.holds(end));
        let room = MOST_STORED.saturating_sub(ends.len());
        ends.extend(missing.iter().take(room));
        let has_more = room > 0 && !missing.is_empty();
        has_more.then(|| StoredQuarantine { written_ms: self.core.clock.unix_ms(), ends })
    }

    fn note_not_stored(&self, error: String) {
        self.core
            .event_log
            .record(LogPriority::State, &QuarantineEvent::QuarantineNotStored { error });
    }
}
