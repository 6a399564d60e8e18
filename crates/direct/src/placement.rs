//! Assignment of a request to one backend server, released on drop.
//!
//! Observations of the server are recorded in the fleet, the engine estimates, the roll-out
//! evidence and the session's version.

mod choice;

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use pondwalk_decide::direct::{
    Evidence, ExpectedWait, FeatureHash, ReportedRateLimit, RunExtent, ServerLoad,
    ServiceModelIndex, Ticket, UnreachableReason,
};
use pondwalk_inbound::BufferPool;
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

/// Assignment of a request to one backend server.
pub struct Placement {
    core: Rc<Core>,
    job: Rc<Job>,
    ticket: Ticket,
    /// Index of the model in its service.
    model_index: ServiceModelIndex,
    sent: Duration,
    /// Time to the start of the response in milliseconds, once it has started.
    first_byte_ms: f64,
    /// Whether another server could take the request.
    pub has_alternative: bool,
    /// Address of the server.
    pub address: SocketAddr,
    /// Version of the server's software.
    pub version: VersionId,
    /// Model to run, if the entry chooses it.
    pub model: Option<ModelId>,
    /// Whether the run is known to have finished, or never to have started.
    is_finished: Cell<bool>,
    /// Features that the request runs as a probe of.
    probed: RefCell<Vec<FeatureHash>>,
}

impl Placement {
    /// Places a job on a server, if one is available now.
    pub fn find(
        core: &Rc<Core>,
        job: &Rc<Job>,
        next: NextSend<'_>,
    ) -> Result<Self, PlacementError> {
        let now = core.clock.now();
        let mut state = core.state.borrow_mut();
        let session = job.session.unwrap_or_else(|| state.rng.random());
        let found =
            find_with_rule(&mut state, job, next, Some(session), now, |fleet, request, rng| {
                let ticket = fleet.place(request, now, rng)?;
                let server = fleet.server_info(&ticket.server)?;
                let (address, version) = (server.address, server.version.clone());
                let has_alternative = fleet.has_alternative(request, &ticket.server, now);
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
            first_byte_ms: 0.0,
            has_alternative,
            address,
            version,
            model,
            is_finished: Cell::new(false),
            probed: RefCell::default(),
        })
    }

    /// Marks the request as a probe of these features.
    pub fn mark_probe(&self, probed: &[FeatureHash]) {
        self.probed.replace(probed.to_vec());
    }

    /// Takes the features that the request runs as a probe of.
    pub fn take_probed(&self) -> Vec<FeatureHash> {
        self.probed.take()
    }

    /// Marks the run as finished, or as never started.
    pub fn mark_finished(&self) {
        self.is_finished.set(true);
    }

    /// Marks a run that was reserved ahead as started.
    pub fn mark_unfinished(&self) {
        self.is_finished.set(false);
    }

    /// Id of the server.
    pub fn server(&self) -> &ServerId {
        &self.ticket.server
    }

    /// Expected time to the start of the response, in milliseconds.
    pub fn expected_ms(&self) -> f64 {
        self.ticket.expected_ms
    }

    /// Expected wait for the start of the response, with the other entries' requests; `None` if
    /// their work is not known.
    pub fn expected_wait(&self) -> Option<ExpectedWait> {
        let now = self.core.clock.now();
        let state = self.core.state.borrow();
        state.fleets.get(&self.job.service.name)?.expected_wait(&self.ticket, now)
    }

    /// Time since the request was placed.
    pub fn elapsed(&self) -> Duration {
        self.core.clock.now().saturating_sub(self.sent)
    }

    /// How much later than on an idle server the response started, in milliseconds.
    pub fn queued_ms(&self) -> f64 {
        (self.first_byte_ms - self.ticket.expected_ms).max(0.0)
    }

