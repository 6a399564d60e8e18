//! Backend servers on connections in memory, each following a script.
//!
//! They check the identity that a request expects, tell whether they ran it, stream and resume
//! events, and fail as real ones do: answers lost, spoiled, cut, surplus, or never given.

use std::{
    cell::{Cell, RefCell},
    collections::{HashMap, VecDeque},
    io,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, DuplexStream, duplex},
    select,
    sync::Notify,
    task::spawn_local,
    time::{Instant, sleep},
};

/// Bytes that a connection holds in one direction.
const CONNECTION_BYTES: usize = 64 * 1024;

/// Names of the headers that scripts set and look for, in lower case.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// Id of the request.
    pub request_id: String,
    /// Server that the request is meant for.
    pub expected_server: String,
    /// Mark of an answer without a run.
    pub not_run: String,
    /// Proof of the server.
    pub signature: String,
    /// Model's confidence.
    pub confidence: String,
    /// Last event that the caller has.
    pub last_event_id: String,
}

/// What a server does with one request.
#[derive(Debug, Clone)]
pub enum Behaviour {
    /// Answers with this status and body.
    Answer(u16, String),
    /// Answers with the request's id, so that callers can tell their own answers.
    Echo,
    /// Streams events from after the caller's last to `last`, with this confidence.
    Stream {
        /// Number of the last event.
        last: u32,
        /// Time between events.
        gap: Duration,
        /// Confidence told, if any.
        confidence: Option<u8>,
        /// Event in whose middle the connection is cut, if any.
        cut_in: Option<u32>,
    },
    /// Turns the request away without running it.
    NotRun(u16),
    /// Runs it and closes without a word.
    DropResponse,
    /// Runs it and never answers.
    Silent,
    /// Answers as if to another request.
    WrongRequestId,
    /// Answers without its proof.
    Unsigned,
    /// Answers, and sends a second answer behind it.
    ExtraResponse(String),
}

/// One request as a server saw it.
#[derive(Debug, Clone, Default)]
pub struct ReceivedRequest {
    /// First line.
    pub request_line: String,
    /// Headers, names in lower case.
    pub headers: HashMap<String, String>,
    /// Body.
    pub body: Vec<u8>,
    /// When it was read.
    pub at: Option<Instant>,
    /// Whether it was run.
    pub ran: bool,
    /// Further headers that its answer carries.
    pub extra_headers: Vec<(String, String)>,
    /// Whether the connection was closed before the answer was whole.
    pub cancelled: bool,
}

#[derive(Debug)]
struct Server {
    id: String,
    script: RefCell<VecDeque<Behaviour>>,
    default_behaviour: RefCell<Behaviour>,
    requests: RefCell<Vec<ReceivedRequest>>,
    /// Headers that all its answers carry besides.
    response_headers: RefCell<Vec<(String, String)>>,
    /// Whether its process has ended, with all that it was working on.
    has_crashed: Cell<bool>,
    crash_notify: Notify,
    /// Bytes of streams that were taken from it.
    streamed_bytes: Cell<usize>,
}

impl Server {
    fn crash(&self) {
        self.has_crashed.set(true);
        self.crash_notify.notify_waiters();
    }

    /// Waits until its process ends.
    async fn crashed(&self) {
        let crash_notify = self.crash_notify.notified();
        if !self.has_crashed.get() {
            crash_notify.await;
        }
    }
}

/// Told of a server that is back at its address with the identity that it had; returns the one that it has
/// from now on.
pub type OnRestart = Rc<dyn Fn(SocketAddr, &str) -> String>;

/// What ends every server that runs it.
#[derive(Clone)]
pub struct CrashRule {
    /// Beginning of the body of such a request.
    pub body: Vec<u8>,
    /// Time from the beginning of its run until the server ends.
    pub after: Duration,
    /// Time until the server is back.
    pub restart_delay: Duration,
    /// Told of each server that is back.
    pub on_restart: OnRestart,
}

/// A request that ends servers, as it reached one.
#[derive(Debug, Clone, Copy)]
pub struct CrashingRun {
    /// When it reached the server.
    pub at: Instant,
    /// When the server ended under it, if it has.
    pub crashed_at: Option<Instant>,
}

