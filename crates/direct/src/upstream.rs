//! A single exchange with a backend server, on a connection of its own.
//!
//! Connections are not reused. A backend server may send surplus bytes after an answer or drop an
//! idle connection silently; a new connection avoids both and costs a round trip and a small
//! overhead (docs/decisions/0012-connections.md).

use std::{
    future::Future,
    io,
    net::SocketAddr,
    pin::{Pin, pin},
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Request, Response, StatusCode,
    body::Incoming,
    client::conn::http1,
    header::{CONTENT_LENGTH, TRANSFER_ENCODING},
    http::response::Parts,
};
use hyper_util::rt::TokioIo;
use pondwalk_decide::direct::UnreachableReason;
use pondwalk_inbound::{MessageLimits, MessagePart, Meter, MeteredStream, PacedBody, Pacer};
use socket2::{SockRef, TcpKeepalive};
use thiserror::Error;
use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite},
    net::TcpStream,
    task::{AbortHandle, spawn_local},
    time::{Instant, timeout, timeout_at},
};

/// Connect timeout. A connection opens in a few milliseconds; a SYN dropped at a full queue is
/// retransmitted only after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout of a check whether a server accepts connections.
const LISTENER_CHECK_TIMEOUT: Duration = Duration::from_millis(100);
/// Time in which a proxy closes a connection to a server that is down.
const PROXY_CLOSE_TIMEOUT: Duration = Duration::from_millis(30);
/// `TCP_USER_TIMEOUT` of a connection to a server.
const SERVER_TCP_USER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Idle time before TCP keepalive probes, and interval between them.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Read buffer size; when a caller reads slowly, the rest of the answer stays at the server.
const READ_BUFFER_BYTES: usize = 64 * 1024;
/// Maximum number of bytes up to the end of the final head. Informational responses before it count,
/// and so do the first bytes of the body, which arrive together with it.
const MAX_HEAD_BYTES: u64 = 2 * READ_BUFFER_BYTES as u64;

/// A bidirectional byte stream.
pub trait Duplex: AsyncRead + AsyncWrite + Unpin {}

impl<T: AsyncRead + AsyncWrite + Unpin> Duplex for T {}

/// An open connection.
pub type BoxedDuplex = Box<dyn Duplex>;
/// Future of a connection attempt.
pub type Connecting = Pin<Box<dyn Future<Output = io::Result<BoxedDuplex>>>>;
/// Opens connections to backend servers.
pub type Connect = Rc<dyn Fn(SocketAddr) -> Connecting>;

/// Connects over TCP.
pub fn tcp_connector() -> Connect {
    Rc::new(|address| {
        Box::pin(async move {
            let stream = TcpStream::connect(address).await?;
            stream.set_nodelay(true)?;
            set_tcp_timeouts(&stream, SERVER_TCP_USER_TIMEOUT)?;
            Ok(Box::new(stream) as BoxedDuplex)
        })
    })
}

/// Why there is no response.
#[derive(Debug, Error)]
pub enum SendError {
    /// Nothing was sent, since the server was not reached.
    #[error("cannot reach the backend server: {detail}")]
    NotSent {
        /// How the connection attempt failed.
        why: UnreachableReason,
        /// Underlying error.
        detail: String,
    },
    /// Nothing was sent, since the request may no longer be sent to this server.
    #[error("the request may no longer be sent to this server")]
    Withheld,
    /// The request was sent; whether it ran is unknown.
    #[error("the connection broke: {0}")]
    Broken(String),
    /// The server sent something that is no response; whether the request ran is unknown.
    #[error("no response in the protocol: {0}")]
    Invalid(String),
    /// The response became longer than allowed before its head was complete; whether the request ran
    /// is unknown.
    #[error("no response head within {bytes} bytes")]
    HeadTooLong {
        /// Bytes received.
        bytes: u64,
    },
    /// No response head arrived in time; whether the request ran is unknown.
    #[error("no response started in time")]
    NoResponse,
}

