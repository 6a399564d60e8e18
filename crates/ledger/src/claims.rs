//! Claims on idempotency keys, stored durably before a run that must not be repeated.
//!
//! Concurrent claims are written in one transaction, so that the store's write budget limits
//! transactions instead of requests. A claim whose outcome remains unknown is refused, and the
//! request is not run.

use std::time::Duration;

use pondwalk_store::{Change, Expect, Store, StoreError};
use pondwalk_types::{Refusal, RequestId};
use serde::{Deserialize, Serialize};
use tokio::{
    sync::{mpsc, oneshot},
    time::Instant,
};

use crate::commit::{CreateOutcome, create_once};

/// Key prefix of all claims.
pub const CLAIMS_PREFIX: &str = "pondwalk/claims/";
/// Time for which a claim is kept, longer than callers keep retrying.
const CLAIM_TTL: Duration = Duration::from_secs(26 * 3_600);
/// Time for which new claims share a lease.
const LEASE_SHARING_TIME: Duration = Duration::from_secs(3_600);
/// Time that the first claim of a group waits for others.
const GROUP_WAIT: Duration = Duration::from_millis(10);
/// Maximum number of claims per transaction.
const MAX_GROUP_SIZE: usize = 64;
/// Maximum number of claims queued for the writer.
const MAX_QUEUED_CLAIMS: usize = 4_096;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum ClaimState {
    /// A run may have started.
    Claimed,
    /// Nothing ran; the key may be claimed again.
    Released,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct ClaimRecord {
    request: RequestId,
    /// Random number of the claim, by which its writer recognises it after a lost response.
    nonce: u64,
    state: ClaimState,
}

/// A successful claim, which can be released so that the key can be used again.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimTicket {
    key: String,
    record: ClaimRecord,
    revision: u64,
}

struct PendingClaim {
    key: String,
    record: ClaimRecord,
    done: oneshot::Sender<Result<ClaimTicket, Refusal>>,
}

/// Handle to the task that writes claims; clones share the task.
#[derive(Debug, Clone)]
pub struct Claims {
    queue: mpsc::Sender<PendingClaim>,
    store: Store,
}

impl Claims {
    /// Starts the writer task on the current runtime; it ends when the last handle is dropped.
    pub fn spawn(store: Store) -> Self {
        let (queue, receiver) = mpsc::channel(MAX_QUEUED_CLAIMS);
        let writer = Writer { store: store.clone(), lease: None };
        tokio::spawn(writer.run(receiver));
        Claims { queue, store }
    }

    /// Claims a workspace's idempotency key for a request.
    ///
    /// # Errors
    ///
    /// `DuplicateKey` if the key is claimed; `ClaimUnavailable` if the claim could not be stored or the queue is full.
    pub async fn claim(
        &self,
        workspace: &str,
        idempotency_key: &str,
        request: &str,
        nonce: u64,
    ) -> Result<ClaimTicket, Refusal> {
        let record = ClaimRecord { request: request.to_owned(), nonce, state: ClaimState::Claimed };
        let (done, outcome) = oneshot::channel();
        let claim = PendingClaim { key: claim_key(workspace, idempotency_key), record, done };
        self.queue.try_send(claim).map_err(|_| Refusal::ClaimUnavailable)?;
        outcome.await.unwrap_or(Err(Refusal::ClaimUnavailable))
    }

    /// Releases a claim; valid only if nothing ran.
    ///
    /// # Errors
    ///
    /// Returns the store's error; `Conflict` if the claim was already released or replaced.
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

/// The store key of a claim; workspace and key are hex-encoded, since they may contain any character.
fn claim_key(workspace: &str, idempotency_key: &str) -> String {
    let hex = |text: &str| text.bytes().map(|byte| format!("{byte:02x}")).collect::<String>();
    format!("{CLAIMS_PREFIX}{}/{}", hex(workspace), hex(idempotency_key))
}

struct Writer {
    store: Store,
    lease: Option<(u64, Instant)>,
}

impl Writer {
    async fn run(mut self, mut queue: mpsc::Receiver<PendingClaim>) {
        while let Some(first) = queue.recv().await {
            let group = collect_group(first, &mut queue).await;
            match self.lease().await {
                Ok(lease) => self.write(group, lease).await,
                Err(_) => refuse_all(group),
            }
        }
    }

