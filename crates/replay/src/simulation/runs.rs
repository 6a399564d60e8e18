//! Runs on servers, from their queues to their ends, and what they cost.

use std::time::Duration;

use pondwalk_decide::{Admission, Dispatch, FinishedRun, PlannedRun};
use pondwalk_types::{Executed, Refusal, TokenUsage, VersionState};
use rand::Rng;

use super::{
    Simulation,
    book::{Run, RunState},
};
use crate::events::{Event, RequestIx, RunIx};

impl Simulation<'_> {
    /// Hands a run to its server's agent.
    pub(super) fn submit(&mut self, now: Duration, request: RequestIx, step: PlannedRun) {
        let recorded = self.requests[request].recorded;
        let Some(server) = self.fleet.find(&step.server) else {
            return;
        };
        let run = self.runs.len();
        self.runs.push(Run::new(request, step.version, server, recorded));
        self.requests[request].runs.push(run);
        self.count_session(request, run);
        if let Some(at) = step.fallback_deadline {
            self.events.push(at, Event::DeliverHeld(run));
        }
        let work = self.fleet.work(run, &self.runs[run], &self.requests[request], &self.policy);
        match self.fleet.get_mut(server).queue.offer(now, work) {
            Admission::Start => self.start(now, run),
            Admission::Queued { displaced: Some((out, refusal)) } => {
                self.refused(now, out, refusal);
            }
            Admission::Queued { displaced: None } => {}
            Admission::Refused(refusal) => self.refused(now, run, refusal),
        }
    }

    pub(super) fn start(&mut self, now: Duration, run: RunIx) {
        self.runs[run].state = RunState::Running { since: now };
        let Run { request, server, .. } = self.runs[run];
        self.count_start(run);
        let ends = now + self.runs[run].outcome.service;
        self.events.push(ends, Event::RunEnds(run));
        self.requests[request].starts += 1;
        let again =
            self.requests[request].starts == 2 && !self.requests[request].recorded.repeatable;
        if again {
            self.count(request, |tally| tally.ran_twice += 1);
        }
        let leaving = self.fleet.get_mut(server).leaving_since;
        if leaving.is_some_and(|since| now > since + self.settings.leaving_grace) {
            self.count(request, |tally| tally.leaving_runs += 1);
        }
    }

    /// Counts what a started run says of the policy's promises.
    pub(super) fn count_start(&mut self, run: RunIx) {
        let Run { request, ref version, .. } = self.runs[run];
        let version = version.clone();
        let recorded = self.requests[request].recorded;
        let workspace = self.policy.workspaces.get(&recorded.workspace);
        let listed = workspace.is_some_and(|w| {
            w.allowed_versions.contains(&version) || w.allowed_services.contains(&version)
        });
        if !listed {
            self.count(request, |tally| tally.disallowed_runs += 1);
        }
        let state = self.policy.versions.get(&version).map(|spec| spec.state);
        if state == Some(VersionState::Withdrawn) {
            self.count(request, |tally| tally.withdrawn_runs += 1);
        }
        if let Some(exposed) = self.report.exposed_requests.get_mut(&version) {
            *exposed += 1;
        }
    }

    pub(super) fn refused(&mut self, now: Duration, run: RunIx, refusal: Refusal) {
        let request = self.runs[run].request;
        self.runs[run].state = RunState::Closed;
        self.requests[request].runs.retain(|other| *other != run);
        let server = self.fleet.get_mut(self.runs[run].server).name.clone();
        let Some(mut flight) = self.requests[request].flight.take() else {
            return;
        };
        let next = self.driver.refused(now, &mut flight, &server, refusal);
        self.requests[request].flight = Some(flight);
        self.act(now, request, next);
    }

    pub(super) fn run_ends(&mut self, now: Duration, run: RunIx) {
        if !self.runs[run].is_open() {
            return;
        }
        let spent = self.close_run(now, run);
        self.free_slot(now, self.runs[run].server);
        if self.runs[run].outcome.failed {
            self.failed(now, run, Executed::Yes, spent, Refusal::BackendFailed);
            return;
        }
        let request = self.runs[run].request;
        let rated = !self.runs[run].is_service
            && self.sampling.random::<f64>() < self.settings.rating_share;
        if rated {
            self.events.push(now + self.settings.rating_delay, Event::Rating(run));
        }
        let outcome = &self.runs[run].outcome;
        let done =
            FinishedRun { output_tokens: outcome.output_tokens, service_time: outcome.service };
        self.requests[request].has_answer = true;
        let Some(mut flight) = self.requests[request].flight.take() else {
            return;
        };
        let next = self.driver.finished(now, &mut flight, done);
        self.requests[request].flight = Some(flight);
        self.act(now, request, next);
    }

    pub(super) fn failed(
        &mut self,
        now: Duration,
        run: RunIx,
        ran: Executed,
        spent: f64,
        refusal: Refusal,
    ) {
        let request = self.runs[run].request;
        let Some(mut flight) = self.requests[request].flight.take() else {
            return;
        };
        let next = self.driver.failed(now, &mut flight, ran, spent, refusal);
        self.requests[request].flight = Some(flight);
        self.act(now, request, next);
    }

    /// Closes a run and counts its cost, in proportion if it did not end.
    pub(super) fn close_run(&mut self, now: Duration, run: RunIx) -> f64 {
        let Run { request, state, ref version, ref outcome, .. } = self.runs[run];
        let share = match state {
            RunState::Running { since } => {
                let whole = outcome.service.as_secs_f64().max(1e-9);
                Some(((now - since).as_secs_f64() / whole).min(1.0))
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
        self.count(request, |tally| tally.cost += cost);
        cost
    }

    pub(super) fn free_slot(&mut self, now: Duration, server: usize) {
        let mut admitted = self.fleet.get_mut(server).queue.finish(now);
        loop {
            let Dispatch { start, shed } = admitted;
            if let Some(run) = start {
                self.start(now, run);
            }
            for (run, refusal) in shed {
                self.refused(now, run, refusal);
            }
            if start.is_none() {
                return;
            }
            admitted = self.fleet.get_mut(server).queue.dispatch_next(now);
        }
    }
}
