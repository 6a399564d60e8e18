//! Orders to the backend server: one at a time, only from whoever holds the lease.
//!
//! Some backend servers check the fence of an order and some do not. For those that do not, this
//! agent is the only giver of orders: it refuses a fence lower than the highest it has seen, and an
//! order whose giver may have lost its lease by the time it would be passed on.

use std::sync::{
    Mutex,
    atomic::{AtomicU32, Ordering},
};

use pondwalk_threads::lock;
use pondwalk_types::VersionId;
use pondwalk_wire::{Order, OrderKind, OrderRefusal};
use tokio::time::Instant;

use crate::backend::Backend;

/// Versions hosted, and the state of orders.
#[derive(Debug)]
pub struct Orders {
    hosted: Mutex<Vec<VersionId>>,
    changes: AtomicU32,
    /// The highest fence seen; held while an order is carried out.
    fence: tokio::sync::Mutex<u64>,
}

impl Orders {
    /// The versions hosted at the start.
    pub fn new(hosted: Vec<VersionId>) -> Self {
        Orders {
            hosted: Mutex::new(hosted),
            changes: AtomicU32::new(0),
            fence: tokio::sync::Mutex::new(0),
        }
    }

    /// Versions hosted now.
    pub fn hosted(&self) -> Vec<VersionId> {
        lock(&self.hosted).clone()
    }

    /// Whether a version is hosted.
    pub fn hosts(&self, version: &VersionId) -> bool {
        lock(&self.hosted).contains(version)
    }

    /// Changes of the versions hosted so far.
    pub fn changes(&self) -> u32 {
        self.changes.load(Ordering::Relaxed)
    }

    /// Carries out an order, unless it is stale or its time is over.
    pub async fn carry_out(
        &self,
        backend: &Backend,
        order: Order,
    ) -> Result<Vec<VersionId>, OrderRefusal> {
        let until = Instant::now() + order.valid_for;
        let mut seen = self.fence.lock().await;
        if order.fence < *seen {
            return Err(OrderRefusal::StaleFence { seen: *seen });
        }
        *seen = order.fence;
        // NB: the wait for the lock may have outlasted the giver's lease.
        if Instant::now() >= until {
            return Err(OrderRefusal::Expired);
        }
        let left = until - Instant::now();
        let passed_on = tokio::time::timeout(left, backend.order(order.fence, &order.kind)).await;
        passed_on.unwrap_or(Err(OrderRefusal::Expired))?;
        self.note(&order.kind);
        Ok(self.hosted())
    }

    fn note(&self, kind: &OrderKind) {
        let mut hosted = lock(&self.hosted);
        match kind {
            OrderKind::Load(version) if !hosted.contains(version) => hosted.push(version.clone()),
            OrderKind::Load(_) => {}
            OrderKind::Unload(version) => hosted.retain(|other| other != version),
        }
        self.changes.fetch_add(1, Ordering::Relaxed);
    }
}
