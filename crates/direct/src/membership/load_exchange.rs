//! Exchange of summaries of work along the tree of entries: towards the roots, among the roots, and
//! back with each answer.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Request, StatusCode,
    body::Incoming,
    header::{HOST, HeaderValue},
};
use pondwalk_decide::direct::{LoadKey, LoadOrigin, LoadRole, LoadSummary, LoadView, name_key};
use pondwalk_inbound::Meter;
use serde::{Deserialize, Serialize};
use tokio::{
    task::spawn_local,
    time::{Instant, sleep, timeout_at},
};

use super::{
    ChangeSource, LOAD_PATH, MessageError, PeerError,
    client::{POST_TIMEOUT, POST_TIMEOUT_PER_BYTE, PeerConnection, failed},
    message::{from_message, to_message},
    server::read_post,
};
use crate::{core::Core, event_log::LogPriority, metrics::Counter};

/// Minimum interval between exchanges with a peer.
const MIN_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum interval accepted from a peer; the largest message takes a third of it at the byte rate.
const MAX_INTERVAL: Duration = Duration::from_secs(60);
/// Longest interval at which the sum is used. A view that is a second old places worse than none
/// (`decide/tests/peer_work.rs`), and a sum is some intervals old after its way through the tree.
const MAX_USED_INTERVAL: Duration = Duration::from_millis(600);
/// Part of the interval after which the sum is applied again. Summing the messages of 17 peers
/// about 1,600 servers takes milliseconds, and these messages come seconds apart.
const APPLY_FRACTION: u32 = 10;
/// Time by which an exchange may begin early, so that a timer that fires a moment early or late
/// does not double the interval.
const TIMER_TOLERANCE: Duration = Duration::from_millis(10);
/// Half of the budget for control traffic of an entry.
const BYTES_PER_S: f64 = 12_000.0;
/// Maximum size of a message; about twice the size of a summary at its limits.
const MAX_LOAD_BYTES: usize = 256 * 1024;
/// Age above which the entry's own summary is collected again for an answer. A parent answers many
/// children within one interval.
const MAX_OWN_AGE: Duration = Duration::from_millis(50);
/// Maximum pause after consecutive failures to reach a peer, in which a peer that does not accept
/// messages costs little. A view is fresh for at least as long.
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// Maximum number of senders of refused messages to log; with about a thousand entries, all.
const MAX_LOGGED_SENDERS: usize = 1_024;
/// Header with the sender's name, which is logged if the message itself is unreadable.
const SENDER_HEADER: &str = "pondwalk-entry";
/// Sender in the log of a message without that header.
const UNKNOWN_SENDER: &str = "unknown";

/// Log events of the exchange.
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
enum LoadEvent<'a> {
    LoadRefused { from: &'a str, error: String },
}

/// A summary of work, as posted to an entry and as its answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoadMessage {
    /// Hash of the sender's name.
    pub origin: LoadKey,
    /// Random number of the sender's incarnation.
    pub incarnation: u64,
    /// Number of the message, which grows with each message of the incarnation.
    pub sequence: u64,
    /// Position of the sender relative to the receiver.
    pub role: LoadRole,
    /// Time until the sender's next message, in milliseconds.
    pub interval_ms: u32,
    /// The work.
    pub summary: LoadSummary,
}

/// Connection to a peer between and during exchanges.
#[derive(Debug, Default)]
struct PeerLink {
    /// The open connection, if no exchange is in progress.
    idle: Option<PeerConnection>,
    is_busy: bool,
    /// Consecutive failures.
    failures: u32,
    /// When the next exchange may begin.
    next: Duration,
}

/// State of the exchange of one entry.
#[derive(Debug)]
pub struct LoadExchange {
    view: RefCell<LoadView>,
    /// The entry's own summary and when it was collected.
    own: RefCell<Option<(Duration, LoadSummary)>>,
    /// Work added by a test.
    simulated: RefCell<LoadSummary>,
    /// Number of the last message sent.
    sequence: Cell<u64>,
    interval: Cell<Duration>,
    links: RefCell<BTreeMap<SocketAddr, PeerLink>>,
    logged_senders: RefCell<BTreeSet<String>>,
}

