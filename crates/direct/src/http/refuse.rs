//! Answers of the entry's own.

use std::time::Duration;

use hyper::{
    Response,
    header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER},
};
use pondwalk_decide::direct::{
    NextAvailability, QuarantineStatus, UnavailableReason, backoff_jitter,
};
use rand::Rng;
use serde::Serialize;

use super::{body::AnswerBody, report::RequestEvent, run::Run};
use crate::{
    core::Core,
    event_log::LogPriority,
    metrics::Counter,
    placement::{NextSend, Placement, PlacementError},
    request::Refusal,
};

/// Least time over part of which callers are spread who are told of the same opening. A server takes one
/// request at first after a pause, and all of its usual ones some answers later.
const LEAST_SPREAD_OVER: Duration = Duration::from_secs(1);
/// Body of a refusal.
#[derive(Debug, Serialize)]
struct RefusalBody {
    error: RefusalText,
    /// `false` only if nothing ran.
    ran: RanText,
}

#[derive(Debug, Serialize)]
struct RefusalText {
    code: &'static str,
    message: String,
}

#[derive(Debug, Serialize)]
#[serde(untagged)]
enum RanText {
    Known(bool),
    Unknown(&'static str),
}

/// What a refusal concerns, for the log.
#[derive(Debug, Clone, Copy)]
pub struct Refused<'a> {
    /// The caller's id, empty if there is none.
    pub request: &'a str,
    /// The route, if one was found.
    pub route: Option<&'a str>,
    /// When the request arrived.
    pub arrived: Duration,
    /// Backend servers that it was sent to.
    pub sends: u32,
}

/// Counts, logs and builds a refusal.
pub fn refuse(core: &Core, refused: &Refused<'_>, refusal: Refusal) -> Response<AnswerBody> {
    core.metrics.count(if refusal.may_have_run() { Counter::Failed } else { Counter::Refused });
    log(core, refused, refusal);
    let ran =
        if refusal.may_have_run() { RanText::Unknown("unknown") } else { RanText::Known(false) };
    let error = RefusalText { code: refusal.code(), message: refusal.to_string() };
    // NB: a body of texts always serializes.
    let body = serde_json::to_vec(&RefusalBody { error, ran }).unwrap_or_default();
    let mut response = Response::new(AnswerBody::whole(body));
    *response.status_mut() = refusal.status();
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(pause) = refusal.retry_after(core.outage())
        && let Ok(value) = HeaderValue::from_str(&format!("{:.3}", pause.as_secs_f64()))
    {
        headers.insert(RETRY_AFTER, value);
    }
    response
}

impl Run {
    /// Why a request is refused that is held until some time.
    pub(super) fn held(&self, until: Duration) -> Refusal {
        match self.may_have_run {
            true => Refusal::CrashedServers,
            false => self.core.crash_refusal(until),
        }
    }

    pub(super) fn no_server(&self, no_place: PlacementError) -> Refusal {
        match no_place {
            _ if self.may_have_run => Refusal::OutcomeUnknown,
            PlacementError::Unavailable(opening) => self.shut(opening),
            _ if !self.avoid.is_empty() => self.turned_away(),
            PlacementError::AllDraining => Refusal::AllDraining,
            PlacementError::NoServer if self.job.allowed_data_centres.is_some() => {
                Refusal::NoServerInAllowedRegions
            }
            PlacementError::NoServer => Refusal::NoServer,
        }
    }

    /// Why a request is refused that servers have turned away: what holds for its next try counts.
    pub(super) fn turned_away(&self) -> Refusal {
        let next = NextSend { model: self.model, avoid: &[], failed: None };
        match Placement::placeability(&self.core, &self.job, next) {
            Err(PlacementError::Unavailable(opening)) => self.shut(opening),
            Err(PlacementError::AllDraining) => Refusal::AllDraining,
            Ok(_) | Err(PlacementError::NoServer) => Refusal::TurnedAway,
        }
    }

    fn shut(&self, NextAvailability { at, reason: shut }: NextAvailability) -> Refusal {
        let available_in = at.saturating_sub(self.core.clock.now());
        match shut {
            UnavailableReason::Cold => Refusal::AllCold { available_in },
            UnavailableReason::Backoff => {
                Refusal::AllBackingOff { available_in: self.spread(available_in) }
            }
            UnavailableReason::Limited => {
                Refusal::AllLimited { available_in: self.spread(available_in) }
            }
        }
    }

    /// When callers that hear of the same opening come back, one a little later than another.
    fn spread(&self, available_in: Duration) -> Duration {
        let drawn = self.core.state.borrow_mut().rng.random_range(0.0..1.0);
        available_in + backoff_jitter(available_in.max(LEAST_SPREAD_OVER), drawn)
    }

    pub(super) fn refuse(&self, refusal: Refusal) -> Response<AnswerBody> {
        // NB: a promise that nothing ran must be true whatever led here.
        let refusal = if self.may_have_run && !refusal.may_have_run() {
            Refusal::OutcomeUnknown
        } else {
            refusal
        };
        let is_held = || self.core.quarantine_status(&self.job) != QuarantineStatus::Unrestricted;
        let refusal = match refusal {
            Refusal::OutcomeUnknown if is_held() => Refusal::CrashedServers,
            refusal => refusal,
        };
        let route = Some(self.job.route.name.as_str());
        let (request, arrived) = (self.job.id.as_str(), self.job.arrived);
        refuse(&self.core, &Refused { request, route, arrived, sends: self.sends }, refusal)
    }
}

fn log(core: &Core, refused: &Refused<'_>, refusal: Refusal) {
    let now = core.clock.now();
    let state = core.state.borrow();
    let age = state.freshness.age(now);
    let event = RequestEvent::RequestRefused {
        request: refused.request,
        route: refused.route,
        code: refusal.code(),
        status: refusal.status().as_u16(),
        may_have_run: refusal.may_have_run(),
        configuration: state.catalog.as_ref().map_or(0, |catalog| catalog.version),
        freshness_ms: age.map(|age| age.as_millis() as u64),
        after_ms: now.saturating_sub(refused.arrived).as_millis() as u64,
        sends: refused.sends,
    };
    core.event_log.record(LogPriority::Failure, &event);
}
