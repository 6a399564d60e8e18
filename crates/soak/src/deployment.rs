//! The processes of a run, and what is done to them.

use std::{
    cell::{Cell, RefCell},
    collections::HashSet,
    fs,
    net::{Ipv4Addr, SocketAddr},
    path::PathBuf,
    process,
    rc::Rc,
    time::Duration,
};

use anyhow::{Context, ensure};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, StatusCode, client::conn::http1, header::HOST};
use hyper_util::rt::TokioIo;
use nix::sys::signal::Signal;
use pondwalk_standin::platform_store::{RouteOrder, WeatherOrder, configuration, server_entry};
use tokio::{
    io::{AsyncBufReadExt, BufReader},
    net::{TcpListener, TcpStream},
    process::ChildStdout,
    task::spawn_local,
    time::{Instant, sleep, timeout},
};

use crate::{
    child::Child,
    options::Plan,
    proxy::Proxy,
    records::{Records, Route, Run, Span, TimeUs, Version, now_us},
};

/// Host of all routes.
pub const HOST_NAME: &str = "soak.example";
/// Time for a process to end after it was told to; then it is killed.
const GRACE: Duration = Duration::from_secs(8);
/// Time for which a server works on after it has said that it leaves.
const LEAVING: Duration = Duration::from_secs(4);
/// Time between two looks at whether an entry is ready.
const READY_LOOK: Duration = Duration::from_millis(200);
/// Time for all entries to become ready at the start.
const START_LIMIT: Duration = Duration::from_secs(20);
/// Time for which an entry that was paused or started may still be catching up.
const CATCHING_UP: TimeUs = 1_000_000;
/// Time of one call of the soak's own.
const CALL_LIMIT: Duration = Duration::from_secs(1);

struct EntrySlot {
    child: RefCell<Option<Child>>,
    callers: SocketAddr,
    readiness: SocketAddr,
    settings: PathBuf,
    is_ready: Cell<bool>,
}

struct ServerSlot {
    child: Child,
    id: String,
    /// Way by which it is reached, and its address.
    way: Rc<Proxy>,
    address: SocketAddr,
}

/// Everything that runs.
pub struct Deployment {
    folder: PathBuf,
    addresses: Addresses,
    store: SocketAddr,
    /// Way by which entries reach it.
    store_way: Rc<Proxy>,
    _store: Child,
    entries: Vec<EntrySlot>,
    servers: RefCell<Vec<Option<ServerSlot>>>,
    servers_started: Cell<usize>,
    version: Cell<Version>,
    /// What is seen.
    pub records: Rc<RefCell<Records>>,
}

/// Addresses for the processes of one run.
///
/// NB: they lie on a loopback address of the run's own. On the usual one, a port that was found free
/// may be taken by any connection of the machine before its process listens: 8 of 50 runs, eight at a
/// time, did not start for that.
struct Addresses {
    ip: Ipv4Addr,
    given: RefCell<HashSet<u16>>,
}

impl Addresses {
    fn of_this_run() -> Self {
        let [_, high, middle, low] = process::id().to_be_bytes();
        // NB: neither the usual address nor one that ends like a network's own or a broadcast.
        let ip = Ipv4Addr::new(127, 64 + (high & 0x3f), middle, low.clamp(1, 254));
        Addresses { ip, given: RefCell::default() }
    }

    /// An address that nobody listens on, and that was not given before.
    async fn free(&self) -> anyhow::Result<SocketAddr> {
        loop {
            let address = TcpListener::bind((self.ip, 0)).await?.local_addr()?;
            if self.given.borrow_mut().insert(address.port()) {
                return Ok(address);
            }
        }
    }
}

