//! Responses that the entry generates itself.

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

use super::{body::ResponseBody, events::RequestEvent, in_flight::InFlightRequest};
use crate::{
    core::Core,
    event_log::LogPriority,
    metrics::Counter,
    placement::{NextSend, Placement, PlacementError},
    request::Refusal,
};

/// Minimum interval over part of which the retries of refused callers are spread. After a backoff a
/// server takes a single request first, and its normal load only some responses later.
const MIN_SPREAD: Duration = Duration::from_secs(1);
/// Body of a refusal.
#[derive(Debug, Serialize)]
struct RefusalBody {
    error: RefusalError,
    /// `false` only if the request certainly did not run.
    ran: RanValue,
}

#[derive(Debug, Serialize)]
struct RefusalError {
    code: &'static str,
    message: String,
}

#[derive(Debug, Serialize)]
#[serde(untagged)]
enum RanValue {
    Known(bool),
    Unknown(&'static str),
}

/// The request that a refusal concerns, for the log.
#[derive(Debug, Clone, Copy)]
pub struct RefusedRequest<'a> {
    /// The caller's request id, or empty.
    pub request: &'a str,
    /// The route, if one was found.
    pub route: Option<&'a str>,
    /// When the request arrived.
    pub arrived: Duration,
    /// Number of sends to backend servers.
    pub sends: u32,
}

/// Counts, logs and builds a refusal.
pub fn refuse(
    core: &Core,
    refused: &RefusedRequest<'_>,
    refusal: Refusal,
) -> Response<ResponseBody> {
    core.metrics.count(if refusal.may_have_run() { Counter::Failed } else { Counter::Refused });
    log_refusal(core, refused, refusal);
    let ran =
        if refusal.may_have_run() { RanValue::Unknown("unknown") } else { RanValue::Known(false) };
    let error = RefusalError { code: refusal.code(), message: refusal.to_string() };
    // A struct of strings always serializes.
    let body = serde_json::to_vec(&RefusalBody { error, ran }).unwrap_or_default();
    let mut response = Response::new(ResponseBody::whole(body));
    *response.status_mut() = refusal.status();
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(retry_after) = refusal.retry_after(core.outage())
        && let Ok(value) = HeaderValue::from_str(&format!("{:.3}", retry_after.as_secs_f64()))
    {
        headers.insert(RETRY_AFTER, value);
    }
    response
}

impl InFlightRequest {
    /// Refusal of a request that is quarantined until `until`.
    pub(super) fn quarantine_refusal(&self, until: Duration) -> Refusal {
        match self.may_have_run {
            true => Refusal::CrashedServers,
            false => self.core.crash_refusal(until),
        }
    }

    pub(super) fn placement_refusal(&self, error: PlacementError) -> Refusal {
        match error {
            _ if self.may_have_run => Refusal::OutcomeUnknown,
            PlacementError::Unavailable(availability) => self.unavailable_refusal(availability),
            _ if !self.avoid.is_empty() => self.rejection_refusal(),
            PlacementError::AllDraining => Refusal::AllDraining,
            PlacementError::NoServer if self.job.allowed_data_centres.is_some() => {
                Refusal::NoServerInAllowedRegions
            }
            PlacementError::NoServer => Refusal::NoServer,
        }
    }

    /// Refusal of a request that all servers rejected. It describes the prospects of the caller's
    /// next attempt.
    pub(super) fn rejection_refusal(&self) -> Refusal {
        let next = NextSend { model: self.model, avoid: &[], failed: None };
        match Placement::placeability(&self.core, &self.job, next) {
            Err(PlacementError::Unavailable(availability)) => {
                self.unavailable_refusal(availability)
            }
            Err(PlacementError::AllDraining) => Refusal::AllDraining,
            Ok(_) | Err(PlacementError::NoServer) => Refusal::TurnedAway,
        }
    }

    fn unavailable_refusal(&self, NextAvailability { at, reason }: NextAvailability) -> Refusal {
        let available_in = at.saturating_sub(self.core.clock.now());
        match reason {
            UnavailableReason::Cold | UnavailableReason::ColdBorrowable => {
                Refusal::AllCold { available_in }
            }
            UnavailableReason::Backoff => {
                Refusal::AllBackingOff { available_in: self.stagger(available_in) }
            }
            UnavailableReason::Limited => {
                Refusal::AllLimited { available_in: self.stagger(available_in) }
            }
        }
    }

    /// Adds a random delay, so that callers refused for the same reason do not return at the same
    /// moment.
    fn stagger(&self, available_in: Duration) -> Duration {
        let draw = self.core.state.borrow_mut().rng.random_range(0.0..1.0);
        available_in + backoff_jitter(available_in.max(MIN_SPREAD), draw)
    }

    pub(super) fn refuse(&self, refusal: Refusal) -> Response<ResponseBody> {
        // A refusal that promises that nothing ran must be true in every case.
        let refusal = if self.may_have_run && !refusal.may_have_run() {
            Refusal::OutcomeUnknown
        } else {
            refusal
        };
        let is_quarantined =
            || self.core.quarantine_status(&self.job) != QuarantineStatus::Unrestricted;
        let refusal = match refusal {
            Refusal::OutcomeUnknown if is_quarantined() => Refusal::CrashedServers,
            refusal => refusal,
        };
        let route = Some(self.job.route.name.as_str());
        let (request, arrived) = (self.job.id.as_str(), self.job.arrived);
        refuse(&self.core, &RefusedRequest { request, route, arrived, sends: self.sends }, refusal)
    }
}

fn log_refusal(core: &Core, refused: &RefusedRequest<'_>, refusal: Refusal) {
    let now = core.clock.now();
    let state = core.state.borrow();
    let age = state.freshness.configuration_age(now);
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
