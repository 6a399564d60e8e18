//! The processes of a run, and what is done to them.

mod addresses;
mod entries;
mod servers;
mod store;

use std::{
    cell::{Cell, RefCell},
    collections::HashSet,
    fs,
    net::SocketAddr,
    path::PathBuf,
    rc::Rc,
    time::Duration,
};

use anyhow::ensure;
use pondwalk_standin::platform_store::{
    FaultModeOrder, RouteSpec, WarmUpSpec, configuration_entry,
};
use tokio::{
    task::spawn_local,
    time::{Instant, sleep},
};

pub use servers::{DATA_CENTRES, SERVER_RESTART, data_centre_of};

use addresses::Addresses;
use entries::{EntrySlot, place_entries};
use servers::ServerSlot;

use crate::{
    checks::{COLD_REQUESTS_PER_S, COLD_TIME},
    child::Child,
    options::Plan,
    proxy::Proxy,
    records::{Records, Route, Version, now_us},
};

/// Host of all routes.
pub const HOST_NAME: &str = "soak.example";
/// Time between two looks at whether an entry is ready.
const READY_LOOK: Duration = Duration::from_millis(200);
/// Time for all entries to become ready at the start.
const START_LIMIT: Duration = Duration::from_secs(20);

/// How servers warm up.
const WARM_UP: WarmUpSpec = WarmUpSpec { time: COLD_TIME, requests_per_s: COLD_REQUESTS_PER_S };

/// Everything that runs.
pub struct Deployment {
    folder: PathBuf,
    addresses: Addresses,
    store: SocketAddr,
    /// Way by which entries reach it.
    store_way: Rc<Proxy>,
    _store: Child,
    entries: Vec<EntrySlot>,
    servers: RefCell<Vec<Option<ServerSlot>>>,
    servers_started: Cell<usize>,
    repeaters: Cell<usize>,
    /// Data centres that are evacuated.
    evacuated: RefCell<HashSet<usize>>,
    version: Cell<Version>,
    /// What is seen.
    pub records: Rc<RefCell<Records>>,
}

impl Deployment {
    /// Starts all processes, and returns once all entries are ready.
    pub async fn start(plan: &Plan) -> anyhow::Result<Rc<Self>> {
        if plan.folder.exists() {
            fs::remove_dir_all(&plan.folder)?;
        }
        fs::create_dir_all(&plan.folder)?;
        let addresses = Addresses::of_this_run();
        let store = addresses.free().await?;
        let log = plan.folder.join("store.log");
        let child = Child::start(&["store", &store.to_string()], &log)?;
        let way = addresses.free().await?;
        let store_way = Proxy::start(way, store).await?;
        let entries = place_entries(plan, &addresses, way).await?;
        let deployment = Rc::new(Deployment {
            folder: plan.folder.clone(),
            addresses,
            store,
            store_way,
            _store: child,
            entries,
            servers: RefCell::default(),
            servers_started: Cell::new(0),
            repeaters: Cell::new(0),
            evacuated: RefCell::default(),
            version: Cell::new(0),
            records: Rc::default(),
        });
        deployment.wait_for_store().await?;
        deployment.configure().await?;
        for place in 0..2 * plan.size.servers {
            let server = deployment.start_server(place).await?;
            deployment.servers.borrow_mut().push(Some(server));
        }
        for place in 0..2 * plan.size.servers {
            spawn_local(Rc::clone(&deployment).look_after_server(place));
        }
        for entry in 0..plan.size.entries {
            deployment.start_entry(entry)?;
            spawn_local(Rc::clone(&deployment).look_after(entry));
        }
        deployment.wait_until_ready().await?;
        Ok(deployment)
    }

    /// Number of entries.
    pub fn entries(&self) -> usize {
        self.entries.len()
    }

    /// Where callers reach an entry, if the balancer would send them there.
    pub fn open_at(&self, entry: usize) -> Option<SocketAddr> {
        let slot = &self.entries[entry];
        slot.is_ready.get().then_some(slot.callers)
    }

    /// Number of another caller that brings a request again and again.
    pub fn next_repeater(&self) -> usize {
        let number = self.repeaters.get();
        self.repeaters.set(number + 1);
        number
    }

    /// Number of the newest configuration.
    pub fn version(&self) -> Version {
        self.version.get()
    }

    /// Writes a configuration with another key, and without the oldest.
    pub async fn configure(&self) -> anyhow::Result<()> {
        let version = self.version.get() + 1;
        let route = |route: Route| RouteSpec {
            prefix: route.path().to_owned(),
            kind: kind_of(route),
            service: service_of(route),
        };
        let keys: Vec<String> = [version, version.saturating_sub(1)].map(key_text).to_vec();
        let routes = Route::ALL.map(route);
        let (key, value) = configuration_entry(version, HOST_NAME, &routes, &keys, WARM_UP);
        self.put(&key, value.to_string()).await?;
        self.records.borrow_mut().configured_us.insert(version, now_us());
        self.version.set(version);
        Ok(())
    }

    async fn wait_until_ready(&self) -> anyhow::Result<()> {
        let limit = Instant::now() + START_LIMIT;
        while !self.entries.iter().all(|slot| slot.is_ready.get()) {
            ensure!(Instant::now() < limit, "entries are not ready after {START_LIMIT:?}");
            sleep(READY_LOOK).await;
        }
        Ok(())
    }

    async fn wait_for_store(&self) -> anyhow::Result<()> {
        let limit = Instant::now() + START_LIMIT;
        while self.set_weather(FaultModeOrder::Fair).await.is_err() {
            ensure!(Instant::now() < limit, "the store does not answer");
            sleep(READY_LOOK).await;
        }
        Ok(())
    }
}

/// Text of the key that a configuration brings.
pub fn key_text(version: Version) -> String {
    format!("key-{version}")
}

fn kind_of(route: Route) -> &'static str {
    match route {
        Route::Once => "non_idempotent",
        Route::Again => "idempotent",
        Route::Stream => "streaming",
    }
}

fn service_of(route: Route) -> &'static str {
    if route == Route::Stream { "streams" } else { "plain" }
}
