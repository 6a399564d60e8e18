//! The latest changes of the store, as this entry learned them.

use std::collections::{HashSet, VecDeque};

use base64::{Engine, engine::general_purpose::STANDARD};
use pondwalk_store::{Fetched, StoreEvent};

use super::KeyChange;

/// Changes remembered.
const MAX_CHANGES: usize = 256;
/// Bytes of values remembered; a large configuration pushes older changes out.
const MAX_BYTES: usize = 512 * 1024;

/// Changes after a revision, without gaps.
#[derive(Debug, Default)]
pub struct History {
    /// Everything after this revision is here.
    start: u64,
    changes: VecDeque<(u64, StoreEvent)>,
    bytes: usize,
}

impl History {
    /// Starts anew after everything was read at `revision`.
    pub fn restart(&mut self, revision: u64) {
        *self = History { start: revision, ..History::default() };
    }

    /// Takes changes in that lead to `revision`.
    pub fn extend(&mut self, events: &[StoreEvent], revision: u64) {
        for event in events {
            let at = match event {
                StoreEvent::Written(entry) => entry.revision,
                // NB: a removal counts as if it came last, so that no asker misses it.
                StoreEvent::Removed(_) => revision,
            };
            self.bytes += size_of_event(event);
            self.changes.push_back((at, event.clone()));
        }
        while self.changes.len() > MAX_CHANGES || self.bytes > MAX_BYTES {
            let Some((at, event)) = self.changes.pop_front() else { return };
            self.bytes -= size_of_event(&event);
            self.start = self.start.max(at);
        }
    }

    /// The last change of each key after `revision`; `None` if some are no longer remembered.
    ///
    /// Earlier ones are left out: an asker that is behind by ten large configurations needs only
    /// the newest, and a slow link could not carry them all in time.
    pub fn after(&self, revision: u64) -> Option<Vec<KeyChange>> {
        if revision < self.start {
            return None;
        }
        let mut told = HashSet::new();
        let newer = self.changes.iter().rev().filter(|(at, _)| *at > revision);
        let last = newer.filter(|(_, event)| told.insert(key_of(event)));
        let mut changes: Vec<KeyChange> = last.map(|(at, event)| key_change(*at, event)).collect();
        changes.reverse();
        Some(changes)
    }
}

fn key_of(event: &StoreEvent) -> &str {
    match event {
        StoreEvent::Written(entry) => &entry.key,
        StoreEvent::Removed(key) => key,
    }
}

fn size_of_event(event: &StoreEvent) -> usize {
    match event {
        StoreEvent::Written(entry) => entry.key.len() + entry.value.len(),
        StoreEvent::Removed(key) => key.len(),
    }
}

fn key_change(revision: u64, event: &StoreEvent) -> KeyChange {
    match event {
        StoreEvent::Written(entry) => KeyChange {
            key: entry.key.clone(),
            value: Some(STANDARD.encode(&entry.value)),
            revision,
        },
        StoreEvent::Removed(key) => KeyChange { key: key.clone(), value: None, revision },
    }
}

impl KeyChange {
    /// The change as the store would have told it; `None` if its value cannot be decoded.
    pub fn into_event(self) -> Option<StoreEvent> {
        let Some(value) = self.value else { return Some(StoreEvent::Removed(self.key)) };
        let value = STANDARD.decode(value).ok()?;
        Some(StoreEvent::Written(Fetched { key: self.key, value, revision: self.revision }))
    }
}
