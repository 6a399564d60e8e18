//! Servers that announce rate limits.

use std::time::Duration;

use pondwalk_standin::EngineFaults;
use serde_json::json;
use tokio::time::{Instant, sleep};

use super::{Finding, request, send, send_in_background};
use crate::{caller::CallerReply, day::DemoError, deployment::Deployment};

/// Rate limit of each server, in requests per second.
const LIMIT_PER_S: f64 = 1.0;
/// Allowed factor on the limit, and allowed requests on top of that.
const OVERSHOOT: f64 = 1.5;
const TOLERANCE: f64 = 5.0;
/// Number of requests, and the time between two of them.
const REQUESTS: usize = 100;
const GAP: Duration = Duration::from_millis(40);

/// Sends more requests than the limits allow; no server exceeds its limit, and further requests are refused.
pub async fn server_limits(deployment: &Deployment) -> Result<Finding, DemoError> {
    let mut finding = Finding::new("servers that name a rate limit: no more reaches them");
    for engine in deployment.servers.iter().filter_map(|unit| unit.engine.as_ref()) {
        let limit_per_s = Some(LIMIT_PER_S);
        engine.set_faults(EngineFaults { limit_per_s, ..EngineFaults::default() });
    }
    for n in 0..deployment.servers.len() * 2 {
        send(deployment, n, &request(&format!("first{n}"))).await;
    }
    let before = runs_by_server(deployment);
    let began = Instant::now();
    let mut pending = Vec::new();
    for n in 0..REQUESTS {
        pending.push(send_in_background(deployment, n, request(&format!("limited{n}"))));
        sleep(GAP).await;
    }
    for answer in pending {
        let reply = answer.await;
        let is_reported = |reply: &CallerReply| reply.complete || reply.ran == Some(json!(false));
        finding.expect(reply.as_ref().is_ok_and(is_reported), || format!("{reply:?}"));
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
