//! What the cases share: the record, entries as processes, servers and clients.

use std::{
    fs,
    io::{self, BufReader, Read, Write},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    os::{
        fd::{AsRawFd, FromRawFd},
        unix::process::CommandExt,
    },
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Message, read_head, read_request},
    store::Store,
};

const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;
const SO_LINGER: i32 = 13;
const IPPROTO_TCP: i32 = 6;
const TCP_MAXSEG: i32 = 2;
const AF_INET: i32 = 2;
const SOCK_STREAM_CLOEXEC: i32 = 0o2_000_001;
/// Signal that asks a process to end.
pub const SIGTERM: i32 = 15;

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const u8, length: u32) -> i32;
    fn connect(socket: i32, address: *const u8, length: u32) -> i32;
    fn kill(process: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64, a: u64, b: u64, c: u64) -> i32;
}

const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

/// Sends a signal to a process that this program started.
pub fn signal(child: &Child, number: i32) {
    unsafe { kill(child.id() as i32, number) };
}

/// The case can't run.
pub fn cannot_run(why: impl std::fmt::Display) -> ! {
    eprintln!("cannot run: {why}");
    let _ = fs::remove_dir_all(scratch_path());
    // The entries end with this process.
    std::process::exit(2)
}

/// What was sent, answered and run, with times since the start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    pub fn new() -> Self {
        Record { start: Instant::now(), lines: Arc::default() }
    }

    /// Milliseconds since the start.
    pub fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn add(&self, who: &str, what: impl std::fmt::Display) {
        let line = format!("{:>7} ms  {who:<12} {what}", self.now_ms());
        self.lines.lock().expect("not poisoned").push(line);
    }

    pub fn write(&self, folder: &Path) {
        let text = self.lines.lock().expect("not poisoned").join("\n") + "\n";
        if let Err(error) = fs::write(folder.join("record.txt"), text) {
            cannot_run(error);
        }
    }
}

fn scratch_path() -> PathBuf {
    std::env::temp_dir().join(format!("review-{}", std::process::id()))
}

/// A folder for settings and logs, removed at the end.
pub struct Scratch {
    pub path: PathBuf,
}

impl Scratch {
    pub fn new() -> Self {
        let path = scratch_path();
        fs::create_dir_all(&path).unwrap_or_else(|error| cannot_run(error));
        Scratch { path }
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.path);
    }
}

/// Addresses of one entry.
#[derive(Debug, Clone)]
pub struct EntryAddresses {
    pub name: String,
    pub callers: SocketAddr,
    readiness: SocketAddr,
    peers: SocketAddr,
}

/// A loopback address of this run, so that fixed ports do not collide with those of others.
fn loopback(number: u8) -> Ipv4Addr {
    let process = std::process::id();
    Ipv4Addr::new(127, 64 + (process >> 8) as u8 % 128, process as u8, 10 + number)
}

fn free_port(address: Ipv4Addr) -> SocketAddr {
    let listener = TcpListener::bind((IpAddr::V4(address), 0));
    listener.and_then(|one| one.local_addr()).unwrap_or_else(|error| cannot_run(error))
}

impl EntryAddresses {
    pub fn new(number: u8) -> Self {
        let address = loopback(number);
        EntryAddresses {
            name: format!("edge-hall-a-{number}"),
            callers: free_port(address),
            readiness: free_port(address),
            peers: free_port(address),
        }
    }

