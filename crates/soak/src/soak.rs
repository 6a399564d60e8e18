//! One run: starts the deployment, executes the schedule and reports which promises were broken.

use std::{rc::Rc, time::Duration};

use tokio::{
    runtime::Builder,
    task::{JoinHandle, LocalSet, spawn_local},
    time::{Instant, sleep, sleep_until},
};

use crate::{
    callers::Caller,
    checks::{CHECKS, Finding},
    deployment::Deployment,
    options::Plan,
    part_caller::PartCaller,
    records::now_us,
    repeater::run_repeaters,
    schedule::{Action, FAULT_FREE_END, Step, generate},
    stop_callers,
};

/// Time for the last requests to finish.
const FINAL_WAIT: Duration = Duration::from_secs(5);
/// Maximum number of printed cases per broken promise.
const MAX_CASES_SHOWN: usize = 5;

/// Executes a run and returns whether every promise was kept and every action succeeded.
pub fn run(plan: &Plan) -> anyhow::Result<bool> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, run_schedule(plan))
}

async fn run_schedule(plan: &Plan) -> anyhow::Result<bool> {
    println!("seed {}, {} s, {:?}", plan.seed, plan.length.as_secs(), plan.size);
    let steps = generate(plan.seed, plan.length, plan.size);
    steps.iter().for_each(|step| println!("{step}"));
    let deployment = Deployment::start(plan).await?;
    let start = Instant::now();
    let until = start + plan.length;
    for number in 0..plan.size.entries * plan.size.callers {
        let caller = Caller { number, preferred_entry: number % plan.size.entries, until };
        spawn_local(caller.run(Rc::clone(&deployment), plan.seed));
    }
    let mut actions = Vec::new();
    for step in steps {
        sleep_until(start + step.at).await;
        actions.push(spawn_local(execute(Rc::clone(&deployment), step, plan.seed)));
    }
    let failed = join_actions(actions).await;
    sleep_until(until.checked_sub(FAULT_FREE_END).unwrap_or(start)).await;
    deployment.records.borrow_mut().fault_free_from_us = now_us();
    sleep_until(until).await;
    sleep(FINAL_WAIT).await;
    let records = deployment.records.borrow();
    let findings: Vec<Finding> = CHECKS.iter().map(|check| check(&records)).collect();
    Ok(report(plan, &findings, &failed))
}

async fn execute(deployment: Rc<Deployment>, step: Step, seed: u64) -> anyhow::Result<()> {
    match step.action {
        Action::Stop(entry) => {
            let callers = stop_callers::start(&deployment, entry, seed);
            sleep(stop_callers::LEAD_TIME).await;
            deployment.stop(entry).await?;
            for caller in callers {
                caller.await?;
            }
            Ok(())
        }
        Action::Kill(entry) => deployment.kill(entry).await,
        Action::Pause(entry, time) => {
            deployment.pause(entry, time).await;
            Ok(())
        }
        Action::Weather(order, time) => deployment.inject_store_fault(order, time).await,
        Action::Forget => deployment.forget_history().await,
        Action::Restore(outage, age) => deployment.restore_store(outage, age).await,
        Action::SilenceStore => {
            deployment.silence_store();
            Ok(())
        }
        Action::ResetStore => {
            deployment.reset_store();
            Ok(())
        }
        Action::SilenceServer(index) => {
            deployment.silence_server(index);
            Ok(())
        }
        Action::FloodFromServer(index) => {
            deployment.flood_from_server(index);
            Ok(())
        }
        Action::FloodFromStore(time) => {
            deployment.flood_from_store(time).await;
            Ok(())
        }
        Action::Reload(entry) => {
            deployment.reload(entry).await;
            Ok(())
        }
        Action::SignalDuringStart(entry) => deployment.signal_during_start(entry).await,
        Action::Configure => deployment.configure().await,
        Action::ConfigureOddly(index) => deployment.configure_oddly(index).await,
        Action::ConfigureUnreadably(index, time) => {
            deployment.configure_unreadably(index, time).await
        }
        Action::Replace(index) => deployment.replace(index).await,
        Action::Leave(index) => deployment.drain_by_header(index).await,
        Action::TurnAway(index) => {
            deployment.reject_requests(index);
            Ok(())
        }
        Action::Limit(index) => {
            deployment.announce_limit(index);
            Ok(())
        }
        Action::Cool(index) => deployment.cool(index).await,
        Action::KillServer(index, time) => deployment.kill_server(index, time).await,
        Action::Evacuate(data_centre, time) => deployment.evacuate(data_centre, time).await,
        Action::Litter => deployment.write_unreadable_records().await,
        Action::EndServers(route, time) => {
            run_repeaters(deployment, route, Instant::now() + time, seed).await;
            Ok(())
        }
        Action::CrashByPart(time) => {
            let caller = PartCaller::new(&deployment, Instant::now() + time);
            caller.run(deployment, seed).await;
            Ok(())
        }
        Action::RejectEntries(first, count, rejection, time) => {
            let entries = (first..first + count).map(|entry| entry % deployment.entries());
            deployment.reject_entries(entries, rejection, time).await;
            Ok(())
        }
        Action::Vanish(index) => deployment.vanish(index).await,
        Action::Concentrate(entry, time) => {
            deployment.concentrated_on.set(Some(entry));
            sleep(time).await;
            deployment.concentrated_on.set(None);
            Ok(())
        }
    }
}

/// Waits for all actions and returns the errors of the failed ones.
async fn join_actions(actions: Vec<JoinHandle<anyhow::Result<()>>>) -> Vec<String> {
    let mut failed = Vec::new();
    for action in actions {
        match action.await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => failed.push(format!("{error:#}")),
            Err(error) => failed.push(error.to_string()),
        }
    }
    failed
}

fn report(plan: &Plan, findings: &[Finding], failed: &[String]) -> bool {
    for Finding { promise, checked, broken } in findings {
        println!("{promise:42} {checked:7} looked at, {:4} broken", broken.len());
        broken.iter().take(MAX_CASES_SHOWN).for_each(|line| println!("    {line}"));
    }
    failed.iter().for_each(|line| println!("an action failed: {line}"));
    let is_passed = findings.iter().all(|finding| finding.broken.is_empty()) && failed.is_empty();
    let verdict = if is_passed { "kept" } else { "broken" };
    println!("seed {}: {verdict}; logs in {}", plan.seed, plan.folder.display());
    is_passed
}
