//! Requests from arrival to delivery, and their ratings.

use std::time::Duration;

use pondwalk_decide::NextAction;
use pondwalk_types::Refusal;

use super::{
    Simulation,
    accounting::{RequestState, RunState},
};
use crate::{
    events::{Event, RequestIx, RunIx},
    trace::RecordedRequest,
};

impl<'a> Simulation<'a> {
    pub(super) fn on_request(&mut self, now: Duration, recorded: &'a RecordedRequest) {
        let request = self.requests.len();
        self.requests.push(RequestState::new(recorded, now));
        self.count(request, |stats| stats.requests += 1);
        if let Err(_refusal) = self.claim(request) {
            self.count(request, |stats| stats.refused_not_run += 1);
            return;
        }
        match self.driver.begin(now, recorded) {
            Ok((in_flight, step)) => {
                self.requests[request].in_flight = Some(in_flight);
                self.submit(now, request, step);
            }
            Err(_refusal) => self.end_unanswered(request),
        }
    }

    /// Claims the idempotency key of a non-repeatable request.
    ///
    /// Returns a refusal if the store is unavailable or the key is already claimed.
    pub(super) fn claim(&mut self, request: RequestIx) -> Result<(), Refusal> {
        let recorded = self.requests[request].recorded;
        let (false, Some(key)) = (recorded.repeatable, &recorded.idempotency_key) else {
            return Ok(());
        };
        if !self.store_available {
            return Err(Refusal::ClaimUnavailable);
        }
        let key = (recorded.workspace.as_str(), key.as_str());
        if self.claims.contains_key(&key) {
            return Err(Refusal::DuplicateKey);
        }
        self.claims.insert(key, request);
        Ok(())
    }

    /// Applies the policy's next action for a request.
    pub(super) fn apply_action(&mut self, now: Duration, request: RequestIx, next: NextAction) {
        match next {
            NextAction::Deliver => self.deliver(now, request),
            NextAction::AwaitRating(wait) => {
                let run = self.requests[request].runs.last().copied();
                self.requests[request].awaiting = run;
                if let Some(run) = run {
                    self.events.push(now + wait, Event::RatingTimeout(run));
                }
            }
            NextAction::Run(step) => {
                if self.requests[request].has_answer {
                    self.count(request, |stats| stats.escalations += 1);
                }
                self.submit(now, request, step);
            }
            NextAction::Refuse(_) => self.end_unanswered(request),
        }
    }

    pub(super) fn on_rating(&mut self, now: Duration, run: RunIx) {
        if !self.rating_available {
            return;
        }
        let quality = self.runs[run].outcome.quality;
        let delay = self.settings.rating_delay;
        let request = self.runs[run].request;
        if self.requests[request].awaiting == Some(run) {
            self.apply_rating(now, request, Some((quality, delay)));
        } else if self.requests[request].delivered == Some(run)
            && let Some(receipt) = self.requests[request].receipt.take()
        {
            self.driver.on_late_rating(now, &receipt, delay, quality);
        }
    }

    pub(super) fn on_rating_timeout(&mut self, now: Duration, run: RunIx) {
        let request = self.runs[run].request;
        if self.requests[request].awaiting == Some(run) {
            self.apply_rating(now, request, None);
        }
    }

    pub(super) fn apply_rating(
        &mut self,
        now: Duration,
        request: RequestIx,
        rating: Option<(f64, Duration)>,
    ) {
        self.requests[request].awaiting = None;
        let Some(mut in_flight) = self.requests[request].in_flight.take() else {
            return;
        };
        let next = self.driver.on_rating(now, &mut in_flight, rating);
        self.requests[request].in_flight = Some(in_flight);
        self.apply_action(now, request, next);
    }

    /// Delivers the available answer, which is due, and cancels the run that was to improve on it.
    pub(super) fn deliver_fallback(&mut self, now: Duration, run: RunIx) {
        if !self.runs[run].is_open() {
            return;
        }
        let was_running = matches!(self.runs[run].state, RunState::Running { .. });
        let spent = self.close_run(now, run);
        let server = self.runs[run].server;
        if was_running {
            self.free_slot(now, server);
        } else {
            self.fleet.get_mut(server).queue.cancel(&run);
        }
        let request = self.runs[run].request;
        if let Some(in_flight) = &mut self.requests[request].in_flight {
            self.driver.cancel_run(now, in_flight, spent);
        }
        self.deliver(now, request);
    }
}
