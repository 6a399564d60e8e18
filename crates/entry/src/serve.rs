//! Serving of a request: routing, runs, ratings, delivery and billing.

use std::{sync::Arc, time::Duration};

use pondwalk_decide::{DeliveredAnswer, InFlightRequest, NextAction, PlannedRun, Request};
use pondwalk_ledger::{Bill, BillItem, ClaimTicket};
use pondwalk_threads::lock;
use pondwalk_types::{Executed, Refusal};
use pondwalk_wire::RatingReport;
use tokio::sync::mpsc;

use crate::{
    agent_run::{AgentRun, RunEnd},
    answer::{Answer, AnswerEvent, AnswerHead, Failure},
    bills::Copies,
    calls::call_context,
    claim,
    core::Core,
    incoming::IncomingRequest,
    pins::Pin,
    rating::{RATING_TIMEOUT, RatingRequest},
};

/// Number of events buffered for a slow caller.
const EVENT_BUFFER_SIZE: usize = 256;

/// Serves a request in the background and sends the events of its answer to the channel.
///
/// Dropping the receiver cancels the request.
pub fn serve(core: Arc<Core>, incoming: IncomingRequest) -> mpsc::Receiver<AnswerEvent> {
    let (out, events) = mpsc::channel(EVENT_BUFFER_SIZE);
    let span = tracing::info_span!(
        "entry",
        request = incoming.request.as_str(),
        workspace = incoming.workspace.as_str(),
        task = incoming.task.as_str(),
    );
    let arrived = core.now();
    let traffic = core.traffic.clone();
    let handler = RequestHandler {
        core,
        incoming,
        out,
        arrived,
        answers: Vec::new(),
        executed: Executed::No,
    };
    traffic.spawn(tracing::Instrument::instrument(handler.run(), span));
    events
}

struct RequestHandler {
    core: Arc<Core>,
    incoming: IncomingRequest,
    out: mpsc::Sender<AnswerEvent>,
    arrived: Duration,
    /// Answers by the index of the run that produced them.
    answers: Vec<Option<Answer>>,
    /// Whether any run of the request has been executed.
    executed: Executed,
}

/// How a request ended.
enum Outcome {
    /// The answer was delivered.
    Delivered,
    /// There is no answer.
    Failed(Failure),
    /// The caller disconnected.
    CallerDisconnected,
}

impl RequestHandler {
    async fn run(mut self) {
        self.core.count("requests");
        let ticket = match claim::claim(&self.core, &self.incoming).await {
            Ok(ticket) => ticket,
            Err(refusal) => return self.fail(Failure::not_run(refusal)).await,
        };
        let outcome = self.execute().await;
        self.settle_claim(&outcome, ticket);
        match outcome {
            Outcome::Delivered => self.core.count("requests.delivered"),
            Outcome::Failed(failure) => self.fail(failure).await,
            Outcome::CallerDisconnected => self.core.count("requests.caller_gone"),
        }
    }

    fn settle_claim(&self, outcome: &Outcome, ticket: Option<ClaimTicket>) {
        let delivered = matches!(outcome, Outcome::Delivered);
        if !delivered && self.executed == Executed::No {
            claim::release(&self.core, ticket);
        }
    }

    async fn fail(&self, failure: Failure) {
        self.core.count(&format!("requests.refused.{}", failure.refusal.code()));
        // NB: fails only if the caller has disconnected.
        let _ = self.out.send(AnswerEvent::Fail(failure)).await;
    }

    /// Allocates a further slice of the workspace's spend cap if less than half a slice is left.
    async fn refill_spend_slice(&self) {
        let Core { spend_slices, router, store, .. } = &*self.core;
        let workspace = &self.incoming.workspace;
        let installed = self.core.installed();
        let policy = installed.as_ref().map(|installed| &installed.configuration.policy);
        let cap = policy.and_then(|policy| policy.workspaces.get(workspace)?.spend_cap);
        let Some(cap) = cap else { return };
        if spend_slices.refill(workspace, cap, router, store).await.is_err() {
            self.core.count("spend.store_failed");
        }
    }

    async fn execute(&mut self) -> Outcome {
        self.refill_spend_slice().await;
        let (mut in_flight, mut planned) = match self.begin() {
            Ok(started) => started,
            Err(refusal) => return Outcome::Failed(Failure::not_run(refusal)),
        };
        loop {
            let end = self.execute_run(&in_flight, &planned).await;
            let next = match self.on_run_end(&mut in_flight, end) {
                Ok(next) => next,
                Err(outcome) => return outcome,
            };
            match self.next_run(&mut in_flight, next).await {
                Ok(next_run) => planned = next_run,
                Err(outcome) => return outcome,
            }
        }
    }

