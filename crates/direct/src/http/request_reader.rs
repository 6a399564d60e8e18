//! Reads a request and checks it against the current configuration.

use std::{cell::OnceCell, rc::Rc, time::Duration};

use bytes::Bytes;
use hyper::{
    HeaderMap, Request, Uri,
    body::Incoming,
    header::{self, HeaderName},
    http::request::Parts,
};
use pondwalk_decide::direct::SessionKey;
use pondwalk_inbound::{Meter, PacedBody, ReadError, read_whole};
use rand::Rng;
use tokio::time::{timeout, timeout_at};

use crate::{
    catalog::{Catalog, Route, Service, Workspace},
    core::{Core, ShutdownPhase},
    credentials::{presented_key, strip_keys},
    metrics::Timer,
    request::{Job, Prompt, Refusal, allowed_data_centres_of, strip_hop_by_hop_headers},
};

/// Maximum wait of a request for the first configuration. A starting entry receives it within 50 ms
/// of the first entry that has it; a caller that is refused is served later, or never if it retries
/// only once.
const INITIAL_STATE_TIMEOUT: Duration = Duration::from_millis(250);
/// Timeout for reading a whole body.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// Part of a body that is read at any rate.
const FREE_BODY_BYTES: usize = 1024 * 1024;

/// Reads and checks a request that arrived at `arrived`.
pub async fn read_request(
    core: &Core,
    request: Request<Incoming>,
    meter: &Meter,
    arrived: Duration,
) -> Result<Job, Refusal> {
    let (parts, body) = request.into_parts();
    wait_for_initial_state(core).await;
    let checked = check(core, &parts, arrived)?;
    let body = read_body(core, body, meter, checked.catalog.limits.max_body_bytes).await?;
    let job = build_job(core, parts, body, checked, arrived);
    let late_calls = core.settings.policy.late_calls;
    match core.shutdown.get() {
        // The duration of a stream cannot be predicted, and its caller cannot recover one that is
        // cut.
        ShutdownPhase::Closing { end } if job.deadline > end || !late_calls => {
            Err(Refusal::Closing)
        }
        ShutdownPhase::Ending => Err(Refusal::Closing),
        _ => Ok(job),
    }
}

/// Waits for the first configuration of an entry that has just started.
async fn wait_for_initial_state(core: &Core) {
    let end = core.clock.instant(core.clock.now() + INITIAL_STATE_TIMEOUT);
    loop {
        let state_changed = core.state_changed.notified();
        if is_configuration_known(core)
            || core.outage().is_some()
            || timeout_at(end, state_changed).await.is_err()
        {
            return;
        }
    }
}

/// Whether there is a configuration, or one that can't be read.
fn is_configuration_known(core: &Core) -> bool {
    let state = core.state.borrow();
    state.catalog.is_some() || state.configuration.is_rejected()
}

/// What the head of a request resolves to.
struct CheckedHead {
    catalog: Rc<Catalog>,
    id: String,
    route: Rc<Route>,
    service: Rc<Service>,
    key: Option<String>,
    requires_key: bool,
    workspace: Option<Rc<Workspace>>,
}

fn check(core: &Core, parts: &Parts, arrived: Duration) -> Result<CheckedHead, Refusal> {
    let mut state = core.state.borrow_mut();
    let no_catalog = match state.configuration.is_rejected() {
        true => Refusal::ConfigurationUnreadable,
        false => Refusal::NotConfigured,
    };
    let catalog = state.catalog.clone().ok_or(no_catalog)?;
    if let Some(age) = state.freshness.configuration_age(arrived) {
        core.metrics.time(Timer::ConfigurationAge, age);
    }
    let is_fresh = state.freshness.is_current(arrived);
    let id = header_text(&parts.headers, &core.dialect.request_id).ok_or(Refusal::Malformed)?;
    let host = host_of(&parts.uri, &parts.headers).ok_or(Refusal::Malformed)?;
    // A permanent refusal must not be based on a configuration that is stale or was read in part.
    let unless_known = |permanent, is_read_in_part| match (is_fresh, is_read_in_part) {
        (false, _) => Refusal::Stale,
        (true, true) => Refusal::ConfigurationUnreadable,
        (true, false) => permanent,
    };
    let no_route = unless_known(Refusal::NoRoute, catalog.defects.lacks_routes);
    let route = catalog.route(&host, parts.uri.path()).cloned().ok_or(no_route)?;
    let requires_key = catalog.requires_keys() && !route.anonymous;
    if requires_key && !state.freshness.accepts_keys(arrived) {
        return Err(Refusal::Stale);
    }
    let key = presented_key(&parts.headers, core.dialect.key_scheme);
    let workspace = key.as_deref().and_then(|key| catalog.workspace_of(key)).cloned();
    // On any route, a request runs in the name of the workspace that holds its key.
    if key.as_deref().is_some_and(|key| catalog.is_withheld(key)) {
        return Err(Refusal::ConfigurationUnreadable);
    }
    if requires_key && workspace.is_none() {
        return Err(unless_known(Refusal::UnknownKey, catalog.defects.lacks_access));
    }
    if route.shares.is_empty() {
        return Err(Refusal::ConfigurationUnreadable);
    }
    let draw = state.rng.random_range(0.0..1.0);
    let service = pick_service(&catalog, &route, draw).ok_or(Refusal::NoServer)?;
    Ok(CheckedHead { id: id.to_owned(), route, service, key, requires_key, workspace, catalog })
}

