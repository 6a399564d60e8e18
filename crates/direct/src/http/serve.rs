//! Carries one request from its arrival to the head of its answer.

use std::{rc::Rc, time::Duration};

use http_body_util::{BodyExt, Full};
use hyper::{
    HeaderMap, Request, Response, StatusCode,
    body::Incoming,
    header::{HOST, HeaderName, HeaderValue},
    http::response::Parts,
};
use pondwalk_decide::direct::ModelNumber;
use pondwalk_types::{ServerId, VersionId};
use tokio::time::timeout_at;

use super::{
    body::AnswerBody,
    intake,
    refuse::{Refused, refuse},
    relay,
    report::RequestEvent,
};
use crate::{
    core::Core,
    journal::Rank,
    metrics::{Counter, Timer},
    placement::Placement,
    request::{Job, Refusal, key_still_holds, strip_connection_headers},
    upstream::{self, Exchange, SendError},
};

/// Part of the objective after which a repeatable request without an answer's beginning is
/// tried elsewhere.
const PATIENCE_PART: f64 = 0.55;
/// Shortest such time for streams, whose prompts must be read first.
const STREAM_PATIENCE: Duration = Duration::from_millis(1_100);
/// How many times the expected time may pass before that.
const PATIENCE_FACTOR: f64 = 4.0;
/// Share of the budget of further sends that escalations leave to retries.
const RETRY_RESERVE: f64 = 0.15;
/// How much more an answer of the smallest model that begins late tells of strain than one of the
/// largest: it reads faster, so what it waited for was others' work.
const SMALL_MODEL_STRAIN: f64 = 2.2;
/// Time that is kept for an answer's way back to the caller.
const WAY_BACK: Duration = Duration::from_millis(8);

/// Counts a request as under way until it is dropped.
pub struct UnderWay {
    core: Rc<Core>,
}

impl UnderWay {
    fn enter(core: &Rc<Core>) -> Self {
        core.under_way.set(core.under_way.get() + 1);
        UnderWay { core: Rc::clone(core) }
    }
}

impl Drop for UnderWay {
    fn drop(&mut self) {
        self.core.under_way.set(self.core.under_way.get() - 1);
    }
}

/// Answers one request.
pub async fn serve(core: &Rc<Core>, request: Request<Incoming>) -> Response<AnswerBody> {
    let arrived = core.clock.now();
    let under_way = UnderWay::enter(core);
    let id = request.headers().get(&core.dialect.request_id).cloned();
    match intake::read(core, request, arrived).await {
        Ok(job) => Run::new(core, job, under_way).answer().await,
        Err(refusal) => {
            let request = id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or_default();
            refuse(core, &Refused { request, route: None, arrived, sends: 0 }, refusal)
        }
    }
}

/// What an attempt led to.
enum Verdict {
    /// This is the answer.
    Pass(Response<AnswerBody>),
    /// Another attempt may be made.
    Next,
    /// There is no answer.
    Refuse(Refusal),
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
    pub model: ModelNumber,
    /// Model and confidence of the answer that was dropped last.
    dropped: Option<(ModelNumber, u8)>,
    /// Version whose server failed the request last.
    failed_version: Option<VersionId>,
    may_have_run: bool,
    _under_way: UnderWay,
}

impl Run {
    fn new(core: &Rc<Core>, job: Job, under_way: UnderWay) -> Self {
        let now = core.clock.now();
        core.state.borrow_mut().budget(&job.service.name).note_request(now);
        Run {
            core: Rc::clone(core),
            job: Rc::new(job),
            sends: 0,
            avoid: Vec::new(),
            model: 0,
            dropped: None,
            failed_version: None,
            may_have_run: false,
            _under_way: under_way,
        }
    }

    async fn answer(mut self) -> Response<AnswerBody> {
        loop {
            if self.core.clock.now() >= self.job.give_up {
                let refusal =
                    if self.may_have_run { Refusal::TimedOut } else { Refusal::ExpiredUnsent };
                return self.refuse(refusal);
            }
            let found = self.find_place();
            let Some(placement) = found else { return self.refuse(self.no_server()) };
            match self.attempt(placement).await {
                Verdict::Pass(response) => return response,
                Verdict::Next => {}
                Verdict::Refuse(refusal) => return self.refuse(refusal),
            }
        }
    }

