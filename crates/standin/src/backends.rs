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
pub struct Names {
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
pub enum Act {
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
    LoseAnswer,
    /// Runs it and never answers.
    Silent,
    /// Answers as if to another request.
    AnswerAnother,
    /// Answers without its proof.
    Unsigned,
    /// Answers, and sends a second answer behind it.
    Surplus(String),
}

/// One request as a server saw it.
#[derive(Debug, Clone, Default)]
pub struct Seen {
    /// First line.
    pub line: String,
    /// Headers, names in lower case.
    pub headers: HashMap<String, String>,
    /// Body.
    pub body: Vec<u8>,
    /// When it was read.
    pub at: Option<Instant>,
    /// Whether it was run.
    pub ran: bool,
    /// Further headers that its answer carries.
    pub told: Vec<(String, String)>,
    /// Whether the connection was closed before the answer was whole.
    pub cancelled: bool,
}

#[derive(Debug)]
struct Server {
    id: String,
    script: RefCell<VecDeque<Act>>,
    usual: RefCell<Act>,
    seen: RefCell<Vec<Seen>>,
    /// Headers that all its answers carry besides.
    tells: RefCell<Vec<(String, String)>>,
    /// Whether its process has ended, with all that it was working on.
    ended: Cell<bool>,
    ending: Notify,
    /// Bytes of streams that were taken from it.
    taken_bytes: Cell<usize>,
}

impl Server {
    fn end(&self) {
        self.ended.set(true);
        self.ending.notify_waiters();
    }

    /// Waits until its process ends.
    async fn has_ended(&self) {
        let ending = self.ending.notified();
        if !self.ended.get() {
            ending.await;
        }
    }
}

/// Told of a server that is back at its address with the identity that it had; returns the one that it has
/// from now on.
pub type IsBack = Rc<dyn Fn(SocketAddr, &str) -> String>;

/// What ends every server that runs it.
#[derive(Clone)]
pub struct Lethal {
    /// Beginning of the body of such a request.
    pub body: Vec<u8>,
    /// Time from the beginning of its run until the server ends.
    pub after: Duration,
    /// Time until the server is back.
    pub back_after: Duration,
    /// Told of each server that is back.
    pub is_back: IsBack,
}

/// A request that ends servers, as it reached one.
#[derive(Debug, Clone, Copy)]
pub struct LethalRun {
    /// When it reached the server.
    pub at: Instant,
    /// When the server ended under it, if it has.
    pub ended: Option<Instant>,
}

/// All servers, by address.
#[derive(Clone)]
pub struct Backends {
    names: Names,
    servers: Rc<RefCell<HashMap<SocketAddr, Rc<Server>>>>,
    lethal: Rc<RefCell<Vec<Lethal>>>,
    lethal_runs: Rc<RefCell<Vec<LethalRun>>>,
}

impl Backends {
    /// No servers yet.
    pub fn new(names: Names) -> Self {
        Backends {
            names,
            servers: Rc::default(),
            lethal: Rc::default(),
            lethal_runs: Rc::default(),
        }
    }

    /// Starts a server that does `usual` unless told otherwise.
    pub fn start(&self, address: SocketAddr, id: &str, usual: Act) {
        let server = Server {
            id: id.to_owned(),
            script: RefCell::default(),
            usual: RefCell::new(usual),
            seen: RefCell::default(),
            tells: RefCell::default(),
            ended: Cell::new(false),
            ending: Notify::new(),
            taken_bytes: Cell::default(),
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
            server.end();
        }
    }

    /// Lets a request end every server that runs it from now on.
    pub fn add_lethal(&self, lethal: Lethal) {
        self.lethal.borrow_mut().push(lethal);
    }

    /// Lets all requests go well from now on.
    pub fn clear_lethal(&self) {
        self.lethal.borrow_mut().clear();
    }

    /// Requests of that kind that have reached servers, in order.
    pub fn lethal_runs(&self) -> Vec<LethalRun> {
        self.lethal_runs.borrow().clone()
    }

