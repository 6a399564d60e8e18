//! State of a request in flight, and its sends to backend servers.

use std::{cell::Cell, rc::Rc, time::Duration};

use http_body_util::Full;
use hyper::{
    HeaderMap, Request, Response, StatusCode,
    body::Incoming,
    header::{ACCEPT_ENCODING, CONTENT_ENCODING, HOST, HeaderName, HeaderValue},
};
use pondwalk_decide::direct::{
    ProbeDecision, QuarantineCheck, QuarantineStatus, RESUMED_RANK, RouteModelIndex, ServerLoad,
    max_cold_wait, queue_rank,
};
use pondwalk_types::{ServerId, VersionId};
use tokio::time::sleep;

use super::further_send::FurtherSend;
use crate::{
    core::Core,
    metrics::Counter,
    placement::Placement,
    quarantine::ProbeLease,
    request::{Job, is_key_held},
    upstream::{self, Exchange, SendError, is_final_status},
};

/// Part of the deadline reserved for returning the response to the caller.
const RESPONSE_MARGIN: Duration = Duration::from_millis(8);
/// Interval at which the result of a probe is polled.
const PROBE_POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Retry delay for callers while a request with the same feature runs as a probe. Most runs finish
/// within it.
const PROBE_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Counts a request as in flight until it is dropped.
pub struct InFlightGuard {
    core: Rc<Core>,
}

impl InFlightGuard {
    /// Counts one more request.
    pub fn enter(core: &Rc<Core>) -> Self {
        core.in_flight.set(core.in_flight.get() + 1);
        InFlightGuard { core: Rc::clone(core) }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.core.in_flight.set(self.core.in_flight.get() - 1);
    }
}

/// A request in flight.
pub struct InFlightRequest {
    /// Shared state of the process.
    pub core: Rc<Core>,
    /// The request as read from the caller.
    pub job: Rc<Job>,
    /// Number of sends that reached a backend server.
    pub sends: u32,
    /// Servers that are not tried again.
    pub avoid: Vec<ServerId>,
    /// Model of the next send, as an index into the route's models.
    pub model: RouteModelIndex,
    /// Models whose responses were discarded, with their confidences.
    pub discarded: Vec<(RouteModelIndex, u8)>,
    /// Version of the server that last failed the request.
    pub failed_version: Option<VersionId>,
    /// Whether any send may have run.
    pub may_have_run: bool,
    /// Whether the latest send has begun, and no server has reported that it was not run.
    is_dispatched: Cell<bool>,
    /// Whether the latest send names the workspace.
    names_workspace: bool,
    /// Whether the request counts in its workspace's usage: a server has begun to run it.
    pub is_counted: bool,
    /// Placement of the next send, if reserved in advance.
    pub(super) reserved: Option<Placement>,
    /// The next send, if it is not the first. Each send but the first needs one.
    pub(super) further_send: Option<FurtherSend>,
    /// Lease for running as a probe, as long as no server has crashed during it.
    pub probe: Option<Rc<ProbeLease>>,
    _guard: InFlightGuard,
}

impl InFlightRequest {
    /// Creates the state of a request that has just been read.
    pub fn new(core: &Rc<Core>, job: Job, guard: InFlightGuard) -> Self {
        let now = core.clock.now();
        core.state.borrow_mut().budget(&job.service.name).record_request(now);
        InFlightRequest {
            core: Rc::clone(core),
            job: Rc::new(job),
            sends: 0,
            avoid: Vec::new(),
            model: 0,
            discarded: Vec::new(),
            failed_version: None,
            may_have_run: false,
            is_dispatched: Cell::new(false),
            names_workspace: false,
            is_counted: false,
            reserved: None,
            further_send: None,
            probe: None,
            _guard: guard,
        }
    }

    /// Copies the state for the relay of the response stream.
    pub fn clone_for_relay(&self) -> InFlightRequest {
        InFlightRequest {
            core: Rc::clone(&self.core),
            job: Rc::clone(&self.job),
            sends: self.sends,
            avoid: self.avoid.clone(),
            model: self.model,
            discarded: Vec::new(),
            failed_version: self.failed_version.clone(),
            may_have_run: true,
            is_dispatched: Cell::new(true),
            names_workspace: self.names_workspace,
            is_counted: self.is_counted,
            reserved: None,
            further_send: None,
            probe: self.probe.clone(),
            _guard: InFlightGuard::enter(&self.core),
        }
    }

    /// Records that a server has begun to run the request. However often it runs, it counts once in
    /// the usage of the workspace in whose name it runs.
    pub fn record_begun(&mut self) {
        if !self.names_workspace || std::mem::replace(&mut self.is_counted, true) {
            return;
        }
        if let Some(workspace) = &self.job.workspace {
            self.core.count_usage(&workspace.name);
        }
    }

