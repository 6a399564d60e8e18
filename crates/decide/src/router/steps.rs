//! A request's way from step to step.

use std::time::Duration;

use pondwalk_types::{Ran, Refusal, TaskPolicy, VersionState};
use rand::Rng;

use super::{RollOutTrial, Router};
use crate::{
    estimate::reference_cost,
    flight::{Answer, Flight, Run},
    intern::{ServerIx, VersionIx, WorkspaceIx},
    plan::{Candidate, Choice, Planner, SessionTask, from_ms},
    request::{Finished, Next, Request, Step},
    servers::Wanted,
    tuning::{
        DELIVERY_MARGIN, HOPELESS, RATING_WAIT_PRIOR, REFUSALS_PER_REQUEST, RUNS_PER_REQUEST,
        SESSION_REQUESTS, TRIAL_CREDIT, TRIAL_OVERDUE,
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
        let step = self.first_step(now, rng, &mut flight, request.session)?;
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
        if give_up || !refusal.worth_another_server() {
            return self.give_up(flight, refusal);
        }
        match self.again(now, rng, flight) {
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
        ran: Ran,
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
        let repeat = flight.repeatable || ran == Ran::No;
        let room = flight.runs() < RUNS_PER_REQUEST && now < flight.deadline;
        if !repeat || !room || !self.retries.take() {
            return self.give_up(flight, refusal);
        }
        self.counters.retries += 1;
        match self.again(now, rng, flight) {
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

    /// Checks a request against the policy and opens its flight.
    fn admit(&mut self, now: Duration, request: &Request<'_>) -> Result<Flight, Refusal> {
        if self.generation == 0 {
            return Err(Refusal::NoConfiguration);
        }
        let workspace = self.workspace_names.find(request.workspace);
        let workspace =
            workspace.filter(|ix| self.workspace(*ix).is_some()).ok_or(Refusal::UnknownCaller)?;
        let task = self.tasks.intern(request.task);
        let mut flight = Flight {
            workspace,
            task,
            target: None,
            only: None,
            in_session: request.session.is_some() && request.service.is_none(),
            session_restarted: false,
            prompt_tokens: request.prompt_tokens,
            prefix: request.prefix,
            arrived: request.arrived,
            deadline: request.deadline,
            repeatable: request.repeatable,
            streaming: request.streaming,
            tried: Vec::new(),
            avoid: Vec::new(),
            refusals: 0,
            run: None,
            shown_at_once: false,
            answer: None,
            former: None,
            booked: None,
            spent: 0.0,
        };
        match request.service {
            Some(service) => flight.only = Some(self.service(workspace, service)?),
            None => self.admit_chat(now, request, &mut flight)?,
        }
        if now >= flight.deadline {
            return Err(Refusal::TooLate { deadline_ms: flight.stated_deadline_ms() });
        }
        Ok(flight)
    }

    fn service(&self, workspace: WorkspaceIx, service: &str) -> Result<VersionIx, Refusal> {
        let refusal = || Refusal::VersionNotAllowed(service.to_owned());
        let version = self.versions.find(service).ok_or_else(refusal)?;
        let allowed = self.workspace(workspace).is_some_and(|w| w.allowed.contains(&version));
        if !allowed || !self.services.contains(&version) {
            return Err(refusal());
        }
        Ok(version)
    }

    fn admit_chat(
        &mut self,
        now: Duration,
        request: &Request<'_>,
        flight: &mut Flight,
    ) -> Result<(), Refusal> {
        flight.target = self.target(flight.workspace, flight.task);
        self.estimates.add_deadline(flight.task, flight.time_left(flight.arrived));
        let only_listed =
            self.workspace(flight.workspace).is_some_and(|w| w.policy.only_listed_tasks);
        if only_listed && flight.target.is_none() {
            return Err(Refusal::TaskNotAllowed);
        }
        if let Some(name) = request.version {
            flight.only = Some(self.insisted(flight.workspace, name)?);
        }
        if let Some(session) = request.session {
            self.sessions.count(flight.workspace, flight.task);
            if let Some(account) = self.account_mut(flight.workspace, flight.task) {
                account.redeem();
            }
            let remembered = || self.sessions.pin(flight.workspace, session, now);
            let pin = request.pin.and_then(|pin| self.versions.find(pin)).or_else(remembered);
            if let Some(pin) = pin {
                self.apply_pin(flight, pin)?;
            }
        }
        Ok(())
    }

    fn target(&self, workspace: WorkspaceIx, task: usize) -> Option<TaskPolicy> {
        self.workspace(workspace)?.tasks.get(task).copied().flatten()
    }

    /// The version that the caller insists on.
    fn insisted(&self, workspace: WorkspaceIx, name: &str) -> Result<VersionIx, Refusal> {
        let refusal = || Refusal::VersionNotAllowed(name.to_owned());
        let version = self.versions.find(name).ok_or_else(refusal)?;
        if !self.workspace(workspace).is_some_and(|w| w.allowed.contains(&version)) {
            return Err(refusal());
        }
        match self.state(version) {
            None => Err(refusal()),
            Some(VersionState::Withdrawn) => Err(Refusal::VersionWithdrawn(name.to_owned())),
            Some(_) if self.is_tripped(version) => Err(Refusal::VersionWithdrawn(name.to_owned())),
            Some(_) => Ok(version),
        }
    }

    /// Binds a request to its session's version, or ends the session if that version is gone.
    fn apply_pin(&mut self, flight: &mut Flight, pin: VersionIx) -> Result<(), Refusal> {
        let allowed = self.workspace(flight.workspace).is_some_and(|w| w.allowed.contains(&pin));
        if allowed && self.serves_sessions(pin) {
            if flight.only.is_some_and(|insisted| insisted != pin) {
                return Err(Refusal::BadSessionPin);
            }
            flight.only = Some(pin);
            return Ok(());
        }
        if !self.restart_allowed(flight.workspace) {
            return Err(Refusal::VersionWithdrawn(self.versions.name(pin).to_owned()));
        }
        flight.session_restarted = true;
        self.counters.session_restarts += 1;
        Ok(())
    }

    fn first_step<R: Rng + ?Sized>(
        &mut self,
        now: Duration,
        rng: &mut R,
        flight: &mut Flight,
        session: Option<&str>,
    ) -> Result<Step, Refusal> {
        let (choice, server) = self.choose(now, rng, flight)?;
        if flight.in_session {
            if flight.only.is_none() {
                self.commit_session(flight.workspace, choice.version);
            }
            if let Some(session) = session {
                self.sessions.keep(flight.workspace, session, choice.version, now);
            }
            flight.only = Some(choice.version);
        }
        Ok(self.start(now, flight, choice, server, None))
    }

    /// Expects of each task's account what a new session is likely to bring.
    fn commit_session(&mut self, workspace: WorkspaceIx, version: VersionIx) {
        let mix: Vec<_> = self.sessions.mix(workspace).collect();
        for (task, share) in mix {
            let Some(target) = self.target(workspace, task) else {
                continue;
            };
            let meets = self.estimates.meets(version, task, target.quality_target);
            if let Some(account) = self.account_mut(workspace, task) {
                account.commit(target, meets, share * SESSION_REQUESTS);
            }
        }
    }

    /// A further first run after a refusal or failure.
    fn again<R: Rng + ?Sized>(
        &mut self,
        now: Duration,
        rng: &mut R,
        flight: &mut Flight,
    ) -> Result<Step, Refusal> {
        let (choice, server) = self.choose(now, rng, flight)?;
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

    /// Chooses version and server for a run whose answer would be the first in hand.
    fn choose<R: Rng + ?Sized>(
        &mut self,
        now: Duration,
        rng: &mut R,
        flight: &Flight,
    ) -> Result<(Choice, ServerIx), Refusal> {
        let mut candidates = self.candidates(now, flight)?;
        while !candidates.is_empty() {
            let Some(choice) = self.choose_version(now, flight, &candidates) else {
                break;
            };
            let waits = candidates.iter().any(|c| c.version == choice.version && c.wait_ms > 0.0);
            if waits && choice.on_time < HOPELESS {
                return Err(Refusal::TooLate { deadline_ms: flight.stated_deadline_ms() });
            }
            let choice = self.on_trial_instead(flight, choice);
            if let Some(server) = self.server_for(now, rng, flight, choice.version) {
                return Ok((choice, server));
            }
            candidates.retain(|candidate| candidate.version != choice.version);
        }
        Err(Refusal::NoServer)
    }

    fn choose_version(
        &self,
        now: Duration,
        flight: &Flight,
        candidates: &[Candidate],
    ) -> Option<Choice> {
        let planner = self.planner(flight, candidates);
        if flight.only.is_some() {
            return candidates.first().map(|candidate| planner.only(flight, now, *candidate));
        }
        if !flight.in_session {
            return planner.first(flight, now);
        }
        let mix = self.sessions.mix(flight.workspace).filter_map(|(task, share)| {
            let target = self.target(flight.workspace, task)?;
            Some(SessionTask {
                task,
                requests: share * SESSION_REQUESTS,
                policy: target,
                account: self.account(flight.workspace, task),
                level: self.level(task),
            })
        });
        planner.session(flight, now, mix)
    }

    fn planner<'a>(&'a self, flight: &Flight, candidates: &'a [Candidate]) -> Planner<'a> {
        Planner {
            estimates: &self.estimates,
            account: self.account(flight.workspace, flight.task),
            level: self.level(flight.task),
            rating: self.rating_outlook(),
            candidates,
        }
    }

    /// Versions that may run the request now.
    fn candidates(&self, now: Duration, flight: &Flight) -> Result<Vec<Candidate>, Refusal> {
        let candidate = |version: VersionIx| {
            let service_ms = self.estimates.service_ms(version);
            let wait_ms = self.servers.expected_wait_ms(now, version, service_ms);
            Candidate { version, wait_ms }
        };
        if let Some(only) = flight.only {
            let hosted = self.servers.hosts(only).then(|| candidate(only));
            return hosted.map(|only| vec![only]).ok_or(Refusal::NoServer);
        }
        let workspace = self.workspace(flight.workspace).ok_or(Refusal::UnknownCaller)?;
        let open = workspace.allowed.iter().filter(|version| {
            self.serves_new(**version)
                && self.servers.hosts(**version)
                && !self.waits_for_evidence(workspace, **version)
        });
        let candidates: Vec<Candidate> = open.map(|version| candidate(*version)).collect();
        if candidates.is_empty() {
            return Err(Refusal::NoServer);
        }
        let affordable = |candidate: &Candidate| {
            let cost = self.estimates.cost(candidate.version, flight.task, flight.prompt_tokens);
            workspace.spend.affords(cost)
        };
        let candidates: Vec<Candidate> = candidates.into_iter().filter(affordable).collect();
        if candidates.is_empty() { Err(Refusal::SpendCap) } else { Ok(candidates) }
    }

    /// Whether a version on trial gets work only in place of the version that it replaces.
    fn waits_for_evidence(&self, workspace: &super::Workspace, version: VersionIx) -> bool {
        let Some(roll_out) = self.roll_out(version) else {
            return false;
        };
        let old = roll_out.replaces;
        workspace.allowed.contains(&old) && self.serves_new(old) && self.servers.hosts(old)
    }

    /// Puts a version on trial in the place of another, within its share.
    ///
    /// The share is counted in runs of the old version, those of sessions included, and given out
    /// to requests that can be judged and repeated. Where too few of them would use the old
    /// version anyway, some that would use a cheaper one go to the new version as well.
    fn on_trial_instead(&self, flight: &Flight, choice: Choice) -> Choice {
        let new = self.roll_outs.iter().find(|roll_out| self.takes_over(flight, choice, roll_out));
        match new {
            Some(roll_out) => Choice {
                version: roll_out.version,
                hold: choice.hold || self.may_judge(flight),
                ..choice
            },
            None => choice,
        }
    }

    fn takes_over(&self, flight: &Flight, choice: Choice, roll_out: &RollOutTrial) -> bool {
        let RollOutTrial { version: new, replaces: old, ref trial, credit } = *roll_out;
        if flight.only.is_some() || flight.tried.contains(&new) || trial.share() == 0.0 {
            return false;
        }
        let allowed = self.workspace(flight.workspace).is_some_and(|w| w.allowed.contains(&new));
        if !allowed || !self.serves_new(new) || !self.servers.hosts(new) {
            return false;
        }
        if flight.in_session || !flight.repeatable {
            return choice.version == old && trial.takes_sessions() && credit >= 1.0;
        }
        let cheaper = || {
            let cost = |version| reference_cost(&self.estimates.price(version));
            cost(choice.version) < cost(old) && flight.answer.is_none() && self.may_judge(flight)
        };
        let overdue = credit >= TRIAL_OVERDUE && cheaper();
        (choice.version == old && credit >= 1.0) || overdue
    }

    /// Whether an answer of a version on trial should be rated before it is shown.
    fn may_judge(&self, flight: &Flight) -> bool {
        flight.repeatable
            && !flight.streaming
            && flight.target.is_some()
            && self.rating_outlook().up
    }

    fn server_for<R: Rng + ?Sized>(
        &self,
        now: Duration,
        rng: &mut R,
        flight: &Flight,
        version: VersionIx,
    ) -> Option<ServerIx> {
        let wanted = Wanted {
            version,
            service_ms: self.estimates.service_ms(version),
            prefix: flight.prefix,
            avoid: &flight.avoid,
        };
        self.servers.choose(now, rng, wanted).map(|(server, _)| server)
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

    /// Whether a rating could still change what is delivered.
    fn worth_holding(&self, now: Duration, flight: &Flight) -> bool {
        let Ok(candidates) = self.candidates(now, flight) else {
            return false;
        };
        let outlook = self.rating_outlook();
        outlook.up
            && self.planner(flight, &candidates).rescue(flight, now + outlook.delay).is_some()
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
