//! Scripted backend servers on in-memory connections.
//!
//! The servers check the identity that a request expects, mark responses without a run, stream and
//! resume events, and fail as real servers do: with responses that are lost, wrong, cut off,
//! surplus or never sent.

use std::{
    cell::{Cell, RefCell},
    collections::{HashMap, VecDeque},
    io,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use crate::floods::Flood;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, DuplexStream, duplex},
    select,
    sync::Notify,
    task::spawn_local,
    time::{Instant, sleep},
};

/// Buffer size of a connection in each direction.
const CONNECTION_BUFFER_BYTES: usize = 64 * 1024;
/// Beginning of the body of a request for a long response.
pub const REPEAT_BODY: &str = "repeat ";
/// Size of the chunks of a response that is no stream.
const CHUNK_BYTES: usize = 16 * 1024;

/// Names of the headers that servers read and write, in lower case.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// Id of the request.
    pub request_id: String,
    /// Id of the server that the request is meant for.
    pub expected_server: String,
    /// Mark of a response to a request that was not run.
    pub not_run: String,
    /// Proof that the response is the server's.
    pub signature: String,
    /// Model's confidence in its answer.
    pub confidence: String,
    /// Number of the last event that the caller received.
    pub last_event_id: String,
}

/// How a server handles a request.
#[derive(Debug, Clone)]
pub enum Behaviour {
    /// Responds with this status and body.
    Answer(u16, String),
    /// Responds with the request's id, so that callers can verify that the response is theirs; as
    /// often as a body of [`REPEAT_BODY`] and a number says.
    Echo,
    /// Streams the events after the caller's last event.
    Stream {
        /// Number of the last event.
        last: u32,
        /// Time between events.
        gap: Duration,
        /// Reported confidence, if any.
        confidence: Option<u8>,
        /// Number of the event in whose middle the connection is closed, if any.
        cut_in: Option<u32>,
    },
    /// Responds with this body, with neither a length nor chunks, and closes the connection.
    UnframedAnswer(String),
    /// Streams like [`Behaviour::Stream`], without chunks, and closes the connection.
    UnframedStream {
        /// Number of the last event.
        last: u32,
        /// Time between events.
        gap: Duration,
        /// Number of the event in whose middle the connection is closed, if any.
        cut_in: Option<u32>,
    },
    /// Responds with this body in chunks, and closes the connection before the last one if it is not
    /// whole.
    ChunkedAnswer {
        /// The body.
        body: String,
        /// Whether the response is complete.
        is_whole: bool,
    },
    /// Writes these bytes, with the request's id for each `{id}`, waits and closes the connection.
    Raw(String, Duration),
    /// Responds without an end, and offers this many bytes of it.
    Flood(Flood, usize),
    /// Rejects the request with this status, without running it.
    NotRun(u16),
    /// Runs the request and closes the connection without a response.
    DropResponse,
    /// Runs the request and never responds.
    Silent,
    /// Responds with the id of another request.
    WrongRequestId,
    /// Responds without the signature.
    Unsigned,
    /// Responds with this body, followed by a second response.
    ExtraResponse(String),
}

/// A request that a server received.
#[derive(Debug, Clone, Default)]
pub struct ReceivedRequest {
    /// Request line.
    pub request_line: String,
    /// Headers, with names in lower case; several lines of a name are joined by commas.
    pub headers: HashMap<String, String>,
    /// Body.
    pub body: Vec<u8>,
    /// Time at which the request was read.
    pub at: Option<Instant>,
    /// Whether the server ran the request.
    pub ran: bool,
    /// Whether the response has no end.
    pub is_flooded: bool,
    /// Extra headers of the response.
    pub extra_headers: Vec<(String, String)>,
    /// Whether the connection was closed before the whole response was sent.
    pub cancelled: bool,
}

