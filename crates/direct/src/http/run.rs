//! One request under way: where it may go, and its sends.

use std::{rc::Rc, time::Duration};

use http_body_util::Full;
use hyper::{
    HeaderMap, Request, Response, StatusCode,
    body::Incoming,
    header::{ACCEPT_ENCODING, CONTENT_ENCODING, HOST, HeaderName, HeaderValue},
};
use pondwalk_decide::direct::{
    ProbeDecision, QuarantineStatus, RESUMED_RANK, RouteModelIndex, ServerLoad, max_cold_wait,
    queue_rank,
};
use pondwalk_types::{ServerId, VersionId};
use tokio::time::sleep;

use crate::{
    core::Core,
    metrics::Counter,
    placement::Placement,
    quarantine::ProbeLease,
    request::{Job, is_key_valid},
    upstream::{self, Exchange, SendError},
};

/// Time that is kept for an answer's way back to the caller.
const WAY_BACK: Duration = Duration::from_millis(8);
/// Time between two looks at what has come of a probe.
const PROBE_LOOK: Duration = Duration::from_millis(25);
/// Pause for callers of a request while another one of its content runs as a probe: most runs have come
/// to an end by then.
const WHILE_PROBED: Duration = Duration::from_secs(1);

/// Counts a request as under way until it is dropped.
pub struct UnderWay {
    core: Rc<Core>,
}

impl UnderWay {
    /// Counts one more.
    pub fn enter(core: &Rc<Core>) -> Self {
        core.in_flight.set(core.in_flight.get() + 1);
        UnderWay { core: Rc::clone(core) }
    }
}

impl Drop for UnderWay {
    fn drop(&mut self) {
        self.core.in_flight.set(self.core.in_flight.get() - 1);
    }
}

/// One request under way.
pub struct Run {
    /// What the process believes.
    pub core: Rc<Core>,
    /// The request.
    pub job: Rc<Job>,
    /// Sends that reached a backend server.
    pub sends: u32,
    /// Servers that are not asked again.
    pub avoid: Vec<ServerId>,
    /// Model of the next send, among the route's.
    pub model: RouteModelIndex,
    /// Models whose answers were dropped, with their confidences.
    pub dropped: Vec<(RouteModelIndex, u8)>,
    /// Version whose server failed the request last.
    pub failed_version: Option<VersionId>,
    /// Whether any send may have run.
    pub may_have_run: bool,
    /// Whether it counts in its workspace's usage: some server has begun to run it.
    pub is_counted: bool,
    /// Place of the next send, where one was taken ahead.
    pub(super) reserved: Option<Placement>,
    /// Leave by which it runs as a probe, as long as no server has ended under it.
    pub probe: Option<Rc<ProbeLease>>,
    _under_way: UnderWay,
}

impl Run {
    /// A request that has just been read.
    pub fn new(core: &Rc<Core>, job: Job, under_way: UnderWay) -> Self {
        let now = core.clock.now();
        core.state.borrow_mut().budget(&job.service.name).record_request(now);
        Run {
            core: Rc::clone(core),
            job: Rc::new(job),
            sends: 0,
            avoid: Vec::new(),
            model: 0,
            dropped: Vec::new(),
            failed_version: None,
            may_have_run: false,
            is_counted: false,
            reserved: None,
            probe: None,
            _under_way: under_way,
        }
    }

    /// The run as the relay of its stream carries it on.
    pub fn carried_on(&self) -> Run {
        Run {
            core: Rc::clone(&self.core),
            job: Rc::clone(&self.job),
            sends: self.sends,
            avoid: self.avoid.clone(),
            model: self.model,
            dropped: Vec::new(),
            failed_version: self.failed_version.clone(),
            may_have_run: true,
            is_counted: self.is_counted,
            reserved: None,
            probe: self.probe.clone(),
            _under_way: UnderWay::enter(&self.core),
        }
    }

    /// A server has begun to run it. Whatever runs follow, it is one request of its workspace.
    pub fn note_begun(&mut self) {
        if std::mem::replace(&mut self.is_counted, true) {
            return;
        }
        if let Some(workspace) = &self.job.workspace {
            self.core.count_usage(&workspace.name);
        }
    }

