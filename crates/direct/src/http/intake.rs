//! Reads a request and checks it against the configuration in force.

use std::{cell::OnceCell, rc::Rc, time::Duration};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::{
    HeaderMap, Request, Uri,
    body::{Body, Incoming},
    header::{self, HeaderName},
    http::request::Parts,
};
use pondwalk_decide::direct::SessionKey;
use rand::Rng;
use tokio::time::{timeout, timeout_at};

use crate::{
    catalog::{Catalog, Route, Service, Workspace},
    core::{Core, ShutdownPhase},
    metrics::Timer,
    request::{Job, Prompt, Refusal, allowed_data_centres_of, strip_hop_by_hop_headers},
};

/// Longest time for which a request waits for the first configuration. An entry that starts hears it
/// within 50 ms of the first that has it; a caller that is sent back is served later, or, if it
/// tries but once more, often not at all.
const FIRST_STATE_WAIT: Duration = Duration::from_millis(250);
/// Time that a whole body may take.
const BODY_LIMIT: Duration = Duration::from_secs(5);

/// Reads and checks a request that arrived at `arrived`.
pub async fn read(
    core: &Core,
    request: Request<Incoming>,
    arrived: Duration,
) -> Result<Job, Refusal> {
    let (parts, body) = request.into_parts();
    wait_for_first_state(core).await;
    let checked = check(core, &parts, arrived)?;
    let body = read_body(body, checked.catalog.limits.max_body_bytes).await?;
    let job = into_job(core, parts, body, checked, arrived);
    let late_calls = core.settings.policy.late_calls;
    match core.shutdown.get() {
        // NB: streams last too variably to be foreseen; one that is cut is lost to its caller.
        ShutdownPhase::Closing { end } if job.deadline > end || !late_calls => {
            Err(Refusal::Closing)
        }
        _ => Ok(job),
    }
}

/// Waits for the first configuration of an entry that has just started and is about to hear it.
async fn wait_for_first_state(core: &Core) {
    let end = core.clock.instant(core.clock.now() + FIRST_STATE_WAIT);
    loop {
        let state_changed = core.state_changed.notified();
        let is_held = core.state.borrow().catalog.is_some();
        if is_held || core.outage().is_some() || timeout_at(end, state_changed).await.is_err() {
            return;
        }
    }
}

/// What the head of a request leads to.
struct Checked {
    catalog: Rc<Catalog>,
    id: String,
    route: Rc<Route>,
    service: Rc<Service>,
    workspace: Option<Rc<Workspace>>,
    key: Option<String>,
}

fn check(core: &Core, parts: &Parts, arrived: Duration) -> Result<Checked, Refusal> {
    let mut state = core.state.borrow_mut();
    let catalog = state.catalog.clone().ok_or(Refusal::NotConfigured)?;
    if let Some(age) = state.freshness.age(arrived) {
        core.metrics.time(Timer::ConfigurationAge, age);
    }
    let is_fresh = state.freshness.is_current(arrived);
    let id = text(&parts.headers, &core.dialect.request_id).ok_or(Refusal::Malformed)?;
    let host = host_of(&parts.uri, &parts.headers).ok_or(Refusal::Malformed)?;
    // NB: what is refused for good must not rest on an old configuration.
    let absent = if is_fresh { Refusal::NoRoute } else { Refusal::Stale };
    let route = catalog.route(&host, parts.uri.path()).cloned().ok_or(absent)?;
    let needs_key = catalog.requires_keys() && !route.anonymous;
    if needs_key && !state.freshness.accepts_keys(arrived) {
        return Err(Refusal::Stale);
    }
    let key = key_of(core, &parts.headers);
    let workspace = key.as_deref().and_then(|key| catalog.workspace_of(key)).cloned();
    if needs_key && workspace.is_none() {
        return Err(if is_fresh { Refusal::UnknownKey } else { Refusal::Stale });
    }
    let draw = state.rng.random_range(0.0..1.0);
    let service = pick_service(&catalog, &route, draw).ok_or(Refusal::NoServer)?;
    let key = if needs_key { key } else { None };
    let workspace = if needs_key { workspace } else { None };
    Ok(Checked { id: id.to_owned(), route, service, workspace, key, catalog })
}

