//! Answers other entries that ask for changes.

use std::{convert::Infallible, rc::Rc};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Request, Response, StatusCode, body::Incoming, server::conn::http1, service::service_fn,
};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite};

use super::Changes;
use crate::core::Core;

/// Answers on one connection from another entry.
pub async fn serve<I>(core: Rc<Core>, io: I)
where
    I: AsyncRead + AsyncWrite + Unpin + 'static,
{
    let service = service_fn(|request| {
        let response = answer(&core, &request);
        async move { Ok::<_, Infallible>(response) }
    });
    // NB: a connection that breaks is opened again by whoever asks.
    let _ = http1::Builder::new().serve_connection(TokioIo::new(io), service).await;
}

fn answer(core: &Core, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    let after = request.uri().query().and_then(|query| query.strip_prefix("after="));
    let after = after.and_then(|text| text.parse().ok());
    let (Some(after), "/changes") = (after, request.uri().path()) else {
        return with_status(StatusCode::BAD_REQUEST, Vec::new());
    };
    match changes_after(core, after) {
        // NB: numbers and texts always serialize.
        Some(changes) => {
            with_status(StatusCode::OK, serde_json::to_vec(&changes).unwrap_or_default())
        }
        None => with_status(StatusCode::SERVICE_UNAVAILABLE, Vec::new()),
    }
}

/// What this entry knows after a revision; `None` before it has read anything, and while the
/// store does not answer it.
fn changes_after(core: &Core, after: u64) -> Option<Changes> {
    let state = core.state.borrow();
    if state.source_lost {
        return None;
    }
    let age = state.freshness.age(core.clock.now())?;
    Some(Changes {
        // NB: rounded up, so that no answer makes the asker's state look fresher.
        confirmed_age_ms: age.as_millis() as u64 + 1,
        revision: state.revision,
        changes: state.history.after(after),
    })
}

fn with_status(status: StatusCode, body: Vec<u8>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::from(body));
    *response.status_mut() = status;
    response
}
