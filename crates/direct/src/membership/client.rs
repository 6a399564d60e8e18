//! Asks another entry for its state.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    pin::pin,
    rc::Rc,
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    Request, Response, StatusCode,
    body::Incoming,
    client::conn::http1::{SendRequest, handshake},
    header::HOST,
};
use hyper_util::rt::TokioIo;
use pondwalk_store::{Position, StoreEvent};
use serde::{Serialize, de::DeserializeOwned};
use thiserror::Error;
use tokio::{
    task::spawn_local,
    time::{Instant, timeout, timeout_at},
};

use super::{
    ClockOffset, GossipItem, KeyChange, MessageError, NEWS_PATH, STATE_PATH, StateMessage,
    message::{MAX_MESSAGE_BYTES, from_message, to_message},
};
use crate::{clock::Clock, core::Core, metrics::Counter, upstream::Connect};

/// Longest time for a connection to open. One opens in a millisecond; a machine without power says
/// nothing, and one that is just coming up would be found a second later.
const CONNECT_LIMIT: Duration = Duration::from_millis(100);
/// Longest pause in an answer that is being read. A lost packet is sent again after some 0.2 s.
const BODY_PAUSE: Duration = Duration::from_millis(500);
/// Longest time for another entry to take news. One takes a few milliseconds; an
/// entry that is busy or paused for longer than this is of no use.
const TELL_LIMIT: Duration = Duration::from_millis(250);
/// Time for each byte of news beside it: a link of 10 Mbit/s that does little else carries five times as
/// much.
const TELL_LIMIT_OF_BYTE: Duration = Duration::from_micros(4);

/// Why another entry told nothing of use.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum PeerError {
    /// It did not answer in time.
    #[error("no answer in time")]
    Timeout,
    /// The connection failed.
    #[error("the connection failed: {0}")]
    Failed(String),
    /// It has lost the store itself, or was last confirmed too long ago.
    #[error("its confirmation is old")]
    Stale,
    /// Its answer is refused.
    #[error("its answer is refused: {0}")]
    Refused(#[from] MessageError),
}

/// What an asker needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StateRequestKind {
    /// What has changed, once the state is confirmed anew or there is news.
    Changes,
    /// What has changed, if the state is young enough to be of use.
    ChangesNow,
    /// A state of any age, as soon as there is one.
    FirstState,
    /// A state of any age, if there is one.
    FirstStateNow,
}

/// What is asked.
#[derive(Debug, Clone, Copy)]
pub struct StateRequest {
    /// Store that both are to speak of.
    pub store: SocketAddr,
    /// Place in the store's history up to which the asker knows all.
    pub after: Position,
    /// What the asker needs.
    pub kind: StateRequestKind,
    /// When the answer is given up.
    pub deadline: Instant,
}

/// What another entry told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StateUpdate {
    /// Own time at which its state was confirmed, or before; `None` if before the start of the own
    /// clock.
    pub confirmed: Option<Duration>,
    /// Own time at which the store came back, or before, if it has been lost.
    pub store_returned: Option<Duration>,
    /// How long the store's last answer took where the state comes from.
    pub store_takes: Duration,
    /// Place in the store's history that the state leads to.
    pub position: Position,
    /// Whether it is the whole state, and not only what changed.
    pub whole: bool,
    /// Bytes of the answer.
    pub bytes: usize,
    /// Keys as they were last changed, in order.
    pub changes: Vec<KeyChange>,
    /// News not heard from it before.
    pub gossip: Vec<GossipItem>,
}

impl StateUpdate {
    /// The changes as the store would have told them.
    pub fn into_events(self) -> Vec<StoreEvent> {
        self.changes.into_iter().map(KeyChange::into_event).collect()
    }
}

type Sender = SendRequest<Full<Bytes>>;

/// A kept connection to the entry asked last, with what is known of that process.
#[derive(Debug, Default)]
pub struct PeerClient {
    kept: RefCell<Option<(SocketAddr, Sender)>>,
    heard: RefCell<Heard>,
    /// Answers that are being read, by all clients that share it.
    hearing: Rc<Cell<usize>>,
}

/// What the last answer of the entry asked last told.
#[derive(Debug, Clone, Copy, Default)]
struct Heard {
    from: Option<SocketAddr>,
    incarnation: u64,
    turn: u64,
    news_end: u64,
    clock: ClockOffset,
}

