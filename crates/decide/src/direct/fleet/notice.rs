//! What one backend server has asked of this entry: that it leaves, or wants nothing for a while.
//!
//! Both are decisions of the server and bind this entry, so they are no weights in its cost. They belong to
//! one life of the server, and outlive its entry in the store, which may lapse and come back.

use std::{net::SocketAddr, time::Duration};

use pondwalk_types::{MAX_SERVER_BACKOFF, VersionId};
use serde::{Deserialize, Serialize};

use super::{
    rate_limit::{RateLimit, RateLimitState},
    server::ServerInfo,
};

/// Time for which a server that says it leaves is believed to, from its latest word. Servers serve on for some
/// seconds after it and end; one that is still listed after ten minutes was wrong, or never went. A wrong
/// word costs this entry one server for that long; a shorter time would send requests to servers that take
/// minutes to end.
const LEAVING_MEMORY: Duration = Duration::from_secs(600);
/// Times in a row, over at least as long a time, that nothing must listen at the address of a leaving server
/// for its process to be over. A server may reset a connection now and then while it is there.
const UNHEARD: u32 = 3;
const UNHEARD_TIME: Duration = Duration::from_secs(1);
/// Pauses in a row that a server must ask for, without taking a request between them, to count as one that turns
/// everything away. One that turns away half of what it gets does so to an entry with little work now and then.
const TURNED_AWAY_PAUSES: u32 = 3;
/// Time after the last of them for which that is believed. With work to do, it is tried at once.
const TURNED_AWAY_MEMORY: Duration = Duration::from_secs(5);
/// Requests whose answers have not begun that a server may have from this entry when a pause ends.
const FIRST_LIMIT: u32 = 1;

/// What tells one life of a server from another under the same identity.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerIncarnation {
    born_ms: Option<u64>,
    address: SocketAddr,
    version: VersionId,
}

impl ServerIncarnation {
    /// The life that the store tells of.
    pub fn of(facts: &ServerInfo) -> Self {
        ServerIncarnation {
            born_ms: facts.born_ms,
            address: facts.address,
            version: facts.version.clone(),
        }
    }

    /// The same life as the store tells of it now; a start that it no longer tells is kept.
    pub fn updated_with(self, told: ServerIncarnation) -> Self {
        ServerIncarnation { born_ms: told.born_ms.or(self.born_ms), ..told }
    }

    /// Whether both speak of the same life, as far as they tell. A server keeps address and version for
    /// its life, and where it does not tell its start, it has a new identity in each.
    pub fn matches(&self, other: &ServerIncarnation) -> bool {
        let both_born = self.born_ms.zip(other.born_ms);
        let is_same_start = both_born.is_none_or(|(one, other)| one == other);
        is_same_start && self.address == other.address && self.version == other.version
    }
}

/// Why a server that is listed as ready gets nothing for now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoticeKind {
    /// It leaves.
    Draining,
    /// It wants nothing for a while.
    Backoff,
}

/// What one server has asked for.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Notice {
    /// When it last said that it leaves.
    draining_at: Option<Duration>,
    /// Until when it wants nothing.
    backoff_until: Duration,
    /// Most requests that may wait there for the beginning of their answers, after a pause.
    max_waiting: Option<u32>,
    /// Pauses in a row that it asked for without taking a request between them, and since when.
    refusals: Option<(u32, Duration)>,
    /// How often in a row nothing listened at its address since it left, and since when.
    not_listening: Option<(u32, Duration)>,
    /// The rate limit that it names.
    rate_limit_state: RateLimitState,
}

impl Notice {
    /// It said that it leaves. Returns whether that is news.
    pub fn on_draining(&mut self, now: Duration) -> bool {
        let is_news = !self.is_draining(now);
        self.draining_at = Some(now);
        // NB: should it still be there when the word is no longer believed, it is tried with one request.
        self.max_waiting = Some(FIRST_LIMIT);
        is_news
    }

    /// Nothing listens at its address, though it is thought to leave.
    pub fn record_not_listening(&mut self, now: Duration) {
        let (times, since) = self.not_listening.unwrap_or((0, now));
        self.not_listening = Some((times.saturating_add(1), since));
    }