    /// Whether it may be sent to a server now, by what is known of its content; asks for leave if one is
    /// needed. Tells until when it is held if not.
    ///
    /// NB: every send is looked at, not every try of the caller: a stream that goes on elsewhere, a
    /// larger model and a retry each reach one more server.
    pub async fn ask_to_run(&mut self) -> Result<(), Duration> {
        if self.probe.is_some() {
            return Ok(());
        }
        let refused = match self.core.quarantine_status(&self.job) {
            QuarantineStatus::Unrestricted => return Ok(()),
            QuarantineStatus::Quarantined { until } => return Err(until),
            QuarantineStatus::ProbeInProgress => ProbeDecision::InProgress,
            QuarantineStatus::ProbeAllowed => match self.core.request_probe(&self.job).await {
                Ok(lease) => {
                    self.probe = Some(Rc::new(lease));
                    return Ok(());
                }
                Err(refused) => refused,
            },
        };
        match refused {
            ProbeDecision::Refused { until } => Err(until),
            ProbeDecision::InProgress | ProbeDecision::Granted => self.wait_for_probe().await,
        }
    }

    /// Waits for what comes of a probe that runs elsewhere, for a part of the objective: if it comes to a
    /// good end, all that carry the same go on.
    async fn wait_for_probe(&self) -> Result<(), Duration> {
        let asked = self.core.clock.now();
        let until = (asked + max_cold_wait(self.job.route.objective)).min(self.job.deadline);
        while self.core.clock.now() < until {
            sleep(PROBE_LOOK).await;
            match self.core.quarantine_status(&self.job) {
                QuarantineStatus::Unrestricted => return Ok(()),
                QuarantineStatus::Quarantined { until } => return Err(until),
                QuarantineStatus::ProbeInProgress | QuarantineStatus::ProbeAllowed => {}
            }
        }
        Err(self.core.clock.now() + WHILE_PROBED)
    }

    /// Whether what is known of its content lets it be sent now, without asking anybody.
    fn is_not_held(&self) -> bool {
        self.probe.is_some()
            || self.core.quarantine_status(&self.job) == QuarantineStatus::Unrestricted
    }

    /// Sends the request to its place and waits for the head of the answer.
    pub async fn send(
        &mut self,
        placement: &Placement,
        until: Duration,
        last_event_id: Option<&str>,
    ) -> Result<Exchange, SendError> {
        if self.probe.is_some() {
            placement.mark_probe();
        }
        let request = self.outgoing(placement, last_event_id);
        let until = self.core.clock.instant(until);
        let connect = &self.core.connect;
        let sent = upstream::send(connect, placement.address, request, until, || {
            self.may_send() && self.is_not_held() && placement.may_dispatch()
        });
        let sent = sent.await;
        if matches!(sent, Err(SendError::Withheld)) {
            self.core.metrics.count(Counter::Withheld);
        }
        if !matches!(sent, Err(SendError::NotSent { .. } | SendError::Withheld)) {
            self.probe_has_reached(true);
            self.sends += 1;
            self.core.metrics.count(Counter::Sends);
            if self.sends > 1 {
                self.core.metrics.count(Counter::FurtherSends);
            }
        }
        if let Ok(exchange) = &sent {
            self.hear_notice(placement, &exchange.response);
        }
        sent
    }

    /// A server was reached by the probe that this is, if it is one, or says that it did not run it.
    pub fn probe_has_reached(&self, has_reached: bool) {
        if let Some(probe) = &self.probe {
            probe.set_reached(has_reached);
        }
    }

    /// Whether the request may still be sent: its key must be held by a state that is fresh.
    pub fn may_send(&self) -> bool {
        if self.job.key.is_none() {
            return true;
        }
        let state = self.core.state.borrow();
        let holds = state.catalog.as_ref().is_some_and(|catalog| is_key_valid(&self.job, catalog));
        holds && state.freshness.accepts_keys(self.core.clock.now())
    }

