//! A request's way from step to step.

use std::time::Duration;

use pondwalk_types::{Executed, Refusal};
use rand::Rng;

use super::Router;
use crate::{
    flight::{Answer, Flight, Run},
    intern::{ServerIx, VersionIx},
    plan::{Choice, from_ms},
    request::{Finished, Next, Request, Step},
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
    ) -> Result<(Flight, Step), Refusal> {
        self.requests += 1;
        let mut flight = self.admit(now, request)?;
        self.retries.earn();
        let step = self.plan_run(now, rng, &mut flight)?;
        Ok((flight, step))
    }

    /// The agent refused the run before it started.
    pub fn refused<R: Rng + ?Sized>(
        &mut self,
        now: Duration,
        rng: &mut R,
        flight: &mut Flight,
        refusal: Refusal,
    ) -> Next {
        self.counters.refusals += 1;
        let Some(run) = self.release(flight, 0.0) else {
            return Next::Refuse(refusal);
        };
        flight.tried.pop();
        if let Some(roll_out) = self.roll_out_mut(run.version) {
            roll_out.trial.never_ran();
        }
        flight.avoid.push(run.server);
        flight.refusals += 1;
        let give_up = flight.refusals >= REFUSALS_PER_REQUEST || now >= flight.deadline;
        if give_up || !refusal.is_retryable_elsewhere() {
            return self.give_up(flight, refusal);
        }
        match self.plan_run(now, rng, flight) {
            Ok(step) => Next::Run(step),
            Err(_) => self.give_up(flight, refusal),
        }
    }

    /// The run failed or was cut. `ran` tells whether a server may have acted on it.
    pub fn failed<R: Rng + ?Sized>(
        &mut self,
        now: Duration,
        rng: &mut R,
        flight: &mut Flight,
        ran: Executed,
        spent: f64,
        refusal: Refusal,
    ) -> Next {
        let Some(run) = self.release(flight, spent) else {
            return Next::Refuse(refusal);
        };
        self.servers.failed(run.server, now);
        self.learn_failure(now, run.version, flight.task);
        flight.avoid.push(run.server);
        if flight.answer.is_some() {
            return Next::Deliver;
        }
        let repeat = flight.repeatable || ran == Executed::No;
        let room = flight.runs() < RUNS_PER_REQUEST && now < flight.deadline;
        if !repeat || !room || !self.retries.take() {
            return self.give_up(flight, refusal);
        }
        self.counters.retries += 1;
        match self.plan_run(now, rng, flight) {
            Ok(step) => Next::Run(step),
            Err(_) => self.give_up(flight, refusal),
        }
    }

    /// The run ended whole.
    pub fn finished(&mut self, now: Duration, flight: &mut Flight, done: Finished) -> Next {
        let Some(run) = flight.run else {
            return Next::Deliver;
        };
        let usage = pondwalk_types::TokenUsage {
            prompt_tokens: flight.prompt_tokens,
            output_tokens: done.output_tokens,
        };
        let cost = self.estimates.price(run.version).cost(usage);
        self.release(flight, cost);
        self.servers.succeeded(run.server);
        self.estimates.add_run(run.version, flight.task, done.output_tokens, done.service);
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
        let answer = Answer { run: flight.runs() - 1, version: run.version, rating: None, meets };
        flight.answer = Some(answer);
        self.unbook(flight);
        let hold = run.hold && self.worth_holding(now, flight);
        self.book(flight, meets);
        if !hold {
            return Next::Deliver;
        }
        Next::AwaitRating(self.rating_wait(now, flight))
    }

    /// The answer in hand was rated after `delay`, or no rating came in time.
    pub fn judged<R: Rng + ?Sized>(
        &mut self,
        now: Duration,
        rng: &mut R,
        flight: &mut Flight,
        rating: Option<(f64, Duration)>,
    ) -> Next {
        let (Some(answer), Some(target)) = (flight.answer, flight.target) else {
            return Next::Deliver;
        };
        let Some((quality, delay)) = rating else {
            self.note_rating_missed();
            return Next::Deliver;
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
        if met || flight.runs() >= RUNS_PER_REQUEST {
            return Next::Deliver;
        }
        match self.rescue(now, rng, flight) {
            Some(step) => Next::Run(step),
            None => Next::Deliver,
        }
    }

    /// The run under way is dropped because the answer in hand is due.
    ///
    /// `spent` is what the run had cost by then.
    pub fn cut_short(&mut self, now: Duration, flight: &mut Flight, spent: f64) {
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
    pub fn abandon(&mut self, flight: &mut Flight, spent: f64) {
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
        flight: &mut Flight,
    ) -> Result<Step, Refusal> {
        self.check_binding(now, flight)?;
        let (choice, server) = self.choose(now, rng, flight)?;
        self.bind_session(now, flight, choice.version);
        Ok(self.start(now, flight, choice, server, None))
    }

    fn rescue<R: Rng + ?Sized>(
        &mut self,
        now: Duration,
        rng: &mut R,
        flight: &mut Flight,
    ) -> Option<Step> {
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
        flight: &mut Flight,
        choice: Choice,
        server: ServerIx,
        deliver_held_at: Option<Duration>,
    ) -> Step {
        let version = choice.version;
        self.servers.start(server);
        let on_trial = self.count_on_trial(version);
        if let Some(Some(workspace)) = self.workspaces.get_mut(flight.workspace) {
            workspace.spend.reserve(choice.cost);
        }
        flight.tried.push(version);
        flight.shown_at_once = !choice.hold && flight.answer.is_none();
        let (reserved, hold) = (choice.cost, choice.hold);
        flight.run = Some(Run { version, server, started: now, reserved, hold });
        self.book(flight, choice.meets);
        Step {
            version: self.versions.name(version).to_owned(),
            server: self.server_names.name(server).to_owned(),
            hold: choice.hold.then(|| self.rating_patience()),
            on_trial,
            deliver_held_at,
        }
    }

    /// Counts a run for the trial of its version, or of the version that is to replace it.
    fn count_on_trial(&mut self, version: VersionIx) -> bool {
        let mut on_trial = false;
        for roll_out in &mut self.roll_outs {
            if roll_out.version == version {
                roll_out.trial.start();
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
    fn release(&mut self, flight: &mut Flight, spent: f64) -> Option<Run> {
        let run = flight.run.take()?;
        self.servers.end(run.server);
        flight.spent += spent;
        if let Some(Some(workspace)) = self.workspaces.get_mut(flight.workspace) {
            workspace.spend.settle(run.reserved, spent);
        }
        Some(run)
    }

    fn give_up(&mut self, flight: &mut Flight, refusal: Refusal) -> Next {
        if flight.answer.is_some() {
            return Next::Deliver;
        }
        self.unbook(flight);
        Next::Refuse(refusal)
    }

    /// Longest wait for a rating: a few times the usual delay.
    fn rating_patience(&self) -> Duration {
        (self.rating_outlook().delay * 3).max(RATING_WAIT_PRIOR)
    }

    fn rating_wait(&self, now: Duration, flight: &Flight) -> Duration {
        let left = flight.time_left(now).saturating_sub(DELIVERY_MARGIN);
        self.rating_patience().min(left).max(from_ms(1.0))
    }

    /// Learns how often a second version does well where the one before it did poorly.
    fn learn_rescue(&mut self, flight: &Flight, version: VersionIx, met: bool) {
        let runs = flight.tried.len();
        if runs >= 2 && flight.tried[runs - 1] == version {
            let first = flight.tried[runs - 2];
            self.estimates.add_rescue(first, version, flight.task, met);
        }
    }
}
