//! A lease with a fencing token and a conservative validity period.
//!
//! The validity is counted from the time before a renewal is sent. The holder therefore stops
//! before the store can grant the lease to another process, even after a slow reply or a pause.

use std::time::Duration;

use pondwalk_store::{Change, Expect, Store, StoreError};
use tokio::time::Instant;

/// Share of the time to live reserved for clock drift.
const SAFETY_MARGIN: f64 = 0.2;

/// A lease acquired by this process; it may have expired.
#[derive(Debug)]
pub struct FencedLease {
    store: Store,
    lease_id: u64,
    fencing_token: u64,
    ttl: Duration,
    valid_until: Instant,
}

impl FencedLease {
    /// Acquires the lease named `key`.
    ///
    /// Fails with [`StoreError::Conflict`] if another process holds it.
    pub async fn acquire(store: &Store, key: &str, ttl: Duration) -> Result<Self, StoreError> {
        if store.get(key).await?.is_some() {
            return Err(StoreError::Conflict);
        }
        let sent = Instant::now();
        let lease_id = store.grant_lease(ttl).await?;
        let change = Change {
            key: key.to_owned(),
            value: Vec::new(),
            expect: Expect::Absent,
            lease: Some(lease_id),
        };
        // NB: revisions of the store increase, so later holders have higher fencing tokens.
        let fencing_token = store.commit(vec![change]).await?;
        let valid_until = sent + ttl.mul_f64(1.0 - SAFETY_MARGIN);
        Ok(FencedLease { store: store.clone(), lease_id, fencing_token, ttl, valid_until })
    }

    /// Renews the lease; fails with [`StoreError::LeaseExpired`] if it has expired.
    pub async fn renew(&mut self) -> Result<(), StoreError> {
        let sent = Instant::now();
        self.store.renew_lease(self.lease_id).await?;
        self.valid_until = sent + self.ttl.mul_f64(1.0 - SAFETY_MARGIN);
        Ok(())
    }

    /// The fencing token of orders sent under the lease.
    pub fn fencing_token(&self) -> u64 {
        self.fencing_token
    }

    /// Time for which the lease is certainly held; zero if it may have expired.
    pub fn valid_for(&self) -> Duration {
        self.valid_until.saturating_duration_since(Instant::now())
    }
}
