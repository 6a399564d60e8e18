//! Slices of spend caps, by which all processes together keep a cap without a write for each request.
//!
//! One record for each workspace and day has the sum of the allocated slices. A process allocates a
//! slice by compare-and-swap when its own is nearly used, and releases the rest on a planned stop. The
//! slice of a process that crashes is lost, so a cap may be underspent by a slice, but never overspent.

use pondwalk_store::{Change, Expect, Store, StoreError};
use pondwalk_types::WorkspaceId;
use serde::{Deserialize, Serialize};

/// Key prefix of all spend records.
const SPEND_PREFIX: &str = "pondwalk/spend/";
/// Number of slices of a daily cap.
pub const SLICES: f64 = 40.0;

#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
struct SpendRecord {
    /// Sum of all allocated slices.
    given: f64,
    /// Id of the latest change, by which its author recognises the change if the response was lost.
    change_id: u64,
}

/// Allocates a slice of a workspace's cap for a day; returns its amount, zero if nothing is left.
///
/// `change_id` must be a new random number for each slice.
///
/// # Errors
///
/// Returns the store's error if the record could not be read or changed.
pub async fn allocate_slice(
    store: &Store,
    workspace: &WorkspaceId,
    day: u64,
    cap: f64,
    change_id: u64,
) -> Result<f64, StoreError> {
    let size = cap / SLICES;
    let granted =
        update_sum(store, workspace, day, change_id, |given| (given + size).min(cap)).await?;
    Ok(granted.max(0.0))
}

/// Releases the unspent amount of allocated slices.
///
/// # Errors
///
/// Returns the store's error if the record could not be read or changed.
pub async fn release_unspent(
    store: &Store,
    workspace: &WorkspaceId,
    day: u64,
    unspent: f64,
    change_id: u64,
) -> Result<(), StoreError> {
    update_sum(store, workspace, day, change_id, |given| (given - unspent).max(0.0)).await.map(drop)
}

/// Changes the allocated sum to `next(sum)`; returns the difference.
async fn update_sum(
    store: &Store,
    workspace: &WorkspaceId,
    day: u64,
    change_id: u64,
    next: impl Fn(f64) -> f64,
) -> Result<f64, StoreError> {
    const MAX_ATTEMPTS: u32 = 8;
    let hex: String = workspace.bytes().map(|byte| format!("{byte:02x}")).collect();
    let key = format!("{SPEND_PREFIX}{hex}/{day}");
    let mut difference = 0.0;
    let mut last = StoreError::ResponseLost;
    for _ in 0..MAX_ATTEMPTS {
        let entry = store.get(&key).await?;
        let expect = entry.as_ref().map_or(Expect::Absent, |e| Expect::Revision(e.revision));
        let current: SpendRecord = match &entry {
            Some(entry) => {
                serde_json::from_slice(&entry.value).map_err(|_| StoreError::Malformed)?
            }
            None => SpendRecord::default(),
        };
        if entry.is_some() && current.change_id == change_id {
            return Ok(difference);
        }
        let given = next(current.given);
        difference = given - current.given;
        if difference == 0.0 {
            return Ok(0.0);
        }
        let record = SpendRecord { given, change_id };
        let value = serde_json::to_vec(&record).map_err(|_| StoreError::Malformed)?;
        let write = Change { key: key.clone(), value, expect, lease: None };
        match store.commit(vec![write]).await {
            Ok(_) => return Ok(difference),
            Err(error) => last = error,
        }
    }
    Err(last)
}
