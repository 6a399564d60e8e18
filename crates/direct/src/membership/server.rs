//! Answers other entries that ask for changes.

use std::{convert::Infallible, rc::Rc};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    Request, Response, StatusCode, body::Incoming, server::conn::http1, service::service_fn,
};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite};

use super::{BAD_VERSION_PATH, BadVersion, CHANGES_PATH, Changes};
use crate::core::Core;

/// Bytes of a body that an entry reads from another.
const MAX_BODY_BYTES: usize = 4 * 1024;

/// Answers on one connection from another entry.
pub async fn serve<I>(core: Rc<Core>, io: I)
where
    I: AsyncRead + AsyncWrite + Unpin + 'static,
{
    let service = service_fn(|request: Request<Incoming>| {
        let core = Rc::clone(&core);
        async move {
            let response = match request.uri().path() {
                CHANGES_PATH => tell_changes(&core, &request),
                BAD_VERSION_PATH => hear_of_bad_version(&core, request).await,
                _ => with_status(StatusCode::NOT_FOUND, Vec::new()),
            };
            Ok::<_, Infallible>(response)
        }
    });
    // NB: a connection that breaks is opened again by whoever asks.
    let _ = http1::Builder::new().serve_connection(TokioIo::new(io), service).await;
}

/// Takes another entry's word that a version is bad; what is left of the roll-out is then told
/// to the store by whoever can.
async fn hear_of_bad_version(core: &Core, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let body = Limited::new(request.into_body(), MAX_BODY_BYTES).collect().await;
    let bad = body.ok().and_then(|body| serde_json::from_slice(&body.to_bytes()).ok());
    let Some(BadVersion { service, target }) = bad else {
        return with_status(StatusCode::BAD_REQUEST, Vec::new());
    };
    let mut state = core.state.borrow_mut();
    let roll_out = state.roll_outs.get_mut(service.as_str());
    if let Some(roll_out) = roll_out.filter(|one| *one.target() == target) {
        roll_out.learn_bad();
    }
    with_status(StatusCode::OK, Vec::new())
}

fn tell_changes(core: &Core, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    let after = request.uri().query().and_then(|query| query.strip_prefix("after="));
    let Some(after) = after.and_then(|text| text.parse().ok()) else {
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
