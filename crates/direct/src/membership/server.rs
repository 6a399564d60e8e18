//! Server for requests from other entries.

use std::{convert::Infallible, pin::pin, rc::Rc, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Request, Response, StatusCode, body::Incoming, server::conn::http1, service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use pondwalk_inbound::{Meter, MeteredStream, PacedBody, read_whole};
use pondwalk_store::Position;
use serde::Serialize;
use tokio::{
    io::{AsyncRead, AsyncWrite},
    time::{sleep_until, timeout, timeout_at},
};

use super::{
    FORMAT, LOAD_PATH, LOAN_PATH, MessageError, NEWS_PATH, PERMIT_PATH, PROBE_PATH, STATE_PATH,
    StateHead, StateMessage, StateRequestKind,
    message::{from_gossip_message, from_message, to_message},
};
use crate::{core::Core, event_log::LogPriority, loans::answer_loan_query, metrics::Counter};

/// Maximum size of a posted message: three times the sessions that stay on the old version at a
/// hundred entries.
const MAX_POST_BYTES: usize = 1024 * 1024;
/// Time within which a posted message must arrive, several times what its sender allows it.
const POST_READ_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for the head of a request, and between two requests on a connection. Peers reopen
/// connections that were closed.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);
/// Read buffer size of a connection, which is also the maximum size of a request's head.
const READ_BUFFER_BYTES: usize = 64 * 1024;

/// Log event of a rejected message.
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
enum ServeEvent {
    NewsRefused { error: String },
}

/// A parsed state request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ParsedRequest {
    after: Position,
    /// Metadata of the last response that the requester received.
    last: Option<ResponseMark>,
    kind: StateRequestKind,
}

/// Incarnation, confirmation count and gossip index of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ResponseMark {
    incarnation: u64,
    turn: u64,
    news_end: u64,
}

impl ResponseMark {
    fn parse(text: &str) -> Option<Self> {
        let mut numbers = text.split('.');
        let incarnation = u64::from_str_radix(numbers.next()?, 16).ok()?;
        let turn = numbers.next()?.parse().ok()?;
        let news_end = numbers.next()?.parse().ok()?;
        Some(ResponseMark { incarnation, turn, news_end })
    }
}

impl ParsedRequest {
    /// Parses the query string of a state request.
    fn parse(query: &str) -> Option<Self> {
        let mut parsed = ParsedRequest {
            after: Position::default(),
            last: None,
            kind: StateRequestKind::Changes,
        };
        for pair in query.split('&') {
            match pair.split_once('=')? {
                ("after", text) => parsed.after = parse_position(text)?,
                ("relay", "1") => parsed.kind = StateRequestKind::Relayed,
                ("first", "wait") => parsed.kind = StateRequestKind::FirstState,
                ("first", "now") => parsed.kind = StateRequestKind::FirstStateNow,
                ("heard", text) => parsed.last = Some(ResponseMark::parse(text)?),
                _ => return None,
            }
        }
        Some(parsed)
    }
}

/// Parses a position of the form `ERA.REVISION`.
fn parse_position(text: &str) -> Option<Position> {
    let (era, revision) = text.split_once('.')?;
    Some(Position { era: era.parse().ok()?, revision: revision.parse().ok()? })
}

/// Serves one connection from another entry.
pub async fn serve<I>(core: Rc<Core>, io: I)
where
    I: AsyncRead + AsyncWrite + Unpin + 'static,
{
    let meter = Meter::new(core.request_limits());
    let deliveries = core.deliveries.connection();
    let service = service_fn(|request: Request<Incoming>| {
        let (core, meter, deliveries) = (Rc::clone(&core), meter.clone(), deliveries.clone());
        async move {
            let path = request.uri().path().to_owned();
            meter.begin_message();
            meter.on_head();
            let response = match request.uri().path() {
                STATE_PATH => send_state(&core, &request).await,
                NEWS_PATH => receive_gossip(&core, request, &meter).await,
                PROBE_PATH => {
                    answer_query(&core, request, &meter, async |core, body| {
                        core.handle_probe_query(body)
                    })
                    .await
                }
                LOAD_PATH if core.settings.policy.shared_load => {
                    match core.handle_load_message(request, &meter).await {
                        Some(answer) => with_status(StatusCode::OK, answer),
                        None => with_status(StatusCode::BAD_REQUEST, Bytes::new()),
                    }
                }
                PERMIT_PATH => {
                    answer_query(&core, request, &meter, Core::handle_permit_query).await
                }
                LOAN_PATH => {
                    answer_query(&core, request, &meter, async |core, body| lend(core, body)).await
                }
                _ => with_status(StatusCode::NOT_FOUND, Bytes::new()),
            };
            meter.begin_message();
            Ok::<_, Infallible>(deliveries.follow(path, response))
        }
    });
    let io = deliveries.count_writes(MeteredStream::new(io, &meter));
    // The peer reopens a connection that breaks.
    let _ = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(READ_BUFFER_BYTES)
        .serve_connection(TokioIo::new(io), service)
        .await;
}

