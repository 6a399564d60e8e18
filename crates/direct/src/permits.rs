//! Permits for backend servers that name a rate limit: asked for before a request is sent, and granted to all
//! entries by one of them.
//!
//! The first entry in a server's order grants them. Whoever cannot reach it asks the next one, which grants a part
//! only after it has tried those before it itself.

use std::{cell::RefCell, collections::HashMap, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use pondwalk_decide::direct::{
    Granter, LifeMark, PermitBuckets, ServerLimit, WantedPermit, server_hash,
};
use pondwalk_types::ServerId;
use serde::{Deserialize, Serialize};
use tokio::time::timeout;

use crate::{
    catalog::ServiceId,
    core::Core,
    event_log::LogPriority,
    membership::{
        Gossip, GossipItem, MessageError, PERMIT_PATH, PeerError, from_message, query_peer,
        to_message,
    },
    metrics::Counter,
};

/// Entries that are tried in turn before a question is given up. More that do not answer say that this entry is
/// cut off itself.
const MOST_ASKED: usize = 3;
/// Longest time for each of those that a stand-in asks, so that its own answer comes before its asker gives up.
const PASSED_ON_LIMIT: Duration = Duration::from_millis(75);
/// Time for which an entry that did not answer is passed over.
const PASS_OVER: Duration = Duration::from_secs(2);
/// Time after which a permit may be asked for again that nobody could grant.
const UNANSWERED_PAUSE: Duration = Duration::from_millis(500);
/// Entries that did not answer which are remembered before those of long ago are forgotten.
const MOST_SILENT: usize = 512;

/// What an entry that grants permits is asked.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct PermitQuestion {
    service: String,
    server: ServerId,
    life: LifeMark,
    /// The limit that the asker knows.
    limit: ServerLimit,
    /// How long ago it was said.
    said_ago: Duration,
    /// Whether the asker stands in for the entry that is asked, which must then decide alone.
    is_passed_on: bool,
}

/// What came of asking for a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
enum PermitAnswer {
    /// One request may be sent.
    Given,
    /// None may, for so long.
    Refused { opens_in: Duration },
    /// The server has named no limit since.
    Lifted { ago: Duration },
}

/// What an entry grants, and which others it could not ask.
#[derive(Debug, Default)]
pub struct PermitState {
    buckets: RefCell<PermitBuckets>,
    /// Until when entries that did not answer are passed over.
    silent: RefCell<HashMap<SocketAddr, Duration>>,
    /// Requests that wait for a permit, by service.
    waiting: RefCell<HashMap<ServiceId, usize>>,
}

/// Counts a request as one that waits for a permit until it is dropped.
pub struct PermitWaiter {
    core: Rc<Core>,
    service: ServiceId,
}

impl PermitWaiter {
    /// Lets one more request of a service wait, unless `most` do.
    pub fn enter(core: &Rc<Core>, service: &ServiceId, most: usize) -> Option<Self> {
        let mut waiting = core.permits.waiting.borrow_mut();
        let count = waiting.entry(service.clone()).or_default();
        if *count >= most {
            return None;
        }
        *count += 1;
        Some(PermitWaiter { core: Rc::clone(core), service: service.clone() })
    }
}

impl Drop for PermitWaiter {
    fn drop(&mut self) {
        let mut waiting = self.core.permits.waiting.borrow_mut();
        if let Some(count) = waiting.get_mut(&self.service) {
            *count -= 1;
        }
    }
}

impl PermitState {
    /// Whether an entry is passed over. One that did not answer is tried again by one request at a time.
    fn is_passed_over(&self, address: SocketAddr, now: Duration) -> bool {
        let mut silent = self.silent.borrow_mut();
        let Some(until) = silent.get_mut(&address) else { return false };
        if now < *until {
            return true;
        }
        *until = now + PASS_OVER;
        false
    }

    fn pass_over(&self, address: SocketAddr, now: Duration) {
        let mut silent = self.silent.borrow_mut();
        if silent.len() >= MOST_SILENT {
            silent.retain(|_, until| now < *until);
        }
        silent.insert(address, now + PASS_OVER);
    }

    fn has_answered(&self, address: SocketAddr) {
        self.silent.borrow_mut().remove(&address);
    }
}

/// What became of permits and limits.
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
enum PermitEvent<'a> {
    /// No entry that could grant a permit for this server answered.
    PermitUnanswered { server: &'a str, error: String },
    /// Another entry has told of a server's rate limit; none if it names none any more.
    ServerLimitHeard { server: &'a str, from: &'a str, per_s: Option<f64> },
}

/// What an entry's walk along those that may grant a permit led to.
enum Walk {
    /// One of them decided.
    Decided(PermitAnswer),
    /// It is this entry's turn.
    OwnTurn(Granter),
    /// None of them answered.
    Unanswered(Option<PeerError>),
}

impl Core {
    /// Asks for a permit, and notes in the fleet what came of it.
    pub async fn request_permit(self: Rc<Self>, service: ServiceId, wanted: WantedPermit) {
        let said_ago = self.clock.now().saturating_sub(wanted.said_at);
        let question = PermitQuestion {
            service: service.to_string(),
            server: wanted.server,
            life: wanted.life,
            limit: wanted.limit,
            said_ago,
            is_passed_on: false,
        };
        let answer = match self.decide_permit(&question).await {
            Ok(answer) => answer,
            Err(error) => {
                let error = error.map_or("no entry is known".to_owned(), |one| one.to_string());
                let event = PermitEvent::PermitUnanswered { server: &question.server, error };
                self.event_log.record(LogPriority::Failure, &event);
                PermitAnswer::Refused { opens_in: UNANSWERED_PAUSE }
            }
        };
        self.take_permit_answer(&service, &question, answer);
    }

