//! The control thread: late work, silent entries, and bills that their entry left behind.

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
    execution::{self, SHED_EVERY},
};

/// How often silent entries are looked for, and bills left behind are written.
const SWEEP_EVERY: Duration = Duration::from_secs(1);

/// Does the control thread's work; never ends by itself.
pub async fn run(core: Arc<Core>, store: Store) {
    tokio::join!(shed(&core), sweep(&core, &store));
}

async fn shed(core: &Arc<Core>) {
    let mut ticks = interval(SHED_EVERY);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        execution::shed_late(core);
    }
}

async fn sweep(core: &Arc<Core>, store: &Store) {
    let book = Mutex::new(BillBuffer::new(core.incarnation));
    let mut ticks = interval(SWEEP_EVERY);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        for entry in core.outboxes.drop_silent(core.settings.retain) {
            spdlog::warn!("entry fell silent", kv: { entry });
            execution::cancel_all(core, entry);
            adopt_bills(core, &book, entry);
        }
        if lock(&book).backlog() > 0 && bills::flush(&book, store).await.is_err() {
            core.count("bills.flush_failed");
        }
    }
}

/// Takes over the bills of an entry that is gone; one written twice is merged when read.
fn adopt_bills(core: &Core, book: &Mutex<BillBuffer>, entry: Incarnation) {
    let mut held = lock(&core.bills);
    let left: Vec<String> =
        held.values().filter(|bill| bill.entry == entry).map(|bill| bill.request.clone()).collect();
    for request in left {
        let bill = held.remove(&request);
        let bill = bill.and_then(|held| serde_json::from_slice::<Bill>(&held.bill).ok());
        if let Some(bill) = bill {
            lock(book).add(bill);
            core.count("bills.adopted");
        }
    }
}