impl Default for LoadExchange {
    fn default() -> Self {
        LoadExchange {
            view: RefCell::new(LoadView::new(MIN_INTERVAL)),
            own: RefCell::default(),
            simulated: RefCell::default(),
            sequence: Cell::new(0),
            interval: Cell::new(MIN_INTERVAL),
            links: RefCell::default(),
            logged_senders: RefCell::default(),
        }
    }
}

impl LoadExchange {
    /// Sum of the work of the other entries; `None` unless it is fresh.
    pub fn peers(&self, now: Duration) -> Option<LoadSummary> {
        self.view.borrow().peers(now)
    }

    /// Time since the latest message, if there was one.
    pub fn view_age(&self, now: Duration) -> Option<Duration> {
        self.view.borrow().age(now)
    }

    /// Adds work to the entry's own; for tests.
    pub fn simulate(&self, load: LoadSummary) {
        *self.simulated.borrow_mut() = load;
    }

    /// Sets the interval such that messages of this size, in both directions together, to this
    /// number of peers keep to the byte rate. The peers are those that this entry posts to; the
    /// children pace their own posts.
    fn set_interval(&self, bytes: usize, peers: usize) {
        let interval = Duration::from_secs_f64((bytes * peers) as f64 / BYTES_PER_S);
        self.interval.set(interval.clamp(MIN_INTERVAL, MAX_INTERVAL));
    }

    /// Takes the link to a peer for an exchange if one is due: `None` if not, otherwise the idle
    /// connection, if it is still open.
    fn begin(&self, address: SocketAddr, now: Duration) -> Option<Option<PeerConnection>> {
        let mut links = self.links.borrow_mut();
        let link = links.entry(address).or_default();
        if link.is_busy || now + TIMER_TOLERANCE < link.next {
            return None;
        }
        link.is_busy = true;
        // An exchange that begins early does not make the next one earlier.
        link.next = link.next.max(now) + self.interval.get();
        Some(link.idle.take().filter(PeerConnection::is_ready))
    }

    /// Ends an exchange; `sender` is the connection if it succeeded.
    fn end(&self, address: SocketAddr, sender: Option<PeerConnection>, now: Duration) {
        let mut links = self.links.borrow_mut();
        let Some(link) = links.get_mut(&address) else { return };
        link.is_busy = false;
        link.failures = if sender.is_some() { 0 } else { link.failures.saturating_add(1) };
        if link.failures > 1 {
            let backoff = self.interval.get() * 2u32.pow(link.failures.min(8));
            link.next = now + backoff.min(MAX_BACKOFF.max(self.interval.get()));
        }
        link.idle = sender;
    }

    /// Time until the next exchange is due, at most [`MIN_INTERVAL`].
    fn time_to_next(&self, now: Duration) -> Duration {
        let links = self.links.borrow();
        let due = links.values().filter(|link| !link.is_busy).map(|link| link.next);
        let time = due.min().map_or(MIN_INTERVAL, |next| next.saturating_sub(now));
        time.clamp(TIMER_TOLERANCE, MIN_INTERVAL)
    }

    /// Closes connections to entries that are no longer peers.
    fn retain_links(&self, peers: &[(String, SocketAddr)]) {
        let is_peer = |address: &SocketAddr| peers.iter().any(|(_, known)| known == address);
        self.links.borrow_mut().retain(|address, link| link.is_busy || is_peer(address));
    }
}

impl Core {
    /// Entries to post to, and the role of this entry there.
    fn load_peers(&self) -> (Vec<(String, SocketAddr)>, LoadRole) {
        match self.parent_without_store() {
            ChangeSource::Entry { name, address } => (vec![(name, address)], LoadRole::Child),
            ChangeSource::Store => {
                (self.members.roots_without_store(self.clock.now()), LoadRole::Root)
            }
            ChangeSource::StoreStandalone => (Vec::new(), LoadRole::Root),
        }
    }

