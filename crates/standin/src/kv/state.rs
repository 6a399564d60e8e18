//! State of the key-value service: keys, revisions and leases.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use pondwalk_store::gateway::{
    Header, KeyValue, LeaseReply, LeaseRequest, RangeReply, RangeRequest, TxnReply, TxnRequest,
    WatchEvent, WatchReply, WatchRequest, WatchResult,
};
use tokio::time::Instant;

/// A key's value, the revision of its last write, and its lease (0 if it has none).
///
/// NB: key and value are kept in base64, as in the calls; the map's keys are decoded, so that
/// ranges follow the order of the bytes.
#[derive(Debug, Clone)]
struct Stored {
    key: String,
    value: String,
    revision: u64,
    lease: u64,
}

#[derive(Debug, Clone, Copy)]
struct Lease {
    ttl: Duration,
    expires: Instant,
}

/// All keys and leases of the service.
#[derive(Debug, Clone, Default)]
pub struct KvState {
    revision: u64,
    keys: BTreeMap<Vec<u8>, Stored>,
    leases: HashMap<u64, Lease>,
    next_lease: u64,
}

impl KvState {
    /// Reads a key, or a range of keys.
    pub fn range(&self, request: &RangeRequest) -> RangeReply {
        let kvs = self.matching(&request.key, &request.range_end).map(key_value).collect();
        RangeReply { header: self.header(), kvs }
    }

    /// Applies all writes, or none if a comparison fails or a lease has expired.
    pub fn transact(&mut self, request: &TxnRequest) -> TxnReply {
        let comparisons_hold = request.compare.iter().all(|compare| {
            let current =
                self.keys.get(&decode_base64(&compare.key)).map_or(0, |stored| stored.revision);
            current.to_string() == compare.mod_revision
        });
        let leases_are_live = request.success.iter().all(|op| {
            let lease = op.request_put.lease.parse().unwrap_or(0);
            lease == 0 || self.leases.contains_key(&lease)
        });
        let succeeded = comparisons_hold && leases_are_live;
        if succeeded && !request.success.is_empty() {
            self.revision += 1;
            for op in &request.success {
                let put = &op.request_put;
                let stored = Stored {
                    key: put.key.clone(),
                    value: put.value.clone(),
                    revision: self.revision,
                    lease: put.lease.parse().unwrap_or(0),
                };
                self.keys.insert(decode_base64(&put.key), stored);
            }
        }
        TxnReply { header: self.header(), succeeded }
    }

    /// Grants a lease that lasts from `now`.
    pub fn grant(&mut self, request: &LeaseRequest, now: Instant) -> LeaseReply {
        let ttl = Duration::from_secs(request.ttl_s.parse().unwrap_or(1));
        self.next_lease += 1;
        self.leases.insert(self.next_lease, Lease { ttl, expires: now + ttl });
        LeaseReply { ttl_s: request.ttl_s.clone(), id: self.next_lease.to_string() }
    }

    /// Renews a lease; the reply's time to live is 0 if the lease has expired.
    pub fn renew(&mut self, request: &LeaseRequest, now: Instant) -> LeaseReply {
        let lease = request.id.parse().ok().and_then(|id: u64| self.leases.get_mut(&id));
        let ttl_s = lease.map_or(0, |lease| {
            lease.expires = now + lease.ttl;
            lease.ttl.as_secs()
        });
        LeaseReply { ttl_s: ttl_s.to_string(), id: request.id.clone() }
    }

    /// Removes the leases that have expired, and their keys.
    pub fn expire(&mut self, now: Instant) {
        let expired: Vec<u64> =
            self.leases.iter().filter(|(_, l)| l.expires <= now).map(|(id, _)| *id).collect();
        expired.into_iter().for_each(|lease| self.remove_lease(lease));
    }

    /// Removes a lease and its keys.
    fn remove_lease(&mut self, lease: u64) {
        if self.leases.remove(&lease).is_some() {
            let before = self.keys.len();
            self.keys.retain(|_, stored| stored.lease != lease);
            self.revision += u64::from(self.keys.len() < before);
        }
    }

    /// Returns the watched keys written at or after the start revision, or `None` if there are
    /// none.
    pub fn changes(&self, request: &WatchRequest) -> Option<WatchReply> {
        let create = &request.create_request;
        let start: u64 = create.start_revision.parse().unwrap_or(0);
        let changed = self.matching(&create.key, &create.range_end);
        let changed = changed.filter(|stored| stored.revision >= start);
        let events: Vec<WatchEvent> =
            changed.map(|stored| WatchEvent { kv: key_value(stored) }).collect();
        if events.is_empty() {
            return None;
        }
        Some(WatchReply { result: WatchResult { header: self.header(), events } })
    }

    fn matching(&self, key: &str, end: &str) -> impl Iterator<Item = &Stored> {
        let start = decode_base64(key);
        let end =
            if end.is_empty() { [start.as_slice(), &[0]].concat() } else { decode_base64(end) };
        self.keys.range(start..end).map(|(_, stored)| stored)
    }

    fn header(&self) -> Header {
        Header { revision: self.revision.to_string() }
    }
}

fn key_value(stored: &Stored) -> KeyValue {
    KeyValue {
        key: stored.key.clone(),
        value: stored.value.clone(),
        mod_revision: stored.revision.to_string(),
    }
}

fn decode_base64(base64: &str) -> Vec<u8> {
    use base64::{Engine, engine::general_purpose::STANDARD};
    STANDARD.decode(base64).unwrap_or_default()
}
