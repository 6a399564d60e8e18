//! What all parts of an entry share.

use std::{
    collections::{HashMap, HashSet},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use cadence::{CountedExt, StatsdClient};
use pondwalk_config::EntrySettings;
use pondwalk_decide::Router;
use pondwalk_ledger::Claims;
use pondwalk_store::Store;
use pondwalk_threads::lock;
use pondwalk_types::{AttemptId, Incarnation, Price, WorkspaceId};
use pondwalk_wire::Configuration;
use tokio::{runtime::Handle, time::Instant};

use crate::{bills::Bills, fleet::Fleet, pins::PinSigner, rating::RatingClient, spend::Slices};

/// A configuration with its callers' keys at hand.
#[derive(Debug)]
pub struct Installed {
    /// The configuration.
    pub configuration: Configuration,
    /// Workspaces by the digest of their callers' keys.
    pub keys: HashMap<String, WorkspaceId>,
}

impl Installed {
    /// The price of a version.
    pub fn price(&self, version: &str) -> Price {
        self.configuration.policy.price_of(version).unwrap_or_default()
    }
}

/// State shared by the entry's traffic and control threads.
#[derive(Debug)]
pub struct Core {
    /// Checked settings.
    pub settings: EntrySettings,
    /// Tells this process from its restarts.
    pub incarnation: Incarnation,
    /// The decision.
    pub router: Mutex<Router>,
    /// Connections to agents.
    pub fleet: Fleet,
    /// Signs and checks session pins.
    pub pins: PinSigner,
    /// Claims on idempotency keys.
    pub claims: Claims,
    /// Bills not yet durable.
    pub bills: Bills,
    /// Slices of spend caps.
    pub slices: Slices,
    /// The rating service, if there is one.
    pub rating: Option<RatingClient>,
    /// The platform's store.
    pub store: Store,
    /// Counters.
    pub metrics: StatsdClient,
    /// Where requests are served.
    pub traffic: Handle,
    installed: Mutex<Option<Arc<Installed>>>,
    /// Workspaces with a cap, which live on slices.
    capped: Mutex<HashSet<WorkspaceId>>,
    confirmed: Mutex<Instant>,
    draining: AtomicBool,
    next_attempt: AtomicU64,
    started: Instant,
}

impl Core {
    /// The state of a new entry process; to be called within its traffic runtime.
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
            fleet: Fleet::default(),
            pins: PinSigner::new(&settings.signing_key, settings.former_signing_key.as_deref()),
            claims: Claims::spawn(store.clone()),
            bills: Bills::new(incarnation),
            slices: Slices::default(),
            rating: settings.rating.map(RatingClient::new),
            store,
            metrics,
            traffic,
            installed: Mutex::default(),
            capped: Mutex::default(),
            confirmed: Mutex::new(Instant::now()),
            draining: AtomicBool::new(false),
            next_attempt: AtomicU64::new(1),
            started: Instant::now(),
            settings,
        }
    }

    /// Time since the process started, as the pure decision code wants it.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// A number for a new attempt.
    pub fn attempt(&self) -> AttemptId {
        self.next_attempt.fetch_add(1, Ordering::Relaxed)
    }

    /// The configuration in force, unless it has been unconfirmed for too long.
    pub fn installed(&self) -> Option<Arc<Installed>> {
        if let Some(bound) = self.settings.config_bound
            && lock(&self.confirmed).elapsed() > bound
        {
            return None;
        }
        lock(&self.installed).clone()
    }

    /// Generation in force; zero before the first.
    pub fn generation(&self) -> u64 {
        let installed = lock(&self.installed);
        installed.as_ref().map_or(0, |installed| installed.configuration.generation)
    }

    /// Puts a configuration in force if it is newer; tells whether it was.
    pub fn install(&self, configuration: Configuration) -> bool {
        let mut installed = lock(&self.installed);
        let current = installed.as_ref().map_or(0, |i| i.configuration.generation);
        if configuration.generation <= current {
            return false;
        }
        let generation = configuration.generation;
        lock(&self.router).install(generation, &configuration.policy);
        self.limit_new_caps(&configuration);
        let keys = keys(&configuration);
        *installed = Some(Arc::new(Installed { configuration, keys }));
        spdlog::info!("configuration in force", kv: { generation });
        true
    }

    /// A workspace with a cap may spend nothing here before its first slice.
    fn limit_new_caps(&self, configuration: &Configuration) {
        let mut router = lock(&self.router);
        let mut limited = lock(&self.capped);
        for (name, workspace) in &configuration.policy.workspaces {
            if workspace.spend_cap.is_some() && limited.insert(name.clone()) {
                router.set_spend_slice(name, Some(0.0));
            }
        }
        limited.retain(|name| {
            let workspace = configuration.policy.workspaces.get(name);
            workspace.is_some_and(|workspace| workspace.spend_cap.is_some())
        });
    }

    /// Notes that the configuration in force was confirmed as the newest.
    pub fn confirm(&self) {
        *lock(&self.confirmed) = Instant::now();
    }

    /// Is unready from now on.
    pub fn begin_drain(&self) {
        if !self.draining.swap(true, Ordering::SeqCst) {
            spdlog::info!("draining", kv: { instance = self.settings.instance.as_str() });
        }
    }

    /// Whether the balancer should send callers here.
    pub fn is_ready(&self) -> bool {
        let draining = self.draining.load(Ordering::SeqCst);
        !draining && self.generation() > 0 && self.fleet.any_connected()
    }

    /// Adds one to a counter.
    pub fn count(&self, name: &str) {
        // NB: a counter that cannot be sent is not worth failing for.
        let _ = self.metrics.incr(name);
    }
}

fn keys(configuration: &Configuration) -> HashMap<String, WorkspaceId> {
    let mut keys = HashMap::new();
    for (name, workspace) in &configuration.policy.workspaces {
        for digest in &workspace.keys_sha256 {
            keys.insert(digest.clone(), name.clone());
        }
    }
    keys
}
