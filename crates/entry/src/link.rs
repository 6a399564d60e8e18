//! The connection to one agent: calls out, frames in.
//!
//! One call for frames is always waiting at the agent. When the connection is lost, runs stay
//! open while it is made again, and the agent returns every frame that was not acknowledged; only
//! an agent that was replaced, or cannot be reached for too long, ends them.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, Weak},
    time::Duration,
};

use pondwalk_decide::{ServerReport, TripCause};
use pondwalk_threads::lock;
use pondwalk_types::{AttemptId, Generation, Incarnation, Refusal, ServerId, VersionId};
use pondwalk_wire::{
    AgentClient, AgentSnapshot, AgentStatus, Configuration, FetchFrames, Frame, FrameBatch,
    FrameKind, RunKey, StartReply, StartRequest, connect,
};
use tarpc::client::RpcError;
use tokio::{sync::mpsc, task::AbortHandle, time::Instant};

use crate::{
    calls::{call_context, context},
    core::Core,
};

/// Longest wait of one call for frames.
const TAKE_WAIT: Duration = Duration::from_secs(5);
/// Time on top of that before the connection is taken for lost.
const TAKE_MARGIN: Duration = Duration::from_secs(2);
/// Time without a connection after which open runs are given up.
const LOST_AFTER: Duration = Duration::from_secs(3);
/// First pause before a connection is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Longest such pause.
const RETRY_PAUSE_LIMIT: Duration = Duration::from_secs(2);

/// Where the frames of one attempt go.
pub type Frames = mpsc::UnboundedReceiver<FrameKind>;

#[derive(Debug, Default)]
struct State {
    client: Option<AgentClient>,
    agent: Incarnation,
    acknowledged: u64,
    attempts: HashMap<AttemptId, mpsc::UnboundedSender<FrameKind>>,
    lost_since: Option<Instant>,
    generation: Generation,
    versions: Vec<VersionId>,
    hosting_changes: u32,
}

/// A link to one agent.
#[derive(Debug)]
pub struct Link {
    server: ServerId,
    address: SocketAddr,
    core: Weak<Core>,
    state: Mutex<State>,
    task: Mutex<Option<AbortHandle>>,
}

impl Link {
    /// Opens a link and keeps it connected until it is closed.
    pub fn open(core: &Arc<Core>, server: ServerId, address: SocketAddr) -> Arc<Self> {
        let link = Arc::new(Link {
            server,
            address,
            core: Arc::downgrade(core),
            state: Mutex::default(),
            task: Mutex::default(),
        });
        let task = core.traffic.spawn(link.clone().keep());
        *lock(&link.task) = Some(task.abort_handle());
        link
    }

    /// The agent's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The agent's server.
    pub fn server(&self) -> &ServerId {
        &self.server
    }

    /// Generation in force at the agent, as last heard.
    pub fn generation(&self) -> Generation {
        lock(&self.state).generation
    }

    /// Versions hosted, as last heard.
    pub fn versions(&self) -> Vec<VersionId> {
        lock(&self.state).versions.clone()
    }

    /// Whether calls can be made.
    pub fn is_connected(&self) -> bool {
        lock(&self.state).client.is_some()
    }

    /// Whether attempts are open.
    pub fn is_busy(&self) -> bool {
        !lock(&self.state).attempts.is_empty()
    }

    /// Closes the link; open attempts end.
    pub fn close(&self) {
        if let Some(task) = lock(&self.task).take() {
            task.abort();
        }
        self.lose_attempts();
        lock(&self.state).client = None;
    }

    /// Expects frames for an attempt.
    pub fn expect(&self, attempt: AttemptId) -> Frames {
        let (sender, frames) = mpsc::unbounded_channel();
        lock(&self.state).attempts.insert(attempt, sender);
        frames
    }

    /// Expects no more frames for an attempt; those that come are late and dropped.
    pub fn forget(&self, attempt: AttemptId) {
        lock(&self.state).attempts.remove(&attempt);
    }

    /// Asks the agent to start a run.
    ///
    /// `None` means that there was no connection, so nothing was sent.
    pub async fn start(&self, request: StartRequest) -> Option<Result<StartReply, RpcError>> {
        let client = lock(&self.state).client.clone()?;
        let reply = client.start(call_context(), request).await;
        if let Ok(reply) = &reply {
            self.absorb(&reply.snapshot);
        }
        Some(reply)
    }

    /// Tells the agent that nobody wants an answer any more.
    pub async fn cancel(&self, run: RunKey) {
        if let Some(client) = self.client() {
            // NB: an agent that cannot be told finds out by itself when it is not asked for frames.
            let _ = client.cancel(call_context(), run).await;
        }
    }

    /// Hands over a newer configuration; tells whether the agent has it.
    pub async fn configure(&self, configuration: Configuration) -> bool {
        let Some(client) = self.client() else {
            return false;
        };
        let wanted = configuration.generation;
        let reached = client.configure(call_context(), configuration).await;
        if let Ok(generation) = reached {
            lock(&self.state).generation = generation;
        }
        reached.is_ok_and(|generation| generation >= wanted)
    }

