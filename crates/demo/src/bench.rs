//! The same load to the engine directly and through entry and agent, in one run.

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

/// Longest wait for one answer.
const PATIENCE: Duration = Duration::from_secs(30);
/// How the names of the roles' threads begin.
const ROLE_THREADS: [&str; 2] = ["entry-", "agent-"];

/// What to measure.
#[derive(Debug, Clone, Copy)]
pub struct BenchPlan {
    /// Requests a second.
    pub rate: f64,
    /// Length of each part.
    pub length: Duration,
    /// Tokens of an answer.
    pub tokens: u64,
    /// Time between tokens at the engine.
    pub token: Duration,
}

/// Why the bench could not run.
#[derive(Debug, Error)]
pub enum BenchError {
    /// The deployment did not start.
    #[error(transparent)]
    Demo(#[from] DemoError),
    /// An answer was not whole.
    #[error("{failed} of {sent} answers were not whole")]
    NotWhole {
        /// Answers that were not whole.
        failed: u64,
        /// Requests sent.
        sent: u64,
    },
    /// The process's accounting cannot be read.
    #[error("the process's processor time cannot be read")]
    NoAccounting,
}

/// Figures of one way.
#[derive(Debug, Clone)]
pub struct PathResults {
    /// Time to the whole answer.
    pub total_us: Histogram<u64>,
    /// Time to the first token.
    pub first_token_us: Histogram<u64>,
    /// Processor time of the threads of entry and agent.
    pub cpu: Duration,
    /// Requests sent.
    pub sent: u64,
}

/// Figures of both ways.
#[derive(Debug, Clone)]
pub struct BenchResults {
    /// To the engine directly.
    pub direct: PathResults,
    /// Through entry and agent.
    pub routed: PathResults,
    /// Tokens of each answer.
    pub tokens: u64,
}

impl BenchResults {
    /// Latency added at a quantile to the first token, in microseconds.
    pub fn added_first_token_us(&self, quantile: f64) -> i64 {
        let at = |way: &PathResults| way.first_token_us.value_at_quantile(quantile) as i64;
        at(&self.routed) - at(&self.direct)
    }

    /// Latency added at a quantile to the whole answer, in microseconds.
    pub fn added_total_us(&self, quantile: f64) -> i64 {
        let at = |way: &PathResults| way.total_us.value_at_quantile(quantile) as i64;
        at(&self.routed) - at(&self.direct)
    }

    /// Processor time of entry and agent for each request, in microseconds.
    pub fn cpu_per_request_us(&self) -> f64 {
        self.routed.cpu.as_secs_f64() * 1e6 / self.routed.sent.max(1) as f64
    }
}

/// Runs both ways one after the other.
pub async fn run(plan: &BenchPlan) -> Result<BenchResults, BenchError> {
    const VERSION: &str = "bench/1";
    const WARM_UP: Duration = Duration::from_secs(1);
    let deployment = start(plan, VERSION).await?;
    let engine = deployment.servers[0].engine.as_ref().map(|engine| engine.address());
    let engine = engine.ok_or(DemoError::NotReady)?;
    let entry = deployment.entry_addresses()[0];
    let warm_up = BenchPlan { length: WARM_UP, ..*plan };
    drive(&warm_up, engine, VERSION).await?;
    drive(&warm_up, entry, VERSION).await?;
    let direct = drive(plan, engine, VERSION).await?;
    let routed = drive(plan, entry, VERSION).await?;
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

/// Sends streamed requests at a steady rate and times their answers.
async fn drive(
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
    let before = processor_time().ok_or(BenchError::NoAccounting)?;
    let started = Instant::now();
    let gap = Duration::from_secs_f64(1.0 / plan.rate);
    let mut calls = tokio::task::JoinSet::new();
    let mut sent = 0;
    while started.elapsed() < plan.length {
        tokio::time::sleep_until(started + gap * sent).await;
        sent += 1;
        let call = timed(client.clone(), address, body.clone());
        calls.spawn(async move { tokio::time::timeout(PATIENCE, call).await.ok().flatten() });
    }
    let mut total_us = histogram();
    let mut first_token_us = histogram();
    let mut failed = 0;
    while let Some(ended) = calls.join_next().await {
        match ended {
            Ok(Some((first, whole))) => {
                first_token_us.saturating_record(first.as_micros() as u64);
                total_us.saturating_record(whole.as_micros() as u64);
            }
            _ => failed += 1,
        }
    }
    let cpu = processor_time().ok_or(BenchError::NoAccounting)? - before;
    let sent = u64::from(sent);
    if failed > 0 {
        return Err(BenchError::NotWhole { failed, sent });
    }
    Ok(PathResults { total_us, first_token_us, cpu, sent })
}

/// Times to the first token and to the end of one answer; `None` if it is not whole.
async fn timed(
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
    let mut whole = false;
    while let Some(Ok(chunk)) = stream.next().await {
        first.get_or_insert_with(|| started.elapsed());
        whole |= chunk.windows(6).any(|window| window == b"[DONE]");
    }
    Some((first?, started.elapsed())).filter(|_| whole)
}

fn histogram() -> Histogram<u64> {
    const DIGITS: u8 = 3;
    const LONGEST_US: u64 = 600_000_000;
    Histogram::new_with_bounds(1, LONGEST_US, DIGITS)
        .unwrap_or_else(|_| unreachable!("the bounds are constant and valid"))
}

/// Processor time of both roles' threads so far, from the kernel's scheduler accounting.
fn processor_time() -> Option<Duration> {
    let mut nanos = 0;
    for task in std::fs::read_dir("/proc/self/task").ok()? {
        let task = task.ok()?.path();
        // NB: a thread that ended meanwhile is passed over.
        let Ok(name) = std::fs::read_to_string(task.join("comm")) else { continue };
        let Ok(schedstat) = std::fs::read_to_string(task.join("schedstat")) else { continue };
        if !ROLE_THREADS.iter().any(|prefix| name.starts_with(prefix)) {
            continue;
        }
        nanos += schedstat.split_whitespace().next()?.parse::<u64>().ok()?;
    }
    Some(Duration::from_nanos(nanos))
}
