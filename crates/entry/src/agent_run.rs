//! One run at one agent, from its start to its last frame.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use pondwalk_decide::{FinishedRun, PlannedRun};
use pondwalk_types::{Executed, Refusal, Work};
use pondwalk_wire::{FrameKind, RunKey, StartRequest};
use tokio::sync::mpsc;

use crate::{
    answer::{Answer, AnswerEvent, AnswerHead},
    core::Core,
    incoming::IncomingRequest,
    link::{AgentLink, Frames},
};

/// How a run ended.
#[derive(Debug)]
pub enum RunEnd {
    /// The run finished with a complete answer.
    Finished(Answer, FinishedRun),
    /// The agent refused the run; it was not executed.
    NotRun(Refusal),
    /// The run failed or broke off.
    Failed {
        /// The reason.
        refusal: Refusal,
        /// Whether it was executed.
        executed: Executed,
        /// Whether the caller has received part of the answer.
        streamed: bool,
    },
    /// The earlier answer is due, and the run was cancelled.
    FallbackDue,
    /// The caller disconnected, and the run was cancelled.
    CallerDisconnected,
}

/// Inputs of a run.
pub struct AgentRun<'a> {
    /// Shared state of the entry.
    pub core: &'a Arc<Core>,
    /// The request.
    pub incoming: &'a IncomingRequest,
    /// The version and server to run on.
    pub planned: &'a PlannedRun,
    /// Arrival time of the request, by the entry's clock.
    pub arrived: Duration,
    /// Sender and metadata for streaming; `None` if the answer is not streamed.
    pub stream_to: Option<(&'a mpsc::Sender<AnswerEvent>, AnswerHead)>,
    /// Whether the session is already pinned to this version.
    pub old_session: bool,
}

impl AgentRun<'_> {
    /// Runs to the end, or until the receiver of `caller` is closed.
    pub async fn run(self, caller: &mpsc::Sender<AnswerEvent>) -> RunEnd {
        let Some(link) = self.core.agents.get(&self.planned.server) else {
            return RunEnd::NotRun(Refusal::NoServer);
        };
        let run = RunKey { entry: self.core.incarnation, attempt: self.core.next_attempt_id() };
        let frames = link.register_attempt(run.attempt);
        let end = tokio::select! {
            end = self.start_and_receive(&link, run, frames) => end,
            () = self.fallback_due() => RunEnd::FallbackDue,
            () = caller.closed() => RunEnd::CallerDisconnected,
        };
        link.unregister_attempt(run.attempt);
        if matches!(end, RunEnd::FallbackDue | RunEnd::CallerDisconnected | RunEnd::Failed { .. }) {
            link.cancel(run).await;
        }
        end
    }

    async fn fallback_due(&self) {
        match self.planned.fallback_deadline {
            Some(at) => tokio::time::sleep(at.saturating_sub(self.core.now())).await,
            None => std::future::pending().await,
        }
    }

    async fn start_and_receive(&self, link: &AgentLink, run: RunKey, frames: Frames) -> RunEnd {
        match self.start(link, run).await {
            Ok(()) => self.receive_frames(frames).await,
            Err(end) => end,
        }
    }

    async fn start(&self, link: &AgentLink, run: RunKey) -> Result<(), RunEnd> {
        let refusal = match self.try_start(link, run).await? {
            None => return Ok(()),
            Some(refusal) => refusal,
        };
        let is_outdated =
            matches!(refusal, Refusal::StaleGeneration { .. } | Refusal::NoConfiguration);
        let installed = self.core.installed().filter(|_| is_outdated);
        if let Some(installed) = installed
            && link.configure(installed.configuration.clone()).await
        {
            return match self.try_start(link, run).await? {
                None => Ok(()),
                Some(refusal) => Err(RunEnd::NotRun(refusal)),
            };
        }
        Err(RunEnd::NotRun(refusal))
    }

    async fn try_start(&self, link: &AgentLink, run: RunKey) -> Result<Option<Refusal>, RunEnd> {
        match link.start(self.start_request(run)).await {
            Some(Ok(reply)) => Ok(reply.refusal),
            // NB: the agent may have received the request although the reply is missing.
            Some(Err(_)) => Err(RunEnd::Failed {
                refusal: Refusal::ContactLost,
                executed: Executed::Unknown,
                streamed: false,
            }),
            None => Err(RunEnd::NotRun(Refusal::ContactLost)),
        }
    }

    fn start_request(&self, run: RunKey) -> StartRequest {
        let incoming = self.incoming;
        let work = match &incoming.service {
            Some((service, path)) => Work::Service { service: service.clone(), path: path.clone() },
            None => Work::Chat(self.planned.version.clone()),
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

    async fn receive_frames(&self, mut frames: Frames) -> RunEnd {
        let mut answer = Answer {
            version: self.planned.version.clone(),
            server: self.planned.server.clone(),
            ..Answer::default()
        };
        let mut streamed = false;
        let mut has_begun = false;
        while let Some(frame) = frames.recv().await {
            match frame {
                FrameKind::Began => has_begun = true,
                FrameKind::NotRun(refusal) => return RunEnd::NotRun(refusal),
                FrameKind::Head { status, content_type } => {
                    answer.head = Some((status, content_type));
                }
                FrameKind::Data(data) => {
                    let data = Bytes::from(data);
                    self.forward(&mut streamed, &answer, data.clone()).await;
                    answer.parts.push(data);
                }
                FrameKind::Ended { usage, service } => {
                    answer.usage = usage;
                    let finished =
                        FinishedRun { output_tokens: usage.output_tokens, service_time: service };
                    return RunEnd::Finished(answer, finished);
                }
                FrameKind::Failed(refusal) => {
                    let contact_lost = refusal == Refusal::ContactLost;
                    let executed =
                        if has_begun && !contact_lost { Executed::Yes } else { Executed::Unknown };
                    return RunEnd::Failed { refusal, executed, streamed };
                }
            }
        }
        RunEnd::Failed { refusal: Refusal::ContactLost, executed: Executed::Unknown, streamed }
    }

    async fn forward(&self, streamed: &mut bool, answer: &Answer, data: Bytes) {
        let Some((out, answer_head)) = &self.stream_to else {
            return;
        };
        if !*streamed {
            *streamed = true;
            let answer_head = AnswerHead { head: answer.head.clone(), ..answer_head.clone() };
            // NB: a disconnected caller is detected in `run`.
            let _ = out.send(AnswerEvent::Start(answer_head)).await;
        }
        let _ = out.send(AnswerEvent::Data(data)).await;
    }
}
