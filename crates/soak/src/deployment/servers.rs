//! Backend servers, and what is done to them.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use anyhow::ensure;
use nix::sys::signal::Signal;
use pondwalk_standin::platform_store::{ServerEntry, server_entry};
use tokio::{
    io::{AsyncBufReadExt, BufReader},
    net::TcpStream,
    process::ChildStdout,
    task::spawn_local,
    time::{Instant, sleep},
};

use super::{Deployment, READY_LOOK, START_LIMIT};
use crate::{
    checks::COLD_TIME,
    child::Child,
    proxy::Proxy,
    records::{RunRecord, Span, now_us},
};

/// Time for which a server works on after it has said that it leaves.
const LEAVING: Duration = Duration::from_secs(4);
/// Time between two words of a server on itself.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Time until a server that ended by itself starts again.
pub const SERVER_RESTART: Duration = Duration::from_secs(1);
/// Time between two looks at whether one has.
const END_LOOK: Duration = Duration::from_millis(20);
/// Data centres that servers stand in, in turn.
pub const DATA_CENTRES: usize = 3;
/// What another writer may leave among the servers' entries.
const LITTER: [&str; 5] = [
    "",
    "no JSON",
    r#"{"backend":"plain","address":"127.0.0.1:9"}"#,
    r#"{"backend":"plain","address":"127.0.0.1:9","zone":"dc1","version":"v1","capacity":-1,"state":"ready","warmup_left_ms":0,"sequence":1}"#,
    r#"{"backend":"plain","address":"127.0.0.1:9","zone":"dc1","version":"v1","capacity":9,"state":"resting","warmup_left_ms":0,"sequence":1}"#,
];

/// One backend server.
pub struct ServerSlot {
    child: Child,
    id: String,
    /// Way by which it is reached, its address, and that of the server itself.
    way: Rc<Proxy>,
    address: SocketAddr,
    behind: SocketAddr,
    born_ms: u64,
}

impl Deployment {
    /// Lets all open connections to a server go silent.
    pub fn silence_server(&self, place: usize) {
        if let Some(server) = &self.servers.borrow()[place] {
            server.way.silence();
        }
    }

    /// A server says that it leaves, goes, and another comes in its place.
    pub async fn replace(&self, place: usize) -> anyhow::Result<()> {
        let Some(server) = self.servers.borrow_mut()[place].take() else { return Ok(()) };
        let word = ServerEntry { is_ready: false, ..word(&server, place) };
        let (key, value) = server_entry(&word);
        self.put(&key, value.to_string()).await?;
        self.records.borrow_mut().left_us.insert(server.id.clone(), now_us());
        self.give_way(server, place).await
    }

    /// A server says in its answers alone that it leaves, goes, and another comes in its place.
    pub async fn leave_by_word(&self, place: usize) -> anyhow::Result<()> {
        let Some(server) = self.servers.borrow_mut()[place].take() else { return Ok(()) };
        server.child.signal(Signal::SIGUSR1);
        self.give_way(server, place).await
    }

    /// Another server comes in the place of one that leaves, which serves on for a while.
    async fn give_way(&self, server: ServerSlot, place: usize) -> anyhow::Result<()> {
        self.records.borrow_mut().replaced.insert(server.id.clone());
        let next = self.start_server(place).await?;
        self.servers.borrow_mut()[place] = Some(next);
        sleep(LEAVING).await;
        let (key, _) = server_entry(&word(&server, place));
        self.remove(&key).await?;
        // NB: what it runs is told until the end, so it goes on a while longer.
        sleep(LEAVING).await;
        drop((server.child, server.way));
        Ok(())
    }

    /// A server turns everything away for a while, and asks for pauses.
    pub fn turn_away(&self, place: usize) {
        if let Some(server) = &self.servers.borrow()[place] {
            server.child.signal(Signal::SIGUSR2);
        }
    }

    /// A server names a rate limit in its answers for a while.
    pub fn limit(&self, place: usize) {
        if let Some(server) = &self.servers.borrow()[place] {
            server.child.signal(Signal::SIGHUP);
        }
    }

    /// A server turns cold and says so, until it is warm again.
    pub async fn cool(&self, place: usize) -> anyhow::Result<()> {
        let Some(server) = self.servers.borrow_mut()[place].take() else { return Ok(()) };
        self.warm_up(server, place).await
    }

    /// A server is killed, and starts again some time later under the identity that it had.
    pub async fn kill_server(&self, place: usize, time: Duration) -> anyhow::Result<()> {
        let Some(server) = self.servers.borrow_mut()[place].take() else { return Ok(()) };
        server.child.signal(Signal::SIGKILL);
        self.start_anew(server, place, time).await
    }

    /// Starts a server anew whose process has ended by itself, for as long as the run lasts.
    pub(super) async fn look_after_server(self: Rc<Self>, place: usize) {
        loop {
            sleep(END_LOOK).await;
            let Some(server) = self.take_ended(place) else { continue };
            if let Err(error) = self.start_anew(server, place, SERVER_RESTART).await {
                eprintln!("soak: a server that ended did not start again: {error:#}");
            }
        }
    }

    fn take_ended(&self, place: usize) -> Option<ServerSlot> {
        self.servers.borrow_mut()[place].take_if(|server| server.child.has_ended())
    }

    /// Starts a server again some time after its end, under the identity that it had, and lets it warm up.
    async fn start_anew(
        &self,
        server: ServerSlot,
        place: usize,
        time: Duration,
    ) -> anyhow::Result<()> {
        let server = self.restart_server(server, place, time).await?;
        self.warm_up(server, place).await
    }

