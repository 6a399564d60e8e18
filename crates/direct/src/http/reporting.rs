//! Evaluates the signals in backend responses, and records the progress of a request in metrics and
//! log.

use std::time::Duration;

use hyper::{Response, StatusCode, body::Incoming};
use pondwalk_decide::direct::{ReportedRateLimit, RunExtent};
use pondwalk_inbound::{MessagePart, Meter};

use super::{events::RequestEvent, in_flight::InFlightRequest, stream_progress::StreamTiming};
use crate::{
    content::content_text,
    event_log::LogPriority,
    metrics::{Counter, Timer},
    placement::Placement,
    server_signals::ServerSignals,
    upstream::{ListenerState, check_listener, keeps_connections},
};

impl InFlightRequest {
    /// Parses the signals in a server's response.
    pub fn signals(&self, response: &Response<Incoming>) -> ServerSignals {
        let not_run = self.is_not_run(response);
        let is_authentic = !not_run && self.is_authentic(response);
        ServerSignals::from_response(
            &self.core.dialect,
            response.status(),
            response.headers(),
            not_run,
            is_authentic,
        )
    }

    /// Applies the signals in a response, whatever the outcome of the request.
    pub(super) fn apply_signals(&self, placement: &Placement, response: &Response<Incoming>) {
        let signals = self.signals(response);
        let (request, server) = (self.job.id.as_str(), placement.server());
        let (status, after_ms) = (response.status().as_u16(), self.after_ms());
        if signals.is_draining && placement.on_draining() {
            self.core.metrics.count(Counter::ServersDraining);
            let event = RequestEvent::ServerToldLeaving { request, server, status, after_ms };
            self.core.event_log.record(LogPriority::Failure, &event);
        }
        if placement.on_limit_reported(signals.limit) {
            self.record_limit(placement, signals.limit, status);
        }
        if let Some(backoff) = signals.backoff {
            self.core.metrics.count(Counter::BackoffsRequested);
            let applied = placement.on_backoff_requested(backoff);
            let event = RequestEvent::ServerAskedBackoff {
                request,
                server,
                status,
                backoff_ms: u64::try_from(backoff.as_millis()).unwrap_or(u64::MAX),
                kept_ms: applied.map(|applied| applied.as_millis() as u64),
                after_ms,
            };
            self.core.event_log.record(LogPriority::Failure, &event);
        }
    }

    /// Counts and logs a change of a server's rate limit.
    fn record_limit(&self, placement: &Placement, reported: ReportedRateLimit, status: u16) {
        self.core.metrics.count(Counter::LimitsChanged);
        let (request, server) = (self.job.id.as_str(), placement.server());
        let after_ms = self.after_ms();
        let event = match reported {
            ReportedRateLimit::Limit(limit) => {
                let per_s = limit.per_s();
                RequestEvent::ServerNamedLimit { request, server, status, per_s, after_ms }
            }
            ReportedRateLimit::NoLimit | ReportedRateLimit::NotReported => {
                RequestEvent::ServerLiftedLimit { request, server, status, after_ms }
            }
        };
        self.core.event_log.record(LogPriority::Failure, &event);
    }

    /// Logs a send without a response that can be passed on.
    pub fn log_failed_send(&self, placement: &Placement, outcome: &'static str, detail: String) {
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
        self.core.event_log.record(LogPriority::Failure, &event);
    }

    /// Records that the connection broke while the request was at a server, which may have crashed
    /// because of it.
    ///
    /// A caller's retries have different ids; only the content identifies them as the same request.
    pub fn record_broken_connection(&mut self, placement: &Placement) {
        self.core.metrics.count(Counter::ConnectionsBroken);
        let event = RequestEvent::ServerBroke {
            request: &self.job.id,
            server: placement.server(),
            content: &content_text(self.job.content()),
            prompt_parts: &self.job.prompt.shared_parts_text(),
            after_ms: self.after_ms(),
        };
        self.core.event_log.record(LogPriority::Failure, &event);
        placement.mark_finished();
        let probe = self.probe.take();
        let probed = probe.as_ref().map_or(&[][..], |probe| probe.probed());
        self.core.record_server_crash(&self.job, placement, probed);
    }

