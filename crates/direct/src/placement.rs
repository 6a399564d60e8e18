//! A request's place at one backend server, given back when it is dropped.

use std::{collections::HashMap, net::SocketAddr, rc::Rc, time::Duration};

use pondwalk_decide::direct::{
    Ask, Engine, Evidence, ModelNumber, ServerLoad, ServiceModel, Terms, Ticket, VersionRule,
};
use pondwalk_types::{ModelId, ServerId, VersionId};
use rand::{Rng, rngs::SmallRng};

use crate::{
    catalog::ServiceId,
    core::{Core, State},
    metrics::Timer,
    request::Job,
};

/// Tokens read that count as much as one made in an answer's size; from the users' rules.
const SIZE_OF_TOKEN_OUT: f64 = 10.0;
/// Tokens read that take as much of a server's time as one made; from the users' figures of their
/// engines (0.27 ms of each step for one more request, 0.053 ms for a token read).
const MADE_AS_READ: f64 = 5.0;
/// Time that a typical answer of the largest model takes for each token of its size, as a part of
/// the time to read one: half of a prompt's size is held already or made, not read.
const TYPICAL_READ_PART: f64 = 0.5;

/// A place at one backend server.
pub struct Placement {
    core: Rc<Core>,
    job: Rc<Job>,
    ticket: Ticket,
    /// The model among those of its service.
    number: ServiceModel,
    sent: Duration,
    /// Time until its answer began, in milliseconds, once it has.
    took_ms: f64,
    /// Whether another server could take the request.
    pub has_alternative: bool,
    /// Where the server listens.
    pub address: SocketAddr,
    /// Version of its software.
    pub version: VersionId,
    /// Model that runs there, where the entry chooses it.
    pub model: Option<ModelId>,
}

impl Placement {
    /// Finds a place for a job, if any server may take it; `failed` is the version whose server
    /// failed it before.
    pub fn find(
        core: &Rc<Core>,
        job: &Rc<Job>,
        number: ModelNumber,
        avoid: &[ServerId],
        failed: Option<&str>,
    ) -> Option<Self> {
        let now = core.clock.now();
        let mut state = core.state.borrow_mut();
        let State { fleets, roll_outs, sessions, engines, rng, .. } = &mut *state;
        let engine = engine_of(engines, job);
        let fleet = fleets.get_mut(&job.service.name)?;
        let session = job.session.unwrap_or_else(|| rng.random());
        let pinned = job.session.and_then(|session| sessions.version(session, now));
        let roll_out = roll_outs.get(&job.service.name);
        let rule = roll_out.map_or(VersionRule::Any, |one| one.rule(session, pinned, failed, now));
        let model =
            if job.chooses_model { job.route.models.get(usize::from(number)) } else { None };
        let model = model.cloned();
        let ask = ask_for(engine, job, number, avoid, rule);
        let ticket = place(fleet, &ask, roll_out.map(|one| one.target().as_str()), now, rng)?;
        let facts = fleet.facts(&ticket.server)?;
        let (address, version) = (facts.address, facts.version.clone());
        let has_alternative = fleet.open_servers(rule, now) > avoid.len() + 1;
        if let Some(session) = job.session {
            sessions.note(session, &version, now);
        }
        let (core, job) = (Rc::clone(core), Rc::clone(job));
        Some(Placement {
            core,
            number: job.service_model(number),
            job,
            ticket,
            sent: now,
            took_ms: 0.0,
            has_alternative,
            address,
            version,
            model,
        })
    }

    /// Identity of the server.
    pub fn server(&self) -> &ServerId {
        &self.ticket.server
    }

    /// Time until the answer was expected to begin, in milliseconds.
    pub fn expected_ms(&self) -> f64 {
        self.ticket.expected_ms
    }

    /// Time since the request was placed here.
    pub fn elapsed(&self) -> Duration {
        self.core.clock.now().saturating_sub(self.sent)
    }

    /// How much later than on an idle server the answer began, in milliseconds.
    pub fn queued_ms(&self) -> f64 {
        (self.took_ms - self.ticket.expected_ms).max(0.0)
    }

