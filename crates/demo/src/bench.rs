//! Measures the same load on the direct path to the engine and on the path through entry and agent.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use futures::StreamExt;
use hdrhistogram::Histogram;
use pondwalk_standin::VersionProfile;
use serde_json::json;
use thiserror::Error;
use tokio::time::Instant;

use crate::{
    day::DemoError,
    deployment::{Deployment, Plan, ServerPlan},
};

/// Timeout for one answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);
/// Name prefixes of the roles' threads.
const ROLE_THREADS: [&str; 2] = ["entry-", "agent-"];

/// Load of the benchmark.
#[derive(Debug, Clone, Copy)]
pub struct BenchPlan {
    /// Requests per second.
    pub rate: f64,
    /// Length of the load on each path.
    pub length: Duration,
    /// Tokens per answer.
    pub tokens: u64,
    /// Time between two tokens at the engine.
    pub token: Duration,
}

/// Errors of the benchmark.
#[derive(Debug, Error)]
pub enum BenchError {
    /// The deployment did not start.
    #[error(transparent)]
    Demo(#[from] DemoError),
    /// Some answers were incomplete.
    #[error("{failed} of {sent} answers were incomplete")]
    NotWhole {
        /// Number of incomplete answers.
        failed: u64,
        /// Number of requests sent.
        sent: u64,
    },
    /// The CPU accounting of the process cannot be read.
    #[error("the CPU time of the process cannot be read")]
    NoAccounting,
}

/// Measurements of one path.
#[derive(Debug, Clone)]
pub struct PathResults {
    /// Time to the end of the answer, in microseconds.
    pub total_us: Histogram<u64>,
    /// Time to the first token, in microseconds.
    pub first_token_us: Histogram<u64>,
    /// CPU time of the threads of entry and agent.
    pub cpu: Duration,
    /// Number of requests sent.
    pub sent: u64,
}

/// Measurements of both paths.
#[derive(Debug, Clone)]
pub struct BenchResults {
    /// Directly to the engine.
    pub direct: PathResults,
    /// Through entry and agent.
    pub routed: PathResults,
    /// Tokens per answer.
    pub tokens: u64,
}

impl BenchResults {
    /// Returns the latency added to the first token at a quantile, in microseconds.
    pub fn added_first_token_us(&self, quantile: f64) -> i64 {
        let at = |path: &PathResults| path.first_token_us.value_at_quantile(quantile) as i64;
        at(&self.routed) - at(&self.direct)
    }

    /// Returns the latency added to the complete answer at a quantile, in microseconds.
    pub fn added_total_us(&self, quantile: f64) -> i64 {
        let at = |path: &PathResults| path.total_us.value_at_quantile(quantile) as i64;
        at(&self.routed) - at(&self.direct)
    }

