//! Answers that break off.

use pondwalk_standin::EngineFaults;
use serde_json::json;

use super::{Finding, ask, request, runs_of};
use crate::{caller::CallerRequest, day::DemoError, deployment::Deployment};

/// An answer cut before anything was shown is run elsewhere; one cut later says so.
pub async fn cut_answers(deployment: &Deployment) -> Result<Finding, DemoError> {
    let mut finding =
        Finding::new("answers cut at the engine: run again if nothing was shown, or told so");
    let cut = |after| EngineFaults { cut_after: Some(after), ..EngineFaults::default() };
    set_faults(deployment, 2, cut(3));
    for n in 0..6 {
        let reply = ask(deployment, n, &request(&format!("whole{n}"))).await;
        finding.expect(reply.whole, || format!("whole{n}: {reply:?}"));
    }
    set_faults(deployment, 3, cut(3));
    for n in 0..6 {
        let streamed = CallerRequest { streaming: true, ..request(&format!("cut{n}")) };
        let reply = ask(deployment, n, &streamed).await;
        let told = !reply.whole && reply.code.is_some() && reply.ran != Some(json!(false));
        finding.expect(told, || format!("cut{n}: {reply:?}"));
    }
    for n in 0..4 {
        let id = format!("single{n}");
        let single = CallerRequest { repeatable: false, ..request(&id) };
        let reply = ask(deployment, n, &single).await;
        let ran = runs_of(deployment, &id);
        let told = !reply.whole && reply.ran != Some(json!(false)) && ran == 1;
        finding.expect(told, || format!("{id}: {ran} runs, {reply:?}"));
    }
    set_faults(deployment, 3, EngineFaults::default());
    let reply = ask(deployment, 0, &request("healed")).await;
    finding.expect(reply.whole, || format!("after the fault: {reply:?}"));
    Ok(finding)
}

fn set_faults(deployment: &Deployment, engines: usize, faults: EngineFaults) {
    for unit in deployment.servers.iter().take(engines) {
        if let Some(engine) = &unit.engine {
            engine.set_faults(faults);
        }
    }
}
