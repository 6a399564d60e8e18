//! Asks the entry that grants a content's probes, and answers such questions.

use std::time::Duration;

use bytes::Bytes;
use pondwalk_decide::direct::{Content, Grant};
use serde::{Deserialize, Serialize};

use super::{AgedEnd, QuarantineEvent};
use crate::{
    content::content_text,
    core::Core,
    journal::Rank,
    membership::{AskError, MessageError, PROBE_PATH, PeerClient, from_message, to_message},
    metrics::Counter,
    request::Job,
};

/// Entries that are asked in turn. One that is gone is passed over; more than three in a row say that
/// this entry is cut off itself.
const MOST_ASKED: usize = 3;
/// Pause before a request may be tried again whose probe nobody could grant.
const UNANSWERED_PAUSE: Duration = Duration::from_secs(1);

/// Asks for leave to run a content once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProbeQuestion {
    /// The content.
    pub content: Content,
    /// Longest time that the run may take.
    pub lease: Duration,
    /// The ends that the asker knows of, which may not have come to the other yet.
    pub ends: Vec<AgedEnd>,
}

/// Tells whether it may.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProbeAnswer {
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
    /// Asks for leave to run a request once; whoever is asked keeps all others from it meanwhile.
    pub async fn ask_for_probe(&self, job: &Job) -> Grant {
        let lease = job.give_up.saturating_sub(self.clock.now());
        let content = job.content();
        let mut error = None;
        for (name, address) in self.roster.granting_order(content).into_iter().take(MOST_ASKED) {
            let Some(address) = address else {
                return self.note_grant(job, self.grant_probe(content, lease), &name);
            };
            match self.ask_at(address, content, lease).await {
                Ok(ProbeAnswer::Given) => return self.note_grant(job, Grant::Given, &name),
                Ok(ProbeAnswer::Probed) => return Grant::Probed,
                Ok(ProbeAnswer::Refused { opens_in }) => {
                    return Grant::Refused { until: self.clock.now() + opens_in };
                }
                Err(failed) => error = Some(failed),
            }
        }
        let error = error.map_or_else(|| "no entry is known".to_owned(), |one| one.to_string());
        let event = QuarantineEvent::ProbeUnanswered {
            request: &job.id,
            content: &content_text(content),
            error,
        };
        self.journal.note(Rank::Failure, &event);
        Grant::Refused { until: self.clock.now() + UNANSWERED_PAUSE }
    }

    async fn ask_at(
        &self,
        address: std::net::SocketAddr,
        content: Content,
        lease: Duration,
    ) -> Result<ProbeAnswer, AskError> {
        let ends = self.state.borrow().quarantine.ends_of(content, self.clock.now());
        let store = self.settings.store.address;
        let question = to_message(store, &ProbeQuestion { content, lease, ends })?;
        self.metrics.count_many(Counter::PeerBytesTold, question.len());
        let answer =
            PeerClient::exchange_once(&self.connect, address, PROBE_PATH, question).await?;
        Ok(from_message(&answer, store)?)
    }

    /// Answers another entry's question.
    pub fn answer_probe(&self, question: &[u8]) -> Result<Bytes, MessageError> {
        let store = self.settings.store.address;
        let question: ProbeQuestion = from_message(question, store)?;
        self.hear_ends(&question.ends, Duration::ZERO);
        let answer = match self.grant_probe(question.content, question.lease) {
            Grant::Given => ProbeAnswer::Given,
            Grant::Probed => ProbeAnswer::Probed,
            Grant::Refused { until } => {
                ProbeAnswer::Refused { opens_in: until.saturating_sub(self.clock.now()) }
            }
        };
        to_message(store, &answer)
    }

    fn note_grant(&self, job: &Job, grant: Grant, by: &str) -> Grant {
        if grant == Grant::Given {
            self.metrics.count(Counter::Probes);
            let event = QuarantineEvent::ProbeGranted {
                request: &job.id,
                content: &content_text(job.content()),
                servers_ended: self.ends_under(job),
                by,
            };
            self.journal.note(Rank::Failure, &event);
        }
        grant
    }
}