    /// The answer has begun.
    pub fn began(&mut self) {
        let now = self.core.clock.now();
        let took_ms = now.saturating_sub(self.sent).as_secs_f64() * 1_000.0;
        self.took_ms = took_ms;
        let late_ms = (took_ms - self.ticket.due_ms()).max(0.0);
        self.core.metrics.time(Timer::ServerQueue, Duration::from_secs_f64(late_ms / 1_000.0));
        let mut state = self.core.state.borrow_mut();
        let State { fleets, engines, .. } = &mut *state;
        if self.core.settings.policy.learned_engines && self.ticket.ahead_ms <= 0.0 {
            let engine = engine_of(engines, &self.job);
            engine.note_beginning(self.number, self.ticket.read_tokens, took_ms);
        }
        if let Some(fleet) = fleets.get_mut(&self.job.service.name) {
            fleet.began(&mut self.ticket, took_ms, now);
        }
    }

    /// The server told its load with the answer.
    pub fn tells_load(&self, load: ServerLoad) {
        let now = self.core.clock.now();
        let mut state = self.core.state.borrow_mut();
        if let Some(fleet) = state.fleets.get_mut(&self.job.service.name) {
            fleet.tells_load(&self.ticket, load, now);
        }
    }

    /// The whole answer has been passed on; how fast its tokens came tells of others to come.
    pub fn is_whole(&self) {
        let tokens_out = self.job.prompt.tokens_out;
        let learns = self.core.settings.policy.learned_engines;
        if !learns || self.model.is_none() || tokens_out == 0 {
            return;
        }
        let making_ms = self.elapsed().as_secs_f64() * 1_000.0 - self.took_ms;
        let mut state = self.core.state.borrow_mut();
        let engine = engine_of(&mut state.engines, &self.job);
        engine.note_token_ms(self.number, making_ms / f64::from(tokens_out));
    }

    /// The server answered, with a failure of its own or not; true if a roll-out is off by it.
    pub fn answered(&self, failed: bool) -> bool {
        let now = self.core.clock.now();
        let mut state = self.core.state.borrow_mut();
        if let Some(fleet) = state.fleets.get_mut(&self.job.service.name) {
            fleet.answered(&self.ticket, failed, now);
        }
        drop(state);
        self.note_evidence(failed)
    }

    /// The answer did not begin in the time given, which is slow; true if a roll-out is off.
    pub fn was_silent(&self) -> bool {
        self.broke();
        self.note_evidence(false)
    }

    fn note_evidence(&self, failed: bool) -> bool {
        let now = self.core.clock.now();
        let mut state = self.core.state.borrow_mut();
        let Some(roll_out) = state.roll_outs.get_mut(&self.job.service.name) else { return false };
        let kind = match &self.model {
            Some(model) => format!("{}/{model}", self.job.route.name),
            None => self.job.route.name.clone(),
        };
        let slowness = self.elapsed().as_secs_f64() * 1_000.0 / self.ticket.due_ms();
        let evidence = Evidence { kind: &kind, server: &self.ticket.server, failed, slowness };
        roll_out.note(&self.version, &evidence, now)
    }

    /// The connection broke, or no answer came; this is evidence about the server alone.
    pub fn broke(&self) {
        let now = self.core.clock.now();
        let mut state = self.core.state.borrow_mut();
        if let Some(fleet) = state.fleets.get_mut(&self.job.service.name) {
            fleet.answered(&self.ticket, true, now);
        }
    }

    /// The server could not be reached or turned the request away.
    pub fn refused(&self) {
        let now = self.core.clock.now();
        let mut state = self.core.state.borrow_mut();
        if let Some(fleet) = state.fleets.get_mut(&self.job.service.name) {
            fleet.refused(&self.ticket, now);
        }
    }

    /// The server is leaving, or another has its address.
    pub fn leaves(&self) {
        let mut state = self.core.state.borrow_mut();
        if let Some(fleet) = state.fleets.get_mut(&self.job.service.name) {
            fleet.leaves(&self.ticket.server);
        }
    }
}

