//! Fenced orders, and roll-outs whose coordinator crashes.

use std::time::Duration;

use pondwalk_generations::{OnConflict, add_roll_out, commit_edit};
use pondwalk_types::RollOut;
use pondwalk_wire::{Order, OrderKind, OrderRefusal, connect};
use tarpc::context;

use super::{Finding, plan, wait_until};
use crate::{day::DemoError, deployment::Deployment};

/// Maximum wait for a roll-out; the lease of a killed coordinator must expire first.
const ROLL_OUT_TIMEOUT: Duration = Duration::from_secs(40);

/// Sends orders of a holder whose lease has expired; agents refuse them, whatever the server checks.
pub async fn stale_orders(deployment: &Deployment) -> Result<Finding, DemoError> {
    let mut finding =
        Finding::new("orders with an old fence, or whose time is over: not carried out");
    for unit in &deployment.servers {
        let Some(agent) = &unit.agent else { continue };
        let client = connect(agent.address()).await.map_err(crate::DeploymentError::from)?;
        let order = |fence, valid_ms| Order {
            fence,
            valid_for: Duration::from_millis(valid_ms),
            kind: OrderKind::Load(plan::NEW.to_owned()),
        };
        let expired = client.order(context::current(), order(5, 0)).await;
        finding.expect(matches!(expired, Ok(Err(OrderRefusal::Expired))), || {
            format!("{}: expired order: {expired:?}", unit.server)
        });
        let stale = client.order(context::current(), order(4, 5_000)).await;
        let refused = matches!(stale, Ok(Err(OrderRefusal::StaleFence { seen: 5 })));
        finding.expect(refused, || format!("{}: stale order: {stale:?}", unit.server));
        let carried_out = unit.engine.as_ref().map_or(0, |engine| engine.orders().len());
        finding.expect(carried_out == 0, || format!("{}: {carried_out} orders", unit.server));
        let good = client.order(context::current(), order(6, 5_000)).await;
        finding.expect(matches!(good, Ok(Ok(_))), || format!("{}: {good:?}", unit.server));
    }
    Ok(finding)
}

/// Kills the coordinator during a roll-out; another one finishes it with a higher fencing token.
pub async fn coordinator_killed(deployment: &mut Deployment) -> Result<Finding, DemoError> {
    let mut finding =
        Finding::new("the conductor of a roll-out killed halfway: another one finishes it");
    let roll_out = RollOut { version: plan::NEW.to_owned(), replaces: plan::OLD.to_owned() };
    let edit = |policy: &_| add_roll_out(policy, &roll_out);
    commit_edit(&deployment.store(), rand::random(), OnConflict::Retry, edit).await?;
    let begun = wait_until(ROLL_OUT_TIMEOUT, async || loaded(deployment) >= 1).await;
    finding.expect(begun, || "the roll-out did not begin".to_owned());
    let halfway = loaded(deployment) < deployment.servers.len();
    finding
        .expect(halfway, || "the roll-out completed before the coordinator was killed".to_owned());
    // The coordinating entry is not exposed, so both entries are replaced.
    for entry in 0..2 {
        deployment.kill_entry(entry).await;
    }
    deployment.add_entry().await?;
    let all = deployment.servers.len();
    let done = wait_until(ROLL_OUT_TIMEOUT, async || loaded(deployment) == all).await;
    let seen = loaded(deployment);
    finding.expect(done, || format!("loaded on {seen} of {all} servers"));
    let fences: Vec<u64> = deployment
        .servers
        .iter()
        .filter_map(|unit| unit.engine.as_ref()?.orders().first().map(|order| order.fence))
        .collect();
    let lowest = fences.iter().min().copied().unwrap_or(0);
    let highest = fences.iter().max().copied().unwrap_or(0);
    finding.expect(highest > lowest, || format!("fencing tokens did not increase: {fences:?}"));
    Ok(finding)
}

/// Returns the number of servers whose engine was ordered to load the new version.
fn loaded(deployment: &Deployment) -> usize {
    let engines = deployment.servers.iter().filter_map(|unit| unit.engine.as_ref());
    engines.filter(|engine| !engine.orders().is_empty()).count()
}
