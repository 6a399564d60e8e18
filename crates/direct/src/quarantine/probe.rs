//! Requests probes from the entry that grants them for a content, and handles such queries.

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

/// Granters tried in order. If more than three in a row don't reply, this entry is probably
/// isolated itself.
const MAX_GRANTERS_TRIED: usize = 3;
/// Backoff after a probe query that no entry replied to.
const UNANSWERED_BACKOFF: Duration = Duration::from_secs(1);

/// Query to an entry that grants probes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProbeQuery {
    /// Requests permission to run a content once.
    Ask {
        /// The content.
        content: ContentHash,
        /// Maximum duration of the run.
        lease: Duration,
        /// Crashes known to the querying entry, which the granter may not have received yet.
        ends: Vec<AgedCrash>,
    },
    /// Releases a probe that was not used.
    GiveBack(ContentHash),
}

/// Reply to a probe query.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProbeReply {
    /// The probe was released.
    TakenBack,
    /// The content may run once.
    Given,
    /// Another request with this content is running as a probe.
    Probed,
    /// The content may not run for now.
    Refused {
        /// Time until a probe may be requested again.
        opens_in: Duration,
    },
}

impl Core {
    /// Requests permission to run a request once; the granter blocks all others meanwhile. A
    /// granted probe is returned as a lease.
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
                Ok(ProbeReply::Given) => {
                    return self.accept_grant(job, ProbeDecision::Granted, Some(address), &name);
                }
                Ok(ProbeReply::Probed) => return Err(ProbeDecision::InProgress),
                Ok(ProbeReply::Refused { opens_in }) => {
                    return Err(ProbeDecision::Refused { until: self.clock.now() + opens_in });
                }
                Ok(ProbeReply::TakenBack) => error = Some(MessageError::Contradictory.into()),
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
    ) -> Result<ProbeReply, PeerError> {
        let ends = self.state.borrow().quarantine.crashes_of(content, self.clock.now());
        self.exchange(address, &ProbeQuery::Ask { content, lease, ends }).await
    }

    /// Reports an unused probe to the entry that granted it.
    pub async fn send_probe_release(&self, address: SocketAddr, query: ProbeQuery) {
        if let Err(error) = self.exchange(address, &query).await {
            let event = QuarantineEvent::ProbeNotGivenBack { error: error.to_string() };
            self.event_log.record(LogPriority::Failure, &event);
        }
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        query: &ProbeQuery,
    ) -> Result<ProbeReply, PeerError> {
        query_peer(self, address, PROBE_PATH, query).await
    }

    /// Handles another entry's probe query.
    pub fn handle_probe_query(&self, query: &[u8]) -> Result<Bytes, MessageError> {
        let store = self.settings.store.address;
        let (content, lease) = match from_message(query, store)? {
            ProbeQuery::Ask { content, lease, ends } => {
                self.receive_crashes(&ends, Duration::ZERO);
                (content, lease)
            }
            ProbeQuery::GiveBack(content) => {
                self.state.borrow_mut().quarantine.release_probe(content);
                return to_message(store, &ProbeReply::TakenBack);
            }
        };
        let reply = match self.grant_probe(content, lease) {
            ProbeDecision::Granted => ProbeReply::Given,
            ProbeDecision::InProgress => ProbeReply::Probed,
            ProbeDecision::Refused { until } => {
                ProbeReply::Refused { opens_in: until.saturating_sub(self.clock.now()) }
            }
        };
        to_message(store, &reply)
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
