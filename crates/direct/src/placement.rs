//! A request's place at one backend server, given back when it is dropped.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use pondwalk_decide::direct::{Ask, Evidence, ModelNumber, ServerLoad, Terms, Ticket, VersionRule};
use pondwalk_types::{ModelId, ServerId, VersionId};
use rand::{Rng, rngs::SmallRng};

use crate::{
    core::{Core, State},
    metrics::Timer,
    request::Job,
};

/// Time to read a thousand tokens with the smallest, a middle and the largest model, in
/// milliseconds, until their own answers have shown it.
const READ_MS_PER_K: [f64; 3] = [5.5, 14.0, 53.0];
/// Time until an answer begins on an idle server, besides reading, in milliseconds.
const BASE_MS: f64 = 25.0;

/// Tokens read that count as much as one made in an answer's size; from the users' rules.
const SIZE_OF_TOKEN_OUT: f64 = 10.0;
/// Tokens read that take as much of a server's time as one made; from the users' figures of their
/// engines (0.27 ms of each step for one more request, 0.053 ms for a token read).
const MADE_AS_READ: f64 = 5.0;
/// Time that a typical answer of the largest model takes for each token of its size, in
/// milliseconds: half of the time to read a token, since half of a prompt's size is held or out.
const TYPICAL_MS_PER_SIZE: f64 = 0.026;

/// A place at one backend server.
pub struct Placement {
    core: Rc<Core>,
    job: Rc<Job>,
    ticket: Ticket,
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
        let State { fleets, roll_outs, sessions, rng, .. } = &mut *state;
        let fleet = fleets.get_mut(&job.service.name)?;
        let session = job.session.unwrap_or_else(|| rng.random());
        let pinned = job.session.and_then(|session| sessions.version(session, now));
        let roll_out = roll_outs.get(&job.service.name);
        let rule = roll_out.map_or(VersionRule::Any, |one| one.rule(session, pinned, failed, now));
        let model =
            if job.chooses_model { job.route.models.get(usize::from(number)) } else { None };
        let model = model.cloned();
        let ask = ask_for(job, number, avoid, rule);
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
        if let Some(fleet) = state.fleets.get_mut(&self.job.service.name) {
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
    pub fn is_whole(&self, number: ModelNumber) {
        let tokens_out = self.job.prompt.tokens_out;
        if self.model.is_none() || tokens_out == 0 {
            return;
        }
        let making_ms = self.elapsed().as_secs_f64() * 1_000.0 - self.took_ms;
        let mut state = self.core.state.borrow_mut();
        if let Some(cascade) = state.cascades.get_mut(&self.job.service.name) {
            cascade.note_token_ms(number, making_ms / f64::from(tokens_out));
        }
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
    let state = core.state.borrow();
    let cascade = state.cascades.get(&job.service.name);
    let fleet = state.fleets.get(&job.service.name);
    let mut terms = Vec::with_capacity(prices.len());
    for (number, price) in prices.into_iter().enumerate() {
        let ask = ask_for(job, number as ModelNumber, avoid, VersionRule::Any);
        let forecast = fleet.and_then(|fleet| fleet.forecast(&ask, core.clock.now()));
        // NB: without a server for one model there is none for any.
        let Some(forecast) = forecast else { return Vec::new() };
        let begins = used + forecast.begins_ms / objective_ms;
        let token_ms = cascade.map_or(0.0, |cascade| cascade.token_ms(number as ModelNumber));
        let making_ms = f64::from(job.prompt.tokens_out) * token_ms;
        let ends = (begins * objective_ms + making_ms) / allowed_ms;
        let load = load_of(job, forecast.read_ms, ask.read_ms_per_token);
        terms.push(Terms { price, load, begins, ends });
    }
    terms
}

/// Servers' time that an answer takes, by its size, as a multiple of a typical one's.
fn load_of(job: &Job, read_ms: f64, read_ms_per_token: f64) -> f64 {
    let (tokens_in, tokens_out) =
        (f64::from(job.prompt.tokens_in), f64::from(job.prompt.tokens_out));
    let size = (tokens_in + SIZE_OF_TOKEN_OUT * tokens_out).max(1.0);
    let made_ms = MADE_AS_READ * tokens_out * read_ms_per_token;
    (read_ms + made_ms) / size / TYPICAL_MS_PER_SIZE
}

fn ask_for<'a>(
    job: &'a Job,
    number: ModelNumber,
    avoid: &'a [ServerId],
    versions: VersionRule<'a>,
) -> Ask<'a> {
    Ask {
        parts: &job.prompt.parts,
        model: number,
        read_ms_per_token: read_ms_per_token(job, number),
        base_ms: BASE_MS,
        avoid,
        versions,
    }
}

fn read_ms_per_token(job: &Job, number: ModelNumber) -> f64 {
    let last = job.route.models.len().saturating_sub(1);
    let per_k = match usize::from(number) {
        0 if last > 0 => READ_MS_PER_K[0],
        number if number == last => READ_MS_PER_K[2],
        _ => READ_MS_PER_K[1],
    };
    per_k / 1_000.0
}
