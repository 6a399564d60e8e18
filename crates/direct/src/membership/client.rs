//! Client for requests to other entries.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Request, Response, StatusCode,
    body::Incoming,
    client::conn::http1::{Builder, SendRequest},
    header::HOST,
};
use hyper_util::rt::TokioIo;
use pondwalk_inbound::{MessageLimits, Meter, MeteredStream, PacedBody, read_whole};
use pondwalk_store::{Position, StoreEvent};
use serde::{Serialize, de::DeserializeOwned};
use thiserror::Error;
use tokio::{
    sync::Notify,
    task::spawn_local,
    time::{Instant, sleep_until, timeout, timeout_at},
};

use super::{
    ClockOffset, GossipItem, KeyChange, MessageError, NEWS_PATH, STATE_PATH, StateMessage,
    message::{MAX_MESSAGE_BYTES, from_message, to_message},
};
use crate::{core::Core, metrics::Counter, outage::Outage};

/// Timeout for opening a connection, which normally takes a millisecond. A machine without power
/// sends no reply, and a peer that is just starting is retried a second later.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// Maximum pause between two frames of a response body. A lost packet is retransmitted after some
/// 0.2 s.
const BODY_IDLE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which a response body must have arrived at a rate of [`MIN_BYTES_PER_S`].
const SLOW_BODY_TIMEOUT: Duration = Duration::from_secs(4);
/// Minimum mean rate of a response body that takes longer.
const MIN_BYTES_PER_S: f64 = 16.0 * 1024.0;
/// Read buffer size of a connection, which is also the maximum size of a response's head.
const READ_BUFFER_BYTES: usize = 64 * 1024;
/// Limits of a response as it arrives, with heads and framing.
const RESPONSE_LIMITS: MessageLimits = MessageLimits {
    head_bytes: 2 * READ_BUFFER_BYTES as u64,
    message_bytes: 2 * MAX_MESSAGE_BYTES as u64,
    pace: None,
};
/// Base timeout for posting a message to a peer, which normally takes a few milliseconds. A peer
/// that is busy or paused for longer cannot help in time.
pub(super) const POST_TIMEOUT: Duration = Duration::from_millis(250);
/// Time added to [`POST_TIMEOUT`] for each byte of the message. A mostly idle link of 10 Mbit/s
/// carries five times as much.
pub(super) const POST_TIMEOUT_PER_BYTE: Duration = Duration::from_micros(4);

/// Why a request to another entry failed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum PeerError {
    /// No response within the timeout.
    #[error("no response in time")]
    Timeout,
    /// The connection failed, or the peer returned an unexpected status.
    #[error("connection failed: {0}")]
    Failed(String),
    /// The peer has lost the store itself, or its state was last confirmed too long ago.
    #[error("state of the peer is stale")]
    Stale,
    /// The response was rejected.
    #[error("response refused: {0}")]
    Refused(#[from] MessageError),
}

/// Which state is requested, and whether the peer may delay its response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StateRequestKind {
    /// Changes, as soon as the state is confirmed again or there is new gossip.
    Changes,
    /// Changes, confirmed by a store call that the peer makes for this request.
    Relayed,
    /// The full state of any age, waiting until the peer has one.
    FirstState,
    /// The full state of any age, without waiting.
    FirstStateNow,
}

/// A request for another entry's state.
#[derive(Debug, Clone, Copy)]
pub struct StateRequest {
    /// Address of the store that both entries must use.
    pub store: SocketAddr,
    /// Position in the store's history up to which the requester has all changes.
    pub after: Position,
    /// Which state is requested.
    pub kind: StateRequestKind,
    /// When the request times out.
    pub deadline: Instant,
}

