//! The lifecycle of a request: planning, run events, escalation and cancellation.

use std::time::Duration;

use pondwalk_types::{Executed, Refusal};
use rand::Rng;

use super::Router;
use crate::{
    in_flight::{Answer, InFlightRequest, Run},
    intern::{ServerIx, VersionIx},
    plan::{Choice, duration_from_ms},
    request::{FinishedRun, NextAction, PlannedRun, Request},
    tuning::{
        DELIVERY_MARGIN, MAX_REFUSALS_PER_REQUEST, MAX_RUNS_PER_REQUEST, MAX_TRIAL_CREDIT_RUNS,
        MIN_RATING_TIMEOUT,
    },
};

impl Router {
    /// Admits a request and plans its first run.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the request is not admitted or no run can be planned for it.
    pub fn begin<R: Rng + ?Sized>(
        &mut self,
        now: Duration,
        rng: &mut R,
        request: &Request<'_>,
    ) -> Result<(InFlightRequest, PlannedRun), Refusal> {
        self.requests += 1;
        let mut in_flight = self.admit(now, request)?;
        self.retries.deposit();
        let run = self.plan_run(now, rng, &mut in_flight)?;
        Ok((in_flight, run))
    }

    /// Handles the refusal of a run by the agent before it started.
    pub fn on_run_refused<R: Rng + ?Sized>(
        &mut self,
        now: Duration,
        rng: &mut R,
        in_flight: &mut InFlightRequest,
        refusal: Refusal,
    ) -> NextAction {
        self.counters.refusals += 1;
        let Some(run) = self.close_run(in_flight, 0.0) else {
            return NextAction::Refuse(refusal);
        };
        in_flight.tried_versions.pop();
        if let Some(roll_out) = self.roll_out_mut(run.version) {
            roll_out.trial.record_not_run();
        }
        in_flight.avoided_servers.push(run.server);
        in_flight.refusals += 1;
        let give_up = in_flight.refusals >= MAX_REFUSALS_PER_REQUEST || now >= in_flight.deadline;
        if give_up || !refusal.is_retryable_elsewhere() {
            return self.give_up(in_flight, refusal);
        }
        match self.plan_run(now, rng, in_flight) {
            Ok(run) => NextAction::Run(run),
            Err(_) => self.give_up(in_flight, refusal),
        }
    }

    /// Handles a run that failed or broke off.
    ///
    /// `ran` states whether a server may have executed it; `spent` is its cost so far.
    pub fn on_run_failed<R: Rng + ?Sized>(
        &mut self,
        now: Duration,
        rng: &mut R,
        in_flight: &mut InFlightRequest,
        ran: Executed,
        spent: f64,
        refusal: Refusal,
    ) -> NextAction {
        let Some(run) = self.close_run(in_flight, spent) else {
            return NextAction::Refuse(refusal);
        };
        self.servers.record_failure(run.server, now);
        self.record_failure(now, run.version, in_flight.task);
        in_flight.avoided_servers.push(run.server);
        if in_flight.answer.is_some() {
            return NextAction::Deliver;
        }
        let may_repeat = in_flight.repeatable || ran == Executed::No;
        let may_retry = in_flight.run_count() < MAX_RUNS_PER_REQUEST && now < in_flight.deadline;
        if !may_repeat || !may_retry || !self.retries.withdraw() {
            return self.give_up(in_flight, refusal);
        }
        self.counters.retries += 1;
        match self.plan_run(now, rng, in_flight) {
            Ok(run) => NextAction::Run(run),
            Err(_) => self.give_up(in_flight, refusal),
        }
    }

