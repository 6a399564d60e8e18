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
    intake::{self, AcceptedRequest},
};
use crate::{
    answer::{AnswerEvent, AnswerHead, Failure, assemble_chat},
    core::Core,
    incoming::{REQUEST_ID_HEADER, SESSION_PIN_HEADER},
};

/// Response header with the version that answered.
pub const VERSION_HEADER: &str = "pondwalk-version";
/// Response header set if the session restarted because its version was withdrawn.
const SESSION_RESTARTED_HEADER: &str = "pondwalk-session-restarted";

/// Answers a chat completion, streamed or complete.
#[handler]
pub async fn complete(request: &Request, body: Body, core: Data<&Arc<Core>>) -> Response {
    let mut accepted = match intake::accept(&core, request, body, None).await {
        Ok(accepted) => accepted,
        Err(failure) => return errors::response(&failure),
    };
    match accepted.events.recv().await {
        Some(AnswerEvent::Start(answer_head)) if accepted.streaming => {
            stream_response(accepted, &answer_head)
        }
        Some(AnswerEvent::Start(answer_head)) => complete_response(accepted, &answer_head).await,
        Some(AnswerEvent::Fail(failure)) => {
            with_request_id(errors::response(&failure), &accepted.request_id)
        }
        _ => with_request_id(errors::response(&interrupted()), &accepted.request_id),
    }
}

/// The failure reported if the handler ended without a final event.
pub fn interrupted() -> Failure {
    Failure { refusal: pondwalk_types::Refusal::Cut, executed: pondwalk_types::Executed::Unknown }
}

/// A response with the headers common to all answers.
pub fn response_builder(
    status: StatusCode,
    request: &str,
    answer_head: &AnswerHead,
) -> ResponseBuilder {
    let mut builder = Response::builder()
        .status(status)
        .header(REQUEST_ID_HEADER, request)
        .header(VERSION_HEADER, &answer_head.version);
    if let Some(pin) = &answer_head.pin {
        builder = builder.header(SESSION_PIN_HEADER, pin);
    }
    if answer_head.session_restarted {
        builder = builder.header(SESSION_RESTARTED_HEADER, "version_withdrawn");
    }
    builder
}

/// Adds the request id header to a response.
pub fn with_request_id(mut response: Response, request: &str) -> Response {
    if let Ok(value) = request.parse() {
        response.headers_mut().insert(REQUEST_ID_HEADER, value);
    }
    response
}

fn stream_response(accepted: AcceptedRequest, answer_head: &AnswerHead) -> Response {
    let head = response_builder(StatusCode::OK, &accepted.request_id, answer_head)
        .content_type("text/event-stream")
        .header(header::CACHE_CONTROL, "no-cache");
    head.body(Body::from_bytes_stream(sse_stream(accepted.events, accepted.include_usage)))
}

/// The answer as server-sent events; only a complete answer ends with `[DONE]`.
fn sse_stream(
    events: mpsc::Receiver<AnswerEvent>,
    include_usage: bool,
) -> impl futures::Stream<Item = Result<Bytes, std::io::Error>> + Send + 'static {
    let events = stream::unfold(Some(events), move |events| async move {
        let mut events = events?;
        let event = events.recv().await;
        Some(match event {
            Some(AnswerEvent::Data(data)) if !include_usage && is_usage_event(&data) => {
                (Bytes::new(), Some(events))
            }
            Some(AnswerEvent::Data(data)) => (sse_event(&data), Some(events)),
            Some(AnswerEvent::Start(_)) => (Bytes::new(), Some(events)),
            Some(AnswerEvent::End) => (sse_event(b"[DONE]"), None),
            Some(AnswerEvent::Fail(failure)) => (failure_event(&failure), None),
            None => (failure_event(&interrupted()), None),
        })
    });
    events.filter(|event| std::future::ready(!event.is_empty())).map(Ok)
}

/// Whether an event carries only usage, which is sent to callers on request.
fn is_usage_event(data: &[u8]) -> bool {
    const EMPTY_CHOICES: &[u8] = b"\"choices\":[]";
    data.windows(EMPTY_CHOICES.len()).any(|window| window == EMPTY_CHOICES)
}

fn failure_event(failure: &Failure) -> Bytes {
    sse_event(errors::body(failure).to_string().as_bytes())
}

fn sse_event(data: &[u8]) -> Bytes {
    [b"data: ", data, b"\n\n"].concat().into()
}

async fn complete_response(mut accepted: AcceptedRequest, answer_head: &AnswerHead) -> Response {
    let mut parts = Vec::new();
    loop {
        match accepted.events.recv().await {
            Some(AnswerEvent::Data(data)) => parts.push(data),
            Some(AnswerEvent::Start(_)) => {}
            Some(AnswerEvent::End) => break,
            Some(AnswerEvent::Fail(failure)) => {
                return with_request_id(errors::response(&failure), &accepted.request_id);
            }
            None => return with_request_id(errors::response(&interrupted()), &accepted.request_id),
        }
    }
    response_builder(StatusCode::OK, &accepted.request_id, answer_head)
        .content_type("application/json")
        .body(assemble_chat(&parts).to_string())
}
