//! The replay itself: events in virtual time, servers as slots, requests from step to step.

mod book;
mod fleet;
mod setup;

use std::{collections::HashMap, time::Duration};

use pondwalk_config::ReplaySettings;
use pondwalk_decide::{Admission, Admitted, Finished, Next, ServerReport, Step};
use pondwalk_types::{Generation, Policy, Ran, Refusal, TokenUsage, VersionId, VersionState};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::{
    driver::{Driver, PolicyName},
    events::{Event, EventQueue, RequestIx, RunIx},
    report::Report,
    trace::{RecordedRequest, Trace, TraceError, TraceEvent},
};
use book::{Live, Run, RunState, Sessions};
use fleet::Fleet;

/// Replays a trace under a policy.
pub fn replay(
    file: &str,
    trace: &Trace,
    settings: &ReplaySettings,
    policy: PolicyName,
    seed: u64,
) -> Result<Report, TraceError> {
    let start = setup::starting_policy(file, trace, settings)?;
    let mut simulation = Simulation::new(trace, settings, start, policy, seed);
    simulation.run();
    Ok(simulation.into_report())
}

struct Simulation<'a> {
    trace: &'a Trace,
    settings: &'a ReplaySettings,
    policy: Policy,
    generation: Generation,
    driver: Driver,
    /// Draws which answers are rated; apart from the policy's own source.
    sampling: Pcg64Mcg,
    events: EventQueue,
    fleet: Fleet,
    requests: Vec<Live<'a>>,
    runs: Vec<Run>,
    sessions: Sessions<'a>,
    claims: HashMap<(&'a str, &'a str), RequestIx>,
    rating_up: bool,
    store_up: bool,
    report: Report,
}

impl<'a> Simulation<'a> {
    fn new(
        trace: &'a Trace,
        settings: &'a ReplaySettings,
        policy: Policy,
        name: PolicyName,
        seed: u64,
    ) -> Self {
        let mut driver = Driver::new(name, seed);
        driver.install(1, &policy);
        driver.foresee(trace, &policy);
        let mut events = EventQueue::default();
        for (index, line) in trace.lines.iter().enumerate() {
            events.push(line.at, Event::Line(index));
        }
        let report = Report { policy: name.name(), seed, ..Report::default() };
        Simulation {
            trace,
            settings,
            policy,
            generation: 1,
            driver,
            sampling: Pcg64Mcg::seed_from_u64(seed),
            events,
            fleet: Fleet::new(settings.queue),
            requests: Vec::new(),
            runs: Vec::new(),
            sessions: Sessions::default(),
            claims: HashMap::new(),
            rating_up: true,
            store_up: true,
            report,
        }
    }

    fn run(&mut self) {
        while let Some((now, event)) = self.events.pop() {
            match event {
                Event::Line(index) => self.line(now, index),
                Event::LeavingSeen(server) => self.leaving_seen(now, server),
                Event::RunEnds(run) => self.run_ends(now, run),
                Event::Rating(run) => self.rating(now, run),
                Event::RatingOverdue(run) => self.rating_overdue(now, run),
                Event::DeliverHeld(run) => self.deliver_held(now, run),
            }
        }
    }

    fn into_report(mut self) -> Report {
        for version in self.report.exposed_requests.keys() {
            let tripped = self.driver.tripped(version);
            self.report.tripped_at.insert(version.clone(), tripped);
        }
        let escalations = self.driver.router().map(|router| router.counters().escalations);
        if let Some(escalations) = escalations {
            debug_assert_eq!(escalations, self.report.total.escalations);
        }
        self.report
    }

    fn line(&mut self, now: Duration, index: usize) {
        let trace = self.trace;
        match &trace.lines[index].event {
            TraceEvent::Request(request) => self.arrive(now, request),
            TraceEvent::Server { server, data_centre, versions, slots } => {
                self.fleet.put(server, *slots);
                let report = ServerReport {
                    server: server.clone(),
                    data_centre: data_centre.clone(),
                    versions: versions.clone(),
                    slots: *slots,
                    load: None,
                };
                self.driver.server_seen(now, &report);
            }
            TraceEvent::Leaving(server) => {
                if let Some(server) = self.fleet.find(server) {
                    self.fleet.get_mut(server).leaving_since = Some(now);
                    let seen = now + self.settings.instance_list_lag;
                    self.events.push(seen, Event::LeavingSeen(server));
                }
            }
            TraceEvent::Gone(server) => self.gone(now, server),
            TraceEvent::RollOut { version, replaces } => self.roll_out(version, replaces),
            TraceEvent::Withdraw(version) => self.withdraw(now, version),
            TraceEvent::Allow { workspace, versions } => {
                if let Some(workspace) = self.policy.workspaces.get_mut(workspace) {
                    workspace.allowed_versions = versions.iter().cloned().collect();
                }
                self.install();
            }
            TraceEvent::Rating(up) => self.rating_up = *up,
            TraceEvent::Store(up) => self.store_up = *up,
        }
    }

