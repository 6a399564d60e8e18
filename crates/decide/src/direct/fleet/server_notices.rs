//! What the servers of a fleet have asked of this entry, also those whose entries are gone for a moment.

use std::{net::SocketAddr, time::Duration};

use pondwalk_types::ServerId;

use super::{
    Fleet, RateLimit, ReportedRateLimit, ServerInfo, Ticket,
    notice::{Notice, NoticeKind, ServerIncarnation},
};

impl Fleet {
    /// The server said in an answer that it leaves. Returns whether that is news.
    pub fn on_draining_reported(&mut self, ticket: &Ticket, now: Duration) -> bool {
        self.notice_of(ticket).is_some_and(|notice| notice.on_draining(now))
    }

    /// The server asked in an answer to be sent nothing for a while; `spread` (0 to 1) parts the entries that
    /// heard the same. Returns until when it gets nothing.
    pub fn on_backoff_requested(
        &mut self,
        ticket: &Ticket,
        asked: Duration,
        spread: f64,
        now: Duration,
    ) -> Option<Duration> {
        // NB: each entry comes back with one request, which few entries need not be parted for.
        let slots = self.server_of(ticket).map_or(1, |server| server.info.slots.max(1));
        let crowd = (self.bound_sharing.entry_count() as f64 / f64::from(slots)).min(1.0);
        Some(self.notice_of(ticket)?.on_backoff(asked, spread * crowd, now))
    }

    /// An answer spoke of its server's rate limit. Returns whether that has changed.
    pub fn on_rate_limit_reported(
        &mut self,
        ticket: &Ticket,
        word: ReportedRateLimit,
        now: Duration,
    ) -> bool {
        let sent = ticket.placed_at;
        self.may_have_rate_limits |= matches!(word, ReportedRateLimit::Limit(_));
        // NB: most servers name no limit, and a look at each answer would cost a search among all servers.
        if !self.may_have_rate_limits {
            return false;
        }
        let notice = self.notice_of(ticket);
        notice.is_some_and(|notice| notice.rate_limit_state().apply_reported(word, sent, now))
    }

    /// Whether any server may name a rate limit.
    pub fn may_have_rate_limits(&self) -> bool {
        self.may_have_rate_limits
    }

    /// What all entries are to be told of a server's rate limit now, if anything; they count as told then.
    pub fn take_due_rate_limit(
        &mut self,
        ticket: &Ticket,
        now: Duration,
    ) -> Option<(ServerIncarnation, Option<RateLimit>)> {
        if !self.may_have_rate_limits {
            return None;
        }
        let rate = self.notice_of(ticket)?.rate_limit_state();
        rate.take_due_publication(now).then(|| (ticket.incarnation.clone(), rate.limit()))
    }

    /// Another entry heard at `at` which rate limit a server names in that life, or that it names none. Returns
    /// whether that changes what is known.
    pub fn apply_peer_rate_limit(
        &mut self,
        id: &str,
        life: &ServerIncarnation,
        limit: Option<RateLimit>,
        at: Duration,
    ) -> bool {
        let server = self.servers.iter_mut().flatten().find(|server| server.info.id == id);
        let Some(server) = server.filter(|server| server.incarnation.matches(life)) else {
            return false;
        };
        self.may_have_rate_limits |= limit.is_some();
        server.notice.rate_limit_state().apply_from_peer(limit, at)
    }

    /// The rate limit of a server in that life by the latest word, and when that was said; `None` if nothing was.
    pub fn rate_limit_of(
        &mut self,
        id: &str,
        life: &ServerIncarnation,
    ) -> Option<(Option<RateLimit>, Duration)> {
        let server = self.servers.iter_mut().flatten().find(|server| server.info.id == id);
        let server = server.filter(|server| server.incarnation.matches(life))?;
        let rate = server.notice.rate_limit_state();
        Some((rate.limit(), rate.reported_at()?))
    }

    /// Servers that name a rate limit.
    pub fn count_rate_limited(&self) -> usize {
        let servers = self.servers.iter().flatten();
        servers.filter(|server| server.notice.rate_limit().is_some()).count()
    }

    /// Where what a server asks in an answer is noted, unless it was another life of it that asked.
    ///
    /// NB: its entry may be gone for a moment just then, or may have come back at another position.
    fn notice_of(&mut self, ticket: &Ticket) -> Option<&mut Notice> {
        let mut listed = self.servers.iter_mut().flatten();
        if let Some(server) = listed.find(|one| one.info.id == ticket.server) {
            let is_same = server.incarnation.matches(&ticket.incarnation);
            return is_same.then_some(&mut server.notice);
        }
        let absent = || (ticket.incarnation.clone(), Notice::default());
        let (mark, notice) = self.remembered.entry(ticket.server.clone()).or_insert_with(absent);
        mark.matches(&ticket.incarnation).then_some(notice)
    }

    /// Servers that said they leave and are still listed, with where they listen.
    pub fn draining_addresses(&self, now: Duration) -> Vec<(ServerId, SocketAddr)> {
        let servers = self.servers.iter().flatten();
        let leaving = servers.filter(|server| server.info.ready && server.notice.is_draining(now));
        leaving.map(|server| (server.info.id.clone(), server.info.address)).collect()
    }

    /// Whether something listens at the address of a server that said it leaves. Returns whether that is its
    /// next life.
    pub fn record_listen_check(&mut self, id: &str, listens: bool, now: Duration) -> bool {
        let server = self.servers.iter_mut().flatten().find(|server| server.info.id == id);
        let Some(server) = server else { return false };
        if !listens {
            server.notice.record_not_listening(now);
            return false;
        }
        server.notice.record_listening(now)
    }

    /// Servers that gave notice: those that leave, and those that want nothing for a while.
    pub fn count_notices(&self, now: Duration) -> (usize, usize) {
        let asked = self.servers.iter().flatten().filter_map(|one| one.notice.active_notice(now));
        asked.fold((0, 0), |(leaving, backing_off), asked| match asked {
            NoticeKind::Draining => (leaving + 1, backing_off),
            NoticeKind::Backoff => (leaving, backing_off + 1),
        })
    }

    /// What a server asked for in the life that the store tells of again.
    pub(super) fn recall(&mut self, facts: &ServerInfo) -> Option<(ServerIncarnation, Notice)> {
        let remembered = self.remembered.remove(&facts.id);
        remembered.filter(|(mark, _)| mark.matches(&ServerIncarnation::of(facts)))
    }
}
