//! Slices of the workspaces' spend caps allocated to this process.

use std::{
    collections::HashMap,
    sync,
    time::{SystemTime, UNIX_EPOCH},
};

use pondwalk_decide::Router;
use pondwalk_ledger::spend::{SLICES, allocate_slice, release_unspent};
use pondwalk_store::{Store, StoreError};
use pondwalk_threads::lock;
use pondwalk_types::WorkspaceId;
use tokio::sync::Mutex;

const SECONDS_PER_DAY: u64 = 86_400;

/// Allocated slices by workspace.
#[derive(Debug, Default)]
pub struct SpendSlices {
    // NB: locked during calls to the store, so that concurrent requests allocate only one slice.
    allocations: Mutex<HashMap<WorkspaceId, Allocation>>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Allocation {
    day: u64,
    /// Spend limit of this process, counted since its start.
    limit: f64,
    /// Amount spent before the current day.
    spent_before: f64,
    /// Whether the cap of the day is fully allocated.
    exhausted: bool,
}

impl SpendSlices {
    /// Allocates a further slice for a workspace if less than half a slice is left.
    pub async fn refill(
        &self,
        workspace: &WorkspaceId,
        cap: f64,
        router: &sync::Mutex<Router>,
        store: &Store,
    ) -> Result<(), StoreError> {
        let has_enough = || {
            let remaining = lock(router).remaining_spend(workspace);
            remaining.is_some_and(|remaining| remaining >= cap / SLICES / 2.0)
        };
        if has_enough() {
            return Ok(());
        }
        let mut allocations = self.allocations.lock().await;
        let allocation = allocations.entry(workspace.clone()).or_default();
        let day = today();
        let spent = lock(router).spent(workspace);
        if allocation.day != day {
            *allocation = Allocation { day, limit: spent, spent_before: spent, exhausted: false };
        }
        if allocation.exhausted || has_enough() {
            return Ok(());
        }
        let slice = allocate_slice(store, workspace, day, cap, rand::random()).await?;
        allocation.exhausted = slice == 0.0;
        allocation.limit += slice;
        lock(router).set_spend_slice(workspace, Some(allocation.limit));
        Ok(())
    }

    /// Releases the unspent amounts before a planned stop.
    pub async fn release_all(&self, router: &sync::Mutex<Router>, store: &Store) {
        let mut allocations = self.allocations.lock().await;
        for (workspace, allocation) in allocations.drain() {
            let unspent =
                allocation.limit - lock(router).spent(&workspace).max(allocation.spent_before);
            if unspent > 0.0 && allocation.day == today() {
                // NB: an amount that cannot be released stays unused for the day.
                let _ = release_unspent(store, &workspace, allocation.day, unspent, rand::random())
                    .await;
            }
        }
    }
}

fn today() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_secs() / SECONDS_PER_DAY
}
