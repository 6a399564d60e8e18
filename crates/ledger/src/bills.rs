//! Bills: gathered in memory, written in batches, merged by request id when read.

use std::collections::{BTreeMap, VecDeque};

use pondwalk_store::{Store, StoreError};
use pondwalk_types::{Incarnation, RequestId, VersionId, WorkspaceId};
use serde::{Deserialize, Serialize};

use crate::commit::create_once;

/// Prefix of all batches.
pub const BILLS_PREFIX: &str = "pondwalk/bills/";
/// Largest batch, in bytes; the store takes values up to a megabyte.
const BATCH_LIMIT_BYTES: usize = 900_000;

/// One run that a bill charges for.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BillItem {
    /// The version, or service, that ran.
    pub version: VersionId,
    /// Tokens read.
    pub prompt_tokens: u64,
    /// Tokens generated.
    pub output_tokens: u64,
    /// What the run costs.
    pub cost: f64,
}

/// The bill of one request: the runs behind the answer that was delivered.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Bill {
    /// The request, which is billed once however often its bill is written.
    pub request: RequestId,
    /// Who pays.
    pub workspace: WorkspaceId,
    /// The runs.
    pub items: Vec<BillItem>,
}

impl Bill {
    /// What the whole request costs.
    pub fn cost(&self) -> f64 {
        self.items.iter().map(|item| item.cost).sum()
    }
}

/// A batch whose write has been tried; it never changes after that.
#[derive(Debug)]
struct Batch {
    key: String,
    value: Vec<u8>,
    requests: Vec<RequestId>,
}

/// Bills that one process still has to write.
#[derive(Debug)]
pub struct BillBuffer {
    writer: Incarnation,
    next_batch: u64,
    pending: VecDeque<Bill>,
    in_doubt: Option<Batch>,
}

impl BillBuffer {
    /// An empty book of the process with this incarnation.
    pub fn new(writer: Incarnation) -> Self {
        BillBuffer { writer, next_batch: 0, pending: VecDeque::new(), in_doubt: None }
    }

    /// Adds a bill.
    pub fn add(&mut self, bill: Bill) {
        self.pending.push_back(bill);
    }

    /// Bills not known to be durable.
    pub fn backlog(&self) -> usize {
        self.pending.len() + self.in_doubt.as_ref().map_or(0, |batch| batch.requests.len())
    }

    /// The batch to write next, if there is anything to write.
    fn batch(&mut self) -> Option<&Batch> {
        if self.in_doubt.is_none() && !self.pending.is_empty() {
            let batch = self.cut_batch();
            self.in_doubt = Some(batch);
        }
        self.in_doubt.as_ref()
    }

    fn cut_batch(&mut self) -> Batch {
        let mut value = Vec::new();
        let mut requests = Vec::new();
        while let Some(bill) = self.pending.front() {
            // NB: a bill is a plain tree of numbers and texts, which always has a JSON form.
            let line = serde_json::to_vec(bill).unwrap_or_default();
            if !value.is_empty() && value.len() + line.len() >= BATCH_LIMIT_BYTES {
                break;
            }
            value.extend_from_slice(&line);
            value.push(b'\n');
            requests.extend(self.pending.pop_front().map(|bill| bill.request));
        }
        let key = format!("{BILLS_PREFIX}{:016x}/{:010}", self.writer, self.next_batch);
        self.next_batch += 1;
        Batch { key, value, requests }
    }
}

/// Writes one batch of a shared book; returns the requests whose bills are durable now.
///
/// The book is locked only before and after the write, so bills can be added meanwhile.
pub async fn flush(
    book: &std::sync::Mutex<BillBuffer>,
    store: &Store,
) -> Result<Vec<RequestId>, StoreError> {
    let lock = || book.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
    let Some((key, value)) = lock().batch().map(|batch| (batch.key.clone(), batch.value.clone()))
    else {
        return Ok(Vec::new());
    };
    // NB: only this process writes under its incarnation, so whatever stands there is ours.
    create_once(store, &key, &value, None).await?;
    let written = lock().in_doubt.take();
    Ok(written.map(|batch| batch.requests).unwrap_or_default())
}

/// All bills, merged.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Ledger {
    /// Bills by request.
    pub bills: BTreeMap<RequestId, Bill>,
    /// Bills that stood more than once and were counted once.
    pub repeats: u64,
    /// Lines that could not be read.
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

    /// Cost by workspace and version, each with the number of runs.
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
