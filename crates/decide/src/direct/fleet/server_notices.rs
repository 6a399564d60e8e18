//! Notices of a fleet's servers, including servers that the store does not list at the moment.

use std::{net::SocketAddr, time::Duration};

use pondwalk_types::ServerId;

use super::{
    Fleet, RateLimit, ReportedRateLimit, ServerInfo, Ticket,
    notice::{Notice, NoticeKind, ServerIncarnation},
};

impl Fleet {
    /// Records that the server reported in an answer that it is draining. Returns whether this is
    /// new.
    pub fn on_draining_reported(&mut self, ticket: &Ticket, now: Duration) -> bool {
        self.notice_of(ticket).is_some_and(|notice| notice.on_draining(now))
    }

    /// Records that the server asked in an answer for a backoff; `draw` (0 to 1) spreads the
    /// entries that received the same request. Returns the end of the backoff.
    pub fn on_backoff_requested(
        &mut self,
        ticket: &Ticket,
        requested: Duration,
        draw: f64,
        now: Duration,
    ) -> Option<Duration> {
        // NB: each entry returns with one request, so few entries need not be spread.
        let slots = self.server_of(ticket).map_or(1, |server| server.info.slots.max(1));
        let crowding = (self.bound_sharing.entry_count() as f64 / f64::from(slots)).min(1.0);
        Some(self.notice_of(ticket)?.on_backoff(requested, draw * crowding, now))
    }

    /// Applies what an answer reports about its server's rate limit. Returns whether the limit has
    /// changed.
    pub fn on_rate_limit_reported(
        &mut self,
        ticket: &Ticket,
        reported: ReportedRateLimit,
        now: Duration,
    ) -> bool {
        let sent_at = ticket.placed_at;
        self.may_have_rate_limits |= matches!(reported, ReportedRateLimit::Limit(_));
        // NB: most servers report no limit, and looking the server up for each answer would search
        // all servers.
        if !self.may_have_rate_limits {
            return false;
        }
        let notice = self.notice_of(ticket);
        notice
            .is_some_and(|notice| notice.rate_limit_state().apply_reported(reported, sent_at, now))
    }

    /// Whether any server may report a rate limit.
    pub fn may_have_rate_limits(&self) -> bool {
        self.may_have_rate_limits
    }

    /// Returns the change of a server's rate limit that is to be published to all entries now, if
    /// any, and marks it published.
    pub fn take_due_rate_limit(
        &mut self,
        ticket: &Ticket,
        now: Duration,
    ) -> Option<(ServerIncarnation, Option<RateLimit>)> {
        if !self.may_have_rate_limits {
            return None;
        }
        let state = self.notice_of(ticket)?.rate_limit_state();
        state.take_due_publication(now).then(|| (ticket.incarnation.clone(), state.limit()))
    }

    /// Applies the rate limit, or its absence, that another entry received at `at` from that
    /// incarnation of a server. Returns whether the limit has changed.
    pub fn apply_peer_rate_limit(
        &mut self,
        id: &str,
        incarnation: &ServerIncarnation,
        limit: Option<RateLimit>,
        at: Duration,
    ) -> bool {
        let server = self.servers.iter_mut().flatten().find(|server| server.info.id == id);
        let Some(server) = server.filter(|server| server.incarnation.matches(incarnation)) else {
            return false;
        };
        self.may_have_rate_limits |= limit.is_some();
        server.notice.rate_limit_state().apply_from_peer(limit, at)
    }

    /// The rate limit of that incarnation of a server by the latest report, and when it was
    /// received; `None` if there was no report.
    pub fn rate_limit_of(
        &mut self,
        id: &str,
        incarnation: &ServerIncarnation,
    ) -> Option<(Option<RateLimit>, Duration)> {
        let server = self.servers.iter_mut().flatten().find(|server| server.info.id == id);
        let server = server.filter(|server| server.incarnation.matches(incarnation))?;
        let state = server.notice.rate_limit_state();
        Some((state.limit(), state.reported_at()?))
    }

    /// Number of servers that report a rate limit.
    pub fn count_rate_limited(&self) -> usize {
        let servers = self.servers.iter().flatten();
        servers.filter(|server| server.notice.rate_limit().is_some()).count()
    }

    /// The notice in which an answer's requests are recorded; `None` if another incarnation of the
    /// server sent it.
    ///
    /// NB: the server's record may be absent from the store for a moment, or may have returned at
    /// another index.
    fn notice_of(&mut self, ticket: &Ticket) -> Option<&mut Notice> {
        let mut servers = self.servers.iter_mut().flatten();
        if let Some(server) = servers.find(|server| server.info.id == ticket.server) {
            let is_same = server.incarnation.matches(&ticket.incarnation);
            return is_same.then_some(&mut server.notice);
        }
        let absent = || (ticket.incarnation.clone(), Notice::default());
        let (incarnation, notice) =
            self.remembered.entry(ticket.server.clone()).or_insert_with(absent);
        incarnation.matches(&ticket.incarnation).then_some(notice)
    }

    /// Servers that reported draining and are still listed, with their addresses.
    pub fn draining_addresses(&self, now: Duration) -> Vec<(ServerId, SocketAddr)> {
        let servers = self.servers.iter().flatten();
        let draining = servers.filter(|server| server.info.ready && server.notice.is_draining(now));
        draining.map(|server| (server.info.id.clone(), server.info.address)).collect()
    }

    /// Records whether a process listens at the address of a draining server. Returns whether it is
    /// the next incarnation.
    pub fn record_listen_check(&mut self, id: &str, listens: bool, now: Duration) -> bool {
        let server = self.servers.iter_mut().flatten().find(|server| server.info.id == id);
        let Some(server) = server else { return false };
        if !listens {
            server.notice.record_not_listening(now);
            return false;
        }
        server.notice.record_listening(now)
    }

    /// Number of servers that reported draining, and of those that asked for a backoff.
    pub fn count_notices(&self, now: Duration) -> (usize, usize) {
        let notices =
            self.servers.iter().flatten().filter_map(|server| server.notice.active_notice(now));
        notices.fold((0, 0), |(draining, backing_off), notice| match notice {
            NoticeKind::Draining => (draining + 1, backing_off),
            NoticeKind::Backoff => (draining, backing_off + 1),
        })
    }

    /// Restores the notice of an incarnation that the store lists again.
    pub(super) fn restore_notice(
        &mut self,
        info: &ServerInfo,
    ) -> Option<(ServerIncarnation, Notice)> {
        let remembered = self.remembered.remove(&info.id);
        remembered.filter(|(incarnation, _)| incarnation.matches(&ServerIncarnation::of(info)))
    }
}
