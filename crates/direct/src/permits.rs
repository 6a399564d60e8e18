//! Permits for backend servers that report a rate limit. An entry requests one before it sends a
//! request; for each server a single entry grants them to all others.
//!
//! The first entry in a server's granting order grants its permits. An entry that can't reach it
//! asks the next one, which grants a reduced share, and only after it has failed to reach those
//! before it.

use std::{cell::RefCell, collections::HashMap, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use pondwalk_decide::direct::{
    GranterRole, LoanRequest, PermitBuckets, PermitRequest, RateLimit, ServerIncarnation,
    server_hash,
};
use pondwalk_types::ServerId;
use rand::Rng;
use serde::{Deserialize, Serialize};
use tokio::time::timeout;

use crate::{
    catalog::ServiceId,
    core::Core,
    event_log::LogPriority,
    loans::LoanQuery,
    membership::{
        Gossip, GossipItem, LOAN_PATH, MessageError, PERMIT_PATH, PeerError, from_message,
        query_peer, to_message,
    },
    metrics::Counter,
};

/// Granters tried before a query is abandoned. If more don't reply, this entry is probably
/// isolated itself.
const MAX_GRANTERS_TRIED: usize = 3;
/// Timeout for each granter that a stand-in tries, so that its own reply arrives before its
/// querying entry gives up.
const FORWARDED_TIMEOUT: Duration = Duration::from_millis(75);
/// Time for which an entry that didn't reply is skipped.
const UNRESPONSIVE_TIME: Duration = Duration::from_secs(2);
/// Backoff after a permit query that no entry replied to.
const UNANSWERED_BACKOFF: Duration = Duration::from_millis(500);
/// Maximum number of unresponsive entries remembered before expired ones are removed.
const MAX_UNRESPONSIVE: usize = 512;

/// Query to an entry that grants permits.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct PermitQuery {
    service: String,
    server: ServerId,
    life: ServerIncarnation,
    /// The limit known to the querying entry.
    limit: RateLimit,
    /// Age of that limit.
    said_ago: Duration,
    /// Whether the querying entry stands in for the receiver, which must then decide on its own.
    is_passed_on: bool,
}

/// Reply to a permit query.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
enum PermitReply {
    /// One request may be sent.
    Given,
    /// No request may be sent for this long.
    Refused { opens_in: Duration },
    /// The server has stopped reporting a limit since.
    Lifted { ago: Duration },
}

/// Permits granted by this entry, and entries that could not be reached.
#[derive(Debug, Default)]
pub struct PermitState {
    buckets: RefCell<PermitBuckets>,
    /// Unresponsive entries, each with the time until which it is skipped.
    unresponsive: RefCell<HashMap<SocketAddr, Duration>>,
    /// Number of requests waiting for a permit, by service.
    waiting: RefCell<HashMap<ServiceId, usize>>,
}

/// Counts a request as waiting for a permit until dropped.
pub struct PermitWaiter {
    core: Rc<Core>,
    service: ServiceId,
}

impl PermitWaiter {
    /// Registers one more waiting request of a service, unless `max` are waiting.
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
        let Ok(mut waiting) = self.core.permits.waiting.try_borrow_mut() else { return };
        if let Some(count) = waiting.get_mut(&self.service) {
            *count -= 1;
        }
    }
}

impl PermitState {
    /// Whether an entry is skipped. After [`UNRESPONSIVE_TIME`] a single request tries it again.
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

/// Log event of permits and limits.
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
enum PermitEvent<'a> {
    /// No entry that could grant a permit for this server replied.
    PermitUnanswered { server: &'a str, error: String },
    /// Another entry reported a server's rate limit; `None` if the limit was lifted.
    ServerLimitHeard { server: &'a str, from: &'a str, per_s: Option<f64> },
}

/// Result of the search for a granter.
enum GranterSearch {
    /// Another entry decided.
    Decided(PermitReply),
    /// This entry decides.
    Local(GranterRole),
    /// No entry replied.
    Unanswered(Option<PeerError>),
}

impl Core {
    /// Requests a permit and records the reply in the fleet.
    pub async fn request_permit(self: Rc<Self>, service: ServiceId, wanted: PermitRequest) {
        let limit_age = self.clock.now().saturating_sub(wanted.reported_at);
        let query = PermitQuery {
            service: service.to_string(),
            server: wanted.server,
            life: wanted.incarnation,
            limit: wanted.limit,
            said_ago: limit_age,
            is_passed_on: false,
        };
        let reply = match self.resolve_permit(&query).await {
            Ok(reply) => reply,
            Err(error) => {
                let error = error.map_or("no entry is known".to_owned(), |one| one.to_string());
                let event = PermitEvent::PermitUnanswered { server: &query.server, error };
                self.event_log.record(LogPriority::Failure, &event);
                PermitReply::Refused { opens_in: UNANSWERED_BACKOFF }
            }
        };
        self.apply_permit_reply(&service, &query, reply);
    }

