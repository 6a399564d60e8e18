//! Processes one request from its arrival to the head of its response.

use std::{rc::Rc, time::Duration};

use hyper::{
    Request, Response, StatusCode,
    body::{Body, Incoming},
    http::response::Parts,
};
use pondwalk_decide::direct::{Congestion, QuarantineStatus, RouteModelIndex, RunExtent};
use pondwalk_inbound::{BodyStart, Meter, read_start};
use tokio::{select, time::timeout_at};

use super::{
    body::ResponseBody,
    events::RequestEvent,
    head_wait::HeadWait,
    in_flight::{InFlightGuard, InFlightRequest},
    long_answer::{self, LongAnswer},
    refusals::{RefusedRequest, refuse},
    relay, request_reader,
    stream_progress::StreamTiming,
};
use crate::{
    core::Core,
    event_log::LogPriority,
    forecasts,
    metrics::{Counter, Timer},
    placement::Placement,
    request::{Refusal, strip_hop_by_hop_headers},
    upstream::{Exchange, SendError, is_final_status},
};

/// Share of the retry budget that escalations leave for retries.
const RETRY_RESERVE_SHARE: f64 = 0.05;

/// Serves one request from a connection that `meter` counts.
pub async fn serve(
    core: &Rc<Core>,
    request: Request<Incoming>,
    meter: &Meter,
) -> Response<ResponseBody> {
    let arrived = core.clock.now();
    let guard = InFlightGuard::enter(core);
    let id = request.headers().get(&core.dialect.request_id).cloned();
    let read = select! {
        biased;
        read = request_reader::read_request(core, request, meter, arrived) => read,
        () = core.ending.wait() => Err(Refusal::Closing),
    };
    match read {
        Ok(job) => InFlightRequest::new(core, job, guard).process_until_end().await,
        Err(refusal) => {
            let request = id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or_default();
            refuse(core, &RefusedRequest { request, route: None, arrived, sends: 0 }, refusal)
        }
    }
}

/// Refuses a request whose handling panicked; it may have run.
pub fn refuse_after_panic(core: &Core, arrived: Duration) -> Response<ResponseBody> {
    let refused = RefusedRequest { request: "", route: None, arrived, sends: 0 };
    refuse(core, &refused, Refusal::OutcomeUnknown)
}

/// Result of an attempt.
enum AttemptResult {
    /// The response for the caller.
    Respond(Response<ResponseBody>),
    /// Another attempt may be made.
    Retry,
    /// The request is refused.
    Refuse(Refusal),
}

impl InFlightRequest {
    /// Processes the request, or gives it its final answer when the process is about to end.
    async fn process_until_end(mut self) -> Response<ResponseBody> {
        let core = Rc::clone(&self.core);
        select! {
            biased;
            response = self.process() => return response,
            () = core.ending.wait() => {}
        }
        self.may_have_run |= self.is_dispatched();
        self.refuse(Refusal::Closing)
    }

    async fn process(&mut self) -> Response<ResponseBody> {
        // A request that may not run anyway takes no place in the queue.
        if let QuarantineStatus::Quarantined { until } = self.core.quarantine_status(&self.job) {
            return self.refuse(self.quarantine_refusal(until));
        }
        if let Err(refusal) = self.wait_for_admission().await {
            return self.refuse(refusal);
        }
        loop {
            if self.core.clock.now() >= self.job.deadline {
                let refusal =
                    if self.may_have_run { Refusal::TimedOut } else { Refusal::ExpiredUnsent };
                return self.refuse(refusal);
            }
            if let Err(until) = self.check_quarantine().await {
                return self.refuse(self.quarantine_refusal(until));
            }
            let placement = match self.wait_for_placement().await {
                Ok(placement) => placement,
                Err(error) => return self.refuse(self.placement_refusal(error)),
            };
            match self.attempt(placement).await {
                AttemptResult::Respond(response) => return response,
                AttemptResult::Retry => {}
                AttemptResult::Refuse(refusal) => return self.refuse(refusal),
            }
        }
    }

