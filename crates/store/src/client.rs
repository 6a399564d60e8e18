//! Client of the key-value store over the JSON gateway of the etcd v3 API.

use std::{fmt, future::Future, pin::Pin, sync::Arc, time::Duration};

use base64::{Engine, engine::general_purpose::STANDARD};
use serde::{Serialize, de::DeserializeOwned};
use thiserror::Error;

use crate::gateway::{
    Compare, KeyValue, LEASE_GRANT_PATH, LEASE_KEEP_ALIVE_PATH, LeaseReply, LeaseRequest,
    PutRequest, RANGE_PATH, RangeReply, RangeRequest, TXN_PATH, TxnOp, TxnReply, TxnRequest,
    WATCH_PATH, WatchCreate, WatchReply, WatchRequest,
};

/// Failures of a call to the store, classified by whether a write may have taken effect.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum StoreError {
    /// A condition did not hold; nothing was written.
    #[error("another write came first")]
    Conflict,
    /// The call did not reach the store; nothing was written.
    #[error("the store is unreachable")]
    Unreachable,
    /// The response was lost; a write may have taken effect.
    #[error("the store's response was lost")]
    ResponseLost,
    /// The response stalled after this many bytes.
    #[error("the store's response stalled after {0} bytes")]
    ResponseStalled(usize),
    /// The response is too long to be buffered, or has no end; this many bytes were received.
    #[error("the store's response is too long: {0} bytes received")]
    ResponseTooLong(u64),
    /// The response, or a value in it, cannot be decoded.
    #[error("the store's response cannot be decoded")]
    Malformed,
    /// The lease has expired.
    #[error("the lease has expired")]
    LeaseExpired,
}

/// Future of a call; resolves to the JSON text of the response.
pub type CallFuture = Pin<Box<dyn Future<Output = Result<String, StoreError>> + Send>>;

/// Sends a JSON body to a path of the store, with a timeout.
pub type Transport = Arc<dyn Fn(&'static str, String, Duration) -> CallFuture + Send + Sync>;

/// A key and its value, with the revision that the next conditional write refers to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreEntry {
    /// Full key.
    pub key: String,
    /// Value.
    pub value: Vec<u8>,
    /// Revision of the key's last change.
    pub revision: u64,
}

/// Precondition of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Expect {
    /// The key does not exist.
    Absent,
    /// The key's last change has this revision.
    Revision(u64),
}

/// One conditional write.
#[derive(Debug, Clone)]
pub struct Change {
    /// Full key.
    pub key: String,
    /// New value.
    pub value: Vec<u8>,
    /// Precondition.
    pub expect: Expect,
    /// Lease that the key is attached to, if any.
    pub lease: Option<u64>,
}

/// Outcome of a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WatchOutcome {
    /// The keys that changed.
    Changed(Vec<StoreEntry>),
    /// No key changed during the wait.
    Unchanged,
}

/// Client of the platform's key-value store; clones share the transport.
#[derive(Clone)]
pub struct Store {
    transport: Transport,
    timeout: Duration,
}

impl fmt::Debug for Store {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Store").field("timeout", &self.timeout).finish()
    }
}

impl Store {
    /// Creates a client whose calls time out after `timeout`.
    pub fn new(transport: Transport, timeout: Duration) -> Self {
        Store { transport, timeout }
    }

    /// Reads one key; `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// The transport's error if the call fails; `Malformed` if the response cannot be decoded.
    pub async fn get(&self, key: &str) -> Result<Option<StoreEntry>, StoreError> {
        Ok(self.range(key, String::new()).await?.pop())
    }

    /// Reads all keys that start with `prefix`, in key order.
    ///
    /// # Errors
    ///
    /// As for [`Store::get`].
    pub async fn list(&self, prefix: &str) -> Result<Vec<StoreEntry>, StoreError> {
        self.range(prefix, prefix_end(prefix)).await
    }

    /// Writes all changes atomically; returns the revision of the write.
    ///
    /// # Errors
    ///
    /// `Conflict` if a precondition does not hold; `ResponseLost` if the outcome is unknown.
    pub async fn commit(&self, changes: Vec<Change>) -> Result<u64, StoreError> {
        let request = TxnRequest {
            compare: changes.iter().map(compare).collect(),
            success: changes.iter().map(put).collect(),
        };
        let reply: TxnReply = self.call(TXN_PATH, &request, self.timeout).await?;
        if !reply.succeeded {
            return Err(StoreError::Conflict);
        }
        parse_number(&reply.header.revision)
    }

