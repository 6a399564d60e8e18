//! Creating a key exactly once although answers may be lost.

use pondwalk_store::{Change, Expect, Store, StoreEntry, StoreError};

/// What became of an attempt to create a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CreateOutcome {
    /// The key now holds our value, from this attempt or an earlier one; with its revision.
    Ours(u64),
    /// The key holds another value.
    Others(StoreEntry),
}

/// Creates a key with a value that nobody else would write, or finds out who did.
///
/// A lost answer is settled by trying again: the key's absence is the condition, so a second
/// write can only meet the first one. An error means that the outcome is still open.
pub async fn create_once(
    store: &Store,
    key: &str,
    value: &[u8],
    lease: Option<u64>,
) -> Result<CreateOutcome, StoreError> {
    const TRIES: u32 = 3;
    let mut last = StoreError::ResponseLost;
    for _ in 0..TRIES {
        let change =
            Change { key: key.to_owned(), value: value.to_vec(), expect: Expect::Absent, lease };
        match store.commit(vec![change]).await {
            Ok(revision) => return Ok(CreateOutcome::Ours(revision)),
            Err(StoreError::Conflict) => return who_holds(store, key, value).await,
            Err(error) => last = error,
        }
    }
    Err(last)
}

async fn who_holds(store: &Store, key: &str, value: &[u8]) -> Result<CreateOutcome, StoreError> {
    match store.get(key).await? {
        Some(fetched) if fetched.value == value => Ok(CreateOutcome::Ours(fetched.revision)),
        Some(fetched) => Ok(CreateOutcome::Others(fetched)),
        // NB: the key went away between the two calls, as when its lease lapsed.
        None => Err(StoreError::LeaseLapsed),
    }
}
