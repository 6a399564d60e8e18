//! How long a request waits for the head of its response before it is sent elsewhere.

use std::{cell::Cell, rc::Rc, time::Duration};

use pondwalk_decide::direct::{RouteModelIndex, VersionRule};
use pondwalk_types::ServerId;

use super::in_flight::InFlightRequest;
use crate::{
    core::Core,
    forecasts::{engine_for, placement_request},
    placement::Placement,
    request::Job,
    state::State,
};

/// Part of the objective after which a repeatable request without a response head is tried
/// elsewhere.
const HEAD_TIMEOUT_SHARE: f64 = 0.55;
/// Minimum of that time for streams, whose prompts must be processed first.
const MIN_STREAM_HEAD_TIMEOUT: Duration = Duration::from_millis(1_100);
/// Minimum of that time as a multiple of the expected time.
const EXPECTED_TIME_FACTOR: f64 = 4.0;

/// Wait for a response head.
///
/// In overload all servers are equally busy, and a request that leaves loses its place in the queue
/// and costs one further send. So where the other entries' work is known, the request leaves only
/// if the forecast elsewhere is sooner, or if the server counts as silent.
pub struct HeadWait<'a> {
    core: Rc<Core>,
    job: Rc<Job>,
    placement: &'a Placement,
    /// Servers that the request must not use instead, including its own.
    avoid: Vec<ServerId>,
    model: RouteModelIndex,
    /// Time between two decisions.
    interval: Duration,
    until: Cell<Duration>,
}

impl<'a> HeadWait<'a> {
    /// Creates the wait of a request that is about to be sent to its placement.
    pub fn new(in_flight: &InFlightRequest, placement: &'a Placement) -> Self {
        let (core, job) = (Rc::clone(&in_flight.core), Rc::clone(&in_flight.job));
        let may_retry = job.route.kind.may_repeat() && in_flight.sends + 1 < job.route.max_attempts;
        let has_alternative = core.settings.policy.tries_elsewhere && placement.has_alternative;
        let interval = interval(&job, placement);
        let until = match may_retry && has_alternative {
            true => (core.clock.now() + interval).min(job.deadline),
            false => job.deadline,
        };
        let mut avoid = in_flight.avoid.clone();
        avoid.push(placement.server().clone());
        let (model, until) = (in_flight.model, Cell::new(until));
        HeadWait { core, job, placement, avoid, model, interval, until }
    }

    /// Until when the request waits, as far as decided.
    pub fn until(&self) -> Duration {
        self.until.get()
    }

    /// Extends the wait once it is over; `None` if the request is to be sent elsewhere or its
    /// deadline has passed.
    pub fn extend(&self) -> Option<Duration> {
        let now = self.core.clock.now();
        if now >= self.job.deadline || !self.is_better_here(now) {
            return None;
        }
        self.until.set((now + self.interval).min(self.job.deadline));
        Some(self.until.get())
    }

    /// Whether the response is expected here no later than from another server; `false` if the
    /// other entries' work is not known.
    fn is_better_here(&self, now: Duration) -> bool {
        let Some(wait) = self.placement.expected_wait() else { return false };
        if self.placement.elapsed() > wait.total.mul_f64(EXPECTED_TIME_FACTOR) {
            return false;
        }
        let mut state = self.core.state.borrow_mut();
        let State { fleets, engines, .. } = &mut *state;
        let engine = engine_for(engines, &self.job);
        let request =
            placement_request(engine, &self.job, self.model, &self.avoid, VersionRule::Any);
        let fleet = fleets.get(&self.job.service.name);
        let elsewhere = fleet.and_then(|fleet| fleet.forecast(&request, now));
        let remaining_ms = wait.remaining.as_secs_f64() * 1_000.0;
        elsewhere.is_none_or(|elsewhere| elsewhere.first_byte_ms >= remaining_ms)
    }
}

fn interval(job: &Job, placement: &Placement) -> Duration {
    let min_timeout =
        if job.route.kind.is_stream() { MIN_STREAM_HEAD_TIMEOUT } else { Duration::ZERO };
    let expected = Duration::from_secs_f64(placement.expected_ms() / 1_000.0);
    let timeout = job.route.objective.mul_f64(HEAD_TIMEOUT_SHARE);
    timeout.max(expected.mul_f64(EXPECTED_TIME_FACTOR)).max(min_timeout)
}