    async fn attempt(&mut self, placement: Placement) -> AttemptResult {
        let wait = HeadWait::new(self, &placement);
        let job = Rc::clone(&self.job);
        let last_event_id = job.last_event_id.as_deref();
        let sent = self.send(&placement, wait.until(), || wait.extend(), last_event_id).await;
        let until = wait.until();
        match sent {
            Ok(exchange) => self.handle_response(exchange, placement).await,
            Err(SendError::NotSent { why, detail }) => {
                placement.on_unreachable(why);
                self.log_failed_send(&placement, "not_sent", detail);
                self.avoid.push(placement.server().clone());
                AttemptResult::Retry
            }
            Err(SendError::Withheld) => {
                placement.mark_finished();
                self.log_failed_send(&placement, "withheld", String::new());
                if self.has_lost_key() {
                    AttemptResult::Refuse(Refusal::Stale)
                } else if self.has_lost_send() {
                    AttemptResult::Refuse(self.rejection_refusal())
                } else {
                    AttemptResult::Retry
                }
            }
            Err(SendError::Broken(detail)) => {
                self.record_broken_connection(&placement);
                self.handle_loss(&placement, "broken", detail)
            }
            Err(SendError::Invalid(detail)) => self.handle_invalid_answer(&placement, detail),
            Err(SendError::HeadTooLong { bytes }) => {
                self.record_head_too_long(&placement, bytes);
                self.handle_loss(&placement, "too_long", String::new())
            }
            Err(SendError::NoResponse) if until >= self.job.deadline => {
                placement.on_connection_broken();
                self.may_have_run = true;
                self.log_failed_send(&placement, "no_answer", String::new());
                AttemptResult::Refuse(Refusal::TimedOut)
            }
            Err(SendError::NoResponse) => {
                if placement.on_response_timeout() {
                    self.log_tripped(&placement);
                }
                self.handle_loss(&placement, "silent", String::new())
            }
        }
    }

    /// Handles a request whose server sent something that is no answer.
    fn handle_invalid_answer(&mut self, placement: &Placement, detail: String) -> AttemptResult {
        self.record_invalid_answer(placement);
        self.handle_loss(placement, "invalid_answer", detail)
    }

    /// Handles a request that may have run, but has no response that can be passed on.
    fn handle_loss(
        &mut self,
        placement: &Placement,
        outcome: &'static str,
        detail: String,
    ) -> AttemptResult {
        placement.on_connection_broken();
        self.may_have_run = true;
        self.log_failed_send(placement, outcome, detail);
        self.avoid.push(placement.server().clone());
        if self.job.route.kind.may_repeat() && self.try_take_send(0.0) {
            AttemptResult::Retry
        } else {
            AttemptResult::Refuse(Refusal::OutcomeUnknown)
        }
    }

    async fn handle_response(
        &mut self,
        exchange: Exchange,
        mut placement: Placement,
    ) -> AttemptResult {
        let status = exchange.response.status();
        if self.is_not_run(&exchange.response) {
            let requested_backoff = self.signals(&exchange.response).backoff.is_some();
            return self.handle_not_run(status, &placement, requested_backoff);
        }
        if !is_final_status(status) {
            return self.handle_invalid_answer(&placement, status.to_string());
        }
        if !self.is_authentic(&exchange.response) {
            return self.handle_loss(&placement, "not_its_answer", status.to_string());
        }
        let max_bytes = self.core.settings.inbound.max_answer_bytes as u64;
        let declared_bytes = exchange.response.body().size_hint().lower();
        if declared_bytes > max_bytes {
            self.record_answer_too_long(&placement, &exchange.meter);
            return self.handle_loss(&placement, "too_long", format!("{declared_bytes} declared"));
        }
        placement.on_response_started();
        self.record_begun();
        if let Some(load) = self.reported_load(exchange.response.headers()) {
            placement.record_load(load);
        }
        let failed = status.is_server_error();
        if placement.on_response(failed) {
            self.log_tripped(&placement);
        }
        let may_retry = failed && self.job.route.kind.may_repeat();
        // A server's failure is still a response; the caller gets it if there is no alternative.
        if may_retry && self.retry_after_failure(&placement).await {
            self.may_have_run = true;
            placement.mark_finished();
            self.log_failed_send(&placement, "failed", status.to_string());
            return AttemptResult::Retry;
        }
        if status.is_success() && self.should_escalate(&exchange.response, &placement).await {
            return AttemptResult::Retry;
        }
        if status.is_success() && self.job.route.kind.is_stream() {
            return AttemptResult::Respond(self.start_relay(exchange, placement));
        }
        self.respond_with_body(exchange, placement).await
    }

