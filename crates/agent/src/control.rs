//! Work of the control thread: sheds expired runs, and cleans up after inactive entries.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use pondwalk_ledger::{Bill, BillBuffer, bills};
use pondwalk_store::Store;
use pondwalk_threads::lock;
use pondwalk_types::Incarnation;
use tokio::time::{MissedTickBehavior, interval};

use crate::{
    core::Core,
    execution::{self, SHED_INTERVAL},
};

/// Interval of checks for inactive entries and of writes of their bills.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Runs the tasks of the control thread; never returns.
pub async fn run(core: Arc<Core>, store: Store) {
    tokio::join!(shed_expired(&core), release_inactive_entries(&core, &store));
}

async fn shed_expired(core: &Arc<Core>) {
    let mut ticks = interval(SHED_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        execution::shed_expired(core);
    }
}

async fn release_inactive_entries(core: &Arc<Core>, store: &Store) {
    let buffer = Mutex::new(BillBuffer::new(core.incarnation));
    let mut ticks = interval(SWEEP_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        for entry in core.outboxes.drop_inactive(core.settings.retain) {
            spdlog::warn!("entry fell silent", kv: { entry });
            execution::cancel_all(core, entry);
            adopt_bills(core, &buffer, entry);
        }
        if lock(&buffer).backlog() > 0 && bills::flush(&buffer, store).await.is_err() {
            core.count("bills.flush_failed");
        }
    }
}

/// Takes over the bills of an inactive entry; readers merge bills that are written twice.
fn adopt_bills(core: &Core, buffer: &Mutex<BillBuffer>, entry: Incarnation) {
    let mut held = lock(&core.bills);
    let requests: Vec<String> =
        held.values().filter(|bill| bill.entry == entry).map(|bill| bill.request.clone()).collect();
    for request in requests {
        let bill = held.remove(&request);
        let bill = bill.and_then(|held| serde_json::from_slice::<Bill>(&held.bill).ok());
        if let Some(bill) = bill {
            lock(buffer).add(bill);
            core.count("bills.adopted");
        }
    }
}
