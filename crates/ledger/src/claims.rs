//! Claims on idempotency keys: durable before a run that may not be repeated.
//!
//! Claims that arrive together are written in one transaction, so that the store's write budget
//! bounds transactions and not requests. A claim whose outcome stays open is refused, and the
//! request has not run.

use std::time::Duration;

use pondwalk_store::{Change, Expect, Store, StoreError};
use pondwalk_types::{Refusal, RequestId};
use serde::{Deserialize, Serialize};
use tokio::{
    sync::{mpsc, oneshot},
    time::Instant,
};

use crate::commit::{CreateOutcome, create_once};

/// Prefix of all claims.
pub const CLAIMS_PREFIX: &str = "pondwalk/claims/";
/// How long a claim is kept; a caller's own retries come sooner.
const CLAIM_TTL: Duration = Duration::from_secs(26 * 3_600);
/// How long claims share a lease.
const LEASE_SHARED: Duration = Duration::from_secs(3_600);
/// How long the first of several claims waits for others.
const GROUP_WAIT: Duration = Duration::from_millis(10);
/// Most claims in one transaction.
const GROUP_LIMIT: usize = 64;
/// Claims that may wait for the writer.
const WAITING_LIMIT: usize = 4_096;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum ClaimState {
    /// A run may have started.
    Claimed,
    /// It is sure that nothing ran; the key may be claimed again.
    Released,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct ClaimRecord {
    request: RequestId,
    /// Drawn for each claim, so that one's own is recognised after a lost answer.
    nonce: u64,
    state: ClaimState,
}

/// A claim held; releasing it lets the key be used again.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimTicket {
    key: String,
    record: ClaimRecord,
    revision: u64,
}

struct Waiting {
    key: String,
    record: ClaimRecord,
    done: oneshot::Sender<Result<ClaimTicket, Refusal>>,
}

/// Handle on the writer of claims; clones share it.
#[derive(Debug, Clone)]
pub struct Claims {
    waiting: mpsc::Sender<Waiting>,
    store: Store,
}

impl Claims {
    /// Starts the writer on the current runtime; it ends with the last handle.
    pub fn spawn(store: Store) -> Self {
        let (waiting, queue) = mpsc::channel(WAITING_LIMIT);
        let writer = Writer { store: store.clone(), lease: None };
        tokio::spawn(writer.run(queue));
        Claims { waiting, store }
    }

    /// Claims a workspace's idempotency key for a request.
    pub async fn claim(
        &self,
        workspace: &str,
        idempotency_key: &str,
        request: &str,
        nonce: u64,
    ) -> Result<ClaimTicket, Refusal> {
        let record = ClaimRecord { request: request.to_owned(), nonce, state: ClaimState::Claimed };
        let (done, outcome) = oneshot::channel();
        let waiting = Waiting { key: claim_key(workspace, idempotency_key), record, done };
        self.waiting.try_send(waiting).map_err(|_| Refusal::ClaimUnavailable)?;
        outcome.await.unwrap_or(Err(Refusal::ClaimUnavailable))
    }

    /// Gives a claim back, because it is sure that nothing ran.
    pub async fn release(&self, ticket: ClaimTicket) -> Result<(), StoreError> {
        let record = ClaimRecord { state: ClaimState::Released, ..ticket.record };
        let change = Change {
            key: ticket.key,
            value: encode(&record),
            expect: Expect::Revision(ticket.revision),
            lease: None,
        };
        self.store.commit(vec![change]).await.map(drop)
    }
}

/// Keys may hold any text, so they are written in hex.
fn claim_key(workspace: &str, idempotency_key: &str) -> String {
    let hex = |text: &str| text.bytes().map(|byte| format!("{byte:02x}")).collect::<String>();
    format!("{CLAIMS_PREFIX}{}/{}", hex(workspace), hex(idempotency_key))
}

struct Writer {
    store: Store,
    lease: Option<(u64, Instant)>,
}

