//! This process's slices of the workspaces' spend caps.

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

/// Slices taken, by workspace.
#[derive(Debug, Default)]
pub struct Slices {
    // NB: held over calls to the store, so that one request takes a slice and others wait for it.
    taken: Mutex<HashMap<WorkspaceId, Taken>>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Taken {
    day: u64,
    /// What this process may have spent since its start.
    limit: f64,
    /// What it had spent when the day began.
    spent_before: f64,
    /// Whether the day's cap has been given out to the last slice.
    used_up: bool,
}

impl Slices {
    /// Takes a further slice for a workspace whose own is more than half used.
    pub async fn top_up(
        &self,
        workspace: &WorkspaceId,
        cap: f64,
        router: &sync::Mutex<Router>,
        store: &Store,
    ) -> Result<(), StoreError> {
        let enough = || {
            let left = lock(router).remaining_spend(workspace);
            left.is_some_and(|left| left >= cap / SLICES / 2.0)
        };
        if enough() {
            return Ok(());
        }
        let mut slices = self.taken.lock().await;
        let taken = slices.entry(workspace.clone()).or_default();
        let day = today();
        let spent = lock(router).spent(workspace);
        if taken.day != day {
            *taken = Taken { day, limit: spent, spent_before: spent, used_up: false };
        }
        if taken.used_up || enough() {
            return Ok(());
        }
        let slice = allocate_slice(store, workspace, day, cap, rand::random()).await?;
        taken.used_up = slice == 0.0;
        taken.limit += slice;
        lock(router).set_spend_slice(workspace, Some(taken.limit));
        Ok(())
    }

    /// Gives back what this process has not spent, before a planned stop ends.
    pub async fn give_back_all(&self, router: &sync::Mutex<Router>, store: &Store) {
        let mut slices = self.taken.lock().await;
        for (workspace, taken) in slices.drain() {
            let unspent = taken.limit - lock(router).spent(&workspace).max(taken.spent_before);
            if unspent > 0.0 && taken.day == today() {
                // NB: a slice that cannot be given back is lost to its day.
                let _ =
                    release_unspent(store, &workspace, taken.day, unspent, rand::random()).await;
            }
        }
    }
}

fn today() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_secs() / SECONDS_PER_DAY
}
