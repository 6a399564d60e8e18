//! Requests from their arrival to their answers, and the ratings between.

use std::time::Duration;

use pondwalk_decide::NextAction;
use pondwalk_types::Refusal;

use super::{
    Simulation,
    book::{Live, RunState},
};
use crate::{
    events::{Event, RequestIx, RunIx},
    trace::RecordedRequest,
};

impl<'a> Simulation<'a> {
    pub(super) fn arrive(&mut self, now: Duration, recorded: &'a RecordedRequest) {
        let request = self.requests.len();
        self.requests.push(Live::new(recorded, now));
        self.count(request, |tally| tally.requests += 1);
        if let Err(_refusal) = self.claim(request) {
            self.count(request, |tally| tally.refused_not_run += 1);
            return;
        }
        match self.driver.begin(now, recorded) {
            Ok((flight, step)) => {
                self.requests[request].flight = Some(flight);
                self.submit(now, request, step);
            }
            Err(_refusal) => self.end_unanswered(request),
        }
    }

    /// Claims the idempotency key of a request that may not be repeated.
    pub(super) fn claim(&mut self, request: RequestIx) -> Result<(), Refusal> {
        let recorded = self.requests[request].recorded;
        let (false, Some(key)) = (recorded.repeatable, &recorded.idempotency_key) else {
            return Ok(());
        };
        if !self.store_up {
            return Err(Refusal::ClaimUnavailable);
        }
        let key = (recorded.workspace.as_str(), key.as_str());
        if self.claims.contains_key(&key) {
            return Err(Refusal::DuplicateKey);
        }
        self.claims.insert(key, request);
        Ok(())
    }

    /// Does what the policy wants next.
    pub(super) fn act(&mut self, now: Duration, request: RequestIx, next: NextAction) {
        match next {
            NextAction::Deliver => self.deliver(now, request),
            NextAction::AwaitRating(wait) => {
                let run = self.requests[request].runs.last().copied();
                self.requests[request].awaiting = run;
                if let Some(run) = run {
                    self.events.push(now + wait, Event::RatingOverdue(run));
                }
            }
            NextAction::Run(step) => {
                if self.requests[request].has_answer {
                    self.count(request, |tally| tally.escalations += 1);
                }
                self.submit(now, request, step);
            }
            NextAction::Refuse(_) => self.end_unanswered(request),
        }
    }

    pub(super) fn rating(&mut self, now: Duration, run: RunIx) {
        if !self.rating_up {
            return;
        }
        let quality = self.runs[run].outcome.quality;
        let delay = self.settings.rating_delay;
        let request = self.runs[run].request;
        if self.requests[request].awaiting == Some(run) {
            self.judge(now, request, Some((quality, delay)));
        } else if self.requests[request].delivered == Some(run)
            && let Some(receipt) = self.requests[request].receipt.take()
        {
            self.driver.rated(now, &receipt, delay, quality);
        }
    }

    pub(super) fn rating_overdue(&mut self, now: Duration, run: RunIx) {
        let request = self.runs[run].request;
        if self.requests[request].awaiting == Some(run) {
            self.judge(now, request, None);
        }
    }

    pub(super) fn judge(
        &mut self,
        now: Duration,
        request: RequestIx,
        rating: Option<(f64, Duration)>,
    ) {
        self.requests[request].awaiting = None;
        let Some(mut flight) = self.requests[request].flight.take() else {
            return;
        };
        let next = self.driver.judged(now, &mut flight, rating);
        self.requests[request].flight = Some(flight);
        self.act(now, request, next);
    }

    /// The answer in hand is due: drops the run that was to improve on it.
    pub(super) fn deliver_held(&mut self, now: Duration, run: RunIx) {
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
        if let Some(flight) = &mut self.requests[request].flight {
            self.driver.cut_short(now, flight, spent);
        }
        self.deliver(now, request);
    }
}