#[derive(Debug)]
struct Server {
    id: String,
    script: RefCell<VecDeque<Behaviour>>,
    default_behaviour: RefCell<Behaviour>,
    requests: RefCell<Vec<ReceivedRequest>>,
    /// Extra headers of all responses.
    response_headers: RefCell<Vec<(String, String)>>,
    /// Whether the server has crashed, which ends all its connections.
    has_crashed: Cell<bool>,
    crash_notify: Notify,
    /// Bytes of stream events that connections accepted.
    streamed_bytes: Cell<usize>,
}

impl Server {
    fn crash(&self) {
        self.has_crashed.set(true);
        self.crash_notify.notify_waiters();
    }

    /// Waits until the server crashes.
    async fn crashed(&self) {
        let crash_notify = self.crash_notify.notified();
        if !self.has_crashed.get() {
            crash_notify.await;
        }
    }
}

/// Called with address and id of a server that restarts after a crash; returns its new id.
pub type OnRestart = Rc<dyn Fn(SocketAddr, &str) -> String>;

/// Crashes every server that runs a request of some kind.
#[derive(Clone)]
pub struct CrashRule {
    /// Whether a request crashes servers.
    pub applies: Rc<dyn Fn(&ReceivedRequest) -> bool>,
    /// Time from the start of a run until the server crashes.
    pub after: Duration,
    /// Whether requests other than streams are answered before the crash too.
    pub is_answered: bool,
    /// Time from the crash until the server restarts.
    pub restart_delay: Duration,
    /// Called at each restart.
    pub on_restart: OnRestart,
}

/// Ids in a header's list of prompt parts, `ID:TOKENS` separated by commas.
pub fn prompt_parts(parts: &str) -> impl Iterator<Item = u64> {
    let ids = parts.split(',').filter_map(|part| part.trim().split_once(':'));
    ids.filter_map(|(id, _)| u64::from_str_radix(id, 16).ok())
}

/// A run of a request that crashes servers.
#[derive(Debug, Clone)]
pub struct CrashingRun {
    /// Body of the request.
    pub body: Vec<u8>,
    /// Time at which the request reached the server.
    pub at: Instant,
    /// Time at which the request crashed the server, if it has.
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
    /// Creates a set without servers.
    pub fn new(header_names: HeaderNames) -> Self {
        Backends {
            header_names,
            servers: Rc::default(),
            crash_rules: Rc::default(),
            crashing_runs: Rc::default(),
        }
    }

    /// Starts a server, or replaces the one at `address`; requests beyond its script get
    /// `default_behaviour`.
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

    /// Stops a server: new connections are refused, open ones continue.
    pub fn stop(&self, address: SocketAddr) {
        self.servers.borrow_mut().remove(&address);
    }

    /// Crashes a server: new connections are refused and open ones are closed.
    pub fn crash(&self, address: SocketAddr) {
        if let Some(server) = self.servers.borrow_mut().remove(&address) {
            server.crash();
        }
    }

    /// Returns id and default behaviour of the server at an address.
    pub fn running(&self, address: SocketAddr) -> Option<(String, Behaviour)> {
        let server = self.servers.borrow().get(&address).cloned()?;
        let default_behaviour = server.default_behaviour.borrow().clone();
        Some((server.id.clone(), default_behaviour))
    }

    /// Adds a rule on requests that crash the server that runs them.
    pub fn add_crash_rule(&self, rule: CrashRule) {
        self.crash_rules.borrow_mut().push(rule);
    }

    /// Removes all crash rules.
    pub fn clear_crash_rules(&self) {
        self.crash_rules.borrow_mut().clear();
    }

    /// Returns the runs of requests that crash servers, in order of arrival.
    pub fn crashing_runs(&self) -> Vec<CrashingRun> {
        self.crashing_runs.borrow().clone()
    }

