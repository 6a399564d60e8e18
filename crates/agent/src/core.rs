//! State shared by all parts of an agent.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use cadence::{CountedExt, StatsdClient};
use pondwalk_config::AgentSettings;
use pondwalk_decide::AdmissionQueue;
use pondwalk_threads::lock;
use pondwalk_types::{Incarnation, Policy, Refusal, VersionState, WorkspacePolicy};
use pondwalk_wire::{AgentSnapshot, Configuration, HeldBill, RunKey, StartRequest};
use tokio::{runtime::Handle, time::Instant};

use crate::{backend::Backend, orders::Orders, outbox::Outboxes, runs::Runs, trials::Trials};

/// State shared by the agent's traffic and control threads.
#[derive(Debug)]
pub struct Core {
    /// Validated settings.
    pub settings: AgentSettings,
    /// Random id of this process; differs after a restart.
    pub incarnation: Incarnation,
    /// Client of the backend server.
    pub backend: Backend,
    /// Admission queue of the backend server.
    pub queue: Mutex<AdmissionQueue<RunKey>>,
    /// Waiting and running runs.
    pub runs: Mutex<Runs>,
    /// Frames to be fetched by entries.
    pub outboxes: Outboxes,
    /// Trials of new versions.
    pub trials: Mutex<Trials>,
    /// Hosted versions, and orders that change them.
    pub orders: Orders,
    /// Copies of bills held for entries, by request id.
    pub bills: Mutex<HashMap<String, HeldBill>>,
    /// Sink of counters.
    pub metrics: StatsdClient,
    /// The runtime that executes runs.
    pub traffic: Handle,
    configuration: Mutex<Option<Arc<Configuration>>>,
    draining: AtomicBool,
    started: Instant,
}

impl Core {
    /// Creates the state of an agent.
    pub fn new(settings: AgentSettings, metrics: StatsdClient, traffic: Handle) -> Self {
        Core {
            incarnation: rand::random(),
            backend: Backend::new(&settings),
            queue: Mutex::new(AdmissionQueue::new(settings.slots, settings.queue)),
            runs: Mutex::default(),
            outboxes: Outboxes::default(),
            trials: Mutex::default(),
            orders: Orders::new(settings.versions.clone()),
            bills: Mutex::default(),
            metrics,
            traffic,
            configuration: Mutex::default(),
            draining: AtomicBool::new(false),
            started: Instant::now(),
            settings,
        }
    }

    /// Time since the start of the process; the clock of the queue and the trials.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// The installed configuration, if any.
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        lock(&self.configuration).clone()
    }

    /// Installs a configuration if it is newer; returns the installed generation.
    pub fn configure(&self, configuration: Configuration) -> u64 {
        let mut current = lock(&self.configuration);
        let generation = current.as_ref().map_or(0, |current| current.generation);
        if configuration.generation <= generation {
            return generation;
        }
        let generation = configuration.generation;
        spdlog::info!("configuration in force", kv: { generation });
        lock(&self.trials).install(&configuration.policy);
        *current = Some(Arc::new(configuration));
        drop(current);
        self.cancel_withdrawn();
        generation
    }

    /// The locked queue, with the latest rate limit of the server applied.
    pub fn admission(&self) -> MutexGuard<'_, AdmissionQueue<RunKey>> {
        let mut queue = lock(&self.queue);
        queue.set_rate_limit(self.backend.rate_limit());
        queue
    }

    /// The current state of the agent, as reported to entries.
    pub fn snapshot(&self) -> AgentSnapshot {
        AgentSnapshot {
            incarnation: self.incarnation,
            generation: self.configuration().map_or(0, |current| current.generation),
            load: lock(&self.queue).load(),
            hosting_changes: self.orders.changes(),
            draining: self.is_draining(),
            tripped: lock(&self.trials).tripped(),
        }
    }

    /// Refuses new work from now on.
    pub fn begin_drain(&self) {
        if !self.draining.swap(true, Ordering::SeqCst) {
            spdlog::info!("draining", kv: { server = self.settings.server.as_str() });
            self.outboxes.wake_all();
        }
    }

    /// Whether new work is refused.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    /// Whether no run is running or waiting and no frame is left to be fetched.
    pub fn is_idle(&self) -> bool {
        lock(&self.queue).load() == 0 && self.outboxes.is_empty()
    }

    /// Checks a run against the configuration and the agent's state.
    ///
    /// Returns the policy of its workspace.
    pub fn check_request(&self, request: &StartRequest) -> Result<WorkspacePolicy, Refusal> {
        if self.is_draining() {
            return Err(Refusal::Draining);
        }
        let configuration = self.configuration().ok_or(Refusal::NoConfiguration)?;
        if configuration.generation < request.generation {
            let (decided, current) = (request.generation, configuration.generation);
            return Err(Refusal::StaleGeneration { decided, current });
        }
        let policy = &configuration.policy;
        let workspace = policy.workspaces.get(&request.workspace).ok_or(Refusal::UnknownCaller)?;
        self.check_version(policy, workspace, request)?;
        Ok(workspace.clone())
    }

    fn check_version(
        &self,
        policy: &Policy,
        workspace: &WorkspacePolicy,
        request: &StartRequest,
    ) -> Result<(), Refusal> {
        let version = request.work.version();
        if !self.orders.hosts(version) {
            return Err(Refusal::NoServer);
        }
        let state = policy.versions.get(version).map(|spec| spec.state);
        if state == Some(VersionState::Withdrawn) || lock(&self.trials).is_tripped(version) {
            return Err(Refusal::VersionWithdrawn(version.clone()));
        }
        if state == Some(VersionState::Retiring) && !request.old_session {
            return Err(Refusal::VersionRetiring(version.clone()));
        }
        if !policy.may_run(workspace, version) {
            return Err(Refusal::VersionNotAllowed(version.clone()));
        }
        Ok(())
    }

    /// Cancels waiting runs of withdrawn versions.
    fn cancel_withdrawn(&self) {
        let Some(configuration) = self.configuration() else {
            return;
        };
        let runs = lock(&self.runs);
        let withdrawn = |run: &RunKey| {
            let state = runs
                .waiting_version(run)
                .and_then(|version| configuration.policy.versions.get(version))
                .map(|spec| spec.state);
            state == Some(VersionState::Withdrawn)
        };
        let cancelled = lock(&self.queue).cancel_where(withdrawn);
        drop(runs);
        for run in cancelled {
            let version = lock(&self.runs).remove_waiting(&run).map(|waiting| waiting.version());
            let refusal = Refusal::VersionWithdrawn(version.unwrap_or_default());
            self.outboxes.push(run, pondwalk_wire::FrameKind::NotRun(refusal));
        }
    }

    /// Increments a counter.
    pub fn count(&self, name: &str) {
        // NB: failures to send metrics are ignored.
        let _ = self.metrics.incr(name);
    }
}