    /// Whether a request that failed on a server is retried on another one, where it is certain to
    /// be placed.
    async fn retry_after_failure(&mut self, placement: &Placement) -> bool {
        let Ok(certainty) = self.retry_certainty(placement) else { return false };
        if !self.try_take_send(0.0) {
            return false;
        }
        let failed = self.failed_version.replace(placement.version.clone());
        self.avoid.push(placement.server().clone());
        if self.reserve(certainty).await {
            return true;
        }
        self.further_send = None;
        self.avoid.pop();
        self.failed_version = failed;
        false
    }

    fn handle_not_run(
        &mut self,
        status: StatusCode,
        placement: &Placement,
        requested_backoff: bool,
    ) -> AttemptResult {
        self.core.metrics.count(Counter::NotRun);
        self.set_probe_reached(false);
        self.set_dispatched(false);
        // The request did not run, so it must not count as involved if the server crashes shortly
        // after.
        placement.mark_finished();
        if status == StatusCode::MISDIRECTED_REQUEST {
            placement.on_server_replaced();
        } else if !requested_backoff {
            placement.on_rejected();
        }
        self.log_failed_send(placement, "not_run", status.to_string());
        // A server that requested a backoff may be tried again after it, also by this request.
        if !requested_backoff {
            self.avoid.push(placement.server().clone());
        }
        if self.try_take_send(0.0) {
            return AttemptResult::Retry;
        }
        AttemptResult::Refuse(self.rejection_refusal())
    }

    /// Discards a smaller model's response if its confidence is too low and a larger model is
    /// available.
    async fn should_escalate(
        &mut self,
        response: &Response<Incoming>,
        placement: &Placement,
    ) -> bool {
        if !self.job.chooses_model {
            return false;
        }
        let Some(confidence) = self.reported_confidence(response.headers()) else { return false };
        let (next, time_price) = self.next_model(confidence, placement);
        let Some(next) = next else { return false };
        let Ok(certainty) = self.certainty_of(next) else { return false };
        if !self.try_take_send(RETRY_RESERVE_SHARE) {
            self.log_larger_model_withheld(confidence);
            return false;
        }
        let discarded = std::mem::replace(&mut self.model, next);
        if !self.reserve(certainty).await {
            self.further_send = None;
            self.model = discarded;
            return false;
        }
        self.may_have_run = true;
        self.discarded.push((discarded, confidence));
        self.core.metrics.count(Counter::Escalations);
        let event = RequestEvent::Escalated {
            request: &self.job.id,
            server: placement.server(),
            from_model: discarded,
            to_model: next,
            confidence: Some(confidence),
            time_price,
            after_ms: self.after_ms(),
        };
        self.core.event_log.record(LogPriority::Success, &event);
        true
    }

    fn log_larger_model_withheld(&self, confidence: u8) {
        let has_sends = self.sends < self.job.route.max_attempts;
        let reason = if has_sends { "budget_empty" } else { "attempts_used" };
        self.core.metrics.count(Counter::LargerModelsWithheld);
        let event = RequestEvent::LargerModelWithheld { request: &self.job.id, confidence, reason };
        self.core.event_log.record(LogPriority::Success, &event);
    }

