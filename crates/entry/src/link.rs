//! The connection to one agent: outgoing calls and incoming frames.
//!
//! One long-polling call for frames is always pending. When the connection is lost, attempts stay
//! open during the reconnection, and the agent then returns all unacknowledged frames. Attempts
//! fail only if the agent process was replaced or stays unreachable for too long.

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
    calls::{call_context, context_with_timeout},
    core::Core,
};

/// Wait of one long-polling call for frames.
const FETCH_WAIT: Duration = Duration::from_secs(5);
/// Time added to [`FETCH_WAIT`] after which the call times out.
const FETCH_TIMEOUT_MARGIN: Duration = Duration::from_secs(2);
/// Time without a connection after which open attempts fail.
const AGENT_LOST_TIMEOUT: Duration = Duration::from_secs(3);
/// Initial delay before reconnecting; doubles with each attempt.
const INITIAL_RECONNECT_BACKOFF: Duration = Duration::from_millis(50);
/// Maximum delay before reconnecting.
const MAX_RECONNECT_BACKOFF: Duration = Duration::from_secs(2);

/// Receiver of the frames of one attempt.
pub type Frames = mpsc::UnboundedReceiver<FrameKind>;

#[derive(Debug, Default)]
struct State {
    client: Option<AgentClient>,
    agent_incarnation: Incarnation,
    acknowledged: u64,
    attempts: HashMap<AttemptId, mpsc::UnboundedSender<FrameKind>>,
    disconnected_since: Option<Instant>,
    generation: Generation,
    versions: Vec<VersionId>,
    hosting_changes: u32,
}

/// The connection to one agent.
#[derive(Debug)]
pub struct AgentLink {
    server: ServerId,
    address: SocketAddr,
    core: Weak<Core>,
    state: Mutex<State>,
    task: Mutex<Option<AbortHandle>>,
}

impl AgentLink {
    /// Opens a link that reconnects until it is closed.
    pub fn open(core: &Arc<Core>, server: ServerId, address: SocketAddr) -> Arc<Self> {
        let link = Arc::new(AgentLink {
            server,
            address,
            core: Arc::downgrade(core),
            state: Mutex::default(),
            task: Mutex::default(),
        });
        let task = core.traffic.spawn(link.clone().maintain_connection());
        *lock(&link.task) = Some(task.abort_handle());
        link
    }

    /// The agent's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The agent's backend server.
    pub fn server(&self) -> &ServerId {
        &self.server
    }

    /// Configuration generation of the agent, as last reported.
    pub fn generation(&self) -> Generation {
        lock(&self.state).generation
    }

    /// Versions hosted by the server, as last reported.
    pub fn versions(&self) -> Vec<VersionId> {
        lock(&self.state).versions.clone()
    }

    /// Whether the link is connected.
    pub fn is_connected(&self) -> bool {
        lock(&self.state).client.is_some()
    }

    /// Whether any attempt is open.
    pub fn has_open_attempts(&self) -> bool {
        !lock(&self.state).attempts.is_empty()
    }

    /// Closes the link and fails its open attempts.
    pub fn close(&self) {
        if let Some(task) = lock(&self.task).take() {
            task.abort();
        }
        self.fail_attempts();
        lock(&self.state).client = None;
    }

    /// Registers an attempt and returns the receiver of its frames.
    pub fn register_attempt(&self, attempt: AttemptId) -> Frames {
        let (sender, frames) = mpsc::unbounded_channel();
        lock(&self.state).attempts.insert(attempt, sender);
        frames
    }

    /// Unregisters an attempt; frames that arrive later are dropped.
    pub fn unregister_attempt(&self, attempt: AttemptId) {
        lock(&self.state).attempts.remove(&attempt);
    }

    /// Asks the agent to start a run.
    ///
    /// Returns `None` if the link is not connected, so that nothing was sent.
    pub async fn start(&self, request: StartRequest) -> Option<Result<StartReply, RpcError>> {
        let client = lock(&self.state).client.clone()?;
        let reply = client.start(call_context(), request).await;
        if let Ok(reply) = &reply {
            self.apply_snapshot(&reply.snapshot);
        }
        Some(reply)
    }

