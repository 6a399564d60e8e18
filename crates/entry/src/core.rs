//! State shared by all parts of an entry.

use std::{
    collections::{HashMap, HashSet},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use cadence::{CountedExt, StatsdClient};
use pondwalk_config::{EntrySettings, PolicyRecord};
use pondwalk_decide::Router;
use pondwalk_ledger::Claims;
use pondwalk_store::Store;
use pondwalk_threads::lock;
use pondwalk_types::{AttemptId, Incarnation, Price, WorkspaceId};
use pondwalk_wire::Configuration;
use tokio::{runtime::Handle, time::Instant};

use crate::{
    agent_links::AgentLinks, bills::Bills, pins::PinSigner, rating::RatingClient,
    spend::SpendSlices,
};

/// An installed configuration with an index of its API keys.
#[derive(Debug)]
pub struct InstalledConfiguration {
    /// The configuration.
    pub configuration: Configuration,
    /// Workspaces by the SHA-256 digests of their API keys.
    pub keys: HashMap<String, WorkspaceId>,
}

impl InstalledConfiguration {
    /// The price of a version.
    pub fn price(&self, version: &str) -> Price {
        self.configuration.policy.price_of(version).unwrap_or_default()
    }
}

/// State shared by the entry's traffic and control threads.
#[derive(Debug)]
pub struct Core {
    /// Validated settings.
    pub settings: EntrySettings,
    /// Random id of this process; differs after a restart.
    pub incarnation: Incarnation,
    /// The router.
    pub router: Mutex<Router>,
    /// Links to agents.
    pub agents: AgentLinks,
    /// Signs and verifies session pins.
    pub pins: PinSigner,
    /// Claims on idempotency keys.
    pub claims: Claims,
    /// Bills that are not stored yet.
    pub bills: Bills,
    /// Allocated slices of spend caps.
    pub spend_slices: SpendSlices,
    /// Client of the rating service, if configured.
    pub rating: Option<RatingClient>,
    /// The platform's store.
    pub store: Store,
    /// Sink of counters.
    pub metrics: StatsdClient,
    /// The runtime that serves requests.
    pub traffic: Handle,
    installed: Mutex<Option<Arc<InstalledConfiguration>>>,
    /// The newest record that this entry has read from the store or written to it.
    newest_record: Mutex<Option<PolicyRecord>>,
    /// Workspaces with a spend cap, which need allocated slices.
    capped_workspaces: Mutex<HashSet<WorkspaceId>>,
    confirmed_at: Mutex<Instant>,
    draining: AtomicBool,
    next_attempt: AtomicU64,
    started: Instant,
}

impl Core {
    /// Creates the state of an entry; must be called within its traffic runtime.
    pub fn new(
        settings: EntrySettings,
        store: Store,
        metrics: StatsdClient,
        traffic: Handle,
    ) -> Self {
        let incarnation = rand::random();
        Core {
            incarnation,
            router: Mutex::new(Router::new(&settings.data_centre)),
            agents: AgentLinks::default(),
            pins: PinSigner::new(&settings.signing_key, settings.former_signing_key.as_deref()),
            claims: Claims::spawn(store.clone()),
            bills: Bills::new(incarnation),
            spend_slices: SpendSlices::default(),
            rating: settings.rating.map(RatingClient::new),
            store,
            metrics,
            traffic,
            installed: Mutex::default(),
            newest_record: Mutex::default(),
            capped_workspaces: Mutex::default(),
            confirmed_at: Mutex::new(Instant::now()),
            draining: AtomicBool::new(false),
            next_attempt: AtomicU64::new(1),
            started: Instant::now(),
            settings,
        }
    }

    /// Time since the start of the process; the clock of the router.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// A unique id for a new attempt.
    pub fn next_attempt_id(&self) -> AttemptId {
        self.next_attempt.fetch_add(1, Ordering::Relaxed)
    }

    /// The installed configuration, unless its last confirmation is older than the bound.
    pub fn installed(&self) -> Option<Arc<InstalledConfiguration>> {
        if let Some(bound) = self.settings.config_bound
            && lock(&self.confirmed_at).elapsed() > bound
        {
            return None;
        }
        lock(&self.installed).clone()
    }

    /// Generation of the installed configuration; 0 if there is none.
    pub fn generation(&self) -> u64 {
        let installed = lock(&self.installed);
        installed.as_ref().map_or(0, |installed| installed.configuration.generation)
    }

    /// Installs a configuration if it is newer than the installed one; returns whether it is.
    pub fn install(&self, configuration: Configuration) -> bool {
        let mut installed = lock(&self.installed);
        let current = installed.as_ref().map_or(0, |i| i.configuration.generation);
        if configuration.generation <= current {
            return false;
        }
        let generation = configuration.generation;
        lock(&self.router).install(generation, &configuration.policy);
        self.zero_new_spend_limits(&configuration);
        let keys = index_keys(&configuration);
        *installed = Some(Arc::new(InstalledConfiguration { configuration, keys }));
        spdlog::info!("configuration in force", kv: { generation });
        true
    }

    /// Sets the limit of newly capped workspaces to zero until their first slice is allocated.
    fn zero_new_spend_limits(&self, configuration: &Configuration) {
        let mut router = lock(&self.router);
        let mut capped = lock(&self.capped_workspaces);
        for (name, workspace) in &configuration.policy.workspaces {
            if workspace.spend_cap.is_some() && capped.insert(name.clone()) {
                router.set_spend_slice(name, Some(0.0));
            }
        }
        capped.retain(|name| {
            let workspace = configuration.policy.workspaces.get(name);
            workspace.is_some_and(|workspace| workspace.spend_cap.is_some())
        });
    }

    /// The newest record that this entry has read from the store or written to it.
    pub fn newest_record(&self) -> Option<PolicyRecord> {
        lock(&self.newest_record).clone()
    }

    /// Records a head record read from the store or written to it.
    pub fn record_head(&self, record: &PolicyRecord) {
        let mut newest = lock(&self.newest_record);
        if newest.as_ref().is_none_or(|newest| newest.generation < record.generation) {
            *newest = Some(record.clone());
        }
    }

    /// Records that the installed configuration was confirmed as the newest.
    pub fn confirm(&self) {
        *lock(&self.confirmed_at) = Instant::now();
    }

    /// Reports the entry as not ready from now on.
    pub fn begin_drain(&self) {
        if !self.draining.swap(true, Ordering::SeqCst) {
            spdlog::info!("draining", kv: { instance = self.settings.instance.as_str() });
        }
    }

    /// Whether the load balancer should send requests here.
    pub fn is_ready(&self) -> bool {
        let draining = self.draining.load(Ordering::SeqCst);
        !draining && self.generation() > 0 && self.agents.any_connected()
    }

    /// Increments a counter.
    pub fn count(&self, name: &str) {
        // NB: failures to send metrics are ignored.
        let _ = self.metrics.incr(name);
    }
}

fn index_keys(configuration: &Configuration) -> HashMap<String, WorkspaceId> {
    let mut keys = HashMap::new();
    for (name, workspace) in &configuration.policy.workspaces {
        for digest in &workspace.keys_sha256 {
            keys.insert(digest.clone(), name.clone());
        }
    }
    keys
}