    fn install(&mut self) {
        self.generation += 1;
        self.driver.install(self.generation, &self.policy);
    }

    fn roll_out(&mut self, version: &VersionId, replaces: &VersionId) {
        self.policy.add_version(version);
        let roll_out =
            pondwalk_types::RollOut { version: version.clone(), replaces: replaces.clone() };
        self.policy.roll_outs.retain(|known| known.version != *version);
        self.policy.roll_outs.push(roll_out);
        self.report.exposed_requests.entry(version.clone()).or_default();
        self.install();
    }

    fn withdraw(&mut self, now: Duration, version: &VersionId) {
        self.policy.versions.entry(version.clone()).or_default().state = VersionState::Withdrawn;
        self.install();
        for server in 0..self.fleet.len() {
            let runs = &self.runs;
            let queue = &mut self.fleet.get_mut(server).queue;
            for run in queue.withdraw_where(|run| runs[*run].version == *version) {
                self.refused(now, run, Refusal::VersionWithdrawn(version.clone()));
            }
        }
    }

    fn leaving_seen(&mut self, now: Duration, server: usize) {
        if self.fleet.get_mut(server).leaving_since.is_none() {
            return;
        }
        let name = self.fleet.get_mut(server).name.clone();
        self.driver.server_leaving(&name);
        for run in self.fleet.get_mut(server).queue.withdraw_where(|_| true) {
            self.refused(now, run, Refusal::Draining);
        }
    }

    fn gone(&mut self, now: Duration, name: &str) {
        let Some(server) = self.fleet.find(name) else {
            return;
        };
        self.driver.server_leaving(name);
        self.fleet.get_mut(server).close();
        let there = |run: &Run| run.server == server && run.is_open();
        let cut: Vec<RunIx> = (0..self.runs.len()).filter(|run| there(&self.runs[*run])).collect();
        for run in cut {
            let spent = self.close_run(now, run);
            self.failed(now, run, Ran::Unknown, spent, Refusal::ContactLost);
        }
    }

    fn arrive(&mut self, now: Duration, recorded: &'a RecordedRequest) {
        let request = self.requests.len();
        self.requests.push(Live::new(recorded, now));
        self.count(request, |tally| tally.requests += 1);
        if let Err(_refusal) = self.claim(request) {
            self.count(request, |tally| tally.refused_not_run += 1);
            return;
        }
        match self.driver.begin(now, recorded) {
            Ok((flight, step)) => {
                self.requests[request].flight = Some(flight);
                self.submit(now, request, step);
            }
            Err(_refusal) => self.end_unanswered(request),
        }
    }

    /// Claims the idempotency key of a request that may not be repeated.
    fn claim(&mut self, request: RequestIx) -> Result<(), Refusal> {
        let recorded = self.requests[request].recorded;
        let (false, Some(key)) = (recorded.repeatable, &recorded.idempotency_key) else {
            return Ok(());
        };
        if !self.store_up {
            return Err(Refusal::ClaimUnavailable);
        }
        let key = (recorded.workspace.as_str(), key.as_str());
        if self.claims.contains_key(&key) {
            return Err(Refusal::DuplicateKey);
        }
        self.claims.insert(key, request);
        Ok(())
    }

    /// Does what the policy wants next.
    fn act(&mut self, now: Duration, request: RequestIx, next: Next) {
        match next {
            Next::Deliver => self.deliver(now, request),
            Next::AwaitRating(wait) => {
                let run = self.requests[request].runs.last().copied();
                self.requests[request].awaiting = run;
                if let Some(run) = run {
                    self.events.push(now + wait, Event::RatingOverdue(run));
                }
            }
            Next::Run(step) => {
                if self.requests[request].has_answer {
                    self.count(request, |tally| tally.escalations += 1);
                }
                self.submit(now, request, step);
            }
            Next::Refuse(_) => self.end_unanswered(request),
        }
    }