    /// Fills the template of the deploy file as the platform does for a small deployment.
    fn settings(
        &self,
        seeds: &[EntryAddresses],
        store: SocketAddr,
        extra: &[(&str, String)],
    ) -> String {
        let template = fs::read_to_string("deploy/entry.ini").unwrap_or_else(|e| cannot_run(e));
        let seeds: Vec<String> = seeds.iter().map(|seed| seed.peers.to_string()).collect();
        let values = [
            ("node_name", self.name.clone()),
            ("zone", "hall-a".to_owned()),
            ("zones", "{\"hall-a\":\"central\"}".to_owned()),
            ("listen.frontend", self.callers.to_string()),
            ("listen.readiness", self.readiness.to_string()),
            ("listen.control_plane", self.peers.to_string()),
            ("limits.link_mbps", "1000.0".to_owned()),
            ("ip", self.callers.ip().to_string()),
            ("guarantees.revoke_timeout_ms", "5000".to_owned()),
            ("guarantees.strict_revoke", "true".to_owned()),
            ("guarantees.grace_period_s", "8".to_owned()),
            ("guarantees.session_ttl_s", "5".to_owned()),
            ("seed_nodes", seeds.join(",")),
            ("guarantees.propagation_ms", "2000".to_owned()),
            ("guarantees.retry_budget_ratio", "0.9".to_owned()),
            ("guarantees.retry_min_extra", "54".to_owned()),
            ("guarantees.retry_window_s", "10".to_owned()),
            ("heartbeat_ms", "1200".to_owned()),
            ("platform.address", store.to_string()),
        ];
        let mut text = template;
        for (name, value) in extra.iter().chain(&values) {
            text = text.replace(&format!("{{{{{name}}}}}"), value);
        }
        // A field that the deployment does not have yields nothing.
        while let (Some(start), Some(end)) = (text.find("{{"), text.find("}}")) {
            text.replace_range(start..end + 2, "");
        }
        text
    }

    fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect_timeout(&self.readiness, Duration::from_secs(1))
        else {
            return false;
        };
        let request = "GET /api/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let head = stream
            .write_all(request.as_bytes())
            .and_then(|()| read_head(&mut BufReader::new(stream)));
        matches!(head, Ok(Some(head)) if head.status() == 200)
    }
}

/// Running entries; killed on drop.
pub struct Entries {
    pub addresses: Vec<EntryAddresses>,
    pub children: Vec<Child>,
    folder: PathBuf,
    record: Record,
}

impl Entries {
    /// Starts entries and waits until all are ready and in touch for `connected_ms` (4 s at most).
    pub fn start(count: u8, store: SocketAddr, scratch: &Scratch, record: &Record) -> Entries {
        Self::start_with(count, store, &[], scratch, record)
    }

    /// The same, with fields of the platform's settings that replace the usual ones or are added.
    pub fn start_with(
        count: u8,
        store: SocketAddr,
        extra: &[(&str, String)],
        scratch: &Scratch,
        record: &Record,
    ) -> Entries {
        let addresses: Vec<EntryAddresses> = (0..count).map(EntryAddresses::new).collect();
        let (folder, record) = (scratch.path.clone(), record.clone());
        let mut entries = Entries { addresses, children: Vec::new(), folder, record };
        for index in 0..entries.addresses.len() {
            let own = &entries.addresses[index];
            let settings = own.settings(&entries.addresses, store, extra);
            let written = fs::write(entries.settings_path(index), settings);
            written.unwrap_or_else(|error| cannot_run(error));
            let child = entries.spawn(index);
            entries.children.push(child);
        }
        let limit = Instant::now() + Duration::from_secs(15);
        while !entries.addresses.iter().all(EntryAddresses::is_ready) {
            if Instant::now() > limit {
                drop(entries);
                cannot_run("the entries are not ready");
            }
            thread::sleep(Duration::from_millis(100));
        }
        entries.record.add("platform", "all entries are ready");
        thread::sleep(Duration::from_millis(4_500));
        entries
    }

    fn settings_path(&self, index: usize) -> PathBuf {
        self.folder.join(format!("{}.ini", self.addresses[index].name))
    }