    /// Returns the CPU time of entry and agent per request, in microseconds.
    pub fn cpu_per_request_us(&self) -> f64 {
        self.routed.cpu.as_secs_f64() * 1e6 / self.routed.sent.max(1) as f64
    }
}

/// Measures both paths one after the other.
pub async fn run(plan: &BenchPlan) -> Result<BenchResults, BenchError> {
    const VERSION: &str = "bench/1";
    const WARM_UP: Duration = Duration::from_secs(1);
    let deployment = start(plan, VERSION).await?;
    let engine = deployment.servers[0].engine.as_ref().map(|engine| engine.address());
    let engine = engine.ok_or(DemoError::NotReady)?;
    let entry = deployment.entry_addresses()[0];
    let warm_up = BenchPlan { length: WARM_UP, ..*plan };
    send_load(&warm_up, engine, VERSION).await?;
    send_load(&warm_up, entry, VERSION).await?;
    let direct = send_load(plan, engine, VERSION).await?;
    let routed = send_load(plan, entry, VERSION).await?;
    Ok(BenchResults { direct, routed, tokens: plan.tokens })
}

async fn start(plan: &BenchPlan, version: &str) -> Result<Deployment, BenchError> {
    let profile = VersionProfile {
        first_token: plan.token,
        token: plan.token,
        tokens: plan.tokens,
        quality: 0.9,
    };
    let server = ServerPlan {
        server: "b1".to_owned(),
        data_centre: "dc1".to_owned(),
        versions: BTreeMap::from([(version.to_owned(), profile)]),
        loaded: None,
        service: None,
        slots: 10_000,
    };
    let digest = crate::day::key_digest("bench");
    let policy_ini = format!(
        "[version {version}]\n[workspace bench]\nallowed_versions = {version}\n\
         keys_sha256 = {digest}\n"
    );
    let plan = Plan { servers: vec![server], entries: 1, policy_ini, entry_ini: String::new() };
    let deployment = Deployment::start(&plan).await.map_err(DemoError::from)?;
    if !deployment.wait_ready(Duration::from_secs(10)).await {
        return Err(DemoError::NotReady.into());
    }
    Ok(deployment)
}

/// Sends streaming requests at a constant rate and measures their latencies.
async fn send_load(
    plan: &BenchPlan,
    address: SocketAddr,
    version: &str,
) -> Result<PathResults, BenchError> {
    let client = reqwest::Client::builder().pool_max_idle_per_host(1_000).build();
    let client = client.unwrap_or_default();
    let body = json!({
        "model": version,
        "stream": true,
        "messages": [{ "role": "user", "content": "how much" }],
    });
    let body = body.to_string();
    let before = cpu_time().ok_or(BenchError::NoAccounting)?;
    let started = Instant::now();
    let gap = Duration::from_secs_f64(1.0 / plan.rate);
    let mut calls = tokio::task::JoinSet::new();
    let mut sent = 0;
    while started.elapsed() < plan.length {
        tokio::time::sleep_until(started + gap * sent).await;
        sent += 1;
        let call = time_request(client.clone(), address, body.clone());
        calls.spawn(async move { tokio::time::timeout(ANSWER_TIMEOUT, call).await.ok().flatten() });
    }
    let mut total_us = histogram();
    let mut first_token_us = histogram();
    let mut failed = 0;
    while let Some(ended) = calls.join_next().await {
        match ended {
            Ok(Some((first, total))) => {
                first_token_us.saturating_record(first.as_micros() as u64);
                total_us.saturating_record(total.as_micros() as u64);
            }
            _ => failed += 1,
        }
    }
    let cpu = cpu_time().ok_or(BenchError::NoAccounting)? - before;
    let sent = u64::from(sent);
    if failed > 0 {
        return Err(BenchError::NotWhole { failed, sent });
    }
    Ok(PathResults { total_us, first_token_us, cpu, sent })
}

/// Sends a request; returns the times to the first token and to the end, or `None` if it is incomplete.
async fn time_request(
    client: reqwest::Client,
    address: SocketAddr,
    body: String,
) -> Option<(Duration, Duration)> {
    let started = Instant::now();
    let response = client
        .post(format!("http://{address}/v1/chat/completions"))
        .header("authorization", "Bearer bench")
        .header("content-type", "application/json")
        .body(body)
        .send()
        .await
        .ok()?;
    let mut stream = response.bytes_stream();
    let mut first = None;
    let mut complete = false;
    while let Some(Ok(chunk)) = stream.next().await {
        first.get_or_insert_with(|| started.elapsed());
        complete |= chunk.windows(6).any(|window| window == b"[DONE]");
    }
    Some((first?, started.elapsed())).filter(|_| complete)
}

fn histogram() -> Histogram<u64> {
    const DIGITS: u8 = 3;
    const LONGEST_US: u64 = 600_000_000;
    Histogram::new_with_bounds(1, LONGEST_US, DIGITS)
        .unwrap_or_else(|_| unreachable!("the bounds are constant and valid"))
}

/// Returns the CPU time of both roles' threads so far, from the kernel's scheduler statistics.
fn cpu_time() -> Option<Duration> {
    let mut nanos = 0;
    for task in std::fs::read_dir("/proc/self/task").ok()? {
        let task = task.ok()?.path();
        // Skips threads that have exited meanwhile.
        let Ok(name) = std::fs::read_to_string(task.join("comm")) else { continue };
        let Ok(schedstat) = std::fs::read_to_string(task.join("schedstat")) else { continue };
        if !ROLE_THREADS.iter().any(|prefix| name.starts_with(prefix)) {
            continue;
        }
        nanos += schedstat.split_whitespace().next()?.parse::<u64>().ok()?;
    }
    Some(Duration::from_nanos(nanos))
}
