//! Stand-ins for clients, model workers and the platform's store, and the start of entries.
//!
//! Only the standard library is used. Everything listens on loopback addresses.
#![allow(dead_code)]

use std::{
    collections::BTreeMap,
    fs,
    io::{self, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Whether the disruption is played.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Ends the case: the case could not run.
pub fn cannot_run(reason: &str) -> ! {
    eprintln!("cannot run: {reason}");
    std::process::exit(2)
}

// ---- record ---------------------------------------------------------------------------------

/// Lines of `record.txt`, with seconds since the start.
pub struct Record {
    start: Instant,
    lines: Mutex<Vec<(Duration, String)>>,
}

impl Record {
    pub fn new() -> Arc<Record> {
        Arc::new(Record { start: Instant::now(), lines: Mutex::default() })
    }

    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    pub fn add(&self, text: impl Into<String>) -> Duration {
        let now = self.now();
        self.lines.lock().unwrap().push((now, text.into()));
        now
    }

    pub fn write(&self, path: &Path) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by_key(|(at, _)| *at);
        let text: String =
            lines.iter().map(|(at, text)| format!("{:9.3} {text}\n", at.as_secs_f64())).collect();
        if let Err(error) = fs::write(path, text) {
            eprintln!("record: {error}");
        }
    }
}

// ---- HTTP -----------------------------------------------------------------------------------

/// A request or an answer: first line, headers with lower-case names, body.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn id(&self) -> String {
        self.header("x-pondwalk-attempt-id").unwrap_or("").to_owned()
    }
}

/// A connection with the bytes that were read ahead.
pub struct Conn {
    pub stream: TcpStream,
    pub ahead: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Conn {
        let _ = stream.set_nodelay(true);
        Conn { stream, ahead: Vec::new() }
    }

    pub fn connect(address: SocketAddr) -> io::Result<Conn> {
        Ok(Conn::new(TcpStream::connect_timeout(&address, Duration::from_secs(1))?))
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut buffer = [0; 16 * 1024];
        let count = self.stream.read(&mut buffer)?;
        self.ahead.extend_from_slice(&buffer[..count]);
        Ok(count)
    }

