//! Which servers can take a request now: evacuated data centres, cold servers, backoffs and rate
//! limits.

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use pondwalk_types::VersionId;
use rand::{Rng, seq::IteratorRandom};

use super::{
    Fleet, PlacementRequest, Ticket, VersionRule,
    permit_rule::{PermitRule, is_permitted},
    server::Server,
    server_permits,
};
use crate::direct::{
    bound_sharing::BoundSharing,
    warm_up::{ColdReason, ColdServerPacing},
};

/// Consecutive timeouts after which a server may have restarted. On links that lose one packet in
/// twenty, a single timeout is mostly a lost packet.
const MIN_CONSECUTIVE_TIMEOUTS: u32 = 2;
/// Interval at which a server that takes few requests at once after a backoff is checked again; its
/// answers begin within some tens of milliseconds.
const WAITING_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Why a server could not be reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnreachableReason {
    /// Nothing listens at the server's address.
    Refused,
    /// The server did not answer in time.
    TimedOut,
}

/// Why a server that is ready can take no request now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnavailableReason {
    /// The server is cold and has received this entry's share of requests.
    Cold,
    /// The same, and another entry may lend a part of its share.
    ColdBorrowable,
    /// The server asked for a backoff, or takes few requests at once right after one.
    Backoff,
    /// The server reports a rate limit, and no permit is available.
    Limited,
}

/// When a server may take the next request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NextAvailability {
    /// The time.
    pub at: Duration,
    /// Why the server takes none until then.
    pub reason: UnavailableReason,
}

impl Fleet {
    /// Sets the limits on cold servers; `None` removes them.
    pub fn set_pacing(&mut self, pacing: Option<ColdServerPacing>) {
        if self.pacing == pacing {
            return;
        }
        self.pacing = pacing;
        for server in self.servers.iter().flatten() {
            server.warm_up.reset_share();
        }
    }

    /// Replaces the entries that share the limits on cold servers.
    pub fn set_bound_sharing(&mut self, bound_sharing: &BoundSharing) {
        self.bound_sharing = bound_sharing.clone();
    }

    /// Stops sending requests to the servers of a data centre.
    pub fn evacuate(&mut self, data_centre: &str) {
        if !self.is_evacuated(data_centre) {
            self.evacuated.push(data_centre.to_owned());
        }
    }

    /// Uses the servers of a data centre again. They are presumed cold, since they may have
    /// restarted shortly before.
    pub fn reinstate(&mut self, data_centre: &str, now: Duration) {
        self.evacuated.retain(|evacuated| evacuated != data_centre);
        let Some(pacing) = self.pacing else { return };
        let servers = self.servers.iter_mut().flatten();
        for server in servers.filter(|server| server.info.data_centre == data_centre) {
            server.warm_up.presume_cold(now + pacing.warm_up_time, ColdReason::Reinstated);
        }
    }

    /// Number of known servers.
    pub fn count(&self) -> usize {
        self.servers.iter().flatten().count()
    }

    /// Addresses of up to `max` random servers other than this one.
    pub fn sample_other_addresses(
        &self,
        id: &str,
        max: usize,
        rng: &mut impl Rng,
    ) -> Vec<SocketAddr> {
        let other_servers = self.servers.iter().flatten().filter(|server| server.info.id != id);
        other_servers.map(|server| server.info.address).choose_multiple(rng, max)
    }

    /// Number of servers that accept new requests.
    pub fn count_open(&self, now: Duration) -> usize {
        self.available_servers(VersionRule::Any, now).count()
    }

    /// Number of known servers in a data centre.
    pub fn count_in(&self, data_centre: &str) -> usize {
        let servers = self.servers.iter().flatten();
        servers.filter(|server| server.info.data_centre == data_centre).count()
    }

    pub(super) fn is_evacuated(&self, data_centre: &str) -> bool {
        self.evacuated.iter().any(|evacuated| evacuated == data_centre)
    }

    /// Records that the server could not be reached, which starts a backoff; the server may have
    /// restarted before it is reached again. Returns whether this is to be published to other
    /// entries.
    pub fn on_unreachable(
        &mut self,
        ticket: &Ticket,
        cause: UnreachableReason,
        now: Duration,
    ) -> bool {
        let pacing = self.pacing;
        let Some(server) = self.server_of(ticket) else { return false };
        let consecutive_failures = server.on_refused(now);
        let may_have_restarted =
            cause == UnreachableReason::Refused || consecutive_failures >= MIN_CONSECUTIVE_TIMEOUTS;
        match pacing.filter(|_| may_have_restarted) {
            Some(pacing) => presume_cold_after_failure(server, pacing, now),
            None => false,
        }
    }

