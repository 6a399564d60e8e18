//! Which servers have room at this moment: evacuated data centres, and cold servers.

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use pondwalk_types::VersionId;
use rand::{Rng, seq::IteratorRandom};

use super::{
    Fleet, PlacementRequest, Ticket,
    permit_rule::{PermitRule, is_permitted},
    server::Server,
    server_permits,
};
use crate::direct::{
    bound_sharing::BoundSharing,
    warm_up::{ColdReason, ColdServerPacing},
};

/// Times in a row that a server must be silent before it counts as one that may have started anew.
/// On links that lose one packet in twenty, a single silence is mostly a lost packet.
const SILENCES: u32 = 2;
/// Time after which a server is looked at again that takes few requests at once after a pause: its answers
/// begin within some tens of milliseconds.
const LIMIT_LOOK: Duration = Duration::from_millis(20);

/// Why a server could not be reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnreachableReason {
    /// Nothing listens at its address.
    Refused,
    /// It did not answer in time.
    TimedOut,
}

/// What keeps requests from a server that is open.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnavailableReason {
    /// It is cold, and has got what it may for now.
    Cold,
    /// It asked for a pause, or takes few requests at once right after one.
    Backoff,
    /// It names a rate limit, and there is no permit for it now.
    Limited,
}

/// When a server may get one more request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NextAvailability {
    /// When that is.
    pub at: Duration,
    /// What keeps requests from it until then.
    pub reason: UnavailableReason,
}

impl Fleet {
    /// Sets what cold servers may get; nothing is held back without it.
    pub fn set_pacing(&mut self, pacing: Option<ColdServerPacing>) {
        if self.pacing == pacing {
            return;
        }
        self.pacing = pacing;
        for server in self.servers.iter().flatten() {
            server.warm_up.reset_share();
        }
    }

    /// The entries that share the bounds of cold servers are these.
    pub fn set_bound_sharing(&mut self, sharers: &BoundSharing) {
        self.bound_sharing = sharers.clone();
    }

    /// Nothing more goes to the servers of a data centre.
    pub fn evacuate(&mut self, data_centre: &str) {
        if !self.is_evacuated(data_centre) {
            self.evacuated.push(data_centre.to_owned());
        }
    }

    /// The servers of a data centre may be used again. They may have turned cold shortly before.
    pub fn reinstate(&mut self, data_centre: &str, now: Duration) {
        self.evacuated.retain(|evacuated| evacuated != data_centre);
        let Some(pacing) = self.pacing else { return };
        let servers = self.servers.iter_mut().flatten();
        for server in servers.filter(|server| server.info.data_centre == data_centre) {
            server.warm_up.presume_cold(now + pacing.warm_up_time, ColdReason::Reinstated);
        }
    }

    /// Servers known.
    pub fn count(&self) -> usize {
        self.servers.iter().flatten().count()
    }

    /// Where a few servers other than this one listen, drawn at random.
    pub fn sample_other_addresses(
        &self,
        id: &str,
        most: usize,
        rng: &mut impl Rng,
    ) -> Vec<SocketAddr> {
        let others = self.servers.iter().flatten().filter(|server| server.info.id != id);
        others.map(|server| server.info.address).choose_multiple(rng, most)
    }

    /// Servers known in a data centre.
    pub fn count_in(&self, data_centre: &str) -> usize {
        let servers = self.servers.iter().flatten();
        servers.filter(|server| server.info.data_centre == data_centre).count()
    }

    pub(super) fn is_evacuated(&self, data_centre: &str) -> bool {
        self.evacuated.iter().any(|evacuated| evacuated == data_centre)
    }

