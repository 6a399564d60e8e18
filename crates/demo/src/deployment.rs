//! A deployment of stand-ins, agents and entries in one process.

use std::{collections::BTreeMap, io, net::SocketAddr, path::Path, time::Duration};

use cadence::{NopMetricSink, StatsdClient};
use pondwalk_agent::RunningAgent;
use pondwalk_config::{
    AgentSettings, ConfigError, EntrySettings, PolicyRecord, RawFile, policy_from_ini,
};
use pondwalk_entry::RunningEntry;
use pondwalk_generations::{ChangeError, OnConflict, commit_edit, replace_policy};
use pondwalk_standin::{
    ANY_PORT, Engine, InstanceList, KvCopy, KvFaults, KvStore, ListedInstance, PlainService,
    RatingService, VersionProfile, kv::KvServer,
};
use pondwalk_store::{Store, http_transport};
use pondwalk_threads::StartError;
use thiserror::Error;

/// Delay with which the list of instances shows changes.
const LIST_LAG: Duration = Duration::from_millis(500);
/// Timeout of calls to the store.
const STORE_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay of each rating.
const RATING_DELAY: Duration = Duration::from_millis(20);
/// Key that signs session pins.
const SIGNING_KEY: &str = "a key for loopback only";

/// Errors at the start of a deployment.
#[derive(Debug, Error)]
pub enum DeploymentError {
    /// A stand-in could not listen.
    #[error("a stand-in cannot listen: {0}")]
    Standin(#[from] io::Error),
    /// Settings were rejected.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// A role could not start.
    #[error(transparent)]
    Role(#[from] StartError),
    /// The policy was rejected.
    #[error(transparent)]
    Change(#[from] ChangeError),
}

/// Plan of a backend server.
#[derive(Debug, Clone)]
pub struct ServerPlan {
    /// Name of the server.
    pub server: String,
    /// Data centre of the server.
    pub data_centre: String,
    /// Hosted versions with their profiles; empty for a plain service.
    pub versions: BTreeMap<String, VersionProfile>,
    /// Version that is loaded at the start; all versions if `None`.
    pub loaded: Option<String>,
    /// Name of the plain service; `None` for an engine.
    pub service: Option<String>,
    /// Number of concurrent requests.
    pub slots: u32,
}

/// Plan of a deployment.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Backend servers.
    pub servers: Vec<ServerPlan>,
    /// Number of entries.
    pub entries: usize,
    /// Policy in INI format.
    pub policy_ini: String,
    /// Additional lines for the settings of entries.
    pub entry_ini: String,
}

/// A backend server with its agent.
#[derive(Debug)]
pub struct ServerUnit {
    /// Name of the server.
    pub server: String,
    /// Engine; `None` for a plain service.
    pub engine: Option<Engine>,
    /// Plain service; `None` for an engine.
    pub service: Option<PlainService>,
    /// Agent; `None` after it was stopped.
    pub agent: Option<RunningAgent>,
    settings: AgentSettings,
}

/// A running deployment.
#[derive(Debug)]
pub struct Deployment {
    /// Stand-in of the platform's key-value service.
    pub kv: KvServer,
    /// Stand-in of the list of instances.
    pub instances: InstanceList,
    /// Stand-in of the rating service.
    pub rating: RatingService,
    /// Backend servers with their agents.
    pub servers: Vec<ServerUnit>,
    /// Entries; `None` after an entry was stopped.
    pub entries: Vec<Option<RunningEntry>>,
    entry_ini: String,
}

impl Deployment {
    /// Starts all processes and applies the policy.
    pub async fn start(plan: &Plan) -> Result<Self, DeploymentError> {
        let kv = KvStore::default().listen(ANY_PORT).await?;
        let rating = RatingService::start(ANY_PORT, RATING_DELAY).await?;
        let mut servers = Vec::with_capacity(plan.servers.len());
        for server in &plan.servers {
            servers.push(start_server(server, kv.address()).await?);
        }
        let listed = servers.iter().zip(&plan.servers).map(|(unit, plan)| listed(unit, plan));
        let instances = InstanceList::start(ANY_PORT, LIST_LAG, listed.collect()).await?;
        let mut deployment = Deployment {
            kv,
            instances,
            rating,
            servers,
            entries: Vec::new(),
            entry_ini: plan.entry_ini.clone(),
        };
        deployment.apply(&plan.policy_ini).await?;
        for _ in 0..plan.entries {
            deployment.add_entry().await?;
        }
        Ok(deployment)
    }

    /// Starts one more entry.
    pub async fn add_entry(&mut self) -> Result<(), DeploymentError> {
        let store = Store::new(http_transport(self.kv.address()), STORE_TIMEOUT);
        self.add_entry_with(store).await
    }

    /// Starts one more entry that cannot reach the store.
    pub async fn add_entry_without_store(&mut self) -> Result<(), DeploymentError> {
        let store = KvStore::default();
        store.set_faults(KvFaults { down: true, ..KvFaults::default() });
        self.add_entry_with(Store::new(store.transport(), STORE_TIMEOUT)).await
    }

    async fn add_entry_with(&mut self, store: Store) -> Result<(), DeploymentError> {
        let number = self.entries.len();
        let text = format!(
            "[entry]\ninstance = {}\ndata_centre = dc{}\nlisten = 127.0.0.1:0\n\
             heartbeat_ms = 200\nunready_notice_ms = 200\n\
             [sessions]\nsigning_key = {SIGNING_KEY}\n\
             [store]\naddress = {}\n[instances]\naddress = {}\nevery_ms = 300\n\
             [rating]\naddress = {}\n{}\n",
            entry_name(number),
            number % 3 + 1,
            self.kv.address(),
            self.instances.address(),
            self.rating.address(),
            self.entry_ini,
        );
        let settings = EntrySettings::try_from(RawFile::parse(Path::new("entry.ini"), &text)?)?;
        // A role creates a runtime, which must not happen on a thread that runs one.
        let entry =
            tokio::task::spawn_blocking(move || RunningEntry::start(settings, store, no_metrics()));
        let entry = entry.await.map_err(io::Error::other)??;
        let listed = ListedInstance {
            instance: entry_name(number),
            role: "entry".to_owned(),
            data_centre: format!("dc{}", number % 3 + 1),
            address: entry.address(),
            state: "live".to_owned(),
        };
        self.instances.change(|list| list.push(listed));
        self.entries.push(Some(entry));
        Ok(())
    }

    /// Commits a policy as the next generation.
    pub async fn apply(&self, policy_ini: &str) -> Result<PolicyRecord, DeploymentError> {
        let policy = policy_from_ini(RawFile::parse(Path::new("policy.ini"), policy_ini)?)?;
        let edit = |current: &_| Ok(replace_policy(current, &policy, &[]));
        Ok(commit_edit(&self.store(), rand::random(), OnConflict::Abort, edit).await?)
    }

    /// Copies the state of the platform's store.
    pub fn copy_store(&self) -> KvCopy {
        self.kv.store.copy()
    }

    /// Restores the platform's store from a copy.
    pub fn restore_store(&self, copy: &KvCopy) {
        self.kv.store.restore(copy);
    }

    /// Returns a client of the platform's store.
    pub fn store(&self) -> Store {
        Store::new(self.kv.store.transport(), STORE_TIMEOUT)
    }

    /// Returns the addresses of the running entries.
    pub fn entry_addresses(&self) -> Vec<SocketAddr> {
        self.entries.iter().flatten().map(RunningEntry::address).collect()
    }

    /// Returns whether every running entry reports that it is ready.
    pub fn is_ready(&self) -> bool {
        self.entries.iter().flatten().all(RunningEntry::is_ready)
    }

    /// Waits until all entries are ready and connected to all agents; returns `false` after `limit`.
    pub async fn wait_ready(&self, limit: Duration) -> bool {
        const POLL: Duration = Duration::from_millis(20);
        let agents = self.servers.iter().filter(|unit| unit.agent.is_some()).count();
        let ready = async {
            for address in self.entry_addresses() {
                while connected_agents(address).await < agents {
                    tokio::time::sleep(POLL).await;
                }
            }
            while !self.is_ready() {
                tokio::time::sleep(POLL).await;
            }
        };
        tokio::time::timeout(limit, ready).await.is_ok()
    }

    /// Stops an agent gracefully; returns whether it stopped cleanly.
    pub async fn drain_agent(&mut self, server: usize) -> bool {
        let unit = &mut self.servers[server];
        match unit.agent.take() {
            Some(agent) => agent.drain().await,
            None => true,
        }
    }

    /// Stops an agent immediately, as in a crash.
    pub async fn kill_agent(&mut self, server: usize) {
        if let Some(agent) = self.servers[server].agent.take() {
            // Dropping a role joins a thread, which would block this one.
            let _ = tokio::task::spawn_blocking(move || drop(agent)).await;
        }
    }

    /// Starts a new agent for a backend server, at a new address.
    pub async fn restart_agent(&mut self, server: usize) -> Result<(), DeploymentError> {
        let unit = &mut self.servers[server];
        let agent = start_agent(unit.settings.clone(), self.kv.address()).await?;
        let address = agent.address();
        unit.agent = Some(agent);
        let name = unit.server.clone();
        self.instances.change(|list| {
            for instance in list.iter_mut().filter(|instance| instance.instance == name) {
                instance.address = address;
            }
        });
        Ok(())
    }

    /// Stops an entry immediately, as in a crash.
    pub async fn kill_entry(&mut self, entry: usize) {
        self.unlist_entry(entry);
        if let Some(entry) = self.entries[entry].take() {
            // Dropping a role joins a thread, which would block this one.
            let _ = tokio::task::spawn_blocking(move || drop(entry)).await;
        }
    }

    fn unlist_entry(&self, entry: usize) {
        let name = entry_name(entry);
        self.instances.change(|list| list.retain(|instance| instance.instance != name));
    }

    /// Stops an entry gracefully; returns whether it stopped cleanly.
    pub async fn drain_entry(&mut self, entry: usize) -> bool {
        self.unlist_entry(entry);
        match self.entries[entry].take() {
            Some(entry) => entry.drain().await,
            None => true,
        }
    }

    /// Returns the ids of all requests that backend servers ran, with the version or service that ran them.
    pub fn runs(&self) -> Vec<(String, String)> {
        let mut runs = Vec::new();
        for unit in &self.servers {
            if let Some(engine) = &unit.engine {
                runs.extend(engine.log().into_iter().map(|line| (line.request, line.version)));
            }
            if let Some(service) = &unit.service {
                let name = unit.settings.versions[0].clone();
                runs.extend(service.log().into_iter().map(|request| (request, name.clone())));
            }
        }
        runs
    }
}

fn entry_name(number: usize) -> String {
    format!("entry-{number}")
}

/// Returns the number of agents that an entry is connected to.
async fn connected_agents(entry: SocketAddr) -> usize {
    let status = reqwest::get(format!("http://{entry}/status")).await;
    let Ok(status) = status else {
        return 0;
    };
    let status: serde_json::Value = status.json().await.unwrap_or_default();
    let agents = status["agents"].as_array().map(Vec::as_slice).unwrap_or_default();
    agents.iter().filter(|agent| agent["connected"] == true).count()
}

async fn start_server(plan: &ServerPlan, kv: SocketAddr) -> Result<ServerUnit, DeploymentError> {
    const SERVICE_TIME: Duration = Duration::from_millis(5);
    let (engine, service, backend, kind, versions) = match &plan.service {
        Some(name) => {
            let service = PlainService::start(ANY_PORT, SERVICE_TIME).await?;
            let address = service.address();
            (None, Some(service), address, "service", name.clone())
        }
        None => {
            let engine = Engine::start(ANY_PORT, plan.versions.clone()).await?;
            let address = engine.address();
            let all: Vec<&str> = plan.versions.keys().map(String::as_str).collect();
            let versions = plan.loaded.clone().unwrap_or_else(|| all.join(", "));
            (Some(engine), None, address, "engine", versions)
        }
    };
    let text = format!(
        "[agent]\nserver = {}\ndata_centre = {}\nlisten = 127.0.0.1:0\nretain_ms = 3000\n\
         [backend_server]\naddress = {backend}\nkind = {kind}\nversions = {versions}\nslots = {}\n\
         [store]\naddress = {kv}\n",
        plan.server, plan.data_centre, plan.slots,
    );
    let settings = AgentSettings::try_from(RawFile::parse(Path::new("agent.ini"), &text)?)?;
    let agent = start_agent(settings.clone(), kv).await?;
    let server = plan.server.clone();
    Ok(ServerUnit { server, engine, service, agent: Some(agent), settings })
}

async fn start_agent(
    settings: AgentSettings,
    kv: SocketAddr,
) -> Result<RunningAgent, DeploymentError> {
    let store = Store::new(http_transport(kv), STORE_TIMEOUT);
    // A role creates a runtime, which must not happen on a thread that runs one.
    let agent =
        tokio::task::spawn_blocking(move || RunningAgent::start(settings, store, no_metrics()));
    Ok(agent.await.map_err(io::Error::other)??)
}

fn listed(unit: &ServerUnit, plan: &ServerPlan) -> ListedInstance {
    let unset = SocketAddr::from(([127, 0, 0, 1], 0));
    ListedInstance {
        instance: unit.server.clone(),
        role: "agent".to_owned(),
        data_centre: plan.data_centre.clone(),
        address: unit.agent.as_ref().map_or(unset, RunningAgent::address),
        state: "live".to_owned(),
    }
}

fn no_metrics() -> StatsdClient {
    StatsdClient::from_sink("pondwalk", NopMetricSink)
}
