//! The sequence of accepted configurations: one head record, updated by compare-and-swap.
//!
//! Each generation is written on condition that the previous one is still in force, so generations are
//! consecutive and unique. A write whose response was lost is recognised by its change id.

mod edits;
mod restoration;

use pondwalk_config::{HEAD_KEY, PolicyRecord};
use pondwalk_store::{Change, Expect, Store, StoreError};
use pondwalk_types::{Generation, Policy};
use thiserror::Error;

pub use edits::{EditError, add_roll_out, replace_policy, withdraw};
pub use restoration::read_head_since;

/// What to do if another operator's change is accepted first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OnConflict {
    /// Apply the edit to the other change's result.
    Retry,
    /// Return [`ChangeError::Conflict`].
    Abort,
}

/// Why a change was not accepted.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ChangeError {
    /// The store failed; `Unreachable` means that nothing was written.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The record in the store cannot be decoded.
    #[error("the configuration in the store cannot be decoded")]
    Unreadable,
    /// Another change was accepted first; this change was not accepted.
    #[error("another operator's change was accepted first, as generation {generation}")]
    Conflict {
        /// Generation of the other change.
        generation: Generation,
    },
    /// The edit cannot be applied to the configuration.
    #[error(transparent)]
    Edit(#[from] EditError),
}

/// Attempts to write a record while others write it too.
const MAX_ATTEMPTS: u32 = 8;

/// The head record and its revision in the store.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Head {
    /// The configuration in force; generation zero if no configuration was ever accepted.
    pub record: PolicyRecord,
    /// Revision of the record; `None` if the store has no record.
    pub revision: Option<u64>,
}

/// Reads the configuration in force.
///
/// # Errors
///
/// Returns an error if the store fails or the record cannot be decoded.
pub async fn read_head(store: &Store) -> Result<Head, ChangeError> {
    let Some(entry) = store.get(HEAD_KEY).await? else {
        return Ok(Head::default());
    };
    let record = serde_json::from_slice(&entry.value).map_err(|_| ChangeError::Unreadable)?;
    Ok(Head { record, revision: Some(entry.revision) })
}

/// Applies an edit to the configuration in force and commits the result as the next generation; returns the
/// accepted record.
///
/// `change_id` must be a new random number for each change.
///
/// # Errors
///
/// After a lost response the outcome is unknown; any other error means that the change was not accepted.
pub async fn commit_edit(
    store: &Store,
    change_id: u64,
    on_conflict: OnConflict,
    edit: impl Fn(&Policy) -> Result<Policy, EditError>,
) -> Result<PolicyRecord, ChangeError> {
    let mut last = ChangeError::Store(StoreError::ResponseLost);
    let mut previous: Option<Generation> = None;
    for _ in 0..MAX_ATTEMPTS {
        let head = read_head(store).await?;
        if head.record.change_id == change_id && head.revision.is_some() {
            return Ok(head.record);
        }
        let generation = head.record.generation;
        let has_conflict = previous.is_some_and(|before| before != generation);
        if has_conflict && on_conflict == OnConflict::Abort {
            return Err(ChangeError::Conflict { generation });
        }
        previous = Some(generation);
        let policy = edit(&head.record.policy)?;
        let ancestors = restoration::lineage(&head.record);
        let next = PolicyRecord { generation: generation + 1, change_id, ancestors, policy };
        match write(store, &head, &next).await {
            Ok(()) => return Ok(next),
            Err(error) => last = error.into(),
        }
    }
    Err(last)
}

async fn write(store: &Store, head: &Head, next: &PolicyRecord) -> Result<(), StoreError> {
    let value = serde_json::to_vec(next).map_err(|_| StoreError::Malformed)?;
    let expect = head.revision.map_or(Expect::Absent, Expect::Revision);
    let change = Change { key: HEAD_KEY.to_owned(), value, expect, lease: None };
    store.commit(vec![change]).await.map(drop)
}