    /// Lets a server be cold for a while, and tell so. One that ends meanwhile starts again.
    async fn warm_up(&self, mut server: ServerSlot, place: usize) -> anyhow::Result<()> {
        loop {
            let word = word(&server, place);
            tokio::select! {
                told = self.tell_cold(&word) => {
                    self.servers.borrow_mut()[place] = Some(server);
                    return told;
                }
                () = server.child.ended() => {}
            }
            server = self.restart_server(server, place, SERVER_RESTART).await?;
        }
    }

    async fn restart_server(
        &self,
        server: ServerSlot,
        place: usize,
        time: Duration,
    ) -> anyhow::Result<ServerSlot> {
        let ServerSlot { child, id, way, address, behind, .. } = server;
        self.records.borrow_mut().killed_us.entry(id.clone()).or_default().push(now_us());
        drop((child, way));
        // NB: one more connection, which is dropped, lets its way stop to listen.
        let _ = TcpStream::connect(address).await;
        sleep(time).await;
        self.start_as(&id, place, behind, address).await
    }

    /// Nothing more is to go to the servers of a data centre, for a while.
    pub async fn evacuate(&self, data_centre: usize, time: Duration) -> anyhow::Result<()> {
        let name = name_of(data_centre);
        if !self.evacuated.borrow_mut().insert(data_centre) {
            return Ok(());
        }
        let key = format!("op/evacuate/{name}");
        self.put(&key, "{}".to_owned()).await?;
        let from_us = now_us();
        sleep(time).await;
        let span = Span { from_us, to_us: now_us() };
        self.records.borrow_mut().evacuated.entry(name).or_default().push(span);
        self.remove(&key).await?;
        self.evacuated.borrow_mut().remove(&data_centre);
        Ok(())
    }

    /// Another writer leaves entries among the servers' that cannot be read.
    pub async fn litter(&self) -> anyhow::Result<()> {
        for (number, value) in LITTER.iter().enumerate() {
            self.put(&format!("servers/litter-{number}"), (*value).to_owned()).await?;
        }
        Ok(())
    }

    /// A server tells with each heartbeat how much longer it is cold.
    async fn tell_cold(&self, word: &ServerEntry) -> anyhow::Result<()> {
        let began = Instant::now();
        let from_us = now_us();
        loop {
            let left = COLD_TIME.saturating_sub(began.elapsed());
            let warm_up_left_ms = left.as_millis() as u64;
            let (key, value) = server_entry(&ServerEntry { warm_up_left_ms, ..word.clone() });
            self.put(&key, value.to_string()).await?;
            if left.is_zero() {
                let span = Span { from_us, to_us: now_us() };
                self.records.borrow_mut().cold.entry(word.id.clone()).or_default().push(span);
                return Ok(());
            }
            sleep(HEARTBEAT.min(left)).await;
        }
    }

    /// Starts a server under an identity that none has had, and lists it.
    pub(super) async fn start_server(&self, place: usize) -> anyhow::Result<ServerSlot> {
        let number = self.servers_started.get();
        self.servers_started.set(number + 1);
        let id = format!("s{number}");
        let (behind, address) = (self.addresses.free().await?, self.addresses.free().await?);
        let server = self.start_as(&id, place, behind, address).await?;
        let (key, value) = server_entry(&word(&server, place));
        self.put(&key, value.to_string()).await?;
        self.records.borrow_mut().data_centre_of.insert(id, name_of(data_centre_at(place)));
        Ok(server)
    }

    async fn start_as(
        &self,
        id: &str,
        place: usize,
        behind: SocketAddr,
        address: SocketAddr,
    ) -> anyhow::Result<ServerSlot> {
        let arguments = ["server", id, &behind.to_string(), service_at(place)];
        let log = self.folder.join("servers.log");
        let (child, output) = Child::start_piped(&arguments, &log)?;
        self.note_runs(output);
        let limit = Instant::now() + START_LIMIT;
        while TcpStream::connect(behind).await.is_err() {
            ensure!(Instant::now() < limit, "server {id} does not listen");
            sleep(READY_LOOK).await;
        }
        let way = Proxy::start(address, behind).await?;
        let since = SystemTime::now().duration_since(UNIX_EPOCH)?;
        let born_ms = since.as_millis() as u64;
        Ok(ServerSlot { child, id: id.to_owned(), way, address, behind, born_ms })
    }

    /// Notes what a server tells of its runs, for as long as it does.
    fn note_runs(&self, output: ChildStdout) {
        let records = Rc::clone(&self.records);
        spawn_local(async move {
            let mut lines = BufReader::new(output).lines();
            while let Ok(Some(line)) = lines.next_line().await {
                match serde_json::from_str::<RunRecord>(&line) {
                    Ok(run) => records.borrow_mut().runs.push(run),
                    Err(error) => eprintln!("soak: a server told `{line}`: {error}"),
                }
            }
        });
    }
}

/// What a warm server that serves tells of itself.
fn word(server: &ServerSlot, place: usize) -> ServerEntry {
    ServerEntry {
        id: server.id.clone(),
        service: service_at(place),
        address: server.address.to_string(),
        data_centre: name_of(data_centre_at(place)),
        is_ready: true,
        warm_up_left_ms: 0,
        born_ms: server.born_ms,
    }
}

/// Servers of the two services stand in turn.
fn service_at(place: usize) -> &'static str {
    if place.is_multiple_of(2) { "plain" } else { "streams" }
}

/// Each service has servers in all data centres.
fn data_centre_at(place: usize) -> usize {
    place / 2 % DATA_CENTRES
}

/// Name of the data centre of an entry; they stand in turn too.
pub fn data_centre_of(entry: usize) -> String {
    name_of(entry % DATA_CENTRES)
}

/// Name of a data centre.
fn name_of(data_centre: usize) -> String {
    format!("dc{}", data_centre + 1)
}