    /// Applies that another entry could not reach a server at that time. Returns whether this is
    /// new.
    pub fn apply_peer_unreachable(&mut self, id: &str, at: Duration, now: Duration) -> bool {
        let Some(pacing) = self.pacing else { return false };
        let server = self.servers.iter_mut().flatten().find(|server| server.info.id == id);
        server.is_some_and(|server| presume_cold_after_failure(server, pacing, at.min(now)))
    }

    /// Whether a recently placed request may be sent now that its connection is open. Meanwhile its
    /// server's data centre may have been evacuated, or the server may be gone, have restarted or
    /// turned cold. The request counts as sent to a cold server now.
    pub fn may_send(&mut self, ticket: &Ticket, now: Duration) -> bool {
        let server = self.servers.get(ticket.index).and_then(Option::as_ref);
        let Some(server) =
            server.filter(|server| server.incarnation_number == ticket.incarnation_number)
        else {
            return false;
        };
        // NB: the server may have asked for a backoff while the connection opened.
        if self.is_evacuated(&server.info.data_centre) || server.notice.active_notice(now).is_some()
        {
            return false;
        }
        let is_limited = server.notice.rate_limit().is_some();
        if is_limited
            && !ticket
                .permit_granted_at
                .is_some_and(|granted_at| server_permits::is_valid(granted_at, now))
        {
            return false;
        }
        if self.pacing.is_none() || now <= ticket.placed_at {
            return true;
        }
        // NB: the request itself is counted already, unless it was placed so long ago that others
        // may have been sent since, as after a suspension of the process.
        let has_loan = !is_limited
            && ticket.permit_granted_at.is_some_and(|at| server_permits::is_valid(at, now));
        if has_loan {
            return true;
        }
        if self.is_cold(server, now) && !self.is_within_share(server, ticket, now) {
            return false;
        }
        if let Some(server) = self.server_of(ticket) {
            server.warm_up.reschedule_sent(ticket.placed_at, now);
        }
        true
    }

    /// Whether a request about to be sent is within this entry's share of a cold server.
    fn is_within_share(&self, server: &Server, ticket: &Ticket, now: Duration) -> bool {
        let share = self.cold_share(server);
        now >= self.pacing.map_or(Duration::ZERO, |pacing| pacing.not_before)
            && server.warm_up.recent_sends_except(ticket.placed_at, now) < share as usize
    }

    /// Why a server counts as cold; `None` if it does not.
    pub fn cold_reason(&self, id: &str, now: Duration) -> Option<ColdReason> {
        self.pacing?;
        let server = self.servers.iter().flatten().find(|server| server.info.id == id)?;
        server.warm_up.cold_reason(now)
    }

    /// When a request that no server may take now could be placed; `None` if no server is merely
    /// cold, backing off or rate-limited.
    pub fn next_availability(
        &self,
        request: &PlacementRequest<'_>,
        now: Duration,
    ) -> Option<NextAvailability> {
        let servers = self.available_servers(request.versions, now);
        let servers = servers.filter(|server| request.allows(&server.info));
        servers
            .filter_map(|server| self.server_availability(server, now))
            .min_by_key(|availability| availability.at)
    }

    /// Whether a server other than `server` could take the request now.
    pub fn has_alternative(
        &self,
        request: &PlacementRequest<'_>,
        server: &str,
        now: Duration,
    ) -> bool {
        let mut servers = self.available_servers(request.versions, now);
        servers.any(|other| {
            other.info.id != server
                && request.allows(&other.info)
                && self.has_room(other, PermitRule::Granted, now)
        })
    }

    /// Versions whose servers, except draining ones, have all refused every request for at least
    /// `time`.
    pub fn versions_refusing_all(&self, time: Duration, now: Duration) -> BTreeSet<VersionId> {
        let accepts = |server: &&Server| {
            let since = server.notice.refusing_since(now);
            since.is_none_or(|since| now.saturating_sub(since) < time)
        };
        if self.servers.iter().flatten().all(|server| accepts(&server)) {
            return BTreeSet::new();
        }
        let servers = || self.servers.iter().flatten().filter(|server| server.is_open(now));
        let accepting: BTreeSet<&VersionId> =
            servers().filter(accepts).map(|server| &server.info.version).collect();
        let versions = servers().map(|server| &server.info.version);
        versions.filter(|version| !accepting.contains(version)).cloned().collect()
    }

    /// Whether some servers would be used if they were not draining, by their own report or the
    /// store's.
    pub fn has_draining(&self, request: &PlacementRequest<'_>, now: Duration) -> bool {
        let mut servers = self.servers.iter().flatten();
        servers.any(|server| {
            let info = &server.info;
            let may_run = request.versions.allows(&info.version)
                && request.data_centres.allows(&info.data_centre);
            may_run && server.is_draining(now)
        })
    }

