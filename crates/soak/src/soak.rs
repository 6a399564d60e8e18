//! One run: starts everything, plays the schedule, and says what was kept and what was broken.

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
    records::now_us,
    repeater::Repeater,
    schedule::{Act, CALM_END, Step, draw},
};

/// Time for the last requests to end.
const LAST_REQUESTS: Duration = Duration::from_secs(5);
/// Broken cases of a promise that are printed.
const PRINTED: usize = 5;

/// Plays a run, and tells whether every promise was kept and each looked at.
pub fn run(plan: &Plan) -> anyhow::Result<bool> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, play(plan))
}

async fn play(plan: &Plan) -> anyhow::Result<bool> {
    println!("seed {}, {} s, {:?}", plan.seed, plan.length.as_secs(), plan.size);
    let steps = draw(plan.seed, plan.length, plan.size);
    steps.iter().for_each(|step| println!("{step}"));
    let deployment = Deployment::start(plan).await?;
    let start = Instant::now();
    let until = start + plan.length;
    for number in 0..plan.size.entries * plan.size.callers {
        let caller = Caller { number, home: number % plan.size.entries, until };
        spawn_local(caller.run(Rc::clone(&deployment), plan.seed));
    }
    let mut acts = Vec::new();
    for step in steps {
        sleep_until(start + step.at).await;
        acts.push(spawn_local(act(Rc::clone(&deployment), step, plan.seed)));
    }
    let failed = wait_for(acts).await;
    sleep_until(until.checked_sub(CALM_END).unwrap_or(start)).await;
    deployment.records.borrow_mut().calm_from_us = now_us();
    sleep_until(until).await;
    sleep(LAST_REQUESTS).await;
    let records = deployment.records.borrow();
    let findings: Vec<Finding> = CHECKS.iter().map(|check| check(&records)).collect();
    Ok(report(plan, &findings, &failed))
}

async fn act(deployment: Rc<Deployment>, step: Step, seed: u64) -> anyhow::Result<()> {
    match step.act {
        Act::Stop(entry) => deployment.stop(entry).await,
        Act::Kill(entry) => deployment.kill(entry).await,
        Act::Pause(entry, time) => {
            deployment.pause(entry, time).await;
            Ok(())
        }
        Act::Weather(order, time) => deployment.disturb_store(order, time).await,
        Act::Forget => deployment.forget_history().await,
        Act::Restore(away, age) => deployment.restore_store(away, age).await,
        Act::SilenceStore => {
            deployment.silence_store();
            Ok(())
        }
        Act::ResetStore => {
            deployment.reset_store();
            Ok(())
        }
        Act::SilenceServer(place) => {
            deployment.silence_server(place);
            Ok(())
        }
        Act::Configure => deployment.configure().await,
        Act::Replace(place) => deployment.replace(place).await,
        Act::Leave(place) => deployment.leave_by_word(place).await,
        Act::TurnAway(place) => {
            deployment.turn_away(place);
            Ok(())
        }
        Act::Limit(place) => {
            deployment.limit(place);
            Ok(())
        }
        Act::Cool(place) => deployment.cool(place).await,
        Act::KillServer(place, time) => deployment.kill_server(place, time).await,
        Act::Evacuate(data_centre, time) => deployment.evacuate(data_centre, time).await,
        Act::Litter => deployment.litter().await,
        Act::EndServers(route, time) => {
            let repeater = Repeater::new(&deployment, route, Instant::now() + time);
            repeater.run(deployment, seed).await;
            Ok(())
        }
    }
}

/// Waits for all acts and returns what went wrong with them.
async fn wait_for(acts: Vec<JoinHandle<anyhow::Result<()>>>) -> Vec<String> {
    let mut failed = Vec::new();
    for act in acts {
        match act.await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => failed.push(format!("{error:#}")),
            Err(error) => failed.push(error.to_string()),
        }
    }
    failed
}

fn report(plan: &Plan, findings: &[Finding], failed: &[String]) -> bool {
    for Finding { promise, looked_at, broken } in findings {
        println!("{promise:42} {looked_at:7} looked at, {:4} broken", broken.len());
        broken.iter().take(PRINTED).for_each(|line| println!("    {line}"));
    }
    failed.iter().for_each(|line| println!("an act went wrong: {line}"));
    let kept = findings.iter().all(|finding| finding.broken.is_empty()) && failed.is_empty();
    let verdict = if kept { "kept" } else { "broken" };
    println!("seed {}: {verdict}; logs in {}", plan.seed, plan.folder.display());
    kept
}
