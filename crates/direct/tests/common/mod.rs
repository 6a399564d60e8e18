//! Test environment: an entry between callers, backend servers and a store, all in memory and on
//! paused time.

#![allow(dead_code)]

pub mod crashing;
pub mod limits;
pub mod net;
pub mod prompt_parts;

use std::{cell::RefCell, collections::HashMap, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response, StatusCode, body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use pondwalk_config::{DirectSettings, MembershipTimes, RawFile};
use pondwalk_decide::direct::WarmUp;
use pondwalk_direct::{
    Dialect, Entry, Port, ReportError, StoreRecord, UsageReport,
    catalog::{
        BackendServer, Catalog, Defects, Engine, Limits, ModelPrice, Route, RouteKind, ServerState,
        Service, Share, Workspace,
    },
    event_log::EventLog,
    port::{Evacuation, Outcome, Progress, ReportFuture, RollOutOrder, UnreadableRecord},
    upstream::{BoxedDuplex, Connect},
};
use pondwalk_inbound::BufferPool;
use pondwalk_standin::{
    backends::{Backends, Behaviour, CrashRule, HeaderNames, ReceivedRequest, prompt_parts},
    memory_store::{FaultMode, MemoryStore},
    usage_sink::{ReportResponse, UsageCall, UsageSink},
};
use tokio::{
    io::duplex,
    task::{LocalSet, spawn_local},
    time::sleep,
};

/// Memory for messages of the store and of other entries.
const CONTROL_BYTES: usize = 20 * 1024 * 1024;
// The entry's own section comes last, so that further lines extend it.
const SETTINGS: &str = "[retries]\nratio=0.9\nextra=40\nwindow_s=10\n\
    [roll_out]\nexposure=0.1\n\
    [store]\naddress=127.0.0.1:3\ntimeout_ms=1000\nwatch_wait_ms=1500\n\
    [direct]\ndata_centre=dc1\ncallers=127.0.0.1:1\nreadiness=127.0.0.1:2\n\
    key_bound_ms=5000\ngrace_s=8\nsession_ttl_s=5\n";

/// Address of the n-th backend server.
pub fn address(n: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1000 + n))
}

/// Settings of an entry with the given peer address.
pub fn settings(name: &str, peers: Option<SocketAddr>) -> DirectSettings {
    let peers = peers.map_or(String::new(), |address| format!("peers={address}\n"));
    settings_with(name, &peers)
}

/// Settings of an entry with further lines in its section, or further sections.
pub fn settings_with(name: &str, further: &str) -> DirectSettings {
    let text = format!("{SETTINGS}name={name}\n{further}");
    let file = RawFile::parse("test.ini".as_ref(), &text).expect("INI");
    DirectSettings::try_from(file).expect("settings")
}

/// An entry with its environment.
pub struct World {
    pub store: MemoryStore,
    pub backends: Backends,
    /// Receives usage reports, if the entry's settings enable them.
    pub usage_sink: UsageSink,
    pub entry: Entry,
    catalogs: Rc<RefCell<HashMap<u64, Catalog>>>,
    connections: Rc<RefCell<HashMap<String, MemoryStore>>>,
}

fn port_of(
    store: &MemoryStore,
    platform: &UsageSink,
    catalogs: &Rc<RefCell<HashMap<u64, Catalog>>>,
) -> Port {
    let catalogs_by_version = Rc::clone(catalogs);
    let platform = platform.clone();
    Port {
        store: store.port(),
        configuration_key: "catalog",
        decode: Rc::new(move |key, value| read(&catalogs_by_version.borrow(), key, value)),
        encode_progress: Rc::new(write_progress),
        buffers: BufferPool::new(CONTROL_BYTES),
        report_usage: Some(Rc::new(move |report, limit| {
            let platform = platform.clone();
            Box::pin(async move { report_to(&platform, report, limit).await }) as ReportFuture
        })),
    }
}

async fn report_to(
    platform: &UsageSink,
    report: UsageReport,
    limit: Duration,
) -> Result<(), ReportError> {
    let call = UsageCall {
        holder: report.holder,
        fencing_token: report.fencing_token,
        window: report.window,
        counts: report.counts,
    };
    match platform.report(call, limit).await {
        ReportResponse::Accepted => Ok(()),
        ReportResponse::Refused => Err(ReportError::StaleFencingToken),
        ReportResponse::TooManyRequests => Err(ReportError::UnexpectedStatus(429)),
        ReportResponse::NoResponse => Err(ReportError::NoAnswer),
    }
}

