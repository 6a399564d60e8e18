//! Answers that are cut by the engine.

use pondwalk_standin::EngineFaults;
use serde_json::json;

use super::{Finding, request, runs_of, send};
use crate::{caller::CallerRequest, day::DemoError, deployment::Deployment};

/// Cuts answers at the engine; an answer of which nothing was delivered runs on another server, any other
/// ends with an error.
pub async fn cut_answers(deployment: &Deployment) -> Result<Finding, DemoError> {
    let mut finding =
        Finding::new("answers cut at the engine: run again if nothing was shown, or told so");
    let cut = |after| EngineFaults { cut_after: Some(after), ..EngineFaults::default() };
    set_faults(deployment, 2, cut(3));
    for n in 0..6 {
        let reply = send(deployment, n, &request(&format!("whole{n}"))).await;
        finding.expect(reply.complete, || format!("whole{n}: {reply:?}"));
    }
    set_faults(deployment, 3, cut(3));
    for n in 0..6 {
        let streamed = CallerRequest { streaming: true, ..request(&format!("cut{n}")) };
        let reply = send(deployment, n, &streamed).await;
        let is_reported =
            !reply.complete && reply.code.is_some() && reply.ran != Some(json!(false));
        finding.expect(is_reported, || format!("cut{n}: {reply:?}"));
    }
    for n in 0..4 {
        let id = format!("single{n}");
        let single = CallerRequest { repeatable: false, ..request(&id) };
        let reply = send(deployment, n, &single).await;
        let ran = runs_of(deployment, &id);
        let is_reported = !reply.complete && reply.ran != Some(json!(false)) && ran == 1;
        finding.expect(is_reported, || format!("{id}: {ran} runs, {reply:?}"));
    }
    set_faults(deployment, 3, EngineFaults::default());
    let reply = send(deployment, 0, &request("healed")).await;
    finding.expect(reply.complete, || format!("after the fault: {reply:?}"));
    Ok(finding)
}

fn set_faults(deployment: &Deployment, engines: usize, faults: EngineFaults) {
    for unit in deployment.servers.iter().take(engines) {
        if let Some(engine) = &unit.engine {
            engine.set_faults(faults);
        }
    }
}