impl PeerClient {
    /// A client beside others, which sees by `hearing` whether one of them is being told something.
    pub fn with_receiving(hearing: &Rc<Cell<usize>>) -> Self {
        PeerClient { hearing: Rc::clone(hearing), ..PeerClient::default() }
    }

    /// Asks the entry at `address`.
    ///
    /// A kept connection may have gone silent without a word while new ones work, so silence on one
    /// is followed by a second question on a new one.
    pub async fn request_state(
        &self,
        connect: &Connect,
        clock: &Clock,
        address: SocketAddr,
        question: StateRequest,
    ) -> Result<StateUpdate, PeerError> {
        let was_kept = self.take_kept(address).map(|sender| (address, sender));
        let is_kept = was_kept.is_some();
        *self.kept.borrow_mut() = was_kept;
        let told = self.ask_once(connect, clock, address, question).await;
        if !is_kept || !matches!(told, Err(PeerError::Timeout | PeerError::Failed(_))) {
            return told;
        }
        let deadline = question.deadline.max(Instant::now() + TELL_LIMIT);
        self.ask_once(connect, clock, address, StateRequest { deadline, ..question }).await
    }

    async fn ask_once(
        &self,
        connect: &Connect,
        clock: &Clock,
        address: SocketAddr,
        question: StateRequest,
    ) -> Result<StateUpdate, PeerError> {
        let sent = clock.now();
        let bytes = self.exchange(connect, address, question).await?;
        let state = StateMessage::from_bytes(&bytes, question.store)?;
        // NB: what changed after an earlier revision does no harm; a whole state would take the place
        // of a newer one.
        if state.head.whole && state.head.position < question.after {
            return Err(MessageError::Older(state.head.position).into());
        }
        // NB: changes within a later era lead there from its own beginning only.
        if !state.head.whole && state.head.position.era > question.after.era {
            return Err(MessageError::Contradictory.into());
        }
        self.hear(address, sent, state, bytes.len())
    }

    /// Dates a state by the own clock.
    fn hear(
        &self,
        address: SocketAddr,
        sent: Duration,
        state: StateMessage,
        bytes: usize,
    ) -> Result<StateUpdate, PeerError> {
        let head = state.head;
        let changes = state.changes()?;
        let mut heard = self.heard.borrow_mut();
        if heard.from != Some(address) {
            *heard = Heard { from: Some(address), ..Heard::default() };
        }
        heard.clock.record(head.incarnation, sent, head.now);
        heard.incarnation = head.incarnation;
        heard.turn = head.turn;
        heard.news_end = head.news_end;
        Ok(StateUpdate {
            confirmed: heard.clock.local_time(head.confirmed),
            store_returned: head.store_returned.and_then(|at| heard.clock.local_time(at)),
            store_takes: head.store_takes,
            position: head.position,
            whole: head.whole,
            bytes,
            changes,
            gossip: state.gossip,
        })
    }

    /// Tells the entry at `address` news, as packed for the way.
    pub async fn send_gossip(
        connect: &Connect,
        address: SocketAddr,
        body: Bytes,
    ) -> Result<(), PeerError> {
        Self::exchange_once(connect, address, NEWS_PATH, body).await.map(|_| ())
    }