    fn begin(&self) -> Result<(InFlightRequest, PlannedRun), Refusal> {
        let incoming = &self.incoming;
        let request = Request {
            workspace: &incoming.workspace,
            task: &incoming.task,
            session: incoming.session.as_deref(),
            pin: incoming.pin.as_ref().map(|pin| pin.version.as_str()),
            service: incoming.service.as_ref().map(|(service, _)| service.as_str()),
            version: incoming.version.as_deref(),
            prompt_tokens: incoming.prompt_tokens,
            prefix: incoming.prefix,
            arrived: self.arrived,
            deadline: self.arrived + incoming.deadline,
            repeatable: incoming.repeatable,
            streaming: incoming.streaming,
        };
        let now = self.core.now();
        lock(&self.core.router).begin(now, &mut rand::rng(), &request)
    }

    async fn execute_run(&self, in_flight: &InFlightRequest, planned: &PlannedRun) -> RunEnd {
        let may_stream =
            planned.rating_timeout.is_none() && self.answers.iter().all(Option::is_none);
        let wants_stream = self.incoming.streaming || self.incoming.service.is_some();
        let answer_head = self.answer_head(in_flight, &planned.version);
        let run = AgentRun {
            core: &self.core,
            incoming: &self.incoming,
            planned,
            arrived: self.arrived,
            stream_to: (may_stream && wants_stream).then_some((&self.out, answer_head)),
            old_session: self.incoming.pin.as_ref().is_some_and(|p| p.version == planned.version),
        };
        run.run(&self.out).await
    }

    /// The metadata that the caller receives when an answer of a version starts.
    fn answer_head(&self, in_flight: &InFlightRequest, version: &str) -> AnswerHead {
        let session = self.incoming.session.as_ref().filter(|_| self.incoming.service.is_none());
        let pin = session.map(|session| {
            self.core.pins.sign(&Pin {
                workspace: self.incoming.workspace.clone(),
                session: session.clone(),
                version: version.to_owned(),
            })
        });
        AnswerHead {
            version: version.to_owned(),
            pin,
            session_restarted: in_flight.session_restarted(),
            head: None,
        }
    }

    /// Passes the end of a run to the router; an error ends the request.
    fn on_run_end(
        &mut self,
        in_flight: &mut InFlightRequest,
        end: RunEnd,
    ) -> Result<NextAction, Outcome> {
        let now = self.core.now();
        let mut router = lock(&self.core.router);
        let mut rng = rand::rng();
        match end {
            RunEnd::Finished(answer, finished) => {
                let next = router.on_run_finished(now, in_flight, finished);
                self.executed = Executed::Yes;
                self.answers.resize(in_flight.run_count().saturating_sub(1), None);
                self.answers.push(Some(answer));
                Ok(next)
            }
            RunEnd::NotRun(refusal) => Ok(router.on_run_refused(now, &mut rng, in_flight, refusal)),
            RunEnd::Failed { refusal, executed, streamed } => {
                self.executed =
                    if self.executed == Executed::Yes { Executed::Yes } else { executed };
                let next =
                    router.on_run_failed(now, &mut rng, in_flight, executed, 0.0, refusal.clone());
                if streamed {
                    // NB: the caller has part of the answer, so another run cannot continue it.
                    router.abandon(in_flight, 0.0);
                    return Err(Outcome::Failed(Failure { refusal, executed }));
                }
                Ok(next)
            }
            RunEnd::FallbackDue => {
                router.cancel_run(now, in_flight, 0.0);
                Ok(NextAction::Deliver)
            }
            RunEnd::CallerDisconnected => {
                self.executed = Executed::Unknown;
                router.abandon(in_flight, 0.0);
                Err(Outcome::CallerDisconnected)
            }
        }
    }

    /// Performs the next actions up to the next run; an error ends the request.
    async fn next_run(
        &mut self,
        in_flight: &mut InFlightRequest,
        next: NextAction,
    ) -> Result<PlannedRun, Outcome> {
        let mut next = next;
        loop {
            match next {
                NextAction::Run(planned) => return Ok(planned),
                NextAction::Deliver => return Err(self.deliver(in_flight).await),
                NextAction::Refuse(refusal) => {
                    return Err(Outcome::Failed(Failure { refusal, executed: self.executed }));
                }
                NextAction::AwaitRating(wait) => {
                    let rating = self.rate_held_answer(wait).await;
                    let now = self.core.now();
                    let mut router = lock(&self.core.router);
                    next = router.on_rating(now, &mut rand::rng(), in_flight, rating);
                }
            }
        }
    }

