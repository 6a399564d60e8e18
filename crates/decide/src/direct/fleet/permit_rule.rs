//! Placement on servers that report a rate limit, and the permits that requests need for them.

use std::time::Duration;

use pondwalk_types::ServerId;
use rand::Rng;

use super::{Fleet, PlacementRequest, RateLimit, ServerIncarnation, server::Server};

/// Whether a server that reports a rate limit may be chosen without a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PermitRule {
    /// Only with an available permit.
    Granted,
    /// Also if a permit may be requested.
    Requestable,
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
        || permit_rule == PermitRule::Requestable && server.permits.may_be_requested(now)
}
