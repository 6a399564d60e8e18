//! Decides before the first send of a request whether its service can take it.

use std::{rc::Rc, time::Duration};

use pondwalk_decide::direct::{
    AdmissionRequest, Decision, LoadKey, Places, RouteModelIndex, ServiceState, VersionRule,
    WaitTicket, capacity_ms_per_s, name_key, retry_after,
};
use rand::Rng;
use tokio::time::sleep_until;

use super::{events::RequestEvent, in_flight::InFlightRequest};
use crate::{
    catalog::ServiceId,
    core::Core,
    event_log::LogPriority,
    forecasts::{engine_for, placement_request},
    metrics::Counter,
    request::{Job, Refusal},
    state::State,
};

/// Position of a route's smallest model, for which the cost of a request is estimated.
const SMALLEST_MODEL: RouteModelIndex = 0;
/// Utilization of an engine above which workspaces are held to their shares.
const CONTENDED_UTILIZATION: f64 = 0.9;
/// Interval at which a waiting request checks whether a place is free.
const WAIT_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// State of a request's service.
#[derive(Debug, Clone, Copy)]
struct Outlook {
    /// Forecast time to the start of the answer, in milliseconds.
    first_byte_ms: Option<f64>,
    /// Part of it that is due to the request itself, in milliseconds.
    own_ms: f64,
    utilization: Option<f64>,
    places: Option<Places>,
    open_servers: u32,
    /// Server time that the request would take, in milliseconds.
    offered_ms: f64,
}

/// A request that is not admitted, and why.
struct NotAdmitted {
    refusal: Refusal,
    reason: &'static str,
    retry_after: Duration,
}

/// A place in the queue, left on drop.
struct QueuePlace {
    core: Rc<Core>,
    service: ServiceId,
    ticket: WaitTicket,
}

impl Drop for QueuePlace {
    fn drop(&mut self) {
        let Ok(mut state) = self.core.state.try_borrow_mut() else { return };
        state.admission(&self.service).leave_queue(self.ticket);
    }
}

impl InFlightRequest {
    /// Decides whether the request may be sent, and waits for a place if one is due soon. Called
    /// before the first send.
    ///
    /// # Errors
    ///
    /// Returns the refusal of a request that is not admitted.
    pub(super) async fn wait_for_admission(&self) -> Result<(), Refusal> {
        let policy = &self.core.settings.policy;
        let is_enabled = policy.shared_load && (policy.admission || policy.fair_shares);
        // A request whose time is over is refused as such.
        if !is_enabled || self.core.clock.now() >= self.job.deadline {
            return Ok(());
        }
        if policy.fair_shares {
            match self.check_share() {
                Ok(ShareResult::WithinShare) => {}
                Ok(ShareResult::AdmittedByFloor) => return Ok(()),
                Err(not_admitted) => return Err(self.not_admitted(not_admitted)),
            }
        }
        if !policy.admission {
            return Ok(());
        }
        let decision = match self.decide(false) {
            Decision::WaitUntil(until) => {
                self.wait_for_place(until).await;
                self.decide(true)
            }
            decision => decision,
        };
        match decision {
            Decision::Refuse { retry_after, reason } => {
                self.core.metrics.count(Counter::AdmissionRefused);
                let refusal = Refusal::Overloaded { available_in: retry_after };
                Err(self.not_admitted(NotAdmitted { refusal, reason: reason.name(), retry_after }))
            }
            Decision::Admit | Decision::WaitUntil(_) => Ok(()),
        }
    }

