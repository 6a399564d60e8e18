//! Simulates a day of one deployment, with a roll-out, a withdrawal and a planned stop.

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
    load::ExchangeLog,
    promises::{Evidence, Promise},
    table::Table,
};
use plans::{DayPlan, plan};
pub use plans::{DemoDeployment, key_digest};

/// Time between two changes.
const PHASE: Duration = Duration::from_secs(6);
/// Maximum wait for a change to be in force.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for which a draining server may still receive requests.
const DRAIN_GRACE: Duration = Duration::from_secs(2);
/// Timeout for all processes to connect.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// Errors of the demo.
#[derive(Debug, Error)]
pub enum DemoError {
    /// The deployment did not start.
    #[error(transparent)]
    Deployment(#[from] DeploymentError),
    /// A configuration change was rejected.
    #[error(transparent)]
    Change(#[from] pondwalk_generations::ChangeError),
    /// The ledger could not be read.
    #[error("the ledger cannot be read: {0}")]
    Ledger(#[from] StoreError),
    /// Not all processes became ready.
    #[error("the deployment did not become ready")]
    NotReady,
}

/// Result of a simulated day.
#[derive(Debug)]
pub struct DemoReport {
    /// Requests, answers, cost and quality by task and version.
    pub table: Table,
    /// Results of the checked promises.
    pub promises: Vec<Promise>,
}

impl DemoReport {
    /// Returns whether every promise was kept.
    pub fn has_passed(&self) -> bool {
        self.promises.iter().all(|promise| promise.broken.is_empty())
    }
}

/// Simulates a day; `progress` receives a line for each step.
pub async fn run_day(
    chosen: DemoDeployment,
    progress: impl Fn(&str),
) -> Result<DemoReport, DemoError> {
    let day = plan(chosen);
    progress("starting stand-ins, agents and entries");
    let mut deployment = Deployment::start(&day.plan).await?;
    if !deployment.wait_ready(START_TIMEOUT).await {
        return Err(DemoError::NotReady);
    }
    let log = ExchangeLog::default();
    let entries = deployment.entry_addresses();
    let load = {
        let log = log.clone();
        let load = day.load();
        let entries = entries.clone();
        tokio::spawn(async move { load.run(PHASE * 4, &log, || entries.clone()).await })
    };
    let mut day_run = DayRun::new(&deployment);
    run_phase(&log, &progress, "regular load").await;
    day_run.roll_out(&deployment, &day, &progress).await?;
    run_phase(&log, &progress, "the new version is rolled out step by step").await;
    day_run.withdraw(&deployment, &day, &progress).await?;
    run_phase(&log, &progress, "the old version is withdrawn").await;
    day_run.stop_agent(&mut deployment, &day, &progress).await;
    progress("waiting for the last answers");
    let _ = load.await;
    let ledger = wait_for_bills(&deployment, &log).await?;
    Ok(day_run.report(&deployment, &day, &log, ledger))
}

async fn run_phase(log: &ExchangeLog, progress: &impl Fn(&str), what: &str) {
    const SECOND: Duration = Duration::from_secs(1);
    progress(what);
    let until = Instant::now() + PHASE;
    while Instant::now() + SECOND <= until {
        tokio::time::sleep(SECOND).await;
        progress(&format!("  {} answers", log.len()));
    }
    tokio::time::sleep_until(until).await;
}

/// Waits until the store has a bill for every complete answer, and returns the ledger.
async fn wait_for_bills(deployment: &Deployment, log: &ExchangeLog) -> Result<Ledger, DemoError> {
    const MAX_ATTEMPTS: u32 = 50;
    let complete = log.all().iter().filter(|exchange| exchange.reply.complete).count();
    let mut ledger = Ledger::default();
    for _ in 0..MAX_ATTEMPTS {
        ledger = read_ledger(&deployment.store()).await?;
        if ledger.bills.len() >= complete {
            break;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    Ok(ledger)
}

/// Observations during the day.
struct DayRun {
    generations: Arc<Mutex<BTreeMap<String, Vec<u64>>>>,
    in_force_ms: Vec<u64>,
    old_runs_at_withdrawal: usize,
    draining_runs_at_grace: usize,
}

impl DayRun {
    fn new(deployment: &Deployment) -> Self {
        let generations: Arc<Mutex<BTreeMap<String, Vec<u64>>>> = Arc::default();
        for address in deployment.entry_addresses() {
            let seen = generations.clone();
            tokio::spawn(async move {
                while let Some(status) = status_of(address).await {
                    record_generations(&seen, &address.to_string(), &status);
                    tokio::time::sleep(Duration::from_millis(50)).await;
                }
            });
        }
        DayRun {
            generations,
            in_force_ms: Vec::new(),
            old_runs_at_withdrawal: 0,
            draining_runs_at_grace: 0,
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
        self.wait_until_in_force(deployment, record.generation).await;
        Ok(())
    }

    async fn withdraw(
        &mut self,
        deployment: &Deployment,
        day: &DayPlan,
        progress: &impl Fn(&str),
    ) -> Result<(), DemoError> {
        progress(&format!("withdrawing {} under load", day.old));
        let old = day.old.to_owned();
        let edit = |policy: &_| withdraw(policy, &old);
        let record =
            commit_edit(&deployment.store(), rand::random(), OnConflict::Retry, edit).await?;
        self.wait_until_in_force(deployment, record.generation).await;
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
        progress(&format!("draining the agent of {}", unit.server));
        let name = unit.server.clone();
        if let Some(agent) = &unit.agent {
            agent.begin_drain();
        }
        deployment.instances.change(|list| {
            for instance in list.iter_mut().filter(|instance| instance.instance == name) {
                instance.state = "leaving".to_owned();
            }
        });
        tokio::time::sleep(DRAIN_GRACE).await;
        self.draining_runs_at_grace = runs_on(deployment, day.stopped);
        deployment.drain_agent(day.stopped).await;
    }

    /// Waits until every entry and agent has applied a generation, and records the time taken.
    async fn wait_until_in_force(&mut self, deployment: &Deployment, generation: u64) {
        let started = Instant::now();
        while started.elapsed() < IN_FORCE_TIMEOUT {
            if is_in_force_everywhere(deployment, generation).await {
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
        log: &ExchangeLog,
        ledger: Ledger,
    ) -> DemoReport {
        let exchanges = log.all();
        let table = Table::new(&exchanges, &ledger);
        let late_old = runs_of(deployment, day.old) - self.old_runs_at_withdrawal;
        let late_draining = runs_on(deployment, day.stopped) - self.draining_runs_at_grace;
        let evidence = Evidence {
            exchanges,
            runs: deployment.runs(),
            allowed: day.allowed(),
            ledger,
            runs_after_withdrawal: vec![day.old.to_owned(); late_old],
            runs_after_draining: vec![
                deployment.servers[day.stopped].server.clone();
                late_draining
            ],
            generations: self.generations.lock().unwrap_or_else(PoisonError::into_inner).clone(),
            in_force_ms: self.in_force_ms.clone(),
        };
        DemoReport { table, promises: evidence.check() }
    }
}

async fn status_of(entry: std::net::SocketAddr) -> Option<serde_json::Value> {
    reqwest::get(format!("http://{entry}/status")).await.ok()?.json().await.ok()
}

async fn is_in_force_everywhere(deployment: &Deployment, generation: u64) -> bool {
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

fn record_generations(
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
