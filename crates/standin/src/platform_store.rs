//! The platform's store over HTTP, in the form that its pages give, around the store in memory.
//!
//! Beside the calls of entries it takes orders of whoever runs it: keys to write and remove, and how
//! calls are to fare.

use std::{
    cell::RefCell,
    collections::{HashMap, VecDeque},
    io,
    rc::Rc,
    time::Duration,
};

use base64::{Engine, engine::general_purpose::STANDARD};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{
    Method, Request, Response, StatusCode, body::Incoming, header::HeaderValue,
    server::conn::http1, service::service_fn,
};
use hyper_util::rt::TokioIo;
use pondwalk_store::{Change, Expect, StoreEntry, StoreError, StoreEvent, WatchReply};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::{net::TcpListener, task::spawn_local, time::sleep};

use crate::memory_store::{FaultMode, MemoryStore, StoreSnapshot};

/// Keys in one page of a reading.
const PAGE_KEYS: usize = 50;
/// Header in which each answer names the era of the store.
const ERA_HEADER: &str = "store-era";
/// Time between two snapshots of the store.
const SNAPSHOT_INTERVAL: Duration = Duration::from_millis(250);
/// Snapshots that are kept.
const MAX_SNAPSHOTS: usize = 32;
/// Starts of the keys that operators and servers write again after a restoration.
const REWRITTEN_PREFIXES: [&str; 2] = ["op/", "servers/"];
/// Start of the paths of orders.
const ORDER_PREFIX: &str = "/order/";

/// An order on how calls are to fare.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum FaultModeOrder {
    /// They are answered at once.
    Fair,
    /// They are refused.
    Refused,
    /// They get no answer for so many milliseconds.
    Silent {
        /// Until the connection is closed.
        ms: u64,
    },
    /// They are is_applied at once and answered so many milliseconds later.
    Late {
        /// Until the answer.
        ms: u64,
    },
    /// Writes are is_applied and not answered.
    AnswersLost,
}

impl From<FaultModeOrder> for FaultMode {
    fn from(order: FaultModeOrder) -> Self {
        match order {
            FaultModeOrder::Fair => FaultMode::Normal,
            FaultModeOrder::Refused => FaultMode::Refused,
            FaultModeOrder::Silent { ms } => FaultMode::Silent(Duration::from_millis(ms)),
            FaultModeOrder::Late { ms } => FaultMode::Late(Duration::from_millis(ms)),
            FaultModeOrder::AnswersLost => FaultMode::AnswersLost,
        }
    }
}

/// A route of a configuration.
#[derive(Debug, Clone)]
pub struct RouteSpec {
    /// Start of its paths.
    pub prefix: String,
    /// Word for what may be repeated.
    pub kind: &'static str,
    /// Service that runs it.
    pub service: &'static str,
}

/// How backend servers warm up.
#[derive(Debug, Clone, Copy)]
pub struct WarmUpSpec {
    /// Time for which a server is cold after its start.
    pub time: Duration,
    /// Requests a second that it bears meanwhile.
    pub requests_per_s: f64,
}

/// Key and value of a configuration with these routes of one host, and these keys of one workspace.
pub fn configuration_entry(
    version: u64,
    host: &str,
    routes: &[RouteSpec],
    keys: &[String],
    warm_up: WarmUpSpec,
) -> (String, Value) {
    let row = |route: &RouteSpec| {
        json!({
            "name": route.prefix.trim_matches('/'), "hostname": host, "path_prefix": route.prefix,
            "type": route.kind, "backend": route.service, "timeout_ms": 10_000,
            "target_latency_ms": 1_000, "target_itl_ms": 1_000, "max_attempts": 3,
            "stream_resume": true
        })
    };
    let mut services: Vec<&str> = routes.iter().map(|route| route.service).collect();
    services.dedup();
    let service = |name: &&str| {
        json!({
            "name": name, "max_connections": 200, "warmup_s": warm_up.time.as_secs_f64(),
            "warmup_per_s": warm_up.requests_per_s
        })
    };
    let services: Vec<Value> = services.iter().map(service).collect();
    let value = json!({
        "version": version,
        "route_table": routes.iter().map(row).collect::<Vec<_>>(),
        "backends": services,
        "limits": {
            "max_header_bytes": 16_384, "max_body_bytes": 65_536,
            "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000
        },
        "tenants": [{ "name": "w1", "api_keys": keys }]
    });
    ("op/config".to_owned(), value)
}