    /// Records the start of the response.
    pub fn on_response_started(&mut self) {
        let now = self.core.clock.now();
        let first_byte_ms = now.saturating_sub(self.sent).as_secs_f64() * 1_000.0;
        self.first_byte_ms = first_byte_ms;
        let late_ms = (first_byte_ms - self.ticket.expected_with_queue_ms()).max(0.0);
        self.core.metrics.time(Timer::ServerQueue, Duration::from_secs_f64(late_ms / 1_000.0));
        let mut state = self.core.state.borrow_mut();
        let State { fleets, engines, .. } = &mut *state;
        if self.core.settings.policy.learned_engines && self.ticket.queued_ms <= 0.0 {
            let engine = engine_for(engines, &self.job);
            engine.record_first_byte(self.model_index, self.ticket.prefill_tokens, first_byte_ms);
        }
        if let Some(fleet) = fleets.get_mut(&self.job.service.name) {
            fleet.on_answer_started(&mut self.ticket, first_byte_ms, now);
        }
        if let Some(shares) = state.shares.get_mut(&self.job.service.name) {
            shares.record_answer(first_byte_ms);
        }
    }

    /// Records the load that the server reported with its response.
    pub fn record_load(&self, load: ServerLoad) {
        let now = self.core.clock.now();
        let mut state = self.core.state.borrow_mut();
        if let Some(fleet) = state.fleets.get_mut(&self.job.service.name) {
            fleet.on_load_reported(&self.ticket, load, now);
        }
    }

    /// Records the time per token of the stream, measured over a short time, in milliseconds.
    pub fn record_pace(&self, token_ms: f64) {
        let now = self.core.clock.now();
        let mut state = self.core.state.borrow_mut();
        if let Some(fleet) = state.fleets.get_mut(&self.job.service.name) {
            fleet.record_pace(&self.ticket, token_ms, now);
        }
    }

    /// Records that the whole answer was relayed; its token rate updates the engine estimate.
    pub fn on_completed(&self) {
        let tokens_out = self.job.prompt.tokens_out;
        let is_learning = self.core.settings.policy.learned_engines;
        if !is_learning || self.model.is_none() || tokens_out == 0 {
            return;
        }
        let generation_ms = self.elapsed().as_secs_f64() * 1_000.0 - self.first_byte_ms;
        let mut state = self.core.state.borrow_mut();
        let engine = engine_for(&mut state.engines, &self.job);
        engine.record_token_ms(self.model_index, generation_ms / f64::from(tokens_out));
    }

    /// Records a response, `failed` if the server failed; returns whether it trips a roll-out.
    pub fn on_response(&self, failed: bool) -> bool {
        let now = self.core.clock.now();
        let mut state = self.core.state.borrow_mut();
        if let Some(fleet) = state.fleets.get_mut(&self.job.service.name) {
            fleet.record_outcome(&self.ticket, failed, now);
        }
        drop(state);
        self.record_evidence(failed)
    }

    /// Records that no response started in time, a failure of the server and its version; returns
    /// whether it trips a roll-out.
    pub fn on_response_timeout(&self) -> bool {
        self.on_connection_broken();
        self.record_evidence(true)
    }

    /// Records that the answer was longer than allowed, a failure of the server's version; returns
    /// whether it trips a roll-out.
    pub fn on_answer_too_long(&self) -> bool {
        self.record_evidence(true)
    }

    /// Memory for requests and answers.
    pub fn buffers(&self) -> &BufferPool {
        &self.core.traffic_buffers
    }

    /// Service of the server.
    pub fn service(&self) -> &ServiceId {
        &self.job.service.name
    }