/// All servers, by address.
#[derive(Clone)]
pub struct Backends {
    header_names: HeaderNames,
    servers: Rc<RefCell<HashMap<SocketAddr, Rc<Server>>>>,
    crash_rules: Rc<RefCell<Vec<CrashRule>>>,
    crashing_runs: Rc<RefCell<Vec<CrashingRun>>>,
}

impl Backends {
    /// No servers yet.
    pub fn new(header_names: HeaderNames) -> Self {
        Backends {
            header_names,
            servers: Rc::default(),
            crash_rules: Rc::default(),
            crashing_runs: Rc::default(),
        }
    }

    /// Starts a server that does `default_behaviour` unless told otherwise.
    pub fn start(&self, address: SocketAddr, id: &str, default_behaviour: Behaviour) {
        let server = Server {
            id: id.to_owned(),
            script: RefCell::default(),
            default_behaviour: RefCell::new(default_behaviour),
            requests: RefCell::default(),
            response_headers: RefCell::default(),
            has_crashed: Cell::new(false),
            crash_notify: Notify::new(),
            streamed_bytes: Cell::default(),
        };
        self.servers.borrow_mut().insert(address, Rc::new(server));
    }

    /// Ends a server; connections to it are refused.
    pub fn stop(&self, address: SocketAddr) {
        self.servers.borrow_mut().remove(&address);
    }

    /// Ends a server as a crash does: what it was working on breaks off too.
    pub fn crash(&self, address: SocketAddr) {
        if let Some(server) = self.servers.borrow_mut().remove(&address) {
            server.crash();
        }
    }

    /// Lets a request end every server that runs it from now on.
    pub fn add_crash_rule(&self, rule: CrashRule) {
        self.crash_rules.borrow_mut().push(rule);
    }

    /// Lets all requests go well from now on.
    pub fn clear_crash_rules(&self) {
        self.crash_rules.borrow_mut().clear();
    }

    /// Requests of that kind that have reached servers, in order.
    pub fn crashing_runs(&self) -> Vec<CrashingRun> {
        self.crashing_runs.borrow().clone()
    }

    /// Notes such a request, and ends its server some time later. Returns whether it is one.
    fn apply_crash_rule(
        &self,
        address: SocketAddr,
        server: &Rc<Server>,
        request: &ReceivedRequest,
    ) -> bool {
        let rule = self
            .crash_rules
            .borrow()
            .iter()
            .find(|rule| request.body.starts_with(&rule.body))
            .cloned();
        let Some(rule) = rule else { return false };
        let index = self.crashing_runs.borrow().len();
        self.crashing_runs.borrow_mut().push(CrashingRun { at: Instant::now(), crashed_at: None });
        let (backends, server) = (self.clone(), Rc::clone(server));
        spawn_local(async move {
            sleep(rule.after).await;
            if server.has_crashed.get() {
                return;
            }
            backends.crashing_runs.borrow_mut()[index].crashed_at = Some(Instant::now());
            backends.crash(address);
            sleep(rule.restart_delay).await;
            let id = (rule.on_restart)(address, &server.id);
            let default_behaviour = server.default_behaviour.borrow().clone();
            backends.start(address, &id, default_behaviour);
        });
        true
    }

    /// Tells a server what to do with its next requests.
    pub fn script(&self, address: SocketAddr, behaviours: impl IntoIterator<Item = Behaviour>) {
        if let Some(server) = self.servers.borrow().get(&address) {
            server.script.borrow_mut().extend(behaviours);
        }
    }

    /// Lets all answers of a server carry a header from now on, in place of one of that name.
    pub fn set_header(&self, address: SocketAddr, name: &str, value: &str) {
        self.remove_header(address, name);
        if let Some(server) = self.servers.borrow().get(&address) {
            server.response_headers.borrow_mut().push((name.to_owned(), value.to_owned()));
        }
    }

    /// Takes a header off the answers of a server.
    pub fn remove_header(&self, address: SocketAddr, name: &str) {
        if let Some(server) = self.servers.borrow().get(&address) {
            server.response_headers.borrow_mut().retain(|(existing, _)| existing != name);
        }
    }

    /// Lets a server do something else with its requests from now on.
    pub fn set_behaviour(&self, address: SocketAddr, default_behaviour: Behaviour) {
        if let Some(server) = self.servers.borrow().get(&address) {
            server.default_behaviour.replace(default_behaviour);
        }
    }