    /// Handles a run that finished.
    pub fn on_run_finished(
        &mut self,
        now: Duration,
        in_flight: &mut InFlightRequest,
        finished: FinishedRun,
    ) -> NextAction {
        let Some(run) = in_flight.run else {
            return NextAction::Deliver;
        };
        let usage = pondwalk_types::TokenUsage {
            prompt_tokens: in_flight.prompt_tokens,
            output_tokens: finished.output_tokens,
        };
        let cost = self.estimates.price(run.version).cost(usage);
        self.close_run(in_flight, cost);
        self.servers.record_success(run.server);
        self.estimates.add_run(
            run.version,
            in_flight.task,
            finished.output_tokens,
            finished.service_time,
        );
        self.record_trial_end(now, run.version, in_flight.task, false);
        let previous = in_flight.answer;
        let p_meets = match (previous, in_flight.target) {
            (Some(poor), Some(target)) if poor.rating.is_some() => {
                self.estimates.p_escalation_meets(
                    poor.version,
                    run.version,
                    in_flight.task,
                    target.quality_target,
                )
            }
            _ => self.p_meets(run.version, in_flight.task, in_flight.target),
        };
        in_flight.previous_answer = previous;
        let answer = Answer {
            run_index: in_flight.run_count() - 1,
            version: run.version,
            rating: None,
            p_meets,
        };
        in_flight.answer = Some(answer);
        self.remove_expectation(in_flight);
        let hold = run.hold && self.is_hold_worthwhile(now, in_flight);
        self.record_expectation(in_flight, p_meets);
        if !hold {
            return NextAction::Deliver;
        }
        NextAction::AwaitRating(self.remaining_rating_timeout(now, in_flight))
    }

    /// Handles the rating (quality from 0 to 1, and its delay) of the latest answer.
    ///
    /// `None` means that no rating arrived in time.
    pub fn on_rating<R: Rng + ?Sized>(
        &mut self,
        now: Duration,
        rng: &mut R,
        in_flight: &mut InFlightRequest,
        rating: Option<(f64, Duration)>,
    ) -> NextAction {
        let (Some(answer), Some(target)) = (in_flight.answer, in_flight.target) else {
            return NextAction::Deliver;
        };
        let Some((quality, delay)) = rating else {
            self.record_rating_miss();
            return NextAction::Deliver;
        };
        self.record_rating_delay(delay);
        self.learn_quality(now, answer.version, in_flight.task, quality);
        let met = quality >= target.quality_target;
        self.learn_escalation(in_flight, answer.version, met);
        let p_meets = f64::from(u8::from(met));
        let rated = Answer { rating: Some(quality), p_meets, ..answer };
        let better = in_flight.previous_answer.filter(|previous| previous.rating > rated.rating);
        in_flight.answer = Some(better.unwrap_or(rated));
        // NB: an escalation is valued by the balance without this request.
        self.remove_expectation(in_flight);
        if met || in_flight.run_count() >= MAX_RUNS_PER_REQUEST {
            return NextAction::Deliver;
        }
        match self.escalate(now, rng, in_flight) {
            Some(run) => NextAction::Run(run),
            None => NextAction::Deliver,
        }
    }

    /// Cancels the current run because the earlier answer is due.
    ///
    /// `spent` is the cost of the run so far.
    pub fn cancel_run(&mut self, now: Duration, in_flight: &mut InFlightRequest, spent: f64) {
        if let Some(run) = in_flight.run {
            // NB: without censored observations, service times would be underestimated.
            let at_least = now.saturating_sub(run.started);
            self.estimates.add_censored(run.version, in_flight.task, at_least);
        }
        self.close_run(in_flight, spent);
    }

    /// Ends the request after the caller disconnected.
    ///
    /// `spent` is the cost of the current run so far.
    pub fn abandon(&mut self, in_flight: &mut InFlightRequest, spent: f64) {
        self.close_run(in_flight, spent);
        if in_flight.answer.is_none() {
            self.remove_expectation(in_flight);
        }
    }

    /// Plans a run that is not an escalation.
    fn plan_run<R: Rng + ?Sized>(
        &mut self,
        now: Duration,
        rng: &mut R,
        in_flight: &mut InFlightRequest,
    ) -> Result<PlannedRun, Refusal> {
        self.revalidate_binding(now, in_flight)?;
        let (choice, server) = self.choose_run(now, rng, in_flight)?;
        self.pin_session(now, in_flight, choice.version);
        Ok(self.start_run(now, in_flight, choice, server, None))
    }