/// Runs a test on paused time.
pub fn run_test<F: Future<Output = ()>>(test: impl FnOnce(World) -> F) {
    run_test_with("", test);
}

/// Runs a test on real time and real sockets.
pub fn run_test_on_sockets<F: Future<Output = ()>>(test: impl FnOnce(World) -> F) {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async { test(World::new(settings("e1", None))).await });
}

/// Like [`run_test`], with further lines in the entry's settings.
pub fn run_test_with<F: Future<Output = ()>>(further: &str, test: impl FnOnce(World) -> F) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let world = World::new(settings_with("e1", further));
        test(world).await;
    });
}

impl World {
    fn new(settings: DirectSettings) -> Self {
        let dialect = Dialect::pondwalk();
        let backends = Backends::new(HeaderNames {
            request_id: dialect.request_id.to_string(),
            expected_server: dialect.expected_server.to_string(),
            not_run: dialect.not_run.to_string(),
            signature: dialect.signature.to_string(),
            confidence: dialect.confidence.to_string(),
            last_event_id: dialect.last_event_id.to_string(),
        });
        let store = MemoryStore::default();
        let catalogs = Rc::new(RefCell::new(HashMap::new()));
        let connections = Rc::new(RefCell::new(HashMap::new()));
        let usage_sink = UsageSink::default();
        let port = port_of(&store, &usage_sink, &catalogs);
        let opened = backends.clone();
        let connect = Rc::new(move |address| {
            let opened = opened.clone();
            let opening = async move { Ok(Box::new(opened.connect(address)?) as BoxedDuplex) };
            Box::pin(opening) as pondwalk_direct::upstream::Connecting
        });
        let event_log = EventLog::in_memory("e1", 1_000);
        let entry = Entry::new(settings, dialect, port, connect, event_log, 7);
        World { store, backends, usage_sink, entry, catalogs, connections }
    }

    /// Creates another entry in the same environment, with a store connection of its own.
    pub fn entry_with(&self, settings: DirectSettings, connect: Connect) -> Entry {
        let connection = self.store.new_connection();
        let port = port_of(&connection, &self.usage_sink, &self.catalogs);
        let event_log = EventLog::in_memory(&settings.name, 1_000);
        let name = settings.name.clone();
        // An entry that restarts under the same name gets another seed.
        let is_restart = self.connections.borrow().contains_key(&name);
        let seed = name.len() as u64 + if is_restart { 1_000 } else { 0 };
        let entry = Entry::new(settings, Dialect::pondwalk(), port, connect, event_log, seed);
        self.connections.borrow_mut().insert(name, connection);
        entry
    }

    /// Platform of this environment.
    pub fn port(&self) -> Port {
        port_of(&self.store.new_connection(), &self.usage_sink, &self.catalogs)
    }

    /// Timing of the exchange between entries in these settings.
    pub fn entry_times(&self) -> MembershipTimes {
        settings("any", None).membership.times
    }

    /// Sets the fault mode of one entry's store connection.
    pub fn set_store_fault(&self, entry: &Entry, fault_mode: FaultMode) {
        let connections = self.connections.borrow();
        connections
            .get(entry.name())
            .expect("an entry of this world")
            .set_connection_fault_mode(fault_mode);
    }

    /// Writes a configuration to the store.
    pub fn configure(&self, catalog: Catalog) {
        let version = catalog.version;
        self.catalogs.borrow_mut().insert(version, catalog);
        self.store.put("catalog", &version.to_string());
    }

    /// Like [`World::configure`], with `bytes` of padding.
    pub fn configure_large(&self, catalog: Catalog, bytes: usize) {
        let version = catalog.version;
        self.catalogs.borrow_mut().insert(version, catalog);
        let padding = " ".repeat(bytes);
        self.store.put("catalog", &format!("{version}{padding}"));
    }

    /// Starts a backend server and lists it.
    pub fn start_server(&self, n: u16, service: &str, version: &str, behaviour: Behaviour) {
        self.backends.start(address(n), &format!("s{n}"), behaviour);
        self.list_server(n, service, version, "ready");
    }

    /// Lists a backend server in a state.
    pub fn list_server(&self, n: u16, service: &str, version: &str, state: &str) {
        self.list_server_in("dc1", n, service, version, state);
    }