    /// Checks that the request may be sent now, and requests a probe if one is needed; otherwise
    /// returns the time until which it is quarantined.
    ///
    /// This applies to every send, not only to each attempt of the caller: a resumed stream, a
    /// larger model and a retry each reach one more server.
    pub async fn check_quarantine(&mut self) -> Result<(), Duration> {
        if self.probe.is_some() {
            return Ok(());
        }
        let QuarantineCheck { status, suspects } = self.core.check_quarantine(&self.job);
        let decision = match status {
            QuarantineStatus::Unrestricted => return Ok(()),
            QuarantineStatus::Quarantined { until } => return Err(until),
            QuarantineStatus::ProbeInProgress => ProbeDecision::InProgress,
            QuarantineStatus::ProbeAllowed => {
                match self.core.request_probe(&self.job, suspects).await {
                    Ok(lease) => {
                        self.probe = Some(Rc::new(lease));
                        return Ok(());
                    }
                    Err(decision) => decision,
                }
            }
        };
        match decision {
            ProbeDecision::Refused { until } => Err(until),
            ProbeDecision::InProgress | ProbeDecision::Granted => self.wait_for_probe().await,
        }
    }

    /// Waits for the result of a probe that runs elsewhere, for part of the objective. If the probe
    /// succeeds, requests with the same feature continue.
    async fn wait_for_probe(&self) -> Result<(), Duration> {
        let started_at = self.core.clock.now();
        let until = (started_at + max_cold_wait(self.job.route.objective)).min(self.job.deadline);
        while self.core.clock.now() < until {
            sleep(PROBE_POLL_INTERVAL).await;
            match self.core.quarantine_status(&self.job) {
                QuarantineStatus::Unrestricted => return Ok(()),
                QuarantineStatus::Quarantined { until } => return Err(until),
                QuarantineStatus::ProbeInProgress | QuarantineStatus::ProbeAllowed => {}
            }
        }
        Err(self.core.clock.now() + PROBE_RETRY_DELAY)
    }

    /// Whether the local quarantine state lets the request be sent now.
    fn is_sendable(&self) -> bool {
        self.probe.is_some()
            || self.core.quarantine_status(&self.job) == QuarantineStatus::Unrestricted
    }

    /// Sends the request to its placement and waits for the response head until `until`. `extend`
    /// is called then, and may return a later time.
    pub async fn send(
        &mut self,
        placement: &Placement,
        until: Duration,
        mut extend: impl FnMut() -> Option<Duration>,
        last_event_id: Option<&str>,
    ) -> Result<Exchange, SendError> {
        if let Some(probe) = &self.probe {
            placement.mark_probe(probe.probed());
        }
        self.names_workspace = self.job.requires_key || self.is_key_in_force();
        let request = self.build_request(placement, last_event_id);
        let until = self.core.clock.instant(until);
        let connect = &self.core.connect;
        let further_send = Cell::new(self.further_send.take());
        let may_send = || {
            (!self.names_workspace || self.is_key_in_force())
                && self.is_sendable()
                && self.may_make(&further_send)
                && placement.may_dispatch()
                && self.mark_dispatched(&further_send)
        };
        let extend = || Some(self.core.clock.instant(extend()?));
        let limits = self.core.response_limits.clone();
        let sent =
            upstream::send(connect, placement.address, request, limits, until, may_send, extend);
        let sent = sent.await;
        self.further_send = further_send.into_inner();
        if matches!(sent, Err(SendError::Withheld)) {
            self.core.metrics.count(Counter::Withheld);
        }
        if !matches!(sent, Err(SendError::NotSent { .. } | SendError::Withheld)) {
            self.set_probe_reached(true);
            self.sends += 1;
            self.core.metrics.count(Counter::Sends);
            if self.sends > 1 {
                self.core.metrics.count(Counter::FurtherSends);
            }
        }
        if let Ok(exchange) = &sent {
            self.apply_signals(placement, &exchange.response);
        }
        sent
    }

    /// Records on the probe lease, if any, whether the probe has reached a server or was reported
    /// as not run.
    pub fn set_probe_reached(&self, has_reached: bool) {
        if let Some(probe) = &self.probe {
            probe.set_reached(has_reached);
        }
    }

    /// Whether the request may not be sent any more since its key is not in force.
    pub fn has_lost_key(&self) -> bool {
        self.job.requires_key && !self.is_key_in_force()
    }

    /// Whether the workspace holds the key that the request presents, in a fresh state.
    fn is_key_in_force(&self) -> bool {
        let state = self.core.state.borrow();
        let is_held = state.catalog.as_ref().is_some_and(|catalog| is_key_held(&self.job, catalog));
        is_held && state.freshness.accepts_keys(self.core.clock.now())
    }

    /// Takes one send from the request's own limit and from the shared budget, unless one that was
    /// taken before is still to be made.
    pub fn try_take_send(&mut self, spare: f64) -> bool {
        if self.further_send.is_none() && self.sends < self.job.route.max_attempts {
            self.further_send = FurtherSend::take(&self.core, &self.job.service.name, spare);
        }
        self.further_send.is_some()
    }

    /// Whether the budget does not cover a send that the request waits for any more.
    pub fn has_lost_send(&self) -> bool {
        self.sends > 0 && self.further_send.is_none()
    }