/// A state received from another entry, with times converted to the local clock.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StateUpdate {
    /// Lower bound, on the local clock, of the time at which the state was confirmed; `None` if it
    /// lies before the start of that clock.
    pub confirmed: Option<Duration>,
    /// The last outage of the store, with lower bounds of its times on the local clock; `None` also
    /// if it ended before the start of that clock.
    pub outage: Option<Outage>,
    /// Latency of the last call to the store, measured by the root from which the state comes.
    pub store_takes: Duration,
    /// Position in the store's history that the state leads to.
    pub position: Position,
    /// Whether `changes` is the full state rather than a difference.
    pub whole: bool,
    /// Size of the response, in bytes.
    pub bytes: usize,
    /// The last change of each key, ordered by revision.
    pub changes: Vec<KeyChange>,
    /// Gossip not received from this peer before.
    pub gossip: Vec<GossipItem>,
}

impl StateUpdate {
    /// Converts the changes to the events that the store would have sent.
    pub fn into_events(self) -> Vec<StoreEvent> {
        self.changes.into_iter().map(KeyChange::into_event).collect()
    }
}

/// An open connection to another entry.
#[derive(Debug)]
pub(super) struct PeerConnection {
    sender: SendRequest<Full<Bytes>>,
    meter: Meter,
}

impl PeerConnection {
    /// Opens a connection.
    pub async fn open(core: &Core, address: SocketAddr) -> Result<Self, PeerError> {
        let connecting = timeout(CONNECT_TIMEOUT, (core.connect)(address)).await;
        let stream = connecting.map_err(|_| PeerError::Timeout)?.map_err(failed)?;
        let meter = Meter::new(RESPONSE_LIMITS);
        let stream = TokioIo::new(MeteredStream::new(stream, &meter));
        let opened = Builder::new().max_buf_size(READ_BUFFER_BYTES).handshake(stream).await;
        let (sender, connection) = opened.map_err(failed)?;
        // A failure of the connection also fails the request that is pending on it.
        spawn_local(async move { connection.await.unwrap_or_default() });
        Ok(PeerConnection { sender, meter })
    }

    /// Whether another request can be sent.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Sends a request and waits for the head of its response.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, PeerError> {
        self.meter.begin_message();
        let response = self.sender.send_request(request).await.map_err(failed)?;
        self.meter.on_head();
        Ok(response)
    }

    /// Reads the body of a response, of at most `max_bytes`, for as long as frames arrive at some
    /// rate. A large state on a narrow link takes longer than any sensible timeout for the start of
    /// a response.
    pub async fn read_body(
        &self,
        core: &Core,
        body: Incoming,
        max_bytes: usize,
    ) -> Result<Bytes, PeerError> {
        let progress = BodyProgress::start();
        let body = PacedBody::new(body, max_bytes, &core.pacer, &self.meter);
        let on_bytes = |bytes| progress.record(bytes);
        tokio::select! {
            biased;
            read = read_whole(body, max_bytes, &core.control_buffers, on_bytes) => {
                read.map_err(|_| MessageError::Unreadable.into())
            }
            () = progress.stalled() => Err(PeerError::Timeout),
        }
    }
}

/// Progress of a response body.
struct BodyProgress {
    started_at: Instant,
    last_at: Cell<Instant>,
    bytes: Cell<usize>,
    changed: Notify,
}

impl BodyProgress {
    fn start() -> Self {
        let now = Instant::now();
        let (last_at, bytes) = (Cell::new(now), Cell::new(0));
        BodyProgress { started_at: now, last_at, bytes, changed: Notify::new() }
    }

    fn record(&self, bytes: usize) {
        self.last_at.set(Instant::now());
        self.bytes.set(self.bytes.get() + bytes);
        self.changed.notify_one();
    }

    /// Waits until the body makes no more progress, or too little.
    async fn stalled(&self) {
        loop {
            let allowed = Duration::from_secs_f64(self.bytes.get() as f64 / MIN_BYTES_PER_S);
            let end = (self.last_at.get() + BODY_IDLE_TIMEOUT)
                .min(self.started_at + SLOW_BODY_TIMEOUT.max(allowed));
            tokio::select! {
                biased;
                () = self.changed.notified() => {}
                () = sleep_until(end) => return,
            }
        }
    }
}

/// Client that keeps one idle connection, to the peer it last used, and the metadata of that peer's
/// last response.
#[derive(Debug, Default)]
pub struct PeerClient {
    idle: RefCell<Option<(SocketAddr, PeerConnection)>>,
    last: RefCell<ResponseMark>,
    /// Number of responses being read by all clients that share this counter.
    receiving: Rc<Cell<usize>>,
}