    /// Whether a request's server is draining or no longer known.
    pub fn may_be_leaving(&self, ticket: &Ticket, now: Duration) -> bool {
        let server = self.servers.get(ticket.index).and_then(Option::as_ref);
        server.is_none_or(|server| {
            server.incarnation_number != ticket.incarnation_number || server.is_draining(now)
        })
    }

    /// Number of servers that count as cold.
    pub fn count_cold(&self, now: Duration) -> usize {
        self.servers.iter().flatten().filter(|server| self.is_cold(server, now)).count()
    }

    pub(super) fn is_cold(&self, server: &Server, now: Duration) -> bool {
        self.pacing.is_some() && server.warm_up.cold_reason(now).is_some()
    }

    /// Whether a server has capacity for one more request now.
    pub(super) fn has_room(&self, server: &Server, permit_rule: PermitRule, now: Duration) -> bool {
        let notice = &server.notice;
        let backs_off = notice.backoff_until(now).is_some() || !notice.has_room(server.waiting);
        !backs_off
            && is_permitted(server, permit_rule, now)
            && (!self.is_cold(server, now)
                || self.next_cold_send_at(server, now) <= now
                || self.has_loan(server, now)
                || permit_rule == PermitRule::Borrowable && self.may_borrow(server, now))
    }

    /// Whether another entry has lent a request at a cold server.
    ///
    /// NB: a server that reports a rate limit has permits of that limit, and no loans.
    pub(super) fn has_loan(&self, server: &Server, now: Duration) -> bool {
        server.notice.rate_limit().is_none() && server.permits.is_available(now)
    }

    fn may_borrow(&self, server: &Server, now: Duration) -> bool {
        self.bound_sharing.entry_count() > 1
            && server.notice.rate_limit().is_none()
            && server.permits.may_be_requested(now)
    }

    /// When a server may take one more request of this entry; `None` if it may now.
    fn server_availability(&self, server: &Server, now: Duration) -> Option<NextAvailability> {
        let unavailable_until = |at, reason| (at > now).then_some(NextAvailability { at, reason });
        let cold = self.is_cold(server, now).then(|| self.cold_availability(server, now));
        let cold = cold.and_then(|next| unavailable_until(next.at, next.reason));
        let notice = &server.notice;
        let backoff = match notice.backoff_until(now) {
            None if !notice.has_room(server.waiting) => Some(now + WAITING_POLL_INTERVAL),
            until => until,
        };
        let backoff = backoff.and_then(|at| unavailable_until(at, UnavailableReason::Backoff));
        let needs_permit = !is_permitted(server, PermitRule::Granted, now);
        let permit = needs_permit.then(|| server.permits.next_available_at(now));
        let permit = permit.and_then(|at| unavailable_until(at, UnavailableReason::Limited));
        cold.into_iter().chain(backoff).chain(permit).max_by_key(|availability| availability.at)
    }

    /// When a cold server may take one more request, by this entry's share or by a loan.
    fn cold_availability(&self, server: &Server, now: Duration) -> NextAvailability {
        let at = self.next_cold_send_at(server, now);
        let own = NextAvailability { at, reason: UnavailableReason::Cold };
        if self.bound_sharing.entry_count() < 2 || server.notice.rate_limit().is_some() {
            return own;
        }
        let loan_at = server.permits.next_available_at(now);
        if loan_at < at {
            NextAvailability { at: loan_at, reason: UnavailableReason::ColdBorrowable }
        } else {
            own
        }
    }

    /// Number of entries that have a share of each cold server.
    pub(super) fn cold_owner_count(&self) -> usize {
        let max = self.pacing.map_or(0, |pacing| pacing.max_requests_per_second);
        self.bound_sharing.server_owner_count(max) as usize
    }

    /// When a cold server may take one more request of this entry.
    pub(super) fn next_cold_send_at(&self, server: &Server, now: Duration) -> Duration {
        let Some(pacing) = self.pacing.filter(|_| self.is_cold(server, now)) else { return now };
        let warm_at = server.warm_up.cold_until();
        match server.warm_up.next_send_at(self.cold_share(server)) {
            Some(at) => at.max(pacing.not_before).min(warm_at),
            None => warm_at,
        }
    }

    pub(super) fn cold_share(&self, server: &Server) -> u32 {
        let max = self.pacing.map_or(0, |pacing| pacing.max_requests_per_second);
        server.warm_up.share(server.hash, max, &self.bound_sharing)
    }
}

/// Presumes that a server that was not reached at `at` is cold. By the time that a restarted server
/// has reported its start, it is warm or reports that it is cold.
fn presume_cold_after_failure(server: &mut Server, pacing: ColdServerPacing, at: Duration) -> bool {
    let until = at + pacing.report_delay + pacing.warm_up_time;
    server.warm_up.presume_cold(until, ColdReason::Unreachable)
}
