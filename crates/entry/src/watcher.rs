//! Watching the configuration in the platform's store.
//!
//! In each data centre a few entries, whichever hold the leases, watch the head record and hand
//! new configurations to the agents that they are connected to; all others take them over from
//! agents. So the store's calls do not grow with the fleet. An entry that has no configuration yet
//! reads the head once by itself.

use std::{sync::Arc, time::Duration};

use pondwalk_config::{HEAD_KEY, PolicyRecord};
use pondwalk_generations::{ChangeError, read_head};
use pondwalk_store::{StoreError, WatchOutcome};
use pondwalk_wire::Configuration;
use rand::Rng;
use tokio::time::sleep;

use crate::{control::offer_to_all, core::Core, lease::FencedLease};

/// Watchers in each data centre.
const WATCHERS: usize = 2;
/// Time to live of a watcher's lease.
const LEASE_TTL: Duration = Duration::from_secs(15);
/// Time between two renewals.
const RENEW_EVERY: Duration = Duration::from_secs(5);
/// Time between two tries to become a watcher, by all entries of a data centre together.
const TRY_EVERY: Duration = Duration::from_secs(5);
/// Pause after the store failed.
const STORE_PAUSE: Duration = Duration::from_millis(500);

/// Watches while this entry holds a lease, and tries for one while it does not.
pub async fn watch(core: &Arc<Core>) {
    loop {
        if core.generation() == 0 && take_over_head(core).await.is_err() {
            core.count("store.failed");
            sleep(STORE_PAUSE).await;
            continue;
        }
        match take_lease(core).await {
            Ok(lease) => watch_under(core, lease).await,
            Err(StoreError::Conflict) => {
                if core.settings.config_bound.is_some() && take_over_head(core).await.is_err() {
                    core.count("store.failed");
                }
                wait_for_turn(core).await;
            }
            Err(_) => {
                core.count("store.failed");
                sleep(STORE_PAUSE).await;
            }
        }
    }
}

/// Takes one of the data centre's leases.
async fn take_lease(core: &Core) -> Result<FencedLease, StoreError> {
    let place = rand::rng().random_range(0..WATCHERS);
    let key = format!("pondwalk/watchers/{}/{place}", core.settings.data_centre);
    FencedLease::take(&core.store, &key, LEASE_TTL).await
}

/// Waits so that all entries of the data centre together try at a steady rate.
async fn wait_for_turn(core: &Core) {
    let others = core.fleet.near_entries() as f64;
    let jitter = rand::rng().random_range(0.5..1.5);
    sleep(TRY_EVERY.mul_f64(others * jitter)).await;
}

/// Follows the head until the lease is lost.
async fn watch_under(core: &Arc<Core>, mut lease: FencedLease) {
    let mut revision = match take_over_head(core).await {
        Ok(revision) => revision,
        Err(_) => return,
    };
    loop {
        // NB: a watch is left open over several renewals.
        let wait = core.settings.store.watch_wait;
        let watched = core.store.watch(HEAD_KEY, revision, wait);
        let watched = tokio::select! {
            watched = watched => watched,
            () = keep(&mut lease) => return,
        };
        match watched {
            Ok(WatchOutcome::Unchanged) => core.confirm(),
            Ok(WatchOutcome::Changed(_)) => match take_over_head(core).await {
                Ok(seen) => revision = seen,
                Err(_) => return,
            },
            Err(_) => {
                core.count("store.failed");
                return sleep(STORE_PAUSE).await;
            }
        }
    }
}

/// Renews the lease; ends when it is lost.
async fn keep(lease: &mut FencedLease) {
    while !lease.valid_for().is_zero() {
        sleep(RENEW_EVERY).await;
        if lease.renew().await == Err(StoreError::LeaseLapsed) {
            return;
        }
    }
}

/// Reads the head and puts it in force if it is newer; returns its revision.
async fn take_over_head(core: &Arc<Core>) -> Result<u64, ChangeError> {
    let head = read_head(&core.store).await?;
    core.confirm();
    let PolicyRecord { generation, policy, .. } = head.record;
    if core.install(Configuration { generation, policy }) {
        offer_to_all(core);
    }
    Ok(head.revision.unwrap_or(0))
}