    /// Encodes the message to a peer to which this entry has the given role.
    fn load_message(&self, peer: LoadKey, role: LoadRole) -> Result<Bytes, MessageError> {
        let exchange = &self.load_exchange;
        let now = self.clock.now();
        let mut own = exchange.own.borrow_mut();
        if own.as_ref().is_none_or(|(at, _)| now.saturating_sub(*at) > MAX_OWN_AGE) {
            let mut collected = self.state.borrow_mut().collect_load(now);
            collected.add(&exchange.simulated.borrow());
            *own = Some((now, collected));
        }
        let own = own.as_ref().map(|(_, own)| own.clone()).unwrap_or_default();
        let role_of_peer = match role {
            LoadRole::Parent => LoadRole::Child,
            LoadRole::Child => LoadRole::Parent,
            LoadRole::Root => LoadRole::Root,
        };
        exchange.sequence.set(exchange.sequence.get() + 1);
        let message = LoadMessage {
            origin: name_key(&self.settings.name),
            incarnation: self.incarnation,
            sequence: exchange.sequence.get(),
            role,
            interval_ms: exchange.interval.get().as_millis() as u32,
            summary: exchange.view.borrow().for_peer(peer, role_of_peer, &own, now),
        };
        let bytes = to_message(self.settings.store.address, &message)?;
        self.metrics.count(Counter::LoadMessagesSent);
        self.metrics.count_many(Counter::PeerBytesSent, bytes.len());
        Ok(bytes)
    }

    /// Decodes a message and adds it to the view; returns its sender and the sender's role.
    /// `interval` is the time between answers; a post carries it.
    fn receive_load(
        &self,
        bytes: &[u8],
        is_expected: impl Fn(LoadRole) -> bool,
        interval: Option<Duration>,
    ) -> Result<(LoadKey, LoadRole), MessageError> {
        self.metrics.count_many(Counter::PeerBytesReceived, bytes.len());
        let message: LoadMessage = from_message(bytes, self.settings.store.address)?;
        let LoadMessage { origin: key, role, incarnation, sequence, .. } = message;
        let interval = interval.unwrap_or(Duration::from_millis(message.interval_ms.into()));
        let is_own = key == name_key(&self.settings.name);
        if is_own || interval > MAX_INTERVAL || !is_expected(role) {
            return Err(MessageError::Contradictory);
        }
        let origin = LoadOrigin { key, role, interval };
        let mut view = self.load_exchange.view.borrow_mut();
        view.receive(origin, incarnation, sequence, message.summary, self.clock.now())?;
        Ok((key, role))
    }

    /// Counts a rejected message, and logs it if it is the first of its sender.
    fn refuse_load(&self, from: &str, error: &MessageError) {
        self.metrics.count(Counter::LoadMessagesRefused);
        let mut logged = self.load_exchange.logged_senders.borrow_mut();
        if logged.len() < MAX_LOGGED_SENDERS && logged.insert(from.to_owned()) {
            let event = LoadEvent::LoadRefused { from, error: error.to_string() };
            self.event_log.record(LogPriority::State, &event);
        }
    }

    /// Handles a message of a child or another root, and returns the answer; `None` if the message
    /// is refused.
    pub async fn handle_load_message(
        &self,
        request: Request<Incoming>,
        meter: &Meter,
    ) -> Option<Bytes> {
        let sender = request.headers().get(SENDER_HEADER).cloned();
        let body = read_post(self, request, meter, MAX_LOAD_BYTES).await;
        let answer = body.and_then(|body| self.answer_load(&body));
        let sender = sender.as_ref().and_then(|name| name.to_str().ok());
        let refuse = |error: &_| self.refuse_load(sender.unwrap_or(UNKNOWN_SENDER), error);
        answer.inspect_err(refuse).ok()
    }

    fn answer_load(&self, bytes: &[u8]) -> Result<Bytes, MessageError> {
        let is_expected = |role| matches!(role, LoadRole::Child | LoadRole::Root);
        let (peer, role) = self.receive_load(bytes, is_expected, None)?;
        let own_role = if role == LoadRole::Child { LoadRole::Parent } else { LoadRole::Root };
        self.load_message(peer, own_role)
    }

