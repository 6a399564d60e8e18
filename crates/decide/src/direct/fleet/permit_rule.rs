//! Servers that name a rate limit: how they are chosen, and the permits that a request needs for them.

use std::time::Duration;

use pondwalk_types::ServerId;
use rand::Rng;

use super::{Fleet, PlacementRequest, RateLimit, ServerIncarnation, server::Server};

/// Whether a server that names a rate limit may be chosen without a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PermitRule {
    /// Only with one at hand.
    Granted,
    /// Also if one may be asked for.
    Requestable,
}

/// How sure it is that a request would be placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Placeability {
    /// A server could take it now.
    Now,
    /// One could if a permit for it is given.
    WithPermit,
}

/// A permit that is to be asked for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PermitRequest {
    /// The server that it is for.
    pub server: ServerId,
    /// The life of the server that named the limit.
    pub incarnation: ServerIncarnation,
    /// The limit.
    pub limit: RateLimit,
    /// When it was said.
    pub reported_at: Duration,
}

impl Fleet {
    /// Whether any server would take a request now, and how surely; `None` if none would.
    pub fn placeability(&self, ask: &PlacementRequest<'_>, now: Duration) -> Option<Placeability> {
        let could_take = |permission| {
            let mut open = self.available_servers(ask.versions, now);
            open.any(|server| ask.allows(&server.info) && self.has_room(server, permission, now))
        };
        if could_take(PermitRule::Granted) {
            return Some(Placeability::Now);
        }
        could_take(PermitRule::Requestable).then_some(Placeability::WithPermit)
    }

    /// The permit that a request is to ask for: the server that it would go to names a rate limit, and none is at
    /// hand.
    pub fn request_permit(
        &mut self,
        ask: &PlacementRequest<'_>,
        now: Duration,
        rng: &mut impl Rng,
    ) -> Option<PermitRequest> {
        if !self.may_have_rate_limits {
            return None;
        }
        self.may_have_rate_limits = self.count_rate_limited() > 0;
        let scatter = || rng.random_range(0.0..1.0);
        let best = self.best_candidate(ask, now, PermitRule::Requestable, scatter)?;
        let server = self.servers[best.index].as_mut()?;
        let limit = server.notice.rate_limit()?;
        if server.permits.is_available(now) {
            return None;
        }
        server.permits.on_requested(now);
        let said_at = server.notice.rate_limit_state().reported_at().unwrap_or(now);
        Some(PermitRequest {
            server: server.info.id.clone(),
            incarnation: server.incarnation.clone(),
            limit,
            reported_at: said_at,
        })
    }

    /// Permits that may come for a request before `until`, at most.
    pub fn permits_before(
        &self,
        ask: &PlacementRequest<'_>,
        until: Duration,
        now: Duration,
    ) -> usize {
        let open =
            self.available_servers(ask.versions, now).filter(|server| ask.allows(&server.info));
        let of_one = |server: &Server| {
            let limit = server.notice.rate_limit()?;
            let left = until.checked_sub(server.permits.next_available_at(now))?;
            Some(1 + (limit.per_s() * left.as_secs_f64()) as usize)
        };
        open.filter_map(of_one).fold(0, usize::saturating_add)
    }

    /// A permit for a server was given, or refused until some time.
    pub fn apply_permit_decision(&mut self, id: &str, permit: Result<(), Duration>, now: Duration) {
        let server = self.servers.iter_mut().flatten().find(|server| server.info.id == id);
        let Some(server) = server else { return };
        match permit {
            Ok(()) => server.permits.on_granted(now),
            Err(until) => server.permits.on_refused(until),
        }
    }
}

/// Whether the rate limit of a server lets it be chosen.
pub(super) fn is_permitted(server: &Server, permission: PermitRule, now: Duration) -> bool {
    server.notice.rate_limit().is_none()
        || server.permits.is_available(now)
        || permission == PermitRule::Requestable && server.permits.may_be_requested(now)
}