    /// Hands a run to its server's agent.
    fn submit(&mut self, now: Duration, request: RequestIx, step: Step) {
        let recorded = self.requests[request].recorded;
        let Some(server) = self.fleet.find(&step.server) else {
            return;
        };
        let run = self.runs.len();
        self.runs.push(Run::new(request, step.version, server, recorded));
        self.requests[request].runs.push(run);
        self.count_session(request, run);
        if let Some(at) = step.deliver_held_at {
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

    fn start(&mut self, now: Duration, run: RunIx) {
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
    fn count_start(&mut self, run: RunIx) {
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

    fn refused(&mut self, now: Duration, run: RunIx, refusal: Refusal) {
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

    fn run_ends(&mut self, now: Duration, run: RunIx) {
        if !self.runs[run].is_open() {
            return;
        }
        let spent = self.close_run(now, run);
        self.free_slot(now, self.runs[run].server);
        if self.runs[run].outcome.failed {
            self.failed(now, run, Ran::Yes, spent, Refusal::BackendFailed);
            return;
        }
        let request = self.runs[run].request;
        let rated = !self.runs[run].is_service
            && self.sampling.random::<f64>() < self.settings.rating_share;
        if rated {
            self.events.push(now + self.settings.rating_delay, Event::Rating(run));
        }
        let outcome = &self.runs[run].outcome;
        let done = Finished { output_tokens: outcome.output_tokens, service: outcome.service };
        self.requests[request].has_answer = true;
        let Some(mut flight) = self.requests[request].flight.take() else {
            return;
        };
        let next = self.driver.finished(now, &mut flight, done);
        self.requests[request].flight = Some(flight);
        self.act(now, request, next);
    }

    fn failed(&mut self, now: Duration, run: RunIx, ran: Ran, spent: f64, refusal: Refusal) {
        let request = self.runs[run].request;
        let Some(mut flight) = self.requests[request].flight.take() else {
            return;
        };
        let next = self.driver.failed(now, &mut flight, ran, spent, refusal);
        self.requests[request].flight = Some(flight);
        self.act(now, request, next);
    }

    fn rating(&mut self, now: Duration, run: RunIx) {
        if !self.rating_up {
            return;
        }
        let quality = self.runs[run].outcome.quality;
        let delay = self.settings.rating_delay;
        let request = self.runs[run].request;
        if self.requests[request].awaiting == Some(run) {
            self.judge(now, request, Some((quality, delay)));
        } else if self.requests[request].delivered == Some(run)
            && let Some(receipt) = self.requests[request].receipt.take()
        {
            self.driver.rated(now, &receipt, delay, quality);
        }
    }

    fn rating_overdue(&mut self, now: Duration, run: RunIx) {
        let request = self.runs[run].request;
        if self.requests[request].awaiting == Some(run) {
            self.judge(now, request, None);
        }
    }

    fn judge(&mut self, now: Duration, request: RequestIx, rating: Option<(f64, Duration)>) {
        self.requests[request].awaiting = None;
        let Some(mut flight) = self.requests[request].flight.take() else {
            return;
        };
        let next = self.driver.judged(now, &mut flight, rating);
        self.requests[request].flight = Some(flight);
        self.act(now, request, next);
    }

    /// The answer in hand is due: drops the run that was to improve on it.
    fn deliver_held(&mut self, now: Duration, run: RunIx) {
        if !self.runs[run].is_open() {
            return;
        }
        let was_running = matches!(self.runs[run].state, RunState::Running { .. });
        let spent = self.close_run(now, run);
        let server = self.runs[run].server;
        if was_running {
            self.free_slot(now, server);
        } else {
            self.fleet.get_mut(server).queue.withdraw(&run);
        }
        let request = self.runs[run].request;
        if let Some(flight) = &mut self.requests[request].flight {
            self.driver.cut_short(now, flight, spent);
        }
        self.deliver(now, request);
    }

    /// Closes a run and counts its cost, in proportion if it did not end.
    fn close_run(&mut self, now: Duration, run: RunIx) -> f64 {
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

    fn free_slot(&mut self, now: Duration, server: usize) {
        let mut admitted = self.fleet.get_mut(server).queue.finish(now);
        loop {
            let Admitted { start, shed } = admitted;
            if let Some(run) = start {
                self.start(now, run);
            }
            for (run, refusal) in shed {
                self.refused(now, run, refusal);
            }
            if start.is_none() {
                return;
            }
            admitted = self.fleet.get_mut(server).queue.admit(now);
        }
    }
}
