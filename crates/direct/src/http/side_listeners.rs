//! The readiness question of the balancer, the counters for operators, and other entries.

use std::{convert::Infallible, rc::Rc};

use hyper::{
    Request, Response, StatusCode, body::Incoming, server::conn::http1, service::service_fn,
};
use hyper_util::rt::TokioIo;
use tokio::{
    net::{TcpListener, TcpStream},
    task::spawn_local,
};

use super::{body::AnswerBody, listen::accept_each};
use crate::{core::Core, entry::Entry};

/// Path under which counters are told.
const METRICS_PATH: &str = "/metrics";

/// How one of these listeners answers.
type Answer = fn(&Core, &Request<Incoming>) -> Response<AnswerBody>;

/// Answers the balancer.
pub async fn serve_readiness(core: Rc<Core>, listener: TcpListener) {
    serve(core, listener, readiness).await;
}

/// Tells counters.
pub async fn serve_metrics(core: Rc<Core>, listener: TcpListener) {
    serve(core, listener, metrics).await;
}

/// Answers other entries.
pub async fn serve_peers(entry: Entry, listener: TcpListener) {
    let core = Rc::clone(entry.core());
    accept_each(&core, listener, |stream| {
        let entry = entry.clone();
        spawn_local(async move { entry.serve_peer(stream).await });
    })
    .await;
}

async fn serve(core: Rc<Core>, listener: TcpListener, answer: Answer) {
    accept_each(&core, listener, |stream| {
        spawn_local(connection(Rc::clone(&core), stream, answer));
    })
    .await;
}

async fn connection(core: Rc<Core>, stream: TcpStream, answer: Answer) {
    let service = service_fn(|request| {
        let response = answer(&core, &request);
        async move { Ok::<_, Infallible>(response) }
    });
    // NB: a connection that breaks is opened again by whoever asks.
    let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
}

fn readiness(core: &Core, request: &Request<Incoming>) -> Response<AnswerBody> {
    let status = match request.uri().path() == core.dialect.readiness_path {
        false => StatusCode::NOT_FOUND,
        true if core.is_ready() => StatusCode::OK,
        true => StatusCode::SERVICE_UNAVAILABLE,
    };
    with_status(status, String::new())
}

fn metrics(core: &Core, request: &Request<Incoming>) -> Response<AnswerBody> {
    if request.uri().path() != METRICS_PATH {
        return with_status(StatusCode::NOT_FOUND, String::new());
    }
    with_status(StatusCode::OK, core.metrics_text())
}

fn with_status(status: StatusCode, text: String) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::whole(text));
    *response.status_mut() = status;
    response
}
