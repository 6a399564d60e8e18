//! Permits for backend servers that name a rate limit: asked for before a request is sent, and granted to all
//! entries by one of them.
//!
//! The first entry in a server's order grants them. Whoever cannot reach it asks the next one, which grants a part
//! only after it has tried those before it itself.

use std::{cell::RefCell, collections::HashMap, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use pondwalk_decide::direct::{
    GranterRole, PermitBuckets, PermitRequest, RateLimit, ServerIncarnation, server_hash,
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
const MAX_GRANTERS_TRIED: usize = 3;
/// Longest time for each of those that a stand-in asks, so that its own answer comes before its asker gives up.
const FORWARDED_TIMEOUT: Duration = Duration::from_millis(75);
/// Time for which an entry that did not answer is passed over.
const UNRESPONSIVE_TIME: Duration = Duration::from_secs(2);
/// Time after which a permit may be asked for again that nobody could grant.
const UNANSWERED_BACKOFF: Duration = Duration::from_millis(500);
/// Entries that did not answer which are remembered before those of long ago are forgotten.
const MAX_UNRESPONSIVE: usize = 512;

/// What an entry that grants permits is asked.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct PermitRequestMessage {
    service: String,
    server: ServerId,
    life: ServerIncarnation,
    /// The limit that the asker knows.
    limit: RateLimit,
    /// How long ago it was said.
    said_ago: Duration,
    /// Whether the asker stands in for the entry that is asked, which must then decide alone.
    is_passed_on: bool,
}

/// What came of asking for a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
enum PermitResponse {
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
    unresponsive: RefCell<HashMap<SocketAddr, Duration>>,
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
    pub fn enter(core: &Rc<Core>, service: &ServiceId, max: usize) -> Option<Self> {
        let mut waiting = core.permits.waiting.borrow_mut();
        let count = waiting.entry(service.clone()).or_default();
        if *count >= max {
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
    fn should_skip(&self, address: SocketAddr, now: Duration) -> bool {
        let mut unresponsive = self.unresponsive.borrow_mut();
        let Some(until) = unresponsive.get_mut(&address) else { return false };
        if now < *until {
            return true;
        }
        *until = now + UNRESPONSIVE_TIME;
        false
    }

    fn mark_unresponsive(&self, address: SocketAddr, now: Duration) {
        let mut unresponsive = self.unresponsive.borrow_mut();
        if unresponsive.len() >= MAX_UNRESPONSIVE {
            unresponsive.retain(|_, until| now < *until);
        }
        unresponsive.insert(address, now + UNRESPONSIVE_TIME);
    }

    fn mark_responsive(&self, address: SocketAddr) {
        self.unresponsive.borrow_mut().remove(&address);
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
enum GranterSearch {
    /// One of them decided.
    Decided(PermitResponse),
    /// It is this entry's turn.
    Local(GranterRole),
    /// None of them answered.
    Unanswered(Option<PeerError>),
}

impl Core {
    /// Asks for a permit, and notes in the fleet what came of it.
    pub async fn request_permit(self: Rc<Self>, service: ServiceId, wanted: PermitRequest) {
        let said_ago = self.clock.now().saturating_sub(wanted.reported_at);
        let request = PermitRequestMessage {
            service: service.to_string(),
            server: wanted.server,
            life: wanted.incarnation,
            limit: wanted.limit,
            said_ago,
            is_passed_on: false,
        };
        let answer = match self.resolve_permit(&request).await {
            Ok(answer) => answer,
            Err(error) => {
                let error = error.map_or("no entry is known".to_owned(), |one| one.to_string());
                let event = PermitEvent::PermitUnanswered { server: &request.server, error };
                self.event_log.record(LogPriority::Failure, &event);
                PermitResponse::Refused { opens_in: UNANSWERED_BACKOFF }
            }
        };
        self.apply_permit_response(&service, &request, answer);
    }

    fn apply_permit_response(
        &self,
        service: &ServiceId,
        request: &PermitRequestMessage,
        answer: PermitResponse,
    ) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let Some(fleet) = state.fleets.get_mut(service) else { return };
        match answer {
            PermitResponse::Given => {
                self.metrics.count(Counter::PermitsGiven);
                fleet.apply_permit_decision(&request.server, Ok(()), now);
            }
            PermitResponse::Refused { opens_in } => {
                self.metrics.count(Counter::PermitsRefused);
                fleet.apply_permit_decision(&request.server, Err(now + opens_in), now);
            }
            PermitResponse::Lifted { ago } => {
                let at = now.saturating_sub(ago);
                fleet.apply_peer_rate_limit(&request.server, &request.life, None, at);
                fleet.apply_permit_decision(&request.server, Err(now), now);
            }
        }
    }

    /// Decides about a permit, or lets those decide that come before this entry.
    async fn resolve_permit(
        &self,
        request: &PermitRequestMessage,
    ) -> Result<PermitResponse, Option<PeerError>> {
        match self.find_granter(request).await {
            GranterSearch::Decided(answer) => Ok(answer),
            GranterSearch::Local(granter) => Ok(self.grant_permit(request, granter)),
            GranterSearch::Unanswered(error) => Err(error),
        }
    }

    /// Asks those that may grant a permit in turn, until one answers or it is this entry's turn.
    async fn find_granter(&self, request: &PermitRequestMessage) -> GranterSearch {
        let order = self.members.granting_order(u128::from(server_hash(&request.server)));
        // NB: an entry that is not listed yet may not know the others, which may grant the same.
        let is_listed = self.members.own_listing().is_some() || self.settings.peers.is_none();
        let mut error = None;
        let mut asked = 0;
        for (place, (_, address)) in order.into_iter().enumerate() {
            let Some(address) = address else {
                return match is_listed {
                    true => GranterSearch::Local(role_at(place)),
                    false => GranterSearch::Unanswered(error),
                };
            };
            if asked == MAX_GRANTERS_TRIED {
                break;
            }
            if self.permits.should_skip(address, self.clock.now()) {
                continue;
            }
            asked += 1;
            match self.query_granter(address, request).await {
                Ok(answer) => {
                    self.permits.mark_responsive(address);
                    return GranterSearch::Decided(answer);
                }
                Err(failed) => {
                    self.permits.mark_unresponsive(address, self.clock.now());
                    error = Some(failed);
                }
            }
        }
        GranterSearch::Unanswered(error)
    }

    async fn query_granter(
        &self,
        address: SocketAddr,
        request: &PermitRequestMessage,
    ) -> Result<PermitResponse, PeerError> {
        let answer = query_peer(self, address, PERMIT_PATH, request);
        match request.is_passed_on {
            true => timeout(FORWARDED_TIMEOUT, answer).await.map_err(|_| PeerError::Timeout)?,
            false => answer.await,
        }
    }

    /// Answers another entry's question.
    pub async fn handle_permit_request(&self, request: &[u8]) -> Result<Bytes, MessageError> {
        let store = self.settings.store.address;
        let mut request: PermitRequestMessage = from_message(request, store)?;
        let answer = match request.is_passed_on {
            true => self.grant_permit(&request, self.local_role(&request.server)),
            false => {
                request.is_passed_on = true;
                let decided = self.resolve_permit(&request).await;
                decided.unwrap_or(PermitResponse::Refused { opens_in: UNANSWERED_BACKOFF })
            }
        };
        to_message(store, &answer)
    }

    /// In which place this entry grants permits for a server.
    fn local_role(&self, server: &str) -> GranterRole {
        let order = self.members.granting_order(u128::from(server_hash(server)));
        let place = order.iter().position(|(_, address)| address.is_none());
        place.map_or(GranterRole::Backup, role_at)
    }

    /// Grants a permit or refuses it, by the latest word on the server's limit.
    fn grant_permit(&self, request: &PermitRequestMessage, granter: GranterRole) -> PermitResponse {
        let now = self.clock.now();
        let said_at = now.saturating_sub(request.said_ago);
        let PermitRequestMessage { server, life, limit, .. } = request;
        let mut state = self.state.borrow_mut();
        let fleet = state.fleets.get_mut(request.service.as_str());
        let known = fleet.and_then(|fleet| {
            fleet.apply_peer_rate_limit(server, life, Some(*limit), said_at);
            fleet.rate_limit_of(server, life)
        });
        drop(state);
        let limit = match known {
            Some((None, at)) => return PermitResponse::Lifted { ago: now.saturating_sub(at) },
            Some((Some(known), _)) => known,
            None => *limit,
        };
        let taken = self.permits.buckets.borrow_mut().take(server, limit, granter, now);
        match taken {
            Ok(()) => PermitResponse::Given,
            Err(until) => PermitResponse::Refused { opens_in: until.saturating_sub(now) },
        }
    }

    /// Another entry has heard of a server's rate limit, or that it names none any more.
    pub fn receive_limit(&self, item: &GossipItem) {
        let Gossip::Limited { fleet, server, life, limit } = &item.news else { return };
        let at = self.clock.now().saturating_sub(item.age);
        let mut state = self.state.borrow_mut();
        let fleet = state.fleets.get_mut(fleet.as_str());
        let changes =
            fleet.is_some_and(|fleet| fleet.apply_peer_rate_limit(server, life, *limit, at));
        drop(state);
        if changes {
            let (from, per_s) = (item.origin.as_str(), limit.map(RateLimit::per_s));
            let event = PermitEvent::ServerLimitHeard { server, from, per_s };
            self.event_log.record(LogPriority::State, &event);
        }
    }
}

fn role_at(place: usize) -> GranterRole {
    if place == 0 { GranterRole::Primary } else { GranterRole::Backup }
}
