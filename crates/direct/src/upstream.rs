//! One exchange with one backend server, on a connection of its own.
//!
//! NB: connections are not used twice. A backend server may leave surplus bytes behind an
//! answer or forget an idle connection without a word; a fresh connection rules both out, and
//! costs a round trip and a small price (docs/decisions/0012-connections.md).

use std::{future::Future, io, net::SocketAddr, pin::Pin, rc::Rc, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use pondwalk_decide::direct::UnreachableReason;
use socket2::{SockRef, TcpKeepalive};
use thiserror::Error;
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::TcpStream,
    task::{AbortHandle, spawn_local},
    time::{Instant, timeout_at},
};

/// Longest time for a connection to open. One opens in a few milliseconds; a first packet that
/// is dropped at a full queue is sent again only after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time after which unacknowledged bytes end a connection.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time without bytes after which a connection is probed, and between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Bytes of an answer that are read before anybody takes them; what a caller who reads slowly leaves beyond them
/// stays with the server.
const READ_BUFFER_BYTES: usize = 64 * 1024;

/// A two-way stream of bytes.
pub trait Duplex: AsyncRead + AsyncWrite + Unpin {}

impl<T: AsyncRead + AsyncWrite + Unpin> Duplex for T {}

/// An open connection.
pub type BoxedDuplex = Box<dyn Duplex>;
/// A connection being opened.
pub type Connecting = Pin<Box<dyn Future<Output = io::Result<BoxedDuplex>>>>;
/// Opens connections to backend servers.
pub type Connect = Rc<dyn Fn(SocketAddr) -> Connecting>;

/// Opens connections over TCP.
pub fn tcp_connector() -> Connect {
    Rc::new(|address| {
        Box::pin(async move {
            let stream = TcpStream::connect(address).await?;
            stream.set_nodelay(true)?;
            set_tcp_timeouts(&stream)?;
            Ok(Box::new(stream) as BoxedDuplex)
        })
    })
}

/// Why there is no answer.
#[derive(Debug, Error)]
pub enum SendError {
    /// No byte of the request left, since the server was not reached.
    #[error("the backend server cannot be reached: {detail}")]
    NotSent {
        /// Why it was not reached.
        why: UnreachableReason,
        /// What the system says.
        detail: String,
    },
    /// No byte of the request left, since it may no longer be sent there.
    #[error("the request may no longer be sent there")]
    Withheld,
    /// The request was sent; whether it ran is not known.
    #[error("the connection broke: {0}")]
    Broken(String),
    /// No head of an answer came in time; whether the request ran is not known.
    #[error("no answer began in time")]
    NoResponse,
}

/// Ends the connection when dropped, which makes the backend server stop the work.
#[derive(Debug)]
pub struct Connection {
    task: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The head of an answer, with the body to come.
#[derive(Debug)]
pub struct Exchange {
    /// Head and body.
    pub response: Response<Incoming>,
    /// The connection it comes on.
    pub connection: Connection,
}

/// Sends a request and waits for the head of the answer until `until`.
///
/// `may_send` is asked once the connection stands, right before the first byte leaves.
pub async fn send(
    connect: &Connect,
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    until: Instant,
    may_send: impl FnOnce() -> bool,
) -> Result<Exchange, SendError> {
    let limit = until.min(Instant::now() + CONNECT_TIMEOUT);
    let stream =
        timeout_at(limit, connect(address)).await.map_err(not_reached)?.map_err(connect_error)?;
    let handshake =
        http1::Builder::new().max_buf_size(READ_BUFFER_BYTES).handshake(TokioIo::new(stream));
    let handshake = handshake.await;
    let (mut sender, connection) = handshake.map_err(not_reached)?;
    if !may_send() {
        return Err(SendError::Withheld);
    }
    // NB: a failure of the connection reaches the exchange that waits on it.
    let task = spawn_local(async move { connection.await.unwrap_or_default() });
    let connection = Connection { task: task.abort_handle() };
    match timeout_at(until, sender.send_request(request)).await {
        Ok(Ok(response)) => Ok(Exchange { response, connection }),
        Ok(Err(error)) => Err(SendError::Broken(error.to_string())),
        Err(_) => Err(SendError::NoResponse),
    }
}

/// Lets a connection to a silent peer fail in seconds.
pub fn set_tcp_timeouts(stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    let probes =
        TcpKeepalive::new().with_time(KEEPALIVE_INTERVAL).with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))
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