impl Deployment {
    /// Starts all processes, and returns once all entries are ready.
    pub async fn start(plan: &Plan) -> anyhow::Result<Rc<Self>> {
        if plan.folder.exists() {
            fs::remove_dir_all(&plan.folder)?;
        }
        fs::create_dir_all(&plan.folder)?;
        let addresses = Addresses::of_this_run();
        let store = addresses.free().await?;
        let log = plan.folder.join("store.log");
        let child = Child::start(&["store", &store.to_string()], &log)?;
        let way = addresses.free().await?;
        let store_way = Proxy::start(way, store).await?;
        let entries = place_entries(plan, &addresses, way).await?;
        let deployment = Rc::new(Deployment {
            folder: plan.folder.clone(),
            addresses,
            store,
            store_way,
            _store: child,
            entries,
            servers: RefCell::default(),
            servers_started: Cell::new(0),
            version: Cell::new(0),
            records: Rc::default(),
        });
        deployment.wait_for_store().await?;
        deployment.configure().await?;
        for place in 0..2 * plan.size.servers {
            let server = deployment.start_server(place).await?;
            deployment.servers.borrow_mut().push(Some(server));
        }
        for entry in 0..plan.size.entries {
            deployment.start_entry(entry)?;
            spawn_local(Rc::clone(&deployment).look_after(entry));
        }
        deployment.wait_until_ready().await?;
        Ok(deployment)
    }

    /// Number of entries.
    pub fn entries(&self) -> usize {
        self.entries.len()
    }

    /// Where callers reach an entry, if the balancer would send them there.
    pub fn open_at(&self, entry: usize) -> Option<SocketAddr> {
        let slot = &self.entries[entry];
        slot.is_ready.get().then_some(slot.callers)
    }

    /// Number of the newest configuration.
    pub fn version(&self) -> Version {
        self.version.get()
    }

    /// Writes a configuration with another key, and without the oldest.
    pub async fn configure(&self) -> anyhow::Result<()> {
        let version = self.version.get() + 1;
        let route = |route: Route| RouteOrder {
            prefix: route.path().to_owned(),
            kind: kind_of(route),
            service: service_of(route),
        };
        let keys: Vec<String> = [version, version.saturating_sub(1)].map(key_text).to_vec();
        let routes = Route::ALL.map(route);
        let (key, value) = configuration(version, HOST_NAME, &routes, &keys);
        self.put(&key, value.to_string()).await?;
        self.records.borrow_mut().configured_us.insert(version, now_us());
        self.version.set(version);
        Ok(())
    }

    /// Lets calls to the store fare so for a while.
    pub async fn disturb_store(&self, order: WeatherOrder, time: Duration) -> anyhow::Result<()> {
        let from_us = now_us();
        self.set_weather(order).await?;
        sleep(time).await;
        self.set_weather(WeatherOrder::Fair).await?;
        self.records.borrow_mut().store_disturbed.push(Span { from_us, to_us: now_us() });
        Ok(())
    }

    /// Lets the store forget its history.
    pub async fn forget_history(&self) -> anyhow::Result<()> {
        let from_us = now_us();
        call(self.store, Method::POST, "/order/forget", Bytes::new()).await?;
        self.records.borrow_mut().store_disturbed.push(Span { from_us, to_us: now_us() });
        Ok(())
    }

    /// Lets all open connections of entries to the store go silent.
    pub fn silence_store(&self) {
        self.store_way.silence();
        self.note_store_disturbed();
    }

    /// Resets all open connections of entries to the store.
    pub fn reset_store(&self) {
        self.store_way.reset();
        self.note_store_disturbed();
    }

    /// Lets all open connections to a server go silent.
    pub fn silence_server(&self, place: usize) {
        if let Some(server) = &self.servers.borrow()[place] {
            server.way.silence();
        }
    }

    fn note_store_disturbed(&self) {
        let now_us = now_us();
        let span = Span { from_us: now_us, to_us: now_us + 1 };
        self.records.borrow_mut().store_disturbed.push(span);
    }

    /// Stops an entry as planned and starts it again; nothing if it is not running.
    pub async fn stop(&self, entry: usize) -> anyhow::Result<()> {
        let Some(mut child) = self.entries[entry].child.take() else { return Ok(()) };
        child.signal(Signal::SIGTERM);
        let ended_in_time = timeout(GRACE, child.ended()).await.is_ok();
        self.restart(entry, child, now_us()).await?;
        ensure!(ended_in_time, "entry {entry} did not end within {GRACE:?}");
        Ok(())
    }

    /// Kills an entry and starts it again; nothing if it is not running.
    pub async fn kill(&self, entry: usize) -> anyhow::Result<()> {
        let Some(child) = self.entries[entry].child.take() else { return Ok(()) };
        let from_us = now_us();
        self.restart(entry, child, from_us).await
    }