    fn take_permit_answer(
        &self,
        service: &ServiceId,
        question: &PermitQuestion,
        answer: PermitAnswer,
    ) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let Some(fleet) = state.fleets.get_mut(service) else { return };
        match answer {
            PermitAnswer::Given => {
                self.metrics.count(Counter::PermitsGiven);
                fleet.take_permit(&question.server, Ok(()), now);
            }
            PermitAnswer::Refused { opens_in } => {
                self.metrics.count(Counter::PermitsRefused);
                fleet.take_permit(&question.server, Err(now + opens_in), now);
            }
            PermitAnswer::Lifted { ago } => {
                let at = now.saturating_sub(ago);
                fleet.is_told_limit(&question.server, &question.life, None, at);
                fleet.take_permit(&question.server, Err(now), now);
            }
        }
    }

    /// Decides about a permit, or lets those decide that come before this entry.
    async fn decide_permit(
        &self,
        question: &PermitQuestion,
    ) -> Result<PermitAnswer, Option<PeerError>> {
        match self.walk_granters(question).await {
            Walk::Decided(answer) => Ok(answer),
            Walk::OwnTurn(granter) => Ok(self.grant_permit(question, granter)),
            Walk::Unanswered(error) => Err(error),
        }
    }

    /// Asks those that may grant a permit in turn, until one answers or it is this entry's turn.
    async fn walk_granters(&self, question: &PermitQuestion) -> Walk {
        let order = self.members.granting_order(u128::from(server_hash(&question.server)));
        // NB: an entry that is not listed yet may not know the others, which may grant the same.
        let is_listed = self.members.own_listing().is_some() || self.settings.peers.is_none();
        let mut error = None;
        let mut asked = 0;
        for (place, (_, address)) in order.into_iter().enumerate() {
            let Some(address) = address else {
                return match is_listed {
                    true => Walk::OwnTurn(granter_at(place)),
                    false => Walk::Unanswered(error),
                };
            };
            if asked == MOST_ASKED {
                break;
            }
            if self.permits.is_passed_over(address, self.clock.now()) {
                continue;
            }
            asked += 1;
            match self.ask_granter(address, question).await {
                Ok(answer) => {
                    self.permits.has_answered(address);
                    return Walk::Decided(answer);
                }
                Err(failed) => {
                    self.permits.pass_over(address, self.clock.now());
                    error = Some(failed);
                }
            }
        }
        Walk::Unanswered(error)
    }

    async fn ask_granter(
        &self,
        address: SocketAddr,
        question: &PermitQuestion,
    ) -> Result<PermitAnswer, PeerError> {
        let answer = query_peer(self, address, PERMIT_PATH, question);
        match question.is_passed_on {
            true => timeout(PASSED_ON_LIMIT, answer).await.map_err(|_| PeerError::Timeout)?,
            false => answer.await,
        }
    }

    /// Answers another entry's question.
    pub async fn handle_permit_request(&self, question: &[u8]) -> Result<Bytes, MessageError> {
        let store = self.settings.store.address;
        let mut question: PermitQuestion = from_message(question, store)?;
        let answer = match question.is_passed_on {
            true => self.grant_permit(&question, self.own_place(&question.server)),
            false => {
                question.is_passed_on = true;
                let decided = self.decide_permit(&question).await;
                decided.unwrap_or(PermitAnswer::Refused { opens_in: UNANSWERED_PAUSE })
            }
        };
        to_message(store, &answer)
    }

    /// In which place this entry grants permits for a server.
    fn own_place(&self, server: &str) -> Granter {
        let order = self.members.granting_order(u128::from(server_hash(server)));
        let place = order.iter().position(|(_, address)| address.is_none());
        place.map_or(Granter::StandIn, granter_at)
    }

    /// Grants a permit or refuses it, by the latest word on the server's limit.
    fn grant_permit(&self, question: &PermitQuestion, granter: Granter) -> PermitAnswer {
        let now = self.clock.now();
        let said_at = now.saturating_sub(question.said_ago);
        let PermitQuestion { server, life, limit, .. } = question;
        let mut state = self.state.borrow_mut();
        let fleet = state.fleets.get_mut(question.service.as_str());
        let known = fleet.and_then(|fleet| {
            fleet.is_told_limit(server, life, Some(*limit), said_at);
            fleet.limit_of(server, life)
        });
        drop(state);
        let limit = match known {
            Some((None, at)) => return PermitAnswer::Lifted { ago: now.saturating_sub(at) },
            Some((Some(known), _)) => known,
            None => *limit,
        };
        let taken = self.permits.buckets.borrow_mut().take(server, limit, granter, now);
        match taken {
            Ok(()) => PermitAnswer::Given,
            Err(until) => PermitAnswer::Refused { opens_in: until.saturating_sub(now) },
        }
    }

    /// Another entry has heard of a server's rate limit, or that it names none any more.
    pub fn receive_limit(&self, item: &GossipItem) {
        let Gossip::Limited { fleet, server, life, limit } = &item.news else { return };
        let at = self.clock.now().saturating_sub(item.age);
        let mut state = self.state.borrow_mut();
        let fleet = state.fleets.get_mut(fleet.as_str());
        let changes = fleet.is_some_and(|fleet| fleet.is_told_limit(server, life, *limit, at));
        drop(state);
        if changes {
            let (from, per_s) = (item.origin.as_str(), limit.map(ServerLimit::per_s));
            let event = PermitEvent::ServerLimitHeard { server, from, per_s };
            self.event_log.record(LogPriority::State, &event);
        }
    }
}

fn granter_at(place: usize) -> Granter {
    if place == 0 { Granter::First } else { Granter::StandIn }
}
