//! A request's place at one backend server, given back when it is dropped.
//!
//! What is seen of the server while the request is there is noted where it belongs: in the fleet,
//! the engine's times, the roll-out's evidence and the session's version.

mod choice;

use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

use pondwalk_decide::direct::{
    Evidence, ReportedRateLimit, ServerLoad, ServiceModelIndex, Ticket, UnreachableReason,
};
use pondwalk_types::{ModelId, ServerId, VersionId};
use rand::Rng;

use crate::{
    catalog::ServiceId,
    core::Core,
    forecasts::engine_for,
    membership::Gossip,
    metrics::{Counter, Timer},
    request::Job,
    state::State,
};

use choice::find_with_rule;
pub use choice::{NextSend, PlacementError};

/// A place at one backend server.
pub struct Placement {
    core: Rc<Core>,
    job: Rc<Job>,
    ticket: Ticket,
    /// The model among those of its service.
    model_index: ServiceModelIndex,
    sent: Duration,
    /// Time until its answer began, in milliseconds, once it has.
    response_started_ms: f64,
    /// Whether another server could take the request.
    pub has_alternative: bool,
    /// Where the server listens.
    pub address: SocketAddr,
    /// Version of its software.
    pub version: VersionId,
    /// Model that runs there, where the entry chooses it.
    pub model: Option<ModelId>,
    /// Whether the run is known to be over, or never to have begun.
    is_finished: Cell<bool>,
    /// Whether it runs as a probe.
    is_probe: Cell<bool>,
}

impl Placement {
    /// Finds a place for a job, if any server may take it now.
    pub fn find(
        core: &Rc<Core>,
        job: &Rc<Job>,
        next: NextSend<'_>,
    ) -> Result<Self, PlacementError> {
        let now = core.clock.now();
        let mut state = core.state.borrow_mut();
        let session = job.session.unwrap_or_else(|| state.rng.random());
        let found = find_with_rule(&mut state, job, next, Some(session), now, |fleet, ask, rng| {
            let ticket = fleet.place(ask, now, rng)?;
            let server = fleet.server_info(&ticket.server)?;
            let (address, version) = (server.address, server.version.clone());
            let has_alternative = fleet.has_alternative(ask, &ticket.server, now);
            Some((ticket, address, version, has_alternative))
        });
        let (ticket, address, version, has_alternative) = found?;
        if let Some(session) = job.session {
            state.sessions.record(session, &version, now);
        }
        drop(state);
        let model = job.route.models.get(usize::from(next.model)).filter(|_| job.chooses_model);
        let model = model.cloned();
        let (core, job) = (Rc::clone(core), Rc::clone(job));
        Ok(Placement {
            core,
            model_index: job.service_model(next.model),
            job,
            ticket,
            sent: now,
            response_started_ms: 0.0,
            has_alternative,
            address,
            version,
            model,
            is_finished: Cell::new(false),
            is_probe: Cell::new(false),
        })
    }

    /// The request runs there as a probe.
    pub fn mark_probe(&self) {
        self.is_probe.set(true);
    }

    /// The run there is over, or never began.
    pub fn mark_finished(&self) {
        self.is_finished.set(true);
    }

    /// The place was taken ahead, and the run there begins only now.
    pub fn mark_unfinished(&self) {
        self.is_finished.set(false);
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
        (self.response_started_ms - self.ticket.expected_ms).max(0.0)
    }

    /// The answer has begun.
    pub fn on_response_started(&mut self) {
        let now = self.core.clock.now();
        let response_started_ms = now.saturating_sub(self.sent).as_secs_f64() * 1_000.0;
        self.response_started_ms = response_started_ms;
        let late_ms = (response_started_ms - self.ticket.expected_with_queue_ms()).max(0.0);
        self.core.metrics.time(Timer::ServerQueue, Duration::from_secs_f64(late_ms / 1_000.0));
        let mut state = self.core.state.borrow_mut();
        let State { fleets, engines, .. } = &mut *state;
        if self.core.settings.policy.learned_engines && self.ticket.queued_ms <= 0.0 {
            let engine = engine_for(engines, &self.job);
            engine.record_first_byte(
                self.model_index,
                self.ticket.prefill_tokens,
                response_started_ms,
            );
        }
        if let Some(fleet) = fleets.get_mut(&self.job.service.name) {
            fleet.on_answer_started(&mut self.ticket, response_started_ms, now);
        }
    }

    /// The server told its load with the answer.
    pub fn record_load(&self, load: ServerLoad) {
        let now = self.core.clock.now();
        let mut state = self.core.state.borrow_mut();
        if let Some(fleet) = state.fleets.get_mut(&self.job.service.name) {
            fleet.on_load_reported(&self.ticket, load, now);
        }
    }

    /// The whole answer has been passed on; how fast its tokens came tells of others to come.
    pub fn on_completed(&self) {
        let tokens_out = self.job.prompt.tokens_out;
        let learns = self.core.settings.policy.learned_engines;
        if !learns || self.model.is_none() || tokens_out == 0 {
            return;
        }
        let generation_ms = self.elapsed().as_secs_f64() * 1_000.0 - self.response_started_ms;
        let mut state = self.core.state.borrow_mut();
        let engine = engine_for(&mut state.engines, &self.job);
        engine.record_token_ms(self.model_index, generation_ms / f64::from(tokens_out));
    }

    /// The server answered, with a failure of its own or not; true if a roll-out is off by it.
    pub fn on_response(&self, failed: bool) -> bool {
        let now = self.core.clock.now();
        let mut state = self.core.state.borrow_mut();
        if let Some(fleet) = state.fleets.get_mut(&self.job.service.name) {
            fleet.record_outcome(&self.ticket, failed, now);
        }
        drop(state);
        self.record_evidence(failed)
    }