/// Receives gossip from a child, or from another root.
async fn receive_gossip(
    core: &Core,
    request: Request<Incoming>,
    meter: &Meter,
) -> Response<Full<Bytes>> {
    let body = read_post(core, request, meter, MAX_POST_BYTES).await;
    match body.and_then(|body| from_gossip_message(&body, core.settings.store.address)) {
        Ok(items) => {
            core.receive_from_child(items);
            with_status(StatusCode::OK, Bytes::new())
        }
        Err(error) => {
            core.event_log
                .record(LogPriority::State, &ServeEvent::NewsRefused { error: error.to_string() });
            with_status(StatusCode::BAD_REQUEST, Bytes::new())
        }
    }
}

/// Reads a posted message of at most `max_bytes`.
pub(super) async fn read_post(
    core: &Core,
    request: Request<Incoming>,
    meter: &Meter,
    max_bytes: usize,
) -> Result<Bytes, MessageError> {
    let body = PacedBody::new(request.into_body(), MAX_POST_BYTES, &core.pacer, meter);
    let reading = read_whole(body, max_bytes, &core.control_buffers, |_| {});
    let read = timeout(POST_READ_TIMEOUT, reading).await;
    read.map_err(|_| MessageError::Unreadable)?.map_err(|_| MessageError::Unreadable)
}

/// Handles another entry's query for a loan.
fn lend(core: &Core, query: &[u8]) -> Result<Bytes, MessageError> {
    let store = core.settings.store.address;
    let query = from_message(query, store)?;
    let now = core.clock.now();
    let reply = answer_loan_query(&mut core.state.borrow_mut().fleets, &query, now);
    to_message(store, &reply)
}

/// Answers a posted query with the result of `answer`.
async fn answer_query(
    core: &Core,
    request: Request<Incoming>,
    meter: &Meter,
    answer: impl AsyncFnOnce(&Core, &[u8]) -> Result<Bytes, MessageError>,
) -> Response<Full<Bytes>> {
    let answer = match read_post(core, request, meter, MAX_POST_BYTES).await {
        Ok(body) => answer(core, &body).await,
        Err(error) => Err(error),
    };
    match answer {
        Ok(bytes) => with_status(StatusCode::OK, bytes),
        Err(error) => {
            core.event_log
                .record(LogPriority::State, &ServeEvent::NewsRefused { error: error.to_string() });
            with_status(StatusCode::BAD_REQUEST, Bytes::new())
        }
    }
}

async fn send_state(core: &Core, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    let Some(parsed) = request.uri().query().and_then(ParsedRequest::parse) else {
        return with_status(StatusCode::BAD_REQUEST, Bytes::new());
    };
    let state = match parsed.kind {
        StateRequestKind::Relayed => relay_state(core, parsed).await,
        _ => wait_for_state(core, parsed).await,
    };
    match state {
        Some(Ok(bytes)) => {
            core.metrics.count(Counter::QuestionsAnswered);
            core.metrics.count_many(Counter::PeerBytesSent, bytes.len());
            with_status(StatusCode::OK, bytes)
        }
        Some(Err(_)) => with_status(StatusCode::INTERNAL_SERVER_ERROR, Bytes::new()),
        None => with_status(StatusCode::SERVICE_UNAVAILABLE, Bytes::new()),
    }
}

/// Holds a state request until there is something new to send; `None` once the local confirmation
/// is too old to be useful.
async fn wait_for_state(core: &Core, parsed: ParsedRequest) -> Option<Result<Bytes, MessageError>> {
    let times = &core.settings.membership.times;
    let received_at = core.clock.now();
    loop {
        let state_changed = core.state_changed.notified();
        if has_update(core, parsed) {
            return Some(encode_state(core, parsed));
        }
        if parsed.kind == StateRequestKind::FirstStateNow {
            return None;
        }
        let stale_at = stale_at(core);
        // An entry that has lost its parent may be about to find another.
        let give_up = stale_at.unwrap_or_default().max(received_at + times.stale_hold_time);
        if timeout_at(core.clock.instant(give_up), state_changed).await.is_err() {
            return None;
        }
    }
}

