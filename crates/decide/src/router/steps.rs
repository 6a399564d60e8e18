//! A request's way from step to step.

use std::time::Duration;

use pondwalk_types::{Executed, Refusal};
use rand::Rng;

use super::Router;
use crate::{
    flight::{Answer, InFlightRequest, Run},
    intern::{ServerIx, VersionIx},
    plan::{Choice, from_ms},
    request::{FinishedRun, NextAction, PlannedRun, Request},
    tuning::{
        DELIVERY_MARGIN, RATING_WAIT_PRIOR, REFUSALS_PER_REQUEST, RUNS_PER_REQUEST, TRIAL_CREDIT,
    },
};

impl Router {
    /// Plans a request's first run.
    pub fn begin<R: Rng + ?Sized>(
        &mut self,
        now: Duration,
        rng: &mut R,
        request: &Request<'_>,
    ) -> Result<(InFlightRequest, PlannedRun), Refusal> {
        self.requests += 1;
        let mut flight = self.admit(now, request)?;
        self.retries.deposit();
        let step = self.plan_run(now, rng, &mut flight)?;
        Ok((flight, step))
    }

    /// The agent refused the run before it started.
    pub fn on_run_refused<R: Rng + ?Sized>(
        &mut self,
        now: Duration,
        rng: &mut R,
        flight: &mut InFlightRequest,
        refusal: Refusal,
    ) -> NextAction {
        self.counters.refusals += 1;
        let Some(run) = self.release(flight, 0.0) else {
            return NextAction::Refuse(refusal);
        };
        flight.tried.pop();
        if let Some(roll_out) = self.roll_out_mut(run.version) {
            roll_out.trial.record_not_run();
        }
        flight.avoid.push(run.server);
        flight.refusals += 1;
        let give_up = flight.refusals >= REFUSALS_PER_REQUEST || now >= flight.deadline;
        if give_up || !refusal.is_retryable_elsewhere() {
            return self.give_up(flight, refusal);
        }
        match self.plan_run(now, rng, flight) {
            Ok(step) => NextAction::Run(step),
            Err(_) => self.give_up(flight, refusal),
        }
    }

    /// The run failed or was cut. `ran` tells whether a server may have acted on it.
    pub fn on_run_failed<R: Rng + ?Sized>(
        &mut self,
        now: Duration,
        rng: &mut R,
        flight: &mut InFlightRequest,
        ran: Executed,
        spent: f64,
        refusal: Refusal,
    ) -> NextAction {
        let Some(run) = self.release(flight, spent) else {
            return NextAction::Refuse(refusal);
        };
        self.servers.failed(run.server, now);
        self.learn_failure(now, run.version, flight.task);
        flight.avoid.push(run.server);
        if flight.answer.is_some() {
            return NextAction::Deliver;
        }
        let repeat = flight.repeatable || ran == Executed::No;
        let room = flight.run_count() < RUNS_PER_REQUEST && now < flight.deadline;
        if !repeat || !room || !self.retries.withdraw() {
            return self.give_up(flight, refusal);
        }
        self.counters.retries += 1;
        match self.plan_run(now, rng, flight) {
            Ok(step) => NextAction::Run(step),
            Err(_) => self.give_up(flight, refusal),
        }
    }

    /// The run ended whole.
    pub fn on_run_finished(
        &mut self,
        now: Duration,
        flight: &mut InFlightRequest,
        done: FinishedRun,
    ) -> NextAction {
        let Some(run) = flight.run else {
            return NextAction::Deliver;
        };
        let usage = pondwalk_types::TokenUsage {
            prompt_tokens: flight.prompt_tokens,
            output_tokens: done.output_tokens,
        };
        let cost = self.estimates.price(run.version).cost(usage);
        self.release(flight, cost);
        self.servers.succeeded(run.server);
        self.estimates.add_run(run.version, flight.task, done.output_tokens, done.service_time);
        self.count_end(now, run.version, flight.task, false);
        let held = flight.answer;
        let meets = match (held, flight.target) {
            (Some(poor), Some(target)) if poor.rating.is_some() => self.estimates.rescues(
                poor.version,
                run.version,
                flight.task,
                target.quality_target,
            ),
            _ => self.meets(run.version, flight.task, flight.target),
        };
        flight.former = held;
        let answer =
            Answer { run: flight.run_count() - 1, version: run.version, rating: None, meets };
        flight.answer = Some(answer);
        self.unbook(flight);
        let hold = run.hold && self.worth_holding(now, flight);
        self.book(flight, meets);
        if !hold {
            return NextAction::Deliver;
        }
        NextAction::AwaitRating(self.rating_wait(now, flight))
    }

    /// The answer in hand was rated after `delay`, or no rating came in time.
    pub fn on_rating<R: Rng + ?Sized>(
        &mut self,
        now: Duration,
        rng: &mut R,
        flight: &mut InFlightRequest,
        rating: Option<(f64, Duration)>,
    ) -> NextAction {
        let (Some(answer), Some(target)) = (flight.answer, flight.target) else {
            return NextAction::Deliver;
        };
        let Some((quality, delay)) = rating else {
            self.note_rating_missed();
            return NextAction::Deliver;
        };
        self.note_rating_delay(delay);
        self.learn_quality(now, answer.version, flight.task, quality);
        let met = quality >= target.quality_target;
        self.learn_rescue(flight, answer.version, met);
        let meets = f64::from(u8::from(met));
        let rated = Answer { rating: Some(quality), meets, ..answer };
        let better = flight.former.filter(|former| former.rating > rated.rating);
        flight.answer = Some(better.unwrap_or(rated));
        // NB: a further run is valued against the balance without this request.
        self.unbook(flight);
        if met || flight.run_count() >= RUNS_PER_REQUEST {
            return NextAction::Deliver;
        }
        match self.rescue(now, rng, flight) {
            Some(step) => NextAction::Run(step),
            None => NextAction::Deliver,
        }
    }