    /// The answer did not begin in the time given, which counts as a failure of the server and its version; true
    /// if a roll-out is off.
    pub fn on_response_timeout(&self) -> bool {
        self.on_connection_broken();
        self.record_evidence(true)
    }

    /// Service of the server.
    pub fn service(&self) -> &ServiceId {
        &self.job.service.name
    }

    /// Kind of the request, as evidence about versions tells them apart: by route and model.
    pub fn kind(&self) -> String {
        match &self.model {
            Some(model) => format!("{}/{model}", self.job.route.name),
            None => self.job.route.name.clone(),
        }
    }

    fn record_evidence(&self, failed: bool) -> bool {
        let now = self.core.clock.now();
        let mut state = self.core.state.borrow_mut();
        let Some(roll_out) = state.roll_outs.get_mut(&self.job.service.name) else { return false };
        let kind = self.kind();
        let slowness =
            self.elapsed().as_secs_f64() * 1_000.0 / self.ticket.expected_with_queue_ms();
        let evidence = Evidence { kind: &kind, server: &self.ticket.server, failed, slowness };
        roll_out.record_answer(&self.version, &evidence, now)
    }

    /// The connection broke, or no answer came; this is evidence about the server alone.
    pub fn on_connection_broken(&self) {
        let now = self.core.clock.now();
        let mut state = self.core.state.borrow_mut();
        if let Some(fleet) = state.fleets.get_mut(&self.job.service.name) {
            fleet.record_outcome(&self.ticket, true, now);
        }
    }

    /// Whether the request may leave now that its connection stands.
    pub fn may_dispatch(&self) -> bool {
        let now = self.core.clock.now();
        let mut state = self.core.state.borrow_mut();
        let fleet = state.fleets.get_mut(&self.job.service.name);
        fleet.is_none_or(|fleet| fleet.may_send(&self.ticket, now))
    }

    /// The server could not be reached; other entries are told if it may be cold by that.
    pub fn on_unreachable(&self, why: UnreachableReason) {
        self.mark_finished();
        let now = self.core.clock.now();
        let service = &self.job.service.name;
        let mut state = self.core.state.borrow_mut();
        let fleet = state.fleets.get_mut(service);
        let is_new = fleet.is_some_and(|fleet| fleet.on_unreachable(&self.ticket, why, now));
        drop(state);
        if is_new {
            self.core.metrics.count(Counter::ServersPresumedCold);
            let (fleet, server) = (service.to_string(), self.ticket.server.clone());
            self.core.publish_gossip(Gossip::Unreached { fleet, server });
        }
    }

    /// The server turned the request away.
    pub fn on_rejected(&self) {
        self.mark_finished();
        let now = self.core.clock.now();
        let mut state = self.core.state.borrow_mut();
        if let Some(fleet) = state.fleets.get_mut(&self.job.service.name) {
            fleet.on_refused(&self.ticket, now);
        }
    }

    /// The server said in an answer that it leaves. Returns whether that is news.
    pub fn on_draining(&self) -> bool {
        let now = self.core.clock.now();
        let mut state = self.core.state.borrow_mut();
        let fleet = state.fleets.get_mut(&self.job.service.name);
        fleet.is_some_and(|fleet| fleet.on_draining_reported(&self.ticket, now))
    }

    /// An answer of the server spoke of its rate limit. Returns whether that has changed.
    pub fn on_limit_reported(&self, word: ReportedRateLimit) -> bool {
        let now = self.core.clock.now();
        let mut state = self.core.state.borrow_mut();
        let Some(fleet) = state.fleets.get_mut(&self.job.service.name) else { return false };
        let changes = fleet.on_rate_limit_reported(&self.ticket, word, now);
        let news = fleet.take_due_rate_limit(&self.ticket, now);
        drop(state);
        if let Some((life, limit)) = news {
            let (fleet, server) = (self.job.service.name.to_string(), self.ticket.server.clone());
            self.core.publish_gossip(Gossip::Limited { fleet, server, life, limit });
        }
        changes
    }

    /// The server asked in an answer to be sent nothing for a while. Returns how long it gets nothing.
    pub fn on_backoff_requested(&self, asked: Duration) -> Option<Duration> {
        let now = self.core.clock.now();
        let mut state = self.core.state.borrow_mut();
        let State { fleets, rng, .. } = &mut *state;
        let fleet = fleets.get_mut(&self.job.service.name)?;
        let until =
            fleet.on_backoff_requested(&self.ticket, asked, rng.random_range(0.0..1.0), now)?;
        Some(until.saturating_sub(now))
    }

    /// Another server has its address.
    pub fn on_server_replaced(&self) {
        self.mark_finished();
        let mut state = self.core.state.borrow_mut();
        if let Some(fleet) = state.fleets.get_mut(&self.job.service.name) {
            fleet.mark_replaced(&self.ticket);
        }
    }
}

impl Drop for Placement {
    fn drop(&mut self) {
        let now = self.core.clock.now();
        let mut state = self.core.state.borrow_mut();
        if let Some(session) = self.job.session {
            state.sessions.record(session, &self.version, now);
        }
        if let Some(fleet) = state.fleets.get_mut(&self.job.service.name) {
            fleet.on_finished(&self.ticket);
        }
        drop(state);
        if !self.is_finished.get() {
            self.core.record_abandoned_run(&self.job, self.server(), self.is_probe.get());
        }
    }
}
