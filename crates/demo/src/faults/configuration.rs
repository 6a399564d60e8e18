//! Configurations that reach those who are cut off from the store.

use std::time::Duration;

use pondwalk_generations::{OnConflict, commit_edit, withdraw};

use super::{Finding, ask, eventually, plan, request};
use crate::{day::DemoError, deployment::Deployment};

const IN_FORCE_LIMIT: Duration = Duration::from_secs(10);

/// An entry that cannot reach the store takes configurations over from agents.
pub async fn cut_from_store(deployment: &mut Deployment) -> Result<Finding, DemoError> {
    let mut finding =
        Finding::new("an entry cut off from the store: configurations reach it through agents");
    deployment.add_entry_without_store().await?;
    let cut_off = deployment.entry_addresses().len() - 1;
    let ready = eventually(IN_FORCE_LIMIT, async || deployment.is_ready()).await;
    finding.expect(ready, || "it never got a first configuration".to_owned());
    let reply = ask(deployment, cut_off, &request("reached")).await;
    finding.expect(reply.whole, || format!("it does not serve: {reply:?}"));
    let edit = |policy: &_| withdraw(policy, &plan::OLD.to_owned());
    commit_edit(&deployment.store(), rand::random(), OnConflict::Retry, edit).await?;
    let refused = eventually(IN_FORCE_LIMIT, async || {
        let reply = ask(deployment, cut_off, &request("withdrawn")).await;
        reply.status == 503 && reply.ran == Some(serde_json::json!(false))
    });
    let refused = refused.await;
    finding.expect(refused, || "the withdrawal never reached it".to_owned());
    Ok(finding)
}