    /// Updates the cascade with the confidence of a response, and returns the model to try next, if
    /// any, with the price of server time.
    fn next_model(&self, confidence: u8, placement: &Placement) -> (Option<RouteModelIndex>, f64) {
        let job = &self.job;
        let objective_ms = job.route.objective.as_millis().max(1) as f64;
        let elapsed_share = self.after_ms() as f64 / objective_ms;
        let terms = forecasts::model_costs(&self.core, job, &self.avoid, elapsed_share);
        let now = self.core.clock.now();
        let mut state = self.core.state.borrow_mut();
        let fleet = state.fleets.get(&job.service.name);
        let utilization = fleet.and_then(|fleet| fleet.utilization(now));
        // Without the policy, server time has no price.
        let utilization = utilization.filter(|_| self.core.settings.policy.time_price);
        let congestion = Congestion::new(utilization).price(job.priority());
        let cascade = state.cascades.entry(job.service.name.clone()).or_default();
        let response = (self.model, confidence);
        let named = |(model, confidence)| (job.service_model(model), confidence);
        let policy = &self.core.settings.policy;
        if let Some(discarded) = self.discarded.last().filter(|_| policy.learned_lifts) {
            cascade.learn(named(*discarded), named(response));
        }
        if policy.time_price {
            cascade.record_strain(placement.queued_ms() / objective_ms, now);
        }
        let responses: Vec<_> = self.discarded.iter().copied().chain([response]).collect();
        let next = cascade.next_model(&responses, &terms, congestion, now);
        (next, cascade.server_time_price(now, congestion))
    }

    fn start_relay(&self, exchange: Exchange, placement: Placement) -> Response<ResponseBody> {
        let (parts, body) = self.core.split_response(exchange);
        let head_ms = self.after_ms();
        self.core.metrics.time(Timer::FirstByte, Duration::from_millis(head_ms));
        let confidence = self.reported_confidence(&parts.headers);
        let relayed = self.relayed(confidence, head_ms, parts.status);
        let chunks = relay::start(relayed, body, placement);
        self.build_response(parts, ResponseBody::Chunks(chunks))
    }

    /// Copies the state for the relay of the response stream.
    fn relayed(
        &self,
        confidence: Option<u8>,
        head_ms: u64,
        status: StatusCode,
    ) -> relay::RelayedRequest {
        let in_flight = self.clone_for_relay();
        relay::RelayedRequest { in_flight, confidence, head_ms, status }
    }

    /// Reads the body of a response and passes it to the caller: once it is complete, or as it arrives
    /// if it is too long to be buffered.
    async fn respond_with_body(
        &mut self,
        exchange: Exchange,
        placement: Placement,
    ) -> AttemptResult {
        let (parts, mut body) = self.core.split_response(exchange);
        let head_ms = self.after_ms();
        let until = self.core.clock.instant(self.job.deadline);
        let max_bytes = self.core.settings.inbound.kept_answer_bytes;
        let start = read_start(&mut body.frames, max_bytes, &self.core.traffic_buffers);
        let whole = match timeout_at(until, start).await {
            Ok(Ok(BodyStart::Whole(whole))) => whole,
            Ok(Ok(BodyStart::Partial(start))) => {
                let confidence = self.reported_confidence(&parts.headers);
                let relayed = self.relayed(confidence, head_ms, parts.status);
                let chunks = long_answer::start(LongAnswer { relayed, start, body, placement });
                return AttemptResult::Respond(
                    self.build_response(parts, ResponseBody::Chunks(chunks)),
                );
            }
            Ok(Err(_)) if body.meter.exceeded_in().is_some() => {
                self.record_answer_too_long(&placement, &body.meter);
                return self.handle_loss(&placement, "too_long", String::new());
            }
            Ok(Err(error)) => {
                self.record_broken_connection(&placement);
                return self.handle_loss(&placement, "cut", error.to_string());
            }
            Err(_) => {
                self.may_have_run = true;
                return AttemptResult::Refuse(Refusal::TimedOut);
            }
        };
        let ends_with_connection = body.ends_with_connection;
        drop(body);
        if ends_with_connection && self.has_server_ended(&placement).await {
            self.record_broken_connection(&placement);
            return self.handle_loss(&placement, "ended_with_its_server", String::new());
        }
        self.core.metrics.time(Timer::FirstByte, Duration::from_millis(head_ms));
        let confidence = self.reported_confidence(&parts.headers);
        let timing = StreamTiming::default();
        self.record_answered(
            &placement,
            confidence,
            head_ms,
            parts.status,
            timing,
            RunExtent::Whole,
        );
        AttemptResult::Respond(self.build_response(parts, ResponseBody::whole(whole)))
    }

    fn build_response(&self, parts: Parts, body: ResponseBody) -> Response<ResponseBody> {
        let mut response = Response::new(body);
        *response.status_mut() = parts.status;
        *response.headers_mut() = parts.headers;
        strip_hop_by_hop_headers(response.headers_mut());
        response
    }
}
