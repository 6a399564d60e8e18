//! Bills from the end of an answer until they are stored.
//!
//! Before an answer is completed, its bill is copied to the agent that produced the answer, so
//! that a single failure loses no bill. The copy is released once the bill is stored.

use std::{collections::HashMap, sync::Mutex};

use pondwalk_ledger::{Bill, BillBuffer, bills};
use pondwalk_store::{Store, StoreError};
use pondwalk_threads::lock;
use pondwalk_types::{Incarnation, RequestId, ServerId};
use pondwalk_wire::HeldBill;

use crate::{agent_links::AgentLinks, calls::call_context};

/// Number of copies of a bill when its answer is completed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Copies {
    /// Held by this process only.
    One,
    /// Held by an agent as well, or stored.
    Two,
}

/// The bills of this process that are not stored yet.
#[derive(Debug)]
pub struct Bills {
    buffer: Mutex<BillBuffer>,
    copy_servers: Mutex<HashMap<RequestId, ServerId>>,
}

impl Bills {
    /// Creates an empty buffer of bills.
    pub fn new(writer: Incarnation) -> Self {
        Bills { buffer: Mutex::new(BillBuffer::new(writer)), copy_servers: Mutex::default() }
    }

    /// Number of bills not known to be stored.
    pub fn backlog(&self) -> usize {
        lock(&self.buffer).backlog()
    }

    /// Copies a bill to the agent of `server`, or writes it to the store if the agent fails.
    pub async fn replicate(
        &self,
        bill: Bill,
        server: &str,
        entry: Incarnation,
        agents: &AgentLinks,
        store: &Store,
    ) -> Copies {
        let request = bill.request.clone();
        // NB: serialization cannot fail, because all fields are numbers and strings.
        let text = serde_json::to_vec(&bill).unwrap_or_default();
        lock(&self.buffer).add(bill);
        let held = HeldBill { entry, request: request.clone(), bill: text };
        let client = agents.get(server).and_then(|link| link.client());
        let copied = match client {
            Some(client) => client.hold_bill(call_context(), held).await.is_ok(),
            None => false,
        };
        if copied {
            lock(&self.copy_servers).insert(request, server.to_owned());
            return Copies::Two;
        }
        // NB: without a copy at an agent, the bill is written to the store at once.
        match self.flush(store, agents).await {
            Ok(()) => Copies::Two,
            Err(_) => Copies::One,
        }
    }

    /// Writes all pending bills to the store and releases their copies.
    pub async fn flush(&self, store: &Store, agents: &AgentLinks) -> Result<(), StoreError> {
        while self.backlog() > 0 {
            let durable = bills::flush(&self.buffer, store).await?;
            self.release_copies(durable, agents).await;
        }
        Ok(())
    }

    async fn release_copies(&self, durable: Vec<RequestId>, agents: &AgentLinks) {
        let mut by_server: HashMap<ServerId, Vec<RequestId>> = HashMap::new();
        {
            let mut copy_servers = lock(&self.copy_servers);
            for request in durable {
                if let Some(server) = copy_servers.remove(&request) {
                    by_server.entry(server).or_default().push(request);
                }
            }
        }
        for (server, requests) in by_server {
            if let Some(client) = agents.get(&server).and_then(|link| link.client()) {
                // NB: an agent writes copies that are not released again; readers merge duplicates.
                let _ = client.release_bills(call_context(), requests).await;
            }
        }
    }
}