    /// Lists a backend server with a state and a data centre.
    pub fn list_server_in(&self, centre: &str, n: u16, service: &str, version: &str, state: &str) {
        let value = format!("{service} {} {centre} {version} {state}", address(n));
        self.store.put(&format!("server/s{n}"), &value);
    }

    /// Starts the entry and waits until it has read everything.
    pub async fn start(&self) {
        self.entry.start();
        sleep(Duration::from_millis(20)).await;
    }

    /// Sends a request on a new connection and reads the whole response.
    pub async fn call(&self, request: Request<Full<Bytes>>) -> TestResponse {
        self.call_at(&self.entry, request).await
    }

    /// Like [`World::call`], at another entry.
    pub async fn call_at(&self, entry: &Entry, request: Request<Full<Bytes>>) -> TestResponse {
        let response = send_to(entry, request).await;
        let status = response.status();
        let headers = response.headers().clone();
        let (body, is_complete) = read_body(response.into_body()).await;
        TestResponse { status, headers, body, is_complete }
    }

    /// Sends a request and returns the response head.
    pub async fn send(&self, request: Request<Full<Bytes>>) -> Response<Incoming> {
        send_to(&self.entry, request).await
    }
}

async fn send_to(entry: &Entry, request: Request<Full<Bytes>>) -> Response<Incoming> {
    let (client_end, server_end) = duplex(64 * 1024);
    let entry = entry.clone();
    spawn_local(async move { entry.serve(server_end).await });
    let (mut sender, connection) = http1::handshake(TokioIo::new(client_end)).await.expect("open");
    spawn_local(async move { connection.await.unwrap_or_default() });
    sender.send_request(request).await.expect("a response")
}

/// A response read to its end.
#[derive(Debug)]
pub struct TestResponse {
    pub status: StatusCode,
    pub headers: hyper::HeaderMap,
    pub body: String,
    /// Whether the body is complete.
    pub is_complete: bool,
}

async fn read_body(mut body: Incoming) -> (String, bool) {
    let mut text = String::new();
    loop {
        match body.frame().await {
            None => return (text, true),
            Some(Err(_)) => return (text, false),
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    text.push_str(&String::from_utf8_lossy(&data));
                }
            }
        }
    }
}

/// A request with the headers that most tests send.
pub fn request(path: &str, id: &str) -> Request<Full<Bytes>> {
    Request::post(path)
        .header("host", "h.example")
        .header("x-request-id", id)
        .header("pondwalk-deadline-ms", "8000")
        .header("authorization", "Bearer k1")
        .body(Full::from("body"))
        .expect("a request")
}

/// Sets a header.
pub fn with(
    mut request: Request<Full<Bytes>>,
    name: &'static str,
    value: &str,
) -> Request<Full<Bytes>> {
    request.headers_mut().insert(name, value.parse().expect("a value"));
    request
}

/// A stream of events from 1 to `last`.
pub fn stream(last: u32, confidence: Option<u8>) -> Behaviour {
    Behaviour::Stream { last, gap: Duration::from_millis(10), confidence, cut_in: None }
}

/// Text of a range of events.
pub fn events(range: std::ops::RangeInclusive<u32>) -> String {
    range.map(|number| format!("id: {number}\ndata: piece {number}\n\n")).collect()
}

/// Catalog with routes of every kind, over the service `s` and the model service `m`.
pub fn catalog(version: u64) -> Catalog {
    catalog_with_keys(version, &["k1", "k2"])
}

/// The same catalog with these keys.
pub fn catalog_with_keys(version: u64, keys: &[&str]) -> Catalog {
    catalog_of(version, keys, None, (&[], &[]))
}

/// The same catalog, with routes and a workspace restricted to these regions.
pub fn catalog_in_regions(version: u64, routes: &[&str], workspace: &[&str]) -> Catalog {
    catalog_of(version, &["k1", "k2"], None, (routes, workspace))
}

/// The same catalog, with services whose servers warm up.
pub fn catalog_warming(version: u64, warm_up: Option<WarmUp>) -> Catalog {
    catalog_of(version, &["k1", "k2"], warm_up, (&[], &[]))
}

