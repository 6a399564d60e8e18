//! Accepts callers' connections and serves the requests on them.

use std::{convert::Infallible, panic::AssertUnwindSafe, rc::Rc, time::Duration};

use futures::FutureExt;
use hyper::{
    HeaderMap, Request, Response, body::Incoming, header, server::conn::http1, service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use pondwalk_inbound::{Meter, MeteredStream};
use serde::Serialize;
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::{TcpListener, TcpStream},
    pin, select,
    task::spawn_local,
    time::sleep,
};

use super::{body::ResponseBody, lingering_close::LingeringClose, serve};
use crate::{
    core::{Core, ShutdownPhase},
    entry::Entry,
    event_log::LogPriority,
    latch::Latch,
    metrics::Counter,
    upstream::set_tcp_timeouts,
};

/// Delay after a failed accept, for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Size of a connection's read buffer beyond the maximum head, for the start of a body.
const BODY_BUFFER_BYTES: usize = 8 * 1024;
/// `TCP_USER_TIMEOUT` of a caller's connection. It also ends connections whose receive window stays
/// closed, so it is longer than any request's deadline: a caller that reads slowly is not cut.
const CALLER_TCP_USER_TIMEOUT: Duration = Duration::from_secs(30);
/// How many idle timeouts a connection may stay idle, so that a caller that reuses a connection
/// just before its own idle timeout does not find it closing.
const IDLE_TIMEOUT_FACTOR: u32 = 2;

/// Log event of the listener.
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
enum ListenEvent {
    AcceptFailed { error: String },
}

/// Accepts callers' connections until the process ends.
pub async fn accept(entry: Entry, listener: TcpListener) {
    let core = Rc::clone(entry.core());
    accept_loop(&core, listener, |stream| {
        // Setting an option fails only on a closed socket, which serving it reports.
        let _ = stream.set_nodelay(true);
        let _ = set_tcp_timeouts(&stream, CALLER_TCP_USER_TIMEOUT);
        let entry = entry.clone();
        spawn_local(async move { entry.serve(stream).await });
    })
    .await;
}

/// Passes each accepted connection to `take`; logs a failed accept and retries.
pub async fn accept_loop(core: &Core, listener: TcpListener, take: impl Fn(TcpStream)) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => take(stream),
            Err(error) => {
                let event = ListenEvent::AcceptFailed { error: error.to_string() };
                core.event_log.record(LogPriority::State, &event);
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Serves the requests on one connection, and no further ones once `closing` is set.
pub async fn serve_connection<I>(core: Rc<Core>, io: I, closing: Rc<Latch>)
where
    I: AsyncRead + AsyncWrite + Unpin + 'static,
{
    let limits = core.state.borrow().catalog.as_ref().map(|catalog| catalog.limits);
    let limits = limits.unwrap_or_default();
    let meter = Meter::new(core.request_limits());
    let deliveries = core.deliveries.connection();
    let service = service_fn(|request| {
        let (core, meter, deliveries) = (Rc::clone(&core), meter.clone(), deliveries.clone());
        async move {
            let id = id_text(&core, request.headers());
            let response = respond(core, meter, request).await;
            Ok::<_, Infallible>(deliveries.follow(id, response))
        }
    });
    let io = deliveries.count_writes(MeteredStream::new(io, &meter));
    let io = LingeringClose::new(io, &deliveries);
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout * IDLE_TIMEOUT_FACTOR)
        .max_buf_size(limits.max_header_bytes + BODY_BUFFER_BYTES)
        .serve_connection(TokioIo::new(io), service);
    pin!(connection);
    if closing.is_set() {
        // A late caller is served once, which closes the connection too. A graceful shutdown here
        // would close it before its request arrives.
        let _ = connection.await;
        return;
    }
    select! {
        // The end of the connection ends its request too, which logs it.
        _ = connection.as_mut() => return,
        () = closing.wait() => connection.as_mut().graceful_shutdown(),
    }
    let _ = connection.await;
}

/// Id of a request, or nothing if it has none.
fn id_text(core: &Core, headers: &HeaderMap) -> String {
    let id = headers.get(&core.dialect.request_id).and_then(|id| id.to_str().ok());
    id.unwrap_or_default().to_owned()
}

async fn respond(
    core: Rc<Core>,
    meter: Meter,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    core.metrics.count(Counter::Requests);
    meter.begin_message();
    meter.on_head();
    let arrived = core.clock.now();
    let serving = AssertUnwindSafe(serve::serve(&core, request, &meter));
    let mut response = match serving.catch_unwind().await {
        Ok(response) => response,
        Err(_) => serve::refuse_after_panic(&core, arrived),
    };
    meter.begin_message();
    if core.shutdown.get() != ShutdownPhase::Running {
        response
            .headers_mut()
            .insert(header::CONNECTION, header::HeaderValue::from_static("close"));
    }
    response
}