    fn spawn(&self, index: usize) -> Child {
        let own = &self.addresses[index];
        let program = PathBuf::from("target/release/pondwalk");
        if !program.exists() {
            cannot_run("target/release/pondwalk is not built");
        }
        let log = self.folder.join(format!("{}.log", own.name));
        let log = fs::OpenOptions::new().create(true).append(true).open(log);
        let log = log.unwrap_or_else(|error| cannot_run(error));
        let mut command = Command::new(&program);
        // An entry ends with this program, however that ends.
        let end_with_parent = || {
            unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL, 0, 0, 0) };
            Ok(())
        };
        unsafe { command.pre_exec(end_with_parent) };
        let started = command
            .arg("direct")
            .env("PONDWALK_NODE_FILE", self.settings_path(index))
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap_or_else(|error| cannot_run(error)))
            .stderr(log)
            .spawn();
        self.record.add(&own.name, format!("starts, callers at {}", own.callers));
        started.unwrap_or_else(|error| cannot_run(error))
    }

    /// Starts an entry again that has ended, as the platform does.
    pub fn start_again(&mut self, index: usize) {
        let _ = self.children[index].wait();
        self.children[index] = self.spawn(index);
    }

    /// Copies the entries' logs beside the record, if wanted.
    pub fn keep_logs(scratch: &Scratch, folder: &Path) {
        if std::env::var_os("KEEP_LOGS").is_none() {
            return;
        }
        for file in fs::read_dir(&scratch.path).into_iter().flatten().flatten() {
            let _ = fs::copy(file.path(), folder.join(file.file_name()));
        }
    }
}

