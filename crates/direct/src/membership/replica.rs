//! The store's keys as this entry last learned them, to be told to others.

use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;
use pondwalk_store::{Position, StoreEntry, StoreEvent};

use super::{KeyChange, MessageError, message};

/// Removals remembered. An entry that asks for more is told the whole state.
const MAX_REMOVALS: usize = 1_024;

/// A key's value with the revision of its last change.
#[derive(Debug)]
struct Held {
    value: Bytes,
    revision: u64,
}

/// All keys, and which were removed lately.
#[derive(Debug, Default)]
pub struct Replica {
    /// All removals after this revision are here.
    start: u64,
    position: Position,
    held: BTreeMap<String, Held>,
    removed: VecDeque<(u64, String)>,
    /// The whole state as it is sent, with its revision.
    whole: Option<(Position, Bytes)>,
    /// The last changes as they were sent, with the places between which they lie.
    sent: Option<(Position, Position, Bytes)>,
}

impl Replica {
    /// Starts anew with everything that was read at `position`.
    pub fn reset(&mut self, entries: &[StoreEntry], position: Position) {
        *self = Replica { start: position.revision, position, ..Replica::default() };
        entries.iter().for_each(|entry| self.hold(entry));
    }

    /// Takes changes in that lead to `position`, of the same era.
    pub fn apply_changes(&mut self, events: &[StoreEvent], position: Position) {
        for event in events {
            match event {
                StoreEvent::Written(entry) => self.hold(entry),
                StoreEvent::Removed { key, .. } => {
                    self.held.remove(key);
                    // NB: a removal counts as if it came last, so that no asker misses it.
                    self.removed.push_back((position.revision, key.clone()));
                }
            }
        }
        self.position = self.position.max(position);
        while self.removed.len() > MAX_REMOVALS {
            let Some((at, _)) = self.removed.pop_front() else { return };
            self.start = self.start.max(at);
        }
    }

    fn hold(&mut self, entry: &StoreEntry) {
        let value = Bytes::copy_from_slice(&entry.value);
        self.held.insert(entry.key.clone(), Held { value, revision: entry.revision });
    }

    /// Place up to which changes are known.
    pub fn position(&self) -> Position {
        self.position
    }

    /// The last change of each key after `position`, in order; `None` if some removals are no longer
    /// remembered or the place is of an earlier era, so that only the whole state tells.
    ///
    /// Earlier changes of a key are left out: an asker that is behind by ten large configurations
    /// needs only the newest, and a slow link could not carry them all in time.
    pub fn changes_after(&self, position: Position) -> Option<Vec<KeyChange>> {
        if position >= self.position {
            return Some(Vec::new());
        }
        let Position { era, revision } = position;
        if era != self.position.era || revision < self.start {
            return None;
        }
        let written = self.held.iter().filter(|(_, held)| held.revision > revision);
        let mut changes: Vec<KeyChange> =
            written.map(|(key, held)| written_change(key, held)).collect();
        let gone =
            self.removed.iter().filter(|(at, key)| *at > revision && !self.held.contains_key(key));
        changes.extend(gone.map(|(at, key)| KeyChange {
            key: key.clone(),
            value: None,
            revision: *at,
        }));
        changes.sort_by_key(|change| change.revision);
        Some(changes)
    }

    /// The changes after `revision` as they are sent; `None` if only the whole state tells. They are
    /// packed once for all that ask for the same: a large configuration takes some 10 ms.
    pub fn packed_changes_after(
        &mut self,
        position: Position,
    ) -> Option<Result<Bytes, MessageError>> {
        if let Some((from, to, bytes)) = &self.sent
            && (*from, *to) == (position, self.position)
        {
            return Some(Ok(bytes.clone()));
        }
        let packed = message::pack(&self.changes_after(position)?);
        if let Ok(bytes) = &packed {
            self.sent = Some((position, self.position, bytes.clone()));
        }
        Some(packed)
    }

    /// The whole state as it is sent. It is built once for each revision, since after a restart of
    /// all entries many ask for the same.
    pub fn packed_state(&mut self) -> Result<Bytes, MessageError> {
        if let Some((position, bytes)) = &self.whole
            && *position == self.position
        {
            return Ok(bytes.clone());
        }
        let all = self.held.iter().map(|(key, held)| written_change(key, held));
        let bytes = message::pack(&all.collect::<Vec<_>>())?;
        self.whole = Some((self.position, bytes.clone()));
        Ok(bytes)
    }
}

fn written_change(key: &str, held: &Held) -> KeyChange {
    KeyChange { key: key.to_owned(), value: Some(held.value.to_vec()), revision: held.revision }
}
