//! Reading and checking of callers' requests, within limits.

use std::sync::Arc;

use opentelemetry::{global, propagation::Extractor};
use poem::{Body, Request, error::ReadBodyError};
use pondwalk_types::{Refusal, VersionId, refusal::BadRequest};
use tokio::sync::mpsc;
use tracing::Span;
use tracing_opentelemetry::OpenTelemetrySpanExt;

use super::auth;
use crate::{
    answer::{AnswerEvent, Failure},
    core::Core,
    incoming::{
        DEADLINE_HEADER, IDEMPOTENCY_KEY_HEADER, IncomingRequest, REPEATABLE_HEADER,
        REQUEST_ID_HEADER, RawRequest, SESSION_HEADER, SESSION_PIN_HEADER, TASK_HEADER,
    },
    serve::serve,
};

/// Request headers that the entry reads.
const HEADERS: [&str; 7] = [
    REQUEST_ID_HEADER,
    SESSION_HEADER,
    SESSION_PIN_HEADER,
    TASK_HEADER,
    DEADLINE_HEADER,
    REPEATABLE_HEADER,
    IDEMPOTENCY_KEY_HEADER,
];

/// An accepted request and the events of its answer.
pub struct AcceptedRequest {
    /// The request id, returned to the caller.
    pub request_id: String,
    /// Whether the caller requested a streamed answer.
    pub streaming: bool,
    /// Whether the caller requested the usage event in the stream.
    pub include_usage: bool,
    /// Events of the answer.
    pub events: mpsc::Receiver<AnswerEvent>,
}

/// Checks a request and starts serving it.
pub async fn accept(
    core: &Arc<Core>,
    request: &Request,
    body: Body,
    service: Option<(VersionId, String)>,
) -> Result<AcceptedRequest, Failure> {
    let span = tracing::info_span!("caller", path = request.uri().path());
    set_parent(&span, request);
    let incoming = read(core, request, body, service).await.map_err(Failure::not_run)?;
    let id = incoming.request.clone();
    let (streaming, include_usage) = (incoming.streaming, incoming.include_usage);
    let events = span.in_scope(|| serve(core.clone(), incoming));
    Ok(AcceptedRequest { request_id: id, streaming, include_usage, events })
}

async fn read(
    core: &Core,
    request: &Request,
    body: Body,
    service: Option<(VersionId, String)>,
) -> Result<IncomingRequest, Refusal> {
    check_header_size(core, request)?;
    let workspace = auth::authenticate(core, request)?;
    let body = read_body(core, body).await.map_err(Refusal::BadRequest)?;
    let raw = RawRequest {
        workspace,
        headers: headers(request)?,
        content_type: request.content_type().unwrap_or("application/octet-stream").to_owned(),
        body,
        service,
        default_deadline: core.settings.limits.default_deadline,
    };
    let mut incoming = IncomingRequest::try_from(raw).map_err(Refusal::BadRequest)?;
    verify_pin(core, &mut incoming)?;
    Ok(incoming)
}

/// Verifies the pin's signature and that it belongs to the request's workspace and session.
fn verify_pin(core: &Core, incoming: &mut IncomingRequest) -> Result<(), Refusal> {
    let Some(text) = &incoming.raw_pin else {
        return Ok(());
    };
    let pin = core.pins.verify(text, &incoming.workspace)?;
    if incoming.session.as_ref().is_some_and(|session| *session != pin.session) {
        return Err(Refusal::BadSessionPin);
    }
    incoming.session = Some(pin.session.clone());
    incoming.pin = Some(pin);
    Ok(())
}

fn check_header_size(core: &Core, request: &Request) -> Result<(), Refusal> {
    let sizes = request.headers().iter().map(|(name, value)| name.as_str().len() + value.len());
    if sizes.sum::<usize>() > core.settings.limits.header_bytes {
        return Err(Refusal::BadRequest(BadRequest::Header("(all)".to_owned())));
    }
    Ok(())
}

fn headers(request: &Request) -> Result<Vec<(&'static str, String)>, Refusal> {
    let mut found = Vec::new();
    for name in HEADERS {
        if let Some(value) = request.headers().get(name) {
            let bad = |_| Refusal::BadRequest(BadRequest::Header(name.to_owned()));
            found.push((name, value.to_str().map_err(bad)?.trim().to_owned()));
        }
    }
    Ok(found)
}

async fn read_body(core: &Core, body: Body) -> Result<Vec<u8>, BadRequest> {
    let limit_bytes = core.settings.limits.body_bytes;
    let read = body.into_bytes_limit(limit_bytes as usize);
    match tokio::time::timeout(core.settings.limits.read_timeout, read).await {
        Err(_) => Err(BadRequest::TooSlow),
        Ok(Err(ReadBodyError::PayloadTooLarge)) => Err(BadRequest::TooLarge { limit_bytes }),
        Ok(Err(_)) => Err(BadRequest::Body),
        Ok(Ok(bytes)) => Ok(bytes.to_vec()),
    }
}

/// Continues the caller's W3C trace, if the request carries one.
fn set_parent(span: &Span, request: &Request) {
    struct Headers<'a>(&'a Request);

    impl Extractor for Headers<'_> {
        fn get(&self, key: &str) -> Option<&str> {
            self.0.header(key)
        }

        fn keys(&self) -> Vec<&str> {
            self.0.headers().keys().map(|name| name.as_str()).collect()
        }
    }

    let parent = global::get_text_map_propagator(|p| p.extract(&Headers(request)));
    // NB: fails only if no subscriber records spans.
    let _ = span.set_parent(parent);
}