fn catalog_of(
    version: u64,
    keys: &[&str],
    warm_up: Option<WarmUp>,
    (of_routes, of_workspace): (&[&str], &[&str]),
) -> Catalog {
    let owned = |regions: &[&str]| regions.iter().map(|region| (*region).to_owned()).collect();
    let route = |prefix: &str, kind, service: &str, models: &[&str]| Route {
        name: prefix.trim_matches('/').to_owned(),
        host: "h.example".to_owned(),
        path_prefix: prefix.to_owned(),
        kind,
        timeout: Duration::from_secs(8),
        objective: Duration::from_secs(2),
        max_event_gap: Some(Duration::from_secs(1)),
        priority: 0,
        models: models.iter().map(|model| (*model).to_owned()).collect(),
        shares: vec![Share { service: service.into(), weight: 1.0 }],
        max_attempts: 3,
        anonymous: false,
        allowed_regions: owned(of_routes),
    };
    let price = |model: &str, price| ModelPrice { model: model.to_owned(), price };
    let models = ["small", "middle", "large"];
    let resumable = RouteKind::Stream { resumable: true };
    let fixed = RouteKind::Stream { resumable: false };
    let routes = vec![
        route("/once/", RouteKind::Once, "s", &[]),
        route("/again/", RouteKind::Repeatable, "s", &[]),
        route("/again/deeper/", RouteKind::Repeatable, "m", &[]),
        route("/stream/", resumable, "s", &[]),
        route("/fixed/", fixed, "s", &[]),
        route("/models/", resumable, "m", &models),
        Route { anonymous: true, ..route("/open/", RouteKind::Repeatable, "s", &[]) },
    ];
    let engine = Engine {
        slots: 8,
        memory_tokens: 100_000,
        event_tokens: 4,
        models: vec![price("small", 0.02), price("middle", 0.1), price("large", 0.3)],
    };
    let services = vec![
        Service { name: "s".into(), max_connections: 100, engine: None, warm_up },
        Service { name: "m".into(), max_connections: 100, engine: Some(engine), warm_up },
    ];
    let keys = keys.iter().map(|key| (*key).to_owned()).collect();
    let workspaces = vec![Workspace {
        name: "w1".into(),
        keys,
        priority: None,
        allowed_regions: owned(of_workspace),
    }];
    let limits = Limits { max_body_bytes: 1_000, ..Limits::default() };
    Catalog::new(version, limits, routes, services, workspaces)
}

fn read(
    catalogs: &HashMap<u64, Catalog>,
    key: &str,
    value: Option<&[u8]>,
) -> Result<StoreRecord, UnreadableRecord> {
    let value = value.map(|value| String::from_utf8_lossy(value).into_owned());
    let bad = |reason: &str| UnreadableRecord { key: key.to_owned(), reason: reason.to_owned() };
    // A fault of the decoder.
    assert_ne!(value.as_deref(), Some("panic"));
    if key == "catalog" {
        let version =
            value.and_then(|text| text.trim_end().parse().ok()).ok_or(bad("not a number"))?;
        let catalog = catalogs.get(&version).ok_or(bad("unknown catalog"))?;
        return Ok(StoreRecord::Catalog(Box::new(catalog.clone())));
    }
    if let Some(id) = key.strip_prefix("server/") {
        let server = value.map(|text| server(id, &text).ok_or(bad("invalid server"))).transpose();
        return Ok(match server {
            Ok(server) => StoreRecord::Server(id.to_owned(), server),
            Err(error) => StoreRecord::UnreadableServer(id.to_owned(), error),
        });
    }
    if let Some(data_centre) = key.strip_prefix("evacuate/") {
        let evacuation = match value {
            Some(_) => Evacuation::Ordered,
            None => Evacuation::Cancelled,
        };
        return Ok(StoreRecord::Evacuation(data_centre.to_owned(), evacuation));
    }
    if let Some(service) = key.strip_prefix("order/") {
        let order =
            value.map(|text| order(service, &text).ok_or(bad("invalid order"))).transpose()?;
        return Ok(StoreRecord::Order(service.into(), order));
    }
    if let Some(service) = key.strip_prefix("progress/") {
        let progress = value
            .map(|text| progress(service, &text).ok_or(bad("invalid progress")))
            .transpose()?;
        return Ok(StoreRecord::Progress(service.into(), progress));
    }
    Ok(StoreRecord::Unrelated)
}