    /// Asks the agent to cancel a run.
    pub async fn cancel(&self, run: RunKey) {
        if let Some(client) = self.client() {
            // NB: an unreachable agent cancels the run itself when the entry stops fetching frames.
            let _ = client.cancel(call_context(), run).await;
        }
    }

    /// Sends a configuration; returns whether the agent now has it or a newer one.
    pub async fn configure(&self, configuration: Configuration) -> bool {
        let Some(client) = self.client() else {
            return false;
        };
        let expected = configuration.generation;
        let installed = client.configure(call_context(), configuration).await;
        if let Ok(generation) = installed {
            lock(&self.state).generation = generation;
        }
        installed.is_ok_and(|generation| generation >= expected)
    }

    /// A client for other calls, if the link is connected.
    pub fn client(&self) -> Option<AgentClient> {
        lock(&self.state).client.clone()
    }

    async fn maintain_connection(self: Arc<Self>) {
        let mut backoff = INITIAL_RECONNECT_BACKOFF;
        loop {
            if let Some(status) = self.connect().await {
                backoff = INITIAL_RECONNECT_BACKOFF;
                spdlog::info!("agent connected", kv: { server = self.server.as_str() });
                self.apply_status(&status);
                self.fetch_frames().await;
            }
            self.on_disconnected();
            tokio::time::sleep(backoff).await;
            backoff = (backoff * 2).min(MAX_RECONNECT_BACKOFF);
        }
    }

    async fn connect(&self) -> Option<AgentStatus> {
        let client = connect(self.address).await.ok()?;
        let status = client.status(call_context()).await.ok()?;
        let mut state = lock(&self.state);
        let replaced =
            state.agent_incarnation != 0 && state.agent_incarnation != status.snapshot.incarnation;
        state.client = Some(client);
        state.disconnected_since = None;
        state.agent_incarnation = status.snapshot.incarnation;
        if replaced {
            state.acknowledged = 0;
            state.attempts.clear();
        }
        Some(status)
    }

    fn apply_status(&self, status: &AgentStatus) {
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
        self.apply_snapshot(&status.snapshot);
    }

    async fn fetch_frames(&self) {
        while let Some((client, request)) = self.next_fetch() {
            match client
                .take(context_with_timeout(FETCH_WAIT + FETCH_TIMEOUT_MARGIN), request)
                .await
            {
                Ok(batch) => {
                    let changed = self.hosting_changed(&batch.snapshot);
                    self.dispatch(batch);
                    if changed && !self.refresh_status(&client).await {
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

    /// Fetches and applies the status of the agent; returns whether the agent answered.
    async fn refresh_status(&self, client: &AgentClient) -> bool {
        match client.status(call_context()).await {
            Ok(status) => self.apply_status(&status),
            Err(_) => return false,
        }
        true
    }

    fn next_fetch(&self) -> Option<(AgentClient, FetchFrames)> {
        let entry = self.core.upgrade()?.incarnation;
        let state = lock(&self.state);
        let acknowledged = state.acknowledged;
        Some((state.client.clone()?, FetchFrames { entry, acknowledged, wait: FETCH_WAIT }))
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
        self.apply_snapshot(&batch.snapshot);
    }

    /// Applies the state that the agent reported about itself.
    fn apply_snapshot(&self, snapshot: &AgentSnapshot) {
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

    fn on_disconnected(&self) {
        let lost = {
            let mut state = lock(&self.state);
            if state.client.take().is_some() {
                spdlog::warn!("agent lost", kv: { server = self.server.as_str() });
                if let Some(core) = self.core.upgrade() {
                    lock(&core.router).deactivate_server(&self.server);
                }
            }
            let since = *state.disconnected_since.get_or_insert_with(Instant::now);
            since.elapsed() > AGENT_LOST_TIMEOUT
        };
        if lost {
            self.fail_attempts();
        }
    }

    fn fail_attempts(&self) {
        let lost: Vec<_> = lock(&self.state).attempts.drain().collect();
        for (_, frames) in lost {
            // NB: fails only if the attempt has ended.
            let _ = frames.send(FrameKind::Failed(Refusal::ContactLost));
        }
    }
}
