//! Requests and runs of a replay, and the counting of what came of them.

use std::{collections::HashMap, time::Duration};

use pondwalk_decide::DeliveredAnswer;
use pondwalk_types::{VersionId, VersionState};

use super::Simulation;
use crate::{
    driver::DriverFlight,
    events::{RequestIx, RunIx},
    report::Tally,
    trace::{RecordedOutcome, RecordedRequest},
};

/// A request under way or ended.
pub struct Live<'a> {
    pub recorded: &'a RecordedRequest,
    pub arrived: Duration,
    pub flight: Option<DriverFlight>,
    /// Runs by number, those refused left out.
    pub runs: Vec<RunIx>,
    /// Runs that started on a server.
    pub starts: u32,
    /// Whether any run has ended whole.
    pub has_answer: bool,
    pub awaiting: Option<RunIx>,
    pub delivered: Option<RunIx>,
    pub receipt: Option<DeliveredAnswer>,
    pub bills: u32,
}

impl<'a> Live<'a> {
    pub fn new(recorded: &'a RecordedRequest, arrived: Duration) -> Self {
        Live {
            recorded,
            arrived,
            flight: None,
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

/// Where a run stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunState {
    /// In its server's queue.
    Waiting,
    /// On its server.
    Running {
        /// When it started.
        since: Duration,
    },
    /// Ended, refused, cut or dropped.
    Closed,
}

/// One run of a request.
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
        // NB: a version that was never recorded for the request cannot answer it.
        let unknown = RecordedOutcome {
            output_tokens: 0,
            service: Duration::from_millis(1),
            quality: 0.0,
            failed: true,
        };
        let outcome = recorded.outcomes.get(&version).cloned().unwrap_or(unknown);
        let is_service = recorded.service.is_some();
        Run { request, version, server, outcome, is_service, state: RunState::Waiting }
    }

    pub fn is_open(&self) -> bool {
        self.state != RunState::Closed
    }
}

/// The version that each session was last run on.
#[derive(Default)]
pub struct Sessions<'a> {
    last: HashMap<(&'a str, &'a str), VersionId>,
}

impl<'a> Simulation<'a> {
    /// Counts something for a request's workspace, its task and in all.
    pub fn count(&mut self, request: RequestIx, change: impl Fn(&mut Tally)) {
        let recorded = self.requests[request].recorded;
        change(&mut self.report.total);
        change(self.report.workspaces.entry(recorded.workspace.clone()).or_default());
        change(self.report.tasks.entry(recorded.task.clone()).or_default());
    }

    /// Delivers the answer in hand.
    pub fn deliver(&mut self, now: Duration, request: RequestIx) {
        let Some(mut flight) = self.requests[request].flight.take() else {
            return;
        };
        let (number, receipt) = self.driver.delivered(now, &mut flight);
        let run = number.and_then(|number| self.requests[request].runs.get(number).copied());
        let Some(run) = run else {
            self.end_unanswered(request);
            return;
        };
        let live = &mut self.requests[request];
        live.delivered = Some(run);
        live.receipt = receipt;
        live.bills += 1;
        self.count_answer(now, request, run);
    }

    /// Ends a request without an answer.
    pub fn end_unanswered(&mut self, request: RequestIx) {
        self.requests[request].flight = None;
        if self.requests[request].starts == 0 {
            self.count(request, |tally| tally.refused_not_run += 1);
        } else {
            self.count(request, |tally| tally.failed += 1);
        }
    }

    fn count_answer(&mut self, now: Duration, request: RequestIx, run: RunIx) {
        let live = &self.requests[request];
        let latency = now - live.arrived;
        let on_time = u64::from(latency <= live.recorded.deadline);
        let quality = self.runs[run].outcome.quality;
        let first_bill = live.bills == 1;
        let target = self.target_of(request);
        let met = target.is_some_and(|target| quality >= target);
        let version = self.runs[run].version.clone();
        self.count(request, |tally| {
            tally.answered += 1;
            tally.answered_on_time += on_time;
            tally.billed += u64::from(first_bill);
            tally.billed_twice += u64::from(!first_bill);
            tally.quality_sum += quality;
            tally.targeted += u64::from(target.is_some());
            tally.target_met += u64::from(met);
            *tally.answers_by_version.entry(version.clone()).or_default() += 1;
            tally.add_latency(latency);
        });
    }

    fn target_of(&self, request: RequestIx) -> Option<f64> {
        let recorded = self.requests[request].recorded;
        let workspace = self.policy.workspaces.get(&recorded.workspace)?;
        Some(workspace.tasks.get(&recorded.task)?.quality_target)
    }

    /// Counts a run of a session on another version than its run before.
    pub fn count_session(&mut self, request: RequestIx, run: RunIx) {
        let recorded = self.requests[request].recorded;
        let Some(session) = recorded.session.as_deref().filter(|_| recorded.service.is_none())
        else {
            return;
        };
        let version = self.runs[run].version.clone();
        let key = (recorded.workspace.as_str(), session);
        let Some(before) = self.sessions.last.insert(key, version.clone()) else {
            return;
        };
        if before == version {
            return;
        }
        if self.could_still_serve(&recorded.workspace, &before) {
            self.count(request, |tally| tally.session_moves += 1);
        } else {
            self.count(request, |tally| tally.session_restarts += 1);
        }
    }

    /// Whether a version was neither withdrawn, nor stopped, nor taken from the workspace.
    fn could_still_serve(&self, workspace: &str, version: &VersionId) -> bool {
        let state = self.policy.versions.get(version).map(|spec| spec.state);
        let workspace = self.policy.workspaces.get(workspace);
        state.is_some_and(|state| state != VersionState::Withdrawn)
            && workspace.is_some_and(|w| w.allowed_versions.contains(version))
            && self.driver.tripped(version).is_none()
    }
}