    /// Counts the request in its workspace's demand, and checks that it is within the workspace's
    /// share if the service is contended.
    fn check_share(&self) -> Result<ShareResult, NotAdmitted> {
        let now = self.core.clock.now();
        let workspace = self.workspace_key();
        let mut state = self.core.state.borrow_mut();
        let service = &self.job.service.name;
        // The expected cost of a plain service's request is part of its shares.
        state.shares.entry(service.clone()).or_default();
        let outlook = outlook(&mut state, &self.job, now);
        let State { shares, admissions, rng, .. } = &mut *state;
        let shares = shares.entry(service.clone()).or_default();
        shares.record(workspace, outlook.offered_ms, now);
        shares.set_capacity(capacity_ms_per_s(outlook.capacity_units(&self.job)));
        let is_limited = outlook.is_contended(&self.job) && !self.is_resumed();
        if !is_limited || shares.admits(workspace, rng.random_range(0.0..1.0), now) {
            return Ok(ShareResult::WithinShare);
        }
        let admission = admissions.entry(service.clone()).or_default();
        if admission.takes_floor(self.job.priority()) {
            return Ok(ShareResult::AdmittedByFloor);
        }
        let excess = shares.excess_time(workspace, now);
        let retry_after = retry_after(excess, rng.random_range(0.0..1.0));
        self.core.metrics.count(Counter::SharesRefused);
        let refusal = Refusal::ShareExceeded { available_in: retry_after };
        Err(NotAdmitted { refusal, reason: "share_exceeded", retry_after })
    }

    fn decide(&self, has_waited: bool) -> Decision {
        let now = self.core.clock.now();
        let mut state = self.core.state.borrow_mut();
        let (request, service) = self.admission_inputs(&mut state, has_waited, now);
        let draw = state.rng.random_range(0.0..1.0);
        state.admission(&self.job.service.name).decide(request, service, draw, now)
    }

    fn admission_inputs(
        &self,
        state: &mut State,
        has_waited: bool,
        now: Duration,
    ) -> (AdmissionRequest, ServiceState) {
        let outlook = outlook(state, &self.job, now);
        let request = AdmissionRequest {
            priority: self.job.priority(),
            time_left: self.job.deadline.saturating_sub(now),
            objective: self.job.route.objective,
            own_ms: outlook.own_ms,
            has_run: self.may_have_run,
            is_resumed: self.is_resumed(),
            has_waited,
        };
        let service = ServiceState {
            first_byte_ms: outlook.first_byte_ms,
            places: outlook.places,
            completions_per_s: state.admission(&self.job.service.name).completions_per_s(now),
        };
        (request, service)
    }

    /// Waits until the request is the next one to get a place and a place is free, at most until
    /// `until`, or until a more urgent request displaces it.
    async fn wait_for_place(&self, until: Duration) {
        let Some(place) = self.join_queue() else { return };
        self.core.metrics.count(Counter::AdmissionWaited);
        while !self.is_wait_over(place.ticket, until) {
            let at = (self.core.clock.now() + WAIT_POLL_INTERVAL).min(until);
            sleep_until(self.core.clock.instant(at)).await;
        }
    }

    /// Whether a waiting request has a place now, was displaced or has waited long enough.
    fn is_wait_over(&self, ticket: WaitTicket, until: Duration) -> bool {
        let now = self.core.clock.now();
        let mut state = self.core.state.borrow_mut();
        let service = &self.job.service.name;
        let places = state.fleets.get(service).and_then(|fleet| fleet.places(now));
        let is_full = places.is_some_and(|places| places.taken >= places.total);
        let admission = state.admission(service);
        now >= until || !admission.is_waiting(ticket) || (admission.is_next(ticket) && !is_full)
    }

    fn join_queue(&self) -> Option<QueuePlace> {
        let now = self.core.clock.now();
        let mut state = self.core.state.borrow_mut();
        let (request, service) = self.admission_inputs(&mut state, false, now);
        let ticket = state.admission(&self.job.service.name).join_queue(request, service)?;
        let service = self.job.service.name.clone();
        Some(QueuePlace { core: Rc::clone(&self.core), service, ticket })
    }