    async fn rate_held_answer(&self, wait: Duration) -> Option<(f64, Duration)> {
        let answer = self.answers.iter().rev().flatten().next()?;
        let rating = self.core.rating.as_ref()?;
        let requested_at = self.core.now();
        let quality = rating.rate(&self.rating_request(answer), wait).await?;
        report_rating(&self.core, answer, &self.incoming.task, quality);
        Some((quality, self.core.now().saturating_sub(requested_at)))
    }

    fn rating_request(&self, answer: &Answer) -> RatingRequest {
        RatingRequest {
            task: self.incoming.task.clone(),
            version: answer.version.clone(),
            prompt: String::from_utf8_lossy(&self.incoming.body).into_owned(),
            answer: answer.text(),
        }
    }

    /// Bills the chosen answer and delivers it to the caller.
    async fn deliver(&mut self, in_flight: &mut InFlightRequest) -> Outcome {
        let run_index = in_flight.answer_run_index();
        let answer = run_index.and_then(|run_index| self.answers.get_mut(run_index)?.take());
        let Some(answer) = answer else {
            let refusal = Refusal::Cut;
            return Outcome::Failed(Failure { refusal, executed: self.executed });
        };
        let bill = self.build_bill(&answer);
        let Core { bills, agents, store, incarnation, .. } = &*self.core;
        if bills.replicate(bill, &answer.server, *incarnation, agents, store).await == Copies::One {
            self.core.count("bills.single_copy");
        }
        let delivered_answer = lock(&self.core.router).on_delivered(self.core.now(), in_flight);
        let streamed = self.was_streamed(in_flight, &answer);
        if !streamed {
            let answer_head = self.answer_head(in_flight, &answer.version);
            let answer_head = AnswerHead { head: answer.head.clone(), ..answer_head };
            let _ = self.out.send(AnswerEvent::Start(answer_head)).await;
            for part in &answer.parts {
                let _ = self.out.send(AnswerEvent::Data(part.clone())).await;
            }
        }
        let _ = self.out.send(AnswerEvent::End).await;
        self.rate_in_background(answer, delivered_answer);
        Outcome::Delivered
    }

    /// Whether the answer was streamed while it ran: the first answer, not held for a rating.
    fn was_streamed(&self, in_flight: &InFlightRequest, answer: &Answer) -> bool {
        let wants_stream = self.incoming.streaming || self.incoming.service.is_some();
        wants_stream && in_flight.is_pass_through() && !answer.parts.is_empty()
    }

    fn build_bill(&self, delivered: &Answer) -> Bill {
        let installed = self.core.installed();
        let ended = self.answers.iter().flatten().chain(std::iter::once(delivered));
        let items = ended.map(|answer| {
            let price = installed.as_ref().map(|installed| installed.price(&answer.version));
            BillItem {
                version: answer.version.clone(),
                prompt_tokens: answer.usage.prompt_tokens,
                output_tokens: answer.usage.output_tokens,
                cost: price.unwrap_or_default().cost(answer.usage),
            }
        });
        Bill {
            request: self.incoming.request.clone(),
            workspace: self.incoming.workspace.clone(),
            items: items.collect(),
        }
    }

    /// Requests a rating of a delivered answer in the background, unless it is already rated.
    fn rate_in_background(&self, answer: Answer, delivered_answer: Option<DeliveredAnswer>) {
        let Some(delivered_answer) =
            delivered_answer.filter(|delivered_answer| !delivered_answer.is_rated())
        else {
            return;
        };
        let chat = self.incoming.service.is_none();
        let sampled = rand::random::<f64>() < self.core.settings.rating_share
            || lock(&self.core.router).trial(&answer.version).is_some();
        let Some(rating) = self.core.rating.clone().filter(|_| chat && sampled) else {
            return;
        };
        let core = self.core.clone();
        let request = self.rating_request(&answer);
        let task = self.incoming.task.clone();
        self.core.traffic.spawn(async move {
            let requested_at = core.now();
            let Some(quality) = rating.rate(&request, RATING_TIMEOUT).await else {
                return core.count("ratings.missed");
            };
            let now = core.now();
            lock(&core.router).on_late_rating(
                now,
                &delivered_answer,
                now.saturating_sub(requested_at),
                quality,
            );
            report_rating(&core, &answer, &task, quality);
        });
    }
}

/// Sends a rating to the agent of the server that produced the answer.
fn report_rating(core: &Core, answer: &Answer, task: &str, quality: f64) {
    let Some(client) = core.agents.get(&answer.server).and_then(|link| link.client()) else {
        return;
    };
    let report = RatingReport { version: answer.version.clone(), task: task.to_owned(), quality };
    core.traffic.spawn(async move {
        // NB: a lost report costs the agent one sample.
        let _ = client.rate(call_context(), report).await;
    });
}
