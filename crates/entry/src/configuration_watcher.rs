//! Watching of the configuration in the platform's store.
//!
//! In each data centre, the few entries that hold a lease watch the head record and push new
//! configurations to their agents; all other entries receive them from agents. The load on the
//! store is therefore independent of the size of the fleet. An entry without a configuration
//! reads the head record itself.

use std::{sync::Arc, time::Duration};

use pondwalk_config::{HEAD_KEY, PolicyRecord};
use pondwalk_generations::{ChangeError, read_head_since};
use pondwalk_store::{StoreError, WatchOutcome};
use pondwalk_wire::Configuration;
use rand::Rng;
use tokio::time::sleep;

use crate::{control::push_configuration, core::Core, lease::FencedLease};

/// Number of watching entries per data centre.
const WATCHERS_PER_DATA_CENTRE: usize = 2;
/// Time to live of a watcher's lease.
const LEASE_TTL: Duration = Duration::from_secs(15);
/// Time between two renewals of the lease.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(5);
/// Mean time between two attempts to get a lease, over all entries of a data centre.
const LEASE_ATTEMPT_INTERVAL: Duration = Duration::from_secs(5);
/// Longest wait of a watch. A store that was restored from a copy reuses revisions, so a watch says
/// nothing about changes in it, and the head record is read after each.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(5);
/// Delay after a failure of the store.
const STORE_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Watches while this entry holds a lease; otherwise tries to acquire one.
pub async fn watch(core: &Arc<Core>) {
    loop {
        if core.generation() == 0 && apply_head(core).await.is_err() {
            core.count("store.failed");
            sleep(STORE_RETRY_DELAY).await;
            continue;
        }
        match acquire_lease(core).await {
            Ok(lease) => watch_with_lease(core, lease).await,
            Err(StoreError::Conflict) => {
                if core.settings.config_bound.is_some() && apply_head(core).await.is_err() {
                    core.count("store.failed");
                }
                wait_before_attempt(core).await;
            }
            Err(_) => {
                core.count("store.failed");
                sleep(STORE_RETRY_DELAY).await;
            }
        }
    }
}

/// Tries to acquire one of the data centre's leases, chosen at random.
async fn acquire_lease(core: &Core) -> Result<FencedLease, StoreError> {
    let slot = rand::rng().random_range(0..WATCHERS_PER_DATA_CENTRE);
    let key = format!("pondwalk/watchers/{}/{slot}", core.settings.data_centre);
    FencedLease::acquire(&core.store, &key, LEASE_TTL).await
}

/// Waits so that the rate of attempts is independent of the number of entries.
async fn wait_before_attempt(core: &Core) {
    let local_entries = core.agents.local_entry_count() as f64;
    let jitter = rand::rng().random_range(0.5..1.5);
    sleep(LEASE_ATTEMPT_INTERVAL.mul_f64(local_entries * jitter)).await;
}

/// Watches the head record until the lease is lost or the store fails.
async fn watch_with_lease(core: &Arc<Core>, mut lease: FencedLease) {
    let mut revision = match apply_head(core).await {
        Ok(revision) => revision,
        Err(_) => return,
    };
    loop {
        // NB: one watch call may span several renewals.
        let wait = core.settings.store.watch_wait.min(MAX_WATCH_WAIT);
        let watched = core.store.watch(HEAD_KEY, revision, wait);
        let watched = tokio::select! {
            watched = watched => watched,
            () = renew_until_lost(&mut lease) => return,
        };
        match watched {
            Ok(WatchOutcome::Unchanged | WatchOutcome::Changed(_)) => {
                match apply_head(core).await {
                    Ok(applied) => revision = applied,
                    Err(_) => return,
                }
            }
            Err(_) => {
                core.count("store.failed");
                return sleep(STORE_RETRY_DELAY).await;
            }
        }
    }
}

/// Renews the lease; returns when it is lost.
async fn renew_until_lost(lease: &mut FencedLease) {
    while !lease.valid_for().is_zero() {
        sleep(RENEWAL_INTERVAL).await;
        if lease.renew().await == Err(StoreError::LeaseExpired) {
            return;
        }
    }
}

/// Reads the head record and installs it if it is newer; returns its revision.
async fn apply_head(core: &Arc<Core>) -> Result<u64, ChangeError> {
    let known = core.newest_record();
    let head = read_head_since(&core.store, known.as_ref()).await?;
    core.record_head(&head.record);
    let PolicyRecord { generation, policy, .. } = head.record;
    if generation < core.generation() {
        // Only an entry that has read the lost record itself can write it again.
        core.count("store.behind");
    } else {
        core.confirm();
    }
    if core.install(Configuration { generation, policy }) {
        push_configuration(core);
    }
    Ok(head.revision.unwrap_or(0))
}