    fn no_server(&self) -> Refusal {
        match (self.may_have_run, self.avoid.is_empty()) {
            (true, _) => Refusal::OutcomeUnknown,
            (false, true) => Refusal::NoServer,
            (false, false) => Refusal::TurnedAway,
        }
    }

    fn refuse(&self, refusal: Refusal) -> Response<AnswerBody> {
        // NB: a promise that nothing ran must be true whatever led here.
        let refusal = if self.may_have_run && !refusal.may_have_run() {
            Refusal::OutcomeUnknown
        } else {
            refusal
        };
        let route = Some(self.job.route.name.as_str());
        let (request, arrived) = (self.job.id.as_str(), self.job.arrived);
        refuse(&self.core, &Refused { request, route, arrived, sends: self.sends }, refusal)
    }

    /// A place for the next send.
    pub fn find_place(&self) -> Option<Placement> {
        let failed = self.failed_version.as_deref();
        Placement::find(&self.core, &self.job, self.model, &self.avoid, failed)
    }

    async fn attempt(&mut self, placement: Placement) -> Verdict {
        let until = self.patience(&placement);
        let job = Rc::clone(&self.job);
        match self.send(&placement, until, job.last_event_id.as_deref()).await {
            Ok(exchange) => self.judge(exchange, placement).await,
            Err(SendError::NotSent(detail)) => {
                placement.refused();
                self.note_failed(&placement, "not_sent", detail);
                self.avoid.push(placement.server().clone());
                if self.may_send() { Verdict::Next } else { Verdict::Refuse(Refusal::Stale) }
            }
            Err(SendError::Broken(detail)) => self.after_loss(&placement, "broken", detail),
            Err(SendError::NoHead) if until >= self.job.give_up => {
                placement.broke();
                self.may_have_run = true;
                self.note_failed(&placement, "no_answer", String::new());
                Verdict::Refuse(Refusal::TimedOut)
            }
            Err(SendError::NoHead) => {
                if placement.was_silent() {
                    self.note_tripped(&placement);
                }
                self.after_loss(&placement, "silent", String::new())
            }
        }
    }

    /// Sends the request to its place and waits for the head of the answer.
    pub async fn send(
        &mut self,
        placement: &Placement,
        until: Duration,
        last_event_id: Option<&str>,
    ) -> Result<Exchange, SendError> {
        let request = self.outgoing(placement, last_event_id);
        let until = self.core.clock.instant(until);
        let connect = &self.core.connect;
        let sent = upstream::send(connect, placement.address, request, until, || self.may_send());
        let sent = sent.await;
        if !matches!(sent, Err(SendError::NotSent(_))) {
            self.sends += 1;
            self.core.metrics.count(Counter::Sends);
            if self.sends > 1 {
                self.core.metrics.count(Counter::FurtherSends);
            }
        }
        sent
    }

    /// Whether the request may still be sent: its key must be held by a state that is fresh.
    fn may_send(&self) -> bool {
        if self.job.key.is_none() {
            return true;
        }
        let state = self.core.state.borrow();
        let holds =
            state.catalog.as_ref().is_some_and(|catalog| key_still_holds(&self.job, catalog));
        holds && state.freshness.holds(self.core.clock.now())
    }

    /// When the wait for the head of an answer ends.
    fn patience(&self, placement: &Placement) -> Duration {
        let job = &self.job;
        let may_go_on = job.route.kind.may_repeat() && self.sends + 1 < job.route.max_attempts;
        if !may_go_on || !placement.has_alternative {
            return job.give_up;
        }
        let least = if job.route.kind.is_stream() { STREAM_PATIENCE } else { Duration::ZERO };
        let expected = Duration::from_secs_f64(placement.expected_ms() / 1_000.0);
        let patience = job.route.objective.mul_f64(PATIENCE_PART);
        let patience = patience.max(expected.mul_f64(PATIENCE_FACTOR)).max(least);
        (self.core.clock.now() + patience).min(job.give_up)
    }

