//! Report of a replay, and the check of expected outcomes against it.

use std::{collections::BTreeMap, fmt, time::Duration};

use hdrhistogram::Histogram;
use pondwalk_config::{Outcome, Outcomes};
use pondwalk_types::{TaskId, VersionId, WorkspaceId};
use serde_json::{Map, Value, json};

/// Statistics over a set of requests.
#[derive(Debug, Clone)]
pub struct RequestStats {
    /// Requests that arrived.
    pub requests: u64,
    /// Requests with a complete answer.
    pub answered: u64,
    /// Requests with a complete answer by their deadline.
    pub answered_on_time: u64,
    /// Requests refused without any run.
    pub refused_not_run: u64,
    /// Requests that ran, or may have run, without a complete answer.
    pub failed: u64,
    /// Non-repeatable requests that ran more than once.
    pub ran_twice: u64,
    /// Requests billed.
    pub billed: u64,
    /// Requests billed more than once.
    pub billed_twice: u64,
    /// Runs on a version that the workspace may not use.
    pub disallowed_runs: u64,
    /// Runs started on a version after it was withdrawn.
    pub withdrawn_runs: u64,
    /// Runs of a session on another version than the previous run, although that version was
    /// usable.
    pub session_moves: u64,
    /// Runs of a session on another version because the previous one was withdrawn, tripped or no
    /// longer allowed.
    pub session_restarts: u64,
    /// Runs started on a server later than the grace time after it was listed as leaving.
    pub leaving_runs: u64,
    /// Cost of all runs, including failed and cancelled ones.
    pub cost: f64,
    /// Further runs started because an answer's quality was too low.
    pub escalations: u64,
    /// Answers to requests with a quality target.
    pub targeted: u64,
    /// Answers that met their quality target.
    pub target_met: u64,
    /// Sum of the recorded qualities of delivered answers.
    pub quality_sum: f64,
    /// Delivered answers by version.
    pub answers_by_version: BTreeMap<VersionId, u64>,
    latency_ms: Histogram<u64>,
}

impl Default for RequestStats {
    fn default() -> Self {
        const DIGITS: u8 = 3;
        const MAX_LATENCY_MS: u64 = 1 << 40;
        let latency_ms = Histogram::new_with_bounds(1, MAX_LATENCY_MS, DIGITS)
            .unwrap_or_else(|_| unreachable!("the bounds are constant and valid"));
        RequestStats {
            requests: 0,
            answered: 0,
            answered_on_time: 0,
            refused_not_run: 0,
            failed: 0,
            ran_twice: 0,
            billed: 0,
            billed_twice: 0,
            disallowed_runs: 0,
            withdrawn_runs: 0,
            session_moves: 0,
            session_restarts: 0,
            leaving_runs: 0,
            cost: 0.0,
            escalations: 0,
            targeted: 0,
            target_met: 0,
            quality_sum: 0.0,
            answers_by_version: BTreeMap::new(),
            latency_ms,
        }
    }
}

impl RequestStats {
    /// Records an answer's latency.
    pub fn add_latency(&mut self, latency: Duration) {
        self.latency_ms.saturating_record(latency.as_millis() as u64);
    }

    fn fields(&self) -> Map<String, Value> {
        let per_answer =
            |sum: f64| (self.answered > 0).then(|| rounded(sum / self.answered as f64));
        let met = self.target_met as f64 / self.targeted as f64;
        let mut fields = Map::new();
        let counts = [
            ("requests", self.requests),
            ("answered", self.answered),
            ("answered_on_time", self.answered_on_time),
            ("refused_not_run", self.refused_not_run),
            ("failed", self.failed),
            ("ran_twice", self.ran_twice),
            ("billed", self.billed),
            ("billed_twice", self.billed_twice),
            ("disallowed_runs", self.disallowed_runs),
            ("withdrawn_runs", self.withdrawn_runs),
            ("session_moves", self.session_moves),
            ("session_restarts", self.session_restarts),
            ("leaving_runs", self.leaving_runs),
        ];
        fields.extend(counts.map(|(name, count)| (name.to_owned(), json!(count))));
        fields.insert("cost".into(), json!(rounded(self.cost)));
        fields.insert("cost_per_answer".into(), json!(per_answer(self.cost)));
        fields.insert("mean_quality".into(), json!(per_answer(self.quality_sum)));
        let target_met_share = (self.targeted > 0).then(|| rounded(met));
        fields.insert("target_met_share".into(), json!(target_met_share));
        fields.insert("escalations".into(), json!(self.escalations));
        fields.insert("answers_by_version".into(), json!(self.answers_by_version));
        fields
    }

