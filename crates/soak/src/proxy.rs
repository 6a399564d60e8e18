//! A way between two processes, which can go silent or be reset.

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

/// Bytes passed on at once.
const PIECE_BYTES: usize = 16 * 1024;
/// Time after which a connection that has gone silent is dropped here too; both ends must have given it
/// up long before.
const SILENCE: Duration = Duration::from_secs(60);

/// What happens to one connection.
#[derive(Debug, Default)]
struct Fate {
    is_silent: Cell<bool>,
    is_reset: Cell<bool>,
    changed: Notify,
}

/// Passes connections on to one address.
#[derive(Debug)]
pub struct Proxy {
    to: SocketAddr,
    open: RefCell<Vec<Weak<Fate>>>,
}

impl Proxy {
    /// Listens at `at`, on the current thread's local tasks.
    pub async fn start(at: SocketAddr, to: SocketAddr) -> io::Result<Rc<Self>> {
        let listener = TcpListener::bind(at).await?;
        let proxy = Rc::new(Proxy { to, open: RefCell::default() });
        let taking = Rc::downgrade(&proxy);
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let Some(proxy) = taking.upgrade() else { return };
                let fate = Rc::new(Fate::default());
                proxy.open.borrow_mut().push(Rc::downgrade(&fate));
                spawn_local(pass_on(stream, proxy.to, fate));
            }
        });
        Ok(proxy)
    }

    /// Lets all open connections say nothing any more; new ones work.
    pub fn silence(&self) {
        self.decide(|fate| fate.is_silent.set(true));
    }

    /// Resets all open connections.
    pub fn reset(&self) {
        self.decide(|fate| fate.is_reset.set(true));
    }

    fn decide(&self, how: impl Fn(&Fate)) {
        for fate in self.open.borrow_mut().drain(..).filter_map(|fate| fate.upgrade()) {
            how(&fate);
            fate.changed.notify_one();
        }
    }
}

async fn pass_on(mut near: TcpStream, to: SocketAddr, fate: Rc<Fate>) {
    let Ok(mut far) = TcpStream::connect(to).await else {
        // NB: what is not there refuses; the nearest to it is a reset.
        return reset(&near);
    };
    // NB: without it the two ends would see each other's pauses.
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    // NB: halves that own the connection would end it in order when dropped, before the reset.
    let (mut near_read, mut near_write) = near.split();
    let (mut far_read, mut far_write) = far.split();
    let both_ways = async {
        tokio::join!(copy(&mut near_read, &mut far_write), copy(&mut far_read, &mut near_write));
    };
    tokio::select! {
        () = both_ways => return,
        () = fate.changed.notified() => {}
    }
    if fate.is_silent.get() {
        sleep(SILENCE).await;
    }
    if fate.is_reset.get() {
        reset(&near);
        reset(&far);
    }
}

/// Passes bytes on until the reader ends, and then says so.
async fn copy(from: &mut (impl AsyncRead + Unpin), to: &mut (impl AsyncWrite + Unpin)) {
    let mut piece = vec![0; PIECE_BYTES];
    while let Ok(bytes) = from.read(&mut piece).await {
        if bytes == 0 || to.write_all(&piece[..bytes]).await.is_err() {
            break;
        }
    }
    // NB: the other end may have gone.
    let _ = to.shutdown().await;
}

/// Lets the connection end with a reset once it is dropped.
fn reset(stream: &TcpStream) {
    // NB: on one that has ended there is nothing left to reset.
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}