    /// Passes the sum over the other entries on to the decisions.
    fn apply_peer_load(&self) {
        let now = self.clock.now();
        let is_current = self.load_exchange.interval.get() <= MAX_USED_INTERVAL;
        let peers = self.load_exchange.peers(now).filter(|_| is_current);
        self.state.borrow_mut().apply_load(peers.as_ref(), now);
    }

    /// Posts a message on a connection, or on a new one; returns the connection and the answer.
    async fn post_load(
        &self,
        address: SocketAddr,
        idle: Option<PeerConnection>,
        body: Bytes,
    ) -> Result<(PeerConnection, Bytes), PeerError> {
        let size = u32::try_from(body.len()).unwrap_or(u32::MAX);
        let deadline = Instant::now() + POST_TIMEOUT + POST_TIMEOUT_PER_BYTE * size;
        let mut request = Request::post(LOAD_PATH).header(HOST, address.to_string());
        if let Ok(name) = HeaderValue::from_str(&self.settings.name) {
            request = request.header(SENDER_HEADER, name);
        }
        let request = request.body(Full::from(body)).map_err(failed)?;
        let exchange = async {
            let mut connection = match idle {
                Some(connection) => connection,
                None => PeerConnection::open(self, address).await?,
            };
            let response = connection.send(request).await?;
            match response.status() {
                StatusCode::OK => {
                    let body = response.into_body();
                    let answer = connection.read_body(self, body, MAX_LOAD_BYTES).await?;
                    Ok((connection, answer))
                }
                status => Err(PeerError::Failed(status.to_string())),
            }
        };
        timeout_at(deadline, exchange).await.map_err(|_| PeerError::Timeout)?
    }

    /// One exchange with a peer.
    async fn exchange_load_with(
        &self,
        (name, address): (String, SocketAddr),
        role: LoadRole,
        peers: usize,
        idle: Option<PeerConnection>,
    ) {
        let exchange = &self.load_exchange;
        let Ok(body) = self.load_message(name_key(&name), role) else {
            return exchange.end(address, None, self.clock.now());
        };
        let sent = body.len();
        let posted = self.post_load(address, idle, body).await;
        let (sender, received) = match posted {
            Ok((sender, answer)) => {
                let expected = if role == LoadRole::Child { LoadRole::Parent } else { role };
                let interval = Some(exchange.interval.get());
                let received = self.receive_load(&answer, |role| role == expected, interval);
                exchange.set_interval(sent + answer.len(), peers);
                (Some(sender), received.map(|_| ()))
            }
            Err(PeerError::Refused(error)) => (None, Err(error)),
            Err(_) => (None, Ok(())),
        };
        if let Err(error) = received {
            self.refuse_load(&name, &error);
        }
        exchange.end(address, sender, self.clock.now());
        self.apply_peer_load();
    }
}

/// Exchanges summaries of work with the parent or the other roots until the process ends.
pub async fn exchange_load(core: Rc<Core>) {
    let mut next_apply = Duration::ZERO;
    loop {
        let (peers, role) = core.load_peers();
        let count = peers.len();
        core.load_exchange.view.borrow_mut().set_root(role == LoadRole::Root);
        core.load_exchange.retain_links(&peers);
        for peer in peers {
            if let Some(idle) = core.load_exchange.begin(peer.1, core.clock.now()) {
                let core = Rc::clone(&core);
                // In a task of its own, so that a slow peer does not delay the others.
                spawn_local(async move {
                    core.exchange_load_with(peer, role, count, idle).await;
                });
            }
        }
        // Also without an answer, since the view may have ceased to be fresh.
        let now = core.clock.now();
        if now + TIMER_TOLERANCE >= next_apply {
            next_apply =
                now + (core.load_exchange.interval.get() / APPLY_FRACTION).max(MIN_INTERVAL);
            core.apply_peer_load();
        }
        sleep(core.load_exchange.time_to_next(core.clock.now())).await;
    }
}
