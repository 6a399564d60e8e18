//! The state of one request from its arrival to the delivery of its answer.

use std::time::Duration;

use pondwalk_types::TaskPolicy;

use crate::intern::{ServerIx, TaskIx, VersionIx, WorkspaceIx};

/// A request in progress. The caller owns it and passes it in with each event.
#[derive(Debug, Clone)]
pub struct InFlightRequest {
    pub(crate) workspace: WorkspaceIx,
    pub(crate) task: TaskIx,
    /// The quality target of the task; `None` for plain services and tasks without one.
    pub(crate) target: Option<TaskPolicy>,
    /// The only version that may run, for pinned sessions, services and explicit requests.
    pub(crate) bound_version: Option<VersionIx>,
    /// The session that it belongs to, if any.
    pub(crate) session: Option<Box<str>>,
    pub(crate) session_restarted: bool,
    pub(crate) prompt_tokens: u64,
    pub(crate) prefix: Option<u64>,
    pub(crate) arrived: Duration,
    pub(crate) deadline: Duration,
    pub(crate) repeatable: bool,
    pub(crate) streaming: bool,
    /// Versions of all runs started, whatever their outcome.
    pub(crate) tried_versions: Vec<VersionIx>,
    /// Servers that refused or failed the request.
    pub(crate) avoided_servers: Vec<ServerIx>,
    pub(crate) refusals: usize,
    pub(crate) run: Option<Run>,
    /// Whether the latest run's answer may be passed on as it arrives.
    pub(crate) is_pass_through: bool,
    pub(crate) answer: Option<Answer>,
    /// The rated answer that preceded `answer`.
    pub(crate) previous_answer: Option<Answer>,
    /// Probability of meeting the target that the quality balance accounts for.
    pub(crate) expected_meets: Option<f64>,
    pub(crate) spent: f64,
}

/// A run that has been started and has not ended.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Run {
    pub version: VersionIx,
    pub server: ServerIx,
    pub started: Duration,
    pub reserved: f64,
    pub hold: bool,
}

/// The best answer so far.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Answer {
    /// Index of the run that produced the answer.
    pub run_index: usize,
    pub version: VersionIx,
    pub rating: Option<f64>,
    pub p_meets: f64,
}

/// A delivered answer, kept until its rating arrives.
#[derive(Debug, Clone, Copy)]
pub struct DeliveredAnswer {
    pub(crate) workspace: WorkspaceIx,
    pub(crate) task: TaskIx,
    pub(crate) target: Option<TaskPolicy>,
    pub(crate) version: VersionIx,
    pub(crate) p_meets: f64,
    pub(crate) rated: bool,
}

impl InFlightRequest {
    /// Whether the session restarted on another version because its version was withdrawn.
    pub fn session_restarted(&self) -> bool {
        self.session_restarted
    }

    /// Cost of all ended runs, in the currency of the prices.
    pub fn spent(&self) -> f64 {
        self.spent
    }

    /// Number of runs started.
    pub fn run_count(&self) -> usize {
        self.tried_versions.len()
    }

    /// Whether the latest run's answer is passed on as it arrives: no earlier answer exists and
    /// the answer is not held for a rating.
    pub fn is_pass_through(&self) -> bool {
        self.is_pass_through
    }

    /// Zero-based index of the run whose answer is to be delivered, if there is one.
    pub fn answer_run_index(&self) -> Option<usize> {
        self.answer.map(|answer| answer.run_index)
    }

    pub(crate) fn time_left(&self, now: Duration) -> Duration {
        self.deadline.saturating_sub(now)
    }

    pub(crate) fn stated_deadline_ms(&self) -> u64 {
        self.deadline.saturating_sub(self.arrived).as_millis() as u64
    }
}

impl DeliveredAnswer {
    /// Whether the answer was rated before it was delivered.
    pub fn is_rated(&self) -> bool {
        self.rated
    }
}
