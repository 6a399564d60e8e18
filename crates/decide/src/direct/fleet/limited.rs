//! Servers that name a rate limit: how they are chosen, and the permits that a request needs for them.

use std::time::Duration;

use pondwalk_types::ServerId;
use rand::Rng;

use super::{Ask, Fleet, LifeMark, ServerLimit, server::Server};

/// Whether a server that names a rate limit may be chosen without a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Permission {
    /// Only with one at hand.
    AtHand,
    /// Also if one may be asked for.
    Possible,
}

/// How sure it is that a request would be placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Certainty {
    /// A server could take it now.
    Sure,
    /// One could if a permit for it is given.
    IfPermitted,
}

/// A permit that is to be asked for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WantedPermit {
    /// The server that it is for.
    pub server: ServerId,
    /// The life of the server that named the limit.
    pub life: LifeMark,
    /// The limit.
    pub limit: ServerLimit,
    /// When it was said.
    pub said_at: Duration,
}

impl Fleet {
    /// Whether any server would take a request now, and how surely; `None` if none would.
    pub fn certainty(&self, ask: &Ask<'_>, now: Duration) -> Option<Certainty> {
        let could_take = |permission| {
            let mut open = self.open(ask.versions, now);
            open.any(|server| ask.allows(&server.facts) && self.has_room(server, permission, now))
        };
        if could_take(Permission::AtHand) {
            return Some(Certainty::Sure);
        }
        could_take(Permission::Possible).then_some(Certainty::IfPermitted)
    }

    /// The permit that a request is to ask for: the server that it would go to names a rate limit, and none is at
    /// hand.
    pub fn want_permit(
        &mut self,
        ask: &Ask<'_>,
        now: Duration,
        rng: &mut impl Rng,
    ) -> Option<WantedPermit> {
        if !self.may_limit {
            return None;
        }
        self.may_limit = self.count_limited() > 0;
        let scatter = || rng.random_range(0.0..1.0);
        let best = self.best(ask, now, Permission::Possible, scatter)?;
        let server = self.servers[best.index].as_mut()?;
        let limit = server.notice.rate_limit()?;
        if server.permits.is_at_hand(now) {
            return None;
        }
        server.permits.is_asked_for(now);
        let said_at = server.notice.rate().said_at().unwrap_or(now);
        Some(WantedPermit {
            server: server.facts.id.clone(),
            life: server.mark.clone(),
            limit,
            said_at,
        })
    }

    /// Permits that may come for a request before `until`, at most.
    pub fn permits_before(&self, ask: &Ask<'_>, until: Duration, now: Duration) -> usize {
        let open = self.open(ask.versions, now).filter(|server| ask.allows(&server.facts));
        let of_one = |server: &Server| {
            let limit = server.notice.rate_limit()?;
            let left = until.checked_sub(server.permits.opens_at(now))?;
            Some(1 + (limit.per_s() * left.as_secs_f64()) as usize)
        };
        open.filter_map(of_one).fold(0, usize::saturating_add)
    }

    /// A permit for a server was given, or refused until some time.
    pub fn take_permit(&mut self, id: &str, permit: Result<(), Duration>, now: Duration) {
        let server = self.servers.iter_mut().flatten().find(|server| server.facts.id == id);
        let Some(server) = server else { return };
        match permit {
            Ok(()) => server.permits.is_given(now),
            Err(until) => server.permits.is_refused(until),
        }
    }
}

/// Whether the rate limit of a server lets it be chosen.
pub(super) fn is_permitted(server: &Server, permission: Permission, now: Duration) -> bool {
    server.notice.rate_limit().is_none()
        || server.permits.is_at_hand(now)
        || permission == Permission::Possible && server.permits.may_be_asked_for(now)
}
