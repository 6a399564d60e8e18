//! The report of a replay, and the check of stated outcomes against it.

use std::{collections::BTreeMap, fmt, time::Duration};

use hdrhistogram::Histogram;
use pondwalk_config::{Outcome, Outcomes};
use pondwalk_types::{TaskId, VersionId, WorkspaceId};
use serde_json::{Map, Value, json};

/// What is counted over some set of requests.
#[derive(Debug, Clone)]
pub struct Tally {
    /// Requests that arrived.
    pub requests: u64,
    /// Requests answered whole.
    pub answered: u64,
    /// Requests answered whole by their deadline.
    pub answered_on_time: u64,
    /// Requests refused, truly not run.
    pub refused_not_run: u64,
    /// Requests that ran, or may have run, without a whole answer.
    pub failed: u64,
    /// Requests that may not be repeated and ran more than once.
    pub ran_twice: u64,
    /// Requests billed.
    pub billed: u64,
    /// Requests billed more than once.
    pub billed_twice: u64,
    /// Runs on a version that the workspace may not use.
    pub disallowed_runs: u64,
    /// Runs started on a version after it was withdrawn.
    pub withdrawn_runs: u64,
    /// Runs of a session on another version than the run before, which could still serve.
    pub session_moves: u64,
    /// Sessions that went on with another version because theirs was withdrawn or stopped.
    pub session_restarts: u64,
    /// Runs started on a server later than the grace time after it was listed as leaving.
    pub leaving_runs: u64,
    /// Cost of all runs, whatever came of them.
    pub cost: f64,
    /// Second runs made because an answer was poor.
    pub escalations: u64,
    /// Answers that have a quality target.
    pub targeted: u64,
    /// Answers that met it.
    pub target_met: u64,
    /// Sum of the recorded qualities of delivered answers.
    pub quality_sum: f64,
    /// Answers delivered, by version.
    pub answers_by_version: BTreeMap<VersionId, u64>,
    latency_ms: Histogram<u64>,
}

impl Default for Tally {
    fn default() -> Self {
        const DIGITS: u8 = 3;
        const LONGEST_MS: u64 = 1 << 40;
        let latency_ms = Histogram::new_with_bounds(1, LONGEST_MS, DIGITS)
            .unwrap_or_else(|_| unreachable!("the bounds are constant and valid"));
        Tally {
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

impl Tally {
    /// Counts an answer's latency.
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

    fn block(&self) -> Value {
        let mut fields = self.fields();
        fields.insert("latency_ms".into(), self.latency());
        Value::Object(fields)
    }
}

/// Six digits after the point are plenty for money and shares.
fn rounded(value: f64) -> f64 {
    (value * 1e6).round() / 1e6
}

/// The outcome of a replay.
#[derive(Debug, Default)]
pub struct Report {
    /// Name of the policy.
    pub policy: &'static str,
    /// Seed of its random numbers.
    pub seed: u64,
    /// All requests.
    pub total: Tally,
    /// Requests by workspace.
    pub workspaces: BTreeMap<WorkspaceId, Tally>,
    /// Requests by task.
    pub tasks: BTreeMap<TaskId, Tally>,
    /// Requests run on each version that was rolled out.
    pub exposed_requests: BTreeMap<VersionId, u64>,
    /// When each of them was stopped by the policy.
    pub tripped_at: BTreeMap<VersionId, Option<Duration>>,
}

/// A stated outcome that does not hold.
#[derive(Debug, Clone, PartialEq)]
pub struct UnmetOutcome {
    /// What was stated.
    pub outcome: Outcome,
    /// What was seen; `None` if the report has no such figure.
    pub seen: Option<f64>,
}

impl fmt::Display for UnmetOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Outcome { path, comparison, bound } = &self.outcome;
        write!(f, "{path}: stated {comparison} {bound}, ")?;
        match self.seen {
            Some(seen) => write!(f, "seen {seen}"),
            None => write!(f, "but the report has no such figure"),
        }
    }
}

impl Report {
    /// The report as one JSON object.
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
        fields.insert("workspaces".into(), blocks(&self.workspaces));
        fields.insert("tasks".into(), blocks(&self.tasks));
        Value::Object(fields)
    }

    /// Outcomes that do not hold.
    pub fn unmet(&self, outcomes: &Outcomes) -> Vec<UnmetOutcome> {
        let report = self.to_json();
        let mut unmet = Vec::new();
        for outcome in &outcomes.0 {
            let seen = figure(&report, &outcome.path);
            if !seen.is_some_and(|seen| outcome.is_met(seen)) {
                unmet.push(UnmetOutcome { outcome: outcome.clone(), seen });
            }
        }
        unmet
    }
}

fn blocks(tallies: &BTreeMap<String, Tally>) -> Value {
    let blocks = tallies.iter().map(|(name, tally)| (name.clone(), tally.block()));
    Value::Object(blocks.collect())
}

/// Finds a figure by its dotted path; names along the way may hold dots themselves.
fn figure(value: &Value, path: &str) -> Option<f64> {
    let fields = value.as_object()?;
    if let Some(value) = fields.get(path) {
        return value.as_f64();
    }
    let splits = path.match_indices('.');
    let mut inner = splits.filter_map(|(at, _)| figure(fields.get(&path[..at])?, &path[at + 1..]));
    inner.next()
}