    /// The run under way is dropped because the answer in hand is due.
    ///
    /// `spent` is what the run had cost by then.
    pub fn cancel_run(&mut self, now: Duration, flight: &mut InFlightRequest, spent: f64) {
        if let Some(run) = flight.run {
            // NB: left out, long runs would never be counted, and all would seem short.
            let at_least = now.saturating_sub(run.started);
            self.estimates.add_unfinished(run.version, flight.task, at_least);
        }
        self.release(flight, spent);
    }

    /// The caller went away.
    ///
    /// `spent` is what the run under way had cost by then.
    pub fn abandon(&mut self, flight: &mut InFlightRequest, spent: f64) {
        self.release(flight, spent);
        if flight.answer.is_none() {
            self.unbook(flight);
        }
    }

    /// A run whose answer would be the first in hand.
    fn plan_run<R: Rng + ?Sized>(
        &mut self,
        now: Duration,
        rng: &mut R,
        flight: &mut InFlightRequest,
    ) -> Result<PlannedRun, Refusal> {
        self.check_binding(now, flight)?;
        let (choice, server) = self.choose(now, rng, flight)?;
        self.bind_session(now, flight, choice.version);
        Ok(self.start(now, flight, choice, server, None))
    }

    fn rescue<R: Rng + ?Sized>(
        &mut self,
        now: Duration,
        rng: &mut R,
        flight: &mut InFlightRequest,
    ) -> Option<PlannedRun> {
        let candidates = self.candidates(now, flight).ok()?;
        let choice = self.planner(flight, &candidates).rescue(flight, now)?;
        let choice = self.on_trial_instead(flight, choice);
        let server = self.server_for(now, rng, flight, choice.version)?;
        self.counters.escalations += 1;
        let fallback = flight.deadline.saturating_sub(DELIVERY_MARGIN);
        Some(self.start(now, flight, choice, server, Some(fallback)))
    }

    /// Books a run and makes the step out of it.
    fn start(
        &mut self,
        now: Duration,
        flight: &mut InFlightRequest,
        choice: Choice,
        server: ServerIx,
        fallback_deadline: Option<Duration>,
    ) -> PlannedRun {
        let version = choice.version;
        self.servers.start(server);
        let on_trial = self.count_on_trial(version);
        if let Some(Some(workspace)) = self.workspaces.get_mut(flight.workspace) {
            workspace.spend.reserve(choice.cost);
        }
        flight.tried.push(version);
        flight.is_pass_through = !choice.hold && flight.answer.is_none();
        let (reserved, hold) = (choice.cost, choice.hold);
        flight.run = Some(Run { version, server, started: now, reserved, hold });
        self.book(flight, choice.meets);
        PlannedRun {
            version: self.versions.name(version).to_owned(),
            server: self.server_names.name(server).to_owned(),
            rating_timeout: choice.hold.then(|| self.rating_patience()),
            on_trial,
            fallback_deadline,
        }
    }

    /// Counts a run for the trial of its version, or of the version that is to replace it.
    fn count_on_trial(&mut self, version: VersionIx) -> bool {
        let mut on_trial = false;
        for roll_out in &mut self.roll_outs {
            if roll_out.version == version {
                roll_out.trial.record_start();
                roll_out.credit = (roll_out.credit - 1.0).max(0.0);
                on_trial = true;
            }
            if roll_out.replaces == version {
                roll_out.credit = (roll_out.credit + roll_out.trial.share()).min(TRIAL_CREDIT);
            }
        }
        on_trial
    }

    /// Closes the run under way, whatever came of it.
    fn release(&mut self, flight: &mut InFlightRequest, spent: f64) -> Option<Run> {
        let run = flight.run.take()?;
        self.servers.end(run.server);
        flight.spent += spent;
        if let Some(Some(workspace)) = self.workspaces.get_mut(flight.workspace) {
            workspace.spend.settle(run.reserved, spent);
        }
        Some(run)
    }

    fn give_up(&mut self, flight: &mut InFlightRequest, refusal: Refusal) -> NextAction {
        if flight.answer.is_some() {
            return NextAction::Deliver;
        }
        self.unbook(flight);
        NextAction::Refuse(refusal)
    }

    /// Longest wait for a rating: a few times the usual delay.
    fn rating_patience(&self) -> Duration {
        (self.rating_outlook().delay * 3).max(RATING_WAIT_PRIOR)
    }

    fn rating_wait(&self, now: Duration, flight: &InFlightRequest) -> Duration {
        let left = flight.time_left(now).saturating_sub(DELIVERY_MARGIN);
        self.rating_patience().min(left).max(from_ms(1.0))
    }

    /// Learns how often a second version does well where the one before it did poorly.
    fn learn_rescue(&mut self, flight: &InFlightRequest, version: VersionIx, met: bool) {
        let runs = flight.tried.len();
        if runs >= 2 && flight.tried[runs - 1] == version {
            let first = flight.tried[runs - 2];
            self.estimates.add_rescue(first, version, flight.task, met);
        }
    }
}
