//! Many entries in one world, and the ways between them.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    io,
    net::SocketAddr,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::Duration,
};

use pondwalk_direct::{
    Entry,
    membership::{FORMAT, Replica, StateHead, StateMessage},
    upstream::{BoxedDuplex, Connect, Connecting},
};
use pondwalk_store::{Position, StoreEntry};
use tokio::{
    io::{AsyncRead, AsyncWrite, DuplexStream, ReadBuf, duplex},
    task::spawn_local,
    time::sleep,
};

use super::World;

/// Address at which the n-th entry answers others.
pub fn peer_address(n: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 5_000 + n))
}

/// A whole state with these keys, all last changed at its revision, as another entry of these tests tells it.
pub fn whole_state(keys: &[(&str, &str)], revision: u64) -> StateMessage {
    let entry = |(key, value): &(&str, &str)| StoreEntry {
        key: (*key).to_owned(),
        value: value.as_bytes().to_vec(),
        revision,
    };
    let mut replica = Replica::default();
    let position = Position { era: 0, revision };
    replica.reset(&keys.iter().map(entry).collect::<Vec<_>>(), position);
    let head = StateHead {
        format: FORMAT,
        store: "127.0.0.1:3".parse().expect("the store of these tests"),
        incarnation: 1,
        now: Duration::from_secs(9),
        confirmed: Duration::from_secs(9),
        store_returned: None,
        store_takes: Duration::ZERO,
        turn: revision,
        position,
        whole: true,
        body_bytes: 0,
        news_end: 0,
    };
    StateMessage { head, body: replica.packed_state().expect("it packs"), gossip: Vec::new() }
}

/// Addresses of the first three entries, by which others find them.
fn seeds() -> String {
    let seeds: Vec<String> = (0..3).map(|n| peer_address(n).to_string()).collect();
    seeds.join(",")
}

/// Answers on a connection in an entry's place.
pub type Impostor = Rc<dyn Fn(DuplexStream)>;

/// Lets entries reach one another, as far as they are not cut off.
#[derive(Clone, Default)]
pub struct Net {
    entries: Rc<RefCell<HashMap<SocketAddr, Entry>>>,
    /// Entries to which no new connection opens.
    pub cut: Rc<RefCell<Vec<SocketAddr>>>,
    /// Who answers at an address in an entry's place.
    pub impostors: Rc<RefCell<HashMap<SocketAddr, Impostor>>>,
    /// Side of each entry while the entries are split in two.
    sides: Rc<RefCell<HashMap<SocketAddr, bool>>>,
    /// Rises when all open connections go silent.
    silences: Rc<Cell<u32>>,
}

/// A connection that says nothing any more once it has been silenced.
struct Silenceable {
    inner: DuplexStream,
    opened_at: u32,
    silences: Rc<Cell<u32>>,
}

impl Silenceable {
    fn is_silent(&self) -> bool {
        self.opened_at != self.silences.get()
    }
}

impl AsyncRead for Silenceable {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.is_silent() {
            return Poll::Pending;
        }
        Pin::new(&mut self.inner).poll_read(context, buffer)
    }
}

impl AsyncWrite for Silenceable {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.is_silent() {
            // NB: what is written is lost on the way.
            return Poll::Ready(Ok(bytes.len()));
        }
        Pin::new(&mut self.inner).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}

impl Net {
    fn connect(&self, world: &World, from: SocketAddr) -> Connect {
        let net = self.clone();
        let backends = world.backends.clone();
        Rc::new(move |address| {
            let (net, backends) = (net.clone(), backends.clone());
            let opening = async move {
                if net.is_cut(from, address) {
                    std::future::pending::<()>().await;
                }
                let impostor = net.impostors.borrow().get(&address).cloned();
                let entry = net.entries.borrow().get(&address).cloned();
                let (near, far) = duplex(64 * 1024);
                match (impostor, entry) {
                    (Some(impostor), _) => impostor(far),
                    (None, Some(entry)) => {
                        spawn_local(async move { entry.serve_peer(far).await });
                    }
                    (None, None) => return Ok(Box::new(backends.connect(address)?) as BoxedDuplex),
                }
                let silences = Rc::clone(&net.silences);
                let opened_at = silences.get();
                Ok(Box::new(Silenceable { inner: near, opened_at, silences }) as BoxedDuplex)
            };
            Box::pin(opening) as Connecting
        })
    }

    fn is_cut(&self, from: SocketAddr, to: SocketAddr) -> bool {
        let sides = self.sides.borrow();
        let crosses = sides.get(&from) != sides.get(&to) && sides.contains_key(&to);
        crosses || self.cut.borrow().contains(&to)
    }

    /// Starts an entry with a way of its own to the store.
    pub async fn start(&self, world: &World, n: u16) -> Entry {
        let entry = self.start_with(world, n, "");
        sleep(Duration::from_millis(20)).await;
        entry
    }

    /// Starts an entry at once, with further lines in its settings.
    pub fn start_with(&self, world: &World, n: u16, further: &str) -> Entry {
        let address = peer_address(n);
        let settings =
            super::settings_with(&format!("e{n}"), &format!("peers={address}\n{further}"));
        let entry = world.entry_with(settings, self.connect(world, address));
        self.entries.borrow_mut().insert(address, entry.clone());
        entry.start();
        entry
    }

    /// Starts so many entries at once, of which the first three are the seeds.
    pub fn start_many(&self, world: &World, count: u16, further: &str) -> Vec<Entry> {
        let further = format!("[membership]\nseeds={}\n{further}", seeds());
        (0..count).map(|n| self.start_with(world, n, &further)).collect()
    }

    /// Starts another entry beside those of [`Net::start_many`].
    pub fn start_later(&self, world: &World, n: u16) -> Entry {
        self.start_with(world, n, &format!("[membership]\nseeds={}\n", seeds()))
    }

    /// Ends an entry: nobody can open a connection to it any more.
    pub fn end(&self, n: u16) {
        self.entries.borrow_mut().remove(&peer_address(n));
        self.cut.borrow_mut().push(peer_address(n));
    }

    /// Lets all connections that are open say nothing any more; new ones work.
    pub fn silence_open_connections(&self) {
        self.silences.set(self.silences.get() + 1);
    }

    /// Splits the entries: the first `count` reach only one another, and so do the others.
    pub fn split(&self, count: u16) {
        let first: Vec<SocketAddr> = (0..count).map(peer_address).collect();
        let all: Vec<SocketAddr> = self.entries.borrow().keys().copied().collect();
        *self.sides.borrow_mut() =
            all.into_iter().map(|address| (address, first.contains(&address))).collect();
        self.silence_open_connections();
    }
}
