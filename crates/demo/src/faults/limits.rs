//! Servers that name rate limits.

use std::time::Duration;

use pondwalk_standin::EngineFaults;
use serde_json::json;
use tokio::time::{Instant, sleep};

use super::{Finding, ask, ask_later, request};
use crate::{caller::CallerReply, day::DemoError, deployment::Deployment};

/// Requests a second that each server takes.
const LIMIT_PER_S: f64 = 1.0;
/// Factor on what it takes, and requests on top of that.
const OVERSHOOT: f64 = 1.5;
const TOLERANCE: f64 = 5.0;
/// Requests, and the time between two.
const REQUESTS: usize = 100;
const GAP: Duration = Duration::from_millis(40);

/// No server gets more than its limit allows; what it does not take is refused, not run.
pub async fn server_limits(deployment: &Deployment) -> Result<Finding, DemoError> {
    let mut finding = Finding::new("servers that name a rate limit: no more reaches them");
    for engine in deployment.servers.iter().filter_map(|unit| unit.engine.as_ref()) {
        let limit_per_s = Some(LIMIT_PER_S);
        engine.set_faults(EngineFaults { limit_per_s, ..EngineFaults::default() });
    }
    for n in 0..deployment.servers.len() * 2 {
        ask(deployment, n, &request(&format!("first{n}"))).await;
    }
    let before = runs_by_server(deployment);
    let began = Instant::now();
    let mut asked = Vec::new();
    for n in 0..REQUESTS {
        asked.push(ask_later(deployment, n, request(&format!("limited{n}"))));
        sleep(GAP).await;
    }
    for answer in asked {
        let reply = answer.await;
        let is_told = |reply: &CallerReply| reply.whole || reply.ran == Some(json!(false));
        finding.expect(reply.as_ref().is_ok_and(is_told), || format!("{reply:?}"));
    }
    let allowed = OVERSHOOT * LIMIT_PER_S * began.elapsed().as_secs_f64() + TOLERANCE;
    for (server, (after, before)) in runs_by_server(deployment).iter().zip(before).enumerate() {
        let runs = after - before;
        finding.expect(runs as f64 <= allowed, || format!("server {server} ran {runs}"));
    }
    Ok(finding)
}

fn runs_by_server(deployment: &Deployment) -> Vec<usize> {
    let engines = deployment.servers.iter().filter_map(|unit| unit.engine.as_ref());
    engines.map(|engine| engine.log().len()).collect()
}
