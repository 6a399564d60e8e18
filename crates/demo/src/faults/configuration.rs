//! Propagation of configurations to entries without a store connection.

use std::time::Duration;

use pondwalk_generations::{OnConflict, commit_edit, read_head, withdraw};
use pondwalk_types::{Policy, VersionState};

use super::{Finding, plan, request, send, wait_until};
use crate::{caller::CallerRequest, day::DemoError, deployment::Deployment};

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

/// Restores the store from a copy that lacks a withdrawal; then again, and changes the
/// configuration before the withdrawal is back.
pub async fn restored_store(deployment: &Deployment) -> Result<Finding, DemoError> {
    let mut finding =
        Finding::new("a store restored from a copy: no accepted configuration is lost or ignored");
    let store = deployment.store();
    let copy = deployment.copy_store();
    let edit = |policy: &_| withdraw(policy, &plan::OLD.to_owned());
    let withdrawal = commit_edit(&store, rand::random(), OnConflict::Retry, edit).await?;
    let refused = wait_until(IN_FORCE_TIMEOUT, async || is_refused(deployment, plan::KEY).await);
    finding.expect(refused.await, || "the withdrawal is not in force".to_owned());

    deployment.restore_store(&copy);
    let written_back = wait_until(IN_FORCE_TIMEOUT, async || {
        read_head(&store).await.is_ok_and(|head| head.record == withdrawal)
    });
    finding.expect(written_back.await, || "the withdrawal is not written back".to_owned());

    deployment.restore_store(&copy);
    let edit = |policy: &Policy| {
        let mut next = policy.clone();
        next.workspaces.remove("two");
        Ok(next)
    };
    commit_edit(&store, rand::random(), OnConflict::Retry, edit).await?;
    let merged = wait_until(IN_FORCE_TIMEOUT, async || {
        read_head(&store).await.is_ok_and(|head| {
            let policy = head.record.policy;
            let old = policy.versions.get(plan::OLD);
            let is_withdrawn = old.is_some_and(|spec| spec.state == VersionState::Withdrawn);
            is_withdrawn && !policy.workspaces.contains_key("two")
        })
    });
    finding.expect(merged.await, || "one of two accepted changes is lost".to_owned());
    let removed =
        wait_until(IN_FORCE_TIMEOUT, async || !is_known(deployment, plan::OTHER_KEY).await);
    finding.expect(removed.await, || "a change under a number used before is ignored".to_owned());
    Ok(finding)
}

/// Whether requests with this key are refused by all entries without running.
async fn is_refused(deployment: &Deployment, key: &str) -> bool {
    let mut refused = true;
    for entry in 0..deployment.entry_addresses().len() {
        let sent = CallerRequest { key: key.to_owned(), ..request("refused") };
        let reply = send(deployment, entry, &sent).await;
        refused &= reply.status == 503 && reply.ran == Some(serde_json::json!(false));
    }
    refused
}

/// Whether any entry accepts the key.
async fn is_known(deployment: &Deployment, key: &str) -> bool {
    let mut known = false;
    for entry in 0..deployment.entry_addresses().len() {
        let sent = CallerRequest { key: key.to_owned(), ..request("known") };
        known |= send(deployment, entry, &sent).await.status != 401;
    }
    known
}
