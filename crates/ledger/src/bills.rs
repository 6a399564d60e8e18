//! Bills, which are buffered in memory, written in batches, and merged by request id when read.

use std::collections::{BTreeMap, VecDeque};

use pondwalk_store::{Store, StoreError};
use pondwalk_types::{Incarnation, RequestId, VersionId, WorkspaceId};
use serde::{Deserialize, Serialize};

use crate::commit::create_once;

/// Key prefix of all batches.
pub const BILLS_PREFIX: &str = "pondwalk/bills/";
/// Largest batch, in bytes; the store accepts values up to a megabyte.
const MAX_BATCH_BYTES: usize = 900_000;

/// One billed run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BillItem {
    /// The version, or service, that ran.
    pub version: VersionId,
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Number of generated tokens.
    pub output_tokens: u64,
    /// Cost of the run, in the currency of the prices.
    pub cost: f64,
}

/// The bill of one request: all runs that contributed to the delivered answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Bill {
    /// Id of the request, which is billed only once even if the bill is written several times.
    pub request: RequestId,
    /// Workspace that is billed.
    pub workspace: WorkspaceId,
    /// Billed runs.
    pub items: Vec<BillItem>,
}

impl Bill {
    /// Total cost of the request.
    pub fn cost(&self) -> f64 {
        self.items.iter().map(|item| item.cost).sum()
    }
}

/// A batch whose write was attempted; its content is fixed from then on.
#[derive(Debug)]
struct Batch {
    key: String,
    value: Vec<u8>,
    requests: Vec<RequestId>,
}

/// Bills that a process has not yet written durably.
#[derive(Debug)]
pub struct BillBuffer {
    writer: Incarnation,
    next_batch_number: u64,
    pending: VecDeque<Bill>,
    unconfirmed: Option<Batch>,
}

impl BillBuffer {
    /// Creates an empty buffer for the process with this incarnation.
    pub fn new(writer: Incarnation) -> Self {
        BillBuffer { writer, next_batch_number: 0, pending: VecDeque::new(), unconfirmed: None }
    }

    /// Adds a bill.
    pub fn add(&mut self, bill: Bill) {
        self.pending.push_back(bill);
    }

    /// Number of bills not known to be durable.
    pub fn backlog(&self) -> usize {
        self.pending.len() + self.unconfirmed.as_ref().map_or(0, |batch| batch.requests.len())
    }

    /// The batch to write next: the unconfirmed one or else a new one; `None` if there are no bills.
    fn next_batch(&mut self) -> Option<&Batch> {
        if self.unconfirmed.is_none() && !self.pending.is_empty() {
            let batch = self.build_batch();
            self.unconfirmed = Some(batch);
        }
        self.unconfirmed.as_ref()
    }

    fn build_batch(&mut self) -> Batch {
        let mut value = Vec::new();
        let mut requests = Vec::new();
        while let Some(bill) = self.pending.front() {
            // NB: a bill has only numbers and strings, so serialization cannot fail.
            let line = serde_json::to_vec(bill).unwrap_or_default();
            if !value.is_empty() && value.len() + line.len() >= MAX_BATCH_BYTES {
                break;
            }
            value.extend_from_slice(&line);
            value.push(b'\n');
            requests.extend(self.pending.pop_front().map(|bill| bill.request));
        }
        let key = format!("{BILLS_PREFIX}{:016x}/{:010}", self.writer, self.next_batch_number);
        self.next_batch_number += 1;
        Batch { key, value, requests }
    }
}

/// Writes one batch of a shared buffer; returns the requests whose bills are now durable.
///
/// The buffer is locked only before and after the write, so bills can be added during the write.
///
/// # Errors
///
/// Returns the store's error; the batch stays in the buffer and is written again by the next call.
pub async fn flush(
    buffer: &std::sync::Mutex<BillBuffer>,
    store: &Store,
) -> Result<Vec<RequestId>, StoreError> {
    let lock = || buffer.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
    let Some((key, value)) =
        lock().next_batch().map(|batch| (batch.key.clone(), batch.value.clone()))
    else {
        return Ok(Vec::new());
    };
    // NB: only this process writes keys with its incarnation, so an existing value is its own.
    create_once(store, &key, &value, None).await?;
    let written = lock().unconfirmed.take();
    Ok(written.map(|batch| batch.requests).unwrap_or_default())
}

/// All bills, merged.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Ledger {
    /// Bills by request.
    pub bills: BTreeMap<RequestId, Bill>,
    /// Number of duplicate bills, which are not counted.
    pub repeats: u64,
    /// Number of lines that could not be decoded.
    pub unreadable: u64,
}

impl Ledger {
    /// Adds the bills of one batch.
    pub fn merge(&mut self, value: &[u8]) {
        for line in value.split(|byte| *byte == b'\n').filter(|line| !line.is_empty()) {
            match serde_json::from_slice::<Bill>(line) {
                Ok(bill) => self.add(bill),
                Err(_) => self.unreadable += 1,
            }
        }
    }

    /// Number of runs and total cost, by workspace and version.
    pub fn totals(&self) -> BTreeMap<(WorkspaceId, VersionId), (u64, f64)> {
        let mut totals = BTreeMap::new();
        for bill in self.bills.values() {
            for item in &bill.items {
                let key = (bill.workspace.clone(), item.version.clone());
                let (runs, cost) = totals.entry(key).or_insert((0, 0.0));
                *runs += 1;
                *cost += item.cost;
            }
        }
        totals
    }

    fn add(&mut self, bill: Bill) {
        if self.bills.insert(bill.request.clone(), bill).is_some() {
            self.repeats += 1;
        }
    }
}

/// Reads all bills from the store.
pub async fn read_ledger(store: &Store) -> Result<Ledger, StoreError> {
    let mut ledger = Ledger::default();
    for batch in store.list(BILLS_PREFIX).await? {
        ledger.merge(&batch.value);
    }
    Ok(ledger)
}