    /// The server could not be reached; it is left alone a while, and may have started anew before it
    /// is reached again. Returns whether other entries should be told.
    pub fn on_unreachable(
        &mut self,
        ticket: &Ticket,
        why: UnreachableReason,
        now: Duration,
    ) -> bool {
        let pacing = self.pacing;
        let Some(server) = self.server_of(ticket) else { return false };
        let in_row = server.on_refused(now);
        let is_gone = why == UnreachableReason::Refused || in_row >= SILENCES;
        match pacing.filter(|_| is_gone) {
            Some(pacing) => doubt_unreached(server, pacing, now),
            None => false,
        }
    }

    /// Another entry could not reach a server at that time. Returns whether that was news.
    pub fn apply_peer_unreachable(&mut self, id: &str, at: Duration, now: Duration) -> bool {
        let Some(pacing) = self.pacing else { return false };
        let server = self.servers.iter_mut().flatten().find(|server| server.info.id == id);
        server.is_some_and(|server| doubt_unreached(server, pacing, at.min(now)))
    }

    /// Whether a request placed a moment ago may leave now, when its connection stands: its server's
    /// data centre may have been evacuated, or the server have gone, started anew or turned cold. A
    /// cold server gets it as if it was sent now.
    pub fn may_send(&mut self, ticket: &Ticket, now: Duration) -> bool {
        let server = self.servers.get(ticket.index).and_then(Option::as_ref);
        let Some(server) =
            server.filter(|server| server.incarnation_number == ticket.incarnation_number)
        else {
            return false;
        };
        // NB: it may have asked to be left alone while the connection opened.
        if self.is_evacuated(&server.info.data_centre) || server.notice.active_notice(now).is_some()
        {
            return false;
        }
        let is_limited = server.notice.rate_limit().is_some();
        if is_limited
            && !ticket.permit_granted_at.is_some_and(|given| server_permits::holds(given, now))
        {
            return false;
        }
        if self.pacing.is_none() || now <= ticket.placed_at {
            return true;
        }
        // NB: its own place is counted already, unless it was placed so long ago that others may have
        // taken theirs since, as after a freeze of the process.
        if self.is_cold(server, now) && !self.is_within_share(server, ticket, now) {
            return false;
        }
        if let Some(server) = self.server_of(ticket) {
            server.warm_up.reschedule_sent(ticket.placed_at, now);
        }
        true
    }

    /// Whether a request that is about to leave is within this entry's share of a cold server.
    fn is_within_share(&self, server: &Server, ticket: &Ticket, now: Duration) -> bool {
        let share = self.cold_share(server);
        now >= self.pacing.map_or(Duration::ZERO, |pacing| pacing.not_before)
            && server.warm_up.recent_sends_except(ticket.placed_at, now) < share as usize
    }

    /// Why a server counts as cold, if it does.
    pub fn cold_reason(&self, id: &str, now: Duration) -> Option<ColdReason> {
        self.pacing?;
        let server = self.servers.iter().flatten().find(|server| server.info.id == id)?;
        server.warm_up.cold_reason(now)
    }

    /// When a request that no server may take now could be placed, if any server is merely cold or pauses.
    pub fn next_availability(
        &self,
        ask: &PlacementRequest<'_>,
        now: Duration,
    ) -> Option<NextAvailability> {
        let open = self.available_servers(ask.versions, now);
        let open = open.filter(|server| ask.allows(&server.info));
        open.filter_map(|server| self.server_availability(server, now))
            .min_by_key(|opening| opening.at)
    }

    /// Whether another server than `server` could take the request now.
    pub fn has_alternative(&self, ask: &PlacementRequest<'_>, server: &str, now: Duration) -> bool {
        let mut open = self.available_servers(ask.versions, now);
        open.any(|other| {
            other.info.id != server
                && ask.allows(&other.info)
                && self.has_room(other, PermitRule::Granted, now)
        })
    }