    /// Whether the budget allows the next send now.
    fn may_make(&self, further_send: &Cell<Option<FurtherSend>>) -> bool {
        if self.sends == 0 {
            return true;
        }
        let renewed = further_send.take().and_then(FurtherSend::renew);
        let may_make = renewed.is_some();
        further_send.set(renewed);
        may_make
    }

    /// Records that the request's first byte is sent next.
    fn mark_dispatched(&self, further_send: &Cell<Option<FurtherSend>>) -> bool {
        further_send.take().into_iter().for_each(FurtherSend::mark_made);
        self.set_dispatched(true);
        true
    }

    /// Records whether the latest send may be run by its server.
    pub fn set_dispatched(&self, is_dispatched: bool) {
        self.is_dispatched.set(is_dispatched);
    }

    /// Whether the latest send may be run by its server.
    pub fn is_dispatched(&self) -> bool {
        self.is_dispatched.get()
    }

    /// Whether one more send is available.
    pub fn can_send_again(&self) -> bool {
        let now = self.core.clock.now();
        let job = &self.job;
        job.route.kind.may_repeat()
            && self.sends < job.route.max_attempts
            && self.core.state.borrow_mut().budget(&job.service.name).has_room(now, 0.0)
    }

    /// Builds the request for the backend server.
    fn build_request(
        &self,
        placement: &Placement,
        last_event_id: Option<&str>,
    ) -> Request<Full<bytes::Bytes>> {
        let job = &self.job;
        let dialect = &self.core.dialect;
        let mut request = Request::new(Full::from(job.body.clone()));
        *request.method_mut() = job.method.clone();
        // The target was parsed as part of a URI before.
        *request.uri_mut() = job.target.parse().unwrap_or_default();
        let headers = request.headers_mut();
        headers.clone_from(&job.headers);
        if !headers.contains_key(HOST) {
            set_header(headers, &HOST, &job.route.host);
        }
        let remaining =
            job.deadline.saturating_sub(self.core.clock.now()).saturating_sub(RESPONSE_MARGIN);
        set_header(headers, &dialect.deadline_ms, &remaining.as_millis().max(1).to_string());
        set_header(headers, &dialect.expected_server, placement.server());
        if let Some(workspace) = job.workspace.as_ref().filter(|_| self.names_workspace) {
            set_header(headers, &dialect.workspace, &workspace.name);
        }
        if let Some(model) = &placement.model {
            set_header(headers, &dialect.model, model);
            let resumed = last_event_id.is_some();
            let rank = if resumed { RESUMED_RANK } else { queue_rank(placement.expected_ms()) };
            if self.core.settings.policy.ranks {
                set_header(headers, &dialect.priority, &rank.to_string());
            }
        }
        if let Some(id) = last_event_id {
            set_header(headers, &dialect.last_event_id, id);
        }
        request
    }

    /// Whether the server reports that it did not run the request.
    pub fn is_not_run(&self, response: &Response<Incoming>) -> bool {
        response.status() == StatusCode::MISDIRECTED_REQUEST
            || response.headers().contains_key(&self.core.dialect.not_run)
    }

    /// Whether the response comes from the server itself and belongs to this request.
    pub fn is_authentic(&self, response: &Response<Incoming>) -> bool {
        let (dialect, headers) = (&self.core.dialect, response.headers());
        let id = headers.get(&dialect.request_id);
        let is_own_id = id.is_some_and(|id| id.as_bytes() == self.job.id.as_bytes());
        is_own_id
            && is_final_status(response.status())
            && headers.contains_key(&dialect.signature)
            && !self.has_unrequested_encoding(headers)
    }

    /// Whether the response has a content encoding that the caller did not ask for, and so was
    /// altered on the way.
    fn has_unrequested_encoding(&self, headers: &HeaderMap) -> bool {
        let encoding = headers.get(CONTENT_ENCODING);
        let is_encoded = encoding.is_some_and(|encoding| encoding != "identity");
        is_encoded && !self.job.headers.contains_key(ACCEPT_ENCODING)
    }

    /// The model's confidence in its response, 0 to 100, if reported.
    pub fn reported_confidence(&self, headers: &HeaderMap) -> Option<u8> {
        let text = headers.get(&self.core.dialect.confidence)?.to_str().ok()?;
        let confidence: f64 = text.trim().parse().ok()?;
        Some(confidence.clamp(0.0, 100.0) as u8)
    }

    /// The server's load, if a valid one is reported.
    pub fn reported_load(&self, headers: &HeaderMap) -> Option<ServerLoad> {
        let text = headers.get(&self.core.dialect.load)?.to_str().ok()?;
        // An invalid value is ignored; the server is then rated by its responses.
        ServerLoad::try_from(text).ok()
    }

    /// Time since the request arrived, in milliseconds.
    pub fn after_ms(&self) -> u64 {
        self.core.clock.now().saturating_sub(self.job.arrived).as_millis() as u64
    }
}

/// Sets a header. Values that are not valid in a header were rejected where they came from.
fn set_header(headers: &mut HeaderMap, name: &HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}