    /// Logs a request that is not admitted.
    fn not_admitted(&self, not_admitted: NotAdmitted) -> Refusal {
        let now = self.core.clock.now();
        let workspace = self.workspace_key();
        let mut state = self.core.state.borrow_mut();
        let outlook = outlook(&mut state, &self.job, now);
        let shares = state.shares.get_mut(&self.job.service.name);
        let (demand, level) = shares.map_or((None, None), |shares| {
            (Some(shares.demand(workspace, now)), shares.level(now))
        });
        let event = RequestEvent::RequestNotAdmitted {
            request: &self.job.id,
            workspace: self.job.workspace.as_ref().map(|workspace| workspace.name.as_str()),
            priority: self.job.priority(),
            reason: not_admitted.reason,
            forecast_ms: outlook.first_byte_ms,
            utilization: outlook.utilization,
            places_taken: outlook.places.map(|places| places.taken),
            places: outlook.places.map(|places| places.total),
            demand,
            level,
            retry_after_ms: not_admitted.retry_after.as_millis() as u64,
        };
        self.core.event_log.record(LogPriority::Failure, &event);
        not_admitted.refusal
    }

    fn is_resumed(&self) -> bool {
        self.job.last_event_id.is_some()
    }

    /// Key of the workspace; requests without one share a key.
    fn workspace_key(&self) -> LoadKey {
        name_key(self.job.workspace.as_ref().map_or("", |workspace| &workspace.name))
    }
}

/// Result of the check of a request's share, if it is not refused.
enum ShareResult {
    /// The workspace is within its share, or shares have no effect now.
    WithinShare,
    /// The request is admitted whatever the load or the shares.
    AdmittedByFloor,
}

impl Outlook {
    /// Requests that can use server time at once: one per server of an engine, one per slot of a
    /// plain service.
    fn capacity_units(&self, job: &Job) -> u32 {
        match (&job.service.engine, self.places) {
            (Some(_), _) => self.open_servers,
            (None, places) => places.map_or(0, |places| places.total),
        }
    }

    /// Whether the service has so little left that workspaces are held to their shares.
    fn is_contended(&self, job: &Job) -> bool {
        let is_half_taken = self.places.is_some_and(|places| places.taken > places.total / 2);
        let is_utilized = self.utilization.is_some_and(|one| one > CONTENDED_UTILIZATION);
        is_half_taken && (job.service.engine.is_none() || is_utilized)
    }
}

/// What the entry knows about the service of a job, and what the job costs there with the smallest
/// model.
fn outlook(state: &mut State, job: &Job, now: Duration) -> Outlook {
    let State { fleets, engines, shares, .. } = state;
    let engine = engine_for(engines, job);
    let request = placement_request(engine, job, SMALLEST_MODEL, &[], VersionRule::Any);
    let fleet = fleets.get(&job.service.name);
    let forecast = fleet.and_then(|fleet| fleet.forecast(&request, now));
    let plain_request_ms = shares.get(&job.service.name).map_or(0.0, |one| one.plain_request_ms());
    let offered_ms = match job.service.engine {
        Some(_) => prompt_tokens(job) * request.prefill_ms_per_token + request.base_ms,
        None => plain_request_ms,
    };
    Outlook {
        first_byte_ms: forecast.as_ref().map(|forecast| forecast.first_byte_ms),
        own_ms: forecast.map_or(0.0, |forecast| forecast.prefill_ms) + request.base_ms,
        utilization: fleet.and_then(|fleet| fleet.utilization(now)),
        places: fleet.and_then(|fleet| fleet.places(now)),
        open_servers: fleet.map_or(0, |fleet| fleet.count_open(now) as u32),
        offered_ms,
    }
}

/// Tokens of a job's prompt, whether they are cached or not.
fn prompt_tokens(job: &Job) -> f64 {
    let tokens: u64 = job.prompt.parts.iter().map(|part| u64::from(part.tokens)).sum();
    tokens.max(u64::from(job.prompt.tokens_in)) as f64
}