impl Drop for Entries {
    fn drop(&mut self) {
        for child in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// How a server handles one request on its connection.
pub type Handler = dyn Fn(&Worker, &Message, TcpStream) + Send + Sync;

/// A stand-in of a backend server.
pub struct Worker {
    pub id: String,
    pub address: SocketAddr,
    pub record: Record,
    crashed: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
}

impl Worker {
    /// Starts a server and lists it in the store.
    pub fn start(
        id: &str,
        service: &str,
        store: &Store,
        record: &Record,
        handler: Arc<Handler>,
    ) -> Arc<Worker> {
        let listener = TcpListener::bind((IpAddr::V4(loopback(200)), 0))
            .unwrap_or_else(|error| cannot_run(error));
        let address = listener.local_addr().expect("bound");
        let worker = Arc::new(Worker {
            id: id.to_owned(),
            address,
            record: record.clone(),
            crashed: AtomicBool::new(false),
            connections: Mutex::default(),
        });
        let served = Arc::clone(&worker);
        listener.set_nonblocking(true).expect("a listener");
        thread::spawn(move || {
            while !served.has_crashed() {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let (worker, handler) = (Arc::clone(&served), Arc::clone(&handler));
                thread::spawn(move || worker.serve(stream, &*handler));
            }
        });
        worker.list(service, store);
        worker
    }

    fn list(&self, service: &str, store: &Store) {
        let value = format!(
            "{{\"backend\":\"{service}\",\"address\":\"{}\",\"zone\":\"hall-a\",\"version\":\"v1\",\
             \"capacity\":64,\"state\":\"ready\",\"warmup_left_ms\":0,\"sequence\":1,\
             \"born\":1796000000000}}",
            self.address
        );
        store.put(&format!("servers/{}", self.id), &value);
        self.record.add(&self.id, format!("listed at {} for {service}", self.address));
    }

    fn serve(&self, stream: TcpStream, handler: &Handler) {
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        let (Ok(reader), Ok(kept)) = (stream.try_clone(), stream.try_clone()) else { return };
        self.connections.lock().expect("not poisoned").push(kept);
        let mut reader = BufReader::new(reader);
        let Ok(Some(request)) = read_request(&mut reader) else { return };
        drop(reader);
        let expected = request.header("x-pondwalk-expected-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            let _ = (&stream).write_all(b"HTTP/1.1 421 M\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        handler(self, &request, stream);
    }

    /// Ends at once: nothing listens any more, and all connections are reset.
    pub fn crash(&self) {
        self.record.add(&self.id, "crashes: its channels are reset");
        self.crashed.store(true, Ordering::SeqCst);
        for stream in self.connections.lock().expect("not poisoned").drain(..) {
            set_option(&stream, SOL_SOCKET, SO_LINGER, &[1, 0]);
        }
    }

    pub fn has_crashed(&self) -> bool {
        self.crashed.load(Ordering::SeqCst)
    }
}

fn set_option(stream: &impl AsRawFd, level: i32, name: i32, values: &[i32]) {
    let length = std::mem::size_of_val(values) as u32;
    unsafe { setsockopt(stream.as_raw_fd(), level, name, values.as_ptr().cast(), length) };
}

/// Head of a server's answer to a request.
pub fn answer_head(request: &Message, status: u16, extra: &str) -> String {
    let id = request.header("x-pondwalk-attempt-id").unwrap_or_default();
    format!(
        "HTTP/1.1 {status} A\r\nX-Pondwalk-Attempt-Id: {id}\r\n\
         X-Pondwalk-Response-Signature: sig.{id}\r\n{extra}\r\n"
    )
}

/// Whether the peer of a connection has closed it.
pub fn is_closed(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let mut byte = [0];
    let closed = match stream.peek(&mut byte) {
        Ok(read) => read == 0,
        Err(error) => error.kind() != io::ErrorKind::WouldBlock,
    };
    let _ = stream.set_nonblocking(false);
    closed
}

/// Connects as a client on an ordinary network: segments of 1,460 bytes, and a receive buffer of the
/// given size.
pub fn connect_client(address: SocketAddr, receive_buffer: i32) -> io::Result<TcpStream> {
    let SocketAddr::V4(address) = address else { return Err(io::ErrorKind::Unsupported.into()) };
    let descriptor = unsafe { socket(AF_INET, SOCK_STREAM_CLOEXEC, 0) };
    if descriptor < 0 {
        return Err(io::Error::last_os_error());
    }
    let stream = unsafe { TcpStream::from_raw_fd(descriptor) };
    set_option(&stream, SOL_SOCKET, SO_RCVBUF, &[receive_buffer]);
    set_option(&stream, IPPROTO_TCP, TCP_MAXSEG, &[1_460]);
    let mut bytes = [0u8; 16];
    bytes[..2].copy_from_slice(&(AF_INET as u16).to_ne_bytes());
    bytes[2..4].copy_from_slice(&address.port().to_be_bytes());
    bytes[4..8].copy_from_slice(&address.ip().octets());
    if unsafe { connect(descriptor, bytes.as_ptr(), 16) } != 0 {
        return Err(io::Error::last_os_error());
    }
    Ok(stream)
}

/// Sends a request and reads the head of its answer.
pub fn send(
    stream: &TcpStream,
    method: &str,
    path: &str,
    id: &str,
    headers: &str,
    body: &[u8],
) -> io::Result<BufReader<TcpStream>> {
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: app.example\r\nX-Pondwalk-Attempt-Id: {id}\r\n\
         {headers}Content-Length: {}\r\n\r\n",
        body.len()
    );
    let mut writer = stream;
    writer.write_all(head.as_bytes())?;
    writer.write_all(body)?;
    Ok(BufReader::new(stream.try_clone()?))
}

/// Reads a head and the whole body of an answer with a length.
pub fn read_answer(reader: &mut BufReader<TcpStream>) -> io::Result<(u16, Vec<u8>)> {
    let head = read_head(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let mut body = vec![0; head.length()];
    reader.read_exact(&mut body)?;
    Ok((head.status(), body))
}

/// A configuration with these routes and tenants, each as JSON.
pub fn configuration(version: u64, routes: &[String], services: &[&str], tenants: &str) -> String {
    let service = |name: &&str| {
        format!(
            "{{\"name\":\"{name}\",\"health_check\":\"/healthz\",\"max_connections\":360,\
             \"protocol\":\"h1\",\"tls\":false}}"
        )
    };
    let services: Vec<String> = services.iter().map(service).collect();
    format!(
        "{{\"version\":{version},\"route_table\":[{}],\"backends\":[{}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}{tenants}}}",
        routes.join(","),
        services.join(",")
    )
}
