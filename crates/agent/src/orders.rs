//! Orders to the backend server, executed one at a time and only for the holder of the lease.
//!
//! Some backend servers do not check fencing tokens. All orders to them pass through this agent,
//! which refuses tokens lower than the highest seen, and orders whose sender may have lost its
//! lease in the meantime.

use std::sync::{
    Mutex,
    atomic::{AtomicU32, Ordering},
};

use pondwalk_threads::lock;
use pondwalk_types::VersionId;
use pondwalk_wire::{Order, OrderKind, OrderRefusal};
use tokio::time::Instant;

use crate::backend::Backend;

/// The hosted versions and the state of orders.
#[derive(Debug)]
pub struct Orders {
    hosted: Mutex<Vec<VersionId>>,
    changes: AtomicU32,
    /// The highest fencing token seen; locked while an order is executed.
    highest_fencing_token: tokio::sync::Mutex<u64>,
}

impl Orders {
    /// Creates the state with the versions hosted at the start.
    pub fn new(hosted: Vec<VersionId>) -> Self {
        Orders {
            hosted: Mutex::new(hosted),
            changes: AtomicU32::new(0),
            highest_fencing_token: tokio::sync::Mutex::new(0),
        }
    }

    /// The hosted versions.
    pub fn hosted(&self) -> Vec<VersionId> {
        lock(&self.hosted).clone()
    }

    /// Whether a version is hosted.
    pub fn hosts(&self, version: &VersionId) -> bool {
        lock(&self.hosted).contains(version)
    }

    /// Number of changes of the hosted versions since the start.
    pub fn changes(&self) -> u32 {
        self.changes.load(Ordering::Relaxed)
    }

    /// Executes an order and returns the versions hosted after it.
    ///
    /// Fails if the fencing token is stale, the order has expired or the backend server fails.
    pub async fn execute(
        &self,
        backend: &Backend,
        order: Order,
    ) -> Result<Vec<VersionId>, OrderRefusal> {
        let deadline = Instant::now() + order.valid_for;
        let mut highest = self.highest_fencing_token.lock().await;
        if order.fence < *highest {
            return Err(OrderRefusal::StaleFence { seen: *highest });
        }
        *highest = order.fence;
        // NB: the lease may have expired while waiting for the lock.
        if Instant::now() >= deadline {
            return Err(OrderRefusal::Expired);
        }
        let remaining = deadline - Instant::now();
        let result =
            tokio::time::timeout(remaining, backend.send_order(order.fence, &order.kind)).await;
        result.unwrap_or(Err(OrderRefusal::Expired))?;
        self.apply(&order.kind);
        Ok(self.hosted())
    }

    fn apply(&self, kind: &OrderKind) {
        let mut hosted = lock(&self.hosted);
        match kind {
            OrderKind::Load(version) if !hosted.contains(version) => hosted.push(version.clone()),
            OrderKind::Load(_) => {}
            OrderKind::Unload(version) => hosted.retain(|other| other != version),
        }
        self.changes.fetch_add(1, Ordering::Relaxed);
    }
}