    /// Versions all of whose servers, those that leave aside, have turned everything away for at least `time`.
    pub fn versions_refusing_all(&self, time: Duration, now: Duration) -> BTreeSet<VersionId> {
        let takes = |server: &&Server| {
            let since = server.notice.refusing_since(now);
            since.is_none_or(|since| now.saturating_sub(since) < time)
        };
        if self.servers.iter().flatten().all(|server| takes(&server)) {
            return BTreeSet::new();
        }
        let open = || self.servers.iter().flatten().filter(|server| server.is_open(now));
        let taking: BTreeSet<&VersionId> =
            open().filter(takes).map(|server| &server.info.version).collect();
        let versions = open().map(|server| &server.info.version);
        versions.filter(|version| !taking.contains(version)).cloned().collect()
    }

    /// Whether servers are known that would be used but for their word that they leave, or the store's.
    pub fn has_draining(&self, ask: &PlacementRequest<'_>, now: Duration) -> bool {
        let mut servers = self.servers.iter().flatten();
        servers.any(|server| {
            let facts = &server.info;
            let may_run =
                ask.versions.allows(&facts.version) && ask.data_centres.allows(&facts.data_centre);
            may_run && server.is_draining(now)
        })
    }

    /// Servers that count as cold.
    pub fn count_cold(&self, now: Duration) -> usize {
        self.servers.iter().flatten().filter(|server| self.is_cold(server, now)).count()
    }

    pub(super) fn is_cold(&self, server: &Server, now: Duration) -> bool {
        self.pacing.is_some() && server.warm_up.cold_reason(now).is_some()
    }

    /// Whether a server may get one more request now, by what it bears.
    pub(super) fn has_room(&self, server: &Server, permission: PermitRule, now: Duration) -> bool {
        let notice = &server.notice;
        let pauses = notice.backoff_until(now).is_some() || !notice.has_room(server.waiting);
        !pauses
            && is_permitted(server, permission, now)
            && (!self.is_cold(server, now) || self.next_cold_send_at(server, now) <= now)
    }

    /// When a server may get one more request of this entry, if not now.
    fn server_availability(&self, server: &Server, now: Duration) -> Option<NextAvailability> {
        let shut_until = |at, shut| (at > now).then_some(NextAvailability { at, reason: shut });
        let cold = self.is_cold(server, now).then(|| self.next_cold_send_at(server, now));
        let cold = cold.and_then(|at| shut_until(at, UnavailableReason::Cold));
        let notice = &server.notice;
        let pause = match notice.backoff_until(now) {
            None if !notice.has_room(server.waiting) => Some(now + LIMIT_LOOK),
            until => until,
        };
        let pause = pause.and_then(|at| shut_until(at, UnavailableReason::Backoff));
        let needs_permit = !is_permitted(server, PermitRule::Granted, now);
        let permit = needs_permit.then(|| server.permits.next_available_at(now));
        let permit = permit.and_then(|at| shut_until(at, UnavailableReason::Limited));
        cold.into_iter().chain(pause).chain(permit).max_by_key(|opening| opening.at)
    }

    /// When a cold server may get one more request of this entry.
    fn next_cold_send_at(&self, server: &Server, now: Duration) -> Duration {
        let Some(pacing) = self.pacing.filter(|_| self.is_cold(server, now)) else { return now };
        let warm = server.warm_up.cold_until();
        match server.warm_up.next_send_at(self.cold_share(server)) {
            Some(at) => at.max(pacing.not_before).min(warm),
            None => warm,
        }
    }

    fn cold_share(&self, server: &Server) -> u32 {
        let most = self.pacing.map_or(0, |pacing| pacing.max_requests_per_second);
        server.warm_up.share(server.hash, most, &self.bound_sharing)
    }
}

/// A server was not reached at `at`. By the time it has told of a new start, it is warm or says that it
/// is not.
fn doubt_unreached(server: &mut Server, pacing: ColdServerPacing, at: Duration) -> bool {
    let until = at + pacing.report_delay + pacing.warm_up_time;
    server.warm_up.presume_cold(until, ColdReason::Unreachable)
}