    /// Records a request that matches a crash rule, and crashes and restarts its server after the
    /// rule's delays. Returns the rule.
    fn apply_crash_rule(
        &self,
        address: SocketAddr,
        server: &Rc<Server>,
        request: &ReceivedRequest,
    ) -> Option<CrashRule> {
        let rule =
            self.crash_rules.borrow().iter().find(|rule| (rule.applies)(request)).cloned()?;
        let applied = rule.clone();
        let index = self.crashing_runs.borrow().len();
        self.crashing_runs.borrow_mut().push(CrashingRun {
            body: request.body.clone(),
            at: Instant::now(),
            crashed_at: None,
        });
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
        Some(applied)
    }

    /// Appends the behaviours for a server's next requests to its script.
    pub fn script(&self, address: SocketAddr, behaviours: impl IntoIterator<Item = Behaviour>) {
        if let Some(server) = self.servers.borrow().get(&address) {
            server.script.borrow_mut().extend(behaviours);
        }
    }

    /// Sets an extra header on all later responses of a server, replacing one of the same name.
    pub fn set_header(&self, address: SocketAddr, name: &str, value: &str) {
        self.remove_header(address, name);
        if let Some(server) = self.servers.borrow().get(&address) {
            server.response_headers.borrow_mut().push((name.to_owned(), value.to_owned()));
        }
    }

    /// Removes an extra header from a server's later responses.
    pub fn remove_header(&self, address: SocketAddr, name: &str) {
        if let Some(server) = self.servers.borrow().get(&address) {
            server.response_headers.borrow_mut().retain(|(existing, _)| existing != name);
        }
    }

    /// Sets a server's behaviour for requests beyond its script.
    pub fn set_behaviour(&self, address: SocketAddr, default_behaviour: Behaviour) {
        if let Some(server) = self.servers.borrow().get(&address) {
            server.default_behaviour.replace(default_behaviour);
        }
    }

    /// Returns the bytes of stream events that connections to a server accepted.
    pub fn streamed_bytes(&self, address: SocketAddr) -> usize {
        self.servers.borrow().get(&address).map_or(0, |server| server.streamed_bytes.get())
    }

    /// Returns the requests that a server received, in order.
    pub fn requests(&self, address: SocketAddr) -> Vec<ReceivedRequest> {
        let servers = self.servers.borrow();
        servers.get(&address).map(|server| server.requests.borrow().clone()).unwrap_or_default()
    }

    /// Returns the requests that a server received, from index `from` on.
    pub fn requests_from(&self, address: SocketAddr, from: usize) -> Vec<ReceivedRequest> {
        let servers = self.servers.borrow();
        let requests = servers.get(&address).map(|server| server.requests.borrow());
        requests.map(|requests| requests.iter().skip(from).cloned().collect()).unwrap_or_default()
    }

    /// Returns the number of requests that the servers ran, without servers that have stopped or
    /// crashed.
    pub fn runs(&self) -> usize {
        let servers = self.servers.borrow();
        let runs = servers
            .values()
            .map(|server| server.requests.borrow().iter().filter(|request| request.ran).count());
        runs.sum()
    }

    /// Opens a connection to a server.
    ///
    /// Returns an error if no server listens at `address`.
    pub fn connect(&self, address: SocketAddr) -> io::Result<DuplexStream> {
        let server = self.servers.borrow().get(&address).cloned();
        let server = server.ok_or(io::ErrorKind::ConnectionRefused)?;
        let (client, remote) = duplex(CONNECTION_BUFFER_BYTES);
        let backends = self.clone();
        spawn_local(async move {
            select! {
                biased;
                () = server.crashed() => {}
                () = backends.serve(address, &server, remote) => {}
            }
        });
        Ok(client)
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
    apply_crash_rule: impl FnOnce(&ReceivedRequest) -> Option<CrashRule>,
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
        is_flooded: matches!(behaviour, Behaviour::Flood(..)),
        extra_headers,
        at: Some(Instant::now()),
        ..request.clone()
    });
    let is_stream =
        matches!(behaviour, Behaviour::Stream { .. } | Behaviour::UnframedStream { .. });
    let crash_rule = if ran { apply_crash_rule(&request) } else { None };
    if crash_rule.is_some_and(|rule| !rule.is_answered) && !is_stream {
        behaviour = Behaviour::Silent;
    }
    let behaviour = if is_misdirected { Behaviour::NotRun(421) } else { behaviour };
    let extra_headers = header_lines(server);
    let streamed_bytes = &server.streamed_bytes;
    let reply =
        Reply { header_names, request: &request, extra_headers: &extra_headers, streamed_bytes };
    let is_complete = respond(&reply, &behaviour, &mut io).await.is_ok();
    server.requests.borrow_mut()[index].cancelled = !is_complete;
}