    /// Creates a lease; returns its id.
    ///
    /// # Errors
    ///
    /// As for [`Store::get`].
    pub async fn grant_lease(&self, ttl: Duration) -> Result<u64, StoreError> {
        let request = LeaseRequest { ttl_s: ttl.as_secs().to_string(), id: "0".into() };
        let reply: LeaseReply = self.call(LEASE_GRANT_PATH, &request, self.timeout).await?;
        parse_number(&reply.id)
    }

    /// Renews a lease.
    ///
    /// # Errors
    ///
    /// `LeaseExpired` if the lease has expired.
    pub async fn renew_lease(&self, lease: u64) -> Result<(), StoreError> {
        let request = LeaseRequest { ttl_s: String::new(), id: lease.to_string() };
        let reply: LeaseReply = self.call(LEASE_KEEP_ALIVE_PATH, &request, self.timeout).await?;
        if parse_number(&reply.ttl_s)? == 0 {
            return Err(StoreError::LeaseExpired);
        }
        Ok(())
    }

    /// Waits until a key that starts with `prefix` changes after `revision`, at most for `wait`.
    ///
    /// # Errors
    ///
    /// As for [`Store::get`], except that `ResponseLost` counts as no change.
    pub async fn watch(
        &self,
        prefix: &str,
        revision: u64,
        wait: Duration,
    ) -> Result<WatchOutcome, StoreError> {
        let create_request = WatchCreate {
            key: STANDARD.encode(prefix),
            range_end: STANDARD.encode(prefix_end(prefix)),
            start_revision: (revision + 1).to_string(),
        };
        let body = WatchRequest { create_request };
        match self.call::<_, WatchReply>(WATCH_PATH, &body, wait).await {
            Ok(reply) => {
                let kvs = reply.result.events.iter().map(|event| to_entry(&event.kv));
                Ok(WatchOutcome::Changed(kvs.collect::<Result<_, _>>()?))
            }
            Err(StoreError::ResponseLost) => Ok(WatchOutcome::Unchanged),
            Err(error) => Err(error),
        }
    }

    async fn range(&self, key: &str, end: String) -> Result<Vec<StoreEntry>, StoreError> {
        let request = RangeRequest { key: STANDARD.encode(key), range_end: STANDARD.encode(end) };
        let reply: RangeReply = self.call(RANGE_PATH, &request, self.timeout).await?;
        reply.kvs.iter().map(to_entry).collect()
    }

    async fn call<B: Serialize, R: DeserializeOwned>(
        &self,
        path: &'static str,
        body: &B,
        wait: Duration,
    ) -> Result<R, StoreError> {
        let text = serde_json::to_string(body).map_err(|_| StoreError::Malformed)?;
        let reply = (self.transport)(path, text, wait).await?;
        serde_json::from_str(&reply).map_err(|_| StoreError::Malformed)
    }
}

/// The exclusive end of the range of all keys that start with `prefix`.
fn prefix_end(prefix: &str) -> String {
    let mut end = prefix.to_owned();
    // NB: prefixes are ASCII and never end in the last ASCII character.
    if let Some(last) = end.pop() {
        end.push(char::from(last as u8 + 1));
    }
    end
}

fn compare(change: &Change) -> Compare {
    let revision = match change.expect {
        Expect::Absent => 0,
        Expect::Revision(revision) => revision,
    };
    Compare {
        key: STANDARD.encode(&change.key),
        target: "MOD".into(),
        result: "EQUAL".into(),
        mod_revision: revision.to_string(),
    }
}

fn put(change: &Change) -> TxnOp {
    TxnOp {
        request_put: PutRequest {
            key: STANDARD.encode(&change.key),
            value: STANDARD.encode(&change.value),
            lease: change.lease.unwrap_or(0).to_string(),
        },
    }
}

fn to_entry(kv: &KeyValue) -> Result<StoreEntry, StoreError> {
    let key = STANDARD.decode(&kv.key).map_err(|_| StoreError::Malformed)?;
    Ok(StoreEntry {
        key: String::from_utf8(key).map_err(|_| StoreError::Malformed)?,
        value: STANDARD.decode(&kv.value).map_err(|_| StoreError::Malformed)?,
        revision: parse_number(&kv.mod_revision)?,
    })
}

fn parse_number(text: &str) -> Result<u64, StoreError> {
    text.parse().map_err(|_| StoreError::Malformed)
}
