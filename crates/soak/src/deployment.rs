//! The processes of a run and the faults injected into them.

mod addresses;
mod configurations;
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
use pondwalk_standin::platform_store::{FaultModeOrder, WarmUpSpec};
use tokio::{
    task::spawn_local,
    time::{Instant, sleep},
};

pub use configurations::ODD_VALUE_COUNT;
pub use servers::{DATA_CENTRES, SERVER_RESTART, data_centre_of};

use addresses::Addresses;
use entries::{EntrySlot, prepare_entries};
use servers::ServerSlot;

use crate::{
    checks::{COLD_REQUESTS_PER_S, WARM_UP_TIME},
    child::Child,
    options::Plan,
    records::{ConfigVersion, Records, Route, TimeUs},
};

/// Host of all routes.
pub const HOST_NAME: &str = "soak.example";
/// Polling interval for the readiness of processes.
const READY_POLL: Duration = Duration::from_millis(200);
/// Timeout for processes to become ready.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Warm-up settings of all servers.
const WARM_UP: WarmUpSpec = WarmUpSpec { time: WARM_UP_TIME, requests_per_s: COLD_REQUESTS_PER_S };

/// A running deployment.
pub struct Deployment {
    folder: PathBuf,
    addresses: Addresses,
    store: SocketAddr,
    _store: Child,
    entries: Vec<EntrySlot>,
    servers: RefCell<Vec<Option<ServerSlot>>>,
    servers_started: Cell<usize>,
    repeaters: Cell<usize>,
    /// Data centres that are being evacuated.
    evacuated: RefCell<HashSet<usize>>,
    config_version: Cell<ConfigVersion>,
    /// Since when the newest configuration has been one of which nothing can be read.
    unreadable_from: Cell<Option<TimeUs>>,
    /// Entry to which most new connections of callers go, if any.
    pub concentrated_on: Cell<Option<usize>>,
    /// Records of the run.
    pub records: Rc<RefCell<Records>>,
}

impl Deployment {
    /// Starts all processes and returns when all entries are ready.
    pub async fn start(plan: &Plan) -> anyhow::Result<Rc<Self>> {
        if plan.folder.exists() {
            fs::remove_dir_all(&plan.folder)?;
        }
        fs::create_dir_all(&plan.folder)?;
        let addresses = Addresses::for_this_process();
        let store = addresses.allocate().await?;
        let log = plan.folder.join("store.log");
        let child = Child::start(&["store", &store.to_string()], &log)?;
        let entries = prepare_entries(plan, &addresses, store).await?;
        let deployment = Rc::new(Deployment {
            folder: plan.folder.clone(),
            addresses,
            store,
            _store: child,
            entries,
            servers: RefCell::default(),
            servers_started: Cell::new(0),
            repeaters: Cell::new(0),
            evacuated: RefCell::default(),
            config_version: Cell::new(0),
            unreadable_from: Cell::new(None),
            concentrated_on: Cell::new(None),
            records: Rc::default(),
        });
        deployment.wait_for_store().await?;
        deployment.configure().await?;
        for index in 0..2 * plan.size.servers {
            let server = deployment.start_server(index).await?;
            deployment.servers.borrow_mut().push(Some(server));
        }
        for index in 0..2 * plan.size.servers {
            spawn_local(Rc::clone(&deployment).supervise_server(index));
        }
        for entry in 0..plan.size.entries {
            deployment.start_entry(entry)?;
            spawn_local(Rc::clone(&deployment).poll_readiness(entry));
        }
        deployment.wait_until_ready().await?;
        Ok(deployment)
    }

    /// Number of entries.
    pub fn entries(&self) -> usize {
        self.entries.len()
    }

    /// Returns the address of an entry for callers if the entry is ready.
    pub fn ready_address(&self, entry: usize) -> Option<SocketAddr> {
        let slot = &self.entries[entry];
        slot.is_ready.get().then_some(slot.caller_address)
    }

    /// Returns the address of an entry for callers.
    pub fn caller_address(&self, entry: usize) -> SocketAddr {
        self.entries[entry].caller_address
    }

    /// Returns the number of the next repeater.
    pub fn next_repeater_number(&self) -> usize {
        let number = self.repeaters.get();
        self.repeaters.set(number + 1);
        number
    }

    /// Returns the version of the newest configuration.
    pub fn config_version(&self) -> ConfigVersion {
        self.config_version.get()
    }

    async fn wait_until_ready(&self) -> anyhow::Result<()> {
        let limit = Instant::now() + START_TIMEOUT;
        while !self.entries.iter().all(|slot| slot.is_ready.get()) {
            ensure!(Instant::now() < limit, "entries are not ready after {START_TIMEOUT:?}");
            sleep(READY_POLL).await;
        }
        Ok(())
    }

    async fn wait_for_store(&self) -> anyhow::Result<()> {
        let limit = Instant::now() + START_TIMEOUT;
        while self.set_fault_mode(FaultModeOrder::Fair).await.is_err() {
            ensure!(Instant::now() < limit, "the store does not answer");
            sleep(READY_POLL).await;
        }
        Ok(())
    }
}

/// Returns the text of the key that a configuration adds.
pub fn key_text(config_version: ConfigVersion) -> String {
    format!("key-{config_version}")
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
