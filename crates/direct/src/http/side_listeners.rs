//! Listeners for readiness checks of the load balancer, metrics for operators, and other entries.

use std::{convert::Infallible, rc::Rc, time::Duration};

use hyper::{
    Request, Response, StatusCode, body::Incoming, server::conn::http1, service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpStream},
    task::spawn_local,
};

use super::{body::ResponseBody, listen::accept_loop};
use crate::{core::Core, entry::Entry};

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";
/// Time for the head of a request, and between two requests on a connection.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);
/// Read buffer size of a connection, which is also the maximum size of a request's head.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// Handler of one of these listeners.
type Handler = fn(&Core, &Request<Incoming>) -> Response<ResponseBody>;

/// Serves readiness checks.
pub async fn serve_readiness(core: Rc<Core>, listener: TcpListener) {
    serve(core, listener, readiness).await;
}

/// Serves metrics.
pub async fn serve_metrics(core: Rc<Core>, listener: TcpListener) {
    serve(core, listener, metrics).await;
}

/// Serves other entries.
pub async fn serve_peers(entry: Entry, listener: TcpListener) {
    let core = Rc::clone(entry.core());
    accept_loop(&core, listener, |stream| {
        let entry = entry.clone();
        spawn_local(async move { entry.serve_peer(stream).await });
    })
    .await;
}

async fn serve(core: Rc<Core>, listener: TcpListener, handler: Handler) {
    accept_loop(&core, listener, |stream| {
        spawn_local(serve_connection(Rc::clone(&core), stream, handler));
    })
    .await;
}

async fn serve_connection(core: Rc<Core>, stream: TcpStream, handler: Handler) {
    let deliveries = core.deliveries.connection();
    let service = service_fn(|request: Request<Incoming>| {
        let path = request.uri().path().to_owned();
        let response = deliveries.follow(path, handler(&core, &request));
        async move { Ok::<_, Infallible>(response) }
    });
    let io = deliveries.count_writes(stream);
    // The client reopens a connection that breaks.
    let _ = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(READ_BUFFER_BYTES)
        .serve_connection(TokioIo::new(io), service)
        .await;
}

fn readiness(core: &Core, request: &Request<Incoming>) -> Response<ResponseBody> {
    let status = match request.uri().path() == core.dialect.readiness_path {
        false => StatusCode::NOT_FOUND,
        true if core.is_ready() => StatusCode::OK,
        true => StatusCode::SERVICE_UNAVAILABLE,
    };
    with_status(status, String::new())
}

fn metrics(core: &Core, request: &Request<Incoming>) -> Response<ResponseBody> {
    if request.uri().path() != METRICS_PATH {
        return with_status(StatusCode::NOT_FOUND, String::new());
    }
    with_status(StatusCode::OK, core.metrics_text())
}

fn with_status(status: StatusCode, text: String) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::whole(text));
    *response.status_mut() = status;
    response
}
