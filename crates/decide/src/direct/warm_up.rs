//! Backend servers that are cold, and how many requests one entry may send them.
//!
//! A server that has just started bears few requests, and falls over at well above that. The bound
//! is over all entries together, while each entry knows only its own sends, and after a restart not
//! even those. So the bound is split beforehand: rendezvous hashing (Thaler and Ravishankar, 1998)
//! on the names of server and entry gives each cold server a few owners, and nobody else sends it
//! anything. Their number follows the bound and not the number of entries, so 4 entries and 420 keep
//! it alike. Half of the bound stays unused: two parts of a deployment that know different entries
//! may each have owners of their own.

use std::{cell::Cell, collections::VecDeque, time::Duration};

use super::bound_sharing::BoundSharing;

/// Time within which a server's requests are counted: a second, and what timers may be off by.
const WINDOW: Duration = Duration::from_millis(1_050);
/// Most sends to one server that are remembered; more than any bound in use lets an entry send.
const MOST_SENDS: usize = 64;

/// Time by which a doubt must outlast the one that is known for others to be told again. A server that
/// is down for long is tried several times a second; one message a second about it is enough.
const TELL_AGAIN: Duration = Duration::from_secs(1);

/// Part of the objective for which a request waits for room at cold servers. A caller that is refused by
/// then still has the time to come back and be served within its objective.
const WAIT_PART: f64 = 0.25;

/// How the backend servers of a service warm up.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WarmUp {
    /// Time for which a server is cold after its start.
    pub time: Duration,
    /// Requests a second that it bears meanwhile.
    pub requests_per_s: f64,
}

/// How far a cold server's requests may go beyond what it bears, and how late its word may come.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdServerBound {
    /// Factor on what it bears.
    pub overshoot: f64,
    /// Requests in a second on top of that.
    pub tolerance: f64,
    /// Time after which a server that is back has told that it is cold.
    pub report_delay: Duration,
}

impl ColdServerBound {
    /// Requests that a cold server may get within any second, from all entries together.
    pub fn max_requests_per_second(&self, warm_up: WarmUp) -> u32 {
        let most = warm_up.requests_per_s * self.overshoot + self.tolerance;
        // NB: a number that is negative or none at all becomes 0.
        most.floor() as u32
    }
}

/// Why a server counts as cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ColdReason {
    /// It says so itself.
    Reported,
    /// It could not be reached, and may have started anew since.
    Unreachable,
    /// Its data centre was taken back after an evacuation.
    Reinstated,
}

/// What is known of one server's warm-up, and what this entry has sent there of late.
#[derive(Debug, Default)]
pub struct WarmUpState {
    reported_until: Duration,
    presumed: Option<(Duration, ColdReason)>,
    /// Until when all entries know it to be in doubt.
    published_until: Duration,
    sent: VecDeque<Duration>,
    /// The turn of the sharers for which the share was worked out, and the share.
    share: Cell<Option<(u64, u32)>>,
}

impl WarmUpState {
    /// The server tells until when it is cold; a time that has passed if it is not.
    pub fn apply_reported(&mut self, until: Duration) {
        self.reported_until = until;
    }

    /// The server may be cold until then, whatever it has said before. Returns whether other entries
    /// should be told: nobody knows yet, or only of a time that is over much sooner.
    pub fn presume_cold(&mut self, until: Duration, coldness: ColdReason) -> bool {
        if self.presumed.is_none_or(|(before, _)| before < until) {
            self.presumed = Some((until, coldness));
        }
        let is_news = until >= self.published_until + TELL_AGAIN;
        if is_news {
            self.published_until = until;
        }
        is_news
    }

    /// Why it counts as cold, if it does.
    pub fn cold_reason(&self, now: Duration) -> Option<ColdReason> {
        if now < self.reported_until {
            return Some(ColdReason::Reported);
        }
        self.presumed.filter(|(until, _)| now < *until).map(|(_, coldness)| coldness)
    }

    /// When it stops to count as cold.
    pub fn cold_until(&self) -> Duration {
        self.presumed.map_or(self.reported_until, |(until, _)| until.max(self.reported_until))
    }

    /// A request goes there.
    pub fn record_sent(&mut self, now: Duration) {
        if self.sent.len() == MOST_SENDS {
            self.sent.pop_front();
        }
        self.sent.push_back(now);
    }

    /// A request that was to go there at `planned` goes there only now.
    pub fn reschedule_sent(&mut self, planned: Duration, now: Duration) {
        if let Some(place) = self.sent.iter().position(|at| *at == planned) {
            self.sent.remove(place);
        }
        self.record_sent(now);
    }

    /// Requests sent there within the last second, but for the one that was placed at `placed`.
    pub fn recent_sends_except(&self, placed: Duration, now: Duration) -> usize {
        let lately = self.sent.iter().filter(|at| **at + WINDOW > now).count();
        let own = placed + WINDOW > now && self.sent.contains(&placed);
        lately - usize::from(own)
    }

    /// When this entry may next send a request to the cold server, with `share` of them in a second;
    /// `None` if it is none of the owners.
    pub fn next_send_at(&self, share: u32) -> Option<Duration> {
        let share = share as usize;
        if share == 0 {
            return None;
        }
        // NB: with fewer sends than that there is room at once.
        let last = self.sent.len().checked_sub(share).and_then(|place| self.sent.get(place));
        Some(last.map_or(Duration::ZERO, |at| *at + WINDOW))
    }

    /// This entry's share of what the server with this hash may get.
    pub fn share(&self, server: u64, most: u32, sharers: &BoundSharing) -> u32 {
        match self.share.get() {
            Some((turn, share)) if turn == sharers.generation() => share,
            _ => {
                let share = sharers.server_share(server, most);
                self.share.set(Some((sharers.generation(), share)));
                share
            }
        }
    }

    /// The share must be worked out anew, as the bound has changed.
    pub fn reset_share(&self) {
        self.share.set(None);
    }
}

/// What a fleet's servers may get while they are cold.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdServerPacing {
    /// Time for which a server is cold after its start.
    pub warm_up_time: Duration,
    /// Requests that one may get within a second, from all entries together.
    pub max_requests_per_second: u32,
    /// Time after which a server that is back has told that it is cold.
    pub report_delay: Duration,
    /// Until when this entry's own earlier sends, in a life before this one, may count.
    pub not_before: Duration,
}

impl ColdServerPacing {
    /// What follows from how a service's servers warm up; nothing where they bear everything at once.
    pub fn of(warm_up: Option<WarmUp>, bound: Option<ColdServerBound>) -> Option<Self> {
        let (warm_up, bound) = (warm_up?, bound?);
        let most = bound.max_requests_per_second(warm_up);
        Some(ColdServerPacing {
            warm_up_time: warm_up.time,
            max_requests_per_second: most,
            report_delay: bound.report_delay,
            not_before: WINDOW,
        })
    }
}

/// Longest time for which a request with this objective waits for room at cold servers.
pub fn max_cold_wait(objective: Duration) -> Duration {
    objective.mul_f64(WAIT_PART)
}
