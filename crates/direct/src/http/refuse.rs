//! Answers of the entry's own.

use hyper::{
    Response,
    header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER},
};
use serde::Serialize;

use super::{body::AnswerBody, report::RequestEvent};
use crate::{core::Core, journal::Rank, metrics::Counter, request::Refusal};

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
    pub arrived: std::time::Duration,
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
    core.journal.note(Rank::Failure, &event);
}