    /// Records a response that is none in the protocol, a failure of its server's version.
    pub fn record_invalid_answer(&self, placement: &Placement) {
        self.core.metrics.count(Counter::AnswersInvalid);
        if placement.on_invalid_answer() {
            self.log_tripped(placement);
        }
    }

    /// Records a response that was longer than allowed, or too long to be complete by its deadline, a
    /// failure of its server's version.
    pub fn record_answer_too_long(&self, placement: &Placement, meter: &Meter) {
        let part = meter.exceeded_in().unwrap_or(MessagePart::Body);
        self.record_too_long(placement, part, meter.bytes());
    }

    /// Records a response whose head was longer than allowed, as
    /// [`InFlightRequest::record_answer_too_long`].
    pub fn record_head_too_long(&self, placement: &Placement, bytes: u64) {
        self.record_too_long(placement, MessagePart::Head, bytes);
    }

    fn record_too_long(&self, placement: &Placement, part: MessagePart, bytes: u64) {
        self.core.metrics.count(Counter::AnswersTooLong);
        let event = RequestEvent::AnswerTooLong {
            request: &self.job.id,
            server: placement.server(),
            version: &placement.version,
            part: part.name(),
            bytes,
            after_ms: self.after_ms(),
        };
        self.core.event_log.record(LogPriority::Failure, &event);
        if placement.on_answer_too_long() {
            self.log_tripped(placement);
        }
    }

    /// Records that the answer has been in progress for a while. A probe counts only as a whole.
    pub fn record_survival(&self) {
        if self.probe.is_none() {
            let now = self.core.clock.now();
            let mut state = self.core.state.borrow_mut();
            state.quarantine.record_survival(self.job.part_features(), now);
        }
    }

    /// Logs that the response to this request tripped a version.
    pub fn log_tripped(&self, placement: &Placement) {
        let event = RequestEvent::VersionTripped {
            request: &self.job.id,
            service: &self.job.service.name,
            version: &placement.version,
        };
        self.core.event_log.record(LogPriority::State, &event);
    }

    /// Whether a server has ended in the middle of an answer whose end only its connection shows. A
    /// server that is leaving may end right after its last answer.
    pub async fn has_server_ended(&self, placement: &Placement) -> bool {
        !placement.may_be_leaving()
            && check_listener(&self.core.connect, placement.address).await == ListenerState::Refuses
    }

    /// Like [`InFlightRequest::has_server_ended`], for an answer so long that a second look costs its
    /// caller little: a server that does not keep connections has ended too.
    pub async fn has_server_ended_after_long_answer(&self, placement: &Placement) -> bool {
        !placement.may_be_leaving()
            && !keeps_connections(&self.core.connect, placement.address).await
    }

    /// Counts and logs that the caller disconnected before its answer was complete.
    pub fn record_caller_left(&self, placement: &Placement) {
        self.core.metrics.count(Counter::Abandoned);
        let event = RequestEvent::CallerLeft {
            request: &self.job.id,
            server: placement.server(),
            after_ms: self.after_ms(),
        };
        self.core.event_log.record(LogPriority::Failure, &event);
    }

    /// Counts and logs a response that was passed on, of which the server has made `extent`.
    pub fn record_answered(
        &self,
        placement: &Placement,
        confidence: Option<u8>,
        head_ms: u64,
        status: StatusCode,
        timing: StreamTiming,
        extent: RunExtent,
    ) {
        let after_ms = self.after_ms();
        placement.mark_finished();
        // A server's failure may come before it begins to work on the prompt.
        let extent = if status.is_server_error() { RunExtent::Partial } else { extent };
        self.core.record_ended_run(&self.job, placement, placement.take_probed(), extent);
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
            max_gap_ms: timing.max_gap_ms,
            token_ms: timing.token_ms,
            after_ms,
        };
        self.core.event_log.record(LogPriority::Success, &event);
    }
}
