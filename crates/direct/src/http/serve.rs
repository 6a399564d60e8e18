//! Carries one request from its arrival to the head of its answer.

use std::{rc::Rc, time::Duration};

use http_body_util::BodyExt;
use hyper::{Request, Response, StatusCode, body::Incoming, http::response::Parts};
use pondwalk_decide::direct::RouteModelIndex;
use tokio::time::timeout_at;

use super::{
    body::AnswerBody,
    intake,
    refuse::{Refused, refuse},
    relay,
    report::RequestEvent,
    run::{Run, UnderWay},
};
use crate::{
    core::Core,
    event_log::LogPriority,
    forecasts,
    metrics::{Counter, Timer},
    placement::Placement,
    request::{Refusal, strip_hop_by_hop_headers},
    upstream::{Exchange, SendError},
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

impl Run {
    async fn answer(mut self) -> Response<AnswerBody> {
        loop {
            if self.core.clock.now() >= self.job.deadline {
                let refusal =
                    if self.may_have_run { Refusal::TimedOut } else { Refusal::ExpiredUnsent };
                return self.refuse(refusal);
            }
            if let Err(until) = self.ask_to_run().await {
                return self.refuse(self.held(until));
            }
            let placement = match self.wait_for_place().await {
                Ok(placement) => placement,
                Err(no_place) => return self.refuse(self.no_server(no_place)),
            };
            match self.attempt(placement).await {
                Verdict::Pass(response) => return response,
                Verdict::Next => {}
                Verdict::Refuse(refusal) => return self.refuse(refusal),
            }
        }
    }

    async fn attempt(&mut self, placement: Placement) -> Verdict {
        let until = self.patience(&placement);
        let job = Rc::clone(&self.job);
        match self.send(&placement, until, job.last_event_id.as_deref()).await {
            Ok(exchange) => self.judge(exchange, placement).await,
            Err(SendError::NotSent { why, detail }) => {
                placement.on_unreachable(why);
                self.note_failed(&placement, "not_sent", detail);
                self.avoid.push(placement.server().clone());
                Verdict::Next
            }
            Err(SendError::Withheld) => {
                placement.mark_finished();
                self.note_failed(&placement, "withheld", String::new());
                if self.may_send() { Verdict::Next } else { Verdict::Refuse(Refusal::Stale) }
            }
            Err(SendError::Broken(detail)) => {
                self.note_broke(&placement);
                self.after_loss(&placement, "broken", detail)
            }
            Err(SendError::NoResponse) if until >= self.job.deadline => {
                placement.on_connection_broken();
                self.may_have_run = true;
                self.note_failed(&placement, "no_answer", String::new());
                Verdict::Refuse(Refusal::TimedOut)
            }
            Err(SendError::NoResponse) => {
                if placement.on_response_timeout() {
                    self.note_tripped(&placement);
                }
                self.after_loss(&placement, "silent", String::new())
            }
        }
    }

    /// When the wait for the head of an answer ends.
    fn patience(&self, placement: &Placement) -> Duration {
        let job = &self.job;
        let may_go_on = job.route.kind.may_repeat() && self.sends + 1 < job.route.max_attempts;
        let elsewhere = self.core.settings.policy.tries_elsewhere && placement.has_alternative;
        if !may_go_on || !elsewhere {
            return job.deadline;
        }
        let least = if job.route.kind.is_stream() { STREAM_PATIENCE } else { Duration::ZERO };
        let expected = Duration::from_secs_f64(placement.expected_ms() / 1_000.0);
        let patience = job.route.objective.mul_f64(PATIENCE_PART);
        let patience = patience.max(expected.mul_f64(PATIENCE_FACTOR)).max(least);
        (self.core.clock.now() + patience).min(job.deadline)
    }

    /// The request may have run, and no answer can be passed on.
    fn after_loss(
        &mut self,
        placement: &Placement,
        outcome: &'static str,
        detail: String,
    ) -> Verdict {
        placement.on_connection_broken();
        self.may_have_run = true;
        self.note_failed(placement, outcome, detail);
        self.avoid.push(placement.server().clone());
        if self.job.route.kind.may_repeat() && self.take_further_send(0.0) {
            Verdict::Next
        } else {
            Verdict::Refuse(Refusal::OutcomeUnknown)
        }
    }

    async fn judge(&mut self, exchange: Exchange, mut placement: Placement) -> Verdict {
        let status = exchange.response.status();
        if self.says_not_run(&exchange.response) {
            let asks_backoff = self.notice(&exchange.response).backoff.is_some();
            return self.after_not_run(status, &placement, asks_backoff);
        }
        if !self.is_authentic(&exchange.response) {
            return self.after_loss(&placement, "not_its_answer", status.to_string());
        }
        placement.on_response_started();
        self.note_begun();
        if let Some(load) = self.load(exchange.response.headers()) {
            placement.record_load(load);
        }
        let failed = status.is_server_error();
        if placement.on_response(failed) {
            self.note_tripped(&placement);
        }
        let is_tried_again = failed && self.job.route.kind.may_repeat();
        // NB: a server's failure is still an answer; with nowhere else to go the caller gets it.
        if is_tried_again && self.goes_on_after(&placement).await {
            self.may_have_run = true;
            placement.mark_finished();
            self.note_failed(&placement, "failed", status.to_string());
            return Verdict::Next;
        }
        if status.is_success() && self.should_escalate(&exchange.response, &placement).await {
            return Verdict::Next;
        }
        if status.is_success() && self.job.route.kind.is_stream() {
            return Verdict::Pass(self.pass_stream(exchange, placement));
        }
        self.pass_whole(exchange, placement).await
    }

    /// Whether a request that a server has failed goes on at another one, which is then sure to take it.
    async fn goes_on_after(&mut self, placement: &Placement) -> bool {
        let Ok(certainty) = self.could_go_on(placement) else { return false };
        if !self.take_further_send(0.0) {
            return false;
        }
        let failed = self.failed_version.replace(placement.version.clone());
        self.avoid.push(placement.server().clone());
        if self.secure(certainty).await {
            return true;
        }
        self.avoid.pop();
        self.failed_version = failed;
        false
    }

    fn after_not_run(
        &mut self,
        status: StatusCode,
        placement: &Placement,
        asks_backoff: bool,
    ) -> Verdict {
        self.core.metrics.count(Counter::NotRun);
        self.probe_has_reached(false);
        // NB: it is not aboard of the server, should that break off a moment later.
        placement.mark_finished();
        if status == StatusCode::MISDIRECTED_REQUEST {
            placement.on_server_replaced();
        } else if !asks_backoff {
            placement.on_rejected();
        }
        self.note_failed(placement, "not_run", status.to_string());
        // NB: one that asked for a pause may be asked again after it, also by this request.
        if !asks_backoff {
            self.avoid.push(placement.server().clone());
        }
        if self.take_further_send(0.0) {
            return Verdict::Next;
        }
        Verdict::Refuse(self.turned_away())
    }

    /// Drops a smaller model's answer if it is not confident and a larger model may be asked.
    async fn should_escalate(
        &mut self,
        response: &Response<Incoming>,
        placement: &Placement,
    ) -> bool {
        if !self.job.chooses_model {
            return false;
        }
        let Some(confidence) = self.confidence(response.headers()) else { return false };
        let Some(next) = self.next_model(confidence, placement) else { return false };
        let Ok(certainty) = self.outlook(next) else { return false };
        if !self.take_further_send(RETRY_RESERVE) {
            return false;
        }
        let dropped = std::mem::replace(&mut self.model, next);
        if !self.secure(certainty).await {
            self.model = dropped;
            return false;
        }
        self.may_have_run = true;
        self.dropped.push((dropped, confidence));
        self.core.metrics.count(Counter::Escalations);
        let event = RequestEvent::Escalated {
            request: &self.job.id,
            server: placement.server(),
            from_model: dropped,
            to_model: next,
            confidence: Some(confidence),
            after_ms: self.after_ms(),
        };
        self.core.event_log.record(LogPriority::Success, &event);
        true
    }

    /// Learns from an answer's confidence, and tells the model to ask next, if any.
    fn next_model(&self, confidence: u8, placement: &Placement) -> Option<RouteModelIndex> {
        let job = &self.job;
        let objective_ms = job.route.objective.as_millis().max(1) as f64;
        let used = self.after_ms() as f64 / objective_ms;
        let terms = forecasts::model_costs(&self.core, job, &self.avoid, used);
        let mut state = self.core.state.borrow_mut();
        let cascade = state.cascades.entry(job.service.name.clone()).or_default();
        let answer = (self.model, confidence);
        let named = |(model, confidence)| (job.service_model(model), confidence);
        let policy = &self.core.settings.policy;
        if let Some(dropped) = self.dropped.last().filter(|_| policy.learned_lifts) {
            cascade.learn(named(*dropped), named(answer));
        }
        if policy.time_price {
            cascade.record_strain(placement.queued_ms() / objective_ms);
        }
        let told: Vec<_> = self.dropped.iter().copied().chain([answer]).collect();
        cascade.next_model(&told, &terms)
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
        let run = self.carried_on();
        relay::Follower { run, confidence, head_ms, status }
    }

    async fn pass_whole(&mut self, exchange: Exchange, placement: Placement) -> Verdict {
        let (parts, body) = exchange.response.into_parts();
        let head_ms = self.after_ms();
        let until = self.core.clock.instant(self.job.deadline);
        let body = match timeout_at(until, body.collect()).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(error)) => {
                self.note_broke(&placement);
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
        strip_hop_by_hop_headers(response.headers_mut());
        response
    }
}