/// How often a request wants its id in the response.
fn repetitions(request: &ReceivedRequest) -> usize {
    let body = str::from_utf8(&request.body).unwrap_or_default();
    body.strip_prefix(REPEAT_BODY).and_then(|number| number.parse().ok()).unwrap_or(1)
}

/// Formats a server's extra headers as lines of a response head.
fn header_lines(server: &Server) -> String {
    let response_headers = server.response_headers.borrow();
    response_headers.iter().map(|(name, value)| format!("{name}: {value}\r\n")).collect()
}

/// Inputs of a response.
struct Reply<'a> {
    header_names: &'a HeaderNames,
    request: &'a ReceivedRequest,
    /// Extra lines of the response head.
    extra_headers: &'a str,
    /// Counter of the stream bytes that connections accepted.
    streamed_bytes: &'a Cell<usize>,
}

async fn respond(
    reply: &Reply<'_>,
    behaviour: &Behaviour,
    io: &mut DuplexStream,
) -> io::Result<()> {
    let Reply { header_names, request, extra_headers, .. } = reply;
    match behaviour {
        Behaviour::Echo => {
            let body = request_id(header_names, request).repeat(repetitions(request));
            io.write_all(&format_response(reply, 200, &body)).await
        }
        Behaviour::Answer(status, body) => {
            io.write_all(&format_response(reply, *status, body)).await
        }
        Behaviour::ExtraResponse(body) => {
            io.write_all(&format_response(reply, 200, body)).await?;
            io.write_all(&format_response(reply, 200, "surplus")).await
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
            io.write_all(&format_response(&reply, 200, "another's")).await
        }
        Behaviour::Unsigned => {
            let id = request_id(header_names, request);
            let head = format!(
                "HTTP/1.1 200 X\r\n{}: {id}\r\n{extra_headers}content-length: 2\r\n\r\nno",
                header_names.request_id
            );
            io.write_all(head.as_bytes()).await
        }
        Behaviour::UnframedAnswer(body) => {
            let head = format!(
                "HTTP/1.1 200 X\r\n{}: {}\r\n{}: proof\r\n{extra_headers}\r\n{body}",
                header_names.request_id,
                request_id(header_names, request),
                header_names.signature,
            );
            io.write_all(head.as_bytes()).await
        }
        Behaviour::ChunkedAnswer { body, is_whole } => {
            let id = request_id(header_names, request);
            let head = format!(
                "HTTP/1.1 200 X\r\n{}: {id}\r\n{}: proof\r\n{extra_headers}transfer-encoding: chunked\r\n\r\n",
                header_names.request_id, header_names.signature,
            );
            io.write_all(head.as_bytes()).await?;
            for chunk in body.as_bytes().chunks(CHUNK_BYTES) {
                io.write_all(format!("{:x}\r\n", chunk.len()).as_bytes()).await?;
                io.write_all(chunk).await?;
                io.write_all(b"\r\n").await?;
            }
            // An empty chunk ends the body.
            if *is_whole { io.write_all(b"0\r\n\r\n").await } else { Ok(()) }
        }
        Behaviour::Raw(text, pause) => {
            let id = request_id(header_names, request);
            io.write_all(text.replace("{id}", id).as_bytes()).await?;
            sleep(*pause).await;
            Ok(())
        }
        Behaviour::Flood(flood, offered_bytes) => {
            let id = request_id(header_names, request);
            let lines = format!(
                "{}: {id}\r\n{}: proof\r\n{extra_headers}",
                header_names.request_id, header_names.signature,
            );
            flood.write(&lines, *offered_bytes, reply.streamed_bytes, io).await?;
            wait_for_close(io).await
        }
        Behaviour::Stream { last, gap, confidence, cut_in } => {
            let events = Events { last: *last, gap: *gap, cut_in: *cut_in, is_chunked: true };
            write_stream(reply, events, *confidence, io).await
        }
        Behaviour::UnframedStream { last, gap, cut_in } => {
            let events = Events { last: *last, gap: *gap, cut_in: *cut_in, is_chunked: false };
            write_stream(reply, events, None, io).await
        }
    }
}