/// Metadata of the last response.
#[derive(Debug, Clone, Copy, Default)]
struct ResponseMark {
    from: Option<SocketAddr>,
    incarnation: u64,
    turn: u64,
    news_end: u64,
    clock: ClockOffset,
}

impl PeerClient {
    /// Creates a client that shares `receiving`, the number of responses being read, with other
    /// clients.
    pub fn with_receiving(receiving: &Rc<Cell<usize>>) -> Self {
        PeerClient { receiving: Rc::clone(receiving), ..PeerClient::default() }
    }

    /// Requests the state of the entry at `address`.
    ///
    /// An idle connection may have died unnoticed while new ones work, so a timeout on a reused
    /// connection is followed by one retry on a new one.
    pub async fn request_state(
        &self,
        core: &Core,
        address: SocketAddr,
        query: StateRequest,
    ) -> Result<StateUpdate, PeerError> {
        let reused = self.take_idle(address).map(|sender| (address, sender));
        let is_reused = reused.is_some();
        *self.idle.borrow_mut() = reused;
        let update = self.request_once(core, address, query).await;
        if !is_reused || !matches!(update, Err(PeerError::Timeout | PeerError::Failed(_))) {
            return update;
        }
        let deadline = query.deadline.max(Instant::now() + POST_TIMEOUT);
        self.request_once(core, address, StateRequest { deadline, ..query }).await
    }

    async fn request_once(
        &self,
        core: &Core,
        address: SocketAddr,
        query: StateRequest,
    ) -> Result<StateUpdate, PeerError> {
        let sent_at = core.clock.now();
        let bytes = self.fetch_state(core, address, query).await?;
        let state = StateMessage::from_bytes(&bytes, query.store)?;
        // A difference from an earlier revision is harmless, but a full state would replace a newer
        // one.
        if state.head.whole && state.head.position < query.after {
            return Err(MessageError::Older(state.head.position).into());
        }
        // A difference within a later era applies only to the beginning of that era.
        if !state.head.whole && state.head.position.era > query.after.era {
            return Err(MessageError::Contradictory.into());
        }
        self.convert_state(address, sent_at, state, bytes.len())
    }

    /// Converts the times of a state to the local clock.
    fn convert_state(
        &self,
        address: SocketAddr,
        sent_at: Duration,
        state: StateMessage,
        bytes: usize,
    ) -> Result<StateUpdate, PeerError> {
        let head = state.head;
        let changes = state.changes()?;
        let mut last = self.last.borrow_mut();
        if last.from != Some(address) {
            *last = ResponseMark { from: Some(address), ..ResponseMark::default() };
        }
        last.clock.record(head.incarnation, sent_at, head.now);
        last.incarnation = head.incarnation;
        last.turn = head.turn;
        last.news_end = head.news_end;
        Ok(StateUpdate {
            confirmed: last.clock.local_time(head.confirmed),
            outage: head.outage.and_then(|outage| local_outage(&last.clock, outage)),
            store_takes: head.store_takes,
            position: head.position,
            whole: head.whole,
            bytes,
            changes,
            gossip: state.gossip,
        })
    }

    /// Sends an encoded gossip message to the entry at `address`.
    pub async fn send_gossip(
        core: &Core,
        address: SocketAddr,
        body: Bytes,
    ) -> Result<(), PeerError> {
        Self::post(core, address, NEWS_PATH, body).await.map(|_| ())
    }

