//! `POST /v1/chat/completions`.

use std::sync::Arc;

use bytes::Bytes;
use futures::{StreamExt, stream};
use poem::{
    Body, Request, Response, ResponseBuilder, handler,
    http::{StatusCode, header},
    web::Data,
};
use tokio::sync::mpsc;

use super::{
    errors,
    intake::{self, Taken},
};
use crate::{
    answer::{Failure, Opening, Piece, assemble},
    core::Core,
    incoming::{REQUEST_ID, SESSION_PIN},
};

/// Tells which version answered.
pub const VERSION: &str = "pondwalk-version";
/// Tells that the session started anew, because its version was withdrawn.
const SESSION_RESTARTED: &str = "pondwalk-session-restarted";

/// Answers a chat, streamed or whole.
#[handler]
pub async fn complete(request: &Request, body: Body, core: Data<&Arc<Core>>) -> Response {
    let mut taken = match intake::take(&core, request, body, None).await {
        Ok(taken) => taken,
        Err(failure) => return errors::response(&failure),
    };
    match taken.pieces.recv().await {
        Some(Piece::Open(opening)) if taken.streaming => streamed(taken, &opening),
        Some(Piece::Open(opening)) => whole(taken, &opening).await,
        Some(Piece::Fail(failure)) => with_id(errors::response(&failure), &taken.request),
        _ => with_id(errors::response(&cut()), &taken.request),
    }
}

/// What a caller gets when serving its request ended without a word.
pub fn cut() -> Failure {
    Failure { refusal: pondwalk_types::Refusal::Cut, ran: pondwalk_types::Executed::Unknown }
}

/// Headers that come with every answer.
pub fn answer_head(status: StatusCode, request: &str, opening: &Opening) -> ResponseBuilder {
    let mut builder = Response::builder()
        .status(status)
        .header(REQUEST_ID, request)
        .header(VERSION, &opening.version);
    if let Some(pin) = &opening.pin {
        builder = builder.header(SESSION_PIN, pin);
    }
    if opening.session_restarted {
        builder = builder.header(SESSION_RESTARTED, "version_withdrawn");
    }
    builder
}

/// Adds the request's id to a response that has none.
pub fn with_id(mut response: Response, request: &str) -> Response {
    if let Ok(value) = request.parse() {
        response.headers_mut().insert(REQUEST_ID, value);
    }
    response
}

fn streamed(taken: Taken, opening: &Opening) -> Response {
    let head = answer_head(StatusCode::OK, &taken.request, opening)
        .content_type("text/event-stream")
        .header(header::CACHE_CONTROL, "no-cache");
    head.body(Body::from_bytes_stream(events(taken.pieces, taken.wants_usage)))
}

/// The answer as server-sent events: only a whole one ends in `[DONE]`.
fn events(
    pieces: mpsc::Receiver<Piece>,
    wants_usage: bool,
) -> impl futures::Stream<Item = Result<Bytes, std::io::Error>> + Send + 'static {
    let events = stream::unfold(Some(pieces), move |pieces| async move {
        let mut pieces = pieces?;
        let piece = pieces.recv().await;
        Some(match piece {
            Some(Piece::Data(data)) if !wants_usage && is_usage(&data) => {
                (Bytes::new(), Some(pieces))
            }
            Some(Piece::Data(data)) => (event(&data), Some(pieces)),
            Some(Piece::Open(_)) => (Bytes::new(), Some(pieces)),
            Some(Piece::End) => (event(b"[DONE]"), None),
            Some(Piece::Fail(failure)) => (failed(&failure), None),
            None => (failed(&cut()), None),
        })
    });
    events.filter(|event| std::future::ready(!event.is_empty())).map(Ok)
}

/// Whether an event carries usage only, which callers get when they ask for it.
fn is_usage(data: &[u8]) -> bool {
    const EMPTY_CHOICES: &[u8] = b"\"choices\":[]";
    data.windows(EMPTY_CHOICES.len()).any(|window| window == EMPTY_CHOICES)
}

fn failed(failure: &Failure) -> Bytes {
    event(errors::body(failure).to_string().as_bytes())
}

fn event(data: &[u8]) -> Bytes {
    [b"data: ", data, b"\n\n"].concat().into()
}

async fn whole(mut taken: Taken, opening: &Opening) -> Response {
    let mut parts = Vec::new();
    loop {
        match taken.pieces.recv().await {
            Some(Piece::Data(data)) => parts.push(data),
            Some(Piece::Open(_)) => {}
            Some(Piece::End) => break,
            Some(Piece::Fail(failure)) => {
                return with_id(errors::response(&failure), &taken.request);
            }
            None => return with_id(errors::response(&cut()), &taken.request),
        }
    }
    answer_head(StatusCode::OK, &taken.request, opening)
        .content_type("application/json")
        .body(assemble(&parts).to_string())
}