/// Closes the connection when dropped, which makes the backend server cancel the work.
#[derive(Debug)]
pub struct Connection {
    task: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// A response head with the body to come.
#[derive(Debug)]
pub struct Exchange {
    /// Head and body.
    pub response: Response<Incoming>,
    /// Connection that the body arrives on.
    pub connection: Connection,
    /// Counts the bytes of the response.
    pub meter: Meter,
}

/// The body of a stream.
#[derive(Debug)]
pub struct StreamBody {
    /// The body's frames.
    pub frames: PacedBody<Incoming>,
    /// Whether only the end of the connection ends the body.
    pub ends_with_connection: bool,
    /// Counts the bytes of the response.
    pub meter: Meter,
    _connection: Connection,
}

impl StreamBody {
    /// Splits an exchange into the response's head and body.
    ///
    /// What exceeds `free_bytes` is read at the rate of the pacer.
    pub fn split(exchange: Exchange, free_bytes: usize, pacer: &Rc<Pacer>) -> (Parts, Self) {
        let ends_with_connection = ends_with_connection(&exchange.response);
        let Exchange { response, connection, meter } = exchange;
        let (parts, frames) = response.into_parts();
        let frames = PacedBody::new(frames, free_bytes, pacer, &meter);
        (parts, StreamBody { frames, ends_with_connection, meter, _connection: connection })
    }
}

/// Sends a request and waits for the response head until `until`. The response is read within
/// `limits`.
///
/// `may_send` is called once the connection is open, right before the first byte is sent. `extend`
/// is called when the time is over, and may return a later time until which to wait.
pub async fn send(
    connect: &Connect,
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    limits: MessageLimits,
    until: Instant,
    may_send: impl FnOnce() -> bool,
    mut extend: impl FnMut() -> Option<Instant>,
) -> Result<Exchange, SendError> {
    let limit = until.min(Instant::now() + CONNECT_TIMEOUT);
    let stream =
        timeout_at(limit, connect(address)).await.map_err(not_reached)?.map_err(connect_error)?;
    let meter = Meter::new(limits);
    let stream = TokioIo::new(MeteredStream::new(stream, &meter));
    let handshake = http1::Builder::new().max_buf_size(READ_BUFFER_BYTES).handshake(stream);
    let handshake = handshake.await;
    let (mut sender, connection) = handshake.map_err(not_reached)?;
    if !may_send() {
        return Err(SendError::Withheld);
    }
    // A failure of the connection reaches the pending exchange.
    let task = spawn_local(async move { connection.await.unwrap_or_default() });
    let connection = Connection { task: task.abort_handle() };
    let mut response = pin!(sender.send_request(request));
    let mut until = until;
    loop {
        match timeout_at(until, &mut response).await {
            Ok(Ok(response)) => {
                meter.on_head();
                return Ok(Exchange { response, connection, meter });
            }
            Ok(Err(error)) => return Err(head_error(&error, &meter)),
            Err(_) => until = extend().ok_or(SendError::NoResponse)?,
        }
    }
}

fn head_error(error: &hyper::Error, meter: &Meter) -> SendError {
    if error.is_parse_too_large() || meter.exceeded_in() == Some(MessagePart::Head) {
        return SendError::HeadTooLong { bytes: meter.bytes() };
    }
    match error.is_parse() {
        true => SendError::Invalid(error.to_string()),
        false => SendError::Broken(error.to_string()),
    }
}

/// Whether a response may have this status. Others are no answer for callers: informational ones
/// announce one, and those from 600 on are undefined.
pub fn is_final_status(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Limits of responses with bodies of at most `max_body_bytes`, of which `unpaced_bytes` are read at
/// any rate.
pub fn response_limits(
    max_body_bytes: usize,
    unpaced_bytes: usize,
    pacer: &Rc<Pacer>,
) -> MessageLimits {
    MessageLimits {
        head_bytes: MAX_HEAD_BYTES,
        message_bytes: MAX_HEAD_BYTES + max_body_bytes as u64,
        pace: Some((MAX_HEAD_BYTES + unpaced_bytes as u64, Rc::clone(pacer))),
    }
}

/// Whether a server accepts connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListenerState {
    /// A connection opened.
    Accepts,
    /// Nothing listens at the address.
    Refuses,
    /// A connection neither opened nor was refused in time.
    Unknown,
}

/// Checks whether a server accepts connections.
pub async fn check_listener(connect: &Connect, address: SocketAddr) -> ListenerState {
    match timeout(LISTENER_CHECK_TIMEOUT, connect(address)).await {
        Ok(Ok(_)) => ListenerState::Accepts,
        Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
            ListenerState::Refuses
        }
        _ => ListenerState::Unknown,
    }
}

/// Checks whether a server keeps a connection open that it accepts. A proxy in front of a server
/// accepts connections and closes them at once while the server is down.
pub async fn keeps_connections(connect: &Connect, address: SocketAddr) -> bool {
    match timeout(LISTENER_CHECK_TIMEOUT, connect(address)).await {
        Ok(Ok(mut stream)) => timeout(PROXY_CLOSE_TIMEOUT, stream.read(&mut [0])).await.is_err(),
        _ => false,
    }
}

/// Whether a response has neither a length nor chunks, so that only its connection ends it.
pub fn ends_with_connection<B>(response: &Response<B>) -> bool {
    let (status, headers) = (response.status(), response.headers());
    let has_no_body = matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    !has_no_body
        && !headers.contains_key(CONTENT_LENGTH)
        && !headers.contains_key(TRANSFER_ENCODING)
}

/// Makes connections to unresponsive peers fail after `user_timeout`: with keepalive probes or data
/// that the peer does not acknowledge, or with a receive window that it keeps closed.
pub fn set_tcp_timeouts(stream: &TcpStream, user_timeout: Duration) -> io::Result<()> {
    let socket = SockRef::from(stream);
    let probes =
        TcpKeepalive::new().with_time(KEEPALIVE_INTERVAL).with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(user_timeout))
}

fn connect_error(error: io::Error) -> SendError {
    match error.kind() {
        io::ErrorKind::ConnectionRefused => {
            SendError::NotSent { why: UnreachableReason::Refused, detail: error.to_string() }
        }
        _ => not_reached(error),
    }
}

fn not_reached(error: impl ToString) -> SendError {
    SendError::NotSent { why: UnreachableReason::TimedOut, detail: error.to_string() }
}
