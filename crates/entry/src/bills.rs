//! Bills between the end of an answer and their place in the store.
//!
//! A bill is held by this process and by the agent that gave the answer before the answer is
//! closed, so that one failure loses none; the agent's copy is released once the store has it.

use std::{collections::HashMap, sync::Mutex};

use pondwalk_ledger::{Bill, BillBook, bills};
use pondwalk_store::StoreError;
use pondwalk_types::{Incarnation, RequestId, ServerId};
use pondwalk_wire::HeldBill;

use crate::{
    core::{Core, lock},
    link::Link,
};

/// Bills of this process.
#[derive(Debug)]
pub struct Bills {
    book: Mutex<BillBook>,
    holders: Mutex<HashMap<RequestId, ServerId>>,
}

impl Bills {
    /// No bills yet.
    pub fn new(writer: Incarnation) -> Self {
        Bills { book: Mutex::new(BillBook::new(writer)), holders: Mutex::default() }
    }

    /// Bills not known to be durable.
    pub fn backlog(&self) -> usize {
        lock(&self.book).backlog()
    }
}

/// Makes a bill safe before its answer is closed.
pub async fn hold(core: &Core, bill: Bill, server: &str) {
    let request = bill.request.clone();
    // NB: a bill is a plain tree of numbers and texts, which always has a JSON form.
    let text = serde_json::to_vec(&bill).unwrap_or_default();
    lock(&core.bills.book).add(bill);
    let held = HeldBill { entry: core.incarnation, request: request.clone(), bill: text };
    let client = core.fleet.get(server).and_then(|link| link.client());
    let copied = match client {
        Some(client) => client.hold_bill(Link::call_context(), held).await.is_ok(),
        None => false,
    };
    if copied {
        lock(&core.bills.holders).insert(request, server.to_owned());
        return;
    }
    // NB: without a second holder the bill goes to the store first, if the store answers.
    if flush(core).await.is_err() {
        core.count("bills.single_copy");
    }
}

/// Writes all bills there are, and releases their copies.
pub async fn flush(core: &Core) -> Result<(), StoreError> {
    while core.bills.backlog() > 0 {
        let durable = bills::flush(&core.bills.book, &core.store).await?;
        release(core, durable).await;
    }
    Ok(())
}

async fn release(core: &Core, durable: Vec<RequestId>) {
    let mut by_server: HashMap<ServerId, Vec<RequestId>> = HashMap::new();
    {
        let mut holders = lock(&core.bills.holders);
        for request in durable {
            if let Some(server) = holders.remove(&request) {
                by_server.entry(server).or_default().push(request);
            }
        }
    }
    for (server, requests) in by_server {
        if let Some(client) = core.fleet.get(&server).and_then(|link| link.client()) {
            // NB: a copy not released is written once more by its agent, and merged when read.
            let _ = client.release_bills(Link::call_context(), requests).await;
        }
    }
}
