//! The sequence of accepted configurations: one head record, moved on by compare-and-swap.
//!
//! A generation is made only by a write that is conditional on the one before, so generations
//! form one line and none comes twice. A write whose answer was lost is recognised by the change's
//! own id.

mod edits;

use pondwalk_config::{HEAD_KEY, PolicyRecord};
use pondwalk_store::{Change, Expect, Store, StoreError};
use pondwalk_types::{Generation, Policy};
use thiserror::Error;

pub use edits::{EditError, add_roll_out, replace_policy, withdraw};

/// What to do when another operator's change comes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OnConflict {
    /// Make the same edit on top of the other change.
    Retry,
    /// Give up and say so.
    Abort,
}

/// Why a change was not accepted.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ChangeError {
    /// The store failed; `Unreachable` means that nothing was written.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The record in the store cannot be read.
    #[error("the configuration in the store cannot be read")]
    Unreadable,
    /// Another change was accepted meanwhile; nothing of this one was.
    #[error("another operator's change was accepted first, as generation {generation}")]
    Conflict {
        /// The other change's generation.
        generation: Generation,
    },
    /// The edit does not fit the configuration.
    #[error(transparent)]
    Edit(#[from] EditError),
}

/// The head as read, with the revision to compare with.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Head {
    /// The configuration in force; generation zero if none was ever accepted.
    pub record: PolicyRecord,
    /// Revision of the store's record, if there is one.
    pub revision: Option<u64>,
}

/// Reads the configuration in force.
pub async fn read_head(store: &Store) -> Result<Head, ChangeError> {
    let Some(fetched) = store.get(HEAD_KEY).await? else {
        return Ok(Head::default());
    };
    let record = serde_json::from_slice(&fetched.value).map_err(|_| ChangeError::Unreadable)?;
    Ok(Head { record, revision: Some(fetched.revision) })
}

/// Makes an edit the next generation; returns the record accepted.
///
/// `change_id` must be drawn anew for each change. An error other than a lost answer means that
/// nothing was accepted.
pub async fn commit_edit(
    store: &Store,
    change_id: u64,
    on_race: OnConflict,
    edit: impl Fn(&Policy) -> Result<Policy, EditError>,
) -> Result<PolicyRecord, ChangeError> {
    const TRIES: u32 = 8;
    let mut last = ChangeError::Store(StoreError::ResponseLost);
    let mut decided_on: Option<Generation> = None;
    for _ in 0..TRIES {
        let head = read_head(store).await?;
        if head.record.change_id == change_id && head.revision.is_some() {
            return Ok(head.record);
        }
        let generation = head.record.generation;
        let raced = decided_on.is_some_and(|before| before != generation);
        if raced && on_race == OnConflict::Abort {
            return Err(ChangeError::Conflict { generation });
        }
        decided_on = Some(generation);
        let policy = edit(&head.record.policy)?;
        let next = PolicyRecord { generation: generation + 1, change_id, policy };
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