    /// Takes one more send out of the request's own limit and the shared budget.
    pub fn take_further_send(&self, spare: f64) -> bool {
        let now = self.core.clock.now();
        let service = &self.job.service.name;
        self.sends < self.job.route.max_attempts
            && self.core.state.borrow_mut().budget(service).try_take(now, spare)
    }

    /// Whether one more send could be taken.
    pub fn may_go_on(&self) -> bool {
        let now = self.core.clock.now();
        let job = &self.job;
        job.route.kind.may_repeat()
            && self.sends < job.route.max_attempts
            && self.core.state.borrow_mut().budget(&job.service.name).has_room(now, 0.0)
    }

    /// The request as the backend server gets it.
    fn outgoing(
        &self,
        placement: &Placement,
        last_event_id: Option<&str>,
    ) -> Request<Full<bytes::Bytes>> {
        let job = &self.job;
        let dialect = &self.core.dialect;
        let mut request = Request::new(Full::from(job.body.clone()));
        *request.method_mut() = job.method.clone();
        // NB: the target was parsed as part of a URI before.
        *request.uri_mut() = job.target.parse().unwrap_or_default();
        let headers = request.headers_mut();
        headers.clone_from(&job.headers);
        if !headers.contains_key(HOST) {
            put(headers, &HOST, &job.route.host);
        }
        let left = job.deadline.saturating_sub(self.core.clock.now()).saturating_sub(WAY_BACK);
        put(headers, &dialect.deadline_ms, &left.as_millis().max(1).to_string());
        put(headers, &dialect.expected_server, placement.server());
        if let Some(workspace) = &job.workspace {
            put(headers, &dialect.workspace, &workspace.name);
        }
        if let Some(model) = &placement.model {
            put(headers, &dialect.model, model);
            let resumed = last_event_id.is_some();
            let rank = if resumed { RESUMED_RANK } else { queue_rank(placement.expected_ms()) };
            if self.core.settings.policy.ranks {
                put(headers, &dialect.priority, &rank.to_string());
            }
        }
        if let Some(id) = last_event_id {
            put(headers, &dialect.last_event_id, id);
        }
        request
    }

    /// Whether the server says that it did not run the request.
    pub fn says_not_run(&self, response: &Response<Incoming>) -> bool {
        response.status() == StatusCode::MISDIRECTED_REQUEST
            || response.headers().contains_key(&self.core.dialect.not_run)
    }

    /// Whether the answer is the server's own, to this request.
    pub fn is_authentic(&self, response: &Response<Incoming>) -> bool {
        let (dialect, headers) = (&self.core.dialect, response.headers());
        let id = headers.get(&dialect.request_id);
        let its = id.is_some_and(|id| id.as_bytes() == self.job.id.as_bytes());
        its && headers.contains_key(&dialect.signature) && !self.is_encoded_unasked(headers)
    }

    /// Whether an answer is encoded in a way that its caller did not ask for, which is not what the server made.
    fn is_encoded_unasked(&self, headers: &HeaderMap) -> bool {
        let encoding = headers.get(CONTENT_ENCODING);
        let is_encoded = encoding.is_some_and(|encoding| encoding != "identity");
        is_encoded && !self.job.headers.contains_key(ACCEPT_ENCODING)
    }

    /// The model's own opinion of its answer, 0 to 100, if it tells one.
    pub fn confidence(&self, headers: &HeaderMap) -> Option<u8> {
        let text = headers.get(&self.core.dialect.confidence)?.to_str().ok()?;
        let confidence: f64 = text.trim().parse().ok()?;
        Some(confidence.clamp(0.0, 100.0) as u8)
    }

    /// The server's load, if it tells one that can be read.
    pub fn load(&self, headers: &HeaderMap) -> Option<ServerLoad> {
        let text = headers.get(&self.core.dialect.load)?.to_str().ok()?;
        // NB: a word that cannot be read is as none; the server is judged by its answers then.
        ServerLoad::try_from(text).ok()
    }

    /// Time since the request arrived, in milliseconds.
    pub fn after_ms(&self) -> u64 {
        self.core.clock.now().saturating_sub(self.job.arrived).as_millis() as u64
    }
}

/// Sets a header; a text that may not stand in one was checked where it came from.
fn put(headers: &mut HeaderMap, name: &HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}
