//! Requests probes from the entry that grants them for a feature, and handles such queries.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use pondwalk_decide::direct::{FeatureHash, ProbeDecision};
use serde::{Deserialize, Serialize};

use super::{AgedCrash, ProbeLease, QuarantineEvent, events::parts_text};
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
    /// Requests permission to run a request with a feature once.
    Ask {
        /// The feature.
        feature: FeatureHash,
        /// Maximum duration of the run.
        lease: Duration,
        /// Crashes known to the querying entry, which the granter may not have received yet.
        ends: Vec<AgedCrash>,
    },
    /// Releases a probe that was not used.
    GiveBack(FeatureHash),
    /// Like `Ask`, for a request with further quarantined features.
    AskJoint {
        /// The feature.
        feature: FeatureHash,
        /// Maximum duration of the run.
        lease: Duration,
        /// Crashes known to the querying entry, which the granter may not have received yet.
        ends: Vec<AgedCrash>,
    },
}

/// Reply to a probe query.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProbeReply {
    /// The probe was released.
    TakenBack,
    /// A request with the feature may run once.
    Given,
    /// Another request with this feature is running as a probe.
    Probed,
    /// No request with the feature may run for now.
    Refused {
        /// Time until a probe may be requested again.
        opens_in: Duration,
    },
}

impl Core {
    /// Requests permission to run a request once, although the features `suspects` of it are
    /// quarantined. The entry that grants probes of the first one decides, and blocks all other
    /// requests with it meanwhile. A granted probe is returned as a lease.
    pub async fn request_probe(
        self: &Rc<Self>,
        job: &Job,
        suspects: Vec<FeatureHash>,
    ) -> Result<ProbeLease, ProbeDecision> {
        let lease = job.deadline.saturating_sub(self.clock.now());
        let feature = suspects.first().copied().unwrap_or_else(|| job.content());
        let is_joint = suspects.len() > 1;
        let mut error = None;
        for (name, address) in
            self.members.granting_order(feature).into_iter().take(MAX_GRANTERS_TRIED)
        {
            let Some(address) = address else {
                let grant = self.grant_probe(feature, is_joint, lease);
                return self.accept_grant(job, suspects, grant, None, &name);
            };
            match self.request_probe_at(address, feature, is_joint, lease).await {
                Ok(ProbeReply::Given) => {
                    let granted = ProbeDecision::Granted;
                    return self.accept_grant(job, suspects, granted, Some(address), &name);
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
            content: &content_text(job.content()),
            prompt_parts: &parts_text(&suspects),
            error,
        };
        self.event_log.record(LogPriority::Failure, &event);
        Err(ProbeDecision::Refused { until: self.clock.now() + UNANSWERED_BACKOFF })
    }

    async fn request_probe_at(
        &self,
        address: SocketAddr,
        feature: FeatureHash,
        is_joint: bool,
        lease: Duration,
    ) -> Result<ProbeReply, PeerError> {
        let ends = self.state.borrow().quarantine.crashes_of(feature, self.clock.now());
        let query = match is_joint {
            true => ProbeQuery::AskJoint { feature, lease, ends },
            false => ProbeQuery::Ask { feature, lease, ends },
        };
        self.exchange(address, &query).await
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
        let (feature, lease, ends, is_joint) = match from_message(query, store)? {
            ProbeQuery::Ask { feature, lease, ends } => (feature, lease, ends, false),
            ProbeQuery::AskJoint { feature, lease, ends } => (feature, lease, ends, true),
            ProbeQuery::GiveBack(feature) => {
                self.state.borrow_mut().quarantine.release_probe(feature);
                return to_message(store, &ProbeReply::TakenBack);
            }
        };
        self.receive_crashes(&ends, Duration::ZERO);
        let reply = match self.grant_probe(feature, is_joint, lease) {
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
        suspects: Vec<FeatureHash>,
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
            prompt_parts: &parts_text(&suspects),
            servers_ended: self.crash_count(job),
            by,
        };
        self.event_log.record(LogPriority::Failure, &event);
        Ok(ProbeLease::new(self, suspects, granted_by))
    }
}
