//! Propagation of configurations to entries without a store connection.

use std::time::Duration;

use pondwalk_generations::{OnConflict, commit_edit, withdraw};

use super::{Finding, plan, request, send, wait_until};
use crate::{day::DemoError, deployment::Deployment};

const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(10);

/// Adds an entry that cannot reach the store; it receives configurations from agents.
pub async fn cut_from_store(deployment: &mut Deployment) -> Result<Finding, DemoError> {
    let mut finding =
        Finding::new("an entry cut off from the store: configurations reach it through agents");
    deployment.add_entry_without_store().await?;
    let cut_off = deployment.entry_addresses().len() - 1;
    let ready = wait_until(IN_FORCE_TIMEOUT, async || deployment.is_ready()).await;
    finding.expect(ready, || "the entry received no configuration".to_owned());
    let reply = send(deployment, cut_off, &request("reached")).await;
    finding.expect(reply.complete, || format!("the entry does not serve: {reply:?}"));
    let edit = |policy: &_| withdraw(policy, &plan::OLD.to_owned());
    commit_edit(&deployment.store(), rand::random(), OnConflict::Retry, edit).await?;
    let refused = wait_until(IN_FORCE_TIMEOUT, async || {
        let reply = send(deployment, cut_off, &request("withdrawn")).await;
        reply.status == 503 && reply.ran == Some(serde_json::json!(false))
    });
    let refused = refused.await;
    finding.expect(refused, || "the withdrawal did not reach the entry".to_owned());
    Ok(finding)
}
