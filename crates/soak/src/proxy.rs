//! A TCP proxy between two processes that can stall or reset its connections.

use std::{
    cell::{Cell, RefCell},
    io,
    net::SocketAddr,
    rc::{Rc, Weak},
    time::Duration,
};

use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::Notify,
    task::spawn_local,
    time::sleep,
};

/// Size of the copy buffer.
const BUFFER_BYTES: usize = 16 * 1024;
/// Time after which the proxy closes a stalled connection. Both ends must have closed it long before.
const SILENT_CONNECTION_TTL: Duration = Duration::from_secs(60);

/// Beginning of a response without an end.
const FLOOD_START: &[u8] = b"HTTP/1.1 200 OK\r\n\r\n{\"entries\":[";
/// Bytes that a response without an end offers.
const FLOOD_BYTES: usize = 64 * 1024 * 1024;

/// A response that rejects a request.
const REJECTION: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

/// How connections are rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rejection {
    /// Each request gets 503.
    Busy,
    /// Connections are reset.
    Reset,
    /// Nothing is sent.
    Silent,
}

/// Faults injected into one connection.
#[derive(Debug, Default)]
struct ConnectionState {
    is_silent: Cell<bool>,
    is_reset: Cell<bool>,
    changed: Notify,
}

/// Forwards connections to one address.
#[derive(Debug)]
pub struct Proxy {
    upstream: SocketAddr,
    /// Whether connections are answered without an end in place of the upstream.
    is_flooding: Cell<bool>,
    /// How connections are rejected in place of the upstream, if they are.
    rejection: Cell<Option<Rejection>>,
    open: RefCell<Vec<Weak<ConnectionState>>>,
}

impl Proxy {
    /// Listens at `listen_address` and forwards connections to `upstream`, on local tasks of the current thread.
    pub async fn start(listen_address: SocketAddr, upstream: SocketAddr) -> io::Result<Rc<Self>> {
        let listener = TcpListener::bind(listen_address).await?;
        let proxy = Rc::new(Proxy {
            upstream,
            is_flooding: Cell::new(false),
            rejection: Cell::new(None),
            open: RefCell::default(),
        });
        let weak_proxy = Rc::downgrade(&proxy);
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let Some(proxy) = weak_proxy.upgrade() else { return };
                if proxy.is_flooding.get() {
                    spawn_local(flood(stream));
                    continue;
                }
                if let Some(rejection) = proxy.rejection.get() {
                    spawn_local(reject(stream, rejection));
                    continue;
                }
                let state = Rc::new(ConnectionState::default());
                proxy.open.borrow_mut().push(Rc::downgrade(&state));
                spawn_local(forward(stream, proxy.upstream, state));
            }
        });
        Ok(proxy)
    }

    /// Stalls all open connections; new ones work.
    pub fn silence(&self) {
        self.update_all(|state| state.is_silent.set(true));
    }

    /// Resets all open connections.
    pub fn reset(&self) {
        self.update_all(|state| state.is_reset.set(true));
    }

    /// Answers all connections without an end for `time`.
    pub async fn flood(&self, time: Duration) {
        self.is_flooding.set(true);
        self.reset();
        sleep(time).await;
        self.is_flooding.set(false);
    }

    /// Rejects all connections for `time`, open ones too.
    pub async fn reject(&self, rejection: Rejection, time: Duration) {
        self.rejection.set(Some(rejection));
        match rejection {
            Rejection::Busy | Rejection::Reset => self.reset(),
            Rejection::Silent => self.silence(),
        }
        sleep(time).await;
        self.rejection.set(None);
    }

    fn update_all(&self, update: impl Fn(&ConnectionState)) {
        for state in self.open.borrow_mut().drain(..).filter_map(|state| state.upgrade()) {
            update(&state);
            state.changed.notify_one();
        }
    }
}

/// Rejects the first request on a connection, which no later one may use.
async fn reject(mut client: TcpStream, rejection: Rejection) {
    let mut request = [0; 4_096];
    match rejection {
        Rejection::Busy => {
            if client.read(&mut request).await.is_ok_and(|bytes| bytes > 0) {
                // The client may have closed the connection.
                let _ = client.write_all(REJECTION).await;
            }
        }
        Rejection::Reset => reset(&client),
        Rejection::Silent => sleep(SILENT_CONNECTION_TTL).await,
    }
}

/// Answers a request without an end.
async fn flood(mut client: TcpStream) {
    let mut request = [0; 4_096];
    if !client.read(&mut request).await.is_ok_and(|bytes| bytes > 0) {
        return;
    }
    let block = vec![b' '; BUFFER_BYTES];
    let mut sent = client.write_all(FLOOD_START).await;
    for _ in 0..FLOOD_BYTES / BUFFER_BYTES {
        // The client may close the connection at any time.
        if sent.is_err() {
            return;
        }
        sent = client.write_all(&block).await;
    }
    sleep(SILENT_CONNECTION_TTL).await;
}

async fn forward(mut client: TcpStream, upstream: SocketAddr, state: Rc<ConnectionState>) {
    let Ok(mut server) = TcpStream::connect(upstream).await else {
        // The connection is accepted already: a reset comes closest to a refusal by the absent upstream.
        return reset(&client);
    };
    // Nagle's algorithm would add delays between the two ends.
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    // Owned halves would shut the connection down in order when dropped, before the reset.
    let (mut client_read, mut client_write) = client.split();
    let (mut server_read, mut server_write) = server.split();
    let both_directions = async {
        tokio::join!(
            copy(&mut client_read, &mut server_write),
            copy(&mut server_read, &mut client_write)
        );
    };
    tokio::select! {
        () = both_directions => return,
        () = state.changed.notified() => {}
    }
    if state.is_silent.get() {
        sleep(SILENT_CONNECTION_TTL).await;
    }
    if state.is_reset.get() {
        reset(&client);
        reset(&server);
    }
}

/// Copies bytes until the reader reaches its end, then shuts the writer down.
async fn copy(reader: &mut (impl AsyncRead + Unpin), writer: &mut (impl AsyncWrite + Unpin)) {
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok(bytes) = reader.read(&mut buffer).await {
        if bytes == 0 || writer.write_all(&buffer[..bytes]).await.is_err() {
            break;
        }
    }
    // The other end may have closed the connection.
    let _ = writer.shutdown().await;
}

/// Makes the connection close with a reset when it is dropped.
fn reset(stream: &TcpStream) {
    // Fails on a closed connection, where nothing is left to reset.
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}
