//! What the servers of a fleet have asked of this entry, also those whose entries are gone for a moment.

use std::{net::SocketAddr, time::Duration};

use pondwalk_types::ServerId;

use super::{
    Fleet, LimitWord, ServerFacts, ServerLimit, Ticket,
    notice::{AskedFor, LifeMark, Notice},
};

impl Fleet {
    /// The server said in an answer that it leaves. Returns whether that is news.
    pub fn told_leaving(&mut self, ticket: &Ticket, now: Duration) -> bool {
        self.notice_of(ticket).is_some_and(|notice| notice.leaves(now))
    }

    /// The server asked in an answer to be sent nothing for a while; `spread` (0 to 1) parts the entries that
    /// heard the same. Returns until when it gets nothing.
    pub fn asked_backoff(
        &mut self,
        ticket: &Ticket,
        asked: Duration,
        spread: f64,
        now: Duration,
    ) -> Option<Duration> {
        // NB: each entry comes back with one request, which few entries need not be parted for.
        let slots = self.server_of(ticket).map_or(1, |server| server.facts.slots.max(1));
        let crowd = (self.sharers.count() as f64 / f64::from(slots)).min(1.0);
        Some(self.notice_of(ticket)?.backs_off(asked, spread * crowd, now))
    }

    /// An answer spoke of its server's rate limit. Returns whether that has changed.
    pub fn told_limit(&mut self, ticket: &Ticket, word: LimitWord, now: Duration) -> bool {
        let sent = ticket.placed;
        self.may_limit |= matches!(word, LimitWord::Named(_));
        // NB: most servers name no limit, and a look at each answer would cost a search among all servers.
        if !self.may_limit {
            return false;
        }
        let notice = self.notice_of(ticket);
        notice.is_some_and(|notice| notice.rate().hear(word, sent, now))
    }

    /// Whether any server may name a rate limit.
    pub fn may_limit(&self) -> bool {
        self.may_limit
    }

    /// What all entries are to be told of a server's rate limit now, if anything; they count as told then.
    pub fn take_limit_news(
        &mut self,
        ticket: &Ticket,
        now: Duration,
    ) -> Option<(LifeMark, Option<ServerLimit>)> {
        if !self.may_limit {
            return None;
        }
        let rate = self.notice_of(ticket)?.rate();
        rate.take_news(now).then(|| (ticket.mark.clone(), rate.limit()))
    }

    /// Another entry heard at `at` which rate limit a server names in that life, or that it names none. Returns
    /// whether that changes what is known.
    pub fn is_told_limit(
        &mut self,
        id: &str,
        life: &LifeMark,
        limit: Option<ServerLimit>,
        at: Duration,
    ) -> bool {
        let server = self.servers.iter_mut().flatten().find(|server| server.facts.id == id);
        let Some(server) = server.filter(|server| server.mark.is_same(life)) else { return false };
        self.may_limit |= limit.is_some();
        server.notice.rate().is_told(limit, at)
    }

    /// The rate limit of a server in that life by the latest word, and when that was said; `None` if nothing was.
    pub fn limit_of(
        &mut self,
        id: &str,
        life: &LifeMark,
    ) -> Option<(Option<ServerLimit>, Duration)> {
        let server = self.servers.iter_mut().flatten().find(|server| server.facts.id == id);
        let server = server.filter(|server| server.mark.is_same(life))?;
        let rate = server.notice.rate();
        Some((rate.limit(), rate.said_at()?))
    }

    /// Servers that name a rate limit.
    pub fn count_limited(&self) -> usize {
        let servers = self.servers.iter().flatten();
        servers.filter(|server| server.notice.rate_limit().is_some()).count()
    }

    /// Where what a server asks in an answer is noted, unless it was another life of it that asked.
    ///
    /// NB: its entry may be gone for a moment just then, or may have come back at another position.
    fn notice_of(&mut self, ticket: &Ticket) -> Option<&mut Notice> {
        let mut listed = self.servers.iter_mut().flatten();
        if let Some(server) = listed.find(|one| one.facts.id == ticket.server) {
            let is_same = server.mark.is_same(&ticket.mark);
            return is_same.then_some(&mut server.notice);
        }
        let absent = || (ticket.mark.clone(), Notice::default());
        let (mark, notice) = self.remembered.entry(ticket.server.clone()).or_insert_with(absent);
        mark.is_same(&ticket.mark).then_some(notice)
    }

    /// Servers that said they leave and are still listed, with where they listen.
    pub fn told_leaving_at(&self, now: Duration) -> Vec<(ServerId, SocketAddr)> {
        let servers = self.servers.iter().flatten();
        let leaving = servers.filter(|server| server.facts.ready && server.notice.is_leaving(now));
        leaving.map(|server| (server.facts.id.clone(), server.facts.address)).collect()
    }

    /// Whether something listens at the address of a server that said it leaves. Returns whether that is its
    /// next life.
    pub fn listens(&mut self, id: &str, listens: bool, now: Duration) -> bool {
        let server = self.servers.iter_mut().flatten().find(|server| server.facts.id == id);
        let Some(server) = server else { return false };
        if !listens {
            server.notice.is_unheard(now);
            return false;
        }
        server.notice.is_heard(now)
    }

    /// Servers that gave notice: those that leave, and those that want nothing for a while.
    pub fn count_notices(&self, now: Duration) -> (usize, usize) {
        let asked = self.servers.iter().flatten().filter_map(|one| one.notice.asked_for(now));
        asked.fold((0, 0), |(leaving, backing_off), asked| match asked {
            AskedFor::Leaving => (leaving + 1, backing_off),
            AskedFor::Backoff => (leaving, backing_off + 1),
        })
    }

    /// What a server asked for in the life that the store tells of again.
    pub(super) fn recall(&mut self, facts: &ServerFacts) -> Option<(LifeMark, Notice)> {
        let remembered = self.remembered.remove(&facts.id);
        remembered.filter(|(mark, _)| mark.is_same(&LifeMark::of(facts)))
    }
}