    /// Bytes of streams that were taken from a server.
    pub fn streamed_bytes(&self, address: SocketAddr) -> usize {
        self.servers.borrow().get(&address).map_or(0, |server| server.streamed_bytes.get())
    }

    /// Requests that a server has read.
    pub fn requests(&self, address: SocketAddr) -> Vec<ReceivedRequest> {
        let servers = self.servers.borrow();
        servers.get(&address).map(|server| server.requests.borrow().clone()).unwrap_or_default()
    }

    /// The same from the one at `from` on.
    pub fn requests_from(&self, address: SocketAddr, from: usize) -> Vec<ReceivedRequest> {
        let servers = self.servers.borrow();
        let requests = servers.get(&address).map(|server| server.requests.borrow());
        requests.map(|requests| requests.iter().skip(from).cloned().collect()).unwrap_or_default()
    }

    /// Runs at all servers.
    pub fn runs(&self) -> usize {
        let servers = self.servers.borrow();
        let runs = servers
            .values()
            .map(|server| server.requests.borrow().iter().filter(|request| request.ran).count());
        runs.sum()
    }

    /// Opens a connection.
    pub fn connect(&self, address: SocketAddr) -> io::Result<DuplexStream> {
        let server = self.servers.borrow().get(&address).cloned();
        let server = server.ok_or(io::ErrorKind::ConnectionRefused)?;
        let (near, far) = duplex(CONNECTION_BYTES);
        let backends = self.clone();
        spawn_local(async move {
            select! {
                biased;
                () = server.crashed() => {}
                () = backends.serve(address, &server, far) => {}
            }
        });
        Ok(near)
    }

    async fn serve(&self, address: SocketAddr, server: &Rc<Server>, io: DuplexStream) {
        serve(server, &self.header_names, io, |request| {
            self.apply_crash_rule(address, server, request)
        })
        .await;
    }
}

async fn serve(
    server: &Server,
    header_names: &HeaderNames,
    mut io: DuplexStream,
    crashes_server: impl FnOnce(&ReceivedRequest) -> bool,
) {
    let Some(request) = read_request(&mut io).await else { return };
    let scripted = server.script.borrow_mut().pop_front();
    let mut behaviour = scripted.unwrap_or_else(|| server.default_behaviour.borrow().clone());
    let expected = request.headers.get(&header_names.expected_server);
    let is_misdirected = expected.is_some_and(|expected| *expected != server.id);
    let ran = !is_misdirected && !matches!(behaviour, Behaviour::NotRun(_));
    let index = server.requests.borrow().len();
    let extra_headers = server.response_headers.borrow().clone();
    server.requests.borrow_mut().push(ReceivedRequest {
        ran,
        extra_headers,
        at: Some(Instant::now()),
        ..request.clone()
    });
    if ran && crashes_server(&request) && !matches!(behaviour, Behaviour::Stream { .. }) {
        behaviour = Behaviour::Silent;
    }
    let behaviour = if is_misdirected { Behaviour::NotRun(421) } else { behaviour };
    let extra_headers = header_lines(server);
    let streamed_bytes = &server.streamed_bytes;
    let reply =
        Reply { header_names, request: &request, extra_headers: &extra_headers, streamed_bytes };
    let whole = answer(&reply, &behaviour, &mut io).await.is_ok();
    server.requests.borrow_mut()[index].cancelled = !whole;
}

/// Lines of a head that a server's answers carry besides.
fn header_lines(server: &Server) -> String {
    let response_headers = server.response_headers.borrow();
    response_headers.iter().map(|(name, value)| format!("{name}: {value}\r\n")).collect()
}

/// What an answer is made from.
struct Reply<'a> {
    header_names: &'a HeaderNames,
    request: &'a ReceivedRequest,
    /// Further lines of its head.
    extra_headers: &'a str,
    /// Bytes of streams that were taken so far.
    streamed_bytes: &'a Cell<usize>,
}

