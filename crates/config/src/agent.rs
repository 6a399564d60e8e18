//! Settings of an agent process.

use std::{net::SocketAddr, time::Duration};

use pondwalk_types::{DataCentreId, ServerId, VersionId};

use crate::{
    error::{ConfigError, Problem},
    raw::RawFile,
    shared::{ADDRESS, StoreSettings, TelemetrySettings},
};

const SECTION: &str = "agent";
const BACKEND: &str = "backend_server";

/// How the backend server checks the authority of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderCheck {
    /// It rejects an order whose fencing token is lower than the highest received.
    Fence,
    /// It accepts every order.
    None,
}

impl std::str::FromStr for OrderCheck {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "fence" => Ok(OrderCheck::Fence),
            "none" => Ok(OrderCheck::None),
            _ => Err(()),
        }
    }
}

/// Kind of the agent's backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BackendKind {
    /// A model engine that speaks chat completions.
    Engine,
    /// A plain service, to which calls are forwarded unchanged.
    Service,
}

impl std::str::FromStr for BackendKind {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "engine" => Ok(BackendKind::Engine),
            "service" => Ok(BackendKind::Service),
            _ => Err(()),
        }
    }
}

/// Checked settings of an agent process.
#[derive(Debug, Clone)]
pub struct AgentSettings {
    /// Id of the agent's backend server.
    pub server: ServerId,
    /// Data centre that the agent runs in.
    pub data_centre: DataCentreId,
    /// Address on which entries connect.
    pub listen: SocketAddr,
    /// Number of traffic threads.
    pub threads: usize,
    /// Address of the backend server.
    pub backend: SocketAddr,
    /// Kind of the backend server.
    pub kind: BackendKind,
    /// Versions, or the single service, that the server hosts at the start.
    pub versions: Vec<VersionId>,
    /// Number of requests that the server runs concurrently.
    pub slots: u32,
    /// Number of requests that may wait for a slot.
    pub queue: u32,
    /// Longest pause of the backend server within a response.
    pub idle_timeout: Duration,
    /// How the backend server checks orders.
    pub order_check: OrderCheck,
    /// Longest time that a planned stop waits for requests in flight.
    pub drain: Duration,
    /// Time for which a response that no entry fetches is kept.
    pub retain: Duration,
    /// The platform's key-value store.
    pub store: StoreSettings,
    /// Metrics, traces and logs.
    pub telemetry: TelemetrySettings,
}

impl TryFrom<RawFile> for AgentSettings {
    type Error = ConfigError;

    fn try_from(mut file: RawFile) -> Result<Self, ConfigError> {
        let settings = read(&mut file);
        file.finish(settings)
    }
}

fn read(file: &mut RawFile) -> Option<AgentSettings> {
    let count = "a whole number from 1 to 100000";
    let server = file.required(SECTION, "server", "a name");
    let data_centre = file.required(SECTION, "data_centre", "a name");
    let listen = file.required(SECTION, "listen", ADDRESS);
    let threads = file.bounded(SECTION, "threads", "a whole number from 1 to 256", (1, 256), 1);
    let backend = file.required(BACKEND, "address", ADDRESS);
    let kind = file.value_or(BACKEND, "kind", "engine or service", BackendKind::Engine);
    let versions = read_versions(file);
    let slots = file.bounded(BACKEND, "slots", count, (1, 100_000), 8);
    let queue = file.bounded(BACKEND, "queue", count, (1, 100_000), 16);
    let idle_timeout = file.millis(BACKEND, "idle_timeout_ms", 30_000);
    let order_check = file.value_or(BACKEND, "order_check", "fence or none", OrderCheck::None);
    let drain = file.millis(SECTION, "drain_ms", 120_000);
    let retain = file.millis(SECTION, "retain_ms", 30_000);
    let store = StoreSettings::read(file);
    let telemetry = TelemetrySettings::read(file);
    Some(AgentSettings {
        server: server?,
        data_centre: data_centre?,
        listen: listen?,
        threads,
        backend: backend?,
        kind,
        versions: versions?,
        slots,
        queue,
        idle_timeout,
        order_check,
        drain,
        retain,
        store: store?,
        telemetry,
    })
}

fn read_versions(file: &mut RawFile) -> Option<Vec<VersionId>> {
    let expected = "at least one version or service name";
    let text: String = file.required(BACKEND, "versions", expected)?;
    let versions = RawFile::split_list(&text);
    if versions.is_empty() {
        file.add_fault(BACKEND, "versions", Problem::Invalid { found: text, expected });
        return None;
    }
    Some(versions)
}