    /// Something listens at its address. If nothing did for long before, it is another process: the life that
    /// left is over. Returns whether it is.
    pub fn record_listening(&mut self, now: Duration) -> bool {
        let unheard = self.not_listening.take();
        let is_over =
            unheard.is_some_and(|(times, since)| times >= UNHEARD && now >= since + UNHEARD_TIME);
        if is_over {
            self.draining_at = None;
        }
        is_over
    }

    /// It wants nothing for `asked`; `spread` (0 to 1) parts the entries that heard the same. Returns until when
    /// it gets nothing.
    ///
    /// NB: a later, shorter word does not shorten an earlier one; both were meant.
    pub fn on_backoff(&mut self, asked: Duration, spread: f64, now: Duration) -> Duration {
        if self.backoff_until(now).is_none() {
            let (pauses, since) = self.refusals.unwrap_or((0, now));
            self.refusals = Some((pauses.saturating_add(1), since));
        }
        let asked = asked.min(MAX_SERVER_BACKOFF);
        let until = now + asked + backoff_jitter(asked, spread);
        self.backoff_until = self.backoff_until.max(until);
        self.max_waiting = Some(FIRST_LIMIT);
        self.backoff_until
    }

    /// Whether it has said that it leaves, and is still believed to.
    pub fn is_draining(&self, now: Duration) -> bool {
        self.draining_at.is_some_and(|at| now < at + LEAVING_MEMORY)
    }

    /// Until when it wants nothing, if it does.
    pub fn backoff_until(&self, now: Duration) -> Option<Duration> {
        Some(self.backoff_until).filter(|until| now < *until)
    }

    /// What keeps requests from it.
    pub fn active_notice(&self, now: Duration) -> Option<NoticeKind> {
        if self.is_draining(now) {
            return Some(NoticeKind::Draining);
        }
        self.backoff_until(now).map(|_| NoticeKind::Backoff)
    }

    /// Since when it has turned everything away, if it has done so several times in a row.
    pub fn refusing_since(&self, now: Duration) -> Option<Duration> {
        let (pauses, since) = self.refusals?;
        let is_recent = now < self.backoff_until + TURNED_AWAY_MEMORY;
        (is_recent && pauses >= TURNED_AWAY_PAUSES).then_some(since)
    }

    /// Whether one more request may wait there beside those that do.
    pub fn has_room(&self, waiting: u32) -> bool {
        self.max_waiting.is_none_or(|limit| waiting < limit)
    }

    /// An answer began there; the server takes requests, so it may get twice as many at once, up to all.
    ///
    /// NB: all who waited for the end of a pause would come at that moment, and the server would ask for
    /// the next one.
    pub fn on_answer_started(&mut self, slots: u32, now: Duration) {
        if self.active_notice(now).is_some() {
            return;
        }
        self.refusals = None;
        self.draining_at = None;
        self.max_waiting = self.max_waiting.map(|limit| limit * 2).filter(|limit| *limit < slots);
    }

    /// It turned a request away without asking for anything.
    pub fn on_refused(&mut self) {
        self.max_waiting = self.max_waiting.map(|_| FIRST_LIMIT);
    }

    /// The rate limit that it names, if any.
    pub fn rate_limit(&self) -> Option<RateLimit> {
        self.rate_limit_state.limit()
    }

    /// All that is known of its rate limit.
    pub fn rate_limit_state(&mut self) -> &mut RateLimitState {
        &mut self.rate_limit_state
    }

    /// Whether anything of it still matters.
    pub fn is_expired(&self, now: Duration) -> bool {
        self.active_notice(now).is_none() && !self.rate_limit_state.is_recent(now)
    }
}

/// Part of a pause by which its end is put off at most, and the longest such time.
const SPREAD_PART: f64 = 0.25;
const LONGEST_SPREAD: Duration = Duration::from_secs(1);

/// Time by which an entry or a caller comes back later than a pause asks for, so that those who heard the same
/// come one after the other; `spread` is drawn from 0 to 1.
pub fn backoff_jitter(pause: Duration, spread: f64) -> Duration {
    pause.mul_f64(SPREAD_PART).min(LONGEST_SPREAD).mul_f64(spread)
}
