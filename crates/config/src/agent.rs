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

/// Whether the backend server checks who gives it orders.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderCheck {
    /// It refuses an order whose fence is lower than one it has seen.
    Fence,
    /// It obeys whoever asks.
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

/// What the agent's backend server is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BackendKind {
    /// A model engine that speaks chat completions.
    Engine,
    /// A plain service whose calls are passed through.
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
    /// The backend server it stands beside.
    pub server: ServerId,
    /// Where it runs.
    pub data_centre: DataCentreId,
    /// Where entries connect.
    pub listen: SocketAddr,
    /// Traffic threads.
    pub threads: usize,
    /// The backend server's address.
    pub backend: SocketAddr,
    /// What the backend server is.
    pub kind: BackendKind,
    /// Versions, or the one service, that it hosts at the start.
    pub versions: Vec<VersionId>,
    /// Requests it runs at a time.
    pub slots: u32,
    /// Requests that may wait for a slot.
    pub queue: u32,
    /// Longest silence of the backend server within an answer.
    pub idle_timeout: Duration,
    /// Whether the backend server checks orders.
    pub order_check: OrderCheck,
    /// Longest time a planned stop waits for work in flight.
    pub drain: Duration,
    /// How long an answer that no entry fetches is kept.
    pub retain: Duration,
    /// The platform's key-value service.
    pub store: StoreSettings,
    /// Counters, spans and logs.
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
    let threads = file.within(SECTION, "threads", "a whole number from 1 to 256", (1, 256), 1);
    let backend = file.required(BACKEND, "address", ADDRESS);
    let kind = file.or(BACKEND, "kind", "engine or service", BackendKind::Engine);
    let versions = versions(file);
    let slots = file.within(BACKEND, "slots", count, (1, 100_000), 8);
    let queue = file.within(BACKEND, "queue", count, (1, 100_000), 16);
    let idle_timeout = file.millis(BACKEND, "idle_timeout_ms", 30_000);
    let order_check = file.or(BACKEND, "order_check", "fence or none", OrderCheck::None);
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

fn versions(file: &mut RawFile) -> Option<Vec<VersionId>> {
    let expected = "at least one version or service name";
    let text: String = file.required(BACKEND, "versions", expected)?;
    let versions = RawFile::items(&text);
    if versions.is_empty() {
        file.fault(BACKEND, "versions", Problem::Invalid { found: text, expected });
        return None;
    }
    Some(versions)
}
