//! State of requests and runs, and the statistics of their outcomes.

use std::{collections::HashMap, time::Duration};

use pondwalk_decide::DeliveredAnswer;
use pondwalk_types::{VersionId, VersionState};

use super::Simulation;
use crate::{
    driver::DriverInFlight,
    events::{RequestIx, RunIx},
    report::RequestStats,
    trace::{RecordedOutcome, RecordedRequest},
};

/// A request that has arrived, in flight or ended.
pub struct RequestState<'a> {
    pub recorded: &'a RecordedRequest,
    pub arrived: Duration,
    pub in_flight: Option<DriverInFlight>,
    /// Runs in order, without refused ones.
    pub runs: Vec<RunIx>,
    /// Number of runs that started on a server.
    pub starts: u32,
    /// Whether any run has completed.
    pub has_answer: bool,
    pub awaiting: Option<RunIx>,
    pub delivered: Option<RunIx>,
    pub receipt: Option<DeliveredAnswer>,
    pub bills: u32,
}

impl<'a> RequestState<'a> {
    pub fn new(recorded: &'a RecordedRequest, arrived: Duration) -> Self {
        RequestState {
            recorded,
            arrived,
            in_flight: None,
            runs: Vec::new(),
            starts: 0,
            has_answer: false,
            awaiting: None,
            delivered: None,
            receipt: None,
            bills: 0,
        }
    }
}

/// State of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunState {
    /// The run waits in its server's queue.
    Waiting,
    /// The run occupies a slot of its server.
    Running {
        /// Time at which the run started.
        since: Duration,
    },
    /// The run completed, failed, or was refused, interrupted or cancelled.
    Closed,
}

/// A run of a request.
pub struct Run {
    pub request: RequestIx,
    pub version: VersionId,
    pub server: usize,
    pub outcome: RecordedOutcome,
    pub is_service: bool,
    pub state: RunState,
}

impl Run {
    pub fn new(
        request: RequestIx,
        version: VersionId,
        server: usize,
        recorded: &RecordedRequest,
    ) -> Self {
        // NB: a version without a recorded outcome for the request fails it.
        let missing = RecordedOutcome {
            output_tokens: 0,
            service_time: Duration::from_millis(1),
            quality: 0.0,
            failed: true,
        };
        let outcome = recorded.outcomes.get(&version).cloned().unwrap_or(missing);
        let is_service = recorded.service.is_some();
        Run { request, version, server, outcome, is_service, state: RunState::Waiting }
    }

    pub fn is_open(&self) -> bool {
        self.state != RunState::Closed
    }
}

/// Version of each session's latest run, by workspace and session.
#[derive(Default)]
pub struct Sessions<'a> {
    last: HashMap<(&'a str, &'a str), VersionId>,
}

impl<'a> Simulation<'a> {
    /// Applies a change to the total statistics and to those of the request's workspace and task.
    pub fn count(&mut self, request: RequestIx, change: impl Fn(&mut RequestStats)) {
        let recorded = self.requests[request].recorded;
        change(&mut self.report.total);
        change(self.report.workspaces.entry(recorded.workspace.clone()).or_default());
        change(self.report.tasks.entry(recorded.task.clone()).or_default());
    }

    /// Delivers the available answer, or ends the request if there is none.
    pub fn deliver(&mut self, now: Duration, request: RequestIx) {
        let Some(mut in_flight) = self.requests[request].in_flight.take() else {
            return;
        };
        let (number, receipt) = self.driver.on_delivered(now, &mut in_flight);
        let run = number.and_then(|number| self.requests[request].runs.get(number).copied());
        let Some(run) = run else {
            self.end_unanswered(request);
            return;
        };
        let state = &mut self.requests[request];
        state.delivered = Some(run);
        state.receipt = receipt;
        state.bills += 1;
        self.count_answer(now, request, run);
    }

    /// Ends a request without an answer.
    pub fn end_unanswered(&mut self, request: RequestIx) {
        self.requests[request].in_flight = None;
        if self.requests[request].starts == 0 {
            self.count(request, |stats| stats.refused_not_run += 1);
        } else {
            self.count(request, |stats| stats.failed += 1);
        }
    }

    fn count_answer(&mut self, now: Duration, request: RequestIx, run: RunIx) {
        let state = &self.requests[request];
        let latency = now - state.arrived;
        let on_time = u64::from(latency <= state.recorded.deadline);
        let quality = self.runs[run].outcome.quality;
        let first_bill = state.bills == 1;
        let target = self.target_of(request);
        let met = target.is_some_and(|target| quality >= target);
        let version = self.runs[run].version.clone();
        self.count(request, |stats| {
            stats.answered += 1;
            stats.answered_on_time += on_time;
            stats.billed += u64::from(first_bill);
            stats.billed_twice += u64::from(!first_bill);
            stats.quality_sum += quality;
            stats.targeted += u64::from(target.is_some());
            stats.target_met += u64::from(met);
            *stats.answers_by_version.entry(version.clone()).or_default() += 1;
            stats.add_latency(latency);
        });
    }

    fn target_of(&self, request: RequestIx) -> Option<f64> {
        let recorded = self.requests[request].recorded;
        let workspace = self.policy.workspaces.get(&recorded.workspace)?;
        Some(workspace.tasks.get(&recorded.task)?.quality_target)
    }

    /// Counts a session's run on another version than its previous run: as a move if the previous
    /// version is still usable, else as a restart.
    pub fn count_session_move(&mut self, request: RequestIx, run: RunIx) {
        let recorded = self.requests[request].recorded;
        let Some(session) = recorded.session.as_deref().filter(|_| recorded.service.is_none())
        else {
            return;
        };
        let version = self.runs[run].version.clone();
        let key = (recorded.workspace.as_str(), session);
        let Some(previous) = self.sessions.last.insert(key, version.clone()) else {
            return;
        };
        if previous == version {
            return;
        }
        if self.is_usable(&recorded.workspace, &previous) {
            self.count(request, |stats| stats.session_moves += 1);
        } else {
            self.count(request, |stats| stats.session_restarts += 1);
        }
    }

    /// Whether a version is neither withdrawn nor tripped, and allowed for the workspace.
    fn is_usable(&self, workspace: &str, version: &VersionId) -> bool {
        let state = self.policy.versions.get(version).map(|spec| spec.state);
        let workspace = self.policy.workspaces.get(workspace);
        state.is_some_and(|state| state != VersionState::Withdrawn)
            && workspace.is_some_and(|w| w.allowed_versions.contains(version))
            && self.driver.tripped(version).is_none()
    }
}
