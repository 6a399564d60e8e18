//! An entry process between a store, servers and callers that run in the test.

#![allow(dead_code)]

use std::{
    cell::Cell,
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    rc::Rc,
    thread,
    time::Duration,
};

use http_body_util::{BodyExt, Full};
use hyper::{Request, body::Bytes, client::conn::http1};
use hyper_util::rt::TokioIo;
use nix::unistd::Pid;
use pondwalk_standin::{
    backends::{Backends, Behaviour},
    floods::Flood,
    memory_store::MemoryStore,
    platform_server::header_names,
    platform_store::{self, RouteSpec, ServerEntry, WarmUpSpec, configuration_entry, server_entry},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, copy_bidirectional},
    net::{TcpListener, TcpStream},
    runtime::Builder,
    task::{LocalSet, spawn_local},
    time::{Instant, sleep, timeout},
};

/// Bytes that each flood offers.
const OFFERED_BYTES: usize = 64 * 1024 * 1024;
/// Deadline of the requests that are flooded.
pub const FLOOD_DEADLINE_MS: u64 = 3_000;
/// Time by which an entry must be ready.
pub const START_TIMEOUT: Duration = Duration::from_secs(20);
pub const HOST: &str = "h.example";
pub const KEY: &str = "k1";

/// An entry process between a store and servers that run in the test.
pub struct Site {
    pub child: Child,
    pub folder: PathBuf,
    pub callers: SocketAddr,
    pub metrics: SocketAddr,
    pub peers: SocketAddr,
    /// Whether the store answers without an end.
    pub store_floods: Rc<Cell<bool>>,
}

impl Drop for Site {
    fn drop(&mut self) {
        // Fails if the process has ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

pub fn run_test<F: Future<Output = ()>>(test: F) {
    let runtime = Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, test);
}

pub async fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    listener.local_addr().expect("an address")
}

pub fn route(path: &str, kind: &'static str, service: &'static str) -> RouteSpec {
    RouteSpec { prefix: path.to_owned(), kind, service }
}

/// Path and type of the routes to a service.
pub fn routes_of(service: &'static str) -> [(String, &'static str); 3] {
    ["non_idempotent", "idempotent", "streaming"].map(|kind| (format!("/{service}/{kind}/"), kind))
}

pub fn flood_service(index: usize) -> &'static str {
    Box::leak(format!("flood{index}").into_boxed_str())
}

impl Site {
    /// Starts all parts, and waits until the entry is ready.
    pub async fn start(name: &str) -> Site {
        Site::start_with(name, &[]).await
    }

