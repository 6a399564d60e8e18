//! Answers other entries.

use std::{convert::Infallible, rc::Rc, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    Request, Response, StatusCode, body::Incoming, server::conn::http1, service::service_fn,
};
use hyper_util::rt::TokioIo;
use pondwalk_store::Position;
use serde::Serialize;
use tokio::{
    io::{AsyncRead, AsyncWrite},
    time::timeout_at,
};

use super::{
    FORMAT, GossipItem, MessageError, NEWS_PATH, PERMIT_PATH, PROBE_PATH, STATE_PATH, StateHead,
    StateMessage, StateRequestKind, message::from_message,
};
use crate::{core::Core, event_log::LogPriority, metrics::Counter};

/// Bytes of news that an entry reads from another at once: the sessions that a hundred entries keep
/// are a third of this.
const MAX_NEWS_BYTES: usize = 1024 * 1024;

/// A message that was refused.
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
enum ServeEvent {
    NewsRefused { error: String },
}

/// A question as it was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Asked {
    after: Position,
    /// What the answer that the asker heard last said of itself.
    heard: Option<Heard>,
    need: StateRequestKind,
}

/// The life of the process that told it, its turn, and the end of its news.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Heard {
    incarnation: u64,
    turn: u64,
    news_end: u64,
}

impl Heard {
    fn parse(text: &str) -> Option<Self> {
        let mut numbers = text.split('.');
        let incarnation = u64::from_str_radix(numbers.next()?, 16).ok()?;
        let turn = numbers.next()?.parse().ok()?;
        let news_end = numbers.next()?.parse().ok()?;
        Some(Heard { incarnation, turn, news_end })
    }
}

impl Asked {
    /// Reads the query of a question.
    fn parse(query: &str) -> Option<Self> {
        let mut asked =
            Asked { after: Position::default(), heard: None, need: StateRequestKind::Changes };
        for pair in query.split('&') {
            match pair.split_once('=')? {
                ("after", text) => asked.after = parse_position(text)?,
                ("now", "1") => asked.need = StateRequestKind::ChangesNow,
                ("first", "wait") => asked.need = StateRequestKind::FirstState,
                ("first", "now") => asked.need = StateRequestKind::FirstStateNow,
                ("heard", text) => asked.heard = Some(Heard::parse(text)?),
                _ => return None,
            }
        }
        Some(asked)
    }
}

/// Reads a place as a question names it: `ERA.REVISION`.
fn parse_position(text: &str) -> Option<Position> {
    let (era, revision) = text.split_once('.')?;
    Some(Position { era: era.parse().ok()?, revision: revision.parse().ok()? })
}

/// Answers on one connection from another entry.
pub async fn serve<I>(core: Rc<Core>, io: I)
where
    I: AsyncRead + AsyncWrite + Unpin + 'static,
{
    let service = service_fn(|request: Request<Incoming>| {
        let core = Rc::clone(&core);
        async move {
            let response = match request.uri().path() {
                STATE_PATH => tell_state(&core, &request).await,
                NEWS_PATH => hear_news(&core, request).await,
                PROBE_PATH => {
                    answer_question(&core, request, async |core, body| {
                        core.handle_probe_request(body)
                    })
                    .await
                }
                PERMIT_PATH => answer_question(&core, request, Core::handle_permit_request).await,
                _ => with_status(StatusCode::NOT_FOUND, Bytes::new()),
            };
            Ok::<_, Infallible>(response)
        }
    });
    // NB: a connection that breaks is opened again by whoever asks.
    let _ = http1::Builder::new().serve_connection(TokioIo::new(io), service).await;
}