    /// Reads a head; `None` at the end of the connection.
    pub fn read_head(&mut self) -> io::Result<Option<Message>> {
        loop {
            if let Some(end) = find(&self.ahead, b"\r\n\r\n") {
                let head: Vec<u8> = self.ahead.drain(..end + 4).collect();
                let text = String::from_utf8_lossy(&head[..end]).into_owned();
                let mut lines = text.split("\r\n");
                let first = lines.next().unwrap_or("").to_owned();
                let headers = lines
                    .filter_map(|line| line.split_once(':'))
                    .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
                    .collect();
                return Ok(Some(Message { first, headers, body: Vec::new() }));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    /// Reads `count` bytes.
    pub fn read_exact(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.ahead.len() < count {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.ahead.drain(..count).collect())
    }

    fn read_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = find(&self.ahead, b"\r\n") {
                let line: Vec<u8> = self.ahead.drain(..end + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads one chunk; empty at the end of the body.
    pub fn read_chunk(&mut self) -> io::Result<Vec<u8>> {
        let line = self.read_line()?;
        let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16)
            .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        let chunk = self.read_exact(size)?;
        self.read_line()?;
        Ok(chunk)
    }

    /// Reads a whole request.
    pub fn read_request(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.read_head()? else { return Ok(None) };
        message.body = self.read_body(&message, false)?;
        Ok(Some(message))
    }

    /// Reads the body that belongs to a head.
    pub fn read_body(&mut self, head: &Message, until_close: bool) -> io::Result<Vec<u8>> {
        if let Some(length) = head.header("content-length").and_then(|text| text.parse().ok()) {
            return self.read_exact(length);
        }
        if head.header("transfer-encoding").is_some() {
            let mut body = Vec::new();
            loop {
                let chunk = self.read_chunk()?;
                if chunk.is_empty() {
                    return Ok(body);
                }
                body.extend(chunk);
            }
        }
        if until_close {
            while self.fill()? > 0 {}
            return Ok(std::mem::take(&mut self.ahead));
        }
        Ok(Vec::new())
    }

    /// Whether the other side has closed or reset the connection. Unread bytes count as open.
    pub fn is_closed(&self) -> bool {
        let _ = self.stream.set_nonblocking(true);
        let peeked = self.stream.peek(&mut [0; 1]);
        let _ = self.stream.set_nonblocking(false);
        match peeked {
            Ok(count) => count == 0,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    pub fn send_chunk(&mut self, bytes: &[u8]) -> io::Result<()> {
        let mut chunk = format!("{:x}\r\n", bytes.len()).into_bytes();
        chunk.extend_from_slice(bytes);
        chunk.extend_from_slice(b"\r\n");
        self.send(&chunk)
    }
}

pub fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|window| window == pattern)
}

// ---- JSON -----------------------------------------------------------------------------------

#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        parse_json(bytes, &mut at)
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Table(fields) => fields.iter().find(|(known, _)| known == name).map(|(_, v)| v),
            _ => None,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> f64 {
        match self {
            Json::Number(number) => *number,
            _ => 0.0,
        }
    }
}

fn skip_blanks(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn parse_json(bytes: &[u8], at: &mut usize) -> Option<Json> {
    skip_blanks(bytes, at);
    match bytes.get(*at)? {
        b'{' => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                skip_blanks(bytes, at);
                match bytes.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(Json::Table(fields));
                    }
                    b',' => *at += 1,
                    _ => {
                        let Json::Text(name) = parse_json(bytes, at)? else { return None };
                        skip_blanks(bytes, at);
                        if bytes.get(*at)? != &b':' {
                            return None;
                        }
                        *at += 1;
                        fields.push((name, parse_json(bytes, at)?));
                    }
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut items = Vec::new();
            loop {
                skip_blanks(bytes, at);
                match bytes.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::List(items));
                    }
                    b',' => *at += 1,
                    _ => items.push(parse_json(bytes, at)?),
                }
            }
        }
        b'"' => {
            *at += 1;
            let mut text = Vec::new();
            loop {
                match *bytes.get(*at)? {
                    b'"' => {
                        *at += 1;
                        return String::from_utf8(text).ok().map(Json::Text);
                    }
                    b'\\' => {
                        let escaped = *bytes.get(*at + 1)?;
                        *at += 2;
                        match escaped {
                            b'n' => text.push(b'\n'),
                            b't' => text.push(b'\t'),
                            b'r' => text.push(b'\r'),
                            b'u' => *at += 4,
                            other => text.push(other),
                        }
                    }
                    byte => {
                        text.push(byte);
                        *at += 1;
                    }
                }
            }
        }
        _ => {
            let start = *at;
            while bytes.get(*at).is_some_and(|byte| !b",]} \r\n\t".contains(byte)) {
                *at += 1;
            }
            match std::str::from_utf8(&bytes[start..*at]).ok()? {
                "null" => Some(Json::Null),
                "true" => Some(Json::Bool(true)),
                "false" => Some(Json::Bool(false)),
                number => number.parse().ok().map(Json::Number),
            }
        }
    }
}

const BASE64: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let value = group
            .iter()
            .enumerate()
            .fold(0u32, |value, (index, byte)| value | u32::from(*byte) << (16 - 8 * index));
        for index in 0..4 {
            match index <= group.len() {
                true => text.push(BASE64[(value >> (18 - 6 * index) & 63) as usize] as char),
                false => text.push('='),
            }
        }
    }
    text
}

pub fn unbase64(text: &str) -> Vec<u8> {
    let (mut bytes, mut value, mut bits) = (Vec::new(), 0u32, 0);
    for byte in text.bytes() {
        let Some(digit) = BASE64.iter().position(|known| *known == byte) else { continue };
        value = value << 6 | digit as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            bytes.push((value >> bits) as u8);
            value &= (1 << bits) - 1;
        }
    }
    bytes
}

// ---- the platform's store -------------------------------------------------------------------

#[derive(Default)]
struct StoreState {
    revision: u64,
    items: BTreeMap<String, (Vec<u8>, u64)>,
    log: Vec<(u64, String, Option<Vec<u8>>)>,
}

/// The platform's store: a page has 50 items, and a change has one revision.
pub struct Store {
    pub address: SocketAddr,
    state: Mutex<StoreState>,
    changed: Condvar,
}