impl Drop for Placement {
    fn drop(&mut self) {
        let now = self.core.clock.now();
        let mut state = self.core.state.borrow_mut();
        if let Some(session) = self.job.session {
            state.sessions.note(session, &self.version, now);
        }
        if let Some(fleet) = state.fleets.get_mut(&self.job.service.name) {
            fleet.ended(&self.ticket);
        }
    }
}

/// Places by the rule; where a version has no server open, any other than the one on trial.
fn place(
    fleet: &mut pondwalk_decide::direct::Fleet,
    ask: &Ask<'_>,
    target: Option<&str>,
    now: Duration,
    rng: &mut SmallRng,
) -> Option<Ticket> {
    let placed = fleet.place(ask, now, rng);
    match (ask.versions, target) {
        (VersionRule::Only(_), Some(target)) if placed.is_none() => {
            fleet.place(&Ask { versions: VersionRule::Except(target), ..*ask }, now, rng)
        }
        _ => placed,
    }
}

/// What asking each of the route's models would cost a job that has used this part of its
/// objective, servers in `avoid` left out; nothing if no server could take it.
pub fn terms(core: &Core, job: &Job, avoid: &[ServerId], used: f64) -> Vec<Terms> {
    let prices = job.prices();
    let objective_ms = job.route.objective.as_secs_f64().max(0.001) * 1_000.0;
    let allowed_ms = (job.give_up - job.arrived).as_secs_f64().max(0.001) * 1_000.0;
    let mut state = core.state.borrow_mut();
    let State { fleets, engines, .. } = &mut *state;
    let engine = engine_of(engines, job);
    let Some(fleet) = fleets.get(&job.service.name) else { return Vec::new() };
    let mut terms = Vec::with_capacity(prices.len());
    for (position, price) in prices.into_iter().enumerate() {
        let number = position as ModelNumber;
        let ask = ask_for(engine, job, number, avoid, VersionRule::Any);
        // NB: without a server for one model there is none for any.
        let Some(forecast) = fleet.forecast(&ask, core.clock.now()) else { return Vec::new() };
        let begins = used + forecast.begins_ms / objective_ms;
        let making_ms = f64::from(job.prompt.tokens_out) * engine.token_ms(ask.model);
        let ends = (begins * objective_ms + making_ms) / allowed_ms;
        let load = load_of(engine, job, forecast.read_ms, ask.read_ms_per_token);
        terms.push(Terms { model: ask.model, price, load, begins, ends });
    }
    terms
}

/// Servers' time that an answer takes, by its size, as a multiple of a typical one's of the route's
/// largest model.
fn load_of(engine: &Engine, job: &Job, read_ms: f64, read_ms_per_token: f64) -> f64 {
    let (tokens_in, tokens_out) =
        (f64::from(job.prompt.tokens_in), f64::from(job.prompt.tokens_out));
    let size = (tokens_in + SIZE_OF_TOKEN_OUT * tokens_out).max(1.0);
    let made_ms = MADE_AS_READ * tokens_out * read_ms_per_token;
    let last = job.route.models.len().saturating_sub(1) as ModelNumber;
    let largest = engine.read_ms_per_token(job.service_model(last));
    (read_ms + made_ms) / size / (TYPICAL_READ_PART * largest)
}

fn ask_for<'a>(
    engine: &Engine,
    job: &'a Job,
    number: ModelNumber,
    avoid: &'a [ServerId],
    versions: VersionRule<'a>,
) -> Ask<'a> {
    let model = job.service_model(number);
    Ask {
        parts: &job.prompt.parts,
        model,
        read_ms_per_token: engine.read_ms_per_token(model),
        base_ms: engine.begins_ms(),
        avoid,
        versions,
    }
}

/// What is known of the engines of a job's service.
fn engine_of<'a>(engines: &'a mut HashMap<ServiceId, Engine>, job: &Job) -> &'a mut Engine {
    let models = job.service.engine.as_ref().map_or(0, |engine| engine.models.len());
    let service = job.service.name.clone();
    engines.entry(service).or_insert_with(|| Engine::new(models.min(usize::from(u8::MAX)) as u8))
}
