//! Asks the entry that grants a content's probes, and answers such questions.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use pondwalk_decide::direct::{ContentHash, ProbeDecision};
use serde::{Deserialize, Serialize};

use super::{AgedCrash, ProbeLease, QuarantineEvent};
use crate::{
    content::content_text,
    core::Core,
    event_log::LogPriority,
    membership::{MessageError, PROBE_PATH, PeerError, from_message, query_peer, to_message},
    metrics::Counter,
    request::Job,
};

/// Entries that are asked in turn. One that is gone is passed over; more than three in a row say that
/// this entry is cut off itself.
const MAX_GRANTERS_TRIED: usize = 3;
/// Pause before a request may be tried again whose probe nobody could grant.
const UNANSWERED_BACKOFF: Duration = Duration::from_secs(1);

/// What an entry that grants probes is asked.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProbeRequest {
    /// For leave to run a content once.
    Ask {
        /// The content.
        content: ContentHash,
        /// Longest time that the run may take.
        lease: Duration,
        /// The ends that the asker knows of, which may not have come to the other yet.
        ends: Vec<AgedCrash>,
    },
    /// To take it back, since it was of no use.
    GiveBack(ContentHash),
}

/// Tells whether it may.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProbeResponse {
    /// It is taken back.
    TakenBack,
    /// It may run once.
    Given,
    /// Another one of its content runs as a probe now.
    Probed,
    /// It may not, for so long.
    Refused {
        /// Time until it may be asked for again.
        opens_in: Duration,
    },
}

impl Core {
    /// Asks for leave to run a request once; whoever is asked keeps all others from it meanwhile. Given
    /// leave comes as a lease.
    pub async fn request_probe(self: &Rc<Self>, job: &Job) -> Result<ProbeLease, ProbeDecision> {
        let lease = job.deadline.saturating_sub(self.clock.now());
        let content = job.content();
        let mut error = None;
        for (name, address) in
            self.members.granting_order(content).into_iter().take(MAX_GRANTERS_TRIED)
        {
            let Some(address) = address else {
                let grant = self.grant_probe(content, lease);
                return self.accept_grant(job, grant, None, &name);
            };
            match self.request_probe_at(address, content, lease).await {
                Ok(ProbeResponse::Given) => {
                    return self.accept_grant(job, ProbeDecision::Granted, Some(address), &name);
                }
                Ok(ProbeResponse::Probed) => return Err(ProbeDecision::InProgress),
                Ok(ProbeResponse::Refused { opens_in }) => {
                    return Err(ProbeDecision::Refused { until: self.clock.now() + opens_in });
                }
                Ok(ProbeResponse::TakenBack) => error = Some(MessageError::Contradictory.into()),
                Err(failed) => error = Some(failed),
            }
        }
        let error = error.map_or_else(|| "no entry is known".to_owned(), |one| one.to_string());
        let event = QuarantineEvent::ProbeUnanswered {
            request: &job.id,
            content: &content_text(content),
            error,
        };
        self.event_log.record(LogPriority::Failure, &event);
        Err(ProbeDecision::Refused { until: self.clock.now() + UNANSWERED_BACKOFF })
    }

    async fn request_probe_at(
        &self,
        address: SocketAddr,
        content: ContentHash,
        lease: Duration,
    ) -> Result<ProbeResponse, PeerError> {
        let ends = self.state.borrow().quarantine.crashes_of(content, self.clock.now());
        self.exchange(address, &ProbeRequest::Ask { content, lease, ends }).await
    }

    /// Tells the entry that granted a probe that it was of no use.
    pub async fn send_probe_release(&self, address: SocketAddr, request: ProbeRequest) {
        if let Err(error) = self.exchange(address, &request).await {
            let event = QuarantineEvent::ProbeNotGivenBack { error: error.to_string() };
            self.event_log.record(LogPriority::Failure, &event);
        }
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        request: &ProbeRequest,
    ) -> Result<ProbeResponse, PeerError> {
        query_peer(self, address, PROBE_PATH, request).await
    }

    /// Answers another entry's question.
    pub fn handle_probe_request(&self, request: &[u8]) -> Result<Bytes, MessageError> {
        let store = self.settings.store.address;
        let (content, lease) = match from_message(request, store)? {
            ProbeRequest::Ask { content, lease, ends } => {
                self.receive_crashes(&ends, Duration::ZERO);
                (content, lease)
            }
            ProbeRequest::GiveBack(content) => {
                self.state.borrow_mut().quarantine.release_probe(content);
                return to_message(store, &ProbeResponse::TakenBack);
            }
        };
        let answer = match self.grant_probe(content, lease) {
            ProbeDecision::Granted => ProbeResponse::Given,
            ProbeDecision::InProgress => ProbeResponse::Probed,
            ProbeDecision::Refused { until } => {
                ProbeResponse::Refused { opens_in: until.saturating_sub(self.clock.now()) }
            }
        };
        to_message(store, &answer)
    }

    fn accept_grant(
        self: &Rc<Self>,
        job: &Job,
        grant: ProbeDecision,
        granted_by: Option<SocketAddr>,
        by: &str,
    ) -> Result<ProbeLease, ProbeDecision> {
        if grant != ProbeDecision::Granted {
            return Err(grant);
        }
        self.metrics.count(Counter::Probes);
        let event = QuarantineEvent::ProbeGranted {
            request: &job.id,
            content: &content_text(job.content()),
            servers_ended: self.crash_count(job),
            by,
        };
        self.event_log.record(LogPriority::Failure, &event);
        Ok(ProbeLease::new(self, job.content(), granted_by))
    }
}
