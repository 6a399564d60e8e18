//! Faults brought about on purpose, each with what must hold nevertheless.
//!
//! The demo prints what came of them; the tests assert that nothing broke.

mod configuration;
mod leaving;
mod limits;
mod once;
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

/// Time for all processes to connect.
const START_LIMIT: Duration = Duration::from_secs(10);

/// What was tried, how often, and what broke.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// What was tried.
    pub name: &'static str,
    /// How often.
    pub checked: u64,
    /// Cases that broke, each with what was seen.
    pub broken: Vec<String>,
}

impl Finding {
    fn new(name: &'static str) -> Self {
        Finding { name, checked: 0, broken: Vec::new() }
    }

    /// Notes one case; `seen` is shown if it does not hold.
    fn expect(&mut self, holds: bool, seen: impl FnOnce() -> String) {
        self.checked += 1;
        if !holds {
            self.broken.push(seen());
        }
    }
}

/// Which fault is brought about.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The same order through two entries at the same moment, and again later.
    RepeatedKeys,
    /// An agent dies with work in flight.
    AgentKilled,
    /// The store is down while requests, orders and bills come in.
    StoreDown,
    /// An entry dies before its bills are written.
    EntryKilled,
    /// Pins that were altered or belong to another workspace.
    ForgedPins,
    /// Sessions while every agent and entry is replaced.
    EverythingReplaced,
    /// An entry without the store learns configurations from agents.
    CutFromStore,
    /// A planned stop of an agent and of an entry under streaming load.
    PlannedStops,
    /// Answers that break off before and after something was shown.
    CutAnswers,
    /// Orders with an old fence, or whose time is over.
    StaleOrders,
    /// A roll-out whose conductor died.
    CoordinatorKilled,
    /// An entry that has nothing to do for longer than agents keep answers.
    IdleEntry,
    /// Servers that name rate limits.
    ServerLimits,
}

impl Fault {
    /// All faults, in the order of the demo.
    pub const ALL: [Fault; 13] = [
        Fault::RepeatedKeys,
        Fault::AgentKilled,
        Fault::StoreDown,
        Fault::EntryKilled,
        Fault::ForgedPins,
        Fault::EverythingReplaced,
        Fault::CutFromStore,
        Fault::PlannedStops,
        Fault::CutAnswers,
        Fault::StaleOrders,
        Fault::CoordinatorKilled,
        Fault::IdleEntry,
        Fault::ServerLimits,
    ];

    /// Brings the fault about on a deployment of its own.
    pub async fn inject(self) -> Result<Finding, DemoError> {
        let mut deployment = Deployment::start(&fault_plan()).await?;
        if !deployment.wait_ready(START_LIMIT).await {
            return Err(DemoError::NotReady);
        }
        match self {
            Fault::RepeatedKeys => once::repeated_keys(&deployment).await,
            Fault::AgentKilled => once::agent_killed(&mut deployment).await,
            Fault::StoreDown => once::store_down(&deployment).await,
            Fault::EntryKilled => once::entry_killed(&mut deployment).await,
            Fault::ForgedPins => sessions::forged_pins(&deployment).await,
            Fault::EverythingReplaced => sessions::everything_replaced(&mut deployment).await,
            Fault::CutFromStore => configuration::cut_from_store(&mut deployment).await,
            Fault::PlannedStops => leaving::planned_stops(&mut deployment).await,
            Fault::CutAnswers => streams::cut_answers(&deployment).await,
            Fault::StaleOrders => orders::stale_orders(&deployment).await,
            Fault::IdleEntry => leaving::idle_entry(&deployment).await,
            Fault::ServerLimits => limits::server_limits(&deployment).await,
            Fault::CoordinatorKilled => orders::coordinator_killed(&mut deployment).await,
        }
    }
}

/// A request that all scenarios start from.
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

/// Sends a request to the entry with this number.
async fn ask(deployment: &Deployment, entry: usize, request: &CallerRequest) -> CallerReply {
    let addresses = deployment.entry_addresses();
    call(&reqwest::Client::new(), addresses[entry % addresses.len()], request).await
}

/// Sends a request in the background.
fn ask_later(
    deployment: &Deployment,
    entry: usize,
    request: CallerRequest,
) -> tokio::task::JoinHandle<CallerReply> {
    let addresses = deployment.entry_addresses();
    let address = addresses[entry % addresses.len()];
    tokio::spawn(async move { call(&reqwest::Client::new(), address, &request).await })
}

/// Runs at backend servers of a request.
fn runs_of(deployment: &Deployment, request: &str) -> usize {
    deployment.runs().iter().filter(|(id, _)| id == request).count()
}

/// Waits until something holds, at most for a while; tells whether it does.
async fn eventually(limit: Duration, mut holds: impl AsyncFnMut() -> bool) -> bool {
    const POLL: Duration = Duration::from_millis(20);
    let waiting = async {
        while !holds().await {
            tokio::time::sleep(POLL).await;
        }
    };
    tokio::time::timeout(limit, waiting).await.is_ok()
}