    /// Lets an entry stand still for a while; nothing if it is not running.
    pub async fn pause(&self, entry: usize, time: Duration) {
        let slot = &self.entries[entry];
        let Some(child) = slot.child.take() else { return };
        let from_us = now_us();
        child.signal(Signal::SIGSTOP);
        sleep(time).await;
        child.signal(Signal::SIGCONT);
        *slot.child.borrow_mut() = Some(child);
        self.note_disturbed(entry, from_us);
    }

    /// A server says that it leaves, goes, and another comes in its place.
    pub async fn replace(&self, place: usize) -> anyhow::Result<()> {
        let Some(server) = self.servers.borrow_mut()[place].take() else { return Ok(()) };
        let service = service_at(place);
        let address = server.address.to_string();
        let (key, value) = server_entry(&server.id, service, &address, false);
        self.put(&key, value.to_string()).await?;
        self.records.borrow_mut().left_us.insert(server.id.clone(), now_us());
        let next = self.start_server(place).await?;
        self.servers.borrow_mut()[place] = Some(next);
        sleep(LEAVING).await;
        call(self.store, Method::DELETE, &format!("/order/key/{key}"), Bytes::new()).await?;
        // NB: what it runs is told until the end, so it goes on a while longer.
        sleep(LEAVING).await;
        drop((server.child, server.way));
        Ok(())
    }

    async fn restart(&self, entry: usize, mut child: Child, from_us: TimeUs) -> anyhow::Result<()> {
        let slot = &self.entries[entry];
        slot.is_ready.set(false);
        child.signal(Signal::SIGKILL);
        child.ended().await;
        self.start_entry(entry)?;
        let limit = Instant::now() + START_LIMIT;
        while !slot.is_ready.get() && Instant::now() < limit {
            sleep(READY_LOOK).await;
        }
        self.note_disturbed(entry, from_us);
        Ok(())
    }

    fn note_disturbed(&self, entry: usize, from_us: TimeUs) {
        let span = Span { from_us, to_us: now_us() + CATCHING_UP };
        self.records.borrow_mut().disturbed.entry(entry).or_default().push(span);
    }

    fn start_entry(&self, entry: usize) -> anyhow::Result<()> {
        let slot = &self.entries[entry];
        let settings = slot.settings.to_string_lossy();
        let log = self.folder.join(format!("entry-{entry}.log"));
        *slot.child.borrow_mut() = Some(Child::start(&["entry", &settings], &log)?);
        Ok(())
    }

    /// Asks an entry again and again whether callers should come, as the balancer does.
    async fn look_after(self: Rc<Self>, entry: usize) {
        let slot = &self.entries[entry];
        let path = pondwalk_platform::dialect().readiness_path;
        loop {
            let answer = call(slot.readiness, Method::GET, path, Bytes::new()).await;
            slot.is_ready.set(answer.is_ok());
            sleep(READY_LOOK).await;
        }
    }

    async fn wait_until_ready(&self) -> anyhow::Result<()> {
        let limit = Instant::now() + START_LIMIT;
        while !self.entries.iter().all(|slot| slot.is_ready.get()) {
            ensure!(Instant::now() < limit, "entries are not ready after {START_LIMIT:?}");
            sleep(READY_LOOK).await;
        }
        Ok(())
    }

    async fn wait_for_store(&self) -> anyhow::Result<()> {
        let limit = Instant::now() + START_LIMIT;
        while self.set_weather(WeatherOrder::Fair).await.is_err() {
            ensure!(Instant::now() < limit, "the store does not answer");
            sleep(READY_LOOK).await;
        }
        Ok(())
    }

    async fn start_server(&self, place: usize) -> anyhow::Result<ServerSlot> {
        let number = self.servers_started.get();
        self.servers_started.set(number + 1);
        let id = format!("s{number}");
        let address = self.addresses.free().await?;
        let service = service_at(place);
        let arguments = ["server", &id, &address.to_string(), service];
        let log = self.folder.join("servers.log");
        let (child, output) = Child::start_piped(&arguments, &log)?;
        self.note_runs(output);
        let limit = Instant::now() + START_LIMIT;
        while TcpStream::connect(address).await.is_err() {
            ensure!(Instant::now() < limit, "server {id} does not listen");
            sleep(READY_LOOK).await;
        }
        let way_address = self.addresses.free().await?;
        let way = Proxy::start(way_address, address).await?;
        let (key, value) = server_entry(&id, service, &way_address.to_string(), true);
        self.put(&key, value.to_string()).await?;
        Ok(ServerSlot { child, id, way, address: way_address })
    }