    /// Requests a loan at a cold server and records the result in the fleet.
    pub async fn request_loan(self: Rc<Self>, service: ServiceId, wanted: LoanRequest) {
        let requested_at = self.clock.now();
        let LoanRequest { server, incarnation, owner_count } = wanted;
        let order = self.members.granting_order(u128::from(server_hash(&server)));
        let owners = order.into_iter().take(owner_count);
        let owners: Vec<SocketAddr> = owners.filter_map(|(_, address)| address).collect();
        let first = self.state.borrow_mut().rng.random_range(0..owners.len().max(1));
        let query = LoanQuery { service: service.to_string(), server: server.clone(), incarnation };
        let ask = async |owner| query_peer(&self, owner, LOAN_PATH, &query).await;
        let loan = self.lenders.borrow(&server, &owners, first, || self.clock.now(), ask).await;
        let counter = if loan.is_ok() { Counter::LoansGiven } else { Counter::LoansRefused };
        self.metrics.count(counter);
        let mut state = self.state.borrow_mut();
        if let Some(fleet) = state.fleets.get_mut(&service) {
            fleet.apply_loan(&server, loan, requested_at);
        }
    }

    fn apply_permit_reply(&self, service: &ServiceId, query: &PermitQuery, reply: PermitReply) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let Some(fleet) = state.fleets.get_mut(service) else { return };
        match reply {
            PermitReply::Given => {
                self.metrics.count(Counter::PermitsGiven);
                fleet.apply_permit_decision(&query.server, Ok(()), now);
            }
            PermitReply::Refused { opens_in } => {
                self.metrics.count(Counter::PermitsRefused);
                fleet.apply_permit_decision(&query.server, Err(now + opens_in), now);
            }
            PermitReply::Lifted { ago } => {
                let at = now.saturating_sub(ago);
                fleet.apply_peer_rate_limit(&query.server, &query.life, None, at);
                fleet.apply_permit_decision(&query.server, Err(now), now);
            }
        }
    }

    /// Decides on a permit query, here or at the entries that come first in the granting order.
    async fn resolve_permit(&self, query: &PermitQuery) -> Result<PermitReply, Option<PeerError>> {
        match self.find_granter(query).await {
            GranterSearch::Decided(reply) => Ok(reply),
            GranterSearch::Local(granter) => Ok(self.grant_permit(query, granter)),
            GranterSearch::Unanswered(error) => Err(error),
        }
    }

    /// Tries the granters in order until one replies or this entry itself is next.
    async fn find_granter(&self, query: &PermitQuery) -> GranterSearch {
        let order = self.members.granting_order(u128::from(server_hash(&query.server)));
        // An entry that isn't listed yet may not know the others, which may grant the same permits.
        let is_listed = self.members.own_listing().is_some() || self.settings.peers.is_none();
        let mut error = None;
        let mut tried = 0;
        for (place, (_, address)) in order.into_iter().enumerate() {
            let Some(address) = address else {
                return match is_listed {
                    true => GranterSearch::Local(role_at(place)),
                    false => GranterSearch::Unanswered(error),
                };
            };
            if tried == MAX_GRANTERS_TRIED {
                break;
            }
            if self.permits.should_skip(address, self.clock.now()) {
                continue;
            }
            tried += 1;
            match self.query_granter(address, query).await {
                Ok(reply) => {
                    self.permits.mark_responsive(address);
                    return GranterSearch::Decided(reply);
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
        query: &PermitQuery,
    ) -> Result<PermitReply, PeerError> {
        let reply = query_peer(self, address, PERMIT_PATH, query);
        match query.is_passed_on {
            true => timeout(FORWARDED_TIMEOUT, reply).await.map_err(|_| PeerError::Timeout)?,
            false => reply.await,
        }
    }

    /// Handles another entry's permit query.
    pub async fn handle_permit_query(&self, query: &[u8]) -> Result<Bytes, MessageError> {
        let store = self.settings.store.address;
        let mut query: PermitQuery = from_message(query, store)?;
        let reply = match query.is_passed_on {
            true => self.grant_permit(&query, self.local_role(&query.server)),
            false => {
                query.is_passed_on = true;
                let decided = self.resolve_permit(&query).await;
                decided.unwrap_or(PermitReply::Refused { opens_in: UNANSWERED_BACKOFF })
            }
        };
        to_message(store, &reply)
    }

    /// This entry's role as a granter for a server.
    fn local_role(&self, server: &str) -> GranterRole {
        let order = self.members.granting_order(u128::from(server_hash(server)));
        let place = order.iter().position(|(_, address)| address.is_none());
        place.map_or(GranterRole::Backup, role_at)
    }

    /// Grants or refuses a permit by the latest known limit of the server.
    fn grant_permit(&self, query: &PermitQuery, granter: GranterRole) -> PermitReply {
        let now = self.clock.now();
        let reported_at = now.saturating_sub(query.said_ago);
        let PermitQuery { server, life, limit, .. } = query;
        let mut state = self.state.borrow_mut();
        let fleet = state.fleets.get_mut(query.service.as_str());
        let known = fleet.and_then(|fleet| {
            fleet.apply_peer_rate_limit(server, life, Some(*limit), reported_at);
            fleet.rate_limit_of(server, life)
        });
        drop(state);
        let limit = match known {
            Some((None, at)) => return PermitReply::Lifted { ago: now.saturating_sub(at) },
            Some((Some(known), _)) => known,
            None => *limit,
        };
        let granted = self.permits.buckets.borrow_mut().take(server, limit, granter, now);
        match granted {
            Ok(()) => PermitReply::Given,
            Err(until) => PermitReply::Refused { opens_in: until.saturating_sub(now) },
        }
    }

    /// Applies a rate limit, or its removal, received from another entry.
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
