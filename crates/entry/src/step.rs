//! One run at one agent: start, frames, end.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use pondwalk_decide::{FinishedRun, PlannedRun};
use pondwalk_types::{Executed, Refusal, Work};
use pondwalk_wire::{FrameKind, RunKey, StartRequest};
use tokio::sync::mpsc;

use crate::{
    answer::{Answer, Opening, Piece},
    core::Core,
    incoming::Incoming,
    link::{Frames, Link},
};

/// How a run ended.
#[derive(Debug)]
pub enum StepEnd {
    /// The answer is whole.
    Whole(Answer, FinishedRun),
    /// The agent refused it; it has truly not run.
    NotRun(Refusal),
    /// It failed or broke off.
    Broken {
        /// The reason.
        refusal: Refusal,
        /// Whether it ran.
        ran: Executed,
        /// Whether part of the answer has gone to the caller.
        shown: bool,
    },
    /// The answer in hand is due, and this run was dropped for it.
    HeldDue,
    /// The caller went away, and the run was cancelled.
    CallerGone,
}

/// What a run needs to know.
pub struct StepRun<'a> {
    /// The entry.
    pub core: &'a Arc<Core>,
    /// The request.
    pub incoming: &'a Incoming,
    /// What to run where.
    pub step: &'a PlannedRun,
    /// When the request arrived, by the entry's clock.
    pub arrived: Duration,
    /// Where the answer's pieces go as they come, if they may be shown at once.
    pub show: Option<(&'a mpsc::Sender<Piece>, Opening)>,
    /// Whether the session has had an answer from this version.
    pub old_session: bool,
}

impl StepRun<'_> {
    /// Runs to the end, or until `gone` says that the caller went away.
    pub async fn run(self, gone: &mpsc::Sender<Piece>) -> StepEnd {
        let Some(link) = self.core.fleet.get(&self.step.server) else {
            return StepEnd::NotRun(Refusal::NoServer);
        };
        let run = RunKey { entry: self.core.incarnation, attempt: self.core.attempt() };
        let frames = link.expect(run.attempt);
        let end = tokio::select! {
            end = self.start_and_follow(&link, run, frames) => end,
            () = self.held_due() => StepEnd::HeldDue,
            () = gone.closed() => StepEnd::CallerGone,
        };
        link.forget(run.attempt);
        if matches!(end, StepEnd::HeldDue | StepEnd::CallerGone | StepEnd::Broken { .. }) {
            link.cancel(run).await;
        }
        end
    }

    async fn held_due(&self) {
        match self.step.fallback_deadline {
            Some(at) => tokio::time::sleep(at.saturating_sub(self.core.now())).await,
            None => std::future::pending().await,
        }
    }

    async fn start_and_follow(&self, link: &Link, run: RunKey, frames: Frames) -> StepEnd {
        match self.start(link, run).await {
            Ok(()) => self.follow(frames).await,
            Err(end) => end,
        }
    }

    async fn start(&self, link: &Link, run: RunKey) -> Result<(), StepEnd> {
        let refusal = match self.try_start(link, run).await? {
            None => return Ok(()),
            Some(refusal) => refusal,
        };
        let behind = matches!(refusal, Refusal::StaleGeneration { .. } | Refusal::NoConfiguration);
        let installed = self.core.installed().filter(|_| behind);
        if let Some(installed) = installed
            && link.configure(installed.configuration.clone()).await
        {
            return match self.try_start(link, run).await? {
                None => Ok(()),
                Some(refusal) => Err(StepEnd::NotRun(refusal)),
            };
        }
        Err(StepEnd::NotRun(refusal))
    }

    async fn try_start(&self, link: &Link, run: RunKey) -> Result<Option<Refusal>, StepEnd> {
        match link.start(self.start_request(run)).await {
            Some(Ok(reply)) => Ok(reply.refusal),
            // NB: the agent may have the request although its reply did not come.
            Some(Err(_)) => Err(StepEnd::Broken {
                refusal: Refusal::ContactLost,
                ran: Executed::Unknown,
                shown: false,
            }),
            None => Err(StepEnd::NotRun(Refusal::ContactLost)),
        }
    }

    fn start_request(&self, run: RunKey) -> StartRequest {
        let incoming = self.incoming;
        let work = match &incoming.service {
            Some((service, path)) => Work::Service { service: service.clone(), path: path.clone() },
            None => Work::Chat(self.step.version.clone()),
        };
        StartRequest {
            run,
            request: incoming.request.clone(),
            generation: self.core.generation(),
            workspace: incoming.workspace.clone(),
            task: incoming.task.clone(),
            work,
            old_session: self.old_session,
            deadline_left: (self.arrived + incoming.deadline).saturating_sub(self.core.now()),
            stated_deadline: incoming.deadline,
            prompt_tokens: incoming.prompt_tokens,
            content_type: incoming.content_type.clone(),
            body: incoming.body.clone(),
        }
    }

    async fn follow(&self, mut frames: Frames) -> StepEnd {
        let mut answer = Answer {
            version: self.step.version.clone(),
            server: self.step.server.clone(),
            ..Answer::default()
        };
        let mut shown = false;
        let mut began = false;
        while let Some(frame) = frames.recv().await {
            match frame {
                FrameKind::Began => began = true,
                FrameKind::NotRun(refusal) => return StepEnd::NotRun(refusal),
                FrameKind::Head { status, content_type } => {
                    answer.head = Some((status, content_type));
                }
                FrameKind::Data(data) => {
                    let data = Bytes::from(data);
                    self.show(&mut shown, &answer, data.clone()).await;
                    answer.parts.push(data);
                }
                FrameKind::Ended { usage, service } => {
                    answer.usage = usage;
                    let done =
                        FinishedRun { output_tokens: usage.output_tokens, service_time: service };
                    return StepEnd::Whole(answer, done);
                }
                FrameKind::Failed(refusal) => {
                    let lost = refusal == Refusal::ContactLost;
                    let ran = if began && !lost { Executed::Yes } else { Executed::Unknown };
                    return StepEnd::Broken { refusal, ran, shown };
                }
            }
        }
        StepEnd::Broken { refusal: Refusal::ContactLost, ran: Executed::Unknown, shown }
    }

    async fn show(&self, shown: &mut bool, answer: &Answer, data: Bytes) {
        let Some((out, opening)) = &self.show else {
            return;
        };
        if !*shown {
            *shown = true;
            let opening = Opening { head: answer.head.clone(), ..opening.clone() };
            // NB: a caller that went away is noticed by the one who runs the step.
            let _ = out.send(Piece::Open(opening)).await;
        }
        let _ = out.send(Piece::Data(data)).await;
    }
}