    fn escalate<R: Rng + ?Sized>(
        &mut self,
        now: Duration,
        rng: &mut R,
        in_flight: &mut InFlightRequest,
    ) -> Option<PlannedRun> {
        let candidates = self.candidates(now, in_flight).ok()?;
        let choice = self.planner(in_flight, &candidates).choose_escalation(in_flight, now)?;
        let choice = self.substitute_trial_version(in_flight, choice);
        let server = self.choose_server(now, rng, in_flight, choice.version)?;
        self.counters.escalations += 1;
        let fallback = in_flight.deadline.saturating_sub(DELIVERY_MARGIN);
        Some(self.start_run(now, in_flight, choice, server, Some(fallback)))
    }

    /// Records the start of a run and returns its plan.
    fn start_run(
        &mut self,
        now: Duration,
        in_flight: &mut InFlightRequest,
        choice: Choice,
        server: ServerIx,
        fallback_deadline: Option<Duration>,
    ) -> PlannedRun {
        let version = choice.version;
        self.servers.record_start(server);
        let on_trial = self.record_trial_start(version);
        if let Some(Some(workspace)) = self.workspaces.get_mut(in_flight.workspace) {
            workspace.spend.reserve(choice.cost);
        }
        in_flight.tried_versions.push(version);
        in_flight.is_pass_through = !choice.hold && in_flight.answer.is_none();
        let (reserved, hold) = (choice.cost, choice.hold);
        in_flight.run = Some(Run { version, server, started: now, reserved, hold });
        self.record_expectation(in_flight, choice.p_meets);
        PlannedRun {
            version: self.versions.name(version).to_owned(),
            server: self.server_names.name(server).to_owned(),
            rating_timeout: choice.hold.then(|| self.rating_timeout()),
            on_trial,
            fallback_deadline,
        }
    }

    /// Records a run in the trials of its version and of the version that replaces it.
    fn record_trial_start(&mut self, version: VersionIx) -> bool {
        let mut on_trial = false;
        for roll_out in &mut self.roll_outs {
            if roll_out.version == version {
                roll_out.trial.record_start();
                roll_out.credit = (roll_out.credit - 1.0).max(0.0);
                on_trial = true;
            }
            if roll_out.replaces == version {
                roll_out.credit =
                    (roll_out.credit + roll_out.trial.share()).min(MAX_TRIAL_CREDIT_RUNS);
            }
        }
        on_trial
    }

    /// Ends the current run, whatever its outcome, and settles its cost.
    fn close_run(&mut self, in_flight: &mut InFlightRequest, spent: f64) -> Option<Run> {
        let run = in_flight.run.take()?;
        self.servers.record_end(run.server);
        in_flight.spent += spent;
        if let Some(Some(workspace)) = self.workspaces.get_mut(in_flight.workspace) {
            workspace.spend.settle(run.reserved, spent);
        }
        Some(run)
    }

    fn give_up(&mut self, in_flight: &mut InFlightRequest, refusal: Refusal) -> NextAction {
        if in_flight.answer.is_some() {
            return NextAction::Deliver;
        }
        self.remove_expectation(in_flight);
        NextAction::Refuse(refusal)
    }

    /// Maximum wait for a rating: three times the mean delay, with a lower bound.
    fn rating_timeout(&self) -> Duration {
        (self.rating_availability().delay * 3).max(MIN_RATING_TIMEOUT)
    }

    fn remaining_rating_timeout(&self, now: Duration, in_flight: &InFlightRequest) -> Duration {
        let time_left = in_flight.time_left(now).saturating_sub(DELIVERY_MARGIN);
        self.rating_timeout().min(time_left).max(duration_from_ms(1.0))
    }

    /// Records whether an escalation reached the target that the run before it had missed.
    fn learn_escalation(&mut self, in_flight: &InFlightRequest, version: VersionIx, met: bool) {
        let runs = in_flight.tried_versions.len();
        if runs >= 2 && in_flight.tried_versions[runs - 1] == version {
            let first = in_flight.tried_versions[runs - 2];
            self.estimates.add_escalation(first, version, in_flight.task, met);
        }
    }
}
