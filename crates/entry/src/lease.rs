//! A lease with a fence, and the time for which its holder may rely on it.
//!
//! The time is counted from before a renewal was sent, so the holder stops before the store can
//! have given the lease to another, also when the answer was slow or the holder was paused.

use std::time::Duration;

use pondwalk_store::{Change, Expect, Store, StoreError};
use tokio::time::Instant;

/// Part of the time to live that the holder does not rely on, for clocks that drift.
const MARGIN: f64 = 0.2;

/// A lease that this process holds, or held.
#[derive(Debug)]
pub struct FencedLease {
    store: Store,
    lease: u64,
    fence: u64,
    ttl: Duration,
    relied_on_until: Instant,
}

impl FencedLease {
    /// Takes the lease named by `key`, unless another process holds it.
    pub async fn take(store: &Store, key: &str, ttl: Duration) -> Result<Self, StoreError> {
        if store.get(key).await?.is_some() {
            return Err(StoreError::Conflict);
        }
        let sent = Instant::now();
        let lease = store.grant_lease(ttl).await?;
        let change = Change {
            key: key.to_owned(),
            value: Vec::new(),
            expect: Expect::Absent,
            lease: Some(lease),
        };
        // NB: the store's revision only grows, so a later holder's fence is higher.
        let fence = store.commit(vec![change]).await?;
        let relied_on_until = sent + ttl.mul_f64(1.0 - MARGIN);
        Ok(FencedLease { store: store.clone(), lease, fence, ttl, relied_on_until })
    }

    /// Renews the lease.
    pub async fn renew(&mut self) -> Result<(), StoreError> {
        let sent = Instant::now();
        self.store.renew_lease(self.lease).await?;
        self.relied_on_until = sent + self.ttl.mul_f64(1.0 - MARGIN);
        Ok(())
    }

    /// The fence that orders given under the lease carry.
    pub fn fence(&self) -> u64 {
        self.fence
    }

    /// Time for which the lease is surely still held; zero once that is not sure.
    pub fn valid_for(&self) -> Duration {
        self.relied_on_until.saturating_duration_since(Instant::now())
    }
}