async fn answer(reply: &Reply<'_>, behaviour: &Behaviour, io: &mut DuplexStream) -> io::Result<()> {
    let Reply { header_names, request, extra_headers, .. } = reply;
    match behaviour {
        Behaviour::Echo => io.write_all(&plain(reply, 200, id_of(header_names, request))).await,
        Behaviour::Answer(status, body) => io.write_all(&plain(reply, *status, body)).await,
        Behaviour::ExtraResponse(body) => {
            io.write_all(&plain(reply, 200, body)).await?;
            io.write_all(&plain(reply, 200, "surplus")).await
        }
        Behaviour::NotRun(status) => {
            let not_run = &header_names.not_run;
            let head = format!(
                "HTTP/1.1 {status} X\r\n{not_run}: 1\r\n{extra_headers}content-length: 0\r\n\r\n"
            );
            io.write_all(head.as_bytes()).await
        }
        Behaviour::DropResponse => Ok(()),
        Behaviour::Silent => wait_for_close(io).await,
        Behaviour::WrongRequestId => {
            let mut other = (*request).clone();
            other.headers.insert(header_names.request_id.clone(), "another".into());
            let reply = Reply { request: &other, ..*reply };
            io.write_all(&plain(&reply, 200, "another's")).await
        }
        Behaviour::Unsigned => {
            let id = id_of(header_names, request);
            let head = format!(
                "HTTP/1.1 200 X\r\n{}: {id}\r\n{extra_headers}content-length: 2\r\n\r\nno",
                header_names.request_id
            );
            io.write_all(head.as_bytes()).await
        }
        Behaviour::Stream { last, gap, confidence, cut_in } => {
            stream(reply, (*last, *gap, *confidence, *cut_in), io).await
        }
    }
}

async fn stream(
    reply: &Reply<'_>,
    (last, gap, confidence, cut_in): (u32, Duration, Option<u8>, Option<u32>),
    io: &mut DuplexStream,
) -> io::Result<()> {
    let Reply { header_names, request, extra_headers, streamed_bytes } = reply;
    let mut head = format!(
        "HTTP/1.1 200 X\r\n{}: {}\r\n{}: proof\r\n{extra_headers}content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n",
        header_names.request_id,
        id_of(header_names, request),
        header_names.signature,
    );
    if let Some(confidence) = confidence {
        head.push_str(&format!("{}: {confidence}\r\n", header_names.confidence));
    }
    head.push_str("\r\n");
    io.write_all(head.as_bytes()).await?;
    let from = request
        .headers
        .get(&header_names.last_event_id)
        .and_then(|id| id.parse().ok())
        .unwrap_or(0);
    for number in from + 1..=last {
        sleep(gap).await;
        let event = format!("id: {number}\ndata: piece {number}\n\n");
        if cut_in == Some(number) {
            let half = &event[..event.len() / 2];
            io.write_all(format!("{:x}\r\n{half}\r\n", half.len()).as_bytes()).await?;
            return Ok(());
        }
        io.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes()).await?;
        streamed_bytes.set(streamed_bytes.get() + event.len());
    }
    io.write_all(b"0\r\n\r\n").await
}

/// Waits until the other side closes, which is how work is called off.
async fn wait_for_close(io: &mut DuplexStream) -> io::Result<()> {
    let mut rest = [0; 64];
    while io.read(&mut rest).await? > 0 {}
    Err(io::ErrorKind::ConnectionReset.into())
}

fn plain(reply: &Reply<'_>, status: u16, body: &str) -> Vec<u8> {
    let Reply { header_names, request, extra_headers, .. } = reply;
    let head = format!(
        "HTTP/1.1 {status} X\r\n{}: {}\r\n{}: proof\r\n{extra_headers}content-length: {}\r\n\r\n{body}",
        header_names.request_id,
        id_of(header_names, request),
        header_names.signature,
        body.len(),
    );
    head.into_bytes()
}

fn id_of<'a>(header_names: &HeaderNames, request: &'a ReceivedRequest) -> &'a str {
    request.headers.get(&header_names.request_id).map(String::as_str).unwrap_or_default()
}

async fn read_request(io: &mut DuplexStream) -> Option<ReceivedRequest> {
    let mut bytes = Vec::new();
    let end = loop {
        if let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
            break end;
        }
        if io.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
    };
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let mut lines = head.split("\r\n");
    let request_line = lines.next()?.to_owned();
    let pairs = lines.filter_map(|line| line.split_once(':'));
    let headers: HashMap<String, String> =
        pairs.map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned())).collect();
    let length = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = bytes.split_off(end + 4);
    while body.len() < length {
        if io.read_buf(&mut body).await.ok()? == 0 {
            return None;
        }
    }
    Some(ReceivedRequest { request_line, headers, body, ..ReceivedRequest::default() })
}
