//! Keys, revisions and leases.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use pondwalk_store::gateway::{
    Header, KeyValue, LeaseReply, LeaseRequest, RangeReply, RangeRequest, TxnReply, TxnRequest,
    WatchEvent, WatchReply, WatchRequest, WatchResult,
};
use tokio::time::Instant;

/// A key's value and history.
///
/// NB: keys are compared in their base64 form, so a range is matched on the decoded text.
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

/// Everything that the service holds.
#[derive(Debug, Default)]
pub struct KvState {
    revision: u64,
    keys: BTreeMap<Vec<u8>, Stored>,
    leases: HashMap<u64, Lease>,
    next_lease: u64,
}

impl KvState {
    /// Reads a key or a range.
    pub fn range(&self, request: &RangeRequest) -> RangeReply {
        let kvs = self.matching(&request.key, &request.range_end).map(key_value).collect();
        RangeReply { header: self.header(), kvs }
    }

    /// Writes all or nothing.
    pub fn transact(&mut self, request: &TxnRequest) -> TxnReply {
        let holds = request.compare.iter().all(|compare| {
            let current = self.keys.get(&raw(&compare.key)).map_or(0, |stored| stored.revision);
            current.to_string() == compare.mod_revision
        });
        let leases_live = request.success.iter().all(|op| {
            let lease = op.request_put.lease.parse().unwrap_or(0);
            lease == 0 || self.leases.contains_key(&lease)
        });
        let succeeded = holds && leases_live;
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
                self.keys.insert(raw(&put.key), stored);
            }
        }
        TxnReply { header: self.header(), succeeded }
    }

    /// Grants a lease.
    pub fn grant(&mut self, request: &LeaseRequest, now: Instant) -> LeaseReply {
        let ttl = Duration::from_secs(request.ttl_s.parse().unwrap_or(1));
        self.next_lease += 1;
        self.leases.insert(self.next_lease, Lease { ttl, expires: now + ttl });
        LeaseReply { ttl_s: request.ttl_s.clone(), id: self.next_lease.to_string() }
    }

    /// Renews a lease, if it has not lapsed.
    pub fn renew(&mut self, request: &LeaseRequest, now: Instant) -> LeaseReply {
        let lease = request.id.parse().ok().and_then(|id: u64| self.leases.get_mut(&id));
        let ttl_s = lease.map_or(0, |lease| {
            lease.expires = now + lease.ttl;
            lease.ttl.as_secs()
        });
        LeaseReply { ttl_s: ttl_s.to_string(), id: request.id.clone() }
    }

    /// Ends leases whose time is over, with their keys.
    pub fn expire(&mut self, now: Instant) {
        let lapsed: Vec<u64> =
            self.leases.iter().filter(|(_, l)| l.expires <= now).map(|(id, _)| *id).collect();
        lapsed.into_iter().for_each(|lease| self.lapse(lease));
    }

    /// Ends a lease, with its keys.
    fn lapse(&mut self, lease: u64) {
        if self.leases.remove(&lease).is_some() {
            let before = self.keys.len();
            self.keys.retain(|_, stored| stored.lease != lease);
            self.revision += u64::from(self.keys.len() < before);
        }
    }

    /// Keys of a watch that have changed since its start revision.
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
        let start = raw(key);
        let end = if end.is_empty() { [start.as_slice(), &[0]].concat() } else { raw(end) };
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

fn raw(base64: &str) -> Vec<u8> {
    use base64::{Engine, engine::general_purpose::STANDARD};
    STANDARD.decode(base64).unwrap_or_default()
}