/// What a backend server tells of itself.
#[derive(Debug, Clone)]
pub struct ServerEntry {
    /// Its identity.
    pub id: String,
    /// Service it belongs to.
    pub service: &'static str,
    /// Where it listens.
    pub address: String,
    /// Data centre it runs in.
    pub data_centre: String,
    /// Whether it takes new work.
    pub is_ready: bool,
    /// How much longer it is cold, in milliseconds.
    pub warm_up_left_ms: u64,
    /// When it started, in milliseconds of Unix time.
    pub born_ms: u64,
}

/// Key and value of a backend server's own entry.
pub fn server_entry(entry: &ServerEntry) -> (String, Value) {
    let state = if entry.is_ready { "ready" } else { "draining" };
    let value = json!({
        "backend": entry.service, "address": entry.address, "zone": entry.data_centre,
        "version": "v1", "capacity": 64, "state": state,
        "warmup_left_ms": entry.warm_up_left_ms, "sequence": 1, "born": entry.born_ms
    });
    (format!("servers/{}", entry.id), value)
}

#[derive(Debug, Deserialize)]
struct Transaction {
    expected_revision: Vec<Condition>,
    write: Vec<Write>,
}

#[derive(Debug, Deserialize)]
struct Condition {
    private_key: String,
    revision: u64,
}

#[derive(Debug, Deserialize)]
struct Write {
    private_key: String,
    data: String,
}