/// A service by the weights of the route's shares; `draw` is from 0 to 1.
fn pick_service(catalog: &Catalog, route: &Route, draw: f64) -> Option<Rc<Service>> {
    let total: f64 = route.shares.iter().map(|share| share.weight).sum();
    let mut rest = draw * total;
    let drawn = route.shares.iter().find(|share| {
        rest -= share.weight;
        rest < 0.0
    });
    let share = drawn.or(route.shares.last())?;
    catalog.service(&share.service).cloned()
}

async fn read_body(body: Incoming, limit: usize) -> Result<Bytes, Refusal> {
    if body.size_hint().lower() > limit as u64 {
        return Err(Refusal::BodyTooLarge);
    }
    let reading = timeout(BODY_LIMIT, collect(body, limit));
    reading.await.map_err(|_| Refusal::BodyUnreadable)?
}

async fn collect(mut body: Incoming, limit: usize) -> Result<Bytes, Refusal> {
    let mut gathered = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Refusal::BodyUnreadable)?;
        let Ok(data) = frame.into_data() else { continue };
        if gathered.len() + data.len() > limit {
            return Err(Refusal::BodyTooLarge);
        }
        gathered.extend_from_slice(&data);
    }
    Ok(gathered.freeze())
}

fn into_job(
    core: &Core,
    mut parts: Parts,
    body: Bytes,
    checked: Checked,
    arrived: Duration,
) -> Job {
    let dialect = &core.dialect;
    let headers = &parts.headers;
    let prompt =
        Prompt::parse(text(headers, &dialect.prompt_parts), text(headers, &dialect.token_usage));
    let allowed = text(headers, &dialect.deadline_ms).and_then(|text| text.trim().parse().ok());
    let allowed = allowed.map_or(checked.route.timeout, Duration::from_millis);
    let deadline = arrived + allowed.min(checked.route.timeout);
    let chooses_model = !checked.route.models.is_empty()
        && text(headers, &dialect.model) == Some(dialect.any_model);
    let session = session_of(core, headers, &prompt);
    let last_event_id = text(headers, &dialect.last_event_id).map(str::to_owned);
    strip_hop_by_hop_headers(&mut parts.headers);
    for name in &dialect.reserved {
        parts.headers.remove(name);
    }
    if checked.key.is_some() {
        parts.headers.remove(header::AUTHORIZATION);
    }
    let allowed_data_centres = allowed_data_centres_of(
        &checked.route,
        checked.workspace.as_deref(),
        &core.settings.regions,
    );
    let target = parts.uri.path_and_query().map_or("/", |target| target.as_str()).to_owned();
    Job {
        id: checked.id,
        method: parts.method,
        target,
        headers: parts.headers,
        body,
        route: checked.route,
        service: checked.service,
        workspace: checked.workspace,
        key: checked.key,
        arrived,
        deadline,
        chooses_model,
        prompt,
        session,
        allowed_data_centres,
        last_event_id,
        catalog_version: checked.catalog.version,
        content_cell: OnceCell::new(),
    }
}

/// The conversation a request belongs to: the one it names, or else its own last prompt part.
fn session_of(core: &Core, headers: &HeaderMap, prompt: &Prompt) -> Option<SessionKey> {
    if let Some(name) = text(headers, &core.dialect.session) {
        return Some(pondwalk_decide::direct::session_key(name));
    }
    prompt.parts.last().map(|part| pondwalk_decide::direct::session_key(&part.id.to_string()))
}

fn key_of(core: &Core, headers: &HeaderMap) -> Option<String> {
    let value = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    let (scheme, key) = value.trim().split_once(' ')?;
    scheme.eq_ignore_ascii_case(core.dialect.key_scheme).then(|| key.trim().to_owned())
}

fn host_of(uri: &Uri, headers: &HeaderMap) -> Option<String> {
    let host = match uri.host() {
        Some(host) => host,
        None => headers.get(header::HOST)?.to_str().ok()?,
    };
    let host = host.split(':').next().unwrap_or_default();
    Some(host.to_ascii_lowercase())
}

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