impl Store {
    pub fn start() -> Arc<Store> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|_| cannot_run("no port"));
        let address = listener.local_addr().unwrap();
        let store = Arc::new(Store { address, state: Mutex::default(), changed: Condvar::new() });
        let serving = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&serving);
                thread::spawn(move || {
                    let mut conn = Conn::new(stream);
                    while let Ok(Some(request)) = conn.read_request() {
                        let (status, body) = store.answer(&request);
                        let head = format!(
                            "HTTP/1.1 {status} OK\r\ncontent-type: application/json\r\n\
                             store-era: 1\r\ncontent-length: {}\r\n\r\n",
                            body.len()
                        );
                        if conn.send((head + &body).as_bytes()).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        store
    }

    /// Writes a key, as the operator or a worker does; the return is the confirmation.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        write_item(&mut state, key, value.as_bytes().to_vec(), revision);
        self.changed.notify_all();
        revision
    }

    pub fn remove(&self, key: &str) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        state.items.remove(key);
        state.log.push((revision, key.to_owned(), None));
        self.changed.notify_all();
    }

    pub fn get(&self, key: &str) -> Option<String> {
        let state = self.state.lock().unwrap();
        state.items.get(key).map(|(data, _)| String::from_utf8_lossy(data).into_owned())
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let (path, query) = request.path().split_once('?').unwrap_or((request.path(), ""));
        let parameter = |name: &str| {
            query
                .split('&')
                .filter_map(|pair| pair.split_once('='))
                .find(|(known, _)| *known == name)
                .map(|(_, value)| percent_decode(value))
                .unwrap_or_default()
        };
        match path {
            "/api/kv-range" => self.range(&parameter("path_prefix"), &parameter("since_revision")),
            "/api/kv-watch" => self.watch(
                &parameter("path_prefix"),
                parameter("since_revision").parse().unwrap_or(0),
                Duration::from_millis(parameter("wait_time_ms").parse().unwrap_or(0)),
            ),
            "/api/kv-txn" => self.transact(&String::from_utf8_lossy(&request.body)),
            _ => (404, "null".to_owned()),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, String) {
        let state = self.state.lock().unwrap();
        let keys: Vec<&String> = state
            .items
            .keys()
            .filter(|key| key.starts_with(prefix) && (after.is_empty() || key.as_str() > after))
            .collect();
        let entries: Vec<String> = keys
            .iter()
            .take(50)
            .map(|key| {
                let (data, revision) = &state.items[*key];
                item_json(key, data, *revision)
            })
            .collect();
        let body = format!(
            "{{\"entries\":[{}],\"truncated\":{},\"position_revision\":{}}}",
            entries.join(","),
            keys.len() > 50,
            state.revision
        );
        (200, body)
    }

    fn watch(&self, prefix: &str, since: u64, wait: Duration) -> (u16, String) {
        let end = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        loop {
            let events: Vec<String> = state
                .log
                .iter()
                .filter(|(revision, key, _)| *revision > since && key.starts_with(prefix))
                .map(|(revision, key, data)| match data {
                    Some(data) => item_json(key, data, *revision),
                    None => format!(
                        "{{\"private_key\":\"{key}\",\"revision\":{revision},\"compacted\":true}}"
                    ),
                })
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let body = format!(
                    "{{\"events\":[{}],\"position_revision\":{}}}",
                    events.join(","),
                    state.revision
                );
                return (200, body);
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn transact(&self, body: &str) -> (u16, String) {
        let Some(body) = Json::parse(body) else { return (400, "null".to_owned()) };
        let mut state = self.state.lock().unwrap();
        let rows = body.get("expected_revision").map(Json::list).unwrap_or_default();
        let holds = rows.iter().all(|row| {
            let key = row.get("private_key").map(Json::text).unwrap_or_default();
            let expected = row.get("revision").map(Json::number).unwrap_or_default() as u64;
            state.items.get(key).map_or(0, |(_, revision)| *revision) == expected
        });
        if !holds {
            return (412, "{\"entries\":[]}".to_owned());
        }
        state.revision += 1;
        let revision = state.revision;
        for row in body.get("write").map(Json::list).unwrap_or_default() {
            let key = row.get("private_key").map(Json::text).unwrap_or_default().to_owned();
            let data = unbase64(row.get("data").map(Json::text).unwrap_or_default());
            write_item(&mut state, &key, data, revision);
        }
        self.changed.notify_all();
        (200, format!("{{\"revision\":{revision}}}"))
    }
}

fn write_item(state: &mut StoreState, key: &str, data: Vec<u8>, revision: u64) {
    state.items.insert(key.to_owned(), (data.clone(), revision));
    state.log.push((revision, key.to_owned(), Some(data)));
}

fn item_json(key: &str, data: &[u8], revision: u64) -> String {
    format!(
        "{{\"private_key\":\"{key}\",\"data\":\"{}\",\"revision\":{revision},\
         \"created\":{revision},\"lease_id\":0}}",
        base64(data)
    )
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut decoded, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let hex = bytes.get(at + 1..at + 3).and_then(|hex| std::str::from_utf8(hex).ok());
        match (bytes[at], hex.and_then(|hex| u8::from_str_radix(hex, 16).ok())) {
            (b'%', Some(byte)) => {
                decoded.push(byte);
                at += 3;
            }
            (byte, _) => {
                decoded.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

// ---- workers --------------------------------------------------------------------------------

/// A worker: its listener, and whether it has crashed.
pub struct Worker {
    pub id: String,
    pub address: SocketAddr,
    pub service: String,
    pub has_crashed: AtomicBool,
    pub running: AtomicUsize,
    born: u64,
    sequence: AtomicU64,
    streams: Mutex<Vec<TcpStream>>,
}

/// Handles a request on its connection.
pub type Handler = dyn Fn(&Arc<Worker>, Message, &mut Conn) -> io::Result<()> + Send + Sync;

impl Worker {
    pub fn start(id: &str, service: &str, handler: Arc<Handler>) -> Arc<Worker> {
        Worker::start_at(id, service, SocketAddr::from(([127, 0, 0, 1], 0)), handler)
    }

    /// Starts a worker at an address, for example that of one which has crashed.
    pub fn start_at(
        id: &str,
        service: &str,
        address: SocketAddr,
        handler: Arc<Handler>,
    ) -> Arc<Worker> {
        let listener = TcpListener::bind(address).unwrap_or_else(|_| cannot_run("no port"));
        let address = listener.local_addr().unwrap();
        let born = std::time::SystemTime::now()
            .duration_since(std::time::UNIX_EPOCH)
            .map_or(0, |time| time.as_millis() as u64);
        let worker = Arc::new(Worker {
            id: id.to_owned(),
            address,
            service: service.to_owned(),
            has_crashed: AtomicBool::new(false),
            running: AtomicUsize::new(0),
            born,
            sequence: AtomicU64::new(1),
            streams: Mutex::default(),
        });
        let serving = Arc::clone(&worker);
        thread::spawn(move || {
            let _ = listener.set_nonblocking(true);
            // The listener is closed once the worker has crashed.
            while !serving.has_crashed.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                if let Ok(copy) = stream.try_clone() {
                    serving.streams.lock().unwrap().push(copy);
                }
                let (worker, handler) = (Arc::clone(&serving), Arc::clone(&handler));
                thread::spawn(move || serve_worker(&worker, &handler, stream));
            }
        });
        worker
    }

    /// The worker's own entry in the store.
    pub fn entry(&self, zone: &str, version: &str, state: &str) -> (String, String) {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst);
        let value = format!(
            "{{\"backend\":\"{}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"{version}\",\
             \"capacity\":64,\"state\":\"{state}\",\"warmup_left_ms\":0,\"sequence\":{sequence},\
             \"born\":{}}}",
            self.service, self.address, self.born
        );
        (format!("servers/{}", self.id), value)
    }

    /// Ends the worker as a crash of its process does: all connections close at once.
    pub fn crash(&self) {
        self.has_crashed.store(true, Ordering::SeqCst);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn serve_worker(worker: &Arc<Worker>, handler: &Arc<Handler>, stream: TcpStream) {
    let mut conn = Conn::new(stream);
    while let Ok(Some(request)) = conn.read_request() {
        if worker.has_crashed.load(Ordering::SeqCst) {
            return;
        }
        if request.header("x-pondwalk-expected-instance").is_some_and(|id| id != worker.id) {
            let head = "HTTP/1.1 421 Misdirected\r\nx-pondwalk-not-executed: 1\r\n\
                        content-length: 0\r\n\r\n";
            if conn.send(head.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        if handler(worker, request, &mut conn).is_err() {
            return;
        }
    }
}

/// Head of a success of a worker, without framing.
pub fn success_head(id: &str, content_type: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nx-pondwalk-attempt-id: {id}\r\n\
         x-pondwalk-response-signature: sig-{id}\r\ncontent-type: {content_type}\r\n"
    )
}

// ---- entries --------------------------------------------------------------------------------

/// An entry process.
pub struct Entry {
    pub name: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub peers: SocketAddr,
    pub metrics: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// The repository's root: the parent of the folder `review`.
pub fn root() -> PathBuf {
    std::env::var("REVIEW_ROOT").map_or_else(|_| PathBuf::from("."), PathBuf::from)
}

/// A folder of this case for settings and logs.
pub fn temporary_folder() -> PathBuf {
    let folder = std::env::temp_dir().join(format!("pondwalk-review-{}", std::process::id()));
    fs::create_dir_all(&folder).unwrap_or_else(|_| cannot_run("no temporary folder"));
    folder
}

pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0")
        .and_then(|listener| listener.local_addr())
        .unwrap_or_else(|_| cannot_run("no port"))
}

/// Figures of the settings, as those of a small deployment.
pub const SETTINGS: &str = "\
key_bound_ms = 5000\nstrict_keys = true\nserver_heartbeat_ms = 1200\ngrace_s = 8\nsession_ttl_s = 5\n\
[membership]\nseeds = SEEDS\npropagation_ms = 2000\nevacuation_ms =\ndrain_ms = 2000\n\
[retries]\nratio = 0.9\nextra = 54\nwindow_s = 10\n\
[warm_up]\novershoot =\ntolerance =\nheartbeat_ms = 1200\n\
[usage]\naddress =\ntasks =\nlease_ms =\nreport_interval_s =\nusage_delay_s =\n\
[policy]\nshared_load = true\n[roll_out]\nexposure = 0.08\n";

/// Prepares entries that know one another as seeds, one in each zone in turn.
pub fn prepare_entries(
    count: usize,
    zones: &[&str],
    store: SocketAddr,
    folder: &Path,
) -> Vec<Entry> {
    // All ports are held until all are known, so that no two are the same.
    let held: Vec<TcpListener> = (0..4 * count)
        .map(|_| TcpListener::bind("127.0.0.1:0").unwrap_or_else(|_| cannot_run("no port")))
        .collect();
    let address = |index: usize| held[index].local_addr().unwrap();
    let seeds: Vec<String> = (0..count.min(3)).map(|n| address(4 * n + 2).to_string()).collect();
    let table: Vec<String> = zones.iter().map(|zone| format!("\"{zone}\":\"area\"")).collect();
    (0..count)
        .map(|n| {
            let name = format!("edge-{n}");
            let (callers, readiness) = (address(4 * n), address(4 * n + 1));
            let (peers, metrics) = (address(4 * n + 2), address(4 * n + 3));
            let text = format!(
                "[direct]\nname = {name}\ndata_centre = {}\nregions = {{{}}}\ncallers = {callers}\n\
                 readiness = {readiness}\npeers = {peers}\nlink_mbps = 1000.0\nmetrics = {metrics}\n\
                 {}\n[store]\naddress = {store}\ntimeout_ms = 1500\nwatch_wait_ms = 1500\n",
                zones[n % zones.len()],
                table.join(","),
                SETTINGS.replace("SEEDS", &seeds.join(",")),
            );
            let settings = folder.join(format!("{name}.conf"));
            fs::write(&settings, text).unwrap_or_else(|_| cannot_run("cannot write settings"));
            let log = folder.join(format!("{name}.log"));
            Entry { name, callers, readiness, peers, metrics, settings, log, child: None }
        })
        .collect()
}

impl Entry {
    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self) {
        let log = fs::OpenOptions::new().create(true).append(true).open(&self.log);
        let Ok(log) = log else { cannot_run("no log") };
        let Ok(errors) = log.try_clone() else { cannot_run("no log") };
        let child = Command::new(root().join("target/release/pondwalk"))
            .arg("direct")
            .env("PONDWALK_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        self.child = Some(child.unwrap_or_else(|_| cannot_run("the entry does not start")));
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    pub fn is_running(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    pub fn is_ready(&self) -> bool {
        let Ok(mut conn) = Conn::connect(self.readiness) else { return false };
        let _ = conn.stream.set_read_timeout(Some(Duration::from_secs(1)));
        let asked =
            conn.send(b"GET /api/readyz HTTP/1.1\r\nhost: edge\r\nconnection: close\r\n\r\n");
        asked.is_ok() && matches!(conn.read_head(), Ok(Some(head)) if head.status() == 200)
    }

    pub fn wait_until_ready(&mut self, limit: Duration) {
        let end = Instant::now() + limit;
        while !self.is_ready() {
            if Instant::now() >= end || !self.is_running() {
                cannot_run("an entry is not ready in time");
            }
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// Sends a signal, by its name, to the process.
    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").arg(format!("-{name}")).arg(self.pid().to_string()).status();
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn log_text(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Renews the workers' entries every heartbeat: only `sequence` changes, which is no change.
pub fn wait_for(limit: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + limit;
    while !holds() {
        if Instant::now() >= end {
            return false;
        }
        thread::sleep(Duration::from_millis(5));
    }
    true
}

/// A configuration with one host, its routes and services as JSON texts, and one tenant.
pub fn configuration(
    version: u64,
    routes: &[String],
    services: &[String],
    keys: &[&str],
) -> String {
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    format!(
        "{{\"version\":{version},\"route_table\":[{}],\"backends\":[{}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"hule930\",\"api_keys\":[{}]}}]}}",
        routes.join(","),
        services.join(","),
        keys.join(",")
    )
}
