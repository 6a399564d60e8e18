//! Planned stops under load.

use super::{Finding, ask_later, request};
use crate::{caller::CallerRequest, day::DemoError, deployment::Deployment};

/// An agent and an entry are stopped as planned while answers stream: none is cut.
pub async fn planned_stops(deployment: &mut Deployment) -> Result<Finding, DemoError> {
    const STREAMS: usize = 24;
    let mut finding =
        Finding::new("an agent and an entry stopped as planned under streams: none is cut");
    let stream = |n: usize| CallerRequest { streaming: true, ..request(&format!("stream{n}")) };
    let streams: Vec<_> = (0..STREAMS).map(|n| ask_later(deployment, n, stream(n))).collect();
    tokio::time::sleep(std::time::Duration::from_millis(150)).await;
    let agent_clean = deployment.drain_agent(0).await;
    finding.expect(agent_clean, || "the agent did not end in time".to_owned());
    let more: Vec<_> =
        (STREAMS..STREAMS * 2).map(|n| ask_later(deployment, n, stream(n))).collect();
    tokio::time::sleep(std::time::Duration::from_millis(150)).await;
    let entry_clean = deployment.drain_entry(0).await;
    finding.expect(entry_clean, || "the entry did not end in time".to_owned());
    for (n, stream) in streams.into_iter().chain(more).enumerate() {
        let reply = stream.await.unwrap_or_default();
        finding.expect(reply.whole, || format!("stream{n}: {reply:?}"));
    }
    Ok(finding)
}
