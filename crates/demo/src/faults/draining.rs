//! Planned stops under load, and idle entries.

use super::{Finding, request, send, send_in_background};
use crate::{caller::CallerRequest, day::DemoError, deployment::Deployment};

/// Leaves the entries idle for longer than agents retain answers; agents still treat them as connected.
pub async fn idle_entry(deployment: &Deployment) -> Result<Finding, DemoError> {
    const IDLE: std::time::Duration = std::time::Duration::from_millis(4_500);
    let mut finding =
        Finding::new("an entry idle for longer than agents keep answers: not taken for gone");
    for round in 0..2 {
        for n in 0..6 {
            let reply = send(deployment, n, &request(&format!("idle{round}-{n}"))).await;
            finding.expect(reply.complete, || format!("idle{round}-{n}: {reply:?}"));
        }
        if round == 0 {
            tokio::time::sleep(IDLE).await;
        }
    }
    Ok(finding)
}

/// Drains an agent and an entry while answers are streamed; no stream is cut.
pub async fn planned_stops(deployment: &mut Deployment) -> Result<Finding, DemoError> {
    const STREAMS: usize = 24;
    let mut finding =
        Finding::new("an agent and an entry stopped as planned under streams: none is cut");
    let stream = |n: usize| CallerRequest { streaming: true, ..request(&format!("stream{n}")) };
    let streams: Vec<_> =
        (0..STREAMS).map(|n| send_in_background(deployment, n, stream(n))).collect();
    tokio::time::sleep(std::time::Duration::from_millis(150)).await;
    let agent_clean = deployment.drain_agent(0).await;
    finding.expect(agent_clean, || "the agent did not stop in time".to_owned());
    let more: Vec<_> =
        (STREAMS..STREAMS * 2).map(|n| send_in_background(deployment, n, stream(n))).collect();
    tokio::time::sleep(std::time::Duration::from_millis(150)).await;
    let entry_clean = deployment.drain_entry(0).await;
    finding.expect(entry_clean, || "the entry did not stop in time".to_owned());
    for (n, stream) in streams.into_iter().chain(more).enumerate() {
        let reply = stream.await.unwrap_or_default();
        finding.expect(reply.complete, || format!("stream{n}: {reply:?}"));
    }
    Ok(finding)
}
