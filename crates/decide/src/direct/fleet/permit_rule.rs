//! Placement on servers that report a rate limit or are cold, and the permits that requests need
//! for them.

use std::time::Duration;

use pondwalk_types::ServerId;
use rand::Rng;

use super::{
    Fleet, PlacementRequest, RateLimit, ServerIncarnation, server::Server,
    server_permits::PERMIT_VALIDITY,
};

/// Whether a server may be chosen for which the request has no permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PermitRule {
    /// Only with an available permit.
    Granted,
    /// Also if it reports a rate limit and a permit may be requested.
    Requestable,
    /// Also if it is cold and another entry may lend a part of its share.
    Borrowable,
}

/// Under which condition a request can be placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Placeability {
    /// A server can take it now.
    Now,
    /// A server can take it if a permit is granted.
    WithPermit,
}

/// A permit to be requested.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PermitRequest {
    /// The server that the permit is for.
    pub server: ServerId,
    /// Incarnation of the server that reported the limit.
    pub incarnation: ServerIncarnation,
    /// The limit.
    pub limit: RateLimit,
    /// When the limit was reported.
    pub reported_at: Duration,
}

/// A part of another entry's share of a cold server, to be requested.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoanRequest {
    /// The server.
    pub server: ServerId,
    /// Its incarnation.
    pub incarnation: ServerIncarnation,
    /// Number of entries that have a share, the first in the server's granting order.
    pub owner_count: usize,
}

/// Time after which a loan that this entry can't decide on may be requested again.
const LOAN_BACKOFF: Duration = Duration::from_millis(500);

impl Fleet {
    /// Whether any server could take a request now, and under which condition; `None` if none
    /// could.
    pub fn placeability(
        &self,
        request: &PlacementRequest<'_>,
        now: Duration,
    ) -> Option<Placeability> {
        let has_server = |permit_rule| {
            let mut servers = self.available_servers(request.versions, now);
            servers.any(|server| {
                request.allows(&server.info) && self.has_room(server, permit_rule, now)
            })
        };
        if has_server(PermitRule::Granted) {
            return Some(Placeability::Now);
        }
        has_server(PermitRule::Requestable).then_some(Placeability::WithPermit)
    }

    /// The permit that a request must ask for: its preferred server reports a rate limit, and no
    /// permit is available. `None` if it needs no permit.
    pub fn request_permit(
        &mut self,
        request: &PlacementRequest<'_>,
        now: Duration,
        rng: &mut impl Rng,
    ) -> Option<PermitRequest> {
        if !self.may_have_rate_limits {
            return None;
        }
        self.may_have_rate_limits = self.count_rate_limited() > 0;
        let tie_breaker = || rng.random_range(0.0..1.0);
        let best = self.best_candidate(request, now, PermitRule::Requestable, tie_breaker)?;
        let server = self.servers[best.index].as_mut()?;
        let limit = server.notice.rate_limit()?;
        if server.permits.is_available(now) {
            return None;
        }
        server.permits.on_requested(now);
        let reported_at = server.notice.rate_limit_state().reported_at().unwrap_or(now);
        Some(PermitRequest {
            server: server.info.id.clone(),
            incarnation: server.incarnation.clone(),
            limit,
            reported_at,
        })
    }

    /// The cold server for which a request that no server can take otherwise must borrow a part of
    /// another entry's share.
    pub fn request_loan(
        &mut self,
        request: &PlacementRequest<'_>,
        now: Duration,
        rng: &mut impl Rng,
    ) -> Option<LoanRequest> {
        self.pacing?;
        if self.placeability(request, now).is_some() {
            return None;
        }
        let tie_breaker = || rng.random_range(0.0..1.0);
        let best = self.best_candidate(request, now, PermitRule::Borrowable, tie_breaker)?;
        let owner_count = self.cold_owner_count();
        let server = self.servers[best.index].as_mut()?;
        server.permits.on_requested(now);
        let (server, incarnation) = (server.info.id.clone(), server.incarnation.clone());
        Some(LoanRequest { server, incarnation, owner_count })
    }

    /// Lends a request at a cold server to another entry: it counts as sent by this one. Returns
    /// when this entry's share allows another one if it does not now.
    pub fn lend(
        &mut self,
        id: &str,
        incarnation: &ServerIncarnation,
        now: Duration,
    ) -> Result<(), Duration> {
        let refused = Err(now + LOAN_BACKOFF);
        let Some(pacing) = self.pacing else { return refused };
        let server = self.servers.iter().flatten().find(|server| server.info.id == id);
        let Some(server) = server.filter(|server| server.incarnation == *incarnation) else {
            return refused;
        };
        let share = self.cold_share(server);
        let Some(next) = server.warm_up.next_send_at(share) else { return refused };
        let next = next.max(pacing.not_before);
        if now < next {
            return Err(next);
        }
        let server = self.servers.iter_mut().flatten().find(|server| server.info.id == id);
        if let Some(server) = server {
            // The borrower may use it this late.
            server.warm_up.record_sent(now + PERMIT_VALIDITY);
        }
        Ok(())
    }

    /// Applies the outcome of a loan requested at `requested_at`: granted, or refused until a time.
    pub fn apply_loan(&mut self, id: &str, loan: Result<(), Duration>, requested_at: Duration) {
        let server = self.servers.iter_mut().flatten().find(|server| server.info.id == id);
        let Some(server) = server else { return };
        match loan {
            Ok(()) => server.permits.on_granted(requested_at),
            Err(until) => server.permits.on_refused(until),
        }
    }

    /// Upper bound on the permits that a request may receive before `until`.
    pub fn permits_before(
        &self,
        request: &PlacementRequest<'_>,
        until: Duration,
        now: Duration,
    ) -> usize {
        let servers = self
            .available_servers(request.versions, now)
            .filter(|server| request.allows(&server.info));
        let permits_of = |server: &Server| {
            let limit = server.notice.rate_limit()?;
            let remaining = until.checked_sub(server.permits.next_available_at(now))?;
            Some(1 + (limit.per_s() * remaining.as_secs_f64()) as usize)
        };
        servers.filter_map(permits_of).fold(0, usize::saturating_add)
    }

    /// Applies the answer to a permit request: granted, or refused until a time.
    pub fn apply_permit_decision(&mut self, id: &str, permit: Result<(), Duration>, now: Duration) {
        let server = self.servers.iter_mut().flatten().find(|server| server.info.id == id);
        let Some(server) = server else { return };
        match permit {
            Ok(()) => server.permits.on_granted(now),
            Err(until) => server.permits.on_refused(until),
        }
    }
}

/// Whether the rate limit of a server allows it to be chosen.
pub(super) fn is_permitted(server: &Server, permit_rule: PermitRule, now: Duration) -> bool {
    server.notice.rate_limit().is_none()
        || server.permits.is_available(now)
        || permit_rule != PermitRule::Granted && server.permits.may_be_requested(now)
}