/// Picks a service by the weights of the route's shares; `draw` is a random number from 0 to 1.
fn pick_service(catalog: &Catalog, route: &Route, draw: f64) -> Option<Rc<Service>> {
    let total: f64 = route.shares.iter().map(|share| share.weight).sum();
    let mut remaining = draw * total;
    let drawn = route.shares.iter().find(|share| {
        remaining -= share.weight;
        remaining < 0.0
    });
    let share = drawn.or(route.shares.last())?;
    catalog.service(&share.service).cloned()
}

async fn read_body(
    core: &Core,
    body: Incoming,
    meter: &Meter,
    max_bytes: usize,
) -> Result<Bytes, Refusal> {
    let body = PacedBody::new(body, FREE_BODY_BYTES, &core.pacer, meter);
    let reading = read_whole(body, max_bytes, &core.traffic_buffers, |_| {});
    let read = timeout(BODY_TIMEOUT, reading).await.map_err(|_| Refusal::BodyUnreadable)?;
    read.map_err(|error| match error {
        ReadError::TooLong { .. } => Refusal::BodyTooLarge,
        ReadError::PoolExhausted { .. } => Refusal::BuffersFull,
        ReadError::Broken(_) => Refusal::BodyUnreadable,
    })
}

fn build_job(
    core: &Core,
    mut parts: Parts,
    body: Bytes,
    checked: CheckedHead,
    arrived: Duration,
) -> Job {
    let dialect = &core.dialect;
    let headers = &parts.headers;
    let prompt = Prompt::parse(
        header_text(headers, &dialect.prompt_parts),
        header_text(headers, &dialect.token_usage),
    );
    let requested =
        header_text(headers, &dialect.deadline_ms).and_then(|text| text.trim().parse().ok());
    let requested = requested.map_or(checked.route.timeout, Duration::from_millis);
    let deadline = arrived + requested.min(checked.route.timeout);
    let chooses_model = !checked.route.models.is_empty()
        && header_text(headers, &dialect.model) == Some(dialect.any_model);
    let session = session_key_of(core, headers, &prompt);
    let last_event_id = header_text(headers, &dialect.last_event_id).map(str::to_owned);
    strip_hop_by_hop_headers(&mut parts.headers);
    for name in &dialect.reserved {
        parts.headers.remove(name);
    }
    strip_keys(&mut parts.headers, dialect.key_scheme, |text| checked.catalog.is_key(text));
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
        requires_key: checked.requires_key,
        arrived,
        deadline,
        chooses_model,
        prompt,
        session,
        allowed_data_centres,
        last_event_id,
        catalog_version: checked.catalog.version,
        features_cell: OnceCell::new(),
    }
}

/// Key of the session that a request belongs to: the session header, or else the last prompt part.
fn session_key_of(core: &Core, headers: &HeaderMap, prompt: &Prompt) -> Option<SessionKey> {
    if let Some(name) = header_text(headers, &core.dialect.session) {
        return Some(pondwalk_decide::direct::session_key(name));
    }
    prompt.parts.last().map(|part| pondwalk_decide::direct::session_key(&part.id.to_string()))
}

fn host_of(uri: &Uri, headers: &HeaderMap) -> Option<String> {
    let host = match uri.host() {
        Some(host) => host,
        None => headers.get(header::HOST)?.to_str().ok()?,
    };
    let host = host.split(':').next().unwrap_or_default();
    Some(host.to_ascii_lowercase())
}

fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
