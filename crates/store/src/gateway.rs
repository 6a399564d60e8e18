//! JSON messages of the etcd v3 gateway, as far as pondwalk uses them.
//!
//! Keys and values are base64; 64-bit numbers are decimal strings.

use serde::{Deserialize, Serialize};

/// Path of a range read.
pub const RANGE_PATH: &str = "/v3/kv/range";
/// Path of a transaction.
pub const TXN_PATH: &str = "/v3/kv/txn";
/// Path that grants a lease.
pub const LEASE_GRANT_PATH: &str = "/v3/lease/grant";
/// Path that renews a lease.
pub const LEASE_KEEP_ALIVE_PATH: &str = "/v3/lease/keepalive";
/// Path that opens a watch.
pub const WATCH_PATH: &str = "/v3/watch";

/// Common header of replies.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Header {
    /// The store's revision when it answered.
    #[serde(default)]
    pub revision: String,
}

/// A key with its value and revisions.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct KeyValue {
    /// Base64 key.
    pub key: String,
    /// Base64 value.
    pub value: String,
    /// Revision of the last change.
    pub mod_revision: String,
}

/// Range read of one key, or of all keys from `key` to `range_end`.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct RangeRequest {
    /// Base64 key.
    pub key: String,
    /// Base64 end of the range, empty for a single key.
    pub range_end: String,
}

/// Reply to a range read.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct RangeReply {
    /// Common header.
    pub header: Header,
    /// Keys found, in key order.
    pub kvs: Vec<KeyValue>,
}

/// Condition of a transaction: the key's last change has this revision.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Compare {
    /// Base64 key.
    pub key: String,
    /// Always `MOD`.
    pub target: String,
    /// Always `EQUAL`.
    pub result: String,
    /// Revision expected; `0` for a key that does not exist.
    pub mod_revision: String,
}

/// A write inside a transaction.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct PutRequest {
    /// Base64 key.
    pub key: String,
    /// Base64 value.
    pub value: String,
    /// Lease that owns the key, `0` for none.
    pub lease: String,
}

/// One operation of a transaction.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct TxnOp {
    /// The write.
    pub request_put: PutRequest,
}

/// Writes all of `success` if all of `compare` hold.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct TxnRequest {
    /// Conditions.
    pub compare: Vec<Compare>,
    /// Writes.
    pub success: Vec<TxnOp>,
}

/// Reply to a transaction.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct TxnReply {
    /// Common header.
    pub header: Header,
    /// Whether the conditions held.
    pub succeeded: bool,
}

/// Asks for a lease, or renews one.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseRequest {
    /// Time to live, in seconds.
    #[serde(rename = "TTL")]
    pub ttl_s: String,
    /// The lease to renew; `0` for a new one.
    #[serde(rename = "ID")]
    pub id: String,
}

/// Reply with the lease; a time to live of `0` means it has lapsed.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseReply {
    /// Time to live, in seconds.
    #[serde(rename = "TTL")]
    pub ttl_s: String,
    /// The lease.
    #[serde(rename = "ID")]
    pub id: String,
}

/// Opens a watch on a key or range.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchRequest {
    /// What to watch.
    pub create_request: WatchCreate,
}

/// Body of a watch.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchCreate {
    /// Base64 key.
    pub key: String,
    /// Base64 end of the range, empty for a single key.
    pub range_end: String,
    /// First revision of interest.
    pub start_revision: String,
}

/// One line of a watch's stream.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchReply {
    /// The line's content.
    pub result: WatchResult,
}

/// Changes seen by a watch.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchResult {
    /// Common header.
    pub header: Header,
    /// Changes, oldest first; empty when the watch has just opened.
    pub events: Vec<WatchEvent>,
}

/// One change seen by a watch.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchEvent {
    /// The key after the change.
    pub kv: KeyValue,
}