impl Writer {
    async fn run(mut self, mut queue: mpsc::Receiver<Waiting>) {
        while let Some(first) = queue.recv().await {
            let group = gather(first, &mut queue).await;
            match self.lease().await {
                Ok(lease) => self.write(group, lease).await,
                Err(_) => refuse(group),
            }
        }
    }

    /// The lease that claims of this hour share.
    async fn lease(&mut self) -> Result<u64, StoreError> {
        if let Some((lease, since)) = self.lease
            && since.elapsed() < LEASE_SHARED
        {
            return Ok(lease);
        }
        let lease = self.store.grant_lease(CLAIM_TTL).await?;
        self.lease = Some((lease, Instant::now()));
        Ok(lease)
    }

    async fn write(&self, group: Vec<Waiting>, lease: u64) {
        // NB: two claims on one key cannot share a transaction; the later one goes alone.
        let changes = group.iter().map(|waiting| Change {
            key: waiting.key.clone(),
            value: encode(&waiting.record),
            expect: Expect::Absent,
            lease: Some(lease),
        });
        let distinct: std::collections::HashSet<&String> =
            group.iter().map(|waiting| &waiting.key).collect();
        let together = group.len() > 1 && distinct.len() == group.len();
        if together && let Ok(revision) = self.store.commit(changes.collect()).await {
            for waiting in group {
                finish(waiting, revision);
            }
            return;
        }
        for waiting in group {
            self.write_one(waiting, lease).await;
        }
    }

    async fn write_one(&self, waiting: Waiting, lease: u64) {
        let value = encode(&waiting.record);
        match create_once(&self.store, &waiting.key, &value, Some(lease)).await {
            Ok(CreateOutcome::Ours(revision)) => finish(waiting, revision),
            Ok(CreateOutcome::Others(found)) => self.take_over(waiting, found, lease).await,
            Err(_) => refuse(vec![waiting]),
        }
    }

    /// Claims a key anew that its former holder released.
    async fn take_over(&self, waiting: Waiting, found: pondwalk_store::StoreEntry, lease: u64) {
        let record: Option<ClaimRecord> = serde_json::from_slice(&found.value).ok();
        if !record.is_some_and(|record| record.state == ClaimState::Released) {
            let _ = waiting.done.send(Err(Refusal::DuplicateKey));
            return;
        }
        let change = Change {
            key: waiting.key.clone(),
            value: encode(&waiting.record),
            expect: Expect::Revision(found.revision),
            lease: Some(lease),
        };
        match self.store.commit(vec![change]).await {
            Ok(revision) => finish(waiting, revision),
            Err(StoreError::Conflict) => {
                let _ = waiting.done.send(Err(Refusal::DuplicateKey));
            }
            Err(_) => refuse(vec![waiting]),
        }
    }
}

async fn gather(first: Waiting, queue: &mut mpsc::Receiver<Waiting>) -> Vec<Waiting> {
    let mut group = vec![first];
    let until = Instant::now() + GROUP_WAIT;
    while group.len() < GROUP_LIMIT {
        match tokio::time::timeout_at(until, queue.recv()).await {
            Ok(Some(next)) => group.push(next),
            Ok(None) | Err(_) => break,
        }
    }
    group
}

fn finish(waiting: Waiting, revision: u64) {
    let Waiting { key, record, done } = waiting;
    // NB: a caller that went away leaves its claim behind; its key then stays used.
    let _ = done.send(Ok(ClaimTicket { key, record, revision }));
}

fn refuse(group: Vec<Waiting>) {
    for waiting in group {
        let _ = waiting.done.send(Err(Refusal::ClaimUnavailable));
    }
}

fn encode(record: &ClaimRecord) -> Vec<u8> {
    // NB: a record is a plain tree of numbers and texts, which always has a JSON form.
    serde_json::to_vec(record).unwrap_or_default()
}