    /// Kind of the request in version evidence: its route and model.
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
        let evidence = Evidence {
            kind: &kind,
            server: &self.ticket.server,
            failed,
            is_cached: self.model.is_some(),
            slowness,
        };
        roll_out.record_answer(&self.version, &evidence, now)
    }

    /// Records a broken connection or a missing response; evidence about the server only.
    pub fn on_connection_broken(&self) {
        let now = self.core.clock.now();
        let mut state = self.core.state.borrow_mut();
        if let Some(fleet) = state.fleets.get_mut(&self.job.service.name) {
            fleet.record_outcome(&self.ticket, true, now);
        }
    }

    /// Records an answer that is none in the protocol, a failure of the server's version; returns
    /// whether it trips a roll-out. The server has not crashed, so the request is not to blame.
    pub fn on_invalid_answer(&self) -> bool {
        let now = self.core.clock.now();
        let mut state = self.core.state.borrow_mut();
        if let Some(fleet) = state.fleets.get_mut(&self.job.service.name) {
            fleet.on_invalid_answer(&self.ticket, now);
        }
        drop(state);
        self.record_evidence(true)
    }

    /// Whether the request may still be sent now that the connection is open.
    pub fn may_dispatch(&self) -> bool {
        let now = self.core.clock.now();
        let mut state = self.core.state.borrow_mut();
        let fleet = state.fleets.get_mut(&self.job.service.name);
        fleet.is_none_or(|fleet| fleet.may_send(&self.ticket, now))
    }

    /// Records that the server was unreachable; published to other entries if it is presumed cold.
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

    /// Records that the server rejected the request.
    pub fn on_rejected(&self) {
        self.mark_finished();
        let now = self.core.clock.now();
        let mut state = self.core.state.borrow_mut();
        if let Some(fleet) = state.fleets.get_mut(&self.job.service.name) {
            fleet.on_refused(&self.ticket, now);
        }
    }

    /// Whether the server is draining or no longer known, so that it may end as planned.
    pub fn may_be_leaving(&self) -> bool {
        let now = self.core.clock.now();
        let state = self.core.state.borrow();
        let fleet = state.fleets.get(&self.job.service.name);
        fleet.is_none_or(|fleet| fleet.may_be_leaving(&self.ticket, now))
    }

    /// Records that the server is draining; returns whether this is new.
    pub fn on_draining(&self) -> bool {
        let now = self.core.clock.now();
        let mut state = self.core.state.borrow_mut();
        let fleet = state.fleets.get_mut(&self.job.service.name);
        fleet.is_some_and(|fleet| fleet.on_draining_reported(&self.ticket, now))
    }

    /// Records the rate limit reported with a response; returns whether it changed.
    pub fn on_limit_reported(&self, reported: ReportedRateLimit) -> bool {
        let now = self.core.clock.now();
        let mut state = self.core.state.borrow_mut();
        let Some(fleet) = state.fleets.get_mut(&self.job.service.name) else { return false };
        let changes = fleet.on_rate_limit_reported(&self.ticket, reported, now);
        let limit_update = fleet.take_due_rate_limit(&self.ticket, now);
        drop(state);
        if let Some((life, limit)) = limit_update {
            let (fleet, server) = (self.job.service.name.to_string(), self.ticket.server.clone());
            self.core.publish_gossip(Gossip::Limited { fleet, server, life, limit });
        }
        changes
    }

    /// Records a backoff requested by the server; returns the time for which the server gets no
    /// requests.
    pub fn on_backoff_requested(&self, requested: Duration) -> Option<Duration> {
        let now = self.core.clock.now();
        let mut state = self.core.state.borrow_mut();
        let State { fleets, rng, .. } = &mut *state;
        let fleet = fleets.get_mut(&self.job.service.name)?;
        let until =
            fleet.on_backoff_requested(&self.ticket, requested, rng.random_range(0.0..1.0), now)?;
        Some(until.saturating_sub(now))
    }

    /// Records that another server has this address.
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
        // The state is borrowed only while a panic unwinds; another panic would end the process.
        let Ok(mut state) = self.core.state.try_borrow_mut() else { return };
        if let Some(session) = self.job.session {
            state.sessions.record(session, &self.version, now);
        }
        if let Some(fleet) = state.fleets.get_mut(&self.job.service.name) {
            fleet.on_finished(&self.ticket);
        }
        if let Some(admission) = state.admissions.get_mut(&self.job.service.name) {
            admission.record_completion(now);
        }
        drop(state);
        if !self.is_finished.get() {
            let probed = self.take_probed();
            self.core.record_ended_run(&self.job, self, probed, RunExtent::Partial);
        }
    }
}
