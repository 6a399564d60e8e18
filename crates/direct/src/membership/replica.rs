//! Local copy of the store's keys, from which other entries are served.

use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;
use pondwalk_store::{Position, StoreEntry, StoreEvent};

use super::{KeyChange, MessageError, message};

/// Maximum number of remembered removals. A requester that needs an older one gets the full state.
const MAX_REMOVALS: usize = 1_024;

/// A key's value with the revision of its last change.
#[derive(Debug)]
struct Versioned {
    value: Bytes,
    revision: u64,
}

/// All keys, and recent removals.
#[derive(Debug, Default)]
pub struct Replica {
    /// Removals after this revision are complete.
    start: u64,
    position: Position,
    keys: BTreeMap<String, Versioned>,
    removed: VecDeque<(u64, String)>,
    /// The last encoded full state, with its position.
    full_cache: Option<(Position, Bytes)>,
    /// The last encoded difference, with its start and end positions.
    difference_cache: Option<(Position, Position, Bytes)>,
}

impl Replica {
    /// Replaces the contents with all keys as read at `position`.
    pub fn reset(&mut self, entries: &[StoreEntry], position: Position) {
        *self = Replica { start: position.revision, position, ..Replica::default() };
        entries.iter().for_each(|entry| self.insert(entry));
    }

    /// Applies changes that lead to `position`, within the same era.
    pub fn apply_changes(&mut self, events: &[StoreEvent], position: Position) {
        for event in events {
            match event {
                StoreEvent::Written(entry) => self.insert(entry),
                StoreEvent::Removed { key, .. } => {
                    self.keys.remove(key);
                    // A removal is dated as the last change of the batch, so that no requester
                    // misses it.
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

    fn insert(&mut self, entry: &StoreEntry) {
        let value = Bytes::copy_from_slice(&entry.value);
        self.keys.insert(entry.key.clone(), Versioned { value, revision: entry.revision });
    }

    /// Position up to which all changes are applied.
    pub fn position(&self) -> Position {
        self.position
    }

    /// The last change of each key after `position`, in order; `None` if some removals are no
    /// longer remembered or `position` is of an earlier era, so that the full state is needed.
    ///
    /// Earlier changes of a key are left out: a requester that is ten large configurations behind
    /// needs only the newest, and a slow link could not carry all of them in time.
    pub fn changes_after(&self, position: Position) -> Option<Vec<KeyChange>> {
        if position >= self.position {
            return Some(Vec::new());
        }
        let Position { era, revision } = position;
        if era != self.position.era || revision < self.start {
            return None;
        }
        let written = self.keys.iter().filter(|(_, entry)| entry.revision > revision);
        let mut changes: Vec<KeyChange> =
            written.map(|(key, entry)| to_change(key, entry)).collect();
        let removals =
            self.removed.iter().filter(|(at, key)| *at > revision && !self.keys.contains_key(key));
        changes.extend(removals.map(|(at, key)| KeyChange {
            key: key.clone(),
            value: None,
            revision: *at,
        }));
        changes.sort_by_key(|change| change.revision);
        Some(changes)
    }

    /// The encoded changes after `position`; `None` if the full state is needed. They are cached
    /// for requesters at the same position: compressing a large configuration takes some 10 ms.
    pub fn packed_changes_after(
        &mut self,
        position: Position,
    ) -> Option<Result<Bytes, MessageError>> {
        if let Some((from, to, bytes)) = &self.difference_cache
            && (*from, *to) == (position, self.position)
        {
            return Some(Ok(bytes.clone()));
        }
        let packed = message::pack(&self.changes_after(position)?);
        if let Ok(bytes) = &packed {
            self.difference_cache = Some((position, self.position, bytes.clone()));
        }
        Some(packed)
    }

    /// The encoded full state. It is cached per position, since many entries request the same state
    /// after a restart of all.
    pub fn packed_state(&mut self) -> Result<Bytes, MessageError> {
        if let Some((position, bytes)) = &self.full_cache
            && *position == self.position
        {
            return Ok(bytes.clone());
        }
        let all = self.keys.iter().map(|(key, entry)| to_change(key, entry));
        let bytes = message::pack(&all.collect::<Vec<_>>())?;
        self.full_cache = Some((self.position, bytes.clone()));
        Ok(bytes)
    }
}

fn to_change(key: &str, entry: &Versioned) -> KeyChange {
    KeyChange { key: key.to_owned(), value: Some(entry.value.to_vec()), revision: entry.revision }
}
