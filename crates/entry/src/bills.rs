//! Bills between the end of an answer and their place in the store.
//!
//! A bill is held by this process and by the agent that gave the answer before the answer is
//! closed, so that one failure loses none; the agent's copy is released once the store has it.

use std::{collections::HashMap, sync::Mutex};

use pondwalk_ledger::{Bill, BillBuffer, bills};
use pondwalk_store::{Store, StoreError};
use pondwalk_threads::lock;
use pondwalk_types::{Incarnation, RequestId, ServerId};
use pondwalk_wire::HeldBill;

use crate::{calls::call_context, fleet::Fleet};

/// How many hold a bill once its answer is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Copies {
    /// This process alone.
    One,
    /// An agent too, or the store.
    Two,
}

/// Bills of this process.
#[derive(Debug)]
pub struct Bills {
    book: Mutex<BillBuffer>,
    holders: Mutex<HashMap<RequestId, ServerId>>,
}

impl Bills {
    /// No bills yet.
    pub fn new(writer: Incarnation) -> Self {
        Bills { book: Mutex::new(BillBuffer::new(writer)), holders: Mutex::default() }
    }

    /// Bills not known to be durable.
    pub fn backlog(&self) -> usize {
        lock(&self.book).backlog()
    }

    /// Makes a bill safe before its answer is closed: at the agent of `server`, or else in the store.
    pub async fn hold(
        &self,
        bill: Bill,
        server: &str,
        entry: Incarnation,
        fleet: &Fleet,
        store: &Store,
    ) -> Copies {
        let request = bill.request.clone();
        // NB: a bill is a plain tree of numbers and texts, which always has a JSON form.
        let text = serde_json::to_vec(&bill).unwrap_or_default();
        lock(&self.book).add(bill);
        let held = HeldBill { entry, request: request.clone(), bill: text };
        let client = fleet.get(server).and_then(|link| link.client());
        let copied = match client {
            Some(client) => client.hold_bill(call_context(), held).await.is_ok(),
            None => false,
        };
        if copied {
            lock(&self.holders).insert(request, server.to_owned());
            return Copies::Two;
        }
        // NB: without a second holder the bill goes to the store first, if the store answers.
        match self.flush(store, fleet).await {
            Ok(()) => Copies::Two,
            Err(_) => Copies::One,
        }
    }

    /// Writes all bills there are, and releases their copies.
    pub async fn flush(&self, store: &Store, fleet: &Fleet) -> Result<(), StoreError> {
        while self.backlog() > 0 {
            let durable = bills::flush(&self.book, store).await?;
            self.release(durable, fleet).await;
        }
        Ok(())
    }

    async fn release(&self, durable: Vec<RequestId>, fleet: &Fleet) {
        let mut by_server: HashMap<ServerId, Vec<RequestId>> = HashMap::new();
        {
            let mut holders = lock(&self.holders);
            for request in durable {
                if let Some(server) = holders.remove(&request) {
                    by_server.entry(server).or_default().push(request);
                }
            }
        }
        for (server, requests) in by_server {
            if let Some(client) = fleet.get(&server).and_then(|link| link.client()) {
                // NB: a copy not released is written once more by its agent, and merged when read.
                let _ = client.release_bills(call_context(), requests).await;
            }
        }
    }
}
