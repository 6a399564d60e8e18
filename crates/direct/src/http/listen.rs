//! Accepts callers' connections and answers the requests on them.

use std::{cell::Cell, convert::Infallible, rc::Rc, time::Duration};

use hyper::{Request, body::Incoming, header, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::Serialize;
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::{TcpListener, TcpStream},
    pin, select,
    sync::Notify,
    task::spawn_local,
    time::sleep,
};

use super::serve;
use crate::{
    core::{Core, ShutdownPhase},
    entry::Entry,
    event_log::LogPriority,
    metrics::Counter,
    upstream::set_tcp_timeouts,
};

/// Pause after a failed accept, such as when descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Room in the buffer of a connection beyond the head, for the start of a body.
const HEAD_ROOM: usize = 8 * 1024;
/// How many idle times a connection may rest before it is closed, so that a caller that uses
/// its own whole idle time does not meet a closing connection.
const IDLE_FACTOR: u32 = 2;

/// A fault of the listener.
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
enum ListenEvent {
    AcceptFailed { error: String },
}

/// Tells connections that no further request is taken on them.
#[derive(Debug, Default)]
pub struct Gate {
    closed: Cell<bool>,
    changed: Notify,
}

impl Gate {
    /// Lets all connections end after the request they are on.
    pub fn close(&self) {
        self.closed.set(true);
        self.changed.notify_waiters();
    }

    async fn wait_closed(&self) {
        let changed = self.changed.notified();
        if !self.closed.get() {
            changed.await;
        }
    }
}

/// Accepts callers' connections for as long as the process runs.
pub async fn accept(entry: Entry, listener: TcpListener) {
    let core = Rc::clone(entry.core());
    accept_each(&core, listener, |stream| {
        // NB: a socket that takes no options has been closed already; serving it finds that out.
        let _ = stream.set_nodelay(true);
        let _ = set_tcp_timeouts(&stream);
        let entry = entry.clone();
        spawn_local(async move { entry.serve(stream).await });
    })
    .await;
}

/// Hands each connection that arrives on; a failed accept is logged and tried again.
pub async fn accept_each(core: &Core, listener: TcpListener, take: impl Fn(TcpStream)) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => take(stream),
            Err(error) => {
                let event = ListenEvent::AcceptFailed { error: error.to_string() };
                core.event_log.record(LogPriority::State, &event);
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Answers the requests on one connection.
pub async fn connection<I>(core: Rc<Core>, io: I, gate: Rc<Gate>)
where
    I: AsyncRead + AsyncWrite + Unpin + 'static,
{
    let limits = core.state.borrow().catalog.as_ref().map(|catalog| catalog.limits);
    let limits = limits.unwrap_or_default();
    let service = service_fn(|request| answer(Rc::clone(&core), request));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout * IDLE_FACTOR)
        .max_buf_size(limits.max_header_bytes + HEAD_ROOM)
        .serve_connection(TokioIo::new(io), service);
    pin!(connection);
    if gate.closed.get() {
        // NB: a caller that comes late is answered once, which ends the connection too; it would
        // otherwise be closed before its request is here.
        let _ = connection.await;
        return;
    }
    select! {
        // NB: whatever ends a connection early ends its request too, which logs it.
        _ = connection.as_mut() => return,
        () = gate.wait_closed() => connection.as_mut().graceful_shutdown(),
    }
    let _ = connection.await;
}

async fn answer(
    core: Rc<Core>,
    request: Request<Incoming>,
) -> Result<hyper::Response<super::body::AnswerBody>, Infallible> {
    core.metrics.count(Counter::Requests);
    let mut response = serve::serve(&core, request).await;
    if core.shutdown.get() != ShutdownPhase::Running {
        response
            .headers_mut()
            .insert(header::CONNECTION, header::HeaderValue::from_static("close"));
    }
    Ok(response)
}