    /// The request may have run, and no answer can be passed on.
    fn after_loss(
        &mut self,
        placement: &Placement,
        outcome: &'static str,
        detail: String,
    ) -> Verdict {
        placement.broke();
        self.may_have_run = true;
        self.note_failed(placement, outcome, detail);
        self.avoid.push(placement.server().clone());
        if self.job.route.kind.may_repeat() && self.take_further_send(0.0) {
            Verdict::Next
        } else {
            Verdict::Refuse(Refusal::OutcomeUnknown)
        }
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

    async fn judge(&mut self, exchange: Exchange, mut placement: Placement) -> Verdict {
        let status = exchange.response.status();
        if self.says_not_run(&exchange.response) {
            return self.after_not_run(status, &placement);
        }
        if !self.is_authentic(&exchange.response) {
            return self.after_loss(&placement, "not_its_answer", status.to_string());
        }
        placement.began();
        let failed = status.is_server_error();
        if placement.answered(failed) {
            self.note_tripped(&placement);
        }
        if failed && self.job.route.kind.may_repeat() && self.take_further_send(0.0) {
            self.may_have_run = true;
            self.note_failed(&placement, "failed", status.to_string());
            self.failed_version = Some(placement.version.clone());
            self.avoid.push(placement.server().clone());
            return Verdict::Next;
        }
        if status.is_success() && self.should_escalate(&exchange.response, &placement) {
            return Verdict::Next;
        }
        if status.is_success() && self.job.route.kind.is_stream() {
            return Verdict::Pass(self.pass_stream(exchange, placement));
        }
        self.pass_whole(exchange, placement).await
    }

    fn after_not_run(&mut self, status: StatusCode, placement: &Placement) -> Verdict {
        self.core.metrics.count(Counter::NotRun);
        if status == StatusCode::MISDIRECTED_REQUEST {
            placement.leaves();
        } else {
            placement.refused();
        }
        self.note_failed(placement, "not_run", status.to_string());
        self.avoid.push(placement.server().clone());
        if self.take_further_send(0.0) {
            Verdict::Next
        } else {
            Verdict::Refuse(Refusal::TurnedAway)
        }
    }

    /// Drops a smaller model's answer if it is not confident and a larger model may be asked.
    fn should_escalate(&mut self, response: &Response<Incoming>, placement: &Placement) -> bool {
        if !self.job.chooses_model {
            return false;
        }
        let confidence = self.confidence(response.headers());
        let Some(next) = self.next_model(confidence) else { return false };
        if !self.take_further_send(RETRY_RESERVE) {
            return false;
        }
        self.may_have_run = true;
        self.dropped = confidence.map(|confidence| (self.model, confidence));
        self.core.metrics.count(Counter::Escalations);
        let event = RequestEvent::Escalated {
            request: &self.job.id,
            server: placement.server(),
            from_model: self.model,
            to_model: next,
            confidence,
            after_ms: self.after_ms(),
        };
        self.core.journal.note(Rank::Success, &event);
        self.model = next;
        true
    }

    /// Learns from an answer's confidence, and tells the model to ask next, if any.
    fn next_model(&self, confidence: Option<u8>) -> Option<ModelNumber> {
        let job = &self.job;
        let prices = job.prices();
        let part = self.after_ms() as f64 / job.route.objective.as_millis().max(1) as f64;
        let mut state = self.core.state.borrow_mut();
        let cascade = state.cascades.entry(job.service.name.clone()).or_default();
        if let (Some(dropped), Some(confidence)) = (self.dropped, confidence) {
            cascade.learn(dropped, (self.model, confidence));
        }
        if self.model == 0 {
            cascade.note_strain(SMALL_MODEL_STRAIN * part);
        } else if usize::from(self.model) + 1 == prices.len() {
            cascade.note_strain(part);
        }
        cascade.next_model(self.model, confidence, &prices)
    }

    fn pass_stream(&self, exchange: Exchange, placement: Placement) -> Response<AnswerBody> {
        let (parts, body) = exchange.response.into_parts();
        let head_ms = self.after_ms();
        self.core.metrics.time(Timer::FirstByte, Duration::from_millis(head_ms));
        let confidence = self.confidence(&parts.headers);
        let follower = self.follower(confidence, head_ms, parts.status);
        let pieces = relay::start(follower, body, exchange.connection, placement);
        self.with_head(parts, AnswerBody::Pieces(pieces))
    }

    /// The run as the relay of its stream carries it on.
    fn follower(
        &self,
        confidence: Option<u8>,
        head_ms: u64,
        status: StatusCode,
    ) -> relay::Follower {
        let run = Run {
            core: Rc::clone(&self.core),
            job: Rc::clone(&self.job),
            sends: self.sends,
            avoid: self.avoid.clone(),
            model: self.model,
            dropped: None,
            failed_version: self.failed_version.clone(),
            may_have_run: true,
            _under_way: UnderWay::enter(&self.core),
        };
        relay::Follower { run, confidence, head_ms, status }
    }

    async fn pass_whole(&mut self, exchange: Exchange, placement: Placement) -> Verdict {
        let (parts, body) = exchange.response.into_parts();
        let head_ms = self.after_ms();
        let until = self.core.clock.instant(self.job.give_up);
        let body = match timeout_at(until, body.collect()).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(error)) => {
                return self.after_loss(&placement, "cut", error.to_string());
            }
            Err(_) => {
                self.may_have_run = true;
                return Verdict::Refuse(Refusal::TimedOut);
            }
        };
        drop(exchange.connection);
        self.core.metrics.time(Timer::FirstByte, Duration::from_millis(head_ms));
        let confidence = self.confidence(&parts.headers);
        self.note_answered(&placement, confidence, head_ms, parts.status);
        Verdict::Pass(self.with_head(parts, AnswerBody::whole(body)))
    }

    fn with_head(&self, parts: Parts, body: AnswerBody) -> Response<AnswerBody> {
        let mut response = Response::new(body);
        *response.status_mut() = parts.status;
        *response.headers_mut() = parts.headers;
        strip_connection_headers(response.headers_mut());
        response
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
        let left = job.give_up.saturating_sub(self.core.clock.now()).saturating_sub(WAY_BACK);
        put(headers, &dialect.deadline_ms, &left.as_millis().max(1).to_string());
        put(headers, &dialect.expected_server, placement.server());
        if let Some(workspace) = &job.workspace {
            put(headers, &dialect.workspace, &workspace.name);
        }
        if let Some(model) = &placement.model {
            put(headers, &dialect.model, model);
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
        let dialect = &self.core.dialect;
        let id = response.headers().get(&dialect.request_id);
        let its = id.is_some_and(|id| id.as_bytes() == self.job.id.as_bytes());
        its && response.headers().contains_key(&dialect.signature)
    }

    fn confidence(&self, headers: &HeaderMap) -> Option<u8> {
        let text = headers.get(&self.core.dialect.confidence)?.to_str().ok()?;
        let confidence: f64 = text.trim().parse().ok()?;
        Some(confidence.clamp(0.0, 100.0) as u8)
    }

    /// Time since the request arrived, in milliseconds.
    pub fn after_ms(&self) -> u64 {
        self.core.clock.now().saturating_sub(self.job.arrived).as_millis() as u64
    }

    /// Logs a send that brought no answer to pass on.
    pub fn note_failed(&self, placement: &Placement, outcome: &'static str, detail: String) {
        let event = RequestEvent::SendFailed {
            request: &self.job.id,
            route: &self.job.route.name,
            server: placement.server(),
            version: &placement.version,
            model: placement.model.as_deref(),
            outcome,
            detail,
            after_ms: self.after_ms(),
        };
        self.core.journal.note(Rank::Failure, &event);
    }

    fn note_tripped(&self, placement: &Placement) {
        let event = RequestEvent::VersionTripped {
            request: &self.job.id,
            service: &self.job.service.name,
            version: &placement.version,
        };
        self.core.journal.note(Rank::State, &event);
    }

    /// Counts and logs an answer passed on.
    pub fn note_answered(
        &self,
        placement: &Placement,
        confidence: Option<u8>,
        head_ms: u64,
        status: StatusCode,
    ) {
        let after_ms = self.after_ms();
        self.core.metrics.count(Counter::Answered);
        self.core.metrics.time(Timer::WholeAnswer, Duration::from_millis(after_ms));
        let event = RequestEvent::RequestAnswered {
            request: &self.job.id,
            route: &self.job.route.name,
            server: placement.server(),
            version: &placement.version,
            model: placement.model.as_deref(),
            status: status.as_u16(),
            confidence,
            configuration: self.job.catalog_version,
            sends: self.sends,
            head_ms,
            expected_ms: placement.expected_ms() as u64,
            after_ms,
        };
        self.core.journal.note(Rank::Success, &event);
    }
}

/// Sets a header; a text that may not stand in one was checked where it came from.
fn put(headers: &mut HeaderMap, name: &HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}
