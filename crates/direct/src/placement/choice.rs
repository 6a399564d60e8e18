//! Which servers a send may go to, by versions on trial and what the servers can take now.

use std::time::Duration;

use pondwalk_decide::direct::{
    Fleet, NextAvailability, PermitRequest, Placeability, PlacementRequest, RouteModelIndex,
    SessionKey, VersionRule,
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

/// Why there is no place for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacementError {
    /// No server takes new work.
    NoServer,
    /// All that could take it leave.
    AllDraining,
    /// Those that do are cold or name a rate limit and have taken what they may for now, or asked for a pause.
    Unavailable(NextAvailability),
}

/// What the next send of a request asks for.
#[derive(Debug, Clone, Copy)]
pub struct NextSend<'a> {
    /// Its model, among those of the route.
    pub model: RouteModelIndex,
    /// Servers that are not asked again.
    pub avoid: &'a [ServerId],
    /// The version whose server failed the request before.
    pub failed: Option<&'a str>,
}

impl Placement {
    /// How surely a request could be sent now, and if it could not, why.
    ///
    /// NB: it is asked before an answer that was made is dropped for another one.
    pub fn certainty(
        core: &Core,
        job: &Job,
        next: NextSend<'_>,
    ) -> Result<Placeability, PlacementError> {
        let now = core.clock.now();
        let mut state = core.state.borrow_mut();
        let certainty = |fleet: &mut Fleet, ask: &PlacementRequest<'_>, _: &mut SmallRng| {
            fleet.placeability(ask, now)
        };
        find_with_rule(&mut state, job, next, job.session, now, certainty)
    }

    /// The permit that a request needs first where it would go to a server that names a rate limit.
    pub fn wanted_permit(core: &Core, job: &Job, next: NextSend<'_>) -> Option<PermitRequest> {
        let now = core.clock.now();
        let mut state = core.state.borrow_mut();
        if !state.fleets.get(&job.service.name)?.may_have_rate_limits() {
            return None;
        }
        let session = job.session.unwrap_or_else(|| state.rng.random());
        let wanted = |fleet: &mut Fleet, ask: &PlacementRequest<'_>, rng: &mut SmallRng| {
            fleet.request_permit(ask, now, rng)
        };
        find_with_rule(&mut state, job, next, Some(session), now, wanted).ok()
    }

    /// Permits that may come before `until` for a request that no server takes without one, at most.
    pub fn permits_before(core: &Core, job: &Job, next: NextSend<'_>, until: Duration) -> usize {
        let now = core.clock.now();
        let mut state = core.state.borrow_mut();
        let permits = |fleet: &mut Fleet, ask: &PlacementRequest<'_>, _: &mut SmallRng| {
            Some(fleet.permits_before(ask, until, now))
        };
        find_with_rule(&mut state, job, next, job.session, now, permits).unwrap_or_default()
    }
}

/// Finds something for a send by the rule of its session's version; a request without a session may go to any.
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
    let ask = placement_request(engine_for(engines, job), job, next.model, next.avoid, rule);
    let target = roll_out.map(|one| one.target().as_str());
    find_with_fallback(fleet, &ask, target, now, |fleet, ask| find(fleet, ask, rng))
}

/// Finds something by the rule; where a version has no server open, at any other than the one on trial.
///
/// NB: not where its servers are merely cold or pause. A session that went to another version for a moment
/// would be on two of them.
fn find_with_fallback<T>(
    fleet: &mut Fleet,
    ask: &PlacementRequest<'_>,
    target: Option<&str>,
    now: Duration,
    mut find: impl FnMut(&mut Fleet, &PlacementRequest<'_>) -> Option<T>,
) -> Result<T, PlacementError> {
    if let Some(found) = find(fleet, ask) {
        return Ok(found);
    }
    let reason = unavailability(fleet, ask, now);
    let (VersionRule::Only(_), Some(target)) = (ask.versions, target) else {
        return Err(reason);
    };
    if matches!(reason, PlacementError::Unavailable(_)) {
        return Err(reason);
    }
    let other = PlacementRequest { versions: VersionRule::Except(target), ..*ask };
    find(fleet, &other).ok_or_else(|| match unavailability(fleet, &other, now) {
        PlacementError::NoServer => reason,
        other => other,
    })
}

/// Why no server may take a request now.
fn unavailability(fleet: &Fleet, ask: &PlacementRequest<'_>, now: Duration) -> PlacementError {
    match fleet.next_availability(ask, now) {
        Some(opening) => PlacementError::Unavailable(opening),
        None if fleet.has_draining(ask, now) => PlacementError::AllDraining,
        None => PlacementError::NoServer,
    }
}