    /// Notes what a server tells of its runs, for as long as it does.
    fn note_runs(&self, output: ChildStdout) {
        let records = Rc::clone(&self.records);
        spawn_local(async move {
            let mut lines = BufReader::new(output).lines();
            while let Ok(Some(line)) = lines.next_line().await {
                match serde_json::from_str::<Run>(&line) {
                    Ok(run) => records.borrow_mut().runs.push(run),
                    Err(error) => eprintln!("soak: a server told `{line}`: {error}"),
                }
            }
        });
    }

    async fn put(&self, key: &str, value: String) -> anyhow::Result<()> {
        call(self.store, Method::PUT, &format!("/order/key/{key}"), value.into()).await
    }

    async fn set_weather(&self, order: WeatherOrder) -> anyhow::Result<()> {
        let body = serde_json::to_vec(&order)?;
        call(self.store, Method::POST, "/order/weather", body.into()).await
    }
}

async fn place_entries(
    plan: &Plan,
    addresses: &Addresses,
    store: SocketAddr,
) -> anyhow::Result<Vec<EntrySlot>> {
    let mut peers = Vec::new();
    for _ in 0..plan.size.entries {
        peers.push(addresses.free().await?);
    }
    let seeds: Vec<String> = peers.iter().take(3).map(SocketAddr::to_string).collect();
    let mut slots = Vec::new();
    for (entry, peers) in peers.into_iter().enumerate() {
        let (callers, readiness) = (addresses.free().await?, addresses.free().await?);
        let settings = plan.folder.join(format!("entry-{entry}.ini"));
        let text = format!(
            "[direct]\nname = e{entry}\ndata_centre = dc1\ncallers = {callers}\n\
             readiness = {readiness}\npeers = {peers}\nkey_bound_ms = 5000\ngrace_s = 6\n\
             session_ttl_s = 5\n[membership]\nseeds = {}\npropagation_ms = 2000\n\
             [retries]\nratio = 0.9\nextra = 54\nwindow_s = 10\nentries = {}\n\
             [roll_out]\nexposure = 0.08\n\
             [store]\naddress = {store}\ntimeout_ms = 1500\nwatch_wait_ms = 1500\n",
            seeds.join(","),
            plan.size.entries,
        );
        fs::write(&settings, text)?;
        let (child, is_ready) = (RefCell::default(), Cell::new(false));
        slots.push(EntrySlot { child, callers, readiness, settings, is_ready });
    }
    Ok(slots)
}

/// Text of the key that a configuration brings.
pub fn key_text(version: Version) -> String {
    format!("key-{version}")
}

fn kind_of(route: Route) -> &'static str {
    match route {
        Route::Once => "non_idempotent",
        Route::Again => "idempotent",
        Route::Stream => "streaming",
    }
}

fn service_of(route: Route) -> &'static str {
    if route == Route::Stream { "streams" } else { "plain" }
}

/// Servers of the two services stand in turn.
fn service_at(place: usize) -> &'static str {
    if place.is_multiple_of(2) { "plain" } else { "streams" }
}

/// Makes one call and tells whether it was answered with success.
async fn call(address: SocketAddr, method: Method, path: &str, body: Bytes) -> anyhow::Result<()> {
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(HOST, address.to_string())
        .body(Full::<Bytes>::from(body))?;
    let calling = async {
        let stream = TcpStream::connect(address).await?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        spawn_local(async move { connection.await.unwrap_or_default() });
        let answer = sender.send_request(request).await?;
        let status = answer.status();
        answer.into_body().collect().await?;
        ensure!(status == StatusCode::OK, "answered with {status}");
        Ok(())
    };
    timeout(CALL_LIMIT, calling).await.context("no answer in time")?
}