    /// Posts a message to the entry at `address` on a new connection, and returns the response
    /// body.
    pub async fn post(
        core: &Core,
        address: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> Result<Bytes, PeerError> {
        let time_limit =
            POST_TIMEOUT + POST_TIMEOUT_PER_BYTE * u32::try_from(body.len()).unwrap_or(u32::MAX);
        let request = Request::post(path).header(HOST, address.to_string());
        let request = request.body(Full::from(body)).map_err(failed)?;
        let sending = async {
            let mut connection = PeerConnection::open(core, address).await?;
            let response = connection.send(request).await?;
            match response.status() {
                StatusCode::OK => {
                    connection.read_body(core, response.into_body(), MAX_MESSAGE_BYTES).await
                }
                status => Err(PeerError::Failed(status.to_string())),
            }
        };
        let deadline = Instant::now() + time_limit;
        timeout_at(deadline, sending).await.map_err(|_| PeerError::Timeout)?
    }

    /// Takes the idle connection if it leads to `address` and is still open.
    fn take_idle(&self, address: SocketAddr) -> Option<PeerConnection> {
        let idle = self.idle.borrow_mut().take();
        let idle = idle.filter(|(to, connection)| *to == address && connection.is_ready());
        idle.map(|(_, connection)| connection)
    }

    fn path(&self, address: SocketAddr, query: StateRequest) -> String {
        let Position { era, revision } = query.after;
        match query.kind {
            StateRequestKind::Changes | StateRequestKind::Relayed => {}
            StateRequestKind::FirstState => return format!("{STATE_PATH}?first=wait"),
            StateRequestKind::FirstStateNow => return format!("{STATE_PATH}?first=now"),
        }
        let last = self.last.borrow();
        let relay = if query.kind == StateRequestKind::Relayed { "&relay=1" } else { "" };
        match last.from == Some(address) {
            true => format!(
                "{STATE_PATH}?after={era}.{revision}&heard={:x}.{}.{}{relay}",
                last.incarnation, last.turn, last.news_end
            ),
            false => format!("{STATE_PATH}?after={era}.{revision}{relay}"),
        }
    }

    async fn send_state_request(
        &self,
        core: &Core,
        address: SocketAddr,
        query: StateRequest,
    ) -> Result<(PeerConnection, Response<Incoming>), PeerError> {
        let mut connection = match self.take_idle(address) {
            Some(connection) => connection,
            None => PeerConnection::open(core, address).await?,
        };
        let request = Request::get(self.path(address, query)).header(HOST, address.to_string());
        let request = request.body(Full::default()).map_err(failed)?;
        let response = connection.send(request).await?;
        Ok((connection, response))
    }

    async fn fetch_state(
        &self,
        core: &Core,
        address: SocketAddr,
        query: StateRequest,
    ) -> Result<Bytes, PeerError> {
        let pending = self.send_state_request(core, address, query);
        let response = timeout_at(query.deadline, pending).await;
        let (connection, response) = response.map_err(|_| PeerError::Timeout)??;
        let status = response.status();
        let is_success = usize::from(status == StatusCode::OK);
        self.receiving.set(self.receiving.get() + is_success);
        let body = connection.read_body(core, response.into_body(), MAX_MESSAGE_BYTES).await;
        self.receiving.set(self.receiving.get() - is_success);
        let body = body?;
        *self.idle.borrow_mut() = Some((address, connection));
        match status {
            StatusCode::OK => Ok(body),
            StatusCode::SERVICE_UNAVAILABLE => Err(PeerError::Stale),
            status => Err(PeerError::Failed(status.to_string())),
        }
    }
}

/// Converts the times of an outage to the local clock.
fn local_outage(clock: &ClockOffset, outage: Outage) -> Option<Outage> {
    let until = clock.local_time(outage.until)?;
    Some(Outage { from: clock.local_time(outage.from).unwrap_or_default(), until })
}

/// Posts a query to another entry on a new connection, and decodes the response.
pub async fn query_peer<Q: Serialize, A: DeserializeOwned>(
    core: &Core,
    address: SocketAddr,
    path: &str,
    query: &Q,
) -> Result<A, PeerError> {
    let store = core.settings.store.address;
    let query = to_message(store, query)?;
    core.metrics.count_many(Counter::PeerBytesSent, query.len());
    let response = PeerClient::post(core, address, path, query).await?;
    Ok(from_message(&response, store)?)
}

/// Wraps an error of the connection.
pub(super) fn failed(error: impl ToString) -> PeerError {
    PeerError::Failed(error.to_string())
}