    /// The current shared lease; creates a new one once the sharing time is over.
    async fn lease(&mut self) -> Result<u64, StoreError> {
        if let Some((lease, since)) = self.lease
            && since.elapsed() < LEASE_SHARING_TIME
        {
            return Ok(lease);
        }
        let lease = self.store.grant_lease(CLAIM_TTL).await?;
        self.lease = Some((lease, Instant::now()));
        Ok(lease)
    }

    async fn write(&self, group: Vec<PendingClaim>, lease: u64) {
        // NB: two claims on one key cannot share a transaction, so such a group is written one by one.
        let changes = group.iter().map(|claim| Change {
            key: claim.key.clone(),
            value: encode(&claim.record),
            expect: Expect::Absent,
            lease: Some(lease),
        });
        let distinct: std::collections::HashSet<&String> =
            group.iter().map(|claim| &claim.key).collect();
        let is_batchable = group.len() > 1 && distinct.len() == group.len();
        if is_batchable && let Ok(revision) = self.store.commit(changes.collect()).await {
            for claim in group {
                complete(claim, revision);
            }
            return;
        }
        for claim in group {
            self.write_one(claim, lease).await;
        }
    }

    async fn write_one(&self, claim: PendingClaim, lease: u64) {
        let value = encode(&claim.record);
        match create_once(&self.store, &claim.key, &value, Some(lease)).await {
            Ok(CreateOutcome::OwnValue(revision)) => complete(claim, revision),
            Ok(CreateOutcome::OtherValue(found)) => self.claim_released(claim, found, lease).await,
            Err(_) => refuse_all(vec![claim]),
        }
    }

    /// Claims an existing key if its claim was released; refuses the claim otherwise.
    async fn claim_released(
        &self,
        claim: PendingClaim,
        found: pondwalk_store::StoreEntry,
        lease: u64,
    ) {
        let record: Option<ClaimRecord> = serde_json::from_slice(&found.value).ok();
        if !record.is_some_and(|record| record.state == ClaimState::Released) {
            let _ = claim.done.send(Err(Refusal::DuplicateKey));
            return;
        }
        let change = Change {
            key: claim.key.clone(),
            value: encode(&claim.record),
            expect: Expect::Revision(found.revision),
            lease: Some(lease),
        };
        match self.store.commit(vec![change]).await {
            Ok(revision) => complete(claim, revision),
            Err(StoreError::Conflict) => {
                let _ = claim.done.send(Err(Refusal::DuplicateKey));
            }
            Err(_) => refuse_all(vec![claim]),
        }
    }
}

async fn collect_group(
    first: PendingClaim,
    queue: &mut mpsc::Receiver<PendingClaim>,
) -> Vec<PendingClaim> {
    let mut group = vec![first];
    let deadline = Instant::now() + GROUP_WAIT;
    while group.len() < MAX_GROUP_SIZE {
        match tokio::time::timeout_at(deadline, queue.recv()).await {
            Ok(Some(next)) => group.push(next),
            Ok(None) | Err(_) => break,
        }
    }
    group
}

fn complete(claim: PendingClaim, revision: u64) {
    let PendingClaim { key, record, done } = claim;
    // NB: if the caller is gone, the claim stays in the store and its key stays used.
    let _ = done.send(Ok(ClaimTicket { key, record, revision }));
}

fn refuse_all(group: Vec<PendingClaim>) {
    for claim in group {
        let _ = claim.done.send(Err(Refusal::ClaimUnavailable));
    }
}

fn encode(record: &ClaimRecord) -> Vec<u8> {
    // NB: a record has only numbers and strings, so serialization cannot fail.
    serde_json::to_vec(record).unwrap_or_default()
}