    /// Notes such a request, and ends its server some time later. Returns whether it is one.
    fn meet_lethal(&self, address: SocketAddr, server: &Rc<Server>, seen: &Seen) -> bool {
        let lethal =
            self.lethal.borrow().iter().find(|one| seen.body.starts_with(&one.body)).cloned();
        let Some(lethal) = lethal else { return false };
        let place = self.lethal_runs.borrow().len();
        self.lethal_runs.borrow_mut().push(LethalRun { at: Instant::now(), ended: None });
        let (backends, server) = (self.clone(), Rc::clone(server));
        spawn_local(async move {
            sleep(lethal.after).await;
            if server.ended.get() {
                return;
            }
            backends.lethal_runs.borrow_mut()[place].ended = Some(Instant::now());
            backends.crash(address);
            sleep(lethal.back_after).await;
            let id = (lethal.is_back)(address, &server.id);
            let usual = server.usual.borrow().clone();
            backends.start(address, &id, usual);
        });
        true
    }

    /// Tells a server what to do with its next requests.
    pub fn script(&self, address: SocketAddr, acts: impl IntoIterator<Item = Act>) {
        if let Some(server) = self.servers.borrow().get(&address) {
            server.script.borrow_mut().extend(acts);
        }
    }

    /// Lets all answers of a server carry a header from now on, in place of one of that name.
    pub fn tell(&self, address: SocketAddr, name: &str, value: &str) {
        self.tell_no_more(address, name);
        if let Some(server) = self.servers.borrow().get(&address) {
            server.tells.borrow_mut().push((name.to_owned(), value.to_owned()));
        }
    }

    /// Takes a header off the answers of a server.
    pub fn tell_no_more(&self, address: SocketAddr, name: &str) {
        if let Some(server) = self.servers.borrow().get(&address) {
            server.tells.borrow_mut().retain(|(told, _)| told != name);
        }
    }

    /// Lets a server do something else with its requests from now on.
    pub fn does(&self, address: SocketAddr, usual: Act) {
        if let Some(server) = self.servers.borrow().get(&address) {
            server.usual.replace(usual);
        }
    }

    /// Bytes of streams that were taken from a server.
    pub fn taken_bytes(&self, address: SocketAddr) -> usize {
        self.servers.borrow().get(&address).map_or(0, |server| server.taken_bytes.get())
    }

    /// Requests that a server has read.
    pub fn seen(&self, address: SocketAddr) -> Vec<Seen> {
        let servers = self.servers.borrow();
        servers.get(&address).map(|server| server.seen.borrow().clone()).unwrap_or_default()
    }

    /// The same from the one at `from` on.
    pub fn seen_from(&self, address: SocketAddr, from: usize) -> Vec<Seen> {
        let servers = self.servers.borrow();
        let seen = servers.get(&address).map(|server| server.seen.borrow());
        seen.map(|seen| seen.iter().skip(from).cloned().collect()).unwrap_or_default()
    }

    /// Runs at all servers.
    pub fn runs(&self) -> usize {
        let servers = self.servers.borrow();
        let runs = servers
            .values()
            .map(|server| server.seen.borrow().iter().filter(|seen| seen.ran).count());
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
                () = server.has_ended() => {}
                () = backends.serve(address, &server, far) => {}
            }
        });
        Ok(near)
    }

    async fn serve(&self, address: SocketAddr, server: &Rc<Server>, io: DuplexStream) {
        serve(server, &self.names, io, |seen| self.meet_lethal(address, server, seen)).await;
    }
}

async fn serve(
    server: &Server,
    names: &Names,
    mut io: DuplexStream,
    is_lethal: impl FnOnce(&Seen) -> bool,
) {
    let Some(seen) = read_request(&mut io).await else { return };
    let scripted = server.script.borrow_mut().pop_front();
    let mut act = scripted.unwrap_or_else(|| server.usual.borrow().clone());
    let expected = seen.headers.get(&names.expected_server);
    let another = expected.is_some_and(|expected| *expected != server.id);
    let ran = !another && !matches!(act, Act::NotRun(_));
    let index = server.seen.borrow().len();
    let told = server.tells.borrow().clone();
    server.seen.borrow_mut().push(Seen { ran, told, at: Some(Instant::now()), ..seen.clone() });
    if ran && is_lethal(&seen) && !matches!(act, Act::Stream { .. }) {
        act = Act::Silent;
    }
    let act = if another { Act::NotRun(421) } else { act };
    let told = told_by(server);
    let taken_bytes = &server.taken_bytes;
    let reply = Reply { names, seen: &seen, told: &told, taken_bytes };
    let whole = answer(&reply, &act, &mut io).await.is_ok();
    server.seen.borrow_mut()[index].cancelled = !whole;
}