    /// Sends a message to the entry at `address`, on a connection of its own, and reads its answer.
    pub async fn exchange_once(
        connect: &Connect,
        address: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> Result<Bytes, PeerError> {
        let limit = TELL_LIMIT + TELL_LIMIT_OF_BYTE * u32::try_from(body.len()).unwrap_or(u32::MAX);
        let request = Request::post(path).header(HOST, address.to_string());
        let request = request.body(Full::from(body)).map_err(failed)?;
        let telling = async {
            let answer = open(connect, address).await?.send_request(request).await;
            let answer = answer.map_err(failed)?;
            match answer.status() {
                StatusCode::OK => read_while_moving(answer.into_body()).await,
                status => Err(PeerError::Failed(status.to_string())),
            }
        };
        let until = Instant::now() + limit;
        timeout_at(until, telling).await.map_err(|_| PeerError::Timeout)?
    }

    /// The kept connection, if it leads to `address` and is still open.
    fn take_kept(&self, address: SocketAddr) -> Option<Sender> {
        let kept = self.kept.borrow_mut().take();
        let kept = kept.filter(|(to, sender)| *to == address && sender.is_ready());
        kept.map(|(_, sender)| sender)
    }

    fn path(&self, address: SocketAddr, question: StateRequest) -> String {
        let Position { era, revision } = question.after;
        match question.kind {
            StateRequestKind::Changes | StateRequestKind::ChangesNow => {}
            StateRequestKind::FirstState => return format!("{STATE_PATH}?first=wait"),
            StateRequestKind::FirstStateNow => return format!("{STATE_PATH}?first=now"),
        }
        let heard = self.heard.borrow();
        let now = if question.kind == StateRequestKind::ChangesNow { "&now=1" } else { "" };
        match heard.from == Some(address) {
            true => format!(
                "{STATE_PATH}?after={era}.{revision}&heard={:x}.{}.{}{now}",
                heard.incarnation, heard.turn, heard.news_end
            ),
            false => format!("{STATE_PATH}?after={era}.{revision}{now}"),
        }
    }

    async fn ask_for_head(
        &self,
        connect: &Connect,
        address: SocketAddr,
        question: StateRequest,
    ) -> Result<(Sender, Response<Incoming>), PeerError> {
        let mut sender = match self.take_kept(address) {
            Some(sender) => sender,
            None => open(connect, address).await?,
        };
        let request = Request::get(self.path(address, question)).header(HOST, address.to_string());
        let request = request.body(Full::default()).map_err(failed)?;
        let answer = sender.send_request(request).await.map_err(failed)?;
        Ok((sender, answer))
    }

    async fn exchange(
        &self,
        connect: &Connect,
        address: SocketAddr,
        question: StateRequest,
    ) -> Result<Bytes, PeerError> {
        let asking = self.ask_for_head(connect, address, question);
        let answering = timeout_at(question.deadline, asking).await;
        let (sender, answer) = answering.map_err(|_| PeerError::Timeout)??;
        let status = answer.status();
        let is_told = usize::from(status == StatusCode::OK);
        self.hearing.set(self.hearing.get() + is_told);
        let body = read_while_moving(answer.into_body()).await;
        self.hearing.set(self.hearing.get() - is_told);
        let body = body?;
        *self.kept.borrow_mut() = Some((address, sender));
        match status {
            StatusCode::OK => Ok(body),
            StatusCode::SERVICE_UNAVAILABLE => Err(PeerError::Stale),
            status => Err(PeerError::Failed(status.to_string())),
        }
    }
}

/// Sends another entry a question, on a connection of its own, and reads its answer.
pub async fn query_peer<Q: Serialize, A: DeserializeOwned>(
    core: &Core,
    address: SocketAddr,
    path: &str,
    question: &Q,
) -> Result<A, PeerError> {
    let store = core.settings.store.address;
    let question = to_message(store, question)?;
    core.metrics.count_many(Counter::PeerBytesSent, question.len());
    let answer = PeerClient::exchange_once(&core.connect, address, path, question).await?;
    Ok(from_message(&answer, store)?)
}

/// Reads an answer for as long as it comes. A large state over a narrow link takes longer than any
/// time in which another entry should begin to answer.
async fn read_while_moving(body: Incoming) -> Result<Bytes, PeerError> {
    let mut body = pin!(Limited::new(body, MAX_MESSAGE_BYTES));
    let mut read = BytesMut::new();
    loop {
        let frame = timeout(BODY_PAUSE, body.frame()).await.map_err(|_| PeerError::Timeout)?;
        let Some(frame) = frame else { return Ok(read.freeze()) };
        let frame = frame.map_err(|_| MessageError::Unreadable)?;
        if let Ok(data) = frame.into_data() {
            read.extend_from_slice(&data);
        }
    }
}

async fn open(connect: &Connect, address: SocketAddr) -> Result<Sender, PeerError> {
    let opening = timeout(CONNECT_LIMIT, connect(address)).await;
    let stream = opening.map_err(|_| PeerError::Timeout)?.map_err(failed)?;
    let (sender, connection) = handshake(TokioIo::new(stream)).await.map_err(failed)?;
    // NB: a failure of the connection reaches the exchange that waits on it.
    spawn_local(async move { connection.await.unwrap_or_default() });
    Ok(sender)
}

fn failed(error: impl ToString) -> PeerError {
    PeerError::Failed(error.to_string())
}