    /// A client for other calls, if there is a connection.
    pub fn client(&self) -> Option<AgentClient> {
        lock(&self.state).client.clone()
    }

    async fn keep(self: Arc<Self>) {
        let mut pause = RETRY_PAUSE;
        loop {
            if let Some(status) = self.connect().await {
                pause = RETRY_PAUSE;
                spdlog::info!("agent connected", kv: { server = self.server.as_str() });
                self.welcome(&status);
                self.fetch_frames().await;
            }
            self.disconnected();
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(RETRY_PAUSE_LIMIT);
        }
    }

    async fn connect(&self) -> Option<AgentStatus> {
        let client = connect(self.address).await.ok()?;
        let status = client.status(call_context()).await.ok()?;
        let mut state = lock(&self.state);
        let replaced = state.agent != 0 && state.agent != status.snapshot.incarnation;
        state.client = Some(client);
        state.lost_since = None;
        state.agent = status.snapshot.incarnation;
        if replaced {
            state.acknowledged = 0;
            state.attempts.clear();
        }
        Some(status)
    }

    fn welcome(&self, status: &AgentStatus) {
        let Some(core) = self.core.upgrade() else {
            return;
        };
        {
            let mut state = lock(&self.state);
            state.versions = status.versions.clone();
            state.hosting_changes = status.snapshot.hosting_changes;
        }
        let report = ServerReport {
            server: self.server.clone(),
            data_centre: status.data_centre.clone(),
            versions: status.versions.clone(),
            slots: status.slots,
            load: Some(status.snapshot.load),
        };
        let now = core.now();
        lock(&core.router).update_server(now, &report);
        self.absorb(&status.snapshot);
    }

    async fn fetch_frames(&self) {
        while let Some((client, request)) = self.next_take() {
            match client.take(context(TAKE_WAIT + TAKE_MARGIN), request).await {
                Ok(batch) => {
                    let changed = self.hosting_changed(&batch.snapshot);
                    self.dispatch(batch);
                    if changed && !self.ask_hosting(&client).await {
                        return;
                    }
                }
                Err(_) => return,
            }
        }
    }

    fn hosting_changed(&self, snapshot: &AgentSnapshot) -> bool {
        lock(&self.state).hosting_changes != snapshot.hosting_changes
    }

    /// Asks again what the server hosts; tells whether the agent answered.
    async fn ask_hosting(&self, client: &AgentClient) -> bool {
        match client.status(call_context()).await {
            Ok(status) => self.welcome(&status),
            Err(_) => return false,
        }
        true
    }

    fn next_take(&self) -> Option<(AgentClient, FetchFrames)> {
        let entry = self.core.upgrade()?.incarnation;
        let state = lock(&self.state);
        let acknowledged = state.acknowledged;
        Some((state.client.clone()?, FetchFrames { entry, acknowledged, wait: TAKE_WAIT }))
    }

    fn dispatch(&self, batch: FrameBatch) {
        let mut late = 0;
        {
            let mut state = lock(&self.state);
            for Frame { sequence, attempt, kind } in batch.frames {
                state.acknowledged = state.acknowledged.max(sequence);
                match state.attempts.get(&attempt) {
                    Some(frames) => late += u64::from(frames.send(kind).is_err()),
                    None => late += 1,
                }
            }
        }
        if let Some(core) = self.core.upgrade() {
            (0..late).for_each(|_| core.count("frames.late"));
        }
        self.absorb(&batch.snapshot);
    }

    /// Takes in what the agent says of itself.
    fn absorb(&self, snapshot: &AgentSnapshot) {
        lock(&self.state).generation = snapshot.generation;
        let Some(core) = self.core.upgrade() else {
            return;
        };
        let now = core.now();
        let mut router = lock(&core.router);
        router.update_server_load(now, &self.server, snapshot.load);
        if snapshot.draining {
            router.deactivate_server(&self.server);
        }
        for version in &snapshot.tripped {
            router.trip(now, version, TripCause::Agent);
        }
    }

    fn disconnected(&self) {
        let lost = {
            let mut state = lock(&self.state);
            if state.client.take().is_some() {
                spdlog::warn!("agent lost", kv: { server = self.server.as_str() });
                if let Some(core) = self.core.upgrade() {
                    lock(&core.router).deactivate_server(&self.server);
                }
            }
            let since = *state.lost_since.get_or_insert_with(Instant::now);
            since.elapsed() > LOST_AFTER
        };
        if lost {
            self.lose_attempts();
        }
    }

    fn lose_attempts(&self) {
        let lost: Vec<_> = lock(&self.state).attempts.drain().collect();
        for (_, frames) in lost {
            // NB: an attempt that has ended meanwhile needs no news.
            let _ = frames.send(FrameKind::Failed(Refusal::ContactLost));
        }
    }
}