/// Events of a stream, as in [`Behaviour::Stream`].
struct Events {
    last: u32,
    gap: Duration,
    cut_in: Option<u32>,
    is_chunked: bool,
}

impl Events {
    /// Formats text of the body, as a chunk if the body has chunks.
    fn framed(&self, text: &str) -> String {
        if self.is_chunked { format!("{:x}\r\n{text}\r\n", text.len()) } else { text.to_owned() }
    }
}

async fn write_stream(
    reply: &Reply<'_>,
    events: Events,
    confidence: Option<u8>,
    io: &mut DuplexStream,
) -> io::Result<()> {
    let Reply { header_names, request, extra_headers, streamed_bytes } = reply;
    let framing = if events.is_chunked { "transfer-encoding: chunked\r\n" } else { "" };
    let mut head = format!(
        "HTTP/1.1 200 X\r\n{}: {}\r\n{}: proof\r\n{extra_headers}content-type: text/event-stream\r\n{framing}",
        header_names.request_id,
        request_id(header_names, request),
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
    for number in from + 1..=events.last {
        sleep(events.gap).await;
        let event = format!("id: {number}\ndata: piece {number}\n\n");
        if events.cut_in == Some(number) {
            let half = &event[..event.len() / 2];
            return io.write_all(events.framed(half).as_bytes()).await;
        }
        io.write_all(events.framed(&event).as_bytes()).await?;
        streamed_bytes.set(streamed_bytes.get() + event.len());
    }
    // An empty chunk ends a body with chunks.
    if events.is_chunked { io.write_all(b"0\r\n\r\n").await } else { Ok(()) }
}

/// Waits until the peer closes the connection, which cancels the request.
async fn wait_for_close(io: &mut DuplexStream) -> io::Result<()> {
    let mut rest = [0; 64];
    while io.read(&mut rest).await? > 0 {}
    Err(io::ErrorKind::ConnectionReset.into())
}

fn format_response(reply: &Reply<'_>, status: u16, body: &str) -> Vec<u8> {
    let Reply { header_names, request, extra_headers, .. } = reply;
    let head = format!(
        "HTTP/1.1 {status} X\r\n{}: {}\r\n{}: proof\r\n{extra_headers}content-length: {}\r\n\r\n{body}",
        header_names.request_id,
        request_id(header_names, request),
        header_names.signature,
        body.len(),
    );
    head.into_bytes()
}

fn request_id<'a>(header_names: &HeaderNames, request: &'a ReceivedRequest) -> &'a str {
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
    let mut headers: HashMap<String, String> = HashMap::new();
    for (name, value) in lines.filter_map(|line| line.split_once(':')) {
        let lines = headers.entry(name.to_ascii_lowercase()).or_default();
        let separator = if lines.is_empty() { "" } else { ", " };
        *lines += &format!("{separator}{}", value.trim());
    }
    let length = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = bytes.split_off(end + 4);
    while body.len() < length {
        if io.read_buf(&mut body).await.ok()? == 0 {
            return None;
        }
    }
    Some(ReceivedRequest { request_line, headers, body, ..ReceivedRequest::default() })
}