fn server(id: &str, text: &str) -> Option<BackendServer> {
    let mut fields: Vec<&str> = text.split(' ').collect();
    fields.resize(7.max(fields.len()), "0");
    let [service, address, data_centre, version, state, cold_ms, born_ms] = fields[..] else {
        return None;
    };
    Some(BackendServer {
        id: id.to_owned(),
        started_at_ms: born_ms.parse().ok(),
        warm_up_left: Duration::from_millis(cold_ms.parse().ok()?),
        service: service.into(),
        address: address.parse().ok()?,
        data_centre: data_centre.to_owned(),
        version: version.to_owned(),
        slots: 8,
        state: if state == "ready" { ServerState::Ready } else { ServerState::Draining },
    })
}

fn order(service: &str, text: &str) -> Option<RollOutOrder> {
    let (target, seconds) = text.split_once(' ')?;
    let within = Duration::from_secs(seconds.parse().ok()?);
    let defects = Defects::default();
    Some(RollOutOrder { service: service.into(), target: target.to_owned(), within, defects })
}

fn progress(service: &str, text: &str) -> Option<Progress> {
    let (target, outcome) = text.split_once(' ')?;
    let outcome = match outcome {
        "InProgress" => Outcome::InProgress,
        "Completed" => Outcome::Completed,
        _ => Outcome::Reverted,
    };
    Some(Progress { service: service.into(), target: target.to_owned(), outcome })
}

fn write_progress(progress: &Progress) -> (String, Vec<u8>) {
    let key = format!("progress/{}", progress.service);
    (key, format!("{} {:?}", progress.target, progress.outcome).into_bytes())
}

/// Request body that crashes every server that runs it.
pub const CRASHING_BODY: &str = "ends whoever runs it";
/// Time for which a crashed server is down.
pub const DOWN_TIME: Duration = Duration::from_millis(1_500);

impl World {
    /// Makes servers of a service crash `after` they have begun to run a request with this body.
    /// Each server restarts some time later under a new identity, and is listed in the store.
    pub fn make_crashing(&self, service: &'static str, body: &str, after: Duration) {
        let body = body.as_bytes().to_vec();
        self.add_crash_rule(service, after, move |request| request.body.starts_with(&body));
    }

    /// Like [`World::make_crashing`], for requests with this part in their prompts.
    pub fn make_part_crashing(&self, service: &'static str, part: u64, after: Duration) {
        self.add_crash_rule(service, after, move |request| {
            let parts = request.headers.get("pondwalk-prompt-parts");
            parts.is_some_and(|parts| prompt_parts(parts).any(|named| named == part))
        });
    }

    /// Crashes a server, and restarts it some time later under a new identity.
    pub fn crash_and_restart(&self, n: u16, round: u32) {
        let Some((id, behaviour)) = self.backends.running(address(n)) else { return };
        self.backends.crash(address(n));
        let (store, backends) = (self.store.clone(), self.backends.clone());
        spawn_local(async move {
            sleep(DOWN_TIME).await;
            let next = format!("s{n}-{}", 100_000 + round);
            store.remove(&format!("server/{id}"));
            backends.start(address(n), &next, behaviour);
            store.put(&format!("server/{next}"), &format!("s {} dc1 v1 ready", address(n)));
        });
    }

    fn add_crash_rule(
        &self,
        service: &'static str,
        after: Duration,
        applies: impl Fn(&ReceivedRequest) -> bool + 'static,
    ) {
        let store = self.store.clone();
        let on_restart = move |address: SocketAddr, id: &str| {
            let (stem, incarnation) = id.split_once('-').unwrap_or((id, "0"));
            let incarnation: u32 = incarnation.parse().expect("a number");
            let next = format!("{stem}-{}", incarnation + 1);
            store.remove(&format!("server/{id}"));
            store.put(&format!("server/{next}"), &format!("{service} {address} dc1 v1 ready"));
            next
        };
        self.backends.add_crash_rule(CrashRule {
            applies: Rc::new(applies),
            after,
            is_answered: false,
            restart_delay: DOWN_TIME,
            on_restart: Rc::new(on_restart),
        });
    }
}

/// Replaces the body of a request.
pub fn with_body(request: Request<Full<Bytes>>, body: &str) -> Request<Full<Bytes>> {
    request.map(|_| Full::from(body.to_owned()))
}

/// Sum of a counter or gauge over entries.
pub fn total(entries: &[Entry], name: &str) -> u64 {
    let value_of = |entry: &Entry| {
        let text = entry.metrics_text();
        let line = text.lines().find_map(|line| line.strip_prefix(name)?.trim().parse().ok());
        line.unwrap_or(0)
    };
    entries.iter().map(value_of).sum()
}