/// Lines of a head that a server's answers carry besides.
fn told_by(server: &Server) -> String {
    let tells = server.tells.borrow();
    tells.iter().map(|(name, value)| format!("{name}: {value}\r\n")).collect()
}

/// What an answer is made from.
struct Reply<'a> {
    names: &'a Names,
    seen: &'a Seen,
    /// Further lines of its head.
    told: &'a str,
    /// Bytes of streams that were taken so far.
    taken_bytes: &'a Cell<usize>,
}

async fn answer(reply: &Reply<'_>, act: &Act, io: &mut DuplexStream) -> io::Result<()> {
    let Reply { names, seen, told, .. } = reply;
    match act {
        Act::Echo => io.write_all(&plain(reply, 200, id_of(names, seen))).await,
        Act::Answer(status, body) => io.write_all(&plain(reply, *status, body)).await,
        Act::Surplus(body) => {
            io.write_all(&plain(reply, 200, body)).await?;
            io.write_all(&plain(reply, 200, "surplus")).await
        }
        Act::NotRun(status) => {
            let not_run = &names.not_run;
            let head =
                format!("HTTP/1.1 {status} X\r\n{not_run}: 1\r\n{told}content-length: 0\r\n\r\n");
            io.write_all(head.as_bytes()).await
        }
        Act::LoseAnswer => Ok(()),
        Act::Silent => wait_for_close(io).await,
        Act::AnswerAnother => {
            let mut other = (*seen).clone();
            other.headers.insert(names.request_id.clone(), "another".into());
            let reply = Reply { seen: &other, ..*reply };
            io.write_all(&plain(&reply, 200, "another's")).await
        }
        Act::Unsigned => {
            let id = id_of(names, seen);
            let head = format!(
                "HTTP/1.1 200 X\r\n{}: {id}\r\n{told}content-length: 2\r\n\r\nno",
                names.request_id
            );
            io.write_all(head.as_bytes()).await
        }
        Act::Stream { last, gap, confidence, cut_in } => {
            stream(reply, (*last, *gap, *confidence, *cut_in), io).await
        }
    }
}

async fn stream(
    reply: &Reply<'_>,
    (last, gap, confidence, cut_in): (u32, Duration, Option<u8>, Option<u32>),
    io: &mut DuplexStream,
) -> io::Result<()> {
    let Reply { names, seen, told, taken_bytes } = reply;
    let mut head = format!(
        "HTTP/1.1 200 X\r\n{}: {}\r\n{}: proof\r\n{told}content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n",
        names.request_id,
        id_of(names, seen),
        names.signature,
    );
    if let Some(confidence) = confidence {
        head.push_str(&format!("{}: {confidence}\r\n", names.confidence));
    }
    head.push_str("\r\n");
    io.write_all(head.as_bytes()).await?;
    let from = seen.headers.get(&names.last_event_id).and_then(|id| id.parse().ok()).unwrap_or(0);
    for number in from + 1..=last {
        sleep(gap).await;
        let event = format!("id: {number}\ndata: piece {number}\n\n");
        if cut_in == Some(number) {
            let half = &event[..event.len() / 2];
            io.write_all(format!("{:x}\r\n{half}\r\n", half.len()).as_bytes()).await?;
            return Ok(());
        }
        io.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes()).await?;
        taken_bytes.set(taken_bytes.get() + event.len());
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
    let Reply { names, seen, told, .. } = reply;
    let head = format!(
        "HTTP/1.1 {status} X\r\n{}: {}\r\n{}: proof\r\n{told}content-length: {}\r\n\r\n{body}",
        names.request_id,
        id_of(names, seen),
        names.signature,
        body.len(),
    );
    head.into_bytes()
}

fn id_of<'a>(names: &Names, seen: &'a Seen) -> &'a str {
    seen.headers.get(&names.request_id).map(String::as_str).unwrap_or_default()
}

async fn read_request(io: &mut DuplexStream) -> Option<Seen> {
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
    let line = lines.next()?.to_owned();
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
    Some(Seen { line, headers, body, ..Seen::default() })
}
