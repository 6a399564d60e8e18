//! A request's way through the entry: decide, run, judge, deliver, bill.

use std::{sync::Arc, time::Duration};

use pondwalk_decide::{DeliveredAnswer, InFlightRequest, NextAction, PlannedRun, Request};
use pondwalk_ledger::{Bill, BillItem, ClaimTicket};
use pondwalk_threads::lock;
use pondwalk_types::{Executed, Refusal};
use pondwalk_wire::RatingReport;
use tokio::sync::mpsc;

use crate::{
    answer::{Answer, Failure, Opening, Piece},
    bills::Copies,
    calls::call_context,
    claim,
    core::Core,
    incoming::Incoming,
    pins::Pin,
    rating::{RATING_TIMEOUT, RatingRequest},
    step::{StepEnd, StepRun},
};

/// Pieces that may wait for a slow caller.
const PIECES: usize = 256;

/// Serves a request in the background; its pieces come out of the channel.
///
/// Dropping the receiver cancels the request.
pub fn serve(core: Arc<Core>, incoming: Incoming) -> mpsc::Receiver<Piece> {
    let (out, pieces) = mpsc::channel(PIECES);
    let span = tracing::info_span!(
        "entry",
        request = incoming.request.as_str(),
        workspace = incoming.workspace.as_str(),
        task = incoming.task.as_str(),
    );
    let arrived = core.now();
    let traffic = core.traffic.clone();
    let serving =
        Serving { core, incoming, out, arrived, answers: Vec::new(), began: Executed::No };
    traffic.spawn(tracing::Instrument::instrument(serving.run(), span));
    pieces
}

struct Serving {
    core: Arc<Core>,
    incoming: Incoming,
    out: mpsc::Sender<Piece>,
    arrived: Duration,
    /// Answers by the number of the run that gave them.
    answers: Vec<Option<Answer>>,
    /// What is known of whether anything has run.
    began: Executed,
}

/// How a request ended.
enum Outcome {
    /// Its answer was delivered.
    Delivered,
    /// It got none.
    Failed(Failure),
    /// Its caller went away.
    CallerGone,
}

impl Serving {
    async fn run(mut self) {
        self.core.count("requests");
        let ticket = match claim::claim(&self.core, &self.incoming).await {
            Ok(ticket) => ticket,
            Err(refusal) => return self.fail(Failure::not_run(refusal)).await,
        };
        let outcome = self.follow_plan().await;
        self.settle_claim(&outcome, ticket);
        match outcome {
            Outcome::Delivered => self.core.count("requests.delivered"),
            Outcome::Failed(failure) => self.fail(failure).await,
            Outcome::CallerGone => self.core.count("requests.caller_gone"),
        }
    }

    fn settle_claim(&self, outcome: &Outcome, ticket: Option<ClaimTicket>) {
        let delivered = matches!(outcome, Outcome::Delivered);
        if !delivered && self.began == Executed::No {
            claim::release(&self.core, ticket);
        }
    }

    async fn fail(&self, failure: Failure) {
        self.core.count(&format!("requests.refused.{}", failure.refusal.code()));
        // NB: a caller that went away needs no reason.
        let _ = self.out.send(Piece::Fail(failure)).await;
    }

    /// Takes a further slice of the workspace's spend cap if its own is more than half used.
    async fn top_up_slice(&self) {
        let Core { slices, router, store, .. } = &*self.core;
        let workspace = &self.incoming.workspace;
        let installed = self.core.installed();
        let policy = installed.as_ref().map(|installed| &installed.configuration.policy);
        let cap = policy.and_then(|policy| policy.workspaces.get(workspace)?.spend_cap);
        let Some(cap) = cap else { return };
        if slices.top_up(workspace, cap, router, store).await.is_err() {
            self.core.count("spend.store_failed");
        }
    }

