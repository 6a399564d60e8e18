//! The state of one request between its arrival and its delivery.

use std::time::Duration;

use pondwalk_types::TaskPolicy;

use crate::intern::{ServerIx, TaskIx, VersionIx, WorkspaceIx};

/// One request under way. The caller keeps it and hands it back with each event.
#[derive(Debug, Clone)]
pub struct InFlightRequest {
    pub(crate) workspace: WorkspaceIx,
    pub(crate) task: TaskIx,
    /// Absent where the task has no quality target, as for plain services.
    pub(crate) target: Option<TaskPolicy>,
    /// The only version that may run, for sessions, services and callers that insist.
    pub(crate) only: Option<VersionIx>,
    /// The conversation that it belongs to, if any.
    pub(crate) session: Option<Box<str>>,
    pub(crate) session_restarted: bool,
    pub(crate) prompt_tokens: u64,
    pub(crate) prefix: Option<u64>,
    pub(crate) arrived: Duration,
    pub(crate) deadline: Duration,
    pub(crate) repeatable: bool,
    pub(crate) streaming: bool,
    /// Versions that have run, whatever came of it.
    pub(crate) tried: Vec<VersionIx>,
    /// Servers that refused or failed it.
    pub(crate) avoid: Vec<ServerIx>,
    pub(crate) refusals: usize,
    pub(crate) run: Option<Run>,
    /// Whether the newest run started with no answer in hand and nothing to wait for.
    pub(crate) is_pass_through: bool,
    pub(crate) answer: Option<Answer>,
    /// The rated answer that was in hand before it.
    pub(crate) former: Option<Answer>,
    /// What the quality account was told to expect.
    pub(crate) booked: Option<f64>,
    pub(crate) spent: f64,
}

/// A run that has been started and has not come back.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Run {
    pub version: VersionIx,
    pub server: ServerIx,
    pub started: Duration,
    pub reserved: f64,
    pub hold: bool,
}

/// The best answer in hand.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Answer {
    /// Number of the run that gave it.
    pub run: usize,
    pub version: VersionIx,
    pub rating: Option<f64>,
    pub meets: f64,
}

/// What is kept of a delivered answer until its rating comes.
#[derive(Debug, Clone, Copy)]
pub struct DeliveredAnswer {
    pub(crate) workspace: WorkspaceIx,
    pub(crate) task: TaskIx,
    pub(crate) target: Option<TaskPolicy>,
    pub(crate) version: VersionIx,
    pub(crate) expected: f64,
    pub(crate) rated: bool,
}

impl InFlightRequest {
    /// Whether its session had to start anew because its version was withdrawn.
    pub fn session_restarted(&self) -> bool {
        self.session_restarted
    }

    /// What its runs have cost so far.
    pub fn spent(&self) -> f64 {
        self.spent
    }

    /// Number of runs started.
    pub fn run_count(&self) -> usize {
        self.tried.len()
    }

    /// Whether the answer in hand came from the first run and was not to be held.
    pub fn is_pass_through(&self) -> bool {
        self.is_pass_through
    }

    /// Number of the run whose answer is to be delivered, from zero, if one is in hand.
    pub fn answer_run_index(&self) -> Option<usize> {
        self.answer.map(|answer| answer.run)
    }

    pub(crate) fn time_left(&self, now: Duration) -> Duration {
        self.deadline.saturating_sub(now)
    }

    pub(crate) fn stated_deadline_ms(&self) -> u64 {
        self.deadline.saturating_sub(self.arrived).as_millis() as u64
    }
}

impl DeliveredAnswer {
    /// Whether the answer's rating is already known.
    pub fn is_rated(&self) -> bool {
        self.rated
    }
}