    fn latency(&self) -> Value {
        let at = |quantile| self.latency_ms.value_at_quantile(quantile);
        json!({ "p50": at(0.5), "p95": at(0.95), "p99": at(0.99), "max": self.latency_ms.max() })
    }

    fn to_json(&self) -> Value {
        let mut fields = self.fields();
        fields.insert("latency_ms".into(), self.latency());
        Value::Object(fields)
    }
}

/// Rounds to six decimal places, which suffice for costs and shares.
fn rounded(value: f64) -> f64 {
    (value * 1e6).round() / 1e6
}

/// Report of a replay.
#[derive(Debug, Default)]
pub struct Report {
    /// Name of the policy.
    pub policy: &'static str,
    /// Seed of the random numbers.
    pub seed: u64,
    /// Statistics of all requests.
    pub total: RequestStats,
    /// Statistics by workspace.
    pub workspaces: BTreeMap<WorkspaceId, RequestStats>,
    /// Statistics by task.
    pub tasks: BTreeMap<TaskId, RequestStats>,
    /// Number of runs started on each version that was rolled out.
    pub exposed_requests: BTreeMap<VersionId, u64>,
    /// Time at which the policy tripped each of these versions, if it has.
    pub tripped_at: BTreeMap<VersionId, Option<Duration>>,
}

/// An expected outcome that the report does not meet.
#[derive(Debug, Clone, PartialEq)]
pub struct UnmetOutcome {
    /// The expected outcome.
    pub outcome: Outcome,
    /// The reported number; `None` if the report has none at this path.
    pub actual: Option<f64>,
}

impl fmt::Display for UnmetOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Outcome { path, comparison, bound } = &self.outcome;
        write!(f, "{path}: expected {comparison} {bound}, ")?;
        match self.actual {
            Some(actual) => write!(f, "found {actual}"),
            None => write!(f, "but the report has no such number"),
        }
    }
}

impl Report {
    /// Returns the report as a JSON object.
    pub fn to_json(&self) -> Value {
        let mut fields = Map::new();
        fields.insert("policy".into(), json!(self.policy));
        fields.insert("seed".into(), json!(self.seed));
        fields.extend(self.total.fields());
        fields.insert("exposed_requests".into(), json!(self.exposed_requests));
        let tripped: BTreeMap<_, _> = self
            .tripped_at
            .iter()
            .map(|(version, at)| (version, at.map(|at| at.as_millis() as u64)))
            .collect();
        fields.insert("tripped_at_ms".into(), json!(tripped));
        fields.insert("latency_ms".into(), self.total.latency());
        fields.insert("workspaces".into(), stats_json(&self.workspaces));
        fields.insert("tasks".into(), stats_json(&self.tasks));
        Value::Object(fields)
    }

    /// Returns the expected outcomes that the report does not meet.
    pub fn unmet(&self, outcomes: &Outcomes) -> Vec<UnmetOutcome> {
        let report = self.to_json();
        let mut unmet = Vec::new();
        for outcome in &outcomes.0 {
            let actual = find_number(&report, &outcome.path);
            if !actual.is_some_and(|actual| outcome.is_met(actual)) {
                unmet.push(UnmetOutcome { outcome: outcome.clone(), actual });
            }
        }
        unmet
    }
}

fn stats_json(stats_by_name: &BTreeMap<String, RequestStats>) -> Value {
    let objects = stats_by_name.iter().map(|(name, stats)| (name.clone(), stats.to_json()));
    Value::Object(objects.collect())
}

/// Finds a number by its dotted path; the names in the path may contain dots.
fn find_number(value: &Value, path: &str) -> Option<f64> {
    let fields = value.as_object()?;
    if let Some(value) = fields.get(path) {
        return value.as_f64();
    }
    let splits = path.match_indices('.');
    let mut matches =
        splits.filter_map(|(at, _)| find_number(fields.get(&path[..at])?, &path[at + 1..]));
    matches.next()
}