    async fn follow_plan(&mut self) -> Outcome {
        self.top_up_slice().await;
        let (mut flight, mut step) = match self.begin() {
            Ok(begun) => begun,
            Err(refusal) => return Outcome::Failed(Failure::not_run(refusal)),
        };
        loop {
            let end = self.run_step(&flight, &step).await;
            let next = match self.take_in(&mut flight, end) {
                Ok(next) => next,
                Err(outcome) => return outcome,
            };
            match self.after(&mut flight, next).await {
                Ok(further) => step = further,
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

    async fn run_step(&self, flight: &InFlightRequest, step: &PlannedRun) -> StepEnd {
        let may_show = step.rating_timeout.is_none() && self.answers.iter().all(Option::is_none);
        let wants = self.incoming.streaming || self.incoming.service.is_some();
        let opening = self.opening(flight, &step.version);
        let run = StepRun {
            core: &self.core,
            incoming: &self.incoming,
            step,
            arrived: self.arrived,
            show: (may_show && wants).then_some((&self.out, opening)),
            old_session: self.incoming.pin.as_ref().is_some_and(|p| p.version == step.version),
        };
        run.run(&self.out).await
    }

    /// What the caller is told when an answer of a version starts.
    fn opening(&self, flight: &InFlightRequest, version: &str) -> Opening {
        let session = self.incoming.session.as_ref().filter(|_| self.incoming.service.is_none());
        let pin = session.map(|session| {
            self.core.pins.sign(&Pin {
                workspace: self.incoming.workspace.clone(),
                session: session.clone(),
                version: version.to_owned(),
            })
        });
        Opening {
            version: version.to_owned(),
            pin,
            session_restarted: flight.session_restarted(),
            head: None,
        }
    }

    /// Tells the router how a run ended; an error ends the request.
    fn take_in(
        &mut self,
        flight: &mut InFlightRequest,
        end: StepEnd,
    ) -> Result<NextAction, Outcome> {
        let now = self.core.now();
        let mut router = lock(&self.core.router);
        let mut rng = rand::rng();
        match end {
            StepEnd::Whole(answer, done) => {
                let next = router.on_run_finished(now, flight, done);
                self.began = Executed::Yes;
                self.answers.resize(flight.run_count().saturating_sub(1), None);
                self.answers.push(Some(answer));
                Ok(next)
            }
            StepEnd::NotRun(refusal) => Ok(router.on_run_refused(now, &mut rng, flight, refusal)),
            StepEnd::Broken { refusal, ran, shown } => {
                self.began = if self.began == Executed::Yes { Executed::Yes } else { ran };
                let next = router.on_run_failed(now, &mut rng, flight, ran, 0.0, refusal.clone());
                if shown {
                    // NB: the caller has part of the answer, so another run cannot continue it.
                    router.abandon(flight, 0.0);
                    return Err(Outcome::Failed(Failure { refusal, ran }));
                }
                Ok(next)
            }
            StepEnd::HeldDue => {
                router.cancel_run(now, flight, 0.0);
                Ok(NextAction::Deliver)
            }
            StepEnd::CallerGone => {
                self.began = Executed::Unknown;
                router.abandon(flight, 0.0);
                Err(Outcome::CallerGone)
            }
        }
    }

    /// Does what the router wants next, up to the next run.
    async fn after(
        &mut self,
        flight: &mut InFlightRequest,
        next: NextAction,
    ) -> Result<PlannedRun, Outcome> {
        let mut next = next;
        loop {
            match next {
                NextAction::Run(step) => return Ok(step),
                NextAction::Deliver => return Err(self.deliver(flight).await),
                NextAction::Refuse(refusal) => {
                    return Err(Outcome::Failed(Failure { refusal, ran: self.began }));
                }
                NextAction::AwaitRating(wait) => {
                    let rating = self.rate_held(wait).await;
                    let now = self.core.now();
                    let mut router = lock(&self.core.router);
                    next = router.on_rating(now, &mut rand::rng(), flight, rating);
                }
            }
        }
    }

    async fn rate_held(&self, wait: Duration) -> Option<(f64, Duration)> {
        let answer = self.answers.iter().rev().flatten().next()?;
        let rating = self.core.rating.as_ref()?;
        let asked = self.core.now();
        let quality = rating.rate(&self.rating_request(answer), wait).await?;
        report_rating(&self.core, answer, &self.incoming.task, quality);
        Some((quality, self.core.now().saturating_sub(asked)))
    }

    fn rating_request(&self, answer: &Answer) -> RatingRequest {
        RatingRequest {
            task: self.incoming.task.clone(),
            version: answer.version.clone(),
            prompt: String::from_utf8_lossy(&self.incoming.body).into_owned(),
            answer: answer.text(),
        }
    }

    /// Bills the answer in hand and hands it to the caller.
    async fn deliver(&mut self, flight: &mut InFlightRequest) -> Outcome {
        let number = flight.answer_run_index();
        let answer = number.and_then(|number| self.answers.get_mut(number)?.take());
        let Some(answer) = answer else {
            let refusal = Refusal::Cut;
            return Outcome::Failed(Failure { refusal, ran: self.began });
        };
        let bill = self.bill(&answer);
        let Core { bills, fleet, store, incarnation, .. } = &*self.core;
        if bills.hold(bill, &answer.server, *incarnation, fleet, store).await == Copies::One {
            self.core.count("bills.single_copy");
        }
        let receipt = lock(&self.core.router).on_delivered(self.core.now(), flight);
        let shown = self.was_shown(flight, &answer);
        if !shown {
            let opening = self.opening(flight, &answer.version);
            let opening = Opening { head: answer.head.clone(), ..opening };
            let _ = self.out.send(Piece::Open(opening)).await;
            for part in &answer.parts {
                let _ = self.out.send(Piece::Data(part.clone())).await;
            }
        }
        let _ = self.out.send(Piece::End).await;
        self.rate_later(answer, receipt);
        Outcome::Delivered
    }

    /// Whether the answer's pieces went out while it ran: then it was the only one, and not held.
    fn was_shown(&self, flight: &InFlightRequest, answer: &Answer) -> bool {
        let wants = self.incoming.streaming || self.incoming.service.is_some();
        wants && flight.is_pass_through() && !answer.parts.is_empty()
    }

    fn bill(&self, delivered: &Answer) -> Bill {
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

    /// Has a delivered answer rated in the background, if it was not rated before.
    fn rate_later(&self, answer: Answer, receipt: Option<DeliveredAnswer>) {
        let Some(receipt) = receipt.filter(|receipt| !receipt.is_rated()) else {
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
            let asked = core.now();
            let Some(quality) = rating.rate(&request, RATING_TIMEOUT).await else {
                return core.count("ratings.missed");
            };
            let now = core.now();
            lock(&core.router).on_late_rating(now, &receipt, now.saturating_sub(asked), quality);
            report_rating(&core, &answer, &task, quality);
        });
    }
}

/// Tells the agent whose server gave an answer how it was rated.
fn report_rating(core: &Core, answer: &Answer, task: &str, quality: f64) {
    let Some(client) = core.fleet.get(&answer.server).and_then(|link| link.client()) else {
        return;
    };
    let report = RatingReport { version: answer.version.clone(), task: task.to_owned(), quality };
    core.traffic.spawn(async move {
        // NB: a rating lost is one sample less.
        let _ = client.rate(call_context(), report).await;
    });
}
