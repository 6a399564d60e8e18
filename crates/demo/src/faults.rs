//! Fault injection: each fault comes with the properties that must hold nevertheless.
//!
//! The demo prints the findings; the tests assert that no case is broken.

mod configuration;
mod draining;
mod idempotency;
mod limits;
mod orders;
mod plan;
mod sessions;
mod streams;

use std::time::Duration;

use crate::{
    caller::{CallerReply, CallerRequest, call},
    day::DemoError,
    deployment::Deployment,
};

pub use plan::fault_plan;

/// Timeout for all processes to connect.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// Result of injecting a fault.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// Description of the fault and the expected result.
    pub name: &'static str,
    /// Number of checked cases.
    pub checked: u64,
    /// Descriptions of the broken cases.
    pub broken: Vec<String>,
}

impl Finding {
    fn new(name: &'static str) -> Self {
        Finding { name, checked: 0, broken: Vec::new() }
    }

    /// Counts a case; adds `description` to the broken cases unless it holds.
    fn expect(&mut self, holds: bool, description: impl FnOnce() -> String) {
        self.checked += 1;
        if !holds {
            self.broken.push(description());
        }
    }
}

/// A fault to inject.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The same order is sent through two entries at once, and again later.
    RepeatedKeys,
    /// An agent is killed with requests in flight.
    AgentKilled,
    /// The store is down while requests, orders and bills arrive.
    StoreDown,
    /// An entry is killed before its bills are written.
    EntryKilled,
    /// Session pins are altered or belong to another workspace.
    ForgedPins,
    /// Every agent and entry is replaced during sessions.
    EverythingReplaced,
    /// An entry without the store receives configurations from agents.
    CutFromStore,
    /// The store is restored from a copy that lacks the latest configurations.
    RestoredStore,
    /// An agent and an entry are drained under streaming load.
    PlannedStops,
    /// Answers are cut before and after the first tokens were delivered.
    CutAnswers,
    /// Orders carry an old fencing token, or have expired.
    StaleOrders,
    /// The coordinator of a roll-out is killed.
    CoordinatorKilled,
    /// Entries are idle for longer than agents retain answers.
    IdleEntry,
    /// Servers announce rate limits.
    ServerLimits,
}

impl Fault {
    /// All faults in the order of the demo.
    pub const ALL: [Fault; 14] = [
        Fault::RepeatedKeys,
        Fault::AgentKilled,
        Fault::StoreDown,
        Fault::EntryKilled,
        Fault::ForgedPins,
        Fault::EverythingReplaced,
        Fault::CutFromStore,
        Fault::RestoredStore,
        Fault::PlannedStops,
        Fault::CutAnswers,
        Fault::StaleOrders,
        Fault::CoordinatorKilled,
        Fault::IdleEntry,
        Fault::ServerLimits,
    ];

    /// Injects the fault into a new deployment and checks the expected result.
    pub async fn inject(self) -> Result<Finding, DemoError> {
        let mut deployment = Deployment::start(&fault_plan()).await?;
        if !deployment.wait_ready(START_TIMEOUT).await {
            return Err(DemoError::NotReady);
        }
        match self {
            Fault::RepeatedKeys => idempotency::repeated_keys(&deployment).await,
            Fault::AgentKilled => idempotency::agent_killed(&mut deployment).await,
            Fault::StoreDown => idempotency::store_down(&deployment).await,
            Fault::EntryKilled => idempotency::entry_killed(&mut deployment).await,
            Fault::ForgedPins => sessions::forged_pins(&deployment).await,
            Fault::EverythingReplaced => sessions::everything_replaced(&mut deployment).await,
            Fault::CutFromStore => configuration::cut_from_store(&mut deployment).await,
            Fault::RestoredStore => configuration::restored_store(&deployment).await,
            Fault::PlannedStops => draining::planned_stops(&mut deployment).await,
            Fault::CutAnswers => streams::cut_answers(&deployment).await,
            Fault::StaleOrders => orders::stale_orders(&deployment).await,
            Fault::IdleEntry => draining::idle_entry(&deployment).await,
            Fault::ServerLimits => limits::server_limits(&deployment).await,
            Fault::CoordinatorKilled => orders::coordinator_killed(&mut deployment).await,
        }
    }
}

/// Returns the base request of all scenarios.
fn request(id: &str) -> CallerRequest {
    CallerRequest {
        request: id.to_owned(),
        key: plan::KEY.to_owned(),
        task: "note".to_owned(),
        deadline: Duration::from_secs(20),
        repeatable: true,
        prompt: format!("<ref:{id}> please"),
        ..CallerRequest::default()
    }
}

/// Sends a request to the entry with this number, modulo the number of entries.
async fn send(deployment: &Deployment, entry: usize, request: &CallerRequest) -> CallerReply {
    let addresses = deployment.entry_addresses();
    call(&reqwest::Client::new(), addresses[entry % addresses.len()], request).await
}

/// Sends a request in the background.
fn send_in_background(
    deployment: &Deployment,
    entry: usize,
    request: CallerRequest,
) -> tokio::task::JoinHandle<CallerReply> {
    let addresses = deployment.entry_addresses();
    let address = addresses[entry % addresses.len()];
    tokio::spawn(async move { call(&reqwest::Client::new(), address, &request).await })
}

/// Returns the number of runs of a request at backend servers.
fn runs_of(deployment: &Deployment, request: &str) -> usize {
    deployment.runs().iter().filter(|(id, _)| id == request).count()
}

/// Polls a condition until it holds; returns `false` after `limit`.
async fn wait_until(limit: Duration, mut holds: impl AsyncFnMut() -> bool) -> bool {
    const POLL: Duration = Duration::from_millis(20);
    let waiting = async {
        while !holds().await {
            tokio::time::sleep(POLL).await;
        }
    };
    tokio::time::timeout(limit, waiting).await.is_ok()
}
