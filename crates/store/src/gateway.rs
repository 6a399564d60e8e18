//! JSON messages of the etcd v3 gateway that pondwalk uses.
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

/// Common header of responses.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Header {
    /// Revision of the store at the time of the response.
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

/// Condition of a transaction on the revision of a key's last change.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Compare {
    /// Base64 key.
    pub key: String,
    /// Always `MOD`.
    pub target: String,
    /// Always `EQUAL`.
    pub result: String,
    /// Expected revision; `0` for a key that does not exist.
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
    /// Lease that the key is attached to; `0` for none.
    pub lease: String,
}

/// One operation of a transaction.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct TxnOp {
    /// Write of one key.
    pub request_put: PutRequest,
}

/// Performs the writes in `success` atomically if all conditions in `compare` hold.
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

/// Creates or renews a lease.
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

/// Reply with the lease; a time to live of `0` means that the lease has expired.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseReply {
    /// Time to live, in seconds.
    #[serde(rename = "TTL")]
    pub ttl_s: String,
    /// Lease id.
    #[serde(rename = "ID")]
    pub id: String,
}

/// Opens a watch on a key or range.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchRequest {
    /// Range and start revision of the watch.
    pub create_request: WatchCreate,
}

/// Parameters of a watch.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchCreate {
    /// Base64 key.
    pub key: String,
    /// Base64 end of the range, empty for a single key.
    pub range_end: String,
    /// First revision to report.
    pub start_revision: String,
}

/// One line of the response stream of a watch.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchReply {
    /// Content of the line.
    pub result: WatchResult,
}

/// Changes reported by a watch.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchResult {
    /// Common header.
    pub header: Header,
    /// Changes, oldest first; empty in the line that confirms the creation of the watch.
    pub events: Vec<WatchEvent>,
}

/// One change reported by a watch.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchEvent {
    /// The key after the change.
    pub kv: KeyValue,
}
