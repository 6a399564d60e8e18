//! Runs on servers, from queueing to their end, and their costs.

use std::time::Duration;

use pondwalk_decide::{Admission, Dispatch, FinishedRun, PlannedRun};
use pondwalk_types::{Executed, Refusal, TokenUsage, VersionState};
use rand::Rng;

use super::{
    Simulation,
    accounting::{Run, RunState},
};
use crate::events::{Event, RequestIx, RunIx};

impl Simulation<'_> {
    /// Submits a run to its server's agent.
    pub(super) fn submit(&mut self, now: Duration, request: RequestIx, step: PlannedRun) {
        let recorded = self.requests[request].recorded;
        let Some(server) = self.fleet.find(&step.server) else {
            return;
        };
        let run = self.runs.len();
        self.runs.push(Run::new(request, step.version, server, recorded));
        self.requests[request].runs.push(run);
        self.count_session_move(request, run);
        if let Some(at) = step.fallback_deadline {
            self.events.push(at, Event::DeliverFallback(run));
        }
        let work =
            self.fleet.queued_work(run, &self.runs[run], &self.requests[request], &self.policy);
        match self.fleet.get_mut(server).queue.offer(now, work) {
            Admission::Start => self.start(now, run),
            Admission::Queued { displaced: Some((displaced, refusal)) } => {
                self.on_run_refused(now, displaced, refusal);
            }
            Admission::Queued { displaced: None } => {}
            Admission::Refused(refusal) => self.on_run_refused(now, run, refusal),
        }
    }

    pub(super) fn start(&mut self, now: Duration, run: RunIx) {
        self.runs[run].state = RunState::Running { since: now };
        let Run { request, server, .. } = self.runs[run];
        self.count_run_start(run);
        let ends_at = now + self.runs[run].outcome.service_time;
        self.events.push(ends_at, Event::RunEnded(run));
        self.requests[request].starts += 1;
        let is_forbidden_repeat =
            self.requests[request].starts == 2 && !self.requests[request].recorded.repeatable;
        if is_forbidden_repeat {
            self.count(request, |stats| stats.ran_twice += 1);
        }
        let leaving = self.fleet.get_mut(server).leaving_since;
        if leaving.is_some_and(|since| now > since + self.settings.leaving_grace) {
            self.count(request, |stats| stats.leaving_runs += 1);
        }
    }

    /// Counts violations of the policy by a started run, and exposure to rolled-out versions.
    pub(super) fn count_run_start(&mut self, run: RunIx) {
        let Run { request, ref version, .. } = self.runs[run];
        let version = version.clone();
        let recorded = self.requests[request].recorded;
        let workspace = self.policy.workspaces.get(&recorded.workspace);
        let is_allowed = workspace.is_some_and(|w| {
            w.allowed_versions.contains(&version) || w.allowed_services.contains(&version)
        });
        if !is_allowed {
            self.count(request, |stats| stats.disallowed_runs += 1);
        }
        let state = self.policy.versions.get(&version).map(|spec| spec.state);
        if state == Some(VersionState::Withdrawn) {
            self.count(request, |stats| stats.withdrawn_runs += 1);
        }
        if let Some(exposed) = self.report.exposed_requests.get_mut(&version) {
            *exposed += 1;
        }
    }

    pub(super) fn on_run_refused(&mut self, now: Duration, run: RunIx, refusal: Refusal) {
        let request = self.runs[run].request;
        self.runs[run].state = RunState::Closed;
        self.requests[request].runs.retain(|other| *other != run);
        let server = self.fleet.get_mut(self.runs[run].server).name.clone();
        let Some(mut in_flight) = self.requests[request].in_flight.take() else {
            return;
        };
        let next = self.driver.on_run_refused(now, &mut in_flight, &server, refusal);
        self.requests[request].in_flight = Some(in_flight);
        self.apply_action(now, request, next);
    }

    pub(super) fn on_run_ended(&mut self, now: Duration, run: RunIx) {
        if !self.runs[run].is_open() {
            return;
        }
        let spent = self.close_run(now, run);
        self.free_slot(now, self.runs[run].server);
        if self.runs[run].outcome.failed {
            self.on_run_failed(now, run, Executed::Yes, spent, Refusal::BackendFailed);
            return;
        }
        let request = self.runs[run].request;
        let is_rated = !self.runs[run].is_service
            && self.sampling.random::<f64>() < self.settings.rating_share;
        if is_rated {
            self.events.push(now + self.settings.rating_delay, Event::Rating(run));
        }
        let outcome = &self.runs[run].outcome;
        let done = FinishedRun {
            output_tokens: outcome.output_tokens,
            service_time: outcome.service_time,
        };
        self.requests[request].has_answer = true;
        let Some(mut in_flight) = self.requests[request].in_flight.take() else {
            return;
        };
        let next = self.driver.on_run_finished(now, &mut in_flight, done);
        self.requests[request].in_flight = Some(in_flight);
        self.apply_action(now, request, next);
    }

    pub(super) fn on_run_failed(
        &mut self,
        now: Duration,
        run: RunIx,
        ran: Executed,
        spent: f64,
        refusal: Refusal,
    ) {
        let request = self.runs[run].request;
        let Some(mut in_flight) = self.requests[request].in_flight.take() else {
            return;
        };
        let next = self.driver.on_run_failed(now, &mut in_flight, ran, spent, refusal);
        self.requests[request].in_flight = Some(in_flight);
        self.apply_action(now, request, next);
    }

    /// Closes a run, counts and returns its cost; an incomplete run costs the share of its output
    /// generated so far.
    pub(super) fn close_run(&mut self, now: Duration, run: RunIx) -> f64 {
        let Run { request, state, ref version, ref outcome, .. } = self.runs[run];
        let share = match state {
            RunState::Running { since } => {
                let full_time = outcome.service_time.as_secs_f64().max(1e-9);
                Some(((now - since).as_secs_f64() / full_time).min(1.0))
            }
            _ => None,
        };
        let usage = TokenUsage {
            prompt_tokens: self.requests[request].recorded.prompt_tokens,
            output_tokens: (outcome.output_tokens as f64 * share.unwrap_or(0.0)) as u64,
        };
        let price = self.policy.price_of(version).unwrap_or_default();
        let cost = if share.is_some() { price.cost(usage) } else { 0.0 };
        self.runs[run].state = RunState::Closed;
        self.count(request, |stats| stats.cost += cost);
        cost
    }

    pub(super) fn free_slot(&mut self, now: Duration, server: usize) {
        let mut dispatch = self.fleet.get_mut(server).queue.finish(now);
        loop {
            let Dispatch { start, shed } = dispatch;
            if let Some(run) = start {
                self.start(now, run);
            }
            for (run, refusal) in shed {
                self.on_run_refused(now, run, refusal);
            }
            if start.is_none() {
                return;
            }
            dispatch = self.fleet.get_mut(server).queue.dispatch_next(now);
        }
    }
}
