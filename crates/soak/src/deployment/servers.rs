//! Backend servers and the faults injected into them.

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
    time::{Instant, sleep, sleep_until},
};

use super::{Deployment, READY_POLL, START_TIMEOUT};
use crate::{
    checks::WARM_UP_TIME,
    child::Child,
    proxy::Proxy,
    records::{RunRecord, Span, now_us},
};

/// Time for which a draining server keeps serving.
const DRAIN_TIME: Duration = Duration::from_secs(4);
/// Interval at which a cold server publishes its state.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_200);
/// Time until a crashed server restarts.
pub const SERVER_RESTART: Duration = Duration::from_secs(1);
/// Polling interval for crashed servers.
const EXIT_POLL: Duration = Duration::from_millis(20);
/// Number of data centres, over which servers and entries are distributed round-robin.
pub const DATA_CENTRES: usize = 3;
/// Depth of a deeply nested value.
const NESTING_DEPTH: usize = 100_000;
/// Values of unreadable server records.
const UNREADABLE_RECORDS: [&str; 5] = [
    "",
    "no JSON",
    r#"{"backend":"plain","address":"127.0.0.1:9"}"#,
    r#"{"backend":"plain","address":"127.0.0.1:9","zone":"dc1","version":"v1","capacity":-1,"state":"ready","warmup_left_ms":0,"sequence":1}"#,
    r#"{"backend":"plain","address":"127.0.0.1:9","zone":"dc1","version":"v1","capacity":9,"state":"resting","warmup_left_ms":0,"sequence":1}"#,
];

