//! Selects the servers that a send may use, by the versions on trial and the servers' availability.

use std::time::Duration;

use pondwalk_decide::direct::{
    Fleet, LoanRequest, NextAvailability, PermitRequest, Placeability, PlacementRequest,
    RouteModelIndex, SessionKey, VersionRule,
};
use pondwalk_types::ServerId;
use rand::{Rng, rngs::SmallRng};

use super::Placement;
use crate::{
    core::Core,
    forecasts::{engine_for, placement_request},
    request::Job,
    state::State,
};

/// Why a request can't be placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacementError {
    /// No server accepts new work.
    NoServer,
    /// All eligible servers are draining.
    AllDraining,
    /// All eligible servers are cold, at their rate limit, or in a requested backoff.
    Unavailable(NextAvailability),
}

/// Constraints of a request's next send.
#[derive(Debug, Clone, Copy)]
pub struct NextSend<'a> {
    /// Index of the model in the route's list.
    pub model: RouteModelIndex,
    /// Servers to exclude.
    pub avoid: &'a [ServerId],
    /// Version whose server failed the request before.
    pub failed: Option<&'a str>,
}

impl Placement {
    /// How certain it is that the request can be sent now, or why it can't.
    ///
    /// Checked before an existing answer is dropped in favour of another one.
    pub fn placeability(
        core: &Core,
        job: &Job,
        next: NextSend<'_>,
    ) -> Result<Placeability, PlacementError> {
        let now = core.clock.now();
        let mut state = core.state.borrow_mut();
        let placeability = |fleet: &mut Fleet, request: &PlacementRequest<'_>, _: &mut SmallRng| {
            fleet.placeability(request, now)
        };
        find_with_rule(&mut state, job, next, job.session, now, placeability)
    }

    /// The permit needed before the request can be sent, if it would go to a server with a rate
    /// limit.
    pub fn wanted_permit(core: &Core, job: &Job, next: NextSend<'_>) -> Option<PermitRequest> {
        let now = core.clock.now();
        let mut state = core.state.borrow_mut();
        if !state.fleets.get(&job.service.name)?.may_have_rate_limits() {
            return None;
        }
        let session = job.session.unwrap_or_else(|| state.rng.random());
        let wanted = |fleet: &mut Fleet, request: &PlacementRequest<'_>, rng: &mut SmallRng| {
            fleet.request_permit(request, now, rng)
        };
        find_with_rule(&mut state, job, next, Some(session), now, wanted).ok()
    }

    /// The cold server at which the request could be sent with a loan of another entry.
    pub fn wanted_loan(core: &Core, job: &Job, next: NextSend<'_>) -> Option<LoanRequest> {
        let now = core.clock.now();
        let mut state = core.state.borrow_mut();
        let session = job.session.unwrap_or_else(|| state.rng.random());
        let wanted = |fleet: &mut Fleet, request: &PlacementRequest<'_>, rng: &mut SmallRng| {
            fleet.request_loan(request, now, rng)
        };
        find_with_rule(&mut state, job, next, Some(session), now, wanted).ok()
    }

    /// Maximum number of permits that may arrive before `until` for a request that no server takes
    /// without one.
    pub fn permits_before(core: &Core, job: &Job, next: NextSend<'_>, until: Duration) -> usize {
        let now = core.clock.now();
        let mut state = core.state.borrow_mut();
        let permits = |fleet: &mut Fleet, request: &PlacementRequest<'_>, _: &mut SmallRng| {
            Some(fleet.permits_before(request, until, now))
        };
        find_with_rule(&mut state, job, next, job.session, now, permits).unwrap_or_default()
    }
}

/// Applies `find` under the version rule of the session; a request without a session may use any
/// version.
pub(super) fn find_with_rule<T>(
    state: &mut State,
    job: &Job,
    next: NextSend<'_>,
    session: Option<SessionKey>,
    now: Duration,
    mut find: impl FnMut(&mut Fleet, &PlacementRequest<'_>, &mut SmallRng) -> Option<T>,
) -> Result<T, PlacementError> {
    let State { fleets, roll_outs, sessions, engines, rng, .. } = state;
    let fleet = fleets.get_mut(&job.service.name).ok_or(PlacementError::NoServer)?;
    let pinned = job.session.and_then(|session| sessions.version(session, now));
    let roll_out = roll_outs.get(&job.service.name);
    let rule = match (roll_out, session) {
        (Some(roll_out), Some(session)) => roll_out.version_rule(session, pinned, next.failed, now),
        _ => VersionRule::Any,
    };
    let request = placement_request(engine_for(engines, job), job, next.model, next.avoid, rule);
    let target = roll_out.map(|roll_out| roll_out.target().as_str());
    find_with_fallback(fleet, &request, target, now, |fleet, request| find(fleet, request, rng))
}

/// Applies `find` under the rule; if the pinned version has no open server, under any version but
/// the one on trial.
///
/// Not if its servers are merely cold or backing off: a session that moved to another version
/// briefly would use two versions.
fn find_with_fallback<T>(
    fleet: &mut Fleet,
    request: &PlacementRequest<'_>,
    target: Option<&str>,
    now: Duration,
    mut find: impl FnMut(&mut Fleet, &PlacementRequest<'_>) -> Option<T>,
) -> Result<T, PlacementError> {
    if let Some(found) = find(fleet, request) {
        return Ok(found);
    }
    let reason = unavailability(fleet, request, now);
    let (VersionRule::Only(_), Some(target)) = (request.versions, target) else {
        return Err(reason);
    };
    if matches!(reason, PlacementError::Unavailable(_)) {
        return Err(reason);
    }
    let other = PlacementRequest { versions: VersionRule::Except(target), ..*request };
    find(fleet, &other).ok_or_else(|| match unavailability(fleet, &other, now) {
        PlacementError::NoServer => reason,
        other => other,
    })
}

/// Why no server is available now.
fn unavailability(fleet: &Fleet, request: &PlacementRequest<'_>, now: Duration) -> PlacementError {
    match fleet.next_availability(request, now) {
        Some(next) => PlacementError::Unavailable(next),
        None if fleet.has_draining(request, now) => PlacementError::AllDraining,
        None => PlacementError::NoServer,
    }
}
