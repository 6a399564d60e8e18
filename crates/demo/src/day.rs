//! The demo: a day of one user, with a roll-out, a withdrawal and a planned stop in it.

mod plans;

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use pondwalk_generations::{OnConflict, add_roll_out, commit_edit, withdraw};
use pondwalk_ledger::{Ledger, read_ledger};
use pondwalk_store::StoreError;
use pondwalk_types::RollOut;
use thiserror::Error;
use tokio::time::Instant;

use crate::{
    deployment::{Deployment, DeploymentError},
    load::Asks,
    promises::{Evidence, Promise},
    table::Table,
};
use plans::{DayPlan, plan};
pub use plans::{DemoDeployment, key_digest};

/// Time between two changes in the day.
const ACT: Duration = Duration::from_secs(6);
/// Time after which a change must be in force.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(10);
/// Time that a leaving server may still receive work.
const LEAVING_GRACE: Duration = Duration::from_secs(2);
/// Time for all to connect.
const START_LIMIT: Duration = Duration::from_secs(10);

/// Why the demo could not run.
#[derive(Debug, Error)]
pub enum DemoError {
    /// The deployment did not start.
    #[error(transparent)]
    Deployment(#[from] DeploymentError),
    /// A change was not accepted.
    #[error(transparent)]
    Change(#[from] pondwalk_generations::ChangeError),
    /// The bills could not be read.
    #[error("the ledger cannot be read: {0}")]
    Ledger(#[from] StoreError),
    /// Not all processes became ready.
    #[error("the deployment did not become ready")]
    NotReady,
}

/// What the day brought.
#[derive(Debug)]
pub struct DemoReport {
    /// Requests, answers, cost and quality.
    pub table: Table,
    /// The promises.
    pub promises: Vec<Promise>,
}

impl DemoReport {
    /// Whether every promise held.
    pub fn has_passed(&self) -> bool {
        self.promises.iter().all(|promise| promise.broken.is_empty())
    }
}

/// Plays a day; `progress` is told what happens.
pub async fn run_day(
    chosen: DemoDeployment,
    progress: impl Fn(&str),
) -> Result<DemoReport, DemoError> {
    let day = plan(chosen);
    progress("starting stand-ins, agents and entries");
    let mut deployment = Deployment::start(&day.plan).await?;
    if !deployment.wait_ready(START_LIMIT).await {
        return Err(DemoError::NotReady);
    }
    let asks = Asks::default();
    let entries = deployment.entry_addresses();
    let load = {
        let asks = asks.clone();
        let load = day.load();
        let entries = entries.clone();
        tokio::spawn(async move { load.run(ACT * 4, &asks, || entries.clone()).await })
    };
    let mut stage = Stage::new(&deployment);
    act(&asks, &progress, "an ordinary morning").await;
    stage.roll_out(&deployment, &day, &progress).await?;
    act(&asks, &progress, "the new version takes over step by step").await;
    stage.withdraw(&deployment, &day, &progress).await?;
    act(&asks, &progress, "the old version is gone").await;
    stage.stop_agent(&mut deployment, &day, &progress).await;
    progress("waiting for the last answers");
    let _ = load.await;
    let ledger = settle(&deployment, &asks).await?;
    Ok(stage.report(&deployment, &day, &asks, ledger))
}

async fn act(asks: &Asks, progress: &impl Fn(&str), what: &str) {
    const SECOND: Duration = Duration::from_secs(1);
    progress(what);
    let until = Instant::now() + ACT;
    while Instant::now() + SECOND <= until {
        tokio::time::sleep(SECOND).await;
        progress(&format!("  {} answers", asks.len()));
    }
    tokio::time::sleep_until(until).await;
}

/// Waits until every answer has its bill in the store.
async fn settle(deployment: &Deployment, asks: &Asks) -> Result<Ledger, DemoError> {
    const TRIES: u32 = 50;
    let whole = asks.all().iter().filter(|asked| asked.reply.whole).count();
    let mut ledger = Ledger::default();
    for _ in 0..TRIES {
        ledger = read_ledger(&deployment.store()).await?;
        if ledger.bills.len() >= whole {
            break;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    Ok(ledger)
}

/// What is noted along the day.
struct Stage {
    generations: Arc<Mutex<BTreeMap<String, Vec<u64>>>>,
    in_force_ms: Vec<u64>,
    old_runs_at_withdrawal: usize,
    leaving_runs_at_grace: usize,
}

impl Stage {
    fn new(deployment: &Deployment) -> Self {
        let generations: Arc<Mutex<BTreeMap<String, Vec<u64>>>> = Arc::default();
        for address in deployment.entry_addresses() {
            let seen = generations.clone();
            tokio::spawn(async move {
                while let Some(status) = status_of(address).await {
                    note_generations(&seen, &address.to_string(), &status);
                    tokio::time::sleep(Duration::from_millis(50)).await;
                }
            });
        }
        Stage {
            generations,
            in_force_ms: Vec::new(),
            old_runs_at_withdrawal: 0,
            leaving_runs_at_grace: 0,
        }
    }

    async fn roll_out(
        &mut self,
        deployment: &Deployment,
        day: &DayPlan,
        progress: &impl Fn(&str),
    ) -> Result<(), DemoError> {
        progress(&format!("rolling out {} for {}", day.new, day.old));
        let roll_out = RollOut { version: day.new.to_owned(), replaces: day.old.to_owned() };
        let edit = |policy: &_| add_roll_out(policy, &roll_out);
        let record =
            commit_edit(&deployment.store(), rand::random(), OnConflict::Retry, edit).await?;
        self.await_in_force(deployment, record.generation).await;
        Ok(())
    }

    async fn withdraw(
        &mut self,
        deployment: &Deployment,
        day: &DayPlan,
        progress: &impl Fn(&str),
    ) -> Result<(), DemoError> {
        progress(&format!("withdrawing {} in mid-traffic", day.old));
        let old = day.old.to_owned();
        let edit = |policy: &_| withdraw(policy, &old);
        let record =
            commit_edit(&deployment.store(), rand::random(), OnConflict::Retry, edit).await?;
        self.await_in_force(deployment, record.generation).await;
        self.old_runs_at_withdrawal = runs_of(deployment, day.old);
        Ok(())
    }

    async fn stop_agent(
        &mut self,
        deployment: &mut Deployment,
        day: &DayPlan,
        progress: &impl Fn(&str),
    ) {
        let unit = &deployment.servers[day.stopped];
        progress(&format!("stopping the agent of {} as planned", unit.server));
        let name = unit.server.clone();
        if let Some(agent) = &unit.agent {
            agent.begin_drain();
        }
        deployment.instances.change(|list| {
            for instance in list.iter_mut().filter(|instance| instance.instance == name) {
                instance.state = "leaving".to_owned();
            }
        });
        tokio::time::sleep(LEAVING_GRACE).await;
        self.leaving_runs_at_grace = runs_on(deployment, day.stopped);
        deployment.drain_agent(day.stopped).await;
    }

    /// Waits until every entry and agent has a generation.
    async fn await_in_force(&mut self, deployment: &Deployment, generation: u64) {
        let started = Instant::now();
        while started.elapsed() < IN_FORCE_LIMIT {
            if everywhere(deployment, generation).await {
                break;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        self.in_force_ms.push(started.elapsed().as_millis() as u64);
    }

    fn report(
        &self,
        deployment: &Deployment,
        day: &DayPlan,
        asks: &Asks,
        ledger: Ledger,
    ) -> DemoReport {
        let asked = asks.all();
        let table = Table::new(&asked, &ledger);
        let late_old = runs_of(deployment, day.old) - self.old_runs_at_withdrawal;
        let late_leaving = runs_on(deployment, day.stopped) - self.leaving_runs_at_grace;
        let evidence = Evidence {
            asked,
            runs: deployment.runs(),
            allowed: day.allowed(),
            ledger,
            runs_after_withdrawal: vec![day.old.to_owned(); late_old],
            runs_after_leaving: vec![deployment.servers[day.stopped].server.clone(); late_leaving],
            generations: self.generations.lock().unwrap_or_else(PoisonError::into_inner).clone(),
            in_force_ms: self.in_force_ms.clone(),
        };
        DemoReport { table, promises: evidence.check() }
    }
}

async fn status_of(entry: std::net::SocketAddr) -> Option<serde_json::Value> {
    reqwest::get(format!("http://{entry}/status")).await.ok()?.json().await.ok()
}

async fn everywhere(deployment: &Deployment, generation: u64) -> bool {
    for address in deployment.entry_addresses() {
        let Some(status) = status_of(address).await else {
            return false;
        };
        let entry = status["generation"].as_u64().unwrap_or(0) >= generation;
        let agents = status["agents"].as_array().map(Vec::as_slice).unwrap_or_default();
        let agents = agents.iter().filter(|agent| agent["connected"] == true);
        let behind =
            |agent: &&serde_json::Value| agent["generation"].as_u64().unwrap_or(0) < generation;
        if !entry || agents.filter(behind).count() > 0 {
            return false;
        }
    }
    true
}

fn note_generations(
    seen: &Mutex<BTreeMap<String, Vec<u64>>>,
    entry: &str,
    status: &serde_json::Value,
) {
    let generation = status["generation"].as_u64().unwrap_or(0);
    let mut seen = seen.lock().unwrap_or_else(PoisonError::into_inner);
    let history = seen.entry(entry.to_owned()).or_default();
    if history.last() != Some(&generation) {
        history.push(generation);
    }
}

fn runs_of(deployment: &Deployment, version: &str) -> usize {
    deployment.runs().iter().filter(|(_, ran)| ran == version).count()
}

fn runs_on(deployment: &Deployment, server: usize) -> usize {
    let unit = &deployment.servers[server];
    unit.engine.as_ref().map_or(0, |engine| engine.log().len())
}
