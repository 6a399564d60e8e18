//! What is noted of a request under way: what servers ask with their answers, and log lines.

use std::time::Duration;

use hyper::{Response, StatusCode, body::Incoming};
use pondwalk_decide::direct::ReportedRateLimit;

use super::{report::RequestEvent, run::Run};
use crate::{
    content::content_text,
    event_log::LogPriority,
    metrics::{Counter, Timer},
    placement::Placement,
    server_signals::ServerSignals,
};

impl Run {
    /// What the server asks of this entry with an answer.
    pub fn notice(&self, response: &Response<Incoming>) -> ServerSignals {
        let not_run = self.says_not_run(response);
        let is_authentic = !not_run && self.is_authentic(response);
        ServerSignals::from_response(
            &self.core.dialect,
            response.status(),
            response.headers(),
            not_run,
            is_authentic,
        )
    }

    /// Takes in what the server asks of this entry, whatever becomes of the answer.
    pub(super) fn hear_notice(&self, placement: &Placement, response: &Response<Incoming>) {
        let notice = self.notice(response);
        let (request, server) = (self.job.id.as_str(), placement.server());
        let (status, after_ms) = (response.status().as_u16(), self.after_ms());
        if notice.is_draining && placement.on_draining() {
            self.core.metrics.count(Counter::ServersDraining);
            let event = RequestEvent::ServerToldLeaving { request, server, status, after_ms };
            self.core.event_log.record(LogPriority::Failure, &event);
        }
        if placement.on_limit_reported(notice.limit) {
            self.note_limit(placement, notice.limit, status);
        }
        if let Some(backoff) = notice.backoff {
            self.core.metrics.count(Counter::BackoffsRequested);
            let kept = placement.on_backoff_requested(backoff);
            let event = RequestEvent::ServerAskedBackoff {
                request,
                server,
                status,
                backoff_ms: u64::try_from(backoff.as_millis()).unwrap_or(u64::MAX),
                kept_ms: kept.map(|kept| kept.as_millis() as u64),
                after_ms,
            };
            self.core.event_log.record(LogPriority::Failure, &event);
        }
    }

    /// Counts and logs that a server's rate limit has changed.
    fn note_limit(&self, placement: &Placement, word: ReportedRateLimit, status: u16) {
        self.core.metrics.count(Counter::LimitsChanged);
        let (request, server) = (self.job.id.as_str(), placement.server());
        let after_ms = self.after_ms();
        let event = match word {
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
        self.core.event_log.record(LogPriority::Failure, &event);
    }

    /// The connection broke while the request was at a server, which may have ended by it.
    ///
    /// NB: a caller's tries have ids of their own; only the content shows that they are one request.
    pub fn note_broke(&mut self, placement: &Placement) {
        self.core.metrics.count(Counter::ConnectionsBroken);
        let event = RequestEvent::ServerBroke {
            request: &self.job.id,
            server: placement.server(),
            content: &content_text(self.job.content()),
            after_ms: self.after_ms(),
        };
        self.core.event_log.record(LogPriority::Failure, &event);
        placement.mark_finished();
        let on_probe = self.probe.take().is_some();
        self.core.record_server_crash(&self.job, placement, on_probe);
    }

    /// Logs that an answer to this request made a version bad.
    pub fn note_tripped(&self, placement: &Placement) {
        let event = RequestEvent::VersionTripped {
            request: &self.job.id,
            service: &self.job.service.name,
            version: &placement.version,
        };
        self.core.event_log.record(LogPriority::State, &event);
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
        placement.mark_finished();
        self.core.record_success(&self.job);
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
        self.core.event_log.record(LogPriority::Success, &event);
    }
}