/// Values of unreadable server records, with those that are deeply nested or out of range.
fn unreadable_records() -> Vec<String> {
    let record = |address: &str, field: &str| {
        format!(
            r#"{{"backend":"plain","address":"{address}","zone":"dc1","version":"v1","state":"ready","sequence":1,{field}}}"#
        )
    };
    let nested = "[".repeat(NESTING_DEPTH);
    let mut records: Vec<String> = UNREADABLE_RECORDS.iter().map(|&text| text.into()).collect();
    records.push(nested.clone());
    records.extend([
        record("127.0.0.1:9", &format!(r#""capacity":9,"warmup_left_ms":0,"more":{nested}"#)),
        record("127.0.0.1:9", r#""capacity":1e300,"warmup_left_ms":0"#),
        record("127.0.0.1:9", r#""capacity":9,"warmup_left_ms":1.8e22"#),
        record("127.0.0.1:70000", r#""capacity":9,"warmup_left_ms":0"#),
    ]);
    records
}

/// A backend server process behind its proxy.
pub struct ServerSlot {
    child: Child,
    id: String,
    /// Proxy through which entries reach the server, its address, and the server's own address.
    proxy: Rc<Proxy>,
    address: SocketAddr,
    upstream: SocketAddr,
    started_ms: u64,
}

impl Deployment {
    /// Stalls all open connections to a server.
    pub fn silence_server(&self, index: usize) {
        if let Some(server) = &self.servers.borrow()[index] {
            server.proxy.silence();
        }
    }

    /// Announces in the store that a server drains, and replaces the server.
    pub async fn replace(&self, index: usize) -> anyhow::Result<()> {
        let Some(server) = self.servers.borrow_mut()[index].take() else { return Ok(()) };
        let listing = ServerEntry { is_ready: false, ..listing(&server, index) };
        let (key, value) = server_entry(&listing);
        self.put(&key, value.to_string()).await?;
        self.records.borrow_mut().draining_us.insert(server.id.clone(), now_us());
        self.hand_over(server, index).await
    }

    /// Removes a server's record without an announcement, and replaces the server.
    pub async fn vanish(&self, index: usize) -> anyhow::Result<()> {
        let Some(server) = self.servers.borrow_mut()[index].take() else { return Ok(()) };
        let (key, _) = server_entry(&listing(&server, index));
        self.remove(&key).await?;
        self.records.borrow_mut().draining_us.insert(server.id.clone(), now_us());
        self.hand_over(server, index).await
    }

    /// Makes a server announce only in its response headers that it drains, and replaces the server.
    pub async fn drain_by_header(&self, index: usize) -> anyhow::Result<()> {
        let Some(server) = self.servers.borrow_mut()[index].take() else { return Ok(()) };
        server.child.signal(Signal::SIGUSR1);
        self.hand_over(server, index).await
    }

    /// Starts the replacement of a draining server, which keeps serving for a while.
    async fn hand_over(&self, mut server: ServerSlot, index: usize) -> anyhow::Result<()> {
        self.records.borrow_mut().replaced.insert(server.id.clone());
        let next = self.start_server(index).await?;
        self.servers.borrow_mut()[index] = Some(next);
        self.serve_on(&mut server).await;
        let (key, _) = server_entry(&listing(&server, index));
        self.remove(&key).await?;
        // The server keeps running after its removal, so that late requests to it are recorded.
        self.serve_on(&mut server).await;
        drop((server.child, server.proxy));
        Ok(())
    }

    /// Lets a replaced server serve on for a while, and records its crash if there is one.
    async fn serve_on(&self, server: &mut ServerSlot) {
        let end = Instant::now() + DRAIN_TIME;
        tokio::select! {
            () = sleep_until(end) => return,
            () = server.child.wait() => {}
        }
        self.records.borrow_mut().killed_us.entry(server.id.clone()).or_default().push(now_us());
        sleep_until(end).await;
    }

    /// Makes a server reject all requests for a while and ask for backoff.
    pub fn reject_requests(&self, index: usize) {
        if let Some(server) = &self.servers.borrow()[index] {
            server.child.signal(Signal::SIGUSR2);
        }
    }

    /// Makes a server's responses endless for a while.
    pub fn flood_from_server(&self, index: usize) {
        if let Some(server) = &self.servers.borrow()[index] {
            server.child.signal(Signal::SIGWINCH);
        }
    }

    /// Makes a server announce a rate limit in its responses for a while.
    pub fn announce_limit(&self, index: usize) {
        if let Some(server) = &self.servers.borrow()[index] {
            server.child.signal(Signal::SIGHUP);
        }
    }

    /// Makes a server cold, which it publishes until it is warm again.
    pub async fn cool(&self, index: usize) -> anyhow::Result<()> {
        let Some(server) = self.servers.borrow_mut()[index].take() else { return Ok(()) };
        self.warm_up(server, index).await
    }

    /// Kills a server and restarts it under the same id after `time`.
    pub async fn kill_server(&self, index: usize, time: Duration) -> anyhow::Result<()> {
        let Some(server) = self.servers.borrow_mut()[index].take() else { return Ok(()) };
        server.child.signal(Signal::SIGKILL);
        self.restart_and_warm_up(server, index, time).await
    }

    /// Restarts a server whenever its process has exited by itself, until the run ends.
    pub(super) async fn supervise_server(self: Rc<Self>, index: usize) {
        loop {
            sleep(EXIT_POLL).await;
            let Some(server) = self.take_exited(index) else { continue };
            if let Err(error) = self.restart_and_warm_up(server, index, SERVER_RESTART).await {
                eprintln!("soak: cannot restart a crashed server: {error:#}");
            }
        }
    }

    fn take_exited(&self, index: usize) -> Option<ServerSlot> {
        self.servers.borrow_mut()[index].take_if(|server| server.child.has_exited())
    }

    /// Restarts a server under the same id after `time`, and waits until it is warm.
    async fn restart_and_warm_up(
        &self,
        server: ServerSlot,
        index: usize,
        time: Duration,
    ) -> anyhow::Result<()> {
        let server = self.restart_server(server, index, time).await?;
        self.warm_up(server, index).await
    }

    /// Publishes that a server is cold until it is warm, and restarts the server if it crashes meanwhile.
    async fn warm_up(&self, mut server: ServerSlot, index: usize) -> anyhow::Result<()> {
        loop {
            let listing = listing(&server, index);
            tokio::select! {
                published = self.publish_cold(&listing) => {
                    self.servers.borrow_mut()[index] = Some(server);
                    return published;
                }
                () = server.child.wait() => {}
            }
            server = self.restart_server(server, index, SERVER_RESTART).await?;
        }
    }

    async fn restart_server(
        &self,
        server: ServerSlot,
        index: usize,
        time: Duration,
    ) -> anyhow::Result<ServerSlot> {
        let ServerSlot { child, id, proxy, address, upstream, .. } = server;
        self.records.borrow_mut().killed_us.entry(id.clone()).or_default().push(now_us());
        drop((child, proxy));
        // The accept loop of the dropped proxy stops only after one more connection.
        let _ = TcpStream::connect(address).await;
        sleep(time).await;
        self.start_as(&id, index, upstream, address).await
    }

    /// Evacuates a data centre for `time`; does nothing if it is evacuated already.
    pub async fn evacuate(&self, data_centre: usize, time: Duration) -> anyhow::Result<()> {
        let name = data_centre_name(data_centre);
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

    /// Writes unreadable records among the servers' records.
    pub async fn write_unreadable_records(&self) -> anyhow::Result<()> {
        for (number, value) in unreadable_records().into_iter().enumerate() {
            self.put(&format!("servers/litter-{number}"), value).await?;
        }
        Ok(())
    }

    /// Publishes the remaining warm-up time of a server with each heartbeat, until it is warm.
    async fn publish_cold(&self, listing: &ServerEntry) -> anyhow::Result<()> {
        let began = Instant::now();
        let from_us = now_us();
        loop {
            let remaining = WARM_UP_TIME.saturating_sub(began.elapsed());
            let warm_up_left_ms = remaining.as_millis() as u64;
            let (key, value) = server_entry(&ServerEntry { warm_up_left_ms, ..listing.clone() });
            self.put(&key, value.to_string()).await?;
            if remaining.is_zero() {
                let span = Span { from_us, to_us: now_us() };
                self.records.borrow_mut().cold.entry(listing.id.clone()).or_default().push(span);
                return Ok(());
            }
            sleep(HEARTBEAT_INTERVAL.min(remaining)).await;
        }
    }

    /// Starts a server under a new id and lists it in the store.
    pub(super) async fn start_server(&self, index: usize) -> anyhow::Result<ServerSlot> {
        let number = self.servers_started.get();
        self.servers_started.set(number + 1);
        let id = format!("s{number}");
        let (upstream, address) =
            (self.addresses.allocate().await?, self.addresses.allocate().await?);
        let server = self.start_as(&id, index, upstream, address).await?;
        let (key, value) = server_entry(&listing(&server, index));
        self.put(&key, value.to_string()).await?;
        self.records
            .borrow_mut()
            .data_centre_of
            .insert(id, data_centre_name(data_centre_at(index)));
        Ok(server)
    }

    async fn start_as(
        &self,
        id: &str,
        index: usize,
        upstream: SocketAddr,
        address: SocketAddr,
    ) -> anyhow::Result<ServerSlot> {
        let arguments = ["server", id, &upstream.to_string(), service_at(index)];
        let log = self.folder.join("servers.log");
        let (child, output) = Child::start_piped(&arguments, &log)?;
        self.record_runs(output);
        let limit = Instant::now() + START_TIMEOUT;
        while TcpStream::connect(upstream).await.is_err() {
            ensure!(Instant::now() < limit, "server {id} does not listen");
            sleep(READY_POLL).await;
        }
        let proxy = Proxy::start(address, upstream).await?;
        let since = SystemTime::now().duration_since(UNIX_EPOCH)?;
        let started_ms = since.as_millis() as u64;
        Ok(ServerSlot { child, id: id.to_owned(), proxy, address, upstream, started_ms })
    }

    /// Records the runs that a server reports on its standard output, until that is closed.
    fn record_runs(&self, output: ChildStdout) {
        let records = Rc::clone(&self.records);
        spawn_local(async move {
            let mut lines = BufReader::new(output).lines();
            while let Ok(Some(line)) = lines.next_line().await {
                match serde_json::from_str::<RunRecord>(&line) {
                    Ok(run) => records.borrow_mut().runs.push(run),
                    Err(error) => {
                        eprintln!("soak: invalid run record `{line}` from a server: {error}")
                    }
                }
            }
        });
    }
}

/// Returns the store record of a warm server that is ready.
fn listing(server: &ServerSlot, index: usize) -> ServerEntry {
    ServerEntry {
        id: server.id.clone(),
        service: service_at(index),
        address: server.address.to_string(),
        data_centre: data_centre_name(data_centre_at(index)),
        is_ready: true,
        warm_up_left_ms: 0,
        born_ms: server.started_ms,
    }
}

/// Returns the service of a server; the two services alternate.
fn service_at(index: usize) -> &'static str {
    if index.is_multiple_of(2) { "plain" } else { "streams" }
}

/// Returns the data centre of a server; each service has servers in all data centres.
fn data_centre_at(index: usize) -> usize {
    index / 2 % DATA_CENTRES
}

/// Returns the name of an entry's data centre; entries are distributed round-robin.
pub fn data_centre_of(entry: usize) -> String {
    data_centre_name(entry % DATA_CENTRES)
}

/// Returns the name of a data centre.
fn data_centre_name(data_centre: usize) -> String {
    format!("dc{}", data_centre + 1)
}