/// Calls the store and responds with the state that it confirms; `None` if the call fails, or takes
/// much longer than the last one.
///
/// A state confirmed shortly before is good enough, so that several requesters share one call.
async fn relay_state(core: &Core, parsed: ParsedRequest) -> Option<Result<Bytes, MessageError>> {
    let times = &core.settings.membership.times;
    let confirmed_after = core.clock.now().saturating_sub(times.exchange);
    let latency = core.state.borrow().store_latency;
    let end = core.clock.instant(core.clock.now() + times.relay_delay + latency);
    let is_confirmed = || core.state.borrow().freshness.confirmed_at() > Some(confirmed_after);
    if !is_confirmed() {
        core.relay_requests.request();
    }
    let mut failure = pin!(core.relay_requests.next_failure());
    loop {
        let state_changed = core.state_changed.notified();
        if is_confirmed() {
            core.relay_requests.record_success(core.clock.now());
            return Some(encode_state(core, parsed));
        }
        tokio::select! {
            biased;
            () = state_changed => {}
            () = &mut failure => return None,
            () = sleep_until(end) => return None,
        }
    }
}

/// When the local confirmation becomes too old to be useful; `None` without a confirmation.
///
/// If the store is slow, every state is older by that latency. The limit includes it, since
/// otherwise no request would be answered and changes would reach no entry.
fn stale_at(core: &Core) -> Option<Duration> {
    let state = core.state.borrow();
    let max_age = core.settings.membership.times.max_peer_confirmation_age + state.store_latency;
    state.freshness.confirmed_at().map(|at| at + max_age)
}

/// Whether a response now would give the requester anything new.
fn has_update(core: &Core, parsed: ParsedRequest) -> bool {
    let Some(stale_at) = stale_at(core) else { return false };
    let is_fresh = core.clock.now() < stale_at;
    let state = core.state.borrow();
    let last = parsed.last.filter(|last| last.incarnation == core.incarnation);
    let has_changes = state.replica.position() > parsed.after;
    let (is_reconfirmed, has_gossip) = match last {
        Some(last) => {
            (state.confirmation_count != last.turn, core.gossip.borrow().end() > last.news_end)
        }
        None => (true, false),
    };
    match parsed.kind {
        StateRequestKind::FirstState | StateRequestKind::FirstStateNow => true,
        // Changes and gossip are sent whatever the age of the state, which the response carries.
        StateRequestKind::Changes | StateRequestKind::Relayed => {
            has_gossip || has_changes || is_reconfirmed && is_fresh
        }
    }
}

fn encode_state(core: &Core, parsed: ParsedRequest) -> Result<Bytes, MessageError> {
    let summary = core.crash_summary();
    let mut state = core.state.borrow_mut();
    let changes = match parsed.kind {
        StateRequestKind::Changes | StateRequestKind::Relayed => {
            state.replica.packed_changes_after(parsed.after)
        }
        StateRequestKind::FirstState | StateRequestKind::FirstStateNow => None,
    };
    let whole = changes.is_none();
    let body = match changes {
        Some(changes) => changes?,
        None => state.replica.packed_state()?,
    };
    let last = parsed.last.filter(|last| last.incarnation == core.incarnation);
    let summary =
        if last.is_none() { summary.map(|gossip| core.new_gossip_item(gossip)) } else { None };
    let gossip = core.gossip.borrow();
    let mut unsent = gossip.items_from(last.map_or(0, |last| last.news_end), core.clock.now());
    unsent.extend(summary);
    let head = StateHead {
        format: FORMAT,
        store: core.settings.store.address,
        incarnation: core.incarnation,
        now: core.clock.now(),
        // A state without a confirmation is not sent.
        confirmed: state.freshness.confirmed_at().unwrap_or(Duration::ZERO),
        outage: state.outages.last(),
        store_takes: state.store_latency,
        turn: state.confirmation_count,
        position: state.replica.position(),
        whole,
        // Set when the message is encoded.
        body_bytes: 0,
        news_end: gossip.end(),
    };
    StateMessage { head, body, gossip: unsent }.to_bytes()
}

fn with_status(status: StatusCode, body: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::from(body));
    *response.status_mut() = status;
    response
}
