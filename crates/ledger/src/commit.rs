//! Creation of a key exactly once, even if responses are lost.

use pondwalk_store::{Change, Expect, Store, StoreEntry, StoreError};

/// Outcome of the creation of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CreateOutcome {
    /// The key has the given value, from this attempt or an earlier one; contains its revision.
    OwnValue(u64),
    /// The key has another value.
    OtherValue(StoreEntry),
}

/// Creates a key with a value that no other process writes, or returns the existing entry.
///
/// After a lost response the write is retried: its precondition is that the key does not exist, so if the
/// first write took effect, the second one fails and the existing value shows whose it is.
///
/// # Errors
///
/// Returns the last error of the store; the outcome is then unknown.
pub async fn create_once(
    store: &Store,
    key: &str,
    value: &[u8],
    lease: Option<u64>,
) -> Result<CreateOutcome, StoreError> {
    const MAX_ATTEMPTS: u32 = 3;
    let mut last = StoreError::ResponseLost;
    for _ in 0..MAX_ATTEMPTS {
        let change =
            Change { key: key.to_owned(), value: value.to_vec(), expect: Expect::Absent, lease };
        match store.commit(vec![change]).await {
            Ok(revision) => return Ok(CreateOutcome::OwnValue(revision)),
            Err(StoreError::Conflict) => return compare_existing(store, key, value).await,
            Err(error) => last = error,
        }
    }
    Err(last)
}

async fn compare_existing(
    store: &Store,
    key: &str,
    value: &[u8],
) -> Result<CreateOutcome, StoreError> {
    match store.get(key).await? {
        Some(entry) if entry.value == value => Ok(CreateOutcome::OwnValue(entry.revision)),
        Some(entry) => Ok(CreateOutcome::OtherValue(entry)),
        // NB: the key was removed between the two calls, for example because its lease expired.
        None => Err(StoreError::LeaseExpired),
    }
}