/// Takes news from an entry below, or from another root.
async fn hear_news(core: &Core, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let body = Limited::new(request.into_body(), MAX_NEWS_BYTES).collect().await;
    let items = match body {
        Ok(body) => from_message::<Vec<GossipItem>>(&body.to_bytes(), core.settings.store.address),
        Err(_) => Err(MessageError::Unreadable),
    };
    match items {
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

/// Answers a question that comes as a message, as `answer` does.
async fn answer_question(
    core: &Core,
    request: Request<Incoming>,
    answer: impl AsyncFnOnce(&Core, &[u8]) -> Result<Bytes, MessageError>,
) -> Response<Full<Bytes>> {
    let body = Limited::new(request.into_body(), MAX_NEWS_BYTES).collect().await;
    let answer = match body {
        Ok(body) => answer(core, &body.to_bytes()).await,
        Err(_) => Err(MessageError::Unreadable),
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

async fn tell_state(core: &Core, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    let Some(asked) = request.uri().query().and_then(Asked::parse) else {
        return with_status(StatusCode::BAD_REQUEST, Bytes::new());
    };
    match wait_for_state(core, asked).await {
        Some(Ok(bytes)) => {
            core.metrics.count(Counter::QuestionsAnswered);
            core.metrics.count_many(Counter::PeerBytesSent, bytes.len());
            with_status(StatusCode::OK, bytes)
        }
        Some(Err(_)) => with_status(StatusCode::INTERNAL_SERVER_ERROR, Bytes::new()),
        None => with_status(StatusCode::SERVICE_UNAVAILABLE, Bytes::new()),
    }
}

/// Holds a question until there is something to tell; `None` once the own confirmation has grown
/// too old to be of use.
async fn wait_for_state(core: &Core, asked: Asked) -> Option<Result<Bytes, MessageError>> {
    let times = &core.settings.membership.times;
    let held_from = core.clock.now();
    loop {
        let state_changed = core.state_changed.notified();
        if has_news(core, asked) {
            return Some(state_after(core, asked));
        }
        if matches!(asked.need, StateRequestKind::ChangesNow | StateRequestKind::FirstStateNow) {
            return None;
        }
        let too_old_at = too_old_at(core);
        // NB: an entry that has lost its way may be about to find another.
        let give_up = too_old_at.unwrap_or_default().max(held_from + times.stale_hold_time);
        if timeout_at(core.clock.instant(give_up), state_changed).await.is_err() {
            return None;
        }
    }
}

/// When the own confirmation will be too old to be of use, if there is one.
///
/// NB: where answers of the store take long, every state is as old; refused for that, the changes
/// that it holds would reach nobody.
fn too_old_at(core: &Core) -> Option<Duration> {
    let state = core.state.borrow();
    let max_peer_confirmation_age =
        core.settings.membership.times.max_peer_confirmation_age + state.store_latency;
    state.freshness.confirmed_at().map(|at| at + max_peer_confirmation_age)
}

/// Whether the asker gains anything by an answer now.
fn has_news(core: &Core, asked: Asked) -> bool {
    let Some(too_old_at) = too_old_at(core) else { return false };
    let is_young = core.clock.now() < too_old_at;
    let state = core.state.borrow();
    let heard = asked.heard.filter(|heard| heard.incarnation == core.incarnation);
    let has_changes = state.replica.position() > asked.after;
    let (is_confirmed_anew, has_news) = match heard {
        Some(heard) => {
            (state.confirmation_count != heard.turn, core.gossip.borrow().end() > heard.news_end)
        }
        None => (true, false),
    };
    match asked.need {
        StateRequestKind::FirstState | StateRequestKind::FirstStateNow => true,
        // NB: changes and news count whatever the age of the state, which is told with them.
        StateRequestKind::Changes | StateRequestKind::ChangesNow => {
            has_news || has_changes || is_confirmed_anew && is_young
        }
    }
}

fn state_after(core: &Core, asked: Asked) -> Result<Bytes, MessageError> {
    let summary = core.crash_summary();
    let mut state = core.state.borrow_mut();
    let changes = match asked.need {
        StateRequestKind::Changes | StateRequestKind::ChangesNow => {
            state.replica.packed_changes_after(asked.after)
        }
        StateRequestKind::FirstState | StateRequestKind::FirstStateNow => None,
    };
    let whole = changes.is_none();
    let body = match changes {
        Some(changes) => changes?,
        None => state.replica.packed_state()?,
    };
    let heard = asked.heard.filter(|heard| heard.incarnation == core.incarnation);
    let summary =
        if heard.is_none() { summary.map(|news| core.new_gossip_item(news)) } else { None };
    let news = core.gossip.borrow();
    let mut unheard = news.since(heard.map_or(0, |heard| heard.news_end), core.clock.now());
    unheard.extend(summary);
    let head = StateHead {
        format: FORMAT,
        store: core.settings.store.address,
        incarnation: core.incarnation,
        now: core.clock.now(),
        // NB: only an entry that was confirmed answers.
        confirmed: state.freshness.confirmed_at().unwrap_or(Duration::ZERO),
        store_returned: state.store_returned,
        store_takes: state.store_latency,
        turn: state.confirmation_count,
        position: state.replica.position(),
        whole,
        // NB: filled in when the bytes are made.
        body_bytes: 0,
        news_end: news.end(),
    };
    StateMessage { head, body, gossip: unheard }.to_bytes()
}

fn with_status(status: StatusCode, body: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::from(body));
    *response.status_mut() = status;
    response
}
