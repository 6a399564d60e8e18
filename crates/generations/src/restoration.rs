//! A store that was restored from a copy, and so has lost the latest generations.
//!
//! The store gives no sign of it, and gives lost generations out again. Each record therefore names
//! the changes that it follows: a record that does not follow one that was in force was accepted
//! after a restoration.

use pondwalk_config::PolicyRecord;
use pondwalk_store::{Store, StoreError};
use pondwalk_types::Generation;

use super::{ChangeError, Head, MAX_ATTEMPTS, read_head, replace_policy, write};

/// Maximum number of ancestors in a record.
const MAX_ANCESTORS: usize = 256;

/// Reads the configuration in force, like [`read_head`]. If the store has lost `known`, a record
/// read or written before, it is written again first. An operator's change that was accepted
/// meanwhile is applied to it, under a new generation.
///
/// # Errors
///
/// As for [`read_head`].
pub async fn read_head_since(
    store: &Store,
    known: Option<&PolicyRecord>,
) -> Result<Head, ChangeError> {
    let mut last = StoreError::Conflict;
    for _ in 0..MAX_ATTEMPTS {
        let head = read_head(store).await?;
        let Some(next) = known.and_then(|known| recover(&head, known)) else { return Ok(head) };
        match write(store, &head, &next).await {
            Ok(()) | Err(StoreError::Conflict | StoreError::ResponseLost) => {}
            Err(error) => last = error,
        }
    }
    Err(last.into())
}

/// The changes that a record which follows this one names as its ancestors.
pub(super) fn lineage(record: &PolicyRecord) -> Vec<u64> {
    let mut ancestors = record.ancestors.clone();
    if record.generation > 0 {
        ancestors.push(record.change_id);
    }
    truncate(ancestors)
}

fn truncate(mut ancestors: Vec<u64>) -> Vec<u64> {
    let excess = ancestors.len().saturating_sub(MAX_ANCESTORS);
    ancestors.drain(..excess);
    ancestors
}

/// Whether the ancestors of a record include its change of `generation`, if it follows that. Those
/// of old changes are dropped, and records of earlier versions name none.
fn names_ancestor_at(record: &PolicyRecord, generation: Generation) -> bool {
    record.ancestors.len() as u64 >= record.generation.saturating_sub(generation)
}

/// The record to write if the store has lost `known`; `None` if it has not.
fn recover(head: &Head, known: &PolicyRecord) -> Option<PolicyRecord> {
    let record = &head.record;
    let is_same = record.change_id == known.change_id && record.generation == known.generation;
    if known.generation == 0 || is_same || record.ancestors.contains(&known.change_id) {
        return None;
    }
    if head.revision.is_none() || known.ancestors.contains(&record.change_id) {
        return Some(known.clone());
    }
    if !names_ancestor_at(record, known.generation) || !names_ancestor_at(known, record.generation)
    {
        return (record.generation < known.generation).then(|| known.clone());
    }
    let mut ancestors = lineage(known);
    ancestors.extend(lineage(record).into_iter().filter(|id| !known.ancestors.contains(id)));
    Some(PolicyRecord {
        generation: known.generation.max(record.generation) + 1,
        change_id: record.change_id,
        ancestors: truncate(ancestors),
        policy: replace_policy(&known.policy, &record.policy, &[]),
    })
}