/// Serves the store on connections to `listener`, on the current thread's local tasks.
pub async fn serve(store: MemoryStore, listener: TcpListener) -> io::Result<()> {
    let snapshots = Snapshots::default();
    spawn_local(take_snapshots(store.clone(), snapshots.clone()));
    loop {
        let (stream, _) = listener.accept().await?;
        stream.set_nodelay(true)?;
        let (store, snapshots) = (store.clone(), snapshots.clone());
        spawn_local(async move {
            let service =
                service_fn(move |request| handle(store.clone(), snapshots.clone(), request));
            // NB: a connection whose answer is lost is closed without one.
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

/// Snapshots of the store, the latest last.
type Snapshots = Rc<RefCell<VecDeque<StoreSnapshot>>>;

/// Takes snapshots for as long as the store runs.
async fn take_snapshots(store: MemoryStore, snapshots: Snapshots) {
    loop {
        snapshots.borrow_mut().push_back(store.snapshot());
        if snapshots.borrow().len() > MAX_SNAPSHOTS {
            snapshots.borrow_mut().pop_front();
        }
        sleep(SNAPSHOT_INTERVAL).await;
    }
}

/// Restores the store from a snapshot of about this age; tells whether there is one.
fn restore(store: &MemoryStore, snapshots: &Snapshots, age: Duration) -> bool {
    let index = (age.as_millis() / SNAPSHOT_INTERVAL.as_millis()) as usize;
    let snapshots = snapshots.borrow();
    let Some(snapshot) = snapshots.iter().rev().nth(index).or(snapshots.front()) else {
        return false;
    };
    let is_rewritten = |key: &str| REWRITTEN_PREFIXES.iter().any(|start| key.starts_with(start));
    store.restore_and_rewrite(snapshot.clone(), is_rewritten);
    true
}

async fn handle(
    store: MemoryStore,
    snapshots: Snapshots,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, StoreError> {
    let (parts, body) = request.into_parts();
    let body = body.collect().await.map_err(|_| StoreError::Malformed)?.to_bytes();
    let path = parts.uri.path().to_owned();
    if let Some(order) = path.strip_prefix(ORDER_PREFIX) {
        return Ok(apply_order(&store, &snapshots, &parts.method, order, &body));
    }
    let query = query(parts.uri.query().unwrap_or_default());
    let result = match path.as_str() {
        "/api/kv-range" => range(&store, &query).await,
        "/api/kv-watch" => watch(&store, &query).await,
        "/api/kv-txn" => transact(&store, &body).await,
        _ => Ok((StatusCode::NOT_FOUND, Value::Null)),
    };
    let mut response = match result {
        Ok((status, value)) => respond(status, &value),
        Err(StoreError::Unreachable) => respond(StatusCode::SERVICE_UNAVAILABLE, &Value::Null),
        Err(error) => return Err(error),
    };
    response.headers_mut().insert(ERA_HEADER, HeaderValue::from(store.era()));
    Ok(response)
}

fn apply_order(
    store: &MemoryStore,
    snapshots: &Snapshots,
    method: &Method,
    order: &str,
    body: &Bytes,
) -> Response<Full<Bytes>> {
    let text = String::from_utf8_lossy(body);
    let is_applied = match (method, order.split_once('/')) {
        (&Method::PUT, Some(("key", key))) => {
            store.put(key, &text);
            true
        }
        (&Method::DELETE, Some(("key", key))) => {
            store.remove(key);
            true
        }
        (&Method::POST, None) if order == "forget" => {
            store.drop_history();
            true
        }
        (&Method::POST, None) if order == "restore" => match text.parse() {
            Ok(age_ms) => restore(store, snapshots, Duration::from_millis(age_ms)),
            Err(_) => false,
        },
        (&Method::POST, None) if order == "weather" => match serde_json::from_str(&text) {
            Ok(fault_mode) => {
                store.set_fault_mode(FaultModeOrder::into(fault_mode));
                true
            }
            Err(_) => false,
        },
        _ => false,
    };
    respond(if is_applied { StatusCode::OK } else { StatusCode::BAD_REQUEST }, &Value::Null)
}

async fn range(
    store: &MemoryStore,
    query: &HashMap<String, String>,
) -> Result<(StatusCode, Value), StoreError> {
    let prefix = query.get("path_prefix").cloned().unwrap_or_default();
    let after = query.get("since_revision").cloned().unwrap_or_default();
    let listing = (store.port().list)(prefix).await?;
    let left: Vec<&StoreEntry> = listing.entries.iter().filter(|entry| entry.key > after).collect();
    let page: Vec<Value> = left.iter().take(PAGE_KEYS).map(|entry| item(entry)).collect();
    let truncated = left.len() > PAGE_KEYS;
    let body = json!({
        "entries": page, "truncated": truncated, "position_revision": listing.position.revision
    });
    Ok((StatusCode::OK, body))
}

async fn watch(
    store: &MemoryStore,
    query: &HashMap<String, String>,
) -> Result<(StatusCode, Value), StoreError> {
    let number = |name: &str| query.get(name).and_then(|text| text.parse().ok()).unwrap_or(0);
    let prefix = query.get("path_prefix").cloned().unwrap_or_default();
    let wait = Duration::from_millis(number("wait_time_ms"));
    match (store.port().watch)(prefix, number("since_revision"), wait).await? {
        WatchReply::HistoryGone => Ok((StatusCode::GONE, Value::Null)),
        WatchReply::Changes(events, position) => {
            let events: Vec<Value> = events.iter().map(event).collect();
            Ok((
                StatusCode::OK,
                json!({ "events": events, "position_revision": position.revision }),
            ))
        }
    }
}

async fn transact(store: &MemoryStore, body: &Bytes) -> Result<(StatusCode, Value), StoreError> {
    let transaction: Transaction =
        serde_json::from_slice(body).map_err(|_| StoreError::Malformed)?;
    let expected: HashMap<&str, u64> = transaction
        .expected_revision
        .iter()
        .map(|condition| (condition.private_key.as_str(), condition.revision))
        .collect();
    let mut changes = Vec::new();
    for write in &transaction.write {
        let revision = expected.get(write.private_key.as_str()).copied().unwrap_or(0);
        changes.push(Change {
            key: write.private_key.clone(),
            value: STANDARD.decode(&write.data).map_err(|_| StoreError::Malformed)?,
            expect: if revision == 0 { Expect::Absent } else { Expect::Revision(revision) },
            lease: None,
        });
    }
    match (store.port().commit)(changes).await {
        Ok(written) => Ok((StatusCode::OK, json!({ "revision": written.revision }))),
        Err(StoreError::Conflict) => {
            Ok((StatusCode::PRECONDITION_FAILED, json!({ "entries": [] })))
        }
        Err(error) => Err(error),
    }
}

fn item(entry: &StoreEntry) -> Value {
    json!({
        "private_key": entry.key, "data": STANDARD.encode(&entry.value),
        "revision": entry.revision, "created": entry.revision, "lease_id": 0
    })
}

fn event(event: &StoreEvent) -> Value {
    match event {
        StoreEvent::Written(entry) => item(entry),
        StoreEvent::Removed { key, revision } => {
            json!({ "private_key": key, "revision": revision, "compacted": true })
        }
    }
}

/// The pairs of a query, with escapes resolved.
fn query(text: &str) -> HashMap<String, String> {
    let pairs = text.split('&').filter_map(|pair| pair.split_once('='));
    pairs.map(|(name, value)| (name.to_owned(), unescape(value))).collect()
}

fn unescape(text: &str) -> String {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let [first, after @ ..] = rest {
        let hex = after.get(..2).and_then(|hex| std::str::from_utf8(hex).ok());
        match (first, hex.and_then(|hex| u8::from_str_radix(hex, 16).ok())) {
            (b'%', Some(byte)) => {
                bytes.push(byte);
                rest = &after[2..];
            }
            _ => {
                bytes.push(*first);
                rest = after;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn respond(status: StatusCode, value: &Value) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::from(value.to_string()));
    *response.status_mut() = status;
    response
}
