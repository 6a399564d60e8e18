//! Planned stops under load.

use super::{Finding, ask, ask_later, request};
use crate::{caller::CallerRequest, day::DemoError, deployment::Deployment};

/// An entry has nothing to do for longer than agents keep answers: they know that it is there.
pub async fn idle_entry(deployment: &Deployment) -> Result<Finding, DemoError> {
    const IDLE: std::time::Duration = std::time::Duration::from_millis(4_500);
    let mut finding =
        Finding::new("an entry idle for longer than agents keep answers: not taken for gone");
    for round in 0..2 {
        for n in 0..6 {
            let reply = ask(deployment, n, &request(&format!("idle{round}-{n}"))).await;
            finding.expect(reply.whole, || format!("idle{round}-{n}: {reply:?}"));
        }
        if round == 0 {
            tokio::time::sleep(IDLE).await;
        }
    }
    Ok(finding)
}

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
