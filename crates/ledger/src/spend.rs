//! Slices of spend caps: how the fleet keeps a cap without a write for each request.
//!
//! One record for each workspace and day holds what has been given out. A process takes a slice
//! by compare-and-swap when its own is nearly used, and gives back the rest on a planned stop. A
//! process that dies takes its slice along, so a cap may be underspent by a slice, never overspent.

use pondwalk_store::{Change, Expect, Store, StoreError};
use pondwalk_types::WorkspaceId;
use serde::{Deserialize, Serialize};

/// Prefix of all spend records.
const SPEND_PREFIX: &str = "pondwalk/spend/";
/// Slices that a day's cap is cut into.
pub const SLICES: f64 = 40.0;

#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
struct Given {
    /// Sum of all slices given out.
    given: f64,
    /// Id of the newest change, to recognise one whose answer was lost.
    change_id: u64,
}

/// Takes a slice of a workspace's cap for a day; zero if nothing is left.
///
/// `change_id` must be drawn anew for each slice.
pub async fn allocate_slice(
    store: &Store,
    workspace: &WorkspaceId,
    day: u64,
    cap: f64,
    change_id: u64,
) -> Result<f64, StoreError> {
    let size = cap / SLICES;
    let granted = change(store, workspace, day, change_id, |given| (given + size).min(cap)).await?;
    Ok(granted.max(0.0))
}

/// Gives back what was not spent of the slices taken.
pub async fn release_unspent(
    store: &Store,
    workspace: &WorkspaceId,
    day: u64,
    unspent: f64,
    change_id: u64,
) -> Result<(), StoreError> {
    change(store, workspace, day, change_id, |given| (given - unspent).max(0.0)).await.map(drop)
}

/// Moves the sum given out; returns by how much it moved.
async fn change(
    store: &Store,
    workspace: &WorkspaceId,
    day: u64,
    change_id: u64,
    next: impl Fn(f64) -> f64,
) -> Result<f64, StoreError> {
    const TRIES: u32 = 8;
    let hex: String = workspace.bytes().map(|byte| format!("{byte:02x}")).collect();
    let key = format!("{SPEND_PREFIX}{hex}/{day}");
    let mut moved = 0.0;
    let mut last = StoreError::ResponseLost;
    for _ in 0..TRIES {
        let fetched = store.get(&key).await?;
        let expect = fetched.as_ref().map_or(Expect::Absent, |f| Expect::Revision(f.revision));
        let current: Given = match &fetched {
            Some(fetched) => {
                serde_json::from_slice(&fetched.value).map_err(|_| StoreError::Malformed)?
            }
            None => Given::default(),
        };
        if fetched.is_some() && current.change_id == change_id {
            return Ok(moved);
        }
        let given = next(current.given);
        moved = given - current.given;
        if moved == 0.0 {
            return Ok(0.0);
        }
        let record = Given { given, change_id };
        let value = serde_json::to_vec(&record).map_err(|_| StoreError::Malformed)?;
        let write = Change { key: key.clone(), value, expect, lease: None };
        match store.commit(vec![write]).await {
            Ok(_) => return Ok(moved),
            Err(error) => last = error,
        }
    }
    Err(last)
}