    /// Like [`Site::start`], with further services of one server each.
    pub async fn start_with(name: &str, further: &[(&'static str, Behaviour)]) -> Site {
        Site::start_on(MemoryStore::default(), name, further).await
    }

    /// Like [`Site::start_with`], on a store that has records of other writers.
    pub async fn start_on(
        store: MemoryStore,
        name: &str,
        further: &[(&'static str, Behaviour)],
    ) -> Site {
        let folder = std::env::temp_dir().join(format!("pondwalk-{name}-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a folder");
        let store_floods = Rc::new(Cell::new(false));
        let store_address = serve_store(&store, &store_floods).await;
        let services: Vec<&'static str> = (0..Flood::ALL.len()).map(flood_service).collect();
        start_server(&store, "plain", Behaviour::Echo).await;
        for (flood, service) in Flood::ALL.into_iter().zip(&services) {
            start_server(&store, service, Behaviour::Flood(flood, OFFERED_BYTES)).await;
        }
        for (service, behaviour) in further {
            start_server(&store, service, behaviour.clone()).await;
        }
        let further = further.iter().map(|(service, _)| service);
        let services = services.iter().chain([&"plain"]).chain(further);
        let routes: Vec<RouteSpec> = services
            .flat_map(|service| routes_of(service).map(|(path, kind)| route(&path, kind, service)))
            .collect();
        let warm_up = WarmUpSpec { time: Duration::ZERO, requests_per_s: 0.0 };
        let (key, value) = configuration_entry(1, HOST, &routes, &[KEY.to_owned()], warm_up);
        store.put(&key, &value.to_string());
        let (callers, readiness) = (free_address().await, free_address().await);
        let (metrics, peers) = (free_address().await, free_address().await);
        let flooding_seed = serve_floods(b"HTTP/1.1 200 X\r\n\r\n".to_vec(), b"x").await;
        let settings = folder.join("entry.ini");
        let text = format!(
            "[direct]\nname = e1\ndata_centre = dc1\ncallers = {callers}\n\
             readiness = {readiness}\nmetrics = {metrics}\npeers = {peers}\n\
             [membership]\nseeds = {peers},{flooding_seed}\n\
             [store]\naddress = {store_address}\ntimeout_ms = 1500\nwatch_wait_ms = 1500\n"
        );
        fs::write(&settings, text).expect("the settings");
        let child = start_entry(&settings);
        let site = Site { child, folder, callers, metrics, peers, store_floods };
        site.wait_until_served().await;
        site
    }

    pub fn pid(&self) -> Pid {
        Pid::from_raw(i32::try_from(self.child.id()).expect("a process id"))
    }

    /// A field of the process's status, in KB; 0 if the process has ended.
    pub fn status_kb(&self, field: &str) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix(field)).unwrap_or_default();
        line.trim_start_matches(':').trim().trim_end_matches(" kB").parse().unwrap_or(0)
    }

    pub async fn wait_until_served(&self) {
        let limit = Instant::now() + START_TIMEOUT;
        while self.call("/plain/idempotent/x", "start", 1_000).await != Some(200) {
            assert!(Instant::now() < limit, "the entry serves nothing: {}", self.state());
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Whether the process runs, and what it has logged.
    fn state(&self) -> String {
        let is_running = self.status_kb("VmRSS") > 0;
        let log = fs::read_to_string(self.folder.join("entry.log")).unwrap_or_default();
        format!("running: {is_running}\n{log}")
    }

    /// Sends a request and reads the whole response; returns its status if it is complete.
    pub async fn call(&self, path: &str, id: &str, deadline_ms: u64) -> Option<u16> {
        let limit = Duration::from_millis(deadline_ms + 2_000);
        timeout(limit, call(self.callers, path, id, deadline_ms)).await.ok()?
    }

    /// Sends a request and does not read the response.
    pub async fn call_without_reading(&self, path: &str, id: &str) -> TcpStream {
        let mut stream = TcpStream::connect(self.callers).await.expect("a connection");
        let deadline = pondwalk_platform::dialect().deadline_ms;
        let rest = format!("{deadline}: {FLOOD_DEADLINE_MS}\r\ncontent-length: 0\r\n\r\n");
        let head = request_head(path, id, &rest);
        stream.write_all(head.as_bytes()).await.expect("it is written");
        stream
    }

    /// Value of a metric; 0 if it is absent.
    pub async fn metric(&self, name: &str) -> u64 {
        let text = metrics_text(self.metrics).await.unwrap_or_default();
        let line = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
        line.and_then(|value| value.trim().parse().ok()).unwrap_or(0)
    }

    /// Serves ordinary requests until `until`; returns how many were sent and how many served.
    pub async fn call_plain(&self, until: Instant) -> (usize, usize) {
        let (mut sent, mut served) = (0, 0);
        while Instant::now() < until {
            let id = format!("plain-{sent}");
            sent += 1;
            let status = self.call("/plain/non_idempotent/x", &id, 1_000).await;
            served += usize::from(status == Some(200));
            sleep(Duration::from_millis(20)).await;
        }
        (sent, served)
    }
}

pub fn start_entry(settings: &Path) -> Child {
    let log = fs::File::create(settings.with_extension("log")).expect("a log");
    let errors = log.try_clone().expect("a file");
    start_entry_with(settings, log.into(), errors.into())
}

/// Starts an entry with this standard output and error.
pub fn start_entry_with(settings: &Path, output: Stdio, errors: Stdio) -> Child {
    let mut command = Command::new(env!("CARGO_BIN_EXE_soak"));
    command.arg("entry").arg(settings).stdin(Stdio::null());
    command.stdout(output).stderr(errors).spawn().expect("the entry starts")
}

/// Head of a request with the key, up to `rest`.
pub fn request_head(path: &str, id: &str, rest: &str) -> String {
    let dialect = pondwalk_platform::dialect();
    let (request_id, scheme) = (dialect.request_id, dialect.key_scheme);
    format!(
        "POST {path} HTTP/1.1\r\nhost: {HOST}\r\n{request_id}: {id}\r\n\
         authorization: {scheme} {KEY}\r\n{rest}"
    )
}

/// Serves the store at an address where it can be made to flood.
pub async fn serve_store(store: &MemoryStore, floods: &Rc<Cell<bool>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let upstream = listener.local_addr().expect("an address");
    let store = store.clone();
    spawn_local(async move { platform_store::serve(store, listener).await.expect("it serves") });
    let front = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = front.local_addr().expect("an address");
    let floods = Rc::clone(floods);
    spawn_local(async move {
        while let Ok((mut stream, _)) = front.accept().await {
            let floods = Rc::clone(&floods);
            spawn_local(async move {
                if floods.get() {
                    let head = b"HTTP/1.1 200 X\r\n\r\n{\"entries\":[";
                    return write_endlessly(stream, head, b" ").await;
                }
                let Ok(mut upstream) = TcpStream::connect(upstream).await else { return };
                tokio::select! {
                    _ = copy_bidirectional(&mut stream, &mut upstream) => {}
                    () = wait_until(&floods) => {}
                }
            });
        }
    });
    address
}

pub async fn wait_until(flag: &Cell<bool>) {
    while !flag.get() {
        sleep(Duration::from_millis(5)).await;
    }
}

/// Answers every connection without an end.
pub async fn serve_floods(head: Vec<u8>, repeated: &'static [u8]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let head = head.clone();
            spawn_local(async move { write_endlessly(stream, &head, repeated).await });
        }
    });
    address
}

pub async fn write_endlessly(mut stream: TcpStream, head: &[u8], repeated: &[u8]) {
    let block = repeated.repeat(64 * 1024 / repeated.len());
    let mut written = 0;
    // The connection may be closed at any time.
    if stream.write_all(head).await.is_err() {
        return;
    }
    while written < OFFERED_BYTES && stream.write_all(&block).await.is_ok() {
        written += block.len();
    }
    let mut rest = [0; 64];
    while stream.read(&mut rest).await.is_ok_and(|bytes| bytes > 0) {}
}

/// Runs work on a thread of its own, so that floods do not delay the rest of the test.
pub fn run_on_thread<F: Future<Output = ()>>(work: impl FnOnce() -> F + Send + 'static) {
    thread::spawn(move || run_test(work()));
}

pub async fn start_server(store: &MemoryStore, service: &'static str, behaviour: Behaviour) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    listener.set_nonblocking(true).expect("an option");
    let address = listener.local_addr().expect("an address");
    let id = format!("s-{service}");
    let server_id = id.clone();
    run_on_thread(move || async move {
        let listener = TcpListener::from_std(listener).expect("a listener");
        let backends = Backends::new(header_names());
        backends.start(address, &server_id, behaviour);
        while let Ok((mut stream, _)) = listener.accept().await {
            let Ok(mut server) = backends.connect(address) else { return };
            spawn_local(async move {
                // Either side may close at any time.
                let _ = copy_bidirectional(&mut stream, &mut server).await;
            });
        }
    });
    let entry = ServerEntry {
        id,
        service,
        address: address.to_string(),
        data_centre: "dc1".to_owned(),
        is_ready: true,
        warm_up_left_ms: 0,
        born_ms: 1,
    };
    let (key, value) = server_entry(&entry);
    store.put(&key, &value.to_string());
}

pub async fn call(address: SocketAddr, path: &str, id: &str, deadline_ms: u64) -> Option<u16> {
    let stream = TcpStream::connect(address).await.ok()?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    spawn_local(async move { connection.await.unwrap_or_default() });
    let dialect = pondwalk_platform::dialect();
    let request = Request::post(path)
        .header("host", HOST)
        .header(&dialect.request_id, id)
        .header(&dialect.deadline_ms, deadline_ms.to_string())
        .header("authorization", format!("{} {KEY}", dialect.key_scheme))
        .body(Full::<Bytes>::default())
        .ok()?;
    let response = sender.send_request(request).await.ok()?;
    let status = response.status().as_u16();
    let mut body = response.into_body();
    while let Some(frame) = body.frame().await {
        frame.ok()?;
    }
    Some(status)
}

pub async fn metrics_text(address: SocketAddr) -> Option<String> {
    let stream = TcpStream::connect(address).await.ok()?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    spawn_local(async move { connection.await.unwrap_or_default() });
    let request = Request::get("/metrics").header("host", HOST).body(Full::<Bytes>::default());
    let response = sender.send_request(request.ok()?).await.ok()?;
    let body = response.into_body().collect().await.ok()?.to_bytes();
    String::from_utf8(body.to_vec()).ok()
}
